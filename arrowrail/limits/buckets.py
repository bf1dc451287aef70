"""Set-ups a second: a bucket for each class, and one for what classes leave unused.

A class's bucket fills at its own rate.  What would run over flows into the lent bucket, from which any class
may draw, those of little worth only while enough is left for the others.  So an unused rate is lent as it
comes, and is back with its owner as soon as it draws again: nothing has to be called in.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.limits.plan import NANO, TOKEN, Plan


@dataclass(slots=True)
class Bucket:
    rate: int  # set-ups in 1e9 s
    depth: int
    tokens: int

    def fill(self, passed_ns: int) -> int:
        """Tokens for the time that has passed; returns what ran over."""
        tokens = self.tokens + self.rate * passed_ns // NANO
        over = max(0, tokens - self.depth)
        self.tokens = tokens - over
        return over


class Rates:
    """Draws tokens for set-ups; full at the start, since nothing has been brought in yet."""

    def __init__(self, plan: Plan, now: int) -> None:
        self._at = now
        self.own: dict[str, Bucket] = {}
        self.lent = Bucket(0, 0, 0)
        self.use(plan)

    def use(self, plan: Plan) -> None:
        """A new plan: each bucket keeps what it held, within its new depth; one of a new class is full."""
        before, had = self.own, self.lent
        self.plan = plan
        self.own = {}
        for name, limit in plan.classes.items():
            depth = plan.depth(limit.rate) if limit.rate else 0
            known = before.get(name)
            tokens = depth if known is None else min(depth, known.tokens)
            self.own[name] = Bucket(limit.rate, depth, tokens)
        # Whole rates are divided downwards: what is left over belongs to nobody and is lent.
        spare = plan.rate - sum(c.rate for c in plan.classes.values())
        depth = plan.depth(plan.rate)
        self.lent = Bucket(max(0, spare), depth, min(depth, had.tokens))

    def fill(self, now: int) -> None:
        passed = now - self._at
        if passed <= 0:
            return
        self._at = now
        # After a long time every bucket is full: more than that makes no difference.
        passed = min(passed, 10 * self.plan.burst_ns + 10 * NANO)
        over = sum(bucket.fill(passed) for bucket in self.own.values())
        self.lent.fill(passed)
        self.lent.tokens = min(self.lent.depth, self.lent.tokens + over)

    def kept_back(self, rank: int) -> int:
        """Tokens of the lent bucket that a class of this rank leaves for those of more worth."""
        ranks = max((c.rank for c in self.plan.classes.values()), default=0)
        return self.lent.depth * rank // (2 * (ranks + 1)) if ranks else 0

    def draw(self, name: str, spare: bool = False) -> bool:
        """Take a token for one set-up, from the own bucket first; false: there is none.

        ``spare``: only of what is plenty, so that a quarter of each bucket stays for others.
        """
        own, lent = self.own[name], self.lent
        if own.tokens - TOKEN >= (own.depth // 4 if spare else 0):
            own.tokens -= TOKEN
            return True
        need = TOKEN if spare else TOKEN - own.tokens
        left = self.kept_back(self.plan.classes[name].rank) + (lent.depth // 4 if spare else 0)
        if lent.tokens - need < left:
            return False
        lent.tokens -= need
        own.tokens -= TOKEN - need
        return True

    def wait_ns(self, name: str) -> int:
        """Time until the class's own rate has made a token."""
        own = self.own[name]
        return max(0, TOKEN - own.tokens) * NANO // (own.rate or max(1, self.plan.rate // 20))
