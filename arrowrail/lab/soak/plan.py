"""What a trial plays: sizes, settings, traffic and faults, all drawn from its seed and printable.

A plan says nothing of how it is played.  A fault has a number, so that a failing trial can be cut down by
naming the faults to leave out.
"""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, replace
from typing import Any

from arrowrail.lab.platform import CallClassConfig

DEFAULT_DURATION_S = 16.0  # of faults and traffic, where nothing else is asked for
SHORTEST_SECONDS = 8.0
TAIL_S = 9.0  # after the last fault: the longest limit of the pages is 8 s, and calls end in it
FIRST_FAULT_S = 1.5
LONGEST_FAULT_S = 12.0  # longer than the longest limit of the pages
CALLS_AT_RATE = (12.0, 30.0)  # calls a second to one controller
DISCOVERY, CONTROLLER, CALLERS = "discovery", "controller", "callers"

# Faults of the network between a controller and a server, played by the proxy, and of servers themselves.
SERVER_FAULTS = (
    "vanish", "vanish_for_good", "hang", "die", "one_way", "reset", "silent", "full", "error", "slow",
    "spoil", "twice", "drain", "replace",
)  # fmt: skip
DISCOVERY_FAULTS = ("discovery_refuse", "discovery_hang", "discovery_vanish", "discovery_reset", "reload")
CONTROLLER_FAULTS = ("restart", "kill")
CALLER_FAULTS = ("crowd", "rude")
WEIGHTS = {"vanish_for_good": 2, "replace": 2, "drain": 2, "die": 2, "restart": 3, "reset": 2}
# Faults that are worst together: the second begins while the first lasts.
TOGETHER = (
    ("discovery_vanish", "vanish_for_good"), ("discovery_refuse", "drain"), ("discovery_hang", "replace"),
    ("discovery_refuse", "die"), ("hang", "restart"), ("silent", "restart"),
)  # fmt: skip
# How long each lasts: news that discovery could not tell falls due 6 s after it is back, while its server
# drains.
DISCOVERY_AWAY_S = (1.5, 4.0)
TOGETHER_S = (4.0, 7.0)
SECOND_S = (6.0, LONGEST_FAULT_S)
FOLLOWS_S = (0.3, 1.5)  # how long after it the second begins
ONCE = ("vanish_for_good", "die", "drain", "replace", "restart", "kill")  # at most once for each target


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault: what happens to whom, when, for how long, and what more there is to say of it."""

    number: int
    kind: str
    target: str  # a server, a controller, or discovery of a controller
    at_s: float
    seconds: float
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Plan:
    """One trial; times in seconds from the start of the traffic, where no unit is said."""

    seed: int
    seconds: float
    controllers: int
    servers: int
    circuits: int
    set_up_ms: float
    classes: tuple[CallClassConfig, ...]
    sockets: int
    rate: float
    short_share: float
    early_share: float
    hang_up_share: float
    retry_share: float
    faults: tuple[Fault, ...]

    def without(self, numbers: set[int]) -> Plan:
        """The same trial, but for some of its faults."""
        return replace(self, faults=tuple(f for f in self.faults if f.number not in numbers))

    def as_json(self) -> dict[str, Any]:
        return asdict(self)

    def summary_lines(self) -> list[str]:
        """For people: one line of sizes, one a class, one a fault."""
        sizes = (
            f"seed {self.seed}: {self.controllers} controllers, {self.servers} servers of {self.circuits} "
            f"circuits, {self.rate:.0f} calls/s each, {self.sockets} descriptors, {self.seconds:g} s"
        )
        kinds = [f"  class {c.name}: deadline {c.deadline_ms} ms, holds {c.hold_ms} ms" for c in self.classes]
        faults = [
            f"  fault {f.number}: {f.at_s:.1f} s {f.kind} {f.target}, {f.seconds:.1f} s {f.detail}".rstrip()
            for f in self.faults
        ]
        return [sizes, *kinds, *faults]


def server_names(count: int) -> list[str]:
    return [f"s{n + 1}" for n in range(count)]


def controller_names(count: int) -> list[str]:
    return [f"n{n}" for n in range(count)]


def generate_plan(seed: int, seconds: float = DEFAULT_DURATION_S) -> Plan:
    """The plan of a seed."""
    source = random.Random(seed)
    controllers, servers = source.choice((1, 1, 2)), source.randint(2, 4)
    deadline_ms = source.choice((700, 1150, 2000, 3000, 9000, 9000))
    classes = (
        CallClassConfig(
            "status-report", deadline_ms, max(300, deadline_ms // 3), source.choice((1500, 4000))
        ),
        CallClassConfig(
            "alarm-video", deadline_ms, max(400, deadline_ms // 3), source.choice((9000, 30_000)), 4.0
        ),
    )
    plan = Plan(
        seed, seconds, controllers, servers, source.choice((60, 120, 200)), source.uniform(5, 40), classes,
        source.choice((256, 384, 1024)), source.uniform(*CALLS_AT_RATE) / controllers,
        source.uniform(0.1, 0.6), source.uniform(0, 0.1), source.uniform(0.1, 0.4),
        source.uniform(0, 0.4), (),
    )  # fmt: skip
    return replace(plan, faults=_draw_faults(source, plan))


def _draw_faults(source: random.Random, plan: Plan) -> tuple[Fault, ...]:
    """Two that are worst together, and four to eight more; one server at least is left alone."""
    spared = source.choice(server_names(plan.servers))
    targets = [name for name in server_names(plan.servers) if name != spared]
    first, second = source.choice(TOGETHER)
    at = source.uniform(FIRST_FAULT_S, plan.seconds / 2)
    drawn = [
        (first, at, source.uniform(*(DISCOVERY_AWAY_S if first in DISCOVERY_FAULTS else TOGETHER_S))),
        (second, at + source.uniform(*FOLLOWS_S), source.uniform(*SECOND_S)),
    ]
    kinds = [*SERVER_FAULTS, *DISCOVERY_FAULTS, *CONTROLLER_FAULTS, *CALLER_FAULTS]
    weights = [WEIGHTS.get(kind, 1) for kind in kinds]
    for kind in source.choices(kinds, weights, k=source.randint(4, 8)):
        at = source.uniform(FIRST_FAULT_S, plan.seconds - 2.0)
        drawn.append((kind, at, source.uniform(0.5, LONGEST_FAULT_S)))
    ended: set[str] = set()
    found: list[Fault] = []
    for number, (kind, at, length) in enumerate(drawn, 1):
        target = _target(source, plan, kind, targets)
        detail = _detail(source, kind)
        if kind in ONCE and target in ended:
            continue  # what ends a server, or a controller, happens to it once
        if kind in ONCE:
            ended.add(target)
        found.append(Fault(number, kind, target, round(at, 3), round(length, 3), detail))
    return tuple(sorted(found, key=lambda fault: fault.at_s))


def _target(source: random.Random, plan: Plan, kind: str, servers: list[str]) -> str:
    if kind in SERVER_FAULTS:
        return source.choice(servers)
    if kind in DISCOVERY_FAULTS:
        return DISCOVERY
    return source.choice(controller_names(plan.controllers))


def _detail(source: random.Random, kind: str) -> str:
    if kind == "one_way":
        return source.choice(("upstream", "client"))
    if kind == "replace":
        return source.choice(("new_address", "same_address"))
    if kind == "restart":
        return source.choice(("once", "twice", "with_reload"))
    if kind == "crowd":
        return str(source.choice((50, 150, 300)))
    if kind == "rude":
        return source.choice(("noise", "half", "endless", "silent", "no_class"))
    return ""
