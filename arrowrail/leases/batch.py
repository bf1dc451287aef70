"""Lease messages to one instance, taken together, so that a group's traffic does not grow with its duties."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from arrowrail.leases.promise import Ask, Release, Reply

MOST_BYTES = 1100  # of a batch, as estimated: a datagram has 1,400
EACH = 36  # bytes of a message beside its names
Message = Ask | Reply | Release


@dataclass(frozen=True, slots=True)
class Batch:
    messages: tuple[Message, ...]


def _size(message: Message) -> int:
    holder = "" if isinstance(message, Reply) else message.holder
    return EACH + len(message.duty.encode()) + len(holder.encode())


def pack(messages: Iterable[tuple[str, Message]]) -> Iterator[tuple[str, Message | Batch]]:
    """By receiver, in the order in which they were made; one alone goes as it is."""
    by_name: dict[str, list[Message]] = {}
    for name, message in messages:
        by_name.setdefault(name, []).append(message)
    for name, found in by_name.items():
        part: list[Message] = []
        size = 0
        for message in found:
            if part and size + _size(message) > MOST_BYTES:
                yield name, part[0] if len(part) == 1 else Batch(tuple(part))
                part, size = [], 0
            part.append(message)
            size += _size(message)
        yield name, part[0] if len(part) == 1 else Batch(tuple(part))
