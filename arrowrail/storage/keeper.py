"""Keeps one small file safe without holding up the loop: a thread writes and syncs, the loop hears of it.

What is asked for while a write is under way waits for the next one, which holds the latest content: however
many ask, there are never more than two writes to wait for.
"""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable
from pathlib import Path

from arrowrail.config.atomic_file import write_atomically
from arrowrail.loop import READ, Loop

Then = Callable[[bool], None]  # whether it is safe


class Keeper:
    def __init__(self, loop: Loop, path: Path) -> None:
        self.loop, self.path = loop, path
        self.failed = ""  # why the last write failed
        self._work: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._done: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._inside, self._outside = socket.socketpair()
        self._inside.setblocking(False)
        self._writing: list[Then] = []
        self._next: tuple[bytes, list[Then]] | None = None
        loop.watch(self._inside, READ, self._woken)
        self._thread = threading.Thread(target=self._run, daemon=True, name="keeper")
        self._thread.start()

    @property
    def busy(self) -> bool:
        return bool(self._writing)

    def keep(self, data: bytes, then: Then) -> None:
        if self._writing:
            waiting = self._next[1] if self._next is not None else []
            self._next = (data, [*waiting, then])
            return
        self._writing = [then]
        self._work.put(data)

    def _run(self) -> None:
        while (data := self._work.get()) is not None:
            why = ""
            try:
                write_atomically(self.path, data)
            except OSError as wrong:
                why = wrong.strerror or "unknown"
            self._done.put(why)
            self._outside.send(b".")

    def _woken(self, _mask: int) -> None:
        self._inside.recv(64)
        while not self._done.empty():
            self.failed = self._done.get()
            finished, self._writing = self._writing, []
            if self._next is not None:
                (data, waiting), self._next = self._next, None
                self._writing = waiting
                self._work.put(data)
            for then in finished:
                then(not self.failed)

    def close(self) -> None:
        """Wait for what is under way: the process is about to end."""
        self._work.put(None)
        self._thread.join(5)
        self.loop.unwatch(self._inside)
        self._inside.close()
        self._outside.close()
