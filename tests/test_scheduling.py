"""The background scheduler and the division of duties: decisions from values and times alone."""

from __future__ import annotations

from collections import Counter
from collections.abc import Generator
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.duties.assign import assign, capacity, moved, of
from arrowrail.scheduling.scheduler import (
    CANCELLED,
    CUT,
    DONE,
    FAILED,
    IDLE,
    LATE,
    MS,
    NORMAL,
    URGENT,
    Budgets,
    Kind,
    S,
    Scheduler,
)  # fmt: skip

T0 = 100 * S


class Machine:
    """A clock that moves by what each slice takes."""

    def __init__(self, **budgets: int) -> None:
        self.now = T0
        self.scheduler = Scheduler(Budgets(**budgets), 7, T0)
        self.ran: list[str] = []

    def work(self, name: str, slices: int, took: int = MS // 10) -> Generator[None, None, None]:
        for n in range(slices):
            self.ran.append(name)
            self.now += took
            if n < slices - 1:
                yield

    def kind(self, name: str, slices: int = 1, took: int = MS // 10, **more: int) -> Kind:
        return Kind(name, lambda: self.work(name, slices, took), **more)

    def turn(self, passes: int = 10 * MS, busy: bool = False) -> int:
        self.now += passes
        return self.scheduler.turn(self.now, lambda: self.now, busy)


def test_the_most_urgent_goes_first_and_equals_in_the_order_of_waiting() -> None:
    m = Machine()
    for name, priority in (("idle", IDLE), ("b", NORMAL), ("urgent", URGENT)):
        m.scheduler.ask(m.kind(name, priority=priority), m.now)
    m.turn()
    assert m.ran == ["urgent", "b", "idle"] and [e.how for e in m.scheduler.ended] == [DONE] * 3


def test_runs_of_equal_priority_take_turns() -> None:
    m = Machine(turn_ns=10 * MS)
    for name in "ab":
        m.scheduler.ask(m.kind(name, slices=3), m.now)
    m.turn()
    assert Counter(m.ran[:4]) == {"a": 2, "b": 2}


@pytest.mark.parametrize(("busy", "most"), [(False, MS + MS // 2), (True, MS // 4 + MS // 2)])
def test_a_turn_is_delayed_by_its_budget_and_one_slice_at_most(busy: bool, most: int) -> None:
    m = Machine(burst_ns=S, share_ppm=1_000_000)
    m.scheduler.ask(m.kind("long", slices=10_000, took=MS // 2), m.now)
    for _ in range(50):
        assert m.turn(busy=busy) <= most
    assert len(m.ran) >= 50


def test_idle_work_waits_while_calls_are_handled() -> None:
    m = Machine()
    m.scheduler.ask(m.kind("idle", priority=IDLE), m.now)
    m.turn(busy=True)
    assert m.ran == []
    m.turn()
    assert m.ran == ["idle"]


def test_all_background_work_together_takes_its_share_of_time() -> None:
    m = Machine(share_ppm=100_000, burst_ns=5 * MS)
    for name in "abc":
        m.scheduler.ask(m.kind(name, slices=10**6, took=MS // 2), m.now)
    began, used = m.now, 0
    for _ in range(3000):
        used += m.turn(passes=MS)
    assert 0.08 <= used / (m.now - began) <= 0.11


def test_a_job_of_long_slices_stands_back_and_is_cut_in_the_end() -> None:
    m = Machine(long_slices=3)
    m.scheduler.ask(m.kind("slow", slices=100, took=20 * MS), m.now)
    m.scheduler.ask(m.kind("quick", slices=30), m.now)
    for _ in range(400):
        m.turn()
    assert {e.name: e.how for e in m.scheduler.ended} == {"slow": CUT, "quick": DONE}
    assert m.ran.count("slow") == 3


def test_a_run_past_its_deadline_is_ended_and_one_that_fails_costs_no_other() -> None:
    m = Machine()

    def fails() -> Generator[None, None, None]:
        yield
        raise RuntimeError("broken")

    m.scheduler.ask(m.kind("late", slices=1000, deadline_ns=50 * MS, rate_milli=100_000), m.now)
    m.scheduler.ask(Kind("fails", fails), m.now)
    m.scheduler.ask(m.kind("good", slices=3), m.now)
    for _ in range(20):
        m.turn()
    assert {e.name: e.how for e in m.scheduler.ended} == {"late": LATE, "fails": FAILED, "good": DONE}


def test_a_rate_bounds_slices_a_second() -> None:
    m = Machine()
    m.scheduler.ask(m.kind("probes", slices=1000, rate_milli=20_000), m.now)
    for _ in range(200):
        m.turn()
    assert 30 <= len(m.ran) <= 42


def test_periodic_work_runs_once_a_period_with_jitter_and_does_not_stretch() -> None:
    m = Machine()
    m.scheduler.add(m.kind("probe", period_ns=S), m.now)
    began = m.now
    runs: list[int] = []
    while m.now < began + 60 * S:
        before = len(m.ran)
        m.turn()
        if len(m.ran) > before:
            runs.append(m.now)
    assert 59 <= len(runs) <= 61
    gaps = [b - a for a, b in pairwise(runs)]
    assert min(gaps) > 0.85 * S and max(gaps) < 1.15 * S and len({g // (10 * MS) for g in gaps}) > 5


def test_after_a_long_stop_a_period_is_run_once_not_made_up_for() -> None:
    m = Machine()
    m.scheduler.add(m.kind("probe", period_ns=S), m.now)
    m.turn(passes=30 * S)
    m.turn()
    assert m.ran == ["probe"]


def test_cancelled_work_is_closed_where_it_stands() -> None:
    m, closed = Machine(turn_ns=1), list[str]()

    def work() -> Generator[None, None, None]:
        try:
            while True:
                m.now += MS // 10
                yield
        finally:
            closed.append("closed")

    m.scheduler.ask(Kind("probe", work), m.now)
    assert not m.scheduler.ask(Kind("probe", work), m.now)
    m.turn()
    assert m.scheduler.cancel("probe") and closed == ["closed"]
    assert [e.how for e in m.scheduler.ended] == [CANCELLED] and not m.scheduler.cancel("probe")
    assert m.scheduler.next_at(m.now) is None


def test_the_loop_is_told_when_to_look_again() -> None:
    m = Machine()
    m.scheduler.add(m.kind("later", period_ns=S), m.now)
    due = m.scheduler.jobs["later"].due
    assert m.scheduler.next_at(m.now) == due and next(m.scheduler.states(m.now))[2] == due - m.now
    m.scheduler.account.saved = -MS
    assert (m.scheduler.next_at(due) or 0) > due


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 20), st.integers(1, 30), st.sampled_from([URGENT, NORMAL, IDLE])),
                min_size=1, max_size=8), st.booleans())  # fmt: skip
def test_all_that_is_asked_for_ends_and_no_turn_is_held_up(
    work: list[tuple[int, int, int]], busy: bool
) -> None:
    m = Machine(burst_ns=20 * MS)
    for n, (slices, tenths, priority) in enumerate(work):
        m.scheduler.ask(m.kind(str(n), slices, tenths * MS // 10, priority=priority), m.now)
    for turn in range(20_000):
        longest = max(tenths for _, tenths, _ in work) * MS // 10
        assert m.turn(busy=busy and turn % 2 == 0) <= MS + longest
        if not m.scheduler.jobs:
            break
    assert sorted(e.name for e in m.scheduler.ended) == sorted(map(str, range(len(work))))


# --- Who runs what --------------------------------------------------------------------------------------

DUTIES = [f"probe:{n}" for n in range(1000)]


@pytest.mark.parametrize("members", [1, 3, 5, 50])
def test_every_duty_has_one_member_and_none_has_too_many(members: int) -> None:
    names = [f"i{n}" for n in range(members)]
    placed = assign(DUTIES, names)
    assert sorted(placed) == sorted(DUTIES)
    load = Counter(placed.values())
    assert max(load.values()) <= capacity(len(DUTIES), members)
    assert sorted(of("i0", placed)) == sorted(d for d, at in placed.items() if at == "i0")


def test_the_order_in_which_they_are_listed_changes_nothing() -> None:
    names = [f"i{n}" for n in range(7)]
    assert assign(DUTIES, names) == assign(reversed(DUTIES), reversed(names)) and assign(DUTIES, []) == {}


@pytest.mark.parametrize("members", [5, 20, 50])
def test_a_death_moves_about_its_part_and_little_else(members: int) -> None:
    names = [f"i{n}" for n in range(members)]
    before = assign(DUTIES, names)
    for dead in names[:3]:
        after = assign(DUTIES, [n for n in names if n != dead])
        own = len(of(dead, before))
        assert own <= moved(before, after) <= own + len(DUTIES) // members
