"""Structured log events: a message under a stable name, with separate fields in JSON logs.

Events of single calls are logged at ``CALL_LOG_LEVEL``, which is off by default; events of endpoints, of
discovery and of the process are logged at INFO or above.
"""

from __future__ import annotations

import errno
from typing import Any

from loguru import logger

CALL_LOG_LEVEL = "DEBUG"
_call_events_enabled = True  # default until a log level is set
MAX_LOGGED_IDS = 20  # call ids per log line; the line also states their number


def event(name: str, text: str, level: str = "INFO", **fields: Any) -> None:
    """Log an event under a stable name; its fields fill the text and are separate keys in JSON logs."""
    logger.opt(depth=1).bind(event=name, **fields).log(level, text, **fields)


def enable_call_events(enabled: bool) -> None:
    """Set whether events of single calls are logged; if not, ``call_event`` returns at once."""
    global _call_events_enabled
    _call_events_enabled = enabled


def call_event(name: str, call: str, text: str, **fields: Any) -> None:
    """Log a state transition of one call; ``call`` is its 16-digit id."""
    if not _call_events_enabled:
        return
    logger.opt(depth=1).bind(event=name, call=call, **fields).log(
        CALL_LOG_LEVEL, "call {call}: " + text, call=call, **fields
    )


def first_ids(call_ids: list[str]) -> list[str]:
    """The first ids of a list, to limit the length of a log line."""
    return call_ids[:MAX_LOGGED_IDS]


def disconnect_reason(error: OSError | None) -> str:
    """Why a connection ended, as a name from a small fixed set that can label a counter."""
    if error is None:
        return "closed_by_peer"
    return errno.errorcode.get(error.errno or 0, "unknown")
