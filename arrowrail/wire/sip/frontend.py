"""The platform's front: callers' SIP connections, and what the core wants said on them."""

from __future__ import annotations

import re
import socket
from dataclasses import dataclass, field, replace

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
)
from arrowrail.loop import Loop
from arrowrail.state.slots import SlotTable
from arrowrail.wire.bad_input import MessageTimeout, RateLimitedWarning
from arrowrail.wire.listener import Listener
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.sip.releases import ReleaseDelivery
from arrowrail.wire.stream import Stream

CALLER_LIMIT = 96 * 1024  # unread answers of one caller: hundreds of these have to fit into memory
IDLE_NS = 20_000 * MS  # callers close theirs after 4 s: what idles longer has a peer that is gone
# A caller is owed a word or a close within 3 s: this is how long it may take over a message, its first too.
UNFINISHED_NS = 2_000 * MS
LEFT_IDLE_NS = 5_000 * MS  # callers close after 4 s with no call: who is still there holds it for good
SPEAK_NS = 250 * MS  # how long a caller may take to begin its first message before its place is wanted
SWEEP_NS = 1_000 * MS
RESERVED = 80  # descriptors kept for desk exchanges (a dozen in fours), the list and the process itself


class Caller:
    """One connection from callers; it carries many calls."""

    __slots__ = (
        "frontend",
        "handle",
        "idle_since",
        "open_calls",
        "parser",
        "proven",
        "serial",
        "stood",
        "stream",
        "unfinished",
    )

    def __init__(self, frontend: SipFrontend, sock: socket.socket) -> None:
        self.frontend = frontend
        self.parser = sip.SipParser()
        self.open_calls: set[str] = set()  # set-ups without their final answer
        self.idle_since = frontend.loop.now
        self.proven = False  # it has said something of use
        self.stood = False  # a call on it was answered
        # Guards against the newest of those accepted in one turn being closed as the idlest of them.
        self.serial = frontend.accepted = frontend.accepted + 1
        self.handle = frontend.callers.add(self)
        self.unfinished = MessageTimeout(frontend.loop, UNFINISHED_NS, self._stalled)
        self.unfinished.update(True, False)  # who says nothing at all is owed a close as well
        self.stream = Stream(frontend.loop, sock, self, limit=CALLER_LIMIT)

    @property
    def trust(self) -> int:
        return 2 if self.stood else int(self.proven)

    def connected(self) -> None:
        pass  # it was accepted

    def received(self, data: bytes) -> None:
        self.idle_since = self.frontend.loop.now
        found = self.parser.feed(data)
        self.unfinished.update(self.parser.pending, bool(found))
        for message in found:
            if isinstance(message, sip.Malformed):
                self.frontend.malformed(self, message)
            else:
                self.frontend.message(self, message)
            if self.stream.closing or not self.stream.open:
                return  # what is behind a message that can't be read is not to be trusted

    def _stalled(self) -> None:
        """It said nothing, or stopped in the middle of a message."""
        self.frontend.drop(self)

    def lost(self, _why: OSError | None) -> None:
        self.frontend.gone(self)


@dataclass(slots=True)
class Dialog:
    """What is needed to answer a set-up and to release the call later."""

    invite: sip.SipMessage
    standing: bool = False


@dataclass(slots=True)
class SipFrontend:
    loop: Loop
    core: Core
    address: str
    max_sockets: int
    callers: SlotTable[Caller] = field(default_factory=SlotTable)
    dialogs: dict[str, Dialog] = field(default_factory=dict)
    listener: Listener | None = None
    accepted: int = 0
    max_connections: int = 0  # connections at a time, where a limit is set; 0: what descriptors leave
    malformed_seen: RateLimitedWarning = field(init=False)
    releases: ReleaseDelivery = field(init=False)

    def __post_init__(self) -> None:
        self.releases = ReleaseDelivery(self.loop, self.core, self.callers)
        self.malformed_seen = RateLimitedWarning(self.loop)

    def start(self) -> None:
        self.core.frontends.append(self)
        self.listener = Listener(self.loop, self.address, self._accepted, self._room, self._close_idlest)
        self.loop.timers.schedule(self.loop.now + SWEEP_NS, self._sweep)

    # --- Connections ------------------------------------------------------------------------------------

    def _accepted(self, sock: socket.socket) -> None:
        Caller(self, sock)  # the loop holds on to it
        self.releases.deliver()

    def _room(self) -> bool:
        if self.max_connections:
            return len(self.callers) + len(self.loop.closing_streams) < self.max_connections
        return len(self.callers) + len(self.loop.closing_streams) < max(8, self.max_sockets - RESERVED)

    def _close_idlest(self) -> bool:
        """Who was told its last word goes first, then who says nothing, then who has idled for long.

        Guards against a set-up being destroyed unread: who has just come gets time to speak, and nobody is
        closed whose input waits.
        """
        if self.loop.closing_streams:
            next(iter(self.loop.closing_streams)).fail(None)
            return True
        now = self.loop.now

        def rank(caller: Caller) -> tuple[int, int, int]:
            since = now - caller.idle_since
            if caller.proven:
                return (1 if since > LEFT_IDLE_NS else 3), caller.idle_since, caller.serial
            return (0 if since > SPEAK_NS else 2), caller.idle_since, caller.serial

        for caller in sorted((c for c in self.callers if not c.open_calls), key=rank):
            if not caller.stream.has_unread_input:
                self._close(caller)
                return True
        return False

    def drop(self, caller: Caller) -> None:
        """Its input is of no use: what it has open is refused, once each, and it is told no more."""
        for call in list(caller.open_calls):
            self._refuse_open(call, caller, 503)
        self.gone(caller)
        caller.stream.close_gracefully(self._left)

    def _left(self) -> None:
        if self.listener is not None:
            self.listener.resume()

    def _refuse_open(self, call: str, caller: Caller, status: int) -> None:
        """Its caller has made the set-up unusable: that ends it, and this is its one answer."""
        dialog = self.dialogs[call]
        self.core.caller_abandoned(call)
        self._end(call, caller, sip.response(status, dialog.invite))

    def _close(self, caller: Caller) -> None:
        caller.stream.close()
        self.gone(caller)

    def _sweep(self) -> None:
        now = self.loop.now
        for caller in self.callers:
            idle = not caller.open_calls and now - caller.idle_since > IDLE_NS
            if idle and not caller.stream.has_unread_input:
                self._close(caller)
        self.releases.expire(now)
        if self.listener is not None:
            self.listener.resume()
        self.loop.timers.schedule(now + SWEEP_NS, self._sweep)

    def gone(self, caller: Caller) -> None:
        if self.callers.remove(caller.handle) is None:
            return
        caller.unfinished.cancel()
        for call in caller.open_calls:
            self.dialogs.pop(call, None)
            self.core.caller_abandoned(call)
        caller.open_calls = set()
        self.releases.connection_gone(caller.handle)
        self.releases.deliver()
        if self.listener is not None:
            self.listener.resume()

    # --- From callers -----------------------------------------------------------------------------------

    def malformed(self, caller: Caller, found: sip.Malformed) -> None:
        self.malformed_seen.record(f"malformed message from a caller: {found.reason}")
        message = found.message
        if message.call_id in caller.open_calls:
            # One answer for both: a second one under the same id would be taken for the first set-up's.
            self._refuse_open(message.call_id, caller, found.status)
        elif message.method and message.method != "ACK" and message.call_id and message.cseq_method:
            caller.stream.send(sip.response(found.status, message))
        elif not found.fatal:
            self.drop(caller)  # nobody to answer
        if found.fatal:
            self.drop(caller)

    def message(self, caller: Caller, message: sip.SipMessage) -> None:
        if message.status or message.method in ("ACK", "NOTIFY"):
            if message.cseq_method == "BYE":
                self.releases.heard(message.call_id)
            return
        if not message.call_id or not message.cseq_method:
            self.malformed(caller, sip.Malformed(400, "no Call-ID or CSeq", message, False))
        elif message.method == "INVITE":
            self._invite(caller, message)
        elif message.method == "CANCEL":
            self._cancel(caller, message)
        elif message.method == "BYE" and self._waits(message.call_id):
            self._cancel(caller, message)  # released before it stood: given up
        elif message.method == "BYE":
            known = self.core.caller_released(message.call_id) or message.call_id in self.core.ended_calls
            self.dialogs.pop(message.call_id, None)
            caller.stream.send(sip.response(200 if known else 481, message))
        elif message.method == "OPTIONS":
            caller.proven = True
            caller.stream.send(sip.response(200 if self.core.list_received else 503, message))
        else:
            caller.stream.send(sip.response(405, message))

    def _waits(self, call: str) -> bool:
        dialog = self.dialogs.get(call)
        return dialog is not None and not dialog.standing

    def _invite(self, caller: Caller, message: sip.SipMessage) -> None:
        call = message.call_id
        try:
            offer = read_invite(message, self.loop.now, self.core.admission is not None)
            if not self.core.supports_class(offer.class_name):
                raise ValueError("no such class")
            request = self.core.find(call)
            if request is not None and not same_call(request.params, offer, self.core.admission is not None):
                raise ValueError("the id of another call")
        except ValueError as wrong:
            self.malformed(caller, sip.Malformed(400, str(wrong), message, False))
            return
        if not self.core.submit(self, caller.handle, offer):
            if request is None:  # it is over, and its answer may not have arrived
                caller.stream.send(sip.response(503, message))
            return  # sent again: the first one's answer is the only one
        caller.proven = True
        message.body = b""
        self.dialogs[offer.call_id] = Dialog(message)
        caller.open_calls.add(offer.call_id)

    def _cancel(self, caller: Caller, message: sip.SipMessage) -> None:
        call = message.call_id
        dialog = self.dialogs.get(call)
        caller.stream.send(sip.response(200 if dialog is not None else 481, message))
        if dialog is None:
            return
        if dialog.standing:
            # Crossed with our answer: the caller has stopped waiting and won't use the call.
            self.core.caller_released(call)
            self.dialogs.pop(call, None)
            return
        request = self.core.find(call)
        home = self.callers.get(request.connection_id) if request is not None else None
        self.core.caller_abandoned(call)
        self._end(call, home, sip.response(487, dialog.invite))

    # --- From the core ----------------------------------------------------------------------------------

    def respond(self, request: Request, answer: FinalResponse) -> None:
        call = request.params.call_id
        dialog = self.dialogs.get(call)
        caller = self.callers.get(request.connection_id)
        if dialog is None:
            return
        if answer.result == ESTABLISHED:
            dialog.standing = True
            data = sip.response(
                200, dialog.invite, (("Content-Type", "application/sdp"),), answer.session_description
            )
            if caller is not None:
                caller.open_calls.discard(call)
                caller.stream.send(data)
                if not caller.stood:
                    caller.stood = True
                    self.releases.deliver()
            return
        extra = [("X-Later-Ms", str(-(-answer.retry_after_ns // MS)))] if answer.retry_after_ns > 0 else []
        status = 404 if answer.outcome == NO_ROUTE else STATUS[answer.result]
        self._end(call, caller, sip.response(status, dialog.invite, extra))

    def _end(self, call: str, caller: Caller | None, data: bytes) -> None:
        self.dialogs.pop(call, None)
        if caller is not None:
            caller.open_calls.discard(call)
            caller.idle_since = self.loop.now
            caller.stream.send(data)

    def release(self, request: Request, cause: int) -> None:
        dialog = self.dialogs.pop(request.params.call_id, None)
        uri = dialog.invite.uri if dialog is not None else "sip:peer@net"
        self._bye(request.params.call_id, uri, cause, self.callers.get(request.connection_id))

    def release_unknown(self, call: str, cause: int) -> None:
        self._bye(call, "sip:peer@net", cause, None)

    def _bye(self, call: str, uri: str, cause: int, caller: Caller | None) -> None:
        """No connection owns a call that stands: any will do, and else the next that opens."""
        data = sip.request("BYE", uri, self.address, call, 1, (("Reason", f"Q.850;cause={cause}"),))
        self.releases.send(call, data, caller)

    @property
    def connections(self) -> int:
        return len(self.callers)

    def flushed(self) -> bool:
        return all(caller.stream.flushed for caller in self.callers)


STATUS = {REFUSED: 503, FAILED: 500}


HEX = re.compile(r"[0-9a-f]{1,16}")
FIGURE = re.compile(r"-?[0-9]{1,12}")


def same_call(one: SetUpParams, other: SetUpParams, routed: bool = False) -> bool:
    """Whether two set-ups ask for the same, but for the time at which they came, and where they are led."""
    if routed:
        one = replace(one, destination=-1, width=1, route="")
    return replace(one, deadline_ns=0) == replace(other, deadline_ns=0)


def _figure(text: str, low: int, high: int) -> int:
    # Plain digits: what int() takes beyond them, blanks and other scripts, no other party would read.
    if not FIGURE.fullmatch(text) or not low <= int(text) <= high:
        raise ValueError(f"figure {text[:20]!r}")
    return int(text)


def read_invite(message: sip.SipMessage, now: int, routed: bool = False) -> SetUpParams:
    """The request that a set-up asks for; ``ValueError`` names the field that is missing or wrong.

    ``routed``: the way follows from the number or ``X-District``, so that no facts are needed.
    """
    headers = message.headers
    for name in ("subject", "x-patience") if routed else ("subject", "x-patience", "x-facts"):
        if name not in headers:
            raise ValueError(f"no {name}")
    number = message.uri.removeprefix("sip:").partition("@")[0]
    if not HEX.fullmatch(number.lower()):
        raise ValueError("a number that is no number")
    if len(message.call_id) != 16 or not HEX.fullmatch(message.call_id):
        raise ValueError("Call-ID is not 16 hex digits")
    if not message.body:
        raise ValueError("no description")
    patience = _figure(headers["x-patience"], 0, 86_400_000)
    if routed:
        return SetUpParams(
            message.call_id, headers["subject"], number, int(number, 16), -1, 1, now + patience * MS,
            message.body, redialled="x-retry" in headers, district=headers.get("x-district", ""),
        )  # fmt: skip
    facts = dict(part.split(":", 1) for part in headers["x-facts"].split(";") if ":" in part)
    if "dest" not in facts:
        raise ValueError("no dest among the facts")
    return SetUpParams(
        message.call_id, headers["subject"], number, int(number, 16), _figure(facts["dest"], 0, 1 << 20),
        _figure(facts.get("width", "1"), 1, 1024), now + patience * MS, message.body,
        facts.get("transit") == "1", "x-retry" in headers, facts.get("again") == "1",
        _figure(facts.get("via", "-1"), -1, 1 << 20),
    )  # fmt: skip
