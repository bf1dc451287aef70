"""Stand-in callers of one controller: SIP over long-lived and short connections, as the operators' documents
describe them.

``python -m arrowrail.lab.soak.callers --to ADDRESS --ledger FILE --class NAME=DEADLINE_MS:WEIGHT ...``

Calls arrive at random times drawn from the seed and do not wait for answers.  Calls are sent to a controller
once it has answered an OPTIONS probe after its start.  Commands are read from the standard input:

- ``{"do": "shutdown", "connect_s": A, "send_s": B}``: the controller got SIGTERM; no new connections after
  A s and no requests after B s, until it is ready again.
- ``{"do": "killed"}``: the controller has ended; close all connections and probe for its restart.
- ``{"do": "crowd", "calls": N}``: place N calls at once.
- ``{"do": "early_close", "calls": N}``: write N large set-ups on one connection and close it at once.
- ``{"do": "resend", "calls": N}``: reset N connections 20 ms after their set-up, and send it again.
- ``{"do": "rude", "how": NAME}``: connect as a misbehaving client of that kind.
- ``{"do": "stop"}``: place no more calls.

The words in capitals (PROTOCOL, STANDING) name the operators' document that sets a time.
"""

from __future__ import annotations

import argparse
import contextlib
import errno
import random
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arrowrail.core.requests import MS
from arrowrail.lab.commands import read_commands, run_until_sigterm
from arrowrail.lab.event_log import EventLog
from arrowrail.loop import Loop
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.stream import Stream, connect

SECOND_NS = 1_000 * MS
RECONNECT_NS = 100 * MS
PROBE_TIMEOUT_NS = 500 * MS
# PROTOCOL: a set-up that crosses the close of its connection is sent again once, on a new connection.
CROSSING_NS = 50 * MS
RESET_DELAY_NS = 20 * MS  # from a set-up to the reset that it crosses
EARLY_CLOSE_BODY_SIZE = 12_000
IDLE_TIMEOUT_NS = 4_000 * MS  # PROTOCOL: callers close a connection that carries no call for this long
BAD_CLIENT_TIMEOUT_NS = 3_500 * MS  # STANDING: 3 s for an answer or a close; 0.5 s to observe it
LONG_CONNECTIONS = 3
EARLY_CANCEL_SHARE = 0.4  # of the patience, after which some callers cancel
LINGER_RESET = struct.pack("ii", 1, 0)
BAD_INPUTS = {
    "noise": b"\x00\x01\x02garbage\r\n\r\n" * 4,
    "half": b"INVITE sip:1@net SIP/2.0\r\nCall-ID: 0123",
    "endless": b"INVITE sip:1@net SIP/2.0\r\nX-Long: " + b"y" * 20_000,
    "silent": b"",
    "no_class": (
        b"INVITE sip:00000000000000ab@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nSubject: none\r\n"
        b"X-Patience: 1000\r\nX-Facts: dest:1;width:1;via:-1\r\nContent-Length: 4\r\n\r\nabcd"
    ),
}


@dataclass(frozen=True, slots=True)
class CallerClass:
    """One class of calls, with the time that its callers wait for an answer."""

    name: str
    patience_ms: int
    weight: float


@dataclass(frozen=True, slots=True)
class CallerBehaviour:
    """Shares of calls that the callers treat in some way, between 0 and 1."""

    short_share: float = 0.3  # calls on a connection of their own
    early_share: float = 0.05  # set-ups cancelled before the deadline
    hang_up_share: float = 0.3  # established calls that the caller ends
    retry_share: float = 0.2  # refused calls that the caller redials at once


@dataclass(slots=True)
class PendingSetUp:
    """A set-up that was sent and has no final response yet."""

    message: bytes
    sent_ns: int
    resent: bool = False


class CallerConnection:
    """One connection to the controller; a short one carries a single set-up."""

    def __init__(self, callers: Callers, short: bool) -> None:
        self.callers, self.short = callers, short
        self.number = callers.next_number()
        self.parser = sip.SipParser()
        self.pending: dict[str, PendingSetUp] = {}
        self.queued: list[tuple[str, bytes]] = []  # until the connection is established
        self.last_used_ns = callers.loop.now
        self.usable = False
        self.stream: Stream | None = connect(callers.loop, self, callers.address)

    def connected(self) -> None:
        self.callers.event_log.record("connected", line=self.number)
        self.usable = True
        queued, self.queued = self.queued, []
        for call_id, message in queued:
            self.place(call_id, message)

    def place(self, call_id: str, message: bytes, resent: bool = False) -> None:
        """Send a set-up, now or once the connection is established."""
        if not self.usable or self.stream is None:
            self.queued.append((call_id, message))
            return
        self.pending[call_id] = PendingSetUp(message, self.callers.loop.now, resent)
        self.callers.event_log.record("sent", call=call_id, line=self.number, resent=resent)
        self.stream.send(message)

    def send(self, message: bytes) -> None:
        if self.stream is not None:
            self.stream.send(message)

    def received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            if isinstance(message, sip.Malformed):
                self.callers.event_log.record("unreadable", line=self.number, why=message.reason)
            else:
                self.callers.message_received(self, message)
        self.last_used_ns = self.callers.loop.now

    def lost(self, error: OSError | None) -> None:
        reason = "closed" if error is None else errno.errorcode.get(error.errno or 0, "broken")
        self.stream, self.usable = None, False
        self.callers.connection_lost(self, reason)

    def reset(self) -> None:
        """End the connection with a TCP reset, as a path that fails does to both sides."""
        if self.stream is not None and self.pending:
            self.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self.stream.fail(OSError(errno.ECONNRESET, "reset"))

    def close(self) -> None:
        stream, self.stream, self.usable = self.stream, None, False
        if stream is not None:
            stream.close()


@dataclass(slots=True)
class Callers:
    """All callers of one controller, and their view of its state."""

    loop: Loop
    address: str
    event_log: EventLog
    random: random.Random
    classes: tuple[CallerClass, ...]
    exchanges: tuple[int, ...]
    behaviour: CallerBehaviour
    connections: list[CallerConnection] = field(default_factory=list)
    ready: bool = False  # the controller has answered a probe since its start
    connect_until_ns: int = 0  # 0: no limit
    send_until_ns: int = 0  # 0: no limit
    established: dict[str, bool] = field(default_factory=dict)
    _last_number: int = 0
    _probe: CallerConnection | None = None

    def next_number(self) -> int:
        self._last_number += 1
        return self._last_number

    # --- State of the controller and connections ------------------------------------------------------------

    def probe(self) -> None:
        """Send an OPTIONS request to the controller, repeatedly until it answers one."""
        if self.ready:
            return
        if self._probe is not None:
            self._probe.close()
        try:
            self._probe = CallerConnection(self, True)
            self._probe.send(sip.request("OPTIONS", "sip:ping@net", "peer", f"{self.next_number():016x}", 1))
        except OSError:
            self._probe = None
        self.loop.timers.schedule(self.loop.now + PROBE_TIMEOUT_NS, self.probe)

    def probe_answered(self) -> None:
        """Mark the controller as ready, so that calls are sent to it from now on."""
        if not self.ready:
            self.ready, self.connect_until_ns, self.send_until_ns = True, 0, 0
            self.event_log.record("ready")
            self.open_long_connections()

    def execute(self, command: Any) -> None:
        """Execute one command of standard input."""
        now = self.loop.now
        self.event_log.record("command", **command)
        if command["do"] == "shutdown":
            self.connect_until_ns = now + int(command["connect_s"] * SECOND_NS)
            self.send_until_ns = now + int(command["send_s"] * SECOND_NS)
        elif command["do"] == "killed":
            self.ready = False
            for connection in self.connections:
                connection.close()
            self.connections = []
            self.loop.timers.schedule(now + RECONNECT_NS, self.probe)
        elif command["do"] == "crowd":
            for _ in range(command["calls"]):
                self.place_call()
        elif command["do"] == "early_close":
            EarlyClosingClient(self, command["calls"])
        elif command["do"] == "resend":
            for _ in range(command["calls"]):
                self.place_call(resend=True)
        elif command["do"] == "rude":
            BadClient(self, command["how"])
        elif command["do"] == "stop":
            self.send_until_ns = self.connect_until_ns = now

    @property
    def may_connect(self) -> bool:
        return self.ready and (not self.connect_until_ns or self.loop.now < self.connect_until_ns)

    @property
    def may_send(self) -> bool:
        return self.ready and (not self.send_until_ns or self.loop.now < self.send_until_ns)

    def open_long_connections(self) -> None:
        long_connections = [
            connection
            for connection in self.connections
            if not connection.short and connection.stream is not None
        ]
        for _ in range(LONG_CONNECTIONS - len(long_connections)):
            self.open_connection(short=False)

    def open_connection(self, short: bool) -> CallerConnection | None:
        if not self.may_connect:
            return None
        try:
            connection = CallerConnection(self, short)
        except OSError:
            return None
        self.connections.append(connection)
        return connection

    def connection_lost(self, connection: CallerConnection, reason: str) -> None:
        if connection is self._probe:
            self._probe = None
            return
        if connection in self.connections:
            self.connections.remove(connection)
        pending, connection.pending = connection.pending, {}
        crossing = [
            (call_id, set_up) for call_id, set_up in pending.items()
            if not set_up.resent and self.loop.now - set_up.sent_ns <= CROSSING_NS
        ]  # fmt: skip
        crossed = {call_id for call_id, _ in crossing}
        lost = [call_id for call_id in pending if call_id not in crossed]
        self.event_log.record("lost", line=connection.number, why=reason, calls=lost, crossed=sorted(crossed))
        for call_id, set_up in crossing:
            replacement = self.open_connection(short=True)
            if replacement is not None:
                replacement.place(call_id, set_up.message, resent=True)
        if not connection.short:
            self.loop.timers.schedule(self.loop.now + RECONNECT_NS, self.open_long_connections)

    # --- Calls ----------------------------------------------------------------------------------------------

    def place_call(self, retry: bool = False, resend: bool = False) -> None:
        """Place one call, on a connection of its own or on a long-lived one.

        ``resend``: its connection is reset soon after, so that the set-up crosses its end.
        """
        call_class = self.random.choices(self.classes, [c.weight for c in self.classes])[0]
        exchange = self.random.choice(self.exchanges)
        call_id = f"{self.random.getrandbits(64):016x}"
        number = f"{self.random.randrange(1 << 40):016x}"
        short = self.random.random() < self.behaviour.short_share or resend
        early = self.random.random() < self.behaviour.early_share
        if not self.may_send:
            return
        usable = [connection for connection in self.connections if connection.usable and not connection.short]
        connection = self.open_connection(short=True) if short or not usable else self.random.choice(usable)
        if connection is None:
            return
        body = f"{call_id}\r\nc=IN IP4 127.0.0.1\r\n"
        head = (
            f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
            f"CSeq: 1 INVITE\r\nSubject: {call_class.name}\r\nX-Patience: {call_class.patience_ms}\r\n"
            + ("X-Retry: 1\r\n" if retry else "")
            + f"X-Facts: dest:{exchange};width:1;via:-1\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.event_log.record(
            "placed",
            call=call_id,
            kind=call_class.name,
            patience_ms=call_class.patience_ms,
            exchange=exchange,
        )
        connection.place(call_id, (head + body).encode())
        if resend:
            self.loop.timers.schedule(self.loop.now + RESET_DELAY_NS, connection.reset)
        if early:
            wait_ns = int(call_class.patience_ms * EARLY_CANCEL_SHARE) * MS
            self.loop.timers.schedule(self.loop.now + wait_ns, lambda: self._cancel(call_id))

    def _connection_of(self, call_id: str) -> CallerConnection | None:
        return next((connection for connection in self.connections if call_id in connection.pending), None)

    def _cancel(self, call_id: str) -> None:
        connection = self._connection_of(call_id)
        if connection is not None and self.may_send:
            self.event_log.record("given_up", call=call_id)
            connection.send(sip.request("CANCEL", f"sip:{call_id}@net", "peer", call_id, 1))

    def message_received(self, connection: CallerConnection, message: sip.SipMessage) -> None:
        call_id = message.call_id
        if message.method == "BYE":
            self.event_log.record(
                "bye", call=call_id, line=connection.number, reason=message.headers.get("reason", "")
            )
            self.established.pop(call_id, None)
            connection.send(sip.response(200, message))
        elif message.cseq_method == "OPTIONS" and message.status == 200:
            self.probe_answered()
        elif message.cseq_method == "INVITE" and message.status >= 200:
            self._response_received(connection, message)

    def _response_received(self, connection: CallerConnection, message: sip.SipMessage) -> None:
        call_id = message.call_id
        made_by = message.body.partition(b"\r\n")[0].decode("utf-8", "replace") if message.body else ""
        self.event_log.record(
            "answer", call=call_id, status=message.status, line=connection.number, made_by=made_by
        )
        connection.pending.pop(call_id, None)
        connection.send(sip.request("ACK", f"sip:{call_id}@net", "peer", call_id, 1))
        if message.status == 200:
            self.established[call_id] = True
            if self.random.random() < self.behaviour.hang_up_share:
                wait_ns = int(self.random.uniform(0.5, 3.0) * SECOND_NS)
                self.loop.timers.schedule(self.loop.now + wait_ns, lambda: self._hang_up(call_id))
        elif message.status in (480, 503) and self.random.random() < self.behaviour.retry_share:
            self.place_call(retry=True)
        if connection.short and not connection.pending:
            self.loop.timers.schedule(self.loop.now + 50 * MS, lambda: self._close_idle(connection))

    def _hang_up(self, call_id: str) -> None:
        """End an established call, on any connection."""
        usable = [connection for connection in self.connections if connection.usable]
        if call_id in self.established and usable and self.may_send:
            del self.established[call_id]
            self.event_log.record("hung_up", call=call_id)
            self.random.choice(usable).send(sip.request("BYE", f"sip:{call_id}@net", "peer", call_id, 2))

    def _close_idle(self, connection: CallerConnection) -> None:
        if not connection.pending and connection in self.connections:
            self.connections.remove(connection)
            connection.close()

    def sweep(self) -> None:
        """Close idle short connections and open missing long-lived ones, once per second."""
        for connection in list(self.connections):
            if (
                connection.short
                and not connection.pending
                and self.loop.now - connection.last_used_ns > IDLE_TIMEOUT_NS
            ):
                self._close_idle(connection)
        if self.ready:
            self.open_long_connections()
        self.loop.timers.schedule(self.loop.now + SECOND_NS, self.sweep)


class EarlyClosingClient:
    """Writes large set-ups and closes its connection as soon as the kernel has taken them."""

    def __init__(self, callers: Callers, count: int) -> None:
        self.callers = callers
        self.calls = [f"{callers.random.getrandbits(64):016x}" for _ in range(count)]
        with contextlib.suppress(OSError):
            self.stream = connect(callers.loop, self, callers.address)

    def connected(self) -> None:
        body = b"x" * EARLY_CLOSE_BODY_SIZE
        for call_id in self.calls:
            head = (
                f"INVITE sip:ab@net SIP/2.0\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\n"
                f"Subject: {self.callers.classes[0].name}\r\nX-Patience: 1000\r\n"
                f"X-Facts: dest:{self.callers.exchanges[0]};width:1;via:-1\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            self.stream.send(head.encode() + body)
        self._close_once_written()

    def _close_once_written(self) -> None:
        if self.stream.open and not self.stream.flushed:
            self.callers.loop.timers.schedule(self.callers.loop.now + MS, self._close_once_written)
            return
        self.stream.close()
        self.callers.event_log.record("left", calls=self.calls)

    def received(self, data: bytes) -> None:
        pass

    def lost(self, _error: OSError | None) -> None:
        pass


class BadClient:
    """A client that sends no valid call; the controller must answer it or close its connection."""

    def __init__(self, callers: Callers, kind: str) -> None:
        self.callers, self.kind, self.answered = callers, kind, False
        try:
            self.stream = connect(callers.loop, self, callers.address)
        except OSError:
            return
        callers.loop.timers.schedule(callers.loop.now + BAD_CLIENT_TIMEOUT_NS, self._timed_out)

    def connected(self) -> None:
        call_id = f"{self.callers.random.getrandbits(64):016x}".encode()
        data = BAD_INPUTS[self.kind]
        self.stream.send(data % call_id if b"%s" in data else data)

    def received(self, data: bytes) -> None:
        if data.startswith(b"SIP/2.0 200"):
            self.callers.event_log.record("rude_served", how=self.kind)
        self.answered = True

    def lost(self, _error: OSError | None) -> None:
        self.answered = True

    def _timed_out(self) -> None:
        self.callers.event_log.record("rude", how=self.kind, answered=self.answered)
        self.stream.close()


def schedule_arrivals(callers: Callers, rate: float, seconds: float) -> None:
    """Schedule all arrivals at the start, so that they do not depend on the answers."""
    at_s = 0.0
    place_call: Callable[[], None] = callers.place_call
    while True:
        at_s += callers.random.expovariate(rate)
        if at_s >= seconds:
            return
        callers.loop.timers.schedule(callers.loop.now + int(at_s * SECOND_NS), place_call)


def parse_class(text: str) -> CallerClass:
    """Parse ``NAME=PATIENCE_MS:WEIGHT``."""
    name, _, values = text.partition("=")
    patience, _, weight = values.partition(":")
    return CallerClass(name, int(patience), float(weight))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--to", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--class", dest="classes", type=parse_class, action="append", default=[])
    parser.add_argument("--exchange", dest="exchanges", type=int, action="append", default=[])
    parser.add_argument("--short-share", type=float, default=0.3)
    parser.add_argument("--early-share", type=float, default=0.05)
    parser.add_argument("--hang-up-share", type=float, default=0.3)
    parser.add_argument("--retry-share", type=float, default=0.2)
    arguments = parser.parse_args()
    loop, event_log = Loop(), EventLog(arguments.ledger)
    behaviour = CallerBehaviour(
        arguments.short_share, arguments.early_share, arguments.hang_up_share, arguments.retry_share
    )
    callers = Callers(
        loop,
        arguments.to,
        event_log,
        random.Random(arguments.seed),
        tuple(arguments.classes),
        tuple(arguments.exchanges),
        behaviour,
    )
    callers.probe()
    callers.sweep()
    schedule_arrivals(callers, arguments.rate, arguments.seconds)
    read_commands(loop, callers.execute)
    run_until_sigterm(loop, event_log)


if __name__ == "__main__":
    main()
