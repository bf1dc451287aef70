"""The sidecar's admission: joins limits, pools and list to what the core asks; each decides for itself."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import replace

from arrowrail.core.requests import (
    CAUSE_CONNECTION_FAILED,
    NO_ROUTE,
    OVER_LIMIT,
    REFUSED,
    FinalResponse,
    SetUpParams,
)
from arrowrail.limits.limiter import Limiter
from arrowrail.pools.route_table import RouteAvailability, RouteTable
from arrowrail.sidecar.config import SidecarConfig
from arrowrail.sidecar.exchange_list import SIDECAR_SOURCE, ExchangeList
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, TERMINATING, Endpoint, EndpointEntry
from trackhatch import interface

NO_NEWS = ("not_sent", "no_answer", "called_off")  # outcomes that prove nothing of the way to an exchange
BY_USE = (IN_SERVICE, TERMINATING, TERMINATED)  # of several machines of an exchange, the first counts
PROOF_NS = 5_000_000_000  # how long an answer to a call of ours outweighs what probes say
NO_WAY = FinalResponse(REFUSED, outcome=NO_ROUTE)


class SidecarAdmission:
    def __init__(self, config: SidecarConfig, now: int) -> None:
        self.config = config
        self.limiter = Limiter(config.limits, now)
        self.route_table = RouteTable(config.pools)
        self.exchange_list = ExchangeList()
        self.refused: dict[str, int] = {}  # by reason, for operators
        self._proved: dict[int, int] = {}  # by exchange: when a call of ours last got an answer there
        self._offices: dict[int, dict[int, str]] = {}  # by exchange: the state of each machine there

    def update_config(
        self, config: SidecarConfig, now: int
    ) -> tuple[list[EndpointEntry], list[interface.PoolUpdate]]:
        """A reload: what is open goes on under what it began with; the news is for what comes."""
        self.config = config
        self.limiter.update_config(config.limits, now)
        news = _news(self.route_table.update_config(config.pools))
        return self.exchange_list.update_config(config.exchanges), news

    # --- The core's questions ---------------------------------------------------------------------------

    def supports_class(self, class_name: str) -> bool:
        return class_name in self.config.classes

    def admit(self, now: int, line: object, offer: SetUpParams) -> tuple[SetUpParams, FinalResponse | None]:
        facts = self.config.classes.get(offer.class_name)
        routing = self.route_table.route_call(offer.class_name, offer.called_number, offer.district)
        if facts is None or routing.failure_reason:
            self._count(routing.failure_reason or "class not carried")
            return offer, NO_WAY
        result = self.limiter.admit(now, offer.class_name, line)
        if not result.admitted:
            self._count(result.reason)
            return offer, FinalResponse(REFUSED, retry_after_ns=result.retry_after_ns, outcome=OVER_LIMIT)
        deadline = min(offer.deadline_ns, now + facts.give_up_ns)
        return replace(
            offer, route=routing.route, destination=routing.exchange, width=facts.width, deadline_ns=deadline
        ), None

    def set_up_finished(self, now: int, line: object, offer: SetUpParams, took_ns: int) -> None:
        self.limiter.setup_ended(now, offer.class_name, line, took_ns)

    def attempt_timeout_ns(self, offer: SetUpParams) -> int:
        facts = self.config.classes.get(offer.class_name)
        return facts.time_out_ns if facts is not None else 0

    def filter_entries(
        self, source: str, whole: bool, lines: Iterable[EndpointEntry]
    ) -> tuple[str, bool, list[EndpointEntry]]:
        """What any source tells takes effect through the listing, in its words."""
        if source == SIDECAR_SOURCE:
            return SIDECAR_SOURCE, False, list(lines)
        return SIDECAR_SOURCE, False, self.exchange_list.apply_update(whole, lines)

    def endpoints_changed(self, desks: Iterable[Endpoint]) -> list[interface.PoolUpdate]:
        """An exchange is in use while any machine of it is in service: the old one may drain beside it."""
        changed = set()
        for desk in desks:
            machines = self._offices.setdefault(desk.entry.exchange, {})
            machines[desk.endpoint_id] = desk.entry.state
            if desk.entry.state == TERMINATED and len(machines) > 1:
                del machines[desk.endpoint_id]
            changed.add(desk.entry.exchange)
        states = []
        for exchange in sorted(changed):
            known = set(self._offices[exchange].values())
            states.append((exchange, next(s for s in BY_USE if s in known)))
        return _news(self.route_table.update_states(states))

    def attempt_ended(self, now: int, desk: Endpoint, outcome: str, cause: int) -> list[interface.PoolUpdate]:
        if outcome == "no_connection":
            return _news(self.route_table.record_connect_failure(now, desk.entry.exchange))
        if outcome in NO_NEWS or cause == CAUSE_CONNECTION_FAILED:
            return []
        self._proved[desk.entry.exchange] = now
        return _news(self.route_table.record_answer(desk.entry.exchange))

    def set_probe_failures(self, now: int, exchanges: Iterable[int]) -> list[interface.PoolUpdate]:
        """Exchanges that others' probes found silent; where our own calls are answered, those know better."""
        lately = now - PROOF_NS
        return _news(
            self.route_table.set_probe_failures(e for e in exchanges if self._proved.get(e, 0) < lately)
        )

    # --- Now and then -----------------------------------------------------------------------------------

    def start_due_trials(self, now: int) -> list[interface.PoolUpdate]:
        return _news(self.route_table.start_due_trials(now))

    def _count(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1


def _news(changed: Mapping[str, RouteAvailability]) -> list[interface.PoolUpdate]:
    return [interface.PoolUpdate(route, availability.exchanges) for route, availability in changed.items()]
