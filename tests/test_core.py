"""Tests of the core with a scripted decision module and recording frontends and backends."""

from __future__ import annotations

from dataclasses import replace
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


class ScriptedDecisionModule:
    """Stands in for the decision module: returns the given actions and records the events."""

    def __init__(self) -> None:
        self.actions: list[interface.Action] = []
        self.events: list[interface.Event] = []
        self.fails = False

    def step(self, _now: int, events: list[interface.Event]) -> list[interface.Action]:
        if self.fails:
            raise RuntimeError("decision module fails")
        self.events += events
        actions, self.actions = self.actions, []
        return actions


class RecordingSignalling:
    """A frontend and backend in one that records the calls of the core, in order."""

    connections = 0

    def __init__(self) -> None:
        self.caller_connected = True
        self.recorded: list[tuple[Any, ...]] = []

    def respond(self, _request: Request, response: FinalResponse) -> None:
        self.recorded.append(("respond", response.result))

    def release(self, *arguments: Any) -> None:
        self.recorded.append(("release", arguments[-1]))

    def release_unknown(self, call_id: str, _cause: int) -> None:
        self.recorded.append(("release_unknown", call_id))

    def is_caller_connected(self, _request: Request) -> bool:
        return self.caller_connected

    def flushed(self) -> bool:
        return True

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        self.recorded.append(("endpoint_changed", endpoint.endpoint_id, endpoint.entry.state))

    def set_up(self, endpoint: Endpoint, _params: SetUpParams, timeout_ns: int) -> None:
        self.recorded.append(("set_up", endpoint.endpoint_id, timeout_ns))

    def cancel_set_up(self, endpoint: Endpoint, _call_id: str) -> bool:
        self.recorded.append(("cancel_set_up", endpoint.endpoint_id))
        return False

    def address_taken(self, endpoint: Endpoint, started_ns: int) -> None:
        self.recorded.append(("address_taken", endpoint.endpoint_id, started_ns))


class CoreFixture:
    """A core with six endpoints in service and one set-up request."""

    def __init__(self, repeat: str = "free", **params: Any) -> None:
        settings_json = settings()
        settings_json["classes"][0]["repeat"] = repeat
        self.core = Core(read_settings(settings_json), 1, TimerQueue(1))
        self.decision_module, self.signalling = ScriptedDecisionModule(), RecordingSignalling()
        self.core.decision_module = self.decision_module  # type: ignore[assignment]
        self.core.backends["binary"] = self.signalling
        self.core.frontends.append(self.signalling)
        self.entries = [EndpointEntry(f"d{n}", f"a:{n}", "z", n, "in_service", 0) for n in range(1, 7)]
        self.core.update_endpoints("bus", True, self.entries)
        self.signalling.recorded.clear()
        self.core.submit(
            self.signalling, 0, SetUpParams(CALL, "check", "ab", 0xAB, 1, 1, 9_000 * MS, b"", **params)
        )

    def run(self, *actions: interface.Action, at_ms: int = 0) -> list[tuple[Any, ...]]:
        """Process events while the decision module returns ``actions``; return the recorded calls."""
        if at_ms:
            self.core.timers.now = at_ms * MS
            self.core.timers.run_due()
        self.decision_module.actions = list(actions)
        self.core.events.append(interface.TimerExpired("test"))
        self.core.process_events()
        recorded, self.signalling.recorded = self.signalling.recorded, []
        return recorded

    def pending_outcomes(self) -> list[tuple[str, bool]]:
        """The attempt outcomes queued for the decision module, and whether the call has ended."""
        return [
            (event.outcome, event.call_ended)
            for event in self.core.events
            if isinstance(event, interface.AttemptEnded)
        ]

    def fail_attempt(self, endpoint_id: int, outcome: str) -> None:
        self.core.attempt_failed(self.core.registry.endpoints[endpoint_id], CALL, outcome)


def send_set_up(endpoint_id: int, timeout_ms: int = 0) -> interface.SendSetUp:
    return interface.SendSetUp(CALL, endpoint_id, timeout_ms * MS)


def test_a_second_concurrent_attempt_is_not_sent() -> None:
    fixture = CoreFixture()
    assert [entry[0] for entry in fixture.run(send_set_up(1), send_set_up(2))] == ["set_up"]
    assert fixture.pending_outcomes() == [("not_sent", False)] and fixture.core.internal_errors == 1


def test_a_fifth_attempt_is_not_sent() -> None:
    fixture = CoreFixture()
    for endpoint_id in range(1, 5):
        assert fixture.run(send_set_up(endpoint_id))
        fixture.fail_attempt(endpoint_id, "no_connection")
    assert fixture.run(send_set_up(5)) == [] and fixture.core.internal_errors == 1


@pytest.mark.parametrize("outcome", ["connection_lost", "no_answer", "called_off"])
def test_the_release_pause_applies_if_the_attempt_may_still_be_running(outcome: str) -> None:
    fixture = CoreFixture()
    fixture.run(send_set_up(1))
    fixture.fail_attempt(1, outcome)
    assert fixture.run(send_set_up(2), at_ms=299) == [] and fixture.core.internal_errors == 1
    assert fixture.run(send_set_up(2), at_ms=305)


def test_the_release_pause_counts_from_the_end_of_a_long_loop_iteration() -> None:
    fixture = CoreFixture()
    fixture.core.timers = TimerQueue(1, lambda: 90 * MS)  # the clock during the iteration
    fixture.run(send_set_up(1))
    fixture.fail_attempt(1, "no_answer")
    assert fixture.run(send_set_up(2), at_ms=385) == [] and fixture.core.internal_errors == 1
    assert fixture.run(send_set_up(2), at_ms=395)


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_no_set_up_goes_to_a_draining_exchange_after_the_grace_time(state: str) -> None:
    fixture = CoreFixture()
    fixture.core.update_endpoints("bus", False, [EndpointEntry("d1", "a:1", "z", 1, state, 0)])
    fixture.signalling.recorded.clear()
    assert fixture.run(send_set_up(1), at_ms=502) == [] and fixture.core.internal_errors == 1
    assert fixture.run(send_set_up(2))


@pytest.mark.parametrize(
    ("params", "endpoint_id"), [({"in_transit": True}, 2), ({}, 99), ({"in_transit": True}, 99)]
)
def test_no_set_up_goes_to_an_endpoint_that_the_call_may_not_use(
    params: dict[str, Any], endpoint_id: int
) -> None:
    fixture = CoreFixture(**params)
    assert fixture.run(send_set_up(endpoint_id)) == [] and fixture.core.internal_errors == 1


def test_a_request_gets_one_final_response_even_if_the_decision_module_ends_it_twice() -> None:
    fixture = CoreFixture()
    fixture.run(send_set_up(1))
    assert fixture.run(interface.RefuseCall(CALL, 0), interface.FailCall(CALL), send_set_up(2)) == [
        ("cancel_set_up", 1),
        ("respond", "refused"),
    ]
    assert fixture.core.unanswered == 0 and not fixture.core.requests
    endpoint = fixture.core.registry.endpoints[1]
    fixture.core.endpoint_answered(endpoint, CALL, b"late")  # released at the endpoint, not passed on
    fixture.core.endpoint_released(endpoint, CALL, ReleaseOutcome("server_error"), 16)
    assert fixture.run() == [("release", 16)]


@pytest.mark.parametrize(
    ("repeat", "outcome", "result"),
    [
        ("single_shot", "connection_lost", "failed"),
        ("single_shot", "no_connection", "refused"),
        ("free", "connection_lost", "refused"),
    ],
)
def test_a_refusal_by_the_decision_module_is_sent_only_where_it_is_true(
    repeat: str, outcome: str, result: str
) -> None:
    fixture = CoreFixture(repeat=repeat)
    fixture.run(send_set_up(1))
    fixture.fail_attempt(1, outcome)
    assert fixture.run(interface.RefuseCall(CALL, 0)) == [("respond", result)]


def test_a_set_up_whose_caller_has_left_is_not_sent() -> None:
    """Its connection's end may be read much later than the set-up, behind other input."""
    fixture = CoreFixture()
    fixture.signalling.caller_connected = False
    assert fixture.run(send_set_up(1)) == []
    assert fixture.core.find(CALL) is None and fixture.core.internal_errors == 0
    assert fixture.pending_outcomes() == [("not_sent", True)]


def test_an_attempt_ends_at_its_timeout_and_at_the_deadline_of_the_request() -> None:
    fixture = CoreFixture()
    assert fixture.run(send_set_up(1, 100)) == [("set_up", 1, 100 * MS)]
    assert fixture.run(at_ms=150) == [("cancel_set_up", 1)]
    assert ("no_answer", False) in fixture.pending_outcomes() or fixture.decision_module.events
    fixture.run(send_set_up(2), at_ms=1000)
    assert fixture.run(interface.FailCall(CALL), at_ms=9_001) == [("cancel_set_up", 2), ("respond", "failed")]


def test_a_call_is_answered_even_if_the_decision_module_fails_or_returns_nothing() -> None:
    fixture = CoreFixture()
    fixture.decision_module.fails = True
    assert fixture.run() == [] and fixture.core.unanswered == 1
    fixture.run(at_ms=9_001)
    assert fixture.run(at_ms=9_012) == [("respond", "failed")] and not fixture.core.requests


def test_a_fault_in_a_backend_does_not_affect_other_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    fixture = CoreFixture()
    other = "00000000000000b2"
    fixture.core.submit(fixture.signalling, 0, SetUpParams(other, "check", "ab", 0xAB, 1, 1, 9_000 * MS, b""))

    def fails(*_: Any) -> None:
        raise RuntimeError("backend fails")

    monkeypatch.setattr(fixture.signalling, "set_up", fails)
    assert (
        fixture.run(send_set_up(1), interface.RefuseCall(other, 0)) == [("respond", "refused")]
        and fixture.core.internal_errors == 1
    )
    fixture.run(at_ms=9_001)
    assert ("respond", "failed") in fixture.run(at_ms=9_012) and not fixture.core.requests


def test_a_call_from_before_a_restart_is_released_to_its_caller_once() -> None:
    fixture = CoreFixture()
    endpoint = fixture.core.registry.endpoints[1]
    for _ in range(2):
        fixture.core.endpoint_released(endpoint, "00000000000000ff", ReleaseOutcome("server_error"), 16)
    assert fixture.run() == [("release_unknown", "00000000000000ff")]


@pytest.mark.parametrize(("started_ms", "released"), [(0, False), (200, False), (400, True), (9_000, False)])
def test_a_restart_under_the_same_uid_ends_the_calls_established_before_it(
    started_ms: int, released: bool
) -> None:
    fixture = CoreFixture()
    fixture.run(send_set_up(1), at_ms=300)
    fixture.core.endpoint_answered(fixture.core.registry.endpoints[1], CALL, b"")
    fixture.core.timers.now = 1_000 * MS
    fixture.core.update_endpoints(
        "bus", False, [EndpointEntry("d1", "a:1", "x", 1, "in_service", started_ms * MS)]
    )
    # Released toward both the caller and the exchange.
    assert fixture.run().count(("release", 41)) == (2 if released else 0)
    assert len(fixture.core.requests) == (0 if released else 1)


def test_a_call_answered_after_a_restart_goes_on_although_its_set_up_was_sent_before() -> None:
    fixture = CoreFixture()
    fixture.run(send_set_up(1), at_ms=300)
    fixture.core.timers.now = 600 * MS
    fixture.core.endpoint_answered(fixture.core.registry.endpoints[1], CALL, b"")
    fixture.core.timers.now = 1_000 * MS
    fixture.core.update_endpoints("bus", False, [EndpointEntry("d1", "a:1", "x", 1, "in_service", 400 * MS)])
    assert ("release", 41) not in fixture.run()
    assert len(fixture.core.requests) == 1


@pytest.mark.parametrize("source", ["bus", "etcd"])
def test_a_server_listed_with_a_later_start_takes_the_address_of_another_one(source: str) -> None:
    """Guards against calls kept by a successor's greetings while its predecessor's entry is in service."""
    fixture = CoreFixture()
    successor = EndpointEntry("d1b", "a:1", "z", 1, "in_service", 400 * MS)
    fixture.core.timers.now = 1_000 * MS
    fixture.core.update_endpoints(source, False, [successor])
    assert ("address_taken", 1, 400 * MS) in fixture.signalling.recorded
    assert [entry[0] for entry in fixture.signalling.recorded].count("address_taken") == 1


def test_a_server_gets_no_set_up_while_another_one_has_its_address() -> None:
    """A set-up for it would reach the other one: calls in transit went to the wrong exchange (review/7)."""
    fixture = CoreFixture()
    successor = EndpointEntry("d9", "a:1", "z", 9, "in_service", 400 * MS)

    def states() -> list[tuple[int, str]]:
        changes = [entry[1:] for entry in fixture.signalling.recorded if entry[0] == "endpoint_changed"]
        fixture.signalling.recorded.clear()
        return changes

    fixture.core.timers.now = 1_000 * MS
    fixture.core.update_endpoints("bus", False, [successor])
    assert states() == [(7, "in_service"), (1, "terminating")]
    assert fixture.run(send_set_up(1), at_ms=1_501) == [] and fixture.core.internal_errors == 1
    fixture.core.update_endpoints("bus", True, [*fixture.entries, successor])
    assert states() == []  # listed once more as in service: nothing has changed
    fixture.core.update_endpoints("bus", False, [replace(successor, state="terminated")])
    assert states() == [(7, "terminated"), (1, "in_service")]  # the other one is gone first
    fixture.core.update_endpoints("bus", False, [successor])
    fixture.core.update_endpoints("bus", False, [replace(fixture.entries[0], state="terminated")])
    assert (1, "terminated") in states()


def test_list_entries_of_an_unknown_backend_are_ignored() -> None:
    fixture = CoreFixture()
    fixture.core.update_endpoints("bus", False, [EndpointEntry("x", "a:1", "z", 9, "in_service", 0, "m3ua")])
    assert len(fixture.core.registry.endpoints) == 6
