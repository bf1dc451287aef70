"""When a duty is run: once a period, also over a change of its holder.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

EARLY_DIVISOR = 10  # a tenth of the period: jitter, and what a hint's age may be wrong by


@dataclass(slots=True)
class RunSchedule:
    """The runs of one duty by this holder under one epoch."""

    duty: str
    period_ns: int
    epoch: int = 0
    run_number: int = 0
    due_at: int = 0

    def set_epoch(self, now: int, epoch: int) -> None:
        """Held under this epoch from now on: a new holder's first run is a whole period away.

        The holder before may have run up to the end of its lease, and the news of it may have been lost with
        whatever ended it.  Two runs close together are what the duty must not do to its exchange; one that
        comes a little late is not.
        """
        if epoch != self.epoch:
            self.epoch, self.run_number, self.due_at = epoch, 0, now + self.period_ns

    def clear_epoch(self) -> None:
        self.epoch = 0

    def start_next_run(self, now: int) -> int:
        """The number of the run that begins now; 0: none is due."""
        if not self.epoch or now < self.due_at:
            return 0
        self.run_number += 1
        # Counted from when it was due; after a stop what was missed is left out.
        self.due_at = max(
            self.due_at + self.period_ns, now + self.period_ns - self.period_ns // EARLY_DIVISOR
        )
        return self.run_number
