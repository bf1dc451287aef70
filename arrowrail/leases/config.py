"""Lease settings that all instances of a group share: duration of promises, clock drift bound, voters.

All times are read from an instance's own monotonic clock.  A clock's rate may be off by ``drift_ppm`` in
either direction; no bound is assumed on the offset between clocks.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

MILLION = 1_000_000


@dataclass(frozen=True, slots=True)
class LeaseConfig:
    """Lease duration, drift bound and voters."""

    duration_ns: int  # how long a voter keeps a promise, on its own clock
    drift_ppm: int  # bound on the rate error of any clock
    voters: frozenset[str]
    next_voters: frozenset[str] = frozenset()  # during a membership change a majority of both sets is needed

    @property
    def holder_duration_ns(self) -> int:
        """How long a holder may rely on a lease, on its own clock, counted from its request.

        A holder whose clock is slow by the drift bound d has to stop before a voter whose clock is fast by d
        may promise the lease to another: h / (1 - d) <= duration / (1 + d).
        """
        return self.duration_ns * (MILLION - self.drift_ppm) // (MILLION + self.drift_ppm)

    @property
    def max_duration_ns(self) -> int:
        """The longest promise a voter gives; a requester may already use a longer duration than the voter."""
        return 2 * self.duration_ns

    @property
    def renew_after_ns(self) -> int:
        """When a holder renews: two more rounds fit in before the lease expires."""
        return self.holder_duration_ns // 3

    @property
    def reply_timeout_ns(self) -> int:
        """How long a candidate waits for a quorum before it gives up the round."""
        return self.holder_duration_ns // 4

    def is_quorum(self, granted: Set[str]) -> bool:
        """Return whether these are a majority of the voters, and of the next voters during a change.

        Any two quorums share a voter: within one set of voters trivially; across a step of a membership
        change because both contain a majority of the set that the two steps have in common.
        """
        return _is_majority(granted, self.voters) and (
            not self.next_voters or _is_majority(granted, self.next_voters)
        )

    def all_voters(self) -> frozenset[str]:
        return self.voters | self.next_voters


def _is_majority(granted: Set[str], voters: Set[str]) -> bool:
    return 2 * len(granted & voters) > len(voters)
