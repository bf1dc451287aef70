"""The event bus: server-sent events over HTTP, and the list news that they carry."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson
from loguru import logger

from arrowrail.state.endpoints import STATES, EndpointEntry
from arrowrail.wire.http import BodyParser, HttpError

MAX_EVENT = 1024 * 1024  # a whole list of a large network is far below it


class BusError(Exception):
    """The stream, or an event on it, can't be read."""


@dataclass(frozen=True, slots=True)
class BusEvent:
    offset: int
    whole: bool
    lines: tuple[EndpointEntry, ...]


@dataclass(slots=True)
class SseParser:
    """Fields of server-sent events from any split of the bytes; comments only show that it lives."""

    _rest: bytearray = field(default_factory=bytearray)
    _data: list[str] = field(default_factory=list)
    _size: int = 0

    def feed(self, data: bytes) -> Iterator[str]:
        self._rest += data
        if len(self._rest) + self._size > MAX_EVENT:
            raise BusError("an event over the limit")
        *lines, rest = self._rest.split(b"\n")
        self._rest = bytearray(rest)
        for line in lines:
            text = line.rstrip(b"\r").decode("utf-8", "replace")
            if not text:
                if self._data:
                    yield "\n".join(self._data)
                self._data, self._size = [], 0
            elif text.startswith("data:"):
                self._data.append(text[5:].removeprefix(" "))
                self._size += len(text)


class StreamParser:
    """The HTTP answer of the bus, chunked or not, down to its events."""

    def __init__(self) -> None:
        self._http = BodyParser()
        self._sse = SseParser()

    @property
    def complete(self) -> bool:
        return self._http.complete

    def feed(self, data: bytes) -> list[BusEvent]:
        try:
            return [read_event(text) for text in self._sse.feed(self._http.feed(data))]
        except HttpError as wrong:
            raise BusError(str(wrong)) from wrong


def get(host: str, last: int) -> bytes:
    return (
        f"GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Cache-Control: no-cache\r\nLast-Event-ID: {last}\r\n\r\n"
    ).encode()


def read_event(text: str) -> BusEvent:
    try:
        return event_of(orjson.loads(text))
    except orjson.JSONDecodeError as wrong:
        raise BusError(f"an event that is no JSON: {wrong}") from wrong


def event_of(value: Any) -> BusEvent:
    """One event, off the stream or from ``known``; other kinds than the list's count as empty news."""
    try:
        topology = value.get("topology") or {}
        targets = topology.get("targets") or ()
        lines = tuple(line for line in map(_line, targets) if line is not None)
        # What could not be read may still be there: a whole list with a hole ends nothing.
        whole = bool(topology.get("all")) and len(lines) == len(targets)
        return BusEvent(int(value["offset"]), whole, lines)
    except (AttributeError, KeyError, TypeError, ValueError) as wrong:
        raise BusError(f"an event that makes no sense: {wrong!r}") from wrong


def _line(line: Any) -> EndpointEntry | None:
    """Guards against one entry that makes no sense being asked for again for ever, and all behind it lost."""
    try:
        return told_of(line)
    except (AttributeError, KeyError, TypeError, ValueError) as wrong:
        logger.warning("event bus: an entry that makes no sense: {!r}", wrong)
        return None


def told_of(line: Any) -> EndpointEntry:
    state = str(line["state"])
    if state not in STATES:
        raise ValueError(f"state {state!r}")
    return EndpointEntry(
        str(line["uid"]), str(line["endpoint"]), str(line.get("az", "")), int(line.get("pod_group", -1)),
        state, int(line.get("boot_ms") or 0) * 1_000_000, str(line.get("signalling", "binary")),
        int(line.get("point_code") or 0), int(line.get("circuits") or 0),
    )  # fmt: skip
