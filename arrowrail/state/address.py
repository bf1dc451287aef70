"""How addresses and called numbers are written, wherever they stand."""

from __future__ import annotations

CALLED_NUMBER_DIGITS = "0123456789ABCDE"  # of a called number; Q.763 3.9 codes them 0 to 14


def parse_address(text: str) -> tuple[str, int]:
    """``host:port`` or ``[IPv6]:port`` in parts; ``ValueError`` where the port is no number."""
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)
