"""The sidecar's list of exchanges, merged from the inventory and a source of list updates.  No I/O.

The inventory defines which exchanges exist; a source of updates (event bus or etcd) reports their states.
If the two differ, the more restrictive state applies, so that neither a lagging source nor an outdated file
sends calls to an exchange that the other one excludes.  An exchange that is removed from the inventory
drains: its calls go on, it gets no new ones, and its entry is terminated once it has no calls.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from arrowrail.sidecar.config import ExchangeConfig
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, TERMINATING, EndpointEntry

RESTRICTIVENESS = {IN_SERVICE: 0, TERMINATING: 1, TERMINATED: 2}
SIDECAR_SOURCE = "site"


@dataclass(frozen=True, slots=True)
class ReportedState:
    """The last report of a source about an exchange."""

    state: str
    address: str
    started_ns: int  # Unix time of its last start; 0: unknown


def uid_of(name: str, address: str) -> str:
    """Return the uid of an exchange at an address.

    A new address makes a new uid, so that late updates about the old one do not apply to it.
    """
    return f"{name}@{address}"


class ExchangeList:
    """Merges the inventory with the updates of a source; each change is returned as a list of entries."""

    def __init__(self) -> None:
        self._exchanges: dict[str, ExchangeConfig] = {}
        self._reported: dict[str, ReportedState] = {}
        self._published: dict[str, EndpointEntry] = {}  # by uid, as last returned to the caller
        self._removed: dict[str, EndpointEntry] = {}  # by uid: not in the list any more, still draining
        self.unknown_count = 0  # entries of a source for exchanges that are not in the inventory

    def update_config(self, exchanges: Iterable[ExchangeConfig]) -> list[EndpointEntry]:
        """Apply the inventory, at the start and on a reload; return the changed entries."""
        self._exchanges = {exchange.name: exchange for exchange in exchanges}
        return self._changes()

    def apply_update(self, snapshot: bool, entries: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """Apply an update of a source, return the changed entries; exchanges absent from a snapshot drain."""
        listed_names = set()
        for entry in entries:
            name = entry.uid.partition("@")[0]
            listed_names.add(name)
            if name not in self._exchanges:
                self.unknown_count += 1
                continue
            previous = self._reported.get(name)
            address = entry.address or (previous.address if previous is not None else "")
            self._reported[name] = ReportedState(entry.state, address, entry.started_ns)
        if snapshot:
            for name in self._exchanges:
                if name not in listed_names:
                    self._reported[name] = ReportedState(TERMINATING, "", 0)
        return self._changes()

    def remove_drained(self, uids: Iterable[str]) -> list[EndpointEntry]:
        """Terminate removed exchanges that have no calls left; return their entries."""
        drained = [self._removed.pop(uid) for uid in uids if uid in self._removed]
        return [replace(entry, state=TERMINATED) for entry in drained]

    @property
    def removed(self) -> Mapping[str, EndpointEntry]:
        """The entries, by uid, that are not in the list any more and still drain."""
        return self._removed

    def _changes(self) -> list[EndpointEntry]:
        current = {entry.uid: entry for entry in map(self._merged_entry, self._exchanges.values())}
        changes: list[EndpointEntry] = []
        for uid, entry in self._published.items():
            if uid not in current and entry.state != TERMINATED:
                self._removed[uid] = replace(entry, state=TERMINATING)
                changes.append(self._removed[uid])
        for uid, entry in current.items():
            self._removed.pop(uid, None)
            if self._published.get(uid) != entry:
                changes.append(entry)
        self._published = current
        return changes

    def _merged_entry(self, exchange: ExchangeConfig) -> EndpointEntry:
        reported = self._reported.get(exchange.name)
        address, state, started_ns = exchange.address, exchange.state, 0
        if reported is not None:
            address, started_ns = reported.address or address, reported.started_ns
            if RESTRICTIVENESS[reported.state] > RESTRICTIVENESS[state]:
                state = reported.state
        return EndpointEntry(
            uid_of(exchange.name, address), address, exchange.zone, exchange.number, state, started_ns,
            exchange.signalling, exchange.point_code, exchange.circuits,
        )  # fmt: skip
