"""All deadlines of the process, in one ordered structure."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from loguru import logger


class Timer:
    """One thing to do at a time; ``cancel`` leaves it in the order, to be passed over."""

    __slots__ = ("callback", "due_ns")

    def __init__(self, at: int, act: Callable[[], None] | None) -> None:
        self.due_ns, self.callback = at, act

    def cancel(self) -> None:
        self.callback = None  # also lets go of what the callback holds


class TimerQueue:
    """A heap by time, then by order of entry, so that equal times run as they were set."""

    __slots__ = ("_clock", "_heap", "_sequence", "now")

    def __init__(self, now: int = 0, clock: Callable[[], int] | None = None) -> None:
        self.now = now  # the one clock: read by the loop once a turn, and by ``refresh``
        self._clock = clock
        self._heap: list[tuple[int, int, Timer]] = []
        self._sequence = 0

    def __len__(self) -> int:
        return len(self._heap)

    def refresh_clock(self) -> None:
        """Read the clock within a turn, where a pause is to count from what has just been written."""
        if self._clock is not None:
            self.now = max(self.now, self._clock())

    def schedule(self, when: int, act: Callable[[], None]) -> Timer:
        deadline = Timer(when, act)
        self._sequence += 1
        heapq.heappush(self._heap, (when, self._sequence, deadline))
        if self._sequence % 4096 == 0:
            # Guards against cancelled entries with far times piling up between the live ones.
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapq.heapify(self._heap)
        return deadline

    def next_due_ns(self) -> int | None:
        while self._heap and self._heap[0][2].callback is None:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self) -> None:
        """Run all that is due; what a callback sets for now or earlier waits for the next turn."""
        due = []
        while self._heap and self._heap[0][0] <= self.now:
            due.append(heapq.heappop(self._heap)[2])
        for deadline in due:
            act, deadline.callback = deadline.callback, None
            if act is not None:
                try:
                    act()
                except Exception:
                    # Guards against a fault in one deadline's work ending the process and all its calls.
                    logger.exception("what was due failed")
