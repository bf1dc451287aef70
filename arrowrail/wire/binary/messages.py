"""Parser and encoder of the binary protocol's messages."""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAX_MESSAGE_SIZE = 16 * 1024
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_ACK, GROUP_STATE, PROBE, PROBE_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
(
    PARAM_CLASS, PARAM_TIMEOUT, PARAM_NUMBER, PARAM_REASON, PARAM_RETRY_AFTER, PARAM_GROUP, PARAM_CAUSE,
    PARAM_DESCRIPTION,
) = (
    129, 132, 141, 150, 153, 156, 171, 174,
)  # fmt: skip
MESSAGE_TYPES = (SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_ACK, GROUP_STATE, PROBE, PROBE_RESULT)
MAX_NUMBER = 10**9  # far above any time in milliseconds and any group size
HEADER = struct.Struct(">HBQ")  # length of the rest, message type, call id
PARAMETER_HEADER = struct.Struct(">BH")  # code, length of the value


class BinaryError(Exception):
    """The input is not a valid message; nothing after it on the connection can be parsed reliably."""


@dataclass(frozen=True, slots=True)
class BinaryMessage:
    """A message of any type; parameters that it does not carry have their defaults."""

    message_type: int
    call_id: int
    cause: int = 0
    class_name: str = ""
    number: str = ""
    timeout_ms: int = 0  # how long the controller waits for the answer
    reason: str = ""
    retry_after_ms: int = 0  # of a release because the processor is full
    free: float = -1.0  # free circuits of the trunk group
    size: float = -1.0  # circuits of the trunk group; below 0: not reported
    session_description: bytes = b""


class BinaryParser:
    """Incremental parser: takes bytes as they arrive and returns complete messages."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def pending(self) -> bool:
        """Whether the buffer holds an incomplete message."""
        return bool(self._buffer)

    @property
    def pending_hex(self) -> str:
        """The first 16 bytes of the incomplete message, for a log line."""
        return self._buffer[:16].hex()

    def feed(self, data: bytes) -> list[BinaryMessage]:
        """Return the complete messages; raise ``BinaryError`` at the first invalid one."""
        self._buffer += data
        messages = []
        while len(self._buffer) >= 2:
            length = int.from_bytes(self._buffer[:2], "big")
            if length < HEADER.size - 2 or length > MAX_MESSAGE_SIZE:
                raise BinaryError(f"message length {length} is out of range")
            if len(self._buffer) < 2 + length:
                break
            messages.append(decode(bytes(self._buffer[: 2 + length])))
            del self._buffer[: 2 + length]
        return messages


def decode(frame: bytes) -> BinaryMessage:
    _, message_type, call_id = HEADER.unpack_from(frame)
    if message_type not in MESSAGE_TYPES:
        # Guards against parsing on in a corrupt stream: what looks like a message there may not be one.
        raise BinaryError(f"unknown message type {message_type}")
    values: dict[int, bytes] = {}
    position = HEADER.size
    while position < len(frame):
        if position + PARAMETER_HEADER.size > len(frame):
            raise BinaryError("truncated parameter header")
        code, length = PARAMETER_HEADER.unpack_from(frame, position)
        position += PARAMETER_HEADER.size
        if position + length > len(frame):
            raise BinaryError(f"parameter {code} extends beyond the end of the message")
        values[code] = frame[position : position + length]
        position += length
    cause = values.get(PARAM_CAUSE, b"\0")
    if len(cause) != 1 or (message_type in (RELEASE, PROBE_RESULT) and PARAM_CAUSE not in values):
        raise BinaryError("cause is missing or not one byte long")
    if message_type == ANSWER and not values.get(PARAM_DESCRIPTION):
        raise BinaryError("answer without a session description")
    try:
        text = {
            code: values[code].decode()
            for code in (PARAM_CLASS, PARAM_NUMBER, PARAM_REASON, PARAM_GROUP)
            if code in values
        }
        free, size = _parse_group(text.get(PARAM_GROUP, ""))
        return BinaryMessage(
            message_type, call_id, cause[0], text.get(PARAM_CLASS, ""), text.get(PARAM_NUMBER, ""),
            _parse_number(values.get(PARAM_TIMEOUT, b"0")), text.get(PARAM_REASON, ""),
            _parse_number(values.get(PARAM_RETRY_AFTER, b"0")), free, size,
            values.get(PARAM_DESCRIPTION, b""),
        )  # fmt: skip
    except ValueError as error:
        raise BinaryError(f"invalid parameter value: {error}") from error


def _parse_number(text: bytes) -> int:
    if not text.isdigit() or int(text[:12]) > MAX_NUMBER:
        raise ValueError(f"invalid or out-of-range number {text[:20]!r}")
    return int(text)


def _parse_group(text: str) -> tuple[float, float]:
    pairs = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
    free, size = float(pairs.get("spare", -1)), float(pairs.get("total", -1))
    if not (-1 <= free <= MAX_NUMBER and -1 <= size <= MAX_NUMBER):  # rejects NaN as well
        raise ValueError(f"invalid trunk group state {text[:40]!r}")
    return free, size


def encode(message: BinaryMessage) -> bytes:
    parameters: list[tuple[int, bytes]] = []
    if message.message_type in (RELEASE, PROBE, PROBE_RESULT):
        parameters.append((PARAM_CAUSE, bytes((message.cause,))))
    if message.class_name:
        parameters.append((PARAM_CLASS, message.class_name.encode()))
    if message.timeout_ms:
        parameters.append((PARAM_TIMEOUT, str(message.timeout_ms).encode()))
    if message.number:
        parameters.append((PARAM_NUMBER, message.number.encode()))
    if message.reason:
        parameters.append((PARAM_REASON, message.reason.encode()))
    if message.retry_after_ms:
        parameters.append((PARAM_RETRY_AFTER, str(message.retry_after_ms).encode()))
    if message.size >= 0:
        parameters.append((PARAM_GROUP, f"spare:{message.free:g};total:{message.size:g}".encode()))
    if message.session_description:
        parameters.append((PARAM_DESCRIPTION, message.session_description))
    body = b"".join(PARAMETER_HEADER.pack(code, len(value)) + value for code, value in parameters)
    return HEADER.pack(HEADER.size - 2 + len(body), message.message_type, message.call_id) + body
