"""The connections to one endpoint, the releases queued for it, and the check that its server is reachable."""

from __future__ import annotations

import errno
from collections.abc import Callable

from arrowrail.core.requests import CAUSE_CONNECTION_FAILED, MS, Q850_NORMAL_CLEARING
from arrowrail.failure_detection.endpoint import EndpointMonitor
from arrowrail.failure_detection.identity import Opening
from arrowrail.state.endpoints import IN_SERVICE, TERMINATING, Endpoint
from arrowrail.state.established_calls import EstablishedCalls
from arrowrail.telemetry.events import event
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary.connection import (
    ClosingConnection,
    ReachabilityCheck,
    Release,
    ServerConnection,
)
from arrowrail.wire.binary.messages import BinaryMessage
from arrowrail.wire.binary.services import BackendServices

# After a start of the controller, any server may hold calls of the previous process and reports their
# releases on connections of this one.
RESTART_GRACE_NS = 60_000 * MS
MAX_PENDING = 200  # per endpoint: releases waiting for a connection, recently cancelled set-ups


MessageCallback = Callable[["ConnectionPool", ServerConnection, BinaryMessage], None]


class ConnectionPool:
    """The connections to one endpoint.

    When a connection breaks or delivers an unreadable message, all unanswered set-ups on it fail.  Spreading
    set-ups over a few connections reduces their number, and pending releases can be sent on another
    connection at once.
    """

    def __init__(
        self, services: BackendServices, endpoint: Endpoint, size: int, on_message: MessageCallback
    ) -> None:
        self.services, self.endpoint = services, endpoint
        self._on_message = on_message
        self.monitor = EndpointMonitor(services.loop.now)
        self.checks: list[ReachabilityCheck] = []  # oldest first
        self.may_hold_unknown_calls = False  # calls set up before the start of this process
        self.pending_releases: list[Release] = []  # releases waiting for a connection
        # The connections of the attempts that ended last without an answer, by call id.
        self._ended_attempts: dict[str, tuple[ServerConnection, ...]] = {}
        self.connections = [ServerConnection(self) for _ in range(size)]

    def message_received(self, connection: ServerConnection, message: BinaryMessage) -> None:
        self._on_message(self, connection, message)

    def open(self) -> None:
        for connection in self.connections:
            connection.open()

    def least_loaded(self, call_id: str = "") -> ServerConnection:
        """The connection with the fewest pending set-ups, preferably one that is up.

        A call that is tried again at this endpoint prefers a connection without an attempt of it: there a
        late or second answer or refusal of an earlier one can't be mistaken for one of this attempt.
        """
        previous = self._ended_attempts.get(call_id, ())
        return min(
            self.connections,
            key=lambda connection: (
                not connection.up,
                connection.stream is None,
                previous.count(connection),
                len(connection.pending_set_ups),
            ),
        )

    def attempt_ended(self, call_id: str, connection: ServerConnection) -> None:
        """An attempt on this connection was cancelled or refused; more about it may still arrive there."""
        connections = self._ended_attempts.pop(call_id, ())
        self._ended_attempts[call_id] = (*connections, connection)
        if len(self._ended_attempts) > MAX_PENDING:
            del self._ended_attempts[next(iter(self._ended_attempts))]

    def find_connection(self, call_id: str) -> ServerConnection | None:
        return next(
            (connection for connection in self.connections if call_id in connection.pending_set_ups), None
        )

    def set_up_interrupted(self, call_id: str, data: bytes, never_connected: bool, unsent: bool) -> None:
        """Resend, release or fail a set-up whose connection broke before the answer or never opened."""
        other = self.least_loaded()
        if unsent and other.up and self.endpoint.entry.state == IN_SERVICE:
            other.send_set_up(call_id, data)  # no byte was written: it continues as the same attempt
            return
        if not unsent:
            # Guards against circuits staying seized: the server may have accepted the set-up and its answer
            # may have been unreadable.
            self.release(call_id, Q850_NORMAL_CLEARING)
        outcome = "no_connection" if unsent else "connection_lost"
        # A broken connection says nothing about the processor behind it; one that was never opened does.
        self.services.core.attempt_failed(
            self.endpoint, call_id, outcome, 0 if never_connected else CAUSE_CONNECTION_FAILED
        )

    @property
    def in_use(self) -> bool:
        """Whether connections are needed; a draining endpoint keeps them while it still has calls."""
        state = self.endpoint.entry.state
        if state == TERMINATING:
            if self.services.loop.now < self.services.started_ns + RESTART_GRACE_NS:
                return True
            pending = (
                self.may_hold_unknown_calls
                or self.pending_releases
                or any(connection.pending_set_ups for connection in self.connections)
            )
            return bool(pending or self.established_calls.count(self.endpoint.endpoint_id))
        return state == IN_SERVICE

    @property
    def established_calls(self) -> EstablishedCalls:
        return self.services.core.established_calls

    @property
    def oldest_call_ns(self) -> int:
        """When the oldest established call of the endpoint was answered; 0: there is none."""
        return self.established_calls.oldest_answered_ns(self.endpoint.endpoint_id)

    def call_released(self, call_id: str) -> None:
        """The server has released a call, which shows that it held it if the call was established."""
        answered_ns = self.established_calls.answered_ns(self.endpoint.endpoint_id, call_id)
        if answered_ns:
            self.monitor.call_released(self.services.loop.now, answered_ns)

    def circuits_reported(self, opening: Opening, in_use: float) -> None:
        """Compare a report of the trunk group with the calls that the server should hold."""
        monitor, endpoint = self.monitor, self.endpoint
        held = self.established_calls.circuits(
            endpoint.endpoint_id, monitor.identity.contradicted_ns, opening.opened_ns
        )
        if monitor.circuits_reported(self.services.loop.now, opening, in_use, held):
            self.services.core.metrics.count("server.contradicted")
            event("server.contradicted", "{server} reports {in_use} circuits in use on a new connection, "
                  "its established calls occupy {held}", level="DEBUG", server=endpoint.entry.uid,
                  in_use=in_use, held=held)  # fmt: skip

    def _close_drained(self) -> None:
        """Half-close connections that are no longer needed; they are read until the peer closes them."""
        for connection in self.connections:
            connection.reconnect_timer.cancel()
            if connection.stream is not None and connection.stream.connecting:
                connection.stream.fail(None)
            elif connection.stream is not None and connection.stream.flushed:
                ClosingConnection(self).take_over(connection)

    def connection_failed(self, error: OSError | None) -> None:
        """Report refused connections to the monitor; a refusal while no other is up means a dead process."""
        if error is None or error.errno != errno.ECONNREFUSED:
            return
        if any(connection.up for connection in self.connections):
            self.monitor.connection_limit_reached(self.services.loop.now)
        else:
            self.monitor.connection_refused(self.services.loop.now)
            self.check_server()

    def check_failed(self, error: OSError | None) -> None:
        if error is not None and error.errno == errno.ETIMEDOUT:
            self.monitor.check_failed(self.services.loop.now)
        else:
            self.connection_failed(error)

    def check_ended(self, check: ReachabilityCheck) -> None:
        """A check's connection has ended; it may have been closed with the pool."""
        if check in self.checks:
            self.checks.remove(check)

    def check_server(self) -> None:
        """End the calls of a lost server, and start a reachability check of a silent one with calls."""
        now, core = self.services.loop.now, self.services.core
        loss = self.monitor.detect_loss(now)
        if loss is not None:
            core.endpoint_lost(self.endpoint, loss.reason, loss.before_ns)
        elif not self.in_use:
            self._close_drained()
        elif self.established_calls.count(self.endpoint.endpoint_id):
            pending = [check.started_ns for check in self.checks if check.pending]
            if self.monitor.check_due(now, pending):
                core.metrics.count("server.checked")
                self.checks.append(ReachabilityCheck(self))
                self.checks[-1].open()

    def queue_releases(self, releases: list[Release]) -> None:
        """Send releases again that may not have arrived, on another connection or the next one to open."""
        self.pending_releases = [*self.pending_releases, *releases][-MAX_PENDING:]
        connection = self.least_loaded()
        if connection.up:
            self.flush_releases(connection)

    def flush_releases(self, connection: ServerConnection) -> None:
        pending, self.pending_releases = self.pending_releases, []
        for release in pending:
            # Guards a call that is being set up here again: a late release would end the new set-up.
            if not self.services.core.has_attempt_at(release.call_id, self.endpoint):
                connection.send_release(release.call_id, release.data)

    def release(self, call_id: str, cause: int) -> None:
        """Release a call, or a set-up that the server may have accepted."""
        connection = self.least_loaded()
        data = binary.encode(BinaryMessage(binary.RELEASE, int(call_id, 16), cause=cause))
        if connection.stream is None:
            self.pending_releases = [*self.pending_releases, Release(call_id, data)][-MAX_PENDING:]
            connection.open()
        else:
            connection.send_release(call_id, data)

    def close(self) -> None:
        """Close all connections; messages already queued on those without pending set-ups still go out."""
        for connection in self.connections:
            if connection.up and connection.stream is not None and not connection.pending_set_ups:
                connection.reconnect_timer.cancel()
                ClosingConnection(self).take_over(connection)
            else:
                connection.close()
        checks, self.checks = self.checks, []
        for check in checks:
            check.close()
