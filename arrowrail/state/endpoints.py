"""The exchange list as this controller was told it, from one or more sources."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"
STATES = (IN_SERVICE, TERMINATING, TERMINATED)
GONE_KEPT = 128  # entries of gone exchanges that are remembered, so that late news finds them


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of a source's list: a desk exchange, where it listens and how it is spoken to."""

    uid: str
    endpoint: str  # address:port
    zone: str
    exchange: int
    state: str
    since_ns: int  # Unix time of a late start; 0: long ago
    back: str = "binary"  # which back speaks to it
    point_code: int = 0  # of an exchange that signals in the M3UA style
    circuits: int = 0  # of the group toward it, where it does; 0: as configured for all


@dataclass(slots=True)
class Endpoint:
    """A desk exchange under the number that the decision module knows it by."""

    office: int
    source: str
    told: EndpointEntry
    drain_told_ns: int = 0  # when this controller was told that it drains or is gone


class EndpointRegistry:
    """Interns uids as office numbers.  A uid is one exchange for life, whatever address it has.

    Guards against an address that a new exchange took over: it has another uid, hence another number, and
    what is late for the old one cannot reach it.
    """

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self._ids: dict[str, int] = {}
        self._last = 0

    def get(self, office: int) -> Endpoint | None:
        return self.endpoints.get(office)

    def apply(self, now: int, source: str, whole: bool, lines: Iterable[EndpointEntry]) -> list[Endpoint]:
        """Take news in; returns the exchanges that changed, each once, in the order told."""
        changed: dict[int, Endpoint] = {}
        named = set()
        for told in lines:
            named.add(told.uid)
            desk = self._take(now, source, told)
            if desk is not None:
                changed[desk.office] = desk
        if whole:  # absent from a whole list of its source: gone
            for desk in list(self.endpoints.values()):
                known = desk.told
                if desk.source == source and known.uid not in named and known.state != TERMINATED:
                    self._take(now, source, replace(known, state=TERMINATED))
                    changed[desk.office] = desk
        self._forget()
        return list(changed.values())

    def _take(self, now: int, source: str, told: EndpointEntry) -> Endpoint | None:
        office = self._ids.get(told.uid)
        if office is None:
            if told.state == TERMINATED:
                return None  # never heard of: nothing can be out there
            self._last += 1
            desk = Endpoint(self._last, source, told)
            self._ids[told.uid], self.endpoints[desk.office] = desk.office, desk
        else:
            desk = self.endpoints[office]
            if told.state == TERMINATED:  # a deletion may name nothing but the uid
                told = replace(desk.told, state=TERMINATED)
            if desk.told == told:
                return None
            desk.told = told
        if told.state == IN_SERVICE:
            desk.drain_told_ns = 0
        elif desk.drain_told_ns == 0:
            desk.drain_told_ns = now
        return desk

    def _forget(self) -> None:
        gone = [d for d in self.endpoints.values() if d.told.state == TERMINATED]
        for desk in gone[: max(0, len(gone) - GONE_KEPT)]:
            del self.endpoints[desk.office], self._ids[desk.told.uid]
