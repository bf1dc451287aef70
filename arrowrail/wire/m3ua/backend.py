"""Backend for exchanges with M3UA-style signalling: one association and one trunk group per endpoint."""

from __future__ import annotations

import errno
from collections import deque
from dataclasses import dataclass, field
from functools import partial

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import CAUSE_CONNECTION_FAILED, MS, Q850_TEMPORARY_FAILURE, SetUpParams
from arrowrail.failure_detection.endpoint import EndpointMonitor
from arrowrail.loop import Loop
from arrowrail.state.address import CALLED_NUMBER_DIGITS
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, Endpoint
from arrowrail.state.timers import Timer
from arrowrail.wire.m3ua import causes
from arrowrail.wire.m3ua.association import ACTIVE, Association, M3uaSettings
from arrowrail.wire.m3ua.isup import MAX_UUI_LENGTH, IsupMessage, IsupMessageType
from arrowrail.wire.m3ua.mappings import T1_NS, ClassMapping
from arrowrail.wire.m3ua.messages import ProtocolData
from arrowrail.wire.reconnect import ReconnectTimer
from arrowrail.wire.stream import connect

CHECK_INTERVAL_NS = 150 * MS  # between two checks for servers that no longer respond
CAUSE_NO_CIRCUIT = 1  # cause code of the decision module
Q850_FACILITY_REJECTED = 29


@dataclass(slots=True)
class OutgoingCall:
    """A call toward an exchange and the circuits it occupies, from the set-up until the RLC."""

    call_id: str
    cics: list[int]
    params: SetUpParams
    sent: bool = False  # the IAM was queued on the connection
    answered: bool = False
    clearing: bool = False  # its circuits stay occupied until the RLC
    t1_timer: Timer | None = None


@dataclass(slots=True)
class TrunkGroup:
    """The circuits toward one endpoint, and the association that carries their signalling."""

    backend: M3uaBackend
    endpoint: Endpoint
    size: int
    idle_circuits: deque[int]
    association: Association | None = None
    # Every call that occupies circuits, by its first CIC; and by call id those that are not being cleared.
    calls_by_cic: dict[int, OutgoingCall] = field(default_factory=dict)
    active_calls: dict[str, OutgoingCall] = field(default_factory=dict)
    reconnect_timer: ReconnectTimer = field(init=False)
    monitor: EndpointMonitor = field(init=False)

    def __post_init__(self) -> None:
        self.monitor = EndpointMonitor(self.backend.loop.now, resets_on_restart=True)
        self.reconnect_timer = ReconnectTimer(self.backend.loop, self.open)

    # --- The association --------------------------------------------------------------------------------

    def open(self) -> None:
        if self.association is not None or self.endpoint.entry.state == TERMINATED:
            return
        self.reconnect_timer.cancel()
        loop = self.backend.loop
        association = self.association = Association(loop, self.backend.settings, self, True)
        try:
            stream = association.stream = connect(loop, association, self.endpoint.entry.address)
        except OSError as error:  # out of file descriptors
            loop.timers.schedule(loop.now, partial(self.association_lost, association, error))
            return
        self.reconnect_timer.start_connect_timeout(self.backend.connect_timeout_ns, stream)

    def association_active(self, association: Association) -> None:
        """Send the set-ups that waited for the handshake, and the releases that are still unconfirmed."""
        self.reconnect_timer.reset_backoff()
        self.monitor.connected(self.backend.loop.now)
        for call in list(self.calls_by_cic.values()):
            if call.clearing:
                self._send_release(call, causes.Q850_NORMAL_CLEARING)
            elif not call.answered:
                self._send_iam(call)
        self.report_circuits()

    def association_lost(self, association: Association, error: OSError | None) -> None:
        """Fail the unanswered set-ups.  Established calls do not depend on the association."""
        if self.association is not association:
            return
        stream, self.association = association.stream, None
        never_connected = stream is None or stream.connecting
        for call in list(self.calls_by_cic.values()):
            if call.answered or call.clearing:
                continue
            unsent = not call.sent or stream is None or stream.is_unsent(call.call_id)
            del self.active_calls[call.call_id]
            if unsent:
                self._free_circuits(call)
            else:
                # The peer may have received the IAM: its circuits stay occupied until it confirms a release.
                call.clearing = True
            outcome = "no_connection" if unsent else "connection_lost"
            self.backend.core.attempt_failed(
                self.endpoint, call.call_id, outcome, 0 if never_connected else CAUSE_CONNECTION_FAILED
            )
        if self.endpoint.entry.state == TERMINATED:
            return
        logger.debug("lost the association with {}: {}", self.endpoint.entry.uid, error)
        self.reconnect_timer.schedule()
        if error is not None and error.errno == errno.ECONNREFUSED:
            self.monitor.connection_refused(self.backend.loop.now)
        elif never_connected:
            self.monitor.check_failed(self.backend.loop.now)
        self.check_server()

    def check_server(self) -> None:
        """End the calls of a server that is gone; send a heartbeat to a silent one that has calls."""
        now, core = self.backend.loop.now, self.backend.core
        association = self.association
        if association is not None and association.state == ACTIVE:
            oldest_call_ns = core.established_calls.oldest_answered_ns(self.endpoint.endpoint_id)
            self.monitor.data_received(association.last_received_ns, association.opened_ns, oldest_call_ns)
        loss = self.monitor.detect_loss(now)
        if loss is not None:
            core.endpoint_lost(self.endpoint, loss.reason, loss.before_ns)
        elif (
            association is not None
            and core.established_calls.count(self.endpoint.endpoint_id)
            and self.monitor.check_due(now)
        ):
            association.check_peer()

    def close(self) -> None:
        self.reconnect_timer.cancel()
        association, self.association = self.association, None
        if association is not None:
            association.close()
        for call in self.calls_by_cic.values():
            if call.t1_timer is not None:
                call.t1_timer.cancel()

    # --- Calls ------------------------------------------------------------------------------------------

    def set_up(self, params: SetUpParams) -> None:
        core = self.backend.core
        if len(params.session_description) > MAX_UUI_LENGTH or any(
            digit not in CALLED_NUMBER_DIGITS for digit in params.called_number.upper()
        ):
            logger.warning(
                "ISUP cannot carry a set-up: invalid number, or session description of {} bytes",
                len(params.session_description),
            )
            core.attempt_failed(self.endpoint, params.call_id, "not_sent")
            return
        if len(self.idle_circuits) < params.width:
            core.attempt_failed(self.endpoint, params.call_id, "not_sent", CAUSE_NO_CIRCUIT)
            return
        cics = [self.idle_circuits.popleft() for _ in range(params.width)]
        call = OutgoingCall(params.call_id, cics, params)
        self.calls_by_cic[cics[0]] = self.active_calls[params.call_id] = call
        self.report_circuits()
        if self.association is not None and self.association.state == ACTIVE:
            self._send_iam(call)
        else:
            self.open()  # the set-up is sent after the handshake

    def _send_iam(self, call: OutgoingCall) -> None:
        if self.association is not None:
            category, requirement = self.backend.bearer_of(call.params.class_name)
            iam = IsupMessage(
                call.cics[0], IsupMessageType.IAM, category=category, requirement=requirement,
                called_number=call.params.called_number.upper(), uui=call.params.session_description,
            )  # fmt: skip
            call.sent = True
            self.association.send_isup(self.endpoint.entry.point_code, iam, call.call_id)

    def discard_set_up(self, call_id: str) -> bool:
        """Discard the set-up of a call that has ended, or whose exchange drains, if it is still unsent.

        Return whether it was discarded.
        """
        call = self.active_calls.get(call_id)
        if call is None or call.answered:
            return False
        stream = self.association.stream if self.association is not None else None
        if not call.sent or (stream is not None and stream.discard_unsent(call_id)):
            self._free_circuits(call)
            return True
        return False

    def release(self, call_id: str, cause: int) -> None:
        call = self.active_calls.pop(call_id, None)
        if call is not None:
            self._send_release(call, cause)

    def _send_release(self, call: OutgoingCall, cause: int) -> None:
        """Send REL, and again each T1 until the RLC, which makes its circuits idle."""
        call.clearing = True
        if self.association is not None and self.association.state == ACTIVE:
            self.association.send_isup(
                self.endpoint.entry.point_code, IsupMessage(call.cics[0], IsupMessageType.REL, cause=cause)
            )
        if call.t1_timer is not None:
            call.t1_timer.cancel()
        call.t1_timer = self.backend.loop.timers.schedule(
            self.backend.loop.now + T1_NS, lambda: self._send_release(call, cause)
        )

    def _free_circuits(self, call: OutgoingCall) -> None:
        if call.t1_timer is not None:
            call.t1_timer.cancel()
        self.active_calls.pop(call.call_id, None)
        if self.calls_by_cic.pop(call.cics[0], None) is not None:
            self.idle_circuits.extend(call.cics)
            self.report_circuits()

    def report_circuits(self) -> None:
        if self.association is not None and self.association.state == ACTIVE:
            self.backend.core.trunk_group_changed(self.endpoint, len(self.idle_circuits), self.size)

    def isup_received(self, association: Association, label: ProtocolData, message: IsupMessage) -> None:
        core, call = self.backend.core, self.calls_by_cic.get(message.cic)
        if message.message_type in (IsupMessageType.REL, IsupMessageType.RSC):
            association.send_isup(label.opc, IsupMessage(message.cic, IsupMessageType.RLC))
        elif message.message_type == IsupMessageType.IAM and call is None:
            # Calls come in over the frontend only: reject this one, so that the exchange does not wait.
            association.send_isup(
                label.opc, IsupMessage(message.cic, IsupMessageType.REL, cause=Q850_FACILITY_REJECTED)
            )
        if call is None or label.opc != self.endpoint.entry.point_code:
            return
        if message.message_type == IsupMessageType.ANM and not call.clearing:
            call.answered = True
            core.endpoint_answered(self.endpoint, call.call_id, message.uui)
        elif message.message_type in (IsupMessageType.REL, IsupMessageType.RSC):
            # A processor that has restarted resets its circuits, which ends the calls on them.
            cause = message.cause if message.message_type == IsupMessageType.REL else Q850_TEMPORARY_FAILURE
            clearing = call.clearing
            if message.message_type == IsupMessageType.REL:
                self._call_released(call)
            self._free_circuits(call)
            if not clearing:
                core.endpoint_released(self.endpoint, call.call_id, causes.release_outcome(cause), cause)
                # After the outcome: a peer's 'no circuit' concerns the circuits behind it, not those of this
                # group, so the number of idle circuits is reported once more.
                self.report_circuits()
        elif message.message_type == IsupMessageType.RLC and call.clearing:
            self._free_circuits(call)

    def _call_released(self, call: OutgoingCall) -> None:
        """The peer has released a call, which shows that it held it if the call was established.

        A reset of a circuit shows nothing of the kind: a peer that starts resets them all.
        """
        answered_ns = self.backend.core.established_calls.answered_ns(self.endpoint.endpoint_id, call.call_id)
        if answered_ns:
            self.monitor.call_released(self.backend.loop.now, answered_ns)


class M3uaBackend:
    """Backend of the core; ``default_circuits`` is the group size where an endpoint states none."""

    def __init__(
        self, loop: Loop, core: Core, settings: M3uaSettings, class_mappings: tuple[ClassMapping, ...],
        default_circuits: int, connect_timeout_ns: int,
    ) -> None:  # fmt: skip
        self.loop, self.core, self.settings, self.default_circuits = loop, core, settings, default_circuits
        self.connect_timeout_ns = connect_timeout_ns
        self.trunk_groups: dict[int, TrunkGroup] = {}
        self.update_mappings(class_mappings)
        core.backends["m3ua"] = self
        self.loop.timers.schedule(self.loop.now + CHECK_INTERVAL_NS, self._check_servers)

    def _check_servers(self) -> None:
        for trunk_group in list(self.trunk_groups.values()):
            trunk_group.check_server()
        self.loop.timers.schedule(self.loop.now + CHECK_INTERVAL_NS, self._check_servers)

    def update_mappings(self, class_mappings: tuple[ClassMapping, ...]) -> None:
        self._mappings_by_class = {mapping.class_name: mapping for mapping in reversed(class_mappings)}

    def bearer_of(self, class_name: str) -> tuple[int, int]:
        """Return the calling party's category and the transmission medium requirement of a class."""
        mapping = self._mappings_by_class.get(class_name)
        category = mapping.category if mapping is not None and mapping.category is not None else 0x0A
        return category, (
            mapping.requirement if mapping is not None and mapping.requirement is not None else 0
        )

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        trunk_group = self.trunk_groups.get(endpoint.endpoint_id)
        if endpoint.entry.state == IN_SERVICE:
            self._trunk_group(endpoint).open()
        elif trunk_group is not None:
            for call_id in list(trunk_group.active_calls):
                if trunk_group.discard_set_up(call_id):
                    self.core.attempt_failed(endpoint, call_id, "not_sent")
            if endpoint.entry.state == TERMINATED:
                trunk_group.close()
                del self.trunk_groups[endpoint.endpoint_id]

    def _trunk_group(self, endpoint: Endpoint) -> TrunkGroup:
        trunk_group = self.trunk_groups.get(endpoint.endpoint_id)
        if trunk_group is None:
            size = endpoint.entry.circuits or self.default_circuits
            trunk_group = self.trunk_groups[endpoint.endpoint_id] = TrunkGroup(
                self, endpoint, size, deque(range(1, size + 1))
            )
        return trunk_group

    def set_up(self, endpoint: Endpoint, params: SetUpParams, _timeout_ns: int) -> None:
        self._trunk_group(endpoint).set_up(params)

    def cancel_set_up(self, endpoint: Endpoint, call_id: str) -> bool:
        trunk_group = self.trunk_groups.get(endpoint.endpoint_id)
        if trunk_group is None:
            return False
        if trunk_group.discard_set_up(call_id):
            return True
        trunk_group.release(call_id, causes.Q850_NORMAL_CLEARING)
        return False

    def release(self, endpoint: Endpoint, call_id: str, cause: int) -> None:
        trunk_group = self.trunk_groups.get(endpoint.endpoint_id)
        if trunk_group is not None:
            trunk_group.release(call_id, cause)

    def address_taken(self, endpoint: Endpoint, started_ns: int) -> None:
        trunk_group = self.trunk_groups.get(endpoint.endpoint_id)
        if trunk_group is not None:
            trunk_group.monitor.identity.address_taken(self.loop.now, started_ns)
            trunk_group.check_server()
