"""Stand-ins for the cases: a controller process, desk exchanges, an event bus and callers, on loopback.

The controller is started with the command ``run`` of the deploy file.  Desk exchanges, bus and callers run in
the process of the case, on asyncio.  They use nothing of the project but its command, and speak the forms of
PROTOCOL-arrowrail.md.  Every event goes to record.txt with its time in seconds since the start of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
SET_UP, ANSWER, RELEASE, RELEASE_HEARD, GROUP_STATE, TEST, TEST_RESULT = 1, 9, 12, 16, 43, 52, 53
P_CLASS, P_WAIT, P_NUMBER, P_NOTE, P_LATER, P_REPORT, P_CAUSE, P_DESCRIPTION = (
    129,
    132,
    141,
    150,
    153,
    156,
    171,
    174,
)
MS = 1_000_000


class NotRun(Exception):
    """The case could not run; the exit code is 2."""


class Record:
    """The file record.txt of a case."""

    def __init__(self, folder: Path) -> None:
        self.started = time.time()
        self._file = (folder / "record.txt").open("w")
        self(f"TROUBLE={int(TROUBLE)}")

    def now(self) -> float:
        return time.time() - self.started

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now():9.4f} {text}\n")
        self._file.flush()


# --- Desk exchanges ---------------------------------------------------------------------------------------


def encode(kind: int, call: int, *parameters: tuple[int, bytes]) -> bytes:
    body = b"".join(struct.pack(">BH", code, len(value)) + value for code, value in parameters)
    return struct.pack(">HBQ", 9 + len(body), kind, call) + body


def read_parameters(body: bytes) -> dict[int, bytes]:
    values, at = {}, 0
    while at < len(body):
        code, length = struct.unpack_from(">BH", body, at)
        values[code] = body[at + 3 : at + 3 + length]
        at += 3 + length
    return values


class Link:
    """One connection from a controller to a desk exchange."""

    def __init__(self, desk: Desk, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.desk, self.reader, self.writer = desk, reader, writer
        desk.link_count += 1
        self.number = desk.link_count
        self.open = True

    def send(self, kind: int, call: int, *parameters: tuple[int, bytes]) -> None:
        if self.open:
            self.writer.write(encode(kind, call, *parameters))

    def reset(self) -> None:
        """Close with a reset, as a dying process does."""
        self.open = False
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Call:
    """A call at a desk exchange: one set-up, and what became of it."""

    def __init__(self, number: int, link: Link, count: int) -> None:
        self.id, self.link, self.count = number, link, count  # count: set-ups of that id seen here, from 1
        self.stands = False
        self.over = False
        self.arrived = time.time()


class Desk:
    """A sound desk exchange: answers after ``set_up_s`` and ends each call after ``hold_s``."""

    def __init__(
        self,
        record: Record,
        name: str,
        exchange: int,
        set_up_s: float = 0.03,
        hold_s: float = 5.0,
        circuits: int = 60,
    ) -> None:
        self.record, self.name, self.exchange = record, name, exchange
        self.set_up_s, self.hold_s, self.circuits = set_up_s, hold_s, circuits
        self.links: list[Link] = []
        self.link_count = 0
        self.calls: dict[int, Call] = {}  # the latest set-up of each call that is not over
        self.seen: dict[int, int] = {}  # set-ups by call id
        self.unsent_releases: list[tuple[int, int]] = []  # repeated on the next connection that opens
        self.server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.record(f"{self.name}: listens")

    def log(self, text: str) -> None:
        self.record(f"{self.name}: {text}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        link = Link(self, reader, writer)
        self.links.append(link)
        self.log(f"link {link.number} opened")
        self.greet(link)
        try:
            while True:
                head = await reader.readexactly(2)
                body = await reader.readexactly(int.from_bytes(head, "big"))
                kind, call = struct.unpack_from(">BQ", body)
                self.message(link, kind, call, read_parameters(body[9:]))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            link.open = False
            if link in self.links:
                self.links.remove(link)
            self.link_closed(link)
            writer.close()

    def greet(self, link: Link) -> None:
        self.send_state(link)
        repeats, self.unsent_releases = self.unsent_releases, []
        for call, cause in repeats:
            self.log(f"{call:016x} release {cause} repeated on new link {link.number}")
            link.send(RELEASE, call, (P_CAUSE, bytes((cause,))))

    def send_state(self, link: Link) -> None:
        free = max(0, self.circuits - len(self.calls))
        link.send(GROUP_STATE, 0, (P_REPORT, f"spare:{free};total:{self.circuits}".encode()))

    def link_closed(self, link: Link) -> None:
        """Closing a connection gives up its open set-ups; calls that stand go on."""
        self.log(f"link {link.number} closed")
        for call in list(self.calls.values()):
            if call.link is link and not call.stands:
                self.log(f"{call.id:016x} set-up given up with its link")
                self.finish(call)

    def message(self, link: Link, kind: int, call: int, values: dict[int, bytes]) -> None:
        if kind == SET_UP:
            count = self.seen[call] = self.seen.get(call, 0) + 1
            self.log(f"{call:016x} set-up {count} arrives on link {link.number}")
            entry = Call(call, link, count)
            self.calls[call] = entry
            self.arrived(entry)
            self.set_up(entry, values)
        elif kind == RELEASE:
            entry = self.calls.get(call)
            state = "unknown" if entry is None else "stands" if entry.stands else "is being set up"
            cause = values.get(P_CAUSE, b"\0")[0]
            self.log(f"{call:016x} release {cause} arrives on link {link.number}; the call {state}")
            if entry is not None:
                self.finish(entry)
            link.send(RELEASE_HEARD, call)
        elif kind == TEST:
            link.send(TEST_RESULT, call, (P_CAUSE, b"\x01"))

    # What a case may change:

    def arrived(self, call: Call) -> None:
        """A set-up has arrived whole."""

    def set_up(self, call: Call, values: dict[int, bytes]) -> None:
        later(self.set_up_s, lambda: self.answer(call))

    # What it may use:

    def answer(self, call: Call) -> None:
        if call.over:
            return
        call.stands = True
        self.log(f"{call.id:016x} set-up {call.count} answered")
        call.link.send(ANSWER, call.id, (P_DESCRIPTION, self.description(call)))
        if self.hold_s:
            later(self.hold_s, lambda: self.end(call))

    def description(self, call: Call) -> bytes:
        return f"o={self.name} {call.id:016x} {call.count}\r\nc=IN IP4 127.0.0.1\r\n".encode()

    def refuse(self, call: Call, cause: int, note: str = "") -> None:
        """End a set-up before its answer."""
        if call.over:
            return
        self.finish(call)
        self.log(f"{call.id:016x} set-up {call.count} refused with cause {cause}")
        self.send_refusal(call, cause, note)

    def send_refusal(self, call: Call, cause: int, note: str = "") -> None:
        parameters = [(P_CAUSE, bytes((cause,)))] + ([(P_NOTE, note.encode())] if note else [])
        call.link.send(RELEASE, call.id, *parameters)

    def end(self, call: Call, cause: int = 16) -> None:
        """End a call that stands, and say so."""
        if call.over:
            return
        self.finish(call)
        link = call.link if call.link.open else next((one for one in self.links if one.open), None)
        self.log(f"{call.id:016x} is over; release {cause} on link {link.number if link else 'none'}")
        if link is not None:
            link.send(RELEASE, call.id, (P_CAUSE, bytes((cause,))))
        self.unsent_releases.append((call.id, cause))

    def finish(self, call: Call) -> None:
        call.over = True
        if self.calls.get(call.id) is call:
            del self.calls[call.id]

    async def die(self) -> None:
        """The process dies: its connections are reset, its calls are cut, and it listens no longer."""
        self.log("dies")
        if self.server is not None:
            self.server.close()
            self.server = None
        for call in list(self.calls.values()):
            self.finish(call)
        self.unsent_releases = []
        for link in list(self.links):
            link.reset()


# --- Event bus --------------------------------------------------------------------------------------------


def entry(
    desk: Desk | None, exchange: int, uid: str, state: str = "in_service", boot_ms: int = 0, address: str = ""
) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": address or (desk.address if desk else ""),
        "az": "fukuoka",
        "model": "std",
        "pod_group": exchange,
        "state": state,
        "capacity_hint": 1,
        "boot_ms": boot_ms,
    }


class Bus:
    """An event bus: tells what is published, and a comment each second.

    ``slow_s``: how long a read waits for its turn before its response begins.
    """

    def __init__(self, record: Record, first: int = 1, slow_s: float = 0.0) -> None:
        self.record, self.offset, self.slow_s = record, first, slow_s
        self.events: list[dict[str, Any]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = next(
                (int(line.split(":")[1]) for line in head.split("\r\n") if line.startswith("last-event-id")),
                0,
            )
            ended = asyncio.ensure_future(reader.read(1))
            self.record(f"bus: asked for what follows event {last}")
            if self.slow_s and (await asyncio.wait([ended], timeout=self.slow_s))[0]:
                self.record("bus: the reader has gone before its turn")
                return
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            writer.write(b": \n\n")
            self.record(f"bus: answers the read that follows event {last}")
            for event in self.events:
                if event["offset"] > last:
                    self._tell(writer, event)
            self.writers.append(writer)
            while not (await asyncio.wait([ended], timeout=1.0))[0]:
                writer.write(b": \n\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if writer in self.writers:
                self.writers.remove(writer)
            writer.close()

    def _tell(self, writer: asyncio.StreamWriter, event: dict[str, Any]) -> None:
        writer.write(f"id: {event['offset']}\ndata: {json.dumps(event)}\n\n".encode())

    def publish(self, targets: list[dict[str, Any]]) -> None:
        self.offset += 1
        event = {"offset": self.offset, "topology": {"rev": self.offset, "all": False, "targets": targets}}
        self.events.append(event)
        self.record(f"bus: event {self.offset}: " + ", ".join(f"{t['uid']} {t['state']}" for t in targets))
        for writer in self.writers:
            self._tell(writer, event)


# --- The controller ---------------------------------------------------------------------------------------

CLASSES = (("status-report", 1.0, 2000), ("alarm-video", 4.0, 2500), ("engineer-call", 3.0, 2000))


def settings(controllers: int, cold_s: float = 15.0) -> dict[str, Any]:
    """The settings of the deployment kyushu-monitoring, as in WIRE-arrowrail.md."""
    return {
        "classes": [
            {
                "name": name,
                "worth": worth,
                "late-share": 0.25,
                "objective-ns": aim_ms * MS,
                "deadline-ns": 9000 * MS,
                "repeat": "free",
                "dedup-scope": "all",
                "window-ns": 5000 * MS,
                "streamed": True,
            }
            for name, worth, aim_ms in CLASSES
        ],
        "clients": {"marks-retry": True},
        "contract": {
            "answer-slack-ns": 20 * MS,
            "cold-ns": int(cold_s * 1000) * MS,
            "drain-grace-ns": 500 * MS,
            "fall-multiple": 4.0,
            "fall-ns": 3000 * MS,
            "must-ask-in-ns": 10000 * MS,
            "start-capacity": 0.31,
        },
        "discovery": "push",
        "domain-type": "trunks",
        "family-info": {
            "advice": False,
            "class-hold-ns": [10700 * MS, 10700 * MS, 16000 * MS],
            "far-reports": "silent",
            "layout": "meshed",
            "pools-by-class": [],
            "release-ns": 300 * MS,
            "resend-ns": 400 * MS,
            "retry-hint": True,
            "self-no": 0,
            "widths": [1, 2, 1],
        },
        "flavors": ["standard"],
        "goal": {"whole": 0.45, "worst-class": 0.2, "worst-tenant": 0.0, "worst-window": 0.35},
        "instances": controllers,
        "rank": 0,
        "period-ns": 5 * MS,
        "policy-limits": {
            "conn-idle-ns": 600_000 * MS,
            "connect-timeout-ns": 500 * MS,
            "max-attempts": 4,
            "max-open": 20000,
            "max-retry-after-ns": 2000 * MS,
            "may-cancel": True,
            "may-probe": False,
            "may-tell": False,
            "parallel-tries": False,
            "retry-after": True,
            "streams-per-conn": 1048576,
        },
        "report": {"fields": ["spare", "total"], "source": "pull"},
        "tenants": [],
        "tier": 0,
        "tiers": ["desk-exchanges"],
        "weight-source": "silent",
        "worth-by": "request",
        "zone": "fukuoka",
        "zones": ["fukuoka", "kumamoto", "kagoshima"],
    }


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


class Controller:
    """One call controller, started as the platform starts it."""

    def __init__(
        self,
        record: Record,
        bus: str,
        targets: list[dict[str, Any]],
        controllers: int = 0,
        sockets: int = 384,
    ) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.path = self.folder / "config.json"
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "bus": bus,
            "known": {
                "offset": 1,
                "batch": [{"offset": 1, "topology": {"rev": 1, "all": True, "targets": targets}}],
            },
            "settings": settings(controllers or len(targets)),
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def write(self) -> None:
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(self.config))
        os.replace(new, self.path)

    async def start(self) -> None:
        self.write()
        self.starts += 1
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        work = self.folder / f"tmp{self.starts}"
        work.mkdir()
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "LANG": "C.UTF-8",
            "TMPDIR": str(work),
            "PROXY_NAME": "n0",
            "PROXY_LISTEN": self.config["listen"],
            "PROXY_CONFIG": str(self.path),
        }
        if "ARROWRAIL_LOG" in os.environ:
            environment["ARROWRAIL_LOG"] = os.environ["ARROWRAIL_LOG"]
        self.log_path = self.folder / f"log{self.starts}"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record(f"controller: started ({self.starts})")
        give_up = time.time() + 30
        while True:
            if self.process.poll() is not None:
                raise NotRun("the controller ended at its start: " + self.log_path.read_text()[-400:])
            if time.time() > give_up:
                raise NotRun("the controller was not ready within 30 s")
            try:
                caller = await Caller.connect(self.record, self.port, "front")
            except OSError:
                await asyncio.sleep(0.05)
                continue
            ready = await caller.test()
            caller.close()
            if ready:
                self.record("controller: ready, test passed")
                return
            await asyncio.sleep(0.1)

    def send_signal(self, number: int) -> None:
        self.record(f"platform: signal {signal.Signals(number).name} to the controller")
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def exit_code(self) -> int | None:
        return self.process.poll() if self.process is not None else None

    def stop(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_text(self) -> str:
        return "".join(p.read_text(errors="replace") for p in sorted(self.folder.glob("log*")))


# --- Callers ----------------------------------------------------------------------------------------------


class Answer:
    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status, self.headers, self.body, self.at = status, headers, body, time.time()


class Caller:
    """A sound caller's connection: sends set-ups, confirms final answers, hears releases."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.answers: dict[str, list[Answer]] = {}  # final answers to INVITE by call id
        self.releases: dict[str, float] = {}  # time of the BYE by call id
        self.events = asyncio.Event()
        self.tests = 0
        self.sent: dict[str, float] = {}
        self.closed_at = 0.0
        self.silent = False  # says and confirms nothing

    @classmethod
    async def connect(cls, record: Record, port: int, name: str) -> Caller:
        caller = cls(record, name)
        caller.reader, caller.writer = await asyncio.open_connection("127.0.0.1", port)
        caller.task = asyncio.ensure_future(caller._read())
        return caller

    async def _read(self) -> None:
        try:
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head[:-4].split("\r\n")
                headers = {
                    n.strip().lower(): v.strip() for n, _, v in (line.partition(":") for line in lines)
                }
                body = await self.reader.readexactly(int(headers["content-length"]))
                self._message(first, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if not self.closed_at:
                self.closed_at = time.time()
                if self.name != "front":
                    self.record(f"{self.name}: connection ended by the other side")
            self.events.set()

    def _message(self, first: str, headers: dict[str, str], body: bytes) -> None:
        call, method = headers.get("call-id", ""), headers.get("cseq", "").rpartition(" ")[2]
        if first.startswith("SIP/2.0 "):
            status = int(first.split(" ")[1])
            if method == "OPTIONS":
                self.tests = status
            elif method == "INVITE" and status >= 200:
                self.record(f"{self.name}: {call} answered {status} {body[:60]!r}")
                self.answers.setdefault(call, []).append(Answer(status, headers, body))
                self.send("ACK", "sip:x@net", call, 1)
            elif method in ("BYE", "CANCEL"):
                self.record(f"{self.name}: {call} {status} to {method}")
        elif first.startswith("BYE "):
            self.record(f"{self.name}: {call} released by the controller, {headers.get('reason')}")
            self.releases.setdefault(call, time.time())
            lines = [
                "SIP/2.0 200 OK",
                *(f"{n}: {headers[n.lower()]}" for n in ("Via", "Call-ID", "CSeq")),
                "Content-Length: 0",
            ]
            self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.events.set()
        self.events.clear()

    def send(
        self, method: str, uri: str, call: str, cseq: int, headers: tuple[str, ...] = (), body: str = ""
    ) -> None:
        lines = [
            f"{method} {uri} SIP/2.0",
            "Via: SIP/2.0/TCP peer",
            f"Call-ID: {call}",
            f"CSeq: {cseq} {method}",
            *headers,
            f"Content-Length: {len(body)}",
        ]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())

    def invite(
        self,
        call: str,
        dest: int,
        class_name: str = "status-report",
        patience_ms: int = 3000,
        number: str = "",
    ) -> None:
        width = 2 if class_name == "alarm-video" else 1
        self.record(f"{self.name}: {call} set-up to exchange {dest}, {class_name}, waits {patience_ms} ms")
        self.sent[call] = time.time()
        self.send(
            "INVITE",
            f"sip:{number or call}@net",
            call,
            1,
            (
                f"Subject: {class_name}",
                f"X-Patience: {patience_ms}",
                f"X-Facts: dest:{dest};width:{width};via:-1",
            ),
            f"{call}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0 8 101\r\n",
        )

    def cancel(self, call: str) -> None:
        self.record(f"{self.name}: {call} gives the set-up up")
        self.send("CANCEL", "sip:x@net", call, 1)

    def release(self, call: str) -> None:
        self.record(f"{self.name}: {call} releases the call")
        self.send("BYE", "sip:x@net", call, 2, ("Reason: Q.850;cause=16",))

    async def test(self) -> bool:
        self.send("OPTIONS", "sip:ping@net", "0" * 16, 1)
        await until(lambda: self.tests or self.closed_at, 2.0)
        return self.tests == 200

    def close(self) -> None:
        if not self.closed_at:
            self.closed_at = time.time()
            if self.name != "front":
                self.record(f"{self.name}: closes its connection")
        self.writer.close()


def later(delay_s: float, callback: Callable[[], Any]) -> None:
    asyncio.get_running_loop().call_later(delay_s, callback)


async def until(condition: Callable[[], Any], timeout_s: float) -> bool:
    """Wait until the condition holds; return whether it did in time."""
    end = time.time() + timeout_s
    while not condition():
        if time.time() > end:
            return False
        await asyncio.sleep(0.005)
    return True


def run_case(folder: Path, case: Callable[[Record, list[Controller]], Any]) -> int:
    """Run a case for 110 s at most; it returns the list of what broke the rule."""
    record, started = Record(folder), list[Controller]()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def limited() -> list[str]:
        asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
        return await asyncio.wait_for(case(record, started), 110)

    try:
        broken = asyncio.run(limited())
        code = BROKEN if broken else HELD
        for text in broken:
            record(f"BROKEN: {text}")
            print(f"BROKEN: {text}")
    except (NotRun, OSError, TimeoutError, AssertionError, KeyError) as error:
        record(f"not run: {error!r}")
        print(f"not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    finally:
        for controller in started:
            controller.stop()
    record(f"exit {code}")
    print(f"exit {code}")
    return code
