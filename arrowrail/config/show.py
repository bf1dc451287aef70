"""The effective settings of an application: every value with its source location, or ``default``."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from arrowrail.config.checker import CheckResult
from arrowrail.config.diagnostics import Location
from arrowrail.config.schema import MapOf, Nullable, Record, RecordOf, ValueType, keys_of
from arrowrail.pools.config import fallback_order

DEFAULT = "default"


@dataclass(frozen=True, slots=True)
class EffectiveValue:
    """A value in force, as written in a record file, and where it comes from."""

    key_path: str
    value: str
    source: str  # location in a file, or ``default``

    def as_json(self) -> dict[str, str]:
        return {"key": self.key_path, "value": self.value, "source": self.source}


def values_of(record: Record, path: str) -> Iterator[EffectiveValue]:
    """Yield the values of a record and its nested records with their key paths."""
    for key in keys_of(type(record)):
        field = key.name if hasattr(record, key.name) else key.name + "_"
        location = record.locations.get(key.name)
        yield from _values(
            key.value_type, getattr(record, field), f"{path}.{key.name}", location, record.locations, key.name
        )


def _values(
    value_type: ValueType,
    value: Any,
    key_path: str,
    location: Location | None,
    locations: Mapping[str, Location],
    name: str,
) -> Iterator[EffectiveValue]:
    if isinstance(value_type, RecordOf):
        yield from values_of(value, key_path)
        return
    if isinstance(value_type, MapOf):
        for label, inner in value.items():
            inner_location = locations.get(f"{name}.{label}", location)
            yield from _values(
                value_type.inner, inner, f"{key_path}.{label}", inner_location, locations, name
            )
        if not value:
            yield EffectiveValue(key_path, "{}", str(location) if location is not None else DEFAULT)
        return
    if isinstance(value_type, Nullable) and value is None:
        yield EffectiveValue(key_path, "null", str(location) if location is not None else DEFAULT)
        return
    yield EffectiveValue(
        key_path, value_type.format(value), str(location) if location is not None else DEFAULT
    )


def effective_values(result: CheckResult, name: str) -> list[EffectiveValue]:
    """Return the values of an application and of all inventory records that it uses."""
    application, inventory = result.applications[name], result.inventories[name]
    found = list(values_of(application, f"application.{name}"))
    if inventory.site is not None:
        found += values_of(inventory.site, "site")
    for district in application.serves:
        if district in inventory.districts:
            found += values_of(inventory.districts[district], f"district.{district}")
    for call_class in application.calls:
        if call_class in inventory.classes:
            found += values_of(inventory.classes[call_class], f"class.{call_class}")
    pools: dict[str, None] = {}
    for class_settings in application.calls.values():
        for first_pool in class_settings.pools.values():
            pools |= dict.fromkeys(fallback_order(inventory.fallbacks, first_pool))
    exchanges: dict[str, None] = {}
    for pool in pools:
        found += values_of(inventory.pools[pool], f"pool.{pool}")
        exchanges |= dict.fromkeys(inventory.pools[pool].exchanges)
    for exchange in exchanges:
        if exchange in inventory.exchanges:
            found += values_of(inventory.exchanges[exchange], f"exchange.{exchange}")
    return found
