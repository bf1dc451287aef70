"""Configured limits: shares of open set-ups and of the set-up rate for each class.

All arithmetic uses integers, so that the same events lead to the same decisions everywhere.  What remains
after the stated shares is divided by worth among the classes without a stated share.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction

SECOND_NS = 1_000_000_000
SET_UP_COST = SECOND_NS  # one set-up in bucket units, so that a rate per second times ns is exact
NANOS_PER_UNIT = 1_000_000_000  # a rate is stored as set-ups per 1e9 seconds


@dataclass(frozen=True, slots=True)
class ClassLimit:
    """The reserved capacity of one class, and its priority for capacity that others leave unused."""

    name: str
    reserved_open: int  # open set-ups always available to the class while the others keep to their share
    reserved_rate: int  # set-ups per 1e9 s always available to the class
    rank: int  # 0: highest worth; each further rank leaves more of the shared capacity unused


@dataclass(frozen=True, slots=True)
class LimitsConfig:
    """The limits of one application."""

    max_open: int  # concurrent set-ups without a final response, all classes
    rate: int  # set-ups per 1e9 s, all classes
    burst_ns: int  # set-ups of this much time may arrive at once
    connection_share: Fraction  # of max_open, for one connection while the others hold none
    classes: Mapping[str, ClassLimit]
    max_retry_after_ns: int  # upper bound of the delay sent to a refused caller; 0: none is sent

    def bucket_depth(self, rate: int) -> int:
        """Return the capacity of a bucket in tokens: one burst, and at least one set-up."""
        return max(SET_UP_COST, rate * self.burst_ns // NANOS_PER_UNIT)


def build_limits(
    max_open: int,
    rate: Fraction,
    burst_ns: int,
    connection_share: Fraction,
    worths: Mapping[str, float],
    shares: Mapping[str, tuple[Fraction, Fraction]],
    max_retry_after_ns: int,
) -> LimitsConfig:
    """Build the limits from configured values: ``worths`` by class, ``shares`` (open, rate) where stated.

    The configuration check ensures that stated shares add up to at most 1; larger sums are scaled down
    proportionally, so that the reserved capacity never exceeds the total.
    """
    scaled_rate = int(rate * NANOS_PER_UNIT)
    reserved_open = _divide(max_open, worths, {n: s[0] for n, s in shares.items()})
    reserved_rates = _divide(scaled_rate, worths, {n: s[1] for n, s in shares.items()})
    by_worth = sorted(worths, key=lambda n: (-worths[n], n))
    ranks: dict[str, int] = {}
    for index, name in enumerate(by_worth):
        same_worth = index > 0 and worths[by_worth[index - 1]] == worths[name]
        ranks[name] = ranks[by_worth[index - 1]] if same_worth else index
    classes = {n: ClassLimit(n, reserved_open[n], reserved_rates[n], ranks[n]) for n in worths}
    return LimitsConfig(max_open, scaled_rate, burst_ns, connection_share, classes, max_retry_after_ns)


def _divide(total: int, worths: Mapping[str, float], stated: Mapping[str, Fraction]) -> dict[str, int]:
    shares = {n: s for n, s in stated.items() if n in worths}
    stated_sum = sum(shares.values(), Fraction(0))
    if stated_sum > 1:
        shares = {n: s / stated_sum for n, s in shares.items()}
        stated_sum = Fraction(1)
    unstated = {n: max(w, 0.001) for n, w in worths.items() if n not in shares}
    total_worth = sum((Fraction(w).limit_denominator(1000) for w in unstated.values()), Fraction(0))
    all_shares = dict(shares)
    for name, worth in unstated.items():
        all_shares[name] = (1 - stated_sum) * Fraction(worth).limit_denominator(1000) / total_worth
    return {n: int(total * s) for n, s in all_shares.items()}
