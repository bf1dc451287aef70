"""``arrowrail bench``: the benchmarks, as text or JSON."""

from __future__ import annotations

from typing import Annotated

import typer


def bench(
    before: Annotated[
        str,
        typer.Option(help="compare the memory use of a controller without records with that at this commit"),
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
) -> None:
    """Measure the checker, the limits and memory use; takes some minutes on an otherwise idle machine."""
    import orjson

    from arrowrail.lab.bench import run

    results = {}
    for name, measurements in run(before):
        results[name] = measurements
        if not as_json:
            typer.echo(f"{name}:")
            for row in measurements if isinstance(measurements, list) else [measurements]:
                typer.echo("  " + "; ".join(f"{k}: {v}" for k, v in row.items()))
    if as_json:
        typer.echo(orjson.dumps(results).decode())
