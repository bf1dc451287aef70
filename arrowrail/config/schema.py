"""Schema of record files: value types, and records made of keys.

A record is a frozen dataclass whose fields carry their value type, default and documentation.  The checker,
the writer, the program and the reference page all read this one definition.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from fractions import Fraction
from typing import Any, TypeVar, cast, dataclass_transform

from arrowrail.config import units
from arrowrail.config.diagnostics import Diagnostics, Location, quote, suggestion
from arrowrail.config.values import (
    BOOL,
    FLOAT,
    INT,
    STRING,
    Bottom,
    Conjunction,
    ListValue,
    Reference,
    Scalar,
    Struct,
    Value,
    concrete_value,
    conjoin,
    resolve,
)
from arrowrail.state.address import CALLED_NUMBER_DIGITS, parse_address

NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")
MAX_ITEMS = 100_000
INVALID: Any = object()  # result for a value whose fault has been reported
REQUIRED: Any = object()
NO_LOCATION = Location("")


@dataclass(slots=True)
class ReadContext:
    """Where faults are reported and in which tables references are looked up."""

    diagnostics: Diagnostics
    root: Struct
    complete: bool = True  # false if a part could not be read: a missing name is then not an error

    def table(self, name: str) -> Struct | None:
        entry = self.root.entries.get(name)
        found = resolve(entry.value, self.diagnostics, name) if entry is not None else None
        return found if isinstance(found, Struct) else None


class ValueType:
    """A type of setting values: how they are read, described and formatted."""

    name = "value"

    def read(self, value: Value, context: ReadContext, key_path: str) -> Any:
        """Return the value as the program uses it, or ``INVALID`` after a fault."""
        found = concrete_value(value, context.diagnostics, key_path)
        return INVALID if isinstance(found, Bottom) else self.convert(found, context, key_path)

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        """Convert a concrete value; return ``INVALID`` after a fault."""
        raise NotImplementedError

    def describe(self) -> str:
        """Describe the allowed values, for messages and the reference page."""
        return self.name

    def format(self, value: Any) -> str:
        """Format a value as written in a record file."""
        raise NotImplementedError

    def report_wrong_type(self, found: Any, context: ReadContext, key_path: str) -> Any:
        what = str(found) if isinstance(found, Scalar) else type(found).__name__.lower().replace("value", "")
        context.diagnostics.add("AR202", found.location, key_path, f"{what}, expected {self.describe()}")
        return INVALID


class _Ranged(ValueType):
    """Base of numeric types with an optional lower and upper bound."""

    def __init__(self, low: Any = None, high: Any = None) -> None:
        self.low, self.high = low, high

    def format_bound(self, value: Any) -> str:
        return str(value)

    def describe(self) -> str:
        if self.low is None and self.high is None:
            return self.name
        if self.high is None:
            return f"{self.name}, {self.format_bound(self.low)} or more"
        if self.low is None:
            return f"{self.name}, {self.format_bound(self.high)} at most"
        return f"{self.name}, {self.format_bound(self.low)} to {self.format_bound(self.high)}"

    def check_range(self, value: Any, found: Scalar, context: ReadContext, key_path: str) -> Any:
        if (self.low is not None and value < self.low) or (self.high is not None and value > self.high):
            context.diagnostics.add("AR205", found.location, key_path, f"{found}; allowed: {self.describe()}")
            return INVALID
        return value

    def format(self, value: Any) -> str:
        return self.format_bound(value)


class Integer(_Ranged):
    name = "a whole number"

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, Scalar) or found.kind not in (INT,):
            if isinstance(found, Scalar) and found.kind in units.UNITS:
                context.diagnostics.add(
                    "AR204", found.location, key_path, f"{found}, expected {self.describe()} without a unit"
                )
                return INVALID
            return self.report_wrong_type(found, context, key_path)
        return self.check_range(found.value, found, context, key_path)


class Number(_Ranged):
    name = "a number"

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, Scalar) or found.kind not in (INT, FLOAT):
            if isinstance(found, Scalar) and found.kind in units.UNITS:
                context.diagnostics.add(
                    "AR204", found.location, key_path, f"{found}, expected {self.describe()} without a unit"
                )
                return INVALID
            return self.report_wrong_type(found, context, key_path)
        return self.check_range(found.value, found, context, key_path)

    def format(self, value: Any) -> str:
        return str(int(value)) if float(value).is_integer() else str(value)


class Quantity(_Ranged):
    """A number with a unit: durations in ns, rates in events per second, shares of 1, sizes in bytes."""

    def __init__(self, kind: str, low: Any = None, high: Any = None) -> None:
        super().__init__(low, high)
        self.kind = kind
        self.name = f"a {kind}"

    def format_bound(self, value: Any) -> str:
        return units.write(self.kind, value)

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, Scalar):
            return self.report_wrong_type(found, context, key_path)
        if found.kind == self.kind:
            return self.check_range(found.value, found, context, key_path)
        if found.kind in (INT, FLOAT):
            context.diagnostics.add(
                "AR203",
                found.location,
                key_path,
                f"{found} has no unit",
                f"append one of {units.unit_names(self.kind)}",
            )
            return INVALID
        if found.kind in units.UNITS:
            context.diagnostics.add(
                "AR204",
                found.location,
                key_path,
                f"{found} is a {found.kind}, not a {self.kind}",
                f"use one of {units.unit_names(self.kind)}",
            )
            return INVALID
        return self.report_wrong_type(found, context, key_path)


class Boolean(ValueType):
    name = "true or false"

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if isinstance(found, Scalar) and found.kind == BOOL:
            return found.value
        return self.report_wrong_type(found, context, key_path)

    def format(self, value: Any) -> str:
        return "true" if value else "false"


class String(ValueType):
    name = "a text"

    def __init__(self, max_length: int = 256) -> None:
        self.max_length = max_length

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, Scalar) or found.kind != STRING:
            return self.report_wrong_type(found, context, key_path)
        if len(found.value) > self.max_length:
            context.diagnostics.add(
                "AR205", found.location, key_path, f"{len(found.value)} characters; {self.max_length} at most"
            )
            return INVALID
        return self.validate(str(found.value), found, context, key_path)

    def validate(self, text: str, found: Scalar, context: ReadContext, key_path: str) -> Any:
        return text

    def format(self, value: Any) -> str:
        return '"' + str(value).replace("\\", "\\\\").replace('"', '\\"') + '"'


class OneOf(String):
    """One of a fixed set of strings."""

    def __init__(self, *options: str) -> None:
        super().__init__()
        self.options = options
        self.name = "one of " + ", ".join(f'"{option}"' for option in options)

    def validate(self, text: str, found: Scalar, context: ReadContext, key_path: str) -> Any:
        if text in self.options:
            return text
        context.diagnostics.add(
            "AR212", found.location, key_path, f"{quote(text)}; {suggestion(text, self.options)}"
        )
        return INVALID


class DigitString(String):
    """One to 32 digits of a telephone number."""

    name = "digits 0-9 and A-E"

    def validate(self, text: str, found: Scalar, context: ReadContext, key_path: str) -> Any:
        if text and len(text) <= 32 and all(digit in CALLED_NUMBER_DIGITS for digit in text):
            return text
        context.diagnostics.add(
            "AR202", found.location, key_path, f"{quote(text)} does not consist of {self.name}"
        )
        return INVALID


class DigitPrefix(DigitString):
    """A prefix of numbers; the empty one matches every number."""

    def validate(self, text: str, found: Scalar, context: ReadContext, key_path: str) -> Any:
        return text if text == "" else super().validate(text, found, context, key_path)


class Address(String):
    name = '"address:port"'

    def validate(self, text: str, found: Scalar, context: ReadContext, key_path: str) -> Any:
        try:
            host, port = parse_address(text)
            valid = bool(host) and 1 <= port <= 65535 and text.isascii() and " " not in text
            valid = valid and (":" not in host or text.startswith("["))
        except ValueError:
            valid = False
        if valid:
            return text
        context.diagnostics.add(
            "AR213",
            found.location,
            key_path,
            f"{quote(text)}; expected a host, ':' and a port from 1 to 65535",
        )
        return INVALID


class TableRef(ValueType):
    """The name of a table entry, as the reference ``table.name`` or as a string."""

    def __init__(self, table: str, missing_code: str = "AR208") -> None:
        self.table, self.missing_code = table, missing_code
        self.name = f"a reference like {table}.NAME"

    def read(self, value: Value, context: ReadContext, key_path: str) -> Any:
        part = value
        if isinstance(value, Conjunction):
            part = next((p for p in value.parts if isinstance(p, Reference)), value)
        if isinstance(part, Reference) and len(part.path) == 2 and part.path[0] == self.table:
            name, location = part.path[1], part.location
        else:
            found = concrete_value(value, context.diagnostics, key_path)
            if isinstance(found, Bottom):
                return INVALID
            if not isinstance(found, Scalar) or found.kind != STRING:
                return self.report_wrong_type(found, context, key_path)
            name, location = (
                str(found.value),
                value.location if isinstance(value, Reference) else found.location,
            )
        table = context.table(self.table)
        known = table.labels() if table is not None else frozenset()
        if name not in known:
            if context.complete:
                context.diagnostics.add(
                    self.missing_code,
                    location,
                    key_path,
                    f"no {self.table} {quote(name)}; {suggestion(name, known)}",
                )
            return INVALID
        return name

    def format(self, value: Any) -> str:
        name = str(value)
        return (
            f"{self.table}.{name}"
            if re.fullmatch(r"[A-Za-z_][A-Za-z0-9_-]*", name)
            else f'{self.table}."{name}"'
        )


class ListOf(ValueType):
    """A list of distinct values of one type, read as a tuple."""

    def __init__(self, item_type: ValueType, min_items: int = 0, max_items: int = 10_000) -> None:
        self.item_type, self.min_items, self.max_items = item_type, min_items, max_items
        self.name = f"a list of: {item_type.describe()}"

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, ListValue):
            return self.report_wrong_type(found, context, key_path)
        if not self.min_items <= len(found.items) <= self.max_items:
            code = "AR216" if len(found.items) < self.min_items else "AR205"
            context.diagnostics.add(
                code,
                found.location,
                key_path,
                f"{len(found.items)} values; {self.min_items} to {self.max_items}",
            )
            return INVALID
        items: list[Any] = []
        for index, item in enumerate(found.items):
            value = self.item_type.read(item, context, f"{key_path}[{index}]")
            if value is INVALID:
                continue
            if value in items:
                context.diagnostics.add("AR214", item.location, f"{key_path}[{index}]", quote(value))
                continue
            items.append(value)
        return tuple(items)

    def item_locations(self, value: Value, context: ReadContext) -> Iterator[Location]:
        found = resolve(value, context.diagnostics, "")
        if isinstance(found, ListValue):
            for item in found.items:
                yield item.location

    def format(self, value: Any) -> str:
        return "[" + ", ".join(self.item_type.format(v) for v in value) + "]"


class Nullable(ValueType):
    """A value that may be absent or null."""

    def __init__(self, inner: ValueType) -> None:
        self.inner = inner
        self.name = inner.name

    def describe(self) -> str:
        return self.inner.describe() + ", or absent"

    def read(self, value: Value, context: ReadContext, key_path: str) -> Any:
        found = resolve(value, context.diagnostics, key_path)
        if isinstance(found, Scalar) and found.kind == "null":
            return None
        return self.inner.read(value, context, key_path)

    def format(self, value: Any) -> str:
        return "null" if value is None else self.inner.format(value)


class RecordOf(ValueType):
    """A nested record."""

    def __init__(self, record: type[Any]) -> None:
        self.record = record
        self.name = "a record"

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        return read_record(self.record, found, context, key_path, "")


class MapOf(ValueType):
    """Records or plain values by name; each name must be an entry of the table ``names``, if it is given."""

    def __init__(self, inner: ValueType, names: str = "") -> None:
        self.inner, self.names = inner, names
        self.name = (f"by {names}: " if names else "by name: ") + inner.describe()

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, Struct):
            return self.report_wrong_type(found, context, key_path)
        result: dict[str, Any] = {}
        for label, entry in found.public():
            entry_path = f"{key_path}.{label}"
            if not NAME.fullmatch(label):
                context.diagnostics.add("AR217", entry.location, entry_path, quote(label))
                continue
            if self.names and context.complete:
                table = context.table(self.names)
                known = table.labels() if table is not None else frozenset()
                if label not in known:
                    context.diagnostics.add(
                        "AR208",
                        entry.location,
                        entry_path,
                        f"no {self.names} {quote(label)}; {suggestion(label, known)}",
                    )
                    continue
            value = conjoin(entry.value, found.pattern) if found.pattern is not None else entry.value
            if isinstance(self.inner, RecordOf):
                concrete = concrete_value(value, context.diagnostics, entry_path)
                item = (
                    INVALID
                    if isinstance(concrete, Bottom)
                    else read_record(self.inner.record, concrete, context, entry_path, label, entry.location)
                )
            else:
                item = self.inner.read(value, context, entry_path)
            if item is not INVALID:
                result[label] = item
        return result


# --- Records ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a record."""

    name: str
    value_type: ValueType
    doc: str
    default: Any

    @property
    def required(self) -> bool:
        return self.default is REQUIRED


def key(value_type: ValueType, doc: str, default: Any = REQUIRED) -> Any:
    """Define a field of a record: its value type, documentation and default."""
    meta = {"value_type": value_type, "doc": doc, "default": default}
    if default is REQUIRED:
        return dataclasses.field(metadata=meta)
    if isinstance(default, dict):
        return dataclasses.field(default_factory=dict, metadata=meta)
    if callable(default):  # a record type whose keys all have defaults
        return dataclasses.field(default_factory=default, metadata=meta)
    return dataclasses.field(default=default, metadata=meta)


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """Base of all records: its name in its table, and the source locations of its keys."""

    name: str = ""
    location: Location = NO_LOCATION
    locations: dict[str, Location] = dataclasses.field(default_factory=dict, compare=False, repr=False)

    def location_of(self, name: str) -> Location:
        """Return the location of a key's value, or of the record if the key is not written there."""
        return self.locations.get(name, self.location)


R = TypeVar("R", bound=type[Any])


@dataclass_transform(kw_only_default=True, frozen_default=True, field_specifiers=(key,))
def record(cls: R) -> R:
    """Make a class a record: a frozen dataclass with slots and keyword arguments only."""
    return cast(R, dataclass(frozen=True, slots=True, kw_only=True)(cls))


def keys_of(cls: type[Any]) -> list[Key]:
    """Return the keys of a record in the order of their definition."""
    return [
        Key(f.name.removesuffix("_"), f.metadata["value_type"], f.metadata["doc"], f.metadata["default"])
        for f in dataclasses.fields(cls)
        if "value_type" in f.metadata
    ]


_KEYS: dict[type[Any], list[tuple[Key, str]]] = {}


def _keys(cls: type[Any]) -> list[tuple[Key, str]]:
    known = _KEYS.get(cls)
    if known is None:
        fields = [f.name for f in dataclasses.fields(cls) if "value_type" in f.metadata]
        known = _KEYS[cls] = list(zip(keys_of(cls), fields, strict=True))
    return known


def read_record(
    cls: type[Any],
    found: Scalar | ListValue | Struct,
    context: ReadContext,
    key_path: str,
    name: str,
    location: Location | None = None,
) -> Any:
    """Read a struct as a record and report every fault.

    Return ``INVALID`` if a required key is missing or invalid.
    """
    if not isinstance(found, Struct):
        what = str(found) if isinstance(found, Scalar) else "a list"
        context.diagnostics.add("AR202", found.location, key_path, f"{what}, expected a record")
        return INVALID
    record_location = location or found.location
    keys = _keys(cls)
    known = {key.name for key, _ in keys}
    values: dict[str, Any] = {}
    locations: dict[str, Location] = {}
    valid = True
    for label, entry in found.public():
        if label not in known:
            context.diagnostics.add(
                "AR206",
                entry.location,
                _join_path(key_path, label),
                f"{quote(label)} is not a key of this record; {suggestion(label, known)}",
            )
    for key, field_name in keys:
        given = found.entries.get(key.name)
        if given is None:
            if key.required:
                valid = False
                if context.complete:
                    context.diagnostics.add(
                        "AR207",
                        record_location,
                        _join_path(key_path, key.name),
                        f"{key.name} is missing: {key.doc}",
                        f"add {key.name}: {key.value_type.describe()}",
                    )
            elif isinstance(key.value_type, RecordOf):
                values[field_name] = key.default(location=record_location)  # gives rules a location to report
            continue
        value = conjoin(given.value, found.pattern) if found.pattern is not None else given.value
        item = key.value_type.read(value, context, _join_path(key_path, key.name))
        locations[key.name] = given.value.location
        locations[key.name + ":"] = given.location  # of the key itself
        if isinstance(key.value_type, MapOf):
            struct = resolve(value, context.diagnostics, "")
            if isinstance(struct, Struct):
                locations |= {f"{key.name}.{label}": entry.location for label, entry in struct.public()}
        if isinstance(key.value_type, ListOf):
            for index, item_location in enumerate(key.value_type.item_locations(value, context)):
                locations[f"{key.name}[{index}]"] = item_location
        if item is INVALID:
            valid = valid and not key.required
            continue
        values[field_name] = item
    if not valid:
        return INVALID
    return cls(name=name, location=record_location, locations=locations, **values)


def _join_path(key_path: str, label: str) -> str:
    return f"{key_path}.{label}" if key_path else label


def iter_keys(cls: type[Any], key_path: str = "") -> Iterator[tuple[str, Key]]:
    """Yield all keys of a record and its nested records by path; ``*`` stands for a name."""
    for key in keys_of(cls):
        path = _join_path(key_path, key.name)
        yield path, key
        inner: ValueType = key.value_type
        while isinstance(inner, Nullable | MapOf):
            if isinstance(inner, MapOf):
                path += ".*"
                inner = inner.inner
            else:
                inner = inner.inner
        if isinstance(inner, RecordOf):
            yield from iter_keys(inner.record, path)


Share = Fraction
Reader = Callable[[Value, ReadContext, str], Any]
