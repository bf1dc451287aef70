"""Route choice and admission: normal operation, and a regression test for each known failure."""

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
    settings,
)
from trackhatch import interface
from trackhatch.controller import MAX_NUMBERS, Controller


def test_direct_route_is_preferred_while_a_circuit_is_free() -> None:
    assert sent(new_controller().step(T0, [call("a", destination=2)])) == [("a", 102)]


def test_free_circuits_are_counted_down_within_a_batch() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 2)])
    endpoint_ids = [
        n for _, n in sent(controller.step(T0, [call(f"c{k}", call_class=URGENT) for k in range(3)]))
    ]
    assert endpoint_ids.count(101) == 2


def test_blocked_call_tries_one_tandem_after_another() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 0)])
    (first,) = sent(controller.step(T0, [call("a")]))
    assert first[1] in (102, 103)
    (second,) = sent(controller.step(T0 + 50 * MS, [ended("a", first[1], "turned_away", cause=2)]))
    assert {first[1], second[1]} == {102, 103}


def test_call_of_several_circuits_needs_all_of_them() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 1)])
    endpoint_ids = [n for _, n in sent(controller.step(T0, [call("a", call_class=URGENT, width=2)]))]
    assert 101 not in endpoint_ids


def test_remote_leg_that_refused_calls_is_avoided_for_a_while() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 0)])
    for k in range(6):
        name, attempt = f"c{k}", 0
        routes = sent(controller.step(T0, [call(name, call_class=URGENT)]))
        if routes == [(name, 102)]:
            routes = sent(controller.step(T0, [ended(name, 102, "turned_away", cause=2)]))
            attempt = 1
        assert routes == [(name, 103)]
        controller.step(T0, [established(name, 103, attempt)])
    assert sent(controller.step(T0 + SECOND, [call("x", call_class=URGENT)])) == [("x", 103)]
    controller.step(T0 + SECOND, [group(103, 0)])
    assert sent(
        controller.step(T0 + 100 * SECOND, [call("y", call_class=URGENT, now=T0 + 100 * SECOND)])
    ) == [("y", 102)]


def test_call_in_transit_takes_the_direct_route_or_is_refused() -> None:
    controller = new_controller()
    assert sent(controller.step(T0, [call("a", in_transit=True)])) == [("a", 101)]
    controller.step(T0, [group(101, 0)])
    assert refused(controller.step(T0, [call("b", in_transit=True, call_class=URGENT)])) == ["b"]


def test_busy_trunk_group_is_reserved_for_direct_calls() -> None:
    """Guards against two-leg calls into a busy trunk group, which push the network into blocking."""
    controller = new_controller()
    for k in range(60):
        controller.step(T0 + k * SECOND, [group(101, 1)])
    now = T0 + 60 * SECOND
    assert refused(controller.step(now, [call("t", in_transit=True, now=now)])) == ["t"]
    assert len(sent(controller.step(now, [call("d", call_class=URGENT, now=now)]))) == 1


def test_calls_of_low_worth_are_refused_first_under_load() -> None:
    controller = new_controller()
    controller.step(T0, [call("warm")])
    controller.step(T0 + 80 * MS, [established("warm", 101)])
    controller.step(T0 + SECOND, [call("out", now=T0 + SECOND)])
    now = T0 + 1600 * MS
    assert refused(controller.step(now, [call("low", now=now)])) == ["low"]
    assert sent(controller.step(now, [call("urgent", call_class=URGENT, now=now)])) == [("urgent", 101)]


def test_silent_endpoint_gets_no_calls_even_before_the_timeout() -> None:
    controller = new_controller()
    controller.step(T0, [call("a")])
    now = T0 + 2500 * MS
    assert refused(controller.step(now, [call("b", now=now)])) == ["b"]


def test_lost_answer_does_not_close_an_endpoint_that_answers_other_calls() -> None:
    controller = new_controller()
    controller.step(T0, [call("lost")])
    controller.step(T0 + 100 * MS, [call("b", now=T0)])
    controller.step(T0 + 180 * MS, [established("b", 101)])
    now = T0 + 2500 * MS
    assert sent(controller.step(now, [call("c", now=now)])) == [("c", 101)]
    # The late answer arrives after all, and says nothing about the queue.
    controller.step(now, [established("lost", 101, latency_ms=2500)])
    assert controller.endpoints[101].expected_s(now) < 0.2


def test_where_answers_get_lost_one_pending_set_up_does_not_close_the_route() -> None:
    controller = new_controller()
    controller.step(T0, [call("lost")])
    controller.step(T0 + 100 * MS, [call("b", now=T0)])
    controller.step(T0 + 180 * MS, [established("b", 101)])
    now = T0 + SECOND
    controller.step(now, [call("alone", now=now)])
    assert sent(controller.step(now + 900 * MS, [call("next", now=now)])) == [("next", 101)]
    assert controller.endpoints[101].expected_s(now + 900 * MS) < 0.2
    later = now + 2400 * MS
    assert sent(controller.step(later, [call("trial", now=later)])) == [("trial", 101)]
    assert refused(controller.step(later, [call("fourth", now=later)])) == ["fourth"]


@pytest.mark.parametrize(("answered", "again"), [(False, True), (True, False)])
def test_set_up_with_a_lost_answer_is_cancelled_and_sent_again_on_the_same_route(
    answered: bool, again: bool
) -> None:
    controller = new_controller()
    controller.step(T0, [call("lost")])
    controller.step(T0 + 100 * MS, [call("b", now=T0)])
    (timer,) = [
        a
        for a in controller.step(T0 + 180 * MS, [established("b", 101)])
        if isinstance(a, interface.SetTimer)
    ]
    now = T0 + 180 * MS + timer.delay_ns
    assert now == T0 + CHECK.aim_ns // 5
    if answered:
        controller.step(now, [established("lost", 101)])
    cancelled = controller.step(now, [interface.TimerExpired(timer.timer_id)]) == [
        interface.CancelSetUp("lost", 0)
    ]
    assert cancelled == again
    if again:
        controller.step(now, [ended("lost", 101, "called_off")])
        assert sent(controller.step(now + 300 * MS, [interface.TimerExpired("lost")])) == [("lost", 101)]
        # The timer of the first attempt has no effect on the second one.
        assert controller.step(now + 900 * MS, [interface.TimerExpired(timer.timer_id)]) == []


def test_failed_set_up_is_sent_again_on_the_same_route_unless_the_lines_are_busy() -> None:
    controller = new_controller()
    controller.step(T0, [call("a"), call("b")])
    assert refused(controller.step(T0, [ended("b", 101, "server_error", cause=4)])) == ["b"]
    for attempt in range(3):
        assert sent(controller.step(T0, [ended("a", 101, "server_error", attempt=attempt)])) == [("a", 101)]
    assert refused(controller.step(T0, [ended("a", 101, "server_error", attempt=3)])) == ["a"]


def test_overloaded_endpoint_gets_no_calls_though_it_refused_quickly() -> None:
    """Incidents ia6cd60 and ic8b864: quick refusals were taken for short waits."""
    controller = new_controller()
    controller.step(T0, [call("a")])
    controller.step(T0 + 20 * MS, [ended("a", 101, "turned_away", cause=3, latency_ms=20)])
    now = T0 + 50 * MS
    assert refused(controller.step(now, [call("b", now=now)])) == ["b"]
    later = T0 + 60 * SECOND
    assert sent(controller.step(later, [call("c", now=later)])) == [("c", 101)]


def test_call_is_refused_at_once_while_the_own_processor_is_down() -> None:
    """Incident ifc1160: a call was tried on every route while no set-up could be sent at all."""
    controller = new_controller()
    controller.step(T0, [call("a")])
    actions = controller.step(T0, [ended("a", 101, "not_sent", cause=3)])
    assert refused(actions) == ["a"] and sent(actions) == []


def test_reported_wait_is_used() -> None:
    controller = new_controller()
    controller.step(
        T0,
        [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", 2500.0),)))],
    )
    assert refused(controller.step(T0, [call("a")])) == ["a"]
    unreported = new_controller()
    unreported.step(
        T0,
        [
            interface.TrunkGroupReport(
                101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", -1.0), ("new", 9.0)))
            )
        ],
    )
    assert sent(unreported.step(T0, [call("a")])) == [("a", 101)]


def test_queued_calls_take_freed_circuits_in_order() -> None:
    controller = new_controller(free=0)
    controller.step(T0, [call("d1", call_class=URGENT), call("d2", call_class=URGENT)])
    assert [n for n, _ in sent(controller.step(T0 + 100 * MS, [group(101, 1)]))] == ["d1"]
    assert [n for n, _ in sent(controller.step(T0 + 200 * MS, [group(101, 1)]))] == ["d2"]


def test_refusals_carry_a_retry_delay_within_the_target_time_where_allowed() -> None:
    for allowed in (True, False):
        controller = new_controller(may_send_retry_after=allowed)
        controller.step(T0, [interface.ExchangeListUpdate("replace", (entry(100),))])
        (answer,) = controller.step(T0, [call("a")])
        assert isinstance(answer, interface.RefuseCall)
        assert (0 < answer.retry_after_ns < CHECK.aim_ns) if allowed else answer.retry_after_ns == 0


def test_number_with_busy_lines_is_remembered_in_a_bounded_table() -> None:
    controller = new_controller()
    for k in range(12):
        controller.step(T0, [call(f"c{k}", call_class=URGENT, number=5)])
        controller.step(T0, [ended(f"c{k}", 101, "server_error", cause=4, latency_ms=1)])
    assert controller.busy_numbers[5].value(T0) > 0.9
    for k in range(MAX_NUMBERS + 50):
        controller.step(T0 + SECOND, [call(f"n{k}", call_class=URGENT, number=1000 + k)])
        controller.step(T0 + SECOND, [ended(f"n{k}", 101, "server_error", cause=4, latency_ms=1)])
    assert len(controller.busy_numbers) <= MAX_NUMBERS


def test_pools_are_all_routes_and_the_first_choice_comes_first() -> None:
    controller = new_controller(layout="groups", own_exchange=-1, pools_by_class=((1, 2), ()))
    assert sent(controller.step(T0, [call("a", destination=2)])) == [("a", 102)]
    (again,) = sent(controller.step(T0 + MS, [ended("a", 102, "turned_away", cause=1)]))
    assert again == ("a", 101)


def test_list_that_must_be_requested_is_requested_again_after_a_failure() -> None:
    controller = Controller(settings(discovery="ask"), 1)
    assert controller.step(T0, [interface.ExchangeListUpdate("restored", (entry(101),))]) == [
        interface.WatchExchangeList()
    ]
    (timer,) = controller.step(T0 + SECOND, [interface.ExchangeListUpdate("unavailable", ())])
    assert isinstance(timer, interface.SetTimer)
    assert controller.step(T0 + 2 * SECOND, [interface.TimerExpired(timer.timer_id)]) == [
        interface.WatchExchangeList()
    ]


def test_same_events_lead_to_the_same_actions() -> None:
    def simulate() -> list[interface.Action]:
        controller, actions = new_controller(), []
        for k in range(200):
            now = T0 + k * 50 * MS
            events: list[interface.Event] = [
                call(f"c{k}", destination=1 + k % 3, now=now),
                group(101 + k % 3, k % 7),
            ]
            actions += controller.step(now, events)
        return actions

    assert simulate() == simulate() and len(simulate()) > 100


def test_events_about_unknown_calls_and_endpoints_are_ignored() -> None:
    controller = new_controller()
    unknown: list[interface.Event] = [
        ended("nobody", 101, "served"), ended("nobody", 999, "no_answer"), established("nobody", 999),
        interface.CallAbandoned("nobody"), interface.TimerExpired("nobody"), group(999, 3),
        interface.PeerMessage(2, b"?"),
    ]  # fmt: skip
    assert controller.step(T0, unknown) == []
    controller.step(T0, [call("a")])
    controller.step(T0 + MS, [ended("a", 101, "served", call_ended=True)])
    assert controller.step(T0 + MS, [ended("a", 101, "no_answer")]) == []
    assert sent(controller.step(T0 + MS, [call("b", now=T0 + MS)])) == [("b", 101)]


def test_unknown_class_counts_as_the_one_of_least_worth() -> None:
    assert sent(new_controller().step(T0, [call("a", class_name="brand-new")])) == [("a", 101)]


@pytest.mark.parametrize(
    ("field", "value"),
    [("classes", ()), ("layout", "ring"), ("controllers", 0), ("start_capacity", 0.0), ("fall_ns", 0)],
)
def test_invalid_settings_name_the_field(field: str, value: object) -> None:
    with pytest.raises(ValueError, match=field):
        settings(**{field: value})


def test_set_up_lost_in_a_restarted_endpoint_does_not_keep_others_away() -> None:
    """Incident i4605d8: an unanswered set-up of a patient caller closed the endpoint for many seconds."""
    controller = new_controller()
    controller.step(T0, [call("a", deadline_ns=T0 + 9 * SECOND)])
    during, after = T0 + 3 * SECOND, T0 + 9 * SECOND
    assert refused(controller.step(during, [call("b", now=during)])) == ["b"]
    assert refused(controller.step(T0 + 4 * SECOND, [call("c", now=T0 + 4 * SECOND)])) == ["c"]
    assert sent(controller.step(after, [call("d", now=after)])) == [("d", 101)]


@pytest.mark.parametrize("marked", [True, False])
def test_redial_past_its_target_time_yields_and_a_cut_call_starts_again(marked: bool) -> None:
    """In overload most tries are redials; those past their target time earn only the late share."""
    controller = new_controller(redials_marked=marked)
    controller.step(T0, [interface.ExchangeListUpdate("update", (entry(101, "terminating"),))])
    assert refused(controller.step(T0, [call("a", number=5)])) == ["a"]
    now = T0 + 3 * SECOND
    controller.step(now, [interface.ExchangeListUpdate("update", (entry(101),)), group(101, 20)])
    controller.step(
        now,
        [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", 150.0),)))],
    )
    late = call("b", number=5, now=now, redialled=marked)
    assert refused(controller.step(now, [late])) == ["b"]
    assert sent(controller.step(now, [call("c", number=5, now=now, replaces_cut_call=True)])) == [("c", 101)]
    assert sent(controller.step(now, [call("d", number=6, now=now, redialled=marked)])) == [("d", 101)]


def test_tenant_beyond_its_quota_yields_to_the_others() -> None:
    tenants = (interface.Tenant("big", 4.0), interface.Tenant("small", 4.0))
    controller = new_controller(tenants=tenants)
    for k in range(200):  # 10 per second here, so about 40 over all exchanges: ten times the quota
        now = T0 + k * 100 * MS
        controller.step(now, [call(f"c{k}", now=now, tenant="big", destination=2), group(102, 20)])
        controller.step(
            now,
            [
                established(f"c{k}", 102),
                call(f"n{k}", now=now, destination=3),
                group(103, 20),
                established(f"n{k}", 103),
            ],
        )
    now = T0 + 21 * SECOND
    controller.step(
        now,
        [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", 500.0),)))],
    )
    assert refused(controller.step(now, [call("x", now=now, tenant="big")])) == ["x"]
    assert sent(controller.step(now, [call("y", now=now, tenant="small")])) == [("y", 101)]


def test_implausible_reported_wait_does_not_close_an_endpoint_for_good() -> None:
    """Incident i3a944e: after a crash an endpoint reported a wait of 16 days."""
    controller = new_controller()
    controller.step(
        T0, [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("svc_ms", 1.4e9),)))]
    )
    assert refused(controller.step(T0, [call("a")])) == ["a"]
    later = T0 + 10 * SECOND
    assert sent(controller.step(later, [call("b", now=later)])) == [("b", 101)]


def test_requested_load_reduction_holds_for_a_while() -> None:
    controller = new_controller()
    controller.step(
        T0, [interface.TrunkGroupReport(101, "served", 0, interface.LoadReport(20, 20, (("cut_by", 1.0),)))]
    )
    assert refused(controller.step(T0, [call("a")])) == ["a"]
    later = T0 + 60 * SECOND
    assert sent(controller.step(later, [call("b", now=later)])) == [("b", 101)]


def test_terminated_endpoints_are_dropped_from_the_table() -> None:
    controller = new_controller()
    for k in range(400):
        old, new = 1001 + 100 * k, 1101 + 100 * k
        controller.step(
            T0 + k * SECOND, [interface.ExchangeListUpdate("update", (entry(old, "terminated"), entry(new)))]
        )
    assert len(controller.endpoints) <= 260


def test_replacement_takes_over_the_trunk_group_of_its_exchange() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 0, 0)])
    update = interface.ExchangeListUpdate(
        "update", (entry(101, "terminating"), entry(201, started_ns=T0 - 60 * SECOND))
    )
    assert [n for _, n in sent(controller.step(T0 + MS, [update, call("a")]))] in ([102], [103])


def test_full_trunk_group_of_unknown_size_is_not_tried_before_a_report_of_free_circuits() -> None:
    controller = new_controller(free=0)
    controller.step(T0, [interface.ExchangeListUpdate("update", (entry(104, started_ns=T0 - 60 * SECOND),))])
    assert sent(controller.step(T0, [call("a", destination=4)])) == [("a", 104)]
    controller.step(T0, [ended("a", 104, "not_sent", cause=1)])
    assert sent(controller.step(T0, [call("b", destination=4)])) == []
    controller.step(T0, [group(104, 1, 1)])
    assert sent(controller.step(T0, [call("c", destination=4)])) == [("c", 104)]


def _tandem_of(controller: Controller, name: str, now: int = T0) -> int:
    ((_, endpoint_id),) = sent(controller.step(now, [call(name, call_class=URGENT, now=now)]))
    return endpoint_id


def test_remote_leg_that_never_carried_a_call_is_avoided_longer_than_a_full_one() -> None:
    later = T0 + 30 * SECOND
    for worked, again in ((False, 103), (True, 102)):
        controller = new_controller()
        controller.step(T0, [group(101, 0), group(103, 0)])
        if worked:
            assert _tandem_of(controller, "a") == 102
            controller.step(T0, [established("a", 102)])
        assert _tandem_of(controller, "b") == 102
        controller.step(T0, [ended("b", 102, "turned_away", cause=2)])
        controller.step(later, [group(103, 3), group(102, 20)])
        assert _tandem_of(controller, "c", later) == again


def test_call_in_transit_shows_that_its_exchange_has_no_direct_route() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 0)])
    controller.step(T0, [call(f"t{k}", in_transit=True, via_exchange=2) for k in range(3)])
    assert [_tandem_of(controller, f"c{k}") for k in range(6)] == [103] * 6


def test_calls_offered_in_one_batch_are_handled_by_worth() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 1), group(102, 0), group(103, 0)])
    now = T0 + 2 * SECOND
    batch: list[interface.Event] = [call("low", now=now), call("urgent", call_class=URGENT, now=now)]
    assert sent(controller.step(now, batch)) == [("urgent", 101)]


def test_latency_that_includes_an_own_pause_does_not_close_an_endpoint() -> None:
    controller = new_controller()
    controller.step(T0, [call("a")])
    now = T0 + 2 * SECOND
    controller.step(now, [established("a", 101, latency_ms=1900)])
    assert sent(controller.step(now, [call("b", now=now)])) == [("b", 101)]


def test_wait_known_from_a_latency_has_drained_since_the_set_up_was_sent() -> None:
    controller = new_controller()
    controller.step(T0, [call("a")])
    controller.step(T0 + 80 * MS, [established("a", 101)])
    for k in range(1, 11):
        controller.step(T0 + k * 100 * MS, [call("b", call_class=URGENT)] if k == 1 else [])
    now = T0 + 1100 * MS
    controller.step(now, [established("b", 101, latency_ms=1000)])
    assert 0.3 < controller.endpoints[101].expected_s(now) < 0.7


def test_callers_who_abandon_early_do_not_close_an_endpoint() -> None:
    controller = new_controller()
    now = T0
    for k in range(12):
        now = T0 + k * 400 * MS
        controller.step(now, [call(f"c{k}", now=now)])
        for tick in range(1, 4):
            controller.step(now + tick * 90 * MS, [])
        controller.step(now + 300 * MS, [interface.CallAbandoned(f"c{k}")])
    now += SECOND
    assert sent(controller.step(now, [call("x", now=now)])) == [("x", 101)]


def test_tandem_whose_controller_stalls_is_avoided() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 0), group(103, 0)])
    for k in range(4):
        now = T0 + k * 100 * MS
        assert _tandem_of(controller, f"c{k}", now) == 102
        controller.step(now, [established(f"c{k}", 102, latency_ms=1800)])
    now = T0 + SECOND
    controller.step(now, [group(103, 3)])
    assert _tandem_of(controller, "x", now) == 103


def _peer_message(controller: Controller) -> bytes:
    (payload,) = [
        a.payload
        for a in controller.step(T0 + SECOND, [interface.TimerExpired("note")])
        if isinstance(a, interface.SendPeerMessage)
    ]
    return payload


def test_peer_messages_are_sent_only_where_allowed_and_seldom() -> None:
    updates: list[interface.Event] = [
        interface.ExchangeListUpdate("restored", tuple(entry(n) for n in (100, 101, 102, 103)))
    ]
    for may_message_peers in (False, True):
        controller = Controller(settings(may_message_peers=may_message_peers), 1)
        timer_ids = [a.timer_id for a in controller.step(T0, updates) if isinstance(a, interface.SetTimer)]
        assert timer_ids == (["note"] if may_message_peers else [])
    again = [
        a
        for a in controller.step(T0 + SECOND, [interface.TimerExpired("note")])
        if isinstance(a, interface.SetTimer)
    ]
    assert [a.timer_id for a in again] == ["note"] and again[0].delay_ns >= 10 * SECOND


def test_peer_message_tells_which_trunk_groups_of_a_tandem_exist() -> None:
    sender = new_controller(may_message_peers=True, own_exchange=2)
    sender.step(T0, [interface.ExchangeListUpdate("update", (entry(100),)), group(101, 0, 0), group(103, 9)])
    controller = new_controller(may_message_peers=True)
    controller.step(T0, [group(101, 0), group(103, 0)])
    assert _tandem_of(controller, "a") == 102
    controller.step(T0, [interface.PeerMessage(1, _peer_message(sender)), group(103, 3)])
    assert [_tandem_of(controller, f"b{k}") for k in range(2)] == [103, 103]


@pytest.mark.parametrize(
    "payload", [b"", b"\x01", b"\x01\x00\x02", b"\x01\x00\x02\xff", b"\x07\x00\x02\x00\x00"]
)
def test_malformed_peer_message_is_ignored(payload: bytes) -> None:
    controller = new_controller(may_message_peers=True)
    controller.step(
        T0,
        [
            group(101, 0),
            group(103, 0),
            interface.PeerMessage(1, payload),
            interface.PeerMessage(1, b"\x01\xff\xff\x00\x00"),
        ],
    )
    assert _tandem_of(controller, "a") == 102


def test_calls_to_unlisted_destinations_and_the_own_exchange_are_refused() -> None:
    controller = Controller(settings(controllers=1, may_message_peers=True), 1)
    controller.step(
        T0, [interface.ExchangeListUpdate("restored", (entry(100),)), interface.TimerExpired("note")]
    )
    assert refused(
        controller.step(T0, [call("a", destination=1), call("b", destination=0), call("c", destination=-1)])
    ) == ["a", "b", "c"]
    assert refused(
        new_controller().step(
            T0, [call("d", destination=40), call("e", destination=40, in_transit=True, via_exchange=50)]
        )
    ) == [
        "d",
        "e",
    ]


def test_routes_among_67_exchanges_avoid_pairs_without_a_trunk_group() -> None:
    controller = Controller(settings(controllers=67, may_message_peers=True), 1)
    controller.step(T0, [interface.ExchangeListUpdate("restored", tuple(entry(100 + n) for n in range(67)))])
    controller.step(T0, [group(100 + n, 20 * (n % 2), 20 * (n % 2)) for n in range(1, 67)])
    assert _tandem_of(controller, "a") % 2 == 1
    ((_, endpoint_id),) = sent(controller.step(T0, [call("b", destination=2, call_class=URGENT)]))
    assert endpoint_id % 2 == 1
    assert len(_peer_message(controller)) <= 256


def test_slow_tandem_counts_as_idle_later_than_a_direct_route() -> None:
    controller = new_controller()
    controller.step(T0, [group(101, 0), group(103, 3)])
    for k in range(4):
        now = T0 + k * 20 * MS
        controller.step(now, [call(f"c{k}", destination=2, call_class=URGENT, now=now)])
        controller.step(now + 10 * MS, [established(f"c{k}", 102, latency_ms=80 if k == 0 else 1500)])
    now = T0 + 4 * SECOND
    controller.step(now, [group(103, 3)])
    assert controller.endpoints[102].expected_s(now) < 0.2
    assert _tandem_of(controller, "x", now) == 103


def test_recent_answer_outweighs_the_mean_wait_on_two_leg_routes() -> None:
    controller = new_controller()
    for k, latency_ms in enumerate((80, 1500, 1500, 80)):
        now = T0 + k * 200 * MS
        controller.step(now, [call(f"c{k}", destination=2, call_class=URGENT, now=now)])
        controller.step(now + 10 * MS, [established(f"c{k}", 102, latency_ms=latency_ms)])
    assert controller.endpoints[102].expected_smoothed_s(now + 10 * MS) < 0.2
    assert controller.endpoints[102].expected_smoothed_s(now + 4 * SECOND) > 0.5
