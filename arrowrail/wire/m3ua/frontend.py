"""Frontend for clients with M3UA-style signalling, whose ISUP calls are known by point code and CIC."""

from __future__ import annotations

import os
import socket
from dataclasses import dataclass, replace

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import (
    ESTABLISHED,
    MS,
    Q850_TEMPORARY_FAILURE,
    FinalResponse,
    Request,
    SetUpParams,
    SubmitResult,
)
from arrowrail.loop import Loop
from arrowrail.state.slots import SlotTable
from arrowrail.state.timers import Timer
from arrowrail.wire.input_stage import InputStage
from arrowrail.wire.listener import Listener
from arrowrail.wire.m3ua import causes
from arrowrail.wire.m3ua.association import ACTIVE, DOWN, Association, M3uaSettings
from arrowrail.wire.m3ua.isup import MAX_UUI_LENGTH, IsupMessage, IsupMessageType
from arrowrail.wire.m3ua.mappings import T1_NS, ClassMapping, PrefixMapping
from arrowrail.wire.m3ua.messages import ProtocolData
from arrowrail.wire.stream import Stream

RELEASE_LIFETIME_NS = 8_000 * MS  # how long a release waits for an association that can send it
MAX_CLIENTS = 64
MAX_GIVEN_UP = 4096  # calls of lost associations that are recognized when their IAM comes again
# Q.850 causes: unallocated number; service not implemented; interworking, unspecified.
Q850_UNALLOCATED, Q850_NOT_IMPLEMENTED, Q850_INTERWORKING = 1, 79, 127
CircuitKey = tuple[int, int]  # point code of the client, CIC; the other point code is always our own


@dataclass(slots=True)
class Circuit:
    """A call on a circuit of a client."""

    call_id: str
    key: CircuitKey
    association_handle: int
    established: bool = False
    clearing: bool = False  # a release was sent and its RLC is awaited
    answer: bytes = b""  # session description of an established call
    t1_timer: Timer | None = None


class M3uaFrontend:
    """Accepts the associations of clients and passes their calls to the core."""

    def __init__(
        self, loop: Loop, core: Core, address: str, settings: M3uaSettings,
        class_mappings: tuple[ClassMapping, ...], prefix_mappings: tuple[PrefixMapping, ...],
    ) -> None:  # fmt: skip
        self.loop, self.core, self.address, self.settings = loop, core, address, settings
        self.update_mappings(class_mappings, prefix_mappings)
        self.associations: SlotTable[Association] = SlotTable()
        self.circuits: dict[CircuitKey, Circuit] = {}
        self.key_by_call_id: dict[str, CircuitKey] = {}
        self._given_up: dict[CircuitKey, str] = {}  # last call id by circuit, oldest first
        self.listener: Listener | None = None
        self.input_stage = InputStage(loop)

    def update_mappings(
        self, class_mappings: tuple[ClassMapping, ...], prefix_mappings: tuple[PrefixMapping, ...]
    ) -> None:
        """Use these mappings for new calls; existing calls keep theirs."""
        self.class_mappings = class_mappings
        # Longest prefix first, as the first match is used.
        self.prefix_mappings = sorted(prefix_mappings, key=lambda mapping: -len(mapping.prefix))

    def start(self) -> None:
        self.core.frontends.append(self)
        self.listener = Listener(
            self.loop,
            self.address,
            self._on_accepted,
            lambda: len(self.associations) < MAX_CLIENTS,
            self._evict_idle,
        )

    def _evict_idle(self) -> bool:
        """Close an association without a handshake, so that silent peers do not take the place of clients.

        Return whether there was one.
        """
        down = [
            association
            for association in self.associations
            if association.state == DOWN and association.stream is not None
        ]
        if down and down[0].stream is not None:
            down[0].stream.fail(None)
        return bool(down)

    # --- Associations -----------------------------------------------------------------------------------

    def _on_accepted(self, sock: socket.socket) -> None:
        association = Association(self.loop, self.settings, self, False)
        association.handle = self.associations.add(association)
        association.stream = Stream(self.loop, sock, association, input_stage=self.input_stage)
        association.connected()

    def association_active(self, association: Association) -> None:
        """Send the releases that found no active association; any association may carry them."""
        for circuit in list(self.circuits.values()):
            own_association = self.associations.get(circuit.association_handle)
            if circuit.clearing and (own_association is None or own_association.state != ACTIVE):
                circuit.association_handle = association.handle
                self._send_release(circuit, causes.Q850_NORMAL_CLEARING)

    def association_lost(self, association: Association, _error: OSError | None) -> None:
        self.associations.remove(association.handle)
        for circuit in list(self.circuits.values()):
            if (
                circuit.association_handle == association.handle
                and not circuit.established
                and not circuit.clearing
            ):
                self.core.caller_abandoned(circuit.call_id)
                self._remove_circuit(circuit)
                self._remember_given_up(circuit)
        if self.listener is not None:
            self.listener.resume()

    def _remember_given_up(self, circuit: Circuit) -> None:
        self._given_up.pop(circuit.key, None)
        self._given_up[circuit.key] = circuit.call_id
        if len(self._given_up) > MAX_GIVEN_UP:
            del self._given_up[next(iter(self._given_up))]

    # --- From clients -----------------------------------------------------------------------------------

    def isup_received(self, association: Association, label: ProtocolData, message: IsupMessage) -> None:
        key = (label.opc, message.cic)
        circuit = self.circuits.get(key)
        if message.message_type == IsupMessageType.IAM:
            self._handle_iam(association, key, circuit, message)
        elif message.message_type in (IsupMessageType.REL, IsupMessageType.RSC):
            association.send_isup(label.opc, IsupMessage(message.cic, IsupMessageType.RLC))
            if circuit is not None:
                if not circuit.clearing and not self.core.caller_released(circuit.call_id):
                    self.core.caller_abandoned(circuit.call_id)
                self._remove_circuit(circuit)
        elif message.message_type == IsupMessageType.RLC and circuit is not None and circuit.clearing:
            self._remove_circuit(circuit)

    def _handle_iam(
        self, association: Association, key: CircuitKey, previous: Circuit | None, message: IsupMessage
    ) -> None:
        withheld = previous is not None and self.core.find(previous.call_id) is None  # its client had left
        if previous is not None and not previous.clearing and not withheld:
            self._handle_repeated_iam(association, previous, message)
            return
        if previous is not None:
            # The client reuses the circuit: it has received the release, or its first IAM was given up.
            self._remove_circuit(previous)
        circuit = Circuit(os.urandom(8).hex(), key, association.handle)
        self.circuits[key] = circuit
        given_up = self._given_up.pop(key, "")
        params = self._params(circuit.call_id, message)
        if isinstance(params, int):
            self._send_release(circuit, params)
        elif given_up and message.uui and self._may_have_run(association, replace(params, call_id=given_up)):
            self._send_release(circuit, Q850_TEMPORARY_FAILURE)
        else:
            self.key_by_call_id[circuit.call_id] = key
            self.core.submit(self, association.handle, params, len(message.uui))

    def _may_have_run(self, association: Association, params: SetUpParams) -> bool:
        """Whether a set-up is that of a given-up call which may have run and must not run twice."""
        return self.core.repeat_result(self, params) is SubmitResult.FAILED

    def _handle_repeated_iam(self, association: Association, circuit: Circuit, message: IsupMessage) -> None:
        """Move a call to the association on which its IAM came again.

        On the same association it is a retransmission, and the first IAM gets the one response.
        """
        params = self._params(circuit.call_id, message)
        if circuit.association_handle == association.handle or isinstance(params, int):
            return
        if self.core.repeat_result(self, params) is not SubmitResult.OPEN:
            return
        circuit.association_handle = association.handle
        self.core.move_request(circuit.call_id, association.handle)
        if circuit.established:
            self._send_answer(association, circuit)

    def _params(self, call_id: str, message: IsupMessage) -> SetUpParams | int:
        """Return the parameters of a set-up from its IAM, or the cause if it can't be read as a call."""
        exchange = next(
            (
                mapping.exchange
                for mapping in self.prefix_mappings
                if message.called_number.startswith(mapping.prefix)
            ),
            None,
        )
        class_mapping = next(
            (
                candidate
                for candidate in self.class_mappings
                if candidate.category in (None, message.category)
                and candidate.requirement in (None, message.requirement)
            ),
            None,
        )
        if exchange is None or not message.called_number:
            return Q850_UNALLOCATED
        if class_mapping is None:
            return Q850_NOT_IMPLEMENTED
        return SetUpParams(
            call_id, class_mapping.class_name, message.called_number, int(message.called_number, 16),
            exchange, class_mapping.width, self.loop.now + class_mapping.deadline_ns, message.uui,
        )  # fmt: skip

    # --- From the core ----------------------------------------------------------------------------------

    def respond(self, request: Request, response: FinalResponse) -> None:
        circuit = self._find_circuit(request.params.call_id)
        if circuit is None:
            return
        association = self.associations.get(circuit.association_handle)
        if response.result != ESTABLISHED:
            congestion = 1 if response.retry_after_ns > 0 else 0  # asks the client to reduce its traffic
            self._send_release(circuit, causes.release_cause(response), congestion)
        elif len(response.session_description) > MAX_UUI_LENGTH or association is None:
            # Either ISUP cannot carry the session description, and a part of it is useless, or the client's
            # association is gone: release both legs.
            logger.warning(
                "releasing a call: cannot pass on its answer with a session description of {} bytes",
                len(response.session_description),
            )
            self.core.caller_released(circuit.call_id)
            self._send_release(circuit, Q850_INTERWORKING)
        else:
            circuit.established, circuit.answer = True, response.session_description
            self._send_answer(association, circuit)

    @staticmethod
    def _send_answer(association: Association, circuit: Circuit) -> None:
        point_code, cic = circuit.key
        association.send_isup(point_code, IsupMessage(cic, IsupMessageType.ACM))
        association.send_isup(point_code, IsupMessage(cic, IsupMessageType.ANM, uui=circuit.answer))

    def release(self, request: Request, cause: int) -> None:
        circuit = self._find_circuit(request.params.call_id)
        if circuit is not None:
            self._send_release(circuit, cause)

    def release_unknown(self, call_id: str, cause: int) -> None:
        """Do nothing: the circuit of a call from before a restart is not known."""

    def is_caller_connected(self, request: Request) -> bool:
        association = self.associations.get(request.connection_id)
        stream = association.stream if association is not None else None
        return stream is not None and not stream.peer_has_closed

    @property
    def connections(self) -> int:
        return len(self.associations)

    def flushed(self) -> bool:
        return all(
            association.stream is None or association.stream.flushed for association in self.associations
        )

    # --- Circuits ---------------------------------------------------------------------------------------

    def _find_circuit(self, call_id: str) -> Circuit | None:
        key = self.key_by_call_id.get(call_id)
        return self.circuits.get(key) if key is not None else None

    def _send_release(self, circuit: Circuit, cause: int, congestion: int = 0) -> None:
        """Send REL on the circuit's association, else on any active one, and repeat it each T1."""
        circuit.clearing, circuit.established = True, False
        association = self.associations.get(circuit.association_handle)
        if association is None or association.state != ACTIVE:
            association = next((other for other in self.associations if other.state == ACTIVE), None)
        if association is not None:
            release = IsupMessage(circuit.key[1], IsupMessageType.REL, cause=cause, congestion=congestion)
            association.send_isup(circuit.key[0], release)
        if circuit.t1_timer is not None:
            circuit.t1_timer.cancel()
        delay_ns = T1_NS if association is not None else RELEASE_LIFETIME_NS
        callback = (
            (lambda: self._send_release(circuit, cause))
            if association is not None
            else (lambda: self._remove_circuit(circuit))
        )
        circuit.t1_timer = self.loop.timers.schedule(self.loop.now + delay_ns, callback)

    def _remove_circuit(self, circuit: Circuit) -> None:
        if circuit.t1_timer is not None:
            circuit.t1_timer.cancel()
        if self.circuits.get(circuit.key) is circuit:
            del self.circuits[circuit.key]
        self.key_by_call_id.pop(circuit.call_id, None)
