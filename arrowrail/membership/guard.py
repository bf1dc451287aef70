"""Which messages of the group are believed: of their sender's present life, and each once."""

from __future__ import annotations

from dataclasses import dataclass

WINDOW = 256  # of a sender's latest messages, that may come in any order
MOST_SENDERS = 1024
FRESH, OLD, AGAIN, FULL = "fresh", "old", "again", "full"


@dataclass(slots=True)
class Sender:
    boot: int  # when its present life began, by its own wall clock: a later life has a greater one
    top: int = 0  # highest number seen
    seen: int = 0  # bit n: top - n was seen


class Guard:
    """A window over each sender's numbers; a new life starts a new one, an earlier life is old."""

    def __init__(self) -> None:
        self._senders: dict[str, Sender] = {}

    def judge(self, name: str, boot: int, number: int) -> str:
        sender = self._senders.get(name)
        if sender is None or boot > sender.boot:
            if sender is None and len(self._senders) >= MOST_SENDERS:
                return FULL
            self._senders[name] = Sender(boot, number, 1)
            return FRESH
        if boot < sender.boot or number <= sender.top - WINDOW:
            return OLD
        if number > sender.top:
            shift = number - sender.top
            sender.seen = (sender.seen << shift | 1) & ((1 << WINDOW) - 1) if shift < WINDOW else 1
            sender.top = number
            return FRESH
        bit = 1 << (sender.top - number)
        if sender.seen & bit:
            return AGAIN
        sender.seen |= bit
        return FRESH
