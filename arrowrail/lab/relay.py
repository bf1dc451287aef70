"""A UDP relay between the instances of a group: drops some datagrams, and partitions the group on command.

``python -m arrowrail.lab.relay NAME=FRONT=BACK ...``: datagrams received on the port FRONT are forwarded to
the port BACK.  Instances send to one another's FRONT from their own BACK, which identifies the sender.
Commands are lines of JSON on its standard input: ``{"cut": [NAMES], "both": true}`` drops datagrams between
the named instances and the others, with ``"both": false`` only those that the named ones send;
``{"heal": true}`` ends the partition.
"""

from __future__ import annotations

import argparse
import os
import random
import socket
from functools import partial
from typing import Any

from arrowrail.lab.commands import read_commands, run_until_sigterm
from arrowrail.lab.event_log import EventLog
from arrowrail.loop import READ, Loop


class Relay:
    """Forwards datagrams between instances, except those lost at random or by a partition."""

    def __init__(self, loop: Loop, routes: list[tuple[str, int, int]], loss_rate: float, seed: int) -> None:
        self.loop, self.loss_rate, self.random = loop, loss_rate, random.Random(seed)
        self.name_by_port = {back_port: name for name, _, back_port in routes}
        self.isolated: set[str] = set()
        self.both_directions = True
        for name, front_port, back_port in routes:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(("127.0.0.1", front_port))
            loop.watch(sock, READ, partial(self._ready, sock, name, back_port))

    def _ready(self, sock: socket.socket, receiver: str, back_port: int, _mask: int) -> None:
        for _ in range(64):
            try:
                data, (_host, port) = sock.recvfrom(2048)
            except OSError:
                return
            sender = self.name_by_port.get(port, "")
            separated = (sender in self.isolated) != (receiver in self.isolated)
            if separated and (self.both_directions or sender in self.isolated):
                continue
            if self.random.random() >= self.loss_rate:
                sock.sendto(data, ("127.0.0.1", back_port))

    def execute(self, command: Any) -> None:
        """Execute ``cut`` or ``heal``; a later command replaces the earlier partition."""
        self.isolated = set(command.get("cut", ()))
        self.both_directions = bool(command.get("both", True))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("routes", nargs="+")
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    routes = [
        (name, int(front_port), int(back_port))
        for name, front_port, back_port in (route.split("=") for route in arguments.routes)
    ]
    loop = Loop()
    relay = Relay(loop, routes, arguments.loss, arguments.seed)
    read_commands(loop, relay.execute)
    run_until_sigterm(loop, EventLog(os.devnull))


if __name__ == "__main__":
    main()
