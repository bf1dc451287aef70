"""Reads and checks a folder of records in a process of its own, and hands over what it means.

The grammar, the schema and the rules stay out of the serving process: its memory stays that of a plain
controller, and a check of a large inventory takes none of its turns.  Run as
``python -m arrowrail.sidecar.reader FOLDER APPLICATION`` by the sidecar only; the result goes to standard
output as a pickle, read back by nobody but the process that started it.
"""

from __future__ import annotations

import os
import pickle
import sys
import time
from pathlib import Path

from arrowrail.sidecar.compile import Result, compile_

SETTLED_S = 0.15  # a file changed more lately may still be in the making
LONGEST_WAIT_S = 3.0  # for a folder that does not come to rest
MOST_LINES = 40  # faults that are handed over


def signature(folder: Path) -> tuple[tuple[str, int, int, int], ...]:
    found = []
    for base, folders, files in os.walk(folder):
        folders[:] = [f for f in folders if not f.startswith(".")]
        for name in files:
            if name.endswith(".rail"):
                path = os.path.join(base, name)
                try:
                    s = os.stat(path)
                except OSError:
                    continue
                found.append((path, s.st_mtime_ns, s.st_size, s.st_ino))
    return tuple(sorted(found))


def read(folder: Path, name: str, numbers: dict[str, int]) -> Result:
    """Read once the folder has come to rest: a file half written is not taken for a whole one."""
    end = time.monotonic() + LONGEST_WAIT_S
    while True:
        before = signature(folder)
        youngest = max((at for _, at, _, _ in before), default=0)
        age = (time.time_ns() - youngest) / 1e9
        if 0 <= age < SETTLED_S and time.monotonic() < end:
            time.sleep(max(0.01, SETTLED_S - age))
            continue
        result = _check(folder, name, numbers)
        if signature(folder) == before or time.monotonic() >= end:
            return result


def _check(folder: Path, name: str, numbers: dict[str, int]) -> Result:
    from arrowrail.config.faults import Fault, Place, nearest, shown
    from arrowrail.config.folder import check, faults_for

    checked = check(folder)
    faults = faults_for(checked, name)
    if not faults and name not in checked.applications:
        faults = [
            Fault("AR321", Place(str(folder)), "", f"{shown(name)}; {nearest(name, checked.applications)}")
        ]
    if faults:
        return Result(
            None, tuple(str(f) for f in faults[:MOST_LINES]), tuple(f.code for f in faults[:MOST_LINES])
        )
    return Result(compile_(checked.applications[name], checked.inventories[name], numbers))


def main() -> int:
    numbers = pickle.loads(sys.stdin.buffer.read())
    result = read(Path(sys.argv[1]), sys.argv[2], numbers)
    sys.stdout.buffer.write(pickle.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
