"""``python -m arrowrail.config write|check``: the operator's files.  Exit 0: good, 1: faults, 2: usage."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from arrowrail.config.model import Fault, read
from arrowrail.config.template import render


def write(application: str, folder: Path, force: bool) -> list[Fault]:
    path = folder / f"{application}.toml"
    try:
        # "x" leaves a file alone that is there, also one made a moment ago
        with path.open("w" if force else "x", encoding="utf-8") as file:
            file.write(render(application))
    except FileExistsError:
        return [Fault(str(path), "-", "is there already", "a new name, or --force to overwrite")]
    except OSError as wrong:
        return [Fault(str(path), "-", f"can't be written ({wrong.strerror})", "a writable folder")]
    print(f"{path}: written")
    return []


def check(files: list[Path]) -> list[Fault]:
    faults = []
    for file in files:
        found = read(file)[1]
        faults += found
        if not found:
            print(f"{file}: good")
    return faults


def _application(text: str) -> str:
    if not text or len(text) > 64 or not all(c.isalnum() or c in "-_" for c in text):
        raise argparse.ArgumentTypeError("1 to 64 letters, digits, '-' or '_'")
    return text


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m arrowrail.config", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    writer = commands.add_parser("write", help="write an application's file with commented defaults")
    writer.add_argument("application", type=_application)
    writer.add_argument("--folder", type=Path, default=Path("deploy"))
    writer.add_argument("--force", action="store_true", help="overwrite a file that is there")
    checker = commands.add_parser("check", help="list every fault of the files")
    checker.add_argument("files", type=Path, nargs="+")
    given = parser.parse_args(arguments)
    if given.command == "write":
        faults = write(given.application, given.folder, given.force)
    else:
        faults = check(given.files)
    for fault in faults:
        print(fault, file=sys.stderr)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
