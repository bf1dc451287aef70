"""What both sides of M3UA-style signalling share: the operator's mappings, and a timer."""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.core.requests import MS

T1_NS = 15_000 * MS  # Q.764: how long a release may go without its RLC before it is sent again


@dataclass(frozen=True, slots=True)
class ClassMapping:
    """Which class and deadline a set-up gets; a field that is ``None`` fits any."""

    class_name: str
    deadline_ns: int
    width: int
    category: int | None = None
    requirement: int | None = None


@dataclass(frozen=True, slots=True)
class PrefixMapping:
    prefix: str
    exchange: int
