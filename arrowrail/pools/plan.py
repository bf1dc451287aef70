"""Pools and routes as the operator states them, and the numbers that lead to districts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from fractions import Fraction

ROUTE_MARK = "@"  # between class and district; no name holds it


@dataclass(frozen=True, slots=True)
class Member:
    """An exchange of a pool, by the number that the decision module knows its group by."""

    exchange: int
    weight: int


@dataclass(frozen=True, slots=True)
class PoolPlan:
    name: str
    members: tuple[Member, ...]
    keep: Fraction  # it suffices alone while this share of its weight is in use

    @property
    def weight(self) -> int:
        return sum(m.weight for m in self.members)


@dataclass(frozen=True, slots=True)
class RoutePlan:
    """The way of one class to one district: pools in the order of falling back."""

    name: str  # CLASS@DISTRICT
    class_name: str
    district: str
    pools: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Plan:
    pools: Mapping[str, PoolPlan]
    routes: Mapping[str, RoutePlan]
    prefixes: Mapping[str, str]  # district by number prefix

    def exchanges(self) -> set[int]:
        return {m.exchange for pool in self.pools.values() for m in pool.members}


def route_name(class_name: str, district: str) -> str:
    return f"{class_name}{ROUTE_MARK}{district}"


def district_of(prefixes: Mapping[str, str], number: str, longest: int) -> str:
    """The district whose prefix fits the number best; empty where none does."""
    for length in range(min(longest, len(number)), 0, -1):
        found = prefixes.get(number[:length])
        if found is not None:
            return found
    return ""


def fallback_order(pools: Mapping[str, Iterable[str]], first: str) -> tuple[str, ...]:
    """A pool, its fall-backs in their order, and theirs behind them; each once."""
    order: list[str] = []
    waiting = [first]
    while waiting:
        name = waiting.pop(0)
        if name in pools and name not in order:
            order.append(name)
            waiting += pools[name]
    return tuple(order)
