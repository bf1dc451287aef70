"""The established calls of each endpoint: when they were answered, and the circuits that they occupy."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EstablishedCall:
    """One established call."""

    answered_ns: int  # Unix time in ns
    circuits: int


class EstablishedCalls:
    """Established calls by endpoint id and call id, in the order in which they were answered."""

    def __init__(self) -> None:
        self._calls: defaultdict[int, dict[str, EstablishedCall]] = defaultdict(dict)

    def add(self, endpoint_id: int, call_id: str, answered_ns: int, circuits: int) -> None:
        self._calls[endpoint_id][call_id] = EstablishedCall(answered_ns, circuits)

    def remove(self, endpoint_id: int, call_id: str) -> None:
        del self._calls[endpoint_id][call_id]
        if not self._calls[endpoint_id]:
            del self._calls[endpoint_id]

    def count(self, endpoint_id: int) -> int:
        return len(self._calls[endpoint_id]) if endpoint_id in self._calls else 0

    def oldest_answered_ns(self, endpoint_id: int) -> int:
        """When the oldest call of an endpoint was answered; 0: it has none."""
        if endpoint_id not in self._calls:
            return 0
        return next(iter(self._calls[endpoint_id].values())).answered_ns

    def answered_ns(self, endpoint_id: int, call_id: str) -> int:
        """When a call was answered by that endpoint; 0: it is not established there."""
        call = self._calls[endpoint_id].get(call_id) if endpoint_id in self._calls else None
        return call.answered_ns if call is not None else 0

    def circuits(self, endpoint_id: int, from_ns: int, before_ns: int) -> int:
        """Return the circuits of the calls at an endpoint that were answered within a span of time."""
        if not 0 < self.oldest_answered_ns(endpoint_id) < before_ns:
            return 0
        calls = self._calls[endpoint_id].values()
        return sum(call.circuits for call in calls if from_ns <= call.answered_ns < before_ns)
