"""``arrowrail config``: write, check, show, explain and convert the operator's records."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from arrowrail.config.writer import Answers

app = typer.Typer(help="The operator's records.", no_args_is_help=True, pretty_exceptions_enable=False)
Json = Annotated[bool, typer.Option("--json", help="for a program to read")]


@app.command()
def check(
    folder: Annotated[Path, typer.Argument(help="the folder of records")],
    as_json: Json = False,
    warnings: Annotated[bool, typer.Option(help="list warnings too")] = True,
) -> None:
    """Read all applications together and list every fault.  Exit 0: none, 1: some."""
    import orjson

    from arrowrail.config.checker import check_folder
    from arrowrail.config.diagnostics import FAULT

    checked = check_folder(folder)
    found = [f for f in checked.diagnostics if warnings or f.severity == FAULT]
    if as_json:
        typer.echo(
            orjson.dumps(
                {
                    "good": checked.valid, "applications": sorted(checked.applications),
                    "faults": [f.as_json() for f in found if f.severity == FAULT],
                    "warnings": [f.as_json() for f in found if f.severity != FAULT],
                }
            ).decode()
        )  # fmt: skip
    else:
        for fault in found:
            typer.echo(f"{fault}" if fault.severity == FAULT else f"warning: {fault}", err=True)
        names = ", ".join(sorted(checked.applications)) or "no application"
        typer.echo(f"{folder}: {'good' if checked.valid else 'faults'}: {names}")
    raise typer.Exit(0 if checked.valid else 1)


@app.command()
def write(
    application: Annotated[str, typer.Argument(help="the new application's name")],
    folder: Annotated[Path, typer.Option(help="the folder of records")] = Path("deploy/sidecar"),
    inventory: Annotated[str, typer.Option(help="the inventory's file in it")] = "inventory.rail",
    sip: Annotated[str | None, typer.Option(help='"address:port" for SIP; absent: a free port')] = None,
    m3ua: Annotated[str | None, typer.Option(help='"address:port" for M3UA-style signalling')] = None,
    district: Annotated[list[str] | None, typer.Option(help="a district served; repeat it")] = None,
    klass: Annotated[list[str] | None, typer.Option("--class", help="a class; repeat it")] = None,
    open_: Annotated[int | None, typer.Option("--open", help="open set-ups at a time")] = None,
    rate: Annotated[str | None, typer.Option(help="set-ups a second, as 50/s")] = None,
    give_up: Annotated[str | None, typer.Option(help="when callers give a try up, as 3s")] = None,
    force: Annotated[bool, typer.Option("--force", help="write over edits and say what is lost")] = False,
    ask: Annotated[bool, typer.Option("--ask", help="ask for what no option gives")] = False,
) -> None:
    """Make an application's file from the inventory; the result always passes the check."""
    from arrowrail.config.writer import Answers, WriteError, write_application

    answers = Answers(
        application, inventory, sip, m3ua, tuple(district or ()), tuple(klass or ()), open_, rate, give_up
    )
    if ask and sys.stdin.isatty():
        answers = _asked(answers)
    try:
        written = write_application(folder, answers, force)
    except WriteError as wrong:
        for line in wrong.lines:
            typer.echo(line, err=True)
        raise typer.Exit(1) from None
    for line in written.discarded:
        typer.echo(f"lost: {line}", err=True)
    typer.echo(f"{written.path}: {'written' if written.changed else 'as it was'}")


def _asked(answers: Answers) -> Answers:
    from dataclasses import replace

    sip = typer.prompt("SIP listener (address:port, empty: a free port)", default="", show_default=False)
    districts = typer.prompt("Districts served (empty: all)", default="", show_default=False)
    rate = typer.prompt("Set-ups a second", default=answers.rate or "50/s")
    return replace(
        answers, sip=sip or answers.sip, rate=rate,
        districts=tuple(districts.replace(",", " ").split()) or answers.districts,
    )  # fmt: skip


@app.command()
def show(
    application: Annotated[str, typer.Argument(help="the application")],
    folder: Annotated[Path, typer.Option(help="the folder of records")] = Path("deploy/sidecar"),
    as_json: Json = False,
) -> None:
    """Print what is in force after defaults and unification, each value with the place it comes from."""
    import orjson

    from arrowrail.config.checker import check_folder
    from arrowrail.config.show import effective_values

    checked = check_folder(folder)
    if application not in checked.applications:
        for fault in checked.diagnostics:
            typer.echo(str(fault), err=True)
        typer.echo(f"no application {application!r} in {folder}", err=True)
        raise typer.Exit(1)
    values = effective_values(checked, application)
    if as_json:
        typer.echo(orjson.dumps([v.as_json() for v in values]).decode())
        return
    width = max(len(v.key_path) for v in values)
    for v in values:
        typer.echo(f"{v.key_path:<{width}}  {v.value}  // {v.source}")


@app.command()
def explain(
    what: Annotated[str, typer.Argument(help="a key like application.*.limits.open, or a code like AR302")],
) -> None:
    """Say what a key or a fault's code is."""
    from arrowrail.config.explain import explain as explain_it

    found = explain_it(what)
    typer.echo("\n".join(found.lines), err=not found.known)
    raise typer.Exit(0 if found.known else 1)


@app.command()
def reference() -> None:
    """Print the reference page of all keys and codes, made from the schema."""
    from arrowrail.config.explain import reference as page

    typer.echo(page())


@app.command()
def convert(
    file: Annotated[Path, typer.Argument(help="a TOML file of before")],
    folder: Annotated[Path, typer.Option(help="where the records go")] = Path("deploy/sidecar"),
    force: Annotated[bool, typer.Option("--force", help="write over records that are there")] = False,
) -> None:
    """Turn an operator's TOML file of before into records."""
    from arrowrail.config.convert import ConvertError
    from arrowrail.config.convert import convert as convert_it

    try:
        written, notes = convert_it(file, folder, force)
    except ConvertError as wrong:
        for line in wrong.lines:
            typer.echo(line, err=True)
        raise typer.Exit(1) from None
    for note in notes:
        typer.echo(f"note: {note}", err=True)
    for path in written:
        typer.echo(f"{path}: written")
