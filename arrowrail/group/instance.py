"""Decisions of one instance: members, lease holders, placement of duties, runs that are due.  No I/O.

Messages are passed in as values with their sender's name; promises to store and messages to send are
returned.  The caller has to store the promises before it sends the messages of the same ``Effects``.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from arrowrail.duties.assign import assign, duties_of, shard_of
from arrowrail.duties.probe_results import ProbeResult, ProbeResults
from arrowrail.duties.run_schedule import RunSchedule
from arrowrail.group.config import GroupConfig
from arrowrail.leases.batch import Batch, pack_batches
from arrowrail.leases.manager import LeaseManager, Outbox
from arrowrail.leases.promise import AcquireRequest, Promise, Release, Reply
from arrowrail.membership.swim import Ack, Ping, PingRequest, Swim, SwimSettings, Sync

DEFAULT_SWIM_SETTINGS = SwimSettings()
RESULT_FANOUT = 16  # members that a probe result is sent to; in a larger group that many are drawn at random
LeaseMessage = AcquireRequest | Reply | Release
Message = Ping | Ack | PingRequest | Sync | LeaseMessage | Batch | ProbeResult


@dataclass(frozen=True, slots=True)
class DutyRun:
    """A run of a duty that may begin now, under the epoch of its lease."""

    duty: str
    epoch: int
    number: int


@dataclass(slots=True)
class Effects:
    """What the caller has to do: store promises, send messages, start runs."""

    promises: dict[str, Promise] = field(default_factory=dict)
    messages: list[tuple[str, str, Message]] = field(default_factory=list)  # address, name or "", message
    runs: list[DutyRun] = field(default_factory=list)


class Instance:
    """Combines membership, leases and run schedules of one instance."""

    def __init__(
        self,
        config: GroupConfig,
        now: int,
        seed: int,
        stored: Mapping[str, Promise] | None,
        min_epoch: int = 0,
        swim_settings: SwimSettings = DEFAULT_SWIM_SETTINGS,
    ) -> None:
        self.config = config
        self.random = random.Random(seed)
        seeds = (*config.seeds, *config.members.values(), *config.joining.values())
        self.swim = Swim(config.name, config.listen, dict.fromkeys(seeds), now, seed, swim_settings)
        self.lease_manager = LeaseManager(
            config.name, config.lease_config(), now, seed + 1, stored, min_epoch
        )
        self.probe_results = ProbeResults(3 * max(config.probe_period_ns, 1))
        self.duties: tuple[str, ...] = ()
        self.schedules: dict[str, RunSchedule] = {}
        self.shards: dict[str, str] = {}  # by duty: the lease under which it runs
        self.placements: dict[str, str] = {}  # by shard: the member that should hold it
        self._members: tuple[str, ...] = ()
        self._needs_assignment = True

    def update_config(self, config: GroupConfig) -> None:
        """Use a new configuration after a reload; leases already held expire under the old one."""
        self.config = config
        self.lease_manager.update_config(config.lease_config())
        self.swim.seeds = [s for s in (*config.seeds, *config.members.values(), *config.joining.values())
                           if s != config.listen]  # fmt: skip
        self._needs_assignment = True

    def set_duties(self, duties: Iterable[str]) -> None:
        self.duties = tuple(sorted(duties))
        self._needs_assignment = True

    def held_epoch(self, duty: str, now: int) -> int:
        """Return the epoch under which the duty may run now; 0 if its lease is not held."""
        return self.lease_manager.held_epoch(self.shards.get(duty, ""), now)

    # --- Time and messages ------------------------------------------------------------------------------

    def tick(self, now: int) -> Effects:
        """Advance membership, leases and schedules; return what has to be stored, sent and run."""
        effects = Effects()
        effects.messages += [(address, "", message) for address, message in self.swim.tick(now)]
        self._assign(now, effects)
        self._add_lease_messages(self.lease_manager.tick(now), effects)
        for duty, schedule in self.schedules.items():
            epoch = self.held_epoch(duty, now)
            if not epoch:
                schedule.clear_epoch()
                continue
            schedule.set_epoch(now, epoch)
            number = schedule.start_next_run(now)
            if number:
                effects.runs.append(DutyRun(duty, epoch, number))
        return effects

    def receive(self, now: int, sender: str, message: Message) -> Effects:
        """Process a message; one in the name of another member than its sender is ignored."""
        effects = Effects()
        if isinstance(message, ProbeResult):
            if message.holder == sender:
                self.probe_results.record(now, message)
        elif isinstance(message, AcquireRequest | Reply | Release):
            self._add_lease_messages(self.lease_manager.receive(now, sender, message), effects)
        elif isinstance(message, Batch):
            combined = Outbox()
            for item in message.messages:
                outbox = self.lease_manager.receive(now, sender, item)
                combined.promises |= outbox.promises
                combined.messages += outbox.messages
            self._add_lease_messages(combined, effects)
        elif message.sender == sender:
            effects.messages += [(address, "", answer) for address, answer in self.swim.receive(now, message)]
        return effects

    def _assign(self, now: int, effects: Effects) -> None:
        members = tuple(self.swim.live_members())
        self.swim.changes.clear()
        if members == self._members and not self._needs_assignment:
            return
        self._members, self._needs_assignment = members, False
        self.shards = {duty: shard_of(duty) for duty in self.duties}
        self.placements = assign(self.shards.values(), members)
        own_shards = set(duties_of(self.config.name, self.placements))
        self._add_lease_messages(self.lease_manager.set_wanted(own_shards, now), effects)
        period_ns = self.config.probe_period_ns
        own_duties = (d for d in self.duties if self.shards[d] in own_shards)
        self.schedules = {d: self.schedules.get(d) or RunSchedule(d, period_ns) for d in own_duties}
        for schedule in self.schedules.values():
            schedule.period_ns = period_ns

    def _add_lease_messages(self, outbox: object, effects: Effects) -> None:
        effects.promises |= outbox.promises  # type: ignore[attr-defined]
        for name, message in pack_batches(outbox.messages):  # type: ignore[attr-defined]
            address = self.address_of(name)
            if address:
                effects.messages.append((address, name, message))

    def address_of(self, name: str) -> str:
        known = self.config.members.get(name) or self.config.joining.get(name)
        if known:
            return known
        member = self.swim.members.get(name)
        return member.rumour.address if member is not None else ""

    # --- Runs -------------------------------------------------------------------------------------------

    def is_current(self, now: int, run: DutyRun) -> bool:
        """Return whether the lease still allows the run; to be called again right before anything is sent."""
        return self.held_epoch(run.duty, now) == run.epoch

    def run_finished(self, now: int, run: DutyRun, passed: bool, latency_ns: int) -> Effects:
        """Record the result of a run and tell the other members."""
        result = ProbeResult(run.duty, self.config.name, run.epoch, run.number, passed, latency_ns, 0)
        self.probe_results.record(now, result)
        others = [name for name in self._members if name != self.config.name]
        if len(others) > RESULT_FANOUT:
            others = self.random.sample(others, RESULT_FANOUT)
        effects = Effects()
        effects.messages = [(self.address_of(name), name, result) for name in others if self.address_of(name)]
        return effects

    def leave(self, now: int) -> Effects:
        """Release all duties and tell the other members, before the instance stops."""
        effects = Effects()
        self._add_lease_messages(self.lease_manager.set_wanted((), now), effects)
        effects.messages += [(address, "", message) for address, message in self.swim.leave()]
        return effects
