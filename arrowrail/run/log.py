"""Logging to standard error, as lines of text or as one JSON object per event."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import orjson
from loguru import logger

from arrowrail.telemetry.events import CALL_LOG_LEVEL, enable_call_events

if TYPE_CHECKING:
    from loguru import Message

TEXT, JSON = "text", "json"


def configure_logging(level: str, log_format: str = TEXT) -> None:
    """Log events of the given level and above, as ``TEXT`` or ``JSON``."""
    logger.remove()
    enable_call_events(logger.level(level).no <= logger.level(CALL_LOG_LEVEL).no)
    if log_format == JSON:
        logger.add(_write_json, level=level, backtrace=False, diagnose=False, format="{message}")
    else:
        logger.add(sys.stderr, level=level, backtrace=False, diagnose=False)


def _write_json(message: Message) -> None:
    record = message.record
    entry: dict[str, Any] = {
        "time": record["time"].isoformat(), "level": record["level"].name, "event": "log",
        "message": record["message"],
    }  # fmt: skip
    entry |= record["extra"]
    if record["exception"] is not None:
        entry["exception"] = repr(record["exception"].value)
    sys.stderr.buffer.write(orjson.dumps(entry, default=str) + b"\n")
    sys.stderr.buffer.flush()
