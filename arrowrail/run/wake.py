"""Signals as bytes on a socket, so that the loop sees them like everything else."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable

from arrowrail.run.loop import READ, Loop


def on_signal(loop: Loop, act: Callable[[int], None]) -> None:
    """Call ``act`` from the loop, never from inside a signal handler."""
    inside, outside = socket.socketpair()
    for end in (inside, outside):
        end.setblocking(False)

    def ready(_mask: int) -> None:
        for number in inside.recv(64):
            act(number)

    loop.watch(inside, READ, ready)
    signal.set_wakeup_fd(outside.detach(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
