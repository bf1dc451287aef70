"""The route table: which exchanges each route may use at present, and why.

It combines the exchange list, the configuration and the results of call attempts, and reports which routes
have changed.  The decision module chooses among the permitted exchanges; the route table only determines
them, and the first choice of each call, so that calls are distributed over a pool by weight.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction

from arrowrail.pools.config import PoolConfig, RouteConfig, RoutingConfig, find_district, route_name
from arrowrail.pools.health import ExchangeHealth

IN_USE, DRAINING, GONE, NOT_LISTED, UNREACHABLE = "in use", "draining", "gone", "not listed", "unreachable"
PROBES_FAILED = "probes unanswered"
NO_DISTRICT, CLASS_NOT_CARRIED, NO_POOL = "no district", "class not carried there", "no pool"


@dataclass(frozen=True, slots=True)
class RouteAvailability:
    """The exchanges that a route may use, in pool order, with the pools in use and an explanation."""

    exchanges: tuple[int, ...]
    pools: tuple[str, ...]  # pools in use, in fallback order
    explanation: str

    @property
    def is_empty(self) -> bool:
        return not self.exchanges


@dataclass(frozen=True, slots=True)
class RoutingResult:
    """The route and first choice of a call, or the reason why it cannot be routed."""

    route: str = ""
    exchange: int = -1
    failure_reason: str = ""


class RouteTable:
    """Tracks the state of each exchange and the availability of each route."""

    def __init__(self, config: RoutingConfig) -> None:
        self._listed_states: dict[int, str] = {}  # by exchange
        self._health: dict[int, ExchangeHealth] = {}
        self._probe_failures: frozenset[int] = frozenset()  # as reported by other instances
        self._rotation_weights: dict[str, dict[int, int]] = {}  # by route: smooth weighted round-robin
        self._availability: dict[str, RouteAvailability] = {}
        self.config = config
        self._max_prefix_length = 0
        self.update_config(config)

    # --- Updates ----------------------------------------------------------------------------------------

    def update_config(self, config: RoutingConfig) -> dict[str, RouteAvailability]:
        """Apply a new configuration; return the routes whose exchanges have changed."""
        self.config = config
        self._max_prefix_length = max((len(p) for p in config.district_by_prefix), default=0)
        self._rotation_weights = {r: w for r, w in self._rotation_weights.items() if r in config.routes}
        known = config.exchanges()
        self._health = {e: h for e, h in self._health.items() if e in known}
        removed = {
            r: RouteAvailability((), (), NO_POOL) for r in self._availability if r not in config.routes
        }
        self._availability = {r: a for r, a in self._availability.items() if r in config.routes}
        return removed | self._recompute()

    def update_states(self, states: Iterable[tuple[int, str]]) -> dict[str, RouteAvailability]:
        """Apply list updates: an exchange is in service, draining or gone."""
        for exchange, state in states:
            if self._listed_states.get(exchange) != state:
                self._listed_states[exchange] = state
                if state == "in_service":
                    self._health.pop(exchange, None)  # a restart or a new machine: past failures don't apply
        return self._recompute()

    def record_connect_failure(self, now: int, exchange: int) -> dict[str, RouteAvailability]:
        """Record an attempt that found no connection to the exchange."""
        health = self._health.setdefault(exchange, ExchangeHealth())
        return self._recompute() if health.record_connect_failure(now) else {}

    def record_answer(self, exchange: int) -> dict[str, RouteAvailability]:
        """Record an attempt that got any answer from the exchange."""
        health = self._health.get(exchange)
        if health is None:
            return {}
        restored = health.record_answer()
        del self._health[exchange]
        return self._recompute() if restored else {}

    def set_probe_failures(self, exchanges: Iterable[int]) -> dict[str, RouteAvailability]:
        """Set the exchanges whose probes by other instances failed: used only where a route has no other.

        A fault of the probing instance itself must not take every exchange out of use.
        """
        failed = frozenset(exchanges)
        if failed == self._probe_failures:
            return {}
        self._probe_failures = failed
        return self._recompute()

    def start_due_trials(self, now: int) -> dict[str, RouteAvailability]:
        """Make exchanges whose ejection time is over available for a trial."""
        started = [h for h in self._health.values() if h.start_trial_if_due(now)]
        return self._recompute() if started else {}

    def next_trial_at(self) -> int:
        """When ``start_due_trials`` has to be called next; 0 if no trial is pending."""
        times = [h.ejected_until for h in self._health.values() if h.ejected_until and not h.on_trial]
        return min(times, default=0)

    # --- Queries ----------------------------------------------------------------------------------------

    def exchange_state(self, exchange: int) -> str:
        listed = self._listed_states.get(exchange)
        if listed is None:
            return NOT_LISTED
        if listed != "in_service":
            return DRAINING if listed == "terminating" else GONE
        health = self._health.get(exchange)
        if health is not None and not health.usable():
            return UNREACHABLE
        return PROBES_FAILED if exchange in self._probe_failures else IN_USE

    def availability(self, route: str) -> RouteAvailability:
        return self._availability.get(route, RouteAvailability((), (), CLASS_NOT_CARRIED))

    def route_call(self, class_name: str, number: str, district: str = "") -> RoutingResult:
        """Return the route and first choice of a call; a given district overrides that of the number."""
        district = district or find_district(self.config.district_by_prefix, number, self._max_prefix_length)
        if not district:
            return RoutingResult(failure_reason=NO_DISTRICT)
        name = route_name(class_name, district)
        if name not in self.config.routes:
            return RoutingResult(failure_reason=CLASS_NOT_CARRIED)
        return RoutingResult(name, self._first_choice(name))

    def _first_choice(self, route: str) -> int:
        """Smooth weighted round-robin over the first pool in use.

        Selections of an exchange are spread evenly over the sequence, whatever the weights: none is selected
        twice in a row when another is due.
        """
        availability = self._availability[route]
        if availability.is_empty:
            return -1
        pool = self.config.pools[availability.pools[0]]
        members = [m for m in pool.members if m.exchange in availability.exchanges]
        current = self._rotation_weights.setdefault(route, {})
        total = 0
        best, best_weight = members[0].exchange, -1
        for member in members:
            total += member.weight
            current[member.exchange] = current.get(member.exchange, 0) + member.weight
            if current[member.exchange] > best_weight:
                best, best_weight = member.exchange, current[member.exchange]
        current[best] -= total
        return best

    # --- Computation ------------------------------------------------------------------------------------

    def _recompute(self) -> dict[str, RouteAvailability]:
        changed: dict[str, RouteAvailability] = {}
        for route in self.config.routes.values():
            computed = self._compute_availability(route)
            before = self._availability.get(route.name)
            if before is None or before.exchanges != computed.exchanges:
                changed[route.name] = computed
                # Rotation weights from a time when other exchanges were away would skew the distribution.
                self._rotation_weights.pop(route.name, None)
            self._availability[route.name] = computed
        return changed

    def _compute_availability(self, route: RouteConfig) -> RouteAvailability:
        computed = self._select_pools(route, (IN_USE,))
        return (
            self._select_pools(route, (IN_USE, PROBES_FAILED))
            if computed.is_empty and self._probe_failures
            else computed
        )

    def _select_pools(self, route: RouteConfig, states: tuple[str, ...]) -> RouteAvailability:
        """Add pools in fallback order until the weight in use reaches the first pool's minimum."""
        exchanges: list[int] = []
        pools: list[str] = []
        descriptions: list[str] = []
        required_weight: Fraction | None = None
        weight = 0
        for name in route.pools:
            pool = self.config.pools.get(name)
            if pool is None:
                continue
            if required_weight is None:
                required_weight = pool.min_share * pool.weight
            usable = [m for m in pool.members if self.exchange_state(m.exchange) in states]
            descriptions.append(self._describe_pool(pool, len(usable)))
            if usable:
                pools.append(name)
                added = [m for m in usable if m.exchange not in exchanges]
                exchanges += [m.exchange for m in added]
                weight += sum(m.weight for m in added)
            if exchanges and weight >= required_weight:
                break
        return RouteAvailability(tuple(exchanges), tuple(pools), "; ".join(descriptions) or NO_POOL)

    def _describe_pool(self, pool: PoolConfig, usable_count: int) -> str:
        states = [f"{m.exchange} {self.exchange_state(m.exchange)}" for m in pool.members]
        return f"{pool.name}: {usable_count} of {len(pool.members)} in use" + (
            ""
            if usable_count == len(pool.members)
            else " (" + ", ".join(s for s in states if IN_USE not in s) + ")"
        )
