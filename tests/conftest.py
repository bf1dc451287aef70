"""Known failures: the tests listed in ``KNOWN-RED.txt`` fail because of a defect that is not fixed yet.

A line is ``TEST-ID | cause | issue``.  A listed test must fail: one that passes fails the run, so that the
list cannot become outdated.
"""

from __future__ import annotations

from pathlib import Path

import pytest

KNOWN_FAILURES_FILE = Path(__file__).resolve().parents[1] / "KNOWN-RED.txt"
MAX_ENTRIES = 3


def known_failures() -> dict[str, str]:
    """Return the listed tests, each with its cause and issue."""
    if not KNOWN_FAILURES_FILE.exists():
        return {}
    lines = [line.strip() for line in KNOWN_FAILURES_FILE.read_text(encoding="utf-8").splitlines()]
    parts = [line.split("|", 1) for line in lines if line and not line.startswith("#")]
    return {test_id.strip(): reason.strip() for test_id, reason in parts}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    listed = known_failures()
    if len(listed) > MAX_ENTRIES:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(listed)} tests, {MAX_ENTRIES} at most")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test_id, reason in known_failures().items():
        terminalreporter.write_line(f"KNOWN RED: {test_id}: {reason}")
