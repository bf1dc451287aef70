"""Notation of addresses and called numbers."""

from __future__ import annotations

CALLED_NUMBER_DIGITS = "0123456789ABCDE"  # Q.763 3.9 codes them 0 to 14


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port`` or ``[IPv6]:port``; raise ``ValueError`` if the port is not a number."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
