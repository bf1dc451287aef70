"""Start, serve, stop."""

from __future__ import annotations

import os
import sys

from loguru import logger

from arrowrail.core import MS, Core
from arrowrail.run.config import Config, from_environment
from arrowrail.run.loop import Loop
from arrowrail.run.wake import on_signal
from arrowrail.wire.bus_client import BusClient
from arrowrail.wire.desk_back import DeskBack
from arrowrail.wire.sip_front import SipFront

# After SIGTERM connections come for up to 0.4 s more, and requests on them for 0.2 s after that.
STILL_COMING_NS = 700 * MS


class Program:
    def __init__(self, config: Config) -> None:
        self.loop = Loop()
        self.core = Core(config.settings, config.seed, self.loop.deadlines)
        DeskBack(self.loop, self.core, config.connect_timeout_ns)
        self.front = SipFront(self.loop, self.core, config.listen, config.sockets)
        self.bus = BusClient(self.loop, self.core, config.bus)
        self.config = config
        self.stopping_at = 0  # when nothing new can come any more; 0: not told to stop

    def start(self) -> None:
        on_signal(self.loop, self.stop)
        self.bus.start(list(self.config.known), self.config.offset)
        self.core.turn()
        self.front.start()
        logger.info("{} serves on {}", self.config.name, self.config.listen)

    def stop(self, number: int) -> None:
        """Told to stop: go on serving until nothing new can come and all that was taken is answered."""
        if not self.stopping_at:
            self.stopping_at = self.loop.now + STILL_COMING_NS
            logger.info("signal {}: finishing {} requests", number, self.core.unanswered)
            self.loop.deadlines.at(self.stopping_at, lambda: None)

    def turn(self) -> None:
        self.loop.turn(at_once=bool(self.core.events))
        self.core.turn()

    def done(self) -> bool:
        return bool(self.stopping_at) and self.loop.now >= self.stopping_at and not self.core.unanswered

    def run(self) -> None:
        self.start()
        while not self.done():
            self.turn()
        logger.info("stopped; {} checks fired", self.core.defects)


def main() -> int:
    logger.remove()
    logger.add(sys.stderr, level=os.environ.get("ARROWRAIL_LOG", "INFO"), backtrace=False, diagnose=False)
    try:
        config = from_environment()
    except (KeyError, OSError, ValueError) as wrong:
        logger.error("configuration: {}", wrong)
        return 1
    Program(config).run()
    return 0
