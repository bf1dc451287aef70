"""Plays a plan with real processes, and writes down what it did when.

For each controller there are stand-in callers, a discovery of its own and, through the proxy, an address of
its own for every server, as on the platform.  The player decides nothing about right and wrong: it only notes
times.
"""

from __future__ import annotations

import heapq
import itertools
import resource
import signal
import subprocess
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from pathlib import Path

import orjson

from arrowrail.lab.event_log import EventLog
from arrowrail.lab.platform import Deployment, Server, controller_config, write_config
from arrowrail.lab.processes import ProcessManager, free_ports, is_listening, wait_until
from arrowrail.lab.soak.plan import TAIL_S, Fault, Plan, controller_names, server_names

LOOPBACK = "127.0.0.1"
SAMPLE_S = 0.5
LONGEST_COUNTED_S, AFTER_DEADLINE_S = 3.0, 0.7  # PROTOCOL: SIGTERM to SIGKILL
CONNECTS_S = 0.3  # PROTOCOL: new connections after SIGTERM, 0.2 to 0.4 s
LAST_SEND_S = 0.25  # before the kill: nobody could answer what comes later
START_AGAIN_S = 0.3
MOVE_CLOSE_S = 1.5  # LATER: the old discovery closes its connections so long after SIGHUP
SILENT_NOTICE_S = 4.0  # the least that discovery takes to notice a silent server
IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"
CONTROLLER_MODULE = ("arrowrail",)


@dataclass(slots=True)
class RunningController:
    """One controller, its address, and which of its two discovery addresses its configuration names."""

    name: str
    port: int
    rank: int
    discovery: dict[str, int]  # the ports of the routes to its discovery
    bus_port: int
    uses: str = "a"
    event: int = 1  # the last event that its discovery holds
    servers: dict[str, Server] = field(default_factory=dict)  # as its discovery lists them
    leaving: bool = False  # told to end, or killed


def successor(server: str) -> str:
    """The name of the server that takes the place of another."""
    return f"{server}-r"


def _ports_needed(plan: Plan) -> int:
    servers = 2 * plan.servers  # each may have a successor
    return servers + plan.controllers * (servers + 4)  # and a controller, its discovery and two routes to it


class TrialRunner:
    """One trial."""

    def __init__(self, plan: Plan, folder: Path, program: tuple[str, ...] = CONTROLLER_MODULE) -> None:
        self.plan, self.folder, self.program = plan, folder, program
        self.processes = ProcessManager(folder)
        self.ledger = EventLog(folder / "player.jsonl")
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.began = 0.0
        self.dead_servers: set[str] = set()
        self._ports = iter(free_ports(_ports_needed(plan)))
        names = server_names(plan.servers)
        self.server_ports = {name: next(self._ports) for name in (*names, *map(successor, names))}
        self.routes: list[str] = []
        self.controllers = [self._controller(rank) for rank in range(plan.controllers)]

    def _controller(self, rank: int) -> RunningController:
        name = controller_names(self.plan.controllers)[rank]
        bus_port = next(self._ports)
        discovery = {which: next(self._ports) for which in "ab"}
        for which, port in discovery.items():
            self._route(f"{name}.discovery-{which}", "discovery", port, bus_port)
        servers: dict[str, Server] = {}
        for number, server in enumerate(server_names(self.plan.servers), 1):
            for listed, state in ((server, IN_SERVICE), (successor(server), "")):
                port = next(self._ports)
                servers[listed] = Server(listed, f"{LOOPBACK}:{port}", number, state=state)
                self._route(f"{name}.{listed}", "binary", port, self.server_ports[listed])
        return RunningController(name, next(self._ports), rank, discovery, bus_port, servers=servers)

    def _route(self, name: str, spoken: str, listen: int, upstream: int) -> None:
        # Servers know a controller by its address, as on the platform.
        rank = controller_names(self.plan.controllers).index(name.partition(".")[0])
        source = f"127.0.1.{rank + 1}"
        self.routes.append(f"{name}/{spoken}={LOOPBACK}:{listen}={LOOPBACK}:{upstream}={source}")

    # --- Set-up
    # -----------------------------------------------------------------------------------------------

    def run(self) -> None:
        """From the start of the processes to their end; what they wrote stays in the folder."""
        with self.processes:
            self._start()
            self.began = time.monotonic()
            self.note("began", seconds=self.plan.seconds)
            for fault in self.plan.faults:
                self.at(fault.at_s, lambda fault=fault: self._begin(fault))  # type: ignore[misc]
            self.at(0.0, self._sample)
            self._run(self.plan.seconds + TAIL_S)
            self.note("ended")
            self._end_controllers()
        self.ledger.flush()

    def _start(self) -> None:
        for name in server_names(self.plan.servers):
            self._start_server(name, self.server_ports[name])
        self.processes.start("proxy", "arrowrail.lab.proxy", "--ledger", str(self.folder / "proxy.jsonl"),
                        *self.routes)  # fmt: skip
        for controller in self.controllers:
            self.processes.start(f"{controller.name}.bus", "arrowrail.lab.bus", "--listen",
                            f"{LOOPBACK}:{controller.bus_port}", "--first", "2",
                            "--ledger", str(self.folder / f"{controller.name}.bus.jsonl"))  # fmt: skip
        for port in (c.discovery["a"] for c in self.controllers):
            wait_until(lambda port=port: is_listening(port), "the proxy")  # type: ignore[misc]
        for controller in self.controllers:
            wait_until(lambda c=controller: is_listening(c.bus_port), "discovery")  # type: ignore[misc]
            self._start_controller(controller)
            self._start_callers(controller)
        for controller in self.controllers:
            wait_until(lambda c=controller: is_listening(c.port), "a controller")  # type: ignore[misc]

    def _start_server(self, name: str, port: int) -> None:
        holds = [part for c in self.plan.classes for part in ("--class-hold", f"{c.name}={c.hold_ms}")]
        self.processes.start(
            name, "arrowrail.lab.exchange", "--listen", f"{LOOPBACK}:{port}", "--name", name,
            "--ledger", str(self.folder / f"{name}.jsonl"), "--circuits", str(self.plan.circuits),
            "--seed", str(self.plan.seed), "--set-up-ms", str(self.plan.set_up_ms), *holds,
        )  # fmt: skip
        wait_until(lambda: is_listening(port), f"server {name}")
        self.dead_servers.discard(name)
        self.note("server_started", server=name)

    def deployment(self, controller: RunningController) -> Deployment:
        listed = tuple(s for s in controller.servers.values() if s.state in (IN_SERVICE, TERMINATING))
        return Deployment(
            classes=self.plan.classes, controllers=self.plan.controllers, sockets=self.plan.sockets,
            servers=listed,
        )  # fmt: skip

    def _start_controller(self, controller: RunningController) -> None:
        environment = self._write_configuration(controller)
        child = self.processes.start(
            controller.name, *self.program, environment=environment | {"ARROWRAIL_LOG": "DEBUG"}
        )
        resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (self.plan.sockets, self.plan.sockets))
        controller.leaving = False
        self.note("controller_started", controller=controller.name)

    def _write_configuration(self, controller: RunningController) -> dict[str, str]:
        discovery = f"{LOOPBACK}:{controller.discovery[controller.uses]}"
        value = controller_config(
            self.deployment(controller), controller.name, f"{LOOPBACK}:{controller.port}", discovery,
            controller.rank, controller.event,
        )  # fmt: skip
        return write_config(self.folder / f"{controller.name}.json", value)

    def _start_callers(self, controller: RunningController) -> None:
        plan = self.plan
        classes = [
            part for c in plan.classes for part in ("--class", f"{c.name}={c.deadline_ms}:{4 / c.worth}")
        ]
        exchanges = [part for n in range(plan.servers) for part in ("--exchange", str(n + 1))]
        self.processes.start(
            f"{controller.name}.callers", "arrowrail.lab.soak.callers",
            "--to", f"{LOOPBACK}:{controller.port}",
            "--ledger", str(self.folder / f"{controller.name}.callers.jsonl"),
            "--seed", str(plan.seed * 10 + controller.rank), "--rate", str(plan.rate),
            "--seconds", str(plan.seconds + 2.0), "--short-share", str(plan.short_share),
            "--early-share", str(plan.early_share), "--hang-up-share", str(plan.hang_up_share),
            "--retry-share", str(plan.retry_share), *classes, *exchanges,
        )  # fmt: skip

    # --- Time
    # -------------------------------------------------------------------------------------------------

    def at(self, seconds: float, act: Callable[[], None]) -> None:
        """Do it so many seconds after the start of the trial."""
        heapq.heappush(self.due, (seconds, next(self._order), act))

    def later(self, seconds: float, act: Callable[[], None]) -> None:
        """Do it so many seconds from now."""
        self.at(time.monotonic() - self.began + seconds, act)

    def note(self, what: str, **facts: object) -> None:
        self.ledger.record(what, **facts)
        self.ledger.flush()

    def _run(self, seconds: float) -> None:
        while self.due and self.due[0][0] <= seconds:
            when, _, act = heapq.heappop(self.due)
            time.sleep(max(0.0, self.began + when - time.monotonic()))
            act()
            self._look_for_crashes()
        time.sleep(max(0.0, self.began + seconds - time.monotonic()))
        self._look_for_crashes()

    def _look_for_crashes(self) -> None:
        for controller in self.controllers:
            child = self.processes.running.get(controller.name)
            if child is not None and child.poll() is not None and not controller.leaving:
                controller.leaving = True
                self.note("controller_crashed", controller=controller.name, code=child.returncode)

    def _sample(self) -> None:
        """Memory and descriptors of each controller."""
        for controller in self.controllers:
            child = self.processes.running.get(controller.name)
            if child is not None and child.poll() is None:
                memory, descriptors = _usage(child)
                self.note("usage", controller=controller.name, memory_mb=memory, descriptors=descriptors)
        self.later(SAMPLE_S, self._sample)

    # --- Faults
    # -----------------------------------------------------------------------------------------------

    def _begin(self, fault: Fault) -> None:
        if fault.target in self.dead_servers:
            self.note("fault_passed_over", number=fault.number, kind=fault.kind, target=fault.target)
            return
        self.note("fault", number=fault.number, kind=fault.kind, target=fault.target,
                  seconds=fault.seconds, detail=fault.detail)  # fmt: skip
        acts: dict[str, Callable[[Fault], None]] = {
            "vanish": self._network, "hang": self._network, "one_way": self._network, "reset": self._reset,
            "vanish_for_good": self._vanish_for_good, "die": self._die, "drain": self._drain,
            "replace": self._replace, "discovery_refuse": self._discovery, "discovery_hang": self._discovery,
            "discovery_vanish": self._discovery, "discovery_reset": self._discovery, "reload": self._reload,
            "restart": self._restart, "kill": self._kill, "crowd": self._callers, "rude": self._callers,
        }  # fmt: skip
        acts.get(fault.kind, self._server_fault)(fault)

    def _command_proxy(self, route: str, mode: str, **more: object) -> None:
        self.processes.send_line("proxy", orjson.dumps({"route": route, "do": mode, **more}))

    def _routes_to(self, server: str, mode: str, **more: object) -> None:
        for controller in self.controllers:
            self._command_proxy(f"{controller.name}.{server}", mode, **more)

    def _network(self, fault: Fault) -> None:
        more = {"toward": fault.detail} if fault.kind == "one_way" else {}
        self._routes_to(fault.target, fault.kind, **more)
        self.later(fault.seconds, lambda: self._mend(fault.target))

    def _mend(self, server: str) -> None:
        if server not in self.dead_servers:
            self._routes_to(server, "pass")

    def _reset(self, fault: Fault) -> None:
        self._routes_to(fault.target, "reset")

    def _server_fault(self, fault: Fault) -> None:
        asked = {"fault": fault.kind, "seconds": fault.seconds}
        self.processes.send_line(fault.target, orjson.dumps(asked))

    def _end_server(self, server: str, mode: str) -> None:
        """The machine or its process ends; ``mode`` is what the network shows of it."""
        self.dead_servers.add(server)
        self._routes_to(server, mode)
        self.processes.kill(server)
        self.note("server_ended", server=server, how=mode)

    def _vanish_for_good(self, fault: Fault) -> None:
        self._end_server(fault.target, "vanish")
        self.later(SILENT_NOTICE_S + fault.seconds, lambda: self._list(fault.target, TERMINATED))

    def _die(self, fault: Fault) -> None:
        self._end_server(fault.target, "refuse")

        def back() -> None:
            started_ms = int(time.time() * 1000)
            self._start_server(fault.target, self.server_ports[fault.target])
            self._routes_to(fault.target, "pass")
            self.later(0.5, lambda: self._list(fault.target, IN_SERVICE, started_ms))

        self.later(fault.seconds, back)

    def _drain(self, fault: Fault) -> None:
        self._list(fault.target, TERMINATING)

        def gone() -> None:
            if fault.target not in self.dead_servers:
                self._end_server(fault.target, "refuse")
            self._list(fault.target, TERMINATED)

        self.later(2.0 + fault.seconds, gone)

    def _replace(self, fault: Fault) -> None:
        old, new = fault.target, successor(fault.target)
        if fault.detail == "same_address":
            self._end_server(old, "vanish")
            self.later(3.0, lambda: self._take_over(old, new))
            return
        started_ms = int(time.time() * 1000)
        self._start_server(new, self.server_ports[new])
        self._list(old, TERMINATING)
        self.later(1.0, lambda: self._list(new, IN_SERVICE, started_ms))
        self._drain_end(fault, old)

    def _drain_end(self, fault: Fault, old: str) -> None:
        def gone() -> None:
            if old not in self.dead_servers:
                self._end_server(old, "refuse")
            self._list(old, TERMINATED)

        self.later(2.0 + fault.seconds, gone)

    def _take_over(self, old: str, new: str) -> None:
        """A new server at the address of one that has gone; discovery says so 2 s later."""
        started_ms = int(time.time() * 1000)
        self._start_server(new, self.server_ports[old])
        self._routes_to(old, "pass", forget=True)
        for controller in self.controllers:
            address = controller.servers[old].address
            controller.servers[new] = replace(controller.servers[new], address=address)
            self.note("address_taken", controller=controller.name, route=f"{controller.name}.{old}",
                      server=new)  # fmt: skip

        def told() -> None:
            self._list(old, TERMINATED)
            self._list(new, IN_SERVICE, started_ms)

        self.later(2.0, told)

    def _list(self, server: str, state: str, started_ms: int | None = None) -> None:
        """Discovery of every controller has news of a server."""
        for controller in self.controllers:
            known = controller.servers[server]
            if known.state == TERMINATED:
                continue
            changed = replace(known, state=state)
            if started_ms is not None:
                changed = replace(changed, started_ms=started_ms)
            controller.servers[server] = changed
            controller.event += 1
            self.processes.send_line(f"{controller.name}.bus", orjson.dumps([changed.to_entry()]))
            self.note("listed", controller=controller.name, server=server, state=state,
                      offset=controller.event)  # fmt: skip

    def _discovery(self, fault: Fault) -> None:
        mode = fault.kind.removeprefix("discovery_")
        for controller in self.controllers:
            route = f"{controller.name}.discovery-{controller.uses}"
            self._command_proxy(route, mode)
            if mode != "reset":
                self.later(fault.seconds, lambda route=route: self._command_proxy(route, "pass"))  # type: ignore[misc]

    def _reload(self, fault: Fault) -> None:
        for controller in self.controllers:
            if controller.leaving:
                continue
            old = f"{controller.name}.discovery-{controller.uses}"
            controller.uses = "b" if controller.uses == "a" else "a"
            self._command_proxy(f"{controller.name}.discovery-{controller.uses}", "pass")
            self._write_configuration(controller)
            self.processes.send_signal(controller.name, signal.SIGHUP)
            self._command_proxy(old, "hang")
            self.later(MOVE_CLOSE_S, lambda old=old: self._command_proxy(old, "refuse"))  # type: ignore[misc]

    def _find(self, name: str) -> RunningController:
        return next(c for c in self.controllers if c.name == name)

    def _tell_callers(self, controller: str, **asked: object) -> None:
        self.processes.send_line(f"{controller}.callers", orjson.dumps(asked))

    def _callers(self, fault: Fault) -> None:
        if fault.kind == "crowd":
            self._tell_callers(fault.target, do="crowd", calls=int(fault.detail))
        else:
            self._tell_callers(fault.target, do="rude", how=fault.detail)

    def _restart(self, fault: Fault) -> None:
        controller = self._find(fault.target)
        if controller.leaving:
            return
        longest_s = max(c.deadline_ms for c in self.plan.classes) / 1000
        kill_s = min(longest_s, LONGEST_COUNTED_S) + AFTER_DEADLINE_S
        controller.leaving = True
        self.processes.send_signal(controller.name, signal.SIGTERM)
        self.note("controller_told_to_end", controller=controller.name, kill_s=kill_s)
        self._tell_callers(controller.name, do="shutdown", connect_s=CONNECTS_S, send_s=kill_s - LAST_SEND_S)
        child = self.processes.running[controller.name]
        if fault.detail != "once":
            number = signal.SIGTERM if fault.detail == "twice" else signal.SIGHUP
            self.later(0.3, lambda: None if child.poll() is not None else child.send_signal(number))
        self.later(kill_s, lambda: self._end_controller(controller))

    def _kill(self, fault: Fault) -> None:
        controller = self._find(fault.target)
        if not controller.leaving:
            controller.leaving = True
            self._end_controller(controller)

    def _end_controller(self, controller: RunningController) -> None:
        child = self.processes.running[controller.name]
        ended_by_itself = child.poll()
        if ended_by_itself not in (None, 0):
            self.note("controller_crashed", controller=controller.name, code=ended_by_itself)
        self.processes.kill(controller.name)
        self.note("controller_killed", controller=controller.name, ended=ended_by_itself is not None)
        self._tell_callers(controller.name, do="killed")
        self.later(START_AGAIN_S, lambda: self._start_controller(controller))

    def _end_controllers(self) -> None:
        for controller in self.controllers:
            self._tell_callers(controller.name, do="stop")
            if controller.name in self.processes.running:
                self.processes.kill(controller.name)


def _usage(child: subprocess.Popen[bytes]) -> tuple[float, int]:
    """Resident memory in MB, and open descriptors; zeros for a process that has just ended."""
    try:
        status = Path(f"/proc/{child.pid}/status").read_text()
        resident = next((line for line in status.splitlines() if line.startswith("VmRSS")), "VmRSS: 0 kB")
        return int(resident.split()[1]) / 1024, len(list(Path(f"/proc/{child.pid}/fd").iterdir()))
    except OSError:
        return 0.0, 0
