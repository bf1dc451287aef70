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
TELL_LIMIT_NS = 8_000 * MS  # PROTOCOL: when no release could be sent, from the end of a call
TELL_RESERVE_NS = 800 * MS  # to notice, and to get the release out to the caller
SILENCE_LIMIT_NS = TELL_LIMIT_NS - TELL_RESERVE_NS
# With calls standing, how long a server may say nothing before a connection is tried.  The shorter, the
# fresher is the last proof when a server vanishes, and the longer an outage that its calls outlive: 6 s at
# this figure.
CHECK_AFTER_NS = 1_000 * MS
CHECK_TIMEOUT_NS = 1_100 * MS  # STANDING: connections to servers may come up late, up to 1 s
SECOND_CHECK_NS = 300 * MS  # a first one that has brought nothing by then is joined by another
GREETING_NS = 1_000 * MS  # a server that greets does so within this time
GREETINGS = 3  # in a row, until a server is known to greet
FAILED_CHECKS = 2  # in a row, until an interruption is believed
REFUSED_LIMIT_NS = 2_000 * MS  # a process that only restarts its listener keeps its calls

UNREACHABLE, RESTARTED, REFUSED = "unreachable", "not_the_same_process", "refused"


@dataclass(frozen=True, slots=True)
class Loss:
    """Calls at an endpoint are over, since their server is not there any more."""

    reason: str
    before_ns: int  # those set up before that time; 0: all


class EndpointMonitor:
    """Keeps the contacts with one endpoint and says when its calls have to be given up.

    ``resets_on_restart``: the protocol makes a server that has started anew say so of each circuit, as ISUP
    does, so that a connection that comes up ends an interruption by itself.
    """

    __slots__ = (
        "_contact_ns", "_failed_checks", "_given_up", "_greetings", "_interrupted_ns", "_refused_ns",
        "_resets",
    )  # fmt: skip

    def __init__(self, now: int, resets_on_restart: bool = False) -> None:
        self._contact_ns = now
        self._failed_checks = 0
        self._interrupted_ns = 0  # the last contact before the interruption; 0: there is none
        self._refused_ns = 0  # since when connections are refused; 0: they are not
        self._given_up = False  # its calls were given up, and nothing came from it since
        self._greetings = 0  # connections in a row on which the server spoke at once
        self._resets = resets_on_restart

    @property
    def interrupted(self) -> bool:
        """Whether calls of before are in doubt."""
        return self._interrupted_ns > 0

    def heard(self, now: int, opened_ns: int) -> None:
        """Bytes came on a connection that was opened at that time."""
        self._contact(now)
        if opened_ns <= self._interrupted_ns:
            self._interrupted_ns = 0

    def heard_of_call(self, now: int, set_up_ns: int) -> None:
        """The server answered or released a call that was set up at that time."""
        self._contact(now)
        if set_up_ns <= self._interrupted_ns:
            self._interrupted_ns = 0

    def greeted(self, now: int, opened_ns: int) -> None:
        """The first bytes came on a connection that was opened at that time."""
        if now - opened_ns <= GREETING_NS:
            self._greetings += 1

    def mute(self, now: int) -> None:
        """A connection came up, and nothing was said on it for ``GREETING_NS``."""
        if self._greetings >= GREETINGS:
            self.check_failed(now)
        else:
            self._greetings = 0

    def connected(self, now: int) -> None:
        """A connection came up."""
        if self._greetings < GREETINGS:
            self._contact(now)
        if self._resets:
            self._contact(now)
            self._interrupted_ns = 0

    def check_failed(self, now: int) -> None:
        """A connection did not come up in time."""
        self._failed_checks += 1
        if self._failed_checks >= FAILED_CHECKS:
            self._interrupt()

    def full(self, now: int) -> None:
        """A connection was refused while others are up: the server holds as many as it accepts."""
        self._contact(now)

    def refused(self, now: int) -> None:
        """A connection was refused while no other was up: nobody listens there."""
        self._refused_ns = self._refused_ns or now
        self._interrupt()

    def check_due(self, now: int, pending: Sequence[int] = ()) -> bool:
        """Whether a connection should be tried, where calls stand.

        ``pending``: when the checks were begun that have brought nothing yet, oldest first.
        """
        if now - self._contact_ns < CHECK_AFTER_NS or len(pending) >= FAILED_CHECKS:
            return False
        return not pending or now - pending[0] >= SECOND_CHECK_NS

    def loss(self, now: int) -> Loss | None:
        """The calls to give up now, told once for each interruption."""
        if self._given_up:
            return None
        if self._refused_ns and now - self._refused_ns > REFUSED_LIMIT_NS:
            self._given_up, self._interrupted_ns = True, 0
            return Loss(REFUSED, 0)
        if not self._interrupted_ns or now - self._interrupted_ns < SILENCE_LIMIT_NS:
            return None
        # What stood before the interruption; a later answer is of the process that is there now.
        loss = Loss(UNREACHABLE if self._silent else RESTARTED, self._interrupted_ns + 1)
        self._given_up, self._interrupted_ns = self._silent, 0
        return loss

    @property
    def _silent(self) -> bool:
        """Whether nothing has come since the interruption."""
        return self._contact_ns <= self._interrupted_ns

    def _contact(self, now: int) -> None:
        self._contact_ns = now
        self._failed_checks = 0
        self._refused_ns = 0
        self._given_up = False

    def _interrupt(self) -> None:
        if self._given_up:
            return
        if not self._interrupted_ns:
            self._interrupted_ns = self._contact_ns
