"""Drills in their short form with real processes, and tests that the checks detect violations."""

from __future__ import annotations

from pathlib import Path

from arrowrail.lab import checks
from arrowrail.lab.checks import MS, CheckReport
from arrowrail.lab.drills import load_drill


def test_short_sidecar_drill_passes(tmp_path: Path) -> None:
    result = load_drill("sidecar")(20261201, tmp_path, True)
    assert result.passed, result.violations[:10]


def event(at_ms: int, name: str, call: str, **fields: object) -> dict[str, object]:
    return {"t": at_ms * MS, "what": name, "call": call, **fields}


def test_duplicate_missing_and_unexpected_answers_are_violations() -> None:
    report = CheckReport()
    checks.check_single_answer(report, "app", [
        event(1, "sent", "a", line="0.1"), event(2, "answer", "a", status=200),
        event(3, "answer", "a", status=503), event(1, "sent", "b", line="0.1"),
        event(1, "sent", "c", line="1.1"), {"t": 0, "what": "lost", "line": "1.1"},
        event(4, "answer", "d", status=200),
    ])  # fmt: skip
    assert sorted(violation.split(": ")[1] for violation in report.violations) == [
        "an answer for d, which was never sent", "call a got 2 answers", "call b got no answer",
    ]  # fmt: skip


def test_overlapping_excess_and_early_attempts_are_violations() -> None:
    events_by_exchange = {
        "one": [event(0, "set_up", "a"), event(500, "released", "a"), event(0, "set_up", "b"),
                event(100, "released", "b"), event(0, "set_up", "c"), event(50, "refused", "c")],
        "two": [event(200, "set_up", "a"), event(250, "set_up", "b"), event(60, "set_up", "c"),
                event(70, "refused", "c"), event(80, "set_up", "c")],
    }  # fmt: skip
    report = CheckReport()
    checks.check_attempts(report, checks.collect_attempts(events_by_exchange), 2, 300 * MS, ())
    assert len(report.violations) == 3
    assert "two attempts at once" in report.violations[0] and "only 150 ms" in report.violations[1]
    assert "3 attempts" in report.violations[2]


def test_calls_after_a_drain_and_missing_release_notifications_are_violations() -> None:
    report = CheckReport()
    events = [event(100, "set_up", "a"), event(900, "set_up", "b"), event(1000, "over", "a")]
    checks.check_no_new_calls(report, "one", events, 100 * MS, 500 * MS)
    calls: dict[str, list[checks.Event]] = {"a": [{"t": 1, "status": 200}]}
    checks.check_release_notified(report, "app", {"one": events}, [], calls, 100 * MS, 5000 * MS)
    assert (
        len(report.violations) == 2
        and "800 ms after" in report.violations[0]
        and "its caller got no release" in report.violations[1]
    )
