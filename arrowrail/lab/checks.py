"""Checks of the event logs of a drill: what callers sent and received, and what exchanges received.

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
    """Check that each call gets exactly one final response; none is required on a lost connection.

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
            report.violations.append(f"{name}: an unreadable message: {event['why']}")
    for call_id, event in sent.items():
        answer_count = len(answers[call_id])
        report.expect(answer_count <= 1, f"{name}: call {call_id} got {answer_count} answers")
        unrecorded = app_killed_ns and event["t"] > app_killed_ns - MAX_CALL_TIME_NS
        if answer_count == 0 and event["line"] not in lost_connections and not unrecorded:
            report.violations.append(f"{name}: call {call_id} got no answer")
    for call_id in answers:
        report.expect(
            call_id in sent or not answers[call_id], f"{name}: an answer for {call_id}, which was never sent"
        )
    return {call_id: answers[call_id] for call_id in sent}


def collect_attempts(events_by_exchange: Mapping[str, Iterable[Event]]) -> dict[str, list[Attempt]]:
    """Return all set-ups that reached an exchange, by call and in order of time."""
    by_call: dict[str, list[Attempt]] = defaultdict(list)
    for exchange, events in events_by_exchange.items():
        current: dict[str, Attempt] = {}
        for event in events:
            call_id = event.get("call", "")
            if event["what"] == "set_up":
                current[call_id] = Attempt(exchange, event["t"])
                by_call[call_id].append(current[call_id])
            elif (
                event["what"] in ("refused", "answered", "released", "dropped", "over") and call_id in current
            ):
                attempt = current[call_id]
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
    """Check the number of attempts, that they never overlap, and the release pause after one that timed out,
    lost its connection or was cancelled.

    ``exempt_calls``: calls of a sidecar that was killed; when their attempts end proves nothing.
    """
    exempt = set(exempt_calls)
    for call_id, attempts in by_call.items():
        report.expect(len(attempts) <= max_attempts, f"call {call_id} had {len(attempts)} attempts")
        if call_id in exempt:
            continue
        for before, after in pairwise(attempts):
            if not before.ended_ns or before.ended_ns > after.started_ns + TOLERANCE_NS:
                report.violations.append(
                    f"call {call_id}: two attempts at once, at {before.exchange} and {after.exchange}"
                )
            elif (
                before.outcome in ("released", "dropped")
                and after.started_ns - before.ended_ns < pause_ns - TOLERANCE_NS
            ):
                report.violations.append(
                    f"call {call_id}: only {(after.started_ns - before.ended_ns) // MS} ms after an attempt "
                    "that timed out, lost its connection or was cancelled"
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
    """Return the share of the calls sent in a time span that were established, and the number sent."""
    sent = [
        event["call"] for event in events if event["what"] == "sent" and since_ns <= event["t"] < until_ns
    ]
    established = sum(1 for call_id in sent if any(a["status"] == 200 for a in calls.get(call_id, ())))
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
            call_id = event.get("call", "")
            established = any(a["status"] == 200 for a in calls.get(call_id, ()))
            if (
                event["what"] == "over"
                and established
                and call_id not in byes
                and event["t"] + limit_ns < end_ns
            ):
                report.violations.append(f"{name}: call {call_id} ended and its caller got no release")
