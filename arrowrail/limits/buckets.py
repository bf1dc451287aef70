"""Set-up rate limiting: a token bucket for each class and a shared bucket for unused tokens.

Each class's bucket fills at the class's own rate and overflows into the shared bucket, from which any class
may borrow.  Classes of lower worth may borrow only while enough is left for the others.  Tokens are lent only
as they overflow, so a class has its own rate back as soon as it draws again; nothing has to be reclaimed.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.limits.config import NANOS_PER_UNIT, SET_UP_COST, LimitsConfig


@dataclass(slots=True)
class TokenBucket:
    rate: int  # set-ups per 1e9 s
    depth: int
    tokens: int

    def refill(self, elapsed_ns: int) -> int:
        """Add the tokens for the elapsed time; return the overflow."""
        tokens = self.tokens + self.rate * elapsed_ns // NANOS_PER_UNIT
        overflow = max(0, tokens - self.depth)
        self.tokens = tokens - overflow
        return overflow


class RateLimiter:
    """Token buckets of all classes; class buckets start full, as nothing has been admitted yet."""

    def __init__(self, config: LimitsConfig, now: int) -> None:
        self._last_refill = now
        self.class_buckets: dict[str, TokenBucket] = {}
        self.shared = TokenBucket(0, 0, 0)
        self.update_config(config)

    def update_config(self, config: LimitsConfig) -> None:
        """Apply new limits: buckets keep their tokens up to the new depth; that of a new class is full."""
        previous_buckets, previous_shared = self.class_buckets, self.shared
        self.config = config
        self.class_buckets = {}
        for name, limit in config.classes.items():
            depth = config.bucket_depth(limit.reserved_rate) if limit.reserved_rate else 0
            previous = previous_buckets.get(name)
            tokens = depth if previous is None else min(depth, previous.tokens)
            self.class_buckets[name] = TokenBucket(limit.reserved_rate, depth, tokens)
        # Dividing the rate rounds down; the remainder belongs to no class and goes to the shared bucket.
        remainder = config.rate - sum(c.reserved_rate for c in config.classes.values())
        depth = config.bucket_depth(config.rate)
        self.shared = TokenBucket(max(0, remainder), depth, min(depth, previous_shared.tokens))

    def refill(self, now: int) -> None:
        elapsed = now - self._last_refill
        if elapsed <= 0:
            return
        self._last_refill = now
        # After a long time every bucket is full; any further time makes no difference.
        elapsed = min(elapsed, 10 * self.config.burst_ns + 10 * NANOS_PER_UNIT)
        overflow = sum(bucket.refill(elapsed) for bucket in self.class_buckets.values())
        self.shared.refill(elapsed)
        self.shared.tokens = min(self.shared.depth, self.shared.tokens + overflow)

    def reserved_for_higher_ranks(self, rank: int) -> int:
        """Return the shared tokens that a class of this rank has to leave to classes of higher worth."""
        lowest_rank = max((c.rank for c in self.config.classes.values()), default=0)
        return self.shared.depth * rank // (2 * (lowest_rank + 1)) if lowest_rank else 0

    def try_acquire(self, class_name: str, surplus_only: bool = False) -> bool:
        """Take the tokens for one set-up, from the class's own bucket first; false if there are too few.

        With ``surplus_only`` a quarter of each bucket is left to others.
        """
        own, shared = self.class_buckets[class_name], self.shared
        if own.tokens - SET_UP_COST >= (own.depth // 4 if surplus_only else 0):
            own.tokens -= SET_UP_COST
            return True
        borrowed = SET_UP_COST if surplus_only else SET_UP_COST - own.tokens
        reserved = self.reserved_for_higher_ranks(self.config.classes[class_name].rank) + (
            shared.depth // 4 if surplus_only else 0
        )
        if shared.tokens - borrowed < reserved:
            return False
        shared.tokens -= borrowed
        own.tokens -= SET_UP_COST - borrowed
        return True

    def time_to_set_up_ns(self, class_name: str) -> int:
        """Return the time until the class's own rate provides the tokens for one set-up."""
        own = self.class_buckets[class_name]
        return (
            max(0, SET_UP_COST - own.tokens) * NANOS_PER_UNIT // (own.rate or max(1, self.config.rate // 20))
        )
