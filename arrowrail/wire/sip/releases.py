"""Delivery of releases to callers on the most suitable open connection.

An established call is not bound to a connection.  A release is sent on the connection of its set-up if that
is open, otherwise on one on which a call was answered before, and after a delay on any open one.  It is sent
again when its connection closes before the release can have arrived.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.slots import SlotTable
from arrowrail.telemetry.events import call_event, event, first_ids
from arrowrail.wire.sip.caller import CallerConnection

RELEASE_LIFETIME_NS = 8_000 * MS  # how long a release waits for a connection before it is dropped
# How long a release waits for a connection with a higher trust level; at most twice this time.
BETTER_CONNECTION_WAIT_NS = 250 * MS
# A release written within this time before its connection closed may have crossed the close and be lost; one
# whose connection stays open for longer is taken for delivered.
DELIVERY_GRACE_NS = 2_000 * MS
# Releases are written to a connection only while no more than this is queued for it: thousands of calls may
# be over at once, and a caller must not be disconnected for not reading all of it at once.
# Well below the limit from which on a caller is no longer read: one that answers each release before it reads
# the next would wait for the controller, and the controller for it.
MAX_QUEUED_BYTES = 4 * 1024
ROOM_WAIT_NS = 10 * MS  # until a connection without room is tried again
# Where no connection is known to be a caller's, a release is written to up to so many of them, one after the
# other: the first may be that of a stranger, whatever it answers.
MAX_COPIES = 4
MAX_TRUST_LEVEL = 2  # of a connection on which a call was answered


@dataclass(slots=True)
class PendingRelease:
    """A release that is not acknowledged; ``connection_id`` is 0 while it is not written to a connection."""

    call_id: str
    message: bytes
    created_ns: int
    expires_ns: int  # counted from the end of the call, whatever was written meanwhile
    connection_id: int = 0
    trust_level: int = 0  # of the connection it was written to
    written_ns: int = 0  # when it was written last; 0: never
    delivered_ns: int = 0  # when it is taken for delivered if that connection is still open; 0: never
    tried: set[int] = field(default_factory=set)  # open connections that it was written to

    def is_settled(self, now: int) -> bool:
        """Whether it needs no further attention: taken for delivered, or out of time."""
        return self.expires_ns <= now or 0 < self.delivered_ns <= now


class ReleaseDelivery:
    """Sends the releases of one frontend and keeps those that may not have arrived."""

    def __init__(self, loop: Loop, core: Core, callers: SlotTable[CallerConnection]) -> None:
        self.loop, self.core, self.callers = loop, core, callers
        self.pending: dict[str, PendingRelease] = {}
        self._retry_at_ns = 0  # when waiting releases are tried again

    def send(self, call_id: str, message: bytes, caller: CallerConnection | None) -> None:
        """Send a release, preferably on the connection of its call."""
        now = self.loop.now
        release = self.pending[call_id] = PendingRelease(call_id, message, now, now + RELEASE_LIFETIME_NS)
        if caller is not None and _has_room(caller):
            self._write(release, caller)
        else:
            self.deliver()

    def acknowledged(self, call_id: str, caller: CallerConnection) -> None:
        """A peer has answered the BYE; one that is not known to be a caller may be a stranger to the call."""
        if caller.trust_level == MAX_TRUST_LEVEL:
            self.pending.pop(call_id, None)

    def connection_closed(self, handle: int) -> None:
        """Queue releases again that may be lost because the caller closed the connection meanwhile."""
        for release in self.pending.values():
            release.tried.discard(handle)
            if release.connection_id == handle:
                release.connection_id = release.delivered_ns = release.trust_level = 0

    def expire(self, now: int) -> None:
        """Drop releases that found no connection in time, and those that had enough time to arrive."""
        unsent = [
            call_id
            for call_id, release in self.pending.items()
            if release.expires_ns <= now and not release.connection_id
        ]
        if unsent:
            self.core.metrics.count("release.undelivered", amount=len(unsent))
            event("release.undelivered", "no caller connection for {calls} releases: {ids}", level="WARNING",
                  calls=len(unsent), ids=first_ids(unsent))  # fmt: skip
        self.pending = {
            call_id: release for call_id, release in self.pending.items() if not release.is_settled(now)
        }

    def deliver(self) -> None:
        """Send waiting releases on the most trusted open connections, and again once there is a better one.

        Guards against sending releases to peers that only hold connections open: a connection on which a call
        was answered is used at once, one that only sent a request or is new after a delay, and then others
        of the same trust as well while nobody confirms the release.
        """
        if all(release.trust_level == MAX_TRUST_LEVEL for release in self.pending.values()):
            return
        connections = self._most_trusted_connections()
        waits_ns = [self._deliver_one(release, connections) for release in self.pending.values()]
        self._retry_after(min((wait_ns for wait_ns in waits_ns if wait_ns), default=0))

    def _deliver_one(self, release: PendingRelease, connections: list[CallerConnection]) -> int:
        """Write a release if it is due; return after how long it has to be tried again, 0: not at all."""
        level = connections[0].trust_level if connections else 0
        is_better = not release.connection_id or release.trust_level < level
        if not is_better and (release.trust_level == MAX_TRUST_LEVEL or len(release.tried) >= MAX_COPIES):
            return 0
        due_ns = release.created_ns + (MAX_TRUST_LEVEL - level) * BETTER_CONNECTION_WAIT_NS
        if not is_better:
            due_ns = max(due_ns, release.written_ns + BETTER_CONNECTION_WAIT_NS)
        if due_ns > self.loop.now:
            return due_ns - self.loop.now
        untried = [caller for caller in connections if caller.handle not in release.tried]
        caller = next((caller for caller in untried if _has_room(caller)), None)
        if caller is None:
            return ROOM_WAIT_NS if untried else 0
        self._write(release, caller)
        return 0 if level == MAX_TRUST_LEVEL else BETTER_CONNECTION_WAIT_NS

    def _most_trusted_connections(self) -> list[CallerConnection]:
        """Return the open connections that no other is more trusted than, those used last first."""
        open_connections = [caller for caller in self.callers if caller.stream.open]
        level = max((caller.trust_level for caller in open_connections), default=0)
        trusted = [caller for caller in open_connections if caller.trust_level == level]
        return sorted(trusted, key=lambda caller: caller.idle_since, reverse=True)

    def _retry_after(self, wait_ns: int) -> None:
        retry_at_ns = self.loop.now + wait_ns
        if wait_ns and not self.loop.now < self._retry_at_ns <= retry_at_ns:
            self._retry_at_ns = retry_at_ns
            self.loop.timers.schedule(retry_at_ns, self.deliver)

    def _write(self, release: PendingRelease, caller: CallerConnection) -> None:
        release.connection_id, release.trust_level = caller.handle, caller.trust_level
        release.written_ns = self.loop.now
        release.tried.add(caller.handle)
        if caller.has_answered_call:
            release.delivered_ns = self.loop.now + DELIVERY_GRACE_NS
        call_event("release.sent", release.call_id, "release written to connection {connection}",
                   connection=caller.serial)  # fmt: skip
        caller.stream.send(release.message)


def _has_room(caller: CallerConnection) -> bool:
    return caller.stream.open and caller.stream.queued_bytes <= MAX_QUEUED_BYTES
