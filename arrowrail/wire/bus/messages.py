"""Messages of the event bus: server-sent events over HTTP that carry updates of the exchange list."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson
from loguru import logger

from arrowrail.state.endpoints import STATES, EndpointEntry
from arrowrail.wire.http import HttpError, ResponseBodyParser

MAX_EVENT_SIZE = 1024 * 1024  # the complete exchange list of a large network is far smaller


class BusError(Exception):
    """The stream or one of its events cannot be parsed."""


@dataclass(frozen=True, slots=True)
class BusEvent:
    """An update of the exchange list; a snapshot lists every endpoint there is."""

    offset: int
    snapshot: bool
    entries: tuple[EndpointEntry, ...]


@dataclass(slots=True)
class SseParser:
    """Extracts the data of server-sent events; comments, which only keep the stream alive, are skipped."""

    _buffer: bytearray = field(default_factory=bytearray)
    _data_lines: list[str] = field(default_factory=list)
    _data_size: int = 0

    def feed(self, data: bytes) -> Iterator[str]:
        self._buffer += data
        if len(self._buffer) + self._data_size > MAX_EVENT_SIZE:
            raise BusError("event exceeds the size limit")
        *lines, remainder = self._buffer.split(b"\n")
        self._buffer = bytearray(remainder)
        for line in lines:
            text = line.rstrip(b"\r").decode("utf-8", "replace")
            if not text:
                if self._data_lines:
                    yield "\n".join(self._data_lines)
                self._data_lines, self._data_size = [], 0
            elif text.startswith("data:"):
                self._data_lines.append(text[5:].removeprefix(" "))
                self._data_size += len(text)


class StreamParser:
    """Parses the HTTP response of the event bus into events."""

    def __init__(self) -> None:
        self._body_parser = ResponseBodyParser()
        self._sse_parser = SseParser()

    @property
    def complete(self) -> bool:
        return self._body_parser.complete

    def feed(self, data: bytes) -> list[BusEvent]:
        try:
            return [parse_event(text) for text in self._sse_parser.feed(self._body_parser.feed(data))]
        except HttpError as error:
            raise BusError(str(error)) from error


def stream_request(host: str, last_offset: int) -> bytes:
    return (
        f"GET /bus/read HTTP/1.1\r\nHost: {host}\r\nAccept: text/event-stream\r\n"
        f"Cache-Control: no-cache\r\nLast-Event-ID: {last_offset}\r\n\r\n"
    ).encode()


def parse_event(text: str) -> BusEvent:
    try:
        return event_from_json(orjson.loads(text))
    except orjson.JSONDecodeError as error:
        raise BusError(f"event is not valid JSON: {error}") from error


def event_from_json(value: Any) -> BusEvent:
    """Decode an event of the stream or of ``known``; an event without a topology is an empty update."""
    try:
        topology = value.get("topology") or {}
        targets = topology.get("targets") or ()
        entries = tuple(entry for entry in map(_read_entry, targets) if entry is not None)
        # An entry that cannot be decoded may still exist. A list with such an entry is not treated as a
        # snapshot, so that no endpoint is terminated for being absent from it.
        snapshot = bool(topology.get("all")) and len(entries) == len(targets)
        return BusEvent(int(value["offset"]), snapshot, entries)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise BusError(f"invalid event: {error!r}") from error


def _read_entry(target: Any) -> EndpointEntry | None:
    """Skip an invalid entry: failing on it would request its event forever and lose all later events."""
    try:
        return entry_from_json(target)
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        logger.warning("event bus: skipping an invalid entry: {!r}", error)
        return None


def entry_from_json(target: Any) -> EndpointEntry:
    """Decode an endpoint; an invalid field raises one of the errors of ``_read_entry``."""
    state = str(target["state"])
    if state not in STATES:
        raise ValueError(f"unknown state {state!r}")
    return EndpointEntry(
        str(target["uid"]), str(target["endpoint"]), str(target.get("az", "")),
        int(target.get("pod_group", -1)), state, int(target.get("boot_ms") or 0) * 1_000_000,
        str(target.get("signalling", "binary")), int(target.get("point_code") or 0),
        int(target.get("circuits") or 0),
    )  # fmt: skip
