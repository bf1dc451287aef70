"""All leases of one instance: its promises as a voter and its claims as a candidate or holder.

Messages are passed in and returned as values.  New promises are returned together with the replies that
depend on them; the caller has to store the promises before it sends the messages.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from arrowrail.leases import claim as claim_ops
from arrowrail.leases.claim import Claim
from arrowrail.leases.config import LeaseConfig
from arrowrail.leases.promise import (
    NO_PROMISE,
    AcquireRequest,
    Promise,
    Release,
    Reply,
    answer_request,
    apply_release,
    restore_promise,
)

MAX_PROMISES = 20_000  # promises that a voter keeps
Message = AcquireRequest | Reply | Release


@dataclass(slots=True)
class Outbox:
    """Promises to store, and messages that may be sent once the promises are stored."""

    promises: dict[str, Promise] = field(default_factory=dict)
    messages: list[tuple[str, Message]] = field(default_factory=list)  # receiver, message

    def __bool__(self) -> bool:
        return bool(self.promises or self.messages)


class LeaseManager:
    """Grants leases to other instances and holds leases for the wanted duties."""

    def __init__(
        self,
        name: str,
        config: LeaseConfig,
        now: int,
        seed: int,
        stored: Mapping[str, Promise] | None,
        min_epoch: int = 0,
    ) -> None:
        """Start with the promises read back from storage.

        ``stored`` is ``None`` if there are none: then nothing is granted for one full promise duration.
        ``min_epoch`` is an epoch that no earlier run of the group without stored promises can have reached.
        """
        self.name, self.config, self.min_epoch = name, config, min_epoch
        self.random = random.Random(seed)
        self.promises: dict[str, Promise] = {}
        self.no_grants_until = 0
        if stored is None:
            self.no_grants_until = now + config.duration_ns
        else:
            self.promises = {duty: restore_promise(promise, now) for duty, promise in stored.items()}
        self.claims: dict[str, Claim] = {}
        self.wanted: set[str] = set()
        self.dropped_requests = 0  # requests dropped because of MAX_PROMISES

    # --- Wanted duties ----------------------------------------------------------------------------------

    def set_wanted(self, duties: Iterable[str], now: int) -> Outbox:
        """Set the duties that this instance is to hold from now on; leases of others are released."""
        outbox = Outbox()
        self.wanted = set(duties)
        for duty in sorted(self.claims.keys() - self.wanted):
            claim, release = claim_ops.release_claim(self.claims[duty], now)
            if release is not None:
                self._send_to_voters(outbox, release, now)
                self.claims[duty] = claim
            else:
                del self.claims[duty]
        for duty in sorted(self.wanted - self.claims.keys()):
            # A random delay, so that instances do not all request the leases of a failed instance at once.
            delay_ns = self.random.randrange(self.config.reply_timeout_ns)
            self.claims[duty] = Claim(duty, self.name, not_before=now + delay_ns)
        return outbox

    def held_epoch(self, duty: str, now: int) -> int:
        """Return the epoch under which the duty may run now; 0 if the lease is not held."""
        claim = self.claims.get(duty)
        return claim.epoch if claim is not None and claim_ops.is_held(claim, now) else 0

    def held_claims(self, now: int) -> Iterator[Claim]:
        return (claim for claim in self.claims.values() if claim_ops.is_held(claim, now))

    # --- Time and messages ------------------------------------------------------------------------------

    def tick(self, now: int) -> Outbox:
        """End expired leases and failed rounds; start the rounds and renewals that are due."""
        outbox = Outbox()
        # Renewals are grouped to share datagrams: with one due, those half way to their renewal go along.
        early_ns = self.config.holder_duration_ns - self.config.renew_after_ns // 2
        any_due = any(claim_ops.needs_renewal(claim, now, self.config) for claim in self.claims.values())
        for duty, claim in list(self.claims.items()):
            backoff_ns = self.config.reply_timeout_ns // 2 + self.random.randrange(
                2 * self.config.reply_timeout_ns
            )
            before, claim = claim, claim_ops.advance_time(claim, now, self.config, backoff_ns)
            if before.phase == claim_ops.ASKING and claim.phase == claim_ops.IDLE:
                # Releases the votes of a failed round: otherwise two candidates with some votes each would
                # block one another until those promises expire.
                self._send_to_voters(outbox, Release(duty, self.name, before.epoch), now)
            if claim.phase == claim_ops.IDLE and duty not in self.wanted:
                del self.claims[duty]
                continue
            if claim.phase == claim_ops.IDLE and now >= claim.not_before:
                claim, request = claim_ops.start_acquire(claim, now, self.config, self.min_epoch)
                self.claims[duty] = claim
                self._send_to_voters(outbox, request, now)
            elif claim_ops.needs_renewal(claim, now, self.config) or (
                any_due
                and claim_ops.is_held(claim, now)
                and not claim.requested_at
                and claim.expires_at - now <= early_ns
            ):
                claim, request = claim_ops.start_renewal(claim, now, self.config)
                self.claims[duty] = claim
                self._send_to_voters(outbox, request, now)
            else:
                self.claims[duty] = claim
        return outbox

    def receive(self, now: int, sender: str, message: Message) -> Outbox:
        """Process a message; requests and releases in the name of another than the sender are ignored."""
        outbox = Outbox()
        if isinstance(message, AcquireRequest):
            if message.holder == sender:
                self._handle_request(now, sender, message, outbox)
        elif isinstance(message, Release):
            if message.holder == sender and message.duty in self.promises:
                before = self.promises[message.duty]
                self.promises[message.duty] = apply_release(before, now, message)
        else:
            claim = self.claims.get(message.duty)
            if claim is not None and sender in self.config.all_voters():
                self.claims[message.duty] = claim_ops.apply_reply(claim, sender, message, now, self.config)
        return outbox

    def _handle_request(self, now: int, sender: str, request: AcquireRequest, outbox: Outbox) -> None:
        if self.name not in self.config.all_voters():
            return
        before = self.promises.get(request.duty, NO_PROMISE)
        if before is NO_PROMISE and len(self.promises) >= MAX_PROMISES:
            self.dropped_requests += 1
            return
        after, reply = answer_request(before, now, request, self.config, self.no_grants_until)
        if after is not before:
            self.promises[request.duty] = after
            if (after.epoch, after.holder) != (before.epoch, before.holder):
                # A later expiry alone is not stored: a restart restores promises with their full duration.
                outbox.promises[request.duty] = after
        outbox.messages.append((sender, reply))

    def _send_to_voters(self, outbox: Outbox, message: AcquireRequest | Release, now: int) -> None:
        for voter in sorted(self.config.all_voters()):
            if voter != self.name:
                outbox.messages.append((voter, message))
                continue
            own_outbox = self.receive(now, self.name, message)
            outbox.promises |= own_outbox.promises
            for _, reply in own_outbox.messages:
                # The instance's own vote counts at once: the caller stores it before it sends anything.
                self.receive(now, self.name, reply)

    # --- Membership changes -----------------------------------------------------------------------------

    def update_config(self, config: LeaseConfig) -> None:
        """Use another configuration from now on; leases held under the old one expire under it.

        A request carries the duration it asks for, so requesters and voters need not change at the same time.
        """
        self.config = config
