"""The event loop: socket readiness, timers, and a clock that is read once per iteration."""

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
Pollable = socket.socket | IO[Any]  # a socket or a pipe


class Loop:
    """``run_once`` waits for readiness, reads the clock, and calls the ready callbacks and the due timers."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        # A monotonic clock, offset to Unix time once at the start: it never steps back and is comparable with
        # the times in the exchange list.
        self._unix_offset_ns = time.time_ns() - time.monotonic_ns()
        self.closing_streams: dict[Any, None] = {}  # streams that close once flushed, oldest first
        self.timers = TimerQueue(self.clock(), self.clock)
        self._after_callbacks: list[Callable[[], None]] = []

    def clock(self) -> int:
        """Return the current time, which may be later than ``now``, that of the iteration."""
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
        with contextlib.suppress(KeyError, ValueError):  # never watched, or already closed
            self._selector.unregister(sock)

    def after_callbacks(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` once, after the ready callbacks of this iteration and before its timers."""
        self._after_callbacks.append(callback)

    def run_once(self, no_wait: bool = False) -> None:
        """Run one iteration.  ``no_wait``: work is pending that no socket or timer signals."""
        wait_ns = 0
        if not no_wait:
            due_ns = self.timers.next_due_ns()
            now = self.clock()
            wait_ns = MAX_WAIT_NS if due_ns is None else max(0, min(due_ns - now, MAX_WAIT_NS))
        ready = self._selector.select(wait_ns / 1e9)
        self.timers.now = self.clock()
        for key, mask in ready:
            if self._selector.get_map().get(key.fd) is not key:
                continue  # closed or changed by an earlier callback of this iteration
            key.data(mask)
        callbacks, self._after_callbacks = self._after_callbacks, []
        for callback in callbacks:
            callback()
        self.timers.run_due()
