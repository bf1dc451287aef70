"""One call's whole life in one time line: what all parties wrote of it, and the program's own log."""

from __future__ import annotations

import re
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from arrowrail.lab.event_log import read_events

LOG_LINE = re.compile(r"^(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d{3}) \| \w+ +\| \S+ - (.*)$")
PLAYER = ("fault", "server_ended", "server_started", "controller_told_to_end", "controller_killed",
          "controller_started", "listed")  # fmt: skip
SHOWN_BEFORE_NS = 3_000_000_000


def trace_call(folder: Path, call: str) -> list[str]:
    """The lines of all parties that name the call, with the player's faults around them."""
    lines = [*_ledgers(folder, call), *_logs(folder, call)]
    if not lines:
        return [f"nobody wrote anything of call {call}"]
    first, last = min(lines)[0] - SHOWN_BEFORE_NS, max(lines)[0]
    for line in read_events(folder / "player.jsonl"):
        if line["what"] in PLAYER and first <= line["t"] <= last:
            lines.append((line["t"], "player", _facts(line)))
    began = next(
        (line["t"] for line in read_events(folder / "player.jsonl") if line["what"] == "began"), first
    )
    return [f"{(at - began) / 1e9:9.3f} {who:14} {what}" for at, who, what in sorted(lines)]


def _facts(line: dict[str, object]) -> str:
    facts = " ".join(f"{key}={value}" for key, value in line.items() if key not in ("t", "what", "call"))
    return f"{line['what']} {facts}".strip()


def _ledgers(folder: Path, call: str) -> Iterator[tuple[int, str, str]]:
    for path in sorted(folder.glob("*.jsonl")):
        for line in read_events(path):
            named = line.get("call") == call or call in line.get("crossed", ())
            if named or (line["what"] == "lost" and call in line.get("calls", ())):
                yield line["t"], path.stem, _facts(line)


def _logs(folder: Path, call: str) -> Iterator[tuple[int, str, str]]:
    for path in sorted(folder.glob("n*.log")):
        if "." in path.stem:
            continue
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            found = LOG_LINE.match(text)
            if found is not None and call in found[2]:
                yield int(datetime.fromisoformat(found[1]).timestamp() * 1e9), f"{path.stem} log", found[2]
