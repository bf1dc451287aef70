"""Calls that have ended, kept for a while so that late messages and repeated set-ups are recognized."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from itertools import islice

RETENTION_NS = 30_000_000_000  # how long an ended call is recognized
# Two bounds, so that a flood of set-ups that are refused at once doesn't displace calls that may have run.
MAX_ATTEMPTED = 65_536
MAX_UNATTEMPTED = 16_384


@dataclass(frozen=True, slots=True)
class EndedCall:
    """What is known of a call that is over."""

    expires_ns: int
    fingerprint: int | None  # of its set-up; ``None`` for a call from before the start of this process
    attempted: bool  # at least one attempt was made
    may_have_run: bool  # at least one attempt has no outcome that proves that it never ran
    has_response: bool  # a final response was sent


class EndedCalls:
    """Ended calls by call id, each for ``RETENTION_NS`` unless there are too many."""

    def __init__(self) -> None:
        self._attempted: dict[str, EndedCall] = {}  # oldest first
        self._unattempted: dict[str, EndedCall] = {}  # oldest first

    def __contains__(self, call_id: str) -> bool:
        return call_id in self._attempted or call_id in self._unattempted

    def __len__(self) -> int:
        return len(self._attempted) + len(self._unattempted)

    def __iter__(self) -> Iterator[str]:
        yield from self._attempted
        yield from self._unattempted

    def get(self, call_id: str) -> EndedCall | None:
        return self._attempted.get(call_id) or self._unattempted.get(call_id)

    def add(self, call_id: str, ended: EndedCall) -> None:
        calls, limit = (
            (self._attempted, MAX_ATTEMPTED) if ended.attempted else (self._unattempted, MAX_UNATTEMPTED)
        )
        self.remove(call_id)
        calls[call_id] = ended
        if len(calls) > limit:
            del calls[next(iter(calls))]

    def remove(self, call_id: str) -> None:
        self._attempted.pop(call_id, None)
        self._unattempted.pop(call_id, None)

    def expire(self, now: int) -> None:
        """Forget the calls whose time is over."""
        for calls in (self._attempted, self._unattempted):
            while calls:
                call_id, ended = next(islice(calls.items(), 1))
                if ended.expires_ns >= now:
                    break
                del calls[call_id]
