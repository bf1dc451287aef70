"""Fairness among an application's connections.

Open set-ups: a connection may hold a share of what is still free (Choudhury and Hahne, "Dynamic Queue Length
Thresholds", 1998).  A single connection gets nearly all that its share allows; with several the thresholds
converge to equal parts, and some capacity always stays free for the next connection.  Set-up rate: a
connection that recently had more set-ups admitted than an equal part may continue while tokens are plentiful,
and leaves the last tokens to the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction

DECAY_WINDOW_NS = 1_000_000_000  # the count of admitted set-ups halves with each window
FAIRNESS_SLACK = 4  # admitted set-ups of a window that are not held against a connection
ACTIVE_NS = 2 * DECAY_WINDOW_NS  # a connection with a set-up in this time counts as active
ACTIVE_COUNT_TTL_NS = DECAY_WINDOW_NS // 8  # how long the number of active connections is cached
MAX_TRACKED = 4096  # from here on idle ones are evicted; far above what file descriptors allow


@dataclass(slots=True)
class ConnectionUsage:
    """Open and recent set-ups of one connection, or of all together."""

    open_count: int = 0
    admitted: int = 0  # recently admitted set-ups, halved with each window
    window_start: int = 0
    last_set_up: int = 0  # time of the last set-up, admitted or not

    def recent_admitted(self, now: int) -> int:
        """Apply the decay of the elapsed windows and return the count of recently admitted set-ups."""
        windows = (now - self.window_start) // DECAY_WINDOW_NS
        if windows > 0:
            self.admitted >>= min(windows, 64)
            self.window_start += windows * DECAY_WINDOW_NS
        return self.admitted


class ConnectionTracker:
    """Open and recently admitted set-ups by connection."""

    def __init__(self) -> None:
        self._usage: dict[object, ConnectionUsage] = {}
        self._total = ConnectionUsage()
        self._active, self._active_counted_at = 0, 0

    def __len__(self) -> int:
        return len(self._usage)

    def open_count(self, connection: object) -> int:
        usage = self._usage.get(connection)
        return usage.open_count if usage is not None else 0

    def may_open(self, connection: object, free: int, share: Fraction) -> bool:
        """Whether one more open set-up keeps the connection within its threshold.

        With a share of s for a single connection, the threshold is a = s / (1 - s) times what is free.
        """
        held = self.open_count(connection)
        if share >= 1:
            return True
        numerator, denominator = share.numerator, share.denominator - share.numerator
        return held == 0 or (held + 1) * denominator <= (free - 1) * numerator

    def within_fair_rate(self, now: int, connection: object) -> bool:
        """Whether the connection's recently admitted set-ups are at most an equal part of all."""
        usage = self._get_or_create(now, connection)
        usage.last_set_up = now
        own, total = usage.recent_admitted(now), self._total.recent_admitted(now)
        return (own - FAIRNESS_SLACK) * self._active_count(now) <= total

    def _active_count(self, now: int) -> int:
        """Number of active connections; cached for a short time, as there may be many connections."""
        if now - self._active_counted_at >= ACTIVE_COUNT_TTL_NS or now < self._active_counted_at:
            self._active_counted_at = now
            self._active = sum(1 for usage in self._usage.values() if now - usage.last_set_up < ACTIVE_NS)
        return max(1, self._active)

    def _get_or_create(self, now: int, connection: object) -> ConnectionUsage:
        usage = self._usage.get(connection)
        if usage is None:
            if len(self._usage) >= MAX_TRACKED:
                self.evict_idle(now)
            usage = self._usage[connection] = ConnectionUsage(window_start=now, last_set_up=now)
        return usage

    def set_up_admitted(self, now: int, connection: object) -> None:
        own_usage = self._get_or_create(now, connection)
        own_usage.open_count += 1
        for usage in (own_usage, self._total):
            usage.recent_admitted(now)
            usage.admitted += 1

    def set_up_ended(self, connection: object) -> None:
        usage = self._usage.get(connection)
        if usage is not None and usage.open_count > 0:
            usage.open_count -= 1

    def evict_idle(self, now: int) -> None:
        """Remove connections without open set-ups and without recent ones."""
        for connection, usage in list(self._usage.items()):
            if (
                usage.open_count == 0
                and usage.recent_admitted(now) == 0
                and now - usage.last_set_up >= ACTIVE_NS
            ):
                del self._usage[connection]
