"""Group messages, replay protection, stored promises, and whole groups in simulated time."""

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

from arrowrail.duties.probe_results import ANSWERS, SILENT, UNKNOWN, ProbeResult, ProbeResults
from arrowrail.duties.run_schedule import RunSchedule
from arrowrail.group.config import GroupConfig
from arrowrail.group.instance import DutyRun, Effects, Instance, Message
from arrowrail.group.runtime import ControlSocket, GroupRuntime, load_promises
from arrowrail.lab.simnet import MS, S, SimClock, SimNetwork
from arrowrail.leases.batch import MAX_BATCH_BYTES, Batch, pack_batches
from arrowrail.leases.promise import AcquireRequest, Promise, Release, Reply
from arrowrail.loop import Loop
from arrowrail.membership.replay import DUPLICATE, FRESH, OLD, WINDOW_SIZE, ReplayFilter
from arrowrail.membership.swim import Ack, Ping, PingRequest, Rumour, Sync
from arrowrail.storage.file_writer import FileWriter
from arrowrail.wire.group.messages import MAX_DATAGRAM, GroupError, decode, encode

KEYS = {1: b"k" * 16, 2: b"q" * 16}
HEADER = ("g", "a", "b", 5, 9)
RUMOURS = (Rumour("x", "127.0.0.1:1", 3, 1), Rumour("y", "[::1]:2", 0, 0))
MESSAGES: tuple[Message, ...] = (
    Ping(1, "a", "127.0.0.1:1", RUMOURS), Ack(1, "a", ()),
    PingRequest(1, "a", "127.0.0.1:1", "c", "d:1", RUMOURS),
    Sync("a", "127.0.0.1:1", True, RUMOURS), AcquireRequest("d", "a", 5, 6, 7), Reply("d", 5, 6, True, 9, 1),
    Release("d", "a", 5), ProbeResult("d", "a", 5, 6, False, 7, 8),
    Batch((AcquireRequest("d", "a", 5, 6, 7), Reply("d", 5, 6, True, 9, 1), Release("d", "a", 5))),
)  # fmt: skip


# --- Datagrams ------------------------------------------------------------------------------------------


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_every_message_decodes_under_each_key(message: Message) -> None:
    for key in KEYS:
        assert decode(KEYS, encode(KEYS, key, HEADER, message)) == (HEADER, message)


def test_damaged_or_forged_datagrams_are_rejected_with_a_reason() -> None:
    valid = encode(KEYS, 1, HEADER, MESSAGES[0])
    for data, reason in (
        (b"", "size"), (valid + b"x" * MAX_DATAGRAM, "size"), (b"\x09" + valid[1:], "version"),
        (valid[:1] + b"\x07" + valid[2:], "key"), (valid[:1] + b"\x02" + valid[2:], "mac"),
        (valid[:-1] + b"?", "mac"), (encode({1: b"other key......."}, 1, HEADER, MESSAGES[0]), "mac"),
    ):  # fmt: skip
        with pytest.raises(GroupError, match=reason):
            decode(KEYS, data)


def test_a_full_sync_message_fits_a_datagram() -> None:
    many = tuple(Rumour("n" * 20 + str(n), "255.255.255.255:65535", 10**6, 2) for n in range(16))
    assert len(encode(KEYS, 1, HEADER, Sync("s" * 20, "255.255.255.255:65535", True, many))) <= MAX_DATAGRAM


def test_messages_to_one_receiver_are_batched_within_the_datagram_size() -> None:
    requests = [("b", AcquireRequest("d" * 100 + str(n), "a" * 60, n, 1, S)) for n in range(50)] + [
        ("c", AcquireRequest("e", "a", 1, 1, S))
    ]
    packed = list(pack_batches(requests))
    assert [m for n, m in packed if n == "c"] == [requests[-1][1]]
    unpacked = [one for n, m in packed if n == "b" for one in (m.messages if isinstance(m, Batch) else (m,))]
    assert unpacked == [m for n, m in requests if n == "b"] and len(packed) < 12
    assert (
        all(len(encode(KEYS, 1, HEADER, m)) <= MAX_DATAGRAM for _, m in packed)
        and MAX_BATCH_BYTES < MAX_DATAGRAM
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.sampled_from(MESSAGES), st.binary(max_size=60), st.integers(0, 200), st.booleans())
def test_decoding_damaged_data_raises_nothing_but_group_errors(
    message: Message, noise: bytes, at: int, signed: bool
) -> None:
    import hmac

    datagram = encode(KEYS, 1, HEADER, message)
    payload = datagram[18:]
    payload = payload[: at % len(payload)] + noise + payload[at % len(payload) + len(noise) :]
    prefix = datagram[:2]
    mac = hmac.digest(KEYS[1], prefix + payload, "sha256")[:16] if signed else datagram[2:18]
    with contextlib.suppress(GroupError):
        decode(KEYS, prefix + mac + payload)


def test_sequence_numbers_are_accepted_once_in_any_order_within_the_window() -> None:
    replay_filter = ReplayFilter()
    assert [replay_filter.check("a", 1, n) for n in (5, 3, 5, 4, 3)] == [
        FRESH,
        FRESH,
        DUPLICATE,
        FRESH,
        DUPLICATE,
    ]
    assert replay_filter.check("a", 1, 5 + WINDOW_SIZE) == FRESH and replay_filter.check("a", 1, 5) == OLD
    assert replay_filter.check("a", 2, 1) == FRESH and replay_filter.check("a", 1, 9999) == OLD
    assert replay_filter.check("b", 1, 5) == FRESH


# --- Duties ---------------------------------------------------------------------------------------------


def test_a_new_holder_waits_a_whole_period() -> None:
    schedule = RunSchedule("d", 10 * S)
    schedule.set_epoch(100 * S, 3)
    assert (
        schedule.start_next_run(109 * S) == 0
        and schedule.start_next_run(110 * S) == 1
        and schedule.start_next_run(115 * S) == 0
    )
    schedule.set_epoch(116 * S, 3)  # renewed under the same epoch: the schedule continues
    assert schedule.start_next_run(120 * S) == 2
    schedule.clear_epoch()
    assert schedule.start_next_run(200 * S) == 0
    schedule.set_epoch(200 * S, 4)
    assert schedule.start_next_run(209 * S) == 0 and schedule.start_next_run(210 * S) == 1
    # Missed runs are not made up for.
    assert schedule.start_next_run(500 * S) == 2 and schedule.start_next_run(501 * S) == 0


def test_probe_results_expire_and_are_replaced_by_newer_ones_only() -> None:
    results = ProbeResults(30 * S)
    assert results.verdict(0, "d") == UNKNOWN
    assert results.record(100 * S, ProbeResult("d", "a", 2, 1, False, 0, S))
    assert results.verdict(100 * S, "d") == UNKNOWN  # one failure is not enough
    assert (
        results.record(110 * S, ProbeResult("d", "a", 2, 2, False, 0, 0))
        and results.verdict(110 * S, "d") == SILENT
    )
    assert not results.record(111 * S, ProbeResult("d", "b", 1, 9, True, 0, 0)) and results.stale_count == 1
    assert results.verdict(141 * S, "d") == UNKNOWN
    assert (
        results.record(142 * S, ProbeResult("d", "b", 3, 1, True, 0, 0))
        and results.verdict(142 * S, "d") == ANSWERS
    )


# --- Stored promises and control socket -----------------------------------------------------------------


def test_promises_are_written_outside_the_loop_and_read_back(tmp_path: Path) -> None:
    import msgspec

    path, loop, outcomes = tmp_path / "p", Loop(), list[bool]()
    writer = FileWriter(loop, path)
    for n in range(5):
        data = msgspec.msgpack.encode({"version": 1, "promises": [["d", n, "a", 7]]})
        writer.write(data, outcomes.append)
    assert outcomes == []  # no callback before the loop has run
    end = time.monotonic() + 10
    while len(outcomes) < 5 and time.monotonic() < end:
        loop.run_once()
    assert outcomes == [True] * 5 and load_promises(path) == {"d": Promise(4, "a", 0, 7)}
    writer.close()
    path.write_bytes(b"spoilt")
    assert load_promises(path) is None and load_promises(tmp_path / "none") is None


def test_a_failed_write_is_reported(tmp_path: Path) -> None:
    loop, outcomes = Loop(), list[bool]()
    writer = FileWriter(loop, tmp_path / "no" / "folder")
    writer.write(b"x", outcomes.append)
    while not outcomes:
        loop.run_once()
    assert outcomes == [False] and writer.last_error
    writer.close()


def test_the_control_socket_sends_the_report_and_is_open_to_its_owner_only(tmp_path: Path) -> None:
    loop, path = Loop(), str(tmp_path / "c")
    control = ControlSocket(loop, path, lambda: {"group": "g"})
    assert stat.S_IMODE(os.stat(path).st_mode) == 0o600
    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(path)
        loop.run_once()
        sock.settimeout(5)
        assert sock.recv(100) == b'{"group":"g"}\n'
    control.close()
    assert not os.path.exists(path)


def test_three_instances_on_real_sockets_run_each_duty_under_distinct_epochs(tmp_path: Path) -> None:
    loop, ports = Loop(), free_udp_ports(3)
    members = {f"i{n}": f"127.0.0.1:{port}" for n, port in enumerate(ports)}
    runs: list[tuple[str, DutyRun]] = []
    groups = []
    for name, address in members.items():

        def probe(run: DutyRun, done: Callable[[bool], None], name: str = name) -> bool:
            runs.append((name, run))
            done(True)
            return True

        config = GroupConfig(
            "g", name, address, address, members, {}, (), KEYS, 1, S, 10_000, str(tmp_path), "",
            300 * MS, 100 * MS,
        )  # fmt: skip
        groups.append(GroupRuntime(loop, config, probe, 1))
        groups[-1].set_duties(["a", "b", "c", "d"])
    end = time.monotonic() + 30
    while {run.duty for _, run in runs if run.number >= 2} != set("abcd") and time.monotonic() < end:
        loop.timers.schedule(loop.now + 20 * MS, lambda: None)
        loop.run_once()
        for group in groups:
            group.run_background(False)
    epochs: dict[tuple[str, int], str] = {}
    assert {run.duty for _, run in runs} == set("abcd")
    assert all(epochs.setdefault((run.duty, run.epoch), name) == name for name, run in runs)
    report = groups[0].report()
    assert len(report["members"]) == 3 and report["dropped"] == {}  # type: ignore[arg-type]
    for group in groups:
        group.close()
    assert load_promises(tmp_path / "i0.promises")


def free_udp_ports(count: int) -> list[int]:
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


# --- Groups in simulated time ---------------------------------------------------------------------------


class SimulatedGroup:
    """Instances on a simulated network; every run of a duty is recorded with its true time."""

    def __init__(
        self, names: list[str], voters: list[str], duties: int, seed: int, period_ns: int = 4 * S
    ) -> None:
        self.network, self.seed, self.period_ns = SimNetwork(seed), seed, period_ns
        self.voters, self.joining = voters, list[str]()
        self.duties = [f"d{n}" for n in range(duties)]
        self.runs: list[tuple[int, str, DutyRun]] = []
        self.stored_promises: dict[str, dict[str, Promise]] = {}
        self.instances: dict[str, Instance] = {}
        for name in names:
            self.start(name)

    def config(self, name: str) -> GroupConfig:
        voters, joining = ({n: n for n in some} for some in (self.voters, self.joining))
        return GroupConfig(
            "g", name, name, name, voters, joining, (), KEYS, 1, 3 * S, 10_000, "", "", self.period_ns, S
        )

    def start(self, name: str) -> None:
        self.seed += 1
        rng = self.network.random
        self.network.clocks.setdefault(name, SimClock(rng.randrange(10**15), rng.randint(-10_000, 10_000)))
        now, stored = self.network.clock(name), dict(self.stored_promises.setdefault(name, {}))
        instance = self.instances[name] = Instance(self.config(name), now, self.seed, stored)
        instance.set_duties(self.duties)
        self.network.attach(name, lambda sender, message: self.receive(name, sender, message))
        self.tick(name, instance)

    def crash(self, name: str) -> None:
        del self.instances[name]
        self.network.detach(name)

    def tick(self, name: str, instance: Instance) -> None:
        if self.instances.get(name) is not instance:
            return
        if self.network.clocks[name].stopped_at is None:
            self.apply_effects(name, instance.tick(self.network.clock(name)))
        self.network.schedule(self.network.now + 100 * MS, lambda: self.tick(name, instance))

    def receive(self, name: str, sender: str, message: Message) -> None:
        self.apply_effects(name, self.instances[name].receive(self.network.clock(name), sender, message))

    def apply_effects(self, name: str, effects: Effects) -> None:
        self.stored_promises[name] |= effects.promises
        for address, _, message in effects.messages:
            self.network.send(name, address, message)
        for run in effects.runs:
            now = self.network.clock(name)
            if self.instances[name].is_current(now, run):
                self.runs.append((self.network.now, name, run))
                self.apply_effects(name, self.instances[name].run_finished(now, run, True, MS))

    def run(self, seconds: float) -> None:
        self.network.run(self.network.now + int(seconds * S))

    def check_runs(self, since: int = 0) -> int:
        """Check the distance of runs and the holder of each epoch; returns the longest time without a run."""
        longest = 0
        for duty in self.duties:
            times = [(t, name, run) for t, name, run in self.runs if run.duty == duty]
            epochs: dict[int, str] = {}
            for (earlier, _, first), (later, _, second) in pairwise(times):
                assert later - earlier >= self.period_ns * 6 // 10, (duty, earlier, later, first, second)
                assert second.epoch >= first.epoch
            for _, name, run in times:
                assert epochs.setdefault(run.epoch, name) == name
            edges = [since, *(t for t, _, _ in times if t > since), self.network.now]
            longest = max([longest, *(b - a for a, b in pairwise(edges))])
        return longest


FIVE_INSTANCES = [f"i{n}" for n in range(5)]


def test_each_duty_runs_once_per_period_and_those_of_a_crashed_instance_are_taken_over() -> None:
    group = SimulatedGroup(FIVE_INSTANCES, FIVE_INSTANCES, 20, 1)
    group.run(20)
    steady_since = group.network.now
    group.run(40)
    assert group.check_runs(steady_since) <= group.period_ns * 3 // 2
    assert {name for _, name, _ in group.runs} == set(FIVE_INSTANCES)
    crashed_at = group.network.now
    group.crash("i2")
    group.run(30)
    assert group.check_runs(crashed_at) <= 25 * S
    recent = {run.duty for t, _, run in group.runs if t > group.network.now - 2 * group.period_ns}
    assert recent == set(group.duties)


def test_the_minority_side_of_a_partition_runs_nothing_and_all_duties_run_after_it() -> None:
    group = SimulatedGroup(FIVE_INSTANCES, FIVE_INSTANCES, 10, 2)
    group.run(30)
    group.network.faults.partition({"i0", "i1"}, {"i2", "i3", "i4"})
    group.run(10)
    partitioned_since = group.network.now
    group.run(30)
    assert {name for t, name, _ in group.runs if t > partitioned_since} <= {"i2", "i3", "i4"}
    group.network.faults.heal()
    group.run(40)
    assert group.check_runs(partitioned_since) <= 25 * S


def test_a_group_grows_from_three_to_five_voters_in_service() -> None:
    group = SimulatedGroup(FIVE_INSTANCES[:3], FIVE_INSTANCES[:3], 8, 3)
    group.run(30)
    # The present voters require majorities of both sets before the new instances start.
    group.joining = FIVE_INSTANCES
    for name, instance in group.instances.items():
        instance.update_config(group.config(name))
    for name in FIVE_INSTANCES[3:]:
        group.start(name)
    group.run(20)
    group.voters, group.joining = FIVE_INSTANCES, []
    for name in FIVE_INSTANCES:
        group.instances[name].update_config(group.config(name))
        group.run(0.5)
    group.run(30)
    assert group.check_runs(25 * S) <= 25 * S
    group.crash("i0")
    group.crash("i1")
    crashed_at = group.network.now
    group.run(40)
    assert group.check_runs(crashed_at) <= 25 * S  # three of five are a majority


@settings(max_examples=8, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.lists(st.tuples(
    st.sampled_from(["crash", "start", "stop", "resume", "partition", "one_way_partition", "heal",
                     "lossy", "delay_spikes", "clear"]),
    st.integers(0, 4), st.floats(0.5, 9.0)), max_size=10))  # fmt: skip
def test_under_any_faults_no_duty_runs_twice_and_all_run_once_the_faults_end(
    seed: int, steps: list[tuple[str, int, float]]
) -> None:
    group = SimulatedGroup(FIVE_INSTANCES, FIVE_INSTANCES, 4, seed)
    faults = group.network.faults
    group.run(20)
    for action, number, seconds in steps:
        name = FIVE_INSTANCES[number]
        if action == "crash" and name in group.instances:
            group.crash(name)
        elif action == "start" and name not in group.instances:
            group.start(name)
        elif action in ("stop", "resume"):
            group.network.clocks[name].stopped_at = group.network.now if action == "stop" else None
        elif action in ("partition", "one_way_partition"):
            faults.partition({name}, set(FIVE_INSTANCES) - {name}, action == "partition")
        elif action == "heal":
            faults.heal()
        elif action == "lossy":
            faults.loss_rate = faults.duplicate_rate = 0.2
        elif action == "delay_spikes":
            faults.spike_rate = 0.2
        else:
            faults.loss_rate = faults.duplicate_rate = faults.spike_rate = 0.0
        group.run(seconds)
    faults.heal()
    faults.loss_rate = faults.duplicate_rate = faults.spike_rate = 0.0
    for clock in group.network.clocks.values():
        clock.stopped_at = None
    for name in FIVE_INSTANCES:
        if name not in group.instances:
            group.start(name)
    group.run(60)
    group.check_runs()
    recent = {run.duty for t, _, run in group.runs if t > group.network.now - 2 * group.period_ns}
    assert recent == set(group.duties)
