"""The group on the event loop: its socket, its stored promises, its control socket, and the probes."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable, Iterable
from functools import partial
from pathlib import Path

import msgspec
import orjson
from loguru import logger

from arrowrail.core.requests import MS
from arrowrail.group.config import GroupConfig
from arrowrail.group.instance import DutyRun, Effects, Instance, Message
from arrowrail.leases.batch import Batch
from arrowrail.leases.promise import AcquireRequest, Promise, Reply
from arrowrail.loop import READ, Loop
from arrowrail.membership.replay import FRESH, ReplayFilter
from arrowrail.scheduling.scheduler import NORMAL, Budgets, JobSpec, Scheduler, SliceGenerator
from arrowrail.storage.file_writer import FileWriter
from arrowrail.wire.group.messages import GroupError, decode, encode
from arrowrail.wire.group.transport import Transport

TICK_NS = 100 * MS
StartProbe = Callable[[DutyRun, Callable[[bool], None]], bool]  # starts a probe; false if it cannot be sent


def load_promises(path: Path) -> dict[str, Promise] | None:
    """Return the stored promises; ``None`` if there are none or they cannot be read."""
    try:
        raw = msgspec.msgpack.decode(path.read_bytes())
        return {
            duty: Promise(int(epoch), str(holder), 0, int(duration))
            for duty, epoch, holder, duration in raw["promises"]
        }
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        logger.warning(
            "stored promises cannot be read; nothing is granted for one lease duration: {!r}", error
        )
        return None


class GroupRuntime:
    """Runs an ``Instance``: receives and sends its messages, stores its promises, starts its probes."""

    def __init__(self, loop: Loop, config: GroupConfig, start_probe: StartProbe, seed: int) -> None:
        self.loop, self.config, self.start_probe = loop, config, start_probe
        self.boot, self.sequence = time.time_ns(), 0
        stored = None
        self.promise_file: FileWriter | None = None
        if config.promise_dir:
            path = Path(config.promise_dir) / f"{config.name}.promises"
            stored = load_promises(path)
            self.promise_file = FileWriter(loop, path)
        # Without stored promises, epochs begin above all that a process started before this second can
        # have used.
        min_epoch = 0 if stored is not None else (self.boot // 10**9) << 20
        self.instance = Instance(config, loop.now, seed, stored, min_epoch)
        self.scheduler = Scheduler(Budgets(), seed, loop.now)
        self.replay_filter = ReplayFilter()
        self.dropped: dict[str, int] = {}  # dropped datagrams, by reason
        self.transport = Transport(loop, config.bind, self._on_datagram)
        self.control_socket = (
            ControlSocket(loop, config.control_path, self.report) if config.control_path else None
        )
        self.probes_started = 0
        self._closing = False
        loop.timers.schedule(loop.now, self._tick)

    def update_config(self, config: GroupConfig) -> None:
        self.config = config
        self.instance.update_config(config)

    def set_duties(self, duties: Iterable[str]) -> None:
        self.instance.set_duties(duties)

    # --- Event loop iteration ---------------------------------------------------------------------------

    def _tick(self) -> None:
        if self._closing:
            return
        self._apply(self.instance.tick(self.loop.now))
        self.loop.timers.schedule(self.loop.now + TICK_NS, self._tick)

    def run_background(self, busy: bool) -> None:
        """Run background work; called once per event loop iteration, after the calls have been handled."""
        if self.scheduler.jobs:
            self.scheduler.run_iteration(self.loop.now, time.monotonic_ns, busy)
            due_at = self.scheduler.next_due_at(self.loop.now)
            if due_at is not None:
                self.loop.timers.schedule(max(due_at, self.loop.now + MS), lambda: None)

    def _apply(self, effects: Effects) -> None:
        for run in effects.runs:
            self.scheduler.submit(
                JobSpec(f"{run.duty}#{run.number}", partial(self._probe_slices, run), priority=NORMAL,
                        deadline_ns=self.config.probe_period_ns), self.loop.now)  # fmt: skip
        has_lease_messages = any(
            isinstance(message, AcquireRequest | Reply | Batch) for _, _, message in effects.messages
        )
        # While promises are being written, lease messages that may depend on them wait for that write or
        # the next one.
        if self.promise_file is not None and (
            effects.promises or (has_lease_messages and self.promise_file.writing)
        ):
            self.promise_file.write(
                self._encode_promises(), lambda stored: self._send(effects) if stored else None
            )
        else:
            self._send(effects)

    def _encode_promises(self) -> bytes:
        promises = self.instance.lease_manager.promises
        return msgspec.msgpack.encode(
            {"version": 1, "promises": [[d, p.epoch, p.holder, p.duration_ns] for d, p in promises.items()]}
        )

    def _send(self, effects: Effects) -> None:
        for address, name, message in effects.messages:
            self._send_message(address, name, message)

    def _send_message(self, address: str, name: str, message: Message) -> None:
        self.sequence += 1
        header = (self.config.group, self.config.name, name, self.boot, self.sequence)
        self.transport.send(address, encode(self.config.keys, self.config.send_key, header, message))

    def _on_datagram(self, data: bytes) -> None:
        try:
            (group, sender, receiver, boot, sequence), message = decode(self.config.keys, data)
        except GroupError as error:
            self._count_drop(str(error))
            return
        if group != self.config.group or receiver not in ("", self.config.name) or sender == self.config.name:
            self._count_drop("foreign")
            return
        freshness = self.replay_filter.check(sender, boot, sequence)
        if freshness != FRESH:
            self._count_drop(freshness)
            return
        self._apply(self.instance.receive(self.loop.now, sender, message))

    def _count_drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # --- Runs -------------------------------------------------------------------------------------------

    def _probe_slices(self, run: DutyRun) -> SliceGenerator:
        """Run one probe; none is sent if the lease has expired by the latest reading of the loop's clock."""
        yield
        started_at = self.loop.now
        if not self.instance.is_current(started_at, run):
            return

        def on_done(passed: bool) -> None:
            self._apply(self.instance.run_finished(self.loop.now, run, passed, self.loop.now - started_at))

        if self.start_probe(run, on_done):
            self.probes_started += 1

    def report(self) -> dict[str, object]:
        """Return the report served on the control socket."""
        now, instance = self.loop.now, self.instance
        return {
            "group": self.config.group, "name": self.config.name, "dropped": self.dropped,
            "health": instance.swim.health_score, "unsent": self.transport.unsent,
            "members": [
                {"name": name, "address": address, "state": state, "incarnation": incarnation,
                 "for_ms": age_ns // MS}
                for name, address, state, incarnation, age_ns in instance.swim.member_states(now)
            ],
            "duties": [
                {"duty": duty, "placed_at": instance.placements.get(instance.shards.get(duty, ""), ""),
                 "epoch": instance.held_epoch(duty, now),
                 "verdict": instance.probe_results.verdict(now, duty)}
                for duty in instance.duties
            ],
        }  # fmt: skip

    def close(self) -> None:
        self._closing = True
        self._send(self.instance.leave(self.loop.now))
        if self.promise_file is not None:
            self.promise_file.close()
        if self.control_socket is not None:
            self.control_socket.close()
        self.transport.close()


class ControlSocket:
    """A Unix socket that sends each client the instance's report and closes the connection."""

    def __init__(self, loop: Loop, path: str, report: Callable[[], dict[str, object]]) -> None:
        self.loop, self.path, self.report = loop, path, report
        if os.path.exists(path):
            os.unlink(path)
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.setblocking(False)
        old_umask = os.umask(0o177)  # accessible to its owner only
        try:
            self.sock.bind(path)
        finally:
            os.umask(old_umask)
        self.sock.listen(4)
        loop.watch(self.sock, READ, self._on_connect)

    def _on_connect(self, _mask: int) -> None:
        try:
            peer, _ = self.sock.accept()
        except OSError:
            return
        with peer:
            peer.setblocking(False)
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 << 20)
            try:
                peer.send(orjson.dumps(self.report()) + b"\n")
            except OSError as error:
                logger.debug("control socket: {}", error)

    def close(self) -> None:
        self.loop.unwatch(self.sock)
        self.sock.close()
        if os.path.exists(self.path):
            os.unlink(self.path)
