"""An M3UA association on a TCP connection, as ASP or as its peer: handshake, heartbeat, errors, DATA."""

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
HANDSHAKE_TIMEOUT_NS = 2_000 * MS  # T(ack) of RFC 4666: wait for the acknowledgement of ASPUP or ASPAC
MAX_MISSED_HEARTBEATS = 2
CHECK_TIMEOUT_NS = 2_500 * MS  # the answer to an extra heartbeat takes no longer
MESSAGE_TIMEOUT_NS = 2_000 * MS  # for the rest of a message, which has 16 KiB at most
AFFECTED_POINT_CODE = 0x0012  # parameter tag, in DUNA


@dataclass(frozen=True, slots=True)
class M3uaSettings:
    """The settings that all associations share."""

    point_code: int  # this controller's own
    routing_context: int | None
    network_appearance: int | None
    heartbeat_interval_ns: int


class AssociationHandler(Protocol):
    """Receives the ISUP messages and the state changes of an association."""

    def association_active(self, association: Association) -> None:
        """The handshake is complete; DATA messages may be sent."""

    def isup_received(self, association: Association, label: ProtocolData, message: IsupMessage) -> None: ...
    def association_lost(self, association: Association, error: OSError | None) -> None: ...


class Association:
    """One association, from the opening of its connection to its end."""

    def __init__(self, loop: Loop, settings: M3uaSettings, handler: AssociationHandler, is_asp: bool) -> None:
        self.loop, self.settings, self.handler = loop, settings, handler
        self.is_asp = is_asp  # whether this side connects and sends ASPUP
        self.state = DOWN
        self.stream: Stream | None = None
        self.handle = 0  # slot in the frontend's table
        self._parser = m3ua.M3uaParser()
        self._handshake_timer: Timer | None = None
        self._check_timer: Timer | None = None
        self._heartbeat_timer: Timer | None = None
        self.opened_ns = 0  # when the connection came up
        self._last_received_ns = loop.now
        self.protocol_error_warning = RateLimitedWarning(loop)
        self._message_timeout = MessageTimeout(loop, MESSAGE_TIMEOUT_NS, self._on_message_timeout)

    # --- The connection ---------------------------------------------------------------------------------

    def connected(self) -> None:
        self.opened_ns = self._last_received_ns = self.loop.now
        self._heartbeat_timer = self.loop.timers.schedule(
            self.loop.now + self.settings.heartbeat_interval_ns, self._heartbeat_due
        )
        if self.is_asp:
            self._send_request(MessageType.ASPUP)
        else:
            self._message_timeout.update(True, False)  # a peer that sends nothing must not keep a connection

    def received(self, data: bytes) -> None:
        self._last_received_ns = self.loop.now
        messages = self._parser.feed(data)
        self._message_timeout.update(self._parser.pending, bool(messages))
        for message in messages:
            try:
                if isinstance(message, M3uaError):
                    raise message
                self._handle_message(message)
            except M3uaError as error:
                self.protocol_error_warning.record(f"M3UA: {error}")
                self._send(m3ua.encode_error(error.code, str(error)))
                if error.fatal and self.stream is not None:
                    self.stream.close_gracefully()
                    self.lost(OSError(errno.EPROTO, str(error)))
                    return
            if self.stream is None or not self.stream.open:
                return

    def _on_message_timeout(self) -> None:
        """Disconnect: an incomplete message would block all later ones, however slowly its bytes arrive."""
        if self.stream is not None:
            self.stream.fail(OSError(errno.ETIMEDOUT, "incomplete message"))

    def lost(self, error: OSError | None) -> None:
        self.state = DOWN
        self._message_timeout.cancel()
        for timer in (self._handshake_timer, self._heartbeat_timer, self._check_timer):
            if timer is not None:
                timer.cancel()
        self.handler.association_lost(self, error)

    def close(self) -> None:
        """Close gracefully; an ASP that is up sends ASPDN first."""
        stream = self.stream
        if stream is not None:
            if self.is_asp and self.state != DOWN:
                self._send(m3ua.encode(Message(MessageType.ASPDN)))
            stream.close_gracefully()
        self.state = DOWN
        self._message_timeout.cancel()
        for timer in (self._handshake_timer, self._heartbeat_timer, self._check_timer):
            if timer is not None:
                timer.cancel()

    def send_isup(self, dpc: int, message: IsupMessage, tag: object = None) -> None:
        label = ProtocolData(self.settings.point_code, dpc, isup.encode(message), sls=message.cic & 0xF)
        self._send(
            m3ua.encode_data(label, self.settings.routing_context, self.settings.network_appearance), tag
        )

    def _send(self, data: bytes, tag: object = None) -> None:
        if self.stream is not None:
            self.stream.send(data, tag)

    @property
    def last_received_ns(self) -> int:
        """When the last data came from the peer."""
        return self._last_received_ns

    def check_peer(self) -> None:
        """Send an extra heartbeat and disconnect if the peer sends nothing in time after it."""
        if self._check_timer is not None or self.state == DOWN:
            return
        self._send_heartbeat()
        sent_ns = self.loop.now
        self._check_timer = self.loop.timers.schedule(
            sent_ns + CHECK_TIMEOUT_NS, lambda: self._check_timed_out(sent_ns)
        )

    def _check_timed_out(self, sent_ns: int) -> None:
        self._check_timer = None
        if self._last_received_ns < sent_ns and self.stream is not None:
            self.stream.fail(OSError(errno.ETIMEDOUT, "no data after a heartbeat"))

    def _send_heartbeat(self) -> None:
        parameters = {int(ParameterTag.HEARTBEAT): self.loop.now.to_bytes(8, "big")}
        self._send(m3ua.encode(Message(MessageType.BEAT, parameters)))

    def _heartbeat_due(self) -> None:
        """Disconnect if the peer has vanished or stalled, otherwise send the next heartbeat."""
        silent_ns = self.loop.now - self._last_received_ns
        if silent_ns > MAX_MISSED_HEARTBEATS * self.settings.heartbeat_interval_ns:
            if self.stream is not None:
                self.stream.fail(OSError(errno.ETIMEDOUT, "no data within the heartbeat time"))
            return
        if self.state != DOWN:
            self._send_heartbeat()
        self._heartbeat_timer = self.loop.timers.schedule(
            self.loop.now + self.settings.heartbeat_interval_ns, self._heartbeat_due
        )

    # --- The handshake ----------------------------------------------------------------------------------

    def _send_request(self, message_type: MessageType) -> None:
        parameters = {}
        if message_type == MessageType.ASPAC:
            parameters[int(ParameterTag.TRAFFIC_MODE)] = m3ua.encode_uint32(m3ua.TRAFFIC_LOADSHARE)
            parameters |= self._routing_context()
        self._send(m3ua.encode(Message(message_type, parameters)))
        if self._handshake_timer is not None:
            self._handshake_timer.cancel()
        error = OSError(errno.ETIMEDOUT, f"no acknowledgement of {message_type.name}")
        stream = self.stream
        self._handshake_timer = self.loop.timers.schedule(
            self.loop.now + HANDSHAKE_TIMEOUT_NS, lambda: stream.fail(error) if stream is not None else None
        )

    def _routing_context(self) -> dict[int, bytes]:
        routing_context = self.settings.routing_context
        return (
            {int(ParameterTag.ROUTING_CONTEXT): m3ua.encode_uint32(routing_context)}
            if routing_context is not None
            else {}
        )

    def _check_addressing(self, message: Message) -> None:
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
        self.handler.association_active(self)

    def _handle_message(self, message: Message) -> None:
        message_type = message.message_type
        if message_type == MessageType.DATA:
            self._handle_data(message)
        elif message_type == MessageType.BEAT:
            self._send(m3ua.encode(Message(MessageType.BEAT_ACK, message.parameters)))
        elif message_type == MessageType.ERR:
            logger.warning("M3UA: peer reports error {}", message.uint32(ParameterTag.ERROR_CODE))
        elif self.is_asp:
            self._handle_ack(message_type)
        else:
            self._handle_request(message_type, message)

    def _handle_ack(self, message_type: MessageType) -> None:
        if message_type == MessageType.ASPUP_ACK and self.state == DOWN:
            self.state = INACTIVE
            self._send_request(MessageType.ASPAC)
        elif message_type == MessageType.ASPAC_ACK and self.state == INACTIVE:
            if self._handshake_timer is not None:
                self._handshake_timer.cancel()
            self._activate()
        elif message_type in (MessageType.ASPIA_ACK, MessageType.ASPDN_ACK) and self.stream is not None:
            self.stream.fail(OSError(errno.ECONNABORTED, "peer has taken the association out of service"))

    def _handle_request(self, message_type: MessageType, message: Message) -> None:
        if message_type == MessageType.ASPUP:
            self.state = INACTIVE
            self._send(m3ua.encode(Message(MessageType.ASPUP_ACK)))
        elif message_type == MessageType.ASPDN:
            self.state = DOWN
            self._send(m3ua.encode(Message(MessageType.ASPDN_ACK)))
        elif message_type in (MessageType.ASPAC, MessageType.ASPIA):
            if self.state == DOWN:
                raise M3uaError(ErrorCode.UNEXPECTED_MESSAGE, f"{message_type.name} before ASPUP", False)
            self._check_addressing(message)
            mode = message.uint32(ParameterTag.TRAFFIC_MODE)
            if mode not in (None, m3ua.TRAFFIC_OVERRIDE, m3ua.TRAFFIC_LOADSHARE):
                raise M3uaError(ErrorCode.UNSUPPORTED_MODE, f"traffic mode {mode}", False)
            if message_type == MessageType.ASPIA:
                self.state = INACTIVE
                self._send(m3ua.encode(Message(MessageType.ASPIA_ACK, self._routing_context())))
            else:
                self._send(m3ua.encode(Message(MessageType.ASPAC_ACK, self._routing_context())))
                self._activate()

    def _handle_data(self, message: Message) -> None:
        if self.state != ACTIVE:
            raise M3uaError(ErrorCode.UNEXPECTED_MESSAGE, f"DATA while {self.state}", False)
        self._check_addressing(message)
        label = m3ua.decode_data(message)
        if label.dpc != self.settings.point_code:
            affected = {AFFECTED_POINT_CODE: m3ua.encode_uint32(label.dpc)}
            self._send(m3ua.encode(Message(MessageType.DUNA, affected)))
            return
        if label.service_indicator != m3ua.SI_ISUP:
            raise M3uaError(ErrorCode.PROTOCOL_ERROR, f"service indicator {label.service_indicator}", False)
        try:
            decoded = isup.decode(label.user_data)
        except IsupError as error:
            raise M3uaError(ErrorCode.PROTOCOL_ERROR, f"ISUP: {error}", False) from error
        if decoded is not None:
            self.handler.isup_received(self, label, decoded)
