"""The backend for exchanges that speak the binary protocol; it keeps a connection pool per endpoint."""

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
from arrowrail.wire.binary.outcomes import release_outcome
from arrowrail.wire.binary.pool import ConnectionPool
from arrowrail.wire.binary.services import BackendServices

PROBE_ID_BASE = 0xF0BE << 48  # call ids of probes start here
CHECK_INTERVAL_NS = 150 * MS  # between two checks for servers that no longer respond


class BinaryBackend:
    """Sets up, cancels and releases calls at endpoints over the binary protocol."""

    def __init__(
        self, loop: Loop, core: Core, connect_timeout_ns: int, connections_per_exchange: int = 1
    ) -> None:
        self.loop, self.core = loop, core
        self.connections_per_exchange = connections_per_exchange
        self.pools: dict[int, ConnectionPool] = {}
        self.unreadable_warning = RateLimitedWarning(loop)
        self.pending_probes: dict[int, tuple[Callable[[bool], None], Timer]] = {}
        self._probe_count = 0
        self.services = BackendServices(loop, core, connect_timeout_ns, loop.now, self._report_unreadable)
        core.backends["binary"] = self
        self.loop.timers.schedule(self.loop.now + CHECK_INTERVAL_NS, self._check_servers)

    def _check_servers(self) -> None:
        for pool in list(self.pools.values()):
            pool.check_server()
        self.loop.timers.schedule(self.loop.now + CHECK_INTERVAL_NS, self._check_servers)

    def _report_unreadable(self, endpoint: Endpoint, reason: str) -> None:
        self.unreadable_warning.record(f"unreadable message from {endpoint.entry.uid}: {reason}")

    # --- From the core ----------------------------------------------------------------------------------

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        """Open, drain or close the connections to an endpoint according to its state.

        Connections open before the first set-up, because the server reports its trunk group state on them.
        """
        state, existing_pool = endpoint.entry.state, self.pools.get(endpoint.endpoint_id)
        if state == IN_SERVICE:
            self._pool(endpoint).open()
        elif existing_pool is not None:
            self._discard_queued_set_ups(existing_pool)
            if state == TERMINATED:
                existing_pool.close()
                del self.pools[endpoint.endpoint_id]
        elif state == TERMINATING:
            # The endpoint is first seen while it drains, as after a restart of the controller: it may still
            # hold calls of the previous process, and it reports their releases on a connection.
            pool = self._pool(endpoint)
            pool.may_hold_unknown_calls = True
            pool.open()

    def _pool(self, endpoint: Endpoint) -> ConnectionPool:
        pool = self.pools.get(endpoint.endpoint_id)
        if pool is None:
            pool = self.pools[endpoint.endpoint_id] = ConnectionPool(
                self.services, endpoint, self.connections_per_exchange, self._handle_message
            )
        return pool

    def _discard_queued_set_ups(self, pool: ConnectionPool) -> None:
        """Fail set-ups that are still queued: a draining endpoint must not receive them later.

        Without this they would be written as soon as the peer reads again.
        """
        for connection in pool.connections:
            for call_id in list(connection.pending_set_ups):
                if (
                    connection.stream is None
                    or connection.stream.discard_unsent(call_id)
                    or connection.stream.connecting
                ):
                    del connection.pending_set_ups[call_id]
                    self.core.attempt_failed(connection.endpoint, call_id, "not_sent")

    def set_up(self, endpoint: Endpoint, params: SetUpParams, timeout_ns: int) -> None:
        if endpoint.entry.state == TERMINATED:  # its connections are closed and not opened again
            self.core.attempt_failed(endpoint, params.call_id, "not_sent")
            return
        message = BinaryMessage(
            binary.SET_UP, int(params.call_id, 16), class_name=params.class_name, number=params.called_number,
            timeout_ms=max(1, timeout_ns // MS), session_description=params.session_description,
        )  # fmt: skip
        self._pool(endpoint).least_loaded(params.call_id).send_set_up(params.call_id, binary.encode(message))

    def cancel_set_up(self, endpoint: Endpoint, call_id: str) -> bool:
        """Discard the set-up if it is still queued, otherwise send a release for it.

        Return whether it was discarded.
        """
        pool = self.pools.get(endpoint.endpoint_id)
        connection = pool.find_connection(call_id) if pool is not None else None
        if pool is None or connection is None:
            return False
        del connection.pending_set_ups[call_id]
        pool.attempt_ended(call_id, connection)
        if connection.stream is None or connection.stream.discard_unsent(call_id):
            return True
        # Sent on the connection of the set-up: on another one the release could overtake it.
        connection.send_release(
            call_id, binary.encode(BinaryMessage(binary.RELEASE, int(call_id, 16), cause=16))
        )
        return False

    def release(self, endpoint: Endpoint, call_id: str, cause: int) -> None:
        pool = self.pools.get(endpoint.endpoint_id)
        if pool is not None:
            pool.release(call_id, cause)

    def address_taken(self, endpoint: Endpoint, started_ns: int) -> None:
        pool = self.pools.get(endpoint.endpoint_id)
        if pool is not None:
            pool.monitor.identity.address_taken(self.loop.now, started_ns)
            pool.check_server()

    def probe(
        self, endpoint: Endpoint, fencing_token: str, timeout_ns: int, on_result: Callable[[bool], None]
    ) -> bool:
        """Send a probe with a fencing token; ``on_result`` is called once, with whether it succeeded.

        Return false if no connection is up, so that nothing was sent.
        """
        pool = self.pools.get(endpoint.endpoint_id)
        connection = pool.least_loaded() if pool is not None else None
        if connection is None or not connection.up or connection.stream is None:
            return False
        self._probe_count += 1
        probe_id = PROBE_ID_BASE | self._probe_count
        timer = self.loop.timers.schedule(self.loop.now + timeout_ns, lambda: self._probe_timed_out(probe_id))
        self.pending_probes[probe_id] = (on_result, timer)
        connection.stream.send(binary.encode(BinaryMessage(binary.PROBE, probe_id, number=fencing_token)))
        return True

    def _probe_timed_out(self, probe_id: int) -> None:
        pending = self.pending_probes.pop(probe_id, None)
        if pending is not None:
            pending[0](False)

    # --- From the servers -------------------------------------------------------------------------------

    def _handle_message(
        self, pool: ConnectionPool, connection: ServerConnection, message: BinaryMessage
    ) -> None:
        call_id = f"{message.call_id:016x}"
        if message.message_type in (binary.ANSWER, binary.RELEASE):
            owner = pool.find_connection(call_id)
            if owner not in (None, connection):
                # Replies to a set-up come on its own connection: this one belongs to an earlier attempt.
                logger.debug(
                    "ignoring message of type {} for call {}: its set-up is pending on another connection",
                    message.message_type,
                    call_id,
                )
                return
            was_pending = connection.pending_set_ups.pop(call_id, None) is not None
            if was_pending and message.message_type == binary.RELEASE:
                pool.attempt_ended(call_id, connection)
        if message.message_type == binary.ANSWER:
            self.core.endpoint_answered(connection.endpoint, call_id, message.session_description)
        elif message.message_type == binary.RELEASE:
            pool.call_released(call_id)
            self.core.endpoint_released(connection.endpoint, call_id, release_outcome(message), message.cause)
            if connection.stream is not None:
                connection.stream.send(binary.encode(BinaryMessage(binary.RELEASE_ACK, message.call_id)))
        elif message.message_type == binary.RELEASE_ACK:
            connection.unacknowledged_releases.pop(call_id, None)
        elif message.message_type == binary.GROUP_STATE and message.size >= 0:
            pool.circuits_reported(connection.opening, message.size - message.free)
            self.core.trunk_group_changed(connection.endpoint, message.free, message.size)
        elif message.message_type == binary.PROBE_RESULT:
            pending = self.pending_probes.pop(message.call_id, None)
            if pending is not None:
                pending[1].cancel()
                pending[0](message.cause == 1)
        elif message.message_type == binary.PROBE and connection.stream is not None:
            connection.stream.send(
                binary.encode(BinaryMessage(binary.PROBE_RESULT, message.call_id, cause=1))
            )
        elif message.message_type == binary.SET_UP:
            raise binary.BinaryError("a server must not send set-ups")
