"""The operators' rules, each as one check of the history of a trial.

A check yields the violations of its rule.  The words in capitals (PROTOCOL, STANDING, DEPLOY) name the
operators' document that sets a limit.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import pairwise

from arrowrail.lab.platform import Deployment
from arrowrail.lab.soak.history import MS, SECOND_NS, Attempt, Call, History, ListChange
from arrowrail.lab.soak.plan import SINGLE_SHOT

TOLERANCE_NS = 50 * MS  # PROTOCOL: each time limit has a tolerance of 50 ms
MAX_ANSWER_DELAY_NS = 500 * MS  # STANDING: an answer up to 0.5 s after the deadline is allowed, but worthless
# A list update counts as received at the latest this long after discovery had it and was reachable.
LIST_UPDATE_LIMIT_NS = 6_000 * MS
RELEASE_FORWARD_NS = 1_000 * MS  # PROTOCOL: from the server's release to the release sent to the caller
RELEASE_LIMIT_NS = 8_000 * MS  # PROTOCOL: from the end of a call whose server could send no release
# A server that is unreachable for this long may be considered lost: PROTOCOL's 8 s minus a reserve.
SERVER_LOST_NS = 5_000 * MS
SETTLE_NS = 3_000 * MS  # calls that end earlier than this before the end of the trial must have been released
READY_LIMIT_NS = 10_000 * MS  # STANDING: nine of ten restarted controllers are ready within 10 s
MEMORY_LIMIT_MB = 192  # DEPLOY: the limit in the configuration
MIN_SERVED_SHARE = 0.5  # of the undisturbed calls
# An undisturbed call has no fault in this time before it is sent and after its deadline.  Before it, the
# longest deadline is added: until then, a set-up that a server accepted and never answers stays pending and
# keeps other set-ups away from that server (README, "What remains").
UNDISTURBED_NS = 2_000 * MS
MAX_ATTEMPTS = 4  # as in the platform's settings
RELEASE_AWAITED_OUTCOMES = ("given_up", "broken")
REFUSALS = (480, 503)  # PROTOCOL: trying again is harmless
NEVER_RAN_CAUSES = (34, 102)  # PROTOCOL: full, or it never left
CROSSING_NS = 50 * MS  # PROTOCOL: within it a set-up and the close of its connection cross
CAUSE_TEMPORARY_FAILURE = 41  # Q.850: of a set-up that was lost on its way, and of a call that was cut off


@dataclass(frozen=True, slots=True)
class Violation:
    """One violation of a rule."""

    rule: str
    at_ns: int  # Unix time in ns
    message: str
    call_id: str = ""


Check = Callable[[History], Iterator[Violation]]


def check_answers(history: History) -> Iterator[Violation]:
    """Check that each request gets exactly one final response, in time, and that a 200 carries the session
    description that a server made for this call."""
    for call in history.calls.values():
        if len(call.answers) > 1:
            yield Violation("answer", call.answers[1]["t"], f"got {len(call.answers)} answers", call.call_id)
        for answer in call.answers:
            if answer["status"] == 200 and not _is_made_for(answer["made_by"], call):
                yield Violation(
                    "answer",
                    answer["t"],
                    f"answered 200 with the description {answer['made_by']!r}, which is not of this call",
                    call.call_id,
                )
        if not call.sent_ns or call.cancelled_ns:
            continue
        if call.answers:
            delay = call.answers[0]["t"] - call.deadline_ns
            if delay > MAX_ANSWER_DELAY_NS + TOLERANCE_NS:
                yield Violation(
                    "answer", call.answers[0]["t"], f"answered {delay // MS} ms late", call.call_id
                )
        elif not _is_excused(history, call):
            reason = f"its connection was closed ({call.lost_reason})" if call.lost_ns else "got no answer"
            yield Violation("lost", call.lost_ns or call.deadline_ns, reason, call.call_id)


def _is_made_for(made_by: str, call: Call) -> bool:
    return made_by.startswith("o=") and made_by.endswith(f" {call.call_id}")


def _is_excused(history: History, call: Call) -> bool:
    """Return whether a call needs no final response: its set-up and the close of its connection crossed, its
    controller was killed without SIGTERM, or the trial ended before the time limit."""
    limit = call.deadline_ns + MAX_ANSWER_DELAY_NS + TOLERANCE_NS
    if call.crossed_close or limit > history.ended_ns:
        return True
    restart = history.find_outage(call.controller, call.sent_ns, limit)
    return restart is not None and not restart.sigterm_ns


def check_messages(history: History) -> Iterator[Violation]:
    """Check that all messages to callers can be parsed, and that each final response belongs to a request."""
    for event in history.unreadable:
        yield Violation("readable", event["t"], f"an unreadable message: {event['why']}")
    for event in history.unknown_answers:
        yield Violation("readable", event["t"], "an answer for a call that was never sent", event["call"])


def check_attempts(history: History) -> Iterator[Violation]:
    """Check that there are at most four attempts, that they never overlap, and the release pause after one
    that timed out, lost its connection or was cancelled."""
    pause_ns = Deployment().release_pause_ms * MS
    for call in history.calls.values():
        if len(call.attempts) > MAX_ATTEMPTS:
            yield Violation(
                "attempts", call.attempts[-1].sent_ns, f"had {len(call.attempts)} attempts", call.call_id
            )
        for previous, following in pairwise(call.attempts):
            if not previous.ended_ns or previous.ended_ns > following.sent_ns + TOLERANCE_NS:
                message = f"two attempts at once, at {previous.server} and {following.server}"
                yield Violation("attempts", following.sent_ns, message, call.call_id)
            elif _needs_pause(previous) and following.sent_ns - previous.ended_ns < pause_ns - TOLERANCE_NS:
                gap = (following.sent_ns - previous.ended_ns) // MS
                yield Violation(
                    "pause",
                    following.sent_ns,
                    f"only {gap} ms after an attempt with the outcome {previous.outcome}",
                    call.call_id,
                )


def _needs_pause(attempt: Attempt) -> bool:
    return attempt.outcome in RELEASE_AWAITED_OUTCOMES or (
        attempt.outcome == "release" and attempt.cause == CAUSE_TEMPORARY_FAILURE
    )


def check_single_runs(history: History) -> Iterator[Violation]:
    """Check that a call of a class that must not run twice is neither sent again nor refused, unless each of
    its attempts has proved that it never ran."""
    single_run = {c.name for c in history.plan.classes if c.repeat == SINGLE_SHOT}
    for call in history.calls.values():
        if call.class_name not in single_run:
            continue
        for attempt, following in pairwise(call.attempts):
            if not _proves_never_ran(attempt):
                message = f"sent again after an attempt at {attempt.server} that may have run"
                yield Violation("repeat", following.sent_ns, message, call.call_id)
        for answer in call.answers:
            before = [attempt for attempt in call.attempts if attempt.sent_ns < answer["t"]]
            if answer["status"] in REFUSALS and not all(map(_proves_never_ran, before)):
                yield Violation("repeat", answer["t"], "refused though it may have run", call.call_id)


def _proves_never_ran(attempt: Attempt) -> bool:
    return attempt.outcome == "release" and attempt.cause in NEVER_RAN_CAUSES


def check_callers_that_left(history: History) -> Iterator[Violation]:
    """Check that no set-up of a client is sent on much later than its client has left."""
    for server, set_ups in history.set_ups.items():
        for sent_ns, call_id in set_ups:
            left_ns = history.left_ns.get(call_id, 0)
            if left_ns and sent_ns - left_ns > CROSSING_NS + TOLERANCE_NS:
                delay_ms = (sent_ns - left_ns) // MS
                yield Violation(
                    "left", sent_ns, f"sent to {server} {delay_ms} ms after its client left", call_id
                )


def effective_ns(history: History, change: ListChange) -> int:
    """Return when a list change counts as known to its controller: on receipt, at the latest at the limit."""
    limit = _discovery_reachable_ns(history, change) + LIST_UPDATE_LIMIT_NS
    return min(limit, change.received_ns) if change.received_ns else limit


def _discovery_reachable_ns(history: History, change: ListChange) -> int:
    """Return the first time, from the change on, at which one of the controller's discovery routes works."""
    reads = [(time_ns, route) for time_ns, route in history.discovery_reads[change.controller]]
    routes = {route for _, route in reads}
    earliest = 0
    for route in routes:
        reachable_ns = change.listed_ns
        for span in sorted(history.faults[route], key=lambda span: span.start_ns):
            if span.covers(reachable_ns):
                reachable_ns = span.end_ns or history.ended_ns
        earliest = min(earliest or reachable_ns, reachable_ns)
    return earliest or change.listed_ns


def check_drain(history: History) -> Iterator[Violation]:
    """Check that no set-up reaches a server after the grace period following the list update of its drain or
    removal."""
    grace_ns = Deployment().drain_grace_ms * MS
    for change in history.changes:
        if change.state not in ("terminating", "terminated"):
            continue
        limit = effective_ns(history, change) + grace_ns + TOLERANCE_NS
        back_ns = _back_in_service_ns(history, change)
        for call in history.calls.values():
            if call.controller != change.controller:
                continue
            for attempt in call.attempts:
                if attempt.server == change.server and limit < attempt.sent_ns < back_ns:
                    delay = (attempt.sent_ns - limit) // MS
                    message = f"sent to {change.server} ({change.state}) {delay} ms after its grace period"
                    yield Violation("drain", attempt.sent_ns, message, call.call_id)


def _back_in_service_ns(history: History, change: ListChange) -> int:
    later = [
        other.listed_ns for other in history.changes
        if other.controller == change.controller and other.server == change.server
        and other.state == "in_service" and other.listed_ns > change.listed_ns
    ]  # fmt: skip
    return min(later, default=history.ended_ns or change.listed_ns + 3600 * SECOND_NS)


def check_slow_start(history: History) -> Iterator[Violation]:
    """Check that a server gets no more set-ups per window than the settings allow during its slow start.

    A tolerance for random arrivals, which grows with the square root of the allowed number, is added to it.
    """
    deployment = Deployment()
    hold_s = history.plan.classes[0].hold_ms / 1000
    max_rate = deployment.fall_multiple * deployment.start_capacity * history.plan.circuits / hold_s
    allowed = max_rate * deployment.fall_ms / 1000
    limit = allowed + (2 * math.sqrt(allowed) + 2 if allowed >= 30 else 3 * math.sqrt(allowed) + 3)
    for server, starts in history.server_starts.items():
        for start in starts:
            if start < history.started_ns:
                continue
            times = [
                time_ns
                for time_ns, _ in history.set_ups[server]
                if start <= time_ns < start + deployment.cold_ms * MS
            ]
            for first, time_ns in enumerate(times):
                count = sum(1 for other in times[first:] if other < time_ns + deployment.fall_ms * MS)
                if count > limit:
                    yield Violation("cold", time_ns, f"{server} got {count} set-ups, {limit:.0f} allowed")
                    break


def check_releases(history: History) -> Iterator[Violation]:
    """Check that an established call that ends is released toward its caller in time."""
    for call in history.calls.values():
        end_ns = _end_ns(history, call)
        if not call.served_ns or call.cancelled_ns or not end_ns or end_ns < call.served_ns:
            continue
        limit = end_ns + RELEASE_LIMIT_NS
        restart = history.find_restart(call.controller, call.served_ns, limit)
        if restart is not None:
            limit = max(limit, (restart.ready_ns or history.ended_ns) + RELEASE_LIMIT_NS)
            if _was_unreachable(history, call, restart.killed_ns, limit):
                continue  # a new controller knows no earlier calls, and the server could not report this one
        for received_ns in call.release_times:
            if restart is None or received_ns > restart.ready_ns > 0:
                limit = min(limit, max(received_ns, call.served_ns) + RELEASE_FORWARD_NS)
        bye_ns = next((time_ns for time_ns in call.bye_times), 0)
        if call.hung_up_ns and call.hung_up_ns < limit:
            continue
        if limit + TOLERANCE_NS < history.ended_ns and not (bye_ns and bye_ns <= limit + TOLERANCE_NS):
            detail = f"released {(bye_ns - end_ns) // MS} ms later" if bye_ns else "its caller got no release"
            yield Violation("release", limit, f"ended at {call.answered_by}: {detail}", call.call_id)


def _was_unreachable(history: History, call: Call, start_ns: int, end_ns: int) -> bool:
    """Return whether the server of a call ended before the end of a span, or its route had a fault in it."""
    ended = any(
        time_ns < end_ns for time_ns in history.server_ends[call.answered_by] if time_ns > call.served_ns
    )
    spans = history.faults[f"{call.controller}.{call.answered_by}"]
    return ended or any(span.overlaps(start_ns, end_ns) for span in spans)


def _end_ns(history: History, call: Call) -> int:
    """Return when an established call ended, by its server's release or with its server; 0: it did not."""
    server_ends = [time_ns for time_ns in history.server_ends[call.answered_by] if time_ns > call.served_ns]
    return min([time_ns for time_ns in (call.server_ended_ns, *server_ends) if time_ns], default=0)


def check_established_calls(history: History) -> Iterator[Violation]:
    """Check that an established call that has not ended is released only if its server was unreachable for
    long or was removed from the list."""
    for call in history.calls.values():
        if not call.served_ns or not call.bye_times or call.hung_up_ns:
            continue
        end_ns, bye_ns = _end_ns(history, call), call.bye_times[0]
        if (
            (end_ns and end_ns <= bye_ns)
            or _had_long_outage(history, call, bye_ns)
            or _was_removed(history, call, bye_ns)
        ):
            continue
        yield Violation(
            "cut", bye_ns, f"released while it was established at {call.answered_by}", call.call_id
        )


def _was_removed(history: History, call: Call, time_ns: int) -> bool:
    """Return whether the server that got the set-up was removed; a new process at its address answered."""
    sent_to = call.attempts[-1].route.partition(".")[2] if call.attempts else ""
    return any(
        (change.controller, change.server, change.state) == (call.controller, sent_to, "terminated")
        and change.listed_ns <= time_ns
        for change in history.changes
    )


def _had_long_outage(history: History, call: Call, time_ns: int) -> bool:
    spans = history.faults[f"{call.controller}.{call.answered_by}"]
    return any(
        (min(span.end_ns or time_ns, time_ns) - span.start_ns) >= SERVER_LOST_NS and span.start_ns < time_ns
        for span in spans
    )


def check_held_calls(history: History) -> Iterator[Violation]:
    """Check that a reachable server holds no call that has ended for its caller."""
    for call_id, server in history.held_at_end.items():
        call = history.calls.get(call_id)
        if call is None:
            continue
        end_ns = call.hung_up_ns or (call.bye_times[0] if call.bye_times else 0) or _set_up_ended_ns(call)
        settle_start_ns = history.ended_ns - SETTLE_NS
        route = f"{call.controller}.{server}"
        disturbed = any(
            span.overlaps(settle_start_ns - SETTLE_NS, history.ended_ns) for span in history.faults[route]
        )
        restart = history.find_restart(call.controller, call.sent_ns, history.ended_ns)
        if end_ns and end_ns < settle_start_ns and not disturbed and restart is None:
            yield Violation("standing", end_ns, f"still held by {server}", call.call_id)


def _set_up_ended_ns(call: Call) -> int:
    """Return when a set-up failed or its caller cancelled it; 0: neither."""
    if call.served_ns:
        return 0
    return call.answers[0]["t"] if call.answers else call.cancelled_ns


def check_controllers(history: History) -> Iterator[Violation]:
    """Check that no controller crashes, and that each is ready in time after a restart and keeps to the
    limits of memory and descriptors."""
    for event in history.crashes:
        yield Violation("crash", event["t"], f"{event['controller']} exited with status {event['code']}")
    for controller, restarts in history.restarts.items():
        for restart in restarts:
            duration = (restart.ready_ns or history.ended_ns) - restart.killed_ns
            if duration > READY_LIMIT_NS + TOLERANCE_NS:
                yield Violation(
                    "ready", restart.killed_ns, f"{controller} was not ready {duration // MS} ms later"
                )
    for event in history.usage:
        if event["memory_mb"] > MEMORY_LIMIT_MB:
            yield Violation("memory", event["t"], f"{event['controller']} used {event['memory_mb']:.0f} MB")
        if event["descriptors"] > history.plan.sockets:
            yield Violation(
                "descriptors",
                event["t"],
                f"{event['controller']} had {event['descriptors']} descriptors open",
            )


def check_bad_clients(history: History) -> Iterator[Violation]:
    """Check that a client without a valid call gets an answer, an error or a close, and is never served."""
    for event in history.bad_clients:
        restart = history.find_restart(event["controller"], event["t"] - 4 * SECOND_NS, event["t"])
        if not event["answered"] and restart is None:
            yield Violation(
                "rude", event["t"], f"bad client '{event['how']}' got neither an answer nor a close"
            )
    for event in history.bad_clients_served:
        yield Violation("rude", event["t"], f"bad client '{event['how']}' was served")


def _to_unix_ns(history: History, seconds: float) -> int:
    return history.started_ns + int(seconds * SECOND_NS)


def undisturbed_calls(history: History) -> list[Call]:
    """Return the calls without a fault, list change of their server or controller restart around them."""
    faults = [
        (fault.target, _to_unix_ns(history, fault.at_s), _to_unix_ns(history, fault.at_s + fault.seconds))
        for fault in history.plan.faults
    ]
    max_deadline_ns = max(call_class.deadline_ms for call_class in history.plan.classes) * MS
    undisturbed = []
    for call in history.calls.values():
        start_ns, end_ns = call.sent_ns - UNDISTURBED_NS - max_deadline_ns, call.deadline_ns + UNDISTURBED_NS
        server = f"s{call.exchange}"
        affected = any(
            target in (server, call.controller) and fault_start < end_ns and fault_end > start_ns
            for target, fault_start, fault_end in faults
        )
        if not call.sent_ns or call.cancelled_ns or affected:
            continue
        changed = any(
            change.server.startswith(server) and change.listed_ns < end_ns for change in history.changes
        )
        ended = any(time_ns < end_ns for time_ns in history.server_ends[server])
        if not (changed or ended or history.find_restart(call.controller, start_ns, end_ns)):
            undisturbed.append(call)
    return undisturbed


def check_served_share(history: History) -> Iterator[Violation]:
    """Check that at least the required share of the undisturbed calls is served."""
    calls = undisturbed_calls(history)
    served = sum(1 for call in calls if call.served_ns)
    if len(calls) >= 20 and served < MIN_SERVED_SHARE * len(calls):
        yield Violation("share", history.ended_ns, f"{served} of {len(calls)} undisturbed calls were served")


CHECKS: tuple[Check, ...] = (
    check_answers, check_messages, check_attempts, check_single_runs, check_callers_that_left,
    check_drain, check_slow_start, check_releases,
    check_established_calls, check_held_calls, check_controllers, check_bad_clients, check_served_share,
)  # fmt: skip


def check_history(history: History) -> list[Violation]:
    """Return all violations of a trial, ordered by time."""
    violations = [violation for check in CHECKS for violation in check(history)]
    return sorted(violations, key=lambda violation: violation.at_ns)
