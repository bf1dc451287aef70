"""The grantor's side: one promise for each duty, to one holder, under an epoch that only grows."""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.leases.config import LeaseConfig


@dataclass(frozen=True, slots=True)
class AcquireRequest:
    """A candidate's or holder's request to one grantor."""

    duty: str
    holder: str
    epoch: int
    round: int  # the asker's own number for it, which the reply returns
    duration_ns: int = 0  # how long the promise has to last; the asker counts on no more than that


@dataclass(frozen=True, slots=True)
class Reply:
    duty: str
    epoch: int
    round: int
    granted: bool
    highest_epoch: int  # the highest epoch promised here: whoever asks next has to go above it
    retry_after_ns: int = 0  # when the promise that stands in the way ends at the latest


@dataclass(frozen=True, slots=True)
class Release:
    """The holder has stopped, and says so: no need to wait for the end of its time."""

    duty: str
    holder: str
    epoch: int


@dataclass(frozen=True, slots=True)
class Promise:
    epoch: int = 0
    holder: str = ""
    expires_at: int = 0
    duration_ns: int = 0


NO_PROMISE = Promise()


def answer_request(
    promise: Promise, now: int, request: AcquireRequest, config: LeaseConfig, no_grants_until: int = 0
) -> tuple[Promise, Reply]:
    """What becomes of the promise, and the reply; the promise must be kept safe before the reply leaves.

    ``silent_until``: after a start without memory, nothing is granted before all that may have been promised
    is over.
    """
    if now < no_grants_until:
        return promise, Reply(
            request.duty, request.epoch, request.round, False, promise.epoch, no_grants_until - now
        )
    active = now < promise.expires_at
    if request.duration_ns > config.max_duration_ns:
        return promise, Reply(request.duty, request.epoch, request.round, False, promise.epoch)
    if request.epoch == promise.epoch and request.holder == promise.holder:
        if not active:  # it let its time pass: others may have been promised elsewhere, so it asks anew
            return promise, Reply(request.duty, request.epoch, request.round, False, promise.epoch)
    elif (active and promise.holder != request.holder) or request.epoch <= promise.epoch:
        wait = promise.expires_at - now if active and promise.holder != request.holder else 0
        return promise, Reply(request.duty, request.epoch, request.round, False, promise.epoch, wait)
    expires_at = max(promise.expires_at if active else 0, now + request.duration_ns)
    made = Promise(request.epoch, request.holder, expires_at, request.duration_ns)
    return made, Reply(request.duty, request.epoch, request.round, True, request.epoch)


def apply_release(promise: Promise, now: int, release: Release) -> Promise:
    """A release ends exactly the promise that it names; the epoch stays, so that it is not used again."""
    if (release.epoch, release.holder) != (promise.epoch, promise.holder):
        return promise
    return Promise(promise.epoch, promise.holder, min(promise.expires_at, now), promise.duration_ns)


def restore_promise(promise: Promise, now: int) -> Promise:
    """A promise read back at a start: when it was made on this clock is not known, so it runs anew."""
    return Promise(promise.epoch, promise.holder, now + promise.duration_ns, promise.duration_ns)
