"""Writes one small file durably without blocking the event loop: a thread writes and syncs.

Content passed in during a write waits for the next one, which writes the latest content: however many callers
there are, none waits for more than two writes.
"""

from __future__ import annotations

import queue
import socket
import threading
from collections.abc import Callable
from pathlib import Path

from arrowrail.config.atomic_file import write_atomically
from arrowrail.loop import READ, Loop

Callback = Callable[[bool], None]  # called with whether the content is stored


class FileWriter:
    """Writes successive contents of one file in a thread of its own."""

    def __init__(self, loop: Loop, path: Path) -> None:
        self.loop, self.path = loop, path
        self.last_error = ""  # of the last write; empty if it succeeded
        self._jobs: queue.SimpleQueue[bytes | None] = queue.SimpleQueue()
        self._results: queue.SimpleQueue[str] = queue.SimpleQueue()
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self._wake_receiver.setblocking(False)
        self._active_callbacks: list[Callback] = []
        self._queued: tuple[bytes, list[Callback]] | None = None
        loop.watch(self._wake_receiver, READ, self._on_wake)
        self._thread = threading.Thread(target=self._run, daemon=True, name="file-writer")
        self._thread.start()

    @property
    def writing(self) -> bool:
        return bool(self._active_callbacks)

    def write(self, data: bytes, on_done: Callback) -> None:
        """Write the file; ``on_done`` is called on the event loop."""
        if self._active_callbacks:
            callbacks = self._queued[1] if self._queued is not None else []
            self._queued = (data, [*callbacks, on_done])
            return
        self._active_callbacks = [on_done]
        self._jobs.put(data)

    def _run(self) -> None:
        while (data := self._jobs.get()) is not None:
            error = ""
            try:
                write_atomically(self.path, data)
            except OSError as os_error:
                error = os_error.strerror or "unknown"
            self._results.put(error)
            self._wake_sender.send(b".")

    def _on_wake(self, _mask: int) -> None:
        self._wake_receiver.recv(64)
        while not self._results.empty():
            self.last_error = self._results.get()
            done_callbacks, self._active_callbacks = self._active_callbacks, []
            if self._queued is not None:
                (data, callbacks), self._queued = self._queued, None
                self._active_callbacks = callbacks
                self._jobs.put(data)
            for on_done in done_callbacks:
                on_done(not self.last_error)

    def close(self) -> None:
        """Wait up to 5 s for a write in progress, before the process ends."""
        self._jobs.put(None)
        self._thread.join(5)
        self.loop.unwatch(self._wake_receiver)
        self._wake_receiver.close()
        self._wake_sender.close()
