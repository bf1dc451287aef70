"""Which messages of the group are believed: of their sender's present life, and each once."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SIZE = 256  # of a sender's latest messages, that may come in any order
MAX_SENDERS = 1024
FRESH, OLD, DUPLICATE, FULL = "fresh", "old", "again", "full"


@dataclass(slots=True)
class SenderWindow:
    boot: int  # when its present life began, by its own wall clock: a later life has a greater one
    highest: int = 0  # highest number seen
    seen_bits: int = 0  # bit n: top - n was seen


class ReplayFilter:
    """A window over each sender's numbers; a new life starts a new one, an earlier life is old."""

    def __init__(self) -> None:
        self._senders: dict[str, SenderWindow] = {}

    def check(self, sender_name: str, boot: int, sequence: int) -> str:
        window = self._senders.get(sender_name)
        if window is None or boot > window.boot:
            if window is None and len(self._senders) >= MAX_SENDERS:
                return FULL
            self._senders[sender_name] = SenderWindow(boot, sequence, 1)
            return FRESH
        if boot < window.boot or sequence <= window.highest - WINDOW_SIZE:
            return OLD
        if sequence > window.highest:
            shift = sequence - window.highest
            window.seen_bits = (
                (window.seen_bits << shift | 1) & ((1 << WINDOW_SIZE) - 1) if shift < WINDOW_SIZE else 1
            )
            window.highest = sequence
            return FRESH
        bit = 1 << (window.highest - sequence)
        if window.seen_bits & bit:
            return DUPLICATE
        window.seen_bits |= bit
        return FRESH
