"""``arrowrail bench``: the benchmarks, as text or JSON."""

from __future__ import annotations

from typing import Annotated

import typer


def bench(
    before: Annotated[str, typer.Option(help="a commit to compare plain run's memory with")] = "",
    as_json: Annotated[bool, typer.Option("--json", help="for a program to read")] = False,
) -> None:
    """Measure the checker, the limits and memory; some minutes, alone on the machine."""
    import orjson

    from arrowrail.lab.bench import run

    found = {}
    for name, figures in run(before):
        found[name] = figures
        if not as_json:
            typer.echo(f"{name}:")
            for row in figures if isinstance(figures, list) else [figures]:
                typer.echo("  " + "; ".join(f"{k}: {v}" for k, v in row.items()))
    if as_json:
        typer.echo(orjson.dumps(found).decode())
