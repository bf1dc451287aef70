"""Decides whether the process at an endpoint's address still is the one that holds its established calls.

A connection that is accepted, and a greeting on it, show that some process listens at the address.  A process
that has died may have been replaced by then, with no refused connection in between, and its connections may
have stayed open and silent.  So the following counts, and nothing else:

- Contradiction: a report of the trunk group with far fewer circuits in use than the calls occupy that were
  answered before its connection was opened.  A process that has just started holds none of them.  Releases on
  their way explain some missing circuits, but not most of them.  Where others use the group, too, a successor
  soon has as many in use: so the first report on a new connection also contradicts if it has far fewer than
  the report that came just before the server fell silent.
- Refutation: later data on a connection that is older than the contradicting one, or the release of an older
  call.  An address has one process at a time, so that both connections lead to the same one.
- Replacement: the exchange list has another server at the address, with a later start.
- Confirmation: data on a connection opened before the last confirmation or before all established calls were
  answered, or the release of a call answered before the last confirmation.  It tells whether a server was
  heard after the start of the one that replaces it.

All times are Unix times in ns.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.failure_detection.call_loss import ADDRESS_TAKEN, MS, RESTARTED, SILENCE_LIMIT_NS, CallLoss

# From the contradiction to the loss: time for a release, or for data on an older connection, to arrive.
CONTRADICTION_TIMEOUT_NS = 2_000 * MS
# A report contradicts if less than this share of the circuits of the calls is in use.
MIN_SHARE_IN_USE = 0.5
# Or less than this share of the circuits of the last report before, if that had at least so many in use.
MIN_SHARE_OF_LAST_REPORT = 0.25
MIN_CIRCUITS_OF_LAST_REPORT = 8
# That report is about the time of the opening: it was received at most so long before the last contact, and
# the connection was opened at most so long after it.  In that time calls in progress end one by one.
MAX_REPORT_AGE_NS = 1_000 * MS
MAX_REPORT_GAP_NS = 3_000 * MS
MAX_CONTRADICTIONS = 8  # each one stands for another replacement that is not decided yet


@dataclass(frozen=True, slots=True)
class Opening:
    """The opening of a connection to the endpoint."""

    opened_ns: int
    heard_before_ns: int  # last contact with the endpoint before that


@dataclass(frozen=True, slots=True)
class GroupReport:
    """A report of the trunk group."""

    received_ns: int
    in_use: float  # circuits

    def contradicted_by(self, opening: Opening, in_use: float) -> bool:
        """Whether the process that sent it can't be the one that reports ``in_use`` on a new connection."""
        is_current = (
            self.received_ns < opening.opened_ns <= self.received_ns + MAX_REPORT_GAP_NS
            and opening.heard_before_ns <= self.received_ns + MAX_REPORT_AGE_NS
        )
        return (
            is_current
            and self.in_use >= MIN_CIRCUITS_OF_LAST_REPORT
            and in_use < MIN_SHARE_OF_LAST_REPORT * self.in_use
        )


@dataclass(frozen=True, slots=True)
class Contradiction:
    """A report by which a connection leads to another process than the one that answered earlier calls."""

    opening: Opening
    reported_ns: int

    @property
    def due_ns(self) -> int:
        """When the earlier calls are lost, unless the contradiction is refuted before."""
        return max(
            self.opening.heard_before_ns + SILENCE_LIMIT_NS, self.reported_ns + CONTRADICTION_TIMEOUT_NS
        )


class ProcessIdentity:
    """Tracks the evidence on one endpoint's process."""

    __slots__ = ("_confirmed_ns", "_contradictions", "_known_start_ns", "_last_report", "_replaced_ns")

    def __init__(self, now: int) -> None:
        self._confirmed_ns = now  # the process that holds the calls was heard last
        self._contradictions: list[Contradiction] = []  # in the order of their connections' openings
        self._last_report: GroupReport | None = None
        self._replaced_ns = 0  # start of the server that has taken the address; 0: none
        self._known_start_ns = now  # starts of other servers up to this time need no reaction any more

    @property
    def replaced(self) -> bool:
        """Whether another server has the address, so that new connections lead to that one."""
        return self._replaced_ns > 0

    @property
    def contradicted_ns(self) -> int:
        """Calls answered before that time are contradicted already; 0: there are none."""
        return self._contradictions[-1].opening.opened_ns if self._contradictions else 0

    def data_received(self, now: int, opened_ns: int, oldest_call_ns: int) -> bool:
        """Data arrived on a connection opened at ``opened_ns``; return whether this endpoint sent it.

        ``oldest_call_ns``: when the oldest established call was answered; 0: there is none.
        """
        if self.replaced and opened_ns >= self._replaced_ns:
            return False
        self._refute(opened_ns)
        older_than_calls = not 0 < oldest_call_ns < opened_ns
        if older_than_calls or opened_ns < self._confirmed_ns:
            self._confirmed_ns = max(self._confirmed_ns, now)
        return True

    def call_released(self, now: int, answered_ns: int) -> None:
        """The server released a call that it had answered at ``answered_ns``."""
        self._refute(answered_ns)
        if answered_ns <= self._confirmed_ns:
            self._confirmed_ns = max(self._confirmed_ns, now)

    def circuits_reported(self, now: int, opening: Opening, in_use: float, held: float) -> bool:
        """A report of the trunk group arrived on a connection; return whether it contradicts.

        ``held``: circuits of the established calls that were answered from ``contradicted_ns`` on and before
        the opening of the connection.
        """
        last_report, self._last_report = self._last_report, GroupReport(now, in_use)
        dropped = held > 0 and last_report is not None and last_report.contradicted_by(opening, in_use)
        if in_use >= MIN_SHARE_IN_USE * held and not dropped:
            return False
        if len(self._contradictions) < MAX_CONTRADICTIONS:
            self._contradictions.append(Contradiction(opening, now))
        return True

    def address_taken(self, now: int, started_ns: int) -> None:
        """The exchange list has another server at this address, which started at ``started_ns``."""
        started_ns = min(started_ns, now)
        if started_ns > self._known_start_ns:
            self._known_start_ns = self._replaced_ns = started_ns

    def detect_loss(self, now: int) -> CallLoss | None:
        """Return the calls that were lost with the process that held them, once per replacement."""
        if self.replaced:
            return self._loss_by_list(now)
        if self._contradictions and self._contradictions[0].due_ns <= now:
            return CallLoss(RESTARTED, self._contradictions.pop(0).opening.opened_ns)
        return None

    def _loss_by_list(self, now: int) -> CallLoss | None:
        # Heard after the other server's start: the address was taken later, at an unknown time.
        outlived_start = self._confirmed_ns > self._replaced_ns
        if outlived_start and now - self._confirmed_ns < SILENCE_LIMIT_NS:
            return None
        before_ns = max(self._confirmed_ns + 1, self._replaced_ns)
        self._replaced_ns, self._confirmed_ns = 0, now
        self._contradictions.clear()
        return CallLoss(ADDRESS_TAKEN, before_ns)

    def _refute(self, older_than_ns: int) -> None:
        """Drop the contradictions of connections opened after a time whose process has been heard again."""
        while self._contradictions and self._contradictions[-1].opening.opened_ns > older_than_ns:
            self._contradictions.pop()
