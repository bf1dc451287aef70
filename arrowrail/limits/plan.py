"""The limits as figures: shares of open set-ups and of set-ups a second for each class.

All arithmetic is in whole numbers, so that the same events give the same decisions everywhere.  A share that
is not stated is divided by worth among the classes that state none.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction

S = 1_000_000_000  # ns
TOKEN = S  # one set-up in the bucket's unit, so that a rate a second times ns is exact
NANO = 1_000_000_000  # a rate is kept as set-ups in 1e9 seconds


@dataclass(frozen=True, slots=True)
class ClassLimit:
    """One class: what is kept for it, and where it stands in line for what others leave unused."""

    name: str
    open: int  # open set-ups that it may always have, as far as the others keep to theirs
    rate: int  # set-ups in 1e9 s that it may always bring
    rank: int  # 0: the most worth; each further rank leaves more of what is lent untouched


@dataclass(frozen=True, slots=True)
class Plan:
    """The limits of one application."""

    open: int  # set-ups without their final answer at a time, all classes
    rate: int  # set-ups in 1e9 s, all classes
    burst_ns: int  # set-ups of so long a time may come at once
    line_share: Fraction  # of open, for one connection while the others hold none
    classes: Mapping[str, ClassLimit]
    longest_wait_ns: int  # of what a refused caller is told; 0: nothing is told

    def depth(self, rate: int) -> int:
        """Tokens that a bucket holds: a burst's worth, and never under one set-up."""
        return max(TOKEN, rate * self.burst_ns // NANO)


def make(
    open_: int,
    rate: Fraction,
    burst_ns: int,
    line_share: Fraction,
    worths: Mapping[str, float],
    shares: Mapping[str, tuple[Fraction, Fraction]],
    longest_wait_ns: int,
) -> Plan:
    """A plan from an operator's figures: ``worths`` by class, ``shares`` (open, rate) where stated.

    Stated shares add up to 1 at most (the checker sees to it); over that they are cut in proportion, so that
    no plan promises more than there is.
    """
    rate_n = int(rate * NANO)
    opens = _divide(open_, worths, {n: s[0] for n, s in shares.items()})
    rates = _divide(rate_n, worths, {n: s[1] for n, s in shares.items()})
    by_worth = sorted(worths, key=lambda n: (-worths[n], n))
    ranks: dict[str, int] = {}
    for at, name in enumerate(by_worth):
        same = at > 0 and worths[by_worth[at - 1]] == worths[name]
        ranks[name] = ranks[by_worth[at - 1]] if same else at
    classes = {n: ClassLimit(n, opens[n], rates[n], ranks[n]) for n in worths}
    return Plan(open_, rate_n, burst_ns, line_share, classes, longest_wait_ns)


def _divide(total: int, worths: Mapping[str, float], stated: Mapping[str, Fraction]) -> dict[str, int]:
    known = {n: s for n, s in stated.items() if n in worths}
    asked = sum(known.values(), Fraction(0))
    if asked > 1:
        known = {n: s / asked for n, s in known.items()}
        asked = Fraction(1)
    rest = {n: max(w, 0.001) for n, w in worths.items() if n not in known}
    weight = sum((Fraction(w).limit_denominator(1000) for w in rest.values()), Fraction(0))
    parts = dict(known)
    for name, worth in rest.items():
        parts[name] = (1 - asked) * Fraction(worth).limit_denominator(1000) / weight
    return {n: int(total * p) for n, p in parts.items()}
