"""Reads the input of callers' connections within the processing time that each of them may use."""

from __future__ import annotations

from typing import TYPE_CHECKING

from arrowrail.loop import Loop
from arrowrail.scheduling.input_order import InputOrder

if TYPE_CHECKING:
    from arrowrail.wire.stream import Stream


class InputStage:
    """Collects the readable streams of an event loop iteration and reads them in order after its callbacks.

    What is left unread stays in the kernel and makes the stream readable again in the next iteration.
    """

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._order: InputOrder[Stream] = InputOrder()
        self._readable: list[Stream] = []

    def readable(self, stream: Stream) -> None:
        """Read the stream later in this iteration, unless others with less usage take up its time."""
        if not self._readable:
            self._loop.after_callbacks(self._read)
        self._readable.append(stream)

    def call_answered(self, stream: Stream) -> None:
        """A call of the stream's peer was answered."""
        self._order.call_answered(self._loop.now, stream)

    def remove(self, stream: Stream) -> None:
        """The stream has ended."""
        self._order.remove(stream)

    def _read(self) -> None:
        readable, self._readable = self._readable, []
        started_ns = now = self._loop.clock()
        for stream in self._order.sort(started_ns, readable):
            slice_end_ns = self._order.slice_end_ns(started_ns, now)
            if not slice_end_ns:
                return
            slice_started_ns = now
            stream.read_until(slice_end_ns)
            now = self._loop.clock()
            if stream.open:
                self._order.record(now, stream, now - slice_started_ns)
