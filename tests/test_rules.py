"""Rules that hold whatever the score: final responses, drains, repeats, slow start and release time."""

from __future__ import annotations

import pytest

from tests.helpers import (
    CHECK,
    MS,
    SECOND,
    T0,
    URGENT,
    call,
    ended,
    entry,
    established,
    group,
    new_controller,
    refused,
    sent,
)
from trackhatch import interface


def test_call_without_an_answer_at_its_deadline_fails_at_once() -> None:
    controller = new_controller()
    controller.step(T0, [call("a")])
    assert controller.step(T0 + 3 * SECOND, [ended("a", 101, "no_answer", latency_ms=3000)]) == [
        interface.FailCall("a")
    ]
    assert controller.step(T0 + 4 * SECOND, [interface.TimerExpired("a")]) == []


def test_call_queued_for_a_circuit_is_refused_when_its_timer_expires() -> None:
    controller = new_controller(free=0)
    actions = controller.step(T0, [call("a", call_class=URGENT)])
    timers = [a for a in actions if isinstance(a, interface.SetTimer)]
    assert sent(actions) == [] and refused(actions) == [] and len(timers) == 1
    assert timers[0].delay_ns < URGENT.aim_ns
    assert refused(
        controller.step(T0 + timers[0].delay_ns, [interface.TimerExpired(timers[0].timer_id)])
    ) == ["a"]


def test_nothing_is_sent_once_the_caller_is_gone() -> None:
    controller = new_controller()
    controller.step(T0, [call("a")])
    assert controller.step(T0 + SECOND, [interface.CallAbandoned("a")]) == []
    assert controller.step(T0 + SECOND, [ended("a", 101, "turned_away", cause=3)]) == []
    queued = new_controller(free=0)
    queued.step(T0, [call("b", call_class=URGENT)])
    queued.step(T0 + MS, [interface.CallAbandoned("b")])
    assert queued.step(T0 + 2 * MS, [group(101, 5)]) == []


def test_one_attempt_at_a_time() -> None:
    controller = new_controller()
    assert sent(controller.step(T0, [call("a")])) == [("a", 101)]
    assert controller.step(T0 + 400 * MS, [interface.TimerExpired("a"), group(101, 19)]) == []


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_draining_endpoint_gets_no_new_calls(state: str) -> None:
    controller = new_controller()
    controller.step(T0, [interface.ExchangeListUpdate("update", (entry(101, state), entry(102, state)))])
    endpoint_ids = [n for _, n in sent(controller.step(T0 + MS, [call(f"c{k}") for k in range(5)]))]
    assert 101 not in endpoint_ids and 102 not in endpoint_ids


def test_endpoint_missing_from_a_complete_list_is_gone() -> None:
    controller = new_controller()
    controller.step(T0, [interface.ExchangeListUpdate("replace", (entry(100), entry(102), entry(103)))])
    assert 101 not in [n for _, n in sent(controller.step(T0 + MS, [call("a")]))]


def test_replacement_takes_over_for_the_same_exchange() -> None:
    controller = new_controller()
    update = interface.ExchangeListUpdate(
        "update", (entry(101, "terminating"), entry(201, started_ns=T0 - 60 * SECOND))
    )
    controller.step(T0, [update, group(201, 20)])
    assert sent(controller.step(T0 + MS, [call("a")])) == [("a", 201)]


def test_endpoint_in_slow_start_gets_a_limited_number_of_set_ups() -> None:
    controller = new_controller()
    controller.step(T0, [interface.ExchangeListUpdate("update", (entry(101, started_ns=T0 - MS),))])
    burst = [call(f"c{k}", call_class=URGENT) for k in range(30)]
    to_slow_start = [n for _, n in sent(controller.step(T0 + MS, burst)) if n == 101]
    assert len(to_slow_start) == 1
    warm = new_controller()
    assert len([n for _, n in sent(warm.step(T0 + MS, burst)) if n == 101]) > 5


def test_calls_in_transit_count_against_the_slow_start_limit() -> None:
    controller = new_controller()
    controller.step(T0, [interface.ExchangeListUpdate("update", (entry(101, started_ns=T0 - MS),))])
    burst = [call(f"t{k}", call_class=URGENT, in_transit=True) for k in range(9)]
    assert len(sent(controller.step(T0 + MS, burst))) == 1


@pytest.mark.parametrize("outcome", ["no_answer", "connection_lost", "called_off"])
def test_release_time_is_awaited(outcome: str) -> None:
    controller = new_controller()
    controller.step(T0, [call("a", call_class=URGENT)])
    actions = controller.step(T0 + 100 * MS, [ended("a", 101, outcome, latency_ms=100)])
    assert actions == [interface.SetTimer(300 * MS, "a")]
    assert sent(controller.step(T0 + 300 * MS, [interface.TimerExpired("a"), group(102, 10)])) == []
    late = controller.step(T0 + 400 * MS, [interface.TimerExpired("a")])
    assert [n for n, _ in sent(late)] + refused(late) == ["a"]


def test_call_that_cannot_wait_for_the_release_is_answered() -> None:
    controller = new_controller()
    controller.step(T0, [call("a")])
    assert refused(controller.step(T0 + 2900 * MS, [ended("a", 101, "connection_lost")])) == ["a"]


def test_restarted_controller_keeps_drains_and_the_slow_start_limit() -> None:
    controller = new_controller()
    restarted = new_controller()
    restarted.step(
        T0,
        [
            interface.ExchangeListUpdate(
                "restored", (entry(101, started_ns=T0 - SECOND), entry(102, "terminating"))
            )
        ],
    )
    endpoint_ids = [
        n for _, n in sent(restarted.step(T0, [call(f"c{k}", call_class=URGENT) for k in range(20)]))
    ]
    assert endpoint_ids.count(101) == 1 and 102 not in endpoint_ids
    assert len(sent(controller.step(T0, [call("x")]))) == 1


def _class(repeat: str, scope: str) -> interface.CallClass:
    return interface.CallClass(
        "check", 1.0, 0.25, 2 * SECOND, 0.0, 9 * SECOND, 10 * SECOND, 1, repeat, scope, 5 * SECOND
    )


def test_single_shot_call_fails_once_it_may_have_been_executed() -> None:
    controller = new_controller(classes=(_class("single_shot", "all"), URGENT))
    controller.step(T0, [call("a", call_class=CHECK)])
    controller.step(T0 + 100 * MS, [ended("a", 101, "connection_lost")])
    assert controller.step(T0 + 400 * MS, [interface.TimerExpired("a")]) == [interface.FailCall("a")]


def test_single_shot_call_is_tried_again_while_nothing_was_executed() -> None:
    controller = new_controller(classes=(_class("single_shot", "all"), URGENT))
    controller.step(T0, [call("a", call_class=CHECK)])
    assert len(sent(controller.step(T0 + 50 * MS, [ended("a", 101, "not_sent", cause=1)]))) == 1


def test_guarded_call_is_not_repeated_outside_its_scope() -> None:
    controller = new_controller(classes=(_class("guarded", "cell"), URGENT))
    controller.step(T0, [call("a", call_class=CHECK)])
    controller.step(T0 + 100 * MS, [ended("a", 101, "connection_lost")])
    assert controller.step(T0 + 400 * MS, [interface.TimerExpired("a")]) == [interface.FailCall("a")]


def test_established_call_is_left_alone() -> None:
    controller = new_controller()
    controller.step(T0, [call("a")])
    assert controller.step(T0 + 80 * MS, [established("a", 101)]) == []
    assert controller.step(T0 + 9 * SECOND, [ended("a", 101, "served", call_ended=True)]) == []
    assert controller.calls == {}


@pytest.mark.parametrize("controllers", [4, 60])
def test_all_controllers_together_keep_the_slow_start_limit(controllers: int) -> None:
    """Each gets a flood of calls to one endpoint in slow start; the sum stays within the limit."""
    sends: list[int] = []
    for rank in range(controllers):
        controller = new_controller(controllers=controllers, rank=rank)
        controller.step(T0, [interface.ExchangeListUpdate("update", (entry(101, started_ns=T0 - MS),))])
        for tick in range(80):
            now = T0 + tick * 100 * MS
            flood = [call(f"{tick}.{k}", call_class=URGENT, now=now) for k in range(3)]
            sends += [now for _, endpoint_id in sent(controller.step(now, flood)) if endpoint_id == 101]
            controller.step(now, [interface.CallAbandoned(f"{tick}.{k}") for k in range(3)])
    # Calls per second that the own circuits are built for.
    planned = 3 * 20 / 2 / (URGENT.holding_ns / SECOND)
    limit = 2 * planned * 0.3 * 4.0
    assert sends
    assert max(sum(t <= u < t + SECOND for u in sends) for t in sends) <= limit
    assert max(sends) > T0 + 5 * SECOND


def test_call_offered_and_abandoned_in_one_batch_sends_nothing() -> None:
    controller = new_controller()
    assert controller.step(T0 + 2 * SECOND, [call("a"), interface.CallAbandoned("a")]) == []
    assert controller.calls == {}
