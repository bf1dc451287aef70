"""The voter's side of a lease: one promise per duty, to one holder, under an epoch that only grows."""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.leases.config import LeaseConfig


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """A candidate's or holder's request to one voter to acquire or renew a lease."""

    duty: str
    holder: str
    epoch: int
    round: int  # the requester's round number, returned in the reply
    duration_ns: int = 0  # requested duration of the promise; the requester relies on no more than that


@dataclass(frozen=True, slots=True)
class Reply:
    """A voter's answer to a request."""

    duty: str
    epoch: int
    round: int
    granted: bool
    highest_epoch: int  # the highest epoch promised by this voter; the next request has to exceed it
    retry_after_ns: int = 0  # latest end of the promise that conflicts with the request


@dataclass(frozen=True, slots=True)
class Release:
    """Tells the voters that the holder has stopped, so that they need not wait for the lease to expire."""

    duty: str
    holder: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Promise:
    """A voter's promise not to grant the lease to another holder before it expires."""

    epoch: int = 0
    holder: str = ""
    expires_at: int = 0
    duration_ns: int = 0


NO_PROMISE = Promise()


def answer_request(
    promise: Promise, now: int, request: AcquireRequest, config: LeaseConfig, no_grants_until: int = 0
) -> tuple[Promise, Reply]:
    """Return the new promise and the reply; the promise has to be stored before the reply is sent.

    ``no_grants_until`` is set after a start without stored promises: nothing is granted before every promise
    that may have been given has expired.
    """
    if now < no_grants_until:
        return promise, Reply(
            request.duty, request.epoch, request.round, False, promise.epoch, no_grants_until - now
        )
    active = now < promise.expires_at
    if request.duration_ns > config.max_duration_ns:
        return promise, Reply(request.duty, request.epoch, request.round, False, promise.epoch)
    if request.epoch == promise.epoch and request.holder == promise.holder:
        # Once expired, other voters may have promised the lease to another holder: a new epoch is needed.
        if not active:
            return promise, Reply(request.duty, request.epoch, request.round, False, promise.epoch)
    elif (active and promise.holder != request.holder) or request.epoch <= promise.epoch:
        retry_after_ns = promise.expires_at - now if active and promise.holder != request.holder else 0
        return promise, Reply(
            request.duty, request.epoch, request.round, False, promise.epoch, retry_after_ns
        )
    expires_at = max(promise.expires_at if active else 0, now + request.duration_ns)
    new_promise = Promise(request.epoch, request.holder, expires_at, request.duration_ns)
    return new_promise, Reply(request.duty, request.epoch, request.round, True, request.epoch)


def apply_release(promise: Promise, now: int, release: Release) -> Promise:
    """End exactly the promise that the release names; the epoch stays, so that it is not used again."""
    if (release.epoch, release.holder) != (promise.epoch, promise.holder):
        return promise
    return Promise(promise.epoch, promise.holder, min(promise.expires_at, now), promise.duration_ns)


def restore_promise(promise: Promise, now: int) -> Promise:
    """Restart the full duration of a promise read back at a start: its age is not known on this clock."""
    return Promise(promise.epoch, promise.holder, now + promise.duration_ns, promise.duration_ns)
