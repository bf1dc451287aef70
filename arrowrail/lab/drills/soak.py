"""The soak drill: one fault trial per seed with real processes, checked against all documented rules."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

from arrowrail.lab.drills import DrillResult
from arrowrail.lab.soak.checks import Violation, check_history, undisturbed_calls
from arrowrail.lab.soak.history import MS, History, load_history
from arrowrail.lab.soak.plan import DEFAULT_DURATION_S, Plan, generate_plan
from arrowrail.lab.soak.runner import CONTROLLER_MODULE, TrialRunner

SHORT_SECONDS = 10.0
LATE_MS = 250  # if a stand-in was delayed for longer, time limits cannot be checked reliably


def run_drill(seed: int, folder: Path, short: bool) -> DrillResult:
    """Run one fault trial, with the parameters that all drills have."""
    return run_plan(generate_plan(seed, SHORT_SECONDS if short else DEFAULT_DURATION_S), folder)


def run_plan(plan: Plan, folder: Path, program: tuple[str, ...] = CONTROLLER_MODULE) -> DrillResult:
    """Run a plan and check it; ``program`` is the module that is started as the controller."""
    TrialRunner(plan, folder, program).run()
    history = load_history(plan, folder)
    violations = check_history(history)
    descriptions = [_describe(history, violation) for violation in violations]
    return DrillResult("soak", plan.seed, descriptions, _metrics(history, violations))


def _describe(history: History, violation: Violation) -> str:
    at_s = (violation.at_ns - history.started_ns) / 1e9
    call = f" call {violation.call_id}" if violation.call_id else ""
    return f"{violation.rule}: {at_s:.3f} s{call}: {violation.message}"


def _metrics(history: History, violations: list[Violation]) -> dict[str, Any]:
    calls = [call for call in history.calls.values() if call.sent_ns]
    undisturbed = undisturbed_calls(history)
    return {
        "calls": len(calls),
        "served": sum(1 for call in calls if call.served_ns),
        "undisturbed": len(undisturbed),
        "undisturbed_served": sum(1 for call in undisturbed if call.served_ns),
        "over_and_told": sum(1 for call in calls if call.bye_times),
        "faults": [f"{f.number} {f.kind} {f.target}" for f in history.plan.faults],
        "breaches_by_rule": dict(Counter(violation.rule for violation in violations)),
        "most_memory_mb": round(max((event["memory_mb"] for event in history.usage), default=0.0), 1),
        "most_descriptors": max((event["descriptors"] for event in history.usage), default=0),
        "stand_ins_late_ms": history.max_stand_in_delay_ms,
        "machine_late": history.max_stand_in_delay_ms > LATE_MS,
        "seconds": (history.ended_ns - history.started_ns) // MS / 1000,
    }
