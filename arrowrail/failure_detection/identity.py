"""Decides whether the process at an endpoint's address still is the one that holds its established calls.

A connection that is accepted, and a greeting on it, show that some process listens at the address.  A process
that has died may have been replaced by then, with no refused connection in between, and its connections may
have stayed open and silent.  So the following counts, and nothing else:

- Confirmation: data on a connection that was opened before the last confirmation, or the release of a call
  that was established before it.  A listening address has one process at a time, so that a connection opened
  between two confirmations leads to the same process and can confirm it later.
- Contradiction: a report on any other connection, by which the trunk group has far fewer circuits in use than
  these calls occupy.  A process that has just started knows none of them.  Releases on their way explain some
  missing circuits, but not most of them, and they are confirmations themselves once they arrive.
- Replacement: the exchange list has another server at the address, started later than this one was heard.

While no call depends on the answer, whatever process is heard is taken for the one that will hold the calls.
All times are Unix times in ns.
"""

from __future__ import annotations

from arrowrail.failure_detection.call_loss import ADDRESS_TAKEN, MS, RESTARTED, SILENCE_LIMIT_NS, CallLoss

# From the contradiction to the loss: time for a release, or for data on another connection, to arrive.
CONTRADICTION_TIMEOUT_NS = 2_000 * MS
# A report contradicts if less than this share of the circuits of the established calls is in use.
MIN_SHARE_IN_USE = 0.5


class ProcessIdentity:
    """Tracks the evidence on one endpoint's process."""

    __slots__ = ("_confirmed_ns", "_contradicted_ns", "_known_start_ns", "_replaced_ns")

    def __init__(self, now: int) -> None:
        self._confirmed_ns = now  # the process that holds the calls was heard last
        self._contradicted_ns = 0  # first contradicting report since then; 0: none
        self._replaced_ns = 0  # start of the server that has taken the address; 0: none
        self._known_start_ns = now  # starts of other servers up to this time need no reaction any more

    @property
    def confirmed_ns(self) -> int:
        """When the process that holds the calls was heard last; calls answered later may be at another."""
        return self._confirmed_ns

    @property
    def replaced(self) -> bool:
        """Whether another server has the address, so that new connections lead to that one."""
        return self._replaced_ns > 0

    def data_received(self, now: int, opened_ns: int, oldest_call_ns: int) -> bool:
        """Data arrived on a connection opened at ``opened_ns``; return whether this endpoint sent it.

        ``oldest_call_ns``: when the oldest established call was answered; 0: there is none.
        """
        if self.replaced and opened_ns >= self._replaced_ns:
            return False
        no_call_at_stake = not 0 < oldest_call_ns <= self._confirmed_ns
        if no_call_at_stake or opened_ns < self._confirmed_ns:
            self._confirm(now)
        return True

    def call_released(self, now: int, answered_ns: int) -> None:
        """The server released a call that it had answered at ``answered_ns``."""
        if answered_ns <= self._confirmed_ns:
            self._confirm(now)

    def circuits_reported(self, now: int, opened_ns: int, in_use: float, held: float) -> bool:
        """A report of the trunk group; return whether it is the first one that contradicts.

        ``held``: circuits of the established calls that were answered by ``confirmed_ns``.
        """
        unconfirmed = opened_ns >= self._confirmed_ns
        if not unconfirmed or self._contradicted_ns or in_use >= MIN_SHARE_IN_USE * held:
            return False
        self._contradicted_ns = now
        return True

    def address_taken(self, now: int, started_ns: int) -> None:
        """The exchange list has another server at this address, which started at ``started_ns``."""
        started_ns = min(started_ns, now)
        if started_ns > self._known_start_ns:
            self._known_start_ns = self._replaced_ns = started_ns

    def detect_loss(self, now: int) -> CallLoss | None:
        """Return the calls that were lost with the process that held them, once per replacement."""
        loss = self._loss_by_list(now) if self.replaced else self._loss_by_reports(now)
        if loss is not None:
            self._replaced_ns = 0
            self._confirm(now)
        return loss

    def _loss_by_list(self, now: int) -> CallLoss | None:
        if self._confirmed_ns <= self._replaced_ns:
            return CallLoss(ADDRESS_TAKEN, self._replaced_ns)
        # It was heard after the other server's start: the address was taken later, at an unknown time.
        if now - self._confirmed_ns < SILENCE_LIMIT_NS:
            return None
        return CallLoss(ADDRESS_TAKEN, self._confirmed_ns + 1)

    def _loss_by_reports(self, now: int) -> CallLoss | None:
        contradicted = self._contradicted_ns and now - self._contradicted_ns >= CONTRADICTION_TIMEOUT_NS
        if not contradicted or now - self._confirmed_ns < SILENCE_LIMIT_NS:
            return None
        return CallLoss(RESTARTED, self._confirmed_ns + 1)

    def _confirm(self, now: int) -> None:
        self._confirmed_ns = max(self._confirmed_ns, now)
        self._contradicted_ns = 0
