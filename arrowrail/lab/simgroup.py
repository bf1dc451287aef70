"""Groups in simulated time, at sizes that would not fit on one machine as processes; for the benchmark.

Measures messages and bytes per instance and second, the time until a failure is detected and its duties are
held again, false suspicions, and duties moved.  The first ``VOTERS`` instances vote on leases, and take part
in everything else as well.
"""

from __future__ import annotations

import statistics
from typing import Any

from arrowrail.duties.assign import assign, count_moved, duties_of, shard_of
from arrowrail.group.config import GroupConfig
from arrowrail.group.instance import Effects, Instance, Message
from arrowrail.lab.simnet import MS, S, SimClock, SimNetwork
from arrowrail.leases.promise import Promise
from arrowrail.membership.swim import DEAD, SUSPECT
from arrowrail.wire.group.messages import encode

KEYS = {1: b"k" * 16}
VOTERS = 5
TICK_NS = 200 * MS


class SimGroup:
    """A group of instances on a simulated network."""

    def __init__(self, size: int, duties: int, seed: int, period_ns: int) -> None:
        self.network, self.seed, self.period_ns = SimNetwork(seed), seed, period_ns
        self.names = [f"i{n}" for n in range(size)]
        self.duties = [f"probe:{n}" for n in range(duties)]
        self.shards = {shard_of(duty) for duty in self.duties}
        self.stored_promises: dict[str, dict[str, Promise]] = {}
        self.instances: dict[str, Instance] = {}
        self.death_detected_at: dict[str, int] = {}  # by instance: when it first listed a member as dead
        self.suspicions = 0
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.seed += 1
        rng = self.network.random
        self.network.clocks.setdefault(name, SimClock(rng.randrange(10**15), rng.randint(-1000, 1000)))
        voters = {n: n for n in self.names[:VOTERS]}
        config = GroupConfig("g", name, name, name, voters, {}, (), KEYS, 1, 3 * S, 10_000, "", "",
                         self.period_ns, S)  # fmt: skip
        stored = dict(self.stored_promises.setdefault(name, {}))
        instance = self.instances[name] = Instance(config, self.network.clock(name), self.seed, stored)
        instance.set_duties(self.duties)
        self.network.attach(name, lambda sender, message: self.receive(name, sender, message))
        self.network.schedule(self.network.now + rng.randrange(TICK_NS), lambda: self.tick(name, instance))

    def tick(self, name: str, instance: Instance) -> None:
        if self.instances.get(name) is not instance:
            return
        for change in instance.swim.changes:
            self.suspicions += change.state == SUSPECT
            if change.state == DEAD:
                self.death_detected_at.setdefault(name, self.network.now)
        self.apply_effects(name, instance.tick(self.network.clock(name)))
        self.network.schedule(self.network.now + TICK_NS, lambda: self.tick(name, instance))

    def receive(self, name: str, sender: str, message: Message) -> None:
        self.apply_effects(name, self.instances[name].receive(self.network.clock(name), sender, message))

    def apply_effects(self, name: str, effects: Effects) -> None:
        self.stored_promises[name] |= effects.promises
        for address, receiver, message in effects.messages:
            # Every 16th message is encoded for its size: enough for the mean, and fast.
            count = self.network.messages_sent.get(name, 0)
            size = 16 * len(encode(KEYS, 1, ("g", name, receiver, 1, 1), message)) if count % 16 == 0 else 0
            self.network.send(name, address, message, size)

    def run(self, seconds: float) -> None:
        self.network.run(self.network.now + int(seconds * S))

    def crash(self, name: str) -> None:
        del self.instances[name]
        self.network.detach(name)

    def held_leases(self) -> int:
        return sum(
            1
            for n, instance in self.instances.items()
            for _ in instance.lease_manager.held_claims(self.network.clock(n))
        )


def measure_group(size: int, duties: int, seconds: float, seed: int = 1) -> dict[str, Any]:
    """Measure a steady group, then one instance's failure: message rates, detection and takeover times."""
    group = SimGroup(size, duties, seed, 10 * S)
    group.run(20 + size / 10)
    group.network.messages_sent.clear()
    group.network.bytes_sent.clear()
    group.suspicions = 0
    started_at = group.network.now
    group.run(seconds)
    elapsed_s = (group.network.now - started_at) / S
    messages = [n / elapsed_s for n in group.network.messages_sent.values()]
    size_bytes = [n / elapsed_s for n in group.network.bytes_sent.values()]
    voters = [group.network.messages_sent.get(n, 0) / elapsed_s for n in group.names[:VOTERS]]
    false_suspicions, held_leases = group.suspicions, group.held_leases()
    group.death_detected_at.clear()
    victim, died_at = group.names[-1], group.network.now
    group.crash(victim)
    while group.network.now - died_at < 60 * S and (
        not group.death_detected_at or group.held_leases() < len(group.shards)
    ):
        group.run(0.5)
    detection_s = sorted((t - died_at) / S for t in group.death_detected_at.values())
    return {
        "instances": size, "duties": duties, "leases held": held_leases,
        "messages an instance a s, mean": round(statistics.mean(messages), 1),
        "bytes an instance a s, mean": round(statistics.mean(size_bytes)),
        "messages of a voter a s, mean": round(statistics.mean(voters), 1),
        "false suspicions": false_suspicions,
        "death known to all but it after s, p50":
            detection_s[len(detection_s) // 2] if detection_s else None,
        "max": detection_s[-1] if detection_s else None,
        "all duties held again after s": round((group.network.now - died_at) / S, 1),
    }  # fmt: skip


def measure_reassignment(size: int, duties: int = 10_000) -> dict[str, Any]:
    """Count the duties that one failure moves, compared with the failed instance's own."""
    names = [f"i{n}" for n in range(size)]
    duty_names = [f"probe:{n}" for n in range(duties)]
    before = assign(duty_names, names)
    after = assign(duty_names, names[1:])
    return {"instances": size, "duties": duties, "its own": len(duties_of(names[0], before)),
            "moved": count_moved(before, after), "even part": duties // size}  # fmt: skip
