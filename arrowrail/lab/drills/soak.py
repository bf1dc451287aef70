"""The soak drill: one trial a seed, played with real processes and judged by every rule of the pages."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

from arrowrail.lab.drills import DrillResult
from arrowrail.lab.soak.checks import Breach, judge, undisturbed
from arrowrail.lab.soak.history import MS, History, load
from arrowrail.lab.soak.plan import SECONDS, Plan, draw
from arrowrail.lab.soak.player import PROGRAM, Player

SHORT_SECONDS = 10.0
LATE_MS = 250  # a stand-in that was late for longer makes limits of time unsafe to judge


def run_drill(seed: int, folder: Path, short: bool) -> DrillResult:
    """One trial as the command line of all drills asks for it."""
    return run_plan(draw(seed, SHORT_SECONDS if short else SECONDS), folder)


def run_plan(plan: Plan, folder: Path, program: tuple[str, ...] = PROGRAM) -> DrillResult:
    """Play a plan and judge it; ``program`` is the module that is started as the controller."""
    Player(plan, folder, program).play()
    history = load(plan, folder)
    breaches = judge(history)
    broken = [_line(history, breach) for breach in breaches]
    return DrillResult("soak", plan.seed, broken, _figures(history, breaches))


def _line(history: History, breach: Breach) -> str:
    at = (breach.at - history.began) / 1e9
    call = f" call {breach.call}" if breach.call else ""
    return f"{breach.rule}: {at:.3f} s{call}: {breach.what}"


def _figures(history: History, breaches: list[Breach]) -> dict[str, Any]:
    calls = [call for call in history.calls.values() if call.sent]
    clear = undisturbed(history)
    return {
        "calls": len(calls),
        "served": sum(1 for call in calls if call.served),
        "undisturbed": len(clear),
        "undisturbed_served": sum(1 for call in clear if call.served),
        "over_and_told": sum(1 for call in calls if call.byes),
        "faults": [f"{f.number} {f.kind} {f.target}" for f in history.plan.faults],
        "breaches_by_rule": dict(Counter(breach.rule for breach in breaches)),
        "most_memory_mb": round(max((line["memory_mb"] for line in history.usage), default=0.0), 1),
        "most_descriptors": max((line["descriptors"] for line in history.usage), default=0),
        "stand_ins_late_ms": history.late_ms,
        "machine_late": history.late_ms > LATE_MS,
        "seconds": (history.ended - history.began) // MS / 1000,
    }
