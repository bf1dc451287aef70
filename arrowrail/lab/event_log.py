"""Event log of a stand-in program: one JSON object per line, with a Unix time in ns.

Records are buffered, and written to the file once per iteration of the program's event loop.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import orjson


class EventLog:
    """Buffers records until ``flush``; a killed process loses at most those of its last loop iteration."""

    def __init__(self, path: Path | str) -> None:
        self._file = open(path, "ab", buffering=0)  # noqa: SIM115 - open for the lifetime of the process
        self._lines: list[bytes] = []

    def record(self, event_name: str, **fields: Any) -> None:
        self._lines.append(orjson.dumps({"t": time.time_ns(), "what": event_name, **fields}))

    def flush(self) -> None:
        if self._lines:
            self._file.write(b"\n".join(self._lines) + b"\n")
            self._lines = []


def read_events(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the records of an event log; a last line that was cut off by a kill is skipped."""
    if not path.exists():
        return
    for line in path.read_bytes().split(b"\n"):
        if line:
            try:
                yield orjson.loads(line)
            except orjson.JSONDecodeError:
                continue
