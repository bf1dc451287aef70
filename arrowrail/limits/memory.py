"""Memory budget of what callers have sent and still wait for, shared among their connections.

A connection may hold as much as is still free (Choudhury and Hahne, "Dynamic Queue Length Thresholds",
1998): one alone gets half of the budget, several get equal parts, and some always stays free for the next.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Hashable

# The tables, strings and timers of a request, beside the texts of its message.
REQUEST_OVERHEAD_BYTES = 2 * 1024


class MemoryBudget:
    """Bytes held by open requests, by connection."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._held: Counter[Hashable] = Counter()

    def may_hold(self, connection: Hashable, size_bytes: int) -> bool:
        """Whether a further request of this size keeps the connection within its part."""
        size_bytes += REQUEST_OVERHEAD_BYTES
        free_bytes = self.limit_bytes - self.total_bytes
        return self._held[connection] + size_bytes <= free_bytes - size_bytes

    def hold(self, connection: Hashable, size_bytes: int) -> None:
        """Count a request of this size."""
        self._held[connection] += size_bytes + REQUEST_OVERHEAD_BYTES
        self.total_bytes += size_bytes + REQUEST_OVERHEAD_BYTES

    def free(self, connection: Hashable, size_bytes: int) -> None:
        """The request of this size has its final response, or its caller has left."""
        self._held[connection] -= size_bytes + REQUEST_OVERHEAD_BYTES
        self.total_bytes -= size_bytes + REQUEST_OVERHEAD_BYTES
        if self._held[connection] <= 0:
            del self._held[connection]
