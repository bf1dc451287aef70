"""The back toward the desk exchanges that speak the binary protocol: one connection to each."""

from __future__ import annotations

import errno
from dataclasses import dataclass, field
from functools import partial

from loguru import logger

from arrowrail.core import MS, Core, Ended, Offer
from arrowrail.run.loop import Loop
from arrowrail.state.directory import IN_SERVICE, TERMINATED, Desk
from arrowrail.wire import binary
from arrowrail.wire.binary import DeskMessage
from arrowrail.wire.reconnect import Reconnect
from arrowrail.wire.stream import Stream, connect

OWED = "release"  # names releases among the messages of a connection; no call's id looks like it
OWED_KEPT = 1000
# Release causes of an unanswered set-up, as outcomes of the module.
OUTCOMES = {34: "turned_away", 17: "server_error", 47: "server_error", 102: "not_sent", 41: "connection_lost"}
NOTES = {"group_full": 1, "tandem_refused": 2, "processor_full": 3, "user_busy": 4, "destination_full": 18}


def read_release(m: DeskMessage) -> Ended:
    cause = NOTES.get(m.note, 0)
    if m.note == "processor_full":
        cause += 16 * m.told_wait_ms
    return Ended(
        OUTCOMES.get(m.cause, "server_error"), cause, "connection_lost" if m.cause == 41 else "served"
    )


@dataclass(slots=True)
class Link:
    """The connection to one desk exchange, and the set-ups on it that are unanswered."""

    back: DeskBack
    desk: Desk
    stream: Stream | None = None
    parser: binary.BinaryParser = field(default_factory=binary.BinaryParser)
    waiting: dict[str, None] = field(default_factory=dict)  # unanswered set-ups, queued or sent
    owed: list[bytes] = field(default_factory=list)  # releases that found no connection
    retry: Reconnect = field(init=False)

    def __post_init__(self) -> None:
        self.retry = Reconnect(self.back.loop, self.open)

    def open(self) -> None:
        if self.stream is not None or self.desk.told.state == TERMINATED:
            return
        self.retry.cancel()
        self.parser = binary.BinaryParser()
        try:
            self.stream = connect(self.back.loop, self, self.desk.told.endpoint)
        except OSError as why:  # no descriptor left
            logger.warning("no connection to {}: {}", self.desk.told.uid, why)
            self.back.loop.deadlines.at(self.back.loop.now, partial(self.lost, why))
            return
        self.retry.within(self.back.connect_timeout_ns, self.stream)

    def connected(self) -> None:
        self.retry.succeeded()
        owed, self.owed = self.owed, []
        for data in owed:
            if self.stream is not None:
                self.stream.send(data, OWED)

    def received(self, data: bytes) -> None:
        try:
            for message in self.parser.feed(data):
                self.back.message(self, message)
        except binary.BinaryError as wrong:
            logger.warning("unreadable message from {}: {}", self.desk.told.uid, wrong)
            if self.stream is not None:
                self.stream.fail(OSError(errno.EPROTO, str(wrong)))

    def lost(self, why: OSError | None) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            # Guards against a call that its caller ended standing on beyond a broken connection.
            self.owed = (self.owed + stream.left(OWED))[-OWED_KEPT:]
        waiting, self.waiting = list(self.waiting), {}
        for call in waiting:
            never_left = stream is None or stream.connecting or stream.unsent(call)
            self.back.core.attempt_failed(
                self.desk, call, "no_connection" if never_left else "connection_lost"
            )
        refused = why is not None and why.errno == errno.ECONNREFUSED
        if self.desk.told.state != TERMINATED and self.retry.failed(refused):
            self.back.core.desk_gone(self.desk)

    def send(self, message: DeskMessage, tag: str | None = None) -> None:
        self.open()
        if self.stream is not None:
            self.stream.send(binary.encode(message), tag)
        elif tag == OWED:
            self.owed.append(binary.encode(message))

    def close(self) -> None:
        self.retry.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()


class DeskBack:
    def __init__(self, loop: Loop, core: Core, connect_timeout_ns: int) -> None:
        self.loop, self.core, self.connect_timeout_ns = loop, core, connect_timeout_ns
        self.links: dict[int, Link] = {}
        core.backs["binary"] = self

    # --- From the core ----------------------------------------------------------------------------------

    def changed(self, desk: Desk) -> None:
        """Connect ahead of the first set-up: the connection also tells the state of the group."""
        link = self.links.get(desk.office)
        if desk.told.state == IN_SERVICE:
            if link is None:
                link = self.links[desk.office] = Link(self, desk)
            link.open()
        elif link is not None:
            self._withdraw(link)
            if desk.told.state == TERMINATED:
                link.close()
                del self.links[desk.office]

    def _withdraw(self, link: Link) -> None:
        """Guards the drain rule: what is still queued would only be written once the peer reads again."""
        for call in list(link.waiting):
            connecting = link.stream is None or link.stream.connecting
            if link.stream is None or link.stream.withdraw(call) or connecting:
                del link.waiting[call]
                self.core.attempt_failed(link.desk, call, "not_sent")

    def set_up(self, desk: Desk, offer: Offer, wait_ns: int) -> None:
        link = self.links.get(desk.office)
        if link is None:
            link = self.links[desk.office] = Link(self, desk)
        link.waiting[offer.call] = None
        message = DeskMessage(
            binary.SET_UP, int(offer.call, 16), class_name=offer.class_name, number=offer.number,
            wait_ms=max(1, wait_ns // MS), description=offer.description,
        )  # fmt: skip
        link.send(message, offer.call)

    def give_up(self, desk: Desk, call: str) -> None:
        link = self.links.get(desk.office)
        if link is None or call not in link.waiting:
            return
        del link.waiting[call]
        if link.stream is not None and not link.stream.withdraw(call):
            self.release(desk, call, 16)

    def release(self, desk: Desk, call: str, cause: int) -> None:
        link = self.links.get(desk.office)
        if link is not None:
            link.waiting.pop(call, None)
            link.send(DeskMessage(binary.RELEASE, int(call, 16), cause=cause), OWED)

    # --- From the desk exchanges ------------------------------------------------------------------------

    def message(self, link: Link, m: DeskMessage) -> None:
        call = f"{m.call:016x}"
        if m.kind == binary.ANSWER:
            link.waiting.pop(call, None)
            self.core.desk_answered(link.desk, call, m.description)
        elif m.kind == binary.RELEASE:
            link.waiting.pop(call, None)
            self.core.desk_released(link.desk, call, read_release(m), m.cause)
            link.send(DeskMessage(binary.RELEASE_HEARD, m.call))
        elif m.kind == binary.GROUP and m.size >= 0:
            self.core.group_state(link.desk, m.free, m.size)
        elif m.kind == binary.TEST:
            link.send(DeskMessage(binary.TESTED, m.call, cause=1))
