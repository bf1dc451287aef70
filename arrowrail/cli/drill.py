"""``arrowrail drill``: fault scenarios with real processes on loopback."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer


def drill(
    name: Annotated[str, typer.Argument(help="the drill's name; 'list' prints all")],
    seed: Annotated[int, typer.Option(help="seed of the random times and faults; every seed must pass")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="print the result as one JSON object")] = False,
    instances: Annotated[int, typer.Option(help="instances of the group in the drill 'duties'")] = 5,
    short: Annotated[
        bool, typer.Option("--short", help="run a shorter version of the same scenarios")
    ] = False,
    keep: Annotated[
        Path | None, typer.Option(help="an empty folder to keep the event logs and process logs in")
    ] = None,
    seeds: Annotated[str, typer.Option(help="range of seeds A..B for the drill 'soak', one trial each")] = "",
    seconds: Annotated[
        float, typer.Option(min=8.0, max=120.0, help="duration of the faults in the drill 'soak'")
    ] = 16.0,
    plan: Annotated[bool, typer.Option("--plan", help="print the plan of a soak without running it")] = False,
    without: Annotated[
        str, typer.Option(help="numbers of the faults of a soak to leave out, for example 3,5")
    ] = "",
    trace: Annotated[str, typer.Option(help="id of a call whose events are printed")] = "",
) -> None:
    """Run a drill.  Exit code 0: no rule was violated, 1: some were."""
    import orjson

    from arrowrail.lab.drills import DRILLS, load_drill

    if name == "soak":
        from arrowrail.cli.soak import SoakRequest, parse_fault_numbers, parse_seeds, run_soak

        request = SoakRequest(
            parse_seeds(seeds or str(seed)), seconds, parse_fault_numbers(without), plan, as_json, trace, keep
        )
        raise typer.Exit(0 if run_soak(request) else 1)
    if name == "list":
        for drill_name, description in DRILLS.items():
            typer.echo(f"{drill_name}: {description}")
        return
    try:
        run_drill = load_drill(name)
    except KeyError:
        raise typer.BadParameter(f"unknown drill {name!r}; known drills: {', '.join(DRILLS)}") from None
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep if keep is not None else Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        options = {"instances": instances} if name == "duties" else {}
        result = run_drill(seed, folder.resolve(), short, **options)
    if as_json:
        typer.echo(orjson.dumps(result.as_json()).decode())
    else:
        for key, value in result.metrics.items():
            typer.echo(f"{key}: {value}")
        for violation in result.violations[:50]:
            typer.echo(f"violation: {violation}")
        typer.echo(f"{name}, seed {seed}: {'passed' if result.passed else 'FAILED'}")
    raise typer.Exit(0 if result.passed else 1)
