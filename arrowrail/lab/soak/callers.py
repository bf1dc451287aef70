"""Stand-in callers of one controller: SIP over long and short connections, as the operators' pages describe
them.

``python -m arrowrail.lab.soak.callers --to ADDRESS --ledger FILE --class NAME=DEADLINE_MS:WEIGHT ...``

Calls arrive at random times drawn from the seed and do not wait for answers.  A controller is used once it
has passed a test after its start.  Commands on the standard input: ``{"do": "shutdown", "connect_s": A,
"send_s": B}`` (the controller was told to end: no new connections after A s, nothing sent after B s, until it
is back), ``{"do": "killed"}``, ``{"do": "crowd", "calls": N}``, ``{"do": "rude", "how": NAME}``, ``{"do":
"stop"}``.
"""

from __future__ import annotations

import argparse
import errno
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from arrowrail.core.requests import MS
from arrowrail.lab.commands import read_commands, run_until_sigterm
from arrowrail.lab.event_log import EventLog
from arrowrail.loop import Loop
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.stream import Stream, connect

S = 1_000 * MS
RECONNECT_NS = 100 * MS
TEST_NS = 500 * MS  # how long a test of the controller may take
CROSSING_NS = 50 * MS  # PROTOCOL: a set-up that crosses a close goes again on a new connection, once
IDLE_NS = 4_000 * MS  # PROTOCOL: callers close a connection after so long with no call on it
RUDE_LIMIT_NS = 3_500 * MS  # STANDING's 3 s for an answer or a close, and the time to see it
LONG_LINES = 3
EARLY_SHARE = 0.4  # of the patience: when impatient callers give up
RUDE = {
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
    """One class of call as its callers place it."""

    name: str
    patience_ms: int
    weight: float


@dataclass(frozen=True, slots=True)
class Habits:
    """How the callers of a trial behave; shares lie between 0 and 1."""

    short_share: float = 0.3  # calls that open a connection of their own
    early_share: float = 0.05  # set-ups given up before their time
    hang_up_share: float = 0.3  # calls that stand and are ended by their caller
    retry_share: float = 0.2  # refused set-ups that come again at once


@dataclass(slots=True)
class Placed:
    """A set-up that was sent and has no final answer yet."""

    message: bytes
    sent_ns: int
    resent: bool = False


class Line:
    """One connection to the controller; a short one carries a single set-up."""

    def __init__(self, callers: Callers, short: bool) -> None:
        self.callers, self.short = callers, short
        self.number = callers.next_line()
        self.parser = sip.SipParser()
        self.open_calls: dict[str, Placed] = {}
        self.waiting: list[tuple[str, bytes]] = []  # for the connection to come up
        self.idle_since = callers.loop.now
        self.usable = False
        self.stream: Stream | None = connect(callers.loop, self, callers.address)

    def connected(self) -> None:
        self.callers.ledger.record("connected", line=self.number)
        self.usable = True
        waiting, self.waiting = self.waiting, []
        for call, message in waiting:
            self.place(call, message)

    def place(self, call: str, message: bytes, resent: bool = False) -> None:
        """Send a set-up, now or once the connection is up."""
        if not self.usable or self.stream is None:
            self.waiting.append((call, message))
            return
        self.open_calls[call] = Placed(message, self.callers.loop.now, resent)
        self.callers.ledger.record("sent", call=call, line=self.number, resent=resent)
        self.stream.send(message)

    def send(self, message: bytes) -> None:
        if self.stream is not None:
            self.stream.send(message)

    def received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            if isinstance(message, sip.Malformed):
                self.callers.ledger.record("unreadable", line=self.number, why=message.reason)
            else:
                self.callers.message(self, message)
        self.idle_since = self.callers.loop.now

    def lost(self, why: OSError | None) -> None:
        name = "closed" if why is None else errno.errorcode.get(why.errno or 0, "broken")
        self.stream, self.usable = None, False
        self.callers.line_lost(self, name)

    def close(self) -> None:
        stream, self.stream, self.usable = self.stream, None, False
        if stream is not None:
            stream.close()


@dataclass(slots=True)
class Callers:
    """All callers of one controller."""

    loop: Loop
    address: str
    ledger: EventLog
    random: random.Random
    classes: tuple[CallerClass, ...]
    exchanges: tuple[int, ...]
    habits: Habits
    lines: list[Line] = field(default_factory=list)
    ready: bool = False  # the controller has passed a test since its start
    connect_until: int = 0  # 0: no end
    send_until: int = 0
    standing: dict[str, bool] = field(default_factory=dict)
    _lines: int = 0
    _test: Line | None = None

    def next_line(self) -> int:
        self._lines += 1
        return self._lines

    # --- The controller's state, as callers see it ----------------------------------------------------------

    def test(self) -> None:
        """Try whether the controller is ready; again soon if it is not."""
        if self.ready:
            return
        if self._test is not None:
            self._test.close()
        try:
            self._test = Line(self, True)
            self._test.send(sip.request("OPTIONS", "sip:ping@net", "peer", f"{self.next_line():016x}", 1))
        except OSError:
            self._test = None
        self.loop.timers.schedule(self.loop.now + TEST_NS, self.test)

    def passed(self) -> None:
        """The controller is ready: calls go to it from now on."""
        if not self.ready:
            self.ready, self.connect_until, self.send_until = True, 0, 0
            self.ledger.record("ready")
            self.open_lines()

    def command(self, asked: Any) -> None:
        now = self.loop.now
        self.ledger.record("command", **asked)
        if asked["do"] == "shutdown":
            self.connect_until = now + int(asked["connect_s"] * S)
            self.send_until = now + int(asked["send_s"] * S)
        elif asked["do"] == "killed":
            self.ready = False
            for line in self.lines:
                line.close()
            self.lines = []
            self.loop.timers.schedule(now + RECONNECT_NS, self.test)
        elif asked["do"] == "crowd":
            for _ in range(asked["calls"]):
                self.call()
        elif asked["do"] == "rude":
            Rude(self, asked["how"])
        elif asked["do"] == "stop":
            self.send_until = self.connect_until = now

    @property
    def may_connect(self) -> bool:
        return self.ready and (not self.connect_until or self.loop.now < self.connect_until)

    @property
    def may_send(self) -> bool:
        return self.ready and (not self.send_until or self.loop.now < self.send_until)

    def open_lines(self) -> None:
        long_lines = [line for line in self.lines if not line.short and line.stream is not None]
        for _ in range(LONG_LINES - len(long_lines)):
            self.open_line(short=False)

    def open_line(self, short: bool) -> Line | None:
        if not self.may_connect:
            return None
        try:
            line = Line(self, short)
        except OSError:
            return None
        self.lines.append(line)
        return line

    def line_lost(self, line: Line, why: str) -> None:
        if line is self._test:
            self._test = None
            return
        if line in self.lines:
            self.lines.remove(line)
        open_calls, line.open_calls = line.open_calls, {}
        crossing = [
            (call, placed) for call, placed in open_calls.items()
            if not placed.resent and self.loop.now - placed.sent_ns <= CROSSING_NS
        ]  # fmt: skip
        crossed = {call for call, _ in crossing}
        lost = [call for call in open_calls if call not in crossed]
        self.ledger.record("lost", line=line.number, why=why, calls=lost, crossed=sorted(crossed))
        for call, placed in crossing:
            again = self.open_line(short=True)
            if again is not None:
                again.place(call, placed.message, resent=True)
        if not line.short:
            self.loop.timers.schedule(self.loop.now + RECONNECT_NS, self.open_lines)

    # --- Calls ----------------------------------------------------------------------------------------------

    def call(self, retry: bool = False) -> None:
        """Place one call, on a connection of its own or on a long one."""
        kind = self.random.choices(self.classes, [c.weight for c in self.classes])[0]
        exchange = self.random.choice(self.exchanges)
        call = f"{self.random.getrandbits(64):016x}"
        number = f"{self.random.randrange(1 << 40):016x}"
        short = self.random.random() < self.habits.short_share
        early = self.random.random() < self.habits.early_share
        if not self.may_send:
            return
        usable = [line for line in self.lines if line.usable and not line.short]
        line = self.open_line(short=True) if short or not usable else self.random.choice(usable)
        if line is None:
            return
        body = f"{call}\r\nc=IN IP4 127.0.0.1\r\n"
        head = (
            f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call}\r\n"
            f"CSeq: 1 INVITE\r\nSubject: {kind.name}\r\nX-Patience: {kind.patience_ms}\r\n"
            + ("X-Retry: 1\r\n" if retry else "")
            + f"X-Facts: dest:{exchange};width:1;via:-1\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.ledger.record(
            "placed", call=call, kind=kind.name, patience_ms=kind.patience_ms, exchange=exchange
        )
        line.place(call, (head + body).encode())
        if early:
            wait = int(kind.patience_ms * EARLY_SHARE) * MS
            self.loop.timers.schedule(self.loop.now + wait, lambda: self._give_up(call))

    def _holder(self, call: str) -> Line | None:
        return next((line for line in self.lines if call in line.open_calls), None)

    def _give_up(self, call: str) -> None:
        line = self._holder(call)
        if line is not None and self.may_send:
            self.ledger.record("given_up", call=call)
            line.send(sip.request("CANCEL", f"sip:{call}@net", "peer", call, 1))

    def message(self, line: Line, message: sip.SipMessage) -> None:
        call = message.call_id
        if message.method == "BYE":
            self.ledger.record("bye", call=call, line=line.number, reason=message.headers.get("reason", ""))
            self.standing.pop(call, None)
            line.send(sip.response(200, message))
        elif message.cseq_method == "OPTIONS" and message.status == 200:
            self.passed()
        elif message.cseq_method == "INVITE" and message.status >= 200:
            self._answered(line, message)

    def _answered(self, line: Line, message: sip.SipMessage) -> None:
        call = message.call_id
        made_by = message.body.partition(b"\r\n")[0].decode("utf-8", "replace") if message.body else ""
        self.ledger.record("answer", call=call, status=message.status, line=line.number, made_by=made_by)
        line.open_calls.pop(call, None)
        line.send(sip.request("ACK", f"sip:{call}@net", "peer", call, 1))
        if message.status == 200:
            self.standing[call] = True
            if self.random.random() < self.habits.hang_up_share:
                wait = int(self.random.uniform(0.5, 3.0) * S)
                self.loop.timers.schedule(self.loop.now + wait, lambda: self._hang_up(call))
        elif message.status in (480, 503) and self.random.random() < self.habits.retry_share:
            self.call(retry=True)
        if line.short and not line.open_calls:
            self.loop.timers.schedule(self.loop.now + 50 * MS, lambda: self._close_idle(line))

    def _hang_up(self, call: str) -> None:
        """End a call that stands, on any connection."""
        usable = [line for line in self.lines if line.usable]
        if call in self.standing and usable and self.may_send:
            del self.standing[call]
            self.ledger.record("hung_up", call=call)
            self.random.choice(usable).send(sip.request("BYE", f"sip:{call}@net", "peer", call, 2))

    def _close_idle(self, line: Line) -> None:
        if not line.open_calls and line in self.lines:
            self.lines.remove(line)
            line.close()

    def sweep(self) -> None:
        """Close what is idle for long, as callers do, and have long connections open again."""
        for line in list(self.lines):
            if line.short and not line.open_calls and self.loop.now - line.idle_since > IDLE_NS:
                self._close_idle(line)
        if self.ready:
            self.open_lines()
        self.loop.timers.schedule(self.loop.now + S, self.sweep)


class Rude:
    """A client that sends what is no call, and is owed an answer or a close."""

    def __init__(self, callers: Callers, how: str) -> None:
        self.callers, self.how, self.answered = callers, how, False
        try:
            self.stream = connect(callers.loop, self, callers.address)
        except OSError:
            return
        callers.loop.timers.schedule(callers.loop.now + RUDE_LIMIT_NS, self._late)

    def connected(self) -> None:
        call = f"{self.callers.random.getrandbits(64):016x}".encode()
        data = RUDE[self.how]
        self.stream.send(data % call if b"%s" in data else data)

    def received(self, data: bytes) -> None:
        if data.startswith(b"SIP/2.0 200"):
            self.callers.ledger.record("rude_served", how=self.how)
        self.answered = True

    def lost(self, _why: OSError | None) -> None:
        self.answered = True

    def _late(self) -> None:
        self.callers.ledger.record("rude", how=self.how, answered=self.answered)
        self.stream.close()


def schedule(callers: Callers, rate: float, seconds: float) -> None:
    """Draw the arrivals ahead: they do not depend on what is answered."""
    at = 0.0
    place: Callable[[], None] = callers.call
    while True:
        at += callers.random.expovariate(rate)
        if at >= seconds:
            return
        callers.loop.timers.schedule(callers.loop.now + int(at * S), place)


def class_of(text: str) -> CallerClass:
    """``NAME=PATIENCE_MS:WEIGHT``"""
    name, _, figures = text.partition("=")
    patience, _, weight = figures.partition(":")
    return CallerClass(name, int(patience), float(weight))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--to", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=20.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--class", dest="classes", type=class_of, action="append", default=[])
    parser.add_argument("--exchange", dest="exchanges", type=int, action="append", default=[])
    parser.add_argument("--short-share", type=float, default=0.3)
    parser.add_argument("--early-share", type=float, default=0.05)
    parser.add_argument("--hang-up-share", type=float, default=0.3)
    parser.add_argument("--retry-share", type=float, default=0.2)
    given = parser.parse_args()
    loop, ledger = Loop(), EventLog(given.ledger)
    habits = Habits(given.short_share, given.early_share, given.hang_up_share, given.retry_share)
    callers = Callers(
        loop,
        given.to,
        ledger,
        random.Random(given.seed),
        tuple(given.classes),
        tuple(given.exchanges),
        habits,
    )
    callers.test()
    callers.sweep()
    schedule(callers, given.rate, given.seconds)
    read_commands(loop, callers.command)
    run_until_sigterm(loop, ledger)


if __name__ == "__main__":
    main()
