"""The soak drill: one trial a seed, played with real processes and judged by every rule of the pages."""

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
LATE_MS = 250  # a stand-in that was late for longer makes limits of time unsafe to judge


def run_drill(seed: int, folder: Path, short: bool) -> DrillResult:
    """One trial as the command line of all drills asks for it."""
    return run_plan(generate_plan(seed, SHORT_SECONDS if short else DEFAULT_DURATION_S), folder)


def run_plan(plan: Plan, folder: Path, program: tuple[str, ...] = CONTROLLER_MODULE) -> DrillResult:
    """Play a plan and judge it; ``program`` is the module that is started as the controller."""
    TrialRunner(plan, folder, program).run()
    history = load_history(plan, folder)
    breaches = check_history(history)
    broken = [_line(history, breach) for breach in breaches]
    return DrillResult("soak", plan.seed, broken, _figures(history, breaches))


def _line(history: History, breach: Violation) -> str:
    at = (breach.at_ns - history.started_ns) / 1e9
    call = f" call {breach.call_id}" if breach.call_id else ""
    return f"{breach.rule}: {at:.3f} s{call}: {breach.message}"


def _figures(history: History, breaches: list[Violation]) -> dict[str, Any]:
    calls = [call for call in history.calls.values() if call.sent_ns]
    clear = undisturbed_calls(history)
    return {
        "calls": len(calls),
        "served": sum(1 for call in calls if call.served_ns),
        "undisturbed": len(clear),
        "undisturbed_served": sum(1 for call in clear if call.served_ns),
        "over_and_told": sum(1 for call in calls if call.bye_times),
        "faults": [f"{f.number} {f.kind} {f.target}" for f in history.plan.faults],
        "breaches_by_rule": dict(Counter(breach.rule for breach in breaches)),
        "most_memory_mb": round(max((line["memory_mb"] for line in history.usage), default=0.0), 1),
        "most_descriptors": max((line["descriptors"] for line in history.usage), default=0),
        "stand_ins_late_ms": history.max_stand_in_delay_ms,
        "machine_late": history.max_stand_in_delay_ms > LATE_MS,
        "seconds": (history.ended_ns - history.started_ns) // MS / 1000,
    }
