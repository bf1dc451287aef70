"""M3UA (RFC 4666) messages over TCP: header, padded TLV parameters, protocol data. No I/O.

RFC 4666 runs over SCTP. TCP keeps no message boundaries, so the length in the header delimits the messages.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import IntEnum

VERSION = 1
MAX_MESSAGE_SIZE = 16 * 1024
HEADER = struct.Struct(">BBBBI")
TLV = struct.Struct(">HH")
PROTOCOL_DATA_HEAD = struct.Struct(">IIBBBB")
SI_ISUP = 5  # service indicator of ISUP
TRAFFIC_OVERRIDE, TRAFFIC_LOADSHARE, TRAFFIC_BROADCAST = 1, 2, 3


class MessageType(IntEnum):
    """Message class and type as one number: class << 8 | type."""

    ERR = 0x0000
    NTFY = 0x0001
    DATA = 0x0101
    DUNA = 0x0201
    DAVA = 0x0202
    DAUD = 0x0203
    SCON = 0x0204
    DUPU = 0x0205
    DRST = 0x0206
    ASPUP = 0x0301
    ASPDN = 0x0302
    BEAT = 0x0303
    ASPUP_ACK = 0x0304
    ASPDN_ACK = 0x0305
    BEAT_ACK = 0x0306
    ASPAC = 0x0401
    ASPIA = 0x0402
    ASPAC_ACK = 0x0403
    ASPIA_ACK = 0x0404


class ParameterTag(IntEnum):
    INFO = 0x0004
    ROUTING_CONTEXT = 0x0006
    DIAGNOSTIC = 0x0007
    HEARTBEAT = 0x0009
    TRAFFIC_MODE = 0x000B
    ERROR_CODE = 0x000C
    STATUS = 0x000D
    ASP_IDENTIFIER = 0x0011
    NETWORK_APPEARANCE = 0x0200
    PROTOCOL_DATA = 0x0210


class ErrorCode(IntEnum):
    """Error codes of RFC 4666, 3.8.1, that are sent."""

    INVALID_VERSION = 0x01
    UNSUPPORTED_CLASS = 0x03
    UNSUPPORTED_TYPE = 0x04
    UNSUPPORTED_MODE = 0x05
    UNEXPECTED_MESSAGE = 0x06
    PROTOCOL_ERROR = 0x07
    PARAMETER_FIELD = 0x12
    INVALID_APPEARANCE = 0x15
    MISSING_PARAMETER = 0x16
    INVALID_CONTEXT = 0x19


class M3uaError(Exception):
    """A message that is rejected; ``fatal`` if the messages after it cannot be delimited.

    The text goes to the peer as the diagnostic information of an error message.
    """

    def __init__(self, code: ErrorCode, diagnostic: str, fatal: bool) -> None:
        super().__init__(diagnostic)
        self.code, self.fatal = code, fatal


@dataclass(slots=True)
class Message:
    """A message with its parameters by tag."""

    message_type: MessageType
    parameters: dict[int, bytes] = field(default_factory=dict)  # the first one of each tag

    def uint32(self, tag: ParameterTag) -> int | None:
        """Return a parameter as a 32-bit number; ``None`` if it is absent or too short."""
        value = self.parameters.get(tag)
        return int.from_bytes(value[:4], "big") if value is not None and len(value) >= 4 else None


@dataclass(frozen=True, slots=True)
class ProtocolData:
    """The MTP3 routing label and the message of the user part."""

    opc: int
    dpc: int
    user_data: bytes
    service_indicator: int = SI_ISUP
    network_indicator: int = 0
    priority: int = 0
    sls: int = 0


class M3uaParser:
    """Incremental parser: takes bytes as they arrive and returns complete messages."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def pending(self) -> bool:
        """Whether the start of an incomplete message is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[Message | M3uaError]:
        """Return the complete messages, with an error in place of an invalid one; a fatal error is last."""
        self._buffer += data
        messages: list[Message | M3uaError] = []
        while len(self._buffer) >= HEADER.size:
            version, _, message_class, message_type, length = HEADER.unpack_from(self._buffer)
            if version != VERSION:
                messages.append(M3uaError(ErrorCode.INVALID_VERSION, f"version {version}", True))
                break
            if length < HEADER.size or length > MAX_MESSAGE_SIZE or length % 4:
                messages.append(M3uaError(ErrorCode.PROTOCOL_ERROR, f"length {length}", True))
                break
            if len(self._buffer) < length:
                break
            frame = bytes(self._buffer[:length])
            del self._buffer[:length]
            messages.append(_decode_frame(message_class, message_type, frame))
        return messages


def _decode_frame(message_class: int, message_type: int, frame: bytes) -> Message | M3uaError:
    try:
        message = Message(MessageType(message_class << 8 | message_type))
    except ValueError:
        known = any(known_type >> 8 == message_class for known_type in MessageType)
        code = ErrorCode.UNSUPPORTED_TYPE if known else ErrorCode.UNSUPPORTED_CLASS
        return M3uaError(code, f"class {message_class} type {message_type}", False)
    offset = HEADER.size
    while offset < len(frame):
        if offset + TLV.size > len(frame):
            return M3uaError(ErrorCode.PARAMETER_FIELD, "half a parameter", False)
        tag, length = TLV.unpack_from(frame, offset)
        if length < TLV.size or offset + length > len(frame):
            return M3uaError(ErrorCode.PARAMETER_FIELD, f"parameter {tag:#x} runs past the end", False)
        message.parameters.setdefault(tag, frame[offset + TLV.size : offset + length])
        offset += -(-length // 4) * 4  # the length does not include the padding
    return message


def encode(message: Message) -> bytes:
    body = b"".join(
        TLV.pack(tag, TLV.size + len(value)) + value + bytes(-len(value) % 4)
        for tag, value in message.parameters.items()
    )
    return (
        HEADER.pack(
            VERSION, 0, message.message_type >> 8, message.message_type & 0xFF, HEADER.size + len(body)
        )
        + body
    )


def encode_uint32(value: int) -> bytes:
    return value.to_bytes(4, "big")


def encode_error(code: ErrorCode, diagnostic: str = "") -> bytes:
    parameters = {int(ParameterTag.ERROR_CODE): encode_uint32(code)}
    if diagnostic:
        parameters[ParameterTag.DIAGNOSTIC] = diagnostic.encode()[:128]
    return encode(Message(MessageType.ERR, parameters))


def encode_data(
    label: ProtocolData, routing_context: int | None = None, network_appearance: int | None = None
) -> bytes:
    parameters: dict[int, bytes] = {}
    if network_appearance is not None:
        parameters[ParameterTag.NETWORK_APPEARANCE] = encode_uint32(network_appearance)
    if routing_context is not None:
        parameters[ParameterTag.ROUTING_CONTEXT] = encode_uint32(routing_context)
    head = PROTOCOL_DATA_HEAD.pack(
        label.opc, label.dpc, label.service_indicator, label.network_indicator, label.priority, label.sls
    )
    parameters[ParameterTag.PROTOCOL_DATA] = head + label.user_data
    return encode(Message(MessageType.DATA, parameters))


def decode_data(message: Message) -> ProtocolData:
    value = message.parameters.get(ParameterTag.PROTOCOL_DATA)
    if value is None:
        raise M3uaError(ErrorCode.MISSING_PARAMETER, "no protocol data", False)
    if len(value) < PROTOCOL_DATA_HEAD.size:
        raise M3uaError(ErrorCode.PARAMETER_FIELD, "protocol data without a label", False)
    opc, dpc, service_indicator, network_indicator, priority, sls = PROTOCOL_DATA_HEAD.unpack_from(value)
    return ProtocolData(
        opc, dpc, value[PROTOCOL_DATA_HEAD.size :], service_indicator, network_indicator, priority, sls
    )
