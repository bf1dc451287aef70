"""What the platform tells a controller at its start."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson

from arrowrail.wire.bus.messages import BusEvent, event_from_json
from trackhatch.interface import Settings
from trackhatch.simhost import read_settings


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: str
    seed: int
    sockets: int
    bus: str
    known: tuple[BusEvent, ...]
    offset: int
    settings: Settings
    connect_timeout_ns: int


def load(path: str, listen: str = "") -> Config:
    """Read the platform's JSON; ``ValueError`` names what is missing or wrong."""
    raw: dict[str, Any] = orjson.loads(Path(path).read_bytes())
    try:
        known, limits = raw.get("known") or {}, raw["settings"].get("policy-limits", {})
        return Config(
            name=str(raw.get("name", "")),
            listen=listen or str(raw["listen"]),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int((raw.get("limits") or {}).get("sockets", 1024)),
            bus=str(raw.get("bus", "")),
            known=tuple(event_from_json(e) for e in known.get("batch") or ()),
            offset=int(known.get("offset", 0)),
            settings=read_settings(raw["settings"]),
            connect_timeout_ns=int(limits.get("connect-timeout-ns", 500_000_000)),
        )
    except (KeyError, TypeError, AttributeError) as wrong:
        raise ValueError(f"{path}: {wrong!r}") from wrong


def from_environment() -> Config:
    return load(os.environ["PROXY_CONFIG"], os.environ.get("PROXY_LISTEN", ""))
