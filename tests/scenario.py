"""Real processes for tests: the program as the platform starts it, between a test's callers and stand-in
servers.

Each server stands behind a route of the project's proxy, so that a test can play faults of the network
between the controller and one server.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from arrowrail.lab.platform import CallClassConfig, Deployment, Server, controller_config, write_config
from arrowrail.lab.processes import ProcessManager, free_ports, is_listening, wait_until
from tests.live import Caller

HOLD_MS = 60_000  # far longer than the test: no call ends by itself
NOWHERE = "127.0.0.1:9"  # discovery is down: nobody listens there
CLASS = "check"  # what tests.live's callers ask for


@dataclass(slots=True)
class Scenario:
    """One controller between a caller and servers, each behind its own route of the proxy."""

    processes: ProcessManager
    controller_port: int  # its port
    exchange_count: int

    def inject_fault(self, route: str, mode: str, **more: object) -> float:
        """Play a fault; returns the time at which it was asked for."""
        now = time.monotonic()
        self.processes.send_line("proxy", json.dumps({"route": route, "do": mode, **more}).encode())
        return now

    def establish_calls(self, caller: Caller, first: int, count: int, exchange: int) -> list[str]:
        """Set calls up at an exchange; returns the ids of those that stand."""
        standing = []
        for call in (f"{first + n:016x}" for n in range(count)):
            caller.invite(call, exchange=exchange, patience_ms=3000)
            if caller.receive_response(call).status == 200:
                standing.append(call)
        return standing


@contextmanager
def start_scenario(
    folder: Path, exchanges: int = 2, deadline_ms: int = 3000, hold_ms: int = HOLD_MS
) -> Iterator[Scenario]:
    ports = free_ports(2 * exchanges + 1)
    inner, outer, controller = ports[:exchanges], ports[exchanges : 2 * exchanges], ports[-1]
    names = [f"s{n + 1}" for n in range(exchanges)]
    servers = tuple(
        Server(name, f"127.0.0.1:{port}", n + 1)
        for n, (name, port) in enumerate(zip(names, outer, strict=True))
    )
    deployment = Deployment(classes=(CallClassConfig(CLASS, deadline_ms, hold_ms=HOLD_MS),), servers=servers)
    with ProcessManager(folder) as processes:
        for name, port in zip(names, inner, strict=True):
            processes.start(name, "arrowrail.lab.exchange", "--listen", f"127.0.0.1:{port}",
                       "--ledger", str(folder / f"{name}.jsonl"), "--hold-ms", str(hold_ms))  # fmt: skip
        routes = [
            f"{name}=127.0.0.1:{front}=127.0.0.1:{back}"
            for name, front, back in zip(names, outer, inner, strict=True)
        ]
        processes.start("proxy", "arrowrail.lab.proxy", "--ledger", str(folder / "proxy.jsonl"), *routes)
        for port in (*inner, *outer):
            wait_until(lambda port=port: is_listening(port), "a server")  # type: ignore[misc]
        told = controller_config(deployment, "n0", f"127.0.0.1:{controller}", NOWHERE)
        environment = write_config(folder / "n0.json", told)
        processes.start("n0", "arrowrail", environment=environment | {"ARROWRAIL_LOG": "DEBUG"})
        wait_until(lambda: is_listening(controller), "the controller")
        yield Scenario(processes, controller, exchanges)
