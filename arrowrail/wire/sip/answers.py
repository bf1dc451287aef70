"""Answers that no ACK has confirmed yet, kept within a bound so that they can be sent again."""

from __future__ import annotations

MAX_BYTES = 2 * 1024 * 1024  # of all session descriptions together


class UnacknowledgedAnswers:
    """Session descriptions by call id; the oldest are dropped beyond ``MAX_BYTES``."""

    def __init__(self) -> None:
        self._descriptions: dict[str, bytes] = {}  # oldest first
        self._total_bytes = 0

    def add(self, call_id: str, description: bytes) -> None:
        self._descriptions[call_id] = description
        self._total_bytes += len(description)
        while self._total_bytes > MAX_BYTES:
            self.remove(next(iter(self._descriptions)))

    def get(self, call_id: str) -> bytes | None:
        return self._descriptions.get(call_id)

    def remove(self, call_id: str) -> None:
        """Forget an answer: it was acknowledged, or its call is over."""
        self._total_bytes -= len(self._descriptions.pop(call_id, b""))
