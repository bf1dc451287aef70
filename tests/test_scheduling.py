"""The background scheduler, and the assignment of duties to instances."""

from __future__ import annotations

from collections import Counter
from collections.abc import Generator
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.duties.assign import assign, count_moved, duties_of, member_capacity
from arrowrail.scheduling.scheduler import (
    ABORTED,
    CANCELLED,
    DEADLINE_EXCEEDED,
    DONE,
    FAILED,
    IDLE,
    MS,
    NORMAL,
    URGENT,
    Budgets,
    JobSpec,
    S,
    Scheduler,
)  # fmt: skip

T0 = 100 * S


class SimulatedMachine:
    """A scheduler with a clock that advances by the duration of each slice."""

    def __init__(self, **budgets: int) -> None:
        self.now = T0
        self.scheduler = Scheduler(Budgets(**budgets), 7, T0)
        self.slices_run: list[str] = []

    def work(self, name: str, slices: int, elapsed_ns: int = MS // 10) -> Generator[None, None, None]:
        for n in range(slices):
            self.slices_run.append(name)
            self.now += elapsed_ns
            if n < slices - 1:
                yield

    def spec(self, name: str, slices: int = 1, elapsed_ns: int = MS // 10, **options: int) -> JobSpec:
        return JobSpec(name, lambda: self.work(name, slices, elapsed_ns), **options)

    def run_iteration(self, advance_ns: int = 10 * MS, busy: bool = False) -> int:
        self.now += advance_ns
        return self.scheduler.run_iteration(self.now, lambda: self.now, busy)


def test_the_most_urgent_job_runs_first_and_equal_ones_in_order_of_waiting() -> None:
    machine = SimulatedMachine()
    for name, priority in (("idle", IDLE), ("b", NORMAL), ("urgent", URGENT)):
        machine.scheduler.submit(machine.spec(name, priority=priority), machine.now)
    machine.run_iteration()
    assert (
        machine.slices_run == ["urgent", "b", "idle"]
        and [result.outcome for result in machine.scheduler.results] == [DONE] * 3
    )


def test_runs_of_equal_priority_alternate() -> None:
    machine = SimulatedMachine(iteration_ns=10 * MS)
    for name in "ab":
        machine.scheduler.submit(machine.spec(name, slices=3), machine.now)
    machine.run_iteration()
    assert Counter(machine.slices_run[:4]) == {"a": 2, "b": 2}


@pytest.mark.parametrize(("busy", "limit"), [(False, MS + MS // 2), (True, MS // 4 + MS // 2)])
def test_an_iteration_is_delayed_by_its_budget_and_one_slice_at_most(busy: bool, limit: int) -> None:
    machine = SimulatedMachine(burst_ns=S, share_ppm=1_000_000)
    machine.scheduler.submit(machine.spec("long", slices=10_000, elapsed_ns=MS // 2), machine.now)
    for _ in range(50):
        assert machine.run_iteration(busy=busy) <= limit
    assert len(machine.slices_run) >= 50


def test_idle_work_waits_while_calls_are_handled() -> None:
    machine = SimulatedMachine()
    machine.scheduler.submit(machine.spec("idle", priority=IDLE), machine.now)
    machine.run_iteration(busy=True)
    assert machine.slices_run == []
    machine.run_iteration()
    assert machine.slices_run == ["idle"]


def test_all_background_work_together_stays_within_its_share_of_time() -> None:
    machine = SimulatedMachine(share_ppm=100_000, burst_ns=5 * MS)
    for name in "abc":
        machine.scheduler.submit(machine.spec(name, slices=10**6, elapsed_ns=MS // 2), machine.now)
    started_at, used = machine.now, 0
    for _ in range(3000):
        used += machine.run_iteration(advance_ns=MS)
    assert 0.08 <= used / (machine.now - started_at) <= 0.11


def test_a_job_with_long_slices_is_throttled_and_finally_aborted() -> None:
    machine = SimulatedMachine(max_long_slices=3)
    machine.scheduler.submit(machine.spec("slow", slices=100, elapsed_ns=20 * MS), machine.now)
    machine.scheduler.submit(machine.spec("quick", slices=30), machine.now)
    for _ in range(400):
        machine.run_iteration()
    assert {result.name: result.outcome for result in machine.scheduler.results} == {
        "slow": ABORTED,
        "quick": DONE,
    }
    assert machine.slices_run.count("slow") == 3


def test_a_run_past_its_deadline_ends_and_a_failing_one_does_not_affect_others() -> None:
    machine = SimulatedMachine()

    def failing_slices() -> Generator[None, None, None]:
        yield
        raise RuntimeError("broken")

    machine.scheduler.submit(
        machine.spec("late", slices=1000, deadline_ns=50 * MS, max_slices_per_1000_s=100_000), machine.now
    )
    machine.scheduler.submit(JobSpec("fails", failing_slices), machine.now)
    machine.scheduler.submit(machine.spec("good", slices=3), machine.now)
    for _ in range(20):
        machine.run_iteration()
    assert {result.name: result.outcome for result in machine.scheduler.results} == {
        "late": DEADLINE_EXCEEDED,
        "fails": FAILED,
        "good": DONE,
    }


def test_a_rate_limits_the_slices_per_second() -> None:
    machine = SimulatedMachine()
    machine.scheduler.submit(machine.spec("probes", slices=1000, max_slices_per_1000_s=20_000), machine.now)
    for _ in range(200):
        machine.run_iteration()
    assert 30 <= len(machine.slices_run) <= 42


def test_periodic_work_runs_once_per_period_with_jitter_and_without_drift() -> None:
    machine = SimulatedMachine()
    machine.scheduler.add_periodic(machine.spec("probe", period_ns=S), machine.now)
    started_at = machine.now
    runs: list[int] = []
    while machine.now < started_at + 60 * S:
        before = len(machine.slices_run)
        machine.run_iteration()
        if len(machine.slices_run) > before:
            runs.append(machine.now)
    assert 59 <= len(runs) <= 61
    gaps = [b - a for a, b in pairwise(runs)]
    assert min(gaps) > 0.85 * S and max(gaps) < 1.15 * S and len({g // (10 * MS) for g in gaps}) > 5


def test_missed_periods_are_not_made_up_for_after_a_pause() -> None:
    machine = SimulatedMachine()
    machine.scheduler.add_periodic(machine.spec("probe", period_ns=S), machine.now)
    machine.run_iteration(advance_ns=30 * S)
    machine.run_iteration()
    assert machine.slices_run == ["probe"]


def test_cancelling_a_job_closes_its_generator() -> None:
    machine, closed = SimulatedMachine(iteration_ns=1), list[str]()

    def work() -> Generator[None, None, None]:
        try:
            while True:
                machine.now += MS // 10
                yield
        finally:
            closed.append("closed")

    machine.scheduler.submit(JobSpec("probe", work), machine.now)
    assert not machine.scheduler.submit(JobSpec("probe", work), machine.now)
    machine.run_iteration()
    assert machine.scheduler.cancel("probe") and closed == ["closed"]
    assert [result.outcome for result in machine.scheduler.results] == [
        CANCELLED
    ] and not machine.scheduler.cancel("probe")
    assert machine.scheduler.next_due_at(machine.now) is None


def test_the_scheduler_tells_when_it_is_next_due() -> None:
    machine = SimulatedMachine()
    machine.scheduler.add_periodic(machine.spec("later", period_ns=S), machine.now)
    due = machine.scheduler.jobs["later"].due_at
    assert (
        machine.scheduler.next_due_at(machine.now) == due
        and next(machine.scheduler.job_states(machine.now))[2] == due - machine.now
    )
    machine.scheduler.cpu_bucket.available_ns = -MS
    assert (machine.scheduler.next_due_at(due) or 0) > due


@settings(max_examples=60, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.integers(1, 20), st.integers(1, 30), st.sampled_from([URGENT, NORMAL, IDLE])),
                min_size=1, max_size=8), st.booleans())  # fmt: skip
def test_all_submitted_jobs_end_and_no_iteration_exceeds_its_budget_by_more_than_one_slice(
    work: list[tuple[int, int, int]], busy: bool
) -> None:
    machine = SimulatedMachine(burst_ns=20 * MS)
    for n, (slices, tenths, priority) in enumerate(work):
        machine.scheduler.submit(
            machine.spec(str(n), slices, tenths * MS // 10, priority=priority), machine.now
        )
    for iteration in range(20_000):
        longest = max(tenths for _, tenths, _ in work) * MS // 10
        assert machine.run_iteration(busy=busy and iteration % 2 == 0) <= MS + longest
        if not machine.scheduler.jobs:
            break
    assert sorted(result.name for result in machine.scheduler.results) == sorted(map(str, range(len(work))))


# --- Assignment of duties -------------------------------------------------------------------------------

DUTIES = [f"probe:{n}" for n in range(1000)]


@pytest.mark.parametrize("members", [1, 3, 5, 50])
def test_every_duty_has_one_member_and_no_member_exceeds_its_capacity(members: int) -> None:
    names = [f"i{n}" for n in range(members)]
    placements = assign(DUTIES, names)
    assert sorted(placements) == sorted(DUTIES)
    load = Counter(placements.values())
    assert max(load.values()) <= member_capacity(len(DUTIES), members)
    assert sorted(duties_of("i0", placements)) == sorted(
        duty for duty, placed_on in placements.items() if placed_on == "i0"
    )


def test_the_order_of_the_arguments_does_not_change_the_assignment() -> None:
    names = [f"i{n}" for n in range(7)]
    assert assign(DUTIES, names) == assign(reversed(DUTIES), reversed(names)) and assign(DUTIES, []) == {}


@pytest.mark.parametrize("members", [5, 20, 50])
def test_a_failure_moves_the_duties_of_the_failed_member_and_few_others(members: int) -> None:
    names = [f"i{n}" for n in range(members)]
    before = assign(DUTIES, names)
    for removed in names[:3]:
        after = assign(DUTIES, [n for n in names if n != removed])
        own_count = len(duties_of(removed, before))
        assert own_count <= count_moved(before, after) <= own_count + len(DUTIES) // members
