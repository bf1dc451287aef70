"""The group's datagram socket on the event loop."""

from __future__ import annotations

import socket
from collections.abc import Callable

from arrowrail.loop import READ, Loop
from arrowrail.state.address import parse_address
from arrowrail.wire.group.messages import MAX_DATAGRAM

MAX_DATAGRAMS_PER_ITERATION = 64  # the rest waits in the kernel, so that calls are handled in between
RECEIVE_BUFFER_BYTES = 256 * 1024


class Transport:
    """Sends and receives the datagrams of a group."""

    def __init__(self, loop: Loop, address: str, on_datagram: Callable[[bytes], None]) -> None:
        self.loop, self.on_datagram = loop, on_datagram
        host, port = parse_address(address)
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.bind((host, port))
        self.unsent = 0  # datagrams not sent: full kernel buffer, no route, or invalid address
        self._addresses: dict[str, tuple[str, int]] = {}
        loop.watch(self.sock, READ, self._on_readable)

    def send(self, address: str, data: bytes) -> None:
        """Send without waiting; a datagram that cannot be sent at once counts as lost."""
        destination = self._addresses.get(address)
        if destination is None:
            if len(self._addresses) > 4096:
                self._addresses.clear()
            try:
                destination = self._addresses[address] = parse_address(address)
            except ValueError:
                self.unsent += 1
                return
        try:
            self.sock.sendto(data, destination)
        except OSError:
            self.unsent += 1

    def _on_readable(self, _mask: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_ITERATION):
            try:
                data = self.sock.recv(MAX_DATAGRAM + 1)
            except OSError:  # nothing left to read, or a peer's port is closed
                return
            self.on_datagram(data)

    def close(self) -> None:
        self.loop.unwatch(self.sock)
        self.sock.close()
