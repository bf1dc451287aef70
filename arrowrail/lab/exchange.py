"""A stand-in desk exchange that uses the binary protocol and injects faults on a schedule or by command.

``python -m arrowrail.lab.exchange --listen ADDRESS --ledger FILE [--circuits N] [--seed N] ...``

It records every set-up, answer, refusal and release in its event log.  A fault is ``KIND:FROM:SECONDS``,
counted from the start of the process, or a line ``{"fault": KIND, "seconds": S}`` on its standard input:
``silent`` accepts set-ups and answers none, ``full`` refuses all because no circuit is free, ``error``
refuses all with an error cause, ``slow`` answers after ten times the usual delay, ``spoil`` sends invalid
bytes instead of an answer, ``twice`` sends each answer two times, ``cut`` resets its connections once.
"""

from __future__ import annotations

import argparse
import random
import socket
from dataclasses import dataclass
from typing import Any

from arrowrail.core.requests import MS
from arrowrail.lab.commands import read_commands, run_until_sigterm
from arrowrail.lab.event_log import EventLog
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary.messages import BinaryMessage
from arrowrail.wire.listener import Listener
from arrowrail.wire.stream import Stream

S = 1_000 * MS
MEDIA = "c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
INVALID_MESSAGE = b"\x0f\xff\x09" + b"\x5a" * 61  # its message type is unknown
ERROR_CAUSE = 47  # Q.850: resource unavailable
RELEASE_REPEAT_NS = 8 * S  # how long a release is repeated on newly opened connections
GROUP_STATE_INTERVAL_NS = 100 * MS  # minimum time between two reports of the trunk group's state


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault; its times are in ns from the start of the exchange."""

    kind: str
    start_ns: int
    end_ns: int


class ControllerConnection:
    """A connection from a controller."""

    def __init__(self, exchange: StandInExchange, sock: socket.socket) -> None:
        self.exchange = exchange
        self.host: str = sock.getpeername()[0]  # identifies the controller
        self.parser = binary.BinaryParser()
        self.stream = Stream(exchange.loop, sock, self)
        exchange.connections[self] = None
        self.send_group_state()
        for sent_ns, host, release in exchange.recent_releases:
            if host == self.host and exchange.loop.now - sent_ns < RELEASE_REPEAT_NS:
                self.send(release)

    def connected(self) -> None:
        pass

    def send_group_state(self) -> None:
        exchange = self.exchange
        self.send(
            BinaryMessage(
                binary.GROUP_STATE,
                0,
                free=max(0, exchange.circuits - len(exchange.calls)),
                size=exchange.circuits,
            )
        )

    def send(self, message: BinaryMessage) -> None:
        self.stream.send(binary.encode(message))

    def received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            self.exchange.handle_message(self, message)

    def lost(self, _error: OSError | None) -> None:
        self.exchange.connection_lost(self)


@dataclass(slots=True)
class ActiveCall:
    """A call that occupies a circuit."""

    connection: ControllerConnection
    class_name: str
    established: bool = False
    timer: Timer | None = None


class StandInExchange:
    """Answers the set-ups of controllers, ends each call after its holding time, and injects faults."""

    def __init__(
        self, loop: Loop, address: str, event_log: EventLog, circuits: int = 100, seed: int = 1,
        set_up_ms: float = 40.0, hold_ms: float = 1500.0, faults: tuple[Fault, ...] = (),
        class_hold_ms: dict[str, float] | None = None, name: str = "desk",
    ) -> None:  # fmt: skip
        self.name, self.class_hold_ms = name, class_hold_ms or {}
        self.loop, self.event_log, self.circuits = loop, event_log, circuits
        self.random = random.Random(seed)
        self.set_up_ms, self.hold_ms, self.faults = set_up_ms, hold_ms, faults
        self.calls: dict[int, ActiveCall] = {}
        self.connections: dict[ControllerConnection, None] = {}
        self.started_ns = loop.now
        self._group_state_sent_ns = 0
        self._group_state_timer: Timer | None = None
        self.latest_epochs: dict[str, int] = {}  # by duty: the highest epoch received
        self.recent_releases: list[tuple[int, str, BinaryMessage]] = []  # time, controller's host, message
        self.listener = Listener(
            loop, address, lambda sock: ControllerConnection(self, sock), lambda: True, lambda: False
        )
        for fault in faults:
            if fault.kind == "cut":
                loop.timers.schedule(self.started_ns + fault.start_ns, self._reset_connections)
        event_log.record("started", port=self.listener.port)

    def _is_active(self, kind: str) -> bool:
        elapsed = self.loop.now - self.started_ns
        return any(f.kind == kind and f.start_ns <= elapsed < f.end_ns for f in self.faults)

    def execute(self, command: Any) -> None:
        """Start the fault of a command now, for the given number of seconds."""
        elapsed = self.loop.now - self.started_ns
        fault = Fault(command["fault"], elapsed, elapsed + int(command.get("seconds", 0.0) * S))
        self.event_log.record("fault", **command)
        if fault.kind == "cut":
            self._reset_connections()
        else:
            self.faults = (*(f for f in self.faults if f.end_ns > elapsed), fault)

    def _reset_connections(self) -> None:
        for connection in list(self.connections):
            connection.stream.fail(None)

    def handle_message(self, connection: ControllerConnection, message: BinaryMessage) -> None:
        if message.message_type == binary.SET_UP:
            self._set_up(connection, message)
        elif message.message_type == binary.RELEASE:
            active_call = self.calls.get(message.call_id)
            self.event_log.record(
                "released", call=f"{message.call_id:016x}",
                stood=active_call is not None and active_call.established, known=active_call is not None,
            )  # fmt: skip
            self._remove(message.call_id)
            connection.send(BinaryMessage(binary.RELEASE_ACK, message.call_id))
        elif message.message_type == binary.PROBE:
            self._probe(connection, message)

    def _probe(self, connection: ControllerConnection, message: BinaryMessage) -> None:
        """Answer a probe with the fencing token ``DUTY EPOCH RUN HOLDER`` in it; refuse an outdated epoch."""
        duty, epoch, run, holder = [*message.number.split(" "), "0", "0", ""][:4]
        latest_epoch = self.latest_epochs.get(duty, 0)
        fresh = int(epoch) >= latest_epoch
        self.latest_epochs[duty] = max(latest_epoch, int(epoch))
        self.event_log.record("probe", duty=duty, epoch=int(epoch), run=int(run), by=holder, fresh=fresh)
        if not self._is_active("silent"):
            connection.send(BinaryMessage(binary.PROBE_RESULT, message.call_id, cause=int(fresh)))

    def _set_up(self, connection: ControllerConnection, message: BinaryMessage) -> None:
        call = f"{message.call_id:016x}"
        self.event_log.record(
            "set_up", call=call, kind=message.class_name, wait_ms=message.timeout_ms, number=message.number,
            again=message.call_id in self.calls,
        )  # fmt: skip
        if self._is_active("full") or len(self.calls) >= self.circuits:
            self.event_log.record("refused", call=call)
            connection.send(BinaryMessage(binary.RELEASE, message.call_id, cause=34, reason="group_full"))
            return
        if self._is_active("error"):
            self.event_log.record("refused", call=call)
            connection.send(BinaryMessage(binary.RELEASE, message.call_id, cause=ERROR_CAUSE))
            return
        active_call = self.calls[message.call_id] = ActiveCall(connection, message.class_name)
        if self._is_active("silent"):
            return
        delay_ms = self.set_up_ms * self.random.uniform(0.5, 1.5) * (10 if self._is_active("slow") else 1)
        active_call.timer = self.loop.timers.schedule(
            self.loop.now + int(delay_ms * MS), lambda: self._answer(message.call_id)
        )
        self._report_group_state()

    def _answer(self, call_id: int) -> None:
        active_call = self.calls.get(call_id)
        if active_call is None:
            return
        active_call.established = True
        self.event_log.record("answered", call=f"{call_id:016x}")
        if self._is_active("spoil"):
            active_call.connection.stream.send(INVALID_MESSAGE)
        else:
            answer = BinaryMessage(binary.ANSWER, call_id, session_description=self.description(call_id))
            for _ in range(2 if self._is_active("twice") else 1):
                active_call.connection.send(answer)
        hold_ms = self.class_hold_ms.get(active_call.class_name, self.hold_ms) * self.random.uniform(0.5, 1.5)
        active_call.timer = self.loop.timers.schedule(
            self.loop.now + int(hold_ms * MS), lambda: self._end(call_id)
        )

    def description(self, call_id: int) -> bytes:
        """Return the session description of the answer to a call, which is unique to exchange and call."""
        return f"o={self.name} {call_id:016x}\r\n{MEDIA}".encode()

    def _end(self, call_id: int) -> None:
        active_call = self.calls.get(call_id)
        if active_call is None:
            return
        self.event_log.record("over", call=f"{call_id:016x}")
        release = BinaryMessage(binary.RELEASE, call_id, cause=16)
        # The release is repeated on connections that are opened soon after: the connection of the set-up may
        # be broken without the exchange knowing it.
        host = active_call.connection.host
        self.recent_releases = [r for r in self.recent_releases if self.loop.now - r[0] < RELEASE_REPEAT_NS]
        self.recent_releases.append((self.loop.now, host, release))
        same_host = [connection for connection in self.connections if connection.host == host]
        for connection in [active_call.connection] if active_call.connection.stream.open else same_host:
            connection.send(release)
        self._remove(call_id)

    def _remove(self, call_id: int) -> None:
        active_call = self.calls.pop(call_id, None)
        if active_call is not None and active_call.timer is not None:
            active_call.timer.cancel()
        self._report_group_state()

    def connection_lost(self, connection: ControllerConnection) -> None:
        """Drop the unanswered set-ups of a closed connection; established calls continue."""
        self.connections.pop(connection, None)
        for call_id, active_call in list(self.calls.items()):
            if active_call.connection is connection and not active_call.established:
                self.event_log.record("dropped", call=f"{call_id:016x}")
                self._remove(call_id)

    def _report_group_state(self) -> None:
        """Report the trunk group's state now, or once the minimum time since the last report has passed."""
        if self._group_state_timer is not None:
            return
        due_ns = self._group_state_sent_ns + GROUP_STATE_INTERVAL_NS
        if self.loop.now < due_ns:
            self._group_state_timer = self.loop.timers.schedule(due_ns, self._send_group_state)
        else:
            self._send_group_state()

    def _send_group_state(self) -> None:
        self._group_state_sent_ns, self._group_state_timer = self.loop.now, None
        for connection in list(self.connections):
            connection.send_group_state()


def parse_fault(text: str) -> Fault:
    """Parse ``KIND:FROM:SECONDS``."""
    kind, start_s, duration_s = text.split(":")
    return Fault(kind, int(float(start_s) * S), int((float(start_s) + float(duration_s)) * S))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--circuits", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--set-up-ms", type=float, default=40.0)
    parser.add_argument("--hold-ms", type=float, default=1500.0)
    parser.add_argument("--name", default="desk", help="contained in the session descriptions of its answers")
    parser.add_argument(
        "--class-hold", action="append", default=[], help="NAME=MS: how long calls of that class last"
    )
    parser.add_argument("--fault", type=parse_fault, action="append", default=[])
    arguments = parser.parse_args()
    loop, event_log = Loop(), EventLog(arguments.ledger)
    holds = {name: float(ms) for name, ms in (text.split("=") for text in arguments.class_hold)}
    exchange = StandInExchange(
        loop, arguments.listen, event_log, arguments.circuits, arguments.seed, arguments.set_up_ms,
        arguments.hold_ms, tuple(arguments.fault), holds, arguments.name,
    )  # fmt: skip
    read_commands(loop, exchange.execute)
    run_until_sigterm(loop, event_log)


if __name__ == "__main__":
    main()
