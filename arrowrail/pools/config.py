"""Configured pools and routes, and the mapping from number prefixes to districts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fractions import Fraction

ROUTE_SEPARATOR = "@"  # between class and district; neither name may contain it


@dataclass(frozen=True, slots=True)
class PoolMember:
    """An exchange of a pool, identified by its group number in the decision module."""

    exchange: int
    weight: int


@dataclass(frozen=True, slots=True)
class PoolConfig:
    """Exchanges that share calls by weight."""

    name: str
    members: tuple[PoolMember, ...]
    min_share: Fraction  # the pool needs no fallback while this share of its weight is in use

    @property
    def weight(self) -> int:
        return sum(m.weight for m in self.members)


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """The route of one class to one district: its pools in fallback order."""

    name: str  # CLASS@DISTRICT
    class_name: str
    district: str
    pools: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Pools and routes of one application, by name."""

    pools: Mapping[str, PoolConfig]
    routes: Mapping[str, RouteConfig]
    district_by_prefix: Mapping[str, str]

    def exchanges(self) -> set[int]:
        return {m.exchange for pool in self.pools.values() for m in pool.members}


def route_name(class_name: str, district: str) -> str:
    return f"{class_name}{ROUTE_SEPARATOR}{district}"


def find_district(district_by_prefix: Mapping[str, str], number: str, max_prefix_length: int) -> str:
    """Return the district with the longest matching prefix, or an empty string if no prefix matches."""
    for length in range(min(max_prefix_length, len(number)), 0, -1):
        district = district_by_prefix.get(number[:length])
        if district is not None:
            return district
    return ""


def fallback_order(pools: Mapping[str, Iterable[str]], first: str) -> tuple[str, ...]:
    """Return a pool and its direct and indirect fallbacks in breadth-first order, each once."""
    order: list[str] = []
    pending = [first]
    while pending:
        name = pending.pop(0)
        if name in pools and name not in order:
            order.append(name)
            pending += pools[name]
    return tuple(order)
