"""All leases of one instance: its promises as a grantor, its claims as a candidate.

Messages come in and go out as values.  What was promised is handed out with the replies that depend on it, so
that the edge keeps it safe first; ``None`` there means that nothing new has to be kept.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from arrowrail.leases import claim as c
from arrowrail.leases.claim import Claim
from arrowrail.leases.promise import NONE, Ask, Promise, Release, Reply, consider, let_go, restored
from arrowrail.leases.terms import Terms

MOST_DUTIES = 20_000  # promises that a grantor keeps
Message = Ask | Reply | Release


@dataclass(slots=True)
class Outbox:
    """What has to be kept safe, and what may leave once it is."""

    promises: dict[str, Promise] = field(default_factory=dict)
    messages: list[tuple[str, Message]] = field(default_factory=list)  # to, what

    def __bool__(self) -> bool:
        return bool(self.promises or self.messages)


class Office:
    def __init__(
        self, name: str, terms: Terms, now: int, seed: int, kept: Mapping[str, Promise] | None, floor: int = 0
    ) -> None:
        """``kept``: promises read back at the start; ``None``: no memory, so it sits a full promise out.

        ``floor``: an epoch that no earlier life of this group without memory can have reached.
        """
        self.name, self.terms, self.floor = name, terms, floor
        self.random = random.Random(seed)
        self.promises: dict[str, Promise] = {}
        self.silent_until = 0
        if kept is None:
            self.silent_until = now + terms.length_ns
        else:
            self.promises = {duty: restored(p, now) for duty, p in kept.items()}
        self.claims: dict[str, Claim] = {}
        self.wanted: set[str] = set()
        self.dropped = 0  # asks for more duties than are kept

    # --- What the instance wants ------------------------------------------------------------------------

    def want(self, duties: Iterable[str], now: int) -> Outbox:
        """The duties that this instance is to run from now on; others are given back."""
        out = Outbox()
        self.wanted = set(duties)
        for duty in sorted(self.claims.keys() - self.wanted):
            claim, release = c.give_back(self.claims[duty], now)
            if release is not None:
                self._to_voters(out, release, now)
                self.claims[duty] = claim
            else:
                del self.claims[duty]
        for duty in sorted(self.wanted - self.claims.keys()):
            # Not all at once, nor in step with the others that lost the same instance.
            pause = self.random.randrange(self.terms.answer_ns)
            self.claims[duty] = Claim(duty, self.name, not_before=now + pause)
        return out

    def holds(self, duty: str, now: int) -> int:
        """The epoch under which a duty may be run at this moment; 0: it may not."""
        claim = self.claims.get(duty)
        return claim.epoch if claim is not None and c.holds(claim, now) else 0

    def held(self, now: int) -> Iterator[Claim]:
        return (claim for claim in self.claims.values() if c.holds(claim, now))

    # --- Time and messages ------------------------------------------------------------------------------

    def tick(self, now: int) -> Outbox:
        out = Outbox()
        # Renewals fall together, so that they travel together: whoever is half way to its own goes along.
        early = self.terms.holder_ns - self.terms.renew_ns // 2
        any_due = any(c.wants_renewal(claim, now, self.terms) for claim in self.claims.values())
        for duty, claim in list(self.claims.items()):
            pause = self.terms.answer_ns // 2 + self.random.randrange(2 * self.terms.answer_ns)
            before, claim = claim, c.passed(claim, now, self.terms, pause)
            if before.phase == c.ASKING and claim.phase == c.IDLE:
                # Guards against two candidates that each got some votes keeping one another out for as long
                # as those promises last.
                self._to_voters(out, Release(duty, self.name, before.epoch), now)
            if claim.phase == c.IDLE and duty not in self.wanted:
                del self.claims[duty]
                continue
            if claim.phase == c.IDLE and now >= claim.not_before:
                claim, ask = c.begin(claim, now, self.terms, self.floor)
                self.claims[duty] = claim
                self._to_voters(out, ask, now)
            elif c.wants_renewal(claim, now, self.terms) or (
                any_due and c.holds(claim, now) and not claim.asked_at and claim.until - now <= early
            ):
                claim, ask = c.renew(claim, now, self.terms)
                self.claims[duty] = claim
                self._to_voters(out, ask, now)
            else:
                self.claims[duty] = claim
        return out

    def receive(self, now: int, sender: str, message: Message) -> Outbox:
        out = Outbox()
        if isinstance(message, Ask):
            if message.holder == sender:
                self._asked(now, sender, message, out)
        elif isinstance(message, Release):
            if message.holder == sender and message.duty in self.promises:
                before = self.promises[message.duty]
                self.promises[message.duty] = let_go(before, now, message)
        else:
            claim = self.claims.get(message.duty)
            if claim is not None and sender in self.terms.all_voters():
                self.claims[message.duty] = c.heard(claim, sender, message, now, self.terms)
        return out

    def _asked(self, now: int, sender: str, ask: Ask, out: Outbox) -> None:
        if self.name not in self.terms.all_voters():
            return
        before = self.promises.get(ask.duty, NONE)
        if before is NONE and len(self.promises) >= MOST_DUTIES:
            self.dropped += 1
            return
        after, reply = consider(before, now, ask, self.terms, self.silent_until)
        if after is not before:
            self.promises[ask.duty] = after
            if (after.epoch, after.holder) != (before.epoch, before.holder):
                out.promises[ask.duty] = after  # a longer time alone is not kept: a restart runs it anew
        out.messages.append((sender, reply))

    def _to_voters(self, out: Outbox, message: Ask | Release, now: int) -> None:
        for voter in sorted(self.terms.all_voters()):
            if voter != self.name:
                out.messages.append((voter, message))
                continue
            own = self.receive(now, self.name, message)
            out.promises |= own.promises
            for _, reply in own.messages:
                # The own vote counts as soon as it is given: the edge keeps it before anything leaves.
                self.receive(now, self.name, reply)

    # --- The group changes ------------------------------------------------------------------------------

    def use(self, terms: Terms) -> None:
        """Other terms from now on; what is held under the old ones runs out under them.

        A round carries the length that it asks for, so that askers and grantors need not change at once.
        """
        self.terms = terms
