"""Fairness among an application's connections.

Open set-ups: a connection may hold a part of what is still free (Choudhury and Hahne, "Dynamic Queue Length
Thresholds", 1998).  Alone it gets nearly all that its share allows; with others it shrinks to an even part,
and something always stays free for the next that comes.  Set-ups a second: a connection that brought more
than its even part lately may go on while there is plenty, and leaves the last of the tokens to the others.
"""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction

WINDOW_NS = 1_000_000_000  # ns: how long ago a set-up counts in full; after that by half, and half again
SLACK = 4  # set-ups of a window that no connection is held to account for
ACTIVE_NS = 2 * WINDOW_NS  # who asked within it counts as one of those who share
COUNT_NS = WINDOW_NS // 8  # how long the number of those who share is believed
MOST_LINES = 4096  # remembered at a time: far above the connections that descriptors allow


@dataclass(slots=True)
class Line:
    open: int = 0
    brought: int = 0  # set-ups let in lately, halved with each window
    at: int = 0
    asked: int = 0  # when it last brought a set-up, let in or not

    def lately(self, now: int) -> int:
        windows = (now - self.at) // WINDOW_NS
        if windows > 0:
            self.brought >>= min(windows, 64)
            self.at += windows * WINDOW_NS
        return self.brought


class Lines:
    def __init__(self) -> None:
        self._lines: dict[object, Line] = {}
        self._total = Line()
        self._active, self._counted = 0, 0

    def __len__(self) -> int:
        return len(self._lines)

    def open(self, line: object) -> int:
        known = self._lines.get(line)
        return known.open if known is not None else 0

    def may_hold(self, line: object, free: int, share: Fraction) -> bool:
        """Whether one more open set-up keeps the connection within its part of what is free.

        With a share of s alone, the threshold is a = s / (1 - s) times what is free.
        """
        held = self.open(line)
        if share >= 1:
            return True
        above, below = share.numerator, share.denominator - share.numerator
        return held == 0 or (held + 1) * below <= (free - 1) * above

    def is_fair(self, now: int, line: object) -> bool:
        """Whether the connection brought no more lately than an even part of all that was let in."""
        known = self._line(now, line)
        known.asked = now
        mine, all_ = known.lately(now), self._total.lately(now)
        return (mine - SLACK) * self._sharing(now) <= all_

    def _sharing(self, now: int) -> int:
        """How many connections asked lately; counted anew now and then, as there may be many."""
        if now - self._counted >= COUNT_NS or now < self._counted:
            self._counted = now
            self._active = sum(1 for line in self._lines.values() if now - line.asked < ACTIVE_NS)
        return max(1, self._active)

    def _line(self, now: int, line: object) -> Line:
        known = self._lines.get(line)
        if known is None:
            if len(self._lines) >= MOST_LINES:
                self.forget_idle(now)
            known = self._lines[line] = Line(at=now, asked=now)
        return known

    def took(self, now: int, line: object) -> None:
        known = self._line(now, line)
        known.open += 1
        for one in (known, self._total):
            one.lately(now)
            one.brought += 1

    def ended(self, line: object) -> None:
        known = self._lines.get(line)
        if known is not None and known.open > 0:
            known.open -= 1

    def forget_idle(self, now: int) -> None:
        """Let go of those that hold nothing and asked for nothing lately."""
        for line, known in list(self._lines.items()):
            if known.open == 0 and known.lately(now) == 0 and now - known.asked >= ACTIVE_NS:
                del self._lines[line]
