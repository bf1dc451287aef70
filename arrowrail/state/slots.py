"""A slot table with generational handles, which stay unique although slots are reused."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Generic, TypeVar

T = TypeVar("T")
SLOT_BITS = 20  # a million slots, far more than the descriptor and memory limits allow


class SlotTable(Generic[T]):
    """Values by handle: the slot number in the low bits, the slot's generation above them.

    A late message, timer or readiness event cannot reach the next value in a slot: its handle carries an
    older generation and finds nothing.
    """

    __slots__ = ("_free", "_generations", "_values")

    def __init__(self) -> None:
        self._values: list[T | None] = []
        self._generations: list[int] = []
        self._free: list[int] = []

    def __len__(self) -> int:
        return len(self._values) - len(self._free)

    def __iter__(self) -> Iterator[T]:
        """Iterate over the current values; the table may change meanwhile."""
        return iter([value for value in self._values if value is not None])

    def add(self, value: T) -> int:
        if self._free:
            slot = self._free.pop()
            self._values[slot] = value
        else:
            slot = len(self._values)
            self._values.append(value)
            self._generations.append(1)
        return self._generations[slot] << SLOT_BITS | slot

    def get(self, handle: int) -> T | None:
        slot = handle & (1 << SLOT_BITS) - 1
        if slot >= len(self._values) or self._generations[slot] != handle >> SLOT_BITS:
            return None
        return self._values[slot]

    def remove(self, handle: int) -> T | None:
        value = self.get(handle)
        if value is not None:
            slot = handle & (1 << SLOT_BITS) - 1
            self._values[slot] = None
            self._generations[slot] += 1
            self._free.append(slot)
        return value
