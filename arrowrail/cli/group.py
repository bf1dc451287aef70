"""``arrowrail members`` and ``arrowrail duties``: a running instance's state, over its control socket."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any

import typer

Control = Annotated[Path, typer.Argument(help="the instance's control socket, as its records name it")]
Json = Annotated[bool, typer.Option("--json", help="for a program to read")]
WAIT_S = 3.0


def ask(path: Path) -> dict[str, Any]:
    """The instance's report; exit 1 with the reason where there is none."""
    import socket

    import orjson

    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(WAIT_S)
            sock.connect(str(path))
            data = b""
            while not data.endswith(b"\n"):
                part = sock.recv(65536)
                if not part:
                    break
                data += part
        found: dict[str, Any] = orjson.loads(data)
    except (OSError, ValueError) as wrong:
        typer.echo(f"{path}: {wrong}", err=True)
        raise typer.Exit(1) from None
    return found


def members(control: Control, as_json: Json = False) -> None:
    """Who is in the group, as this instance knows it."""
    import orjson

    found = ask(control)
    if as_json:
        typer.echo(orjson.dumps(found).decode())
        return
    typer.echo(f"group {found['group']}, seen by {found['name']}; patience {found['health']}")
    for m in found["members"]:
        typer.echo(f"{m['name']:<20} {m['address']:<22} {m['state']:<8} incarnation {m['incarnation']}, "
                   f"for {m['for_ms'] / 1000:.1f} s")  # fmt: skip
    for reason, count in sorted(found["dropped"].items()):
        typer.echo(f"datagrams not taken, {reason}: {count}")


def duties(control: Control, as_json: Json = False) -> None:
    """Where each duty belongs, whether this instance holds it, and what the last runs said."""
    import orjson

    found = ask(control)
    if as_json:
        typer.echo(orjson.dumps(found["duties"]).decode())
        return
    for d in found["duties"]:
        held = f"held under epoch {d['epoch']}" if d["epoch"] else "not held here"
        typer.echo(f"{d['duty']:<30} at {d['placed_at'] or '-':<20} {held}; {d['verdict']}")
