"""Real processes for tests: a controller, started as the platform does, and stand-in servers.

Each server is reached through a route of the fault-injecting proxy, so that a test can inject network faults
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

HOLD_MS = 60_000  # far longer than any test: no call ends by itself
DISCOVERY_DOWN = "127.0.0.1:9"  # discovery is unreachable: nothing listens there
CLASS = "check"  # the class of the calls that tests.live's callers place


@dataclass(slots=True)
class Scenario:
    """A running controller and its servers, each reached through its own route of the proxy."""

    processes: ProcessManager
    controller_port: int
    exchange_count: int
    spare_address: str  # a server that no route leads to, for use as a successor
    addresses: dict[str, str]  # of the routes, as the list has them

    def inject_fault(self, route: str, mode: str, **options: object) -> float:
        """Inject a fault, and return the time at which the command was sent."""
        now = time.monotonic()
        self.processes.send_line("proxy", json.dumps({"route": route, "do": mode, **options}).encode())
        return now

    def publish(self, server: Server) -> None:
        """Publish an entry of the exchange list on the event bus."""
        self.processes.send_line("bus", json.dumps([server.to_entry()]).encode())

    def establish_calls(self, caller: Caller, first: int, count: int, exchange: int) -> list[str]:
        """Place calls to an exchange, and return the ids of the established ones."""
        established = []
        for call in (f"{first + n:016x}" for n in range(count)):
            caller.invite(call, exchange=exchange, patience_ms=3000)
            if caller.receive_response(call).status == 200:
                established.append(call)
        return established


@contextmanager
def start_scenario(
    folder: Path,
    exchanges: int = 2,
    deadline_ms: int = 3000,
    hold_ms: int = HOLD_MS,
    discovery: bool = False,
) -> Iterator[Scenario]:
    """Start a controller with one server per exchange and a spare one, and end all processes afterwards.

    ``discovery``: whether there is an event bus; without one, discovery is unreachable.
    """
    *ports, spare_port, bus_port, controller_port = free_ports(2 * exchanges + 3)
    server_ports, proxy_ports = ports[:exchanges], ports[exchanges:]
    names = [f"s{n + 1}" for n in range(exchanges)]
    servers = tuple(
        Server(name, f"127.0.0.1:{port}", n + 1)
        for n, (name, port) in enumerate(zip(names, proxy_ports, strict=True))
    )
    deployment = Deployment(classes=(CallClassConfig(CLASS, deadline_ms, hold_ms=HOLD_MS),), servers=servers)
    with ProcessManager(folder) as processes:
        for name, port in zip([*names, "spare"], [*server_ports, spare_port], strict=True):
            processes.start(
                name, "arrowrail.lab.exchange", "--listen", f"127.0.0.1:{port}",
                "--ledger", str(folder / f"{name}.jsonl"), "--hold-ms", str(hold_ms),
            )  # fmt: skip
        routes = [
            f"{name}=127.0.0.1:{proxy_port}=127.0.0.1:{server_port}"
            for name, proxy_port, server_port in zip(names, proxy_ports, server_ports, strict=True)
        ]
        processes.start("proxy", "arrowrail.lab.proxy", "--ledger", str(folder / "proxy.jsonl"), *routes)
        if discovery:
            processes.start("bus", "arrowrail.lab.bus", "--listen", f"127.0.0.1:{bus_port}", "--first", "2",
                            "--ledger", str(folder / "bus.jsonl"))  # fmt: skip
            wait_until(lambda: is_listening(bus_port), "the bus")
        for port in (*server_ports, *proxy_ports, spare_port):
            wait_until(lambda port=port: is_listening(port), "a server")  # type: ignore[misc]
        bus_address = f"127.0.0.1:{bus_port}" if discovery else DISCOVERY_DOWN
        config = controller_config(deployment, "n0", f"127.0.0.1:{controller_port}", bus_address)
        environment = write_config(folder / "n0.json", config)
        processes.start("n0", "arrowrail", environment=environment | {"ARROWRAIL_LOG": "DEBUG"})
        wait_until(lambda: is_listening(controller_port), "the controller")
        addresses = {server.uid: server.address for server in servers}
        yield Scenario(processes, controller_port, exchanges, f"127.0.0.1:{spare_port}", addresses)
