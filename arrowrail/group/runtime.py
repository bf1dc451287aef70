"""The group on the loop: its socket, its memory of promises, its control socket, and the probes."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path

import msgspec
import orjson
from loguru import logger

from arrowrail.core.requests import MS
from arrowrail.group.instance import Instance, Message, Out, Run
from arrowrail.group.plan import GroupPlan
from arrowrail.leases.batch import Batch
from arrowrail.leases.promise import Ask, Promise, Reply
from arrowrail.loop import READ, Loop
from arrowrail.membership.guard import FRESH, Guard
from arrowrail.scheduling.scheduler import NORMAL, Budgets, Kind, Scheduler, Slices
from arrowrail.storage.keeper import Keeper
from arrowrail.wire.group.messages import GroupError, decode, encode
from arrowrail.wire.group.transport import Transport

TICK_NS = 100 * MS
Probe = Callable[[Run, Callable[[bool], None]], bool]  # starts one; false: it can't leave


def read_promises(path: Path) -> dict[str, Promise] | None:
    """What was promised before; ``None`` where nothing is there or it can't be read."""
    try:
        raw = msgspec.msgpack.decode(path.read_bytes())
        return {d: Promise(int(e), str(h), 0, int(n)) for d, e, h, n in raw["promises"]}
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError, KeyError, TypeError, ValueError) as wrong:
        logger.warning("promises of before can't be read, a lease is sat out: {!r}", wrong)
        return None


class Group:
    def __init__(self, loop: Loop, plan: GroupPlan, probe: Probe, seed: int) -> None:
        self.loop, self.plan, self.probe = loop, plan, probe
        self.boot, self.number = time.time_ns(), 0
        kept = None
        self.keeper: Keeper | None = None
        if plan.memory:
            path = Path(plan.memory) / f"{plan.name}.promises"
            kept = read_promises(path)
            self.keeper = Keeper(loop, path)
        # Without memory, epochs begin above all that a life before this second can have used.
        floor = 0 if kept is not None else (self.boot // 10**9) << 20
        self.instance = Instance(plan, loop.now, seed, kept, floor)
        self.scheduler = Scheduler(Budgets(), seed, loop.now)
        self.guard = Guard()
        self.counted: dict[str, int] = {}  # datagrams that were not taken, by reason
        self.transport = Transport(loop, plan.bind, self._received)
        self.control = Control(loop, plan.control, self.report) if plan.control else None
        self.runs = 0
        self._closing = False
        loop.timers.schedule(loop.now, self._tick)

    def use(self, plan: GroupPlan) -> None:
        self.plan = plan
        self.instance.use(plan)

    def set_duties(self, duties: Iterable[str]) -> None:
        self.instance.set_duties(duties)

    # --- The turn ---------------------------------------------------------------------------------------

    def _tick(self) -> None:
        if self._closing:
            return
        self._carry(self.instance.tick(self.loop.now))
        self.loop.timers.schedule(self.loop.now + TICK_NS, self._tick)

    def background(self, busy: bool) -> None:
        """Once a turn of the loop, after the calls."""
        if self.scheduler.jobs:
            self.scheduler.turn(self.loop.now, time.monotonic_ns, busy)
            due = self.scheduler.next_at(self.loop.now)
            if due is not None:
                self.loop.timers.schedule(max(due, self.loop.now + MS), lambda: None)

    def _carry(self, out: Out) -> None:
        for run in out.runs:
            self.scheduler.ask(
                Kind(f"{run.duty}#{run.run}", partial(self._slices, run), priority=NORMAL,
                     deadline_ns=self.plan.probe_period_ns), self.loop.now)  # fmt: skip
        leases = any(isinstance(message, Ask | Reply | Batch) for _, _, message in out.messages)
        # While a promise is being written, what may rest on it waits for the same write or the next.
        if self.keeper is not None and (out.promises or (leases and self.keeper.busy)):
            self.keeper.keep(self._snapshot(), lambda safe: self._send(out) if safe else None)
        else:
            self._send(out)

    def _snapshot(self) -> bytes:
        promises = self.instance.office.promises
        return msgspec.msgpack.encode(
            {"version": 1, "promises": [[d, p.epoch, p.holder, p.length_ns] for d, p in promises.items()]}
        )

    def _send(self, out: Out) -> None:
        for address, name, message in out.messages:
            self._send_one(address, name, message)

    def _send_one(self, address: str, name: str, message: Message) -> None:
        self.number += 1
        head = (self.plan.group, self.plan.name, name, self.boot, self.number)
        self.transport.send(address, encode(self.plan.keys, self.plan.key, head, message))

    def _received(self, data: bytes) -> None:
        try:
            (group, sender, to, boot, number), message = decode(self.plan.keys, data)
        except GroupError as wrong:
            self._count(str(wrong))
            return
        if group != self.plan.group or to not in ("", self.plan.name) or sender == self.plan.name:
            self._count("foreign")
            return
        judged = self.guard.judge(sender, boot, number)
        if judged != FRESH:
            self._count(judged)
            return
        self._carry(self.instance.receive(self.loop.now, sender, message))

    def _count(self, reason: str) -> None:
        self.counted[reason] = self.counted.get(reason, 0) + 1

    # --- Runs -------------------------------------------------------------------------------------------

    def _slices(self, run: Run) -> Slices:
        """One probe.  The clock of the turn is the latest that was read: a lease that is over stops it."""
        yield
        began = self.loop.now
        if not self.instance.may_go_on(began, run):
            return

        def done(passed: bool) -> None:
            self._carry(self.instance.ran(self.loop.now, run, passed, self.loop.now - began))

        if self.probe(run, done):
            self.runs += 1

    def report(self) -> dict[str, object]:
        """For operators, over the control socket."""
        now, i = self.loop.now, self.instance
        return {
            "group": self.plan.group, "name": self.plan.name, "dropped": self.counted,
            "health": i.swim.health, "unsent": self.transport.unsent,
            "members": [
                {"name": n, "address": a, "state": s, "incarnation": inc, "for_ms": since // MS}
                for n, a, s, inc, since in i.swim.states(now)
            ],
            "duties": [
                {"duty": d, "placed_at": i.placed.get(i.shards.get(d, ""), ""), "epoch": i.epoch(d, now),
                 "verdict": i.hints.verdict(now, d)}
                for d in i.duties
            ],
        }  # fmt: skip

    def close(self) -> None:
        self._closing = True
        self._send(self.instance.leave(self.loop.now))
        if self.keeper is not None:
            self.keeper.close()
        if self.control is not None:
            self.control.close()
        self.transport.close()


class Control:
    """A Unix socket that says the state of the instance to whoever may open it, and closes."""

    def __init__(self, loop: Loop, path: str, report: Callable[[], dict[str, object]]) -> None:
        self.loop, self.path, self.report = loop, path, report
        if os.path.exists(path):
            os.unlink(path)
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        before = os.umask(0o177)  # its owner only
        try:
            self.sock.bind(path)
        finally:
            os.umask(before)
        self.sock.listen(4)
        loop.watch(self.sock, READ, self._asked)

    def _asked(self, _mask: int) -> None:
        try:
            peer, _ = self.sock.accept()
        except OSError:
            return
        with peer:
            peer.setblocking(False)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
            try:
                peer.send(orjson.dumps(self.report()) + b"\n")
            except OSError as why:
                logger.debug("control socket: {}", why)

    def close(self) -> None:
        self.loop.unwatch(self.sock)
        self.sock.close()
        if os.path.exists(self.path):
            os.unlink(self.path)
