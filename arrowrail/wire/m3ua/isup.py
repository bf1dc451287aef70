"""ISUP (ITU-T Q.763) messages of a basic call: IAM, ACM, ANM, REL, RLC and RSC. No I/O.

User-to-user information carries the session description of the caller in the IAM, that of the called side in
the ANM.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from arrowrail.state.address import CALLED_NUMBER_DIGITS

CIC_MASK = 0xFFF
# The length of an optional parameter is one byte; the first byte of its value is the protocol discriminator.
MAX_UUI_LENGTH = 255 - 1
# Parameter codes of Q.763.
CALLED_NUMBER, CAUSE, CONGESTION, UUI, END = 0x04, 0x12, 0x27, 0x20, 0x00
UUI_DISCRIMINATOR = 0x04  # IA5 characters (Q.931, 4.5.30)
CATEGORY_ORDINARY, CATEGORY_PRIORITY = 0x0A, 0x0B
TMR_SPEECH = 0x00  # transmission medium requirement


class IsupMessageType(IntEnum):
    """Message type codes of Q.763."""

    IAM = 0x01
    ACM = 0x06
    ANM = 0x09
    REL = 0x0C
    RLC = 0x10
    RSC = 0x12


class IsupError(Exception):
    """Invalid ISUP message. Its text may go to the peer in an M3UA error message."""


@dataclass(frozen=True, slots=True)
class IsupMessage:
    """A message of a basic call; parameters that its type does not have are not encoded."""

    cic: int
    message_type: int
    category: int = CATEGORY_ORDINARY  # calling party's category (IAM)
    requirement: int = TMR_SPEECH  # transmission medium requirement (IAM)
    called_number: str = ""  # called party number (IAM)
    cause: int = 0  # Q.850 cause value (REL)
    congestion: int = 0  # automatic congestion level (REL): 1 or 2 asks the peer to reduce its traffic
    uui: bytes = b""  # user-to-user information (IAM, ANM)


# Length of the mandatory fixed part, and number of mandatory variable parameters.
FIXED_PART_LENGTH = {
    IsupMessageType.IAM: 5,
    IsupMessageType.ACM: 2,
    IsupMessageType.ANM: 0,
    IsupMessageType.REL: 0,
    IsupMessageType.RLC: 0,
    IsupMessageType.RSC: 0,
}
VARIABLE_PARAMETERS = {IsupMessageType.IAM: 1, IsupMessageType.REL: 1}


def decode(data: bytes) -> IsupMessage | None:
    """Decode a message; ``None`` for a type that is not part of a basic call."""
    if len(data) < 3:
        raise IsupError("shorter than a CIC and a type")
    cic = int.from_bytes(data[:2], "little") & CIC_MASK
    try:
        message_type = IsupMessageType(data[2])
    except ValueError:
        return None
    offset = 3 + FIXED_PART_LENGTH[message_type]
    fixed = data[3:offset]
    if len(fixed) < FIXED_PART_LENGTH[message_type]:
        raise IsupError("mandatory part cut short")
    variable = b""
    if message_type in VARIABLE_PARAMETERS:
        variable = _variable_parameter(data, offset)
        offset += 1
    optional = _optional_parameters(data, offset)
    congestion = optional.get(CONGESTION, b"\0")
    uui = optional.get(UUI, b"")[1:]
    called_number, cause = "", 0
    if message_type == IsupMessageType.IAM:
        called_number = _decode_number(variable)
    elif message_type == IsupMessageType.REL:
        if len(variable) < 2:
            raise IsupError("cause indicators cut short")
        cause = variable[1 if variable[0] & 0x80 else 2 :][0] & 0x7F if len(variable) > 1 else 0
    return IsupMessage(
        cic, message_type, fixed[3] if message_type == IsupMessageType.IAM else 0,
        fixed[4] if message_type == IsupMessageType.IAM else 0, called_number, cause,
        congestion[0] if congestion else 0, uui,
    )  # fmt: skip


def _variable_parameter(data: bytes, offset: int) -> bytes:
    """Return the mandatory variable parameter whose pointer is at ``offset``."""
    if offset >= len(data) or data[offset] == 0:
        raise IsupError("no pointer to a mandatory parameter")
    start = offset + data[offset]
    if start >= len(data) or start + 1 + data[start] > len(data):
        raise IsupError("a mandatory parameter runs past the end")
    return data[start + 1 : start + 1 + data[start]]


def _optional_parameters(data: bytes, offset: int) -> dict[int, bytes]:
    """Return the optional parameters by code; their pointer is at ``offset``."""
    if offset >= len(data) or data[offset] == 0:
        return {}
    parameters: dict[int, bytes] = {}
    offset += data[offset]
    while offset < len(data) and data[offset] != END:
        if offset + 2 > len(data) or offset + 2 + data[offset + 1] > len(data):
            raise IsupError("an optional parameter runs past the end")
        parameters.setdefault(data[offset], data[offset + 2 : offset + 2 + data[offset + 1]])
        offset += 2 + data[offset + 1]
    return parameters


def _decode_number(value: bytes) -> str:
    if len(value) < 2:
        raise IsupError("called number cut short")
    digits = "".join(f"{byte & 0xF:X}{byte >> 4:X}" for byte in value[2:])
    if value[0] & 0x80:  # odd number of digits: the last half byte is padding
        digits = digits[:-1]
    return digits.rstrip("F")  # F: end of pulsing (ST), not a digit


def encode(message: IsupMessage) -> bytes:
    optional = b""
    if message.congestion:
        optional += bytes((CONGESTION, 1, message.congestion))
    if message.uui:
        if len(message.uui) > MAX_UUI_LENGTH:
            raise IsupError(f"user-to-user information is too long: {len(message.uui)} bytes")
        optional += bytes((UUI, len(message.uui) + 1, UUI_DISCRIMINATOR)) + message.uui
    optional += bytes((END,)) if optional else b""
    head = message.cic.to_bytes(2, "little") + bytes((message.message_type,))
    if message.message_type == IsupMessageType.IAM:
        # Indicators: no satellite link, ISDN access, ISUP end to end. Nothing here depends on them.
        head += bytes((0x00, 0x60, 0x01, message.category, message.requirement))
        return head + _variable_and_optional_part(_encode_number(message.called_number), optional)
    if message.message_type == IsupMessageType.REL:
        return head + _variable_and_optional_part(bytes((0x80, 0x80 | message.cause)), optional)
    if message.message_type == IsupMessageType.RSC:
        return head  # RSC has no parameters and no pointer
    if message.message_type == IsupMessageType.ACM:
        head += bytes((0x16, 0x14))  # backward call indicators: charge, subscriber free, ordinary subscriber
    return head + bytes((1 if optional else 0,)) + optional


def _variable_and_optional_part(variable: bytes, optional: bytes) -> bytes:
    """Encode the pointers, the one mandatory variable parameter and the optional part."""
    optional_pointer = 1 + 1 + len(variable) if optional else 0
    return bytes((2, optional_pointer, len(variable))) + variable + optional


def _encode_number(digits: str) -> bytes:
    if any(digit not in CALLED_NUMBER_DIGITS for digit in digits) or not digits:
        raise IsupError(f"invalid called number {digits!r}")
    odd = len(digits) % 2
    padded = digits + "0" * odd
    packed = bytes(
        int(padded[index + 1], 16) << 4 | int(padded[index], 16) for index in range(0, len(padded), 2)
    )
    return bytes((odd << 7 | 0x03, 0x10)) + packed  # national number, ISDN numbering plan
