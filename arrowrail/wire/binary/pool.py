"""The connections to one desk exchange, what waits for them, and whether the server behind them is there."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

from arrowrail.core.requests import CAUSE_CONNECTION_FAILED, MS, Q850_NORMAL_CLEARING
from arrowrail.failure_detection.endpoint import EndpointMonitor
from arrowrail.state.endpoints import IN_SERVICE, TERMINATING, Endpoint
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary.connection import (
    ClosingConnection,
    ReachabilityCheck,
    Release,
    ServerConnection,
)
from arrowrail.wire.binary.messages import BinaryMessage

if TYPE_CHECKING:
    from arrowrail.wire.binary.backend import BinaryBackend

# After our start, calls of the process before may stand at any server, which tells of their ends here.
CALLS_BEFORE_NS = 60_000 * MS
MOST_PENDING = 200  # releases that wait for a connection, and set-ups given up lately, of one server


class ConnectionPool:
    """The connections to one desk exchange.

    A connection that breaks, or brings something spoilt, takes all unanswered set-ups on it along: over a
    few connections they are fewer, and what is owed to the exchange goes out on another one at once.
    """

    def __init__(self, backend: BinaryBackend, endpoint: Endpoint, size: int) -> None:
        self.backend, self.endpoint = backend, endpoint
        self.monitor = EndpointMonitor(backend.loop.now)
        self.checks: list[ReachabilityCheck] = []  # oldest first
        self.unknown_calls = False  # calls may stand there that were set up before our start
        self.pending_releases: list[Release] = []  # releases that found no connection
        # Where set-ups were that no longer wait, the latest of them.
        self.given_up: dict[str, ServerConnection] = {}
        self.connections = [ServerConnection(self) for _ in range(size)]

    def open(self) -> None:
        for connection in self.connections:
            connection.open()

    def least_loaded(self, call: str = "") -> ServerConnection:
        """The one with the fewest set-ups to lose, of those that are up.

        Guards a call that goes the same way again: on another connection than before, a late answer to the
        first set-up can't be taken for one to the second.
        """
        before = self.given_up.get(call)
        return min(
            self.connections,
            key=lambda connection: (
                not connection.up,
                connection.stream is None,
                connection is before,
                len(connection.waiting),
            ),
        )

    def holding(self, call: str) -> ServerConnection | None:
        return next((connection for connection in self.connections if call in connection.waiting), None)

    def interrupted(self, call: str, data: bytes, never_up: bool, unsent: bool) -> None:
        """The connection that a set-up was on has broken, before its answer, or never came up."""
        other = self.least_loaded()
        if unsent and other.up and self.endpoint.entry.state == IN_SERVICE:
            other.send_set_up(call, data)  # nobody has seen it: it goes on elsewhere as the same attempt
            return
        if not unsent:
            # Guards against a set-up that ran all the same, its answer spoilt, holding circuits for nobody.
            self.release(call, Q850_NORMAL_CLEARING)
        outcome = "no_connection" if unsent else "connection_lost"
        # That a connection broke says nothing of the processor behind it; that none comes up does.
        self.backend.core.attempt_failed(
            self.endpoint, call, outcome, 0 if never_up else CAUSE_CONNECTION_FAILED
        )

    @property
    def in_use(self) -> bool:
        """Whether connections are wanted: a server that drains keeps its own while anything is left on it."""
        state = self.endpoint.entry.state
        if state == TERMINATING:
            if self.backend.loop.now < self.backend.started_ns + CALLS_BEFORE_NS:
                return True
            left = (
                self.unknown_calls
                or self.pending_releases
                or any(connection.waiting for connection in self.connections)
            )
            return bool(left or self.backend.core.established_calls[self.endpoint.endpoint_id])
        return state == IN_SERVICE

    def _close_drained(self) -> None:
        """Close connections on which nothing is left; what still comes on them is read until the peer
        closes."""
        for connection in self.connections:
            connection.retry.cancel()
            if connection.stream is not None and connection.stream.connecting:
                connection.stream.fail(None)
            elif connection.stream is not None and connection.stream.flushed:
                ClosingConnection(self).take_over(connection)

    def connection_failed(self, why: OSError | None) -> None:
        """A connection broke or never came up; refused while no other is up, its process has died."""
        if why is None or why.errno != errno.ECONNREFUSED:
            return
        if any(connection.up for connection in self.connections):
            self.monitor.connection_limit_reached(self.backend.loop.now)
        else:
            self.monitor.connection_refused(self.backend.loop.now)
            self.check_server()

    def check_failed(self, why: OSError | None) -> None:
        if why is not None and why.errno == errno.ETIMEDOUT:
            self.monitor.check_failed(self.backend.loop.now)
        else:
            self.connection_failed(why)

    def check_server(self) -> None:
        """Give up calls whose server is gone; where calls stand in silence, try whether it is still there."""
        now, core = self.backend.loop.now, self.backend.core
        loss = self.monitor.detect_loss(now)
        if loss is not None:
            core.endpoint_lost(self.endpoint, loss.reason, loss.before_ns)
        elif not self.in_use:
            self._close_drained()
        elif core.established_calls[self.endpoint.endpoint_id]:
            pending = [check.begun_ns for check in self.checks if check.pending]
            if self.monitor.check_due(now, pending):
                core.metrics.count("server.checked")
                self.checks.append(ReachabilityCheck(self))
                self.checks[-1].open()

    def queue_releases(self, releases: list[Release]) -> None:
        """Releases that may not have arrived go out again, on another connection or on the next one."""
        self.pending_releases = [*self.pending_releases, *releases][-MOST_PENDING:]
        connection = self.least_loaded()
        if connection.up:
            self.flush_releases(connection)

    def flush_releases(self, connection: ServerConnection) -> None:
        pending, self.pending_releases = self.pending_releases, []
        for release in pending:
            # Guards a call that has gone the same way again: a late release would end its new set-up.
            if not self.backend.core.has_attempt_at(release.call, self.endpoint):
                connection.send_release(release.call, release.data)

    def release(self, call: str, cause: int) -> None:
        """End a call, or a set-up that may have run, at the server."""
        connection = self.least_loaded()
        data = binary.encode(BinaryMessage(binary.RELEASE, int(call, 16), cause=cause))
        if connection.stream is None:
            self.pending_releases = [*self.pending_releases, Release(call, data)][-MOST_PENDING:]
            connection.open()
        else:
            connection.send_release(call, data)

    def close(self) -> None:
        """Close all connections; what was written last still goes out, and nothing more is asked of them."""
        for connection in self.connections:
            if connection.up and connection.stream is not None and not connection.waiting:
                connection.retry.cancel()
                ClosingConnection(self).take_over(connection)
            else:
                connection.close()
        checks, self.checks = self.checks, []
        for check in checks:
            check.close()
