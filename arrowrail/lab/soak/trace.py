"""The events of one call in order of time, from all event logs and the log of its controller."""

from __future__ import annotations

import re
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path

from arrowrail.lab.event_log import read_events

LOG_LINE = re.compile(r"^(\d{4}-\d\d-\d\d \d\d:\d\d:\d\d\.\d{3}) \| \w+ +\| \S+ - (.*)$")
RUNNER_EVENTS = ("fault", "server_ended", "server_started", "controller_told_to_end", "controller_killed",
                 "controller_started", "listed")  # fmt: skip
LEAD_TIME_NS = 3_000_000_000  # how long before the first record of the call the runner's events are shown


def trace_call(folder: Path, call_id: str) -> list[str]:
    """Return the events and log lines that name the call, and the runner's events around them."""
    lines = [*_event_log_lines(folder, call_id), *_controller_log_lines(folder, call_id)]
    if not lines:
        return [f"no program recorded call {call_id}"]
    first, last = min(lines)[0] - LEAD_TIME_NS, max(lines)[0]
    for event in read_events(folder / "player.jsonl"):
        if event["what"] in RUNNER_EVENTS and first <= event["t"] <= last:
            lines.append((event["t"], "player", _format_event(event)))
    started_ns = next(
        (event["t"] for event in read_events(folder / "player.jsonl") if event["what"] == "began"), first
    )
    return [
        f"{(time_ns - started_ns) / 1e9:9.3f} {program:14} {text}" for time_ns, program, text in sorted(lines)
    ]


def _format_event(event: dict[str, object]) -> str:
    fields = " ".join(f"{key}={value}" for key, value in event.items() if key not in ("t", "what", "call"))
    return f"{event['what']} {fields}".strip()


def _event_log_lines(folder: Path, call_id: str) -> Iterator[tuple[int, str, str]]:
    for path in sorted(folder.glob("*.jsonl")):
        for event in read_events(path):
            named = event.get("call") == call_id or call_id in event.get("crossed", ())
            if named or (event["what"] == "lost" and call_id in event.get("calls", ())):
                yield event["t"], path.stem, _format_event(event)


def _controller_log_lines(folder: Path, call_id: str) -> Iterator[tuple[int, str, str]]:
    for path in sorted(folder.glob("n*.log")):
        if "." in path.stem:
            continue
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            match = LOG_LINE.match(text)
            if match is not None and call_id in match[2]:
                yield int(datetime.fromisoformat(match[1]).timestamp() * 1e9), f"{path.stem} log", match[2]
