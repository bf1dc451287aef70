"""A stand-in event bus: numbered events over server-sent events, told from its standard input.

``python -m arrowrail.lab.bus --listen ADDRESS --ledger FILE``; each line of its input is a list of targets as
JSON, which becomes the next event.  A reader that names the last event it holds is sent those behind it.
"""

from __future__ import annotations

import argparse
import socket
from typing import Any

import orjson

from arrowrail.core.requests import MS
from arrowrail.lab.commands import read_commands, run_until_told
from arrowrail.lab.ledger import Ledger
from arrowrail.loop import Loop
from arrowrail.wire.listener import Listener
from arrowrail.wire.stream import Stream

COMMENT_NS = 1_000 * MS
MAX_HEAD = 16 * 1024


class Reader:
    def __init__(self, bus: StandInBus, sock: socket.socket) -> None:
        self.bus, self.head, self.reads = bus, b"", False
        self.stream = Stream(bus.loop, sock, self)

    def connected(self) -> None:
        pass

    def received(self, data: bytes) -> None:
        self.head += data
        if self.reads or b"\r\n\r\n" not in self.head:
            if len(self.head) > MAX_HEAD:
                self.stream.close()
            return
        lines = self.head.lower().split(b"\r\n")
        last = next((int(p.split(b":")[1]) for p in lines if p.startswith(b"last-event-id:")), 0)
        self.reads = True
        self.stream.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
        for event in self.bus.events:
            if event["offset"] > last:
                self.tell(event)
        self.bus.readers.append(self)

    def tell(self, event: dict[str, Any]) -> None:
        self.stream.send(b"id: %d\ndata: %s\n\n" % (event["offset"], orjson.dumps(event)))

    def lost(self, _why: OSError | None) -> None:
        if self in self.bus.readers:
            self.bus.readers.remove(self)


class StandInBus:
    def __init__(self, loop: Loop, address: str, ledger: Ledger, first: int = 1) -> None:
        self.loop, self.ledger, self.first = loop, ledger, first
        self.events: list[dict[str, Any]] = []
        self.readers: list[Reader] = []
        self.listener = Listener(loop, address, lambda s: Reader(self, s), lambda: True, lambda: False)
        self._comment()

    def publish(self, targets: list[dict[str, Any]]) -> None:
        number = len(self.events) + self.first
        event = {"offset": number, "topology": {"rev": number, "all": number == 1, "targets": targets}}
        self.events.append(event)
        self.ledger.say("told", offset=number, targets=targets)
        for reader in list(self.readers):
            reader.tell(event)

    def _comment(self) -> None:
        for reader in list(self.readers):
            reader.stream.send(b": \n\n")
        self.loop.timers.schedule(self.loop.now + COMMENT_NS, self._comment)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--first", type=int, default=1, help="the number of the first event")
    g = parser.parse_args()
    loop, ledger = Loop(), Ledger(g.ledger)
    bus = StandInBus(loop, g.listen, ledger, g.first)
    read_commands(loop, bus.publish)
    run_until_told(loop, ledger)


if __name__ == "__main__":
    main()
