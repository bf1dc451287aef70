"""Admission control of the sidecar: limits, routing and the exchange list, as the core calls them."""

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

# Outcomes that do not tell whether the exchange is reachable.
INCONCLUSIVE_OUTCOMES = ("not_sent", "no_answer", "called_off")
# The state of an exchange with several endpoints is the first of these that any endpoint has.
STATE_PRECEDENCE = (IN_SERVICE, TERMINATING, TERMINATED)
ANSWER_VALIDITY_NS = 5_000_000_000  # how long an answer to an own call overrides others' probes
NO_ROUTE_RESPONSE = FinalResponse(REFUSED, outcome=NO_ROUTE)


class SidecarAdmission:
    """Routes and admits set-ups by the operator's records (see ``AdmissionController``)."""

    def __init__(self, config: SidecarConfig, now: int) -> None:
        self.config = config
        self.limiter = Limiter(config.limits, now)
        self.route_table = RouteTable(config.pools)
        self.exchange_list = ExchangeList()
        self.refused: dict[str, int] = {}  # refused set-ups by reason, for operators
        self._last_answer_ns: dict[int, int] = {}  # by exchange: when an own call was last answered there
        self._endpoint_states: dict[int, dict[int, str]] = {}  # by exchange and endpoint id

    def update_config(
        self, config: SidecarConfig, now: int
    ) -> tuple[list[EndpointEntry], list[interface.PoolUpdate]]:
        """Apply a reload to new set-ups; those in progress keep their parameters.

        Return the changed entries of the exchange list and the changed pools.
        """
        self.config = config
        self.limiter.update_config(config.limits, now)
        pool_updates = _pool_updates(self.route_table.update_config(config.pools))
        return self.exchange_list.update_config(config.exchanges), pool_updates

    # --- Interface to the core --------------------------------------------------------------------------

    def supports_class(self, class_name: str) -> bool:
        return class_name in self.config.classes

    def admit(
        self, now: int, connection: object, params: SetUpParams
    ) -> tuple[SetUpParams, FinalResponse | None]:
        class_config = self.config.classes.get(params.class_name)
        routing = self.route_table.route_call(params.class_name, params.called_number, params.district)
        if class_config is None or routing.failure_reason:
            self._count(routing.failure_reason or "class not carried")
            return params, NO_ROUTE_RESPONSE
        result = self.limiter.admit(now, params.class_name, connection)
        if not result.admitted:
            self._count(result.reason)
            return params, FinalResponse(REFUSED, retry_after_ns=result.retry_after_ns, outcome=OVER_LIMIT)
        deadline_ns = min(params.deadline_ns, now + class_config.caller_timeout_ns)
        return replace(
            params,
            route=routing.route,
            destination=routing.exchange,
            width=class_config.width,
            deadline_ns=deadline_ns,
        ), None

    def set_up_finished(self, now: int, connection: object, params: SetUpParams, duration_ns: int) -> None:
        self.limiter.set_up_ended(now, params.class_name, connection, duration_ns)

    def attempt_timeout_ns(self, params: SetUpParams) -> int:
        class_config = self.config.classes.get(params.class_name)
        return class_config.attempt_timeout_ns if class_config is not None else 0

    def filter_entries(
        self, source: str, snapshot: bool, entries: Iterable[EndpointEntry]
    ) -> tuple[str, bool, list[EndpointEntry]]:
        """Merge the update of any source into the exchange list, and pass on the entries that changed."""
        if source == SIDECAR_SOURCE:
            return SIDECAR_SOURCE, False, list(entries)
        return SIDECAR_SOURCE, False, self.exchange_list.apply_update(snapshot, entries)

    def endpoints_changed(self, endpoints: Iterable[Endpoint]) -> list[interface.PoolUpdate]:
        """Update the states of exchanges: one is in service while any of its endpoints is.

        An exchange has two endpoints while it moves to a new address and the old one drains.
        """
        changed = set()
        for endpoint in endpoints:
            states_by_id = self._endpoint_states.setdefault(endpoint.entry.exchange, {})
            states_by_id[endpoint.endpoint_id] = endpoint.entry.state
            if endpoint.entry.state == TERMINATED and len(states_by_id) > 1:
                del states_by_id[endpoint.endpoint_id]
            changed.add(endpoint.entry.exchange)
        exchange_states = []
        for exchange in sorted(changed):
            states = set(self._endpoint_states[exchange].values())
            exchange_states.append((exchange, next(s for s in STATE_PRECEDENCE if s in states)))
        return _pool_updates(self.route_table.update_states(exchange_states))

    def attempt_ended(
        self, now: int, endpoint: Endpoint, outcome: str, cause: int
    ) -> list[interface.PoolUpdate]:
        if outcome == "no_connection":
            return _pool_updates(self.route_table.record_connect_failure(now, endpoint.entry.exchange))
        if outcome in INCONCLUSIVE_OUTCOMES or cause == CAUSE_CONNECTION_FAILED:
            return []
        self._last_answer_ns[endpoint.entry.exchange] = now
        return _pool_updates(self.route_table.record_answer(endpoint.entry.exchange))

    def set_probe_failures(self, now: int, exchanges: Iterable[int]) -> list[interface.PoolUpdate]:
        """Set the exchanges whose probes by other instances failed.

        Those that recently answered an own call are left out: that is better evidence.
        """
        answered_since = now - ANSWER_VALIDITY_NS
        return _pool_updates(
            self.route_table.set_probe_failures(
                e for e in exchanges if self._last_answer_ns.get(e, 0) < answered_since
            )
        )

    # --- Periodic work ----------------------------------------------------------------------------------

    def start_due_trials(self, now: int) -> list[interface.PoolUpdate]:
        return _pool_updates(self.route_table.start_due_trials(now))

    def _count(self, reason: str) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1


def _pool_updates(changed: Mapping[str, RouteAvailability]) -> list[interface.PoolUpdate]:
    return [interface.PoolUpdate(route, availability.exchanges) for route, availability in changed.items()]
