"""Configuration files of controllers, as the platform writes them: settings, server list, addresses.

Used by tests and drills that start the controller as a separate process.
"""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from arrowrail.core.requests import MS

IN_SERVICE = "in_service"


@dataclass(frozen=True, slots=True)
class CallClassConfig:
    """One call class of the settings; times in ms."""

    name: str
    deadline_ms: int = 3000
    aim_ms: int = 1000
    hold_ms: int = 4000
    worth: float = 1.0
    repeat: str = "free"  # or "single_shot": an order that must not run twice


@dataclass(frozen=True, slots=True)
class Server:
    """One entry of the server list."""

    uid: str
    address: str  # host:port
    exchange: int  # the number that calls give as their destination
    zone: str = "east"
    state: str = IN_SERVICE
    started_ms: int = 0  # Unix time of the start, if it is recent; 0: long ago

    def to_entry(self) -> dict[str, Any]:
        """Return the entry in the form that discovery events contain."""
        return {
            "uid": self.uid, "endpoint": self.address, "az": self.zone, "model": "std",
            "pod_group": self.exchange, "state": self.state, "capacity_hint": 1, "boot_ms": self.started_ms,
        }  # fmt: skip


@dataclass(frozen=True, slots=True)
class Deployment:
    """Settings that all controllers of a deployment share; times in ms."""

    classes: tuple[CallClassConfig, ...] = (CallClassConfig("voice"),)
    controllers: int = 1
    drain_grace_ms: int = 500
    release_pause_ms: int = 300
    cold_ms: int = 8000
    fall_ms: int = 3000
    fall_multiple: float = 4.0
    start_capacity: float = 0.35
    connect_timeout_ms: int = 500
    max_attempts: int = 4
    sockets: int = 256
    servers: tuple[Server, ...] = field(default=())

    @property
    def max_deadline_ms(self) -> int:
        return max(c.deadline_ms for c in self.classes)

    def settings(self, rank: int = 0) -> dict[str, Any]:
        """Return the ``settings`` object of one controller's configuration file."""
        return {
            "classes": [
                {"name": c.name, "worth": c.worth, "late-share": 0.25, "objective-ns": c.aim_ms * MS,
                 "deadline-ns": c.deadline_ms * MS, "repeat": c.repeat, "dedup-scope": "all",
                 "window-ns": 0, "streamed": True}
                for c in self.classes
            ],
            "clients": {"marks-retry": True},
            "contract": {
                "answer-slack-ns": 20 * MS, "cold-ns": self.cold_ms * MS,
                "drain-grace-ns": self.drain_grace_ms * MS, "fall-multiple": self.fall_multiple,
                "fall-ns": self.fall_ms * MS, "must-ask-in-ns": 10_000 * MS,
                "start-capacity": self.start_capacity,
            },
            "discovery": "push",
            "family-info": {
                "class-hold-ns": [c.hold_ms * MS for c in self.classes], "layout": "meshed",
                "pools-by-class": [], "release-ns": self.release_pause_ms * MS, "resend-ns": 400 * MS,
                "self-no": 0, "widths": [1 for _ in self.classes],
            },
            "instances": self.controllers,
            "rank": rank,
            "policy-limits": {
                "connect-timeout-ns": self.connect_timeout_ms * MS, "max-attempts": self.max_attempts,
                "may-cancel": True, "may-probe": False, "retry-after": True,
                "max-retry-after-ns": 2_000 * MS,
            },
            "report": {"fields": ["spare", "total"]},
            "zone": "east",
        }  # fmt: skip


def discovery_event(offset: int, servers: list[Server], snapshot: bool) -> dict[str, Any]:
    """Return a discovery event: a snapshot of the server list, or the entries that changed."""
    entries = [server.to_entry() for server in servers]
    return {"offset": offset, "topology": {"rev": offset, "all": snapshot, "targets": entries}}


def controller_config(
    deployment: Deployment, name: str, listen: str, discovery: str, rank: int = 0, offset: int = 1
) -> dict[str, Any]:
    """Return one controller's configuration; ``known`` holds a snapshot of the list as event ``offset``."""
    initial_event = discovery_event(offset, list(deployment.servers), True)
    return {
        "name": name, "listen": listen, "seed": f"{rank + 1:016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": deployment.sockets},
        "bus": discovery, "known": {"offset": offset, "batch": [initial_event]},
        "settings": deployment.settings(rank),
    }  # fmt: skip


def write_config(path: Path, value: dict[str, Any]) -> dict[str, str]:
    """Replace the file atomically, and return the environment variables of the controller that reads it."""
    temporary = path.with_suffix(".new")
    temporary.write_bytes(orjson.dumps(value))
    os.replace(temporary, path)
    return {"PROXY_NAME": value["name"], "PROXY_LISTEN": value["listen"], "PROXY_CONFIG": str(path)}
