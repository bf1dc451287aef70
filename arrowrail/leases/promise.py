"""The grantor's side: one promise for each duty, to one holder, under an epoch that only grows."""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.leases.terms import Terms


@dataclass(frozen=True, slots=True)
class Ask:
    """A candidate's or holder's request to one grantor."""

    duty: str
    holder: str
    epoch: int
    round: int  # the asker's own number for it, which the reply returns
    length_ns: int = 0  # how long the promise has to last; the asker counts on no more than that


@dataclass(frozen=True, slots=True)
class Reply:
    duty: str
    epoch: int
    round: int
    granted: bool
    seen: int  # the highest epoch promised here: whoever asks next has to go above it
    free_in_ns: int = 0  # when the promise that stands in the way ends at the latest


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
    until: int = 0
    length_ns: int = 0


NONE = Promise()


def consider(
    promise: Promise, now: int, ask: Ask, terms: Terms, silent_until: int = 0
) -> tuple[Promise, Reply]:
    """What becomes of the promise, and the reply; the promise must be kept safe before the reply leaves.

    ``silent_until``: after a start without memory, nothing is granted before all that may have been promised
    is over.
    """
    if now < silent_until:
        return promise, Reply(ask.duty, ask.epoch, ask.round, False, promise.epoch, silent_until - now)
    stands = now < promise.until
    if ask.length_ns > terms.most_ns:
        return promise, Reply(ask.duty, ask.epoch, ask.round, False, promise.epoch)
    if ask.epoch == promise.epoch and ask.holder == promise.holder:
        if not stands:  # it let its time pass: others may have been promised elsewhere, so it asks anew
            return promise, Reply(ask.duty, ask.epoch, ask.round, False, promise.epoch)
    elif (stands and promise.holder != ask.holder) or ask.epoch <= promise.epoch:
        wait = promise.until - now if stands and promise.holder != ask.holder else 0
        return promise, Reply(ask.duty, ask.epoch, ask.round, False, promise.epoch, wait)
    until = max(promise.until if stands else 0, now + ask.length_ns)
    made = Promise(ask.epoch, ask.holder, until, ask.length_ns)
    return made, Reply(ask.duty, ask.epoch, ask.round, True, ask.epoch)


def let_go(promise: Promise, now: int, release: Release) -> Promise:
    """A release ends exactly the promise that it names; the epoch stays, so that it is not used again."""
    if (release.epoch, release.holder) != (promise.epoch, promise.holder):
        return promise
    return Promise(promise.epoch, promise.holder, min(promise.until, now), promise.length_ns)


def restored(promise: Promise, now: int) -> Promise:
    """A promise read back at a start: when it was made on this clock is not known, so it runs anew."""
    return Promise(promise.epoch, promise.holder, now + promise.length_ns, promise.length_ns)
