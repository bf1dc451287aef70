"""The SIP frontend: callers' connections, their requests, and the responses and releases of the core."""

from __future__ import annotations

import errno
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
    SubmitResult,
)
from arrowrail.loop import Loop
from arrowrail.state.slots import SlotTable
from arrowrail.wire.bad_input import RateLimitedWarning
from arrowrail.wire.input_stage import InputStage
from arrowrail.wire.listener import Listener
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.sip.answers import UnacknowledgedAnswers
from arrowrail.wire.sip.caller import CallerConnection
from arrowrail.wire.sip.invite import parse_invite
from arrowrail.wire.sip.releases import ReleaseDelivery

PAUSED_TIMEOUT_NS = 3_000 * MS  # for a caller that doesn't read its responses
# Callers close connections after 4 s without calls: one that is idle for this long has lost its peer.
IDLE_TIMEOUT_NS = 20_000 * MS
# Callers close connections after 4 s without calls: one that is idle for longer is held by its peer.
EVICTABLE_IDLE_NS = 5_000 * MS
FIRST_MESSAGE_GRACE_NS = 250 * MS  # a new connection without input is evicted only after this time
SWEEP_INTERVAL_NS = 1_000 * MS
# For a dozen endpoints with four connections each, the exchange list and the process itself.
RESERVED_DESCRIPTORS = 80


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
            if self._owns(caller, call_id):
                self._reject_pending(call_id, caller)
        self.connection_closed(caller)
        caller.stream.close_gracefully(self._on_closed)

    def _owns(self, caller: CallerConnection, call_id: str) -> bool:
        """Whether a pending call of a connection is still its own, and not open on another one by now.

        A set-up that was given up because its caller had left may have come again before the end of its first
        connection is read.
        """
        request = self.core.find(call_id)
        return request is None or request.connection_id == caller.handle

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
            if self._owns(caller, call_id):
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
