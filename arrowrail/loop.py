"""The one loop: readiness, deadlines, and a clock that is read once a turn."""

from __future__ import annotations

import contextlib
import selectors
import socket
import time
from collections.abc import Callable
from typing import IO, Any

from arrowrail.state.timers import TimerQueue

READ, WRITE = selectors.EVENT_READ, selectors.EVENT_WRITE
MAX_WAIT_NS = 1_000_000_000
ReadyCallback = Callable[[int], None]
Pollable = socket.socket | IO[Any]  # or a pipe


class Loop:
    """``turn`` waits, reads the clock, hands readiness out and runs what is due."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        # Monotonic, anchored to Unix time once: list times compare with it, and it never steps back.
        self._unix_offset_ns = time.time_ns() - time.monotonic_ns()
        self.closing_streams: dict[Any, None] = {}  # streams that were told their last word, oldest first
        self.timers = TimerQueue(self._clock(), self._clock)

    def _clock(self) -> int:
        return self._unix_offset_ns + time.monotonic_ns()

    @property
    def now(self) -> int:
        return self.timers.now

    def watch(self, sock: Pollable, mask: int, ready: ReadyCallback) -> None:
        try:
            self._selector.modify(sock, mask, ready)
        except KeyError:
            self._selector.register(sock, mask, ready)

    def unwatch(self, sock: Pollable) -> None:
        with contextlib.suppress(KeyError, ValueError):  # was never watched, or is closed already
            self._selector.unregister(sock)

    def run_once(self, no_wait: bool = False) -> None:
        """One wait and what it brought; ``no_wait`` where work is left that no socket announces."""
        wait_ns = 0
        if not no_wait:
            due = self.timers.next_due_ns()
            now = self._clock()
            wait_ns = MAX_WAIT_NS if due is None else max(0, min(due - now, MAX_WAIT_NS))
        ready = self._selector.select(wait_ns / 1e9)
        self.timers.now = self._clock()
        for key, mask in ready:
            if self._selector.get_map().get(key.fd) is not key:
                continue  # closed or changed by an earlier one of this turn
            key.data(mask)
        self.timers.run_due()
