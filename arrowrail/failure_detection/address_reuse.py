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


def find_superseded(endpoints: Iterable[Endpoint]) -> set[int]:
    """Return the ids of the endpoints whose address another listed one has that started later.

    An address has one process at a time, so that a set-up for the earlier one would reach the later one.
    """
    latest_start: dict[tuple[str, str, int], int] = {}
    listed = [endpoint for endpoint in endpoints if endpoint.listed.state != TERMINATED]
    for endpoint in listed:
        place = _place(endpoint.listed)
        latest_start[place] = max(latest_start.get(place, 0), endpoint.listed.started_ns)
    return {
        endpoint.endpoint_id
        for endpoint in listed
        if endpoint.listed.started_ns < latest_start[_place(endpoint.listed)]
    }


def _is_same_place(first: EndpointEntry, second: EndpointEntry) -> bool:
    """Whether at most one process is there; a gateway may serve several point codes at its address."""
    return _place(first) == _place(second)


def _place(entry: EndpointEntry) -> tuple[str, str, int]:
    return entry.address, entry.backend, entry.point_code
