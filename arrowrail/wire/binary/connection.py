"""One connection to a desk exchange: in use, on its way out, or opened to see whether the server is there."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from arrowrail.core.requests import MS
from arrowrail.failure_detection.endpoint import CHECK_TIMEOUT_NS, GREETING_TIMEOUT_NS
from arrowrail.state.endpoints import TERMINATED
from arrowrail.telemetry.events import disconnect_reason, event
from arrowrail.wire.bad_input import MessageTimeout
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.reconnect import ReconnectTimer
from arrowrail.wire.stream import Stream, connect

if TYPE_CHECKING:
    from arrowrail.wire.binary.pool import ConnectionPool

UNHEARD_NS = 8_000 * MS  # how long a release that was written counts as possibly lost with its connection
MOST_UNHEARD = 200  # of one connection
UNFINISHED_NS = 500 * MS  # a message has 16 KiB at most: the rest of one is there within two round trips


@dataclass(frozen=True, slots=True)
class Release:
    """A release of a call toward the server; ``written_ns`` 0: it waits for a connection."""

    call: str
    data: bytes
    written_ns: int = 0


class ServerConnection:
    """One connection to a desk exchange, and the set-ups on it that are unanswered."""

    __slots__ = (
        "endpoint",
        "greeted",
        "opened_ns",
        "parser",
        "pool",
        "retry",
        "stream",
        "unfinished",
        "unheard",
        "waiting",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        self.opened_ns = 0  # when the present connection came up
        self.greeted = False  # whether anything came on it
        self.pool, self.endpoint = pool, pool.endpoint
        self.stream: Stream | None = None
        self.parser = binary.BinaryParser()
        self.waiting: dict[str, bytes] = {}  # unanswered set-ups by call, queued or sent
        self.unheard: dict[str, Release] = {}  # releases written here that the server has not confirmed
        self.retry = ReconnectTimer(pool.backend.loop, self.open)
        self.unfinished = MessageTimeout(pool.backend.loop, UNFINISHED_NS, self._stalled)

    @property
    def up(self) -> bool:
        return self.stream is not None and not self.stream.connecting

    def open(self) -> None:
        if self.stream is not None or not self.pool.in_use:
            return
        self.retry.cancel()
        self.parser = binary.BinaryParser()
        try:
            self.stream = connect(self.pool.backend.loop, self, self.endpoint.entry.address)
        except (OSError, ValueError) as why:  # no descriptor left, or no address
            logger.warning("no connection to {}: {}", self.endpoint.entry.uid, why)
            error = why if isinstance(why, OSError) else OSError(errno.EINVAL, str(why))
            self.pool.backend.loop.timers.schedule(self.pool.backend.loop.now, partial(self.lost, error))
            return
        self.retry.start_connect_timeout(self.pool.backend.connect_timeout_ns, self.stream)

    def connected(self) -> None:
        self.opened_ns, self.greeted = self.pool.backend.loop.now, False
        self.pool.monitor.connected(self.opened_ns)
        self.retry.reset_backoff()
        self.pool.flush_releases(self)

    def received(self, data: bytes) -> None:
        now, monitor = self.pool.backend.loop.now, self.pool.monitor
        monitor.data_received(now, self.opened_ns)
        if not self.greeted:
            self.greeted = True
            monitor.greeting_received(now, self.opened_ns)
        try:
            found = self.parser.feed(data)
            for message in found:
                self.pool.backend.message(self, message)
            self.unfinished.update(self.parser.pending, bool(found))
        except binary.BinaryError as wrong:
            self._unreadable(str(wrong))

    def _stalled(self) -> None:
        # Guards against a message that claims to be longer than it is: all that follows, answers and releases
        # of other calls too, would be swallowed as its rest for as long as the connection stays open.
        self._unreadable(f"stopped in the middle of a message: {self.parser.head}")

    def _unreadable(self, why: str) -> None:
        self.pool.backend.report_unreadable(self.endpoint, why)
        if self.stream is not None:
            self.stream.fail(OSError(errno.EPROTO, why))

    def lost(self, why: OSError | None) -> None:
        stream, self.stream = self.stream, None
        self.unfinished.cancel()
        waiting, self.waiting = self.waiting, {}
        self._log_loss(stream is not None and not stream.connecting, why, len(waiting))
        if stream is not None:
            # Guards against a call that its caller ended standing on beyond a broken connection: what was
            # written may have gone down with it.
            since = self.pool.backend.loop.now - UNHEARD_NS
            unheard, self.unheard = self.unheard, {}
            self.pool.queue_releases([r for r in unheard.values() if r.written_ns > since])
        if self.endpoint.entry.state != TERMINATED:
            self.retry.schedule()
            self.pool.connection_failed(why)
        never_up = stream is None or stream.connecting
        for call, data in waiting.items():
            unsent = stream is None or never_up or stream.is_unsent(call)
            self.pool.interrupted(call, data, never_up, unsent)

    def _log_loss(self, was_up: bool, why: OSError | None, waiting: int) -> None:
        name = "server.connection_lost" if was_up else "server.connect_failed"
        self.pool.backend.core.metrics.count(name, disconnect_reason(why))
        event(name, "{server}: {reason}, {waiting} unanswered set-ups on the connection", level="DEBUG",
              server=self.endpoint.entry.uid, reason=disconnect_reason(why), waiting=waiting)  # fmt: skip

    def send_set_up(self, call: str, data: bytes) -> None:
        self.waiting[call] = data
        self.open()
        if self.stream is not None:
            self.stream.send(data, call)

    def send_release(self, call: str, data: bytes) -> None:
        """Write a release; it is remembered until the server confirms it, which it need not do."""
        if self.stream is None:
            return
        self.unheard[call] = Release(call, data, self.pool.backend.loop.now)
        if len(self.unheard) > MOST_UNHEARD:
            del self.unheard[next(iter(self.unheard))]
        self.stream.send(data)

    def close(self) -> None:
        self.retry.cancel()
        self.unfinished.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()


class ClosingConnection(ServerConnection):
    """Takes over a connection that is no longer used: half-closed, and read until the server closes it."""

    __slots__ = ()

    def take_over(self, connection: ServerConnection) -> None:
        stream, connection.stream = connection.stream, None
        if stream is None:
            return
        self.stream, self.parser = stream, connection.parser
        self.opened_ns, self.greeted = connection.opened_ns, connection.greeted
        stream.owner = self
        connection.unfinished.cancel()
        stream.half_close()

    def lost(self, why: OSError | None) -> None:
        self.stream = None
        self.unfinished.cancel()


class ReachabilityCheck(ServerConnection):
    """One more connection, tried while calls stand and the server says nothing: does it still come up?

    It carries no set-ups.  Once it is up it is read for a while, since a server may send on it what it still
    has to tell, and then closed in good order.
    """

    __slots__ = ("begun_ns",)

    def __init__(self, pool: ConnectionPool) -> None:
        super().__init__(pool)
        self.begun_ns = pool.backend.loop.now

    @property
    def pending(self) -> bool:
        """Whether it has brought nothing yet, and still may."""
        return not self.greeted and self.stream is not None and not self.stream.closing

    def open(self) -> None:
        super().open()
        if self.stream is not None:
            self.retry.cancel()
            self.retry.start_connect_timeout(CHECK_TIMEOUT_NS, self.stream)

    def connected(self) -> None:
        super().connected()
        loop = self.pool.backend.loop
        loop.timers.schedule(loop.now + GREETING_TIMEOUT_NS, self._done)

    def _done(self) -> None:
        self.unfinished.cancel()
        if self.stream is None:
            return
        if not self.greeted:
            self.pool.monitor.greeting_missing(self.pool.backend.loop.now)
        self.stream.half_close()

    def lost(self, why: OSError | None) -> None:
        was_up, was_left = self.up, self.stream is not None and self.stream.closing
        self.stream = None
        self.unfinished.cancel()
        self.retry.cancel()
        self._log_loss(was_up, why, 0)
        if self in self.pool.checks:
            self.pool.checks.remove(self)
        if not was_up:
            self.pool.check_failed(why)
        elif not self.greeted and not was_left:
            self.pool.monitor.connection_limit_reached(
                self.pool.backend.loop.now
            )  # it took the connection, and ended it
