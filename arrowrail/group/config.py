"""What an instance of a group is told: plain values, made from the operator's records."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from arrowrail.leases.config import LeaseConfig


@dataclass(frozen=True, slots=True)
class GroupConfig:
    group: str
    name: str  # this instance's own
    listen: str  # where the others reach it
    bind: str  # its own socket
    members: Mapping[str, str]  # those who grant leases: address by name
    joining: Mapping[str, str]  # those who will, while the group changes
    seeds: tuple[str, ...]
    keys: Mapping[int, bytes]
    send_key: int  # the one that is sent under
    lease_ns: int
    drift_ppm: int
    promise_dir: str  # the folder of promises; empty: none, and a start sits a lease out
    control_path: str  # the control socket's path; empty: none
    probe_period_ns: int  # of each exchange; 0: exchanges are not probed
    probe_time_out_ns: int

    def lease_config(self) -> LeaseConfig:
        return LeaseConfig(self.lease_ns, self.drift_ppm, frozenset(self.members), frozenset(self.joining))
