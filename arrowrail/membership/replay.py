"""Replay protection: accepts each message once, and only from the current run of its sender."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW_SIZE = 256  # latest sequence numbers of a sender that may arrive out of order
MAX_SENDERS = 1024
FRESH, OLD, DUPLICATE, FULL = "fresh", "old", "again", "full"


@dataclass(slots=True)
class SenderWindow:
    """The sequence numbers seen from one run of a sender."""

    boot: int  # start time of the sender's run by its own wall clock; a later run has a greater one
    highest: int = 0  # highest sequence number seen
    seen_bits: int = 0  # bit n: highest - n was seen


class ReplayFilter:
    """A sliding window over each sender's sequence numbers; a restarted sender gets a new window."""

    def __init__(self) -> None:
        self._senders: dict[str, SenderWindow] = {}

    def check(self, sender_name: str, boot: int, sequence: int) -> str:
        """Return FRESH if the message is to be accepted; otherwise the reason to drop it."""
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
