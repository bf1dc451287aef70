"""``arrowrail members`` and ``arrowrail duties``: a running instance's state, over its control socket."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

ControlPath = Annotated[Path, typer.Argument(help="the instance's control socket, as its records name it")]
JsonFlag = Annotated[bool, typer.Option("--json", help="for a program to read")]
TIMEOUT_S = 3.0


def fetch_report(path: Path) -> dict[str, Any]:
    """The instance's report; exit 1 with the reason where there is none."""
    import socket

    import orjson

    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(TIMEOUT_S)
            sock.connect(str(path))
            data = b""
            while not data.endswith(b"\n"):
                chunk = sock.recv(65536)
                if not chunk:
                    break
                data += chunk
        report: dict[str, Any] = orjson.loads(data)
    except (OSError, ValueError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(1) from None
    return report


def members(control: ControlPath, as_json: JsonFlag = False) -> None:
    """Who is in the group, as this instance knows it."""
    import orjson

    report = fetch_report(control)
    if as_json:
        typer.echo(orjson.dumps(report).decode())
        return
    typer.echo(f"group {report['group']}, as seen by {report['name']}; health score {report['health']}")
    for member in report["members"]:
        typer.echo(
            f"{member['name']:<20} {member['address']:<22} {member['state']:<8} "
            f"incarnation {member['incarnation']}, for {member['for_ms'] / 1000:.1f} s"
        )
    for reason, count in sorted(report["dropped"].items()):
        typer.echo(f"dropped datagrams, {reason}: {count}")


def duties(control: ControlPath, as_json: JsonFlag = False) -> None:
    """Where each duty belongs, whether this instance holds it, and what the last runs said."""
    import orjson

    report = fetch_report(control)
    if as_json:
        typer.echo(orjson.dumps(report["duties"]).decode())
        return
    for duty in report["duties"]:
        held = f"held under epoch {duty['epoch']}" if duty["epoch"] else "not held here"
        typer.echo(f"{duty['duty']:<30} at {duty['placed_at'] or '-':<20} {held}; {duty['verdict']}")
