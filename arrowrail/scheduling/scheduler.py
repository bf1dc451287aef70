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
NAMES = ("urgent", "normal", "idle")
Slices = Generator[None, None, None]

DONE, CANCELLED, LATE, CUT, FAILED = "done", "cancelled", "late", "cut", "failed"


@dataclass(frozen=True, slots=True)
class Budgets:
    """What background work may take; the defaults leave a turn 2 ms later at the most."""

    turn_ns: int = MS  # processor time of one turn
    busy_turn_ns: int = MS // 4  # of a turn that also handled calls
    slice_ns: int = MS  # a longer slice counts against its job
    share_ppm: int = 100_000  # of all processor time: a tenth
    burst_ns: int = 50 * MS  # saved up at most
    long_slices: int = 8  # of one run: then it is ended


@dataclass(frozen=True, slots=True)
class Kind:
    """One kind of background work."""

    name: str
    make: Callable[[], Slices]
    period_ns: int = 0  # 0: once, each time that it is asked for
    priority: int = NORMAL
    jitter_ppm: int = 100_000  # of the period: how far a run may be put off, drawn anew each time
    deadline_ns: int = 0  # a run that is not through by then is ended; 0: none
    rate_milli: int = 0  # slices in 1,000 s at most; 0: as the budgets allow


@dataclass(slots=True)
class Job:
    kind: Kind
    due: int  # when its next run may begin
    running: Slices | None = None
    began: int = 0
    used_ns: int = 0
    slices: int = 0
    long: int = 0
    not_before: int = 0  # no slice sooner
    planned: int = 0  # when the run was due without jitter: the next is counted from it
    turn: int = 0  # its place among those that wait equally long


@dataclass(frozen=True, slots=True)
class Ended:
    """A run that is over."""

    name: str
    how: str
    used_ns: int
    slices: int
    late_ns: int  # after it was due until it began


@dataclass(slots=True)
class Account:
    """Processor time that background work may take, filled at its share of all time."""

    share_ppm: int
    burst_ns: int
    at: int
    saved: int = 0

    def fill(self, now: int) -> None:
        passed = max(0, now - self.at)
        self.at = now
        self.saved = min(self.burst_ns, self.saved + passed * self.share_ppm // MILLION)


@dataclass(slots=True)
class Scheduler:
    budgets: Budgets
    seed: int
    now: int
    jobs: dict[str, Job] = field(default_factory=dict)
    ended: list[Ended] = field(default_factory=list)
    turns: int = 0
    random: random.Random = field(init=False)
    account: Account = field(init=False)

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        b = self.budgets
        self.account = Account(b.share_ppm, b.burst_ns, self.now, b.turn_ns)

    # --- What there is to do ----------------------------------------------------------------------------

    def add(self, kind: Kind, now: int) -> None:
        """Periodic work begins at a random point of its first period: instances must not fall in step."""
        first = self.random.randrange(kind.period_ns) if kind.period_ns else 0
        self.jobs[kind.name] = Job(kind, now + first, planned=now + first)

    def ask(self, kind: Kind, now: int) -> bool:
        """Work to be done once, soon; false if the same is waiting or under way."""
        if kind.name in self.jobs:
            return False
        self.jobs[kind.name] = Job(kind, now, planned=now)
        return True

    def cancel(self, name: str) -> bool:
        """End it, also in the middle of a run: its generator is closed where it stands."""
        job = self.jobs.pop(name, None)
        if job is not None and job.running is not None:
            self._end(job, CANCELLED)
        return job is not None

    def next_at(self, now: int) -> int | None:
        """When there may be something to do again; ``None``: nothing is known."""
        times = [max(j.not_before if j.running is not None else j.due, now) for j in self.jobs.values()]
        if not times:
            return None
        soonest = min(times)
        if self.account.saved > 0 or soonest > now:
            return soonest
        return now + -self.account.saved * MILLION // max(1, self.account.share_ppm) + MS

    # --- One turn ---------------------------------------------------------------------------------------

    def turn(self, now: int, clock: Callable[[], int], busy: bool) -> int:
        """Run what is due within the turn's budget; returns the processor time used.

        ``clock`` is read after each slice only; ``busy``: the turn handled calls, which go first.
        """
        self.account.fill(now)
        left = self.budgets.busy_turn_ns if busy else self.budgets.turn_ns
        used, at = 0, clock()
        while left > used and self.account.saved > 0:
            job = self._next(now, busy)
            if job is None:
                break
            over = self._slice(job, now)
            after = clock()
            took, at = max(0, after - at), after
            used += took
            self.account.saved -= took
            self._book(job, now, took, over)
        return used

    def _next(self, now: int, busy: bool) -> Job | None:
        """The most urgent first; among equals, what has waited longest."""
        best: Job | None = None
        for job in self.jobs.values():
            if busy and job.kind.priority == IDLE:
                continue
            ready = job.not_before <= now if job.running is not None else job.due <= now
            if ready and (best is None or self._rank(job) < self._rank(best)):
                best = job
        return best

    @staticmethod
    def _rank(job: Job) -> tuple[int, int, int, str]:
        return job.kind.priority, max(job.due, job.not_before), job.turn, job.kind.name

    def _slice(self, job: Job, now: int) -> str:
        """One slice of a job's run; how the run ended, if it did."""
        if job.running is None:
            job.running, job.began = job.kind.make(), now
            job.used_ns = job.slices = job.long = 0
        job.slices += 1
        try:
            next(job.running)
        except StopIteration:
            return DONE
        except Exception:
            # Guards the loop and all other work: a run that fails is ended, and comes again in its time.
            return FAILED
        return ""

    def _book(self, job: Job, now: int, took: int, over: str) -> None:
        job.used_ns += took
        if took > self.budgets.slice_ns:
            job.long += 1
            # What took too long stands back for as long as its share of time would have needed.
            job.not_before = now + took * MILLION // max(1, self.budgets.share_ppm)
        if job.kind.rate_milli:
            job.not_before = max(job.not_before, now + 1000 * S // job.kind.rate_milli)
        if over:
            self._end(job, over)
        elif job.long >= self.budgets.long_slices:
            self._end(job, CUT)
        elif job.kind.deadline_ns and now - job.began >= job.kind.deadline_ns:
            self._end(job, LATE)
        else:
            # Behind the others of its priority: no long run keeps them waiting.
            job.not_before = max(job.not_before, now)
            self.turns += 1
            job.due, job.turn = now, self.turns

    def _end(self, job: Job, how: str) -> None:
        running, job.running = job.running, None
        if running is not None and how not in (DONE, FAILED):
            running.close()
        self.ended.append(Ended(job.kind.name, how, job.used_ns, job.slices, max(0, job.began - job.planned)))
        del self.ended[:-64]
        kind = job.kind
        if kind.name not in self.jobs:
            return
        if not kind.period_ns:
            del self.jobs[kind.name]
            return
        # Counted from when it was due, so that periods do not stretch; what was missed whole is left out.
        job.planned += kind.period_ns * max(1, (job.began - job.planned) // kind.period_ns + 1)
        job.due = job.planned + self._jitter(kind)
        job.not_before = 0

    def _jitter(self, kind: Kind) -> int:
        most = kind.period_ns * kind.jitter_ppm // MILLION
        return self.random.randrange(most) if most > 0 else 0

    def states(self, now: int) -> Iterator[tuple[str, str, int]]:
        """For operators: name, what it is at, and how long until its next run (ns)."""
        for name, job in sorted(self.jobs.items()):
            at = "running" if job.running is not None else "waiting"
            yield name, f"{NAMES[job.kind.priority]}, {at}", max(0, job.due - now)
