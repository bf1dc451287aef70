"""Start, serve, stop."""

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

MOST_LINKS, LINK_SHARE = 4, 64  # of 256 descriptors, nine desk exchanges get 36
METRICS_NS = 10_000 * MS  # between two lines of counters in the log
FLUSH_NS = 500 * MS  # for answers that are not written to their end


class CallController:
    def __init__(self, config: Config, operator: Controller | None = None) -> None:
        self.loop = Loop()
        self.core = Core(config.settings, config.seed, self.loop.timers)
        # A few connections to each desk exchange, from what callers leave of the descriptors.
        per_desk = max(1, min(MOST_LINKS, config.sockets // LINK_SHARE))
        BinaryBackend(self.loop, self.core, config.connect_timeout_ns, per_desk)
        self.frontend = SipFrontend(self.loop, self.core, config.listen, config.sockets)
        self.bus = BusClient(self.loop, self.core, config.bus)
        self.config, self.operator = config, operator
        self.optional_components: OptionalComponents | None = None
        self.flush_by = 0

    def start(self) -> None:
        self.bus.start(list(self.config.known), self.config.offset)
        if self.operator is not None:
            # Imported only where a file asks for it: the platform's controllers pay nothing for it.
            from arrowrail.run.optional_components import OptionalComponents

            self.optional_components = OptionalComponents(self.loop, self.core, self.config, self.operator)
        self.core.process_events()
        self.loop.timers.schedule(self.loop.now + METRICS_NS, self._report_metrics)
        if self.config.listen:
            self.frontend.start()
            logger.info("{} serves on {}", self.config.name, self.config.listen)

    def _report_metrics(self) -> None:
        self.core.metrics.report()
        self.loop.timers.schedule(self.loop.now + METRICS_NS, self._report_metrics)

    def stop(self, number: int) -> None:
        """Told to stop: go on serving as the plan of a shutdown says; a second signal changes nothing."""
        event("shutdown.signal", "signal {number}: {requests} requests are open", number=number,
              requests=self.core.unanswered, again=self.core.shutdown_plan is not None)  # fmt: skip
        longest_ns = max(kind.deadline_ns for kind in self.config.settings.classes)
        self.core.begin_shutdown(ShutdownPlan(self.loop.now, longest_ns))

    def reload(self, config: Config, operator: Controller | None = None) -> None:
        """Take up what may change under way; nothing that is in flight is touched."""
        kept = replace(config, bus=self.config.bus, sockets=self.config.sockets, known=(), offset=0, seed=0)
        if kept != replace(self.config, known=(), offset=0, seed=0):
            logger.warning("reload: only bus and limits.sockets are taken up; the rest needs a restart")
        self.config = replace(self.config, bus=config.bus, sockets=config.sockets)
        self.frontend.max_sockets = config.sockets
        self.bus.change_address(config.bus)
        if self.optional_components is not None and operator is not None:
            self.optional_components.reload(operator)
            configure_logging(operator.log.level, operator.log.form)
        logger.info("reloaded; the event bus is at {}", config.bus or "no address")

    def run_iteration(self) -> None:
        self.loop.run_once(no_wait=bool(self.core.events))
        self.core.process_events()

    def is_finished(self) -> bool:
        now, plan = self.loop.now, self.core.shutdown_plan
        if plan is None:
            return False
        connections = sum(front.connections for front in self.core.frontends)
        if not plan.may_exit(now, self.core.unanswered, connections):
            return False
        if not self.flush_by:
            # Guards against the last answers being lost in buffers; a peer that reads nothing can't hold us.
            self.flush_by = now + FLUSH_NS
            self.loop.timers.schedule(self.flush_by, lambda: None)
        return now >= self.flush_by or all(front.flushed() for front in self.core.frontends)

    def run(self, again: Callable[[], None]) -> None:
        handle_signals(self.loop, self.stop, again)
        self.start()
        while not self.is_finished():
            self.run_iteration()
        self.core.metrics.report()
        logger.info("stopped; {} checks fired", self.core.internal_errors)


def read_platform() -> Config | None:
    """What the platform says; ``None``, and the fault in the log, where it can't be used."""
    try:
        return from_environment()
    except Exception as wrong:
        # Whatever is wrong with a file, also in ways its reader did not foresee: at a reload the old one
        # stays in force, and a fault in it must not end the process.
        logger.error("configuration: {!r}", wrong)
        return None


def _asked(path: Path, config: Config) -> tuple[str, Path, list[str]]:
    return "controller", path, [c.name for c in config.settings.classes]


def _taken(result: ReadResult) -> Controller | None:
    for fault in result.faults:
        logger.error("{}", fault)
    controller: Controller | None = result.value
    return controller


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="python -m arrowrail", description="One call controller, as the platform starts it.",
        epilog="Sub-commands: sidecar, config, drill; see python -m arrowrail COMMAND --help.",
    )  # fmt: skip
    parser.add_argument(
        "--config", type=Path, help="the operator's records; absent: only what the platform says"
    )
    path: Path | None = parser.parse_args().config
    configure_logging(os.environ.get("ARROWRAIL_LOG", "INFO"))
    config, operator = read_platform(), None
    if config is None:
        return 1
    if path is not None:
        # Read in a process of its own, as at a reload: imported only where a file is named.
        from arrowrail.run.reader_process import ReaderProcess, read_and_wait

        operator = _taken(read_and_wait(*_asked(path, config)))
        if operator is None:
            return 1
        configure_logging(operator.log.level, operator.log.form)
    program = CallController(config, operator)
    kept = "reload: the file is not good; the configuration of before stays"

    def again() -> None:
        config = read_platform()
        if config is None:
            logger.error(kept)
        elif path is None:
            program.reload(config)
        else:
            reader.request(*_asked(path, config))

    def read(result: ReadResult) -> None:
        operator, config = _taken(result), read_platform()
        if operator is None or config is None:
            logger.error(kept)
        else:
            program.reload(config, operator)

    if path is not None:
        reader = ReaderProcess(program.loop, read)
    program.run(again)
    return 0
