"""The plan of a fault trial: sizes, settings, traffic and faults, all drawn from a seed.

A plan is plain data and can be printed.  Each fault has a number, so that a failing trial can be reduced by
excluding faults.
"""

from __future__ import annotations

import random
from dataclasses import asdict, dataclass, replace
from typing import Any

from arrowrail.lab.platform import CallClassConfig

DEFAULT_DURATION_S = 16.0  # of faults and traffic
MIN_DURATION_S = 8.0
# From the end of the faults to the end of the trial: established calls end in it, and the longest time limit
# of the operators' documents is 8 s.
SETTLE_S = 9.0
FIRST_FAULT_S = 1.5
MAX_FAULT_S = 12.0  # longer than the longest time limit of the operators' documents
CALL_RATE_RANGE = (12.0, 30.0)  # calls per second, over all controllers
DISCOVERY, CONTROLLER, CALLERS = "discovery", "controller", "callers"

# Faults of the network between controllers and a server, injected by the proxy, and of the server itself.
SERVER_FAULTS = (
    "vanish", "vanish_for_good", "hang", "die", "one_way", "reset", "silent", "full", "error", "slow",
    "spoil", "twice", "drain", "replace", "replace_at_once",
)  # fmt: skip
DISCOVERY_FAULTS = ("discovery_refuse", "discovery_hang", "discovery_vanish", "discovery_reset", "reload")
CONTROLLER_FAULTS = ("restart", "kill")
CALLER_FAULTS = ("crowd", "rude")
# Clients that overload the controller, leave with much unread, or send a set-up again.  They are drawn by a
# generator of their own and get the last numbers, so that the other faults of a seed stay as they are.
CLIENT_FAULTS = ("many_fields", "greedy", "early_close", "resend")
CLIENT_FAULT_SHARE = 0.5  # of the seeds that have any
MAX_CLIENT_FAULT_S = 3.0
SINGLE_SHOT = "single_shot"
KIND_WEIGHTS = {
    "vanish_for_good": 2, "replace": 2, "replace_at_once": 3, "drain": 2, "die": 2, "restart": 3, "reset": 2,
}  # fmt: skip
# Combinations that are the hardest to handle: the second fault begins while the first one lasts.
FAULT_PAIRS = (
    ("discovery_vanish", "vanish_for_good"), ("discovery_refuse", "drain"), ("discovery_hang", "replace"),
    ("discovery_refuse", "die"), ("discovery_refuse", "replace_at_once"), ("hang", "restart"),
    ("silent", "restart"),
)  # fmt: skip
# Durations of the two faults of a pair. A list update that a discovery fault delays must reach the controller
# within 6 s after the fault; with these durations the server is still draining at that time.
FIRST_DISCOVERY_FAULT_S = (1.5, 4.0)
FIRST_OTHER_FAULT_S = (4.0, 7.0)
SECOND_FAULT_S = (6.0, MAX_FAULT_S)
SECOND_FAULT_DELAY_S = (0.3, 1.5)  # from the start of the first fault
# Faults that end, replace or restart their target: each target gets at most one of them.
ONCE_PER_TARGET = ("vanish_for_good", "die", "drain", "replace", "replace_at_once", "restart", "kill")
# How a server ends that is replaced at once: its process dies and resets its connections, or its machine
# vanishes and another one has its address that many seconds later.
DIES, SUCCESSOR_DELAYS_S = "dies", ("0.3", "0.8", "2.0")


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, its target, start, duration and variant."""

    number: int
    kind: str
    target: str  # name of a server or a controller, or "discovery": the services of all controllers
    at_s: float
    seconds: float
    detail: str = ""  # variant of the fault; empty: there is only one


@dataclass(frozen=True, slots=True)
class Plan:
    """Parameters of one trial; times without a unit are in seconds from the start of the traffic."""

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
        """Return the same plan with some faults excluded."""
        return replace(self, faults=tuple(f for f in self.faults if f.number not in numbers))

    def as_json(self) -> dict[str, Any]:
        return asdict(self)

    def summary_lines(self) -> list[str]:
        """Return a readable summary: a line of sizes, one line per class and one per fault."""
        size_line = (
            f"seed {self.seed}: {self.controllers} controllers, {self.servers} servers of {self.circuits} "
            f"circuits, {self.rate:.0f} calls/s each, {self.sockets} descriptors, {self.seconds:g} s"
        )
        class_lines = [
            f"  class {c.name}: deadline {c.deadline_ms} ms, holds {c.hold_ms} ms" for c in self.classes
        ]
        fault_lines = [
            f"  fault {f.number}: {f.at_s:.1f} s {f.kind} {f.target}, {f.seconds:.1f} s {f.detail}".rstrip()
            for f in self.faults
        ]
        return [size_line, *class_lines, *fault_lines]


def server_names(count: int) -> list[str]:
    return [f"s{n + 1}" for n in range(count)]


def controller_names(count: int) -> list[str]:
    return [f"n{n}" for n in range(count)]


def generate_plan(seed: int, seconds: float = DEFAULT_DURATION_S) -> Plan:
    """Generate the plan of a seed."""
    rng = random.Random(seed)
    controllers, servers = rng.choice((1, 1, 2)), rng.randint(2, 4)
    deadline_ms = rng.choice((700, 1150, 2000, 3000, 9000, 9000))
    classes = (
        CallClassConfig("status-report", deadline_ms, max(300, deadline_ms // 3), rng.choice((1500, 4000))),
        CallClassConfig(
            "alarm-video", deadline_ms, max(400, deadline_ms // 3), rng.choice((9000, 30_000)), 4.0
        ),
    )
    plan = Plan(
        seed, seconds, controllers, servers, rng.choice((60, 120, 200)), rng.uniform(5, 40), classes,
        rng.choice((256, 384, 1024)), rng.uniform(*CALL_RATE_RANGE) / controllers,
        rng.uniform(0.1, 0.6), rng.uniform(0, 0.1), rng.uniform(0.1, 0.4),
        rng.uniform(0, 0.4), (),
    )  # fmt: skip
    return _add_client_faults(replace(plan, faults=_draw_faults(rng, plan)))


def _add_client_faults(plan: Plan) -> Plan:
    """Add one or two faults of hostile clients; where set-ups are sent again, a class must not run twice."""
    rng = random.Random(f"clients of {plan.seed}")
    if rng.random() >= CLIENT_FAULT_SHARE:
        return plan
    number = max((fault.number for fault in plan.faults), default=0)
    faults = list(plan.faults)
    for kind in rng.sample(CLIENT_FAULTS, rng.randint(1, 2)):
        number += 1
        at_s = round(rng.uniform(FIRST_FAULT_S, plan.seconds - 2.0), 3)
        duration = round(rng.uniform(1.0, MAX_CLIENT_FAULT_S), 3)
        target = rng.choice(controller_names(plan.controllers))
        faults.append(Fault(number, kind, target, at_s, duration, _client_fault_detail(rng, kind)))
    classes = plan.classes
    if any(fault.kind == "resend" for fault in faults):
        classes = (*classes[:-1], replace(classes[-1], repeat=SINGLE_SHOT))
    return replace(plan, classes=classes, faults=tuple(sorted(faults, key=lambda fault: fault.at_s)))


def _client_fault_detail(rng: random.Random, kind: str) -> str:
    if kind == "greedy":
        return rng.choice(("options", "unsound", "classes"))
    return "" if kind == "many_fields" else str(rng.choice((5, 20)))


def _draw_faults(rng: random.Random, plan: Plan) -> tuple[Fault, ...]:
    """Draw one pair and four to eight single faults; at least one server gets no fault."""
    unaffected = rng.choice(server_names(plan.servers))
    targets = [name for name in server_names(plan.servers) if name != unaffected]
    first, second = rng.choice(FAULT_PAIRS)
    at_s = rng.uniform(FIRST_FAULT_S, plan.seconds / 2)
    drawn = [
        (
            first,
            at_s,
            rng.uniform(*(FIRST_DISCOVERY_FAULT_S if first in DISCOVERY_FAULTS else FIRST_OTHER_FAULT_S)),
        ),
        (second, at_s + rng.uniform(*SECOND_FAULT_DELAY_S), rng.uniform(*SECOND_FAULT_S)),
    ]
    kinds = [*SERVER_FAULTS, *DISCOVERY_FAULTS, *CONTROLLER_FAULTS, *CALLER_FAULTS]
    weights = [KIND_WEIGHTS.get(kind, 1) for kind in kinds]
    for kind in rng.choices(kinds, weights, k=rng.randint(4, 8)):
        at_s = rng.uniform(FIRST_FAULT_S, plan.seconds - 2.0)
        drawn.append((kind, at_s, rng.uniform(0.5, MAX_FAULT_S)))
    targets_used: set[str] = set()
    faults: list[Fault] = []
    for number, (kind, at_s, duration) in enumerate(drawn, 1):
        target = _target(rng, plan, kind, targets)
        detail = _detail(rng, kind)
        if kind in ONCE_PER_TARGET and target in targets_used:
            continue  # the target has already ended or restarted
        if kind in ONCE_PER_TARGET:
            targets_used.add(target)
        faults.append(Fault(number, kind, target, round(at_s, 3), round(duration, 3), detail))
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _target(rng: random.Random, plan: Plan, kind: str, server_targets: list[str]) -> str:
    if kind in SERVER_FAULTS:
        return rng.choice(server_targets)
    if kind in DISCOVERY_FAULTS:
        return DISCOVERY
    return rng.choice(controller_names(plan.controllers))


def _detail(rng: random.Random, kind: str) -> str:
    if kind == "one_way":
        return rng.choice(("upstream", "client"))
    if kind == "replace":
        return rng.choice(("new_address", "same_address"))
    if kind == "replace_at_once":
        return rng.choice((DIES, *SUCCESSOR_DELAYS_S))
    if kind == "restart":
        return rng.choice(("once", "twice", "with_reload"))
    if kind == "crowd":
        return str(rng.choice((50, 150, 300)))
    if kind == "rude":
        return rng.choice(("noise", "half", "endless", "silent", "no_class"))
    return ""
