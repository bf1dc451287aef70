"""When to try a broken connection again."""

from __future__ import annotations

import errno
from collections.abc import Callable

from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer
from arrowrail.wire.stream import Stream

MIN_BACKOFF_NS, MAX_BACKOFF_NS = 50 * MS, 1_000 * MS


class ReconnectTimer:
    def __init__(self, loop: Loop, open_: Callable[[], None]) -> None:
        self._loop, self._open = loop, open_
        self._pause = MIN_BACKOFF_NS
        self._again: Timer | None = None
        self._timeout: Timer | None = None

    def start_connect_timeout(self, limit_ns: int, stream: Stream) -> None:
        """Fail the stream if it does not come up in time: a machine that vanished answers nothing."""
        late = OSError(errno.ETIMEDOUT, "connect")
        self._timeout = self._loop.timers.schedule(
            self._loop.now + limit_ns, lambda: stream.fail(late) if stream.connecting else None
        )

    def reset_backoff(self) -> None:
        self._pause = MIN_BACKOFF_NS

    def schedule(self) -> None:
        """Try again later, at doubling pauses."""
        self.cancel()
        self._again = self._loop.timers.schedule(self._loop.now + self._pause, self._open)
        self._pause = min(2 * self._pause, MAX_BACKOFF_NS)

    def cancel(self) -> None:
        for deadline in (self._again, self._timeout):
            if deadline is not None:
                deadline.cancel()
