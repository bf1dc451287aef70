"""The sidecar's process: from the records to a serving controller, through reloads, to its end."""

from __future__ import annotations

import errno
import gc
import os
from collections.abc import Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS, Q850_TEMPORARY_FAILURE
from arrowrail.duties.probe_results import SILENT
from arrowrail.run.config import Config
from arrowrail.run.log import configure_logging
from arrowrail.run.main import CallController
from arrowrail.run.read_result import ReadResult
from arrowrail.run.reader_process import ReaderProcess, read_and_wait
from arrowrail.sidecar.admission import SidecarAdmission
from arrowrail.sidecar.config import SidecarConfig
from arrowrail.sidecar.exchange_list import SIDECAR_SOURCE
from arrowrail.state.endpoints import IN_SERVICE
from arrowrail.telemetry.events import event

if TYPE_CHECKING:
    from collections.abc import Callable

    from arrowrail.group.instance import DutyRun
    from arrowrail.group.runtime import GroupRuntime
    from arrowrail.wire.m3ua.mappings import ClassMapping

GOOD, FAULTS, NO_PORT = 0, 1, 3
TICK_NS = 250 * MS
PROBE = "probe:"  # and the exchange's name: a duty


class Sidecar:
    """One application's controller.  The decision module chooses; admission, pools and limits come before
    it."""

    def __init__(self, compiled: SidecarConfig, folder: Path, seed: int, form: str | None = None) -> None:
        self.config = compiled
        self.controller = CallController(_config(compiled, seed))
        self.core: Core = self.controller.core
        self.admission = self.core.admission = SidecarAdmission(compiled, self.controller.loop.now)
        self.controller.frontend.max_connections = compiled.connections
        self.reader = ReaderProcess(self.controller.loop, self._read)
        self.folder, self.form = folder, form  # the form of logs, where the command line names it
        self.numbers: dict[str, int] = {line.name: line.number for line in compiled.exchanges}
        self._m3ua = _signalling(self.controller, compiled)
        self.group: GroupRuntime | None = None
        self._alone_since: dict[int, int] = {}  # by front: since when it has had no connection

    # --- Start ------------------------------------------------------------------------------------------

    def start(self) -> None:
        c, loop = self.config, self.controller.loop
        self.core.update_endpoints(
            SIDECAR_SOURCE, False, self.admission.exchange_list.update_config(c.exchanges)
        )
        if c.transport.source == "etcd":
            from arrowrail.wire.etcd.client import EtcdClient

            EtcdClient(loop, self.core, c.transport.source_address, c.transport.source_prefix).start()
        self.controller.start()
        if self._m3ua is not None:
            self._m3ua.start()
        if c.group is not None:
            from arrowrail.group.runtime import GroupRuntime

            self.group = GroupRuntime(loop, c.group, self._probe, int.from_bytes(os.urandom(8), "big"))
            self.group.set_duties(self._duties())
        loop.timers.schedule(loop.now + TICK_NS, self._tick)
        # What lives as long as the process is left out of every later look for garbage.
        gc.collect()
        gc.freeze()
        event(
            "sidecar.started", "{application} at {sip} {m3ua}", application=c.application, site=c.site,
            sip=c.transport.sip, m3ua=c.transport.m3ua, exchanges=len(c.exchanges),
            routes=len(c.pools.routes),
        )  # fmt: skip

    def run(self) -> None:
        from arrowrail.run.signals import handle_signals

        handle_signals(self.controller.loop, self.controller.stop, self.reload)
        self.start()
        while not self.controller.is_finished():
            self._turn()
        self.reader.close()
        if self.group is not None:
            self.group.close()
        event("sidecar.stopped", "{defects} checks fired", defects=self.core.internal_errors)

    def _turn(self) -> None:
        """Calls first; background work takes what its budgets leave it."""
        self.controller.run_iteration()
        if self.group is not None:
            self.group.run_background(busy=bool(self.core.events or self.core.unanswered))

    def _duties(self) -> list[str]:
        lines = self.config.exchanges
        return [f"{PROBE}{line.name}" for line in lines if line.signalling == "binary"]

    def _probe(self, run: DutyRun, done: Callable[[bool], None]) -> bool:
        """One probe of an exchange in service, under the fence of its duty's epoch."""
        name = run.duty.removeprefix(PROBE)
        group = self.config.group
        desks = [d for d in self.core.registry.endpoints.values() if d.entry.uid.partition("@")[0] == name]
        desk = next((d for d in desks if d.entry.state == IN_SERVICE), None)
        if desk is None or group is None:
            return False
        fence = f"{run.duty} {run.epoch} {run.number} {group.name}"
        back: Any = self.core.backends["binary"]
        if not back.probe(desk, fence, group.probe_time_out_ns, done):
            done(False)
            return False
        return True

    # --- Reload -----------------------------------------------------------------------------------------

    def reload(self) -> None:
        event("reload.asked", "the records are read again")
        self.reader.request("sidecar", self.folder, self.config.application, self.numbers)

    def _read(self, result: ReadResult) -> None:
        if result.value is None:
            for fault in result.faults:
                event("reload.fault", "{fault}", level="ERROR", fault=fault)
            event("reload.kept", "the records are not good; those of before stay", level="ERROR",
                  codes=sorted(set(result.codes)))  # fmt: skip
            return
        self.apply_config(result.value)

    def apply_config(self, new: SidecarConfig) -> None:
        """Take up what may change under way; nothing that is in flight is touched."""
        old, self.config = self.config, new
        if new.transport != old.transport:
            event("reload.restart", "listeners, sources and descriptors change with the next start",
                  level="WARNING")  # fmt: skip
        if self._m3ua is None and any(line.signalling == "m3ua" for line in new.exchanges):
            event("reload.restart", "exchanges with m3ua are reached from the next start on",
                  level="WARNING")  # fmt: skip
        unheard = [r for r in new.pools.routes if r not in self.core.decision_module.call_classes]
        if unheard:
            event("reload.worth", "{routes} count as of least worth until the next start", level="WARNING",
                  routes=unheard[:20])  # fmt: skip
        self.numbers |= {line.name: line.number for line in new.exchanges}
        news, pools = self.admission.update_config(new, self.controller.loop.now)
        self.core.events += pools
        self.core.update_endpoints(SIDECAR_SOURCE, False, news)
        self.controller.frontend.max_connections = new.connections
        if self._m3ua is not None:
            self._m3ua.update_config(new)
        if self.group is not None and new.group is not None:
            self.group.update_config(new.group)
            self.group.set_duties(self._duties())
        configure_logging(new.log_level, self.form or new.log_form)
        event(
            "reload.done", "{changed} exchanges changed, {routes} routes go elsewhere", changed=len(news),
            routes=len(pools),
        )  # fmt: skip

    # --- Now and then -----------------------------------------------------------------------------------

    def _tick(self) -> None:
        loop = self.controller.loop
        self.core.events += self.admission.start_due_trials(loop.now)
        if self.group is not None:
            probe_results = self.group.instance.probe_results
            silent = [line.number for line in self.config.exchanges
                      if probe_results.verdict(loop.now, PROBE + line.name) == SILENT]  # fmt: skip
            self.core.events += self.admission.set_probe_failures(loop.now, silent)
        self._forget_emptied()
        self._release_orphans()
        loop.timers.schedule(loop.now + TICK_NS, self._tick)

    def _forget_emptied(self) -> None:
        leaving = self.admission.exchange_list.removed
        if not leaving:
            return
        busy = {
            r.current_attempt.endpoint.entry.uid for r in self.core.requests if r.current_attempt is not None
        }
        gone = self.admission.exchange_list.remove_drained([uid for uid in leaving if uid not in busy])
        if gone:
            self.core.update_endpoints(SIDECAR_SOURCE, False, gone)

    def _release_orphans(self) -> None:
        """Guards against calls of an application that has died holding circuits for nobody."""
        now = self.controller.loop.now
        for front in self.core.frontends:
            if front.connections:
                self._alone_since.pop(id(front), None)
                continue
            since = self._alone_since.setdefault(id(front), now)
            if now - since < self.config.orphans_ns:
                continue
            released = self.core.release_all(front, Q850_TEMPORARY_FAILURE)
            if released:
                event("orphans.released", "{calls} calls of an application that is gone", level="WARNING",
                      calls=released)  # fmt: skip


class Signalling:
    """The M3UA-style front and back, where the records ask for them."""

    def __init__(self, program: CallController, c: SidecarConfig) -> None:
        from arrowrail.wire.m3ua.association import M3uaSettings
        from arrowrail.wire.m3ua.backend import M3uaBackend
        from arrowrail.wire.m3ua.frontend import M3uaFrontend
        from arrowrail.wire.m3ua.mappings import PrefixMapping

        links = c.transport
        settings = M3uaSettings(
            links.point_code, links.routing_context, links.network_appearance, links.heartbeat_ns
        )
        circuits = max((line.circuits for line in c.exchanges), default=1)
        self._any = (PrefixMapping("", -1),)  # the admission controller knows where a number leads
        self.back = M3uaBackend(
            program.loop, program.core, settings, _rules(c), circuits, links.connect_timeout_ns
        )
        self.frontend: M3uaFrontend | None = None
        if links.m3ua:
            self.frontend = M3uaFrontend(
                program.loop, program.core, links.m3ua, settings, _rules(c), self._any
            )

    def start(self) -> None:
        if self.frontend is not None:
            self.frontend.start()

    def update_config(self, c: SidecarConfig) -> None:
        self.back.update_mappings(_rules(c))
        if self.frontend is not None:
            self.frontend.update_mappings(_rules(c), self._any)


def _rules(c: SidecarConfig) -> tuple[ClassMapping, ...]:
    from arrowrail.wire.m3ua.mappings import ClassMapping

    return tuple(
        ClassMapping(f.name, f.give_up_ns, f.width, f.category, f.requirement) for f in c.classes.values()
    )


def _signalling(program: CallController, c: SidecarConfig) -> Signalling | None:
    wanted = c.transport.m3ua or any(line.signalling == "m3ua" for line in c.exchanges)
    return Signalling(program, c) if wanted else None


def _config(c: SidecarConfig, seed: int) -> Config:
    bus = c.transport.source_address if c.transport.source == "bus" else ""
    return Config(
        c.application, c.transport.sip, seed, c.transport.descriptors, bus, (), 0, c.settings,
        c.transport.connect_timeout_ns,
    )  # fmt: skip


def main(application: str, folder: Path, form: str | None = None) -> int:
    """Start the sidecar of an application; returns the process's exit code: 0, 1 faults, 3 no port."""
    configure_logging(os.environ.get("ARROWRAIL_LOG", "INFO"), form or "text")
    result = read_and_wait("sidecar", folder, application, {})
    if result.value is None:
        for fault in result.faults:
            event("start.fault", "{fault}", level="ERROR", fault=fault)
        return FAULTS
    compiled: SidecarConfig = result.value
    configure_logging(compiled.log_level, form or compiled.log_form)
    sidecar = Sidecar(compiled, folder, int.from_bytes(os.urandom(8), "big"), form)
    try:
        sidecar.run()
    except OSError as why:
        if why.errno not in (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES):
            raise
        taken: Mapping[str, str] = {"sip": compiled.transport.sip, "m3ua": compiled.transport.m3ua}
        said = ", ".join(f"listen.{n} {a}" for n, a in taken.items() if a)
        event("start.port", "can't listen: {why} ({listeners})", level="ERROR", why=why.strerror,
              listeners=said)  # fmt: skip
        return NO_PORT
    return GOOD
