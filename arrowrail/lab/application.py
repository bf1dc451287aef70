"""A stand-in application: callers over SIP on a few connections, at a rate, with surges.

``python -m arrowrail.lab.application --to ADDRESS --ledger FILE --rate 20 --seconds 10 ...``

Calls arrive at random times drawn ahead from the seed, and do not wait for answers.  A surge is
``FACTOR:FROM:SECONDS``.  ``--stop-reading FROM`` leaves everything unread from then on.
"""

from __future__ import annotations

import argparse
import random
from typing import Any

from arrowrail.core.requests import MS
from arrowrail.lab.commands import read_commands, run_until_told
from arrowrail.lab.ledger import Ledger
from arrowrail.loop import Loop
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.stream import Stream, connect

S = 1_000 * MS
AGAIN_NS = 100 * MS
BODY = b"c=IN IP4 127.0.0.1\r\nm=audio 40000 RTP/AVP 0\r\n"


class Line:
    """One connection of the application, made again when it is lost."""

    def __init__(self, app: StandInApplication, number: int) -> None:
        self.app, self.number = app, number
        self.life = 0  # counts the connections that it has had
        self.stream: Stream | None = None
        self.parser = sip.SipParser()
        self.open()

    def open(self) -> None:
        self.life += 1
        self.parser = sip.SipParser()
        try:
            self.stream = connect(self.app.loop, self, self.app.address)
        except OSError:
            self.lost(None)

    @property
    def name(self) -> str:
        return f"{self.number}.{self.life}"

    @property
    def up(self) -> bool:
        return self.stream is not None and self.stream.open and not self.stream.connecting

    def connected(self) -> None:
        self.app.ledger.say("connected", line=self.name)

    def received(self, data: bytes) -> None:
        for m in self.parser.feed(data):
            if isinstance(m, sip.Malformed):
                self.app.ledger.say("unreadable", line=self.name, why=m.reason)
            elif m.status and m.cseq_method == "INVITE" and m.status >= 200:
                self.app.answered(self, m)
            elif m.method == "BYE":
                self.app.ledger.say("bye", call=m.call_id, line=self.name)
                if self.stream is not None:
                    self.stream.send(sip.response(200, m))

    def lost(self, _why: OSError | None) -> None:
        self.app.ledger.say("lost", line=self.name)
        self.stream = None
        self.app.loop.timers.schedule(self.app.loop.now + AGAIN_NS, self.open)


class StandInApplication:
    def __init__(
        self, loop: Loop, address: str, ledger: Ledger, seed: int, lines: int, rate: float, seconds: float,
        classes: dict[str, float], numbers: list[str], patience_ms: int, surge: tuple[float, float, float],
        narrow: bool = False,
    ) -> None:  # fmt: skip
        self.loop, self.address, self.ledger = loop, address, ledger
        self.random = random.Random(seed)
        self.classes, self.numbers, self.patience_ms = classes, numbers, patience_ms
        self.narrow = narrow  # what surges comes on one connection only
        self.lines = [Line(self, n) for n in range(lines)]
        self.began, self.stopped = loop.now, False
        factor, since, length = surge
        at = 0.0
        while rate > 0:
            surging = since <= at < since + length
            at += self.random.expovariate(rate * (factor if surging else 1.0))
            if at >= seconds:
                break
            loop.timers.schedule(self.began + int(at * S), self._caller(surging))

    def command(self, asked: Any) -> None:
        """``{"do": "stop"}``: no calls from now on; what is open is still heard."""
        self.stopped = self.stopped or asked["do"] == "stop"

    def _caller(self, surging: bool):  # type: ignore[no-untyped-def]
        return lambda: self._call(surging)

    def _call(self, surging: bool) -> None:
        if self.stopped:
            return
        call = f"{self.random.getrandbits(64):016x}"
        kind = self.random.choices(list(self.classes), list(self.classes.values()))[0]
        number = self.random.choice(self.numbers) + f"{self.random.randrange(1000):03d}"
        up = [line for line in self.lines if line.up]
        if not up:
            self.ledger.say("no_line", call=call, kind=kind)
            return
        line = up[0] if surging and self.narrow else self.random.choice(up)
        head = (
            f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP app\r\nCall-ID: {call}\r\n"
            f"CSeq: 1 INVITE\r\nSubject: {kind}\r\nX-Patience: {self.patience_ms}\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n"
        )
        assert line.stream is not None
        self.ledger.say("sent", call=call, kind=kind, line=line.name, surging=surging)
        line.stream.send(head.encode() + BODY)

    def answered(self, line: Line, m: sip.SipMessage) -> None:
        self.ledger.say("answer", call=m.call_id, status=m.status, line=line.name,
                        later=int(m.headers.get("x-later-ms", 0)))  # fmt: skip
        if line.stream is not None:
            line.stream.send(sip.request("ACK", f"sip:{m.call_id}@net", "app", m.call_id, 1))


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
    parser.add_argument("--narrow", action="store_true", help="the surge comes on one connection")
    g = parser.parse_args()
    classes = {n: float(w) for n, w in (c.split("=") for c in g.classes)}
    factor, since, length = map(float, g.surge.split(":"))
    loop, ledger = Loop(), Ledger(g.ledger)
    app = StandInApplication(
        loop, g.to, ledger, g.seed, g.lines, g.rate, g.seconds, classes, g.numbers, g.patience_ms,
        (factor, since, length), g.narrow,
    )  # fmt: skip
    read_commands(loop, app.command)
    run_until_told(loop, ledger)


if __name__ == "__main__":
    main()
