"""A relay of datagrams between the instances of a group: it loses some, and splits the group when told.

``python -m arrowrail.lab.relay NAME=FRONT=BACK ...``: what comes to the port FRONT goes on to BACK.
Instances send to one another's FRONT from their own BACK, which tells who sent.  Lines of JSON on its input:
``{"cut": [NAMES], "both": true}`` and ``{"heal": true}``.
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
    def __init__(self, loop: Loop, routes: list[tuple[str, int, int]], loss: float, seed: int) -> None:
        self.loop, self.loss, self.random = loop, loss, random.Random(seed)
        self.name_of = {back: name for name, _, back in routes}
        self.cut: set[str] = set()
        self.both = True
        for name, front, back in routes:
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.setblocking(False)
            sock.bind(("127.0.0.1", front))
            loop.watch(sock, READ, partial(self._ready, sock, name, back))

    def _ready(self, sock: socket.socket, to: str, back: int, _mask: int) -> None:
        for _ in range(64):
            try:
                data, (_host, port) = sock.recvfrom(2048)
            except OSError:
                return
            sender = self.name_of.get(port, "")
            apart = (sender in self.cut) != (to in self.cut)
            if apart and (self.both or sender in self.cut):
                continue
            if self.random.random() >= self.loss:
                sock.sendto(data, ("127.0.0.1", back))

    def command(self, what: Any) -> None:
        self.cut = set(what.get("cut", ()))
        self.both = bool(what.get("both", True))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("routes", nargs="+")
    parser.add_argument("--loss", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    g = parser.parse_args()
    routes = [(n, int(front), int(back)) for n, front, back in (r.split("=") for r in g.routes)]
    loop = Loop()
    relay = Relay(loop, routes, g.loss, g.seed)
    read_commands(loop, relay.command)
    run_until_sigterm(loop, EventLog(os.devnull))


if __name__ == "__main__":
    main()
