"""What calls have shown of an exchange, beside what the list says.

The list may lag, and a machine that has vanished says nothing.  Attempts that found no connection, with none
between them that was answered in any way, take an exchange out of its pools for a while; after it, one call
at a time tries again.  What an exchange refuses does not count: that is load, and the decision module's own.
"""

from __future__ import annotations

from dataclasses import dataclass

MISSES = 3  # attempts without a connection, one behind the other, that take it out
FIRST_OUT_NS = 2_000_000_000  # ns; doubled with each trial that fails
LONGEST_OUT_NS = 30_000_000_000


@dataclass(slots=True)
class Health:
    missed: int = 0
    out_until: int = 0  # 0: in use
    out_ns: int = FIRST_OUT_NS
    trial: bool = False  # the time is over, and one call tries

    def usable(self) -> bool:
        return self.out_until == 0 or self.trial

    def miss(self, now: int) -> bool:
        """An attempt found no connection; whether that takes the exchange out."""
        self.missed += 1
        if self.trial:
            self.out_ns = min(2 * self.out_ns, LONGEST_OUT_NS)
        elif self.missed < MISSES or self.out_until:
            return False
        self.trial = False
        self.out_until = now + self.out_ns
        return True

    def heard(self) -> bool:
        """It answered, or refused, or was cut off later: it is there.  Whether that brings it back."""
        back = self.out_until != 0
        self.missed, self.out_until, self.trial, self.out_ns = 0, 0, False, FIRST_OUT_NS
        return back

    def due(self, now: int) -> bool:
        """Whether its time out is over: it may be tried from now on."""
        if self.out_until == 0 or self.trial or now < self.out_until:
            return False
        self.trial = True
        return True
