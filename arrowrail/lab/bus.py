"""A stand-in event bus: sends numbered events as server-sent events.

``python -m arrowrail.lab.bus --listen ADDRESS --ledger FILE``; each line of its standard input is a list of
targets as JSON, which is published as the next event.  A subscriber that gives the offset of the last event
it has received is sent the later ones.
"""

from __future__ import annotations

import argparse
import socket
from typing import Any

import orjson

from arrowrail.core.requests import MS
from arrowrail.lab.commands import read_commands, run_until_sigterm
from arrowrail.lab.event_log import EventLog
from arrowrail.loop import Loop
from arrowrail.wire.listener import Listener
from arrowrail.wire.stream import Stream

KEEPALIVE_NS = 1_000 * MS
MAX_HEADER_SIZE = 16 * 1024


class Subscriber:
    """A connection that reads the event stream."""

    def __init__(self, bus: StandInBus, sock: socket.socket) -> None:
        self.bus, self.header, self.subscribed = bus, b"", False
        self.stream = Stream(bus.loop, sock, self)

    def connected(self) -> None:
        pass

    def received(self, data: bytes) -> None:
        self.header += data
        if self.subscribed or b"\r\n\r\n" not in self.header:
            if len(self.header) > MAX_HEADER_SIZE:
                self.stream.close()
            return
        header_lines = self.header.lower().split(b"\r\n")
        last_event_id = next(
            (int(line.split(b":")[1]) for line in header_lines if line.startswith(b"last-event-id:")), 0
        )
        self.subscribed = True
        self.stream.send(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
        for event in self.bus.events:
            if event["offset"] > last_event_id:
                self.send_event(event)
        self.bus.subscribers.append(self)

    def send_event(self, event: dict[str, Any]) -> None:
        self.stream.send(b"id: %d\ndata: %s\n\n" % (event["offset"], orjson.dumps(event)))

    def lost(self, _error: OSError | None) -> None:
        if self in self.bus.subscribers:
            self.bus.subscribers.remove(self)


class StandInBus:
    """Publishes events to all subscribers, and keeps them for later ones."""

    def __init__(self, loop: Loop, address: str, event_log: EventLog, first_offset: int = 1) -> None:
        self.loop, self.event_log, self.first_offset = loop, event_log, first_offset
        self.events: list[dict[str, Any]] = []
        self.subscribers: list[Subscriber] = []
        self.listener = Listener(
            loop, address, lambda sock: Subscriber(self, sock), lambda: True, lambda: False
        )
        self._send_keepalive()

    def publish(self, targets: list[dict[str, Any]]) -> None:
        """Send list entries as the next event; event 1 is a snapshot of the list, later ones are changes."""
        offset = len(self.events) + self.first_offset
        event = {"offset": offset, "topology": {"rev": offset, "all": offset == 1, "targets": targets}}
        self.events.append(event)
        self.event_log.record("told", offset=offset, targets=targets)
        for subscriber in list(self.subscribers):
            subscriber.send_event(event)

    def _send_keepalive(self) -> None:
        for subscriber in list(self.subscribers):
            subscriber.stream.send(b": \n\n")
        self.loop.timers.schedule(self.loop.now + KEEPALIVE_NS, self._send_keepalive)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--first", type=int, default=1, help="offset of the first event")
    arguments = parser.parse_args()
    loop, event_log = Loop(), EventLog(arguments.ledger)
    bus = StandInBus(loop, arguments.listen, event_log, arguments.first)
    read_commands(loop, bus.publish)
    run_until_sigterm(loop, event_log)


if __name__ == "__main__":
    main()
