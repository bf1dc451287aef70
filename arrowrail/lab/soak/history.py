"""The history of a trial: what happened to each call, server and controller.

Built only from the event logs of the callers, the servers, the proxy and the runner, not from the counters or
the log of the controller under test.  All times are Unix times in ns; a time of 0 means "never", where
nothing else is said.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from arrowrail.lab.event_log import read_events
from arrowrail.lab.soak.plan import Plan, controller_names

MS = 1_000_000
SECOND_NS = 1_000 * MS
Event = dict[str, Any]  # one line of an event log


@dataclass(slots=True)
class Attempt:
    """One attempt: a set-up that the controller sent to a server, and its outcome."""

    server: str
    route: str
    sent_ns: int
    connection: int
    ended_ns: int = 0
    outcome: str = ""  # answer, release (by the server), given_up (by the controller) or broken
    cause: int = 0


@dataclass(slots=True)
class Call:
    """One call as its caller, the proxy and its server recorded it."""

    call_id: str
    controller: str
    class_name: str
    patience_ms: int
    exchange: int
    sent_ns: int = 0
    connection: int = 0  # of its caller
    answers: list[Event] = field(default_factory=list)
    cancelled_ns: int = 0  # the caller sent CANCEL
    crossed_close: bool = False  # the set-up and the close of its connection crossed
    lost_ns: int = 0  # the connection of the caller was closed before the answer
    lost_reason: str = ""
    bye_times: list[int] = field(default_factory=list)  # the controller sent BYE
    hung_up_ns: int = 0  # the caller sent BYE
    attempts: list[Attempt] = field(default_factory=list)
    answered_by: str = ""  # the server that the answer names
    server_ended_ns: int = 0  # that server ended the call
    release_times: list[int] = field(default_factory=list)  # the controller received the server's release
    released_ns: int = 0  # the server received the controller's release

    @property
    def deadline_ns(self) -> int:
        """The time until which the caller waits for an answer."""
        return self.sent_ns + self.patience_ms * MS

    @property
    def served_ns(self) -> int:
        """The time of the answer 200."""
        return next((answer["t"] for answer in self.answers if answer["status"] == 200), 0)


@dataclass(slots=True)
class Span:
    """A span of time; ``end_ns`` 0: to the end of the trial."""

    start_ns: int
    end_ns: int = 0

    def covers(self, time_ns: int) -> bool:
        return self.start_ns <= time_ns and (not self.end_ns or time_ns < self.end_ns)

    def overlaps(self, start_ns: int, end_ns: int) -> bool:
        return self.start_ns < end_ns and (not self.end_ns or self.end_ns > start_ns)


@dataclass(slots=True)
class Restart:
    """A restart of a controller."""

    sigterm_ns: int  # 0: it was killed without SIGTERM
    killed_ns: int
    ready_ns: int = 0  # the callers found it ready again


@dataclass(slots=True)
class ListChange:
    """A change of a server's state in the discovery service of one controller."""

    controller: str
    server: str
    state: str
    listed_ns: int
    offset: int
    received_ns: int = 0  # the controller received it


@dataclass(slots=True)
class History:
    """Everything that the stand-in programs and the runner recorded in one trial."""

    plan: Plan
    started_ns: int = 0
    ended_ns: int = 0
    calls: dict[str, Call] = field(default_factory=dict)
    faults: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))  # by route
    # By controller: the time and the route of each request to its discovery service.
    discovery_reads: dict[str, list[tuple[int, str]]] = field(default_factory=lambda: defaultdict(list))
    server_ends: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # by server
    server_starts: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))  # by server
    restarts: dict[str, list[Restart]] = field(default_factory=lambda: defaultdict(list))  # by controller
    changes: list[ListChange] = field(default_factory=list)
    set_ups: dict[str, list[tuple[int, str]]] = field(default_factory=lambda: defaultdict(list))  # by server
    crashes: list[Event] = field(default_factory=list)
    usage: list[Event] = field(default_factory=list)
    unreadable: list[Event] = field(default_factory=list)
    bad_clients: list[Event] = field(default_factory=list)
    bad_clients_served: list[Event] = field(default_factory=list)
    unknown_answers: list[Event] = field(default_factory=list)
    left_ns: dict[str, int] = field(default_factory=dict)  # when the clients of early closes left, by call id
    held_at_end: dict[str, str] = field(default_factory=dict)  # call id to the running server that holds it
    max_stand_in_delay_ms: int = 0  # the longest delay of the event loop of a stand-in program

    def reachable(self, route: str, time_ns: int) -> bool:
        """Return whether no fault was injected on a route at that time."""
        return not any(span.covers(time_ns) for span in self.faults[route])

    def find_outage(self, controller: str, start_ns: int, end_ns: int) -> Restart | None:
        """Return the restart whose time from the kill to readiness overlaps a span of time."""
        for restart in self.restarts[controller]:
            if restart.killed_ns < end_ns and (not restart.ready_ns or restart.ready_ns > start_ns):
                return restart
        return None

    def find_restart(self, controller: str, start_ns: int, end_ns: int) -> Restart | None:
        """Return the restart whose time from SIGTERM to readiness overlaps a span of time."""
        for restart in self.restarts[controller]:
            if (restart.sigterm_ns or restart.killed_ns) < end_ns and (
                not restart.ready_ns or restart.ready_ns > start_ns
            ):
                return restart
        return None


def load_history(plan: Plan, folder: Path) -> History:
    """Build the history from the event logs in the folder of a trial."""
    history = History(plan)
    for event in read_events(folder / "player.jsonl"):
        _apply_runner_event(history, event)
    replacements = _address_replacements(folder)
    for name in controller_names(plan.controllers):
        for event in read_events(folder / f"{name}.callers.jsonl"):
            _apply_caller_event(history, name, event)
    for event in read_events(folder / "proxy.jsonl"):
        _apply_proxy_event(history, replacements, event)
    for path in sorted(folder.glob("s*.jsonl")):
        _apply_server_events(history, path.stem, list(read_events(path)))
    for path in folder.glob("*.jsonl"):
        delays = [event["ms"] for event in read_events(path) if event["what"] == "late"]
        history.max_stand_in_delay_ms = max([history.max_stand_in_delay_ms, *delays])
    return history


def _address_replacements(folder: Path) -> dict[str, list[tuple[int, str]]]:
    """Return the servers that took over the address of another one, as times and new servers by route."""
    replacements: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for event in read_events(folder / "player.jsonl"):
        if event["what"] == "address_taken":
            replacements[event["route"]].append((event["t"], event["server"]))
    return replacements


def _apply_runner_event(history: History, event: Event) -> None:
    match event["what"]:
        case "began":
            history.started_ns = event["t"]
        case "ended":
            history.ended_ns = event["t"]
        case "server_ended":
            history.server_ends[event["server"]].append(event["t"])
        case "server_started":
            history.server_starts[event["server"]].append(event["t"])
        case "controller_told_to_end":
            history.restarts[event["controller"]].append(
                Restart(event["t"], event["t"] + int(event["kill_s"] * SECOND_NS))
            )
        case "controller_killed":
            restarts = history.restarts[event["controller"]]
            if (  # this kill ends the shutdown that the last SIGTERM began
                restarts
                and restarts[-1].sigterm_ns
                and not restarts[-1].ready_ns
                and event["t"] - restarts[-1].sigterm_ns < 5 * SECOND_NS
            ):
                restarts[-1].killed_ns = event["t"]
            else:
                restarts.append(Restart(0, event["t"]))
        case "controller_crashed":
            history.crashes.append(event)
        case "usage":
            history.usage.append(event)
        case "listed":
            history.changes.append(
                ListChange(event["controller"], event["server"], event["state"], event["t"], event["offset"])
            )


def _apply_caller_event(history: History, controller: str, event: Event) -> None:
    calls = history.calls
    call = calls.get(event.get("call", ""))
    match event["what"]:
        case "placed":
            calls[event["call"]] = Call(
                event["call"], controller, event["kind"], event["patience_ms"], event["exchange"]
            )
        case "sent" if call is not None:
            call.sent_ns, call.connection = event["t"], event["line"]
        case "answer" if call is not None:
            call.answers.append(event)
            if event["status"] == 200:
                call.answered_by = event["made_by"].removeprefix("o=").partition(" ")[0]
        case "answer":
            history.unknown_answers.append(event)
        case "given_up" if call is not None:
            call.cancelled_ns = event["t"]
        case "hung_up" if call is not None:
            call.hung_up_ns = event["t"]
        case "bye" if call is not None:
            call.bye_times.append(event["t"])
        case "lost":
            for call_id in event["calls"]:
                calls[call_id].lost_ns, calls[call_id].lost_reason = event["t"], event["why"]
            for call_id in event["crossed"]:
                calls[call_id].crossed_close = True
        case "left":
            history.left_ns |= dict.fromkeys(event["calls"], event["t"])
        case "ready":
            for restart in history.restarts[controller]:
                if not restart.ready_ns and restart.killed_ns < event["t"]:
                    restart.ready_ns = event["t"]
        case "unreadable":
            history.unreadable.append(event)
        case "rude":
            history.bad_clients.append(event | {"controller": controller})
        case "rude_served":
            history.bad_clients_served.append(event)


def _apply_proxy_event(
    history: History, replacements: dict[str, list[tuple[int, str]]], event: Event
) -> None:
    route = event.get("route", "")
    call = history.calls.get(event.get("call", ""))
    match event["what"]:
        case "fault":
            _apply_network_fault(history, route, event)
        case "set_up" if event["way"] == "out":
            server = _server_behind(replacements, route, event["t"])
            history.set_ups[server].append((event["t"], event["call"]))
            if call is not None:
                call.attempts.append(Attempt(server, route, event["t"], event["connection"]))
        case "answer" if event["way"] == "in" and call is not None:
            _end_attempt(call, route, event, "answer")
        case "release" if event["way"] == "in" and call is not None:
            own_route = route.partition(".")[0] == call.controller
            if not _end_attempt(call, route, event, "release") and own_route and call.answered_by:
                call.release_times.append(event["t"])
        case "release" if event["way"] == "out" and call is not None:
            _end_attempt(call, route, event, "given_up")
        case "connection_ended":
            for other in history.calls.values():
                for attempt in other.attempts:
                    if attempt.connection == event["connection"] and not attempt.ended_ns:
                        attempt.ended_ns, attempt.outcome = event["t"], "broken"
        case "discovery_event":
            name = route.partition(".")[0]
            for change in history.changes:
                if (change.controller, change.offset) == (name, event["offset"]) and not change.received_ns:
                    change.received_ns = event["t"]
        case "discovery_read":
            history.discovery_reads[route.partition(".")[0]].append((event["t"], route))


def _apply_network_fault(history: History, route: str, event: Event) -> None:
    if event["do"] == "reset":
        return
    spans = history.faults[route]
    active = bool(spans) and not spans[-1].end_ns
    if event["do"] == "pass" and active:
        spans[-1].end_ns = event["t"]
    elif event["do"] != "pass" and not active:
        spans.append(Span(event["t"]))  # consecutive faults count as one outage


def _server_behind(replacements: dict[str, list[tuple[int, str]]], route: str, time_ns: int) -> str:
    server = route.partition(".")[2]
    for start_ns, name in replacements.get(route, ()):
        if time_ns >= start_ns:
            server = name
    return server


def _end_attempt(call: Call, route: str, event: Event, outcome: str) -> bool:
    """Record the end of the open attempt on a route; ``False`` if there is none."""
    attempt = next((a for a in reversed(call.attempts) if a.route == route and not a.ended_ns), None)
    if attempt is None:
        return False
    attempt.ended_ns, attempt.outcome, attempt.cause = event["t"], outcome, event["cause"]
    return True


def _apply_server_events(history: History, name: str, events: list[Event]) -> None:
    held: dict[str, int] = {}
    for event in events:
        call = history.calls.get(event.get("call", ""))
        match event["what"]:
            case "started":
                held = {}
            case "answered":
                held[event["call"]] = event["t"]
            case "over":
                held.pop(event["call"], None)
                if call is not None and call.answered_by == name:
                    call.server_ended_ns = event["t"]
            case "released":
                held.pop(event["call"], None)
                if call is not None and call.answered_by == name and event["stood"]:
                    call.released_ns = event["t"]
    ends, starts = history.server_ends[name], history.server_starts[name]
    if not ends or (starts and starts[-1] > ends[-1]):
        history.held_at_end |= dict.fromkeys(held, name)
