"""Signals as bytes on a socket, so that the loop sees them like everything else."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable

from arrowrail.loop import READ, Loop

STOP = (signal.SIGTERM, signal.SIGINT)
RELOAD = signal.SIGHUP  # its default would end the process and every call in it


def handle_signals(loop: Loop, stop: Callable[[int], None], reload: Callable[[], None]) -> None:
    """Call them from the loop, never from inside a signal handler."""
    inside, outside = socket.socketpair()
    for end in (inside, outside):
        end.setblocking(False)

    def ready(_mask: int) -> None:
        for number in inside.recv(64):
            if number == RELOAD:
                reload()
            elif number in STOP:
                stop(number)

    loop.watch(inside, READ, ready)
    signal.set_wakeup_fd(outside.detach(), warn_on_full_buffer=False)
    for number in (*STOP, RELOAD):
        signal.signal(number, lambda *_: None)
