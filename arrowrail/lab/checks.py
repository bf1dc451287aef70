"""Checks of a drill's rules on event logs: what callers sent and received, and what exchanges received.

No log or counter of the program itself is read.  Times are Unix times in ns from several processes on one
machine; ``TOLERANCE_NS`` covers the delay between a socket operation and its record in the event log.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any

Event = Mapping[str, Any]
MS = 1_000_000
TOLERANCE_NS = 60 * MS
MAX_CALL_TIME_NS = 3_500 * MS  # longest time from a request to its answer in the drills


@dataclass(slots=True)
class CheckReport:
    """Result of the checks; each violation names its call or exchange."""

    violations: list[str] = field(default_factory=list)
    metrics: dict[str, Any] = field(default_factory=dict)

    def expect(self, condition: bool, violation: str) -> None:
        if not condition:
            self.violations.append(violation)


@dataclass(slots=True)
class Attempt:
    """One set-up at an exchange, as the exchange recorded it."""

    exchange: str
    started_ns: int
    ended_ns: int = 0  # 0: the exchange recorded no end
    outcome: str = ""


def check_single_answer(
    report: CheckReport, name: str, events: Iterable[Event], app_killed_ns: int = 0
) -> dict[str, list[Event]]:
    """Check that each call gets exactly one final answer; none is required on a lost connection.

    ``app_killed_ns``: the time at which the application was killed, since answers after it are not recorded.
    """
    sent: dict[str, Event] = {}
    answers: dict[str, list[Event]] = defaultdict(list)
    lost_connections: set[str] = set()
    for event in events:
        if event["what"] == "sent":
            sent[event["call"]] = event
        elif event["what"] == "answer":
            answers[event["call"]].append(event)
        elif event["what"] == "lost":
            lost_connections.add(event["line"])
        elif event["what"] == "unreadable":
            report.violations.append(f"{name}: an unreadable answer: {event['why']}")
    for call, event in sent.items():
        answer_count = len(answers[call])
        report.expect(answer_count <= 1, f"{name}: call {call} got {answer_count} answers")
        unrecorded = app_killed_ns and event["t"] > app_killed_ns - MAX_CALL_TIME_NS
        if answer_count == 0 and event["line"] not in lost_connections and not unrecorded:
            report.violations.append(f"{name}: call {call} got no answer")
    for call in answers:
        report.expect(
            call in sent or not answers[call], f"{name}: an answer for {call}, which was never sent"
        )
    return {call: answers[call] for call in sent}


def collect_attempts(events_by_exchange: Mapping[str, Iterable[Event]]) -> dict[str, list[Attempt]]:
    """All set-ups that reached an exchange, by call and in order of time."""
    by_call: dict[str, list[Attempt]] = defaultdict(list)
    for exchange, events in events_by_exchange.items():
        current: dict[str, Attempt] = {}
        for event in events:
            call = event.get("call", "")
            if event["what"] == "set_up":
                current[call] = Attempt(exchange, event["t"])
                by_call[call].append(current[call])
            elif event["what"] in ("refused", "answered", "released", "dropped", "over") and call in current:
                attempt = current[call]
                if not attempt.ended_ns:
                    attempt.ended_ns, attempt.outcome = event["t"], event["what"]
    for attempts in by_call.values():
        attempts.sort(key=lambda attempt: attempt.started_ns)
    return by_call


def check_attempts(
    report: CheckReport,
    by_call: Mapping[str, list[Attempt]],
    max_attempts: int,
    pause_ns: int,
    exempt_calls: Iterable[str],
) -> None:
    """Check the number of attempts, that they never overlap, and the pause after an abandoned or lost one.

    ``exempt_calls``: calls of a sidecar that was killed; when their attempts end proves nothing.
    """
    exempt = set(exempt_calls)
    for call, attempts in by_call.items():
        report.expect(len(attempts) <= max_attempts, f"call {call} had {len(attempts)} attempts")
        if call in exempt:
            continue
        for before, after in pairwise(attempts):
            if not before.ended_ns or before.ended_ns > after.started_ns + TOLERANCE_NS:
                report.violations.append(
                    f"call {call}: two attempts at once, at {before.exchange} and {after.exchange}"
                )
            elif (
                before.outcome in ("released", "dropped")
                and after.started_ns - before.ended_ns < pause_ns - TOLERANCE_NS
            ):
                report.violations.append(
                    f"call {call}: only {(after.started_ns - before.ended_ns) // MS} ms after a set-up "
                    "that was abandoned"
                )


def check_no_new_calls(
    report: CheckReport,
    exchange: str,
    events: Iterable[Event],
    drained_ns: int,
    grace_ns: int,
    until_ns: int = 0,
) -> None:
    """Check that no set-up reaches an exchange after its drain grace period (until it is back in service)."""
    for event in events:
        late = event["t"] > drained_ns + grace_ns + TOLERANCE_NS and (not until_ns or event["t"] < until_ns)
        if event["what"] == "set_up" and late:
            report.violations.append(
                f"{exchange}: call {event['call']} arrived {(event['t'] - drained_ns) // MS} ms after the "
                "drain was announced"
            )


def established_share(
    calls: Mapping[str, list[Event]], events: Iterable[Event], since_ns: int, until_ns: int
) -> tuple[float, int]:
    """The share of the calls sent within a time span that were established, and the number of these calls."""
    sent = [
        event["call"] for event in events if event["what"] == "sent" and since_ns <= event["t"] < until_ns
    ]
    established = sum(1 for call in sent if any(a["status"] == 200 for a in calls.get(call, ())))
    return (established / len(sent) if sent else 1.0), len(sent)


def check_release_notified(
    report: CheckReport,
    name: str,
    events_by_exchange: Mapping[str, Iterable[Event]],
    app_events: Iterable[Event],
    calls: Mapping[str, list[Event]],
    limit_ns: int,
    end_ns: int,
) -> None:
    """Check that the caller of an established call that ended at its exchange gets a BYE within the limit."""
    byes = {event["call"] for event in app_events if event["what"] == "bye"}
    for events in events_by_exchange.values():
        for event in events:
            call = event.get("call", "")
            established = any(a["status"] == 200 for a in calls.get(call, ()))
            if (
                event["what"] == "over"
                and established
                and call not in byes
                and event["t"] + limit_ns < end_ns
            ):
                report.violations.append(f"{name}: call {call} ended and its caller was never told")
