"""The group's datagram socket on the loop."""

from __future__ import annotations

import socket
from collections.abc import Callable

from arrowrail.loop import READ, Loop
from arrowrail.state.address import parse_address
from arrowrail.wire.group.messages import MAX_DATAGRAM

MAX_DATAGRAMS_PER_ITERATION = (
    64  # datagrams read in one turn: the rest waits in the kernel, and calls go first
)
RECEIVE_BUFFER_BYTES = 256 * 1024


class Transport:
    def __init__(self, loop: Loop, address: str, on_datagram: Callable[[bytes], None]) -> None:
        self.loop, self.on_datagram = loop, on_datagram
        host, port = parse_address(address)
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sock.bind((host, port))
        self.unsent = 0  # datagrams that the kernel had no room for, or no way
        self._addresses: dict[str, tuple[str, int]] = {}
        loop.watch(self.sock, READ, self._on_readable)

    def send(self, address: str, data: bytes) -> None:
        """Datagrams are lost now and then: one that can't leave at once is one of them."""
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
            except OSError:  # nothing more, or a peer's port that is closed
                return
            self.on_datagram(data)

    def close(self) -> None:
        self.loop.unwatch(self.sock)
        self.sock.close()
