"""The holder's side of a lease: acquire, hold, renew, release.

A claim is an immutable value; each function returns the next one.  Work is allowed only while ``is_held`` is
true, and it has to be called with a time that was read after the work was ready to be sent.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

from arrowrail.leases.config import LeaseConfig
from arrowrail.leases.promise import AcquireRequest, Release, Reply

IDLE, ASKING, HOLDING = "idle", "asking", "holding"


@dataclass(frozen=True, slots=True)
class Claim:
    """What a candidate or holder knows of one lease."""

    duty: str
    holder: str
    phase: str = IDLE
    epoch: int = 0  # of the lease held or requested
    highest_epoch: int = 0  # the highest epoch seen in any reply
    expires_at: int = 0  # when the lease ends; 0 if none is held
    round: int = 0
    requested_at: int = 0  # when the current round of requests began; 0 if there is none
    valid_ns: int = 0  # validity of the current round, counted from requested_at
    granted_by: frozenset[str] = frozenset()
    refused_by: frozenset[str] = frozenset()
    not_before: int = 0  # earliest start of the next round


def is_held(claim: Claim, now: int) -> bool:
    """Return whether the lease is held; the only condition under which the duty may run."""
    return claim.phase == HOLDING and now < claim.expires_at


def start_acquire(
    claim: Claim, now: int, config: LeaseConfig, min_epoch: int = 0
) -> tuple[Claim, AcquireRequest]:
    """Start a first round under an epoch above all known ones.

    ``min_epoch`` is a lower bound for the case that epochs used earlier are not known.
    """
    epoch = max(claim.highest_epoch, claim.epoch, min_epoch) + 1
    updated = replace(
        claim, phase=ASKING, epoch=epoch, highest_epoch=epoch, round=claim.round + 1, requested_at=now,
        expires_at=0, granted_by=frozenset(), refused_by=frozenset(), valid_ns=config.holder_duration_ns,
    )  # fmt: skip
    return updated, AcquireRequest(updated.duty, updated.holder, epoch, updated.round, config.duration_ns)


def start_renewal(claim: Claim, now: int, config: LeaseConfig) -> tuple[Claim, AcquireRequest]:
    """Start another round under the same epoch; the lease stays valid until it expires."""
    updated = replace(
        claim, round=claim.round + 1, requested_at=now, granted_by=frozenset(), refused_by=frozenset(),
        valid_ns=config.holder_duration_ns,
    )  # fmt: skip
    return updated, AcquireRequest(
        updated.duty, updated.holder, updated.epoch, updated.round, config.duration_ns
    )


def apply_reply(claim: Claim, voter: str, reply: Reply, now: int, config: LeaseConfig) -> Claim:
    """Apply a voter's reply to the current round; a reply to another round only updates the highest epoch."""
    claim = replace(claim, highest_epoch=max(claim.highest_epoch, reply.highest_epoch))
    if (
        claim.phase == IDLE
        or not claim.requested_at
        or (reply.round, reply.epoch) != (claim.round, claim.epoch)
    ):
        return claim
    if not reply.granted:
        claim = replace(claim, refused_by=claim.refused_by | {voter})
        # The conflicting promise is usually released early: another candidate's round that did not succeed.
        retry_at = now + min(reply.retry_after_ns, 2 * config.reply_timeout_ns)
        return replace(claim, not_before=max(claim.not_before, retry_at)) if claim.phase == ASKING else claim
    claim = replace(claim, granted_by=claim.granted_by | {voter})
    # Counted from the request, not the reply: the voter's promise cannot have begun before the request.
    expires_at = claim.requested_at + claim.valid_ns
    if config.is_quorum(claim.granted_by) and expires_at > max(now, claim.expires_at):
        return replace(claim, phase=HOLDING, expires_at=expires_at, requested_at=0)
    return claim


def quorum_unreachable(claim: Claim, config: LeaseConfig) -> bool:
    """Return whether too many voters refused the current round for it to reach a quorum."""
    return not config.is_quorum(config.all_voters() - claim.refused_by)


def advance_time(claim: Claim, now: int, config: LeaseConfig, backoff_ns: int) -> Claim:
    """End a lease that has expired, or a round that timed out or can no longer reach a quorum.

    The caller draws ``backoff_ns`` at random, so that two candidates do not collide in every round.
    """
    if claim.phase == HOLDING and now >= claim.expires_at:
        return replace(claim, phase=IDLE, requested_at=0, not_before=now + backoff_ns)
    timed_out = now - claim.requested_at >= config.reply_timeout_ns
    if claim.phase == ASKING and (timed_out or quorum_unreachable(claim, config)):
        return replace(claim, phase=IDLE, requested_at=0, not_before=max(claim.not_before, now + backoff_ns))
    if claim.phase == HOLDING and claim.requested_at and timed_out:
        return replace(claim, requested_at=0)  # the renewal was lost; another round may begin
    return claim


def needs_renewal(claim: Claim, now: int, config: LeaseConfig) -> bool:
    return (
        claim.phase == HOLDING
        and not claim.requested_at
        and claim.expires_at - now <= config.holder_duration_ns - config.renew_after_ns
    )


def release_claim(claim: Claim, now: int, backoff_ns: int = 0) -> tuple[Claim, Release | None]:
    """Stop holding or requesting; the release has to go to all voters, after the work has stopped."""
    if claim.phase == IDLE:
        return claim, None
    stopped = replace(claim, phase=IDLE, requested_at=0, expires_at=0, not_before=now + backoff_ns)
    return stopped, Release(claim.duty, claim.holder, claim.epoch)
