"""Clients that overload a controller: many connections or one, at full speed, reading or not.

``python -m arrowrail.lab.hostile_clients --to ADDRESS --kind KIND --connections N --seconds S [--seed N]``

``fields``: OPTIONS whose head consists of very many short fields; the responses are not read.
``field_set_ups``: the same with set-ups, half of which wait for a circuit.
``half``: the first half of such a message and nothing more; ``trickle``: a few bytes of it at a time.
``options``: small valid requests; ``unsound``: small requests that are rejected; ``set_ups``: set-ups with
ever new call ids; ``classes``: set-ups of ever new classes.  The responses of these are read and discarded.
A connection that is closed is opened again.
"""

from __future__ import annotations

import argparse
import contextlib
import itertools
import random
import selectors
import socket
import string
import time
from collections.abc import Callable
from dataclasses import dataclass

from arrowrail.state.address import parse_address

BATCH_SIZE = 64 * 1024  # bytes prepared at a time for a connection
READ_SIZE = 256 * 1024
MAX_MESSAGE_SIZE = 16 * 1024  # of the protocol
TRICKLE_SIZE = 3  # bytes at a time
TRICKLE_INTERVAL_S = 0.1
REOPEN_DELAY_S = 0.1
SET_UP_BODY = b"c=IN IP4 127.0.0.1\r\n"


def _head(method: str, call_id: str, *fields: str) -> bytes:
    lines = [f"{method} sip:ab@net SIP/2.0", f"Call-ID: {call_id}", f"CSeq: 1 {method}", *fields]
    return ("\r\n".join(lines) + "\r\n").encode()


def _set_up(call_id: str, class_name: str, padding: bytes = b"") -> bytes:
    fields = (f"Subject: {class_name}", "X-Patience: 1000", "X-Facts: dest:1;width:1;via:-1")
    head = _head("INVITE", call_id, *fields, f"Content-Length: {len(SET_UP_BODY)}")
    return head + padding + b"\r\n" + SET_UP_BODY


def _short_fields(size: int) -> bytes:
    """Return as many short header fields, all with other names, as fit into ``size`` bytes."""
    names = map("".join, itertools.product(string.ascii_lowercase + string.digits + "-.!%*_+", repeat=3))
    fields = "".join(f"{name}:\r\n" for name in itertools.islice(names, size // len("aaa:\r\n")))
    return fields.encode()


SHORT_FIELDS = _short_fields(MAX_MESSAGE_SIZE - 512)


def _many_fields(call_id: str) -> bytes:
    return _head("OPTIONS", call_id, "Content-Length: 0") + SHORT_FIELDS + b"\r\n"


MESSAGES: dict[str, Callable[[str], bytes]] = {
    "fields": _many_fields,
    "field_set_ups": lambda call_id: _set_up(call_id, "voice", SHORT_FIELDS),
    "half": lambda call_id: _many_fields(call_id)[: MAX_MESSAGE_SIZE // 2],
    "trickle": _many_fields,
    "options": lambda call_id: _head("OPTIONS", call_id, "Content-Length: 0") + b"\r\n",
    "unsound": lambda call_id: _head("INVITE", call_id, "Content-Length: 0") + b"\r\n",
    "set_ups": lambda call_id: _set_up(call_id, "voice"),
    "classes": lambda call_id: _set_up(call_id, f"class-{call_id}"),
}
NOT_READING = frozenset({"fields", "field_set_ups", "half", "trickle"})


@dataclass(slots=True)
class Client:
    """One connection and the bytes that it still has to send."""

    sock: socket.socket
    unsent: memoryview


class HostileClients:
    """Keeps the connections of one kind open and sends on them as fast as the controller reads."""

    def __init__(self, address: str, kind: str, connections: int, seed: int) -> None:
        self.address, self.kind, self.connections = parse_address(address), kind, connections
        self.random = random.Random(seed)
        self.selector = selectors.DefaultSelector()
        self.clients = 0
        self.sent_bytes = self.received_bytes = self.closed = 0

    def run(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        next_open = 0.0
        while time.monotonic() < end:
            if self.clients < self.connections and time.monotonic() >= next_open:
                next_open = 0.0 if self._open() else time.monotonic() + REOPEN_DELAY_S
            for key, mask in self.selector.select(0 if self.clients < self.connections else 0.05):
                self._serve(key.data, mask)
            if self.kind == "trickle":
                time.sleep(TRICKLE_INTERVAL_S)

    def _open(self) -> bool:
        sock = socket.socket()
        sock.settimeout(0.5)
        try:
            sock.connect(self.address)
        except OSError:
            sock.close()
            return False
        sock.setblocking(False)
        self.clients += 1
        events = selectors.EVENT_WRITE
        if self.kind not in NOT_READING:
            events |= selectors.EVENT_READ
        self.selector.register(sock, events, Client(sock, self._batch()))
        return True

    def _batch(self) -> memoryview:
        make = MESSAGES[self.kind]
        if self.kind in ("half", "trickle"):
            return memoryview(make(self._call_id()))
        data = b""
        while len(data) < BATCH_SIZE:
            data += make(self._call_id())
        return memoryview(data)

    def _call_id(self) -> str:
        return f"{self.random.getrandbits(64):016x}"

    def _serve(self, client: Client, mask: int) -> None:
        try:
            if mask & selectors.EVENT_READ:
                data = client.sock.recv(READ_SIZE)
                self.received_bytes += len(data)
                if not data:
                    raise ConnectionResetError
            if mask & selectors.EVENT_WRITE:
                self._write(client)
        except BlockingIOError:
            return
        except OSError:
            self.selector.unregister(client.sock)
            client.sock.close()
            self.clients -= 1
            self.closed += 1

    def _write(self, client: Client) -> None:
        size = TRICKLE_SIZE if self.kind == "trickle" else len(client.unsent)
        sent = client.sock.send(client.unsent[:size])
        self.sent_bytes += sent
        client.unsent = client.unsent[sent:]
        if client.unsent:
            return
        if self.kind == "half":
            self.selector.modify(client.sock, selectors.EVENT_READ, client)
        else:
            client.unsent = self._batch()


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--to", required=True)
    parser.add_argument("--kind", choices=sorted(MESSAGES), required=True)
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    clients = HostileClients(arguments.to, arguments.kind, arguments.connections, arguments.seed)
    with contextlib.suppress(KeyboardInterrupt):
        clients.run(arguments.seconds)
    print(f"sent {clients.sent_bytes}, received {clients.received_bytes}, closed {clients.closed}")


if __name__ == "__main__":
    main()
