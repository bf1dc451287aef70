"""What members tell one another of their probes, and what it may do to routing.  No I/O.

A hint is somebody else's news of some age.  It may take an exchange out of use only where it is fresh, and
the exchange has failed several runs in a row; it never brings calls to an exchange that the list or the
instance's own calls keep out, and never outlives its age.  The decision module chooses among what is left.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

FAILURE_THRESHOLD = 2  # runs in a row
MAX_DUTIES = 20_000  # exchanges remembered
UNKNOWN, ANSWERS, SILENT = "unknown", "answers", "silent"


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """A run of a probing duty, as its holder tells it."""

    duty: str
    holder: str
    epoch: int
    run_number: int  # counts the holder's runs under the epoch
    passed: bool
    latency_ns: int
    age_ns: int  # of the run, when this was sent


@dataclass(slots=True)
class LatestResult:
    epoch: int
    run_number: int
    passed: bool
    latency_ns: int
    probed_at: int
    consecutive_failures: int


class ProbeResults:
    """The latest of each duty; an older epoch or run never takes the place of a newer one."""

    def __init__(self, max_age_ns: int) -> None:
        self.max_age_ns = max_age_ns
        self._latest: dict[str, LatestResult] = {}
        self.stale_count = 0  # hints that came behind newer ones

    def record(self, now: int, result: ProbeResult) -> bool:
        """Whether it is news."""
        latest = self._latest.get(result.duty)
        if latest is not None and (result.epoch, result.run_number) <= (latest.epoch, latest.run_number):
            self.stale_count += 1
            return False
        if latest is None and len(self._latest) >= MAX_DUTIES:
            return False
        consecutive_failures = (
            0 if result.passed else (latest.consecutive_failures if latest is not None else 0) + 1
        )
        probed_at = now - result.age_ns
        self._latest[result.duty] = LatestResult(
            result.epoch, result.run_number, result.passed, result.latency_ns, probed_at, consecutive_failures
        )
        return True

    def verdict(self, now: int, duty: str) -> str:
        latest = self._latest.get(duty)
        if latest is None or now - latest.probed_at > self.max_age_ns:
            return UNKNOWN
        if latest.passed:
            return ANSWERS
        return SILENT if latest.consecutive_failures >= FAILURE_THRESHOLD else UNKNOWN

    def verdicts(self, now: int) -> Iterator[tuple[str, str, int, int, int]]:
        """For operators: duty, verdict, epoch, run and age."""
        for duty, latest in sorted(self._latest.items()):
            yield duty, self.verdict(now, duty), latest.epoch, latest.run_number, now - latest.probed_at
