"""Judges, from contacts alone, whether the server behind an endpoint still holds the calls that stand there.

A server that vanishes says nothing: its connections stay open and silent, and new ones never come up.
Discovery may say so late, or be down itself.  The callers have to hear of the end of their calls within 8 s
all the same (PROTOCOL, "The rules on sockets"), and calls that go on must not be cut.

What counts as proof, strongest first:

- News of a call, or bytes on a connection, from before an interruption: it is the same process, and its calls
  stand.
- A connection that comes up: something is there.  Where the server has always spoken at once on new
connections,
  as to tell its state, one that stays mute proves nothing: a process that hangs takes connections, too.
  After an interruption it may be a new process at the same address, which knows nothing of the calls of
  before.
- A connection that never comes up, or stays mute, twice in a row, or one that is refused while none is up: an
  interruption.  Once is not enough, since single connections get lost on the way to servers that are well.

All times are Unix times in ns.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MS = 1_000_000
RELEASE_LIMIT_NS = 8_000 * MS  # PROTOCOL: when no release could be sent, from the end of a call
RELEASE_RESERVE_NS = 800 * MS  # to notice, and to get the release out to the caller
SILENCE_LIMIT_NS = RELEASE_LIMIT_NS - RELEASE_RESERVE_NS
# With calls standing, how long a server may say nothing before a connection is tried.  The shorter, the
# fresher is the last proof when a server vanishes, and the longer an outage that its calls outlive: 6 s at
# this figure.
CHECK_IDLE_NS = 1_000 * MS
CHECK_TIMEOUT_NS = 1_100 * MS  # STANDING: connections to servers may come up late, up to 1 s
SECOND_CHECK_DELAY_NS = 300 * MS  # a first one that has brought nothing by then is joined by another
GREETING_TIMEOUT_NS = 1_000 * MS  # a server that greets does so within this time
MIN_GREETINGS = 3  # in a row, until a server is known to greet
MAX_FAILED_CHECKS = 2  # in a row, until an interruption is believed
REFUSED_TIMEOUT_NS = 2_000 * MS  # a process that only restarts its listener keeps its calls

UNREACHABLE, RESTARTED, REFUSED = "unreachable", "not_the_same_process", "refused"


@dataclass(frozen=True, slots=True)
class CallLoss:
    """Calls at an endpoint are over, since their server is not there any more."""

    reason: str
    before_ns: int  # those set up before that time; 0: all


class EndpointMonitor:
    """Keeps the contacts with one endpoint and says when its calls have to be given up.

    ``resets_on_restart``: the protocol makes a server that has started anew say so of each circuit, as ISUP
    does, so that a connection that comes up ends an interruption by itself.
    """

    __slots__ = (
        "_calls_lost",
        "_failed_checks",
        "_greeting_count",
        "_interrupted_ns",
        "_last_contact_ns",
        "_refused_since_ns",
        "_resets_on_restart",
    )  # fmt: skip

    def __init__(self, now: int, resets_on_restart: bool = False) -> None:
        self._last_contact_ns = now
        self._failed_checks = 0
        self._interrupted_ns = 0  # the last contact before the interruption; 0: there is none
        self._refused_since_ns = 0  # since when connections are refused; 0: they are not
        self._calls_lost = False  # its calls were given up, and nothing came from it since
        self._greeting_count = 0  # connections in a row on which the server spoke at once
        self._resets_on_restart = resets_on_restart

    @property
    def interrupted(self) -> bool:
        """Whether calls of before are in doubt."""
        return self._interrupted_ns > 0

    def data_received(self, now: int, opened_ns: int) -> None:
        """Bytes came on a connection that was opened at that time."""
        self._contact(now)
        if opened_ns <= self._interrupted_ns:
            self._interrupted_ns = 0

    def call_confirmed(self, now: int, set_up_ns: int) -> None:
        """The server answered or released a call that was set up at that time."""
        self._contact(now)
        if set_up_ns <= self._interrupted_ns:
            self._interrupted_ns = 0

    def greeting_received(self, now: int, opened_ns: int) -> None:
        """The first bytes came on a connection that was opened at that time."""
        if now - opened_ns <= GREETING_TIMEOUT_NS:
            self._greeting_count += 1

    def greeting_missing(self, now: int) -> None:
        """A connection came up, and nothing was said on it for ``GREETING_NS``."""
        if self._greeting_count >= MIN_GREETINGS:
            self.check_failed(now)
        else:
            self._greeting_count = 0

    def connected(self, now: int) -> None:
        """A connection came up."""
        if self._greeting_count < MIN_GREETINGS:
            self._contact(now)
        if self._resets_on_restart:
            self._contact(now)
            self._interrupted_ns = 0

    def check_failed(self, now: int) -> None:
        """A connection did not come up in time."""
        self._failed_checks += 1
        if self._failed_checks >= MAX_FAILED_CHECKS:
            self._interrupt()

    def connection_limit_reached(self, now: int) -> None:
        """A connection was refused while others are up: the server holds as many as it accepts."""
        self._contact(now)

    def connection_refused(self, now: int) -> None:
        """A connection was refused while no other was up: nobody listens there."""
        self._refused_since_ns = self._refused_since_ns or now
        self._interrupt()

    def check_due(self, now: int, pending: Sequence[int] = ()) -> bool:
        """Whether a connection should be tried, where calls stand.

        ``pending``: when the checks were begun that have brought nothing yet, oldest first.
        """
        if now - self._last_contact_ns < CHECK_IDLE_NS or len(pending) >= MAX_FAILED_CHECKS:
            return False
        return not pending or now - pending[0] >= SECOND_CHECK_DELAY_NS

    def detect_loss(self, now: int) -> CallLoss | None:
        """The calls to give up now, told once for each interruption."""
        if self._calls_lost:
            return None
        if self._refused_since_ns and now - self._refused_since_ns > REFUSED_TIMEOUT_NS:
            self._calls_lost, self._interrupted_ns = True, 0
            return CallLoss(REFUSED, 0)
        if not self._interrupted_ns or now - self._interrupted_ns < SILENCE_LIMIT_NS:
            return None
        # What stood before the interruption; a later answer is of the process that is there now.
        loss = CallLoss(UNREACHABLE if self._silent else RESTARTED, self._interrupted_ns + 1)
        self._calls_lost, self._interrupted_ns = self._silent, 0
        return loss

    @property
    def _silent(self) -> bool:
        """Whether nothing has come since the interruption."""
        return self._last_contact_ns <= self._interrupted_ns

    def _contact(self, now: int) -> None:
        self._last_contact_ns = now
        self._failed_checks = 0
        self._refused_since_ns = 0
        self._calls_lost = False

    def _interrupt(self) -> None:
        if self._calls_lost:
            return
        if not self._interrupted_ns:
            self._interrupted_ns = self._last_contact_ns
