"""Route table: available exchanges by list state, configuration and results of call attempts."""

from __future__ import annotations

from collections import Counter
from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.pools.config import (
    PoolConfig,
    PoolMember,
    RouteConfig,
    RoutingConfig,
    fallback_order,
    find_district,
    route_name,
)
from arrowrail.pools.health import EJECTION_THRESHOLD, MAX_EJECTION_NS, ExchangeHealth
from arrowrail.pools.route_table import (
    CLASS_NOT_CARRIED,
    DRAINING,
    GONE,
    IN_USE,
    NO_DISTRICT,
    NOT_LISTED,
    PROBES_FAILED,
    UNREACHABLE,
    RouteTable,
)

SECOND_NS = 1_000_000_000
ROUTE = route_name("call", "north")


def pool(  # type: ignore[no-untyped-def]
    name: str, *members: int, min_share: Fraction = Fraction(1, 2), weights: dict[int, int] | None = None
):
    return PoolConfig(name, tuple(PoolMember(m, (weights or {}).get(m, 1)) for m in members), min_share)


def routing_config(*pools: PoolConfig, order: tuple[str, ...] = ("one", "two")) -> RoutingConfig:
    routes = {ROUTE: RouteConfig(ROUTE, "call", "north", order)}
    return RoutingConfig({p.name: p for p in pools}, routes, {"09": "north", "096": "south"})


def route_table(
    *pools: PoolConfig, in_service: tuple[int, ...] = (1, 2, 3, 4), order: tuple[str, ...] = ("one", "two")
) -> RouteTable:
    table = RouteTable(routing_config(*(pools or (pool("one", 1, 2), pool("two", 3, 4))), order=order))
    table.update_states([(exchange, "in_service") for exchange in in_service])
    return table


def test_no_exchange_is_available_before_the_first_list_update() -> None:
    table = RouteTable(routing_config(pool("one", 1)))
    assert table.availability(ROUTE).is_empty and table.exchange_state(1) == NOT_LISTED
    assert table.update_states([(1, "in_service")])[ROUTE].exchanges == (1,)
    assert table.update_states([(1, "in_service")]) == {}


def test_only_the_first_pool_is_used_while_it_has_its_minimum_share() -> None:
    table = route_table()
    assert table.availability(ROUTE).exchanges == (1, 2)
    assert table.update_states([(1, "terminating")]) == {ROUTE: table.availability(ROUTE)}
    # Half of the weight is left, which is the minimum share.
    assert table.availability(ROUTE).exchanges == (2,) and table.exchange_state(1) == DRAINING


def test_fallback_pool_is_added_below_the_minimum_share_and_removed_again() -> None:
    table = route_table(
        pool("one", 1, 2, 5, min_share=Fraction(2, 3)), pool("two", 3, 4), in_service=(1, 2, 3, 4, 5)
    )
    table.update_states([(1, "terminating"), (2, "terminated")])
    assert table.availability(ROUTE).exchanges == (5, 3, 4) and table.exchange_state(2) == GONE
    assert (
        table.availability(ROUTE).explanation == "one: 1 of 3 in use (1 draining, 2 gone); two: 2 of 2 in use"
    )
    table.update_states([(1, "in_service")])
    assert table.availability(ROUTE).exchanges == (1, 5)


def test_only_the_fallback_is_used_when_the_first_pool_is_empty_and_then_nothing() -> None:
    table = route_table()
    table.update_states([(1, "terminated"), (2, "terminating")])
    assert table.availability(ROUTE).exchanges == (3, 4)
    changed = table.update_states([(3, "terminated"), (4, "terminated")])
    assert changed[ROUTE].is_empty and table.route_call("call", "0911").exchange == -1


def test_minimum_share_of_zero_still_requires_one_exchange() -> None:
    table = route_table(pool("one", 1, min_share=Fraction(0)), pool("two", 3))
    assert table.availability(ROUTE).exchanges == (1,)
    table.update_states([(1, "terminating")])
    assert table.availability(ROUTE).exchanges == (3,)


def test_exchange_in_two_pools_counts_once() -> None:
    table = route_table(pool("one", 1, 2, min_share=Fraction(1)), pool("two", 2, 3))
    table.update_states([(1, "terminating")])
    assert table.availability(ROUTE).exchanges == (2, 3)


def test_first_choices_follow_weights_and_are_spread_evenly() -> None:
    table = route_table(pool("one", 1, 2, 3, weights={1: 4, 2: 2, 3: 1}), order=("one",))
    chosen = [table.route_call("call", "0911").exchange for _ in range(70)]
    assert Counter(chosen) == {1: 40, 2: 20, 3: 10}
    assert all(chosen[n : n + 3].count(2) < 3 for n in range(68)) and chosen[:7] == chosen[7:14]


def test_longest_prefix_wins_and_a_given_district_takes_precedence() -> None:
    table = route_table()
    assert table.route_call("call", "0911").route == ROUTE
    # The district south is known, but the class has no pool there.
    assert table.route_call("call", "0961").failure_reason == CLASS_NOT_CARRIED
    assert table.route_call("call", "0961", "north").route == ROUTE
    assert table.route_call("call", "1").failure_reason == NO_DISTRICT
    assert table.route_call("other", "0911").failure_reason == CLASS_NOT_CARRIED
    assert find_district({"": "all", "9": "nine"}, "95", 1) == "nine"


def test_connect_failures_eject_an_exchange_and_a_successful_trial_restores_it() -> None:
    table, now = route_table(), 100 * SECOND_NS
    for _ in range(EJECTION_THRESHOLD - 1):
        assert table.record_connect_failure(now, 1) == {}
    assert (
        table.record_connect_failure(now, 1)[ROUTE].exchanges == (2,)
        and table.exchange_state(1) == UNREACHABLE
    )
    assert table.next_trial_at() > now and table.start_due_trials(now) == {}
    now = table.next_trial_at()
    assert table.start_due_trials(now)[ROUTE].exchanges == (1, 2) and table.next_trial_at() == 0
    # The trial fails: ejected again, for longer than before.
    assert table.record_connect_failure(now, 1)[ROUTE].exchanges == (2,)
    second_ejection_ns = table.next_trial_at() - now
    now = table.next_trial_at()
    table.start_due_trials(now)
    assert table.record_connect_failure(now, 1) and table.next_trial_at() - now == 2 * second_ejection_ns
    assert table.record_answer(1)[ROUTE].exchanges == (1, 2) and table.record_answer(1) == {}


def test_exchange_that_answers_between_failures_stays_in_use() -> None:
    table = route_table()
    for _ in range(5 * EJECTION_THRESHOLD):
        assert table.record_connect_failure(SECOND_NS, 1) == {}
        assert table.record_answer(1) == {}


def test_ejection_time_is_bounded_and_reset_by_the_list() -> None:
    health, now = ExchangeHealth(), SECOND_NS
    for _ in range(20):
        while not health.record_connect_failure(now):
            pass
        now = health.ejected_until
        assert health.start_trial_if_due(now)
    assert health.ejection_ns == MAX_EJECTION_NS
    table = route_table()
    for _ in range(EJECTION_THRESHOLD):
        table.record_connect_failure(now, 1)
    table.update_states([(1, "terminated")])
    assert table.update_states([(1, "in_service")])[ROUTE].exchanges == (1, 2)


def test_exchange_with_failed_probes_is_used_only_where_there_is_no_other() -> None:
    table = route_table()
    assert (
        table.set_probe_failures([1])[ROUTE].exchanges == (2,)
        and table.exchange_state(1) == PROBES_FAILED
        and table.set_probe_failures([1]) == {}
    )
    assert table.set_probe_failures([1, 2])[ROUTE].exchanges == (3, 4)
    # All probes fail: the fault is taken to be the probing instance's own.
    assert table.set_probe_failures([1, 2, 3, 4])[ROUTE].exchanges == (1, 2)
    table.update_states([(1, "terminating")])
    assert table.availability(ROUTE).exchanges == (2,)  # probe failures don't override draining
    table.set_probe_failures([])
    assert table.availability(ROUTE).exchanges == (2,)


def test_reload_reports_routes_with_changed_exchanges() -> None:
    table = route_table()
    assert table.update_config(routing_config(pool("one", 1, 2), pool("two", 3, 4))) == {}
    changed = table.update_config(routing_config(pool("one", 2), pool("two", 3, 4)))
    assert changed[ROUTE].exchanges == (2,)
    gone = table.update_config(RoutingConfig({}, {}, {}))
    assert gone[ROUTE].is_empty and table.route_call("call", "0911").failure_reason == NO_DISTRICT


def test_fallback_order_lists_each_pool_once() -> None:
    pools = {"a": ("b", "c"), "b": ("d", "a"), "c": (), "d": ("c", "x")}
    assert fallback_order(pools, "a") == ("a", "b", "c", "d") and fallback_order(pools, "x") == ()


STATES = st.sampled_from(["in_service", "terminating", "terminated"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("list"), st.integers(1, 4), STATES),
        st.tuples(st.just("failure"), st.integers(1, 4), st.just("")),
        st.tuples(st.just("answer"), st.integers(1, 4), st.just("")),
        st.tuples(st.just("due"), st.integers(1, 40), st.just("")),
        st.tuples(st.just("config"), st.integers(1, 4), st.just("")),
    ),
    max_size=60,
)  # fmt: skip


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS)
def test_any_sequence_of_events_allows_only_exchanges_in_use_and_reports_changes(
    steps: list[tuple[str, int, str]],
) -> None:
    table, now = route_table(), SECOND_NS
    known: dict[str, tuple[int, ...]] = {ROUTE: (1, 2)}
    for kind, number, state in steps:
        if kind == "list":
            changed = table.update_states([(number, state)])
        elif kind == "failure":
            changed = table.record_connect_failure(now, number)
        elif kind == "answer":
            changed = table.record_answer(number)
        elif kind == "due":
            now += number * SECOND_NS
            changed = table.start_due_trials(now)
        else:
            changed = table.update_config(
                routing_config(pool("one", *range(1, number + 1)), pool("two", 3, 4))
            )
        known |= {route: availability.exchanges for route, availability in changed.items()}
        availability = table.availability(ROUTE)
        assert known[ROUTE] == availability.exchanges  # the reported changes add up to the current state
        assert len(set(availability.exchanges)) == len(availability.exchanges)
        assert all(table.exchange_state(e) == IN_USE for e in availability.exchanges)
        if any(
            table.exchange_state(m.exchange) == IN_USE
            for p in ("one", "two")
            for m in table.config.pools[p].members
        ):
            assert (
                availability.exchanges and table.route_call("call", "0911").exchange in availability.exchanges
            )
