"""The exchange list as this controller was told it, from one or more sources."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"
STATES = (IN_SERVICE, TERMINATING, TERMINATED)
MAX_TERMINATED = 128  # entries of gone exchanges that are remembered, so that late news finds them


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One line of a source's list: a desk exchange, where it listens and how it is spoken to."""

    uid: str
    address: str  # address:port
    zone: str
    exchange: int
    state: str
    started_ns: int  # Unix time of a late start; 0: long ago
    backend: str = "binary"  # which back speaks to it
    point_code: int = 0  # of an exchange that signals in the M3UA style
    circuits: int = 0  # of the group toward it, where it does; 0: as configured for all


@dataclass(slots=True)
class Endpoint:
    """A desk exchange under the number that the decision module knows it by."""

    endpoint_id: int
    source: str
    entry: EndpointEntry
    drain_notified_ns: int = 0  # when this controller was told that it drains or is gone


class EndpointRegistry:
    """Interns uids as office numbers.  A uid is one exchange for life, whatever address it has.

    Guards against an address that a new exchange took over: it has another uid, hence another number, and
    what is late for the old one cannot reach it.
    """

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self._ids_by_uid: dict[str, int] = {}
        self._last_id = 0

    def get(self, office: int) -> Endpoint | None:
        return self.endpoints.get(office)

    def apply(self, now: int, source: str, whole: bool, lines: Iterable[EndpointEntry]) -> list[Endpoint]:
        """Take news in; returns the exchanges that changed, each once, in the order told."""
        changed: dict[int, Endpoint] = {}
        named = set()
        for told in lines:
            named.add(told.uid)
            desk = self._update_entry(now, source, told)
            if desk is not None:
                changed[desk.endpoint_id] = desk
        if whole:  # absent from a whole list of its source: gone
            for desk in list(self.endpoints.values()):
                known = desk.entry
                if desk.source == source and known.uid not in named and known.state != TERMINATED:
                    self._update_entry(now, source, replace(known, state=TERMINATED))
                    changed[desk.endpoint_id] = desk
        self._drop_terminated()
        return list(changed.values())

    def _update_entry(self, now: int, source: str, told: EndpointEntry) -> Endpoint | None:
        office = self._ids_by_uid.get(told.uid)
        if office is None:
            if told.state == TERMINATED:
                return None  # never heard of: nothing can be out there
            self._last_id += 1
            desk = Endpoint(self._last_id, source, told)
            self._ids_by_uid[told.uid], self.endpoints[desk.endpoint_id] = desk.endpoint_id, desk
        else:
            desk = self.endpoints[office]
            if told.state == TERMINATED:  # a deletion may name nothing but the uid
                told = replace(desk.entry, state=TERMINATED)
            if desk.entry == told:
                return None
            desk.entry = told
        if told.state == IN_SERVICE:
            desk.drain_notified_ns = 0
        elif desk.drain_notified_ns == 0:
            desk.drain_notified_ns = now
        return desk

    def _drop_terminated(self) -> None:
        gone = [d for d in self.endpoints.values() if d.entry.state == TERMINATED]
        for desk in gone[: max(0, len(gone) - MAX_TERMINATED)]:
            del self.endpoints[desk.endpoint_id], self._ids_by_uid[desk.entry.uid]
