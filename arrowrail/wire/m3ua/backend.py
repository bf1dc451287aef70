"""The back toward desk exchanges that signal in the M3UA style: one association and one group to each."""

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
from arrowrail.wire.m3ua.isup import UUI_MAX, IsupMessage, IsupMessageType
from arrowrail.wire.m3ua.mappings import T1_NS, ClassMapping
from arrowrail.wire.m3ua.messages import ProtocolData
from arrowrail.wire.reconnect import ReconnectTimer
from arrowrail.wire.stream import connect

SWEEP_NS = 150 * MS  # between two looks for servers that have fallen silent
NO_CIRCUIT = 1  # the module's cause
FACILITY_REJECTED = 29  # Q.850


@dataclass(slots=True)
class OutgoingCall:
    """What a call holds of the group: its circuits, from the send until the RLC."""

    call_id: str
    cics: list[int]
    offer: SetUpParams
    sent: bool = False  # the IAM was handed to the connection
    answered: bool = False
    clearing: bool = False
    t1: Timer | None = None


@dataclass(slots=True)
class TrunkGroup:
    """The association with one desk exchange, and the group of circuits that it signals for."""

    back: M3uaBackend
    desk: Endpoint
    size: int
    idle_circuits: deque[int]
    association: Association | None = None
    calls_by_cic: dict[int, OutgoingCall] = field(default_factory=dict)  # by the first CIC
    active_calls: dict[str, OutgoingCall] = field(default_factory=dict)  # set-ups out and calls that stand
    retry: ReconnectTimer = field(init=False)
    monitor: EndpointMonitor = field(init=False)

    def __post_init__(self) -> None:
        self.monitor = EndpointMonitor(self.back.loop.now, resets_on_restart=True)
        self.retry = ReconnectTimer(self.back.loop, self.open)

    # --- The association --------------------------------------------------------------------------------

    def open(self) -> None:
        if self.association is not None or self.desk.entry.state == TERMINATED:
            return
        self.retry.cancel()
        loop = self.back.loop
        association = self.association = Association(loop, self.back.settings, self, True)
        try:
            stream = association.stream = connect(loop, association, self.desk.entry.address)
        except OSError as why:  # no descriptor left
            loop.timers.schedule(loop.now, partial(self.lost, association, why))
            return
        self.retry.start_connect_timeout(self.back.connect_timeout_ns, stream)

    def active(self, association: Association) -> None:
        """Set-ups that waited for the handshake go out, and what was left to clear is cleared."""
        self.retry.reset_backoff()
        self.monitor.connected(self.back.loop.now)
        for use in list(self.calls_by_cic.values()):
            if use.clearing:
                self._clear(use, causes.NORMAL)
            elif not use.answered:
                self._send_iam(use)
        self.tell_group()

    def lost(self, association: Association, why: OSError | None) -> None:
        """Standing calls outlive the association; a set-up that may have reached the peer is lost."""
        if self.association is not association:
            return
        stream, self.association = association.stream, None
        never_up = stream is None or stream.connecting
        for use in list(self.calls_by_cic.values()):
            if use.answered or use.clearing:
                continue
            never_left = not use.sent or stream is None or stream.is_unsent(use.call_id)
            del self.active_calls[use.call_id]
            if never_left:
                self._free(use)
            else:
                use.clearing = True  # its circuits stay taken until the peer is back and confirms
            outcome = "no_connection" if never_left else "connection_lost"
            self.back.core.attempt_failed(
                self.desk, use.call_id, outcome, 0 if never_up else CAUSE_CONNECTION_FAILED
            )
        if self.desk.entry.state == TERMINATED:
            return
        logger.debug("association with {} lost: {}", self.desk.entry.uid, why)
        self.retry.schedule()
        if why is not None and why.errno == errno.ECONNREFUSED:
            self.monitor.connection_refused(self.back.loop.now)
        elif never_up:
            self.monitor.check_failed(self.back.loop.now)
        self.look()

    def look(self) -> None:
        """Give up calls whose server is gone; where calls stand in silence, ask for a sign of life."""
        now, core = self.back.loop.now, self.back.core
        association = self.association
        if association is not None and association.state == ACTIVE:
            self.monitor.data_received(association.heard_ns, association.heard_ns)
        loss = self.monitor.detect_loss(now)
        if loss is not None:
            core.endpoint_lost(self.desk, loss.reason, loss.before_ns)
        elif (
            association is not None
            and core.established_calls[self.desk.endpoint_id]
            and self.monitor.check_due(now)
        ):
            association.check()

    def close(self) -> None:
        self.retry.cancel()
        association, self.association = self.association, None
        if association is not None:
            association.close()
        for use in self.calls_by_cic.values():
            if use.t1 is not None:
                use.t1.cancel()

    # --- Calls ------------------------------------------------------------------------------------------

    def set_up(self, offer: SetUpParams) -> None:
        core = self.back.core
        if len(offer.session_description) > UUI_MAX or any(
            d not in CALLED_NUMBER_DIGITS for d in offer.called_number.upper()
        ):
            logger.warning("a set-up that ISUP can't carry: {} bytes", len(offer.session_description))
            core.attempt_failed(self.desk, offer.call_id, "not_sent")
            return
        if len(self.idle_circuits) < offer.width:
            core.attempt_failed(self.desk, offer.call_id, "not_sent", NO_CIRCUIT)
            return
        cics = [self.idle_circuits.popleft() for _ in range(offer.width)]
        use = OutgoingCall(offer.call_id, cics, offer)
        self.calls_by_cic[cics[0]] = self.active_calls[offer.call_id] = use
        self.tell_group()
        if self.association is not None and self.association.state == ACTIVE:
            self._send_iam(use)
        else:
            self.open()  # it waits for the handshake

    def _send_iam(self, use: OutgoingCall) -> None:
        if self.association is not None:
            category, requirement = self.back.bearer_of(use.offer.class_name)
            iam = IsupMessage(
                use.cics[0], IsupMessageType.IAM, category=category, requirement=requirement,
                called_number=use.offer.called_number.upper(), uui=use.offer.session_description,
            )  # fmt: skip
            use.sent = True
            self.association.send_isup(self.desk.entry.point_code, iam, use.call_id)

    def take_back(self, call: str) -> bool:
        """Guards against a queued set-up leaving after its call has ended or its exchange drains."""
        use = self.active_calls.get(call)
        if use is None or use.answered:
            return False
        stream = self.association.stream if self.association is not None else None
        if not use.sent or (stream is not None and stream.discard_unsent(call)):
            self._free(use)
            return True
        return False

    def release(self, call: str, cause: int) -> None:
        use = self.active_calls.pop(call, None)
        if use is not None:
            self._clear(use, cause)

    def _clear(self, use: OutgoingCall, cause: int) -> None:
        """REL, again each T1 until the RLC: until then its circuits are not idle."""
        use.clearing = True
        if self.association is not None and self.association.state == ACTIVE:
            self.association.send_isup(
                self.desk.entry.point_code, IsupMessage(use.cics[0], IsupMessageType.REL, cause=cause)
            )
        if use.t1 is not None:
            use.t1.cancel()
        use.t1 = self.back.loop.timers.schedule(self.back.loop.now + T1_NS, lambda: self._clear(use, cause))

    def _free(self, use: OutgoingCall) -> None:
        if use.t1 is not None:
            use.t1.cancel()
        self.active_calls.pop(use.call_id, None)
        if self.calls_by_cic.pop(use.cics[0], None) is not None:
            self.idle_circuits.extend(use.cics)
            self.tell_group()

    def tell_group(self) -> None:
        if self.association is not None and self.association.state == ACTIVE:
            self.back.core.trunk_group_changed(self.desk, len(self.idle_circuits), self.size)

    def isup(self, association: Association, label: ProtocolData, m: IsupMessage) -> None:
        core, use = self.back.core, self.calls_by_cic.get(m.cic)
        if m.message_type in (IsupMessageType.REL, IsupMessageType.RSC):
            association.send_isup(label.opc, IsupMessage(m.cic, IsupMessageType.RLC))
        elif m.message_type == IsupMessageType.IAM and use is None:
            # Calls come in over the front only; one that begins here is told so, not left to ring.
            association.send_isup(label.opc, IsupMessage(m.cic, IsupMessageType.REL, cause=FACILITY_REJECTED))
        if use is None or label.opc != self.desk.entry.point_code:
            return
        if m.message_type == IsupMessageType.ANM and not use.clearing:
            use.answered = True
            core.endpoint_answered(self.desk, use.call_id, m.uui)
        elif m.message_type in (IsupMessageType.REL, IsupMessageType.RSC):
            # A processor that has started anew resets its circuits: what was on them is cut.
            cause = m.cause if m.message_type == IsupMessageType.REL else Q850_TEMPORARY_FAILURE
            clearing = use.clearing
            self._free(use)
            if not clearing:
                core.endpoint_released(self.desk, use.call_id, causes.release_outcome(cause), cause)
                # After the outcome: 'no circuit' beyond the peer says nothing of the circuits toward it.
                self.tell_group()
        elif m.message_type == IsupMessageType.RLC and use.clearing:
            self._free(use)


class M3uaBackend:
    def __init__(
        self, loop: Loop, core: Core, settings: M3uaSettings, classes: tuple[ClassMapping, ...],
        circuits: int, connect_timeout_ns: int,
    ) -> None:  # fmt: skip
        self.loop, self.core, self.settings, self.circuits = loop, core, settings, circuits
        self.connect_timeout_ns = connect_timeout_ns
        self.trunk_groups: dict[int, TrunkGroup] = {}
        self.update_mappings(classes)
        core.backends["m3ua"] = self
        self.loop.timers.schedule(self.loop.now + SWEEP_NS, self._sweep)

    def _sweep(self) -> None:
        for trunk_group in list(self.trunk_groups.values()):
            trunk_group.look()
        self.loop.timers.schedule(self.loop.now + SWEEP_NS, self._sweep)

    def update_mappings(self, classes: tuple[ClassMapping, ...]) -> None:
        self._classes = {c.class_name: c for c in reversed(classes)}

    def bearer_of(self, class_name: str) -> tuple[int, int]:
        """Category and transmission medium requirement by which the far side knows the class."""
        rule = self._classes.get(class_name)
        category = rule.category if rule is not None and rule.category is not None else 0x0A
        return category, (rule.requirement if rule is not None and rule.requirement is not None else 0)

    def endpoint_changed(self, desk: Endpoint) -> None:
        trunk_group = self.trunk_groups.get(desk.endpoint_id)
        if desk.entry.state == IN_SERVICE:
            self._trunk_group(desk).open()
        elif trunk_group is not None:
            for call in list(trunk_group.active_calls):
                if trunk_group.take_back(call):
                    self.core.attempt_failed(desk, call, "not_sent")
            if desk.entry.state == TERMINATED:
                trunk_group.close()
                del self.trunk_groups[desk.endpoint_id]

    def _trunk_group(self, desk: Endpoint) -> TrunkGroup:
        trunk_group = self.trunk_groups.get(desk.endpoint_id)
        if trunk_group is None:
            size = desk.entry.circuits or self.circuits
            trunk_group = self.trunk_groups[desk.endpoint_id] = TrunkGroup(
                self, desk, size, deque(range(1, size + 1))
            )
        return trunk_group

    def set_up(self, desk: Endpoint, offer: SetUpParams, _wait_ns: int) -> None:
        self._trunk_group(desk).set_up(offer)

    def cancel_set_up(self, desk: Endpoint, call: str) -> None:
        trunk_group = self.trunk_groups.get(desk.endpoint_id)
        if trunk_group is not None and not trunk_group.take_back(call):
            trunk_group.release(call, causes.NORMAL)

    def release(self, desk: Endpoint, call: str, cause: int) -> None:
        trunk_group = self.trunk_groups.get(desk.endpoint_id)
        if trunk_group is not None:
            trunk_group.release(call, cause)
