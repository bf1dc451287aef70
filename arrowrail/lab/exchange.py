"""A stand-in desk exchange that speaks the binary protocol, with faults by schedule.

``python -m arrowrail.lab.exchange --listen ADDRESS --ledger FILE [--circuits N] [--seed N] ...``

It writes every set-up, answer, refusal and release to its ledger.  A fault is ``WHAT:FROM:SECONDS`` from its
start, or a line ``{"fault": WHAT, "seconds": S}`` on its standard input: ``silent`` takes set-ups and answers
none, ``full`` refuses all, ``error`` fails all, ``slow`` answers ten times later, ``spoil`` answers with
noise, ``twice`` answers two times, ``cut`` resets its connections once.
"""

from __future__ import annotations

import argparse
import random
import socket
from dataclasses import dataclass
from typing import Any

from arrowrail.core.requests import MS
from arrowrail.lab.commands import read_commands, run_until_told
from arrowrail.lab.ledger import Ledger
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary.messages import BinaryMessage
from arrowrail.wire.listener import Listener
from arrowrail.wire.stream import Stream

S = 1_000 * MS
MEDIA = "c=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n"
NOISE = b"\x0f\xff\x09" + b"\x5a" * 61  # no message: its kind is unknown
ERROR_CAUSE = 47
LATE_NS = 8 * S  # how long a release is told to connections that open
GROUP_NS = 100 * MS  # at most so often is the state of the group told


@dataclass(frozen=True, slots=True)
class Fault:
    what: str
    since: int
    until: int


class Peer:
    """One controller's connection."""

    def __init__(self, exchange: StandInExchange, sock: socket.socket) -> None:
        self.exchange = exchange
        self.host: str = sock.getpeername()[0]  # by which the exchange knows one controller from another
        self.parser = binary.BinaryParser()
        self.stream = Stream(exchange.loop, sock, self)
        exchange.peers[self] = None
        self.tell_group()
        for told, host, release in exchange.told_late:
            if host == self.host and exchange.loop.now - told < LATE_NS:
                self.say(release)

    def connected(self) -> None:
        pass

    def tell_group(self) -> None:
        e = self.exchange
        self.say(
            BinaryMessage(binary.GROUP_STATE, 0, free=max(0, e.circuits - len(e.calls)), size=e.circuits)
        )

    def say(self, message: BinaryMessage) -> None:
        self.stream.send(binary.encode(message))

    def received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            self.exchange.message(self, message)

    def lost(self, _why: OSError | None) -> None:
        self.exchange.lost(self)


@dataclass(slots=True)
class Held:
    peer: Peer
    kind: str
    stands: bool = False
    timer: Timer | None = None


class StandInExchange:
    def __init__(
        self, loop: Loop, address: str, ledger: Ledger, circuits: int = 100, seed: int = 1,
        set_up_ms: float = 40.0, hold_ms: float = 1500.0, faults: tuple[Fault, ...] = (),
        class_holds: dict[str, float] | None = None, name: str = "desk",
    ) -> None:  # fmt: skip
        self.name, self.class_holds = name, class_holds or {}
        self.loop, self.ledger, self.circuits = loop, ledger, circuits
        self.random = random.Random(seed)
        self.set_up_ms, self.hold_ms, self.faults = set_up_ms, hold_ms, faults
        self.calls: dict[int, Held] = {}
        self.peers: dict[Peer, None] = {}
        self.started = loop.now
        self._told_at = 0
        self.fences: dict[str, int] = {}  # by duty: the highest epoch that was seen
        self.told_late: list[tuple[int, str, BinaryMessage]] = []  # when, to whom
        self.listener = Listener(loop, address, lambda s: Peer(self, s), lambda: True, lambda: False)
        for fault in faults:
            if fault.what == "cut":
                loop.timers.schedule(self.started + fault.since, self._cut)
        ledger.say("started", port=self.listener.port)

    def _under(self, what: str) -> bool:
        since = self.loop.now - self.started
        return any(f.what == what and f.since <= since < f.until for f in self.faults)

    def command(self, asked: Any) -> None:
        """Begin a fault now, for some seconds."""
        since = self.loop.now - self.started
        fault = Fault(asked["fault"], since, since + int(asked.get("seconds", 0.0) * S))
        self.ledger.say("fault", **asked)
        if fault.what == "cut":
            self._cut()
        else:
            self.faults = (*(f for f in self.faults if f.until > since), fault)

    def _cut(self) -> None:
        for peer in list(self.peers):
            peer.stream.fail(None)

    def message(self, peer: Peer, m: BinaryMessage) -> None:
        if m.message_type == binary.SET_UP:
            self._set_up(peer, m)
        elif m.message_type == binary.RELEASE:
            held = self.calls.get(m.call_id)
            self.ledger.say("released", call=f"{m.call_id:016x}", stood=held is not None and held.stands,
                            known=held is not None)  # fmt: skip
            self._free(m.call_id)
            peer.say(BinaryMessage(binary.RELEASE_ACK, m.call_id))
        elif m.message_type == binary.PROBE:
            self._test(peer, m)

    def _test(self, peer: Peer, m: BinaryMessage) -> None:
        """A probe under a fence ``DUTY EPOCH RUN HOLDER``: an older epoch than was seen is refused."""
        duty, epoch, run, holder = [*m.number.split(" "), "0", "0", ""][:4]
        newest = self.fences.get(duty, 0)
        fresh = int(epoch) >= newest
        self.fences[duty] = max(newest, int(epoch))
        self.ledger.say("probe", duty=duty, epoch=int(epoch), run=int(run), by=holder, fresh=fresh)
        if not self._under("silent"):
            peer.say(BinaryMessage(binary.PROBE_RESULT, m.call_id, cause=int(fresh)))

    def _set_up(self, peer: Peer, m: BinaryMessage) -> None:
        call = f"{m.call_id:016x}"
        self.ledger.say("set_up", call=call, kind=m.class_name, wait_ms=m.timeout_ms, number=m.number,
                        again=m.call_id in self.calls)  # fmt: skip
        if self._under("full") or len(self.calls) >= self.circuits:
            self.ledger.say("refused", call=call)
            peer.say(BinaryMessage(binary.RELEASE, m.call_id, cause=34, reason="group_full"))
            return
        if self._under("error"):
            self.ledger.say("refused", call=call)
            peer.say(BinaryMessage(binary.RELEASE, m.call_id, cause=ERROR_CAUSE))
            return
        held = self.calls[m.call_id] = Held(peer, m.class_name)
        if self._under("silent"):
            return
        wait = self.set_up_ms * self.random.uniform(0.5, 1.5) * (10 if self._under("slow") else 1)
        held.timer = self.loop.timers.schedule(
            self.loop.now + int(wait * MS), lambda: self._answer(m.call_id)
        )
        self._group_changed()

    def _answer(self, call: int) -> None:
        held = self.calls.get(call)
        if held is None:
            return
        held.stands = True
        self.ledger.say("answered", call=f"{call:016x}")
        if self._under("spoil"):
            held.peer.stream.send(NOISE)
        else:
            answer = BinaryMessage(binary.ANSWER, call, session_description=self.description(call))
            for _ in range(2 if self._under("twice") else 1):
                held.peer.say(answer)
        wait = self.class_holds.get(held.kind, self.hold_ms) * self.random.uniform(0.5, 1.5)
        held.timer = self.loop.timers.schedule(self.loop.now + int(wait * MS), lambda: self._over(call))

    def description(self, call: int) -> bytes:
        """What stands in the answer to a call, and in no other."""
        return f"o={self.name} {call:016x}\r\n{MEDIA}".encode()

    def _over(self, call: int) -> None:
        held = self.calls.get(call)
        if held is None:
            return
        self.ledger.say("over", call=f"{call:016x}")
        release = BinaryMessage(binary.RELEASE, call, cause=16)
        # Also on connections that open soon after: the one of its set-up may be broken, and not known to be.
        host = held.peer.host
        self.told_late = [late for late in self.told_late if self.loop.now - late[0] < LATE_NS]
        self.told_late.append((self.loop.now, host, release))
        others = [peer for peer in self.peers if peer.host == host]
        for peer in [held.peer] if held.peer.stream.open else others:
            peer.say(release)
        self._free(call)

    def _free(self, call: int) -> None:
        held = self.calls.pop(call, None)
        if held is not None and held.timer is not None:
            held.timer.cancel()
        self._group_changed()

    def lost(self, peer: Peer) -> None:
        """Closing a connection gives up its open set-ups; calls that stand go on."""
        self.peers.pop(peer, None)
        for call, held in list(self.calls.items()):
            if held.peer is peer and not held.stands:
                self.ledger.say("dropped", call=f"{call:016x}")
                self._free(call)

    def _group_changed(self) -> None:
        if self.loop.now - self._told_at >= GROUP_NS:
            self._told_at = self.loop.now
            for peer in list(self.peers):
                peer.tell_group()


def fault_of(text: str) -> Fault:
    what, since, length = text.split(":")
    return Fault(what, int(float(since) * S), int((float(since) + float(length)) * S))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--circuits", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--set-up-ms", type=float, default=40.0)
    parser.add_argument("--hold-ms", type=float, default=1500.0)
    parser.add_argument("--name", default="desk", help="stands in the descriptions of its answers")
    parser.add_argument("--class-hold", action="append", default=[], help="NAME=MS, for calls of that class")
    parser.add_argument("--fault", type=fault_of, action="append", default=[])
    g = parser.parse_args()
    loop, ledger = Loop(), Ledger(g.ledger)
    holds = {name: float(ms) for name, ms in (text.split("=") for text in g.class_hold)}
    exchange = StandInExchange(
        loop, g.listen, ledger, g.circuits, g.seed, g.set_up_ms, g.hold_ms, tuple(g.fault), holds, g.name
    )
    read_commands(loop, exchange.command)
    run_until_told(loop, ledger)


if __name__ == "__main__":
    main()
