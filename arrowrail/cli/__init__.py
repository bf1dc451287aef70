"""The command line for operators, with one module per group of sub-commands.

Exit codes of all commands: 0 success; 1 faults in the input, or a drill that failed; 2 incorrect usage of the
command line; 3 a listener address that can't be bound.
"""

from __future__ import annotations

import typer

app = typer.Typer(
    name="arrowrail", help="The call controller: sidecars, their configuration, and drills.",
    no_args_is_help=True, pretty_exceptions_enable=False, rich_markup_mode=None,
)  # fmt: skip


def main() -> int:
    from arrowrail.cli import bench, config, drill, group, sidecar

    app.add_typer(config.app, name="config")
    app.command("sidecar")(sidecar.sidecar)
    app.command("drill")(drill.drill)
    app.command("bench")(bench.bench)
    app.command("members")(group.members)
    app.command("duties")(group.duties)
    app(prog_name="python -m arrowrail")
    return 0
