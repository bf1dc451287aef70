"""What a stand-in saw: one JSON object a line, with the Unix time in ns, written once a turn of its loop."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson


class EventLog:
    """Lines are kept until ``flush``; a process that is killed loses those of its last turn at most."""

    def __init__(self, path: Path | str) -> None:
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 - held for the process's life
        self._lines: list[bytes] = []

    def record(self, event_name: str, **fields: Any) -> None:
        self._lines.append(orjson.dumps({"t": time.time_ns(), "what": event_name, **fields}))

    def flush(self) -> None:
        if self._lines:
            self._file.write(b"\n".join(self._lines) + b"\n")
            self._lines = []


def read_events(path: Path) -> Iterator[dict[str, Any]]:
    """The lines of a ledger; a last one that was cut off by a kill is left out."""
    if not path.exists():
        return
    for line in path.read_bytes().split(b"\n"):
        if line:
            try:
                yield orjson.loads(line)
            except orjson.JSONDecodeError:
                continue
