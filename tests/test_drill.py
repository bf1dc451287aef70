"""The drills, played short with real processes; and a judge that sees what it should see."""

from __future__ import annotations

from pathlib import Path

from arrowrail.lab import checks
from arrowrail.lab.checks import MS, CheckReport
from arrowrail.lab.drills import load_drill


def test_the_sidecar_drill_passes_short(tmp_path: Path) -> None:
    result = load_drill("sidecar")(20261201, tmp_path, True)
    assert result.passed, result.violations[:10]


def line(t: int, what: str, call: str, **more: object) -> dict[str, object]:
    return {"t": t * MS, "what": what, "call": call, **more}


def test_the_judge_sees_two_answers_none_and_answers_to_nothing() -> None:
    report = CheckReport()
    checks.check_single_answer(report, "app", [
        line(1, "sent", "a", line="0.1"), line(2, "answer", "a", status=200),
        line(3, "answer", "a", status=503), line(1, "sent", "b", line="0.1"),
        line(1, "sent", "c", line="1.1"), {"t": 0, "what": "lost", "line": "1.1"},
        line(4, "answer", "d", status=200),
    ])  # fmt: skip
    assert sorted(b.split(": ")[1] for b in report.violations) == [
        "an answer for d, which was never sent", "call a got 2 answers", "call b got no answer",
    ]  # fmt: skip


def test_the_judge_sees_attempts_at_once_too_many_and_too_soon() -> None:
    ledgers = {
        "one": [line(0, "set_up", "a"), line(500, "released", "a"), line(0, "set_up", "b"),
                line(100, "released", "b"), line(0, "set_up", "c"), line(50, "refused", "c")],
        "two": [line(200, "set_up", "a"), line(250, "set_up", "b"), line(60, "set_up", "c"),
                line(70, "refused", "c"), line(80, "set_up", "c")],
    }  # fmt: skip
    report = CheckReport()
    checks.check_attempts(report, checks.collect_attempts(ledgers), 2, 300 * MS, ())
    assert len(report.violations) == 3
    assert "two attempts at once" in report.violations[0] and "only 150 ms" in report.violations[1]
    assert "3 attempts" in report.violations[2]


def test_the_judge_sees_what_comes_after_a_drain_and_calls_never_told_to_be_over() -> None:
    report = CheckReport()
    lines = [line(100, "set_up", "a"), line(900, "set_up", "b"), line(1000, "over", "a")]
    checks.check_no_new_calls(report, "one", lines, 100 * MS, 500 * MS)
    calls: dict[str, list[checks.Event]] = {"a": [{"t": 1, "status": 200}]}
    checks.check_release_notified(report, "app", {"one": lines}, [], calls, 100 * MS, 5000 * MS)
    assert (
        len(report.violations) == 2
        and "800 ms after" in report.violations[0]
        and "never told" in report.violations[1]
    )
