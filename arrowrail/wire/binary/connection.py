"""Connections to an endpoint: for regular use, while closing, and for reachability checks."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from loguru import logger

from arrowrail.core.requests import MS
from arrowrail.failure_detection.endpoint import CHECK_TIMEOUT_NS, GREETING_TIMEOUT_NS, EndpointMonitor
from arrowrail.failure_detection.identity import Opening
from arrowrail.state.endpoints import TERMINATED, Endpoint
from arrowrail.telemetry.events import disconnect_reason, event
from arrowrail.wire.bad_input import MessageTimeout
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary.messages import BinaryMessage
from arrowrail.wire.binary.services import BackendServices
from arrowrail.wire.reconnect import ReconnectTimer
from arrowrail.wire.stream import Stream, connect

# A release written within this time before its connection broke may be lost: it is sent again.
RELEASE_RESEND_WINDOW_NS = 8_000 * MS
MAX_UNACKNOWLEDGED = 200  # releases remembered per connection
# A message has 16 KiB at most, so its remainder arrives within two round trips.
MESSAGE_TIMEOUT_NS = 500 * MS


@dataclass(frozen=True, slots=True)
class Release:
    """A release of a call toward the server; ``written_ns`` is 0 while it waits for a connection."""

    call_id: str
    data: bytes
    written_ns: int = 0


class ConnectionOwner(Protocol):
    """What a connection needs of the pool that it belongs to."""

    services: BackendServices
    endpoint: Endpoint
    monitor: EndpointMonitor

    @property
    def in_use(self) -> bool: ...
    @property
    def oldest_call_ns(self) -> int: ...
    def message_received(self, connection: ServerConnection, message: BinaryMessage) -> None: ...
    def connection_failed(self, error: OSError | None) -> None: ...
    def check_failed(self, error: OSError | None) -> None: ...
    def check_ended(self, check: ReachabilityCheck) -> None: ...
    def set_up_interrupted(self, call_id: str, data: bytes, never_connected: bool, unsent: bool) -> None: ...
    def queue_releases(self, releases: list[Release]) -> None: ...
    def flush_releases(self, connection: ServerConnection) -> None: ...


class ServerConnection:
    """One connection to an endpoint and the unanswered set-ups on it; reconnects after a failure."""

    __slots__ = (
        "endpoint",
        "has_received",
        "message_timeout",
        "opening",
        "parser",
        "pending_set_ups",
        "pool",
        "reconnect_timer",
        "stream",
        "unacknowledged_releases",
    )

    def __init__(self, pool: ConnectionOwner) -> None:
        self.opening = Opening(0, 0)  # of the current connection
        self.has_received = False  # whether any data came on the current connection
        self.pool, self.endpoint = pool, pool.endpoint
        self.stream: Stream | None = None
        self.parser = binary.BinaryParser()
        self.pending_set_ups: dict[str, bytes] = {}  # unanswered set-ups by call id, queued or sent
        self.unacknowledged_releases: dict[str, Release] = {}  # written here, not confirmed by the server
        self.reconnect_timer = ReconnectTimer(pool.services.loop, self.open)
        self.message_timeout = MessageTimeout(
            pool.services.loop, MESSAGE_TIMEOUT_NS, self._on_message_timeout
        )

    @property
    def up(self) -> bool:
        return self.stream is not None and not self.stream.connecting

    def open(self) -> None:
        if self.stream is not None or not self.pool.in_use:
            return
        self.reconnect_timer.cancel()
        self.parser = binary.BinaryParser()
        try:
            self.stream = connect(self.pool.services.loop, self, self.endpoint.entry.address)
        except (OSError, ValueError) as failure:  # out of descriptors, or the address is not valid
            logger.warning("cannot connect to {}: {}", self.endpoint.entry.uid, failure)
            error = failure if isinstance(failure, OSError) else OSError(errno.EINVAL, str(failure))
            self.pool.services.loop.timers.schedule(self.pool.services.loop.now, partial(self.lost, error))
            return
        self.reconnect_timer.start_connect_timeout(self.pool.services.connect_timeout_ns, self.stream)

    def connected(self) -> None:
        self.has_received = False
        self.opening = self.pool.monitor.connected(self.pool.services.loop.now)
        self.reconnect_timer.reset_backoff()
        self.pool.flush_releases(self)

    def received(self, data: bytes) -> None:
        now, monitor = self.pool.services.loop.now, self.pool.monitor
        monitor.data_received(now, self.opening.opened_ns, self.pool.oldest_call_ns)
        if not self.has_received:
            self.has_received = True
            monitor.greeting_received(now, self.opening.opened_ns)
        try:
            messages = self.parser.feed(data)
            for message in messages:
                self.pool.message_received(self, message)
            self.message_timeout.update(self.parser.pending, bool(messages))
        except binary.BinaryError as error:
            self._fail_unreadable(str(error))

    def _on_message_timeout(self) -> None:
        # Guards against a length field that is larger than the message: all that follows, including answers
        # and releases of other calls, would be consumed as its remainder while the connection is open.
        self._fail_unreadable(f"message timed out incomplete, starting with {self.parser.pending_hex}")

    def _fail_unreadable(self, reason: str) -> None:
        self.pool.services.report_unreadable(self.endpoint, reason)
        if self.stream is not None:
            self.stream.fail(OSError(errno.EPROTO, reason))

    def lost(self, error: OSError | None) -> None:
        stream, self.stream = self.stream, None
        self.message_timeout.cancel()
        pending, self.pending_set_ups = self.pending_set_ups, {}
        self._log_disconnect(stream is not None and not stream.connecting, error, len(pending))
        if stream is not None:
            # Guards against a call staying up at the server after its caller has ended it: a release that
            # was written may be lost with the connection.
            since = self.pool.services.loop.now - RELEASE_RESEND_WINDOW_NS
            releases, self.unacknowledged_releases = self.unacknowledged_releases, {}
            self.pool.queue_releases([r for r in releases.values() if r.written_ns > since])
        if self.endpoint.entry.state != TERMINATED:
            self.reconnect_timer.schedule()
            self.pool.connection_failed(error)
        never_connected = stream is None or stream.connecting
        for call_id, data in pending.items():
            unsent = stream is None or never_connected or stream.is_unsent(call_id)
            self.pool.set_up_interrupted(call_id, data, never_connected, unsent)

    def _log_disconnect(self, was_up: bool, error: OSError | None, pending: int) -> None:
        name = "server.connection_lost" if was_up else "server.connect_failed"
        self.pool.services.core.metrics.count(name, disconnect_reason(error))
        event(name, "{server}: {reason}, {waiting} unanswered set-ups on the connection", level="DEBUG",
              server=self.endpoint.entry.uid, reason=disconnect_reason(error), waiting=pending)  # fmt: skip

    def send_set_up(self, call_id: str, data: bytes) -> None:
        self.pending_set_ups[call_id] = data
        self.open()
        if self.stream is not None:
            self.stream.send(data, call_id)

    def send_release(self, call_id: str, data: bytes) -> None:
        """Write a release and remember it until the server confirms it, which the server may omit."""
        if self.stream is None:
            return
        self.unacknowledged_releases[call_id] = Release(call_id, data, self.pool.services.loop.now)
        if len(self.unacknowledged_releases) > MAX_UNACKNOWLEDGED:
            del self.unacknowledged_releases[next(iter(self.unacknowledged_releases))]
        self.stream.send(data)

    def close(self) -> None:
        self.reconnect_timer.cancel()
        self.message_timeout.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()


class ClosingConnection(ServerConnection):
    """Takes over the stream of a connection that is no longer used, half-closed and read until it ends."""

    __slots__ = ()

    def take_over(self, connection: ServerConnection) -> None:
        stream, connection.stream = connection.stream, None
        if stream is None:
            return
        self.stream, self.parser = stream, connection.parser
        self.opening, self.has_received = connection.opening, connection.has_received
        stream.handler = self
        connection.message_timeout.cancel()
        stream.half_close()

    def lost(self, error: OSError | None) -> None:
        self.stream = None
        self.message_timeout.cancel()


class ReachabilityCheck(ServerConnection):
    """An additional connection, to test whether a silent server with established calls still accepts one.

    It carries no set-ups.  Once up it is read for a while, since the server may report pending releases on
    it, and is then closed gracefully.
    """

    __slots__ = ("started_ns",)

    def __init__(self, pool: ConnectionOwner) -> None:
        super().__init__(pool)
        self.started_ns = pool.services.loop.now

    @property
    def pending(self) -> bool:
        """Whether the check has no result yet."""
        return not self.has_received and self.stream is not None and not self.stream.closing

    def open(self) -> None:
        super().open()
        if self.stream is not None:
            self.reconnect_timer.cancel()
            self.reconnect_timer.start_connect_timeout(CHECK_TIMEOUT_NS, self.stream)

    def connected(self) -> None:
        super().connected()
        loop = self.pool.services.loop
        loop.timers.schedule(loop.now + GREETING_TIMEOUT_NS, self._finish)

    def _finish(self) -> None:
        self.message_timeout.cancel()
        if self.stream is None:
            return
        if not self.has_received:
            self.pool.monitor.greeting_missing(self.pool.services.loop.now)
        self.stream.half_close()

    def lost(self, error: OSError | None) -> None:
        was_up, was_closing = self.up, self.stream is not None and self.stream.closing
        self.stream = None
        self.message_timeout.cancel()
        self.reconnect_timer.cancel()
        self._log_disconnect(was_up, error, 0)
        self.pool.check_ended(self)
        if not was_up:
            self.pool.check_failed(error)
        elif not self.has_received and not was_closing:
            # The server accepted the connection and closed it at once.
            self.pool.monitor.connection_limit_reached(self.pool.services.loop.now)
