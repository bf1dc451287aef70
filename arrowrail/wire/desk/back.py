"""The back toward the desk exchanges that speak the binary protocol: a pool of connections to each."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS, SetUpParams
from arrowrail.loop import Loop
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, TERMINATING, Endpoint
from arrowrail.state.timers import Timer
from arrowrail.wire.desk import binary
from arrowrail.wire.desk.binary import DeskMessage
from arrowrail.wire.desk.connection import ServerConnection
from arrowrail.wire.desk.outcomes import read_release
from arrowrail.wire.desk.pool import MOST_PENDING, ConnectionPool
from arrowrail.wire.unfinished import Tally

PROBE_CALLS = 0xF0BE << 48  # the ids of tests lie above it
SWEEP_NS = 150 * MS  # between two looks for servers that have fallen silent


class DeskBack:
    def __init__(self, loop: Loop, core: Core, connect_timeout_ns: int, per_desk: int = 1) -> None:
        self.loop, self.core, self.connect_timeout_ns = loop, core, connect_timeout_ns
        self.per_desk = per_desk
        self.pools: dict[int, ConnectionPool] = {}
        self.unreadable_seen = Tally(loop)
        self.probes: dict[int, tuple[Callable[[bool], None], Timer]] = {}  # tests that are out
        self._tests = 0
        self.started_ns = loop.now
        core.backends["binary"] = self
        self.loop.timers.schedule(self.loop.now + SWEEP_NS, self._sweep)

    def _sweep(self) -> None:
        for pool in list(self.pools.values()):
            pool.check_server()
        self.loop.timers.schedule(self.loop.now + SWEEP_NS, self._sweep)

    def report_unreadable(self, desk: Endpoint, why: str) -> None:
        self.unreadable_seen.count(f"spoilt message from {desk.entry.uid}: {why}")

    # --- From the core ----------------------------------------------------------------------------------

    def endpoint_changed(self, desk: Endpoint) -> None:
        """Connect ahead of the first set-up: the connection also tells the state of the group."""
        state, known = desk.entry.state, self.pools.get(desk.endpoint_id)
        if state == IN_SERVICE:
            self._pool(desk).open()
        elif known is not None:
            self._withdraw(known)
            if state == TERMINATED:
                known.close()
                del self.pools[desk.endpoint_id]
        elif state == TERMINATING:
            # First heard of while it drains, as after a restart: calls of before may stand there, and their
            # ends are told on a connection.
            pool = self._pool(desk)
            pool.unknown_calls = True
            pool.open()

    def _pool(self, desk: Endpoint) -> ConnectionPool:
        pool = self.pools.get(desk.endpoint_id)
        if pool is None:
            pool = self.pools[desk.endpoint_id] = ConnectionPool(self, desk, self.per_desk)
        return pool

    def _withdraw(self, pool: ConnectionPool) -> None:
        """Guards the drain rule: what is still queued would only be written once the peer reads again."""
        for connection in pool.connections:
            for call in list(connection.waiting):
                if (
                    connection.stream is None
                    or connection.stream.withdraw(call)
                    or connection.stream.connecting
                ):
                    del connection.waiting[call]
                    self.core.attempt_failed(connection.desk, call, "not_sent")

    def set_up(self, desk: Endpoint, offer: SetUpParams, wait_ns: int) -> None:
        if desk.entry.state == TERMINATED:  # its connections are closed for good
            self.core.attempt_failed(desk, offer.call_id, "not_sent")
            return
        message = DeskMessage(
            binary.SET_UP, int(offer.call_id, 16), class_name=offer.class_name, number=offer.called_number,
            wait_ms=max(1, wait_ns // MS), description=offer.session_description,
        )  # fmt: skip
        self._pool(desk).least_loaded(offer.call_id).send_set_up(offer.call_id, binary.encode(message))

    def cancel_set_up(self, desk: Endpoint, call: str) -> None:
        pool = self.pools.get(desk.endpoint_id)
        connection = pool.holding(call) if pool is not None else None
        if connection is None:
            return
        del connection.waiting[call]
        connection.pool.given_up[call] = connection
        if len(connection.pool.given_up) > MOST_PENDING:
            del connection.pool.given_up[next(iter(connection.pool.given_up))]
        if connection.stream is not None and not connection.stream.withdraw(call):
            # On the set-up's own connection: on another one it could overtake it.
            connection.send_release(call, binary.encode(DeskMessage(binary.RELEASE, int(call, 16), cause=16)))

    def release(self, desk: Endpoint, call: str, cause: int) -> None:
        pool = self.pools.get(desk.endpoint_id)
        if pool is not None:
            pool.release(call, cause)

    def probe(self, desk: Endpoint, fence: str, wait_ns: int, done: Callable[[bool], None]) -> bool:
        """A test of the exchange, fenced by an epoch; ``done`` hears once whether it passed.

        False: no connection is up, so that nothing left.
        """
        pool = self.pools.get(desk.endpoint_id)
        connection = pool.least_loaded() if pool is not None else None
        if connection is None or not connection.up or connection.stream is None:
            return False
        self._tests += 1
        call = PROBE_CALLS | self._tests
        late = self.loop.timers.schedule(self.loop.now + wait_ns, lambda: self._untested(call))
        self.probes[call] = (done, late)
        connection.stream.send(binary.encode(DeskMessage(binary.TEST, call, number=fence)))
        return True

    def _untested(self, call: int) -> None:
        probed = self.probes.pop(call, None)
        if probed is not None:
            probed[0](False)

    # --- From the desk exchanges ------------------------------------------------------------------------

    def message(self, connection: ServerConnection, message: DeskMessage) -> None:
        """What a desk exchange says on a connection."""
        call = f"{message.call:016x}"
        if message.kind in (binary.ANSWER, binary.RELEASE):
            holder = connection.pool.holding(call)
            if holder not in (None, connection):
                # What concerns a set-up comes on its own connection: this is late, of an earlier attempt.
                logger.debug("late message of kind {} for call {}", message.kind, call)
                return
            connection.waiting.pop(call, None)
            set_up_ns = self.core.attempt_sent_ns(call)
            if set_up_ns:
                connection.pool.monitor.call_confirmed(self.loop.now, set_up_ns)
        if message.kind == binary.ANSWER:
            self.core.endpoint_answered(connection.desk, call, message.description)
        elif message.kind == binary.RELEASE:
            self.core.endpoint_released(connection.desk, call, read_release(message), message.cause)
            if connection.stream is not None:
                connection.stream.send(binary.encode(DeskMessage(binary.RELEASE_HEARD, message.call)))
        elif message.kind == binary.RELEASE_HEARD:
            connection.unheard.pop(call, None)
        elif message.kind == binary.GROUP and message.size >= 0:
            self.core.trunk_group_changed(connection.desk, message.free, message.size)
        elif message.kind == binary.TESTED:
            probed = self.probes.pop(message.call, None)
            if probed is not None:
                probed[1].cancel()
                probed[0](message.cause == 1)
        elif message.kind == binary.TEST and connection.stream is not None:
            connection.stream.send(binary.encode(DeskMessage(binary.TESTED, message.call, cause=1)))
        elif message.kind == binary.SET_UP:
            raise binary.BinaryError("a set-up from a desk exchange")
