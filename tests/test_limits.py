"""Admission limits: rates, connection fairness and the limiter, driven by explicit times."""

from __future__ import annotations

import random
from fractions import Fraction

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.limits.buckets import RateLimiter
from arrowrail.limits.config import NANOS_PER_UNIT, SET_UP_COST, LimitsConfig, build_limits
from arrowrail.limits.connections import ConnectionTracker
from arrowrail.limits.limiter import (
    ADMITTED,
    CONNECTION_OPEN,
    CONNECTION_RATE,
    REASON_TEXTS,
    TOTAL_OPEN,
    TOTAL_RATE,
    Limiter,
)

MILLISECOND_NS, SECOND_NS = 1_000_000, 1_000_000_000
T0 = 1_000 * SECOND_NS
WORTHS = {"alarm": 4.0, "call": 3.0, "report": 1.0}


def limits_config(
    max_open: int = 100, rate: int = 50, shares: dict[str, tuple[Fraction, Fraction]] | None = None,
    connection_share: Fraction = Fraction(1), burst_ns: int = SECOND_NS,
    max_retry_after_ns: int = 2 * SECOND_NS,
) -> LimitsConfig:  # fmt: skip
    return build_limits(
        max_open, Fraction(rate), burst_ns, connection_share, WORTHS, shares or {}, max_retry_after_ns
    )


def admit_many(
    limiter: Limiter, now: int, class_name: str, count: int, connection: object = "a"
) -> list[str]:
    return [limiter.admit(now, class_name, connection).reason for _ in range(count)]


# --- Configuration ------------------------------------------------------------------------------------


def test_capacity_without_stated_shares_is_divided_by_worth() -> None:
    config = limits_config(80, 8)
    assert {n: c.reserved_open for n, c in config.classes.items()} == {"alarm": 40, "call": 30, "report": 10}
    assert {n: c.reserved_rate for n, c in config.classes.items()} == {
        "alarm": 4 * NANOS_PER_UNIT,
        "call": 3 * NANOS_PER_UNIT,
        "report": NANOS_PER_UNIT,
    }
    assert [config.classes[n].rank for n in WORTHS] == [0, 1, 2]


def test_stated_shares_are_kept_and_the_rest_is_divided_by_worth() -> None:
    config = limits_config(100, 10, {"report": (Fraction(1, 2), Fraction(0))})
    assert (
        config.classes["report"].reserved_open == 50
        and config.classes["alarm"].reserved_open == 28
        and config.classes["call"].reserved_open == 21
    )
    assert config.classes["report"].reserved_rate == 0


def test_reserved_capacity_never_exceeds_the_total() -> None:
    over = {n: (Fraction(3, 4), Fraction(1)) for n in WORTHS}
    config = limits_config(90, 9, over)
    assert sum(c.reserved_open for c in config.classes.values()) <= 90
    assert sum(c.reserved_rate for c in config.classes.values()) <= 9 * NANOS_PER_UNIT


@pytest.mark.parametrize("worths", [{"a": 1.0, "b": 1.0}, {"a": 0.0, "b": 0.0}])
def test_equal_worths_have_the_same_rank(worths: dict[str, float]) -> None:
    config = build_limits(10, Fraction(10), SECOND_NS, Fraction(1), worths, {}, SECOND_NS)
    assert {c.rank for c in config.classes.values()} == {0} and {
        c.reserved_open for c in config.classes.values()
    } == {5}


# --- Rates ----------------------------------------------------------------------------------------------


def acquire_all(rate_limiter: RateLimiter, class_name: str, limit: int = 10_000) -> int:
    count = 0
    while count < limit and rate_limiter.try_acquire(class_name):
        count += 1
    return count


def test_burst_is_admitted_and_then_the_rate() -> None:
    rate_limiter = RateLimiter(limits_config(rate=8), T0)  # 4, 3 and 1 set-ups per second
    assert acquire_all(rate_limiter, "alarm") == 4
    rate_limiter.refill(T0 + SECOND_NS)
    assert acquire_all(rate_limiter, "alarm") == 4 + 4  # its own tokens, and the overflow of the idle classes


def test_unused_rate_is_lent_and_available_to_its_owner_at_once() -> None:
    rate_limiter = RateLimiter(limits_config(rate=80), T0)
    acquired = 0
    for step in range(1, 101):
        rate_limiter.refill(T0 + step * 100 * MILLISECOND_NS)
        acquired += acquire_all(rate_limiter, "report")
    assert acquired > 10 * 50  # far more than its own 10 per second
    assert acquire_all(rate_limiter, "alarm") >= 40  # the lending class's own bucket is still full


def test_classes_of_lower_worth_leave_shared_tokens_to_higher_worth() -> None:
    rate_limiter = RateLimiter(limits_config(rate=80), T0)
    for class_name in WORTHS:
        acquire_all(rate_limiter, class_name)
    rate_limiter.shared.tokens = rate_limiter.shared.depth
    acquire_all(rate_limiter, "report")
    left = rate_limiter.shared.tokens
    assert left >= rate_limiter.shared.depth // 3 - SET_UP_COST
    assert acquire_all(rate_limiter, "call") > 0 and rate_limiter.shared.tokens < left
    assert acquire_all(rate_limiter, "alarm") > 0 and rate_limiter.shared.tokens < SET_UP_COST


def test_class_without_reserved_rate_uses_the_shared_bucket() -> None:
    rate_limiter = RateLimiter(limits_config(rate=10, shares={"report": (Fraction(0), Fraction(0))}), T0)
    assert acquire_all(rate_limiter, "report") == 0
    rate_limiter.refill(T0 + 2 * SECOND_NS)
    assert acquire_all(rate_limiter, "report") > 0 and rate_limiter.time_to_set_up_ns("report") > 0


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(0, 400), st.sampled_from(sorted(WORTHS))), max_size=300))
def test_no_sequence_of_set_ups_exceeds_rate_and_bursts(steps: list[tuple[int, str]]) -> None:
    config = limits_config(rate=20)
    rate_limiter, now, acquired = RateLimiter(config, T0), T0, 0
    for delay_ms, class_name in steps:
        now += delay_ms * MILLISECOND_NS
        rate_limiter.refill(now)
        acquired += rate_limiter.try_acquire(class_name)
    # At most the initial bucket depths and the tokens that the rate has provided since.
    depth = sum(config.bucket_depth(c.reserved_rate) for c in config.classes.values())
    assert acquired * SET_UP_COST <= depth + config.rate * (now - T0) // NANOS_PER_UNIT


def test_new_config_keeps_remaining_tokens_up_to_the_new_depth() -> None:
    rate_limiter = RateLimiter(limits_config(rate=80), T0)
    acquire_all(rate_limiter, "alarm")
    rate_limiter.update_config(limits_config(rate=8))
    assert acquire_all(rate_limiter, "alarm") == 0 and acquire_all(rate_limiter, "report") == 1


# --- Connections ----------------------------------------------------------------------------------------


def test_single_connection_is_limited_to_its_share_and_leaves_room_for_another() -> None:
    tracker, held = ConnectionTracker(), 0
    while tracker.may_open("a", 100 - held, Fraction(2, 3)):
        tracker.set_up_admitted(T0, "a")
        held += 1
    assert held == 66
    assert tracker.may_open("b", 100 - held, Fraction(2, 3))


@pytest.mark.parametrize("count", [2, 5, 10])
def test_open_set_ups_converge_to_equal_parts(count: int) -> None:
    tracker, held = ConnectionTracker(), [0] * count
    rng = random.Random(count)
    total = [0] * count
    for step in range(20_000):
        index = rng.randrange(count)
        if tracker.may_open(index, 120 - sum(held), Fraction(2, 3)):
            tracker.set_up_admitted(T0, index)
            held[index] += 1
        ended = rng.randrange(count)
        if held[ended] and step % 3 == 0:  # set-ups end, and their capacity is requested again
            tracker.set_up_ended(ended)
            held[ended] -= 1
        if step > 4000:
            total = [a + b for a, b in zip(total, held, strict=True)]
    assert min(total) >= 0.9 * max(total) and max(held) <= 120 * 2 // (2 * count + 1) * 1.3 + 1


def test_connection_above_its_equal_part_is_unfair_until_its_count_decays() -> None:
    tracker = ConnectionTracker()
    for _ in range(40):
        tracker.set_up_admitted(T0, "flood")
    for _ in range(10):
        tracker.set_up_admitted(T0, "light")
    assert (
        not tracker.within_fair_rate(T0, "flood")
        and tracker.within_fair_rate(T0, "light")
        and tracker.within_fair_rate(T0, "new")
    )
    assert tracker.within_fair_rate(T0 + 8 * SECOND_NS, "flood")


def test_idle_connections_are_evicted() -> None:
    tracker = ConnectionTracker()
    for n in range(5000):
        tracker.set_up_admitted(T0 + n * SECOND_NS, n)
        tracker.set_up_ended(n)
    assert len(tracker) <= 4096
    tracker.evict_idle(T0 + 6000 * SECOND_NS)
    assert len(tracker) == 0
    tracker.set_up_ended("never seen")


# --- The limiter ----------------------------------------------------------------------------------------


def test_set_ups_above_the_limit_are_refused_with_a_retry_delay() -> None:
    limiter = Limiter(limits_config(max_open=10, rate=1000), T0)
    assert admit_many(limiter, T0, "alarm", 20).count(ADMITTED) >= 5
    result = limiter.admit(T0, "alarm", "a")
    assert (
        result.reason == TOTAL_OPEN
        and 0 < result.retry_after_ns <= 2 * SECOND_NS
        and REASON_TEXTS[result.reason]
    )
    limiter.set_up_ended(T0 + SECOND_NS, "alarm", "a", SECOND_NS)
    assert limiter.admit(T0 + SECOND_NS, "alarm", "a").admitted


def test_class_gets_its_reserved_open_set_ups_despite_load_of_others() -> None:
    limiter = Limiter(limits_config(max_open=80, rate=100_000), T0)
    admit_many(limiter, T0, "report", 1000, "r")
    assert limiter.open_count < 80
    # The other class gets the headroom that was never lent at once, the rest as lent set-ups end.
    first = admit_many(limiter, T0 + MILLISECOND_NS, "alarm", 1000, "a").count(ADMITTED)
    assert first >= 5
    for step in range(60):
        limiter.set_up_ended(T0 + step * MILLISECOND_NS, "report", "r", 500 * MILLISECOND_NS)
        admit_many(limiter, T0 + step * MILLISECOND_NS, "report", 5, "r")
        admit_many(limiter, T0 + step * MILLISECOND_NS, "alarm", 5, "a")
    assert limiter.demand["alarm"].open_count >= 40 and limiter.open_count <= 80


def test_reserved_open_set_ups_without_recent_demand_are_lent_again() -> None:
    limiter = Limiter(limits_config(max_open=80, rate=100_000), T0)
    admitted_count = admit_many(limiter, T0, "alarm", 40, "a").count(ADMITTED)
    for _ in range(admitted_count):
        limiter.set_up_ended(T0 + SECOND_NS, "alarm", "a", SECOND_NS)
    soon = admit_many(limiter, T0 + SECOND_NS, "report", 200, "r").count(ADMITTED)
    for _ in range(soon):
        limiter.set_up_ended(T0 + 2 * SECOND_NS, "report", "r", SECOND_NS)
    later = admit_many(limiter, T0 + 60 * SECOND_NS, "report", 200, "r").count(ADMITTED)
    assert later > soon


def test_retry_delay_above_the_rate_grows_with_earlier_refusals() -> None:
    limiter = Limiter(limits_config(max_open=1000, rate=8, max_retry_after_ns=60 * SECOND_NS), T0)
    results = [limiter.admit(T0, "alarm", "a") for _ in range(30)]
    delays = [r.retry_after_ns for r in results if r.reason == TOTAL_RATE]
    assert len(delays) == 26 and delays == sorted(delays) and delays[-1] > 10 * delays[0]
    # The backlog of refused callers has drained by then.
    assert limiter.admit(T0 + 60 * SECOND_NS, "alarm", "a").admitted


def test_retry_delay_is_bounded_and_absent_where_disabled() -> None:
    limiter = Limiter(limits_config(rate=1, max_retry_after_ns=700 * MILLISECOND_NS), T0)
    assert max(limiter.admit(T0, "report", "a").retry_after_ns for _ in range(100)) == 700 * MILLISECOND_NS
    no_delay = Limiter(limits_config(rate=1, max_retry_after_ns=0), T0)
    assert {no_delay.admit(T0, "report", "a").retry_after_ns for _ in range(100)} == {0}


def test_flood_on_one_connection_leaves_capacity_to_others() -> None:
    limiter = Limiter(limits_config(max_open=1000, rate=40, connection_share=Fraction(2, 3)), T0)
    reasons: dict[str, list[str]] = {"flood": [], "light": []}
    now = T0
    for step in range(2000):  # 20 s: 200 set-ups per second on the flooding connection, 5 on the other
        now += 10 * MILLISECOND_NS
        for connection, each in (("flood", 2), ("light", int(step % 20 == 0))):
            for _ in range(each):
                result = limiter.admit(now, "report", connection)
                reasons[connection].append(result.reason)
                if result.admitted:
                    limiter.set_up_ended(now, "report", connection, 50 * MILLISECOND_NS)
    assert reasons["light"].count(ADMITTED) / len(reasons["light"]) >= 0.95
    assert CONNECTION_RATE in reasons["flood"]


def test_one_connection_cannot_use_all_open_set_ups() -> None:
    limiter = Limiter(limits_config(max_open=90, rate=100_000, connection_share=Fraction(1, 2)), T0)
    flood = [r for class_name in WORTHS for r in admit_many(limiter, T0, class_name, 300, "flood")]
    assert CONNECTION_OPEN in flood and flood.count(ADMITTED) <= 45
    assert admit_many(limiter, T0, "alarm", 5, "light") == [ADMITTED] * 5


def test_unknown_class_counts_as_the_one_of_lowest_worth() -> None:
    limiter = Limiter(limits_config(max_open=10), T0)
    assert limiter.admit(T0, "other", "a").admitted and limiter.demand["report"].open_count == 1
    limiter.set_up_ended(T0, "other", "a", MILLISECOND_NS)
    assert limiter.demand["report"].open_count == 0


def test_smaller_limit_admits_nothing_until_enough_set_ups_have_ended() -> None:
    limiter = Limiter(limits_config(max_open=100, rate=100_000), T0)
    admitted_count = admit_many(limiter, T0, "alarm", 40).count(ADMITTED)
    limiter.update_config(limits_config(max_open=10, rate=100_000), T0)
    assert admit_many(limiter, T0, "alarm", 3) == [TOTAL_OPEN] * 3
    for _ in range(admitted_count - 4):
        limiter.set_up_ended(T0 + SECOND_NS, "alarm", "a", SECOND_NS)
    assert limiter.admit(T0 + SECOND_NS, "alarm", "a").admitted


EVENTS = st.lists(
    st.tuples(
        st.integers(0, 50), st.sampled_from(["admit", "admit", "admit", "end", "config"]),
        st.sampled_from(sorted(WORTHS)), st.sampled_from("abc"),
    ),
    max_size=400,
)  # fmt: skip


@settings(max_examples=80, deadline=None, derandomize=True)
@given(EVENTS, st.integers(1, 60), st.integers(1, 100))
def test_any_sequence_of_events_keeps_the_limits_and_the_counts(
    events: list[tuple[int, str, str, str]], max_open: int, rate: int
) -> None:
    limiter = Limiter(limits_config(max_open, rate, connection_share=Fraction(1, 2)), T0)
    current_max, now = max_open, T0
    admitted: list[tuple[str, str]] = []
    for delay_ms, kind, class_name, connection in events:
        now += delay_ms * MILLISECOND_NS
        if kind == "admit":
            before = limiter.open_count
            if limiter.admit(now, class_name, connection).admitted:
                assert before < current_max
                admitted.append((class_name, connection))
        elif kind == "end" and admitted:
            limiter.set_up_ended(now, *admitted.pop(len(admitted) // 2), 100 * MILLISECOND_NS)
        elif kind == "config":
            current_max = max(1, current_max // 2)
            limiter.update_config(limits_config(current_max, rate, connection_share=Fraction(1, 2)), now)
        assert limiter.open_count == len(admitted) == sum(n.open_count for n in limiter.demand.values())
        for name in "abc":
            assert limiter.connections.open_count(name) == sum(
                1 for _, connection in admitted if connection == name
            )
    for class_name, connection in admitted:
        limiter.set_up_ended(now, class_name, connection, MILLISECOND_NS)
    assert limiter.open_count == 0 and all(n.open_count == 0 for n in limiter.demand.values())
    assert limiter.admit(now + 100 * SECOND_NS, "alarm", "a").admitted
