"""Pools: which exchanges a class may use now, from the list, the plan and what calls have shown."""

from __future__ import annotations

from collections import Counter
from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.pools.book import (
    DOUBTED,
    DRAINS,
    GONE,
    IN_USE,
    NO_DISTRICT,
    NOT_CARRIED,
    UNHEARD,
    UNREACHED,
    Book,
)
from arrowrail.pools.health import LONGEST_OUT_NS, MISSES, Health
from arrowrail.pools.plan import Member, Plan, PoolPlan, RoutePlan, district_of, fallback_order, route_name

S = 1_000_000_000
ROUTE = route_name("call", "north")


def pool(name: str, *members: int, keep: Fraction = Fraction(1, 2), weights: dict[int, int] | None = None):  # type: ignore[no-untyped-def]
    return PoolPlan(name, tuple(Member(m, (weights or {}).get(m, 1)) for m in members), keep)


def plan(*pools: PoolPlan, order: tuple[str, ...] = ("one", "two")) -> Plan:
    routes = {ROUTE: RoutePlan(ROUTE, "call", "north", order)}
    return Plan({p.name: p for p in pools}, routes, {"09": "north", "096": "south"})


def book(
    *pools: PoolPlan, up: tuple[int, ...] = (1, 2, 3, 4), order: tuple[str, ...] = ("one", "two")
) -> Book:
    found = Book(plan(*(pools or (pool("one", 1, 2), pool("two", 3, 4))), order=order))
    found.told([(exchange, "in_service") for exchange in up])
    return found


def test_nothing_may_be_used_before_the_list_has_spoken() -> None:
    empty = Book(plan(pool("one", 1)))
    assert empty.allowed(ROUTE).none and empty.state(1) == UNHEARD
    assert empty.told([(1, "in_service")])[ROUTE].exchanges == (1,)
    assert empty.told([(1, "in_service")]) == {}


def test_the_first_pool_alone_while_it_carries_its_share() -> None:
    b = book()
    assert b.allowed(ROUTE).exchanges == (1, 2)
    assert b.told([(1, "terminating")]) == {ROUTE: b.allowed(ROUTE)}
    assert b.allowed(ROUTE).exchanges == (2,) and b.state(1) == DRAINS  # a half is what it keeps


def test_below_its_share_the_fallback_joins_in_and_leaves_again() -> None:
    b = book(pool("one", 1, 2, 5, keep=Fraction(2, 3)), pool("two", 3, 4), up=(1, 2, 3, 4, 5))
    b.told([(1, "terminating"), (2, "terminated")])
    assert b.allowed(ROUTE).exchanges == (5, 3, 4) and b.state(2) == GONE
    assert b.allowed(ROUTE).why == "one: 1 of 3 in use (1 drains, 2 gone); two: 2 of 2 in use"
    b.told([(1, "in_service")])
    assert b.allowed(ROUTE).exchanges == (1, 5)


def test_with_none_left_the_fallback_is_all_and_then_nothing() -> None:
    b = book()
    b.told([(1, "terminated"), (2, "terminating")])
    assert b.allowed(ROUTE).exchanges == (3, 4)
    changed = b.told([(3, "terminated"), (4, "terminated")])
    assert changed[ROUTE].none and b.place("call", "0911").exchange == -1


def test_a_keep_of_nothing_still_needs_one_exchange() -> None:
    b = book(pool("one", 1, keep=Fraction(0)), pool("two", 3))
    assert b.allowed(ROUTE).exchanges == (1,)
    b.told([(1, "terminating")])
    assert b.allowed(ROUTE).exchanges == (3,)


def test_an_exchange_in_two_pools_counts_once() -> None:
    b = book(pool("one", 1, 2, keep=Fraction(1)), pool("two", 2, 3))
    b.told([(1, "terminating")])
    assert b.allowed(ROUTE).exchanges == (2, 3)


def test_first_choices_go_by_weight_and_never_in_clumps() -> None:
    b = book(pool("one", 1, 2, 3, weights={1: 4, 2: 2, 3: 1}), order=("one",))
    chosen = [b.place("call", "0911").exchange for _ in range(70)]
    assert Counter(chosen) == {1: 40, 2: 20, 3: 10}
    assert all(chosen[n : n + 3].count(2) < 3 for n in range(68)) and chosen[:7] == chosen[7:14]


def test_a_number_s_longest_prefix_decides_and_a_named_district_goes_first() -> None:
    b = book()
    assert b.place("call", "0911").route == ROUTE
    assert b.place("call", "0961").why_not == NOT_CARRIED  # south is known, and the class has no pool there
    assert b.place("call", "0961", "north").route == ROUTE
    assert b.place("call", "1").why_not == NO_DISTRICT
    assert b.place("other", "0911").why_not == NOT_CARRIED
    assert district_of({"": "all", "9": "nine"}, "95", 1) == "nine"


def test_attempts_without_a_connection_take_an_exchange_out_and_a_trial_brings_it_back() -> None:
    b, now = book(), 100 * S
    for _ in range(MISSES - 1):
        assert b.missed(now, 1) == {}
    assert b.missed(now, 1)[ROUTE].exchanges == (2,) and b.state(1) == UNREACHED
    assert b.next_due() > now and b.due(now) == {}
    now = b.next_due()
    assert b.due(now)[ROUTE].exchanges == (1, 2) and b.next_due() == 0
    # The trial fails: out again, for longer than before.
    assert b.missed(now, 1)[ROUTE].exchanges == (2,)
    second = b.next_due() - now
    now = b.next_due()
    b.due(now)
    assert b.missed(now, 1) and b.next_due() - now == 2 * second
    assert b.heard(1)[ROUTE].exchanges == (1, 2) and b.heard(1) == {}


def test_one_that_answers_between_misses_stays() -> None:
    b = book()
    for _ in range(5 * MISSES):
        assert b.missed(S, 1) == {}
        assert b.heard(1) == {}


def test_the_time_out_is_bounded_and_the_list_starts_it_afresh() -> None:
    health, now = Health(), S
    for _ in range(20):
        while not health.miss(now):
            pass
        now = health.out_until
        assert health.due(now)
    assert health.out_ns == LONGEST_OUT_NS
    b = book()
    for _ in range(MISSES):
        b.missed(now, 1)
    b.told([(1, "terminated")])
    assert b.told([(1, "in_service")])[ROUTE].exchanges == (1, 2)


def test_one_that_probes_found_silent_is_used_only_where_there_is_no_other() -> None:
    b = book()
    assert b.doubted([1])[ROUTE].exchanges == (2,) and b.state(1) == DOUBTED and b.doubted([1]) == {}
    assert b.doubted([1, 2])[ROUTE].exchanges == (3, 4)
    assert b.doubted([1, 2, 3, 4])[ROUTE].exchanges == (1, 2)  # all of them: the doubt is the prober's
    b.told([(1, "terminating")])
    assert b.allowed(ROUTE).exchanges == (2,)  # a drain stays a drain
    b.doubted([])
    assert b.allowed(ROUTE).exchanges == (2,)


def test_a_reload_says_which_routes_go_elsewhere() -> None:
    b = book()
    assert b.use(plan(pool("one", 1, 2), pool("two", 3, 4))) == {}
    changed = b.use(plan(pool("one", 2), pool("two", 3, 4)))
    assert changed[ROUTE].exchanges == (2,)
    gone = b.use(Plan({}, {}, {}))
    assert gone[ROUTE].none and b.place("call", "0911").why_not == NO_DISTRICT


def test_fallbacks_follow_their_order_once_each() -> None:
    pools = {"a": ("b", "c"), "b": ("d", "a"), "c": (), "d": ("c", "x")}
    assert fallback_order(pools, "a") == ("a", "b", "c", "d") and fallback_order(pools, "x") == ()


STATES = st.sampled_from(["in_service", "terminating", "terminated"])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("list"), st.integers(1, 4), STATES),
        st.tuples(st.just("miss"), st.integers(1, 4), st.just("")),
        st.tuples(st.just("hear"), st.integers(1, 4), st.just("")),
        st.tuples(st.just("due"), st.integers(1, 40), st.just("")),
        st.tuples(st.just("plan"), st.integers(1, 4), st.just("")),
    ),
    max_size=60,
)  # fmt: skip


@settings(max_examples=150, deadline=None, derandomize=True)
@given(STEPS)
def test_over_any_history_only_what_is_in_use_is_allowed_and_changes_are_told(
    steps: list[tuple[str, int, str]],
) -> None:
    b, now = book(), S
    known: dict[str, tuple[int, ...]] = {ROUTE: (1, 2)}
    for what, number, state in steps:
        if what == "list":
            changed = b.told([(number, state)])
        elif what == "miss":
            changed = b.missed(now, number)
        elif what == "hear":
            changed = b.heard(number)
        elif what == "due":
            now += number * S
            changed = b.due(now)
        else:
            changed = b.use(plan(pool("one", *range(1, number + 1)), pool("two", 3, 4)))
        known |= {route: allowed.exchanges for route, allowed in changed.items()}
        allowed = b.allowed(ROUTE)
        assert known[ROUTE] == allowed.exchanges  # whoever follows the news knows what holds
        assert len(set(allowed.exchanges)) == len(allowed.exchanges)
        assert all(b.state(e) == IN_USE for e in allowed.exchanges)
        if any(b.state(m.exchange) == IN_USE for p in ("one", "two") for m in b.plan.pools[p].members):
            assert allowed.exchanges and b.place("call", "0911").exchange in allowed.exchanges
