"""The M3UA-style front: clients that signal ISUP calls by point codes and CIC."""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import ESTABLISHED, MS, FinalResponse, Request, SetUpParams
from arrowrail.loop import Loop
from arrowrail.state.slots import SlotTable
from arrowrail.state.timers import Timer
from arrowrail.wire.listener import Listener
from arrowrail.wire.m3ua import causes
from arrowrail.wire.m3ua.association import ACTIVE, DOWN, Association, M3uaSettings
from arrowrail.wire.m3ua.isup import UUI_MAX, IsupMessage, IsupMessageType
from arrowrail.wire.m3ua.mappings import T1_NS, ClassMapping, PrefixMapping
from arrowrail.wire.m3ua.messages import ProtocolData
from arrowrail.wire.stream import Stream

RELEASE_KEPT_NS = 8_000 * MS  # how long a release waits for an association to go out on
MAX_CLIENTS = 64
UNALLOCATED, NOT_IMPLEMENTED, INTERWORKING = 1, 79, 127  # Q.850 causes of set-ups that can't be read
Key = tuple[int, int]  # the client's point code and the CIC; the other point code is our own


@dataclass(slots=True)
class Circuit:
    """A call on a client's circuit.  ``clearing``: our release is out, and its RLC is awaited."""

    call: str
    key: Key
    line: int
    standing: bool = False
    clearing: bool = False
    t1: Timer | None = None


class M3uaFrontend:
    def __init__(
        self, loop: Loop, core: Core, address: str, settings: M3uaSettings,
        classes: tuple[ClassMapping, ...], numbers: tuple[PrefixMapping, ...],
    ) -> None:  # fmt: skip
        self.loop, self.core, self.address, self.settings = loop, core, address, settings
        self.update_mappings(classes, numbers)
        self.associations: SlotTable[Association] = SlotTable()
        self.circuits: dict[Key, Circuit] = {}
        self.by_call: dict[str, Key] = {}
        self.listener: Listener | None = None

    def update_mappings(self, classes: tuple[ClassMapping, ...], numbers: tuple[PrefixMapping, ...]) -> None:
        """From now on; a call that was offered keeps what it was offered as."""
        self.classes = classes
        self.numbers = sorted(numbers, key=lambda n: -len(n.prefix))  # the longest prefix wins

    def start(self) -> None:
        self.core.frontends.append(self)
        self.listener = Listener(
            self.loop,
            self.address,
            self._accepted,
            lambda: len(self.associations) < MAX_CLIENTS,
            self._close_idlest,
        )

    def _close_idlest(self) -> bool:
        """Guards against silent peers taking the places of clients: who never shook hands goes first."""
        down = [
            association
            for association in self.associations
            if association.state == DOWN and association.stream is not None
        ]
        if down and down[0].stream is not None:
            down[0].stream.fail(None)
        return bool(down)

    # --- Associations -----------------------------------------------------------------------------------

    def _accepted(self, sock: socket.socket) -> None:
        association = Association(self.loop, self.settings, self, False)
        association.handle = self.associations.add(association)
        association.stream = Stream(self.loop, sock, association)
        association.connected()

    def active(self, association: Association) -> None:
        """Releases that found no association go out now; calls that stand belong to none."""
        for circuit in list(self.circuits.values()):
            home = self.associations.get(circuit.line)
            if circuit.clearing and (home is None or home.state != ACTIVE):
                circuit.line = association.handle
                self._release(circuit, causes.NORMAL)

    def lost(self, association: Association, _why: OSError | None) -> None:
        self.associations.remove(association.handle)
        for circuit in list(self.circuits.values()):
            if circuit.line == association.handle and not circuit.standing and not circuit.clearing:
                self.core.caller_abandoned(circuit.call)
                self._drop(circuit)
        if self.listener is not None:
            self.listener.resume()

    # --- From clients -----------------------------------------------------------------------------------

    def isup(self, association: Association, label: ProtocolData, message: IsupMessage) -> None:
        key = (label.opc, message.cic)
        circuit = self.circuits.get(key)
        if message.message_type == IsupMessageType.IAM:
            self._set_up(association, key, circuit, message)
        elif message.message_type in (IsupMessageType.REL, IsupMessageType.RSC):
            association.send_isup(label.opc, IsupMessage(message.cic, IsupMessageType.RLC))
            if circuit is not None:
                if not circuit.clearing and not self.core.caller_released(circuit.call):
                    self.core.caller_abandoned(circuit.call)
                self._drop(circuit)
        elif message.message_type == IsupMessageType.RLC and circuit is not None and circuit.clearing:
            self._drop(circuit)

    def _set_up(self, association: Association, key: Key, before: Circuit | None, m: IsupMessage) -> None:
        if before is not None and not before.clearing:
            return  # sent again: the first one's answer is the only one
        if before is not None:
            self._drop(before)  # the client uses the circuit anew, so it has heard our release
        exchange = next((n.exchange for n in self.numbers if m.called_number.startswith(n.prefix)), None)
        rule = next(
            (
                c
                for c in self.classes
                if c.category in (None, m.category) and c.requirement in (None, m.requirement)
            ),
            None,
        )
        circuit = Circuit(os.urandom(8).hex(), key, association.handle)
        self.circuits[key] = circuit
        if exchange is None or rule is None or not m.called_number:
            self._release(
                circuit, UNALLOCATED if exchange is None or not m.called_number else NOT_IMPLEMENTED
            )
            return
        self.by_call[circuit.call] = key
        offer = SetUpParams(
            circuit.call, rule.class_name, m.called_number, int(m.called_number, 16), exchange, rule.width,
            self.loop.now + rule.deadline_ns, m.uui,
        )  # fmt: skip
        self.core.submit(self, association.handle, offer)

    # --- From the core ----------------------------------------------------------------------------------

    def respond(self, request: Request, answer: FinalResponse) -> None:
        circuit = self._circuit(request.params.call_id)
        if circuit is None:
            return
        association = self.associations.get(circuit.line)
        if answer.result != ESTABLISHED:
            level = 1 if answer.retry_after_ns > 0 else 0  # ISUP's word for "come back later"
            self._release(circuit, causes.release_cause(answer), level)
        elif len(answer.session_description) > UUI_MAX or association is None:
            # It can't be passed on whole, and half a description is none: the call is cleared both ways.
            logger.warning(
                "an answer's description of {} bytes can't be passed on", len(answer.session_description)
            )
            self.core.caller_released(circuit.call)
            self._release(circuit, INTERWORKING)
        else:
            circuit.standing = True
            association.send_isup(circuit.key[0], IsupMessage(circuit.key[1], IsupMessageType.ACM))
            association.send_isup(
                circuit.key[0],
                IsupMessage(circuit.key[1], IsupMessageType.ANM, uui=answer.session_description),
            )

    def release(self, request: Request, cause: int) -> None:
        circuit = self._circuit(request.params.call_id)
        if circuit is not None:
            self._release(circuit, cause)

    def release_unknown(self, call: str, cause: int) -> None:
        """A call from before our restart has no circuit here that could be named."""

    @property
    def connections(self) -> int:
        return len(self.associations)

    def flushed(self) -> bool:
        return all(
            association.stream is None or association.stream.flushed for association in self.associations
        )

    # --- Circuits ---------------------------------------------------------------------------------------

    def _circuit(self, call: str) -> Circuit | None:
        key = self.by_call.get(call)
        return self.circuits.get(key) if key is not None else None

    def _release(self, circuit: Circuit, cause: int, congestion: int = 0) -> None:
        """REL on the circuit's own association, else on any active one; again each T1 until its RLC."""
        circuit.clearing, circuit.standing = True, False
        association = self.associations.get(circuit.line)
        if association is None or association.state != ACTIVE:
            association = next((other for other in self.associations if other.state == ACTIVE), None)
        if association is not None:
            release = IsupMessage(circuit.key[1], IsupMessageType.REL, cause=cause, congestion=congestion)
            association.send_isup(circuit.key[0], release)
        if circuit.t1 is not None:
            circuit.t1.cancel()
        wait = T1_NS if association is not None else RELEASE_KEPT_NS
        act = (
            (lambda: self._release(circuit, cause))
            if association is not None
            else (lambda: self._drop(circuit))
        )
        circuit.t1 = self.loop.timers.schedule(self.loop.now + wait, act)

    def _drop(self, circuit: Circuit) -> None:
        if circuit.t1 is not None:
            circuit.t1.cancel()
        if self.circuits.get(circuit.key) is circuit:
            del self.circuits[circuit.key]
        self.by_call.pop(circuit.call, None)
