"""Which instance is to run which duty: rendezvous hashing with bounded load.

Every instance works it out for itself from the same members and duties, and comes to the same result.  A
duty goes to the member that scores highest for it; one whose load is full hands it to its next best
(Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018, on rendezvous scores).
An assignment is only a wish: the lease decides who runs.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

SHARDS = 64  # leases that all duties of a group share: the same in all instances of a version
SLACK = 1.25  # of the even load that one member takes at most


def score(duty: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(duty.encode() + b"\0" + member.encode())


def shard_of(duty: str) -> str:
    """The lease that a duty is run under; it never changes, so that its epochs only grow."""
    return f"shard:{xxhash.xxh3_64_intdigest(duty.encode()) % SHARDS}"


def order(duty: str, members: Iterable[str]) -> list[str]:
    """The members from the best for this duty to the last."""
    return sorted(members, key=lambda m: (-score(duty, m), m))


def capacity(duties: int, members: int, slack: float = SLACK) -> int:
    """Duties that one member takes at most, so that all find a place."""
    return max(1, -(-int(duties * slack * 1000) // (members * 1000))) if members else 0


def assign(duties: Iterable[str], members: Iterable[str], slack: float = SLACK) -> dict[str, str]:
    """The member of each duty; empty where there is no member.

    Duties are placed in the order of their own hash, so that which of them find a member full does not depend
    on how they are listed.
    """
    known = sorted(set(members))
    named = sorted(set(duties), key=lambda d: (score(d, ""), d))
    if not known:
        return {}
    most = capacity(len(named), len(known), slack)
    load = dict.fromkeys(known, 0)
    placed: dict[str, str] = {}
    for duty in named:
        # Mostly the best has room: the whole order is worked out only where it has not.
        best = max(known, key=lambda m: (score(duty, m), m))
        if load[best] >= most:
            best = next(m for m in order(duty, known) if load[m] < most)
        load[best] += 1
        placed[duty] = best
    return placed


def of(member: str, placed: Mapping[str, str]) -> list[str]:
    return sorted(duty for duty, at in placed.items() if at == member)


def moved(before: Mapping[str, str], after: Mapping[str, str]) -> int:
    """How many duties have another member than before."""
    return sum(1 for duty, at in after.items() if before.get(duty) != at)
