"""Configured mappings from ISUP parameters, and a timer, for the M3UA frontend and backend."""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.core.requests import MS

T1_NS = 15_000 * MS  # timer T1 of Q.764: REL is sent again if no RLC arrives


@dataclass(frozen=True, slots=True)
class ClassMapping:
    """Class and deadline of a set-up with this category and medium requirement; ``None`` matches any."""

    class_name: str
    deadline_ns: int
    width: int
    category: int | None = None  # calling party's category
    requirement: int | None = None  # transmission medium requirement


@dataclass(frozen=True, slots=True)
class PrefixMapping:
    """Exchange of the called numbers with a prefix."""

    prefix: str
    exchange: int
