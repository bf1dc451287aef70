"""An instance's decisions taken together: who is there, who runs what, what is due.  No I/O.

Messages come in as values with their sender's name; what has to leave, and what has to be kept first, is
handed out.  The caller keeps promises safe before the messages of the same ``Out`` leave.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from arrowrail.duties.assign import assign, of, shard_of
from arrowrail.duties.hints import Hint, Hints
from arrowrail.duties.timing import Timing
from arrowrail.group.plan import GroupPlan
from arrowrail.leases.batch import Batch, pack
from arrowrail.leases.office import Office, Outbox
from arrowrail.leases.promise import Ask, Promise, Release, Reply
from arrowrail.membership.swim import Ack, Ping, PingFor, Settings, Swim, Sync

DEFAULTS = Settings()
HINT_TO = 16  # members that a hint is told to at once: in a larger group, that many drawn at random
LeaseMessage = Ask | Reply | Release
Message = Ping | Ack | PingFor | Sync | LeaseMessage | Batch | Hint


@dataclass(frozen=True, slots=True)
class Run:
    """A run of a duty that may begin now, under the epoch that fences it."""

    duty: str
    epoch: int
    run: int


@dataclass(slots=True)
class Out:
    promises: dict[str, Promise] = field(default_factory=dict)
    messages: list[tuple[str, str, Message]] = field(default_factory=list)  # address, name or "", what
    runs: list[Run] = field(default_factory=list)


class Instance:
    def __init__(
        self, plan: GroupPlan, now: int, seed: int, kept: Mapping[str, Promise] | None, floor: int = 0,
        swim: Settings = DEFAULTS,
    ) -> None:  # fmt: skip
        self.plan = plan
        self.random = random.Random(seed)
        seeds = (*plan.seeds, *plan.members.values(), *plan.joining.values())
        self.swim = Swim(plan.name, plan.listen, dict.fromkeys(seeds), now, seed, swim)
        self.office = Office(plan.name, plan.terms(), now, seed + 1, kept, floor)
        self.hints = Hints(3 * max(plan.probe_period_ns, 1))
        self.duties: tuple[str, ...] = ()
        self.timings: dict[str, Timing] = {}
        self.shards: dict[str, str] = {}  # by duty: the lease that it is run under
        self.placed: dict[str, str] = {}  # by shard: the member that is to hold it
        self._members: tuple[str, ...] = ()
        self._dirty = True

    def use(self, plan: GroupPlan) -> None:
        """A reload: other voters, keys, periods; what is held runs out under what it was granted by."""
        self.plan = plan
        self.office.use(plan.terms())
        self.swim.seeds = [s for s in (*plan.seeds, *plan.members.values(), *plan.joining.values())
                           if s != plan.listen]  # fmt: skip
        self._dirty = True

    def set_duties(self, duties: Iterable[str]) -> None:
        self.duties = tuple(sorted(duties))
        self._dirty = True

    def epoch(self, duty: str, now: int) -> int:
        """The epoch under which a duty may be run at this moment; 0: it may not."""
        return self.office.holds(self.shards.get(duty, ""), now)

    # --- Time and messages ------------------------------------------------------------------------------

    def tick(self, now: int) -> Out:
        out = Out()
        out.messages += [(address, "", m) for address, m in self.swim.tick(now)]
        self._assign(now, out)
        self._lease(self.office.tick(now), out)
        for duty, timing in self.timings.items():
            epoch = self.epoch(duty, now)
            if not epoch:
                timing.lost()
                continue
            timing.held(now, epoch)
            run = timing.take(now)
            if run:
                out.runs.append(Run(duty, epoch, run))
        return out

    def receive(self, now: int, sender: str, message: Message) -> Out:
        out = Out()
        if isinstance(message, Hint):
            if message.holder == sender:
                self.hints.hear(now, message)
        elif isinstance(message, Ask | Reply | Release):
            self._lease(self.office.receive(now, sender, message), out)
        elif isinstance(message, Batch):
            together = Outbox()
            for one in message.messages:
                box = self.office.receive(now, sender, one)
                together.promises |= box.promises
                together.messages += box.messages
            self._lease(together, out)
        elif message.sender == sender:
            out.messages += [(address, "", m) for address, m in self.swim.receive(now, message)]
        return out

    def _assign(self, now: int, out: Out) -> None:
        members = tuple(self.swim.alive())
        self.swim.changes.clear()
        if members == self._members and not self._dirty:
            return
        self._members, self._dirty = members, False
        self.shards = {duty: shard_of(duty) for duty in self.duties}
        self.placed = assign(self.shards.values(), members)
        mine = set(of(self.plan.name, self.placed))
        self._lease(self.office.want(mine, now), out)
        period = self.plan.probe_period_ns
        held = (d for d in self.duties if self.shards[d] in mine)
        self.timings = {d: self.timings.get(d) or Timing(d, period) for d in held}
        for timing in self.timings.values():
            timing.period_ns = period

    def _lease(self, box: object, out: Out) -> None:
        out.promises |= box.promises  # type: ignore[attr-defined]
        for name, message in pack(box.messages):  # type: ignore[attr-defined]
            address = self.address(name)
            if address:
                out.messages.append((address, name, message))

    def address(self, name: str) -> str:
        known = self.plan.members.get(name) or self.plan.joining.get(name)
        if known:
            return known
        member = self.swim.members.get(name)
        return member.rumour.address if member is not None else ""

    # --- Runs -------------------------------------------------------------------------------------------

    def may_go_on(self, now: int, run: Run) -> bool:
        """Asked again right before anything leaves: the lease may have passed since it was due."""
        return self.epoch(run.duty, now) == run.epoch

    def ran(self, now: int, run: Run, passed: bool, lag_ns: int) -> Out:
        """A run is over: heard here, and told to the others."""
        hint = Hint(run.duty, self.plan.name, run.epoch, run.run, passed, lag_ns, 0)
        self.hints.hear(now, hint)
        others = [m for m in self._members if m != self.plan.name]
        if len(others) > HINT_TO:
            others = self.random.sample(others, HINT_TO)
        out = Out()
        out.messages = [(self.address(m), m, hint) for m in others if self.address(m)]
        return out

    def leave(self, now: int) -> Out:
        """Before the end: duties are given back, and the others told."""
        out = Out()
        self._lease(self.office.want((), now), out)
        out.messages += [(address, "", m) for address, m in self.swim.leave()]
        return out
