"""One datagram: a head, the message as MessagePack, and an HMAC over both.

    version:1 key:1 hmac:16 payload

The payload names group, sender, receiver, the sender's present life and a number that only grows.  A key that
is rolled is accepted beside the new one for as long as the records list both.
"""

from __future__ import annotations

import hmac
from collections.abc import Mapping
from typing import Any

import msgspec

from arrowrail.duties.hints import Hint
from arrowrail.leases.batch import Batch
from arrowrail.leases.promise import Ask, Release, Reply
from arrowrail.membership.swim import Ack, Ping, PingFor, Rumour, Sync

VERSION = 1
MAC = 16  # bytes of HMAC-SHA256 that are sent
MAX_DATAGRAM = 1400  # fits an Ethernet frame whole
MOST_TEXT = 128  # characters of a name or address
KINDS: tuple[type[Any], ...] = (Ping, Ack, PingFor, Sync, Ask, Reply, Release, Hint, Batch)
BATCHED = (Ask, Reply, Release)
MOST_BATCHED = 64
Head = tuple[str, str, str, int, int]
Message = Ping | Ack | PingFor | Sync | Ask | Reply | Release | Hint | Batch


class GroupError(Exception):
    """A datagram that is not taken; the text names the reason, and is counted under it."""


def encode(
    keys: Mapping[int, bytes], key: int, head: tuple[str, str, str, int, int], message: Message
) -> bytes:
    """``head``: group, sender, receiver ('' for an address whose name is not known), life, number."""
    payload = msgspec.msgpack.encode((head, KINDS.index(type(message)), _plain(message)))
    start = bytes((VERSION, key))
    return start + hmac.digest(keys[key], start + payload, "sha256")[:MAC] + payload


def _plain(message: Any) -> list[Any]:
    if isinstance(message, Batch):
        return [[KINDS.index(type(m)), _plain(m)] for m in message.messages]
    fields = list(type(message).__dataclass_fields__)
    return [
        [[r.name, r.address, r.incarnation, r.state] for r in value] if name == "rumours" else value
        for name, value in ((n, getattr(message, n)) for n in fields)
    ]


def decode(keys: Mapping[int, bytes], data: bytes) -> tuple[Head, Message]:
    """``GroupError`` on all that is not a whole message under one of the keys."""
    if len(data) < 2 + MAC + 1 or len(data) > MAX_DATAGRAM:
        raise GroupError("size")
    if data[0] != VERSION:
        raise GroupError("version")
    key = keys.get(data[1])
    if key is None:
        raise GroupError("key")
    payload = data[2 + MAC :]
    if not hmac.compare_digest(hmac.digest(key, data[:2] + payload, "sha256")[:MAC], data[2 : 2 + MAC]):
        raise GroupError("mac")
    try:
        head, kind, fields = msgspec.msgpack.decode(payload)
        group, sender, to, boot, number = head
        _check((group, sender, to), (boot, number))
        return (group, sender, to, boot, number), _message(KINDS[kind], fields)
    except (msgspec.DecodeError, ValueError, TypeError, IndexError, KeyError) as wrong:
        raise GroupError("form") from wrong


def _check(texts: tuple[Any, ...], figures: tuple[Any, ...]) -> None:
    if any(not isinstance(t, str) or len(t) > MOST_TEXT for t in texts):
        raise ValueError("text")
    if any(not isinstance(f, int) or isinstance(f, bool) or not 0 <= f < 1 << 63 for f in figures):
        raise ValueError("figure")


def _message(kind: type[Any], fields: list[Any]) -> Message:
    if kind is Batch:
        if not 0 < len(fields) <= MOST_BATCHED or any(KINDS[k] not in BATCHED for k, _ in fields):
            raise ValueError("batch")
        inner = [_message(KINDS[k], f) for k, f in fields]
        return Batch(tuple(m for m in inner if isinstance(m, Ask | Reply | Release)))
    names = list(kind.__dataclass_fields__)
    if len(fields) != len(names):
        raise ValueError("fields")
    values: dict[str, Any] = {}
    for name, value in zip(names, fields, strict=True):
        wanted = kind.__dataclass_fields__[name].type
        if name == "rumours":
            value = tuple(_rumour(r) for r in value)
        elif wanted == "bool":
            if not isinstance(value, bool):
                raise ValueError(name)
        elif wanted == "str":
            _check((value,), ())
        else:
            _check((), (value,))
        values[name] = value
    return kind(**values)  # type: ignore[no-any-return]


def _rumour(fields: list[Any]) -> Rumour:
    name, address, incarnation, state = fields
    _check((name, address), (incarnation, state))
    if state > 3:
        raise ValueError("state")
    return Rumour(name, address, incarnation, state)
