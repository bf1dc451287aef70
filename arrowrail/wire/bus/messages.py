"""The event bus: server-sent events over HTTP, and the list news that they carry."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson
from loguru import logger

from arrowrail.state.endpoints import STATES, EndpointEntry
from arrowrail.wire.http import HttpError, ResponseBodyParser

MAX_EVENT_SIZE = 1024 * 1024  # a whole list of a large network is far below it


class BusError(Exception):
    """The stream, or an event on it, can't be read."""


@dataclass(frozen=True, slots=True)
class BusEvent:
    offset: int
    snapshot: bool
    entries: tuple[EndpointEntry, ...]


@dataclass(slots=True)
class SseParser:
    """Fields of server-sent events from any split of the bytes; comments only show that it lives."""

    _rest: bytearray = field(default_factory=bytearray)
    _data: list[str] = field(default_factory=list)
    _size: int = 0

    def feed(self, data: bytes) -> Iterator[str]:
        self._rest += data
        if len(self._rest) + self._size > MAX_EVENT_SIZE:
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
        self._http = ResponseBodyParser()
        self._sse = SseParser()

    @property
    def complete(self) -> bool:
        return self._http.complete

    def feed(self, data: bytes) -> list[BusEvent]:
        try:
            return [parse_event(text) for text in self._sse.feed(self._http.feed(data))]
        except HttpError as wrong:
            raise BusError(str(wrong)) from wrong


def get(host: str, last: int) -> bytes:
    return (
        f"GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Cache-Control: no-cache\r\nLast-Event-ID: {last}\r\n\r\n"
    ).encode()


def parse_event(text: str) -> BusEvent:
    try:
        return event_from_json(orjson.loads(text))
    except orjson.JSONDecodeError as wrong:
        raise BusError(f"an event that is no JSON: {wrong}") from wrong


def event_from_json(value: Any) -> BusEvent:
    """One event, off the stream or from ``known``; other kinds than the list's count as empty news."""
    try:
        topology = value.get("topology") or {}
        targets = topology.get("targets") or ()
        entries = tuple(entry for entry in map(_read_entry, targets) if entry is not None)
        # What could not be read may still be there: a whole list with a hole ends nothing.
        snapshot = bool(topology.get("all")) and len(entries) == len(targets)
        return BusEvent(int(value["offset"]), snapshot, entries)
    except (AttributeError, KeyError, TypeError, ValueError) as wrong:
        raise BusError(f"an event that makes no sense: {wrong!r}") from wrong


def _read_entry(target: Any) -> EndpointEntry | None:
    """Guards against one entry that makes no sense being asked for again for ever, and all behind it lost."""
    try:
        return entry_from_json(target)
    except (AttributeError, KeyError, TypeError, ValueError) as wrong:
        logger.warning("event bus: an entry that makes no sense: {!r}", wrong)
        return None


def entry_from_json(target: Any) -> EndpointEntry:
    state = str(target["state"])
    if state not in STATES:
        raise ValueError(f"state {state!r}")
    return EndpointEntry(
        str(target["uid"]), str(target["endpoint"]), str(target.get("az", "")),
        int(target.get("pod_group", -1)), state, int(target.get("boot_ms") or 0) * 1_000_000,
        str(target.get("signalling", "binary")), int(target.get("point_code") or 0),
        int(target.get("circuits") or 0),
    )  # fmt: skip
