"""Reads and checks the operator's records in a process of its own, and hands over what they mean.

The grammar, the schema and the rules stay out of the serving process: its memory stays that of a plain
controller, and a check of a large inventory takes none of its turns.  Started by ``reading.py`` only; the
result goes to standard output as a pickle, read back by nobody but the process that asked.
"""

from __future__ import annotations

import os
import pickle
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from arrowrail.run.read_result import ReadResult

SETTLED_S = 0.15  # a file changed more lately may still be in the making
LONGEST_WAIT_S = 3.0  # for a folder that does not come to rest
MOST_LINES = 40  # faults that are handed over


def signature(path: Path) -> tuple[tuple[str, int, int, int], ...]:
    """What tells whether any record file below changed: names, times, sizes and inodes."""
    found = []
    for base, folders, files in os.walk(path if path.is_dir() else path.parent):
        folders[:] = [f for f in folders if not f.startswith(".")]
        for name in files:
            if name.endswith(".rail"):
                full = os.path.join(base, name)
                try:
                    s = os.stat(full)
                except OSError:
                    continue
                found.append((full, s.st_mtime_ns, s.st_size, s.st_ino))
    return tuple(sorted(found))


def read_when_stable(path: Path, check: Callable[[], ReadResult]) -> ReadResult:
    """Check once the files have come to rest: one half written is not taken for a whole one."""
    end = time.monotonic() + LONGEST_WAIT_S
    while True:
        before = signature(path)
        youngest = max((at for _, at, _, _ in before), default=0)
        age = (time.time_ns() - youngest) / 1e9
        if 0 <= age < SETTLED_S and time.monotonic() < end:
            time.sleep(max(0.01, SETTLED_S - age))
            continue
        result = check()
        if signature(path) == before or time.monotonic() >= end:
            return result


def _faulty(faults: list[Any]) -> ReadResult:
    most = faults[:MOST_LINES]
    return ReadResult(None, tuple(str(f) for f in most), tuple(f.code for f in most))


def read_sidecar(folder: Path, name: str, numbers: dict[str, int]) -> ReadResult:
    from arrowrail.config.checker import check_application, faults_of_application
    from arrowrail.config.diagnostics import Diagnostic, Location, quote, suggestion
    from arrowrail.sidecar.config import build_config

    def read() -> ReadResult:
        checked = check_application(folder, name)
        faults = faults_of_application(checked, name)
        if not faults and name not in checked.applications:
            wrong = f"{quote(name)}; {suggestion(name, checked.applications)}"
            faults = [Diagnostic("AR321", Location(str(folder)), "", wrong)]
        if faults:
            return _faulty(faults)
        return ReadResult(build_config(checked.applications[name], checked.inventories[name], numbers))

    return read_when_stable(folder, read)


def read_controller(path: Path, class_names: list[str]) -> ReadResult:
    from arrowrail.config.controller_file import read_controller_file

    def read() -> ReadResult:
        found, faults = read_controller_file(path, class_names)
        return _faulty(list(faults)) if found is None else ReadResult(found)

    return read_when_stable(path, read)


def main() -> int:
    asked = pickle.loads(sys.stdin.buffer.read())
    kinds: dict[str, Callable[..., ReadResult]] = {"sidecar": read_sidecar, "controller": read_controller}
    sys.stdout.buffer.write(pickle.dumps(kinds[asked[0]](*asked[1:])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
