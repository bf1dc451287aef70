"""``arrowrail config``: writes, checks, shows, explains and converts the operator's records."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer

if TYPE_CHECKING:
    from arrowrail.config.writer import Answers

app = typer.Typer(help="The operator's records.", no_args_is_help=True, pretty_exceptions_enable=False)
JsonFlag = Annotated[bool, typer.Option("--json", help="print JSON")]


@app.command()
def check(
    folder: Annotated[Path, typer.Argument(help="the folder of records")],
    as_json: JsonFlag = False,
    warnings: Annotated[bool, typer.Option(help="list warnings too")] = True,
) -> None:
    """Check all applications together and list every fault.  Exit code 0: no fault, 1: faults."""
    import orjson

    from arrowrail.config.checker import check_folder
    from arrowrail.config.diagnostics import FAULT

    checked = check_folder(folder)
    diagnostics = [d for d in checked.diagnostics if warnings or d.severity == FAULT]
    if as_json:
        typer.echo(
            orjson.dumps(
                {
                    "good": checked.valid, "applications": sorted(checked.applications),
                    "faults": [d.as_json() for d in diagnostics if d.severity == FAULT],
                    "warnings": [d.as_json() for d in diagnostics if d.severity != FAULT],
                }
            ).decode()
        )  # fmt: skip
    else:
        for diagnostic in diagnostics:
            typer.echo(
                f"{diagnostic}" if diagnostic.severity == FAULT else f"warning: {diagnostic}", err=True
            )
        names = ", ".join(sorted(checked.applications)) or "no application"
        typer.echo(f"{folder}: {'good' if checked.valid else 'faults'}: {names}")
    raise typer.Exit(0 if checked.valid else 1)


@app.command()
def write(
    application: Annotated[str, typer.Argument(help="the new application's name")],
    folder: Annotated[Path, typer.Option(help="the folder of records")] = Path("deploy/sidecar"),
    inventory: Annotated[str, typer.Option(help="the inventory file in that folder")] = "inventory.rail",
    sip: Annotated[str | None, typer.Option(help='"address:port" for SIP; default: a free port')] = None,
    m3ua: Annotated[str | None, typer.Option(help='"address:port" for M3UA-style signalling')] = None,
    district: Annotated[list[str] | None, typer.Option(help="a district to serve; may be repeated")] = None,
    class_names: Annotated[
        list[str] | None, typer.Option("--class", help="a call class; may be repeated")
    ] = None,
    max_open: Annotated[int | None, typer.Option("--open", help="maximum number of open set-ups")] = None,
    rate: Annotated[str | None, typer.Option(help="set-ups per second, for example 50/s")] = None,
    give_up: Annotated[
        str | None, typer.Option(help="how long callers wait for an answer, for example 3s")
    ] = None,
    force: Annotated[
        bool, typer.Option("--force", help="overwrite edits and list what is discarded")
    ] = False,
    ask: Annotated[bool, typer.Option("--ask", help="ask for what the options do not specify")] = False,
) -> None:
    """Write an application's file from the inventory; the result always passes the check."""
    from arrowrail.config.writer import Answers, WriteError, write_application

    answers = Answers(
        application,
        inventory,
        sip,
        m3ua,
        tuple(district or ()),
        tuple(class_names or ()),
        max_open,
        rate,
        give_up,
    )
    if ask and sys.stdin.isatty():
        answers = _ask(answers)
    try:
        written = write_application(folder, answers, force)
    except WriteError as error:
        for line in error.lines:
            typer.echo(line, err=True)
        raise typer.Exit(1) from None
    for line in written.discarded:
        typer.echo(f"discarded: {line}", err=True)
    typer.echo(f"{written.path}: {'written' if written.changed else 'unchanged'}")


def _ask(answers: Answers) -> Answers:
    from dataclasses import replace

    sip = typer.prompt("SIP listener (address:port, empty: a free port)", default="", show_default=False)
    districts = typer.prompt("Districts served (empty: all)", default="", show_default=False)
    rate = typer.prompt("Set-ups per second", default=answers.rate or "50/s")
    return replace(
        answers, sip=sip or answers.sip, rate=rate,
        districts=tuple(districts.replace(",", " ").split()) or answers.districts,
    )  # fmt: skip


@app.command()
def show(
    application: Annotated[str, typer.Argument(help="the application")],
    folder: Annotated[Path, typer.Option(help="the folder of records")] = Path("deploy/sidecar"),
    as_json: JsonFlag = False,
) -> None:
    """Print the effective values after defaults and unification, each with its source."""
    import orjson

    from arrowrail.config.checker import check_folder
    from arrowrail.config.show import effective_values

    checked = check_folder(folder)
    if application not in checked.applications:
        for diagnostic in checked.diagnostics:
            typer.echo(str(diagnostic), err=True)
        typer.echo(f"no application {application!r} in {folder}", err=True)
        raise typer.Exit(1)
    values = effective_values(checked, application)
    if as_json:
        typer.echo(orjson.dumps([v.as_json() for v in values]).decode())
        return
    width = max(len(v.key_path) for v in values)
    for value in values:
        typer.echo(f"{value.key_path:<{width}}  {value.value}  // {value.source}")


@app.command()
def explain(
    key_or_code: Annotated[
        str, typer.Argument(help="a key like application.*.limits.open, or a code like AR302")
    ],
) -> None:
    """Explain a setting key or a diagnostic code."""
    from arrowrail.config.explain import explain as explain_key_or_code

    explanation = explain_key_or_code(key_or_code)
    typer.echo("\n".join(explanation.lines), err=not explanation.known)
    raise typer.Exit(0 if explanation.known else 1)


@app.command()
def reference() -> None:
    """Print the reference of all keys and codes, generated from the schema."""
    from arrowrail.config.explain import reference as reference_page

    typer.echo(reference_page())


@app.command()
def convert(
    file: Annotated[Path, typer.Argument(help="the TOML file of an earlier version")],
    folder: Annotated[Path, typer.Option(help="the folder to write the records to")] = Path("deploy/sidecar"),
    force: Annotated[bool, typer.Option("--force", help="overwrite existing records")] = False,
) -> None:
    """Convert the TOML file of an earlier version to records."""
    from arrowrail.config.convert import ConvertError
    from arrowrail.config.convert import convert as convert_file

    try:
        written, notes = convert_file(file, folder, force)
    except ConvertError as error:
        for line in error.lines:
            typer.echo(line, err=True)
        raise typer.Exit(1) from None
    for note in notes:
        typer.echo(f"note: {note}", err=True)
    for path in written:
        typer.echo(f"{path}: written")
