"""Stand-ins and the frame of the cases of the second review; standard library only.

A case starts one controller with ``run`` of the deploy file.  Desk exchanges, the event bus, callers and a
delaying proxy live in this process, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_HEARD, GROUP, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
P_CLASS, P_WAIT, P_NUMBER, P_NOTE, P_FULL_MS, P_REPORT, P_CAUSE, P_DESCRIPTION = (
    129, 132, 141, 150, 153, 156, 171, 174,
)  # fmt: skip
GRACE_S = 0.050  # PROTOCOL: each time limit grows by 50 ms
MAX_LATE_S = 0.400  # a turn of the stand-ins later than that: the machine was too busy to judge
READY_S = 30.0  # DEPLOY: callers arrive once all controllers are ready, or after 30 s
LINGER_RESET = struct.pack("ii", 1, 0)


class NotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Rig:
    """Clock, record, temporary folder and the controller process of one case."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.trouble = folder, os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.record = (folder / "record.txt").open("w")
        self.temporary = tempfile.TemporaryDirectory(prefix="review")
        self.controller: asyncio.subprocess.Process | None = None
        self.late_s = 0.0
        self.tasks: list[asyncio.Task[None]] = []
        self.port = free_port()

    def now(self) -> float:
        return time.monotonic() - self.started

    def note(self, who: str, what: str) -> float:
        now = self.now()
        if not self.record.closed:
            self.record.write(f"{now:9.3f} {who}: {what}\n")
        return now

    def spawn(self, work: Awaitable[None]) -> None:
        async def guarded() -> None:
            await work

        self.tasks.append(asyncio.ensure_future(guarded()))

    async def sleep_until(self, at_s: float) -> None:
        await asyncio.sleep(max(0.0, at_s - self.now()))

    async def watch_lateness(self) -> None:
        while True:
            before = self.now()
            await asyncio.sleep(0.02)
            self.late_s = max(self.late_s, self.now() - before - 0.02)

    async def start_controller(
        self, known: list[dict[str, Any]], bus: str = "", **changes: Any
    ) -> asyncio.subprocess.Process:
        """Start ``run`` with a configuration of the form of DEPLOY, and wait until a test is passed."""
        config = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bus": bus,
            "known": {"offset": 1, "batch": [list_event(1, known, True)]}, "settings": settings(**changes),
        }  # fmt: skip
        path = Path(self.temporary.name) / "config.json"
        path.write_text(json.dumps(config))
        private = Path(self.temporary.name) / "tmp"
        private.mkdir(exist_ok=True)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        environment = os.environ | {
            "PROXY_CONFIG": str(path), "PROXY_LISTEN": config["listen"], "PROXY_NAME": "n0",
            "TMPDIR": str(private),
        }  # fmt: skip
        log = (Path(self.temporary.name) / "log").open("ab")
        self.controller = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log,
        )  # fmt: skip
        self.note("platform", f"started run, process {self.controller.pid}")
        limit = self.now() + READY_S
        while self.now() < limit and self.controller.returncode is None:
            with contextlib.suppress(OSError):
                caller = await Caller.open(self, "front")
                caller.send_test()
                await asyncio.sleep(0.2)
                caller.close()
                if caller.test_passed:
                    self.note("platform", "the controller is ready")
                    return self.controller
            await asyncio.sleep(0.1)
        raise NotRun("the controller was not ready in time")

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        process = self.controller
        if process is not None:
            if process.returncode is None:
                process.kill()
            await process.wait()
            log = (Path(self.temporary.name) / "log").read_text(errors="replace").splitlines()
            for line in log[-40:]:
                self.record.write(f"          log: {line}\n")
        self.temporary.cleanup()


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def run_case(folder: Path, scenario: Callable[[Rig], Awaitable[list[str]]], limit_s: float = 100.0) -> None:
    """Run a scenario, which returns what broke the rule; exit with 1, 0 or, if it could not run, 2."""

    async def guarded() -> int:
        rig = Rig(folder)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        rig.spawn(rig.watch_lateness())
        code = 2
        try:
            broken = await asyncio.wait_for(scenario(rig), limit_s)
            for text in broken:
                rig.note("broken", text)
            if rig.late_s > MAX_LATE_S:
                raise NotRun(f"the machine was too busy: a turn came {rig.late_s:.3f} s late")
            code = 1 if broken else 0
            verdict = f"the rule was broken {len(broken)} times" if broken else "the rule held"
            rig.note("verdict", f"{verdict}; latest turn {rig.late_s:.3f} s")
        except (NotRun, TimeoutError, OSError) as error:
            rig.note("verdict", f"the case could not run: {error!r}")
        finally:
            await rig.close()
            rig.record.close()
        return code

    try:
        code = asyncio.run(guarded())
    except asyncio.CancelledError:
        code = 2
    print((folder / "record.txt").read_text().split(" verdict: ")[-1].splitlines()[0])
    sys.exit(code)


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, in the form of WIRE's example."""
    classes = [
        ("status-report", 1.0, 2_000), ("alarm-video", 4.0, 2_500), ("engineer-call", 3.0, 2_000),
    ]  # fmt: skip
    return {
        "classes": [
            {
                "name": name, "worth": worth, "objective-ns": aim_ms * 10**6, "deadline-ns": 9 * 10**9,
                "late-share": 0.25, "repeat": "free", "dedup-scope": "all", "streamed": True,
                "window-ns": 5 * 10**9,
            }
            for name, worth, aim_ms in classes
        ],
        "clients": {"marks-retry": True},
        "contract": {
            "answer-slack-ns": 20 * 10**6, "cold-ns": 15 * 10**9, "drain-grace-ns": 500 * 10**6,
            "fall-multiple": 4.0, "fall-ns": 3 * 10**9, "must-ask-in-ns": 10 * 10**9, "start-capacity": 0.31,
        },
        "discovery": "push", "domain-type": "trunks",
        "family-info": {
            "advice": False, "class-hold-ns": [10_700_000_000, 10_700_000_000, 16_000_000_000],
            "far-reports": "silent", "layout": "meshed", "pools-by-class": [], "release-ns": 300 * 10**6,
            "resend-ns": 400 * 10**6, "retry-hint": True, "self-no": 0, "widths": [1, 2, 1],
        },
        "flavors": ["standard"],
        "goal": {"whole": 0.45, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.35},
        "instances": 3, "over-share-worth": 0.1, "period-ns": 5 * 10**6,
        "policy-limits": {
            "conn-idle-ns": 600 * 10**9, "connect-timeout-ns": 500 * 10**6, "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 400_000, "max-attempts": 4, "may-cancel": True, "may-probe": False,
            "may-tell": False, "max-open": 20_000, "max-retry-after-ns": 2 * 10**9, "parallel-tries": False,
            "retry-after": True, "streams-per-conn": 1 << 20,
        },
        "rank": 0, "report": {"fields": ["spare", "total"], "source": "pull"}, "tenants": [], "tier": 0,
        "tiers": ["desk-exchanges"], "weight-source": "silent", "worth-by": "request", "zone": "fukuoka",
        "zones": ["fukuoka", "kumamoto", "kagoshima"],
    } | changes  # fmt: skip


def list_entry(
    uid: str, address: str, exchange: int, state: str = "in_service", boot_ms: int = 0
) -> dict[str, Any]:
    return {
        "uid": uid, "endpoint": address, "az": "fukuoka", "model": "standard", "pod_group": exchange,
        "state": state, "capacity_hint": 1, "boot_ms": boot_ms,
    }  # fmt: skip


def list_event(offset: int, entries: list[dict[str, Any]], whole: bool = False) -> dict[str, Any]:
    return {"offset": offset, "topology": {"rev": offset, "all": whole, "targets": entries}}


# --- Desk exchanges -----------------------------------------------------------------------------------------


def encode(message_type: int, call_id: int, *parameters: tuple[int, bytes]) -> bytes:
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">HBQ", 9 + len(body), message_type, call_id) + body


class DeskConnection(asyncio.Protocol):
    """One connection from the controller."""

    def __init__(self, desk: Desk) -> None:
        self.desk, self.buffer = desk, b""
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.desk.connections.append(self)
        self.desk.send_group(self)
        for release in self.desk.take_repeats():
            self.transport.write(release)

    def connection_lost(self, _error: Exception | None) -> None:
        self.desk.connection_lost(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 2:
            length = 2 + int.from_bytes(self.buffer[:2], "big")
            if len(self.buffer) < length:
                return
            message, self.buffer = self.buffer[:length], self.buffer[length:]
            parameters, offset = {}, 11
            while offset < length:
                code, size = struct.unpack_from(">BH", message, offset)
                parameters[code] = message[offset + 3 : offset + 3 + size]
                offset += 3 + size
            self.desk.received(self, message[2], int.from_bytes(message[3:11], "big"), parameters)


class Call:
    """A set-up or a standing call at a desk exchange."""

    def __init__(self, connection: DeskConnection) -> None:
        self.connection, self.stands = connection, False


class Desk:
    """A desk exchange: answers set-ups, ends calls, tells the state of the group on each connection."""

    def __init__(
        self, rig: Rig, name: str, exchange: int, circuits: int = 140, answer_s: float = 0.03,
        hold_s: Callable[[int], float] = lambda _call: 3.0,
        refuse: Callable[[int], tuple[int, bytes] | None] = lambda _call: None,
    ) -> None:  # fmt: skip
        self.rig, self.name, self.exchange, self.circuits = rig, name, exchange, circuits
        self.answer_s, self.hold_s, self.refuse = answer_s, hold_s, refuse
        self.connections: list[DeskConnection] = []
        self.calls: dict[int, Call] = {}
        self.set_ups: list[tuple[float, str]] = []
        self.cut_by_controller: list[tuple[float, str, bool]] = []
        self.repeats: list[bytes] = []  # releases that go out once more on the next connection
        self.max_connections = 1 << 30
        self.socket: socket.socket | None = None
        self.port = 0
        self.room = asyncio.Event()
        self.room.set()
        self.group_pending = False

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def start(self, port: int = 0) -> Desk:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        sock.listen(128)
        sock.setblocking(False)
        self.socket, self.port = sock, sock.getsockname()[1]
        self.rig.spawn(self._accept(sock))
        self.rig.note(self.name, f"listens at {self.address} as exchange {self.exchange}")
        return self

    async def _accept(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while self.socket is sock:
            await self.room.wait()
            try:
                accepted, _ = await loop.sock_accept(sock)
            except OSError:
                return
            await loop.connect_accepted_socket(lambda: DeskConnection(self), accepted)
            self._check_room()

    def _check_room(self) -> None:
        if len(self.connections) < self.max_connections:
            self.room.set()
        else:
            self.room.clear()

    def die(self) -> None:
        """End as a process does: the listener is gone, connections are reset, calls are cut."""
        self.rig.note(self.name, f"dies with {len(self.calls)} calls")
        sock, self.socket = self.socket, None
        if sock is not None:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        for connection in list(self.connections):
            connection.transport.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET
            )
            connection.transport.abort()
        self.calls.clear()

    def connection_lost(self, connection: DeskConnection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)
        for call_id, call in list(self.calls.items()):
            if call.connection is connection and not call.stands:
                del self.calls[call_id]  # the close gives up the set-ups that are open on it
        self._check_room()

    def send_group(self, connection: DeskConnection) -> None:
        free = max(0, self.circuits - len(self.calls))
        report = f"spare:{free};total:{self.circuits}".encode()
        connection.transport.write(encode(GROUP, 0, (P_REPORT, report)))

    def group_changed(self) -> None:
        if not self.group_pending:
            self.group_pending = True
            asyncio.get_running_loop().call_later(0.1, self._send_groups)

    def _send_groups(self) -> None:
        self.group_pending = False
        for connection in self.connections:
            self.send_group(connection)

    def take_repeats(self) -> list[bytes]:
        repeats, self.repeats = self.repeats, []
        return repeats

    def received(
        self, connection: DeskConnection, message_type: int, call_id: int, parameters: dict[int, bytes]
    ) -> None:
        name = f"{call_id:016x}"
        if message_type == SET_UP:
            at_s = self.rig.note(self.name, f"set-up {name}, waits {parameters[P_WAIT].decode()} ms")
            self.set_ups.append((at_s, name))
            refusal = self.refuse(call_id)
            if refusal is not None:
                cause, note = refusal
                parameters_out = [(P_CAUSE, bytes((cause,)))] + ([(P_NOTE, note)] if note else [])
                connection.transport.write(encode(RELEASE, call_id, *parameters_out))
                self.rig.note(self.name, f"refuses {name} with cause {cause}")
                return
            call = self.calls[call_id] = Call(connection)
            asyncio.get_running_loop().call_later(self.answer_s, self._answer, call_id, call)
            self.group_changed()
        elif message_type == RELEASE:
            known = self.calls.pop(call_id, None)
            at_s = self.rig.note(
                self.name, f"got a release of {name}, {'stood' if known and known.stands else 'not standing'}"
            )
            self.cut_by_controller.append((at_s, name, known is not None and known.stands))
            connection.transport.write(encode(RELEASE_HEARD, call_id))
            self.group_changed()
        elif message_type == TEST:
            connection.transport.write(encode(TESTED, call_id, (P_CAUSE, b"\1")))

    def _answer(self, call_id: int, call: Call) -> None:
        if self.calls.get(call_id) is not call:
            return
        call.stands = True
        description = f"o={self.name} {call_id:016x}\r\nc=IN IP4 127.0.0.1\r\n".encode()
        call.connection.transport.write(encode(ANSWER, call_id, (P_DESCRIPTION, description)))
        self.rig.note(self.name, f"answers {call_id:016x}")
        asyncio.get_running_loop().call_later(self.hold_s(call_id), self.end_call, call_id, call)

    def end_call(self, call_id: int, call: Call) -> None:
        if self.calls.get(call_id) is not call:
            return
        del self.calls[call_id]
        release = encode(RELEASE, call_id, (P_CAUSE, b"\x10"))
        open_connections = [call.connection] if call.connection in self.connections else self.connections
        if open_connections:
            open_connections[0].transport.write(release)
        self.repeats.append(release)
        self.rig.note(self.name, f"releases {call_id:016x}, the call has come to its end")
        self.group_changed()


# --- The event bus, and a proxy that delays -----------------------------------------------------------------


class Bus:
    """The event bus: keeps numbered events, sends them to each reader from its last number on."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.events: list[tuple[float, dict[str, Any]]] = []
        self.changed = asyncio.Condition()
        self.address = ""

    async def start(self) -> Bus:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def publish(self, entries: list[dict[str, Any]]) -> float:
        offset = len(self.events) + 2  # event 1 is in the configuration
        states = ", ".join(f"{e['uid']} at {e['endpoint']} {e['state']}" for e in entries)
        at_s = self.rig.note("bus", f"event {offset}: {states}")
        self.events.append((at_s, list_event(offset, entries)))
        async with self.changed:
            self.changed.notify_all()
        return at_s

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            match = re.search(rb"last-event-id: *(\d+)", head)
            last = int(match[1]) if match else 0
            self.rig.note("bus", f"is read from event {last} on")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            writer.write(b": comment\n\n")
            while True:
                for _, event in self.events:
                    if event["offset"] > last:
                        last = event["offset"]
                        writer.write(b"id: %d\ndata: %s\n\n" % (last, json.dumps(event).encode()))
                await writer.drain()
                try:
                    async with self.changed:
                        await asyncio.wait_for(self.changed.wait(), 1.0)
                except TimeoutError:
                    writer.write(b": comment\n\n")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


class DelayingProxy:
    """Passes connections on to an address; what comes back is ``delay_s`` late."""

    def __init__(self, rig: Rig, target: str) -> None:
        self.rig, self.target, self.delay_s, self.address = rig, target, 0.0, ""
        self.passed: list[tuple[float, bytes]] = []  # what was handed to the controller, with its time
        self.connections = 0

    async def start(self) -> DelayingProxy:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self.rig.note("proxy", f"connection {number} to the bus opens")
        host, _, port = self.target.rpartition(":")
        server_reader, server_writer = await asyncio.open_connection(host, int(port))
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()

        async def read_back() -> None:
            while data := await server_reader.read(65536):
                queue.put_nowait((self.rig.now() + self.delay_s, data))

        async def pass_back() -> None:
            while True:
                due_s, data = await queue.get()
                await self.rig.sleep_until(due_s)
                if writer.is_closing():
                    return
                writer.write(data)
                self.passed.append((self.rig.now(), data))

        tasks = [asyncio.ensure_future(read_back()), asyncio.ensure_future(pass_back())]
        try:
            while data := await reader.read(65536):
                server_writer.write(data)
        except OSError:
            pass
        finally:
            self.rig.note("proxy", f"connection {number} was closed by the controller")
            for task in tasks:
                task.cancel()
            for end in (writer, server_writer):
                end.close()

    def passed_at(self, uid: str, state: str) -> float | None:
        """When an entry was handed over whole; none if it never was."""
        for at_s, data in self.passed:
            if f'"{uid}"'.encode() in data and f'"{state}"'.encode() in data:
                return at_s
        return None


# --- Callers ------------------------------------------------------------------------------------------------


class Caller(asyncio.Protocol):
    """A connection of callers: sends set-ups, keeps what is answered and released on it."""

    def __init__(self, rig: Rig, name: str) -> None:
        self.rig, self.name, self.buffer = rig, name, b""
        self.transport: asyncio.Transport
        self.answers: dict[str, list[tuple[float, int]]] = {}
        self.byes: dict[str, float] = {}
        self.test_passed = False
        self.closed_s: float | None = None  # when the controller closed it
        self.within_message = False  # a message is half written: what else there is to say waits
        self.waiting: list[bytes] = []

    @classmethod
    async def open(cls, rig: Rig, name: str) -> Caller:
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(lambda: cls(rig, name), "127.0.0.1", rig.port)
        return caller

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def eof_received(self) -> bool:
        self.closed_s = self.rig.note(self.name, "the controller has closed the connection")
        return True  # keeps the own direction open, as a TCP client that is still writing does

    def connection_lost(self, error: Exception | None) -> None:
        if error is not None:
            self.closed_s = self.rig.note(self.name, f"the connection ended: {error!r}")

    def close(self) -> None:
        self.transport.close()

    def say(self, message: bytes) -> None:
        """Write a whole message, but never into the middle of another one."""
        if self.within_message:
            self.waiting.append(message)
        else:
            self.transport.write(message)

    async def write_slowly(self, data: bytes, pieces: int, spread_s: float) -> None:
        """Write a message in pieces over some time; the caller reads on meanwhile."""
        size = -(-len(data) // pieces)
        self.within_message = True
        for n in range(pieces):
            if n and spread_s:
                await asyncio.sleep(spread_s / (pieces - 1))
            self.transport.write(data[n * size : (n + 1) * size])
        self.within_message = False
        waiting, self.waiting = self.waiting, []
        for message in waiting:
            self.transport.write(message)

    def send_test(self) -> None:
        self.transport.write(
            b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000f0\r\n"
            b"CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
        )

    def invite(self, call_id: str, exchange: int, patience_ms: int = 3000, **fields: Any) -> None:
        """Send a set-up."""
        self.rig.note(self.name, f"sends set-up {call_id} to exchange {exchange}")
        self.transport.write(invite(call_id, exchange, patience_ms, **fields))

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")
            headers = dict(line.split(": ", 1) for line in lines[1:])
            length = int(headers["Content-Length"])
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            self._message(lines[0], headers)

    def _message(self, first: str, headers: dict[str, str]) -> None:
        call_id, sequence = headers["Call-ID"], headers["CSeq"]
        if first.startswith("SIP/2.0 "):
            status, method = int(first.split(" ")[1]), sequence.split(" ")[1]
            if method == "OPTIONS":
                self.test_passed = status == 200
            elif method == "INVITE" and status >= 200:
                at_s = self.rig.note(self.name, f"{call_id} is answered {status}")
                self.answers.setdefault(call_id, []).append((at_s, status))
                self.say(request("ACK", call_id))
        elif first.startswith("BYE "):
            at_s = self.rig.note(self.name, f"{call_id} is released, {headers.get('Reason', '')}")
            self.byes.setdefault(call_id, at_s)
            self.say(
                f"SIP/2.0 200 OK\r\nVia: {headers['Via']}\r\nCall-ID: {call_id}\r\nCSeq: {sequence}\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )


def request(method: str, call_id: str) -> bytes:
    return (
        f"{method} sip:00000000000000ab@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
        f"CSeq: 1 {method}\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def invite(
    call_id: str, exchange: int, patience_ms: int = 3000, call_class: str = "status-report",
    number: str = "", facts: str = "", via: int = -1, width: int = 1,
) -> bytes:  # fmt: skip
    """The bytes of a set-up, as the example of PROTOCOL."""
    body = f"{call_id}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n"
    return (
        f"INVITE sip:{number or call_id}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
        f"CSeq: 1 INVITE\r\nSubject: {call_class}\r\nX-Patience: {patience_ms}\r\n"
        f"X-Facts: dest:{exchange};width:{width};via:{via}{facts}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


def new_id() -> str:
    return os.urandom(8).hex()
