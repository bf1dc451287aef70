"""Which instance is to run which duty: rendezvous hashing with bounded load.

Every instance works it out for itself from the same members and duties, and comes to the same result.  A
duty goes to the member that scores highest for it; one whose load is full hands it to its next best
(Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018, on rendezvous scores).
An assignment is only a wish: the lease decides who runs.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

SHARD_COUNT = 64  # leases that all duties of a group share: the same in all instances of a version
MAX_LOAD_FACTOR = 1.25  # of the even load that one member takes at most


def score(duty: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(duty.encode() + b"\0" + member.encode())


def shard_of(duty: str) -> str:
    """The lease that a duty is run under; it never changes, so that its epochs only grow."""
    return f"shard:{xxhash.xxh3_64_intdigest(duty.encode()) % SHARD_COUNT}"


def rank_members(duty: str, members: Iterable[str]) -> list[str]:
    """The members from the best for this duty to the last."""
    return sorted(members, key=lambda m: (-score(duty, m), m))


def member_capacity(duties: int, members: int, load_factor: float = MAX_LOAD_FACTOR) -> int:
    """Duties that one member takes at most, so that all find a place."""
    return max(1, -(-int(duties * load_factor * 1000) // (members * 1000))) if members else 0


def assign(
    duties: Iterable[str], members: Iterable[str], load_factor: float = MAX_LOAD_FACTOR
) -> dict[str, str]:
    """The member of each duty; empty where there is no member.

    Duties are placed in the order of their own hash, so that which of them find a member full does not depend
    on how they are listed.
    """
    known_members = sorted(set(members))
    ordered = sorted(set(duties), key=lambda duty: (score(duty, ""), duty))
    if not known_members:
        return {}
    limit = member_capacity(len(ordered), len(known_members), load_factor)
    load = dict.fromkeys(known_members, 0)
    placements: dict[str, str] = {}
    for duty in ordered:
        # Mostly the best has room: the whole order is worked out only where it has not.
        best = max(known_members, key=lambda m: (score(duty, m), m))
        if load[best] >= limit:
            best = next(m for m in rank_members(duty, known_members) if load[m] < limit)
        load[best] += 1
        placements[duty] = best
    return placements


def duties_of(member: str, placements: Mapping[str, str]) -> list[str]:
    return sorted(duty for duty, placed_on in placements.items() if placed_on == member)


def count_moved(before: Mapping[str, str], after: Mapping[str, str]) -> int:
    """How many duties have another member than before."""
    return sum(1 for duty, member in after.items() if before.get(duty) != member)
