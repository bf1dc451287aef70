"""One connection from a caller: its parser, its limits of time, and how far its peer is known as a caller."""

from __future__ import annotations

import socket
from typing import Protocol

from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.slots import SlotTable
from arrowrail.wire.bad_input import MessageTimeout
from arrowrail.wire.input_stage import InputStage
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.stream import Stream

MAX_QUEUED_BYTES = 96 * 1024  # per connection; queues of hundreds of connections have to fit into memory
# A caller with more than this queued for it doesn't read its responses: no further request of it is read.
PAUSE_READING_BYTES = 16 * 1024
# A caller has to get a response or a close within 3 s.  One that has stopped within a message, or sends none,
# is closed after the first time; one whose bytes keep coming has the second one to complete its message.
MESSAGE_TIMEOUT_NS = 2_000 * MS
LONGEST_MESSAGE_NS = 2_800 * MS


class CallerOwner(Protocol):
    """What a connection needs of the frontend that it belongs to."""

    loop: Loop
    callers: SlotTable[CallerConnection]
    accepted_count: int
    input_stage: InputStage

    def handle_message(self, caller: CallerConnection, message: sip.SipMessage) -> None: ...
    def handle_malformed(self, caller: CallerConnection, malformed: sip.Malformed) -> None: ...
    def close_gracefully(self, caller: CallerConnection) -> None: ...
    def connection_closed(self, caller: CallerConnection) -> None: ...


class CallerConnection:
    """One connection from a caller; it carries many calls."""

    __slots__ = (
        "frontend",
        "handle",
        "has_answered_call",
        "has_sent_request",
        "idle_since",
        "message_timeout",
        "parser",
        "pending_calls",
        "serial",
        "stream",
    )

    def __init__(self, frontend: CallerOwner, sock: socket.socket) -> None:
        self.frontend = frontend
        self.parser = sip.SipParser()
        self.pending_calls: set[str] = set()  # set-ups without a final response
        self.idle_since = frontend.loop.now
        self.has_sent_request = False  # at least one valid set-up or OPTIONS
        self.has_answered_call = False  # a set-up received on it was answered
        # Breaks ties between connections accepted in one event loop iteration, so that the newest of them is
        # not evicted as the one idle for longest.
        self.serial = frontend.accepted_count = frontend.accepted_count + 1
        self.handle = frontend.callers.add(self)
        self.message_timeout = MessageTimeout(
            frontend.loop, MESSAGE_TIMEOUT_NS, self._on_message_timeout, LONGEST_MESSAGE_NS
        )
        self.message_timeout.update(True, False)  # a silent caller is disconnected as well
        self.stream = Stream(
            frontend.loop, sock, self, max_queued_bytes=MAX_QUEUED_BYTES,
            pause_reading_bytes=PAUSE_READING_BYTES, input_stage=frontend.input_stage,
        )  # fmt: skip

    @property
    def trust_level(self) -> int:
        """How likely the peer is a caller that handles releases, from 0 to 2."""
        return 2 if self.has_answered_call else int(self.has_sent_request)

    def connected(self) -> None:
        pass  # accepted connections are up from the start

    def received(self, data: bytes) -> None:
        self.idle_since = self.frontend.loop.now
        messages = self.parser.feed(data)
        self.message_timeout.update(self.parser.pending, bool(messages))
        for message in messages:
            if isinstance(message, sip.Malformed):
                self.frontend.handle_malformed(self, message)
            else:
                self.frontend.handle_message(self, message)
            if self.stream.closing or not self.stream.open:
                return  # input after an unreadable message can't be parsed reliably

    def _on_message_timeout(self) -> None:
        """The caller sent nothing, or stopped in the middle of a message."""
        self.frontend.close_gracefully(self)

    def lost(self, _error: OSError | None) -> None:
        self.frontend.connection_closed(self)
