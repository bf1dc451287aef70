"""The SIP frontend: callers' connections, their requests, and the responses and releases of the core."""

from __future__ import annotations

import errno
import re
import socket
from dataclasses import dataclass, field

from arrowrail.core.engine import Core
from arrowrail.core.requests import (
    ESTABLISHED,
    FAILED,
    MS,
    NO_ROUTE,
    REFUSED,
    FinalResponse,
    Request,
    SetUpParams,
    SubmitResult,
)
from arrowrail.loop import Loop
from arrowrail.state.slots import SlotTable
from arrowrail.wire.bad_input import MessageTimeout, RateLimitedWarning
from arrowrail.wire.input_stage import InputStage
from arrowrail.wire.listener import Listener
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.sip.answers import UnacknowledgedAnswers
from arrowrail.wire.sip.releases import ReleaseDelivery
from arrowrail.wire.stream import Stream

MAX_QUEUED_BYTES = 96 * 1024  # per connection; queues of hundreds of connections have to fit into memory
# A caller with more than this queued for it doesn't read its responses: no further request of it is read, and
# it is disconnected after a while.
PAUSE_READING_BYTES = 16 * 1024
PAUSED_TIMEOUT_NS = 3_000 * MS
# Callers close connections after 4 s without calls: one that is idle for this long has lost its peer.
IDLE_TIMEOUT_NS = 20_000 * MS
# A caller has to get a response or a close within 3 s.  One that has stopped within a message, or sends none,
# is closed after the first time; one whose bytes keep coming has the second one to complete its message.
MESSAGE_TIMEOUT_NS = 2_000 * MS
LONGEST_MESSAGE_NS = 2_800 * MS
# Callers close connections after 4 s without calls: one that is idle for longer is held by its peer.
EVICTABLE_IDLE_NS = 5_000 * MS
FIRST_MESSAGE_GRACE_NS = 250 * MS  # a new connection without input is evicted only after this time
SWEEP_INTERVAL_NS = 1_000 * MS
# For a dozen endpoints with four connections each, the exchange list and the process itself.
RESERVED_DESCRIPTORS = 80


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

    def __init__(self, frontend: SipFrontend, sock: socket.socket) -> None:
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


@dataclass(slots=True)
class Dialog:
    """The data needed to answer a set-up and to release the call later."""

    invite: sip.SipMessage
    established: bool = False
    acknowledged: bool = False


@dataclass(slots=True)
class SipFrontend:
    """Accepts callers' SIP connections, submits their set-ups to the core and sends its responses."""

    loop: Loop
    core: Core
    address: str
    max_sockets: int
    callers: SlotTable[CallerConnection] = field(default_factory=SlotTable)
    dialogs: dict[str, Dialog] = field(default_factory=dict)
    listener: Listener | None = None
    answers: UnacknowledgedAnswers = field(default_factory=UnacknowledgedAnswers)
    accepted_count: int = 0
    max_connections: int = 0  # 0: limited by the available descriptors only
    malformed_warning: RateLimitedWarning = field(init=False)
    releases: ReleaseDelivery = field(init=False)
    input_stage: InputStage = field(init=False)

    def __post_init__(self) -> None:
        self.input_stage = InputStage(self.loop)
        self.releases = ReleaseDelivery(self.loop, self.core, self.callers)
        self.malformed_warning = RateLimitedWarning(self.loop)

    def start(self) -> None:
        self.core.frontends.append(self)
        self.listener = Listener(
            self.loop, self.address, self._on_accepted, self._has_capacity, self._evict_idle
        )
        self.loop.timers.schedule(self.loop.now + SWEEP_INTERVAL_NS, self._sweep)

    # --- Connections ------------------------------------------------------------------------------------

    def _on_accepted(self, sock: socket.socket) -> None:
        CallerConnection(self, sock)  # kept alive by the event loop
        self.releases.deliver()

    def _has_capacity(self) -> bool:
        if self.max_connections:
            return len(self.callers) + len(self.loop.closing_streams) < self.max_connections
        return len(self.callers) + len(self.loop.closing_streams) < max(
            8, self.max_sockets - RESERVED_DESCRIPTORS
        )

    def _evict_idle(self) -> bool:
        """Close one connection without pending calls to make room; return false if there is none.

        Closing connections go first, then those without a request, then those that are idle for long.
        Guards against discarding a set-up unread: a new connection gets time to send its first message, and
        one with unread input is not closed.
        """
        if self.loop.closing_streams:
            next(iter(self.loop.closing_streams)).fail(None)
            return True
        now = self.loop.now

        def rank(caller: CallerConnection) -> tuple[int, int, int]:
            idle_ns = now - caller.idle_since
            if caller.has_sent_request:
                return (1 if idle_ns > EVICTABLE_IDLE_NS else 3), caller.idle_since, caller.serial
            return (0 if idle_ns > FIRST_MESSAGE_GRACE_NS else 2), caller.idle_since, caller.serial

        for caller in sorted((c for c in self.callers if not c.pending_calls), key=rank):
            if not caller.stream.has_unread_input:
                self._close(caller)
                return True
        return False

    def close_gracefully(self, caller: CallerConnection) -> None:
        """Reject the pending calls of a connection with unusable input, and close it."""
        for call_id in list(caller.pending_calls):
            self._reject_pending(call_id, caller)
        self.connection_closed(caller)
        caller.stream.close_gracefully(self._on_closed)

    def _on_closed(self) -> None:
        if self.listener is not None:
            self.listener.resume()

    def _reject_pending(self, call_id: str, caller: CallerConnection, status: int = 0) -> None:
        """End a pending set-up after unusable input from its caller, with its one final response.

        Without a ``status`` the response depends on what is known of its attempts.
        """
        dialog = self.dialogs[call_id]
        result = self.core.reject(call_id)
        self._send_final_response(
            call_id, caller, sip.response(status or STATUS_BY_RESULT[result], dialog.invite)
        )

    def _close(self, caller: CallerConnection) -> None:
        caller.stream.close()
        self.connection_closed(caller)

    def _sweep(self) -> None:
        now = self.loop.now
        for caller in self.callers:
            if 0 < caller.stream.paused_since_ns < now - PAUSED_TIMEOUT_NS:
                caller.stream.fail(OSError(errno.ETIMEDOUT, "the caller doesn't read its responses"))
                continue
            idle = not caller.pending_calls and now - caller.idle_since > IDLE_TIMEOUT_NS
            if idle and not caller.stream.has_unread_input:
                self._close(caller)
        self.releases.expire(now)
        if self.listener is not None:
            self.listener.resume()
        self.loop.timers.schedule(now + SWEEP_INTERVAL_NS, self._sweep)

    def connection_closed(self, caller: CallerConnection) -> None:
        """Remove a connection and abandon its pending calls; releases on it may be sent again."""
        if self.callers.remove(caller.handle) is None:
            return
        caller.message_timeout.cancel()
        for call_id in caller.pending_calls:
            self.dialogs.pop(call_id, None)
            self.core.caller_abandoned(call_id)
        caller.pending_calls = set()
        self.releases.connection_closed(caller.handle)
        self.releases.deliver()
        if self.listener is not None:
            self.listener.resume()

    # --- From callers -----------------------------------------------------------------------------------

    def handle_malformed(self, caller: CallerConnection, malformed: sip.Malformed) -> None:
        self.malformed_warning.record(f"malformed message from a caller: {malformed.reason}")
        message = malformed.message
        if message.call_id in caller.pending_calls:
            # One response for both: a second one with the same Call-ID would be taken for the first set-up's.
            self._reject_pending(message.call_id, caller, malformed.status)
        elif message.method and message.method != "ACK" and message.call_id and message.cseq_method:
            caller.stream.send(sip.response(malformed.status, message))
        elif not malformed.fatal:
            self.close_gracefully(caller)  # the message can't be answered
        if malformed.fatal:
            self.close_gracefully(caller)

    def handle_message(self, caller: CallerConnection, message: sip.SipMessage) -> None:
        if message.status or message.method in ("ACK", "NOTIFY"):
            if message.cseq_method == "BYE":
                self.releases.acknowledged(message.call_id, caller)
            elif message.method == "ACK":
                self._acknowledge(message.call_id)
            return
        if not message.call_id or not message.cseq_method:
            self.handle_malformed(caller, sip.Malformed(400, "no Call-ID or CSeq", message, False))
        elif message.method == "INVITE":
            self._invite(caller, message)
        elif message.method == "CANCEL":
            self._cancel(caller, message)
        elif message.method == "BYE" and self._is_pending(message.call_id):
            self._cancel(caller, message)  # released before the answer: a cancellation
        elif message.method == "BYE":
            known = self.core.caller_released(message.call_id) or message.call_id in self.core.ended_calls
            self.dialogs.pop(message.call_id, None)
            caller.stream.send(sip.response(200 if known else 481, message))
        elif message.method == "OPTIONS":
            self._valid_request_received(caller)
            caller.stream.send(sip.response(200 if self.core.list_received else 503, message))
        else:
            caller.stream.send(sip.response(405, message))

    def _acknowledge(self, call_id: str) -> None:
        dialog = self.dialogs.get(call_id)
        if dialog is not None:
            dialog.acknowledged = True
            self.answers.remove(call_id)

    def _is_pending(self, call_id: str) -> bool:
        dialog = self.dialogs.get(call_id)
        return dialog is not None and not dialog.established

    def _invite(self, caller: CallerConnection, message: sip.SipMessage) -> None:
        try:
            params = parse_invite(message, self.loop.now, self.core.admission is not None)
            if not self.core.supports_class(params.class_name):
                raise ValueError("unknown class")
        except ValueError as error:
            self.handle_malformed(caller, sip.Malformed(400, str(error), message, False))
            return
        if caller.stream.peer_has_closed:
            self.core.metrics.count("request.caller_left")
            return  # nobody waits for an answer, and it has not been sent on
        result = self.core.submit(self, caller.handle, params, message.held_bytes)
        if result is SubmitResult.CONFLICT:
            reason = "Call-ID is in use by another call"
            self.handle_malformed(caller, sip.Malformed(400, reason, message, False))
        elif result in STATUS_BY_SUBMIT_RESULT:  # the call is over, and its response may be lost
            caller.stream.send(sip.response(STATUS_BY_SUBMIT_RESULT[result], message))
        elif result is SubmitResult.OPEN:
            self._repeat_open(caller, message)
        if result is not SubmitResult.ACCEPTED:
            return
        self._valid_request_received(caller)
        message.body = b""
        self.dialogs[params.call_id] = Dialog(message)
        caller.pending_calls.add(params.call_id)

    def _valid_request_received(self, caller: CallerConnection) -> None:
        """The peer speaks as a caller does: releases may be sent to it."""
        if not caller.has_sent_request:
            caller.has_sent_request = True
            self.releases.deliver()

    def _repeat_open(self, caller: CallerConnection, message: sip.SipMessage) -> None:
        """Handle a repeated set-up whose call is open: on another connection, that one gets the response.

        On the same connection it is a retransmission, and the response to the first one answers both.  Guards
        against answering on a connection that its caller has given up, and whose end is not seen yet.
        """
        request, dialog = self.core.find(message.call_id), self.dialogs.get(message.call_id)
        if request is None or dialog is None or request.connection_id == caller.handle:
            return
        message.body = b""
        if request.established:
            self._repeat_answer(caller, message, dialog)
            return
        previous = self.callers.get(request.connection_id)
        if previous is not None:
            previous.pending_calls.discard(message.call_id)
        caller.pending_calls.add(message.call_id)
        self._valid_request_received(caller)
        dialog.invite = message
        self.core.move_request(message.call_id, caller.handle)

    def _repeat_answer(self, caller: CallerConnection, message: sip.SipMessage, dialog: Dialog) -> None:
        """Send the answer of an established call again, unless its caller has had it."""
        description = self.answers.get(message.call_id)
        if description is not None:
            self.core.move_request(message.call_id, caller.handle)
            self._send_answer(caller, message, description)
            return
        caller.stream.send(sip.response(500, message))
        if not dialog.acknowledged:
            # The answer is no longer known, so that nobody can use the call.
            self.dialogs.pop(message.call_id, None)
            self.core.caller_released(message.call_id)

    def _cancel(self, caller: CallerConnection, message: sip.SipMessage) -> None:
        call_id = message.call_id
        dialog = self.dialogs.get(call_id)
        caller.stream.send(sip.response(200 if dialog is not None else 481, message))
        if dialog is None:
            return
        if dialog.established:
            # The CANCEL crossed the 200 response: the caller no longer waits and won't use the call.
            self.core.caller_released(call_id)
            self.dialogs.pop(call_id, None)
            return
        request = self.core.find(call_id)
        origin = self.callers.get(request.connection_id) if request is not None else None
        self.core.caller_abandoned(call_id, will_respond=True)
        self._send_final_response(call_id, origin, sip.response(487, dialog.invite))

    # --- From the core ----------------------------------------------------------------------------------

    def respond(self, request: Request, response: FinalResponse) -> None:
        call_id = request.params.call_id
        dialog = self.dialogs.get(call_id)
        caller = self.callers.get(request.connection_id)
        if dialog is None:
            return
        if response.result == ESTABLISHED:
            invite, dialog.established = dialog.invite, True
            dialog.invite = sip.SipMessage("INVITE", invite.uri)  # all that a release needs
            self.answers.add(call_id, response.session_description)
            if caller is not None:
                caller.pending_calls.discard(call_id)
                self._send_answer(caller, invite, response.session_description)
            return
        headers = (
            [("X-Later-Ms", str(-(-response.retry_after_ns // MS)))] if response.retry_after_ns > 0 else []
        )
        status = 404 if response.outcome == NO_ROUTE else STATUS_BY_RESULT[response.result]
        self._send_final_response(call_id, caller, sip.response(status, dialog.invite, headers))

    def _send_answer(self, caller: CallerConnection, invite: sip.SipMessage, description: bytes) -> None:
        caller.stream.send(sip.response(200, invite, (("Content-Type", "application/sdp"),), description))
        if not caller.has_answered_call:
            caller.has_answered_call = True
            self.input_stage.call_answered(caller.stream)
            self.releases.deliver()

    def _send_final_response(self, call_id: str, caller: CallerConnection | None, data: bytes) -> None:
        self.dialogs.pop(call_id, None)
        if caller is not None:
            caller.pending_calls.discard(call_id)
            caller.idle_since = self.loop.now
            caller.stream.send(data)

    def release(self, request: Request, cause: int) -> None:
        dialog = self.dialogs.pop(request.params.call_id, None)
        self.answers.remove(request.params.call_id)
        uri = dialog.invite.uri if dialog is not None else "sip:peer@net"
        self._send_bye(request.params.call_id, uri, cause, self.callers.get(request.connection_id))

    def release_unknown(self, call_id: str, cause: int) -> None:
        self._send_bye(call_id, "sip:peer@net", cause, None)

    def _send_bye(self, call_id: str, uri: str, cause: int, caller: CallerConnection | None) -> None:
        """Send a BYE; an established call is not bound to a connection, so any open one will do."""
        data = sip.request("BYE", uri, self.address, call_id, 1, (("Reason", f"Q.850;cause={cause}"),))
        self.releases.send(call_id, data, caller)

    def is_caller_connected(self, request: Request) -> bool:
        caller = self.callers.get(request.connection_id)
        return caller is not None and not caller.stream.peer_has_closed

    @property
    def connections(self) -> int:
        return len(self.callers)

    def flushed(self) -> bool:
        return all(caller.stream.flushed for caller in self.callers)


STATUS_BY_RESULT = {REFUSED: 503, FAILED: 500}
STATUS_BY_SUBMIT_RESULT = {SubmitResult.REFUSED: 503, SubmitResult.FAILED: 500}


HEX = re.compile(r"[0-9a-f]{1,16}")
INTEGER = re.compile(r"-?[0-9]{1,12}")


def _parse_integer(text: str, low: int, high: int) -> int:
    # Plain digits only: int() also accepts spaces and digits of other scripts, which other systems don't.
    if not INTEGER.fullmatch(text) or not low <= int(text) <= high:
        raise ValueError(f"invalid or out-of-range number {text[:20]!r}")
    return int(text)


def parse_invite(message: sip.SipMessage, now: int, routed: bool = False) -> SetUpParams:
    """The parameters of a set-up from its INVITE; ``ValueError`` names a missing or invalid field.

    ``routed``: the route follows from the called number or ``X-District``, so that X-Facts is not needed.
    """
    headers = message.headers
    for name in ("subject", "x-patience") if routed else ("subject", "x-patience", "x-facts"):
        if name not in headers:
            raise ValueError(f"header {name} is missing")
    number = message.uri.removeprefix("sip:").partition("@")[0]
    if not HEX.fullmatch(number.lower()):
        raise ValueError("called number is not 1 to 16 hex digits")
    if len(message.call_id) != 16 or not HEX.fullmatch(message.call_id):
        raise ValueError("Call-ID is not 16 hex digits")
    if not message.body:
        raise ValueError("session description is missing")
    patience_ms = _parse_integer(headers["x-patience"], 0, 86_400_000)
    if routed:
        return SetUpParams(
            message.call_id, headers["subject"], number, int(number, 16), -1, 1, now + patience_ms * MS,
            message.body, redialled="x-retry" in headers, district=headers.get("x-district", ""),
        )  # fmt: skip
    facts = dict(part.split(":", 1) for part in headers["x-facts"].split(";") if ":" in part)
    if "dest" not in facts:
        raise ValueError("x-facts has no dest")
    return SetUpParams(
        message.call_id, headers["subject"], number, int(number, 16),
        _parse_integer(facts["dest"], 0, 1 << 20), _parse_integer(facts.get("width", "1"), 1, 1024),
        now + patience_ms * MS, message.body,
        facts.get("transit") == "1", "x-retry" in headers, facts.get("again") == "1",
        _parse_integer(facts.get("via", "-1"), -1, 1 << 20),
    )  # fmt: skip
