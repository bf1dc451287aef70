"""``arrowrail sidecar``: runs the sidecar of one application."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def sidecar(
    application: Annotated[str, typer.Argument(help="the application's name in the records")],
    config: Annotated[Path, typer.Option(help="the folder of records")] = Path("deploy/sidecar"),
    log_form: Annotated[str | None, typer.Option(help="text or json; default: as in the records")] = None,
) -> None:
    """Run the sidecar of one application until SIGTERM; SIGHUP reloads the records."""
    import os
    import sys

    if log_form not in (None, "text", "json"):
        raise typer.BadParameter("must be text or json", param_hint="--log-form")
    # Replace this process, so that the modules of the command line do not stay loaded: the sidecar then needs
    # a third less memory.
    format_option = ["--log-form", log_form] if log_form else []
    command = [
        sys.executable,
        "-m",
        "arrowrail.sidecar",
        "--config",
        str(config),
        *format_option,
        "--",
        application,
    ]
    os.execv(sys.executable, command)
