"""What ``arrowrail drill soak`` does: plan, play and judge one trial a seed."""

from __future__ import annotations

import tempfile
from dataclasses import dataclass
from pathlib import Path

import typer

MOST_SHOWN = 50  # breaches of one trial


@dataclass(frozen=True, slots=True)
class SoakRequest:
    """What the command line asks for."""

    seeds: tuple[int, ...]
    seconds: float
    without: frozenset[int]
    plan_only: bool
    as_json: bool
    call: str  # whose trace is wanted; empty: nobody's
    keep: Path | None


def seeds_of(text: str) -> tuple[int, ...]:
    """``7`` or ``A..B``, both included; ``typer.BadParameter`` for anything else."""
    first, dots, last = text.partition("..")
    try:
        low, high = int(first), int(last) if dots else int(first)
    except ValueError:
        raise typer.BadParameter(f"{text!r} is neither a seed nor a range A..B") from None
    if high < low:
        raise typer.BadParameter(f"{text!r} ends before it begins")
    return tuple(range(low, high + 1))


def faults_of(text: str) -> frozenset[int]:
    """``3,5``: the numbers of faults to leave out."""
    try:
        return frozenset(int(part) for part in text.split(",") if part)
    except ValueError:
        raise typer.BadParameter(f"{text!r} is no list of fault numbers") from None


def soak(request: SoakRequest) -> bool:
    """Play all seeds that were asked for; whether all passed."""
    passed = True
    for seed in request.seeds:
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary) if request.keep is None else request.keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            passed = _trial(request, seed, folder.resolve()) and passed
    return passed


def _trial(request: SoakRequest, seed: int, folder: Path) -> bool:
    import orjson

    from arrowrail.lab.drills.soak import run_plan
    from arrowrail.lab.soak.plan import draw
    from arrowrail.lab.soak.trace import trace

    plan = draw(seed, request.seconds).without(set(request.without))
    if request.plan_only:
        typer.echo(orjson.dumps(plan.as_json()).decode() if request.as_json else "\n".join(plan.lines()))
        return True
    outcome = run_plan(plan, folder)
    if request.as_json:
        typer.echo(orjson.dumps(outcome.as_json()).decode())
    else:
        for broken in outcome.violations[:MOST_SHOWN]:
            typer.echo(f"BROKEN: {broken}")
        for key, value in outcome.metrics.items():
            typer.echo(f"  {key}: {value}")
        typer.echo(f"soak, seed {seed}: {'passed' if outcome.passed else 'FAILED'}")
    if request.call:
        typer.echo("\n".join(trace(folder, request.call)))
    return outcome.passed
