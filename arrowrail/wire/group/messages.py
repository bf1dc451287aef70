"""Encoding of group messages: one datagram holds a header and a message as MessagePack, with an HMAC.

    version:1 key:1 hmac:16 payload

The HMAC covers everything else.  The payload's header names group, sender, receiver, the start time of the
sender's run and a sequence number that only grows.  During a key rotation the old key is accepted beside the
new one for as long as the configuration lists both.
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from typing import Any

import msgspec

from arrowrail.duties.probe_results import ProbeResult
from arrowrail.leases.batch import Batch
from arrowrail.leases.promise import AcquireRequest, Release, Reply
from arrowrail.membership.swim import Ack, Ping, PingRequest, Rumour, Sync

VERSION = 1
MAC_BYTES = 16  # the HMAC-SHA256 is truncated to this length
MAX_DATAGRAM = 1400  # fits into one Ethernet frame
MAX_TEXT_LENGTH = 128  # characters of a name or address
MESSAGE_TYPES: tuple[type[Any], ...] = (
    Ping,
    Ack,
    PingRequest,
    Sync,
    AcquireRequest,
    Reply,
    Release,
    ProbeResult,
    Batch,
)
BATCHABLE_TYPES = (AcquireRequest, Reply, Release)
MAX_BATCH_SIZE = 64
Header = tuple[str, str, str, int, int]
Message = Ping | Ack | PingRequest | Sync | AcquireRequest | Reply | Release | ProbeResult | Batch


class GroupError(Exception):
    """A datagram that is dropped; the text is the reason under which it is counted."""


def encode(
    keys: Mapping[int, bytes], key: int, header: tuple[str, str, str, int, int], message: Message
) -> bytes:
    """Encode a message.

    ``header``: group, sender, receiver ('' if only its address is known), start time of the sender's run,
    sequence number.
    """
    payload = msgspec.msgpack.encode((header, MESSAGE_TYPES.index(type(message)), _to_fields(message)))
    prefix = bytes((VERSION, key))
    return prefix + hmac.digest(keys[key], prefix + payload, "sha256")[:MAC_BYTES] + payload


def _to_fields(message: Any) -> list[Any]:
    """Return the fields of a message in the order of their declaration."""
    if isinstance(message, Batch):
        return [[MESSAGE_TYPES.index(type(item)), _to_fields(item)] for item in message.messages]
    fields = list(type(message).__dataclass_fields__)
    return [
        [[rumour.name, rumour.address, rumour.incarnation, rumour.state] for rumour in value]
        if name == "rumours"
        else value
        for name, value in ((field_name, getattr(message, field_name)) for field_name in fields)
    ]


def decode(keys: Mapping[int, bytes], data: bytes) -> tuple[Header, Message]:
    """Decode a datagram; raise ``GroupError`` unless it is a complete message under one of the keys."""
    if len(data) < 2 + MAC_BYTES + 1 or len(data) > MAX_DATAGRAM:
        raise GroupError("size")
    if data[0] != VERSION:
        raise GroupError("version")
    key = keys.get(data[1])
    if key is None:
        raise GroupError("key")
    payload = data[2 + MAC_BYTES :]
    if not hmac.compare_digest(
        hmac.digest(key, data[:2] + payload, "sha256")[:MAC_BYTES], data[2 : 2 + MAC_BYTES]
    ):
        raise GroupError("mac")
    try:
        header, type_index, fields = msgspec.msgpack.decode(payload)
        group, sender, receiver, boot, sequence = header
        _check_values((group, sender, receiver), (boot, sequence))
        return (group, sender, receiver, boot, sequence), _from_fields(MESSAGE_TYPES[type_index], fields)
    except (msgspec.DecodeError, ValueError, TypeError, IndexError, KeyError) as error:
        raise GroupError("form") from error


def _check_values(texts: tuple[Any, ...], integers: tuple[Any, ...]) -> None:
    if any(not isinstance(text, str) or len(text) > MAX_TEXT_LENGTH for text in texts):
        raise ValueError("text")
    if any(
        not isinstance(integer, int) or isinstance(integer, bool) or not 0 <= integer < 1 << 63
        for integer in integers
    ):
        raise ValueError("figure")


def _from_fields(message_type: type[Any], fields: list[Any]) -> Message:
    if message_type is Batch:
        if not 0 < len(fields) <= MAX_BATCH_SIZE or any(
            MESSAGE_TYPES[type_index] not in BATCHABLE_TYPES for type_index, _ in fields
        ):
            raise ValueError("batch")
        messages = [
            _from_fields(MESSAGE_TYPES[type_index], item_fields) for type_index, item_fields in fields
        ]
        return Batch(
            tuple(message for message in messages if isinstance(message, AcquireRequest | Reply | Release))
        )
    field_names = list(message_type.__dataclass_fields__)
    if len(fields) != len(field_names):
        raise ValueError("fields")
    values: dict[str, Any] = {}
    for name, value in zip(field_names, fields, strict=True):
        field_type = message_type.__dataclass_fields__[name].type
        if name == "rumours":
            value = tuple(_rumour_from_fields(rumour) for rumour in value)
        elif field_type == "bool":
            if not isinstance(value, bool):
                raise ValueError(name)
        elif field_type == "str":
            _check_values((value,), ())
        else:
            _check_values((), (value,))
        values[name] = value
    return message_type(**values)  # type: ignore[no-any-return]


def _rumour_from_fields(fields: list[Any]) -> Rumour:
    name, address, incarnation, state = fields
    _check_values((name, address), (incarnation, state))
    if state > 3:
        raise ValueError("state")
    return Rumour(name, address, incarnation, state)
