"""Group membership under crashes, pauses, partitions and bad networks, in simulated time."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.lab.simnet import MS, S, SimClock, SimNetwork
from arrowrail.membership.swim import ALIVE, DEAD, LEFT, SUSPECT, Ping, Rumour, Swim, SwimSettings, Sync


class SimulatedGroup:
    """Instances of the membership protocol on a simulated network."""

    def __init__(self, size: int, seed: int = 1) -> None:
        self.network = SimNetwork(seed)
        self.swims: dict[str, Swim] = {}
        self.names = [f"i{n}" for n in range(size)]
        self.seed = seed
        for name in self.names:
            self.network.clocks[name] = SimClock(
                self.network.random.randrange(10**15), self.network.random.randint(-200, 200)
            )
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        self.seed += 1
        swim = self.swims[name] = Swim(name, name, self.names[:2], self.network.clock(name), self.seed)
        self.network.attach(name, lambda _sender, message: self.receive(name, message))
        self.network.schedule(
            self.network.now + self.network.random.randrange(100 * MS), lambda: self.tick(name, swim)
        )

    def tick(self, name: str, swim: Swim) -> None:
        if self.swims.get(name) is not swim:
            return
        if self.network.clocks[name].stopped_at is None:
            self.send(name, swim.tick(self.network.clock(name)))
        self.network.schedule(self.network.now + 100 * MS, lambda: self.tick(name, swim))

    def receive(self, name: str, message: object) -> None:
        self.send(name, self.swims[name].receive(self.network.clock(name), message))  # type: ignore[arg-type]

    def send(self, name: str, outgoing: object) -> None:
        for address, message in outgoing:  # type: ignore[attr-defined]
            self.network.send(name, address, message)

    def crash(self, name: str) -> None:
        del self.swims[name]
        self.network.detach(name)

    def run(self, seconds: float) -> None:
        self.network.run(self.network.now + int(seconds * S))

    def views(self) -> set[tuple[str, ...]]:
        return {tuple(swim.live_members()) for swim in self.swims.values()}

    def agrees(self, *missing: str) -> bool:
        return self.views() == {tuple(sorted(set(self.names) - set(missing)))}


@pytest.mark.parametrize("size", [2, 5, 20])
def test_a_group_forms_from_its_seeds(size: int) -> None:
    group = SimulatedGroup(size)
    group.run(25)
    assert group.agrees() and all(s.health_score == 0 for s in group.swims.values())


def test_a_crash_is_detected_by_all_and_a_restarted_instance_rejoins() -> None:
    group = SimulatedGroup(7)
    group.run(25)
    group.crash("i3")
    group.run(20)
    assert group.agrees("i3")
    group.start("i3")
    group.run(25)
    assert group.agrees() and group.swims["i3"].incarnation > 0


def test_an_instance_that_leaves_is_removed_at_once_without_suspicion() -> None:
    group = SimulatedGroup(5)
    group.run(25)
    group.send("i4", group.swims["i4"].leave())
    group.run(0.2)
    swim = group.swims.pop("i4")
    group.network.detach("i4")
    assert group.agrees("i4") and swim.leave() == [] and swim.tick(0) == []
    assert all(s.suspicions == 0 and s.members["i4"].state == LEFT for s in group.swims.values())


def test_a_paused_instance_is_declared_dead_and_refutes_it_when_it_resumes() -> None:
    group = SimulatedGroup(5)
    group.run(25)
    group.network.clocks["i1"].stopped_at = group.network.now
    group.run(20)
    assert all("i1" not in s.live_members() for n, s in group.swims.items() if n != "i1")
    group.network.clocks["i1"].stopped_at = None
    group.run(30)
    # It suspected nobody for the messages it missed, and the others list it as live again.
    assert group.agrees() and group.swims["i1"].suspicions == 0


@pytest.mark.parametrize("both_ways", [True, False])
def test_all_views_agree_after_a_partition_heals(both_ways: bool) -> None:
    group = SimulatedGroup(6, seed=3)
    group.run(25)
    group.network.faults.partition({"i0", "i1"}, {"i2", "i3", "i4", "i5"}, both_ways)
    group.run(40)
    if both_ways:
        assert group.swims["i0"].live_members() == ["i0", "i1"] and len(group.swims["i5"].live_members()) == 4
    group.network.faults.heal()
    group.run(60)
    assert group.agrees()


def test_half_of_the_group_restarts_within_a_second() -> None:
    group = SimulatedGroup(8, seed=4)
    group.run(25)
    for name in group.names[:4]:
        group.crash(name)
    group.run(0.7)
    for name in group.names[:4]:
        group.start(name)
    group.run(40)
    assert group.agrees()


def test_an_hour_on_a_lossy_network_declares_no_live_member_dead() -> None:
    group = SimulatedGroup(5, seed=5)
    group.network.faults.loss_rate, group.network.faults.duplicate_rate = 0.02, 0.02
    group.run(25)
    deaths = 0
    for _ in range(120):
        group.run(30)
        for swim in group.swims.values():
            deaths += sum(1 for c in swim.changes if c.state == DEAD)
            swim.changes.clear()
    assert deaths == 0 and group.agrees()


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.lists(st.tuples(
    st.sampled_from(["crash", "start", "stop", "resume", "partition", "one_way_partition", "heal",
                     "lossy", "delay_spikes", "clear"]),
    st.integers(0, 5), st.floats(0.1, 8.0)), max_size=12))  # fmt: skip
def test_after_any_faults_all_running_instances_agree(seed: int, steps: list[tuple[str, int, float]]) -> None:
    group = SimulatedGroup(6, seed)
    faults = group.network.faults
    group.run(15)
    for action, number, seconds in steps:
        name = f"i{number}"
        if action == "crash" and name in group.swims:
            group.crash(name)
        elif action == "start" and name not in group.swims:
            group.start(name)
        elif action in ("stop", "resume"):
            group.network.clocks[name].stopped_at = group.network.now if action == "stop" else None
        elif action in ("partition", "one_way_partition"):
            faults.partition({name}, set(group.names) - {name}, action == "partition")
        elif action == "heal":
            faults.heal()
        elif action == "lossy":
            faults.loss_rate = faults.duplicate_rate = 0.3
        elif action == "delay_spikes":
            faults.spike_rate = 0.3
        else:
            faults.loss_rate = faults.duplicate_rate = faults.spike_rate = 0.0
        group.run(seconds)
    faults.heal()
    faults.loss_rate = faults.duplicate_rate = faults.spike_rate = 0.0
    for clock in group.network.clocks.values():
        clock.stopped_at = None
    group.run(120)
    assert group.agrees(*(set(group.names) - group.swims.keys()))


# --- Order of rumours -----------------------------------------------------------------------------------

RUMOURS = st.lists(
    st.builds(Rumour, st.sampled_from(["x", "y"]), st.just("a"), st.integers(0, 3),
              st.sampled_from([ALIVE, SUSPECT, DEAD, LEFT])), max_size=12,
)  # fmt: skip


@settings(max_examples=100, deadline=None, derandomize=True)
@given(RUMOURS, st.integers(0, 1000))
def test_the_order_of_rumours_does_not_change_the_result(rumours: list[Rumour], seed: int) -> None:
    # Both members have to be known first: an unknown member that is already gone is not recorded.
    first = [Rumour(n, "a", 0, ALIVE) for n in "xy"]
    shuffled = list(rumours)
    random.Random(seed).shuffle(shuffled)
    views = []
    for ordering in (rumours, shuffled + shuffled):
        swim = Swim("me", "m", [], 0, 1)
        for rumour in [*first, *ordering]:
            swim.receive(0, Sync("z", "z", False, (rumour,)))
        views.append({n: m.rumour for n, m in swim.members.items()})
    assert views[0] == views[1]


def test_a_rumour_of_its_own_death_is_refuted_and_a_suspect_is_told_of_the_suspicion() -> None:
    swim = Swim("me", "m", [], 0, 1)
    swim.receive(0, Sync("z", "z", False, (Rumour("me", "m", 4, DEAD),)))
    assert swim.incarnation == 5 and swim.own_rumour().state == ALIVE
    (answer,) = swim.receive(0, Ping(1, "z", "z"))
    assert Rumour("me", "m", 5, ALIVE) in answer[1].rumours
    swim.receive(0, Sync("z", "z", False, (Rumour("q", "q", 2, SUSPECT),)))
    for _ in range(40):
        rumours = swim.receive(0, Ping(2, "q", "q"))[0][1].rumours
        assert Rumour("q", "q", 2, SUSPECT) in rumours


def test_confirmations_shorten_a_suspicion_and_messages_stay_bounded() -> None:
    swim = Swim("me", "m", [], 0, 1, SwimSettings())
    everyone = tuple(Rumour(f"n{n}", f"n{n}", 0, ALIVE) for n in range(300))
    for at in range(0, 300, 10):
        swim.receive(0, Sync("n0", "n0", False, everyone[at : at + 10]))
    swim.receive(0, Sync("n1", "n1", False, (Rumour("n9", "n9", 0, SUSPECT),)))
    unconfirmed = swim.members["n9"].declare_dead_at
    for source in ("n2", "n3", "n4"):
        swim.receive(0, Sync(source, source, False, (Rumour("n9", "n9", 0, SUSPECT),)))
    assert swim.members["n9"].declare_dead_at < unconfirmed
    assert all(len(m.rumours) <= 17 for _, m in swim.tick(2 * S))
