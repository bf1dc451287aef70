"""A group's decisions in simulated time, at sizes that no machine here could run as processes.

Used by the benchmark: messages and bytes an instance a second, how soon a death is found and its duties
are held again, false suspicions, duties moved.  Voters are a fixed few; the others do everything else too.
"""

from __future__ import annotations

import statistics
from typing import Any

from arrowrail.duties.assign import assign, moved, of, shard_of
from arrowrail.group.instance import Instance, Message, Out
from arrowrail.group.plan import GroupPlan
from arrowrail.lab.simnet import MS, Clock, Net, S
from arrowrail.leases.promise import Promise
from arrowrail.membership.swim import DEAD, SUSPECT
from arrowrail.wire.group.messages import encode

KEYS = {1: b"k" * 16}
VOTERS = 5
TICK = 200 * MS


class SimGroup:
    def __init__(self, size: int, duties: int, seed: int, period_ns: int) -> None:
        self.net, self.seed, self.period = Net(seed), seed, period_ns
        self.names = [f"i{n}" for n in range(size)]
        self.duties = [f"probe:{n}" for n in range(duties)]
        self.shards = {shard_of(duty) for duty in self.duties}
        self.disk: dict[str, dict[str, Promise]] = {}
        self.instances: dict[str, Instance] = {}
        self.heard_dead: dict[str, int] = {}  # by who heard it: when
        self.suspicions = 0
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.seed += 1
        draw = self.net.random
        self.net.clocks.setdefault(name, Clock(draw.randrange(10**15), draw.randint(-1000, 1000)))
        voters = {n: n for n in self.names[:VOTERS]}
        plan = GroupPlan("g", name, name, name, voters, {}, (), KEYS, 1, 3 * S, 10_000, "", "",
                         self.period, S)  # fmt: skip
        kept = dict(self.disk.setdefault(name, {}))
        instance = self.instances[name] = Instance(plan, self.net.clock(name), self.seed, kept)
        instance.set_duties(self.duties)
        self.net.join(name, lambda sender, message: self.receive(name, sender, message))
        self.net.at(self.net.now + draw.randrange(TICK), lambda: self.tick(name, instance))

    def tick(self, name: str, instance: Instance) -> None:
        if self.instances.get(name) is not instance:
            return
        for change in instance.swim.changes:
            self.suspicions += change.state == SUSPECT
            if change.state == DEAD:
                self.heard_dead.setdefault(name, self.net.now)
        self.carry(name, instance.tick(self.net.clock(name)))
        self.net.at(self.net.now + TICK, lambda: self.tick(name, instance))

    def receive(self, name: str, sender: str, message: Message) -> None:
        self.carry(name, self.instances[name].receive(self.net.clock(name), sender, message))

    def carry(self, name: str, out: Out) -> None:
        self.disk[name] |= out.promises
        for address, to, message in out.messages:
            # Every 16th is encoded for its size: enough for a mean, and quick.
            count = self.net.sent.get(name, 0)
            size = 16 * len(encode(KEYS, 1, ("g", name, to, 1, 1), message)) if count % 16 == 0 else 0
            self.net.send(name, address, message, size)

    def run(self, seconds: float) -> None:
        self.net.run(self.net.now + int(seconds * S))

    def crash(self, name: str) -> None:
        del self.instances[name]
        self.net.leave(name)

    def held(self) -> int:
        return sum(1 for n, i in self.instances.items() for _ in i.office.held(self.net.clock(n)))


def traffic(size: int, duties: int, seconds: float, seed: int = 1) -> dict[str, Any]:
    """A calm group, then a death: rates an instance, and how soon it is known and made good."""
    group = SimGroup(size, duties, seed, 10 * S)
    group.run(20 + size / 10)
    group.net.sent.clear()
    group.net.bytes.clear()
    group.suspicions = 0
    began = group.net.now
    group.run(seconds)
    passed = (group.net.now - began) / S
    messages = [n / passed for n in group.net.sent.values()]
    size_bytes = [n / passed for n in group.net.bytes.values()]
    voters = [group.net.sent.get(n, 0) / passed for n in group.names[:VOTERS]]
    false_alarms, held = group.suspicions, group.held()
    group.heard_dead.clear()
    dead, died = group.names[-1], group.net.now
    group.crash(dead)
    while group.net.now - died < 60 * S and (not group.heard_dead or group.held() < len(group.shards)):
        group.run(0.5)
    found = sorted((t - died) / S for t in group.heard_dead.values())
    return {
        "instances": size, "duties": duties, "leases held": held,
        "messages an instance a s, mean": round(statistics.mean(messages), 1),
        "bytes an instance a s, mean": round(statistics.mean(size_bytes)),
        "messages of a voter a s, mean": round(statistics.mean(voters), 1),
        "false suspicions": false_alarms,
        "death known to all but it after s, p50": found[len(found) // 2] if found else None,
        "max": found[-1] if found else None,
        "all duties held again after s": round((group.net.now - died) / S, 1),
    }  # fmt: skip


def movement(size: int, duties: int = 10_000) -> dict[str, Any]:
    """Duties that one death moves, against those that were its own."""
    names = [f"i{n}" for n in range(size)]
    placed = [f"probe:{n}" for n in range(duties)]
    before = assign(placed, names)
    after = assign(placed, names[1:])
    return {"instances": size, "duties": duties, "its own": len(of(names[0], before)),
            "moved": moved(before, after), "even part": duties // size}  # fmt: skip
