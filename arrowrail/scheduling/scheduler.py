"""A scheduler for background work on the loop of the calls: priorities, budgets, deadlines, cancellation.

Work comes in slices: a job is a generator that yields wherever it may be put off.  Between slices the
scheduler decides anew.  It never runs two slices without looking at the turn's budget, so that a turn is
delayed by its budget and one slice at most; a job whose slices are too long is slowed down and, if it goes
on, ended.

Times are handed in: the caller measures each slice on its own clock.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field

MS, S = 1_000_000, 1_000_000_000
MILLION = 1_000_000
URGENT, NORMAL, IDLE = 0, 1, 2  # priorities
PRIORITY_NAMES = ("urgent", "normal", "idle")
SliceGenerator = Generator[None, None, None]

DONE, CANCELLED, DEADLINE_EXCEEDED, ABORTED, FAILED = "done", "cancelled", "late", "cut", "failed"


@dataclass(frozen=True, slots=True)
class Budgets:
    """What background work may take; the defaults leave a turn 2 ms later at the most."""

    iteration_ns: int = MS  # processor time of one turn
    busy_iteration_ns: int = MS // 4  # of a turn that also handled calls
    slice_ns: int = MS  # a longer slice counts against its job
    share_ppm: int = 100_000  # of all processor time: a tenth
    burst_ns: int = 50 * MS  # saved up at most
    max_long_slices: int = 8  # of one run: then it is ended


@dataclass(frozen=True, slots=True)
class JobSpec:
    """One kind of background work."""

    name: str
    create: Callable[[], SliceGenerator]
    period_ns: int = 0  # 0: once, each time that it is asked for
    priority: int = NORMAL
    max_jitter_ppm: int = 100_000  # of the period: how far a run may be put off, drawn anew each time
    deadline_ns: int = 0  # a run that is not through by then is ended; 0: none
    rate_milli: int = 0  # slices in 1,000 s at most; 0: as the budgets allow


@dataclass(slots=True)
class Job:
    spec: JobSpec
    due_at: int  # when its next run may begin
    generator: SliceGenerator | None = None
    started_at: int = 0
    used_ns: int = 0
    slices: int = 0
    long_slices: int = 0
    not_before: int = 0  # no slice sooner
    planned_at: int = 0  # when the run was due without jitter: the next is counted from it
    queue_position: int = 0  # its place among those that wait equally long


@dataclass(frozen=True, slots=True)
class RunResult:
    """A run that is over."""

    name: str
    outcome: str
    used_ns: int
    slices: int
    start_delay_ns: int  # after it was due until it began


@dataclass(slots=True)
class CpuBucket:
    """Processor time that background work may take, filled at its share of all time."""

    share_ppm: int
    burst_ns: int
    filled_at: int
    available_ns: int = 0

    def fill(self, now: int) -> None:
        elapsed_ns = max(0, now - self.filled_at)
        self.filled_at = now
        self.available_ns = min(self.burst_ns, self.available_ns + elapsed_ns * self.share_ppm // MILLION)


@dataclass(slots=True)
class Scheduler:
    budgets: Budgets
    seed: int
    now: int
    jobs: dict[str, Job] = field(default_factory=dict)
    results: list[RunResult] = field(default_factory=list)
    last_queue_position: int = 0
    random: random.Random = field(init=False)
    cpu_bucket: CpuBucket = field(init=False)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        budgets = self.budgets
        self.cpu_bucket = CpuBucket(budgets.share_ppm, budgets.burst_ns, self.now, budgets.iteration_ns)

    # --- What there is to do ----------------------------------------------------------------------------

    def add_periodic(self, spec: JobSpec, now: int) -> None:
        """Periodic work begins at a random point of its first period: instances must not fall in step."""
        first_delay = self.random.randrange(spec.period_ns) if spec.period_ns else 0
        self.jobs[spec.name] = Job(spec, now + first_delay, planned_at=now + first_delay)

    def submit(self, spec: JobSpec, now: int) -> bool:
        """Work to be done once, soon; false if the same is waiting or under way."""
        if spec.name in self.jobs:
            return False
        self.jobs[spec.name] = Job(spec, now, planned_at=now)
        return True

    def cancel(self, name: str) -> bool:
        """End it, also in the middle of a run: its generator is closed where it stands."""
        job = self.jobs.pop(name, None)
        if job is not None and job.generator is not None:
            self._finish_run(job, CANCELLED)
        return job is not None

    def next_due_at(self, now: int) -> int | None:
        """When there may be something to do again; ``None``: nothing is known."""
        times = [
            max(job.not_before if job.generator is not None else job.due_at, now)
            for job in self.jobs.values()
        ]
        if not times:
            return None
        earliest = min(times)
        if self.cpu_bucket.available_ns > 0 or earliest > now:
            return earliest
        return now + -self.cpu_bucket.available_ns * MILLION // max(1, self.cpu_bucket.share_ppm) + MS

    # --- One turn ---------------------------------------------------------------------------------------

    def run_iteration(self, now: int, clock: Callable[[], int], busy: bool) -> int:
        """Run what is due within the turn's budget; returns the processor time used.

        ``clock`` is read after each slice only; ``busy``: the turn handled calls, which go first.
        """
        self.cpu_bucket.fill(now)
        budget_ns = self.budgets.busy_iteration_ns if busy else self.budgets.iteration_ns
        used_ns, last_read = 0, clock()
        while budget_ns > used_ns and self.cpu_bucket.available_ns > 0:
            job = self._pick_job(now, busy)
            if job is None:
                break
            run_outcome = self._run_slice(job, now)
            read_at = clock()
            elapsed_ns, last_read = max(0, read_at - last_read), read_at
            used_ns += elapsed_ns
            self.cpu_bucket.available_ns -= elapsed_ns
            self._charge(job, now, elapsed_ns, run_outcome)
        return used_ns

    def _pick_job(self, now: int, busy: bool) -> Job | None:
        """The most urgent first; among equals, what has waited longest."""
        best: Job | None = None
        for job in self.jobs.values():
            if busy and job.spec.priority == IDLE:
                continue
            ready = job.not_before <= now if job.generator is not None else job.due_at <= now
            if ready and (best is None or self._sort_key(job) < self._sort_key(best)):
                best = job
        return best

    @staticmethod
    def _sort_key(job: Job) -> tuple[int, int, int, str]:
        return job.spec.priority, max(job.due_at, job.not_before), job.queue_position, job.spec.name

    def _run_slice(self, job: Job, now: int) -> str:
        """One slice of a job's run; how the run ended, if it did."""
        if job.generator is None:
            job.generator, job.started_at = job.spec.create(), now
            job.used_ns = job.slices = job.long_slices = 0
        job.slices += 1
        try:
            next(job.generator)
        except StopIteration:
            return DONE
        except Exception:
            # Guards the loop and all other work: a run that fails is ended, and comes again in its time.
            return FAILED
        return ""

    def _charge(self, job: Job, now: int, elapsed_ns: int, run_outcome: str) -> None:
        job.used_ns += elapsed_ns
        if elapsed_ns > self.budgets.slice_ns:
            job.long_slices += 1
            # What took too long stands back for as long as its share of time would have needed.
            job.not_before = now + elapsed_ns * MILLION // max(1, self.budgets.share_ppm)
        if job.spec.rate_milli:
            job.not_before = max(job.not_before, now + 1000 * S // job.spec.rate_milli)
        if run_outcome:
            self._finish_run(job, run_outcome)
        elif job.long_slices >= self.budgets.max_long_slices:
            self._finish_run(job, ABORTED)
        elif job.spec.deadline_ns and now - job.started_at >= job.spec.deadline_ns:
            self._finish_run(job, DEADLINE_EXCEEDED)
        else:
            # Behind the others of its priority: no long run keeps them waiting.
            job.not_before = max(job.not_before, now)
            self.last_queue_position += 1
            job.due_at, job.queue_position = now, self.last_queue_position

    def _finish_run(self, job: Job, outcome: str) -> None:
        generator, job.generator = job.generator, None
        if generator is not None and outcome not in (DONE, FAILED):
            generator.close()
        self.results.append(
            RunResult(
                job.spec.name, outcome, job.used_ns, job.slices, max(0, job.started_at - job.planned_at)
            )
        )
        del self.results[:-64]
        spec = job.spec
        if spec.name not in self.jobs:
            return
        if not spec.period_ns:
            del self.jobs[spec.name]
            return
        # Counted from when it was due, so that periods do not stretch; what was missed whole is left out.
        job.planned_at += spec.period_ns * max(1, (job.started_at - job.planned_at) // spec.period_ns + 1)
        job.due_at = job.planned_at + self._jitter(spec)
        job.not_before = 0

    def _jitter(self, spec: JobSpec) -> int:
        max_jitter_ns = spec.period_ns * spec.max_jitter_ppm // MILLION
        return self.random.randrange(max_jitter_ns) if max_jitter_ns > 0 else 0

    def job_states(self, now: int) -> Iterator[tuple[str, str, int]]:
        """For operators: name, what it is at, and how long until its next run (ns)."""
        for name, job in sorted(self.jobs.items()):
            state = "running" if job.generator is not None else "waiting"
            yield name, f"{PRIORITY_NAMES[job.spec.priority]}, {state}", max(0, job.due_at - now)
