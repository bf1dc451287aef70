"""The group as a whole: datagrams, replays, memory, and instances together in simulated time."""

from __future__ import annotations

import contextlib
import os
import socket
import stat
import time
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.duties.hints import ANSWERS, SILENT, UNKNOWN, Hint, Hints
from arrowrail.duties.timing import Timing
from arrowrail.group.instance import Instance, Message, Out, Run
from arrowrail.group.plan import GroupPlan
from arrowrail.group.runtime import Control, Group, read_promises
from arrowrail.lab.simnet import MS, Clock, Net, S
from arrowrail.leases.batch import MOST_BYTES, Batch, pack
from arrowrail.leases.promise import Ask, Promise, Release, Reply
from arrowrail.loop import Loop
from arrowrail.membership.guard import AGAIN, FRESH, OLD, WINDOW, Guard
from arrowrail.membership.swim import Ack, Ping, PingFor, Rumour, Sync
from arrowrail.storage.keeper import Keeper
from arrowrail.wire.group.messages import MAX_DATAGRAM, GroupError, decode, encode

KEYS = {1: b"k" * 16, 2: b"q" * 16}
HEAD = ("g", "a", "b", 5, 9)
RUMOURS = (Rumour("x", "127.0.0.1:1", 3, 1), Rumour("y", "[::1]:2", 0, 0))
MESSAGES: tuple[Message, ...] = (
    Ping(1, "a", "127.0.0.1:1", RUMOURS), Ack(1, "a", ()),
    PingFor(1, "a", "127.0.0.1:1", "c", "d:1", RUMOURS),
    Sync("a", "127.0.0.1:1", True, RUMOURS), Ask("d", "a", 5, 6, 7), Reply("d", 5, 6, True, 9, 1),
    Release("d", "a", 5), Hint("d", "a", 5, 6, False, 7, 8),
    Batch((Ask("d", "a", 5, 6, 7), Reply("d", 5, 6, True, 9, 1), Release("d", "a", 5))),
)  # fmt: skip


# --- Datagrams --------------------------------------------------------------------------------------------


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_every_message_reads_back_under_each_key(message: Message) -> None:
    for key in KEYS:
        assert decode(KEYS, encode(KEYS, key, HEAD, message)) == (HEAD, message)


def test_what_is_foreign_old_or_tampered_with_is_not_taken() -> None:
    good = encode(KEYS, 1, HEAD, MESSAGES[0])
    for data, reason in (
        (b"", "size"), (good + b"x" * MAX_DATAGRAM, "size"), (b"\x09" + good[1:], "version"),
        (good[:1] + b"\x07" + good[2:], "key"), (good[:1] + b"\x02" + good[2:], "mac"),
        (good[:-1] + b"?", "mac"), (encode({1: b"other key......."}, 1, HEAD, MESSAGES[0]), "mac"),
    ):  # fmt: skip
        with pytest.raises(GroupError, match=reason):
            decode(KEYS, data)


def test_a_message_of_all_rumours_fits_a_datagram() -> None:
    many = tuple(Rumour("n" * 20 + str(n), "255.255.255.255:65535", 10**6, 2) for n in range(16))
    assert len(encode(KEYS, 1, HEAD, Sync("s" * 20, "255.255.255.255:65535", True, many))) <= MAX_DATAGRAM


def test_messages_to_one_receiver_travel_together_within_a_datagram() -> None:
    asks = [("b", Ask("d" * 100 + str(n), "a" * 60, n, 1, S)) for n in range(50)] + [
        ("c", Ask("e", "a", 1, 1, S))
    ]
    packed = list(pack(asks))
    assert [m for n, m in packed if n == "c"] == [asks[-1][1]]
    found = [one for n, m in packed if n == "b" for one in (m.messages if isinstance(m, Batch) else (m,))]
    assert found == [m for n, m in asks if n == "b"] and len(packed) < 12
    assert all(len(encode(KEYS, 1, HEAD, m)) <= MAX_DATAGRAM for _, m in packed) and MOST_BYTES < MAX_DATAGRAM


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.sampled_from(MESSAGES), st.binary(max_size=60), st.integers(0, 200), st.booleans())
def test_no_damage_raises_anything_else(message: Message, noise: bytes, at: int, signed: bool) -> None:
    import hmac

    whole = encode(KEYS, 1, HEAD, message)
    payload = whole[18:]
    payload = payload[: at % len(payload)] + noise + payload[at % len(payload) + len(noise) :]
    start = whole[:2]
    mac = hmac.digest(KEYS[1], start + payload, "sha256")[:16] if signed else whole[2:18]
    with contextlib.suppress(GroupError):
        decode(KEYS, start + mac + payload)


def test_numbers_are_taken_once_in_any_order_within_a_window() -> None:
    guard = Guard()
    assert [guard.judge("a", 1, n) for n in (5, 3, 5, 4, 3)] == [FRESH, FRESH, AGAIN, FRESH, AGAIN]
    assert guard.judge("a", 1, 5 + WINDOW) == FRESH and guard.judge("a", 1, 5) == OLD
    assert guard.judge("a", 2, 1) == FRESH and guard.judge("a", 1, 9999) == OLD
    assert guard.judge("b", 1, 5) == FRESH


# --- Duties -----------------------------------------------------------------------------------------------


def test_a_new_holder_waits_a_whole_period() -> None:
    timing = Timing("d", 10 * S)
    timing.held(100 * S, 3)
    assert timing.take(109 * S) == 0 and timing.take(110 * S) == 1 and timing.take(115 * S) == 0
    timing.held(116 * S, 3)  # renewed: nothing begins anew
    assert timing.take(120 * S) == 2
    timing.lost()
    assert timing.take(200 * S) == 0
    timing.held(200 * S, 4)
    assert timing.take(209 * S) == 0 and timing.take(210 * S) == 1
    assert timing.take(500 * S) == 2 and timing.take(501 * S) == 0  # what was missed is not made up for


def test_hints_count_while_fresh_and_newer_ones_win() -> None:
    hints = Hints(30 * S)
    assert hints.verdict(0, "d") == UNKNOWN
    assert hints.hear(100 * S, Hint("d", "a", 2, 1, False, 0, S))
    assert hints.verdict(100 * S, "d") == UNKNOWN  # one failure is no proof
    assert hints.hear(110 * S, Hint("d", "a", 2, 2, False, 0, 0)) and hints.verdict(110 * S, "d") == SILENT
    assert not hints.hear(111 * S, Hint("d", "b", 1, 9, True, 0, 0)) and hints.stale == 1
    assert hints.verdict(141 * S, "d") == UNKNOWN
    assert hints.hear(142 * S, Hint("d", "b", 3, 1, True, 0, 0)) and hints.verdict(142 * S, "d") == ANSWERS


# --- Memory and control -----------------------------------------------------------------------------------


def test_promises_are_kept_off_the_loop_and_read_back(tmp_path: Path) -> None:
    import msgspec

    path, loop, safe = tmp_path / "p", Loop(), list[bool]()
    keeper = Keeper(loop, path)
    for n in range(5):
        data = msgspec.msgpack.encode({"version": 1, "promises": [["d", n, "a", 7]]})
        keeper.keep(data, safe.append)
    assert safe == []  # nothing is safe before the loop has heard of it
    end = time.monotonic() + 10
    while len(safe) < 5 and time.monotonic() < end:
        loop.run_once()
    assert safe == [True] * 5 and read_promises(path) == {"d": Promise(4, "a", 0, 7)}
    keeper.close()
    path.write_bytes(b"spoilt")
    assert read_promises(path) is None and read_promises(tmp_path / "none") is None


def test_a_write_that_fails_is_told(tmp_path: Path) -> None:
    loop, safe = Loop(), list[bool]()
    keeper = Keeper(loop, tmp_path / "no" / "folder")
    keeper.keep(b"x", safe.append)
    while not safe:
        loop.run_once()
    assert safe == [False] and keeper.failed
    keeper.close()


def test_the_control_socket_is_its_owner_s_and_tells_the_report(tmp_path: Path) -> None:
    loop, path = Loop(), str(tmp_path / "c")
    control = Control(loop, path, lambda: {"group": "g"})
    assert stat.S_IMODE(os.stat(path).st_mode) == 0o600
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(path)
        loop.run_once()
        sock.settimeout(5)
        assert sock.recv(100) == b'{"group":"g"}\n'
    control.close()
    assert not os.path.exists(path)


def test_three_on_real_sockets_run_each_duty_under_epochs_of_their_own(tmp_path: Path) -> None:
    loop, ports = Loop(), free_udp(3)
    members = {f"i{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)}
    runs: list[tuple[str, Run]] = []
    groups = []
    for name, address in members.items():

        def probe(run: Run, done: Callable[[bool], None], name: str = name) -> bool:
            runs.append((name, run))
            done(True)
            return True

        plan = GroupPlan("g", name, address, address, members, {}, (), KEYS, 1, S, 10_000, str(tmp_path), "",
                         300 * MS, 100 * MS)  # fmt: skip
        groups.append(Group(loop, plan, probe, 1))
        groups[-1].set_duties(["a", "b", "c", "d"])
    end = time.monotonic() + 30
    while {run.duty for _, run in runs if run.run >= 2} != set("abcd") and time.monotonic() < end:
        loop.timers.schedule(loop.now + 20 * MS, lambda: None)
        loop.run_once()
        for group in groups:
            group.background(False)
    epochs: dict[tuple[str, int], str] = {}
    assert {run.duty for _, run in runs} == set("abcd")
    assert all(epochs.setdefault((run.duty, run.epoch), name) == name for name, run in runs)
    report = groups[0].report()
    assert len(report["members"]) == 3 and report["dropped"] == {}  # type: ignore[arg-type]
    for group in groups:
        group.close()
    assert read_promises(tmp_path / "i0.promises")


def free_udp(count: int) -> list[int]:
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


# --- Instances together -----------------------------------------------------------------------------------


class Simulated:
    """Instances over a simulated network; every run of a duty is noted with its true time."""

    def __init__(
        self, names: list[str], voters: list[str], duties: int, seed: int, period: int = 4 * S
    ) -> None:
        self.net, self.seed, self.period = Net(seed), seed, period
        self.voters, self.joining = voters, list[str]()
        self.duties = [f"d{n}" for n in range(duties)]
        self.runs: list[tuple[int, str, Run]] = []
        self.disk: dict[str, dict[str, Promise]] = {}
        self.instances: dict[str, Instance] = {}
        for name in names:
            self.start(name)

    def plan(self, name: str) -> GroupPlan:
        voters, joining = ({n: n for n in some} for some in (self.voters, self.joining))
        return GroupPlan(
            "g", name, name, name, voters, joining, (), KEYS, 1, 3 * S, 10_000, "", "", self.period, S
        )

    def start(self, name: str) -> None:
        self.seed += 1
        draw = self.net.random
        self.net.clocks.setdefault(name, Clock(draw.randrange(10**15), draw.randint(-10_000, 10_000)))
        now, kept = self.net.clock(name), dict(self.disk.setdefault(name, {}))
        instance = self.instances[name] = Instance(self.plan(name), now, self.seed, kept)
        instance.set_duties(self.duties)
        self.net.join(name, lambda sender, message: self.receive(name, sender, message))
        self.tick(name, instance)

    def crash(self, name: str) -> None:
        del self.instances[name]
        self.net.leave(name)

    def tick(self, name: str, instance: Instance) -> None:
        if self.instances.get(name) is not instance:
            return
        if self.net.clocks[name].stopped_at is None:
            self.carry(name, instance.tick(self.net.clock(name)))
        self.net.at(self.net.now + 100 * MS, lambda: self.tick(name, instance))

    def receive(self, name: str, sender: str, message: Message) -> None:
        self.carry(name, self.instances[name].receive(self.net.clock(name), sender, message))

    def carry(self, name: str, out: Out) -> None:
        self.disk[name] |= out.promises
        for address, _, message in out.messages:
            self.net.send(name, address, message)
        for run in out.runs:
            now = self.net.clock(name)
            if self.instances[name].may_go_on(now, run):
                self.runs.append((self.net.now, name, run))
                self.carry(name, self.instances[name].ran(now, run, True, MS))

    def run(self, seconds: float) -> None:
        self.net.run(self.net.now + int(seconds * S))

    def judge(self, since: int = 0) -> int:
        """No run too near the last, no epoch of two holders; returns the longest time without a run."""
        longest = 0
        for duty in self.duties:
            times = [(t, name, run) for t, name, run in self.runs if run.duty == duty]
            epochs: dict[int, str] = {}
            for (t, _, one), (u, _, other) in pairwise(times):
                assert u - t >= self.period * 6 // 10, (duty, t, u, one, other)
                assert other.epoch >= one.epoch
            for _, name, run in times:
                assert epochs.setdefault(run.epoch, name) == name
            edges = [since, *(t for t, _, _ in times if t > since), self.net.now]
            longest = max([longest, *(b - a for a, b in pairwise(edges))])
        return longest


FIVE = [f"i{n}" for n in range(5)]


def test_each_duty_runs_once_a_period_and_a_killed_instance_s_are_taken_over() -> None:
    group = Simulated(FIVE, FIVE, 20, 1)
    group.run(20)
    steady = group.net.now
    group.run(40)
    assert group.judge(steady) <= group.period * 3 // 2
    assert {name for _, name, _ in group.runs} == set(FIVE)
    killed = group.net.now
    group.crash("i2")
    group.run(30)
    assert group.judge(killed) <= 25 * S
    late = {run.duty for t, _, run in group.runs if t > group.net.now - 2 * group.period}
    assert late == set(group.duties)


def test_the_smaller_side_of_a_split_runs_nothing_and_all_goes_on_after_it() -> None:
    group = Simulated(FIVE, FIVE, 10, 2)
    group.run(30)
    group.net.faults.split({"i0", "i1"}, {"i2", "i3", "i4"})
    group.run(10)
    apart = group.net.now
    group.run(30)
    assert {name for t, name, _ in group.runs if t > apart} <= {"i2", "i3", "i4"}
    group.net.faults.heal()
    group.run(40)
    assert group.judge(apart) <= 25 * S


def test_a_group_grown_from_three_to_five_in_service() -> None:
    group = Simulated(FIVE[:3], FIVE[:3], 8, 3)
    group.run(30)
    group.joining = FIVE  # first the members learn that both majorities count, then the new ones come
    for name, instance in group.instances.items():
        instance.use(group.plan(name))
    for name in FIVE[3:]:
        group.start(name)
    group.run(20)
    group.voters, group.joining = FIVE, []
    for name in FIVE:
        group.instances[name].use(group.plan(name))
        group.run(0.5)
    group.run(30)
    assert group.judge(25 * S) <= 25 * S
    group.crash("i0")
    group.crash("i1")
    gone = group.net.now
    group.run(40)
    assert group.judge(gone) <= 25 * S  # three of five are a majority


@settings(max_examples=8, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.lists(st.tuples(
    st.sampled_from(["crash", "start", "stop", "go", "split", "oneway", "heal", "lossy", "late", "calm"]),
    st.integers(0, 4), st.floats(0.5, 9.0)), max_size=10))  # fmt: skip
def test_over_any_history_no_duty_is_doubled_and_all_run_once_it_is_calm(
    seed: int, steps: list[tuple[str, int, float]]
) -> None:
    group = Simulated(FIVE, FIVE, 4, seed)
    faults = group.net.faults
    group.run(20)
    for what, number, seconds in steps:
        name = FIVE[number]
        if what == "crash" and name in group.instances:
            group.crash(name)
        elif what == "start" and name not in group.instances:
            group.start(name)
        elif what in ("stop", "go"):
            group.net.clocks[name].stopped_at = group.net.now if what == "stop" else None
        elif what in ("split", "oneway"):
            faults.split({name}, set(FIVE) - {name}, what == "split")
        elif what == "heal":
            faults.heal()
        elif what == "lossy":
            faults.loss = faults.double = 0.2
        elif what == "late":
            faults.late = 0.2
        else:
            faults.loss = faults.double = faults.late = 0.0
        group.run(seconds)
    faults.heal()
    faults.loss = faults.double = faults.late = 0.0
    for clock in group.net.clocks.values():
        clock.stopped_at = None
    for name in FIVE:
        if name not in group.instances:
            group.start(name)
    group.run(60)
    group.judge()
    recent = {run.duty for t, _, run in group.runs if t > group.net.now - 2 * group.period}
    assert recent == set(group.duties)
