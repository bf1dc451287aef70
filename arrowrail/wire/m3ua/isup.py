"""ISUP (ITU-T Q.763) messages of a basic call: IAM, ACM, ANM, REL, RLC, and RSC.  Bytes only.

The caller's description travels as user-to-user information in the IAM, the answering side's in the ANM.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from arrowrail.state.address import CALLED_NUMBER_DIGITS

CIC_MAX = 0xFFF
UUI_MAX = 255 - 1  # an optional parameter's length is one byte; the first of its bytes is the discriminator
CALLED_NUMBER, CAUSE, CONGESTION, UUI, END = 0x04, 0x12, 0x27, 0x20, 0x00
UUI_DISCRIMINATOR = 0x04  # of the "IA5 characters" kind (Q.931, 4.5.30)
CATEGORY_ORDINARY, CATEGORY_PRIORITY = 0x0A, 0x0B
TMR_SPEECH = 0x00


class IsupMessageType(IntEnum):
    IAM = 0x01
    ACM = 0x06
    ANM = 0x09
    REL = 0x0C
    RLC = 0x10
    RSC = 0x12


class IsupError(Exception):
    """User data that is no ISUP message."""


@dataclass(frozen=True, slots=True)
class IsupMessage:
    cic: int
    message_type: int
    category: int = CATEGORY_ORDINARY  # calling party's category (IAM)
    requirement: int = TMR_SPEECH  # transmission medium requirement (IAM)
    called_number: str = ""  # called party number (IAM)
    cause: int = 0  # Q.850 cause value (REL)
    congestion: int = 0  # automatic congestion level (REL): 1 or 2 asks the other side to hold off
    uui: bytes = b""  # user-to-user information (IAM, ANM)


FIXED = {
    IsupMessageType.IAM: 5,
    IsupMessageType.ACM: 2,
    IsupMessageType.ANM: 0,
    IsupMessageType.REL: 0,
    IsupMessageType.RLC: 0,
    IsupMessageType.RSC: 0,
}
VARIABLE = {IsupMessageType.IAM: 1, IsupMessageType.REL: 1}


def decode(user: bytes) -> IsupMessage | None:
    """The message, or ``None`` for a type that plays no part in a basic call."""
    if len(user) < 3:
        raise IsupError("shorter than a CIC and a type")
    cic = int.from_bytes(user[:2], "little") & CIC_MAX
    try:
        message_type = IsupMessageType(user[2])
    except ValueError:
        return None
    at = 3 + FIXED[message_type]
    fixed = user[3:at]
    if len(fixed) < FIXED[message_type]:
        raise IsupError("mandatory part cut short")
    variable = b""
    if message_type in VARIABLE:
        variable = _variable(user, at)
        at += 1
    optional = _optional(user, at)
    congestion = optional.get(CONGESTION, b"\0")
    uui = optional.get(UUI, b"")[1:]
    called_number, cause = "", 0
    if message_type == IsupMessageType.IAM:
        called_number = _read_number(variable)
    elif message_type == IsupMessageType.REL:
        if len(variable) < 2:
            raise IsupError("cause indicators cut short")
        cause = variable[1 if variable[0] & 0x80 else 2 :][0] & 0x7F if len(variable) > 1 else 0
    return IsupMessage(
        cic, message_type, fixed[3] if message_type == IsupMessageType.IAM else 0,
        fixed[4] if message_type == IsupMessageType.IAM else 0, called_number, cause,
        congestion[0] if congestion else 0, uui,
    )  # fmt: skip


def _variable(user: bytes, at: int) -> bytes:
    """What a mandatory variable parameter's pointer at ``at`` leads to."""
    if at >= len(user) or user[at] == 0:
        raise IsupError("no pointer to a mandatory parameter")
    start = at + user[at]
    if start >= len(user) or start + 1 + user[start] > len(user):
        raise IsupError("a mandatory parameter runs past the end")
    return user[start + 1 : start + 1 + user[start]]


def _optional(user: bytes, at: int) -> dict[int, bytes]:
    if at >= len(user) or user[at] == 0:
        return {}
    found: dict[int, bytes] = {}
    at += user[at]
    while at < len(user) and user[at] != END:
        if at + 2 > len(user) or at + 2 + user[at + 1] > len(user):
            raise IsupError("an optional parameter runs past the end")
        found.setdefault(user[at], user[at + 2 : at + 2 + user[at + 1]])
        at += 2 + user[at + 1]
    return found


def _read_number(value: bytes) -> str:
    if len(value) < 2:
        raise IsupError("called number cut short")
    digits = "".join(f"{b & 0xF:X}{b >> 4:X}" for b in value[2:])
    if value[0] & 0x80:  # odd number of digits: the last half byte is filler
        digits = digits[:-1]
    return digits.rstrip("F")  # F: end of pulsing, no digit


def encode(m: IsupMessage) -> bytes:
    optional = b""
    if m.congestion:
        optional += bytes((CONGESTION, 1, m.congestion))
    if m.uui:
        if len(m.uui) > UUI_MAX:
            raise IsupError(f"user-to-user information of {len(m.uui)} bytes")
        optional += bytes((UUI, len(m.uui) + 1, UUI_DISCRIMINATOR)) + m.uui
    optional += bytes((END,)) if optional else b""
    head = m.cic.to_bytes(2, "little") + bytes((m.message_type,))
    if m.message_type == IsupMessageType.IAM:
        # One satellite-free path, ISDN access asked for end to end: nothing here turns on these.
        head += bytes((0x00, 0x60, 0x01, m.category, m.requirement))
        return head + _parts(_write_number(m.called_number), optional)
    if m.message_type == IsupMessageType.REL:
        return head + _parts(bytes((0x80, 0x80 | m.cause)), optional)
    if m.message_type == IsupMessageType.RSC:
        return head  # it has no parameters, not even a pointer
    if m.message_type == IsupMessageType.ACM:
        head += bytes((0x16, 0x14))  # charge, subscriber free, ordinary
    return head + bytes((1 if optional else 0,)) + optional


def _parts(variable: bytes, optional: bytes) -> bytes:
    """Pointers, the one mandatory variable parameter, the optional part."""
    to_optional = 1 + 1 + len(variable) if optional else 0
    return bytes((2, to_optional, len(variable))) + variable + optional


def _write_number(digits: str) -> bytes:
    if any(d not in CALLED_NUMBER_DIGITS for d in digits) or not digits:
        raise IsupError(f"number {digits!r}")
    odd = len(digits) % 2
    padded = digits + "0" * odd
    packed = bytes(int(padded[n + 1], 16) << 4 | int(padded[n], 16) for n in range(0, len(padded), 2))
    return bytes((odd << 7 | 0x03, 0x10)) + packed  # national number, ISDN numbering plan
