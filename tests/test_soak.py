"""Fault trials: the checks detect a violation of each rule, plans are reproducible, and fixed seeds pass."""

from __future__ import annotations

import subprocess
import sys
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import pytest

from arrowrail.lab.processes import ROOT
from arrowrail.lab.soak.checks import check_history
from arrowrail.lab.soak.history import load_history
from arrowrail.lab.soak.plan import Plan, generate_plan
from arrowrail.lab.soak.trace import trace_call

MS = 1_000_000
CALL_ID = "00000000000000a1"
# Together, the plans of these seeds contain most kinds of faults.  Failures that trials found have tests of
# their own elsewhere.
SEEDS = (3, 7, 14, 49, 303, 307)
MAX_PARALLEL_TRIALS = 2


class TrialEvents:
    """The event logs of a trial, built event by event; times in ms."""

    def __init__(self) -> None:
        self.events: dict[str, list[dict[str, Any]]] = defaultdict(list)

    def record(self, program: str, at_ms: int, event_name: str, **fields: Any) -> TrialEvents:
        self.events[program].append({"t": at_ms * MS, "what": event_name, **fields})
        return self

    def remove(self, program: str, event_name: str) -> TrialEvents:
        self.events[program] = [event for event in self.events[program] if event["what"] != event_name]
        return self

    def violated_rules(self, folder: Path, plan: Plan) -> list[str]:
        """Write the event logs and return the rules that the checks report as violated."""
        for program, events in self.events.items():
            events.sort(key=lambda event: event["t"])
            (folder / f"{program}.jsonl").write_bytes(b"\n".join(orjson.dumps(event) for event in events))
        return sorted({violation.rule for violation in check_history(load_history(plan, folder))})


def faultless_plan() -> Plan:
    plan = replace(generate_plan(1), controllers=1, servers=2, faults=(), sockets=256, circuits=20)
    classes = [replace(call_class, hold_ms=4000) for call_class in plan.classes]
    classes[-1] = replace(classes[-1], repeat="single_shot")
    return replace(plan, classes=tuple(classes))


def valid_events() -> TrialEvents:
    """One call that is served, ends and is released in time; the trial ends long after it."""
    events = TrialEvents()
    events.record("player", 0, "began", seconds=16).record("player", 40_000, "ended")
    events.record("s1", 0, "started").record("s2", 0, "started")
    events.record(
        "n0.callers", 1000, "placed", call=CALL_ID, kind="status-report", patience_ms=2000, exchange=1
    )
    events.record("n0.callers", 1000, "sent", call=CALL_ID, line=1, resent=False)
    events.record("proxy", 1001, "set_up", way="out", route="n0.s1", connection=1, call=CALL_ID, cause=0)
    events.record("s1", 1010, "answered", call=CALL_ID)
    events.record("proxy", 1011, "answer", way="in", route="n0.s1", connection=1, call=CALL_ID, cause=0)
    events.record("n0.callers", 1012, "answer", call=CALL_ID, status=200, line=1, made_by=f"o=s1 {CALL_ID}")
    events.record("s1", 5000, "over", call=CALL_ID)
    events.record("proxy", 5001, "release", way="in", route="n0.s1", connection=1, call=CALL_ID, cause=16)
    return events.record("n0.callers", 5002, "bye", call=CALL_ID, line=1, reason="")


def add_earlier_attempt(
    events: TrialEvents, at_ms: int, end_ms: int, event_name: str = "release", way: str = "out"
) -> TrialEvents:
    """Add an attempt from 200 ms to ``end_ms``, before the one that is answered."""
    events.record("proxy", 200, "set_up", way="out", route="n0.s2", connection=2, call=CALL_ID, cause=0)
    return events.record(
        "proxy", end_ms, event_name, way=way, route="n0.s2", connection=2, call=CALL_ID, cause=16
    )


def add_order(events: TrialEvents, status: int, attempts: int = 1) -> TrialEvents:
    """Add a call that must not run twice: given up at its server, and answered with a failure."""
    call = "00000000000000f2"
    events.record(
        "n0.callers", 2000, "placed", call=call, kind="alarm-video", patience_ms=2000, exchange=1
    ).record("n0.callers", 2000, "sent", call=call, line=1, resent=False)
    for number in range(attempts):
        at_ms = 2001 + 400 * number
        events.record("proxy", at_ms, "set_up", way="out", route="n0.s1", connection=1, call=call, cause=0)
        events.record(
            "proxy", at_ms + 20, "release", way="out", route="n0.s1", connection=1, call=call, cause=16
        )
    return events.record("n0.callers", 3000, "answer", call=call, status=status, line=1, made_by="")


def add_list_change(events: TrialEvents, state: str, at_ms: int) -> TrialEvents:
    return events.record("player", at_ms, "listed", controller="n0", server="s1", state=state, offset=2)


# By case: the rule, and the change of the valid events that violates it.
VIOLATIONS: dict[str, tuple[str, Callable[[TrialEvents], object]]] = {
    "two answers": (
        "answer",
        lambda events: events.record(
            "n0.callers", 1013, "answer", call=CALL_ID, status=503, line=1, made_by=""
        ),
    ),
    "no answer": ("lost", lambda events: events.remove("n0.callers", "answer").remove("n0.callers", "bye")),
    "connection closed before the answer": (
        "lost",
        lambda events: (
            events.remove("n0.callers", "answer")
            .remove("n0.callers", "bye")
            .record("n0.callers", 1012, "lost", line=1, why="closed", calls=[CALL_ID], crossed=[])
        ),
    ),
    "answered too late": (
        "answer",
        lambda events: (
            events.remove("n0.callers", "answer")
            .record("n0.callers", 3600, "answer", call=CALL_ID, status=503, line=1, made_by="")
            .remove("n0.callers", "bye")
        ),
    ),
    "served with the answer of another call": (
        "answer",
        lambda events: events.remove("n0.callers", "answer").record(
            "n0.callers", 1012, "answer", call=CALL_ID, status=200, line=1, made_by="o=s1 00000000000000b2"
        ),
    ),
    "unreadable": (
        "readable",
        lambda events: events.record("n0.callers", 1012, "unreadable", line=1, why="noise"),
    ),
    "answer without a request": (
        "readable",
        lambda events: events.record(
            "n0.callers", 1012, "answer", call="00000000000000ff", status=503, line=1, made_by=""
        ),
    ),
    "two attempts at once": ("attempts", lambda events: add_earlier_attempt(events, 200, 1500)),
    "no release pause": ("pause", lambda events: add_earlier_attempt(events, 200, 800)),
    "five attempts": (
        "attempts",
        lambda events: [
            events.record(
                "proxy", 100 + n, "set_up", way="out", route="n0.s2", connection=2, call=CALL_ID, cause=0
            ).record(
                "proxy", 101 + n, "release", way="in", route="n0.s2", connection=2, call=CALL_ID, cause=34
            )
            for n in range(0, 40, 10)
        ],
    ),
    "set-up after a drain that was received": (
        "drain",
        lambda events: add_list_change(events, "terminating", 100).record(
            "proxy", 110, "discovery_event", route="n0.discovery-a", offset=2
        ),
    ),
    "set-up after the time limit of a drain": (
        "drain",
        lambda events: [
            add_list_change(events, "terminating", 1000),
            events.record(
                "proxy", 8000, "set_up", way="out", route="n0.s1", connection=1, call=CALL_ID, cause=0
            ),
        ],
    ),
    "released late": (
        "release",
        lambda events: events.remove("n0.callers", "bye").record(
            "n0.callers", 6100, "bye", call=CALL_ID, line=1, reason=""
        ),
    ),
    "never released, its server ended": (
        "release",
        lambda events: (
            events.remove("n0.callers", "bye")
            .remove("s1", "over")
            .remove("proxy", "release")
            .record("player", 5000, "server_ended", server="s1", how="vanish")
        ),
    ),
    "established call released": (
        "cut",
        lambda events: (
            events.remove("s1", "over")
            .remove("proxy", "release")
            .record("s1", 5003, "released", call=CALL_ID, stood=True, known=True)
        ),
    ),
    "call still held by the server": (
        "standing",
        lambda events: (
            events.remove("s1", "over")
            .remove("proxy", "release")
            .remove("n0.callers", "bye")
            .record("n0.callers", 5000, "hung_up", call=CALL_ID)
        ),
    ),
    "no answer at a shutdown": (
        "lost",
        lambda events: (
            events.remove("n0.callers", "answer")
            .remove("n0.callers", "bye")
            .record("player", 500, "controller_told_to_end", controller="n0", kill_s=1.0)
            .record("player", 1500, "controller_killed", controller="n0", ended=False)
            .record("n0.callers", 2500, "ready")
        ),
    ),
    "an order that may have run is refused as harmless": ("repeat", lambda events: add_order(events, 503)),
    "an order that may have run is sent again": ("repeat", lambda events: add_order(events, 500, 2)),
    "set-up of a client that has left": (
        "left",
        lambda events: events.record("n0.callers", 2000, "left", calls=["00000000000000f3"]).record(
            "proxy", 2101, "set_up", way="out", route="n0.s1", connection=1, call="00000000000000f3", cause=0
        ),
    ),
    "not ready after a restart": (
        "ready",
        lambda events: events.record("player", 20_000, "controller_killed", controller="n0", ended=False),
    ),
    "crash": (
        "crash",
        lambda events: events.record("player", 900, "controller_crashed", controller="n0", code=-9),
    ),
    "memory": (
        "memory",
        lambda events: events.record("player", 900, "usage", controller="n0", memory_mb=200.0, descriptors=9),
    ),
    "descriptors": (
        "descriptors",
        lambda events: events.record(
            "player", 900, "usage", controller="n0", memory_mb=20.0, descriptors=257
        ),
    ),
    "bad client gets no answer": (
        "rude",
        lambda events: events.record("n0.callers", 4000, "rude", how="half", answered=False),
    ),
    "bad client served": (
        "rude",
        lambda events: events.record("n0.callers", 4000, "rude_served", how="no_class"),
    ),
    "too many set-ups in slow start": (
        "cold",
        lambda events: (
            [events.record("player", 10_000, "server_started", server="s2")]
            + [
                events.record(
                    "proxy",
                    10_100 + n,
                    "set_up",
                    way="out",
                    route="n0.s2",
                    connection=3,
                    call=f"{n:016x}",
                    cause=0,
                )
                for n in range(60)
            ]
        ),
    ),
    "no call served": (
        "share",
        lambda events: [
            events.record(
                "n0.callers",
                20_000 + n,
                "placed",
                call=f"{n:016x}",
                kind="status-report",
                patience_ms=500,
                exchange=2,
            )
            .record("n0.callers", 20_000 + n, "sent", call=f"{n:016x}", line=1, resent=False)
            .record("n0.callers", 20_001 + n, "answer", call=f"{n:016x}", status=503, line=1, made_by="")
            for n in range(30)
        ],
    ),
}


def test_valid_events_violate_no_rule(tmp_path: Path) -> None:
    assert valid_events().violated_rules(tmp_path, faultless_plan()) == []


@pytest.mark.parametrize("name", VIOLATIONS)
def test_checks_report_the_violated_rule_and_no_other(name: str, tmp_path: Path) -> None:
    rule, violate = VIOLATIONS[name]
    events = valid_events()
    violate(events)
    assert events.violated_rules(tmp_path, faultless_plan()) == [rule]


def test_a_plan_depends_only_on_its_seed_and_faults_can_be_excluded() -> None:
    plan = generate_plan(5)
    assert plan == generate_plan(5) and plan != generate_plan(6)
    numbers = {fault.number for fault in plan.faults}
    assert {f.number for f in plan.without({min(numbers)}).faults} == numbers - {min(numbers)}
    assert len({fault.kind for seed in range(200) for fault in generate_plan(seed).faults}) == 28


def test_an_order_that_has_failed_violates_no_rule(tmp_path: Path) -> None:
    assert add_order(valid_events(), 500).violated_rules(tmp_path, faultless_plan()) == []


def test_a_trace_merges_the_logs_of_all_programs(tmp_path: Path) -> None:
    valid_events().violated_rules(tmp_path, faultless_plan())
    (tmp_path / "n0.log").write_text(
        f"1970-01-01 00:00:01.002 | DEBUG    | a:b:1 - call {CALL_ID}: attempt 0 to s1\n"
    )
    lines = trace_call(tmp_path, CALL_ID)
    programs = {line.split()[1] for line in lines}
    assert {"n0.callers", "proxy", "s1", "n0"} <= programs
    assert lines == sorted(lines, key=lambda line: float(line.split()[0]))


def test_fixed_seeds_violate_no_rule() -> None:
    def run_trial(seed: int) -> tuple[int, str]:
        command = [sys.executable, "-m", "arrowrail", "drill", "soak", "--seed", str(seed)]
        result = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False)
        return result.returncode, result.stdout[-3000:] + result.stderr[-1000:]

    with ThreadPoolExecutor(MAX_PARALLEL_TRIALS) as pool:
        for seed, (exit_status, output) in zip(SEEDS, pool.map(run_trial, SEEDS), strict=True):
            assert exit_status == 0, f"seed {seed}:\n{output}"
