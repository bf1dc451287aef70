"""The drill of hostile clients: what a sound caller and the memory of a controller suffer beside them.

For each case a controller with one exchange is started anew, the hostile clients run for some seconds, and a
sound caller sends a test and a set-up in turn over one connection.  A last case has clients that write many
set-ups and close at once, and counts the set-ups that reach the exchange too late.
"""

from __future__ import annotations

import random
import socket
import statistics
import time
from dataclasses import dataclass
from pathlib import Path

from arrowrail.lab.drills import DrillResult
from arrowrail.lab.event_log import read_events
from arrowrail.lab.platform import Deployment, Server, controller_config, write_config
from arrowrail.lab.processes import ProcessManager, free_ports, is_listening, wait_until
from arrowrail.wire.sip import messages as sip

LOOPBACK = "127.0.0.1"
SOCKETS = 1024
MEMORY_LIMIT_MB = 192  # as in the configuration of the controllers
MAX_MEMORY_MB = MEMORY_LIMIT_MB / 2
MAX_ANSWER_MS = 1_000.0  # of the sound caller's slowest answer
# PROTOCOL: a set-up that crosses a close within 50 ms may be sent on.
MAX_SENT_ON_MS = 50.0
ATTACK_S, SHORT_ATTACK_S = 6.0, 3.0
CALL_INTERVAL_S = 0.02
ANSWER_TIMEOUT_S = 5.0
CLOSING_CLIENTS, SET_UPS_PER_CLIENT = 8, 20
SETTLE_S = 1.0


@dataclass(frozen=True, slots=True)
class Attack:
    """One kind of hostile clients and how many of them there are."""

    kind: str
    connections: int

    @property
    def name(self) -> str:
        return f"{self.kind} x {self.connections}"


ATTACKS = (
    Attack("fields", 340), Attack("fields", 1), Attack("field_set_ups", 340), Attack("half", 340),
    Attack("trickle", 340), Attack("options", 1), Attack("options", 340), Attack("unsound", 1),
    Attack("set_ups", 1), Attack("classes", 1),
)  # fmt: skip

BUSY = Attack("fields", 60)  # beside the clients that close early


class Trial:
    """A controller with one exchange, as processes of their own."""

    def __init__(self, folder: Path, processes: ProcessManager) -> None:
        self.folder, self.processes = folder, processes
        self.port, exchange_port = free_ports(2)
        self.address = f"{LOOPBACK}:{self.port}"
        processes.start(
            "exchange", "arrowrail.lab.exchange", "--listen", f"{LOOPBACK}:{exchange_port}", "--name", "s1",
            "--ledger", str(folder / "s1.jsonl"), "--circuits", "5000", "--set-up-ms", "0",
            "--hold-ms", "300",
        )  # fmt: skip
        wait_until(lambda: is_listening(exchange_port), "the exchange")
        deployment = Deployment(sockets=SOCKETS, servers=(Server("s1", f"{LOOPBACK}:{exchange_port}", 1),))
        environment = write_config(folder / "n0.json", controller_config(deployment, "n0", self.address, ""))
        self.controller = processes.start("n0", "arrowrail", environment=environment)
        wait_until(lambda: is_listening(self.port), "the controller")

    def peak_memory_mb(self) -> float:
        """Return the highest resident memory so far, in MB; the limit if the process has ended."""
        try:
            status = Path(f"/proc/{self.controller.pid}/status").read_text()
        except OSError:
            return float(MEMORY_LIMIT_MB)
        peak = next((line for line in status.splitlines() if line.startswith("VmHWM")), "")
        return int(peak.split()[1]) / 1024 if peak else float(MEMORY_LIMIT_MB)


class SoundCaller:
    """Sends one request at a time over one connection and measures the time to its response."""

    def __init__(self, port: int, seed: int) -> None:
        self.random, self.port = random.Random(seed), port
        self._connect()
        self.delays_ms: list[float] = []
        self.unanswered = 0

    def _connect(self) -> None:
        self.sock = socket.create_connection((LOOPBACK, self.port), ANSWER_TIMEOUT_S)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.parser = sip.SipParser()

    def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self._measure("OPTIONS")
            self._measure("INVITE")
            time.sleep(CALL_INTERVAL_S)

    def _measure(self, method: str) -> None:
        call_id = f"{self.random.getrandbits(64):016x}"
        started = time.monotonic()
        try:
            self.sock.sendall(set_up(call_id) if method == "INVITE" else test_request(call_id))
            while not self._is_answered(call_id, method):
                pass
        except OSError:
            self.unanswered += 1
            self.sock.close()
            self._connect()
        self.delays_ms.append((time.monotonic() - started) * 1000)

    def _is_answered(self, call_id: str, method: str) -> bool:
        data = self.sock.recv(65536)
        if not data:
            raise ConnectionResetError("the controller closed the connection")
        answered = False
        for message in self.parser.feed(data):
            assert isinstance(message, sip.SipMessage)
            if message.method == "BYE":
                self.sock.sendall(sip.response(200, message))
            elif message.call_id == call_id and message.cseq_method == method:
                answered = True
                if message.status == 200 and method == "INVITE":
                    self.sock.sendall(sip.request("ACK", "sip:ab@net", "peer", call_id, 1))
        return answered


def test_request(call_id: str) -> bytes:
    return sip.request("OPTIONS", "sip:ping@net", "peer", call_id, 1)


def set_up(call_id: str, padding: int = 0) -> bytes:
    body = b"c=IN IP4 127.0.0.1\r\n" + b"x" * padding
    head = (
        f"INVITE sip:ab@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\nCSeq: 1 INVITE\r\n"
        "Subject: voice\r\nX-Patience: 2000\r\nX-Facts: dest:1;width:1;via:-1\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def run_attack(attack: Attack, seed: int, folder: Path, seconds: float) -> tuple[dict[str, float], list[str]]:
    """Run one kind of hostile clients; return the figures and the violations."""
    folder.mkdir()
    with ProcessManager(folder) as processes:
        trial = Trial(folder, processes)
        caller = SoundCaller(trial.port, seed)
        caller.run(0.5)
        before_ms = statistics.median(caller.delays_ms)
        caller.delays_ms.clear()
        processes.start(
            "clients", "arrowrail.lab.hostile_clients", "--to", trial.address, "--kind", attack.kind,
            "--connections", str(attack.connections), "--seconds", str(seconds), "--seed", str(seed),
        )  # fmt: skip
        caller.run(seconds)
        figures = {
            "median_before_ms": before_ms, "median_ms": statistics.median(caller.delays_ms),
            "slowest_ms": max(caller.delays_ms), "unanswered": caller.unanswered,
            "peak_memory_mb": trial.peak_memory_mb(),
        }  # fmt: skip
        violations = [f"{attack.name}: {text}" for text in processes.unexpected_exits() if "n0" in text]
    if figures["peak_memory_mb"] > MAX_MEMORY_MB:
        violations.append(f"{attack.name}: {figures['peak_memory_mb']:.0f} MB, {MAX_MEMORY_MB:.0f} allowed")
    if figures["slowest_ms"] > MAX_ANSWER_MS or caller.unanswered:
        violations.append(f"{attack.name}: a sound caller waited {figures['slowest_ms']:.0f} ms")
    return {key: round(value, 1) for key, value in figures.items()}, violations


def run_early_close(seed: int, folder: Path) -> tuple[dict[str, int], list[str]]:
    """Write many set-ups, close at once, and send them again; return the figures and the violations."""
    folder.mkdir()
    rng = random.Random(seed)
    closed_ns: dict[str, int] = {}
    with ProcessManager(folder) as processes:
        trial = Trial(folder, processes)
        caller = SoundCaller(trial.port, seed)
        caller.run(0.2)
        processes.start(
            "clients", "arrowrail.lab.hostile_clients", "--to", trial.address, "--kind", BUSY.kind,
            "--connections", str(BUSY.connections), "--seconds", "3", "--seed", str(seed),
        )  # fmt: skip
        time.sleep(SETTLE_S)
        clients = [socket.create_connection((LOOPBACK, trial.port)) for _ in range(CLOSING_CLIENTS)]
        calls = [[f"{rng.getrandbits(64):016x}" for _ in range(SET_UPS_PER_CLIENT)] for _ in clients]
        for client, own_calls in zip(clients, calls, strict=True):
            client.sendall(b"".join(set_up(call_id, padding=14_000) for call_id in own_calls))
        for client, own_calls in zip(clients, calls, strict=True):
            client.close()
            closed_ns.update(dict.fromkeys(own_calls, time.time_ns()))
        time.sleep(SETTLE_S)
    events = [event for event in read_events(folder / "s1.jsonl") if event["what"] == "set_up"]
    late = [
        event for event in events
        if event["call"] in closed_ns and event["t"] - closed_ns[event["call"]] > MAX_SENT_ON_MS * 1e6
    ]  # fmt: skip
    figures = {
        "set_ups": len(closed_ns),
        "sent_on": sum(1 for event in events if event["call"] in closed_ns),
        "sent_on_late": len(late),
    }
    violations = [f"early close: {len(late)} set-ups sent on over 50 ms after the close"] if late else []
    return figures, violations


def run_drill(seed: int, folder: Path, short: bool) -> DrillResult:
    """Run all cases, one after the other."""
    metrics: dict[str, object] = {}
    violations: list[str] = []
    for number, attack in enumerate(ATTACKS):
        figures, found = run_attack(attack, seed, folder / str(number), SHORT_ATTACK_S if short else ATTACK_S)
        metrics[attack.name] = figures
        violations += found
    for number in range(3):
        counts, found = run_early_close(seed + number, folder / f"close-{number}")
        metrics[f"early close {number}"] = counts
        violations += found
    return DrillResult("hostile", seed, violations, metrics)
