"""Settings of one instance of a group: plain values, made from the configuration records."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from arrowrail.leases.config import LeaseConfig


@dataclass(frozen=True, slots=True)
class GroupConfig:
    """Settings of one instance of a group."""

    group: str
    name: str  # of this instance
    listen: str  # address at which the other instances reach it
    bind: str  # address of the local socket
    members: Mapping[str, str]  # voters that grant leases: address by name
    joining: Mapping[str, str]  # voters after the current membership change: address by name
    seeds: tuple[str, ...]
    keys: Mapping[int, bytes]
    send_key: int  # number of the key that outgoing messages are signed with
    lease_ns: int
    drift_ppm: int
    promise_dir: str  # directory of stored promises; empty: none, and each start waits for one lease duration
    control_path: str  # path of the control socket; empty: none
    probe_period_ns: int  # for each exchange; 0: exchanges are not probed
    probe_timeout_ns: int

    def lease_config(self) -> LeaseConfig:
        return LeaseConfig(self.lease_ns, self.drift_ppm, frozenset(self.members), frozenset(self.joining))
