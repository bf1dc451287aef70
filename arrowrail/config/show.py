"""What is in force for an application: every value with the place it comes from, or ``default``."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from arrowrail.config.faults import Place
from arrowrail.config.folder import Checked
from arrowrail.config.schema import Kind, MapOf, Maybe, Record, RecordOf, keys_of
from arrowrail.pools.config import fallback_order

DEFAULT = "default"


@dataclass(frozen=True, slots=True)
class Shown:
    key: str
    text: str
    source: str

    def as_json(self) -> dict[str, str]:
        return {"key": self.key, "value": self.text, "source": self.source}


def values_of(record: Record, at: str) -> Iterator[Shown]:
    """A record's values, the inner ones under their paths."""
    for k in keys_of(type(record)):
        field = k.name if hasattr(record, k.name) else k.name + "_"
        place = record.places.get(k.name)
        yield from _values(k.kind, getattr(record, field), f"{at}.{k.name}", place, record.places, k.name)


def _values(
    kind: Kind, value: Any, key: str, place: Place | None, places: Mapping[str, Place], name: str
) -> Iterator[Shown]:
    if isinstance(kind, RecordOf):
        yield from values_of(value, key)
        return
    if isinstance(kind, MapOf):
        for label, inner in value.items():
            inner_place = places.get(f"{name}.{label}", place)
            yield from _values(kind.inner, inner, f"{key}.{label}", inner_place, places, name)
        if not value:
            yield Shown(key, "{}", str(place) if place is not None else DEFAULT)
        return
    if isinstance(kind, Maybe) and value is None:
        yield Shown(key, "null", str(place) if place is not None else DEFAULT)
        return
    yield Shown(key, kind.write(value), str(place) if place is not None else DEFAULT)


def shown_values(checked: Checked, name: str) -> list[Shown]:
    """The application, and of the inventory what it reaches."""
    a, v = checked.applications[name], checked.inventories[name]
    found = list(values_of(a, f"application.{name}"))
    if v.site is not None:
        found += values_of(v.site, "site")
    for district in a.serves:
        if district in v.districts:
            found += values_of(v.districts[district], f"district.{district}")
    for kind in a.calls:
        if kind in v.classes:
            found += values_of(v.classes[kind], f"class.{kind}")
    pools: dict[str, None] = {}
    for calls in a.calls.values():
        for first in calls.pools.values():
            pools |= dict.fromkeys(fallback_order(v.fallbacks, first))
    exchanges: dict[str, None] = {}
    for pool in pools:
        found += values_of(v.pools[pool], f"pool.{pool}")
        exchanges |= dict.fromkeys(v.pools[pool].exchanges)
    for exchange in exchanges:
        if exchange in v.exchanges:
            found += values_of(v.exchanges[exchange], f"exchange.{exchange}")
    return found
