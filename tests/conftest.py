"""Known failures: tests that ``KNOWN-RED.txt`` lists fail for a real fault that is not mended yet.

A line is ``TEST-ID | cause | issue``.  A listed test must fail: one that passes fails the run, so that the
list can't grow stale.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
MOST_LINES = 3


def known_red() -> dict[str, str]:
    """The listed tests, each with its cause and issue."""
    if not KNOWN_RED.exists():
        return {}
    lines = [line.strip() for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()]
    parts = [line.split("|", 1) for line in lines if line and not line.startswith("#")]
    return {test.strip(): why.strip() for test, why in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = known_red()
    if len(listed) > MOST_LINES:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(listed)} tests, {MOST_LINES} at most")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, why in known_red().items():
        terminalreporter.write_line(f"KNOWN RED: {test}: {why}")
