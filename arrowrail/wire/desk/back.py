"""The back toward the desk exchanges that speak the binary protocol: a few connections to each."""

from __future__ import annotations

import errno
from collections.abc import Callable
from functools import partial

from loguru import logger

from arrowrail.core import LINK_BROKE, MS, Q850_NORMAL, Core, Ended, Offer
from arrowrail.failure_detection.endpoint import CHECK_TIMEOUT_NS, EndpointMonitor
from arrowrail.loop import Loop
from arrowrail.state.deadlines import Deadline
from arrowrail.state.directory import IN_SERVICE, TERMINATED, TERMINATING, Desk
from arrowrail.telemetry.events import event, reason_of
from arrowrail.wire.desk import binary
from arrowrail.wire.desk.binary import DeskMessage
from arrowrail.wire.reconnect import Reconnect
from arrowrail.wire.stream import Stream, connect
from arrowrail.wire.unfinished import Tally, Unfinished

OWED = "release"  # names releases among the messages of a connection; no call's id looks like it
OWED_KEPT = 200  # and of the set-ups given up lately
PROBE_CALLS = 0xF0BE << 48  # the ids of tests lie above it
SWEEP_NS = 250 * MS  # between two looks for servers that have fallen silent
CHECK_KEPT_NS = 1_000 * MS  # a server may send releases that it still owes on the next connection that opens
UNFINISHED_NS = 500 * MS  # a message has 16 KiB at most: the rest of one is there within two round trips
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


class Link:
    """One connection to a desk exchange, and the set-ups on it that are unanswered."""

    __slots__ = (
        "desk",
        "greeted",
        "group",
        "opened_ns",
        "parser",
        "retry",
        "stream",
        "unfinished",
        "waiting",
    )

    def __init__(self, group: Links) -> None:
        self.opened_ns = 0  # when the present connection came up
        self.greeted = False  # whether anything came on it
        self.group, self.desk = group, group.desk
        self.stream: Stream | None = None
        self.parser = binary.BinaryParser()
        self.waiting: dict[str, bytes] = {}  # unanswered set-ups by call, queued or sent
        self.retry = Reconnect(group.back.loop, self.open)
        self.unfinished = Unfinished(group.back.loop, UNFINISHED_NS, self._stalled)

    @property
    def up(self) -> bool:
        return self.stream is not None and not self.stream.connecting

    def open(self) -> None:
        if self.stream is not None or not self.group.in_use:
            return
        self.retry.cancel()
        self.parser = binary.BinaryParser()
        try:
            self.stream = connect(self.group.back.loop, self, self.desk.told.endpoint)
        except (OSError, ValueError) as why:  # no descriptor left, or no address
            logger.warning("no connection to {}: {}", self.desk.told.uid, why)
            error = why if isinstance(why, OSError) else OSError(errno.EINVAL, str(why))
            self.group.back.loop.deadlines.at(self.group.back.loop.now, partial(self.lost, error))
            return
        self.retry.within(self.group.back.connect_timeout_ns, self.stream)

    def connected(self) -> None:
        self.opened_ns, self.greeted = self.group.back.loop.now, False
        self.group.monitor.connected(self.opened_ns)
        self.retry.succeeded()
        self.group.pay(self)

    def received(self, data: bytes) -> None:
        now, monitor = self.group.back.loop.now, self.group.monitor
        monitor.heard(now, self.opened_ns)
        if not self.greeted:
            self.greeted = True
            monitor.greeted(now, self.opened_ns)
        try:
            found = self.parser.feed(data)
            for message in found:
                self.group.back.message(self, message)
            self.unfinished.heard(self.parser.pending, bool(found))
        except binary.BinaryError as wrong:
            self._spoilt(str(wrong))

    def _stalled(self) -> None:
        # Guards against a message that claims to be longer than it is: all that follows, answers and releases
        # of other calls too, would be swallowed as its rest for as long as the connection stays open.
        self._spoilt(f"stopped in the middle of a message: {self.parser.head}")

    def _spoilt(self, why: str) -> None:
        self.group.back.spoilt(self.desk, why)
        if self.stream is not None:
            self.stream.fail(OSError(errno.EPROTO, why))

    def lost(self, why: OSError | None) -> None:
        stream, self.stream = self.stream, None
        self.unfinished.cancel()
        waiting, self.waiting = self.waiting, {}
        self._log_loss(stream is not None and not stream.connecting, why, len(waiting))
        if stream is not None:
            # Guards against a call that its caller ended standing on beyond a broken connection.
            self.group.owe(*stream.left(OWED))
        if self.desk.told.state != TERMINATED:
            self.retry.failed()
            self.group.connection_failed(why)
        never_up = stream is None or stream.connecting
        for call, data in waiting.items():
            never_left = stream is None or never_up or stream.unsent(call)
            self.group.interrupted(call, data, never_up, never_left)

    def _log_loss(self, was_up: bool, why: OSError | None, waiting: int) -> None:
        name = "server.connection_lost" if was_up else "server.connect_failed"
        self.group.back.core.metrics.count(name, reason_of(why))
        event(name, "{server}: {reason}, {waiting} unanswered set-ups on the connection", level="DEBUG",
              server=self.desk.told.uid, reason=reason_of(why), waiting=waiting)  # fmt: skip

    def set_up(self, call: str, data: bytes) -> None:
        self.waiting[call] = data
        self.open()
        if self.stream is not None:
            self.stream.send(data, call)

    def close(self) -> None:
        self.retry.cancel()
        self.unfinished.cancel()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()


class ReadOnlyLink(Link):
    """Takes over a connection that is no longer used: it is half-closed, and read until the server closes
    it."""

    __slots__ = ()

    def take_over(self, link: Link) -> None:
        stream, link.stream = link.stream, None
        if stream is None:
            return
        self.stream, self.parser = stream, link.parser
        self.opened_ns, self.greeted = link.opened_ns, link.greeted
        stream.owner = self
        link.unfinished.cancel()
        stream.finish_reading()

    def lost(self, why: OSError | None) -> None:
        self.stream = None
        self.unfinished.cancel()


class ReachabilityCheck(Link):
    """One more connection, tried while calls stand and the server says nothing: does it still come up?

    It carries no set-ups.  Once it is up it is read for a while, since a server may send on it what it still
    has to tell, and then closed in good order.
    """

    __slots__ = ()

    def open(self) -> None:
        super().open()
        if self.stream is not None:
            self.retry.cancel()
            self.retry.within(CHECK_TIMEOUT_NS, self.stream)

    def connected(self) -> None:
        super().connected()
        loop = self.group.back.loop
        loop.deadlines.at(loop.now + CHECK_KEPT_NS, self._done)

    def _done(self) -> None:
        self.unfinished.cancel()
        if not self.greeted:
            self.group.monitor.mute(self.group.back.loop.now)
        if self.stream is not None:
            self.stream.finish_reading()

    def lost(self, why: OSError | None) -> None:
        was_up, self.stream = self.up, None
        self.unfinished.cancel()
        self.retry.cancel()
        self._log_loss(was_up, why, 0)
        self.group.check = None
        if not was_up:
            self.group.check_failed(why)


class Links:
    """The connections to one desk exchange.

    A connection that breaks, or brings something spoilt, takes all unanswered set-ups on it along: over a
    few connections they are fewer, and what is owed to the exchange goes out on another one at once.
    """

    def __init__(self, back: DeskBack, desk: Desk, size: int) -> None:
        self.back, self.desk = back, desk
        self.monitor = EndpointMonitor(back.loop.now)
        self.check: ReachabilityCheck | None = None
        self.owed: list[bytes] = []  # releases that found no connection
        self.given_up: dict[str, Link] = {}  # where set-ups were that no longer wait, the latest of them
        self.links = [Link(self) for _ in range(size)]

    def open(self) -> None:
        for link in self.links:
            link.open()

    def pick(self, call: str = "") -> Link:
        """The one with the fewest set-ups to lose, of those that are up.

        Guards a call that goes the same way again: on another connection than before, a late answer to the
        first set-up can't be taken for one to the second.
        """
        before = self.given_up.get(call)
        return min(
            self.links,
            key=lambda link: (not link.up, link.stream is None, link is before, len(link.waiting)),
        )

    def holding(self, call: str) -> Link | None:
        return next((link for link in self.links if call in link.waiting), None)

    def interrupted(self, call: str, data: bytes, never_up: bool, never_left: bool) -> None:
        """The connection that a set-up was on has broken, before its answer, or never came up."""
        other = self.pick()
        if never_left and other.up and self.desk.told.state == IN_SERVICE:
            other.set_up(call, data)  # nobody has seen it: it goes on elsewhere as the same attempt
            return
        if not never_left:
            # Guards against a set-up that ran all the same, its answer spoilt, holding circuits for nobody.
            self.send(DeskMessage(binary.RELEASE, int(call, 16), cause=Q850_NORMAL), OWED)
        outcome = "no_connection" if never_left else "connection_lost"
        # That a connection broke says nothing of the processor behind it; that none comes up does.
        self.back.core.attempt_failed(self.desk, call, outcome, 0 if never_up else LINK_BROKE)

    @property
    def in_use(self) -> bool:
        """Whether connections are wanted: a server that drains keeps its own while anything is left on it."""
        state = self.desk.told.state
        if state == TERMINATING:
            left = self.owed or any(link.waiting for link in self.links)
            return bool(left or self.back.core.standing[self.desk.office])
        return state == IN_SERVICE

    def _close_drained(self) -> None:
        """Close connections on which nothing is left; what still comes on them is read until the peer
        closes."""
        for link in self.links:
            link.retry.cancel()
            if link.stream is not None and link.stream.connecting:
                link.stream.fail(None)
            elif link.stream is not None and link.stream.flushed:
                ReadOnlyLink(self).take_over(link)

    def connection_failed(self, why: OSError | None) -> None:
        """A connection broke or never came up; refused while no other is up, its process has died."""
        if why is None or why.errno != errno.ECONNREFUSED:
            return
        if any(link.up for link in self.links):
            self.monitor.full(self.back.loop.now)
        else:
            self.monitor.refused(self.back.loop.now)
            self.look()

    def check_failed(self, why: OSError | None) -> None:
        if why is not None and why.errno == errno.ETIMEDOUT:
            self.monitor.check_failed(self.back.loop.now)
        else:
            self.connection_failed(why)

    def look(self) -> None:
        """Give up calls whose server is gone; where calls stand in silence, try whether it is still there."""
        now, core = self.back.loop.now, self.back.core
        loss = self.monitor.loss(now)
        if loss is not None:
            core.server_lost(self.desk, loss.reason, loss.before_ns)
        elif not self.in_use:
            self._close_drained()
        elif self.check is None and core.standing[self.desk.office] and self.monitor.check_due(now):
            core.metrics.count("server.checked")
            self.check = ReachabilityCheck(self)
            self.check.open()

    def owe(self, *messages: bytes) -> None:
        self.owed = [*self.owed, *messages][-OWED_KEPT:]
        link = self.pick()
        if link.up:
            self.pay(link)

    def pay(self, link: Link) -> None:
        owed, self.owed = self.owed, []
        for data in owed:
            if link.stream is not None:
                link.stream.send(data, OWED)

    def send(self, message: DeskMessage, tag: str | None = None) -> None:
        link, data = self.pick(), binary.encode(message)
        if link.stream is None and tag == OWED:
            self.owed = [*self.owed, data][-OWED_KEPT:]  # paid once a connection is up
            link.open()
            return
        link.open()
        if link.stream is not None:
            link.stream.send(data, tag)

    def close(self) -> None:
        """Close all connections; what was written last still goes out, and nothing more is asked of them."""
        for link in self.links:
            if link.up and link.stream is not None and not link.waiting:
                link.retry.cancel()
                ReadOnlyLink(self).take_over(link)
            else:
                link.close()
        check, self.check = self.check, None
        if check is not None:
            check.close()


class DeskBack:
    def __init__(self, loop: Loop, core: Core, connect_timeout_ns: int, per_desk: int = 1) -> None:
        self.loop, self.core, self.connect_timeout_ns = loop, core, connect_timeout_ns
        self.per_desk = per_desk
        self.desks: dict[int, Links] = {}
        self.spoilt_seen = Tally(loop)
        self.probes: dict[int, tuple[Callable[[bool], None], Deadline]] = {}  # tests that are out
        self._tests = 0
        core.backs["binary"] = self
        self.loop.deadlines.at(self.loop.now + SWEEP_NS, self._sweep)

    def _sweep(self) -> None:
        for links in list(self.desks.values()):
            links.look()
        self.loop.deadlines.at(self.loop.now + SWEEP_NS, self._sweep)

    def spoilt(self, desk: Desk, why: str) -> None:
        self.spoilt_seen.count(f"spoilt message from {desk.told.uid}: {why}")

    # --- From the core ----------------------------------------------------------------------------------

    def changed(self, desk: Desk) -> None:
        """Connect ahead of the first set-up: the connection also tells the state of the group."""
        if desk.told.state == IN_SERVICE:
            self._links(desk).open()
        elif (links := self.desks.get(desk.office)) is not None:
            self._withdraw(links)
            if desk.told.state == TERMINATED:
                links.close()
                del self.desks[desk.office]

    def _links(self, desk: Desk) -> Links:
        links = self.desks.get(desk.office)
        if links is None:
            links = self.desks[desk.office] = Links(self, desk, self.per_desk)
        return links

    def _withdraw(self, links: Links) -> None:
        """Guards the drain rule: what is still queued would only be written once the peer reads again."""
        for link in links.links:
            for call in list(link.waiting):
                if link.stream is None or link.stream.withdraw(call) or link.stream.connecting:
                    del link.waiting[call]
                    self.core.attempt_failed(link.desk, call, "not_sent")

    def set_up(self, desk: Desk, offer: Offer, wait_ns: int) -> None:
        if desk.told.state == TERMINATED:  # its connections are closed for good
            self.core.attempt_failed(desk, offer.call, "not_sent")
            return
        message = DeskMessage(
            binary.SET_UP, int(offer.call, 16), class_name=offer.class_name, number=offer.number,
            wait_ms=max(1, wait_ns // MS), description=offer.description,
        )  # fmt: skip
        self._links(desk).pick(offer.call).set_up(offer.call, binary.encode(message))

    def give_up(self, desk: Desk, call: str) -> None:
        links = self.desks.get(desk.office)
        link = links.holding(call) if links is not None else None
        if link is None:
            return
        del link.waiting[call]
        link.group.given_up[call] = link
        if len(link.group.given_up) > OWED_KEPT:
            del link.group.given_up[next(iter(link.group.given_up))]
        if link.stream is not None and not link.stream.withdraw(call):
            # On the set-up's own connection: on another one it could overtake it.
            link.stream.send(binary.encode(DeskMessage(binary.RELEASE, int(call, 16), cause=16)), OWED)

    def release(self, desk: Desk, call: str, cause: int) -> None:
        links = self.desks.get(desk.office)
        if links is not None:
            links.send(DeskMessage(binary.RELEASE, int(call, 16), cause=cause), OWED)

    def probe(self, desk: Desk, fence: str, wait_ns: int, done: Callable[[bool], None]) -> bool:
        """A test of the exchange, fenced by an epoch; ``done`` hears once whether it passed.

        False: no connection is up, so that nothing left.
        """
        links = self.desks.get(desk.office)
        link = links.pick() if links is not None else None
        if link is None or not link.up or link.stream is None:
            return False
        self._tests += 1
        call = PROBE_CALLS | self._tests
        late = self.loop.deadlines.at(self.loop.now + wait_ns, lambda: self._untested(call))
        self.probes[call] = (done, late)
        link.stream.send(binary.encode(DeskMessage(binary.TEST, call, number=fence)))
        return True

    def _untested(self, call: int) -> None:
        probed = self.probes.pop(call, None)
        if probed is not None:
            probed[0](False)

    # --- From the desk exchanges ------------------------------------------------------------------------

    def message(self, link: Link, m: DeskMessage) -> None:
        call = f"{m.call:016x}"
        if m.kind in (binary.ANSWER, binary.RELEASE):
            holder = link.group.holding(call)
            if holder not in (None, link):
                # What concerns a set-up comes on its own connection: this is late, of an earlier attempt.
                logger.debug("late message of kind {} for call {}", m.kind, call)
                return
            link.waiting.pop(call, None)
            set_up_ns = self.core.set_up_at(call)
            if set_up_ns:
                link.group.monitor.heard_of_call(self.loop.now, set_up_ns)
        if m.kind == binary.ANSWER:
            self.core.desk_answered(link.desk, call, m.description)
        elif m.kind == binary.RELEASE:
            self.core.desk_released(link.desk, call, read_release(m), m.cause)
            if link.stream is not None:
                link.stream.send(binary.encode(DeskMessage(binary.RELEASE_HEARD, m.call)))
        elif m.kind == binary.GROUP and m.size >= 0:
            self.core.group_state(link.desk, m.free, m.size)
        elif m.kind == binary.TESTED:
            probed = self.probes.pop(m.call, None)
            if probed is not None:
                probed[1].cancel()
                probed[0](m.cause == 1)
        elif m.kind == binary.TEST and link.stream is not None:
            link.stream.send(binary.encode(DeskMessage(binary.TESTED, m.call, cause=1)))
        elif m.kind == binary.SET_UP:
            raise binary.BinaryError("a set-up from a desk exchange")
