"""A stand-in application: places calls over SIP on a few connections, at a given rate and with surges.

``python -m arrowrail.lab.application --to ADDRESS --ledger FILE --rate 20 --seconds 10 ...``

The times of the calls are drawn in advance from the seed and do not depend on answers.  A surge is
``FACTOR:FROM:SECONDS``.
"""

from __future__ import annotations

import argparse
import random
from typing import Any

from arrowrail.core.requests import MS
from arrowrail.lab.commands import read_commands, run_until_sigterm
from arrowrail.lab.event_log import EventLog
from arrowrail.loop import Loop
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.stream import Stream, connect

S = 1_000 * MS
RECONNECT_NS = 100 * MS
SESSION_DESCRIPTION = b"c=IN IP4 127.0.0.1\r\nm=audio 40000 RTP/AVP 0\r\n"


class Connection:
    """One connection of the application, which is reopened when it is lost."""

    def __init__(self, app: StandInApplication, number: int) -> None:
        self.app, self.number = app, number
        self.open_count = 0  # number of times that it was opened
        self.stream: Stream | None = None
        self.parser = sip.SipParser()
        self.open()

    def open(self) -> None:
        self.open_count += 1
        self.parser = sip.SipParser()
        try:
            self.stream = connect(self.app.loop, self, self.app.address)
        except OSError:
            self.lost(None)

    @property
    def name(self) -> str:
        return f"{self.number}.{self.open_count}"

    @property
    def is_up(self) -> bool:
        return self.stream is not None and self.stream.open and not self.stream.connecting

    def connected(self) -> None:
        self.app.event_log.record("connected", line=self.name)

    def received(self, data: bytes) -> None:
        for message in self.parser.feed(data):
            if isinstance(message, sip.Malformed):
                self.app.event_log.record("unreadable", line=self.name, why=message.reason)
            elif message.status and message.cseq_method == "INVITE" and message.status >= 200:
                self.app.answered(self, message)
            elif message.method == "BYE":
                self.app.event_log.record("bye", call=message.call_id, line=self.name)
                if self.stream is not None:
                    self.stream.send(sip.response(200, message))

    def lost(self, _error: OSError | None) -> None:
        self.app.event_log.record("lost", line=self.name)
        self.stream = None
        self.app.loop.timers.schedule(self.app.loop.now + RECONNECT_NS, self.open)


class StandInApplication:
    """Places the calls and records what happens to them."""

    def __init__(
        self, loop: Loop, address: str, event_log: EventLog, seed: int, connection_count: int, rate: float,
        seconds: float, classes: dict[str, float], numbers: list[str], patience_ms: int,
        surge: tuple[float, float, float], single_connection: bool = False,
    ) -> None:  # fmt: skip
        self.loop, self.address, self.event_log = loop, address, event_log
        self.random = random.Random(seed)
        self.classes, self.numbers, self.patience_ms = classes, numbers, patience_ms
        self.single_connection = single_connection  # calls of the surge use one connection only
        self.connections = [Connection(self, number) for number in range(connection_count)]
        self.started_ns, self.stopped = loop.now, False
        factor, surge_start_s, surge_s = surge
        at_s = 0.0
        while rate > 0:
            surging = surge_start_s <= at_s < surge_start_s + surge_s
            at_s += self.random.expovariate(rate * (factor if surging else 1.0))
            if at_s >= seconds:
                break
            loop.timers.schedule(self.started_ns + int(at_s * S), self._call_placer(surging))

    def execute(self, command: Any) -> None:
        """``{"do": "stop"}``: place no more calls; messages of open calls are still recorded."""
        self.stopped = self.stopped or command["do"] == "stop"

    def _call_placer(self, surging: bool):  # type: ignore[no-untyped-def]
        return lambda: self._place_call(surging)

    def _place_call(self, surging: bool) -> None:
        if self.stopped:
            return
        call_id = f"{self.random.getrandbits(64):016x}"
        class_name = self.random.choices(list(self.classes), list(self.classes.values()))[0]
        number = self.random.choice(self.numbers) + f"{self.random.randrange(1000):03d}"
        usable = [connection for connection in self.connections if connection.is_up]
        if not usable:
            self.event_log.record("no_line", call=call_id, kind=class_name)
            return
        connection = usable[0] if surging and self.single_connection else self.random.choice(usable)
        head = (
            f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP app\r\nCall-ID: {call_id}\r\n"
            f"CSeq: 1 INVITE\r\nSubject: {class_name}\r\nX-Patience: {self.patience_ms}\r\n"
            f"Content-Length: {len(SESSION_DESCRIPTION)}\r\n\r\n"
        )
        assert connection.stream is not None
        self.event_log.record("sent", call=call_id, kind=class_name, line=connection.name, surging=surging)
        connection.stream.send(head.encode() + SESSION_DESCRIPTION)

    def answered(self, connection: Connection, message: sip.SipMessage) -> None:
        self.event_log.record(
            "answer", call=message.call_id, status=message.status, line=connection.name,
            later=int(message.headers.get("x-later-ms", 0)),
        )  # fmt: skip
        if connection.stream is not None:
            connection.stream.send(
                sip.request("ACK", f"sip:{message.call_id}@net", "app", message.call_id, 1)
            )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--to", required=True)
    parser.add_argument("--ledger", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--lines", type=int, default=4)
    parser.add_argument("--rate", type=float, default=10.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--class", dest="classes", action="append", default=[], help="NAME=WEIGHT")
    parser.add_argument("--number", dest="numbers", action="append", default=[])
    parser.add_argument("--patience-ms", type=int, default=3000)
    parser.add_argument("--surge", default="1:0:0", help="FACTOR:FROM:SECONDS")
    parser.add_argument("--narrow", action="store_true", help="calls of the surge use one connection")
    arguments = parser.parse_args()
    classes = {name: float(weight) for name, weight in (text.split("=") for text in arguments.classes)}
    factor, surge_start_s, surge_s = map(float, arguments.surge.split(":"))
    loop, event_log = Loop(), EventLog(arguments.ledger)
    app = StandInApplication(
        loop, arguments.to, event_log, arguments.seed, arguments.lines, arguments.rate, arguments.seconds,
        classes, arguments.numbers, arguments.patience_ms, (factor, surge_start_s, surge_s), arguments.narrow,
    )  # fmt: skip
    read_commands(loop, app.execute)
    run_until_sigterm(loop, event_log)


if __name__ == "__main__":
    main()
