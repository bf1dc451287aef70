"""One M3UA association on a TCP connection, in either role: handshake, heartbeat, errors, DATA."""

from __future__ import annotations

import errno
from dataclasses import dataclass
from typing import Protocol

from loguru import logger

from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer
from arrowrail.wire.bad_input import MessageTimeout, RateLimitedWarning
from arrowrail.wire.m3ua import isup
from arrowrail.wire.m3ua import messages as m3ua
from arrowrail.wire.m3ua.isup import IsupError, IsupMessage
from arrowrail.wire.m3ua.messages import (
    ErrorCode,
    M3uaError,
    Message,
    MessageType,
    ParameterTag,
    ProtocolData,
)
from arrowrail.wire.stream import Stream

DOWN, INACTIVE, ACTIVE = "down", "inactive", "active"
HANDSHAKE_NS = 2_000 * MS  # T(ack) of RFC 4666: an answer to ASPUP or ASPAC that takes longer won't come
MISSED_BEATS = 2
BEAT_ANSWER_NS = 2_500 * MS  # an answer to a heartbeat that was sent out of turn takes no longer
UNFINISHED_NS = 2_000 * MS  # a message has 16 KiB at most
AFFECTED_POINT_CODE = 0x0012


@dataclass(frozen=True, slots=True)
class M3uaSettings:
    point_code: int  # our own
    routing_context: int | None
    network_appearance: int | None
    heartbeat_ns: int


class User(Protocol):
    def active(self, link: Association) -> None:
        """Traffic may flow."""

    def isup(self, link: Association, label: ProtocolData, message: IsupMessage) -> None: ...
    def lost(self, link: Association, why: OSError | None) -> None: ...


class Association:
    def __init__(self, loop: Loop, settings: M3uaSettings, user: User, asks: bool) -> None:
        self.loop, self.settings, self.user = loop, settings, user
        self.asks = asks  # we are the side that connects and sends ASPUP
        self.state = DOWN
        self.stream: Stream | None = None
        self.handle = 0  # the front's slot
        self._parser = m3ua.M3uaParser()
        self._handshake: Timer | None = None
        self._checking: Timer | None = None
        self._beat: Timer | None = None
        self._heard_at = loop.now
        self.bad = RateLimitedWarning(loop)
        self._unfinished = MessageTimeout(loop, UNFINISHED_NS, self._stalled)

    # --- The connection ---------------------------------------------------------------------------------

    def connected(self) -> None:
        self._heard_at = self.loop.now
        self._beat = self.loop.timers.schedule(self.loop.now + self.settings.heartbeat_ns, self._heartbeat)
        if self.asks:
            self._ask(MessageType.ASPUP)
        else:
            self._unfinished.update(True, False)  # a peer that says nothing must not keep its place

    def received(self, data: bytes) -> None:
        self._heard_at = self.loop.now
        messages = self._parser.feed(data)
        self._unfinished.update(self._parser.pending, bool(messages))
        for found in messages:
            try:
                if isinstance(found, M3uaError):
                    raise found
                self._message(found)
            except M3uaError as wrong:
                self.bad.record(f"M3UA: {wrong}")
                self._send(m3ua.encode_error(wrong.code, str(wrong)))
                if wrong.fatal and self.stream is not None:
                    self.stream.close_gracefully()
                    self.lost(OSError(errno.EPROTO, str(wrong)))
                    return
            if self.stream is None or not self.stream.open:
                return

    def _stalled(self) -> None:
        """Guards against half a message holding all that follows it, however its bytes trickle in."""
        if self.stream is not None:
            self.stream.fail(OSError(errno.ETIMEDOUT, "stopped in the middle of a message"))

    def lost(self, why: OSError | None) -> None:
        self.state = DOWN
        self._unfinished.cancel()
        for deadline in (self._handshake, self._beat, self._checking):
            if deadline is not None:
                deadline.cancel()
        self.user.lost(self, why)

    def close(self) -> None:
        """Say goodbye in good order, where there is somebody to hear it."""
        stream = self.stream
        if stream is not None:
            if self.asks and self.state != DOWN:
                self._send(m3ua.encode(Message(MessageType.ASPDN)))
            stream.close_gracefully()
        self.state = DOWN
        self._unfinished.cancel()
        for deadline in (self._handshake, self._beat, self._checking):
            if deadline is not None:
                deadline.cancel()

    def send_isup(self, dpc: int, message: IsupMessage, tag: object = None) -> None:
        label = ProtocolData(self.settings.point_code, dpc, isup.encode(message), sls=message.cic & 0xF)
        self._send(
            m3ua.encode_data(label, self.settings.routing_context, self.settings.network_appearance), tag
        )

    def _send(self, data: bytes, tag: object = None) -> None:
        if self.stream is not None:
            self.stream.send(data, tag)

    @property
    def heard_ns(self) -> int:
        """When the peer last said anything."""
        return self._heard_at

    def check(self) -> None:
        """A heartbeat out of turn; a peer that leaves it unanswered is given up."""
        if self._checking is not None or self.state == DOWN:
            return
        self._beat_now()
        sent = self.loop.now
        self._checking = self.loop.timers.schedule(sent + BEAT_ANSWER_NS, lambda: self._checked(sent))

    def _checked(self, sent_ns: int) -> None:
        self._checking = None
        if self._heard_at < sent_ns and self.stream is not None:
            self.stream.fail(OSError(errno.ETIMEDOUT, "no answer to a heartbeat"))

    def _beat_now(self) -> None:
        beat = {int(ParameterTag.HEARTBEAT): self.loop.now.to_bytes(8, "big")}
        self._send(m3ua.encode(Message(MessageType.BEAT, beat)))

    def _heartbeat(self) -> None:
        """Guards against a peer that vanished, or stalls in the middle of a message, being trusted on."""
        quiet = self.loop.now - self._heard_at
        if quiet > MISSED_BEATS * self.settings.heartbeat_ns:
            if self.stream is not None:
                self.stream.fail(OSError(errno.ETIMEDOUT, "no heartbeat"))
            return
        if self.state != DOWN:
            self._beat_now()
        self._beat = self.loop.timers.schedule(self.loop.now + self.settings.heartbeat_ns, self._heartbeat)

    # --- The handshake ----------------------------------------------------------------------------------

    def _ask(self, message_type: MessageType) -> None:
        parameters = {}
        if message_type == MessageType.ASPAC:
            parameters[int(ParameterTag.TRAFFIC_MODE)] = m3ua.encode_uint32(m3ua.TRAFFIC_LOADSHARE)
            parameters |= self._context()
        self._send(m3ua.encode(Message(message_type, parameters)))
        if self._handshake is not None:
            self._handshake.cancel()
        late = OSError(errno.ETIMEDOUT, f"no answer to {message_type.name}")
        stream = self.stream
        self._handshake = self.loop.timers.schedule(
            self.loop.now + HANDSHAKE_NS, lambda: stream.fail(late) if stream is not None else None
        )

    def _context(self) -> dict[int, bytes]:
        context = self.settings.routing_context
        return {int(ParameterTag.ROUTING_CONTEXT): m3ua.encode_uint32(context)} if context is not None else {}

    def _check(self, message: Message) -> None:
        context, appearance = (
            message.uint32(ParameterTag.ROUTING_CONTEXT),
            message.uint32(ParameterTag.NETWORK_APPEARANCE),
        )
        if context is not None and context != self.settings.routing_context:
            raise M3uaError(ErrorCode.INVALID_CONTEXT, f"routing context {context}", False)
        if appearance is not None and appearance != self.settings.network_appearance:
            raise M3uaError(ErrorCode.INVALID_APPEARANCE, f"network appearance {appearance}", False)

    def _activate(self) -> None:
        self.state = ACTIVE
        self.user.active(self)

    def _message(self, message: Message) -> None:
        message_type = message.message_type
        if message_type == MessageType.DATA:
            self._data(message)
        elif message_type == MessageType.BEAT:
            self._send(m3ua.encode(Message(MessageType.BEAT_ACK, message.parameters)))
        elif message_type == MessageType.ERR:
            logger.warning("M3UA: peer reports error {}", message.uint32(ParameterTag.ERROR_CODE))
        elif self.asks:
            self._answered(message_type)
        else:
            self._asked(message_type, message)

    def _answered(self, message_type: MessageType) -> None:
        if message_type == MessageType.ASPUP_ACK and self.state == DOWN:
            self.state = INACTIVE
            self._ask(MessageType.ASPAC)
        elif message_type == MessageType.ASPAC_ACK and self.state == INACTIVE:
            if self._handshake is not None:
                self._handshake.cancel()
            self._activate()
        elif message_type in (MessageType.ASPIA_ACK, MessageType.ASPDN_ACK) and self.stream is not None:
            self.stream.fail(OSError(errno.ECONNABORTED, "put out of service by the peer"))

    def _asked(self, message_type: MessageType, message: Message) -> None:
        if message_type == MessageType.ASPUP:
            self.state = INACTIVE
            self._send(m3ua.encode(Message(MessageType.ASPUP_ACK)))
        elif message_type == MessageType.ASPDN:
            self.state = DOWN
            self._send(m3ua.encode(Message(MessageType.ASPDN_ACK)))
        elif message_type in (MessageType.ASPAC, MessageType.ASPIA):
            if self.state == DOWN:
                raise M3uaError(ErrorCode.UNEXPECTED_MESSAGE, f"{message_type.name} before ASPUP", False)
            self._check(message)
            mode = message.uint32(ParameterTag.TRAFFIC_MODE)
            if mode not in (None, m3ua.TRAFFIC_OVERRIDE, m3ua.TRAFFIC_LOADSHARE):
                raise M3uaError(ErrorCode.UNSUPPORTED_MODE, f"traffic mode {mode}", False)
            if message_type == MessageType.ASPIA:
                self.state = INACTIVE
                self._send(m3ua.encode(Message(MessageType.ASPIA_ACK, self._context())))
            else:
                self._send(m3ua.encode(Message(MessageType.ASPAC_ACK, self._context())))
                self._activate()

    def _data(self, message: Message) -> None:
        if self.state != ACTIVE:
            raise M3uaError(ErrorCode.UNEXPECTED_MESSAGE, f"DATA while {self.state}", False)
        self._check(message)
        label = m3ua.decode_data(message)
        if label.dpc != self.settings.point_code:
            affected = {AFFECTED_POINT_CODE: m3ua.encode_uint32(label.dpc)}
            self._send(m3ua.encode(Message(MessageType.DUNA, affected)))
            return
        if label.service_indicator != m3ua.SI_ISUP:
            raise M3uaError(ErrorCode.PROTOCOL_ERROR, f"service indicator {label.service_indicator}", False)
        try:
            decoded = isup.decode(label.user_data)
        except IsupError as wrong:
            raise M3uaError(ErrorCode.PROTOCOL_ERROR, f"ISUP: {wrong}", False) from wrong
        if decoded is not None:
            self.user.isup(self, label, decoded)
