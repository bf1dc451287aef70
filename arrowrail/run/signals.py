"""Delivers signals to the event loop, as bytes on a socket pair (``signal.set_wakeup_fd``)."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable

from arrowrail.loop import READ, Loop

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RELOAD_SIGNAL = signal.SIGHUP  # its default action would terminate the process and all its calls


def handle_signals(loop: Loop, on_shutdown: Callable[[int], None], on_reload: Callable[[], None]) -> None:
    """Call the callbacks from the event loop instead of from a signal handler."""
    receiver, sender = socket.socketpair()
    for sock in (receiver, sender):
        sock.setblocking(False)

    def readable(_mask: int) -> None:
        for number in receiver.recv(64):
            if number == RELOAD_SIGNAL:
                on_reload()
            elif number in SHUTDOWN_SIGNALS:
                on_shutdown(number)

    loop.watch(receiver, READ, readable)
    signal.set_wakeup_fd(sender.detach(), warn_on_full_buffer=False)
    for number in (*SHUTDOWN_SIGNALS, RELOAD_SIGNAL):
        signal.signal(number, lambda *_: None)
