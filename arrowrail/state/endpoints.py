"""The list of desk exchanges as known to this controller, from one or more sources."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

IN_SERVICE, TERMINATING, TERMINATED = "in_service", "terminating", "terminated"
STATES = (IN_SERVICE, TERMINATING, TERMINATED)
MAX_TERMINATED = 128  # terminated endpoints that are remembered, so that late list updates find them


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One entry of a source's list: a desk exchange, its address and its signalling protocol."""

    uid: str
    address: str  # host:port
    zone: str
    exchange: int
    state: str
    started_ns: int  # Unix time of its last start; 0: unknown or long ago
    backend: str = "binary"  # name of the backend that connects to it
    point_code: int = 0  # of an exchange that uses M3UA-style signalling
    circuits: int = 0  # of the trunk group toward it, with M3UA-style signalling; 0: the configured default


@dataclass(slots=True)
class Endpoint:
    """A desk exchange and the number by which the decision module knows it."""

    endpoint_id: int
    source: str
    entry: EndpointEntry  # as the source lists it, but draining while another server has its address
    listed: EndpointEntry  # as the source lists it
    superseded: bool = False  # another server has its address
    drain_notified_ns: int = 0  # when this controller learned that it drains or is gone; 0: in service


class EndpointRegistry:
    """Maps uids to endpoint ids.  A uid identifies the same exchange for good, whatever address it has.

    If a new exchange takes over an address, it has another uid and hence another endpoint id, so that late
    messages and timers of the old one cannot reach it.
    """

    def __init__(self) -> None:
        self.endpoints: dict[int, Endpoint] = {}
        self._ids_by_uid: dict[str, int] = {}
        self._last_id = 0

    def get(self, endpoint_id: int) -> Endpoint | None:
        return self.endpoints.get(endpoint_id)

    def apply(
        self, now: int, source: str, snapshot: bool, entries: Iterable[EndpointEntry]
    ) -> list[Endpoint]:
        """Apply a list update; return the endpoints that changed, each once, in the order of the update."""
        changed: dict[int, Endpoint] = {}
        listed_uids = set()
        for entry in entries:
            listed_uids.add(entry.uid)
            endpoint = self._update_entry(now, source, entry)
            if endpoint is not None:
                changed[endpoint.endpoint_id] = endpoint
        if snapshot:  # endpoints that are absent from their source's snapshot are terminated
            for endpoint in list(self.endpoints.values()):
                old_entry = endpoint.listed
                if (
                    endpoint.source == source
                    and old_entry.uid not in listed_uids
                    and old_entry.state != TERMINATED
                ):
                    self._update_entry(now, source, replace(old_entry, state=TERMINATED))
                    changed[endpoint.endpoint_id] = endpoint
        self._drop_terminated()
        return list(changed.values())

    def _update_entry(self, now: int, source: str, entry: EndpointEntry) -> Endpoint | None:
        endpoint_id = self._ids_by_uid.get(entry.uid)
        if endpoint_id is None:
            if entry.state == TERMINATED:
                return None  # never listed: no call can have been sent there
            self._last_id += 1
            endpoint = Endpoint(self._last_id, source, entry, entry)
            self._ids_by_uid[entry.uid], self.endpoints[endpoint.endpoint_id] = endpoint.endpoint_id, endpoint
        else:
            endpoint = self.endpoints[endpoint_id]
            if entry.state == TERMINATED:  # a deletion may carry nothing but the uid
                entry = replace(endpoint.listed, state=TERMINATED)
            if endpoint.listed == entry:
                return None
            endpoint.listed = entry
        self._derive_entry(now, endpoint)
        return endpoint

    def supersede(self, now: int, endpoint_ids: Collection[int]) -> list[Endpoint]:
        """Set which endpoints have lost their address to another server; return those that changed.

        They drain from now on, and are in service again if the other server's entry goes first.
        """
        changed = []
        for endpoint in self.endpoints.values():
            superseded = endpoint.endpoint_id in endpoint_ids
            if endpoint.superseded != superseded:
                endpoint.superseded = superseded
                before = endpoint.entry
                self._derive_entry(now, endpoint)
                if endpoint.entry != before:
                    changed.append(endpoint)
        return changed

    @staticmethod
    def _derive_entry(now: int, endpoint: Endpoint) -> None:
        drains = endpoint.superseded and endpoint.listed.state == IN_SERVICE
        endpoint.entry = replace(endpoint.listed, state=TERMINATING) if drains else endpoint.listed
        if endpoint.entry.state == IN_SERVICE:
            endpoint.drain_notified_ns = 0
        elif endpoint.drain_notified_ns == 0:
            endpoint.drain_notified_ns = now

    def _drop_terminated(self) -> None:
        terminated = [endpoint for endpoint in self.endpoints.values() if endpoint.entry.state == TERMINATED]
        for endpoint in terminated[: max(0, len(terminated) - MAX_TERMINATED)]:
            del self.endpoints[endpoint.endpoint_id], self._ids_by_uid[endpoint.entry.uid]
