"""Start-up, event loop, reload and shutdown of a call controller."""

from __future__ import annotations

import argparse
import os
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.run.config import Config, from_environment
from arrowrail.run.log import configure_logging
from arrowrail.run.signals import handle_signals
from arrowrail.shutdown.plan import ShutdownPlan
from arrowrail.telemetry.events import event
from arrowrail.wire.binary.backend import BinaryBackend
from arrowrail.wire.bus.client import BusClient
from arrowrail.wire.sip.frontend import SipFrontend

if TYPE_CHECKING:
    from arrowrail.config.records import Controller
    from arrowrail.run.optional_components import OptionalComponents
    from arrowrail.run.read_result import ReadResult

# With 256 file descriptors, nine desk exchanges get 36 connections in total.
MAX_CONNECTIONS_PER_EXCHANGE, DESCRIPTORS_PER_CONNECTION = 4, 64
OPEN_REQUESTS_DIVISOR = 8  # of the memory limit, for what callers have sent and still wait for
METRICS_INTERVAL_NS = 10_000 * MS  # between two log events with the counters
FLUSH_TIMEOUT_NS = 500 * MS  # at exit, for responses that are not completely written


class CallController:
    """Connects the event loop, the core, the frontends and backends, and the sources of the exchange list."""

    def __init__(self, config: Config, operator_config: Controller | None = None) -> None:
        self.loop = Loop()
        self.core = Core(
            config.settings, config.seed, self.loop.timers, config.memory_limit_bytes // OPEN_REQUESTS_DIVISOR
        )
        # A few connections per desk exchange only, so that most descriptors are left to callers.
        connections_per_exchange = max(
            1, min(MAX_CONNECTIONS_PER_EXCHANGE, config.max_sockets // DESCRIPTORS_PER_CONNECTION)
        )
        BinaryBackend(self.loop, self.core, config.connect_timeout_ns, connections_per_exchange)
        self.frontend = SipFrontend(self.loop, self.core, config.listen_address, config.max_sockets)
        self.bus = BusClient(self.loop, self.core, config.bus_address)
        self.config, self.operator_config = config, operator_config
        self.optional_components: OptionalComponents | None = None
        self.flush_deadline_ns = 0

    def start(self) -> None:
        self.bus.start(list(self.config.initial_events), self.config.initial_offset)
        if self.operator_config is not None:
            # Imported only with an operator's file, so that other controllers don't load it.
            from arrowrail.run.optional_components import OptionalComponents

            self.optional_components = OptionalComponents(
                self.loop, self.core, self.config, self.operator_config
            )
        self.core.process_events()
        self.loop.timers.schedule(self.loop.now + METRICS_INTERVAL_NS, self._report_metrics)
        if self.config.listen_address:
            self.frontend.start()
            logger.info("{} listens on {}", self.config.name, self.config.listen_address)

    def _report_metrics(self) -> None:
        self.core.metrics.report()
        self.loop.timers.schedule(self.loop.now + METRICS_INTERVAL_NS, self._report_metrics)

    def begin_shutdown(self, signal_number: int) -> None:
        """Start a graceful shutdown; a further signal does not change its schedule."""
        event("shutdown.signal", "signal {number}: {requests} requests are open", number=signal_number,
              requests=self.core.unanswered, again=self.core.shutdown_plan is not None)  # fmt: skip
        longest_deadline_ns = max(call_class.deadline_ns for call_class in self.config.settings.classes)
        self.core.begin_shutdown(ShutdownPlan(self.loop.now, longest_deadline_ns))

    def reload(self, config: Config, operator_config: Controller | None = None) -> None:
        """Apply the settings that can change at run time; calls and set-ups in progress are unaffected."""
        fixed = replace(
            config, bus_address=self.config.bus_address, max_sockets=self.config.max_sockets,
            initial_events=(), initial_offset=0, seed=0,
        )  # fmt: skip
        if fixed != replace(self.config, initial_events=(), initial_offset=0, seed=0):
            logger.warning("reload: only bus and limits.sockets are applied; other changes need a restart")
        self.config = replace(self.config, bus_address=config.bus_address, max_sockets=config.max_sockets)
        self.frontend.max_sockets = config.max_sockets
        self.bus.change_address(config.bus_address)
        if self.optional_components is not None and operator_config is not None:
            self.optional_components.reload(operator_config)
            configure_logging(operator_config.log.level, operator_config.log.form)
        logger.info("configuration reloaded; event bus address: {}", config.bus_address or "none")

    def run_iteration(self) -> None:
        """Run one iteration of the event loop and process the events that it caused."""
        self.loop.run_once(no_wait=bool(self.core.events))
        self.core.process_events()

    def is_finished(self) -> bool:
        """Return whether the shutdown is complete, with all responses written."""
        now, plan = self.loop.now, self.core.shutdown_plan
        if plan is None:
            return False
        connections = sum(frontend.connections for frontend in self.core.frontends)
        if not plan.may_exit(now, self.core.unanswered, connections):
            return False
        if not self.flush_deadline_ns:
            # The last responses may still be in send buffers; a peer that does not read delays the exit only
            # for this time.
            self.flush_deadline_ns = now + FLUSH_TIMEOUT_NS
            self.loop.timers.schedule(self.flush_deadline_ns, lambda: None)
        return now >= self.flush_deadline_ns or all(frontend.flushed() for frontend in self.core.frontends)

    def run(self, on_reload: Callable[[], None]) -> None:
        """Serve until a shutdown is complete; ``on_reload`` is called for each reload signal."""
        handle_signals(self.loop, self.begin_shutdown, on_reload)
        self.start()
        while not self.is_finished():
            self.run_iteration()
        self.core.metrics.report()
        logger.info("stopped; {} internal checks failed", self.core.internal_errors)


def read_platform_config() -> Config | None:
    """Read the platform's configuration; if it is unusable, log the error and return ``None``."""
    try:
        return from_environment()
    except Exception as error:
        # Any error, also an unexpected one: on a reload the previous configuration stays in force, and an
        # invalid file must not terminate the process.
        logger.error("platform configuration can't be read: {!r}", error)
        return None


def _read_request(path: Path, config: Config) -> tuple[str, Path, list[str]]:
    return "controller", path, [c.name for c in config.settings.classes]


def _log_faults(result: ReadResult) -> Controller | None:
    """Log the faults of a read; return its records, or ``None`` if they are rejected."""
    for fault in result.faults:
        logger.error("{}", fault)
    operator_config: Controller | None = result.value
    return operator_config


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m arrowrail", description="Run one call controller with the platform's configuration.",
        epilog="Sub-commands: sidecar, config, drill; see python -m arrowrail COMMAND --help.",
    )  # fmt: skip
    parser.add_argument(
        "--config", type=Path, help="the operator's records; absent: only the platform's configuration"
    )
    path: Path | None = parser.parse_args().config
    configure_logging(os.environ.get("ARROWRAIL_LOG", "INFO"))
    config, operator_config = read_platform_config(), None
    if config is None:
        return 1
    if path is not None:
        # Imported only if a file is given; it is read in a separate process, as on a reload.
        from arrowrail.run.reader_process import ReaderProcess, read_and_wait

        operator_config = _log_faults(read_and_wait(*_read_request(path, config)))
        if operator_config is None:
            return 1
        configure_logging(operator_config.log.level, operator_config.log.form)
    controller = CallController(config, operator_config)
    rejection_message = "reload: the configuration is invalid; the previous one stays in force"

    def on_reload() -> None:
        config = read_platform_config()
        if config is None:
            logger.error(rejection_message)
        elif path is None:
            controller.reload(config)
        else:
            reader.request(*_read_request(path, config))

    def on_read(result: ReadResult) -> None:
        operator_config, config = _log_faults(result), read_platform_config()
        if operator_config is None or config is None:
            logger.error(rejection_message)
        else:
            controller.reload(config, operator_config)

    if path is not None:
        reader = ReaderProcess(controller.loop, on_read)
    controller.run(on_reload)
    return 0
