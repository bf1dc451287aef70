"""What a proxy writes down of the messages that pass: the program's side of each, with the time.

The bytes are only read, never changed.  What can't be read, as a spoilt answer, is written down as that and
ends the reading of its direction.
"""

from __future__ import annotations

import itertools
import re
from typing import Protocol

from arrowrail.lab.ledger import Ledger
from arrowrail.wire.binary import messages as binary

KINDS = {binary.SET_UP: "set_up", binary.ANSWER: "answer", binary.RELEASE: "release"}
OFFSET = re.compile(rb'"offset":(\d+)[,}]')
LONGEST_OFFSET = 32  # bytes that may hold the beginning of one, at the end of a piece
_connections = itertools.count(1)


class Observer(Protocol):
    def from_client(self, data: bytes) -> None:
        """Bytes that the program wrote."""

    def to_client(self, data: bytes) -> None:
        """Bytes that the program is handed."""

    def ended(self, by: str) -> None:
        """The connection has ended: ``client`` or ``reset``."""


class Silent:
    """Writes nothing down."""

    def from_client(self, data: bytes) -> None: ...
    def to_client(self, data: bytes) -> None: ...
    def ended(self, by: str) -> None: ...


class BinaryObserver:
    """Set-ups, answers and releases of one connection to a server."""

    def __init__(self, ledger: Ledger, route: str) -> None:
        self._ledger, self._route = ledger, route
        self._connection = next(_connections)
        self._parsers: dict[str, binary.BinaryParser | None] = {
            "out": binary.BinaryParser(), "in": binary.BinaryParser(),
        }  # fmt: skip

    def from_client(self, data: bytes) -> None:
        self._read("out", data)

    def to_client(self, data: bytes) -> None:
        self._read("in", data)

    def ended(self, by: str) -> None:
        """Whatever comes later is for nobody."""
        self._parsers = {"out": None, "in": None}
        self._ledger.say("connection_ended", route=self._route, connection=self._connection, by=by)

    def _read(self, way: str, data: bytes) -> None:
        parser = self._parsers[way]
        if parser is None:
            return
        try:
            messages = parser.feed(data)
        except binary.BinaryError:
            self._parsers[way] = None
            self._ledger.say("unreadable", route=self._route, connection=self._connection, way=way)
            return
        for message in messages:
            kind = KINDS.get(message.message_type)
            if kind is not None:
                self._ledger.say(
                    kind, way=way, route=self._route, connection=self._connection,
                    call=f"{message.call_id:016x}", cause=message.cause,
                )  # fmt: skip


class DiscoveryObserver:
    """Reads and the numbers of events of one connection to discovery."""

    def __init__(self, ledger: Ledger, route: str) -> None:
        self._ledger, self._route = ledger, route
        self._rest = b""
        self._ended = False

    def from_client(self, data: bytes) -> None:
        self._ledger.say("discovery_read", route=self._route)

    def to_client(self, data: bytes) -> None:
        if self._ended:
            return  # the program has closed it
        text = self._rest + data
        end = 0
        for found in OFFSET.finditer(text):
            end = found.end()
            self._ledger.say("discovery_event", route=self._route, offset=int(found[1]))
        self._rest = text[max(end, len(text) - LONGEST_OFFSET) :]

    def ended(self, by: str) -> None:
        self._ended = True
        self._ledger.say("discovery_ended", route=self._route, by=by)


def observer_of(spoken: str, ledger: Ledger, route: str) -> Observer:
    """The observer of a new connection, by what is spoken on its route."""
    if spoken == "binary":
        return BinaryObserver(ledger, route)
    if spoken == "discovery":
        return DiscoveryObserver(ledger, route)
    return Silent()
