"""The five rules, each at the module's boundary."""

from __future__ import annotations

import pytest

from tests.helpers import CHEAP, DEAR, MS, T0, S, call, ended, entry, group, refused, sent, stands, started
from trackhatch import interface


def test_no_answer_at_the_deadline_gets_the_final_answer_at_once() -> None:
    c = started()
    c.step(T0, [call("a")])
    assert c.step(T0 + 3 * S, [ended("a", 101, "no_answer", lag=3000)]) == [interface.FailCall("a")]
    assert c.step(T0 + 4 * S, [interface.TimerExpired("a")]) == []


def test_a_call_held_for_a_circuit_is_answered_by_its_timer() -> None:
    c = started(free=0)
    actions = c.step(T0, [call("a", kind=DEAR)])
    timers = [a for a in actions if isinstance(a, interface.SetTimer)]
    assert sent(actions) == [] and refused(actions) == [] and len(timers) == 1
    assert timers[0].delay_ns < DEAR.aim_ns
    assert refused(c.step(T0 + timers[0].delay_ns, [interface.TimerExpired(timers[0].timer_id)])) == ["a"]


def test_nothing_is_sent_for_a_call_whose_caller_is_gone() -> None:
    c = started()
    c.step(T0, [call("a")])
    assert c.step(T0 + S, [interface.CallerGone("a")]) == []
    assert c.step(T0 + S, [ended("a", 101, "turned_away", cause=3)]) == []
    held = started(free=0)
    held.step(T0, [call("b", kind=DEAR)])
    held.step(T0 + MS, [interface.CallerGone("b")])
    assert held.step(T0 + 2 * MS, [group(101, 5)]) == []


def test_one_attempt_out_at_once() -> None:
    c = started()
    assert sent(c.step(T0, [call("a")])) == [("a", 101)]
    assert c.step(T0 + 400 * MS, [interface.TimerExpired("a"), group(101, 19)]) == []


@pytest.mark.parametrize("state", ["terminating", "terminated"])
def test_nothing_new_to_an_office_told_to_drain(state: str) -> None:
    c = started()
    c.step(T0, [interface.ExchangeListUpdate("update", (entry(101, state), entry(102, state)))])
    offices = [n for _, n in sent(c.step(T0 + MS, [call(f"c{k}") for k in range(5)]))]
    assert 101 not in offices and 102 not in offices


def test_an_office_missing_from_a_whole_list_is_gone() -> None:
    c = started()
    c.step(T0, [interface.ExchangeListUpdate("replace", (entry(100), entry(102), entry(103)))])
    assert 101 not in [n for _, n in sent(c.step(T0 + MS, [call("a")]))]


def test_a_replacement_takes_over_for_the_same_exchange() -> None:
    c = started()
    news = interface.ExchangeListUpdate("update", (entry(101, "terminating"), entry(201, since=T0 - 60 * S)))
    c.step(T0, [news, group(201, 20)])
    assert sent(c.step(T0 + MS, [call("a")])) == [("a", 201)]


def test_a_cold_office_gets_a_rationed_number_of_set_ups() -> None:
    c = started()
    c.step(T0, [interface.ExchangeListUpdate("update", (entry(101, since=T0 - MS),))])
    burst = [call(f"c{k}", kind=DEAR) for k in range(30)]
    to_cold = [n for _, n in sent(c.step(T0 + MS, burst)) if n == 101]
    assert len(to_cold) == 1
    warm = started()
    assert len([n for _, n in sent(warm.step(T0 + MS, burst)) if n == 101]) > 5


def test_transit_calls_count_against_the_cold_budget() -> None:
    c = started()
    c.step(T0, [interface.ExchangeListUpdate("update", (entry(101, since=T0 - MS),))])
    burst = [call(f"t{k}", kind=DEAR, in_transit=True) for k in range(9)]
    assert len(sent(c.step(T0 + MS, burst))) == 1


@pytest.mark.parametrize("outcome", ["no_answer", "connection_lost", "called_off"])
def test_the_release_is_awaited(outcome: str) -> None:
    c = started()
    c.step(T0, [call("a", kind=DEAR)])
    actions = c.step(T0 + 100 * MS, [ended("a", 101, outcome, lag=100)])
    assert actions == [interface.SetTimer(300 * MS, "a")]
    assert sent(c.step(T0 + 300 * MS, [interface.TimerExpired("a"), group(102, 10)])) == []
    late = c.step(T0 + 400 * MS, [interface.TimerExpired("a")])
    assert [n for n, _ in sent(late)] + refused(late) == ["a"]


def test_a_call_that_cannot_wait_for_the_release_is_answered() -> None:
    c = started()
    c.step(T0, [call("a")])
    assert refused(c.step(T0 + 2900 * MS, [ended("a", 101, "connection_lost")])) == ["a"]


def test_a_restart_with_an_old_list_keeps_drains_and_the_cold_budget() -> None:
    c = started()
    fresh = started()
    fresh.step(
        T0, [interface.ExchangeListUpdate("restored", (entry(101, since=T0 - S), entry(102, "terminating")))]
    )
    offices = [n for _, n in sent(fresh.step(T0, [call(f"c{k}", kind=DEAR) for k in range(20)]))]
    assert offices.count(101) == 1 and 102 not in offices
    assert len(sent(c.step(T0, [call("x")]))) == 1


def _class(repeat: str, scope: str) -> interface.CallClass:
    return interface.CallClass("check", 1.0, 0.25, 2 * S, 0.0, 9 * S, 10 * S, 1, repeat, scope, 5 * S)


def test_single_shot_is_given_up_once_it_may_have_run() -> None:
    c = started(classes=(_class("single_shot", "all"), DEAR))
    c.step(T0, [call("a", kind=CHEAP)])
    c.step(T0 + 100 * MS, [ended("a", 101, "connection_lost")])
    assert c.step(T0 + 400 * MS, [interface.TimerExpired("a")]) == [interface.FailCall("a")]


def test_single_shot_goes_on_while_nothing_ran() -> None:
    c = started(classes=(_class("single_shot", "all"), DEAR))
    c.step(T0, [call("a", kind=CHEAP)])
    assert len(sent(c.step(T0 + 50 * MS, [ended("a", 101, "not_sent", cause=1)]))) == 1


def test_guarded_stays_in_its_group_and_window() -> None:
    c = started(classes=(_class("guarded", "cell"), DEAR))
    c.step(T0, [call("a", kind=CHEAP)])
    c.step(T0 + 100 * MS, [ended("a", 101, "connection_lost")])
    assert c.step(T0 + 400 * MS, [interface.TimerExpired("a")]) == [interface.FailCall("a")]


def test_a_standing_call_is_let_be() -> None:
    c = started()
    c.step(T0, [call("a")])
    assert c.step(T0 + 80 * MS, [stands("a", 101)]) == []
    assert c.step(T0 + 9 * S, [ended("a", 101, "served", over=True)]) == []
    assert c.calls == {}


@pytest.mark.parametrize("controllers", [4, 60])
def test_all_controllers_together_keep_to_the_cold_budget_at_any_size(controllers: int) -> None:
    """Each is flooded with calls to the one cold office; the sum in any window stays under the figure."""
    sends: list[int] = []
    for rank in range(controllers):
        c = started(controllers=controllers, rank=rank)
        c.step(T0, [interface.ExchangeListUpdate("update", (entry(101, since=T0 - MS),))])
        for tick in range(80):
            now = T0 + tick * 100 * MS
            flood = [call(f"{tick}.{k}", kind=DEAR, now=now) for k in range(3)]
            sends += [now for _, office in sent(c.step(now, flood)) if office == 101]
            c.step(now, [interface.CallerGone(f"{tick}.{k}") for k in range(3)])
    planned = 3 * 20 / 2 / (DEAR.holding_ns / S)  # calls a second that the own circuits were built for
    budget = 2 * planned * 0.3 * 4.0
    assert sends
    assert max(sum(t <= u < t + S for u in sends) for t in sends) <= budget
    assert max(sends) > T0 + 5 * S


def test_a_call_and_its_callers_leaving_in_one_batch_send_nothing() -> None:
    c = started()
    assert c.step(T0 + 2 * S, [call("a"), interface.CallerGone("a")]) == []
    assert c.calls == {}
