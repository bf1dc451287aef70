"""Main loop of a stand-in program, and its commands: one JSON value per line on standard input."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

import orjson

from arrowrail.core.requests import MS
from arrowrail.lab.event_log import EventLog
from arrowrail.loop import READ, Loop

READ_SIZE = 64 * 1024
TICK_NS = 20 * MS  # interval of the timer by which delayed scheduling is detected
LATE_NS = 40 * MS  # an iteration whose delay is longer is recorded


def read_commands(loop: Loop, handle_command: Callable[[Any], None]) -> None:
    """Pass each line of standard input, decoded from JSON, to ``handle_command``."""
    buffer = bytearray()

    def on_readable(_mask: int) -> None:
        data = os.read(0, READ_SIZE)
        if not data:
            loop.unwatch(sys.stdin)
        buffer.extend(data)
        while b"\n" in buffer:
            line, _, remainder = bytes(buffer).partition(b"\n")
            buffer[:] = remainder
            handle_command(orjson.loads(line))

    loop.watch(sys.stdin, READ, on_readable)


def run_until_sigterm(loop: Loop, event_log: EventLog) -> None:
    """Run the event loop until SIGTERM; the event log is flushed after each iteration.

    An iteration that is delayed because the machine is busy is recorded as ``late`` with its delay, so that
    checks can tell a slow machine from a slow program.
    """
    received_signals: list[int] = []
    signal.signal(signal.SIGTERM, lambda signal_number, _: received_signals.append(signal_number))
    event_log.flush()
    while not received_signals:
        due_ns = time.monotonic_ns() + TICK_NS
        loop.timers.schedule(loop.now + TICK_NS, lambda: None)
        loop.run_once()
        delay_ns = time.monotonic_ns() - due_ns
        if delay_ns > LATE_NS:
            event_log.record("late", ms=delay_ns // MS)
        event_log.flush()
