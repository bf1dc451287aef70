"""Run the plan of a fault trial with real processes and record when it did what.

As on the platform, each controller has its own callers and discovery service, and its own address, through
the proxy, of every server.  The runner checks nothing: it only records events with their times.
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
from arrowrail.lab.soak.plan import DIES, SETTLE_S, Fault, Plan, controller_names, server_names

LOOPBACK = "127.0.0.1"
USAGE_INTERVAL_S = 0.5
# The words in capitals (PROTOCOL, LATER) name the operators' document that sets a time.
# PROTOCOL: SIGKILL follows SIGTERM after the longest deadline (at most 3 s) plus 0.7 s.
MAX_COUNTED_DEADLINE_S, AFTER_DEADLINE_S = 3.0, 0.7
NEW_CONNECTIONS_S = 0.3  # PROTOCOL: callers open new connections for 0.2 to 0.4 s after SIGTERM
LAST_SEND_S = 0.25  # before SIGKILL; the controller could not answer a later request
RESTART_DELAY_S = 0.3
OLD_DISCOVERY_CLOSE_S = 1.5  # LATER: the old discovery service closes its connections this long after SIGHUP
OLD_ENTRY_REMAINS_S = 3.0  # from the listing of a successor to the end of the entry whose address it has
SILENCE_DETECTION_S = 4.0  # the shortest time in which discovery notices a silent server
IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"
CONTROLLER_MODULE = ("arrowrail",)
RESERVED_FOR_CALLERS = 20  # of the third of the descriptors that callers may hold together


@dataclass(slots=True)
class RunningController:
    """State of one controller: its address, its discovery service and whether it is being ended."""

    name: str
    port: int
    rank: int  # index among the controllers, as in its settings
    discovery_ports: dict[str, int]  # of the two routes to its discovery service, "a" and "b"
    bus_port: int
    active_route: str = "a"  # the route that its configuration names
    last_offset: int = 1  # of the last event of its discovery service
    servers: dict[str, Server] = field(default_factory=dict)  # as its discovery service lists them
    stopping: bool = False  # it got SIGTERM, was killed or has crashed


def successor(server: str) -> str:
    """Return the name of the server that replaces another one."""
    return f"{server}-r"


def _ports_needed(plan: Plan) -> int:
    servers = 2 * plan.servers  # each server may get a successor
    return servers + plan.controllers * (servers + 4)  # 4: controller, discovery service, two routes to it


class TrialRunner:
    """Runs one trial: starts the processes, injects the faults on time and ends everything."""

    def __init__(self, plan: Plan, folder: Path, program: tuple[str, ...] = CONTROLLER_MODULE) -> None:
        self.plan, self.folder, self.program = plan, folder, program
        self.processes = ProcessManager(folder)
        self.event_log = EventLog(folder / "player.jsonl")
        # A heap of the time in s, a sequence number and the action.
        self.actions: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.start_time = 0.0
        self.ended_servers: set[str] = set()
        self._ports = iter(free_ports(_ports_needed(plan)))
        names = server_names(plan.servers)
        self.server_ports = {name: next(self._ports) for name in (*names, *map(successor, names))}
        self.routes: list[str] = []
        self.controllers = [self._controller(rank) for rank in range(plan.controllers)]

    def _controller(self, rank: int) -> RunningController:
        name = controller_names(self.plan.controllers)[rank]
        bus_port = next(self._ports)
        discovery_ports = {suffix: next(self._ports) for suffix in "ab"}
        for suffix, port in discovery_ports.items():
            self._add_route(f"{name}.discovery-{suffix}", "discovery", port, bus_port)
        servers: dict[str, Server] = {}
        for number, server in enumerate(server_names(self.plan.servers), 1):
            for listed, state in ((server, IN_SERVICE), (successor(server), "")):
                port = next(self._ports)
                servers[listed] = Server(listed, f"{LOOPBACK}:{port}", number, state=state)
                self._add_route(f"{name}.{listed}", "binary", port, self.server_ports[listed])
        return RunningController(name, next(self._ports), rank, discovery_ports, bus_port, servers=servers)

    def _add_route(self, name: str, protocol: str, listen: int, upstream: int) -> None:
        # Servers identify a controller by its IP address, as on the platform.
        rank = controller_names(self.plan.controllers).index(name.partition(".")[0])
        source = f"127.0.1.{rank + 1}"
        self.routes.append(f"{name}/{protocol}={LOOPBACK}:{listen}={LOOPBACK}:{upstream}={source}")

    # --- Start and end of the processes ---------------------------------------------------------------------

    def run(self) -> None:
        """Run the trial from the start of the processes to their end; event logs and output remain."""
        with self.processes:
            self._start()
            self.start_time = time.monotonic()
            self.record("began", seconds=self.plan.seconds)
            for fault in self.plan.faults:
                self.schedule_at(fault.at_s, lambda fault=fault: self._inject(fault))  # type: ignore[misc]
            self.schedule_at(0.0, self._record_usage)
            self._run_actions(self.plan.seconds + SETTLE_S)
            self.record("ended")
            self._end_controllers()
        self.event_log.flush()

    def _start(self) -> None:
        for name in server_names(self.plan.servers):
            self._start_server(name, self.server_ports[name])
        self.processes.start("proxy", "arrowrail.lab.proxy", "--ledger", str(self.folder / "proxy.jsonl"),
                             *self.routes)  # fmt: skip
        for controller in self.controllers:
            self.processes.start(f"{controller.name}.bus", "arrowrail.lab.bus", "--listen",
                                 f"{LOOPBACK}:{controller.bus_port}", "--first", "2",
                                 "--ledger", str(self.folder / f"{controller.name}.bus.jsonl"))  # fmt: skip
        for port in (c.discovery_ports["a"] for c in self.controllers):
            wait_until(lambda port=port: is_listening(port), "the proxy")  # type: ignore[misc]
        for controller in self.controllers:
            wait_until(lambda c=controller: is_listening(c.bus_port), "discovery")  # type: ignore[misc]
            self._start_controller(controller)
            self._start_callers(controller)
        for controller in self.controllers:
            wait_until(lambda c=controller: is_listening(c.port), "a controller")  # type: ignore[misc]

    def _start_server(self, name: str, port: int) -> None:
        hold_flags = [part for c in self.plan.classes for part in ("--class-hold", f"{c.name}={c.hold_ms}")]
        self.processes.start(
            name, "arrowrail.lab.exchange", "--listen", f"{LOOPBACK}:{port}", "--name", name,
            "--ledger", str(self.folder / f"{name}.jsonl"), "--circuits", str(self.plan.circuits),
            "--seed", str(self.plan.seed), "--set-up-ms", str(self.plan.set_up_ms), *hold_flags,
        )  # fmt: skip
        wait_until(lambda: is_listening(port), f"server {name}")
        self.ended_servers.discard(name)
        self.record("server_started", server=name)

    def deployment(self, controller: RunningController) -> Deployment:
        """Return the deployment that a configuration written now describes."""
        listed = tuple(s for s in controller.servers.values() if s.state in (IN_SERVICE, TERMINATING))
        return Deployment(
            classes=self.plan.classes, controllers=self.plan.controllers, sockets=self.plan.sockets,
            servers=listed,
        )  # fmt: skip

    def _start_controller(self, controller: RunningController) -> None:
        environment = self._write_config(controller)
        child = self.processes.start(
            controller.name, *self.program, environment=environment | {"ARROWRAIL_LOG": "DEBUG"}
        )
        resource.prlimit(child.pid, resource.RLIMIT_NOFILE, (self.plan.sockets, self.plan.sockets))
        controller.stopping = False
        self.record("controller_started", controller=controller.name)

    def _write_config(self, controller: RunningController) -> dict[str, str]:
        discovery = f"{LOOPBACK}:{controller.discovery_ports[controller.active_route]}"
        config = controller_config(
            self.deployment(controller), controller.name, f"{LOOPBACK}:{controller.port}", discovery,
            controller.rank, controller.last_offset,
        )  # fmt: skip
        return write_config(self.folder / f"{controller.name}.json", config)

    def _start_callers(self, controller: RunningController) -> None:
        plan = self.plan
        class_flags = [
            part for c in plan.classes for part in ("--class", f"{c.name}={c.deadline_ms}:{4 / c.worth}")
        ]
        exchange_flags = [part for n in range(plan.servers) for part in ("--exchange", str(n + 1))]
        self.processes.start(
            f"{controller.name}.callers", "arrowrail.lab.soak.callers",
            "--to", f"{LOOPBACK}:{controller.port}",
            "--ledger", str(self.folder / f"{controller.name}.callers.jsonl"),
            "--seed", str(plan.seed * 10 + controller.rank), "--rate", str(plan.rate),
            "--seconds", str(plan.seconds + 2.0), "--short-share", str(plan.short_share),
            "--early-share", str(plan.early_share), "--hang-up-share", str(plan.hang_up_share),
            "--retry-share", str(plan.retry_share), *class_flags, *exchange_flags,
        )  # fmt: skip

    # --- Schedule -------------------------------------------------------------------------------------------

    def schedule_at(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action for a time after the start of the trial."""
        heapq.heappush(self.actions, (seconds, next(self._order), action))

    def schedule_after(self, seconds: float, action: Callable[[], None]) -> None:
        """Schedule an action for a time from now."""
        self.schedule_at(time.monotonic() - self.start_time + seconds, action)

    def record(self, event_name: str, **fields: object) -> None:
        self.event_log.record(event_name, **fields)
        self.event_log.flush()

    def _run_actions(self, seconds: float) -> None:
        while self.actions and self.actions[0][0] <= seconds:
            due, _, action = heapq.heappop(self.actions)
            time.sleep(max(0.0, self.start_time + due - time.monotonic()))
            action()
            self._record_crashes()
        time.sleep(max(0.0, self.start_time + seconds - time.monotonic()))
        self._record_crashes()

    def _record_crashes(self) -> None:
        for controller in self.controllers:
            child = self.processes.running.get(controller.name)
            if child is not None and child.poll() is not None and not controller.stopping:
                controller.stopping = True
                self.record("controller_crashed", controller=controller.name, code=child.returncode)

    def _record_usage(self) -> None:
        """Record the memory and the open descriptors of each controller, periodically."""
        for controller in self.controllers:
            child = self.processes.running.get(controller.name)
            if child is not None and child.poll() is None:
                memory, descriptors = _usage(child)
                self.record("usage", controller=controller.name, memory_mb=memory, descriptors=descriptors)
        self.schedule_after(USAGE_INTERVAL_S, self._record_usage)

    # --- Faults ---------------------------------------------------------------------------------------------

    def _inject(self, fault: Fault) -> None:
        if fault.target in self.ended_servers:
            self.record("fault_passed_over", number=fault.number, kind=fault.kind, target=fault.target)
            return
        self.record("fault", number=fault.number, kind=fault.kind, target=fault.target,
                    seconds=fault.seconds, detail=fault.detail)  # fmt: skip
        handlers: dict[str, Callable[[Fault], None]] = {
            "vanish": self._network_fault, "hang": self._network_fault, "one_way": self._network_fault,
            "reset": self._reset, "vanish_for_good": self._vanish_for_good, "die": self._die,
            "drain": self._drain, "replace": self._replace, "replace_at_once": self._replace_at_once,
            "discovery_refuse": self._discovery_fault,
            "discovery_hang": self._discovery_fault, "discovery_vanish": self._discovery_fault,
            "discovery_reset": self._discovery_fault, "reload": self._reload, "restart": self._restart,
            "kill": self._kill, "crowd": self._caller_fault, "rude": self._caller_fault,
            "early_close": self._caller_fault, "resend": self._caller_fault,
            "many_fields": self._hostile_clients, "greedy": self._hostile_clients,
        }  # fmt: skip
        handlers.get(fault.kind, self._server_fault)(fault)

    def _command_proxy(self, route: str, mode: str, **options: object) -> None:
        self.processes.send_line("proxy", orjson.dumps({"route": route, "do": mode, **options}))

    def _set_server_routes(self, server: str, mode: str, **options: object) -> None:
        for controller in self.controllers:
            self._command_proxy(f"{controller.name}.{server}", mode, **options)

    def _network_fault(self, fault: Fault) -> None:
        options = {"toward": fault.detail} if fault.kind == "one_way" else {}
        self._set_server_routes(fault.target, fault.kind, **options)
        self.schedule_after(fault.seconds, lambda: self._restore(fault.target))

    def _restore(self, server: str) -> None:
        if server not in self.ended_servers:
            self._set_server_routes(server, "pass")

    def _reset(self, fault: Fault) -> None:
        self._set_server_routes(fault.target, "reset")

    def _server_fault(self, fault: Fault) -> None:
        command = {"fault": fault.kind, "seconds": fault.seconds}
        self.processes.send_line(fault.target, orjson.dumps(command))

    def _end_server(self, server: str, mode: str) -> None:
        """End a server process; ``mode`` is the state of the routes to it from then on."""
        self.ended_servers.add(server)
        self._set_server_routes(server, mode)
        self.processes.kill(server)
        self.record("server_ended", server=server, how=mode)

    def _vanish_for_good(self, fault: Fault) -> None:
        self._end_server(fault.target, "vanish")
        self.schedule_after(
            SILENCE_DETECTION_S + fault.seconds, lambda: self._set_listed_state(fault.target, TERMINATED)
        )

    def _die(self, fault: Fault) -> None:
        self._end_server(fault.target, "refuse")

        def restart() -> None:
            started_ms = int(time.time() * 1000)
            self._start_server(fault.target, self.server_ports[fault.target])
            self._set_server_routes(fault.target, "pass")
            self.schedule_after(0.5, lambda: self._set_listed_state(fault.target, IN_SERVICE, started_ms))

        self.schedule_after(fault.seconds, restart)

    def _drain(self, fault: Fault) -> None:
        self._set_listed_state(fault.target, TERMINATING)

        def end() -> None:
            if fault.target not in self.ended_servers:
                self._end_server(fault.target, "refuse")
            self._set_listed_state(fault.target, TERMINATED)

        self.schedule_after(2.0 + fault.seconds, end)

    def _replace(self, fault: Fault) -> None:
        old, new = fault.target, successor(fault.target)
        if fault.detail == "same_address":
            self._end_server(old, "vanish")
            self.schedule_after(3.0, lambda: self._take_over_address(old, new))
            return
        started_ms = int(time.time() * 1000)
        self._start_server(new, self.server_ports[new])
        self._set_listed_state(old, TERMINATING)
        self.schedule_after(1.0, lambda: self._set_listed_state(new, IN_SERVICE, started_ms))
        self._end_drained(fault, old)

    def _end_drained(self, fault: Fault, old: str) -> None:
        def end() -> None:
            if old not in self.ended_servers:
                self._end_server(old, "refuse")
            self._set_listed_state(old, TERMINATED)

        self.schedule_after(2.0 + fault.seconds, end)

    def _take_over_address(self, old: str, new: str) -> None:
        """Start a new server at the address of an ended one; discovery lists it 2 s later."""
        started_ms = int(time.time() * 1000)
        self._start_server(new, self.server_ports[old])
        self._set_server_routes(old, "pass", forget=True)
        self._record_address_taken(old, new)

        def update_list() -> None:
            self._set_listed_state(old, TERMINATED)
            self._set_listed_state(new, IN_SERVICE, started_ms)

        self.schedule_after(2.0, update_list)

    def _record_address_taken(self, old: str, new: str) -> None:
        for controller in self.controllers:
            address = controller.servers[old].address
            controller.servers[new] = replace(controller.servers[new], address=address)
            self.record("address_taken", controller=controller.name, route=f"{controller.name}.{old}",
                        server=new)  # fmt: skip

    def _replace_at_once(self, fault: Fault) -> None:
        """End a server whose successor has its address without a refused connection in between.

        Discovery lists the successor after the fault's duration, and the end of the other one later still.
        """
        old, new = fault.target, successor(fault.target)
        self._start_server(new, self.server_ports[new])
        upstream = f"{LOOPBACK}:{self.server_ports[new]}"

        def take_address() -> None:
            started_ms = int(time.time() * 1000)
            self._set_server_routes(old, "pass", forget=fault.detail != DIES, upstream=upstream)
            self._record_address_taken(old, new)
            self.schedule_after(fault.seconds, lambda: self._set_listed_state(new, IN_SERVICE, started_ms))
            listed_end_s = fault.seconds + OLD_ENTRY_REMAINS_S
            self.schedule_after(listed_end_s, lambda: self._set_listed_state(old, TERMINATED))

        if fault.detail == DIES:
            self._set_server_routes(old, "reset", upstream=upstream)
            self._end_server(old, "pass")
            take_address()
        else:
            self._end_server(old, "vanish")
            self.schedule_after(float(fault.detail), take_address)

    def _set_listed_state(self, server: str, state: str, started_ms: int | None = None) -> None:
        """Change the state of a server in the discovery service of every controller."""
        for controller in self.controllers:
            entry = controller.servers[server]
            if entry.state == TERMINATED:
                continue
            changed = replace(entry, state=state)
            if started_ms is not None:
                changed = replace(changed, started_ms=started_ms)
            controller.servers[server] = changed
            controller.last_offset += 1
            self.processes.send_line(f"{controller.name}.bus", orjson.dumps([changed.to_entry()]))
            self.record("listed", controller=controller.name, server=server, state=state,
                        offset=controller.last_offset)  # fmt: skip

    def _discovery_fault(self, fault: Fault) -> None:
        mode = fault.kind.removeprefix("discovery_")
        for controller in self.controllers:
            route = f"{controller.name}.discovery-{controller.active_route}"
            self._command_proxy(route, mode)
            if mode != "reset":
                self.schedule_after(fault.seconds, lambda route=route: self._command_proxy(route, "pass"))  # type: ignore[misc]

    def _reload(self, fault: Fault) -> None:
        for controller in self.controllers:
            if controller.stopping:
                continue
            old = f"{controller.name}.discovery-{controller.active_route}"
            controller.active_route = "b" if controller.active_route == "a" else "a"
            self._command_proxy(f"{controller.name}.discovery-{controller.active_route}", "pass")
            self._write_config(controller)
            self.processes.send_signal(controller.name, signal.SIGHUP)
            self._command_proxy(old, "hang")
            self.schedule_after(OLD_DISCOVERY_CLOSE_S, lambda old=old: self._command_proxy(old, "refuse"))  # type: ignore[misc]

    def _find(self, name: str) -> RunningController:
        return next(c for c in self.controllers if c.name == name)

    def _command_callers(self, controller: str, **command: object) -> None:
        self.processes.send_line(f"{controller}.callers", orjson.dumps(command))

    def _caller_fault(self, fault: Fault) -> None:
        if fault.kind == "rude":
            self._command_callers(fault.target, do="rude", how=fault.detail)
        else:
            self._command_callers(fault.target, do=fault.kind, calls=int(fault.detail))

    def _hostile_clients(self, fault: Fault) -> None:
        """Start clients that send at full speed; they take at most a third of the descriptors."""
        many = fault.kind == "many_fields"
        self.processes.start(
            f"clients-{fault.number}", "arrowrail.lab.hostile_clients",
            "--to", f"{LOOPBACK}:{self._find(fault.target).port}",
            "--kind", "fields" if many else fault.detail, "--seed", str(self.plan.seed),
            "--connections", str(self.plan.sockets // 3 - RESERVED_FOR_CALLERS if many else 1),
            "--seconds", str(fault.seconds),
        )  # fmt: skip

    def _restart(self, fault: Fault) -> None:
        controller = self._find(fault.target)
        if controller.stopping:
            return
        max_deadline_s = max(c.deadline_ms for c in self.plan.classes) / 1000
        kill_s = min(max_deadline_s, MAX_COUNTED_DEADLINE_S) + AFTER_DEADLINE_S
        controller.stopping = True
        self.processes.send_signal(controller.name, signal.SIGTERM)
        self.record("controller_told_to_end", controller=controller.name, kill_s=kill_s)
        self._command_callers(
            controller.name, do="shutdown", connect_s=NEW_CONNECTIONS_S, send_s=kill_s - LAST_SEND_S
        )
        child = self.processes.running[controller.name]
        if fault.detail != "once":
            signal_number = signal.SIGTERM if fault.detail == "twice" else signal.SIGHUP
            self.schedule_after(
                0.3, lambda: None if child.poll() is not None else child.send_signal(signal_number)
            )
        self.schedule_after(kill_s, lambda: self._end_controller(controller))

    def _kill(self, fault: Fault) -> None:
        controller = self._find(fault.target)
        if not controller.stopping:
            controller.stopping = True
            self._end_controller(controller)

    def _end_controller(self, controller: RunningController) -> None:
        child = self.processes.running[controller.name]
        exit_status = child.poll()
        if exit_status not in (None, 0):
            self.record("controller_crashed", controller=controller.name, code=exit_status)
        self.processes.kill(controller.name)
        self.record("controller_killed", controller=controller.name, ended=exit_status is not None)
        self._command_callers(controller.name, do="killed")
        self.schedule_after(RESTART_DELAY_S, lambda: self._start_controller(controller))

    def _end_controllers(self) -> None:
        for controller in self.controllers:
            self._command_callers(controller.name, do="stop")
            if controller.name in self.processes.running:
                self.processes.kill(controller.name)


def _usage(child: subprocess.Popen[bytes]) -> tuple[float, int]:
    """Return the resident memory in MB and the number of open descriptors; zeros if the process has ended."""
    try:
        status = Path(f"/proc/{child.pid}/status").read_text()
        resident = next((line for line in status.splitlines() if line.startswith("VmRSS")), "VmRSS: 0 kB")
        return int(resident.split()[1]) / 1024, len(list(Path(f"/proc/{child.pid}/fd").iterdir()))
    except OSError:
        return 0.0, 0
