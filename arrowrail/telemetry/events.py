"""Structured log events: a line of text under a stable name, with its fields beside it in JSON logs.

Events of single calls are logged at ``CALL_LEVEL``, which is off by default; events of endpoints, of
discovery and of the process are logged at INFO or above.
"""

from __future__ import annotations

import errno
from typing import Any

from loguru import logger

CALL_LOG_LEVEL = "DEBUG"
_call_events_enabled = True  # until a level is set
MAX_LOGGED_IDS = 20  # call ids named in one line; the line also carries their number


def event(name: str, text: str, level: str = "INFO", **fields: Any) -> None:
    """Log an event under a stable name; its fields stand in the text and, in JSON, beside it."""
    logger.opt(depth=1).bind(event=name, **fields).log(level, text, **fields)


def enable_call_events(wanted: bool) -> None:
    """Whether events of single calls are logged; where not, they cost next to nothing."""
    global _call_events_enabled
    _call_events_enabled = wanted


def call_event(name: str, call: str, text: str, **fields: Any) -> None:
    """Log a state transition of one call; ``call`` is its 16-digit id."""
    if not _call_events_enabled:
        return
    logger.opt(depth=1).bind(event=name, call=call, **fields).log(
        CALL_LOG_LEVEL, "call {call}: " + text, call=call, **fields
    )


def first_ids(calls: list[str]) -> list[str]:
    """The first ids of a list, so that a log line stays bounded."""
    return calls[:MAX_LOGGED_IDS]


def disconnect_reason(why: OSError | None) -> str:
    """Why a connection ended, as a name from a small fixed set, fit to label a counter."""
    if why is None:
        return "closed_by_peer"
    return errno.errorcode.get(why.errno or 0, "unknown")
