"""Client of the event bus: keeps one connection that reads the event stream, and reconnects when it ends."""

from __future__ import annotations

import errno

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer
from arrowrail.telemetry.events import disconnect_reason
from arrowrail.telemetry.events import event as log_event
from arrowrail.wire.bus.messages import BusError, BusEvent, StreamParser, stream_request
from arrowrail.wire.stream import Stream, connect

# The controller is expected to know an update 2 s after the connection breaks, or 4 s after the stream falls
# silent. Both limits leave time for several attempts at these values.
MIN_BACKOFF_NS, MAX_BACKOFF_NS = 50 * MS, 250 * MS
SILENCE_TIMEOUT_NS = 2_500 * MS  # the bus sends a comment each second: two missed ones mean a dead stream
CONNECT_TIMEOUT_NS = 1_000 * MS
# The wait for a response begins with the silence timeout and doubles with each try without one: a bus that
# takes its time, or that many readers wait for, would otherwise never be read.
MAX_DOUBLINGS = 8
MAX_RESPONSE_TIMEOUT_NS = 7_000 * MS  # PROTOCOL: from then on, what the bus has to tell counts as told
SOURCE = "bus"


class BusClient:
    """Passes the list updates of the bus to the core, each once and in order."""

    def __init__(self, loop: Loop, core: Core, address: str) -> None:
        self.loop, self.core, self.address = loop, core, address
        self.last_offset = 0
        self.backoff_ns = MIN_BACKOFF_NS
        self.stream: Stream | None = None
        self.parser = StreamParser()
        self.silence_timer: Timer | None = None
        self.reconnect_timer: Timer | None = None
        self.gap_retried_after = -1  # the offset before the gap that has been requested again
        self._tries_without_response = 0
        self._streaming = False  # whether the last log event says that the stream is being read

    def start(self, known: list[BusEvent], offset: int) -> None:
        """Apply the events of the configuration, then read the stream from ``offset`` on."""
        for event in known:
            self._apply(event)
        self.last_offset = max(self.last_offset, offset)
        if self.address:  # empty if the list comes from another source or is fixed
            self.open()

    def change_address(self, address: str) -> None:
        """Continue at another address from the last offset read: the bus there uses the same offsets."""
        if address == self.address:
            return
        self.address, self.backoff_ns = address, MIN_BACKOFF_NS
        self._tries_without_response = 0
        for timer in (self.silence_timer, self.reconnect_timer):
            if timer is not None:
                timer.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        if address:
            self.open()

    def open(self) -> None:
        self.parser = StreamParser()
        try:
            self.stream = connect(self.loop, self, self.address)
        except (OSError, ValueError) as error:  # out of file descriptors, or an invalid address
            logger.warning("event bus: {}", error)
            self._schedule_reconnect()
            return
        self.stream.send(stream_request(self.address, self.last_offset))
        self._restart_silence_timer(CONNECT_TIMEOUT_NS)

    def connected(self) -> None:
        timeout_ns = min(SILENCE_TIMEOUT_NS << self._tries_without_response, MAX_RESPONSE_TIMEOUT_NS)
        self._restart_silence_timer(timeout_ns)
        self._tries_without_response = min(self._tries_without_response + 1, MAX_DOUBLINGS)

    def received(self, data: bytes) -> None:
        self._tries_without_response = 0
        self._restart_silence_timer()
        if not self._streaming:
            self._streaming = True
            log_event("discovery.connected", "reading the event bus at {address} from event {last}",
                  address=self.address, last=self.last_offset)  # fmt: skip
        try:
            events = self.parser.feed(data)
        except BusError as error:
            logger.warning("event bus: {}", error)
            self._disconnect(OSError(errno.EPROTO, str(error)))
            return
        for event in events:
            if event.offset > self.last_offset + 1 and self.gap_retried_after != self.last_offset:
                # Reads again from the last event, so that no event is lost in a gap. Events that are missing
                # the second time too are not available; reading continues after the gap.
                logger.warning("event bus: gap between events {} and {}", self.last_offset, event.offset)
                self.gap_retried_after = self.last_offset
                self._disconnect(None)
                return
            self._apply(event)
        if events:
            self.backoff_ns = MIN_BACKOFF_NS
        if self.parser.complete:
            self._disconnect(None)

    def _apply(self, event: BusEvent) -> None:
        if event.offset <= self.last_offset:
            return  # applied already
        self.last_offset = event.offset
        self.core.metrics.count("discovery.events")
        self.core.update_endpoints(SOURCE, event.snapshot, event.entries)

    def _restart_silence_timer(self, timeout_ns: int = 0) -> None:
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        error = OSError(errno.ETIMEDOUT, "no data from the event bus")
        self.silence_timer = self.loop.timers.schedule(
            self.loop.now + (timeout_ns or SILENCE_TIMEOUT_NS), lambda: self._disconnect(error)
        )

    def _disconnect(self, error: OSError | None) -> None:
        if self.stream is not None:
            self.stream.fail(error)

    def lost(self, error: OSError | None) -> None:
        self.stream = None
        reason = disconnect_reason(error)
        self.core.metrics.count("discovery.lost", reason)
        if self._streaming:
            self._streaming = False
            log_event("discovery.lost", "lost the connection to the event bus at {address}: {reason}",
                  level="WARNING", address=self.address, reason=reason)  # fmt: skip
        if self.silence_timer is not None:
            self.silence_timer.cancel()
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        self.reconnect_timer = self.loop.timers.schedule(self.loop.now + self.backoff_ns, self.open)
        self.backoff_ns = min(2 * self.backoff_ns, MAX_BACKOFF_NS)
