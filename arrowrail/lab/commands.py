"""Commands to a stand-in process: one JSON value a line on its standard input."""

from __future__ import annotations

import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any

import orjson

from arrowrail.core.requests import MS
from arrowrail.lab.ledger import Ledger
from arrowrail.loop import READ, Loop

CHUNK = 64 * 1024
TICK_NS = 20 * MS  # between two looks at the clock, so that a late machine is noticed
LATE_NS = 40 * MS  # a turn that comes later than this after its time is written down


def read_commands(loop: Loop, carry_out: Callable[[Any], None]) -> None:
    """Hand each line of the standard input, decoded, to ``carry_out``."""
    rest = bytearray()

    def ready(_mask: int) -> None:
        data = os.read(0, CHUNK)
        if not data:
            loop.unwatch(sys.stdin)
        rest.extend(data)
        while b"\n" in rest:
            line, _, after = bytes(rest).partition(b"\n")
            rest[:] = after
            carry_out(orjson.loads(line))

    loop.watch(sys.stdin, READ, ready)


def run_until_told(loop: Loop, ledger: Ledger) -> None:
    """Turn the loop until SIGTERM; the ledger is written after each turn.

    A turn that comes late, since the machine is busy, stands in the ledger as ``late`` with its delay: a
    judge can tell a late machine from a late program by it.
    """
    told: list[int] = []
    signal.signal(signal.SIGTERM, lambda number, _: told.append(number))
    ledger.flush()
    while not told:
        due = time.monotonic_ns() + TICK_NS
        loop.timers.schedule(loop.now + TICK_NS, lambda: None)
        loop.run_once()
        delay = time.monotonic_ns() - due
        if delay > LATE_NS:
            ledger.say("late", ms=delay // MS)
        ledger.flush()
