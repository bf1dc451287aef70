"""When a duty is run: once a period, also over a change of its holder.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

EARLY = 10  # a tenth of the period: jitter, and what a hint's age may be wrong by


@dataclass(slots=True)
class Timing:
    """The runs of one duty by this holder under one epoch."""

    duty: str
    period_ns: int
    epoch: int = 0
    run: int = 0
    due: int = 0

    def held(self, now: int, epoch: int) -> None:
        """Held under this epoch from now on: a new holder's first run is a whole period away.

        The holder before may have run up to the end of its lease, and the news of it may have been lost with
        whatever ended it.  Two runs close together are what the duty must not do to its exchange; one that
        comes a little late is not.
        """
        if epoch != self.epoch:
            self.epoch, self.run, self.due = epoch, 0, now + self.period_ns

    def lost(self) -> None:
        self.epoch = 0

    def take(self, now: int) -> int:
        """The number of the run that begins now; 0: none is due."""
        if not self.epoch or now < self.due:
            return 0
        self.run += 1
        # Counted from when it was due; after a stop what was missed is left out.
        self.due = max(self.due + self.period_ns, now + self.period_ns - self.period_ns // EARLY)
        return self.run
