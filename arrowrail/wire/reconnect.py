"""When to try a broken connection again, and when its peer counts as gone."""

from __future__ import annotations

import errno
from collections.abc import Callable

from arrowrail.core import MS
from arrowrail.loop import Loop
from arrowrail.state.deadlines import Deadline
from arrowrail.wire.stream import Stream

FIRST_PAUSE_NS, LONGEST_PAUSE_NS = 50 * MS, 1_000 * MS
GONE_AFTER_NS = 2_000 * MS  # refused for so long since its connection broke: its process has died


class Reconnect:
    def __init__(self, loop: Loop, open_: Callable[[], None]) -> None:
        self._loop, self._open = loop, open_
        self._pause = FIRST_PAUSE_NS
        self._broken_since = 0
        self._again: Deadline | None = None
        self._timeout: Deadline | None = None

    def within(self, limit_ns: int, stream: Stream) -> None:
        """Fail the stream if it does not come up in time: a machine that vanished answers nothing."""
        late = OSError(errno.ETIMEDOUT, "connect")
        self._timeout = self._loop.deadlines.at(
            self._loop.now + limit_ns, lambda: stream.fail(late) if stream.connecting else None
        )

    def succeeded(self) -> None:
        self._pause, self._broken_since = FIRST_PAUSE_NS, 0

    def failed(self, refused: bool) -> bool:
        """Try again later, at doubling pauses; true if the peer's process is held to have died.

        Guards against callers left standing on a process that is gone before any list says so.  One refusal
        is not enough: a process that only restarts its listener keeps its calls.
        """
        now = self._loop.now
        self._broken_since = self._broken_since or now
        self.cancel()
        self._again = self._loop.deadlines.at(now + self._pause, self._open)
        self._pause = min(2 * self._pause, LONGEST_PAUSE_NS)
        return refused and now - self._broken_since > GONE_AFTER_NS

    def cancel(self) -> None:
        for deadline in (self._again, self._timeout):
            if deadline is not None:
                deadline.cancel()
