"""Group membership: SWIM with suspicion, refutation by incarnation and piggybacked gossip.  No I/O.

After Das, Gupta and Motivala ("SWIM", 2002) and Dadgar, Phillips and Currey ("Lifeguard", 2018): in each
period one member is probed, first directly and then through other members.  A member that does not answer is
suspected, and declared dead unless it refutes the suspicion in time.  Rumours about a member are totally
ordered by (incarnation, state) and the greatest wins, in whatever order and however often they arrive:
instances that have received the same rumours have the same view.

An instance that is slow itself waits longer before it suspects others, and one that was paused suspects
nobody for the messages it missed.  Network partitions heal because dead members are contacted from time to
time.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

MS, S = 1_000_000, 1_000_000_000
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
STATES = ("alive", "suspect", "dead", "left")
MAX_MEMBERS = 1024
MAX_HEALTH_SCORE = 8


@dataclass(frozen=True, slots=True)
class Rumour:
    """An update about a member's state, spread by gossip."""

    name: str
    address: str
    incarnation: int
    state: int

    @property
    def rank(self) -> tuple[int, int]:
        return self.incarnation, self.state


@dataclass(frozen=True, slots=True)
class Ping:
    """Direct probe of a member."""

    sequence: int
    sender: str
    sender_address: str
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a probe."""

    sequence: int
    sender: str
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks another member to probe the target and to return the answer under this sequence number."""

    sequence: int
    sender: str
    sender_address: str
    target: str
    target_address: str
    rumours: tuple[Rumour, ...] = ()


@dataclass(frozen=True, slots=True)
class Sync:
    """A part of the sender's membership list; ``reply_wanted`` asks for the receiver's list in return."""

    sender: str
    sender_address: str
    reply_wanted: bool
    rumours: tuple[Rumour, ...]


Message = Ping | Ack | PingRequest | Sync
Outgoing = list[tuple[str, Message]]  # address, message


@dataclass(frozen=True, slots=True)
class SwimSettings:
    """Protocol settings; times are measured on this instance's own clock."""

    period_ns: int = S
    ack_timeout_ns: int = 300 * MS  # for the direct probe; after it other members probe until the period ends
    indirect_probes: int = 3
    suspicion_multiplier: float = 4.0  # periods, times log10 of the group's size; confirmations shorten it
    retransmit_multiplier: float = 3.0  # transmissions of a rumour, times log10 of the group's size
    max_rumours: int = 8  # per message
    sync_interval_ns: int = 10 * S  # with one live member, and one of the dead members and seeds
    max_sync_rumours: int = 16  # per sync message
    forget_after_ns: int = 300 * S  # after which members that are dead or have left are forgotten


@dataclass(slots=True)
class Member:
    """A known member and the latest rumour about it."""

    rumour: Rumour
    state_since: int  # when this instance learned of the present state
    suspected_by: set[str] = field(default_factory=set)
    declare_dead_at: int = 0  # for a suspect: when it is declared dead

    @property
    def state(self) -> int:
        return self.rumour.state


@dataclass(slots=True)
class Probe:
    """The probe in progress."""

    target: str
    sequence: int
    started_at: int
    indirect_sent: bool = False
    acked: bool = False


@dataclass(frozen=True, slots=True)
class MemberChange:
    """A change of a member's state, for the instance."""

    name: str
    state: int
    incarnation: int


class Swim:
    """The membership list of one instance, and the protocol that keeps it up to date."""

    def __init__(self, name: str, address: str, seeds: Iterable[str], now: int, seed: int,
                 settings: SwimSettings = SwimSettings()) -> None:  # fmt: skip
        self.name, self.address, self.settings = name, address, settings
        self.seeds = [s for s in seeds if s != address]
        self.random = random.Random(seed)
        self.incarnation = 0
        self.members: dict[str, Member] = {}
        self.changes: list[MemberChange] = []
        self.health_score = 0  # 0: healthy; each step lengthens this instance's timeouts
        self.left = False
        self.suspicions = 0  # raised by this instance, for diagnostics
        self._transmit_counts: dict[str, int] = {}  # rumours to pass on, by member: times sent
        self._probe_order: list[str] = []
        self._probe: Probe | None = None
        # By own sequence number: address of the requester, its sequence number, expiry.
        self._relayed_probes: dict[int, tuple[str, int, int]] = {}
        self._sequence = 0
        self._last_tick = self._last_received_at = now
        self._next_probe_at = now + self.random.randrange(settings.period_ns)
        self._next_sync_at = now

    # --- Membership list --------------------------------------------------------------------------------

    def live_members(self) -> list[str]:
        """Return the live members including this instance; suspects still count as live."""
        others = [n for n, m in self.members.items() if m.state in (ALIVE, SUSPECT)]
        return sorted([*others, self.name]) if not self.left else sorted(others)

    def own_rumour(self) -> Rumour:
        return Rumour(self.name, self.address, self.incarnation, LEFT if self.left else ALIVE)

    def member_states(self, now: int) -> Iterator[tuple[str, str, str, int, int]]:
        """Yield name, address, state, incarnation and state age in ns of each member, for diagnostics."""
        yield self.name, self.address, "self", self.incarnation, 0
        for name, m in sorted(self.members.items()):
            yield name, m.rumour.address, STATES[m.state], m.rumour.incarnation, now - m.state_since

    def _live_count(self) -> int:
        return 1 + sum(1 for m in self.members.values() if m.state in (ALIVE, SUSPECT))

    def _log_group_size(self) -> float:
        return max(1.0, math.log10(self._live_count() + 1))

    # --- Rumours ----------------------------------------------------------------------------------------

    def _apply_rumour(self, now: int, rumour: Rumour, source: str) -> None:
        if rumour.name == self.name:
            self._refute(rumour)
            return
        known = self.members.get(rumour.name)
        if known is None:
            if len(self.members) >= MAX_MEMBERS or rumour.state in (DEAD, LEFT):
                return  # an unknown member that is already gone is not recorded
            self._accept(now, rumour, source)
            return
        if rumour.rank > known.rumour.rank:
            self._accept(now, rumour, source)
        elif (
            rumour.rank == known.rumour.rank and rumour.state == SUSPECT and source not in known.suspected_by
        ):
            self._confirm_suspicion(now, known, source)

    def _accept(self, now: int, rumour: Rumour, source: str) -> None:
        previous = self.members.get(rumour.name)
        member = self.members[rumour.name] = Member(rumour, now)
        if rumour.state == SUSPECT:
            member.suspected_by = {source}
            member.declare_dead_at = now + self._suspicion_ns(1)
        self._transmit_counts[rumour.name] = 0
        if (
            previous is None
            or previous.state != rumour.state
            or previous.rumour.incarnation < rumour.incarnation
        ):
            self.changes.append(MemberChange(rumour.name, rumour.state, rumour.incarnation))

    def _confirm_suspicion(self, now: int, member: Member, source: str) -> None:
        """Record another independent suspicion: each one shortens the time left for a refutation."""
        member.suspected_by.add(source)
        member.declare_dead_at = min(
            member.declare_dead_at,
            max(now, member.state_since + self._suspicion_ns(len(member.suspected_by))),
        )
        self._transmit_counts[member.rumour.name] = min(self._transmit_counts.get(member.rumour.name, 0), 1)

    def _suspicion_ns(self, confirmations: int) -> int:
        longest_ns = (
            self.settings.suspicion_multiplier
            * self._log_group_size()
            * self.settings.period_ns
            * (1 + self.health_score)
        )
        shortest_ns = longest_ns / 2
        fraction = min(1.0, math.log(confirmations) / math.log(4)) if confirmations > 1 else 0.0
        return int(longest_ns - (longest_ns - shortest_ns) * fraction)

    def _refute(self, rumour: Rumour) -> None:
        """Refute a false rumour about this instance by announcing a higher incarnation."""
        if self.left:
            return
        if rumour.rank > (self.incarnation, ALIVE) or rumour.address != self.address:
            self.incarnation = max(self.incarnation, rumour.incarnation) + 1
            self._transmit_counts[self.name] = 0
            if rumour.state == SUSPECT:
                self._worsen_health()

    def _worsen_health(self) -> None:
        self.health_score = min(MAX_HEALTH_SCORE, self.health_score + 1)

    def _select_rumours(self, receiver: str = "") -> tuple[Rumour, ...]:
        """Select the rumours sent least often so far; one about the receiver goes first."""
        max_transmits = math.ceil(self.settings.retransmit_multiplier * self._log_group_size())
        chosen = sorted(self._transmit_counts, key=lambda n: (n != receiver, self._transmit_counts[n], n))[
            : self.settings.max_rumours
        ]
        selected = []
        for name in chosen:
            selected.append(self.own_rumour() if name == self.name else self.members[name].rumour)
            self._transmit_counts[name] += 1
            if self._transmit_counts[name] >= max_transmits:
                del self._transmit_counts[name]
        target = self.members.get(receiver)
        if target is not None and target.state == SUSPECT and target.rumour not in selected:
            selected.append(target.rumour)  # so that the suspect can refute it
        return tuple(selected)

    # --- Time -------------------------------------------------------------------------------------------

    def tick(self, now: int) -> Outgoing:
        """Return the messages to send; has to be called several times per period."""
        if self.left:
            return []
        gap_ns = now - self._last_tick
        self._last_tick = now
        if gap_ns > self.settings.period_ns:
            self._handle_pause(gap_ns)
        outgoing: Outgoing = []
        self._expire(now)
        self._probe_indirectly(now, outgoing)
        if now >= self._next_probe_at:
            self._end_probe(now)
            self._begin_probe(now, outgoing)
        if now >= self._next_sync_at:
            self._next_sync_at = (
                now
                + self.settings.sync_interval_ns // 2
                + self.random.randrange(self.settings.sync_interval_ns)
            )
            self._start_sync(outgoing)
        return outgoing

    def _handle_pause(self, gap_ns: int) -> None:
        """Discard the probe and extend all suspicions by the length of this instance's pause.

        Missing answers from that time say nothing about other members.
        """
        self._worsen_health()
        self._probe = None
        for member in self.members.values():
            if member.state == SUSPECT:
                member.declare_dead_at += gap_ns

    def _expire(self, now: int) -> None:
        for name, member in list(self.members.items()):
            if member.state == SUSPECT and now >= member.declare_dead_at:
                self._accept(now, replace(member.rumour, state=DEAD), self.name)
            elif member.state in (DEAD, LEFT) and now - member.state_since > self.settings.forget_after_ns:
                del self.members[name]
                self._transmit_counts.pop(name, None)
        self._relayed_probes = {n: entry for n, entry in self._relayed_probes.items() if entry[2] > now}

    def _ack_timeout_ns(self) -> int:
        return min(
            self.settings.ack_timeout_ns * (1 + self.health_score),
            self.settings.period_ns * (1 + self.health_score) // 2,
        )

    def _probe_indirectly(self, now: int, outgoing: Outgoing) -> None:
        """Ask other members to probe the target if it did not answer the direct probe in time."""
        probe = self._probe
        if (
            probe is None
            or probe.acked
            or probe.indirect_sent
            or now - probe.started_at < self._ack_timeout_ns()
        ):
            return
        probe.indirect_sent = True
        target = self.members.get(probe.target)
        candidates = [n for n, m in self.members.items() if m.state == ALIVE and n != probe.target]
        for helper in self.random.sample(candidates, min(self.settings.indirect_probes, len(candidates))):
            if target is not None:
                message = PingRequest(probe.sequence, self.name, self.address, probe.target,
                                      target.rumour.address, self._select_rumours(helper))  # fmt: skip
                outgoing.append((self.members[helper].rumour.address, message))

    def _end_probe(self, now: int) -> None:
        probe, self._probe = self._probe, None
        if probe is None:
            return
        if probe.acked:
            self.health_score = max(0, self.health_score - 1)
            return
        if self._last_received_at < probe.started_at:
            self._worsen_health()  # no message from anyone since: the fault may be this instance's own
        member = self.members.get(probe.target)
        if member is None:
            return
        if member.state == ALIVE:
            self.suspicions += 1
            self._accept(now, replace(member.rumour, state=SUSPECT), self.name)
        elif member.state == SUSPECT and self.name not in member.suspected_by:
            self._confirm_suspicion(now, member, self.name)

    def _begin_probe(self, now: int, outgoing: Outgoing) -> None:
        self._next_probe_at = now + self.settings.period_ns * (1 + self.health_score)
        while self._probe_order:
            name = self._probe_order.pop()
            member = self.members.get(name)
            if member is not None and member.state in (ALIVE, SUSPECT):
                break
        else:
            self._probe_order = [n for n, m in self.members.items() if m.state in (ALIVE, SUSPECT)]
            self.random.shuffle(self._probe_order)
            if not self._probe_order:
                return
            name = self._probe_order.pop()
            member = self.members[name]
        self._sequence += 1
        self._probe = Probe(name, self._sequence, now)
        ping = Ping(self._sequence, self.name, self.address, self._select_rumours(name))
        outgoing.append((member.rumour.address, ping))

    def _start_sync(self, outgoing: Outgoing) -> None:
        """Exchange membership lists with one live member and one that is dead or not yet known.

        This heals network partitions and makes up for lost rumours.
        """
        addresses = {m.rumour.address for m in self.members.values() if m.state != LEFT} | set(self.seeds)
        live = {m.rumour.address for m in self.members.values() if m.state == ALIVE}
        gone = sorted(addresses - live)
        for address in self._pick_one(sorted(live)) + self._pick_one(gone):
            outgoing += [(address, message) for message in self._sync_messages(True)]

    def _pick_one(self, addresses: list[str]) -> list[str]:
        return [self.random.choice(addresses)] if addresses else []

    def _sync_messages(self, reply_wanted: bool) -> list[Sync]:
        rumours = [self.own_rumour(), *(m.rumour for m in self.members.values())]
        size = self.settings.max_sync_rumours
        parts = [tuple(rumours[start : start + size]) for start in range(0, len(rumours), size)]
        return [
            Sync(self.name, self.address, reply_wanted and index == 0, part)
            for index, part in enumerate(parts)
        ]

    # --- Messages ---------------------------------------------------------------------------------------

    def receive(self, now: int, message: Message) -> Outgoing:
        if self.left:
            return []
        self._last_received_at = now
        for rumour in message.rumours:
            self._apply_rumour(now, rumour, message.sender)
        if isinstance(message, Ping):
            self._record_sender(now, message.sender, message.sender_address)
            return [
                (
                    message.sender_address,
                    Ack(message.sequence, self.name, self._select_rumours(message.sender)),
                )
            ]
        if isinstance(message, PingRequest):
            self._sequence += 1
            expires_at = now + 2 * self.settings.period_ns
            if len(self._relayed_probes) < MAX_MEMBERS:
                self._relayed_probes[self._sequence] = (message.sender_address, message.sequence, expires_at)
            ping = Ping(self._sequence, self.name, self.address, self._select_rumours(message.target))
            return [(message.target_address, ping)]
        if isinstance(message, Ack):
            return self._handle_ack(message)
        self._record_sender(now, message.sender, message.sender_address)
        if message.reply_wanted:
            return [(message.sender_address, part) for part in self._sync_messages(False)]
        return []

    def _handle_ack(self, message: Ack) -> Outgoing:
        relayed = self._relayed_probes.pop(message.sequence, None)
        if relayed is not None:
            address, sequence, _ = relayed
            return [(address, Ack(sequence, message.sender, self._select_rumours()))]
        probe = self._probe
        if probe is not None and (probe.sequence, probe.target) == (message.sequence, message.sender):
            probe.acked = True
        return []

    def _record_sender(self, now: int, name: str, address: str) -> None:
        """Add an unknown sender as alive; queue the rumour about one listed as suspect or dead.

        The sender receives that rumour with the answer or a later message, so that it can refute it.
        """
        known = self.members.get(name)
        if known is None and name != self.name:
            self._apply_rumour(now, Rumour(name, address, 0, ALIVE), name)
        elif known is not None and known.state in (SUSPECT, DEAD):
            self._transmit_counts.setdefault(name, 0)

    # --- Leaving ----------------------------------------------------------------------------------------

    def leave(self) -> Outgoing:
        """Announce to all live members that this instance leaves, so that none has to detect it."""
        if self.left:
            return []
        self.left = True
        announcement = (self.own_rumour(),)
        return [
            (m.rumour.address, Sync(self.name, self.address, False, announcement))
            for m in self.members.values()
            if m.state in (ALIVE, SUSPECT)
        ]
