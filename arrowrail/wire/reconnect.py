"""Reconnect timing: exponential backoff between connection attempts, and a timeout for each of them."""

from __future__ import annotations

import errno
from collections.abc import Callable

from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer
from arrowrail.wire.stream import Stream

MIN_BACKOFF_NS, MAX_BACKOFF_NS = 50 * MS, 1_000 * MS


class ReconnectTimer:
    """Schedules the reconnects of one connection and fails attempts that take too long."""

    def __init__(self, loop: Loop, connect: Callable[[], None]) -> None:
        self._loop, self._connect = loop, connect
        self._backoff_ns = MIN_BACKOFF_NS
        self._retry_timer: Timer | None = None
        self._timeout_timer: Timer | None = None

    def start_connect_timeout(self, timeout_ns: int, stream: Stream) -> None:
        """Fail the stream if it is not connected in time; a host that is down doesn't answer at all."""
        error = OSError(errno.ETIMEDOUT, "connect")
        self._timeout_timer = self._loop.timers.schedule(
            self._loop.now + timeout_ns, lambda: stream.fail(error) if stream.connecting else None
        )

    def reset_backoff(self) -> None:
        self._backoff_ns = MIN_BACKOFF_NS

    def schedule(self) -> None:
        """Schedule the next connection attempt and double the backoff up to its maximum."""
        self.cancel()
        self._retry_timer = self._loop.timers.schedule(self._loop.now + self._backoff_ns, self._connect)
        self._backoff_ns = min(2 * self._backoff_ns, MAX_BACKOFF_NS)

    def cancel(self) -> None:
        for timer in (self._retry_timer, self._timeout_timer):
            if timer is not None:
                timer.cancel()
