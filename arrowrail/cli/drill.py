"""``arrowrail drill``: hard cases played with real processes on loopback."""

from __future__ import annotations

import tempfile
from pathlib import Path
from typing import Annotated

import typer


def drill(
    name: Annotated[str, typer.Argument(help="sidecar; 'list' names all")],
    seed: Annotated[int, typer.Option(help="draws the times and faults; any must pass")] = 1,
    as_json: Annotated[bool, typer.Option("--json", help="the result as one JSON object")] = False,
    instances: Annotated[int, typer.Option(help="of the group, in the drill duties")] = 5,
    short: Annotated[bool, typer.Option("--short", help="a shorter play of the same cases")] = False,
    keep: Annotated[Path | None, typer.Option(help="an empty folder that keeps ledgers and logs")] = None,
    seeds: Annotated[str, typer.Option(help="of the drill soak: A..B, one trial each")] = "",
    seconds: Annotated[float, typer.Option(min=8.0, max=120.0, help="of faults, in the drill soak")] = 16.0,
    plan: Annotated[bool, typer.Option("--plan", help="print the plan of a soak, and play nothing")] = False,
    without: Annotated[str, typer.Option(help="faults of a soak to leave out, as 3,5")] = "",
    trace: Annotated[str, typer.Option(help="the id of a call whose whole life is printed")] = "",
) -> None:
    """Play a drill; exit 0 where no rule was broken, 1 where one was."""
    import orjson

    from arrowrail.lab.drills import DRILLS, load_drill

    if name == "soak":
        from arrowrail.cli.soak import SoakRequest, faults_of, seeds_of, soak

        asked = SoakRequest(
            seeds_of(seeds or str(seed)), seconds, faults_of(without), plan, as_json, trace, keep
        )
        raise typer.Exit(0 if soak(asked) else 1)
    if name == "list":
        for known, what in DRILLS.items():
            typer.echo(f"{known}: {what}")
        return
    try:
        run_drill = load_drill(name)
    except KeyError:
        raise typer.BadParameter(f"no drill {name!r}; there are: {', '.join(DRILLS)}") from None
    with tempfile.TemporaryDirectory() as temporary:
        folder = keep if keep is not None else Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        more = {"instances": instances} if name == "duties" else {}
        outcome = run_drill(seed, folder.resolve(), short, **more)
    if as_json:
        typer.echo(orjson.dumps(outcome.as_json()).decode())
    else:
        for key, value in outcome.metrics.items():
            typer.echo(f"{key}: {value}")
        for broken in outcome.violations[:50]:
            typer.echo(f"BROKEN: {broken}")
        typer.echo(f"{name}, seed {seed}: {'passed' if outcome.passed else 'FAILED'}")
    raise typer.Exit(0 if outcome.passed else 1)
