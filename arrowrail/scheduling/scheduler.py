"""Cooperative scheduler for background work on the event loop, with priorities, budgets and deadlines.

A job is a generator that yields wherever it may be interrupted; the code between two yields is a slice.  The
scheduler picks a job anew for each slice and checks the budget of the event loop iteration before it, so that
an iteration is delayed by at most its budget plus one slice.  A job with slices that are too long is
throttled and finally aborted.

Times are passed in: the caller supplies the clock that slices are timed with.
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
    """CPU budgets of background work; the defaults delay an event loop iteration by 2 ms at most."""

    iteration_ns: int = MS  # processor time per event loop iteration
    busy_iteration_ns: int = MS // 4  # per iteration that also handled calls
    slice_ns: int = MS  # longer slices count against their job
    share_ppm: int = 100_000  # of all processor time: one tenth
    burst_ns: int = 50 * MS  # most unused time that is saved up
    max_long_slices: int = 8  # per run; then the run is aborted


@dataclass(frozen=True, slots=True)
class JobSpec:
    """Definition of one kind of background work."""

    name: str
    create: Callable[[], SliceGenerator]
    period_ns: int = 0  # 0: runs once per submit
    priority: int = NORMAL
    max_jitter_ppm: int = 100_000  # random delay of each run, as a share of the period
    deadline_ns: int = 0  # a run that takes longer is ended; 0: none
    max_slices_per_1000_s: int = 0  # slices in 1,000 s; 0: limited by the budgets only


@dataclass(slots=True)
class Job:
    """A job that is waiting or running."""

    spec: JobSpec
    due_at: int  # when its next run may begin
    generator: SliceGenerator | None = None
    started_at: int = 0
    used_ns: int = 0
    slices: int = 0
    long_slices: int = 0
    not_before: int = 0  # earliest start of the next slice
    planned_at: int = 0  # when the run was due without jitter; the next run is planned from it
    queue_position: int = 0  # order among jobs that became ready at the same time


@dataclass(frozen=True, slots=True)
class RunResult:
    """A run that has ended."""

    name: str
    outcome: str
    used_ns: int
    slices: int
    start_delay_ns: int  # from when the run was due until it began


@dataclass(slots=True)
class CpuBucket:
    """Token bucket of the processor time for background work, refilled at its share of all time."""

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
    """Runs slices of the jobs that are due, within the budgets."""

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

    # --- Jobs -------------------------------------------------------------------------------------------

    def add_periodic(self, spec: JobSpec, now: int) -> None:
        """Add periodic work; its first run is at a random time, so that instances do not run in step."""
        first_delay = self.random.randrange(spec.period_ns) if spec.period_ns else 0
        self.jobs[spec.name] = Job(spec, now + first_delay, planned_at=now + first_delay)

    def submit(self, spec: JobSpec, now: int) -> bool:
        """Submit work to be run once; return false if a job of this name is waiting or running."""
        if spec.name in self.jobs:
            return False
        self.jobs[spec.name] = Job(spec, now, planned_at=now)
        return True

    def cancel(self, name: str) -> bool:
        """Remove a job; a run in progress is ended by closing its generator."""
        job = self.jobs.pop(name, None)
        if job is not None and job.generator is not None:
            self._finish_run(job, CANCELLED)
        return job is not None

    def next_due_at(self, now: int) -> int | None:
        """Return the next time at which a job may run; ``None`` if there are no jobs."""
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

    # --- One event loop iteration -----------------------------------------------------------------------

    def run_iteration(self, now: int, clock: Callable[[], int], busy: bool) -> int:
        """Run due jobs within the budget of the iteration; return the processor time used.

        ``clock`` is read after each slice only; ``busy``: the iteration also handled calls, which go first.
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
        """Return the most urgent job that is ready; among equals, the one that has waited longest."""
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
        """Run one slice of a job; return the outcome if the run has ended, else an empty string."""
        if job.generator is None:
            job.generator, job.started_at = job.spec.create(), now
            job.used_ns = job.slices = job.long_slices = 0
        job.slices += 1
        try:
            next(job.generator)
        except StopIteration:
            return DONE
        except Exception:
            # Protects the event loop and other jobs: only this run ends; a periodic job runs again later.
            return FAILED
        return ""

    def _charge(self, job: Job, now: int, elapsed_ns: int, run_outcome: str) -> None:
        job.used_ns += elapsed_ns
        if elapsed_ns > self.budgets.slice_ns:
            job.long_slices += 1
            # A job with a long slice pauses for as long as its share of time needs to make up for it.
            job.not_before = now + elapsed_ns * MILLION // max(1, self.budgets.share_ppm)
        if job.spec.max_slices_per_1000_s:
            job.not_before = max(job.not_before, now + 1000 * S // job.spec.max_slices_per_1000_s)
        if run_outcome:
            self._finish_run(job, run_outcome)
        elif job.long_slices >= self.budgets.max_long_slices:
            self._finish_run(job, ABORTED)
        elif job.spec.deadline_ns and now - job.started_at >= job.spec.deadline_ns:
            self._finish_run(job, DEADLINE_EXCEEDED)
        else:
            # Behind other jobs of the same priority, so that a long run does not keep them waiting.
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
        # Counted from the planned time, so that periods do not drift; missed periods are skipped.
        job.planned_at += spec.period_ns * max(1, (job.started_at - job.planned_at) // spec.period_ns + 1)
        job.due_at = job.planned_at + self._jitter(spec)
        job.not_before = 0

    def _jitter(self, spec: JobSpec) -> int:
        max_jitter_ns = spec.period_ns * spec.max_jitter_ppm // MILLION
        return self.random.randrange(max_jitter_ns) if max_jitter_ns > 0 else 0

    def job_states(self, now: int) -> Iterator[tuple[str, str, int]]:
        """Yield name, state, and time until the next run in ns of each job, for diagnostics."""
        for name, job in sorted(self.jobs.items()):
            state = "running" if job.generator is not None else "waiting"
            yield name, f"{PRIORITY_NAMES[job.spec.priority]}, {state}", max(0, job.due_at - now)
