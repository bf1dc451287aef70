"""The book of pools: which exchanges each route may use at this moment, and why.

It follows the list, the operator's plan and what calls have shown, and says which routes have changed.  The
decision module chooses among what is allowed; this only says what that is, and which exchange a call is
offered as its first choice, so that calls spread over a pool by weight.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction

from arrowrail.pools.health import Health
from arrowrail.pools.plan import Plan, PoolPlan, RoutePlan, district_of, route_name

IN_USE, DRAINS, GONE, UNHEARD, UNREACHED = "in use", "drains", "gone", "not listed", "not reached"
DOUBTED = "probes unanswered"
NO_DISTRICT, NOT_CARRIED, NO_POOL = "no district", "class not carried there", "no pool"


@dataclass(frozen=True, slots=True)
class Allowed:
    """What a route may use: exchanges, pool after pool, with what each pool gives and why."""

    exchanges: tuple[int, ...]
    pools: tuple[str, ...]  # in use, in order
    why: str

    @property
    def none(self) -> bool:
        return not self.exchanges


@dataclass(frozen=True, slots=True)
class Placed:
    """Where a call goes: its route and first choice, or the reason for which it goes nowhere."""

    route: str = ""
    exchange: int = -1
    why_not: str = ""


class Book:
    def __init__(self, plan: Plan) -> None:
        self._states: dict[int, str] = {}  # as listed, by exchange
        self._health: dict[int, Health] = {}
        self._doubted: frozenset[int] = frozenset()  # by the probes of other instances
        self._credit: dict[str, dict[int, int]] = {}  # by route: smooth weighted rotation
        self._allowed: dict[str, Allowed] = {}
        self.plan = plan
        self._longest = 0
        self.use(plan)

    # --- What changes it --------------------------------------------------------------------------------

    def use(self, plan: Plan) -> dict[str, Allowed]:
        """A new plan; returns the routes whose exchanges are others than before."""
        self.plan = plan
        self._longest = max((len(p) for p in plan.prefixes), default=0)
        self._credit = {r: c for r, c in self._credit.items() if r in plan.routes}
        known = plan.exchanges()
        self._health = {e: h for e, h in self._health.items() if e in known}
        gone = {r: Allowed((), (), NO_POOL) for r in self._allowed if r not in plan.routes}
        self._allowed = {r: a for r, a in self._allowed.items() if r in plan.routes}
        return gone | self._look_again()

    def told(self, states: Iterable[tuple[int, str]]) -> dict[str, Allowed]:
        """News of the list: an exchange is in service, drains or is gone."""
        for exchange, state in states:
            if self._states.get(exchange) != state:
                self._states[exchange] = state
                if state == "in_service":
                    self._health.pop(exchange, None)  # a new start, or a new machine: tried afresh
        return self._look_again()

    def missed(self, now: int, exchange: int) -> dict[str, Allowed]:
        """An attempt found no connection to it."""
        health = self._health.setdefault(exchange, Health())
        return self._look_again() if health.miss(now) else {}

    def heard(self, exchange: int) -> dict[str, Allowed]:
        """An attempt got some answer from it."""
        health = self._health.get(exchange)
        if health is None:
            return {}
        back = health.heard()
        del self._health[exchange]
        return self._look_again() if back else {}

    def doubted(self, exchanges: Iterable[int]) -> dict[str, Allowed]:
        """Those whose probes went unanswered, as others tell: used only where a route has no other.

        Guards against a fault of the probing instance's own, which must not take every exchange out.
        """
        found = frozenset(exchanges)
        if found == self._doubted:
            return {}
        self._doubted = found
        return self._look_again()

    def due(self, now: int) -> dict[str, Allowed]:
        """What has been out for long enough may be tried again."""
        over = [h for h in self._health.values() if h.due(now)]
        return self._look_again() if over else {}

    def next_due(self) -> int:
        """When ``due`` has to be asked next; 0: there is nothing to wait for."""
        times = [h.out_until for h in self._health.values() if h.out_until and not h.trial]
        return min(times, default=0)

    # --- What it says -----------------------------------------------------------------------------------

    def state(self, exchange: int) -> str:
        listed = self._states.get(exchange)
        if listed is None:
            return UNHEARD
        if listed != "in_service":
            return DRAINS if listed == "terminating" else GONE
        health = self._health.get(exchange)
        if health is not None and not health.usable():
            return UNREACHED
        return DOUBTED if exchange in self._doubted else IN_USE

    def allowed(self, route: str) -> Allowed:
        return self._allowed.get(route, Allowed((), (), NOT_CARRIED))

    def place(self, class_name: str, number: str, district: str = "") -> Placed:
        """The route of a call and its first choice; a named district goes before the number's."""
        district = district or district_of(self.plan.prefixes, number, self._longest)
        if not district:
            return Placed(why_not=NO_DISTRICT)
        name = route_name(class_name, district)
        if name not in self.plan.routes:
            return Placed(why_not=NOT_CARRIED)
        return Placed(name, self._first_choice(name))

    def _first_choice(self, route: str) -> int:
        """Smooth weighted rotation over the first pool that is in use: no exchange gets two in a row that
        others should have had, however the weights stand."""
        allowed = self._allowed[route]
        if allowed.none:
            return -1
        pool = self.plan.pools[allowed.pools[0]]
        members = [m for m in pool.members if m.exchange in allowed.exchanges]
        credit = self._credit.setdefault(route, {})
        total = 0
        best, best_credit = members[0].exchange, -1
        for m in members:
            total += m.weight
            credit[m.exchange] = credit.get(m.exchange, 0) + m.weight
            if credit[m.exchange] > best_credit:
                best, best_credit = m.exchange, credit[m.exchange]
        credit[best] -= total
        return best

    # --- Working it out ---------------------------------------------------------------------------------

    def _look_again(self) -> dict[str, Allowed]:
        changed: dict[str, Allowed] = {}
        for route in self.plan.routes.values():
            found = self._work_out(route)
            before = self._allowed.get(route.name)
            if before is None or before.exchanges != found.exchanges:
                changed[route.name] = found
                # Guards against credit from a time when others were away tilting the rotation.
                self._credit.pop(route.name, None)
            self._allowed[route.name] = found
        return changed

    def _work_out(self, route: RoutePlan) -> Allowed:
        found = self._use(route, (IN_USE,))
        return self._use(route, (IN_USE, DOUBTED)) if found.none and self._doubted else found

    def _use(self, route: RoutePlan, states: tuple[str, ...]) -> Allowed:
        """Pool after pool, until what is in use carries the first pool's share to keep."""
        exchanges: list[int] = []
        pools: list[str] = []
        said: list[str] = []
        wanted: Fraction | None = None
        weight = 0
        for name in route.pools:
            pool = self.plan.pools.get(name)
            if pool is None:
                continue
            if wanted is None:
                wanted = pool.keep * pool.weight
            used = [m for m in pool.members if self.state(m.exchange) in states]
            said.append(self._says(pool, len(used)))
            if used:
                pools.append(name)
                fresh = [m for m in used if m.exchange not in exchanges]
                exchanges += [m.exchange for m in fresh]
                weight += sum(m.weight for m in fresh)
            if exchanges and weight >= wanted:
                break
        return Allowed(tuple(exchanges), tuple(pools), "; ".join(said) or NO_POOL)

    def _says(self, pool: PoolPlan, used: int) -> str:
        out = [f"{m.exchange} {self.state(m.exchange)}" for m in pool.members]
        return f"{pool.name}: {used} of {len(pool.members)} in use" + (
            "" if used == len(pool.members) else " (" + ", ".join(o for o in out if IN_USE not in o) + ")"
        )
