"""Decides from passive observations and connection checks whether an endpoint can still be reached.

A server that vanishes leaves its connections open and silent, and new connections are never accepted.
Discovery may report this late, or be down itself.  Callers still have to be sent the release of their calls
within 8 s (document PROTOCOL, "The rules on sockets"), and calls that go on must not be released.

The evidence, strongest first:

- The release of a call answered before an interruption, or data on a connection opened before it: the same
  process is still running, and its calls go on.
- A report of the trunk group that equals the last one before an interruption, with all circuits of the calls
  in use: a process that goes on and has had no change to report says nothing on its older connections, and a
  new process is unlikely to have the same number of circuits in use.
- A new connection that is accepted: some process is there.  If the server used to send data at once on new
  connections, such as its state, a connection without such a greeting proves nothing: connections to a
  hanging process are accepted, too.  It may be a new process at the same address, which knows nothing of the
  earlier calls: ``identity`` decides that where no interruption was noticed.
- Two connections in a row that time out or bring no greeting, or one that is refused while no other is open:
  an interruption.  One is not enough, since single connections get lost on the way to healthy servers.

All times are Unix times in ns.
"""

from __future__ import annotations

from collections.abc import Sequence

from arrowrail.failure_detection.call_loss import (
    MS,
    REFUSED,
    RESTARTED,
    SILENCE_LIMIT_NS,
    UNREACHABLE,
    CallLoss,
)
from arrowrail.failure_detection.identity import Opening, ProcessIdentity

# With established calls, how long a server may be silent before a connection check.  A shorter time means a
# more recent last contact when the server vanishes, and a longer outage that its calls survive: 6 s with this
# value.
CHECK_IDLE_NS = 1_000 * MS
CHECK_TIMEOUT_NS = 1_100 * MS  # document STANDING: connections to servers may take up to 1 s to open
SECOND_CHECK_DELAY_NS = 300 * MS  # after the first check, if it is still pending
GREETING_TIMEOUT_NS = 1_000 * MS  # from the opening of a connection to its first data
MIN_GREETINGS = 3  # in a row, until a greeting is expected on every connection
MAX_FAILED_CHECKS = 2  # in a row, until an interruption is assumed
REFUSED_TIMEOUT_NS = 2_000 * MS  # a process that merely restarts its listener keeps its calls


class EndpointMonitor:
    """Tracks the contacts with one endpoint and reports when its calls are lost.

    ``resets_on_restart``: the protocol requires a restarted server to reset each circuit, as ISUP does, so
    that a new connection alone ends an interruption.
    """

    __slots__ = (
        "_calls_lost",
        "_circuits_in_use",
        "_failed_checks",
        "_greeting_count",
        "_interrupted_ns",
        "_last_contact_ns",
        "_refused_since_ns",
        "_resets_on_restart",
        "identity",
    )  # fmt: skip

    def __init__(self, now: int, resets_on_restart: bool = False) -> None:
        self.identity = ProcessIdentity(now)
        self._last_contact_ns = now
        self._failed_checks = 0
        self._interrupted_ns = 0  # last contact before the current interruption; 0: no interruption
        self._refused_since_ns = 0  # start of the period in which connections are refused; 0: they are not
        self._calls_lost = False  # the loss was reported, and there was no contact since
        self._circuits_in_use = -1.0  # by the last report before any interruption; below 0: none
        self._greeting_count = 0  # consecutive connections on which the server sent a greeting
        self._resets_on_restart = resets_on_restart

    @property
    def interrupted(self) -> bool:
        """Whether it is unknown if the earlier calls still exist."""
        return self._interrupted_ns > 0

    def data_received(self, now: int, opened_ns: int, oldest_call_ns: int) -> None:
        """Data arrived on a connection that was opened at ``opened_ns``.

        ``oldest_call_ns``: when the oldest established call was answered; 0: there is none.
        """
        if not self.identity.data_received(now, opened_ns, oldest_call_ns):
            return
        self._record_contact(now)
        if opened_ns <= self._interrupted_ns:
            self._interrupted_ns = 0

    def call_released(self, now: int, answered_ns: int) -> None:
        """The server released a call that it had answered at ``answered_ns``."""
        self.identity.call_released(now, answered_ns)
        self._record_contact(now)
        if answered_ns <= self._interrupted_ns:
            self._interrupted_ns = 0

    def circuits_reported(self, now: int, opening: Opening, in_use: float, held: float) -> bool:
        """A report of the trunk group arrived; return whether it contradicts the calls of before.

        The parameters are those of ``ProcessIdentity.circuits_reported``.
        """
        if self.identity.circuits_reported(now, opening, in_use, held):
            return True
        if self._interrupted_ns and in_use == self._circuits_in_use >= held:
            self._interrupted_ns = 0
        if not self._interrupted_ns:
            self._circuits_in_use = in_use
        return False

    def greeting_received(self, now: int, opened_ns: int) -> None:
        """The first data arrived on a connection that was opened at ``opened_ns``."""
        if now - opened_ns <= GREETING_TIMEOUT_NS:
            self._greeting_count += 1

    def greeting_missing(self, now: int) -> None:
        """No data arrived on a connection within the greeting timeout."""
        if self._greeting_count >= MIN_GREETINGS:
            self.check_failed(now)
        else:
            self._greeting_count = 0

    def connected(self, now: int) -> Opening:
        """A connection was opened."""
        opening = Opening(now, self._last_contact_ns)
        if self.identity.replaced:
            return opening
        if self._greeting_count < MIN_GREETINGS:
            self._record_contact(now)
        if self._resets_on_restart:
            self._record_contact(now)
            self._interrupted_ns = 0
        return opening

    def check_failed(self, now: int) -> None:
        """A connection was not opened in time."""
        self._failed_checks += 1
        if self._failed_checks >= MAX_FAILED_CHECKS:
            self._begin_interruption()

    def connection_limit_reached(self, now: int) -> None:
        """A connection was refused while others are open: the server is at its connection limit."""
        self._record_contact(now)

    def connection_refused(self, now: int) -> None:
        """A connection was refused while no other is open: no process listens there."""
        self._refused_since_ns = self._refused_since_ns or now
        self._circuits_in_use = -1.0  # the process has ended with its calls: no later report is about them
        self._begin_interruption()

    def check_due(self, now: int, pending: Sequence[int] = ()) -> bool:
        """Whether a connection check is due, given that there are established calls.

        ``pending``: start times of the checks without a result, oldest first.
        """
        if self.identity.replaced:
            return False  # the check would reach the server that has taken the address
        if now - self._last_contact_ns < CHECK_IDLE_NS or len(pending) >= MAX_FAILED_CHECKS:
            return False
        return not pending or now - pending[0] >= SECOND_CHECK_DELAY_NS

    def detect_loss(self, now: int) -> CallLoss | None:
        """Return the calls that are lost, once per interruption or replacement."""
        loss = self.identity.detect_loss(now)
        if loss is not None:
            return loss
        if self._calls_lost:
            return None
        if self._refused_since_ns and now - self._refused_since_ns > REFUSED_TIMEOUT_NS:
            self._calls_lost, self._interrupted_ns = True, 0
            return CallLoss(REFUSED, 0)
        if not self._interrupted_ns or now - self._interrupted_ns < SILENCE_LIMIT_NS:
            return None
        # Only the calls from before the interruption: later answers come from the process that runs now.
        loss = CallLoss(UNREACHABLE if self._silent else RESTARTED, self._interrupted_ns + 1)
        self._calls_lost, self._interrupted_ns = self._silent, 0
        return loss

    @property
    def _silent(self) -> bool:
        """Whether there was no contact since the interruption began."""
        return self._last_contact_ns <= self._interrupted_ns

    def _record_contact(self, now: int) -> None:
        self._last_contact_ns = now
        self._failed_checks = 0
        self._refused_since_ns = 0
        self._calls_lost = False

    def _begin_interruption(self) -> None:
        if self._calls_lost:
            return
        if not self._interrupted_ns:
            self._interrupted_ns = self._last_contact_ns
