"""Recording of the messages that pass through a proxy, as the program under test sees them.

The bytes are never changed.  Input that cannot be parsed, such as a corrupt answer, is recorded as
``unreadable`` and ends the parsing of its direction.
"""

from __future__ import annotations

import itertools
import re
from typing import Protocol

from arrowrail.lab.event_log import EventLog
from arrowrail.wire.binary import messages as binary

EVENT_NAMES = {binary.SET_UP: "set_up", binary.ANSWER: "answer", binary.RELEASE: "release"}
OFFSET_PATTERN = re.compile(rb'"offset":(\d+)[,}]')
MAX_OFFSET_SIZE = 32  # bytes at the end of a chunk that may hold an incomplete offset
_connections = itertools.count(1)


class Observer(Protocol):
    """Receives the bytes of one proxied connection; the client is the program under test."""

    def from_client(self, data: bytes) -> None:
        """Observe bytes that the program has sent."""

    def to_client(self, data: bytes) -> None:
        """Observe bytes that the program can read."""

    def connection_ended(self, by: str) -> None:
        """Observe the end of the connection; ``by`` is ``client`` or ``reset``."""


class NullObserver:
    """Records nothing."""

    def from_client(self, data: bytes) -> None: ...
    def to_client(self, data: bytes) -> None: ...
    def connection_ended(self, by: str) -> None: ...


class BinaryObserver:
    """Records set-ups, answers and releases of one connection to a server."""

    def __init__(self, event_log: EventLog, route: str) -> None:
        self._event_log, self._route = event_log, route
        self._connection = next(_connections)
        self._parsers: dict[str, binary.BinaryParser | None] = {
            "out": binary.BinaryParser(), "in": binary.BinaryParser(),
        }  # fmt: skip

    def from_client(self, data: bytes) -> None:
        self._parse("out", data)

    def to_client(self, data: bytes) -> None:
        self._parse("in", data)

    def connection_ended(self, by: str) -> None:
        """Stop parsing: the program receives nothing that comes later."""
        self._parsers = {"out": None, "in": None}
        self._event_log.record("connection_ended", route=self._route, connection=self._connection, by=by)

    def _parse(self, direction: str, data: bytes) -> None:
        parser = self._parsers[direction]
        if parser is None:
            return
        try:
            messages = parser.feed(data)
        except binary.BinaryError:
            self._parsers[direction] = None
            self._event_log.record(
                "unreadable", route=self._route, connection=self._connection, way=direction
            )
            return
        for message in messages:
            event_name = EVENT_NAMES.get(message.message_type)
            if event_name is not None:
                self._event_log.record(
                    event_name, way=direction, route=self._route, connection=self._connection,
                    call=f"{message.call_id:016x}", cause=message.cause,
                )  # fmt: skip


class DiscoveryObserver:
    """Records the client's requests and the offsets of events on one connection to discovery."""

    def __init__(self, event_log: EventLog, route: str) -> None:
        self._event_log, self._route = event_log, route
        self._unparsed = b""
        self._closed = False

    def from_client(self, data: bytes) -> None:
        self._event_log.record("discovery_read", route=self._route)

    def to_client(self, data: bytes) -> None:
        if self._closed:
            return  # the program has closed the connection
        buffer = self._unparsed + data
        end = 0
        for match in OFFSET_PATTERN.finditer(buffer):
            end = match.end()
            self._event_log.record("discovery_event", route=self._route, offset=int(match[1]))
        self._unparsed = buffer[max(end, len(buffer) - MAX_OFFSET_SIZE) :]

    def connection_ended(self, by: str) -> None:
        self._closed = True
        self._event_log.record("discovery_ended", route=self._route, by=by)


def create_observer(protocol: str, event_log: EventLog, route: str) -> Observer:
    """Create the observer of a new connection, by the protocol of its route."""
    if protocol == "binary":
        return BinaryObserver(event_log, route)
    if protocol == "discovery":
        return DiscoveryObserver(event_log, route)
    return NullObserver()
