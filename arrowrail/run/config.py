"""The configuration that the platform passes to a controller, as a JSON file."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from arrowrail.wire.bus.messages import BusEvent, event_from_json
from trackhatch.interface import Settings
from trackhatch.simhost import read_settings

MIB = 1024 * 1024
DEFAULT_MEMORY_MB = 192


@dataclass(frozen=True, slots=True)
class Config:
    """Configuration of one call controller."""

    name: str
    listen_address: str  # host:port for SIP; empty: no listener
    seed: int
    max_sockets: int  # file descriptors that sockets may use
    bus_address: str  # host:port of the event bus; empty: not used
    initial_events: tuple[BusEvent, ...]  # the exchange list at the start
    initial_offset: int  # event bus offset up to which the list is known
    settings: Settings
    connect_timeout_ns: int
    memory_limit_bytes: int = DEFAULT_MEMORY_MB * MIB


def load(path: str, listen_address: str = "") -> Config:
    """Read the JSON file; raise ``ValueError``, which names the missing or invalid field."""
    raw: dict[str, Any] = orjson.loads(Path(path).read_bytes())
    try:
        known, limits = raw.get("known") or {}, raw["settings"].get("policy-limits", {})
        return Config(
            name=str(raw.get("name", "")),
            listen_address=listen_address or str(raw["listen"]),
            seed=int(str(raw.get("seed", "0")), 16),
            max_sockets=int((raw.get("limits") or {}).get("sockets", 1024)),
            bus_address=str(raw.get("bus", "")),
            initial_events=tuple(event_from_json(e) for e in known.get("batch") or ()),
            initial_offset=int(known.get("offset", 0)),
            settings=read_settings(raw["settings"]),
            connect_timeout_ns=int(limits.get("connect-timeout-ns", 500_000_000)),
            memory_limit_bytes=int((raw.get("limits") or {}).get("memory_mb", DEFAULT_MEMORY_MB)) * MIB,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"{path}: {error!r}") from error


def from_environment() -> Config:
    """Read the file named by ``PROXY_CONFIG``; ``PROXY_LISTEN`` overrides its listener address."""
    return load(os.environ["PROXY_CONFIG"], os.environ.get("PROXY_LISTEN", ""))
