"""Seeded time and network for decisions that are free of both: one true clock, many wrong ones.

A node is anything with a name; what is sent to it arrives late, twice, out of order or never, as the seed and
the faults in force say.  Nothing here sleeps: a simulated hour takes as long as its events.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

MS, S = 1_000_000, 1_000_000_000
MILLION = 1_000_000


@dataclass(slots=True)
class Clock:
    """An instance's own clock: it began anywhere and runs too fast or too slow."""

    offset: int = 0
    ppm: int = 0
    stopped_at: int | None = (
        None  # true time since which the instance does nothing (SIGSTOP); the clock goes on
    )

    def read(self, true: int) -> int:
        return self.offset + true * (MILLION + self.ppm) // MILLION

    def true_until(self, true: int, local: int) -> int:
        """True time at which this clock will read ``local``, and not sooner."""
        left = max(0, local - self.read(true))
        return true + left * MILLION // (MILLION + self.ppm) + 1


@dataclass(slots=True)
class Faults:
    loss: float = 0.0
    double: float = 0.0
    delay: tuple[int, int] = (MS, 20 * MS)
    late: float = 0.0  # share that takes ``late_by`` more
    late_by: int = 2 * S
    cut: set[tuple[str, str]] = field(default_factory=set)  # from, to: nothing passes

    def split(self, one: set[str], other: set[str], both_ways: bool = True) -> None:
        self.cut |= {(a, b) for a in one for b in other}
        if both_ways:
            self.cut |= {(b, a) for a in one for b in other}

    def heal(self) -> None:
        self.cut.clear()


class Net:
    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0
        self.faults = Faults()
        self.clocks: dict[str, Clock] = {}
        self.receivers: dict[str, Callable[[str, Any], None]] = {}
        self.sent: dict[str, int] = {}
        self.bytes: dict[str, int] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = 0

    def join(self, name: str, receive: Callable[[str, Any], None], clock: Clock | None = None) -> None:
        self.receivers[name] = receive
        self.clocks.setdefault(name, clock or Clock())

    def leave(self, name: str) -> None:
        self.receivers.pop(name, None)

    def clock(self, name: str) -> int:
        return self.clocks[name].read(self.now)

    def at(self, when: int, act: Callable[[], None]) -> None:
        self._order += 1
        heapq.heappush(self._events, (max(when, self.now), self._order, act))

    def send(self, sender: str, to: str, message: Any, size: int = 0) -> None:
        self.sent[sender] = self.sent.get(sender, 0) + 1
        self.bytes[sender] = self.bytes.get(sender, 0) + size
        f, draw = self.faults, self.random
        copies = 2 if draw.random() < f.double else 1
        for _ in range(copies):
            if draw.random() < f.loss:
                continue
            delay = draw.randint(*f.delay) + (f.late_by if draw.random() < f.late else 0)
            self.at(self.now + delay, lambda: self._arrive(sender, to, message))

    def _arrive(self, sender: str, to: str, message: Any) -> None:
        if (sender, to) in self.faults.cut:
            return
        receive = self.receivers.get(to)
        if receive is None:
            return
        stopped = self.clocks[to].stopped_at
        if stopped is not None:  # it waits in the socket until the instance goes on
            self.at(self.now + 50 * MS, lambda: self._arrive(sender, to, message))
            return
        receive(sender, message)

    def run(self, until: int, each: Callable[[], None] | None = None) -> None:
        while self._events and self._events[0][0] <= until:
            self.now, _, act = heapq.heappop(self._events)
            act()
            if each is not None:
                each()
        self.now = max(self.now, until)
