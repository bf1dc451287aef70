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
from arrowrail.run.log import log_to
from arrowrail.run.main import Program
from arrowrail.run.reading import Reading, read_now
from arrowrail.run.result import Result
from arrowrail.sidecar.admission import RecordsAdmission
from arrowrail.sidecar.compile import Compiled
from arrowrail.sidecar.listing import SOURCE
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

    def __init__(self, compiled: Compiled, folder: Path, seed: int, form: str | None = None) -> None:
        self.compiled = compiled
        self.program = Program(_config(compiled, seed))
        self.core: Core = self.program.core
        self.admission = self.core.admission = RecordsAdmission(compiled, self.program.loop.now)
        self.program.front.max_connections = compiled.connections
        self.reading = Reading(self.program.loop, self._read)
        self.folder, self.form = folder, form  # the form of logs, where the command line names it
        self.numbers: dict[str, int] = {line.name: line.number for line in compiled.lines}
        self._m3ua = _signalling(self.program, compiled)
        self.group: GroupRuntime | None = None
        self._alone_since: dict[int, int] = {}  # by front: since when it has had no connection

    # --- Start ------------------------------------------------------------------------------------------

    def start(self) -> None:
        c, loop = self.compiled, self.program.loop
        self.core.update_endpoints(SOURCE, False, self.admission.listing.use(c.lines))
        if c.links.source == "etcd":
            from arrowrail.wire.etcd.client import EtcdClient

            EtcdClient(loop, self.core, c.links.source_address, c.links.source_prefix).start()
        self.program.start()
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
            sip=c.links.sip, m3ua=c.links.m3ua, exchanges=len(c.lines), routes=len(c.pools.routes),
        )  # fmt: skip

    def run(self) -> None:
        from arrowrail.run.wake import on_signal

        on_signal(self.program.loop, self.program.stop, self.reload)
        self.start()
        while not self.program.done():
            self._turn()
        self.reading.close()
        if self.group is not None:
            self.group.close()
        event("sidecar.stopped", "{defects} checks fired", defects=self.core.internal_errors)

    def _turn(self) -> None:
        """Calls first; background work takes what its budgets leave it."""
        self.program.turn()
        if self.group is not None:
            self.group.run_background(busy=bool(self.core.events or self.core.unanswered))

    def _duties(self) -> list[str]:
        lines = self.compiled.lines
        return [f"{PROBE}{line.name}" for line in lines if line.signalling == "binary"]

    def _probe(self, run: DutyRun, done: Callable[[bool], None]) -> bool:
        """One probe of an exchange in service, under the fence of its duty's epoch."""
        name = run.duty.removeprefix(PROBE)
        group = self.compiled.group
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
        self.reading.ask("sidecar", self.folder, self.compiled.application, self.numbers)

    def _read(self, result: Result) -> None:
        if result.value is None:
            for fault in result.faults:
                event("reload.fault", "{fault}", level="ERROR", fault=fault)
            event("reload.kept", "the records are not good; those of before stay", level="ERROR",
                  codes=sorted(set(result.codes)))  # fmt: skip
            return
        self.take_up(result.value)

    def take_up(self, new: Compiled) -> None:
        """Take up what may change under way; nothing that is in flight is touched."""
        old, self.compiled = self.compiled, new
        if new.links != old.links:
            event("reload.restart", "listeners, sources and descriptors change with the next start",
                  level="WARNING")  # fmt: skip
        if self._m3ua is None and any(line.signalling == "m3ua" for line in new.lines):
            event("reload.restart", "exchanges with m3ua are reached from the next start on",
                  level="WARNING")  # fmt: skip
        unheard = [r for r in new.pools.routes if r not in self.core.decision_module.call_classes]
        if unheard:
            event("reload.worth", "{routes} count as of least worth until the next start", level="WARNING",
                  routes=unheard[:20])  # fmt: skip
        self.numbers |= {line.name: line.number for line in new.lines}
        news, pools = self.admission.use(new, self.program.loop.now)
        self.core.events += pools
        self.core.update_endpoints(SOURCE, False, news)
        self.program.front.max_connections = new.connections
        if self._m3ua is not None:
            self._m3ua.use(new)
        if self.group is not None and new.group is not None:
            self.group.update_config(new.group)
            self.group.set_duties(self._duties())
        log_to(new.log_level, self.form or new.log_form)
        event(
            "reload.done", "{changed} exchanges changed, {routes} routes go elsewhere", changed=len(news),
            routes=len(pools),
        )  # fmt: skip

    # --- Now and then -----------------------------------------------------------------------------------

    def _tick(self) -> None:
        loop = self.program.loop
        self.core.events += self.admission.due(loop.now)
        if self.group is not None:
            probe_results = self.group.instance.probe_results
            silent = [line.number for line in self.compiled.lines
                      if probe_results.verdict(loop.now, PROBE + line.name) == SILENT]  # fmt: skip
            self.core.events += self.admission.doubted(loop.now, silent)
        self._forget_emptied()
        self._release_orphans()
        loop.timers.schedule(loop.now + TICK_NS, self._tick)

    def _forget_emptied(self) -> None:
        leaving = self.admission.listing.leaving
        if not leaving:
            return
        busy = {
            r.current_attempt.endpoint.entry.uid for r in self.core.requests if r.current_attempt is not None
        }
        gone = self.admission.listing.emptied([uid for uid in leaving if uid not in busy])
        if gone:
            self.core.update_endpoints(SOURCE, False, gone)

    def _release_orphans(self) -> None:
        """Guards against calls of an application that has died holding circuits for nobody."""
        now = self.program.loop.now
        for front in self.core.frontends:
            if front.connections:
                self._alone_since.pop(id(front), None)
                continue
            since = self._alone_since.setdefault(id(front), now)
            if now - since < self.compiled.orphans_ns:
                continue
            released = self.core.release_all(front, Q850_TEMPORARY_FAILURE)
            if released:
                event("orphans.released", "{calls} calls of an application that is gone", level="WARNING",
                      calls=released)  # fmt: skip


class Signalling:
    """The M3UA-style front and back, where the records ask for them."""

    def __init__(self, program: Program, c: Compiled) -> None:
        from arrowrail.wire.m3ua.association import M3uaSettings
        from arrowrail.wire.m3ua.backend import M3uaBackend
        from arrowrail.wire.m3ua.frontend import M3uaFrontend
        from arrowrail.wire.m3ua.mappings import PrefixMapping

        links = c.links
        settings = M3uaSettings(
            links.point_code, links.routing_context, links.network_appearance, links.heartbeat_ns
        )
        circuits = max((line.circuits for line in c.lines), default=1)
        self._any = (PrefixMapping("", -1),)  # the admission controller knows where a number leads
        self.back = M3uaBackend(
            program.loop, program.core, settings, _rules(c), circuits, links.connect_time_out_ns
        )
        self.front: M3uaFrontend | None = None
        if links.m3ua:
            self.front = M3uaFrontend(program.loop, program.core, links.m3ua, settings, _rules(c), self._any)

    def start(self) -> None:
        if self.front is not None:
            self.front.start()

    def use(self, c: Compiled) -> None:
        self.back.update_mappings(_rules(c))
        if self.front is not None:
            self.front.update_mappings(_rules(c), self._any)


def _rules(c: Compiled) -> tuple[ClassMapping, ...]:
    from arrowrail.wire.m3ua.mappings import ClassMapping

    return tuple(
        ClassMapping(f.name, f.give_up_ns, f.width, f.category, f.requirement) for f in c.classes.values()
    )


def _signalling(program: Program, c: Compiled) -> Signalling | None:
    wanted = c.links.m3ua or any(line.signalling == "m3ua" for line in c.lines)
    return Signalling(program, c) if wanted else None


def _config(c: Compiled, seed: int) -> Config:
    bus = c.links.source_address if c.links.source == "bus" else ""
    return Config(
        c.application, c.links.sip, seed, c.links.descriptors, bus, (), 0, c.settings,
        c.links.connect_time_out_ns,
    )  # fmt: skip


def main(application: str, folder: Path, form: str | None = None) -> int:
    """Start the sidecar of an application; returns the process's exit code: 0, 1 faults, 3 no port."""
    log_to(os.environ.get("ARROWRAIL_LOG", "INFO"), form or "text")
    result = read_now("sidecar", folder, application, {})
    if result.value is None:
        for fault in result.faults:
            event("start.fault", "{fault}", level="ERROR", fault=fault)
        return FAULTS
    compiled: Compiled = result.value
    log_to(compiled.log_level, form or compiled.log_form)
    sidecar = Sidecar(compiled, folder, int.from_bytes(os.urandom(8), "big"), form)
    try:
        sidecar.run()
    except OSError as why:
        if why.errno not in (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES):
            raise
        taken: Mapping[str, str] = {"sip": compiled.links.sip, "m3ua": compiled.links.m3ua}
        said = ", ".join(f"listen.{n} {a}" for n, a in taken.items() if a)
        event("start.port", "can't listen: {why} ({listeners})", level="ERROR", why=why.strerror,
              listeners=said)  # fmt: skip
        return NO_PORT
    return GOOD
