"""``arrowrail sidecar``: the controller beside one application."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def sidecar(
    application: Annotated[str, typer.Argument(help="the application's name in the records")],
    config: Annotated[Path, typer.Option(help="the folder of records")] = Path("deploy/sidecar"),
    log_form: Annotated[str | None, typer.Option(help="text or json; absent: as the records say")] = None,
) -> None:
    """Serve one application from the operator's records until SIGTERM; SIGHUP reads them again."""
    import os
    import sys

    if log_form not in (None, "text", "json"):
        raise typer.BadParameter("text or json", param_hint="--log-form")
    # The same process goes on without what this command line has loaded: a third less memory to serve from.
    form = ["--log-form", log_form] if log_form else []
    command = [sys.executable, "-m", "arrowrail.sidecar", "--config", str(config), *form, "--", application]
    os.execv(sys.executable, command)
