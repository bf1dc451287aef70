"""Probe results that members share, and how they affect routing.  No I/O.

Results of other members may take an exchange out of use only while they are recent and if several consecutive
probes failed.  They never send calls to an exchange that the list or the instance's own calls exclude, and
have no effect beyond their maximum age.  The decision module chooses among the remaining exchanges.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

FAILURE_THRESHOLD = 2  # consecutive failed probes
MAX_DUTIES = 20_000  # exchanges whose results are kept
UNKNOWN, ANSWERS, SILENT = "unknown", "answers", "silent"


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """The result of one run of a probing duty, as sent by the duty's holder."""

    duty: str
    holder: str
    epoch: int
    run_number: int  # counts the holder's runs under the epoch
    passed: bool
    latency_ns: int
    age_ns: int  # age of the run when this was sent


@dataclass(slots=True)
class LatestResult:
    """The latest result of one duty, and the number of consecutive failures."""

    epoch: int
    run_number: int
    passed: bool
    latency_ns: int
    probed_at: int
    consecutive_failures: int


class ProbeResults:
    """The latest result of each duty; one of an older epoch or run never replaces a newer one."""

    def __init__(self, max_age_ns: int) -> None:
        self.max_age_ns = max_age_ns
        self._latest: dict[str, LatestResult] = {}
        self.stale_count = 0  # results that arrived after a newer one

    def record(self, now: int, result: ProbeResult) -> bool:
        """Record a result; return false if it is outdated or there is no room for it."""
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
        """Return UNKNOWN, ANSWERS or SILENT."""
        latest = self._latest.get(duty)
        if latest is None or now - latest.probed_at > self.max_age_ns:
            return UNKNOWN
        if latest.passed:
            return ANSWERS
        return SILENT if latest.consecutive_failures >= FAILURE_THRESHOLD else UNKNOWN

    def verdicts(self, now: int) -> Iterator[tuple[str, str, int, int, int]]:
        """Yield duty, verdict, epoch, run number and age of each latest result, for diagnostics."""
        for duty, latest in sorted(self._latest.items()):
            yield duty, self.verdict(now, duty), latest.epoch, latest.run_number, now - latest.probed_at
