"""Simulated network and clocks for testing code without I/O: one true time, and a drifting clock per node.

Messages are delayed, duplicated, reordered or lost as drawn from the seed and the faults in force.  Nothing
sleeps: a simulated hour takes as long as its events.
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
class SimClock:
    """A node's clock with an arbitrary offset and a rate error."""

    offset: int = 0
    drift_ppm: int = 0
    # True time since which the node is stopped, as by SIGSTOP; its clock continues.
    stopped_at: int | None = None

    def read(self, true_time: int) -> int:
        return self.offset + true_time * (MILLION + self.drift_ppm) // MILLION

    def true_until(self, true_time: int, local_time: int) -> int:
        """Return the earliest true time at which this clock reads at least ``local_time``."""
        remaining = max(0, local_time - self.read(true_time))
        return true_time + remaining * MILLION // (MILLION + self.drift_ppm) + 1


@dataclass(slots=True)
class NetworkFaults:
    """Loss, duplication, delays and partitions in force on the network."""

    loss_rate: float = 0.0
    duplicate_rate: float = 0.0
    delay_range_ns: tuple[int, int] = (MS, 20 * MS)
    spike_rate: float = 0.0  # share of messages delayed by ``spike_ns`` more
    spike_ns: int = 2 * S
    blocked: set[tuple[str, str]] = field(default_factory=set)  # (sender, receiver): nothing is delivered

    def partition(self, side_a: set[str], side_b: set[str], both_ways: bool = True) -> None:
        self.blocked |= {(a, b) for a in side_a for b in side_b}
        if both_ways:
            self.blocked |= {(b, a) for a in side_a for b in side_b}

    def heal(self) -> None:
        self.blocked.clear()


class SimNetwork:
    """Delivers messages between named nodes in simulated time."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 0
        self.faults = NetworkFaults()
        self.clocks: dict[str, SimClock] = {}
        self.receivers: dict[str, Callable[[str, Any], None]] = {}
        self.messages_sent: dict[str, int] = {}
        self.bytes_sent: dict[str, int] = {}
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = 0

    def attach(self, name: str, receive: Callable[[str, Any], None], clock: SimClock | None = None) -> None:
        self.receivers[name] = receive
        self.clocks.setdefault(name, clock or SimClock())

    def detach(self, name: str) -> None:
        self.receivers.pop(name, None)

    def clock(self, name: str) -> int:
        return self.clocks[name].read(self.now)

    def schedule(self, at: int, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (max(at, self.now), self._sequence, action))

    def send(self, sender: str, receiver: str, message: Any, size: int = 0) -> None:
        self.messages_sent[sender] = self.messages_sent.get(sender, 0) + 1
        self.bytes_sent[sender] = self.bytes_sent.get(sender, 0) + size
        faults, rng = self.faults, self.random
        copies = 2 if rng.random() < faults.duplicate_rate else 1
        for _ in range(copies):
            if rng.random() < faults.loss_rate:
                continue
            delay_ns = rng.randint(*faults.delay_range_ns) + (
                faults.spike_ns if rng.random() < faults.spike_rate else 0
            )
            self.schedule(self.now + delay_ns, lambda: self._arrive(sender, receiver, message))

    def _arrive(self, sender: str, receiver: str, message: Any) -> None:
        if (sender, receiver) in self.faults.blocked:
            return
        receive = self.receivers.get(receiver)
        if receive is None:
            return
        stopped = self.clocks[receiver].stopped_at
        if stopped is not None:  # waits in the socket until the node continues
            self.schedule(self.now + 50 * MS, lambda: self._arrive(sender, receiver, message))
            return
        receive(sender, message)

    def run(self, until: int, after_each: Callable[[], None] | None = None) -> None:
        """Run all events up to a true time; ``after_each`` is called after each of them."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
            if after_each is not None:
                after_each()
        self.now = max(self.now, until)
