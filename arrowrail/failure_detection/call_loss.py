"""The loss of established calls: its time limits, its reasons, and the value that reports it.

All times are Unix times in ns.
"""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
# Document PROTOCOL: from the end of a call until its caller must have been sent the release.
RELEASE_LIMIT_NS = 8_000 * MS
RELEASE_RESERVE_NS = 800 * MS  # for detection, and for sending the release to the caller
SILENCE_LIMIT_NS = RELEASE_LIMIT_NS - RELEASE_RESERVE_NS

UNREACHABLE, RESTARTED, REFUSED = "unreachable", "not_the_same_process", "refused"
ADDRESS_TAKEN = "address_taken"


@dataclass(frozen=True, slots=True)
class CallLoss:
    """Established calls at an endpoint that have to be released: their server is gone."""

    reason: str
    before_ns: int  # only calls answered before that time; 0: all
