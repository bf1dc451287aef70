"""Admission of set-ups, and the retry delay for refused callers.

The checks run in the order in which their reasons are useful to an operator: the connection's share, the
open set-ups, the rate.  Set-ups are never queued: each is admitted or refused at once, with a reason.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.limits.buckets import RateLimiter
from arrowrail.limits.config import NANOS_PER_UNIT, SECOND_NS, SET_UP_COST, ClassLimit, LimitsConfig
from arrowrail.limits.connections import ConnectionTracker

ADMITTED, CONNECTION_OPEN, TOTAL_OPEN, CONNECTION_RATE, TOTAL_RATE = (
    "admitted",
    "line_open",
    "open",
    "line_rate",
    "rate",
)
REASON_TEXTS = {
    CONNECTION_OPEN: "the connection has reached its share of the open set-ups",
    TOTAL_OPEN: "the application's open set-ups are at their limit",
    CONNECTION_RATE: "the connection exceeds its share of the set-up rate",
    TOTAL_RATE: "the application's set-up rate is at its limit",
}
DEMAND_WINDOW_NS = 10 * SECOND_NS  # how long a class's recent peak of open set-ups is kept free for it
EVICTION_INTERVAL_NS = 5 * SECOND_NS
INITIAL_MEAN_NS = SECOND_NS // 2  # assumed duration of a set-up until some have ended


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """``retry_after_ns`` is the delay to send to a refused caller; 0: none."""

    reason: str
    retry_after_ns: int = 0

    @property
    def admitted(self) -> bool:
        return self.reason == ADMITTED


ADMITTED_RESULT = AdmissionResult(ADMITTED)


@dataclass(slots=True)
class ClassDemand:
    """Open set-ups of a class and their recent peak; reserved capacity up to this demand is not lent."""

    open_count: int = 0
    peak: int = 0
    previous_peak: int = 0  # peak of the previous window
    window_start: int = 0

    def recent_peak(self, now: int) -> int:
        if now - self.window_start >= DEMAND_WINDOW_NS:
            # If this method was not called for two windows, the stored peak is too old to count.
            self.previous_peak = (
                self.peak if now - self.window_start < 2 * DEMAND_WINDOW_NS else self.open_count
            )
            self.peak, self.window_start = self.open_count, now
        return max(self.open_count, self.peak, self.previous_peak)


class Limiter:
    """Admits or refuses set-ups; ``set_up_ended`` must be called once for each admitted one."""

    def __init__(self, config: LimitsConfig, now: int) -> None:
        self.config = config
        self.rate_limiter = RateLimiter(config, now)
        self.connections = ConnectionTracker()
        self.demand = {name: ClassDemand(window_start=now) for name in config.classes}
        self.open_count = 0
        self.refused_count: dict[str, int] = {}  # by reason, for operators
        self.admitted_count = 0
        # By class: bucket units for refused callers that are expected to retry, and when last updated.
        self._retry_backlog: dict[str, tuple[int, int]] = {}
        self._mean_set_up_ns = INITIAL_MEAN_NS
        self._last_eviction = now

    def update_config(self, config: LimitsConfig, now: int) -> None:
        """Apply new limits; open set-ups stay counted, even where they exceed the new limit."""
        self.config = config
        self.rate_limiter.refill(now)
        self.rate_limiter.update_config(config)
        for name in config.classes:
            self.demand.setdefault(name, ClassDemand(window_start=now))

    def admit(self, now: int, class_name: str, connection: object) -> AdmissionResult:
        """Admit or refuse a set-up on a connection; an unknown class counts as the one of lowest worth."""
        limit = self.config.classes.get(class_name) or max(self.config.classes.values(), key=lambda c: c.rank)
        if now - self._last_eviction > EVICTION_INTERVAL_NS:
            self._last_eviction = now
            self.connections.evict_idle(now)
        self.rate_limiter.refill(now)
        reason = self._refusal_reason(now, limit, connection)
        if reason:
            return self._refuse(now, reason, limit)
        demand = self.demand[limit.name]
        demand.open_count += 1
        demand.peak = max(demand.peak, demand.open_count)
        self.open_count += 1
        self.admitted_count += 1
        self.connections.set_up_admitted(now, connection)
        return ADMITTED_RESULT

    def _refusal_reason(self, now: int, limit: ClassLimit, connection: object) -> str:
        if not self.connections.may_open(
            connection, self.config.max_open - self.open_count, self.config.connection_share
        ):
            return CONNECTION_OPEN
        if not self._has_capacity(now, limit):
            return TOTAL_OPEN
        fair = self.connections.within_fair_rate(now, connection)
        if self.rate_limiter.try_acquire(limit.name, surplus_only=not fair):
            return ""
        return TOTAL_RATE if fair else CONNECTION_RATE

    def _has_capacity(self, now: int, limit: ClassLimit) -> bool:
        """Whether the class has reserved capacity left, or can borrow what others have not used recently."""
        if self.open_count >= self.config.max_open:
            return False
        if self.demand[limit.name].open_count < limit.reserved_open:
            return True
        free = self.config.max_open - self.open_count
        kept_free = 0
        for other in self.config.classes.values():
            if other.name == limit.name or not other.reserved_open:
                continue
            demand = self.demand[other.name]
            # Headroom: a class that becomes active again finds part of its reserved capacity at once, and
            # more as it uses it.
            expected = min(
                other.reserved_open, max(2 * demand.recent_peak(now), -(-other.reserved_open // 8))
            )
            kept_free += max(0, expected - demand.open_count)
        # Trunk reservation: each further rank leaves a little more of the lent capacity to higher worth.
        trunk_reservation = self.config.max_open * limit.rank // (16 * max(1, len(self.config.classes)))
        return free > kept_free + trunk_reservation

    def set_up_ended(self, now: int, class_name: str, connection: object, duration_ns: int) -> None:
        """Record that an admitted set-up got its final response or was abandoned by its caller."""
        limit = self.config.classes.get(class_name) or max(self.config.classes.values(), key=lambda c: c.rank)
        demand = self.demand[limit.name]
        demand.open_count = max(0, demand.open_count - 1)
        self.open_count = max(0, self.open_count - 1)
        self.connections.set_up_ended(connection)
        self._mean_set_up_ns += (duration_ns - self._mean_set_up_ns) // 16

    def _refuse(self, now: int, reason: str, limit: ClassLimit) -> AdmissionResult:
        """Refuse a set-up; retry delays spread callers at the rate at which they can be admitted."""
        self.refused_count[reason] = self.refused_count.get(reason, 0) + 1
        backlog, updated_at = self._retry_backlog.get(limit.name, (0, now))
        # Callers refused earlier retry in order: the backlog drains at the class's rate.
        rate = limit.reserved_rate or max(1, self.config.rate // 20)
        backlog = max(0, backlog - (now - updated_at) * rate // NANOS_PER_UNIT)
        self._retry_backlog[limit.name] = (
            min(backlog + SET_UP_COST, self.config.bucket_depth(rate) * 16),
            now,
        )
        if not self.config.max_retry_after_ns:
            return AdmissionResult(reason)
        if reason in (TOTAL_RATE, CONNECTION_RATE):
            delay = max(self.rate_limiter.time_to_set_up_ns(limit.name), backlog * NANOS_PER_UNIT // rate)
        else:
            # Capacity for one set-up becomes free each time one of the open set-ups ends.
            open_count = max(1, self.open_count)
            delay = max(
                self._mean_set_up_ns // 4, self._mean_set_up_ns * (backlog // SET_UP_COST + 1) // open_count
            )
        return AdmissionResult(reason, max(1_000_000, min(delay, self.config.max_retry_after_ns)))
