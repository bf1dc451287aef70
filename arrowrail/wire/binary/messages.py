"""The desk exchanges' binary messages: bytes to one small value and back."""

from __future__ import annotations

import struct
from dataclasses import dataclass

MAX_MESSAGE = 16 * 1024
SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_ACK, GROUP_STATE, PROBE, PROBE_RESULT = 1, 6, 9, 12, 16, 43, 52, 53
P_CLASS, P_WAIT, P_NUMBER, P_NOTE, P_TOLD_WAIT, P_GROUP, P_CAUSE, P_DESCRIPTION = (
    129, 132, 141, 150, 153, 156, 171, 174,
)  # fmt: skip
KINDS = (SET_UP, PROGRESS, ANSWER, RELEASE, RELEASE_ACK, GROUP_STATE, PROBE, PROBE_RESULT)
MAX_FIGURE = 10**9  # far above any wait in milliseconds, or any group
HEAD = struct.Struct(">HBQ")
PARAMETER = struct.Struct(">BH")


class BinaryError(Exception):
    """What came is no message: nothing behind it on the connection can be trusted."""


@dataclass(frozen=True, slots=True)
class BinaryMessage:
    kind: int
    call_id: int
    cause: int = 0
    class_name: str = ""
    number: str = ""
    timeout_ms: int = 0  # how long the controller will wait
    reason: str = ""
    retry_after_ms: int = 0  # at a full processor
    free: float = -1.0  # circuits of the group, in its state
    size: float = -1.0
    session_description: bytes = b""


class BinaryParser:
    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def pending(self) -> bool:
        """Whether a message has begun that is not whole yet."""
        return bool(self._buffer)

    @property
    def head(self) -> str:
        """How that message begins, for a log line."""
        return self._buffer[:16].hex()

    def feed(self, data: bytes) -> list[BinaryMessage]:
        """Whole messages so far; ``BinaryError`` on the first that is none."""
        self._buffer += data
        found = []
        while len(self._buffer) >= 2:
            length = int.from_bytes(self._buffer[:2], "big")
            if length < HEAD.size - 2 or length > MAX_MESSAGE:
                raise BinaryError(f"a message of {length} bytes")
            if len(self._buffer) < 2 + length:
                break
            found.append(decode(bytes(self._buffer[: 2 + length])))
            del self._buffer[: 2 + length]
        return found


def decode(frame: bytes) -> BinaryMessage:
    _, kind, call = HEAD.unpack_from(frame)
    if kind not in KINDS:
        # Guards against a spoilt stream being read on: what looks like a message in it may be none.
        raise BinaryError(f"a message of kind {kind}")
    values: dict[int, bytes] = {}
    at = HEAD.size
    while at < len(frame):
        if at + PARAMETER.size > len(frame):
            raise BinaryError("half a parameter")
        code, length = PARAMETER.unpack_from(frame, at)
        at += PARAMETER.size
        if at + length > len(frame):
            raise BinaryError(f"parameter {code} runs past the end")
        values[code] = frame[at : at + length]
        at += length
    cause = values.get(P_CAUSE, b"\0")
    if len(cause) != 1 or (kind in (RELEASE, PROBE_RESULT) and P_CAUSE not in values):
        raise BinaryError("no usable cause")
    if kind == ANSWER and not values.get(P_DESCRIPTION):
        raise BinaryError("an answer without a description")
    try:
        text = {
            code: values[code].decode() for code in (P_CLASS, P_NUMBER, P_NOTE, P_GROUP) if code in values
        }
        free, size = _group(text.get(P_GROUP, ""))
        return BinaryMessage(
            kind, call, cause[0], text.get(P_CLASS, ""), text.get(P_NUMBER, ""),
            _figure(values.get(P_WAIT, b"0")), text.get(P_NOTE, ""), _figure(values.get(P_TOLD_WAIT, b"0")),
            free, size,
            values.get(P_DESCRIPTION, b""),
        )  # fmt: skip
    except ValueError as wrong:
        raise BinaryError(f"a parameter makes no sense: {wrong}") from wrong


def _figure(text: bytes) -> int:
    if not text.isdigit() or int(text[:12]) > MAX_FIGURE:
        raise ValueError(f"figure {text[:20]!r}")
    return int(text)


def _group(text: str) -> tuple[float, float]:
    pairs = dict(part.split(":", 1) for part in text.split(";") if ":" in part)
    free, size = float(pairs.get("spare", -1)), float(pairs.get("total", -1))
    if not (-1 <= free <= MAX_FIGURE and -1 <= size <= MAX_FIGURE):  # nor is it NaN
        raise ValueError(f"group {text[:40]!r}")
    return free, size


def encode(m: BinaryMessage) -> bytes:
    parts: list[tuple[int, bytes]] = []
    if m.kind in (RELEASE, PROBE, PROBE_RESULT):
        parts.append((P_CAUSE, bytes((m.cause,))))
    if m.class_name:
        parts.append((P_CLASS, m.class_name.encode()))
    if m.timeout_ms:
        parts.append((P_WAIT, str(m.timeout_ms).encode()))
    if m.number:
        parts.append((P_NUMBER, m.number.encode()))
    if m.reason:
        parts.append((P_NOTE, m.reason.encode()))
    if m.retry_after_ms:
        parts.append((P_TOLD_WAIT, str(m.retry_after_ms).encode()))
    if m.size >= 0:
        parts.append((P_GROUP, f"spare:{m.free:g};total:{m.size:g}".encode()))
    if m.session_description:
        parts.append((P_DESCRIPTION, m.session_description))
    body = b"".join(PARAMETER.pack(code, len(value)) + value for code, value in parts)
    return HEAD.pack(HEAD.size - 2 + len(body), m.kind, m.call_id) + body
