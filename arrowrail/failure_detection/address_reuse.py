"""Finds the endpoints whose address another server has taken, as the exchange list shows it."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from arrowrail.state.endpoints import TERMINATED, Endpoint, EndpointEntry


def find_predecessors(
    changed: Iterable[Endpoint], endpoints: Iterable[Endpoint]
) -> Iterator[tuple[Endpoint, int]]:
    """Yield the endpoints at the address of a changed one that started later, with the time of that start.

    An entry without a start time says nothing about who came first, and yields none.
    """
    others = [endpoint for endpoint in endpoints if endpoint.entry.state != TERMINATED]
    for endpoint in changed:
        entry = endpoint.entry
        if not entry.started_ns or entry.state == TERMINATED:
            continue
        for other in others:
            is_older = other.entry.started_ns < entry.started_ns
            if other is not endpoint and is_older and _is_same_place(other.entry, entry):
                yield other, entry.started_ns


def _is_same_place(first: EndpointEntry, second: EndpointEntry) -> bool:
    """Whether at most one process is there; a gateway may serve several point codes at its address."""
    return (first.address, first.backend, first.point_code) == (
        second.address,
        second.backend,
        second.point_code,
    )
