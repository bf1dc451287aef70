"""Counters of one process: requests, attempts, refusals, releases and lost connections, with reasons.

They are plain integers in one table.  Names and labels come from the code, never from a peer, so that the
table stays small however long the process runs.
"""

from __future__ import annotations

from collections import Counter

from arrowrail.telemetry.events import event


class Metrics:
    """Counters by name and label; ``report`` logs what has changed since the last report."""

    __slots__ = ("_reported", "_values")

    def __init__(self) -> None:
        self._values: Counter[str] = Counter()
        self._reported: dict[str, int] = {}

    def count(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter; ``label`` is the reason, as in ``request.refused{no_answer}``."""
        self._values[f"{name}{{{label}}}" if label else name] += amount

    def value(self, name: str, label: str = "") -> int:
        """The current value of a counter; 0 if nothing was counted yet."""
        return self._values[f"{name}{{{label}}}" if label else name]

    def snapshot(self) -> dict[str, int]:
        """All counters, by name."""
        return dict(sorted(self._values.items()))

    def report(self) -> None:
        """Log all counters in one line, if any has changed since the last report."""
        values = self.snapshot()
        if values != self._reported:
            self._reported = values
            event("metrics", "counters: {counters}", counters=values)
