"""What the parties of a trial wrote, put together: one history a call, one of each server and each
controller.

Built from the ledgers of callers, servers, discovery, the proxy and the player alone; nothing here comes from
the program's own counters or log.  All times are Unix times in ns.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from arrowrail.lab.event_log import read_events
from arrowrail.lab.soak.plan import Plan, controller_names

MS = 1_000_000
S = 1_000 * MS
Line = dict[str, Any]


@dataclass(slots=True)
class Attempt:
    """One set-up as it left the controller, and how it ended for it."""

    server: str
    route: str
    sent: int
    connection: int
    ended: int = 0  # 0: it never did
    how: str = ""  # answer, release (by the server), given_up (by the controller) or broken
    cause: int = 0


@dataclass(slots=True)
class Call:
    """One call, from all sides."""

    call: str
    controller: str
    kind: str
    patience_ms: int
    exchange: int
    sent_ns: int = 0  # 0: it never left its caller
    line: int = 0
    answers: list[Line] = field(default_factory=list)
    given_up: int = 0
    crossed: bool = False  # it crossed the close of its connection
    lost: int = 0  # its connection was closed before the answer
    lost_why: str = ""
    bye_times: list[int] = field(default_factory=list)
    hung_up: int = 0
    attempts: list[Attempt] = field(default_factory=list)
    stood: str = ""  # the server that its answer names
    over: int = 0  # when that server ended it
    handed: list[int] = field(default_factory=list)  # when its controller was handed that release
    released: int = 0  # when that server was released by the controller

    @property
    def due(self) -> int:
        """When its caller stops waiting."""
        return self.sent_ns + self.patience_ms * MS

    @property
    def served_ns(self) -> int:
        """When it was answered 'served'; 0: it was not."""
        return next((a["t"] for a in self.answers if a["status"] == 200), 0)


@dataclass(slots=True)
class Span:
    """A time during which something was so; ``until`` 0: to the end."""

    since: int
    until: int = 0

    def covers(self, at: int) -> bool:
        return self.since <= at and (not self.until or at < self.until)

    def overlaps(self, since: int, until: int) -> bool:
        return self.since < until and (not self.until or self.until > since)


@dataclass(slots=True)
class Restart:
    """A controller that was ended, and is back when its callers find it ready (0: never)."""

    told: int  # SIGTERM; 0: it was killed without one
    killed: int
    ready: int = 0


@dataclass(slots=True)
class Change:
    """News of a server at one controller's discovery, and when the controller was handed it (0: never)."""

    controller: str
    server: str
    state: str
    at: int
    offset: int
    handed: int = 0


@dataclass(slots=True)
class History:
    """All that was seen in one trial."""

    plan: Plan
    started_ns: int = 0
    ended_ns: int = 0
    calls: dict[str, Call] = field(default_factory=dict)
    faults: dict[str, list[Span]] = field(default_factory=lambda: defaultdict(list))  # by route
    discovery_in_use: dict[str, list[tuple[int, str]]] = field(default_factory=lambda: defaultdict(list))
    server_ends: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    server_starts: dict[str, list[int]] = field(default_factory=lambda: defaultdict(list))
    restarts: dict[str, list[Restart]] = field(default_factory=lambda: defaultdict(list))
    changes: list[Change] = field(default_factory=list)
    set_ups: dict[str, list[tuple[int, str]]] = field(default_factory=lambda: defaultdict(list))  # by server
    crashes: list[Line] = field(default_factory=list)
    usage: list[Line] = field(default_factory=list)
    unreadable: list[Line] = field(default_factory=list)
    rude: list[Line] = field(default_factory=list)
    rude_served: list[Line] = field(default_factory=list)
    unknown_answers: list[Line] = field(default_factory=list)
    standing_at_end: dict[str, str] = field(default_factory=dict)  # calls that a living server still holds
    max_stand_in_delay_ms: int = 0  # the longest delay that a stand-in measured of its own

    def reachable(self, route: str, at: int) -> bool:
        """Whether the proxy played no fault on a route at that time."""
        return not any(span.covers(at) for span in self.faults[route])

    def restarted(self, controller: str, since: int, until: int) -> Restart | None:
        """The restart, if there was one, that had the controller out of service in a span of time."""
        for restart in self.restarts[controller]:
            if restart.killed < until and (not restart.ready or restart.ready > since):
                return restart
        return None

    def told_to_end(self, controller: str, since: int, until: int) -> Restart | None:
        """The restart whose span from SIGTERM to readiness touches a span of time."""
        for restart in self.restarts[controller]:
            if (restart.told or restart.killed) < until and (not restart.ready or restart.ready > since):
                return restart
        return None


def load_history(plan: Plan, folder: Path) -> History:
    """Put the ledgers of a trial together."""
    history = History(plan)
    for line in read_events(folder / "player.jsonl"):
        _player(history, line)
    routes = _server_routes(folder)
    for name in controller_names(plan.controllers):
        for line in read_events(folder / f"{name}.callers.jsonl"):
            _callers(history, name, line)
    for line in read_events(folder / "proxy.jsonl"):
        _proxy(history, routes, line)
    for path in sorted(folder.glob("s*.jsonl")):
        _server(history, path.stem, list(read_events(path)))
    for path in folder.glob("*.jsonl"):
        late = [line["ms"] for line in read_events(path) if line["what"] == "late"]
        history.max_stand_in_delay_ms = max([history.max_stand_in_delay_ms, *late])
    return history


def _server_routes(folder: Path) -> dict[str, list[tuple[int, str]]]:
    """By route, which server stood behind it from when on, where that changed."""
    taken: dict[str, list[tuple[int, str]]] = defaultdict(list)
    for line in read_events(folder / "player.jsonl"):
        if line["what"] == "address_taken":
            taken[line["route"]].append((line["t"], line["server"]))
    return taken


def _player(history: History, line: Line) -> None:
    match line["what"]:
        case "began":
            history.started_ns = line["t"]
        case "ended":
            history.ended_ns = line["t"]
        case "server_ended":
            history.server_ends[line["server"]].append(line["t"])
        case "server_started":
            history.server_starts[line["server"]].append(line["t"])
        case "controller_told_to_end":
            history.restarts[line["controller"]].append(
                Restart(line["t"], line["t"] + int(line["kill_s"] * S))
            )
        case "controller_killed":
            restarts = history.restarts[line["controller"]]
            if (
                restarts
                and restarts[-1].told
                and not restarts[-1].ready
                and line["t"] - restarts[-1].told < 5 * S
            ):
                restarts[-1].killed = line["t"]
            else:
                restarts.append(Restart(0, line["t"]))
        case "controller_crashed":
            history.crashes.append(line)
        case "usage":
            history.usage.append(line)
        case "listed":
            history.changes.append(
                Change(line["controller"], line["server"], line["state"], line["t"], line["offset"])
            )


def _callers(history: History, controller: str, line: Line) -> None:
    calls = history.calls
    call = calls.get(line.get("call", ""))
    match line["what"]:
        case "placed":
            calls[line["call"]] = Call(
                line["call"], controller, line["kind"], line["patience_ms"], line["exchange"]
            )
        case "sent" if call is not None:
            call.sent_ns, call.line = line["t"], line["line"]
        case "answer" if call is not None:
            call.answers.append(line)
            if line["status"] == 200:
                call.stood = line["made_by"].removeprefix("o=").partition(" ")[0]
        case "answer":
            history.unknown_answers.append(line)
        case "given_up" if call is not None:
            call.given_up = line["t"]
        case "hung_up" if call is not None:
            call.hung_up = line["t"]
        case "bye" if call is not None:
            call.bye_times.append(line["t"])
        case "lost":
            for name in line["calls"]:
                calls[name].lost, calls[name].lost_why = line["t"], line["why"]
            for name in line["crossed"]:
                calls[name].crossed = True
        case "ready":
            for restart in history.restarts[controller]:
                if not restart.ready and restart.killed < line["t"]:
                    restart.ready = line["t"]
        case "unreadable":
            history.unreadable.append(line)
        case "rude":
            history.rude.append(line | {"controller": controller})
        case "rude_served":
            history.rude_served.append(line)


def _proxy(history: History, routes: dict[str, list[tuple[int, str]]], line: Line) -> None:
    route = line.get("route", "")
    call = history.calls.get(line.get("call", ""))
    match line["what"]:
        case "fault":
            _fault(history, route, line)
        case "set_up" if line["way"] == "out":
            server = _server_at(routes, route, line["t"])
            history.set_ups[server].append((line["t"], line["call"]))
            if call is not None:
                call.attempts.append(Attempt(server, route, line["t"], line["connection"]))
        case "answer" if line["way"] == "in" and call is not None:
            _end_attempt(call, route, line, "answer")
        case "release" if line["way"] == "in" and call is not None:
            own = route.partition(".")[0] == call.controller
            if not _end_attempt(call, route, line, "release") and own and call.stood:
                call.handed.append(line["t"])
        case "release" if line["way"] == "out" and call is not None:
            _end_attempt(call, route, line, "given_up")
        case "connection_ended":
            for other in history.calls.values():
                for attempt in other.attempts:
                    if attempt.connection == line["connection"] and not attempt.ended:
                        attempt.ended, attempt.how = line["t"], "broken"
        case "discovery_event":
            controller = route.partition(".")[0]
            for change in history.changes:
                if (change.controller, change.offset) == (controller, line["offset"]) and not change.handed:
                    change.handed = line["t"]
        case "discovery_read":
            history.discovery_in_use[route.partition(".")[0]].append((line["t"], route))


def _fault(history: History, route: str, line: Line) -> None:
    if line["do"] == "reset":
        return
    spans = history.faults[route]
    lasting = bool(spans) and not spans[-1].until
    if line["do"] == "pass" and lasting:
        spans[-1].until = line["t"]
    elif line["do"] != "pass" and not lasting:
        spans.append(Span(line["t"]))  # one fault that follows another is one time out of reach


def _server_at(routes: dict[str, list[tuple[int, str]]], route: str, at: int) -> str:
    server = route.partition(".")[2]
    for since, name in routes.get(route, ()):
        if at >= since:
            server = name
    return server


def _end_attempt(call: Call, route: str, line: Line, how: str) -> bool:
    attempt = next((a for a in reversed(call.attempts) if a.route == route and not a.ended), None)
    if attempt is None:
        return False
    attempt.ended, attempt.how, attempt.cause = line["t"], how, line["cause"]
    return True


def _server(history: History, name: str, lines: list[Line]) -> None:
    held: dict[str, int] = {}
    for line in lines:
        call = history.calls.get(line.get("call", ""))
        match line["what"]:
            case "started":
                held = {}
            case "answered":
                held[line["call"]] = line["t"]
            case "over":
                held.pop(line["call"], None)
                if call is not None and call.stood == name:
                    call.over = line["t"]
            case "released":
                held.pop(line["call"], None)
                if call is not None and call.stood == name and line["stood"]:
                    call.released = line["t"]
    ends, starts = history.server_ends[name], history.server_starts[name]
    if not ends or (starts and starts[-1] > ends[-1]):
        history.standing_at_end |= dict.fromkeys(held, name)
