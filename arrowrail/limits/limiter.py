"""Whether a set-up may come in, and when its caller should come back if not.

The order of the questions is the order of the answers' worth to an operator: the connection's own part, what
is open, what comes a second.  Nothing is held back: each is answered at once, yes or no, with its reason.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.limits.buckets import Rates
from arrowrail.limits.lines import Lines
from arrowrail.limits.plan import NANO, TOKEN, ClassLimit, Plan, S

ADMITTED, LINE_OPEN, OPEN, LINE_RATE, RATE = "admitted", "line_open", "open", "line_rate", "rate"
REASONS = {
    LINE_OPEN: "the connection holds its part of the open set-ups",
    OPEN: "the application's open set-ups are at their limit",
    LINE_RATE: "the connection brings more than its part of the set-ups a second",
    RATE: "the application's set-ups a second are at their limit",
}
NEED_KEPT_NS = 10 * S  # how long the most that a class had open lately is kept free for it
SWEEP_NS = 5 * S
FIRST_MEAN_NS = S // 2  # of a set-up's time, until some have ended


@dataclass(frozen=True, slots=True)
class Verdict:
    """``wait_ns`` is what a refused caller is told to stay away; 0: nothing."""

    reason: str
    wait_ns: int = 0

    @property
    def admitted(self) -> bool:
        return self.reason == ADMITTED


YES = Verdict(ADMITTED)


@dataclass(slots=True)
class Need:
    """Open set-ups of a class, and the most that it had lately: so much of its own is not lent."""

    open: int = 0
    most: int = 0
    before: int = 0  # the most of the time span before
    since: int = 0

    def lately(self, now: int) -> int:
        if now - self.since >= NEED_KEPT_NS:
            # After two spans without a look, what was is older than it counts.
            self.before = self.most if now - self.since < 2 * NEED_KEPT_NS else self.open
            self.most, self.since = self.open, now
        return max(self.open, self.most, self.before)


class Limiter:
    """Values and a time in, a verdict out; ``ended`` follows once for each that was admitted."""

    def __init__(self, plan: Plan, now: int) -> None:
        self.plan = plan
        self.rates = Rates(plan, now)
        self.lines = Lines()
        self.needs = {name: Need(since=now) for name in plan.classes}
        self.open = 0
        self.refused: dict[str, int] = {}  # by reason, for operators
        self.admitted = 0
        self._owed: dict[str, tuple[int, int]] = {}  # by class: tokens for callers sent away, and when
        self._mean_ns = FIRST_MEAN_NS
        self._swept = now

    def use(self, plan: Plan, now: int) -> None:
        """A new plan from now on; what is open stays counted, also where it is over the new limit."""
        self.plan = plan
        self.rates.fill(now)
        self.rates.use(plan)
        for name in plan.classes:
            self.needs.setdefault(name, Need(since=now))

    def ask(self, now: int, kind: str, line: object) -> Verdict:
        """A set-up of a class on a connection; an unknown class counts as the one of least worth."""
        limit = self.plan.classes.get(kind) or max(self.plan.classes.values(), key=lambda c: c.rank)
        if now - self._swept > SWEEP_NS:
            self._swept = now
            self.lines.forget_idle(now)
        self.rates.fill(now)
        reason = self._why_not(now, limit, line)
        if reason:
            return self._refuse(now, reason, limit)
        need = self.needs[limit.name]
        need.open += 1
        need.most = max(need.most, need.open)
        self.open += 1
        self.admitted += 1
        self.lines.took(now, line)
        return YES

    def _why_not(self, now: int, limit: ClassLimit, line: object) -> str:
        if not self.lines.may_hold(line, self.plan.open - self.open, self.plan.line_share):
            return LINE_OPEN
        if not self._has_place(now, limit):
            return OPEN
        fair = self.lines.is_fair(now, line)
        if self.rates.draw(limit.name, spare=not fair):
            return ""
        return RATE if fair else LINE_RATE

    def _has_place(self, now: int, limit: ClassLimit) -> bool:
        """A class has its own places; beyond them it may borrow what the others did not need lately."""
        if self.open >= self.plan.open:
            return False
        if self.needs[limit.name].open < limit.open:
            return True
        free = self.plan.open - self.open
        kept = 0
        for other in self.plan.classes.values():
            if other.name == limit.name or not other.open:
                continue
            need = self.needs[other.name]
            # Room to grow: a class that comes back finds some of its own at once, and more as it takes it.
            wanted = min(other.open, max(2 * need.lately(now), -(-other.open // 8)))
            kept += max(0, wanted - need.open)
        # Trunk reservation: of what is lent, each rank leaves a little more to those of more worth.
        reserved = self.plan.open * limit.rank // (16 * max(1, len(self.plan.classes)))
        return free > kept + reserved

    def ended(self, now: int, kind: str, line: object, took_ns: int) -> None:
        """An admitted set-up has had its final answer, or its caller has gone."""
        limit = self.plan.classes.get(kind) or max(self.plan.classes.values(), key=lambda c: c.rank)
        need = self.needs[limit.name]
        need.open = max(0, need.open - 1)
        self.open = max(0, self.open - 1)
        self.lines.ended(line)
        self._mean_ns += (took_ns - self._mean_ns) // 16

    def _refuse(self, now: int, reason: str, limit: ClassLimit) -> Verdict:
        """Callers that are turned away are asked back at the pace at which they can be let in."""
        self.refused[reason] = self.refused.get(reason, 0) + 1
        owed, at = self._owed.get(limit.name, (0, now))
        # Those sent away before come back in their turn: they are counted down at the class's rate.
        rate = limit.rate or max(1, self.plan.rate // 20)
        owed = max(0, owed - (now - at) * rate // NANO)
        self._owed[limit.name] = (min(owed + TOKEN, self.plan.depth(rate) * 16), now)
        if not self.plan.longest_wait_ns:
            return Verdict(reason)
        if reason in (RATE, LINE_RATE):
            wait = max(self.rates.wait_ns(limit.name), owed * NANO // rate)
        else:
            # One place comes free each time that one of the open set-ups ends.
            places = max(1, self.open)
            wait = max(self._mean_ns // 4, self._mean_ns * (owed // TOKEN + 1) // places)
        return Verdict(reason, max(1_000_000, min(wait, self.plan.longest_wait_ns)))
