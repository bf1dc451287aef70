"""The holder's side: from asking, through holding and renewing, to the end of its time.

A claim is a value; each function returns the next one.  ``holds`` is the only question that allows work, and
has to be asked with a time read after the work was ready to leave.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from arrowrail.leases.promise import Ask, Release, Reply
from arrowrail.leases.terms import Terms

IDLE, ASKING, HOLDING = "idle", "asking", "holding"


@dataclass(frozen=True, slots=True)
class Claim:
    duty: str
    holder: str
    phase: str = IDLE
    epoch: int = 0  # of the lease that is held or asked for
    seen: int = 0  # the highest epoch heard of
    until: int = 0  # end of what is held
    round: int = 0
    asked_at: int = 0  # when the round under way was asked; 0: none is
    lasts_ns: int = 0  # how long that round counts for, from when it was asked
    granted: frozenset[str] = frozenset()
    refused: frozenset[str] = frozenset()
    not_before: int = 0  # no new round sooner


def holds(claim: Claim, now: int) -> bool:
    return claim.phase == HOLDING and now < claim.until


def begin(claim: Claim, now: int, terms: Terms, floor: int = 0) -> tuple[Claim, Ask]:
    """A first round, under an epoch above all that were heard of; ``floor``: where memory may be missing."""
    epoch = max(claim.seen, claim.epoch, floor) + 1
    asked = replace(
        claim, phase=ASKING, epoch=epoch, seen=epoch, round=claim.round + 1, asked_at=now, until=0,
        granted=frozenset(), refused=frozenset(), lasts_ns=terms.holder_ns,
    )  # fmt: skip
    return asked, Ask(asked.duty, asked.holder, epoch, asked.round, terms.length_ns)


def renew(claim: Claim, now: int, terms: Terms) -> tuple[Claim, Ask]:
    """A further round under the same epoch; what is held stays held until its time is over."""
    asked = replace(
        claim, round=claim.round + 1, asked_at=now, granted=frozenset(), refused=frozenset(),
        lasts_ns=terms.holder_ns,
    )  # fmt: skip
    return asked, Ask(asked.duty, asked.holder, asked.epoch, asked.round, terms.length_ns)


def heard(claim: Claim, voter: str, reply: Reply, now: int, terms: Terms) -> Claim:
    """A grantor's reply to the round under way; others are late and say nothing but their epoch."""
    claim = replace(claim, seen=max(claim.seen, reply.seen))
    if claim.phase == IDLE or not claim.asked_at or (reply.round, reply.epoch) != (claim.round, claim.epoch):
        return claim
    if not reply.granted:
        claim = replace(claim, refused=claim.refused | {voter})
        # What is in the way is mostly given back sooner: another candidate's round that came to nothing.
        wait = now + min(reply.free_in_ns, 2 * terms.answer_ns)
        return replace(claim, not_before=max(claim.not_before, wait)) if claim.phase == ASKING else claim
    claim = replace(claim, granted=claim.granted | {voter})
    # Counted from the question, not the answer: the promise cannot have begun before it.
    until = claim.asked_at + claim.lasts_ns
    if terms.enough(claim.granted) and until > max(now, claim.until):
        return replace(claim, phase=HOLDING, until=until, asked_at=0)
    return claim


def hopeless(claim: Claim, terms: Terms) -> bool:
    """Whether so many have refused the round that no majority is left."""
    return not terms.enough(terms.all_voters() - claim.refused)


def passed(claim: Claim, now: int, terms: Terms, pause_ns: int) -> Claim:
    """Time has gone on: a lease that is over, or a round that came to nothing, ends here.

    ``pause_ns`` is drawn by the caller, so that two candidates do not meet again and again.
    """
    if claim.phase == HOLDING and now >= claim.until:
        return replace(claim, phase=IDLE, asked_at=0, not_before=now + pause_ns)
    late = now - claim.asked_at >= terms.answer_ns
    if claim.phase == ASKING and (late or hopeless(claim, terms)):
        return replace(claim, phase=IDLE, asked_at=0, not_before=max(claim.not_before, now + pause_ns))
    if claim.phase == HOLDING and claim.asked_at and late:
        return replace(claim, asked_at=0)  # a renewal that was lost: another round may begin
    return claim


def wants_renewal(claim: Claim, now: int, terms: Terms) -> bool:
    return (
        claim.phase == HOLDING
        and not claim.asked_at
        and claim.until - now <= terms.holder_ns - terms.renew_ns
    )


def give_back(claim: Claim, now: int, pause_ns: int = 0) -> tuple[Claim, Release | None]:
    """Stop holding or asking; the release goes to all voters, after the work has stopped."""
    if claim.phase == IDLE:
        return claim, None
    stopped = replace(claim, phase=IDLE, asked_at=0, until=0, not_before=now + pause_ns)
    return stopped, Release(claim.duty, claim.holder, claim.epoch)
