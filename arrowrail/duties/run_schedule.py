"""When a duty runs: once per period, also across a change of its holder.  No I/O."""

from __future__ import annotations

from dataclasses import dataclass

# A run may be early by one tenth of the period, for jitter and the error of a result's age.
EARLY_DIVISOR = 10


@dataclass(slots=True)
class RunSchedule:
    """The runs of one duty by this instance under one epoch."""

    duty: str
    period_ns: int
    epoch: int = 0
    run_number: int = 0
    due_at: int = 0

    def set_epoch(self, now: int, epoch: int) -> None:
        """Start under a new epoch; the first run of a new holder is one whole period away.

        The previous holder may have run the duty until its lease expired, and its last result may be lost.
        Two runs in quick succession would load the exchange twice; one that is a little late does no harm.
        """
        if epoch != self.epoch:
            self.epoch, self.run_number, self.due_at = epoch, 0, now + self.period_ns

    def clear_epoch(self) -> None:
        """Stop the schedule, as the lease is no longer held: nothing is due."""
        self.epoch = 0

    def start_next_run(self, now: int) -> int:
        """Return the number of the run that begins now; 0 if none is due."""
        if not self.epoch or now < self.due_at:
            return 0
        self.run_number += 1
        # Counted from when the run was due; runs missed during a pause are skipped.
        self.due_at = max(
            self.due_at + self.period_ns, now + self.period_ns - self.period_ns // EARLY_DIVISOR
        )
        return self.run_number
