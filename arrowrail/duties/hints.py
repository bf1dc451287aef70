"""What members tell one another of their probes, and what it may do to routing.  No I/O.

A hint is somebody else's news of some age.  It may take an exchange out of use only where it is fresh, and
the exchange has failed several runs in a row; it never brings calls to an exchange that the list or the
instance's own calls keep out, and never outlives its age.  The decision module chooses among what is left.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

FAILURES = 2  # runs in a row
MOST = 20_000  # exchanges remembered
UNKNOWN, ANSWERS, SILENT = "unknown", "answers", "silent"


@dataclass(frozen=True, slots=True)
class Hint:
    """A run of a probing duty, as its holder tells it."""

    duty: str
    holder: str
    epoch: int
    run: int  # counts the holder's runs under the epoch
    passed: bool
    lag_ns: int
    age_ns: int  # of the run, when this was sent


@dataclass(slots=True)
class Known:
    epoch: int
    run: int
    passed: bool
    lag_ns: int
    at: int
    failures: int


class Hints:
    """The latest of each duty; an older epoch or run never takes the place of a newer one."""

    def __init__(self, fresh_ns: int) -> None:
        self.fresh_ns = fresh_ns
        self._known: dict[str, Known] = {}
        self.stale = 0  # hints that came behind newer ones

    def hear(self, now: int, hint: Hint) -> bool:
        """Whether it is news."""
        known = self._known.get(hint.duty)
        if known is not None and (hint.epoch, hint.run) <= (known.epoch, known.run):
            self.stale += 1
            return False
        if known is None and len(self._known) >= MOST:
            return False
        failures = 0 if hint.passed else (known.failures if known is not None else 0) + 1
        at = now - hint.age_ns
        self._known[hint.duty] = Known(hint.epoch, hint.run, hint.passed, hint.lag_ns, at, failures)
        return True

    def verdict(self, now: int, duty: str) -> str:
        known = self._known.get(duty)
        if known is None or now - known.at > self.fresh_ns:
            return UNKNOWN
        if known.passed:
            return ANSWERS
        return SILENT if known.failures >= FAILURES else UNKNOWN

    def states(self, now: int) -> Iterator[tuple[str, str, int, int, int]]:
        """For operators: duty, verdict, epoch, run and age."""
        for duty, k in sorted(self._known.items()):
            yield duty, self.verdict(now, duty), k.epoch, k.run, now - k.at
