"""The exchanges as the sidecar holds them: the inventory, and what another source tells of them.  No I/O.

The inventory says which exchanges there are; a source of the list (event bus or etcd) says what became of
them.  Of two states the one that lets less through wins, so that neither a lagging source nor a stale file
sends calls where the other knows better.  An exchange that leaves the inventory drains: its calls go on, it
gets nothing new, and it is forgotten once nothing stands there.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from arrowrail.sidecar.config import ExchangeConfig
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, TERMINATING, EndpointEntry

RANKS = {IN_SERVICE: 0, TERMINATING: 1, TERMINATED: 2}
SIDECAR_SOURCE = "site"


@dataclass(frozen=True, slots=True)
class Heard:
    """What a source last told of an exchange."""

    state: str
    address: str
    since_ns: int


def uid_of(name: str, address: str) -> str:
    """A machine at another address is another exchange: late news of the old one must not reach it."""
    return f"{name}@{address}"


class ExchangeList:
    def __init__(self) -> None:
        self._lines: dict[str, ExchangeConfig] = {}
        self._heard: dict[str, Heard] = {}
        self._shown: dict[str, EndpointEntry] = {}  # by uid, as it was told last
        self._removed: dict[str, EndpointEntry] = {}  # by uid: no longer named, and not yet empty
        self.unknown_count = 0  # lines of a source that name no exchange of the inventory

    def update_config(self, lines: Iterable[ExchangeConfig]) -> list[EndpointEntry]:
        """The inventory, at the start and after a reload; returns the news of it."""
        self._lines = {line.name: line for line in lines}
        return self._news()

    def apply_update(self, whole: bool, lines: Iterable[EndpointEntry]) -> list[EndpointEntry]:
        """News of a source; exchanges absent from a whole list drain."""
        named = set()
        for told in lines:
            name = told.uid.partition("@")[0]
            named.add(name)
            if name not in self._lines:
                self.unknown_count += 1
                continue
            known = self._heard.get(name)
            address = told.address or (known.address if known is not None else "")
            self._heard[name] = Heard(told.state, address, told.started_ns)
        if whole:
            for name in self._lines:
                if name not in named:
                    self._heard[name] = Heard(TERMINATING, "", 0)
        return self._news()

    def remove_drained(self, uids: Iterable[str]) -> list[EndpointEntry]:
        """Of those that leave, the ones at which nothing stands any more: gone."""
        over = [self._removed.pop(uid) for uid in uids if uid in self._removed]
        return [replace(told, state=TERMINATED) for told in over]

    @property
    def removed(self) -> Mapping[str, EndpointEntry]:
        return self._removed

    def _news(self) -> list[EndpointEntry]:
        now = {told.uid: told for told in map(self._told, self._lines.values())}
        news: list[EndpointEntry] = []
        for uid, told in self._shown.items():
            if uid not in now and told.state != TERMINATED:
                self._removed[uid] = replace(told, state=TERMINATING)
                news.append(self._removed[uid])
        for uid, told in now.items():
            self._removed.pop(uid, None)
            if self._shown.get(uid) != told:
                news.append(told)
        self._shown = now
        return news

    def _told(self, line: ExchangeConfig) -> EndpointEntry:
        heard = self._heard.get(line.name)
        address, state, since = line.address, line.state, 0
        if heard is not None:
            address, since = heard.address or address, heard.since_ns
            if RANKS[heard.state] > RANKS[state]:
                state = heard.state
        return EndpointEntry(
            uid_of(line.name, address), address, line.zone, line.number, state, since, line.signalling,
            line.point_code, line.circuits,
        )  # fmt: skip
