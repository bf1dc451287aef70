"""Batching of lease messages by receiver, so that traffic does not grow with the number of duties."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from arrowrail.leases.promise import AcquireRequest, Release, Reply

MAX_BATCH_BYTES = 1100  # estimated size of a batch; a datagram is at most 1,400 bytes
MESSAGE_OVERHEAD_BYTES = 36  # bytes of a message besides its names
Message = AcquireRequest | Reply | Release


@dataclass(frozen=True, slots=True)
class Batch:
    """Lease messages to one receiver, sent in one datagram."""

    messages: tuple[Message, ...]


def _estimated_size(message: Message) -> int:
    holder = "" if isinstance(message, Reply) else message.holder
    return MESSAGE_OVERHEAD_BYTES + len(message.duty.encode()) + len(holder.encode())


def pack_batches(messages: Iterable[tuple[str, Message]]) -> Iterator[tuple[str, Message | Batch]]:
    """Group messages by receiver, keeping their order; a single message is sent without a batch around it."""
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
