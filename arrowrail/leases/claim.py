"""The holder's side: from asking, through holding and renewing, to the end of its time.

A claim is a value; each function returns the next one.  ``holds`` is the only question that allows work, and
has to be asked with a time read after the work was ready to leave.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from arrowrail.leases.config import LeaseConfig
from arrowrail.leases.promise import AcquireRequest, Release, Reply

IDLE, ASKING, HOLDING = "idle", "asking", "holding"


@dataclass(frozen=True, slots=True)
class Claim:
    duty: str
    holder: str
    phase: str = IDLE
    epoch: int = 0  # of the lease that is held or asked for
    highest_epoch: int = 0  # the highest epoch heard of
    expires_at: int = 0  # end of what is held
    round: int = 0
    requested_at: int = 0  # when the round under way was asked; 0: none is
    valid_ns: int = 0  # how long that round counts for, from when it was asked
    granted_by: frozenset[str] = frozenset()
    refused_by: frozenset[str] = frozenset()
    not_before: int = 0  # no new round sooner


def is_held(claim: Claim, now: int) -> bool:
    return claim.phase == HOLDING and now < claim.expires_at


def start_acquire(
    claim: Claim, now: int, config: LeaseConfig, min_epoch: int = 0
) -> tuple[Claim, AcquireRequest]:
    """A first round, under an epoch above all that were heard of; ``floor``: where memory may be missing."""
    epoch = max(claim.highest_epoch, claim.epoch, min_epoch) + 1
    requested = replace(
        claim, phase=ASKING, epoch=epoch, highest_epoch=epoch, round=claim.round + 1, requested_at=now,
        expires_at=0, granted_by=frozenset(), refused_by=frozenset(), valid_ns=config.holder_duration_ns,
    )  # fmt: skip
    return requested, AcquireRequest(
        requested.duty, requested.holder, epoch, requested.round, config.duration_ns
    )


def start_renewal(claim: Claim, now: int, config: LeaseConfig) -> tuple[Claim, AcquireRequest]:
    """A further round under the same epoch; what is held stays held until its time is over."""
    requested = replace(
        claim, round=claim.round + 1, requested_at=now, granted_by=frozenset(), refused_by=frozenset(),
        valid_ns=config.holder_duration_ns,
    )  # fmt: skip
    return requested, AcquireRequest(
        requested.duty, requested.holder, requested.epoch, requested.round, config.duration_ns
    )


def apply_reply(claim: Claim, voter: str, reply: Reply, now: int, config: LeaseConfig) -> Claim:
    """A grantor's reply to the round under way; others are late and say nothing but their epoch."""
    claim = replace(claim, highest_epoch=max(claim.highest_epoch, reply.highest_epoch))
    if (
        claim.phase == IDLE
        or not claim.requested_at
        or (reply.round, reply.epoch) != (claim.round, claim.epoch)
    ):
        return claim
    if not reply.granted:
        claim = replace(claim, refused_by=claim.refused_by | {voter})
        # What is in the way is mostly given back sooner: another candidate's round that came to nothing.
        wait = now + min(reply.retry_after_ns, 2 * config.reply_timeout_ns)
        return replace(claim, not_before=max(claim.not_before, wait)) if claim.phase == ASKING else claim
    claim = replace(claim, granted_by=claim.granted_by | {voter})
    # Counted from the question, not the answer: the promise cannot have begun before it.
    expires_at = claim.requested_at + claim.valid_ns
    if config.is_quorum(claim.granted_by) and expires_at > max(now, claim.expires_at):
        return replace(claim, phase=HOLDING, expires_at=expires_at, requested_at=0)
    return claim


def quorum_unreachable(claim: Claim, config: LeaseConfig) -> bool:
    """Whether so many have refused the round that no majority is left."""
    return not config.is_quorum(config.all_voters() - claim.refused_by)


def advance_time(claim: Claim, now: int, config: LeaseConfig, backoff_ns: int) -> Claim:
    """Time has gone on: a lease that is over, or a round that came to nothing, ends here.

    ``pause_ns`` is drawn by the caller, so that two candidates do not meet again and again.
    """
    if claim.phase == HOLDING and now >= claim.expires_at:
        return replace(claim, phase=IDLE, requested_at=0, not_before=now + backoff_ns)
    timed_out = now - claim.requested_at >= config.reply_timeout_ns
    if claim.phase == ASKING and (timed_out or quorum_unreachable(claim, config)):
        return replace(claim, phase=IDLE, requested_at=0, not_before=max(claim.not_before, now + backoff_ns))
    if claim.phase == HOLDING and claim.requested_at and timed_out:
        return replace(claim, requested_at=0)  # a renewal that was lost: another round may begin
    return claim


def needs_renewal(claim: Claim, now: int, config: LeaseConfig) -> bool:
    return (
        claim.phase == HOLDING
        and not claim.requested_at
        and claim.expires_at - now <= config.holder_duration_ns - config.renew_after_ns
    )


def release_claim(claim: Claim, now: int, backoff_ns: int = 0) -> tuple[Claim, Release | None]:
    """Stop holding or asking; the release goes to all voters, after the work has stopped."""
    if claim.phase == IDLE:
        return claim, None
    stopped = replace(claim, phase=IDLE, requested_at=0, expires_at=0, not_before=now + backoff_ns)
    return stopped, Release(claim.duty, claim.holder, claim.epoch)
