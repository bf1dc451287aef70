"""What an instance of a group is told: plain values, made from the operator's records."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from arrowrail.leases.terms import Terms


@dataclass(frozen=True, slots=True)
class GroupPlan:
    group: str
    name: str  # this instance's own
    listen: str  # where the others reach it
    bind: str  # its own socket
    members: Mapping[str, str]  # those who grant leases: address by name
    joining: Mapping[str, str]  # those who will, while the group changes
    seeds: tuple[str, ...]
    keys: Mapping[int, bytes]
    key: int  # the one that is sent under
    lease_ns: int
    drift_ppm: int
    memory: str  # the folder of promises; empty: none, and a start sits a lease out
    control: str  # the control socket's path; empty: none
    probe_period_ns: int  # of each exchange; 0: exchanges are not probed
    probe_time_out_ns: int

    def terms(self) -> Terms:
        return Terms(self.lease_ns, self.drift_ppm, frozenset(self.members), frozenset(self.joining))
