"""``arrowrail drill soak``: plans, runs and checks one trial per seed."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path

import typer

MAX_VIOLATIONS_SHOWN = 50  # per trial


@dataclass(frozen=True, slots=True)
class SoakRequest:
    """The options of the command line."""

    seeds: tuple[int, ...]
    seconds: float
    excluded_faults: frozenset[int]  # numbers of the faults to leave out
    plan_only: bool
    as_json: bool
    traced_call: str  # id of the call whose events are printed; empty: none
    kept_folder: Path | None  # for event logs and process logs; None: a temporary folder


def parse_seeds(text: str) -> tuple[int, ...]:
    """Parse ``7`` or ``A..B``, both ends included; raise ``typer.BadParameter`` for anything else."""
    first, separator, last = text.partition("..")
    try:
        low, high = int(first), int(last) if separator else int(first)
    except ValueError:
        raise typer.BadParameter(f"{text!r} is neither a seed nor a range A..B") from None
    if high < low:
        raise typer.BadParameter(f"the range {text!r} ends before it begins")
    return tuple(range(low, high + 1))


def parse_fault_numbers(text: str) -> frozenset[int]:
    """Parse a list of fault numbers, such as ``3,5``; raise ``typer.BadParameter`` if it is invalid."""
    try:
        return frozenset(int(part) for part in text.split(",") if part)
    except ValueError:
        raise typer.BadParameter(f"{text!r} is not a list of fault numbers") from None


def run_soak(request: SoakRequest) -> bool:
    """Run a trial for each seed; return whether all passed."""
    passed = True
    for seed in request.seeds:
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary) if request.kept_folder is None else request.kept_folder / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            passed = _run_trial(request, seed, folder.resolve()) and passed
    return passed


def _run_trial(request: SoakRequest, seed: int, folder: Path) -> bool:
    import orjson

    from arrowrail.lab.drills.soak import run_plan
    from arrowrail.lab.soak.plan import generate_plan
    from arrowrail.lab.soak.trace import trace_call

    plan = generate_plan(seed, request.seconds).without(set(request.excluded_faults))
    if request.plan_only:
        typer.echo(
            orjson.dumps(plan.as_json()).decode() if request.as_json else "\n".join(plan.summary_lines())
        )
        return True
    result = run_plan(plan, folder)
    if request.as_json:
        typer.echo(orjson.dumps(result.as_json()).decode())
    else:
        for violation in result.violations[:MAX_VIOLATIONS_SHOWN]:
            typer.echo(f"violation: {violation}")
        for key, value in result.metrics.items():
            typer.echo(f"  {key}: {value}")
        typer.echo(f"soak, seed {seed}: {'passed' if result.passed else 'FAILED'}")
    if request.traced_call:
        typer.echo("\n".join(trace_call(folder, request.traced_call)))
    return result.passed
