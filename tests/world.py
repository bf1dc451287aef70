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

from arrowrail.lab.platform import CallClassPlan, Deployment, Server, configuration, write_configuration
from arrowrail.lab.processes import Crew, free_ports, listens, until
from tests.live import Caller

HOLD_MS = 60_000  # far longer than the test: no call ends by itself
NOWHERE = "127.0.0.1:9"  # discovery is down: nobody listens there
CLASS = "check"  # what tests.live's callers ask for


@dataclass(slots=True)
class World:
    """One controller between a caller and servers, each behind its own route of the proxy."""

    crew: Crew
    controller: int  # its port
    exchanges: int

    def fault(self, route: str, mode: str, **more: object) -> float:
        """Play a fault; returns the time at which it was asked for."""
        now = time.monotonic()
        self.crew.tell("proxy", json.dumps({"route": route, "do": mode, **more}).encode())
        return now

    def stand(self, caller: Caller, first: int, count: int, exchange: int) -> list[str]:
        """Set calls up at an exchange; returns the ids of those that stand."""
        standing = []
        for call in (f"{first + n:016x}" for n in range(count)):
            caller.invite(call, dest=exchange, patience=3000)
            if caller.answer(call).status == 200:
                standing.append(call)
        return standing


@contextmanager
def world(
    folder: Path, exchanges: int = 2, deadline_ms: int = 3000, hold_ms: int = HOLD_MS
) -> Iterator[World]:
    ports = free_ports(2 * exchanges + 1)
    inner, outer, controller = ports[:exchanges], ports[exchanges : 2 * exchanges], ports[-1]
    names = [f"s{n + 1}" for n in range(exchanges)]
    servers = tuple(
        Server(name, f"127.0.0.1:{port}", n + 1)
        for n, (name, port) in enumerate(zip(names, outer, strict=True))
    )
    deployment = Deployment(classes=(CallClassPlan(CLASS, deadline_ms, hold_ms=HOLD_MS),), servers=servers)
    with Crew(folder) as crew:
        for name, port in zip(names, inner, strict=True):
            crew.start(name, "arrowrail.lab.exchange", "--listen", f"127.0.0.1:{port}",
                       "--ledger", str(folder / f"{name}.jsonl"), "--hold-ms", str(hold_ms))  # fmt: skip
        routes = [
            f"{name}=127.0.0.1:{front}=127.0.0.1:{back}"
            for name, front, back in zip(names, outer, inner, strict=True)
        ]
        crew.start("proxy", "arrowrail.lab.proxy", "--ledger", str(folder / "proxy.jsonl"), *routes)
        for port in (*inner, *outer):
            until(lambda port=port: listens(port), "a server")  # type: ignore[misc]
        told = configuration(deployment, "n0", f"127.0.0.1:{controller}", NOWHERE)
        environment = write_configuration(folder / "n0.json", told)
        crew.start("n0", "arrowrail", environment=environment | {"ARROWRAIL_LOG": "DEBUG"})
        until(lambda: listens(controller), "the controller")
        yield World(crew, controller, exchanges)
