"""Reads and checks the operator's records in a separate process, and returns the resulting configuration.

The serving process thus does not load the grammar, the schema and the rules: it needs no more memory than
without records, and the check of a large inventory does not block its event loop.  Only
``reader_process.py`` starts this module; the result is written to standard output as a pickle, which only
the parent process reads.
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

STABLE_AGE_S = 0.15  # a file changed more recently may still be being written
MAX_WAIT_S = 3.0  # for a folder whose files keep changing
MAX_FAULTS = 40  # faults in a result


def file_states(path: Path) -> tuple[tuple[str, int, int, int], ...]:
    """Return the name, time, size and inode of each record file below, to detect changes."""
    states = []
    for base, folders, files in os.walk(path if path.is_dir() else path.parent):
        folders[:] = [f for f in folders if not f.startswith(".")]
        for name in files:
            if name.endswith(".rail"):
                full_path = os.path.join(base, name)
                try:
                    status = os.stat(full_path)
                except OSError:
                    continue
                states.append((full_path, status.st_mtime_ns, status.st_size, status.st_ino))
    return tuple(sorted(states))


def read_when_stable(path: Path, check: Callable[[], ReadResult]) -> ReadResult:
    """Check the files once they have stopped changing, so that no partially written file is read."""
    deadline = time.monotonic() + MAX_WAIT_S
    while True:
        before = file_states(path)
        last_change_ns = max((changed_ns for _, changed_ns, _, _ in before), default=0)
        age_s = (time.time_ns() - last_change_ns) / 1e9
        if 0 <= age_s < STABLE_AGE_S and time.monotonic() < deadline:
            time.sleep(max(0.01, STABLE_AGE_S - age_s))
            continue
        result = check()
        if file_states(path) == before or time.monotonic() >= deadline:
            return result


def _rejected(faults: list[Any]) -> ReadResult:
    reported = faults[:MAX_FAULTS]
    return ReadResult(None, tuple(str(f) for f in reported), tuple(f.code for f in reported))


def read_sidecar(folder: Path, name: str, numbers: dict[str, int]) -> ReadResult:
    """Read the records of an application; ``numbers`` are the exchange numbers already in use."""
    from arrowrail.config.checker import check_application, faults_of_application
    from arrowrail.config.diagnostics import Diagnostic, Location, quote, suggestion
    from arrowrail.sidecar.config import build_config

    def read() -> ReadResult:
        checked = check_application(folder, name)
        faults = faults_of_application(checked, name)
        if not faults and name not in checked.applications:
            message = f"{quote(name)}; {suggestion(name, checked.applications)}"
            faults = [Diagnostic("AR321", Location(str(folder)), "", message)]
        if faults:
            return _rejected(faults)
        return ReadResult(build_config(checked.applications[name], checked.inventories[name], numbers))

    return read_when_stable(folder, read)


def read_controller(path: Path, class_names: list[str]) -> ReadResult:
    """Read the operator's file of a controller that the platform starts."""
    from arrowrail.config.controller_file import read_controller_file

    def read() -> ReadResult:
        records, faults = read_controller_file(path, class_names)
        return _rejected(list(faults)) if records is None else ReadResult(records)

    return read_when_stable(path, read)


def main() -> int:
    request = pickle.loads(sys.stdin.buffer.read())
    readers: dict[str, Callable[..., ReadResult]] = {"sidecar": read_sidecar, "controller": read_controller}
    sys.stdout.buffer.write(pickle.dumps(readers[request[0]](*request[1:])))
    return 0


if __name__ == "__main__":
    sys.exit(main())
