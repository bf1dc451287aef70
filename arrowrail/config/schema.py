"""The one schema: kinds of values, and records made of keys.

A record is a frozen dataclass whose fields carry their kind, default and meaning.  The checker, the writer,
the start of the program and the reference page all read these fields; nothing says them a second time.
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
INVALID: Any = object()  # told of already
REQUIRED: Any = object()
NO_LOCATION = Location("")


@dataclass(slots=True)
class ReadContext:
    """What reading needs to know: where to report, and the tables that references are looked up in."""

    diagnostics: Diagnostics
    root: Struct
    complete: bool = True

    def table(self, name: str) -> Struct | None:
        entry = self.root.entries.get(name)
        found = resolve(entry.value, self.diagnostics, name) if entry is not None else None
        return found if isinstance(found, Struct) else None


class ValueType:
    """One kind of value: how it is read, said, and written."""

    name = "value"

    def read(self, value: Value, context: ReadContext, key_path: str) -> Any:
        """The value as the program uses it, or ``BAD`` after a fault."""
        found = concrete_value(value, context.diagnostics, key_path)
        return INVALID if isinstance(found, Bottom) else self.convert(found, context, key_path)

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        raise NotImplementedError

    def describe(self) -> str:
        """What is allowed, for messages and the reference page."""
        return self.name

    def format(self, value: Any) -> str:
        """The value as it stands in a file."""
        raise NotImplementedError

    def report_wrong_type(self, found: Any, context: ReadContext, key_path: str) -> Any:
        what = str(found) if isinstance(found, Scalar) else type(found).__name__.lower().replace("value", "")
        context.diagnostics.add(
            "AR202", found.location, key_path, f"{what}, where {self.describe()} is wanted"
        )
        return INVALID


class _Ranged(ValueType):
    def __init__(self, low: Any = None, high: Any = None) -> None:
        self.low, self.high = low, high

    def text(self, value: Any) -> str:
        return str(value)

    def describe(self) -> str:
        if self.low is None and self.high is None:
            return self.name
        if self.high is None:
            return f"{self.name}, {self.text(self.low)} or more"
        if self.low is None:
            return f"{self.name}, {self.text(self.high)} at most"
        return f"{self.name}, {self.text(self.low)} to {self.text(self.high)}"

    def check_range(self, value: Any, found: Scalar, context: ReadContext, key_path: str) -> Any:
        if (self.low is not None and value < self.low) or (self.high is not None and value > self.high):
            context.diagnostics.add("AR205", found.location, key_path, f"{found}; allowed: {self.describe()}")
            return INVALID
        return value

    def format(self, value: Any) -> str:
        return self.text(value)


class Integer(_Ranged):
    name = "a whole number"

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, Scalar) or found.kind not in (INT,):
            if isinstance(found, Scalar) and found.kind in units.UNITS:
                context.diagnostics.add(
                    "AR204", found.location, key_path, f"{found}, where {self.describe()}, no unit, is wanted"
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
                    "AR204", found.location, key_path, f"{found}, where {self.describe()}, no unit, is wanted"
                )
                return INVALID
            return self.report_wrong_type(found, context, key_path)
        return self.check_range(found.value, found, context, key_path)

    def format(self, value: Any) -> str:
        return str(int(value)) if float(value).is_integer() else str(value)


class Quantity(_Ranged):
    """A figure with its unit: durations in ns, rates in events a second, shares of 1, sizes in bytes."""

    def __init__(self, kind: str, low: Any = None, high: Any = None) -> None:
        super().__init__(low, high)
        self.kind = kind
        self.name = f"a {kind}"

    def text(self, value: Any) -> str:
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
                f"write one of {units.unit_names(self.kind)} behind it",
            )
            return INVALID
        if found.kind in units.UNITS:
            context.diagnostics.add(
                "AR204",
                found.location,
                key_path,
                f"{found} is a {found.kind}, no {self.kind}",
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

    def __init__(self, most: int = 256) -> None:
        self.most = most

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, Scalar) or found.kind != STRING:
            return self.report_wrong_type(found, context, key_path)
        if len(found.value) > self.most:
            context.diagnostics.add(
                "AR205", found.location, key_path, f"{len(found.value)} characters; {self.most} at most"
            )
            return INVALID
        return self.validate(str(found.value), found, context, key_path)

    def validate(self, text: str, found: Scalar, context: ReadContext, key_path: str) -> Any:
        return text

    def format(self, value: Any) -> str:
        return '"' + str(value).replace("\\", "\\\\").replace('"', '\\"') + '"'


class OneOf(String):
    def __init__(self, *options: str) -> None:
        super().__init__()
        self.options = options
        self.name = "one of " + ", ".join(f'"{o}"' for o in options)

    def validate(self, text: str, found: Scalar, context: ReadContext, key_path: str) -> Any:
        if text in self.options:
            return text
        context.diagnostics.add(
            "AR212", found.location, key_path, f"{quote(text)}; {suggestion(text, self.options)}"
        )
        return INVALID


class DigitString(String):
    name = "digits 0-9 and A-E"

    def validate(self, text: str, found: Scalar, context: ReadContext, key_path: str) -> Any:
        if text and len(text) <= 32 and all(d in CALLED_NUMBER_DIGITS for d in text):
            return text
        context.diagnostics.add(
            "AR202", found.location, key_path, f"{quote(text)} is no prefix of {self.name}"
        )
        return INVALID


class DigitPrefix(DigitString):
    """Digits, or nothing for every number."""

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
            "AR213", found.location, key_path, f"{quote(text)}; a host, ':' and a port from 1 to 65535"
        )
        return INVALID


class TableRef(ValueType):
    """The name of an entry of a table, as ``table.name`` or as a text."""

    def __init__(self, table: str, missing: str = "AR208") -> None:
        self.table, self.missing = table, missing
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
                    self.missing,
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
            else (f'{self.table}."{name}"')
        )


class ListOf(ValueType):
    """Several values of one kind, each once; a tuple."""

    def __init__(self, kind: ValueType, min_items: int = 0, most: int = 10_000) -> None:
        self.kind, self.min_items, self.most = kind, min_items, most
        self.name = f"a list of: {kind.describe()}"

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, ListValue):
            return self.report_wrong_type(found, context, key_path)
        if not self.min_items <= len(found.items) <= self.most:
            code = "AR216" if len(found.items) < self.min_items else "AR205"
            context.diagnostics.add(
                code, found.location, key_path, f"{len(found.items)} values; {self.min_items} to {self.most}"
            )
            return INVALID
        items: list[Any] = []
        for at, item in enumerate(found.items):
            value = self.kind.read(item, context, f"{key_path}[{at}]")
            if value is INVALID:
                continue
            if value in items:
                context.diagnostics.add("AR214", item.location, f"{key_path}[{at}]", quote(value))
                continue
            items.append(value)
        return tuple(items)

    def item_locations(self, value: Value, context: ReadContext) -> Iterator[Location]:
        found = resolve(value, context.diagnostics, "")
        if isinstance(found, ListValue):
            for item in found.items:
                yield item.location

    def format(self, value: Any) -> str:
        return "[" + ", ".join(self.kind.format(v) for v in value) + "]"


class Nullable(ValueType):
    """A value that may be absent, or null."""

    def __init__(self, kind: ValueType) -> None:
        self.kind = kind
        self.name = kind.name

    def describe(self) -> str:
        return self.kind.describe() + ", or absent"

    def read(self, value: Value, context: ReadContext, key_path: str) -> Any:
        found = resolve(value, context.diagnostics, key_path)
        if isinstance(found, Scalar) and found.kind == "null":
            return None
        return self.kind.read(value, context, key_path)

    def format(self, value: Any) -> str:
        return "null" if value is None else self.kind.format(value)


class RecordOf(ValueType):
    def __init__(self, record: type[Any]) -> None:
        self.record = record
        self.name = "a record"

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        return read_record(self.record, found, context, key_path, "")


class MapOf(ValueType):
    """Records, or plain values, by name; ``names`` is the table that the names must stand in."""

    def __init__(self, inner: ValueType, names: str = "") -> None:
        self.inner, self.names = inner, names
        self.name = (f"by {names}: " if names else "by name: ") + inner.describe()

    def convert(self, found: Scalar | ListValue | Struct, context: ReadContext, key_path: str) -> Any:
        if not isinstance(found, Struct):
            return self.report_wrong_type(found, context, key_path)
        result: dict[str, Any] = {}
        for label, entry in found.public():
            at = f"{key_path}.{label}"
            if not NAME.fullmatch(label):
                context.diagnostics.add("AR217", entry.location, at, quote(label))
                continue
            if self.names and context.complete:
                table = context.table(self.names)
                known = table.labels() if table is not None else frozenset()
                if label not in known:
                    context.diagnostics.add(
                        "AR208",
                        entry.location,
                        at,
                        f"no {self.names} {quote(label)}; {suggestion(label, known)}",
                    )
                    continue
            value = conjoin(entry.value, found.pattern) if found.pattern is not None else entry.value
            if isinstance(self.inner, RecordOf):
                inner = concrete_value(value, context.diagnostics, at)
                read = (
                    INVALID
                    if isinstance(inner, Bottom)
                    else read_record(self.inner.record, inner, context, at, label, entry.location)
                )
            else:
                read = self.inner.read(value, context, at)
            if read is not INVALID:
                result[label] = read
        return result


# --- Records ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a record."""

    name: str
    kind: ValueType
    doc: str
    default: Any

    @property
    def required(self) -> bool:
        return self.default is REQUIRED


def key(kind: ValueType, doc: str, default: Any = REQUIRED) -> Any:
    """A field of a record: its kind, what it means, and its default."""
    meta = {"kind": kind, "doc": doc, "default": default}
    if default is REQUIRED:
        return dataclasses.field(metadata=meta)
    if isinstance(default, dict):
        return dataclasses.field(default_factory=dict, metadata=meta)
    if callable(default):  # a record whose own keys all have defaults
        return dataclasses.field(default_factory=default, metadata=meta)
    return dataclasses.field(default=default, metadata=meta)


@dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """What every record has: its name in its table, and the places of what was written."""

    name: str = ""
    location: Location = NO_LOCATION
    locations: dict[str, Location] = dataclasses.field(default_factory=dict, compare=False, repr=False)

    def location_of(self, name: str) -> Location:
        """Where the key's value stands; the record's own place where its default is in force."""
        return self.locations.get(name, self.location)


R = TypeVar("R", bound=type[Any])


@dataclass_transform(kw_only_default=True, frozen_default=True, field_specifiers=(key,))
def record(cls: R) -> R:
    return cast(R, dataclass(frozen=True, slots=True, kw_only=True)(cls))


def keys_of(cls: type[Any]) -> list[Key]:
    """A record's keys in the order in which they are written."""
    return [
        Key(f.name.removesuffix("_"), f.metadata["kind"], f.metadata["doc"], f.metadata["default"])
        for f in dataclasses.fields(cls)
        if "kind" in f.metadata
    ]


_KEYS: dict[type[Any], list[tuple[Key, str]]] = {}


def _keys(cls: type[Any]) -> list[tuple[Key, str]]:
    known = _KEYS.get(cls)
    if known is None:
        fields = [f.name for f in dataclasses.fields(cls) if "kind" in f.metadata]
        known = _KEYS[cls] = list(zip(keys_of(cls), fields, strict=True))
    return known


def read_record(
    cls: type[Any],
    found: Scalar | ListValue | Struct,
    context: ReadContext,
    at: str,
    name: str,
    location: Location | None = None,
) -> Any:
    """A struct as a record: every fault is told; ``BAD`` where a required part of it can't be had."""
    if not isinstance(found, Struct):
        what = str(found) if isinstance(found, Scalar) else "a list"
        context.diagnostics.add("AR202", found.location, at, f"{what}, where a record is wanted")
        return INVALID
    own = location or found.location
    keys = _keys(cls)
    known = {k.name for k, _ in keys}
    values: dict[str, Any] = {}
    locations: dict[str, Location] = {}
    valid = True
    for label, entry in found.public():
        if label not in known:
            context.diagnostics.add(
                "AR206",
                entry.location,
                _join(at, label),
                f"{quote(label)} is no key of this record; {suggestion(label, known)}",
            )
    for k, field_name in keys:
        given = found.entries.get(k.name)
        if given is None:
            if k.required:
                valid = False
                if context.complete:
                    context.diagnostics.add(
                        "AR207",
                        own,
                        _join(at, k.name),
                        f"{k.name} is missing: {k.doc}",
                        f"add {k.name}: {k.kind.describe()}",
                    )
            elif isinstance(k.kind, RecordOf):
                values[field_name] = k.default(location=own)  # so that a rule has a place to name
            continue
        value = conjoin(given.value, found.pattern) if found.pattern is not None else given.value
        read = k.kind.read(value, context, _join(at, k.name))
        locations[k.name] = given.value.location
        locations[k.name + ":"] = given.location
        if isinstance(k.kind, MapOf):
            named = resolve(value, context.diagnostics, "")
            if isinstance(named, Struct):
                locations |= {f"{k.name}.{label}": entry.location for label, entry in named.public()}
        if isinstance(k.kind, ListOf):
            for number, item in enumerate(k.kind.item_locations(value, context)):
                locations[f"{k.name}[{number}]"] = item
        if read is INVALID:
            valid = valid and not k.required
            continue
        values[field_name] = read
    if not valid:
        return INVALID
    return cls(name=name, location=own, locations=locations, **values)


def _join(at: str, label: str) -> str:
    return f"{at}.{label}" if at else label


def iter_keys(cls: type[Any], at: str = "") -> Iterator[tuple[str, Key]]:
    """Every key below a record with its path; ``*`` stands for a name."""
    for k in keys_of(cls):
        path = _join(at, k.name)
        yield path, k
        inner: ValueType = k.kind
        while isinstance(inner, Nullable | MapOf):
            if isinstance(inner, MapOf):
                path += ".*"
                inner = inner.inner
            else:
                inner = inner.kind
        if isinstance(inner, RecordOf):
            yield from iter_keys(inner.record, path)


Share = Fraction
Reader = Callable[[Value, ReadContext, str], Any]
