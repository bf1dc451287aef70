"""The back toward desk exchanges that signal in the M3UA style: one association and one group to each."""

from __future__ import annotations

import errno
from collections import deque
from dataclasses import dataclass, field
from functools import partial

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import CAUSE_CONNECTION_FAILED, MS, Q850_CUT, Offer
from arrowrail.failure_detection.endpoint import EndpointMonitor
from arrowrail.loop import Loop
from arrowrail.state.address import DIGITS
from arrowrail.state.deadlines import Deadline
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, Endpoint
from arrowrail.wire.m3ua import causes
from arrowrail.wire.m3ua.isup import UUI_MAX, Isup, IsupType
from arrowrail.wire.m3ua.link import ACTIVE, Association, M3uaSettings
from arrowrail.wire.m3ua.messages import ProtocolData
from arrowrail.wire.m3ua.rules import T1_NS, ClassRule
from arrowrail.wire.reconnect import Reconnect
from arrowrail.wire.stream import connect

SWEEP_NS = 150 * MS  # between two looks for servers that have fallen silent
NO_CIRCUIT = 1  # the module's cause
FACILITY_REJECTED = 29  # Q.850


@dataclass(slots=True)
class Use:
    """What a call holds of the group: its circuits, from the send until the RLC."""

    call: str
    cics: list[int]
    offer: Offer
    sent: bool = False  # the IAM was handed to the connection
    answered: bool = False
    clearing: bool = False
    t1: Deadline | None = None


@dataclass(slots=True)
class Trunk:
    """The association with one desk exchange, and the group of circuits that it signals for."""

    back: M3uaBack
    desk: Endpoint
    size: int
    idle: deque[int]
    link: Association | None = None
    uses: dict[int, Use] = field(default_factory=dict)  # by the first CIC
    calls: dict[str, Use] = field(default_factory=dict)  # set-ups out and calls that stand
    retry: Reconnect = field(init=False)
    monitor: EndpointMonitor = field(init=False)

    def __post_init__(self) -> None:
        self.monitor = EndpointMonitor(self.back.loop.now, resets_on_restart=True)
        self.retry = Reconnect(self.back.loop, self.open)

    # --- The association --------------------------------------------------------------------------------

    def open(self) -> None:
        if self.link is not None or self.desk.told.state == TERMINATED:
            return
        self.retry.cancel()
        loop = self.back.loop
        link = self.link = Association(loop, self.back.settings, self, True)
        try:
            stream = link.stream = connect(loop, link, self.desk.told.endpoint)
        except OSError as why:  # no descriptor left
            loop.deadlines.at(loop.now, partial(self.lost, link, why))
            return
        self.retry.within(self.back.connect_timeout_ns, stream)

    def active(self, link: Association) -> None:
        """Set-ups that waited for the handshake go out, and what was left to clear is cleared."""
        self.retry.succeeded()
        self.monitor.connected(self.back.loop.now)
        for use in list(self.uses.values()):
            if use.clearing:
                self._clear(use, causes.NORMAL)
            elif not use.answered:
                self._send_iam(use)
        self.tell_group()

    def lost(self, link: Association, why: OSError | None) -> None:
        """Standing calls outlive the association; a set-up that may have reached the peer is lost."""
        if self.link is not link:
            return
        stream, self.link = link.stream, None
        never_up = stream is None or stream.connecting
        for use in list(self.uses.values()):
            if use.answered or use.clearing:
                continue
            never_left = not use.sent or stream is None or stream.unsent(use.call)
            del self.calls[use.call]
            if never_left:
                self._free(use)
            else:
                use.clearing = True  # its circuits stay taken until the peer is back and confirms
            outcome = "no_connection" if never_left else "connection_lost"
            self.back.core.attempt_failed(
                self.desk, use.call, outcome, 0 if never_up else CAUSE_CONNECTION_FAILED
            )
        if self.desk.told.state == TERMINATED:
            return
        logger.debug("association with {} lost: {}", self.desk.told.uid, why)
        self.retry.failed()
        if why is not None and why.errno == errno.ECONNREFUSED:
            self.monitor.refused(self.back.loop.now)
        elif never_up:
            self.monitor.check_failed(self.back.loop.now)
        self.look()

    def look(self) -> None:
        """Give up calls whose server is gone; where calls stand in silence, ask for a sign of life."""
        now, core = self.back.loop.now, self.back.core
        link = self.link
        if link is not None and link.state == ACTIVE:
            self.monitor.heard(link.heard_ns, link.heard_ns)
        loss = self.monitor.loss(now)
        if loss is not None:
            core.server_lost(self.desk, loss.reason, loss.before_ns)
        elif link is not None and core.standing[self.desk.office] and self.monitor.check_due(now):
            link.check()

    def close(self) -> None:
        self.retry.cancel()
        link, self.link = self.link, None
        if link is not None:
            link.close()
        for use in self.uses.values():
            if use.t1 is not None:
                use.t1.cancel()

    # --- Calls ------------------------------------------------------------------------------------------

    def set_up(self, offer: Offer) -> None:
        core = self.back.core
        if len(offer.description) > UUI_MAX or any(d not in DIGITS for d in offer.number.upper()):
            logger.warning("a set-up that ISUP can't carry: {} bytes", len(offer.description))
            core.attempt_failed(self.desk, offer.call, "not_sent")
            return
        if len(self.idle) < offer.width:
            core.attempt_failed(self.desk, offer.call, "not_sent", NO_CIRCUIT)
            return
        cics = [self.idle.popleft() for _ in range(offer.width)]
        use = Use(offer.call, cics, offer)
        self.uses[cics[0]] = self.calls[offer.call] = use
        self.tell_group()
        if self.link is not None and self.link.state == ACTIVE:
            self._send_iam(use)
        else:
            self.open()  # it waits for the handshake

    def _send_iam(self, use: Use) -> None:
        if self.link is not None:
            category, requirement = self.back.bearer(use.offer.class_name)
            iam = Isup(
                use.cics[0], IsupType.IAM, category=category, requirement=requirement,
                called=use.offer.number.upper(), uui=use.offer.description,
            )  # fmt: skip
            use.sent = True
            self.link.send_isup(self.desk.told.point_code, iam, use.call)

    def take_back(self, call: str) -> bool:
        """Guards against a queued set-up leaving after its call has ended or its exchange drains."""
        use = self.calls.get(call)
        if use is None or use.answered:
            return False
        stream = self.link.stream if self.link is not None else None
        if not use.sent or (stream is not None and stream.withdraw(call)):
            self._free(use)
            return True
        return False

    def release(self, call: str, cause: int) -> None:
        use = self.calls.pop(call, None)
        if use is not None:
            self._clear(use, cause)

    def _clear(self, use: Use, cause: int) -> None:
        """REL, again each T1 until the RLC: until then its circuits are not idle."""
        use.clearing = True
        if self.link is not None and self.link.state == ACTIVE:
            self.link.send_isup(self.desk.told.point_code, Isup(use.cics[0], IsupType.REL, cause=cause))
        if use.t1 is not None:
            use.t1.cancel()
        use.t1 = self.back.loop.deadlines.at(self.back.loop.now + T1_NS, lambda: self._clear(use, cause))

    def _free(self, use: Use) -> None:
        if use.t1 is not None:
            use.t1.cancel()
        self.calls.pop(use.call, None)
        if self.uses.pop(use.cics[0], None) is not None:
            self.idle.extend(use.cics)
            self.tell_group()

    def tell_group(self) -> None:
        if self.link is not None and self.link.state == ACTIVE:
            self.back.core.group_state(self.desk, len(self.idle), self.size)

    def isup(self, link: Association, label: ProtocolData, m: Isup) -> None:
        core, use = self.back.core, self.uses.get(m.cic)
        if m.kind in (IsupType.REL, IsupType.RSC):
            link.send_isup(label.opc, Isup(m.cic, IsupType.RLC))
        elif m.kind == IsupType.IAM and use is None:
            # Calls come in over the front only; one that begins here is told so, not left to ring.
            link.send_isup(label.opc, Isup(m.cic, IsupType.REL, cause=FACILITY_REJECTED))
        if use is None or label.opc != self.desk.told.point_code:
            return
        if m.kind == IsupType.ANM and not use.clearing:
            use.answered = True
            core.desk_answered(self.desk, use.call, m.uui)
        elif m.kind in (IsupType.REL, IsupType.RSC):
            # A processor that has started anew resets its circuits: what was on them is cut.
            cause = m.cause if m.kind == IsupType.REL else Q850_CUT
            clearing = use.clearing
            self._free(use)
            if not clearing:
                core.desk_released(self.desk, use.call, causes.ended_by(cause), cause)
                # After the outcome: 'no circuit' beyond the peer says nothing of the circuits toward it.
                self.tell_group()
        elif m.kind == IsupType.RLC and use.clearing:
            self._free(use)


class M3uaBack:
    def __init__(
        self, loop: Loop, core: Core, settings: M3uaSettings, classes: tuple[ClassRule, ...],
        circuits: int, connect_timeout_ns: int,
    ) -> None:  # fmt: skip
        self.loop, self.core, self.settings, self.circuits = loop, core, settings, circuits
        self.connect_timeout_ns = connect_timeout_ns
        self.trunks: dict[int, Trunk] = {}
        self.use(classes)
        core.backs["m3ua"] = self
        self.loop.deadlines.at(self.loop.now + SWEEP_NS, self._sweep)

    def _sweep(self) -> None:
        for trunk in list(self.trunks.values()):
            trunk.look()
        self.loop.deadlines.at(self.loop.now + SWEEP_NS, self._sweep)

    def use(self, classes: tuple[ClassRule, ...]) -> None:
        self._classes = {c.class_name: c for c in reversed(classes)}

    def bearer(self, class_name: str) -> tuple[int, int]:
        """Category and transmission medium requirement by which the far side knows the class."""
        rule = self._classes.get(class_name)
        category = rule.category if rule is not None and rule.category is not None else 0x0A
        return category, (rule.requirement if rule is not None and rule.requirement is not None else 0)

    def changed(self, desk: Endpoint) -> None:
        trunk = self.trunks.get(desk.office)
        if desk.told.state == IN_SERVICE:
            self._trunk(desk).open()
        elif trunk is not None:
            for call in list(trunk.calls):
                if trunk.take_back(call):
                    self.core.attempt_failed(desk, call, "not_sent")
            if desk.told.state == TERMINATED:
                trunk.close()
                del self.trunks[desk.office]

    def _trunk(self, desk: Endpoint) -> Trunk:
        trunk = self.trunks.get(desk.office)
        if trunk is None:
            size = desk.told.circuits or self.circuits
            trunk = self.trunks[desk.office] = Trunk(self, desk, size, deque(range(1, size + 1)))
        return trunk

    def set_up(self, desk: Endpoint, offer: Offer, _wait_ns: int) -> None:
        self._trunk(desk).set_up(offer)

    def give_up(self, desk: Endpoint, call: str) -> None:
        trunk = self.trunks.get(desk.office)
        if trunk is not None and not trunk.take_back(call):
            trunk.release(call, causes.NORMAL)

    def release(self, desk: Endpoint, call: str, cause: int) -> None:
        trunk = self.trunks.get(desk.office)
        if trunk is not None:
            trunk.release(call, cause)
