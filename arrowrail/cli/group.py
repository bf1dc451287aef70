"""``arrowrail members`` and ``arrowrail duties``: state of an instance, read from its control socket."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

ControlPath = Annotated[Path, typer.Argument(help="the instance's control socket, as configured")]
JsonFlag = Annotated[bool, typer.Option("--json", help="print the report as JSON")]
TIMEOUT_S = 3.0


def fetch_report(path: Path) -> dict[str, Any]:
    """Return the instance's report; print the reason and exit with 1 if there is none."""
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
    """Show the members of the group as known to this instance."""
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
        typer.echo(f"datagrams dropped, {reason}: {count}")


def duties(control: ControlPath, as_json: JsonFlag = False) -> None:
    """Show where each duty is placed, whether this instance holds it, and its latest verdict."""
    import orjson

    report = fetch_report(control)
    if as_json:
        typer.echo(orjson.dumps(report["duties"]).decode())
        return
    for duty in report["duties"]:
        held = f"held under epoch {duty['epoch']}" if duty["epoch"] else "not held here"
        typer.echo(f"{duty['duty']:<30} at {duty['placed_at'] or '-':<20} {held}; {duty['verdict']}")
