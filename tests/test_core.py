"""The core's own duties, with a module that says whatever a test tells it to."""

from __future__ import annotations

from typing import Any

import pytest

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS, FinalResponse, ReleaseOutcome, Request, SetUpParams
from arrowrail.state.endpoints import Endpoint, EndpointEntry
from arrowrail.state.timers import TimerQueue
from tests.live import settings
from trackhatch import interface
from trackhatch.simhost import read_settings

CALL = "00000000000000a1"


class Scripted:
    """In the module's place: hands out the actions put into it, and keeps the events."""

    def __init__(self) -> None:
        self.next: list[interface.Action] = []
        self.seen: list[interface.Event] = []
        self.broken = False

    def step(self, _now: int, events: list[interface.Event]) -> list[interface.Action]:
        if self.broken:
            raise RuntimeError("a fault in the module")
        self.seen += events
        actions, self.next = self.next, []
        return actions


class Recorder:
    """Front and back in one: what the core told them, in order."""

    connections = 0

    def __init__(self) -> None:
        self.said: list[tuple[Any, ...]] = []

    def respond(self, _request: Request, answer: FinalResponse) -> None:
        self.said.append(("answer", answer.result))

    def release(self, *what: Any) -> None:
        self.said.append(("release", what[-1]))

    def release_unknown(self, call: str, _cause: int) -> None:
        self.said.append(("unknown", call))

    def flushed(self) -> bool:
        return True

    def endpoint_changed(self, desk: Endpoint) -> None:
        self.said.append(("changed", desk.endpoint_id, desk.entry.state))

    def set_up(self, desk: Endpoint, _offer: SetUpParams, wait_ns: int) -> None:
        self.said.append(("set_up", desk.endpoint_id, wait_ns))

    def cancel_set_up(self, desk: Endpoint, _call: str) -> None:
        self.said.append(("give_up", desk.endpoint_id))


class Bench:
    def __init__(self, **offer: Any) -> None:
        self.core = Core(read_settings(settings()), 1, TimerQueue(1))
        self.module, self.out = Scripted(), Recorder()
        self.core.decision_module = self.module  # type: ignore[assignment]
        self.core.backends["binary"] = self.out
        self.core.frontends.append(self.out)
        self.lines = [EndpointEntry(f"d{n}", "a:1", "z", n, "in_service", 0) for n in range(1, 7)]
        self.core.update_endpoints("bus", True, self.lines)
        self.out.said.clear()
        self.core.submit(self.out, 0, SetUpParams(CALL, "check", "ab", 0xAB, 1, 1, 9_000 * MS, b"", **offer))

    def act(self, *actions: interface.Action, at_ms: int = 0) -> list[tuple[Any, ...]]:
        """Run a turn in which the module answers with these; returns what the core said in it."""
        if at_ms:
            self.core.timers.now = at_ms * MS
            self.core.timers.run_due()
        self.module.next = list(actions)
        self.core.events.append(interface.TimerExpired("turn"))
        self.core.process_events()
        said, self.out.said = self.out.said, []
        return said

    def ended(self) -> list[tuple[str, bool]]:
        """Outcomes that the module would be told next, and whether the call was over."""
        return [(e.outcome, e.call_ended) for e in self.core.events if isinstance(e, interface.AttemptEnded)]

    def lose(self, office: int, outcome: str) -> None:
        self.core.attempt_failed(self.core.registry.endpoints[office], CALL, outcome)


def to(office: int, time_out_ms: int = 0) -> interface.SendSetUp:
    return interface.SendSetUp(CALL, office, time_out_ms * MS)


def test_two_at_once_are_never_out() -> None:
    bench = Bench()
    assert [s[0] for s in bench.act(to(1), to(2))] == ["set_up"]
    assert bench.ended() == [("not_sent", False)] and bench.core.internal_errors == 1


def test_a_fifth_attempt_is_kept_back() -> None:
    bench = Bench()
    for office in range(1, 5):
        assert bench.act(to(office))
        bench.lose(office, "no_connection")
    assert bench.act(to(5)) == [] and bench.core.internal_errors == 1


@pytest.mark.parametrize("outcome", ["connection_lost", "no_answer", "called_off"])
def test_the_release_pause_holds_after_what_may_still_run(outcome: str) -> None:
    bench = Bench()
    bench.act(to(1))
    bench.lose(1, outcome)
    assert bench.act(to(2), at_ms=299) == [] and bench.core.internal_errors == 1
    assert bench.act(to(2), at_ms=305)


def test_the_release_pause_counts_from_the_end_of_a_long_turn() -> None:
    bench = Bench()
    bench.core.timers = TimerQueue(1, lambda: 90 * MS)  # what the clock says while the turn is under way
    bench.act(to(1))
    bench.lose(1, "no_answer")
    assert bench.act(to(2), at_ms=385) == [] and bench.core.internal_errors == 1
    assert bench.act(to(2), at_ms=395)


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_nothing_goes_to_a_draining_exchange_past_the_grace(state: str) -> None:
    bench = Bench()
    bench.core.update_endpoints("bus", False, [EndpointEntry("d1", "a:1", "z", 1, state, 0)])
    bench.out.said.clear()
    assert bench.act(to(1), at_ms=502) == [] and bench.core.internal_errors == 1
    assert bench.act(to(2))


@pytest.mark.parametrize(
    ("offer", "office"), [({"in_transit": True}, 2), ({}, 99), ({"in_transit": True}, 99)]
)
def test_no_set_up_goes_where_the_call_may_not(offer: dict[str, Any], office: int) -> None:
    bench = Bench(**offer)
    assert bench.act(to(office)) == [] and bench.core.internal_errors == 1


def test_one_final_answer_whatever_the_module_says_twice() -> None:
    bench = Bench()
    bench.act(to(1))
    assert bench.act(interface.RefuseCall(CALL, 0), interface.FailCall(CALL), to(2)) == [
        ("give_up", 1),
        ("answer", "refused"),
    ]
    assert bench.core.unanswered == 0 and not bench.core.requests
    desk = bench.core.registry.endpoints[1]
    bench.core.endpoint_answered(desk, CALL, b"late")  # released, not passed on
    bench.core.endpoint_released(desk, CALL, ReleaseOutcome("server_error"), 16)
    assert bench.act() == [("release", 16)]


def test_a_set_up_gets_its_own_time_out_and_the_deadline_ends_all() -> None:
    bench = Bench()
    assert bench.act(to(1, 100)) == [("set_up", 1, 100 * MS)]
    assert bench.act(at_ms=150) == [("give_up", 1)]
    assert ("no_answer", False) in bench.ended() or bench.module.seen
    bench.act(to(2), at_ms=1000)
    assert bench.act(interface.FailCall(CALL), at_ms=9_001) == [("give_up", 2), ("answer", "failed")]


def test_a_module_that_fails_or_forgets_leaves_no_call_without_an_answer() -> None:
    bench = Bench()
    bench.module.broken = True
    assert bench.act() == [] and bench.core.unanswered == 1
    bench.act(at_ms=9_001)
    assert bench.act(at_ms=9_012) == [("answer", "failed")] and not bench.core.requests


def test_a_fault_in_a_back_costs_no_other_call_its_action(monkeypatch: pytest.MonkeyPatch) -> None:
    bench = Bench()
    other = "00000000000000b2"
    bench.core.submit(bench.out, 0, SetUpParams(other, "check", "ab", 0xAB, 1, 1, 9_000 * MS, b""))

    def fails(*_: Any) -> None:
        raise RuntimeError("a fault in the back")

    monkeypatch.setattr(bench.out, "set_up", fails)
    assert (
        bench.act(to(1), interface.RefuseCall(other, 0)) == [("answer", "refused")]
        and bench.core.internal_errors == 1
    )
    bench.act(at_ms=9_001)
    assert ("answer", "failed") in bench.act(at_ms=9_012) and not bench.core.requests


def test_a_call_taken_before_a_restart_is_released_to_its_caller_once() -> None:
    bench = Bench()
    desk = bench.core.registry.endpoints[1]
    for _ in range(2):
        bench.core.endpoint_released(desk, "00000000000000ff", ReleaseOutcome("server_error"), 16)
    assert bench.act() == [("unknown", "00000000000000ff")]


@pytest.mark.parametrize(("since_ms", "cut"), [(0, False), (200, False), (400, True), (9_000, False)])
def test_a_start_under_the_same_uid_cuts_what_was_sent_before_it(since_ms: int, cut: bool) -> None:
    bench = Bench()
    bench.act(to(1), at_ms=300)
    bench.core.endpoint_answered(bench.core.registry.endpoints[1], CALL, b"")
    bench.core.timers.now = 1_000 * MS
    bench.core.update_endpoints(
        "bus", False, [EndpointEntry("d1", "a:1", "x", 1, "in_service", since_ms * MS)]
    )
    assert bench.act().count(("release", 41)) == (2 if cut else 0)  # to the caller, and to the exchange
    assert len(bench.core.requests) == (0 if cut else 1)


def test_a_set_up_that_a_fresh_start_answered_stands_on_though_it_was_sent_before() -> None:
    bench = Bench()
    bench.act(to(1), at_ms=300)
    bench.core.timers.now = 600 * MS
    bench.core.endpoint_answered(bench.core.registry.endpoints[1], CALL, b"")
    bench.core.timers.now = 1_000 * MS
    bench.core.update_endpoints("bus", False, [EndpointEntry("d1", "a:1", "x", 1, "in_service", 400 * MS)])
    assert ("release", 41) not in bench.act()
    assert len(bench.core.requests) == 1


def test_lines_for_a_back_that_is_not_there_are_passed_over() -> None:
    bench = Bench()
    bench.core.update_endpoints("bus", False, [EndpointEntry("x", "a:1", "z", 9, "in_service", 0, "m3ua")])
    assert len(bench.core.registry.endpoints) == 6
