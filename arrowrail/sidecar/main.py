"""The sidecar process: start-up from the records, event loop, reload and shutdown."""

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

EXIT_OK, EXIT_CONFIG_FAULTS, EXIT_LISTEN_FAILED = 0, 1, 3
MAINTENANCE_INTERVAL_NS = 250 * MS
PROBE_DUTY_PREFIX = "probe:"  # of the duty to probe an exchange; its name follows


class Sidecar:
    """The controller of one application: admission control and routing ahead of the decision module."""

    def __init__(self, config: SidecarConfig, folder: Path, seed: int, log_form: str | None = None) -> None:
        self.config = config
        self.controller = CallController(_controller_config(config, seed))
        self.core: Core = self.controller.core
        self.admission = self.core.admission = SidecarAdmission(config, self.controller.loop.now)
        self.controller.frontend.max_connections = config.max_connections
        self.reader = ReaderProcess(self.controller.loop, self._on_read)
        self.folder, self.log_form = folder, log_form  # log_form overrides that of the records
        self.exchange_numbers: dict[str, int] = {e.name: e.number for e in config.exchanges}
        self._m3ua = _m3ua_signalling(self.controller, config)
        self.group: GroupRuntime | None = None
        self._disconnected_since: dict[int, int] = {}  # by frontend: since when it has had no connection

    # --- Start ------------------------------------------------------------------------------------------

    def start(self) -> None:
        config, loop = self.config, self.controller.loop
        self.core.update_endpoints(
            SIDECAR_SOURCE, False, self.admission.exchange_list.update_config(config.exchanges)
        )
        if config.transport.source == "etcd":
            from arrowrail.wire.etcd.client import EtcdClient

            EtcdClient(
                loop, self.core, config.transport.source_address, config.transport.source_prefix
            ).start()
        self.controller.start()
        if self._m3ua is not None:
            self._m3ua.start()
        if config.group is not None:
            from arrowrail.group.runtime import GroupRuntime

            self.group = GroupRuntime(
                loop, config.group, self._start_probe, int.from_bytes(os.urandom(8), "big")
            )
            self.group.set_duties(self._duties())
        loop.timers.schedule(loop.now + MAINTENANCE_INTERVAL_NS, self._maintain)
        # Objects that live as long as the process are excluded from later garbage collections.
        gc.collect()
        gc.freeze()
        event(
            "sidecar.started", "{application} at {sip} {m3ua}", application=config.application,
            site=config.site, sip=config.transport.sip, m3ua=config.transport.m3ua,
            exchanges=len(config.exchanges), routes=len(config.pools.routes),
        )  # fmt: skip

    def run(self) -> None:
        from arrowrail.run.signals import handle_signals

        handle_signals(self.controller.loop, self.controller.begin_shutdown, self.reload)
        self.start()
        while not self.controller.is_finished():
            self._run_iteration()
        self.reader.close()
        if self.group is not None:
            self.group.close()
        event("sidecar.stopped", "{defects} internal checks failed", defects=self.core.internal_errors)

    def _run_iteration(self) -> None:
        """Process calls first; background work then runs within its processor time budgets."""
        self.controller.run_iteration()
        if self.group is not None:
            self.group.run_background(busy=bool(self.core.events or self.core.unanswered))

    def _duties(self) -> list[str]:
        exchanges = self.config.exchanges
        return [f"{PROBE_DUTY_PREFIX}{e.name}" for e in exchanges if e.signalling == "binary"]

    def _start_probe(self, run: DutyRun, on_result: Callable[[bool], None]) -> bool:
        """Probe an exchange that is in service, with the epoch of the duty as fencing token.

        Return false if no probe was sent.
        """
        name = run.duty.removeprefix(PROBE_DUTY_PREFIX)
        group = self.config.group
        endpoints = [
            e for e in self.core.registry.endpoints.values() if e.entry.uid.partition("@")[0] == name
        ]
        endpoint = next((e for e in endpoints if e.entry.state == IN_SERVICE), None)
        if endpoint is None or group is None:
            return False
        fencing_token = f"{run.duty} {run.epoch} {run.number} {group.name}"
        backend: Any = self.core.backends["binary"]
        if not backend.probe(endpoint, fencing_token, group.probe_timeout_ns, on_result):
            on_result(False)
            return False
        return True

    # --- Reload -----------------------------------------------------------------------------------------

    def reload(self) -> None:
        event("reload.asked", "reload requested; reading the records")
        self.reader.request("sidecar", self.folder, self.config.application, self.exchange_numbers)

    def _on_read(self, result: ReadResult) -> None:
        if result.value is None:
            for fault in result.faults:
                event("reload.fault", "{fault}", level="ERROR", fault=fault)
            event("reload.kept", "the records are invalid; the previous configuration stays in force",
                  level="ERROR", codes=sorted(set(result.codes)))  # fmt: skip
            return
        self.apply_config(result.value)

    def apply_config(self, new: SidecarConfig) -> None:
        """Apply the settings that can change at run time; calls and set-ups in progress are unaffected."""
        old, self.config = self.config, new
        if new.transport != old.transport:
            event("reload.restart",
                  "changed listeners, M3UA parameters, list source or descriptors need a restart",
                  level="WARNING")  # fmt: skip
        if self._m3ua is None and any(e.signalling == "m3ua" for e in new.exchanges):
            event("reload.restart", "exchanges with M3UA signalling can be used only after a restart",
                  level="WARNING")  # fmt: skip
        new_routes = [r for r in new.pools.routes if r not in self.core.decision_module.call_classes]
        if new_routes:
            event("reload.worth", "calls of {routes} have the lowest worth until a restart",
                  level="WARNING", routes=new_routes[:20])  # fmt: skip
        self.exchange_numbers |= {e.name: e.number for e in new.exchanges}
        entries, pool_updates = self.admission.update_config(new, self.controller.loop.now)
        self.core.events += pool_updates
        self.core.update_endpoints(SIDECAR_SOURCE, False, entries)
        self.controller.frontend.max_connections = new.max_connections
        if self._m3ua is not None:
            self._m3ua.update_config(new)
        if self.group is not None and new.group is not None:
            self.group.update_config(new.group)
            self.group.set_duties(self._duties())
        configure_logging(new.log_level, self.log_form or new.log_form)
        event(
            "reload.done", "{changed} exchanges and the exchanges of {routes} routes changed",
            changed=len(entries), routes=len(pool_updates),
        )  # fmt: skip

    # --- Periodic work ----------------------------------------------------------------------------------

    def _maintain(self) -> None:
        loop = self.controller.loop
        self.core.events += self.admission.start_due_trials(loop.now)
        if self.group is not None:
            probe_results = self.group.instance.probe_results
            failed = [e.number for e in self.config.exchanges
                      if probe_results.verdict(loop.now, PROBE_DUTY_PREFIX + e.name) == SILENT]  # fmt: skip
            self.core.events += self.admission.set_probe_failures(loop.now, failed)
        self._remove_drained()
        self._release_orphans()
        loop.timers.schedule(loop.now + MAINTENANCE_INTERVAL_NS, self._maintain)

    def _remove_drained(self) -> None:
        """Terminate exchanges that were removed from the inventory and have no calls left."""
        removed = self.admission.exchange_list.removed
        if not removed:
            return
        busy_uids = {
            r.current_attempt.endpoint.entry.uid for r in self.core.requests if r.current_attempt is not None
        }
        drained = self.admission.exchange_list.remove_drained(
            [uid for uid in removed if uid not in busy_uids]
        )
        if drained:
            self.core.update_endpoints(SIDECAR_SOURCE, False, drained)

    def _release_orphans(self) -> None:
        """Release the calls of a disconnected application: they would occupy circuits indefinitely."""
        now = self.controller.loop.now
        for frontend in self.core.frontends:
            if frontend.connections:
                self._disconnected_since.pop(id(frontend), None)
                continue
            since = self._disconnected_since.setdefault(id(frontend), now)
            if now - since < self.config.orphan_timeout_ns:
                continue
            released = self.core.release_all(frontend, Q850_TEMPORARY_FAILURE)
            if released:
                event("orphans.released", "released {calls} calls of a disconnected application",
                      level="WARNING", calls=released)  # fmt: skip


class SidecarM3ua:
    """The M3UA-style frontend and backend, created only if the records need them."""

    def __init__(self, controller: CallController, config: SidecarConfig) -> None:
        from arrowrail.wire.m3ua.association import M3uaSettings
        from arrowrail.wire.m3ua.backend import M3uaBackend
        from arrowrail.wire.m3ua.frontend import M3uaFrontend
        from arrowrail.wire.m3ua.mappings import PrefixMapping

        transport = config.transport
        settings = M3uaSettings(
            transport.point_code,
            transport.routing_context,
            transport.network_appearance,
            transport.heartbeat_ns,
        )
        circuits = max((e.circuits for e in config.exchanges), default=1)
        # Matches all numbers, without an exchange: admission control routes them.
        self._prefix_mappings = (PrefixMapping("", -1),)
        self.backend = M3uaBackend(
            controller.loop,
            controller.core,
            settings,
            _class_mappings(config),
            circuits,
            transport.connect_timeout_ns,
        )
        self.frontend: M3uaFrontend | None = None
        if transport.m3ua:
            self.frontend = M3uaFrontend(
                controller.loop,
                controller.core,
                transport.m3ua,
                settings,
                _class_mappings(config),
                self._prefix_mappings,
            )

    def start(self) -> None:
        if self.frontend is not None:
            self.frontend.start()

    def update_config(self, config: SidecarConfig) -> None:
        self.backend.update_mappings(_class_mappings(config))
        if self.frontend is not None:
            self.frontend.update_mappings(_class_mappings(config), self._prefix_mappings)


def _class_mappings(config: SidecarConfig) -> tuple[ClassMapping, ...]:
    from arrowrail.wire.m3ua.mappings import ClassMapping

    return tuple(
        ClassMapping(c.name, c.caller_timeout_ns, c.width, c.category, c.requirement)
        for c in config.classes.values()
    )


def _m3ua_signalling(controller: CallController, config: SidecarConfig) -> SidecarM3ua | None:
    needed = config.transport.m3ua or any(e.signalling == "m3ua" for e in config.exchanges)
    return SidecarM3ua(controller, config) if needed else None


def _controller_config(config: SidecarConfig, seed: int) -> Config:
    bus_address = config.transport.source_address if config.transport.source == "bus" else ""
    return Config(
        config.application, config.transport.sip, seed, config.transport.max_descriptors, bus_address,
        (), 0, config.settings, config.transport.connect_timeout_ns,
    )  # fmt: skip


def main(application: str, folder: Path, log_form: str | None = None) -> int:
    """Run the sidecar of an application; return the exit code: 0, 1 for faults, 3 if it can't listen."""
    configure_logging(os.environ.get("ARROWRAIL_LOG", "INFO"), log_form or "text")
    result = read_and_wait("sidecar", folder, application, {})
    if result.value is None:
        for fault in result.faults:
            event("start.fault", "{fault}", level="ERROR", fault=fault)
        return EXIT_CONFIG_FAULTS
    config: SidecarConfig = result.value
    configure_logging(config.log_level, log_form or config.log_form)
    sidecar = Sidecar(config, folder, int.from_bytes(os.urandom(8), "big"), log_form)
    try:
        sidecar.run()
    except OSError as error:
        if error.errno not in (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EACCES):
            raise
        addresses: Mapping[str, str] = {"sip": config.transport.sip, "m3ua": config.transport.m3ua}
        listeners = ", ".join(f"listen.{n} {a}" for n, a in addresses.items() if a)
        event("start.port", "can't listen: {why} ({listeners})", level="ERROR", why=error.strerror,
              listeners=listeners)  # fmt: skip
        return EXIT_LISTEN_FAILED
    return EXIT_OK
