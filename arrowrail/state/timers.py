"""The timers of the process, in one queue."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from loguru import logger


class Timer:
    """A scheduled callback.  A cancelled timer stays in the queue and is skipped."""

    __slots__ = ("callback", "due_ns")

    def __init__(self, due_ns: int, callback: Callable[[], None] | None) -> None:
        self.due_ns, self.callback = due_ns, callback

    def cancel(self) -> None:
        self.callback = None  # also drops the references that the callback holds


class TimerQueue:
    """A heap of timers, ordered by due time, then by order of scheduling."""

    __slots__ = ("_clock", "_heap", "_sequence", "now")

    def __init__(self, now: int = 0, clock: Callable[[], int] | None = None) -> None:
        self.now = now  # updated by the loop once per iteration and by ``refresh_clock``
        self._clock = clock
        self._heap: list[tuple[int, int, Timer]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def refresh_clock(self) -> None:
        """Read the clock within an iteration, where a pause has to count from output just written."""
        if self._clock is not None:
            self.now = max(self.now, self._clock())

    def schedule(self, due_ns: int, callback: Callable[[], None]) -> Timer:
        timer = Timer(due_ns, callback)
        self._sequence += 1
        heapq.heappush(self._heap, (due_ns, self._sequence, timer))
        if self._sequence % 4096 == 0:
            # Cancelled timers that are due far in the future would otherwise accumulate in the heap.
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
        return timer

    def next_due_ns(self) -> int | None:
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self) -> None:
        """Run the due timers; those that a callback schedules wait for the next iteration, even if due."""
        due = []
        while self._heap and self._heap[0][0] <= self.now:
            due.append(heapq.heappop(self._heap)[2])
        for timer in due:
            callback, timer.callback = timer.callback, None
            if callback is not None:
                try:
                    callback()
                except Exception:
                    # A fault in one callback must not end the process and all its calls.
                    logger.exception("timer callback failed")
