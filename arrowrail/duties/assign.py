"""Assignment of duties to instances: rendezvous hashing with bounded load.

Every instance computes the assignment from the same members and duties, with the same result.  A duty goes to
the member with the highest score for it; if that member is at its capacity, to the next best one
(Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing with Bounded Loads", 2018, applied to rendezvous
scores).  The assignment is only a preference: the lease decides which instance runs a duty.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

SHARD_COUNT = 64  # leases shared by all duties of a group; the same in all instances of a version
MAX_LOAD_FACTOR = 1.25  # capacity of a member, as a multiple of the even load


def score(duty: str, member: str) -> int:
    return xxhash.xxh3_64_intdigest(duty.encode() + b"\0" + member.encode())


def shard_of(duty: str) -> str:
    """Return the lease under which a duty runs; it never changes, so that its epochs only grow."""
    return f"shard:{xxhash.xxh3_64_intdigest(duty.encode()) % SHARD_COUNT}"


def rank_members(duty: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending score for this duty."""
    return sorted(members, key=lambda m: (-score(duty, m), m))


def member_capacity(duties: int, members: int, load_factor: float = MAX_LOAD_FACTOR) -> int:
    """Return the most duties that one member takes; at least enough for all duties to be placed."""
    return max(1, -(-int(duties * load_factor * 1000) // (members * 1000))) if members else 0


def assign(
    duties: Iterable[str], members: Iterable[str], load_factor: float = MAX_LOAD_FACTOR
) -> dict[str, str]:
    """Return the member of each duty; empty if there are no members.

    Duties are placed in the order of their own hash, so that which of them meet a full member does not depend
    on the order of the arguments.
    """
    known_members = sorted(set(members))
    ordered = sorted(set(duties), key=lambda duty: (score(duty, ""), duty))
    if not known_members:
        return {}
    limit = member_capacity(len(ordered), len(known_members), load_factor)
    load = dict.fromkeys(known_members, 0)
    placements: dict[str, str] = {}
    for duty in ordered:
        # The best member usually has capacity left: all members are ranked only if it has not.
        best = max(known_members, key=lambda m: (score(duty, m), m))
        if load[best] >= limit:
            best = next(m for m in rank_members(duty, known_members) if load[m] < limit)
        load[best] += 1
        placements[duty] = best
    return placements


def duties_of(member: str, placements: Mapping[str, str]) -> list[str]:
    """Return the duties that a member has been assigned, sorted."""
    return sorted(duty for duty, placed_on in placements.items() if placed_on == member)


def count_moved(before: Mapping[str, str], after: Mapping[str, str]) -> int:
    """Return the number of duties whose member differs from before."""
    return sum(1 for duty, member in after.items() if before.get(duty) != member)
