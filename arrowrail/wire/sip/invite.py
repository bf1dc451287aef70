"""The parameters of a set-up, read from its INVITE."""

from __future__ import annotations

import re

from arrowrail.core.requests import MS, SetUpParams
from arrowrail.wire.sip import messages as sip

HEX = re.compile(r"[0-9a-f]{1,16}")
INTEGER = re.compile(r"-?[0-9]{1,12}")


def _parse_integer(text: str, low: int, high: int) -> int:
    # Plain digits only: int() also accepts spaces and digits of other scripts, which other systems don't.
    if not INTEGER.fullmatch(text) or not low <= int(text) <= high:
        raise ValueError(f"invalid or out-of-range number {text[:20]!r}")
    return int(text)


def parse_invite(message: sip.SipMessage, now: int, routed: bool = False) -> SetUpParams:
    """The parameters of a set-up from its INVITE; ``ValueError`` names a missing or invalid field.

    ``routed``: the route follows from the called number or ``X-District``, so that X-Facts is not needed.
    """
    headers = message.headers
    for name in ("subject", "x-patience") if routed else ("subject", "x-patience", "x-facts"):
        if name not in headers:
            raise ValueError(f"header {name} is missing")
    number = message.uri.removeprefix("sip:").partition("@")[0]
    if not HEX.fullmatch(number.lower()):
        raise ValueError("called number is not 1 to 16 hex digits")
    if len(message.call_id) != 16 or not HEX.fullmatch(message.call_id):
        raise ValueError("Call-ID is not 16 hex digits")
    if not message.body:
        raise ValueError("session description is missing")
    patience_ms = _parse_integer(headers["x-patience"], 0, 86_400_000)
    if routed:
        return SetUpParams(
            message.call_id, headers["subject"], number, int(number, 16), -1, 1, now + patience_ms * MS,
            message.body, redialled="x-retry" in headers, district=headers.get("x-district", ""),
        )  # fmt: skip
    facts = dict(part.split(":", 1) for part in headers["x-facts"].split(";") if ":" in part)
    if "dest" not in facts:
        raise ValueError("x-facts has no dest")
    return SetUpParams(
        message.call_id, headers["subject"], number, int(number, 16),
        _parse_integer(facts["dest"], 0, 1 << 20), _parse_integer(facts.get("width", "1"), 1, 1024),
        now + patience_ms * MS, message.body,
        facts.get("transit") == "1", "x-retry" in headers, facts.get("again") == "1",
        _parse_integer(facts.get("via", "-1"), -1, 1 << 20),
    )  # fmt: skip
