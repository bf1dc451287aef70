"""Who is in the group: SWIM with suspicion, refutation by incarnation and piggy-backed gossip.  No I/O.

After Das, Gupta and Motivala ("SWIM", 2002) and Dadgar, Phillips and Currey ("Lifeguard", 2018): each period
one member is probed, directly and then through others; who does not answer is suspected, and dead unless it
refutes in time.  What is known of a member is a point in one order, (incarnation, state): the greater one
wins, whoever tells it, however late and however often.  So all who hear the same come to the same view.

An instance that is slow itself waits longer before it judges others, and one that stood still judges nobody
by what it missed.  Splits heal because the dead are asked now and then.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

MS, S = 1_000_000, 1_000_000_000
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATES = ("alive", "suspect", "dead", "left")
MOST_MEMBERS = 1024
MOST_HEALTH = 8


@dataclass(frozen=True, slots=True)
class Rumour:
    """What somebody says of a member."""

    name: str
    address: str
    incarnation: int
    state: int

    @property
    def rank(self) -> tuple[int, int]:
        return self.incarnation, self.state


@dataclass(frozen=True, slots=True)
class Ping:
    number: int
    sender: str
    sender_address: str
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    number: int
    sender: str
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class PingFor:
    """Ask another to probe a member; it passes the answer on under the number."""

    number: int
    sender: str
    sender_address: str
    target: str
    target_address: str
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class Sync:
    """A part of all that is known; ``answer``: the same is wanted back."""

    sender: str
    sender_address: str
    answer: bool
    rumours: tuple[Rumour, ...]


Message = Ping | Ack | PingFor | Sync
Sends = list[tuple[str, Message]]  # address, message


@dataclass(frozen=True, slots=True)
class Settings:
    """Times of this instance's own clock."""

    period_ns: int = S
    answer_ns: int = 300 * MS  # for the direct probe; then others are asked until the period ends
    helpers: int = 3
    suspicion: float = 4.0  # periods, times log10 of the group's size; shorter with confirmations
    gossip: float = 3.0  # how often a rumour is passed on, times log10 of the group's size
    rumours: int = 8  # in one message
    sync_ns: int = 10 * S  # with one member, the dead and the seeds included
    sync_rumours: int = 16  # in one message of a sync
    forget_ns: int = 300 * S  # when the dead and those who left are forgotten


@dataclass(slots=True)
class Member:
    rumour: Rumour
    since: int  # when its state was heard of
    suspected_by: set[str] = field(default_factory=set)
    dead_at: int = 0  # of a suspect: when it counts as dead

    @property
    def state(self) -> int:
        return self.rumour.state


@dataclass(slots=True)
class Probe:
    target: str
    number: int
    began: int
    helped: bool = False
    answered: bool = False


@dataclass(frozen=True, slots=True)
class Change:
    """News for the instance: a member's state as it counts from now on."""

    name: str
    state: int
    incarnation: int


class Swim:
    def __init__(self, name: str, address: str, seeds: Iterable[str], now: int, seed: int,
                 settings: Settings = Settings()) -> None:  # fmt: skip
        self.name, self.address, self.settings = name, address, settings
        self.seeds = [s for s in seeds if s != address]
        self.random = random.Random(seed)
        self.incarnation = 0
        self.members: dict[str, Member] = {}
        self.changes: list[Change] = []
        self.health = 0  # 0: well; each step makes this instance more patient
        self.left = False
        self.suspicions = 0  # made here, for operators
        self._queue: dict[str, int] = {}  # rumours to pass on, by name: how often they were
        self._order: list[str] = []
        self._probe: Probe | None = None
        self._helping: dict[int, tuple[str, int, int]] = {}  # own number: whom to tell, their number, until
        self._number = 0
        self._last_tick = self._heard_at = now
        self._next_probe = now + self.random.randrange(settings.period_ns)
        self._next_sync = now

    # --- What is known ----------------------------------------------------------------------------------

    def alive(self) -> list[str]:
        """Those who count as there, this instance among them: suspects still do."""
        others = [n for n, m in self.members.items() if m.state in (ALIVE, SUSPECT)]
        return sorted([*others, self.name]) if not self.left else sorted(others)

    def own(self) -> Rumour:
        return Rumour(self.name, self.address, self.incarnation, LEFT if self.left else ALIVE)

    def states(self, now: int) -> Iterator[tuple[str, str, str, int, int]]:
        """For operators: name, address, state, incarnation, and for how long (ns)."""
        yield self.name, self.address, "self", self.incarnation, 0
        for name, m in sorted(self.members.items()):
            yield name, m.rumour.address, STATES[m.state], m.rumour.incarnation, now - m.since

    def _size(self) -> int:
        return 1 + sum(1 for m in self.members.values() if m.state in (ALIVE, SUSPECT))

    def _log(self) -> float:
        return max(1.0, math.log10(self._size() + 1))

    # --- Rumours ----------------------------------------------------------------------------------------

    def _hear(self, now: int, rumour: Rumour, by: str) -> None:
        if rumour.name == self.name:
            self._about_me(rumour)
            return
        known = self.members.get(rumour.name)
        if known is None:
            if len(self.members) >= MOST_MEMBERS or rumour.state in (DEAD, LEFT):
                return  # never heard of, and gone: nothing to know
            self._take(now, rumour, by)
            return
        if rumour.rank > known.rumour.rank:
            self._take(now, rumour, by)
        elif rumour.rank == known.rumour.rank and rumour.state == SUSPECT and by not in known.suspected_by:
            self._confirm(now, known, by)

    def _take(self, now: int, rumour: Rumour, by: str) -> None:
        before = self.members.get(rumour.name)
        member = self.members[rumour.name] = Member(rumour, now)
        if rumour.state == SUSPECT:
            member.suspected_by = {by}
            member.dead_at = now + self._suspicion_ns(1)
        self._queue[rumour.name] = 0
        if before is None or before.state != rumour.state or before.rumour.incarnation < rumour.incarnation:
            self.changes.append(Change(rumour.name, rumour.state, rumour.incarnation))

    def _confirm(self, now: int, member: Member, by: str) -> None:
        """Another who suspects it by itself: the more there are, the less time is left to refute."""
        member.suspected_by.add(by)
        member.dead_at = min(
            member.dead_at, max(now, member.since + self._suspicion_ns(len(member.suspected_by)))
        )
        self._queue[member.rumour.name] = min(self._queue.get(member.rumour.name, 0), 1)

    def _suspicion_ns(self, by: int) -> int:
        longest = self.settings.suspicion * self._log() * self.settings.period_ns * (1 + self.health)
        shortest = longest / 2
        share = min(1.0, math.log(by) / math.log(4)) if by > 1 else 0.0
        return int(longest - (longest - shortest) * share)

    def _about_me(self, rumour: Rumour) -> None:
        """Refute what is not so: this instance is there, under a higher incarnation."""
        if self.left:
            return
        if rumour.rank > (self.incarnation, ALIVE) or rumour.address != self.address:
            self.incarnation = max(self.incarnation, rumour.incarnation) + 1
            self._queue[self.name] = 0
            if rumour.state == SUSPECT:
                self._unwell()

    def _unwell(self) -> None:
        self.health = min(MOST_HEALTH, self.health + 1)

    def _gossip(self, to: str = "") -> tuple[Rumour, ...]:
        """The rumours that were passed on least; one that concerns the receiver goes first."""
        most = math.ceil(self.settings.gossip * self._log())
        chosen = sorted(self._queue, key=lambda n: (n != to, self._queue[n], n))[: self.settings.rumours]
        found = []
        for name in chosen:
            found.append(self.own() if name == self.name else self.members[name].rumour)
            self._queue[name] += 1
            if self._queue[name] >= most:
                del self._queue[name]
        target = self.members.get(to)
        if target is not None and target.state == SUSPECT and target.rumour not in found:
            found.append(target.rumour)  # so that it can refute
        return tuple(found)

    # --- Time -------------------------------------------------------------------------------------------

    def tick(self, now: int) -> Sends:
        """To be called some times a period; what has to be sent is returned."""
        if self.left:
            return []
        gap = now - self._last_tick
        self._last_tick = now
        if gap > self.settings.period_ns:
            self._stood_still(gap)
        out: Sends = []
        self._expire(now)
        self._go_on(now, out)
        if now >= self._next_probe:
            self._end_probe(now)
            self._begin_probe(now, out)
        if now >= self._next_sync:
            self._next_sync = now + self.settings.sync_ns // 2 + self.random.randrange(self.settings.sync_ns)
            self._sync(out)
        return out

    def _stood_still(self, gap: int) -> None:
        """This instance did nothing for a while: what it missed says nothing of others."""
        self._unwell()
        self._probe = None
        for member in self.members.values():
            if member.state == SUSPECT:
                member.dead_at += gap

    def _expire(self, now: int) -> None:
        for name, member in list(self.members.items()):
            if member.state == SUSPECT and now >= member.dead_at:
                self._take(now, replace(member.rumour, state=DEAD), self.name)
            elif member.state in (DEAD, LEFT) and now - member.since > self.settings.forget_ns:
                del self.members[name]
                self._queue.pop(name, None)
        self._helping = {n: h for n, h in self._helping.items() if h[2] > now}

    def _answer_ns(self) -> int:
        return min(
            self.settings.answer_ns * (1 + self.health), self.settings.period_ns * (1 + self.health) // 2
        )

    def _go_on(self, now: int, out: Sends) -> None:
        """The direct probe has gone unanswered: others are asked."""
        probe = self._probe
        if probe is None or probe.answered or probe.helped or now - probe.began < self._answer_ns():
            return
        probe.helped = True
        target = self.members.get(probe.target)
        others = [n for n, m in self.members.items() if m.state == ALIVE and n != probe.target]
        for helper in self.random.sample(others, min(self.settings.helpers, len(others))):
            if target is not None:
                message = PingFor(probe.number, self.name, self.address, probe.target,
                                  target.rumour.address, self._gossip(helper))  # fmt: skip
                out.append((self.members[helper].rumour.address, message))

    def _end_probe(self, now: int) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if probe.answered:
            self.health = max(0, self.health - 1)
            return
        if self._heard_at < probe.began:
            self._unwell()  # nobody was heard meanwhile: the fault may be this instance's own
        member = self.members.get(probe.target)
        if member is None:
            return
        if member.state == ALIVE:
            self.suspicions += 1
            self._take(now, replace(member.rumour, state=SUSPECT), self.name)
        elif member.state == SUSPECT and self.name not in member.suspected_by:
            self._confirm(now, member, self.name)

    def _begin_probe(self, now: int, out: Sends) -> None:
        self._next_probe = now + self.settings.period_ns * (1 + self.health)
        while self._order:
            name = self._order.pop()
            member = self.members.get(name)
            if member is not None and member.state in (ALIVE, SUSPECT):
                break
        else:
            self._order = [n for n, m in self.members.items() if m.state in (ALIVE, SUSPECT)]
            self.random.shuffle(self._order)
            if not self._order:
                return
            name = self._order.pop()
            member = self.members[name]
        self._number += 1
        self._probe = Probe(name, self._number, now)
        ping = Ping(self._number, self.name, self.address, self._gossip(name))
        out.append((member.rumour.address, ping))

    def _sync(self, out: Sends) -> None:
        """With one of all that were ever heard of: so a split heals, and news that was lost comes round."""
        addresses = {m.rumour.address for m in self.members.values() if m.state != LEFT} | set(self.seeds)
        alive = {m.rumour.address for m in self.members.values() if m.state == ALIVE}
        gone = sorted(addresses - alive)
        for address in self._some(sorted(alive)) + self._some(gone):
            out += [(address, message) for message in self._all(True)]

    def _some(self, addresses: list[str]) -> list[str]:
        return [self.random.choice(addresses)] if addresses else []

    def _all(self, answer: bool) -> list[Sync]:
        rumours = [self.own(), *(m.rumour for m in self.members.values())]
        size = self.settings.sync_rumours
        parts = [tuple(rumours[at : at + size]) for at in range(0, len(rumours), size)]
        return [Sync(self.name, self.address, answer and at == 0, part) for at, part in enumerate(parts)]

    # --- Messages ---------------------------------------------------------------------------------------

    def receive(self, now: int, message: Message) -> Sends:
        if self.left:
            return []
        self._heard_at = now
        for rumour in message.rumours:
            self._hear(now, rumour, message.sender)
        if isinstance(message, Ping):
            self._met(now, message.sender, message.sender_address)
            return [(message.sender_address, Ack(message.number, self.name, self._gossip(message.sender)))]
        if isinstance(message, PingFor):
            self._number += 1
            until = now + 2 * self.settings.period_ns
            if len(self._helping) < MOST_MEMBERS:
                self._helping[self._number] = (message.sender_address, message.number, until)
            ping = Ping(self._number, self.name, self.address, self._gossip(message.target))
            return [(message.target_address, ping)]
        if isinstance(message, Ack):
            return self._acked(message)
        self._met(now, message.sender, message.sender_address)
        if message.answer:
            return [(message.sender_address, part) for part in self._all(False)]
        return []

    def _acked(self, message: Ack) -> Sends:
        helped = self._helping.pop(message.number, None)
        if helped is not None:
            address, number, _ = helped
            return [(address, Ack(number, message.sender, self._gossip()))]
        probe = self._probe
        if probe is not None and (probe.number, probe.target) == (message.number, message.sender):
            probe.answered = True
        return []

    def _met(self, now: int, name: str, address: str) -> None:
        """Who speaks is there; one that counts as gone learns of it from the answer, and refutes."""
        known = self.members.get(name)
        if known is None and name != self.name:
            self._hear(now, Rumour(name, address, 0, ALIVE), name)
        elif known is not None and known.state in (SUSPECT, DEAD):
            self._queue.setdefault(name, 0)

    # --- The end ----------------------------------------------------------------------------------------

    def leave(self) -> Sends:
        """Say goodbye to all that are there: nobody has to find out by silence."""
        if self.left:
            return []
        self.left = True
        goodbye = (self.own(),)
        return [
            (m.rumour.address, Sync(self.name, self.address, False, goodbye))
            for m in self.members.values()
            if m.state in (ALIVE, SUSPECT)
        ]
