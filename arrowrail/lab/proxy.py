"""A TCP proxy in a separate process that injects network faults between a client and an upstream server.

``python -m arrowrail.lab.proxy --ledger FILE NAME=LISTEN=UPSTREAM[=SOURCE] ...``; each line of its standard
input is one command as JSON, ``{"route": NAME, "do": MODE, ...}``.  The commands and their times are recorded
in its event log.

Modes of a route:

- ``pass``: bytes are forwarded both ways (the initial mode).
- ``vanish``: open connections stay open and silent, new ones are never established, as when a machine loses
  its power or its network link.  The kernel ignores new connections because the accept queue is kept full.
- ``hang``: connections are established and nothing is forwarded, as when a process is stopped.
- ``refuse``: connections are reset, new ones are refused, as when a process has died.
- ``one_way``: bytes toward the upstream are buffered, those from it are forwarded; ``"toward": "client"``:
  the reverse.

Buffered bytes are forwarded when the route returns to ``pass``, as TCP does once a link is restored; with
``"forget": true`` the connections that are open then stay silent for good, as after the machine was replaced.
``reset`` is not a mode: it resets the open connections of a route once.  Any command may name another
``upstream`` for the connections that open from then on, as when a new machine takes the address.

Messages are recorded as well, where the name of the route gives its protocol: ``NAME/binary`` for set-ups,
answers and releases, ``NAME/discovery`` for the offsets of events.  They are recorded when the program under
test, which is the client of all routes, has sent them or can read them, so that the log holds what the
program can know.
"""

from __future__ import annotations

import argparse
import socket
import struct
from dataclasses import dataclass
from typing import Any

from arrowrail.lab.commands import read_commands, run_until_sigterm
from arrowrail.lab.event_log import EventLog
from arrowrail.lab.observers import Observer, create_observer
from arrowrail.loop import READ, WRITE, Loop
from arrowrail.state.address import parse_address

READ_SIZE = 64 * 1024
MAX_BUFFERED = 1024 * 1024  # bytes buffered for one side of one connection; more stay in the kernel
BACKLOG = 512
MAX_QUEUE_FILLERS = 8  # maximum number of connections opened to fill an accept queue of length one
FILL_TIMEOUT_S = 0.05
LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close() sends a reset
MODES = ("pass", "vanish", "hang", "refuse", "one_way")
UPSTREAM, CLIENT = "upstream", "client"


class ConnectionSide:
    """One side of a proxied connection: its socket, and the bytes to be sent to it."""

    def __init__(
        self, connection: ProxiedConnection, sock: socket.socket, name: str, connecting: bool
    ) -> None:
        self.connection, self.sock, self.name, self.connecting = connection, sock, name, connecting
        self.buffer = bytearray()
        self.read_ended = self.write_ended = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @property
    def other(self) -> ConnectionSide:
        return self.connection.client if self is self.connection.upstream else self.connection.upstream

    def watch(self) -> None:
        """Register for reading while there is buffer space, and for writing while bytes may be forwarded."""
        mask = 0
        may_write = self.connection.forwards_to(self.name)
        if self.connecting or (self.buffer and may_write):
            mask |= WRITE
        has_space = len(self.other.buffer) < MAX_BUFFERED
        ignored = self.connection.silenced and self.name == UPSTREAM
        if not self.connecting and not self.read_ended and has_space and not ignored:
            mask |= READ
        if mask:
            self.connection.route.proxy.loop.watch(self.sock, mask, self.ready)
        else:
            self.connection.route.proxy.loop.unwatch(self.sock)

    def ready(self, mask: int) -> None:
        try:
            if self.connecting:
                self._finish_connect()
            elif mask & READ:
                self._read()
                self.other.flush()
            if not self.connecting:
                self.flush()
        except OSError:
            if self.name == UPSTREAM and not self.connection.forwards_to(CLIENT):
                self.connection.upstream_lost()
            else:
                self.connection.reset()
            return
        self.connection.watch()

    def _finish_connect(self) -> None:
        error = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect")
        self.connecting = False

    def _read(self) -> None:
        data = self.sock.recv(READ_SIZE)
        if data:
            self.other.buffer += data
            if self.name == CLIENT:
                self.connection.observer.from_client(data)
        else:
            self.read_ended = True
            if self.name == CLIENT:
                self.connection.observer.connection_ended("client")

    def flush(self) -> None:
        """Send the buffered bytes, and after them the end of the stream."""
        if self.connecting or not self.connection.forwards_to(self.name):
            return
        while self.buffer:
            try:
                sent = self.sock.send(self.buffer)
            except BlockingIOError:
                return
            if self.name == CLIENT:
                self.connection.observer.to_client(bytes(self.buffer[:sent]))
            del self.buffer[:sent]
        if self.other.read_ended and not self.write_ended:
            self.write_ended = True
            self.sock.shutdown(socket.SHUT_WR)


class ProxiedConnection:
    """A client's connection and the connection to the upstream that belongs to it."""

    def __init__(self, route: Route, sock: socket.socket) -> None:
        self.route = route
        self.silenced = False  # stays open and silent for good
        self.observer: Observer = create_observer(route.protocol, route.proxy.event_log, route.name)
        upstream = socket.socket()
        upstream.setblocking(False)
        self.client = ConnectionSide(self, sock, CLIENT, False)
        self.upstream = ConnectionSide(self, upstream, UPSTREAM, True)
        route.connections[self] = None
        if route.source:
            upstream.bind((route.source, 0))
        upstream.connect_ex(route.upstream)
        self.watch()

    def forwards_to(self, side_name: str) -> bool:
        """Whether bytes may be sent to that side in the current mode."""
        if self.silenced or self.route.mode in ("vanish", "hang"):
            return False
        return self.route.mode != "one_way" or side_name != self.route.blocked_toward

    def watch(self) -> None:
        if self in self.route.connections:
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
        """The upstream ended while it was unreachable: the client cannot see that, and is never notified."""
        self.silenced = True
        self.route.proxy.loop.unwatch(self.upstream.sock)

    def reset(self) -> None:
        """End it as a failed connection: both sides receive a TCP reset."""
        self.observer.connection_ended("reset")
        for side in (self.client, self.upstream):
            side.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.close()

    def close(self) -> None:
        self.route.connections.pop(self, None)
        for side in (self.client, self.upstream):
            self.route.proxy.loop.unwatch(side.sock)
            side.sock.close()


@dataclass(frozen=True, slots=True)
class RouteSpec:
    """Where a route listens and where it forwards to."""

    name: str
    protocol: str  # whose messages are recorded: "binary", "discovery" or empty
    listen: tuple[str, int]
    upstream: tuple[str, int]
    source: str  # source host of connections to the upstream; empty: the kernel's choice


class Route:
    """One listening address, its upstream, and the fault that is simulated between them."""

    def __init__(self, proxy: Proxy, spec: RouteSpec) -> None:
        self.proxy, self.name, self.protocol = proxy, spec.name, spec.protocol
        self.listen, self.upstream, self.source = spec.listen, spec.upstream, spec.source
        self.mode, self.blocked_toward = "pass", UPSTREAM
        self.connections: dict[ProxiedConnection, None] = {}
        self.queue_fillers: list[socket.socket] = []
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
            ProxiedConnection(self, sock)  # referenced by the event loop

    def set_mode(self, mode: str, blocked_toward: str = UPSTREAM, forget: bool = False) -> None:
        """Switch to another mode; ``ValueError`` for an unknown one."""
        if mode not in MODES:
            raise ValueError(f"unknown proxy mode {mode!r}")
        self._leave_mode()
        self.mode, self.blocked_toward = mode, blocked_toward
        if mode == "vanish":
            self._fill_queue()
        elif mode == "refuse":
            self._stop_listening()
            self.reset()
        for connection in list(self.connections):
            connection.silenced = connection.silenced or forget
            connection.flush()

    def _leave_mode(self) -> None:
        if self.mode == "vanish":
            self._stop_listening()  # this also discards the full accept queue
            self._open()
        elif self.mode == "refuse":
            self._open()

    def _stop_listening(self) -> None:
        if self.listener is not None:
            self.proxy.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None
        for connection in self.queue_fillers:
            connection.close()
        self.queue_fillers = []

    def _fill_queue(self) -> None:
        """Fill an accept queue of the minimum length, so that the kernel answers no other connection."""
        assert self.listener is not None
        self._accept(READ)
        self.proxy.loop.unwatch(self.listener)
        self.listener.listen(0)
        for _ in range(MAX_QUEUE_FILLERS):
            connection = socket.socket()
            self.queue_fillers.append(connection)
            connection.settimeout(FILL_TIMEOUT_S)
            try:
                connection.connect(self.listen)
            except OSError:
                return  # the queue is full

    def reset(self) -> None:
        for connection in list(self.connections):
            connection.reset()


class Proxy:
    """All routes of the process, and the commands that change their modes."""

    def __init__(self, loop: Loop, event_log: EventLog, specs: list[RouteSpec]) -> None:
        self.loop, self.event_log = loop, event_log
        self.routes = {spec.name: Route(self, spec) for spec in specs}

    def execute(self, command: Any) -> None:
        """Execute one command of standard input, and record it as ``fault``."""
        route = self.routes[command["route"]]
        if "upstream" in command:
            route.upstream = parse_address(command["upstream"])
        if command["do"] == "reset":
            route.reset()
        else:
            route.set_mode(command["do"], command.get("toward", UPSTREAM), bool(command.get("forget")))
        self.event_log.record("fault", **command)


def parse_route(text: str) -> RouteSpec:
    """Parse ``NAME=HOST:PORT=HOST:PORT[=HOST]``; the name may contain the protocol: ``NAME/binary``."""
    name, listen, upstream, source = [*text.split("="), ""][:4]
    name, _, protocol = name.partition("/")
    return RouteSpec(name, protocol, parse_address(listen), parse_address(upstream), source)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("routes", nargs="+", type=parse_route)
    parser.add_argument("--ledger", required=True)
    arguments = parser.parse_args()
    loop, event_log = Loop(), EventLog(arguments.ledger)
    proxy = Proxy(loop, event_log, arguments.routes)
    event_log.record("started")
    read_commands(loop, proxy.execute)
    run_until_sigterm(loop, event_log)


if __name__ == "__main__":
    main()
