"""Protection against faulty peers: a timeout for incomplete messages and rate-limited log warnings."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer

LOG_INTERVAL_NS = 5_000 * MS


class MessageTimeout:
    """Calls ``on_timeout`` if a message stays incomplete for too long, even if bytes keep trickling in.

    ``timeout_ns`` counts from its beginning, or from its last bytes if there is a ``longest_ns``, which then
    limits the time from its beginning.
    """

    __slots__ = ("_began_ns", "_longest_ns", "_loop", "_on_timeout", "_timeout_ns", "_timer")

    def __init__(
        self, loop: Loop, timeout_ns: int, on_timeout: Callable[[], None], longest_ns: int = 0
    ) -> None:
        self._loop, self._timeout_ns, self._on_timeout = loop, timeout_ns, on_timeout
        self._longest_ns = longest_ns or timeout_ns
        self._timer: Timer | None = None
        self._began_ns = 0

    def update(self, pending: bool, completed: bool) -> None:
        """Start or cancel the timeout; to be called after each read.

        ``pending``: a message is incomplete; ``completed``: at least one was completed by this read.
        """
        if self._timer is not None and (completed or not pending):
            self.cancel()
        if not pending:
            return
        now = self._loop.now
        if self._timer is None:
            self._began_ns = now
        else:
            self._timer.cancel()
        due_ns = min(now + self._timeout_ns, self._began_ns + self._longest_ns)
        self._timer = self._loop.timers.schedule(due_ns, self._on_timeout)

    def cancel(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class RateLimitedWarning:
    """Counts bad input and logs one warning per ``LOG_INTERVAL_NS``, with the count since the last one."""

    __slots__ = ("_loop", "_next_log_ns", "total", "unreported")

    def __init__(self, loop: Loop) -> None:
        self._loop, self._next_log_ns = loop, 0
        self.total = self.unreported = 0  # unreported: counted since the last warning

    def record(self, text: str) -> None:
        self.total += 1
        self.unreported += 1
        if self._loop.now >= self._next_log_ns:
            logger.warning("{} ({} such events since the last warning)", text, self.unreported)
            self._next_log_ns, self.unreported = self._loop.now + LOG_INTERVAL_NS, 0
