"""An age limit on messages that have begun and not ended, and log lines that a bad peer can't multiply."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer

LOG_PAUSE_NS = 5_000 * MS


class MessageTimeout:
    """Runs ``late`` if a message stays unfinished for too long, however its bytes trickle in."""

    __slots__ = ("_deadline", "_late", "_limit", "_loop")

    def __init__(self, loop: Loop, limit_ns: int, late: Callable[[], None]) -> None:
        self._loop, self._limit, self._late = loop, limit_ns, late
        self._deadline: Timer | None = None

    def update(self, pending: bool, finished: bool) -> None:
        """After each read: whether a message is begun, and whether any has been finished by it."""
        if self._deadline is not None and (finished or not pending):
            self.cancel()
        if pending and self._deadline is None:
            self._deadline = self._loop.timers.schedule(self._loop.now + self._limit, self._late)

    def cancel(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None


class RateLimitedWarning:
    """Bad input is counted; a line says how much there was, once in a while."""

    __slots__ = ("_loop", "_next", "total", "unlogged")

    def __init__(self, loop: Loop) -> None:
        self._loop, self._next = loop, 0
        self.total = self.unlogged = 0

    def record(self, what: str) -> None:
        self.total += 1
        self.unlogged += 1
        if self._loop.now >= self._next:
            logger.warning("{} ({} like it since the last such line)", what, self.unlogged)
            self._next, self.unlogged = self._loop.now + LOG_PAUSE_NS, 0
