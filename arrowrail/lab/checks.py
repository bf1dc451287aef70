"""The rules, judged from ledgers: what callers sent and heard, and what exchanges received.

No figure of the program itself is read.  Times are Unix times of several processes on one machine; ``SLACK``
covers what lies between a socket and a ledger's line.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

Event = Mapping[str, Any]
MS = 1_000_000
SLACK = 60 * MS
MAX_CALL_TIME = 3_500 * MS  # of the drills' callers


@dataclass(slots=True)
class CheckReport:
    """What was found; ``broken`` names each breach with its call or exchange."""

    violations: list[str] = field(default_factory=list)
    metrics: dict[str, Any] = field(default_factory=dict)

    def expect(self, condition: bool, violation: str) -> None:
        if not condition:
            self.violations.append(violation)


@dataclass(slots=True)
class Attempt:
    exchange: str
    began: int
    ended: int = 0  # 0: no end was seen there
    how: str = ""


def check_single_answer(
    report: CheckReport, name: str, lines: Iterable[Event], nobody_from: int = 0
) -> dict[str, list[Event]]:
    """Each call gets exactly one final answer; none is owed on a connection that was lost.

    ``nobody_from``: when the application itself died, so that nobody heard what was answered after it.
    """
    sent: dict[str, Event] = {}
    answers: dict[str, list[Event]] = defaultdict(list)
    lost: set[str] = set()
    for line in lines:
        if line["what"] == "sent":
            sent[line["call"]] = line
        elif line["what"] == "answer":
            answers[line["call"]].append(line)
        elif line["what"] == "lost":
            lost.add(line["line"])
        elif line["what"] == "unreadable":
            report.violations.append(f"{name}: an unreadable answer: {line['why']}")
    for call, line in sent.items():
        count = len(answers[call])
        report.expect(count <= 1, f"{name}: call {call} got {count} answers")
        unheard = nobody_from and line["t"] > nobody_from - MAX_CALL_TIME
        if count == 0 and line["line"] not in lost and not unheard:
            report.violations.append(f"{name}: call {call} got no answer")
    for call in answers:
        report.expect(
            call in sent or not answers[call], f"{name}: an answer for {call}, which was never sent"
        )
    return {call: answers[call] for call in sent}


def collect_attempts(ledgers: Mapping[str, Iterable[Event]]) -> dict[str, list[Attempt]]:
    """By call, every set-up that reached an exchange, in the order of time."""
    found: dict[str, list[Attempt]] = defaultdict(list)
    for exchange, lines in ledgers.items():
        out: dict[str, Attempt] = {}
        for line in lines:
            call = line.get("call", "")
            if line["what"] == "set_up":
                out[call] = Attempt(exchange, line["t"])
                found[call].append(out[call])
            elif line["what"] in ("refused", "answered", "released", "dropped", "over") and call in out:
                attempt = out[call]
                if not attempt.ended:
                    attempt.ended, attempt.how = line["t"], line["what"]
    for attempts_ in found.values():
        attempts_.sort(key=lambda a: a.began)
    return found


def check_attempts(
    report: CheckReport,
    by_call: Mapping[str, list[Attempt]],
    most: int,
    pause_ns: int,
    excused: Iterable[str],
) -> None:
    """At most so many attempts, never two at once, and the pause after one that was given up or cut.

    ``excused``: calls whose sidecar was killed, so that their ends prove nothing.
    """
    passed_over = set(excused)
    for call, made in by_call.items():
        report.expect(len(made) <= most, f"call {call} had {len(made)} attempts")
        if call in passed_over:
            continue
        for before, after in pairwise(made):
            if not before.ended or before.ended > after.began + SLACK:
                report.violations.append(f"call {call}: two attempts at once, at {before.exchange} and "
                                      f"{after.exchange}")  # fmt: skip
            elif before.how in ("released", "dropped") and after.began - before.ended < pause_ns - SLACK:
                report.violations.append(f"call {call}: only {(after.began - before.ended) // MS} ms after a "
                                      "set-up that was given up")  # fmt: skip


def check_no_new_calls(
    report: CheckReport, exchange: str, lines: Iterable[Event], told: int, grace_ns: int, until: int = 0
) -> None:
    """After the grace that follows a drain, nothing new reaches the exchange (until it is back)."""
    for line in lines:
        late = line["t"] > told + grace_ns + SLACK and (not until or line["t"] < until)
        if line["what"] == "set_up" and late:
            report.violations.append(
                f"{exchange}: call {line['call']} came {(line['t'] - told) // MS} ms after the drain was told"
            )


def established_share(
    calls: Mapping[str, list[Event]], lines: Iterable[Event], since: int, until: int
) -> tuple[float, int]:
    """Of the calls sent in a span of time, the share that stood, and how many they were."""
    sent = [line["call"] for line in lines if line["what"] == "sent" and since <= line["t"] < until]
    stood = sum(1 for call in sent if any(a["status"] == 200 for a in calls.get(call, ())))
    return (stood / len(sent) if sent else 1.0), len(sent)


def check_release_notified(
    report: CheckReport,
    name: str,
    ledgers: Mapping[str, Iterable[Event]],
    apps: Iterable[Event],
    calls: Mapping[str, list[Event]],
    within_ns: int,
    end: int,
) -> None:
    """What stood and is over is told to its caller."""
    byes = {line["call"] for line in apps if line["what"] == "bye"}
    for lines in ledgers.values():
        for line in lines:
            call = line.get("call", "")
            stood = any(a["status"] == 200 for a in calls.get(call, ()))
            if line["what"] == "over" and stood and call not in byes and line["t"] + within_ns < end:
                report.violations.append(f"{name}: call {call} was over and its caller never told")
