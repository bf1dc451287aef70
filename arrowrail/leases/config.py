"""What all of a group agree on: how long a promise lasts, how far clocks may drift, who grants.

Every time is of one instance's own monotonic clock.  A clock's rate may be wrong by ``drift_ppm`` either way;
nothing is assumed of how far clocks are apart.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

MILLION = 1_000_000


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    duration_ns: int  # how long a grantor keeps a promise, on its own clock
    drift_ppm: int  # bound on how wrong any clock's rate is
    voters: frozenset[str]
    next_voters: frozenset[str] = frozenset()  # while the group changes: a majority of both is needed

    @property
    def holder_duration_ns(self) -> int:
        """How long a holder may count on it, on its own clock, from when it asked.

        A holder whose clock is slow by the bound must have stopped before a grantor whose clock is fast by
        it may promise anew: h / (1 - d) <= length / (1 + d).
        """
        return self.duration_ns * (MILLION - self.drift_ppm) // (MILLION + self.drift_ppm)

    @property
    def max_duration_ns(self) -> int:
        """The longest promise given: an asker may know of longer terms than a grantor does."""
        return 2 * self.duration_ns

    @property
    def renew_after_ns(self) -> int:
        """When a holder asks again: two more rounds fit in before its time is over."""
        return self.holder_duration_ns // 3

    @property
    def reply_timeout_ns(self) -> int:
        """How long a candidate waits for a majority before it gives a round up."""
        return self.holder_duration_ns // 4

    def is_quorum(self, granted: Set[str]) -> bool:
        """Whether these are a majority of the voters, and of the next ones where the group changes.

        Any two such sets share a voter: of one group trivially; across a step of a change because both
        contain a majority of the group that the two steps have in common.
        """
        return _is_majority(granted, self.voters) and (
            not self.next_voters or _is_majority(granted, self.next_voters)
        )

    def all_voters(self) -> frozenset[str]:
        return self.voters | self.next_voters


def _is_majority(granted: Set[str], voters: Set[str]) -> bool:
    return 2 * len(granted & voters) > len(voters)
