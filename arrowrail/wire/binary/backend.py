"""The back toward the desk exchanges that speak the binary protocol: a pool of connections to each."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS, SetUpParams
from arrowrail.loop import Loop
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, TERMINATING, Endpoint
from arrowrail.state.timers import Timer
from arrowrail.wire.bad_input import RateLimitedWarning
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary.connection import ServerConnection
from arrowrail.wire.binary.messages import BinaryMessage
from arrowrail.wire.binary.outcomes import read_release
from arrowrail.wire.binary.pool import MOST_PENDING, ConnectionPool

PROBE_CALLS = 0xF0BE << 48  # the ids of tests lie above it
SWEEP_NS = 150 * MS  # between two looks for servers that have fallen silent


class BinaryBackend:
    def __init__(
        self, loop: Loop, core: Core, connect_timeout_ns: int, connections_per_exchange: int = 1
    ) -> None:
        self.loop, self.core, self.connect_timeout_ns = loop, core, connect_timeout_ns
        self.connections_per_exchange = connections_per_exchange
        self.pools: dict[int, ConnectionPool] = {}
        self.unreadable_seen = RateLimitedWarning(loop)
        self.probes: dict[int, tuple[Callable[[bool], None], Timer]] = {}  # tests that are out
        self._tests = 0
        self.started_ns = loop.now
        core.backends["binary"] = self
        self.loop.timers.schedule(self.loop.now + SWEEP_NS, self._sweep)

    def _sweep(self) -> None:
        for pool in list(self.pools.values()):
            pool.check_server()
        self.loop.timers.schedule(self.loop.now + SWEEP_NS, self._sweep)

    def report_unreadable(self, endpoint: Endpoint, why: str) -> None:
        self.unreadable_seen.record(f"spoilt message from {endpoint.entry.uid}: {why}")

    # --- From the core ----------------------------------------------------------------------------------

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        """Connect ahead of the first set-up: the connection also tells the state of the group."""
        state, known = endpoint.entry.state, self.pools.get(endpoint.endpoint_id)
        if state == IN_SERVICE:
            self._pool(endpoint).open()
        elif known is not None:
            self._withdraw(known)
            if state == TERMINATED:
                known.close()
                del self.pools[endpoint.endpoint_id]
        elif state == TERMINATING:
            # First heard of while it drains, as after a restart: calls of before may stand there, and their
            # ends are told on a connection.
            pool = self._pool(endpoint)
            pool.unknown_calls = True
            pool.open()

    def _pool(self, endpoint: Endpoint) -> ConnectionPool:
        pool = self.pools.get(endpoint.endpoint_id)
        if pool is None:
            pool = self.pools[endpoint.endpoint_id] = ConnectionPool(
                self, endpoint, self.connections_per_exchange
            )
        return pool

    def _withdraw(self, pool: ConnectionPool) -> None:
        """Guards the drain rule: what is still queued would only be written once the peer reads again."""
        for connection in pool.connections:
            for call in list(connection.waiting):
                if (
                    connection.stream is None
                    or connection.stream.discard_unsent(call)
                    or connection.stream.connecting
                ):
                    del connection.waiting[call]
                    self.core.attempt_failed(connection.endpoint, call, "not_sent")

    def set_up(self, endpoint: Endpoint, offer: SetUpParams, wait_ns: int) -> None:
        if endpoint.entry.state == TERMINATED:  # its connections are closed for good
            self.core.attempt_failed(endpoint, offer.call_id, "not_sent")
            return
        message = BinaryMessage(
            binary.SET_UP, int(offer.call_id, 16), class_name=offer.class_name, number=offer.called_number,
            timeout_ms=max(1, wait_ns // MS), session_description=offer.session_description,
        )  # fmt: skip
        self._pool(endpoint).least_loaded(offer.call_id).send_set_up(offer.call_id, binary.encode(message))

    def cancel_set_up(self, endpoint: Endpoint, call: str) -> None:
        pool = self.pools.get(endpoint.endpoint_id)
        connection = pool.holding(call) if pool is not None else None
        if connection is None:
            return
        del connection.waiting[call]
        connection.pool.given_up[call] = connection
        if len(connection.pool.given_up) > MOST_PENDING:
            del connection.pool.given_up[next(iter(connection.pool.given_up))]
        if connection.stream is not None and not connection.stream.discard_unsent(call):
            # On the set-up's own connection: on another one it could overtake it.
            connection.send_release(
                call, binary.encode(BinaryMessage(binary.RELEASE, int(call, 16), cause=16))
            )

    def release(self, endpoint: Endpoint, call: str, cause: int) -> None:
        pool = self.pools.get(endpoint.endpoint_id)
        if pool is not None:
            pool.release(call, cause)

    def probe(self, endpoint: Endpoint, fence: str, wait_ns: int, done: Callable[[bool], None]) -> bool:
        """A test of the exchange, fenced by an epoch; ``done`` hears once whether it passed.

        False: no connection is up, so that nothing left.
        """
        pool = self.pools.get(endpoint.endpoint_id)
        connection = pool.least_loaded() if pool is not None else None
        if connection is None or not connection.up or connection.stream is None:
            return False
        self._tests += 1
        call = PROBE_CALLS | self._tests
        late = self.loop.timers.schedule(self.loop.now + wait_ns, lambda: self._untested(call))
        self.probes[call] = (done, late)
        connection.stream.send(binary.encode(BinaryMessage(binary.PROBE, call, number=fence)))
        return True

    def _untested(self, call: int) -> None:
        probed = self.probes.pop(call, None)
        if probed is not None:
            probed[0](False)

    # --- From the desk exchanges ------------------------------------------------------------------------

    def message(self, connection: ServerConnection, message: BinaryMessage) -> None:
        """What a desk exchange says on a connection."""
        call = f"{message.call_id:016x}"
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
            self.core.endpoint_answered(connection.endpoint, call, message.session_description)
        elif message.kind == binary.RELEASE:
            self.core.endpoint_released(connection.endpoint, call, read_release(message), message.cause)
            if connection.stream is not None:
                connection.stream.send(binary.encode(BinaryMessage(binary.RELEASE_ACK, message.call_id)))
        elif message.kind == binary.RELEASE_ACK:
            connection.unheard.pop(call, None)
        elif message.kind == binary.GROUP_STATE and message.size >= 0:
            self.core.trunk_group_changed(connection.endpoint, message.free, message.size)
        elif message.kind == binary.PROBE_RESULT:
            probed = self.probes.pop(message.call_id, None)
            if probed is not None:
                probed[1].cancel()
                probed[0](message.cause == 1)
        elif message.kind == binary.PROBE and connection.stream is not None:
            connection.stream.send(
                binary.encode(BinaryMessage(binary.PROBE_RESULT, message.call_id, cause=1))
            )
        elif message.kind == binary.SET_UP:
            raise binary.BinaryError("a set-up from a desk exchange")
