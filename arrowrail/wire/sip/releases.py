"""Delivery of releases to callers: no connection owns a call that stands, so the best that is open is taken.

A release goes out on the call's own connection if that is open, else on one on which calls were answered
before, and after a while on whatever is open.  It is sent again when its connection is lost before it can
have arrived.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.slots import SlotTable
from arrowrail.telemetry.events import call_event, event, first_ids

if TYPE_CHECKING:
    from arrowrail.wire.sip.frontend import Caller

KEPT_NS = 8_000 * MS  # how long a release waits for a connection to go out on
PATIENCE_NS = 250 * MS  # how long a release waits for a better connection, twice at most
CROSSING_NS = 2_000 * MS  # how long a release that went out may have crossed its connection's close


@dataclass(slots=True)
class PendingRelease:
    """A release on its way; ``connection`` 0: none has taken it yet."""

    call: str
    message: bytes
    since: int
    until: int
    connection: int = 0
    trust: int = 0  # of the connection that took it


class ReleaseDelivery:
    """The releases of one front that are not known to have arrived."""

    def __init__(self, loop: Loop, core: Core, callers: SlotTable[Caller]) -> None:
        self.loop, self.core, self.callers = loop, core, callers
        self.pending: dict[str, PendingRelease] = {}
        self._again_at = 0  # when releases that wait are looked at again

    def send(self, call: str, message: bytes, caller: Caller | None) -> None:
        """Deliver a release, best on the connection of its call."""
        now = self.loop.now
        release = self.pending[call] = PendingRelease(call, message, now, now + KEPT_NS)
        if caller is not None and caller.stream.open:
            self._hand_over(release, caller)
        else:
            self.deliver()

    def heard(self, call: str) -> None:
        """A caller has confirmed it."""
        self.pending.pop(call, None)

    def connection_gone(self, handle: int) -> None:
        """Guards against a release lost with a connection that its caller closed while it was on its way."""
        for release in self.pending.values():
            if release.connection == handle:
                release.connection = 0

    def expire(self, now: int) -> None:
        """Forget the releases that found no connection for too long, and those that had time to arrive."""
        unsent = [
            call for call, release in self.pending.items() if release.until <= now and not release.connection
        ]
        if unsent:
            self.core.metrics.count("release.undelivered", amount=len(unsent))
            event("release.undelivered", "{calls} releases found no caller to go to: {ids}", level="WARNING",
                  calls=len(unsent), ids=first_ids(unsent))  # fmt: skip
        self.pending = {call: release for call, release in self.pending.items() if release.until > now}

    def deliver(self) -> None:
        """What waits for a connection goes out on the best one open, and again once there is a better.

        Guards against releases handed to those who hold connections and are no callers: a connection on which
        a call was answered is believed at once, one that asked for something or has just come after a while.
        """
        if not self.pending:
            return
        now = self.loop.now
        open_ = [caller for caller in self.callers if caller.stream.open]
        best = max(open_, key=lambda caller: (caller.trust, caller.idle_since), default=None)
        waiting = False
        for release in self.pending.values():
            if release.connection and (best is None or release.trust >= best.trust):
                continue
            if best is not None and now - release.since >= (2 - best.trust) * PATIENCE_NS:
                self._hand_over(release, best)
            waiting = waiting or (best is not None and not release.connection)
        if waiting and self._again_at <= now:
            self._again_at = now + PATIENCE_NS
            self.loop.timers.schedule(self._again_at, self.deliver)

    def _hand_over(self, release: PendingRelease, caller: Caller) -> None:
        release.connection, release.trust = caller.handle, caller.trust
        if caller.stood:
            release.until = min(release.until, self.loop.now + CROSSING_NS)
        call_event("release.sent", release.call, "release written to connection {connection}",
                   connection=caller.serial)  # fmt: skip
        caller.stream.send(release.message)
