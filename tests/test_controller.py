"""The ordinary path, and one test for each failure found."""

from __future__ import annotations

import pytest

from tests.helpers import (
    CHEAP,
    DEAR,
    MS,
    T0,
    S,
    call,
    ended,
    entry,
    group,
    refused,
    sent,
    settings,
    stands,
    started,
)
from trackhatch import interface
from trackhatch.controller import MAX_NUMBERS, Controller


def test_the_direct_route_is_best_while_a_circuit_is_free() -> None:
    assert sent(started().step(T0, [call("a", to=2)])) == [("a", 102)]


def test_own_circuits_are_counted_down_within_a_batch() -> None:
    c = started()
    c.step(T0, [group(101, 2)])
    offices = [n for _, n in sent(c.step(T0, [call(f"c{k}", kind=DEAR) for k in range(3)]))]
    assert offices.count(101) == 2


def test_a_blocked_call_takes_a_tandem_and_then_the_next_one() -> None:
    c = started()
    c.step(T0, [group(101, 0)])
    (first,) = sent(c.step(T0, [call("a")]))
    assert first[1] in (102, 103)
    (second,) = sent(c.step(T0 + 50 * MS, [ended("a", first[1], "turned_away", cause=2)]))
    assert {first[1], second[1]} == {102, 103}


def test_a_wide_call_needs_all_its_circuits() -> None:
    c = started()
    c.step(T0, [group(101, 1)])
    offices = [n for _, n in sent(c.step(T0, [call("a", kind=DEAR, width=2)]))]
    assert 101 not in offices


def test_a_far_leg_that_turned_calls_back_is_avoided_and_fades() -> None:
    c = started()
    c.step(T0, [group(101, 0)])
    for k in range(6):
        name, attempt = f"c{k}", 0
        routes = sent(c.step(T0, [call(name, kind=DEAR)]))
        if routes == [(name, 102)]:
            routes = sent(c.step(T0, [ended(name, 102, "turned_away", cause=2)]))
            attempt = 1
        assert routes == [(name, 103)]
        c.step(T0, [stands(name, 103, attempt)])
    assert sent(c.step(T0 + S, [call("x", kind=DEAR)])) == [("x", 103)]
    c.step(T0 + S, [group(103, 0)])
    assert sent(c.step(T0 + 100 * S, [call("y", kind=DEAR, now=T0 + 100 * S)])) == [("y", 102)]


def test_a_call_in_transit_goes_on_or_is_turned_back() -> None:
    c = started()
    assert sent(c.step(T0, [call("a", in_transit=True)])) == [("a", 101)]
    c.step(T0, [group(101, 0)])
    assert refused(c.step(T0, [call("b", in_transit=True, kind=DEAR)])) == ["b"]


def test_a_busy_group_is_kept_for_direct_calls() -> None:
    """Two-leg calls into a busy group would tip the network into blocking."""
    c = started()
    for k in range(60):
        c.step(T0 + k * S, [group(101, 1)])
    now = T0 + 60 * S
    assert refused(c.step(now, [call("t", in_transit=True, now=now)])) == ["t"]
    assert len(sent(c.step(now, [call("d", kind=DEAR, now=now)]))) == 1


def test_cheap_calls_are_blocked_first_under_pressure() -> None:
    c = started()
    c.step(T0, [call("warm")])
    c.step(T0 + 80 * MS, [stands("warm", 101)])
    c.step(T0 + S, [call("out", now=T0 + S)])
    now = T0 + 1600 * MS
    assert refused(c.step(now, [call("cheap", now=now)])) == ["cheap"]
    assert sent(c.step(now, [call("dear", kind=DEAR, now=now)])) == [("dear", 101)]


def test_a_processor_that_answers_nothing_is_left_alone_before_the_time_out() -> None:
    c = started()
    c.step(T0, [call("a")])
    now = T0 + 2500 * MS
    assert refused(c.step(now, [call("b", now=now)])) == ["b"]


def test_an_answer_that_is_lost_does_not_close_a_processor_that_answers_the_others() -> None:
    c = started()
    c.step(T0, [call("lost")])
    c.step(T0 + 100 * MS, [call("b", now=T0)])
    c.step(T0 + 180 * MS, [stands("b", 101)])
    now = T0 + 2500 * MS
    assert sent(c.step(now, [call("c", now=now)])) == [("c", 101)]
    c.step(now, [stands("lost", 101, lag=2500)])  # it comes all the same, and tells nothing of the line
    assert c.endpoints[101].expected(now) < 0.2


def test_where_answers_get_lost_a_lone_set_up_shuts_no_route_and_trials_follow() -> None:
    c = started()
    c.step(T0, [call("lost")])
    c.step(T0 + 100 * MS, [call("b", now=T0)])
    c.step(T0 + 180 * MS, [stands("b", 101)])
    now = T0 + S
    c.step(now, [call("alone", now=now)])
    assert sent(c.step(now + 900 * MS, [call("next", now=now)])) == [("next", 101)]
    assert c.endpoints[101].expected(now + 900 * MS) < 0.2
    later = now + 2400 * MS
    assert sent(c.step(later, [call("trial", now=later)])) == [("trial", 101)]
    assert refused(c.step(later, [call("fourth", now=later)])) == ["fourth"]


@pytest.mark.parametrize(("answered", "again"), [(False, True), (True, False)])
def test_a_set_up_whose_answer_is_lost_is_cancelled_and_goes_the_same_way_again(
    answered: bool, again: bool
) -> None:
    c = started()
    c.step(T0, [call("lost")])
    c.step(T0 + 100 * MS, [call("b", now=T0)])
    (timer,) = [a for a in c.step(T0 + 180 * MS, [stands("b", 101)]) if isinstance(a, interface.SetTimer)]
    now = T0 + 180 * MS + timer.delay_ns
    assert now == T0 + CHEAP.aim_ns // 5
    if answered:
        c.step(now, [stands("lost", 101)])
    cancelled = c.step(now, [interface.TimerExpired(timer.timer_id)]) == [interface.CancelSetUp("lost", 0)]
    assert cancelled == again
    if again:
        c.step(now, [ended("lost", 101, "called_off")])
        assert sent(c.step(now + 300 * MS, [interface.TimerExpired("lost")])) == [("lost", 101)]
        assert c.step(now + 900 * MS, [interface.TimerExpired(timer.timer_id)]) == []  # of the first attempt


def test_a_set_up_that_failed_goes_the_same_way_again_unless_the_lines_are_busy() -> None:
    c = started()
    c.step(T0, [call("a"), call("b")])
    assert refused(c.step(T0, [ended("b", 101, "server_error", cause=4)])) == ["b"]
    for attempt in range(3):
        assert sent(c.step(T0, [ended("a", 101, "server_error", attempt=attempt)])) == [("a", 101)]
    assert refused(c.step(T0, [ended("a", 101, "server_error", attempt=3)])) == ["a"]


def test_a_processor_full_is_left_alone_though_it_refused_quickly() -> None:
    """Incidents ia6cd60 and ic8b864: quick refusals looked like short waits."""
    c = started()
    c.step(T0, [call("a")])
    c.step(T0 + 20 * MS, [ended("a", 101, "turned_away", cause=3, lag=20)])
    now = T0 + 50 * MS
    assert refused(c.step(now, [call("b", now=now)])) == ["b"]
    later = T0 + 60 * S
    assert sent(c.step(later, [call("c", now=later)])) == [("c", 101)]


def test_own_processor_down_is_answered_at_once() -> None:
    """Incident ifc1160: a call was tried on every route while nothing could be sent."""
    c = started()
    c.step(T0, [call("a")])
    actions = c.step(T0, [ended("a", 101, "not_sent", cause=3)])
    assert refused(actions) == ["a"] and sent(actions) == []


def test_a_reported_wait_counts() -> None:
    c = started()
    c.step(
        T0,
        [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", 2500.0),)))],
    )
    assert refused(c.step(T0, [call("a")])) == ["a"]
    unsaid = started()
    unsaid.step(
        T0,
        [
            interface.TrunkGroupReport(
                101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", -1.0), ("new", 9.0)))
            )
        ],
    )
    assert sent(unsaid.step(T0, [call("a")])) == [("a", 101)]


def test_a_held_call_takes_the_first_free_circuit_dear_ones_first() -> None:
    c = started(free=0)
    c.step(T0, [call("d1", kind=DEAR), call("d2", kind=DEAR)])
    assert [n for n, _ in sent(c.step(T0 + 100 * MS, [group(101, 1)]))] == ["d1"]
    assert [n for n, _ in sent(c.step(T0 + 200 * MS, [group(101, 1)]))] == ["d2"]


def test_refused_callers_are_asked_back_within_their_aim_where_allowed() -> None:
    for allowed in (True, False):
        c = started(may_send_retry_after=allowed)
        c.step(T0, [interface.ExchangeListUpdate("replace", (entry(100),))])
        (answer,) = c.step(T0, [call("a")])
        assert isinstance(answer, interface.RefuseCall)
        assert (0 < answer.retry_after_ns < CHEAP.aim_ns) if allowed else answer.retry_after_ns == 0


def test_a_number_with_busy_lines_is_not_called_again_at_once() -> None:
    c = started()
    for k in range(12):
        c.step(T0, [call(f"c{k}", kind=DEAR, number=5)])
        c.step(T0, [ended(f"c{k}", 101, "server_error", cause=4, lag=1)])
    assert c.numbers[5].value(T0) > 0.9
    for k in range(MAX_NUMBERS + 50):
        c.step(T0 + S, [call(f"n{k}", kind=DEAR, number=1000 + k)])
        c.step(T0 + S, [ended(f"n{k}", 101, "server_error", cause=4, lag=1)])
    assert len(c.numbers) <= MAX_NUMBERS


def test_pools_are_all_routes_and_first_choice_comes_first() -> None:
    c = started(layout="groups", own_exchange=-1, pools_by_class=((1, 2), ()))
    assert sent(c.step(T0, [call("a", to=2)])) == [("a", 102)]
    (again,) = sent(c.step(T0 + MS, [ended("a", 102, "turned_away", cause=1)]))
    assert again == ("a", 101)


def test_a_list_that_must_be_asked_for_is_followed_and_asked_again() -> None:
    c = Controller(settings(discovery="ask"), 1)
    assert c.step(T0, [interface.ExchangeListUpdate("restored", (entry(101),))]) == [
        interface.WatchExchangeList()
    ]
    (timer,) = c.step(T0 + S, [interface.ExchangeListUpdate("unavailable", ())])
    assert isinstance(timer, interface.SetTimer)
    assert c.step(T0 + 2 * S, [interface.TimerExpired(timer.timer_id)]) == [interface.WatchExchangeList()]


def test_the_same_events_lead_to_the_same_actions() -> None:
    def day() -> list[interface.Action]:
        c, actions = started(), []
        for k in range(200):
            now = T0 + k * 50 * MS
            events: list[interface.Event] = [call(f"c{k}", to=1 + k % 3, now=now), group(101 + k % 3, k % 7)]
            actions += c.step(now, events)
        return actions

    assert day() == day() and len(day()) > 100


def test_what_is_not_held_or_listed_is_passed_over() -> None:
    c = started()
    odd: list[interface.Event] = [
        ended("nobody", 101, "served"), ended("nobody", 999, "no_answer"), stands("nobody", 999),
        interface.CallerGone("nobody"), interface.TimerExpired("nobody"), group(999, 3),
        interface.PeerMessage(2, b"?"),
    ]  # fmt: skip
    assert c.step(T0, odd) == []
    c.step(T0, [call("a")])
    c.step(T0 + MS, [ended("a", 101, "served", over=True)])
    assert c.step(T0 + MS, [ended("a", 101, "no_answer")]) == []
    assert sent(c.step(T0 + MS, [call("b", now=T0 + MS)])) == [("b", 101)]


def test_an_unknown_class_counts_as_the_cheapest() -> None:
    assert sent(started().step(T0, [call("a", class_name="brand-new")])) == [("a", 101)]


@pytest.mark.parametrize(
    ("field", "value"),
    [("classes", ()), ("layout", "ring"), ("controllers", 0), ("start_capacity", 0.0), ("fall_ns", 0)],
)
def test_settings_that_make_no_sense_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def test_a_set_up_lost_in_a_restarted_processor_does_not_keep_others_away() -> None:
    """Incident i4605d8: an unanswered set-up of a patient caller closed the office for many seconds."""
    c = started()
    c.step(T0, [call("a", deadline_ns=T0 + 9 * S)])
    during, after = T0 + 3 * S, T0 + 9 * S
    assert refused(c.step(during, [call("b", now=during)])) == ["b"]
    assert refused(c.step(T0 + 4 * S, [call("c", now=T0 + 4 * S)])) == ["c"]
    assert sent(c.step(after, [call("d", now=after)])) == [("d", 101)]


@pytest.mark.parametrize("marked", [True, False])
def test_a_redial_past_its_aim_yields_and_a_cut_call_starts_anew(marked: bool) -> None:
    """In overload most tries are redials; those past their aim earn the late share only."""
    c = started(redials_marked=marked)
    c.step(T0, [interface.ExchangeListUpdate("update", (entry(101, "terminating"),))])
    assert refused(c.step(T0, [call("a", number=5)])) == ["a"]
    now = T0 + 3 * S
    c.step(now, [interface.ExchangeListUpdate("update", (entry(101),)), group(101, 20)])
    c.step(
        now,
        [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", 150.0),)))],
    )
    late = call("b", number=5, now=now, redialled=marked)
    assert refused(c.step(now, [late])) == ["b"]
    assert sent(c.step(now, [call("c", number=5, now=now, replaces_cut_call=True)])) == [("c", 101)]
    assert sent(c.step(now, [call("d", number=6, now=now, redialled=marked)])) == [("d", 101)]


def test_a_tenant_beyond_its_share_yields_to_the_others() -> None:
    tenants = (interface.Tenant("big", 4.0), interface.Tenant("small", 4.0))
    c = started(tenants=tenants)
    for k in range(200):  # ten a second here, so about forty over all: ten times the share
        now = T0 + k * 100 * MS
        c.step(now, [call(f"c{k}", now=now, tenant="big", to=2), group(102, 20)])
        c.step(
            now, [stands(f"c{k}", 102), call(f"n{k}", now=now, to=3), group(103, 20), stands(f"n{k}", 103)]
        )
    now = T0 + 21 * S
    c.step(
        now,
        [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", 500.0),)))],
    )
    assert refused(c.step(now, [call("x", now=now, tenant="big")])) == ["x"]
    assert sent(c.step(now, [call("y", now=now, tenant="small")])) == [("y", 101)]


def test_an_absurd_report_does_not_close_an_office_for_good() -> None:
    """Incident i3a944e: after a crash a report told a wait of 16 days."""
    c = started()
    c.step(
        T0, [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", 1.4e9),)))]
    )
    assert refused(c.step(T0, [call("a")])) == ["a"]
    later = T0 + 10 * S
    assert sent(c.step(later, [call("b", now=later)])) == [("b", 101)]


def test_a_processor_that_asks_to_hold_back_gets_less_and_is_believed_for_a_while() -> None:
    c = started()
    c.step(
        T0, [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("cut_by", 1.0),)))]
    )
    assert refused(c.step(T0, [call("a")])) == ["a"]
    later = T0 + 60 * S
    assert sent(c.step(later, [call("b", now=later)])) == [("b", 101)]


def test_offices_long_replaced_are_forgotten() -> None:
    c = started()
    for k in range(400):
        old, new = 1001 + 100 * k, 1101 + 100 * k
        c.step(T0 + k * S, [interface.ExchangeListUpdate("update", (entry(old, "terminated"), entry(new)))])
    assert len(c.endpoints) <= 260


def test_a_replacement_takes_over_the_group_of_its_exchange() -> None:
    c = started()
    c.step(T0, [group(101, 0, 0)])
    news = interface.ExchangeListUpdate("update", (entry(101, "terminating"), entry(201, since=T0 - 60 * S)))
    assert [n for _, n in sent(c.step(T0 + MS, [news, call("a")]))] in ([102], [103])


def test_an_own_group_that_proved_full_is_not_tried_again_before_it_is_told_free() -> None:
    c = started(free=0)
    c.step(T0, [interface.ExchangeListUpdate("update", (entry(104, since=T0 - 60 * S),))])
    assert sent(c.step(T0, [call("a", to=4)])) == [("a", 104)]
    c.step(T0, [ended("a", 104, "not_sent", cause=1)])
    assert sent(c.step(T0, [call("b", to=4)])) == []
    c.step(T0, [group(104, 1, 1)])
    assert sent(c.step(T0, [call("c", to=4)])) == [("c", 104)]


def _via(c: Controller, name: str, now: int = T0) -> int:
    ((_, office),) = sent(c.step(now, [call(name, kind=DEAR, now=now)]))
    return office


def test_a_leg_that_never_carried_a_call_is_left_longer_than_one_that_was_full() -> None:
    later = T0 + 30 * S
    for worked, again in ((False, 103), (True, 102)):
        c = started()
        c.step(T0, [group(101, 0), group(103, 0)])
        if worked:
            assert _via(c, "a") == 102
            c.step(T0, [stands("a", 102)])
        assert _via(c, "b") == 102
        c.step(T0, [ended("b", 102, "turned_away", cause=2)])
        c.step(later, [group(103, 3), group(102, 20)])
        assert _via(c, "c", later) == again


def test_a_call_in_transit_tells_that_its_exchange_has_no_way_to_the_destination() -> None:
    c = started()
    c.step(T0, [group(101, 0)])
    c.step(T0, [call(f"t{k}", in_transit=True, via_exchange=2) for k in range(3)])
    assert [_via(c, f"c{k}") for k in range(6)] == [103] * 6


def test_after_an_own_pause_news_comes_first_and_dear_calls_before_cheap_ones() -> None:
    c = started()
    c.step(T0, [group(101, 1), group(102, 0), group(103, 0)])
    now = T0 + 2 * S
    batch: list[interface.Event] = [call("cheap", now=now), call("dear", kind=DEAR, now=now)]
    assert sent(c.step(now, batch)) == [("dear", 101)]


def test_a_lag_that_holds_the_own_pause_does_not_close_a_processor() -> None:
    c = started()
    c.step(T0, [call("a")])
    now = T0 + 2 * S
    c.step(now, [stands("a", 101, lag=1900)])
    assert sent(c.step(now, [call("b", now=now)])) == [("b", 101)]


def test_the_wait_that_a_lag_tells_has_drained_since_its_sending() -> None:
    c = started()
    c.step(T0, [call("a")])
    c.step(T0 + 80 * MS, [stands("a", 101)])
    for k in range(1, 11):
        c.step(T0 + k * 100 * MS, [call("b", kind=DEAR)] if k == 1 else [])
    now = T0 + 1100 * MS
    c.step(now, [stands("b", 101, lag=1000)])
    assert 0.3 < c.endpoints[101].expected(now) < 0.7


def test_callers_who_leave_early_do_not_close_a_processor() -> None:
    c = started()
    now = T0
    for k in range(12):
        now = T0 + k * 400 * MS
        c.step(now, [call(f"c{k}", now=now)])
        for tick in range(1, 4):
            c.step(now + tick * 90 * MS, [])
        c.step(now + 300 * MS, [interface.CallerGone(f"c{k}")])
    now += S
    assert sent(c.step(now, [call("x", now=now)])) == [("x", 101)]


def test_a_tandem_whose_controller_stands_still_is_passed_over() -> None:
    c = started()
    c.step(T0, [group(101, 0), group(103, 0)])
    for k in range(4):
        now = T0 + k * 100 * MS
        assert _via(c, f"c{k}", now) == 102
        c.step(now, [stands(f"c{k}", 102, lag=1800)])
    now = T0 + S
    c.step(now, [group(103, 3)])
    assert _via(c, "x", now) == 103


def _note(c: Controller) -> bytes:
    (text,) = [
        a.payload
        for a in c.step(T0 + S, [interface.TimerExpired("note")])
        if isinstance(a, interface.SendPeerMessage)
    ]
    return text


def test_notes_go_out_only_where_allowed_and_not_often() -> None:
    lists: list[interface.Event] = [
        interface.ExchangeListUpdate("restored", tuple(entry(n) for n in (100, 101, 102, 103)))
    ]
    for may_message_peers in (False, True):
        c = Controller(settings(may_message_peers=may_message_peers), 1)
        marks = [a.timer_id for a in c.step(T0, lists) if isinstance(a, interface.SetTimer)]
        assert marks == (["note"] if may_message_peers else [])
    again = [a for a in c.step(T0 + S, [interface.TimerExpired("note")]) if isinstance(a, interface.SetTimer)]
    assert [a.timer_id for a in again] == ["note"] and again[0].delay_ns >= 10 * S


def test_a_note_tells_which_groups_of_a_tandem_are_there() -> None:
    told = started(may_message_peers=True, own_exchange=2)
    told.step(T0, [interface.ExchangeListUpdate("update", (entry(100),)), group(101, 0, 0), group(103, 9)])
    c = started(may_message_peers=True)
    c.step(T0, [group(101, 0), group(103, 0)])
    assert _via(c, "a") == 102
    c.step(T0, [interface.PeerMessage(1, _note(told)), group(103, 3)])
    assert [_via(c, f"b{k}") for k in range(2)] == [103, 103]


@pytest.mark.parametrize(
    "text", [b"", b"\x01", b"\x01\x00\x02", b"\x01\x00\x02\xff", b"\x07\x00\x02\x00\x00"]
)
def test_a_malformed_note_changes_nothing(text: bytes) -> None:
    c = started(may_message_peers=True)
    c.step(
        T0,
        [
            group(101, 0),
            group(103, 0),
            interface.PeerMessage(1, text),
            interface.PeerMessage(1, b"\x01\xff\xff\x00\x00"),
        ],
    )
    assert _via(c, "a") == 102


def test_a_lone_exchange_and_an_unlisted_destination_are_refused() -> None:
    c = Controller(settings(controllers=1, may_message_peers=True), 1)
    c.step(T0, [interface.ExchangeListUpdate("restored", (entry(100),)), interface.TimerExpired("note")])
    assert refused(c.step(T0, [call("a", to=1), call("b", to=0), call("c", to=-1)])) == ["a", "b", "c"]
    assert refused(
        started().step(T0, [call("d", to=40), call("e", to=40, in_transit=True, via_exchange=50)])
    ) == [
        "d",
        "e",
    ]


def test_sixty_seven_exchanges_and_a_pair_without_a_group() -> None:
    c = Controller(settings(controllers=67, may_message_peers=True), 1)
    c.step(T0, [interface.ExchangeListUpdate("restored", tuple(entry(100 + n) for n in range(67)))])
    c.step(T0, [group(100 + n, 20 * (n % 2), 20 * (n % 2)) for n in range(1, 67)])
    assert _via(c, "a") % 2 == 1
    ((_, office),) = sent(c.step(T0, [call("b", to=2, kind=DEAR)]))
    assert office % 2 == 1
    assert len(_note(c)) <= 256


def test_a_tandem_that_was_slow_is_not_taken_for_idle_as_soon_as_a_direct_route() -> None:
    c = started()
    c.step(T0, [group(101, 0), group(103, 3)])
    for k in range(4):
        now = T0 + k * 20 * MS
        c.step(now, [call(f"c{k}", to=2, kind=DEAR, now=now)])
        c.step(now + 10 * MS, [stands(f"c{k}", 102, lag=80 if k == 0 else 1500)])
    now = T0 + 4 * S
    c.step(now, [group(103, 3)])
    assert c.endpoints[102].expected(now) < 0.2
    assert _via(c, "x", now) == 103


def test_a_processor_just_heard_from_goes_by_its_last_wait_also_on_two_leg_routes() -> None:
    c = started()
    for k, lag in enumerate((80, 1500, 1500, 80)):
        now = T0 + k * 200 * MS
        c.step(now, [call(f"c{k}", to=2, kind=DEAR, now=now)])
        c.step(now + 10 * MS, [stands(f"c{k}", 102, lag=lag)])
    assert c.endpoints[102].expected_lately(now + 10 * MS) < 0.2
    assert c.endpoints[102].expected_lately(now + 4 * S) > 0.5
