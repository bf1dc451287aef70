"""Where logs go: standard error, as lines of text or one JSON object for each event."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import orjson
from loguru import logger

from arrowrail.telemetry.events import CALL_LOG_LEVEL, enable_call_events

if TYPE_CHECKING:
    from loguru import Message

TEXT, JSON = "text", "json"


def configure_logging(level: str, form: str = TEXT) -> None:
    """Log from that level on, in one of the two forms."""
    logger.remove()
    enable_call_events(logger.level(level).no <= logger.level(CALL_LOG_LEVEL).no)
    if form == JSON:
        logger.add(_json, level=level, backtrace=False, diagnose=False, format="{message}")
    else:
        logger.add(sys.stderr, level=level, backtrace=False, diagnose=False)


def _json(message: Message) -> None:
    record = message.record
    line: dict[str, Any] = {
        "time": record["time"].isoformat(), "level": record["level"].name, "event": "log",
        "message": record["message"],
    }  # fmt: skip
    line |= record["extra"]
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.buffer.write(orjson.dumps(line, default=str) + b"\n")
    sys.stderr.buffer.flush()
