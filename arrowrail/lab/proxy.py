"""A TCP proxy in a process of its own that plays network faults between two parties.

``python -m arrowrail.lab.proxy --ledger FILE NAME=LISTEN=UPSTREAM[=SOURCE] ...``; each line of its standard
input is one command as JSON, ``{"route": NAME, "do": MODE, ...}``.  What it does and when stands in its
ledger.

Modes of a route:

- ``pass``: bytes go both ways (the start).
- ``vanish``: open connections stay open and silent, new ones never come up, as when a machine loses its power
  or its link.  New connections are held off by the kernel: the accept queue is kept full.
- ``hang``: connections come up and nothing is passed on, as when a process is stopped.
- ``refuse``: connections are reset, new ones are refused, as when a process has died.
- ``one_way``: bytes toward the upstream are held, those from it pass; ``"toward": "client"``: the reverse.

Bytes that were held are passed on when the route is put back to ``pass``, as TCP does once a link is mended;
with ``"forget": true`` the connections of before stay silent for good, as after the machine was replaced.
``reset`` is no mode: it resets the open connections of a route once.

What passes is written down as well, where the route's name says what is spoken there: ``NAME/binary`` for
set-ups, answers and releases, ``NAME/discovery`` for the numbers of events.  It is written when the program,
which is the client of all routes, has written it or is handed it: that is what the program can know.
"""

from __future__ import annotations

import argparse
import socket
import struct
from dataclasses import dataclass
from typing import Any

from arrowrail.lab.commands import read_commands, run_until_sigterm
from arrowrail.lab.event_log import EventLog
from arrowrail.lab.observers import Observer, observer_of
from arrowrail.loop import READ, WRITE, Loop
from arrowrail.state.address import parse_address

CHUNK = 64 * 1024
HELD_LIMIT = 1024 * 1024  # bytes held for one side of one connection; more are left in the kernel
BACKLOG = 512
FILLERS = 8  # connections tried, at most, to fill an accept queue of one
FILL_WAIT_S = 0.05
RESET = struct.pack("ii", 1, 0)
MODES = ("pass", "vanish", "hang", "refuse", "one_way")
UPSTREAM, CLIENT = "upstream", "client"


class Side:
    """One end of a proxied connection: its socket, and the bytes on their way to it."""

    def __init__(self, pair: Pair, sock: socket.socket, name: str, connecting: bool) -> None:
        self.pair, self.sock, self.name, self.connecting = pair, sock, name, connecting
        self.held = bytearray()
        self.read_ended = self.write_ended = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def other(self) -> Side:
        return self.pair.client if self is self.pair.upstream else self.pair.upstream

    def watch(self) -> None:
        """Wait for what can be done now: reading while there is room, writing while bytes may pass."""
        mask = 0
        may_write = self.pair.passes(self.name)
        if self.connecting or (self.held and may_write):
            mask |= WRITE
        room = len(self.other.held) < HELD_LIMIT
        gone = self.pair.forgotten and self.name == UPSTREAM
        if not self.connecting and not self.read_ended and room and not gone:
            mask |= READ
        if mask:
            self.pair.route.proxy.loop.watch(self.sock, mask, self.ready)
        else:
            self.pair.route.proxy.loop.unwatch(self.sock)

    def ready(self, mask: int) -> None:
        try:
            if self.connecting:
                self._come_up()
            elif mask & READ:
                self._read()
                self.other.flush()
            if not self.connecting:
                self.flush()
        except OSError:
            if self.name == UPSTREAM and not self.pair.passes(CLIENT):
                self.pair.upstream_lost()
            else:
                self.pair.reset()
            return
        self.pair.watch()

    def _come_up(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect")
        self.connecting = False

    def _read(self) -> None:
        data = self.sock.recv(CHUNK)
        if data:
            self.other.held += data
            if self.name == CLIENT:
                self.pair.observer.from_client(data)
        else:
            self.read_ended = True
            if self.name == CLIENT:
                self.pair.observer.ended("client")

    def flush(self) -> None:
        """Write what is held, and pass the end of the stream on behind it."""
        if self.connecting or not self.pair.passes(self.name):
            return
        while self.held:
            try:
                sent = self.sock.send(self.held)
            except BlockingIOError:
                return
            if self.name == CLIENT:
                self.pair.observer.to_client(bytes(self.held[:sent]))
            del self.held[:sent]
        if self.other.read_ended and not self.write_ended:
            self.write_ended = True
            self.sock.shutdown(socket.SHUT_WR)


class Pair:
    """One proxied connection."""

    def __init__(self, route: Route, sock: socket.socket) -> None:
        self.route = route
        self.forgotten = False  # it stays open and silent for good
        self.observer: Observer = observer_of(route.spoken, route.proxy.ledger, route.name)
        upstream = socket.socket()
        upstream.setblocking(False)
        self.client = Side(self, sock, CLIENT, False)
        self.upstream = Side(self, upstream, UPSTREAM, True)
        route.pairs[self] = None
        if route.source:
            upstream.bind((route.source, 0))
        upstream.connect_ex(route.upstream)
        self.watch()

    def passes(self, toward: str) -> bool:
        """Whether bytes may go to that side now."""
        if self.forgotten or self.route.mode in ("vanish", "hang"):
            return False
        return self.route.mode != "one_way" or toward != self.route.held_toward

    def watch(self) -> None:
        if self in self.route.pairs:
            for side in (self.client, self.upstream):
                side.watch()
            if self.client.write_ended and self.upstream.write_ended:
                self.close()

    def flush(self) -> None:
        try:
            for side in (self.client, self.upstream):
                side.flush()
        except OSError:
            self.reset()
        self.watch()

    def upstream_lost(self) -> None:
        """The party behind a route out of reach has ended: the client can't see it, and never hears of it."""
        self.forgotten = True
        self.route.proxy.loop.unwatch(self.upstream.sock)

    def reset(self) -> None:
        """End it as a broken connection: both sides see a reset."""
        self.observer.ended("reset")
        for side in (self.client, self.upstream):
            side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.close()

    def close(self) -> None:
        self.route.pairs.pop(self, None)
        for side in (self.client, self.upstream):
            self.route.proxy.loop.unwatch(side.sock)
            side.sock.close()


@dataclass(frozen=True, slots=True)
class Address:
    """Where a route listens and where it leads."""

    name: str
    spoken: str  # what is written down of what passes: "binary", "discovery" or nothing
    listen: tuple[str, int]
    upstream: tuple[str, int]
    source: str  # the host that the upstream sees as its peer; empty: the kernel's choice


class Route:
    """One listening address, the party behind it, and the fault that is played between them."""

    def __init__(self, proxy: Proxy, address: Address) -> None:
        self.proxy, self.name, self.spoken = proxy, address.name, address.spoken
        self.listen, self.upstream, self.source = address.listen, address.upstream, address.source
        self.mode, self.held_toward = "pass", UPSTREAM
        self.pairs: dict[Pair, None] = {}
        self.fillers: list[socket.socket] = []
        self.listener: socket.socket | None = None
        self._open()

    def _open(self) -> None:
        self.listener = socket.create_server(self.listen, backlog=BACKLOG)
        self.listener.setblocking(False)
        self.proxy.loop.watch(self.listener, READ, self._accept)

    def _accept(self, _mask: int) -> None:
        assert self.listener is not None
        for _ in range(BACKLOG):
            try:
                sock, _address = self.listener.accept()
            except OSError:
                return
            Pair(self, sock)  # the loop holds on to it

    def set_mode(self, mode: str, held_toward: str = UPSTREAM, forget: bool = False) -> None:
        """Play another fault from now on; ``ValueError`` for one that is not known."""
        if mode not in MODES:
            raise ValueError(f"no mode {mode!r}")
        self._leave_mode()
        self.mode, self.held_toward = mode, held_toward
        if mode == "vanish":
            self._fill_queue()
        elif mode == "refuse":
            self._stop_listening()
            self.reset()
        for pair in list(self.pairs):
            pair.forgotten = pair.forgotten or forget
            pair.flush()

    def _leave_mode(self) -> None:
        if self.mode == "vanish":
            self._stop_listening()  # with it goes the queue that held connections off
            self._open()
        elif self.mode == "refuse":
            self._open()

    def _stop_listening(self) -> None:
        if self.listener is not None:
            self.proxy.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None
        for filler in self.fillers:
            filler.close()
        self.fillers = []

    def _fill_queue(self) -> None:
        """Fill the shortest accept queue that there is, so that the kernel answers no other connection."""
        assert self.listener is not None
        self._accept(READ)
        self.proxy.loop.unwatch(self.listener)
        self.listener.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            self.fillers.append(filler)
            filler.settimeout(FILL_WAIT_S)
            try:
                filler.connect(self.listen)
            except OSError:
                return  # the queue is full

    def reset(self) -> None:
        for pair in list(self.pairs):
            pair.reset()


class Proxy:
    """All routes of one process, and the commands that change them."""

    def __init__(self, loop: Loop, ledger: EventLog, addresses: list[Address]) -> None:
        self.loop, self.ledger = loop, ledger
        self.routes = {address.name: Route(self, address) for address in addresses}

    def command(self, asked: Any) -> None:
        """Carry out one command."""
        route = self.routes[asked["route"]]
        if asked["do"] == "reset":
            route.reset()
        else:
            route.set_mode(asked["do"], asked.get("toward", UPSTREAM), bool(asked.get("forget")))
        self.ledger.record("fault", **asked)


def address_of(text: str) -> Address:
    """``NAME=HOST:PORT=HOST:PORT[=HOST]`` in parts; the name may say what is spoken: ``NAME/binary``."""
    name, listen, upstream, source = [*text.split("="), ""][:4]
    name, _, spoken = name.partition("/")
    return Address(name, spoken, parse_address(listen), parse_address(upstream), source)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("routes", nargs="+", type=address_of)
    parser.add_argument("--ledger", required=True)
    given = parser.parse_args()
    loop, ledger = Loop(), EventLog(given.ledger)
    proxy = Proxy(loop, ledger, given.routes)
    ledger.record("started")
    read_commands(loop, proxy.command)
    run_until_sigterm(loop, ledger)


if __name__ == "__main__":
    main()
