"""Follows the event bus: one connection that reads its stream, and comes back when it ends."""

from __future__ import annotations

import errno

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer
from arrowrail.telemetry.events import disconnect_reason
from arrowrail.telemetry.events import event as log_event
from arrowrail.wire.bus.messages import BusError, BusEvent, StreamParser, get
from arrowrail.wire.stream import Stream, connect

# News counts as told 2 s after a break, 4 s after the stream stops: both hold with several tries to spare.
MIN_BACKOFF_NS, MAX_BACKOFF_NS = 50 * MS, 250 * MS
SILENCE_TIMEOUT_NS = 2_500 * MS  # a comment comes each second: after two missed ones the stream is dead
CONNECT_NS = 1_000 * MS
SOURCE = "bus"


class BusClient:
    def __init__(self, loop: Loop, core: Core, address: str) -> None:
        self.loop, self.core, self.address = loop, core, address
        self.last = 0
        self.pause_ns = MIN_BACKOFF_NS
        self.stream: Stream | None = None
        self.parser = StreamParser()
        self.silence: Timer | None = None
        self.again: Timer | None = None
        self.asked_again_for = -1  # the gap that was asked for once already
        self._following = False  # whether the log says that the stream is being read

    def start(self, known: list[BusEvent], offset: int) -> None:
        """What the configuration holds comes first; the stream goes on from there."""
        for event in known:
            self._take(event)
        self.last = max(self.last, offset)
        if self.address:  # absent where the list comes from elsewhere, or is fixed
            self.open()

    def change_address(self, address: str) -> None:
        """Go on reading at another address, from the last number held: the numbers continue there."""
        if address == self.address:
            return
        self.address, self.pause_ns = address, MIN_BACKOFF_NS
        for deadline in (self.silence, self.again):
            if deadline is not None:
                deadline.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        if address:
            self.open()

    def open(self) -> None:
        self.parser = StreamParser()
        try:
            self.stream = connect(self.loop, self, self.address)
        except (OSError, ValueError) as why:  # no descriptor left, or no address
            logger.warning("event bus: {}", why)
            self._schedule_reconnect()
            return
        self.stream.send(get(self.address, self.last))
        self._heard(CONNECT_NS)

    def connected(self) -> None:
        self._heard()

    def received(self, data: bytes) -> None:
        self._heard()
        if not self._following:
            self._following = True
            log_event("discovery.connected", "event bus at {address} is read from event {last} on",
                  address=self.address, last=self.last)  # fmt: skip
        try:
            events = self.parser.feed(data)
        except BusError as wrong:
            logger.warning("event bus: {}", wrong)
            self._cut(OSError(errno.EPROTO, str(wrong)))
            return
        for event in events:
            if event.offset > self.last + 1 and self.asked_again_for != self.last:
                # Guards against news lost in a gap: ask again from the last event held.  What is still
                # missing then is not to be had, and the stream goes on behind it.
                logger.warning("event bus: gap between {} and {}", self.last, event.offset)
                self.asked_again_for = self.last
                self._cut(None)
                return
            self._take(event)
        if events:
            self.pause_ns = MIN_BACKOFF_NS
        if self.parser.complete:
            self._cut(None)

    def _take(self, event: BusEvent) -> None:
        if event.offset <= self.last:
            return  # held already
        self.last = event.offset
        self.core.metrics.count("discovery.events")
        self.core.update_endpoints(SOURCE, event.snapshot, event.entries)

    def _heard(self, next_within_ns: int = 0) -> None:
        if self.silence is not None:
            self.silence.cancel()
        late = OSError(errno.ETIMEDOUT, "silent")
        self.silence = self.loop.timers.schedule(
            self.loop.now + (next_within_ns or SILENCE_TIMEOUT_NS), lambda: self._cut(late)
        )

    def _cut(self, why: OSError | None) -> None:
        if self.stream is not None:
            self.stream.fail(why)

    def lost(self, why: OSError | None) -> None:
        self.stream = None
        reason = disconnect_reason(why)
        self.core.metrics.count("discovery.lost", reason)
        if self._following:
            self._following = False
            log_event("discovery.lost", "event bus at {address} is out of reach: {reason}", level="WARNING",
                  address=self.address, reason=reason)  # fmt: skip
        if self.silence is not None:
            self.silence.cancel()
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        self.again = self.loop.timers.schedule(self.loop.now + self.pause_ns, self.open)
        self.pause_ns = min(2 * self.pause_ns, MAX_BACKOFF_NS)
