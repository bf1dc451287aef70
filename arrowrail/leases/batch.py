"""Lease messages to one instance, taken together, so that a group's traffic does not grow with its duties."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from arrowrail.leases.promise import AcquireRequest, Release, Reply

MAX_BATCH_BYTES = 1100  # of a batch, as estimated: a datagram has 1,400
MESSAGE_OVERHEAD_BYTES = 36  # bytes of a message beside its names
Message = AcquireRequest | Reply | Release


@dataclass(frozen=True, slots=True)
class Batch:
    messages: tuple[Message, ...]


def _estimated_size(message: Message) -> int:
    holder = "" if isinstance(message, Reply) else message.holder
    return MESSAGE_OVERHEAD_BYTES + len(message.duty.encode()) + len(holder.encode())


def pack_batches(messages: Iterable[tuple[str, Message]]) -> Iterator[tuple[str, Message | Batch]]:
    """By receiver, in the order in which they were made; one alone goes as it is."""
    by_receiver: dict[str, list[Message]] = {}
    for name, message in messages:
        by_receiver.setdefault(name, []).append(message)
    for name, receiver_messages in by_receiver.items():
        batch: list[Message] = []
        size = 0
        for message in receiver_messages:
            if batch and size + _estimated_size(message) > MAX_BATCH_BYTES:
                yield name, batch[0] if len(batch) == 1 else Batch(tuple(batch))
                batch, size = [], 0
            batch.append(message)
            size += _estimated_size(message)
        yield name, batch[0] if len(batch) == 1 else Batch(tuple(batch))
