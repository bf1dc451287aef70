"""Order in which the input of connections is handled, and how long each may take.

Least attained service first: a connection that has used little processing time of late comes before those
that have used much, so that callers with single requests don't wait behind one that sends without pause.
Those that have had a call answered and use little come first of all, so that they don't wait behind hundreds
of new ones.  Pure: times are parameters.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

TURN_NS = 10_000_000  # processing time for all input of one event loop iteration
SLICE_NS = 1_000_000  # of that, for one connection
HALVING_NS = 100_000_000  # the processing time that is counted halves with each such span
LIGHT_USAGE_NS = 2 * SLICE_NS  # up to this, a known caller comes before all others

ConnectionT = TypeVar("ConnectionT", bound=Hashable)


@dataclass(slots=True)
class RecentUsage:
    """Processing time that a connection has used of late."""

    spent_ns: int = 0
    window_start_ns: int = 0
    known_caller: bool = False  # a call on it was answered

    def decayed_ns(self, now: int) -> int:
        """Return the processing time that still counts, after halving it for each span that has passed."""
        spans = max(0, (now - self.window_start_ns) // HALVING_NS)
        if spans:
            self.spent_ns >>= min(spans, 63)
            self.window_start_ns += spans * HALVING_NS
        return self.spent_ns


class InputOrder(Generic[ConnectionT]):
    """Processing time by connection, and the order that follows from it."""

    def __init__(self) -> None:
        self._usage: dict[ConnectionT, RecentUsage] = {}

    def __len__(self) -> int:
        return len(self._usage)

    def sort(self, now: int, connections: Iterable[ConnectionT]) -> list[ConnectionT]:
        """Return connections with input, those first that have used the least processing time of late."""
        return sorted(connections, key=lambda connection: self._rank(now, connection))

    def _rank(self, now: int, connection: ConnectionT) -> tuple[bool, int]:
        usage = self._usage.get(connection)
        if usage is None:
            return True, 0
        used_ns = usage.decayed_ns(now)
        return not (usage.known_caller and used_ns <= LIGHT_USAGE_NS), used_ns

    def call_answered(self, now: int, connection: ConnectionT) -> None:
        """A call was answered on the connection: its peer is a caller."""
        self._get_or_create(now, connection).known_caller = True

    def _get_or_create(self, now: int, connection: ConnectionT) -> RecentUsage:
        usage = self._usage.get(connection)
        if usage is None:
            usage = self._usage[connection] = RecentUsage(window_start_ns=now)
        return usage

    def slice_end_ns(self, turn_started_ns: int, now: int) -> int:
        """Return the time until which the next connection may be handled; 0 if the turn is over."""
        turn_end_ns = turn_started_ns + TURN_NS
        return min(now + SLICE_NS, turn_end_ns) if now < turn_end_ns else 0

    def record(self, now: int, connection: ConnectionT, spent_ns: int) -> None:
        """Count the processing time of one slice."""
        usage = self._get_or_create(now, connection)
        usage.decayed_ns(now)
        usage.spent_ns += spent_ns

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection that has ended."""
        self._usage.pop(connection, None)
