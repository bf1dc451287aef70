"""Passive health checking of an exchange, based on the results of call attempts.

The list of exchanges may lag, and a failed machine sends no update.  Consecutive attempts that find no
connection, with no attempt between them that gets any answer, eject an exchange from its pools for a limited
time.  After that it is on trial: the first attempt without a connection ejects it again for longer, an
answer restores it.  Refusals do not count as failures: they indicate load, which the decision module handles.
"""

from __future__ import annotations

from dataclasses import dataclass

EJECTION_THRESHOLD = 3  # consecutive attempts without a connection before an exchange is ejected
BASE_EJECTION_NS = 2_000_000_000  # doubled with each failed trial
MAX_EJECTION_NS = 30_000_000_000


@dataclass(slots=True)
class ExchangeHealth:
    """Consecutive connect failures of one exchange, and its ejection or trial."""

    consecutive_failures: int = 0
    ejected_until: int = 0  # 0: in use
    ejection_ns: int = BASE_EJECTION_NS
    on_trial: bool = False  # the ejection time is over, and the next attempt decides

    def usable(self) -> bool:
        return self.ejected_until == 0 or self.on_trial

    def record_connect_failure(self, now: int) -> bool:
        """Record an attempt that found no connection; return whether it ejects the exchange."""
        self.consecutive_failures += 1
        if self.on_trial:
            self.ejection_ns = min(2 * self.ejection_ns, MAX_EJECTION_NS)
        elif self.consecutive_failures < EJECTION_THRESHOLD or self.ejected_until:
            return False
        self.on_trial = False
        self.ejected_until = now + self.ejection_ns
        return True

    def record_answer(self) -> bool:
        """Record an answer, refusal or later disconnection: each proves that the exchange is reachable.

        Return whether this ends an ejection or a trial.
        """
        restored = self.ejected_until != 0
        self.consecutive_failures, self.ejected_until, self.on_trial, self.ejection_ns = (
            0,
            0,
            False,
            BASE_EJECTION_NS,
        )
        return restored

    def start_trial_if_due(self, now: int) -> bool:
        """Start the trial once the ejection time is over; return whether it has just started."""
        if self.ejected_until == 0 or self.on_trial or now < self.ejected_until:
            return False
        self.on_trial = True
        return True
