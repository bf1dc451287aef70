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
from arrowrail.config.faults import Faults, Place, nearest, shown
from arrowrail.config.values import (
    BOOL,
    FLOAT,
    INT,
    STRING,
    Broken,
    ListValue,
    Meet,
    Ref,
    Scalar,
    Struct,
    Value,
    concrete,
    force,
    meet,
)  # fmt: skip
from arrowrail.state.address import DIGITS, parse_address

NAME = re.compile(r"[A-Za-z0-9_][A-Za-z0-9_.-]{0,63}")
MOST_ITEMS = 100_000
BAD: Any = object()  # told of already
REQUIRED: Any = object()
NOWHERE = Place("")


@dataclass(slots=True)
class Reading:
    """What reading needs to know: where to report, and the tables that references are looked up in."""

    faults: Faults
    root: Struct
    whole: bool = True

    def table(self, name: str) -> Struct | None:
        entry = self.root.entries.get(name)
        found = force(entry.value, self.faults, name) if entry is not None else None
        return found if isinstance(found, Struct) else None


class Kind:
    """One kind of value: how it is read, said, and written."""

    name = "value"

    def read(self, value: Value, r: Reading, key: str) -> Any:
        """The value as the program uses it, or ``BAD`` after a fault."""
        found = concrete(value, r.faults, key)
        return BAD if isinstance(found, Broken) else self.take(found, r, key)

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        raise NotImplementedError

    def says(self) -> str:
        """What is allowed, for messages and the reference page."""
        return self.name

    def write(self, value: Any) -> str:
        """The value as it stands in a file."""
        raise NotImplementedError

    def wrong(self, found: Any, r: Reading, key: str) -> Any:
        what = str(found) if isinstance(found, Scalar) else type(found).__name__.lower().replace("value", "")
        r.faults.add("AR202", found.place, key, f"{what}, where {self.says()} is wanted")
        return BAD


class _Ranged(Kind):
    def __init__(self, low: Any = None, high: Any = None) -> None:
        self.low, self.high = low, high

    def text(self, value: Any) -> str:
        return str(value)

    def says(self) -> str:
        if self.low is None and self.high is None:
            return self.name
        if self.high is None:
            return f"{self.name}, {self.text(self.low)} or more"
        if self.low is None:
            return f"{self.name}, {self.text(self.high)} at most"
        return f"{self.name}, {self.text(self.low)} to {self.text(self.high)}"

    def within(self, value: Any, found: Scalar, r: Reading, key: str) -> Any:
        if (self.low is not None and value < self.low) or (self.high is not None and value > self.high):
            r.faults.add("AR205", found.place, key, f"{found}; allowed: {self.says()}")
            return BAD
        return value

    def write(self, value: Any) -> str:
        return self.text(value)


class Whole(_Ranged):
    name = "a whole number"

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        if not isinstance(found, Scalar) or found.kind not in (INT,):
            if isinstance(found, Scalar) and found.kind in units.UNITS:
                r.faults.add("AR204", found.place, key, f"{found}, where {self.says()}, no unit, is wanted")
                return BAD
            return self.wrong(found, r, key)
        return self.within(found.value, found, r, key)


class Number(_Ranged):
    name = "a number"

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        if not isinstance(found, Scalar) or found.kind not in (INT, FLOAT):
            if isinstance(found, Scalar) and found.kind in units.UNITS:
                r.faults.add("AR204", found.place, key, f"{found}, where {self.says()}, no unit, is wanted")
                return BAD
            return self.wrong(found, r, key)
        return self.within(found.value, found, r, key)

    def write(self, value: Any) -> str:
        return str(int(value)) if float(value).is_integer() else str(value)


class Quantity(_Ranged):
    """A figure with its unit: durations in ns, rates in events a second, shares of 1, sizes in bytes."""

    def __init__(self, kind: str, low: Any = None, high: Any = None) -> None:
        super().__init__(low, high)
        self.kind = kind
        self.name = f"a {kind}"

    def text(self, value: Any) -> str:
        return units.write(self.kind, value)

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        if not isinstance(found, Scalar):
            return self.wrong(found, r, key)
        if found.kind == self.kind:
            return self.within(found.value, found, r, key)
        if found.kind in (INT, FLOAT):
            r.faults.add("AR203", found.place, key, f"{found} has no unit",
                         f"write one of {units.units_of(self.kind)} behind it")  # fmt: skip
            return BAD
        if found.kind in units.UNITS:
            r.faults.add("AR204", found.place, key, f"{found} is a {found.kind}, no {self.kind}",
                         f"use one of {units.units_of(self.kind)}")  # fmt: skip
            return BAD
        return self.wrong(found, r, key)


class Flag(Kind):
    name = "true or false"

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        if isinstance(found, Scalar) and found.kind == BOOL:
            return found.value
        return self.wrong(found, r, key)

    def write(self, value: Any) -> str:
        return "true" if value else "false"


class Text(Kind):
    name = "a text"

    def __init__(self, most: int = 256) -> None:
        self.most = most

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        if not isinstance(found, Scalar) or found.kind != STRING:
            return self.wrong(found, r, key)
        if len(found.value) > self.most:
            r.faults.add("AR205", found.place, key, f"{len(found.value)} characters; {self.most} at most")
            return BAD
        return self.check(str(found.value), found, r, key)

    def check(self, text: str, found: Scalar, r: Reading, key: str) -> Any:
        return text

    def write(self, value: Any) -> str:
        return '"' + str(value).replace("\\", "\\\\").replace('"', '\\"') + '"'


class Choices(Text):
    def __init__(self, *options: str) -> None:
        super().__init__()
        self.options = options
        self.name = "one of " + ", ".join(f'"{o}"' for o in options)

    def check(self, text: str, found: Scalar, r: Reading, key: str) -> Any:
        if text in self.options:
            return text
        r.faults.add("AR212", found.place, key, f"{shown(text)}; {nearest(text, self.options)}")
        return BAD


class Digits(Text):
    name = "digits 0-9 and A-E"

    def check(self, text: str, found: Scalar, r: Reading, key: str) -> Any:
        if text and len(text) <= 32 and all(d in DIGITS for d in text):
            return text
        r.faults.add("AR202", found.place, key, f"{shown(text)} is no prefix of {self.name}")
        return BAD


class Prefix(Digits):
    """Digits, or nothing for every number."""

    def check(self, text: str, found: Scalar, r: Reading, key: str) -> Any:
        return text if text == "" else super().check(text, found, r, key)


class Address(Text):
    name = '"address:port"'

    def check(self, text: str, found: Scalar, r: Reading, key: str) -> Any:
        try:
            host, port = parse_address(text)
            good = bool(host) and 1 <= port <= 65535 and text.isascii() and " " not in text
            good = good and (":" not in host or text.startswith("["))
        except ValueError:
            good = False
        if good:
            return text
        r.faults.add("AR213", found.place, key, f"{shown(text)}; a host, ':' and a port from 1 to 65535")
        return BAD


class RefTo(Kind):
    """The name of an entry of a table, as ``table.name`` or as a text."""

    def __init__(self, table: str, missing: str = "AR208") -> None:
        self.table, self.missing = table, missing
        self.name = f"a reference like {table}.NAME"

    def read(self, value: Value, r: Reading, key: str) -> Any:
        part = value
        if isinstance(value, Meet):
            part = next((p for p in value.parts if isinstance(p, Ref)), value)
        if isinstance(part, Ref) and len(part.path) == 2 and part.path[0] == self.table:
            name, place = part.path[1], part.place
        else:
            found = concrete(value, r.faults, key)
            if isinstance(found, Broken):
                return BAD
            if not isinstance(found, Scalar) or found.kind != STRING:
                return self.wrong(found, r, key)
            name, place = str(found.value), value.place if isinstance(value, Ref) else found.place
        table = r.table(self.table)
        known = table.labels() if table is not None else frozenset()
        if name not in known:
            if r.whole:
                r.faults.add(
                    self.missing, place, key, f"no {self.table} {shown(name)}; {nearest(name, known)}"
                )
            return BAD
        return name

    def write(self, value: Any) -> str:
        name = str(value)
        return f"{self.table}.{name}" if re.fullmatch(r"[A-Za-z_][A-Za-z0-9_-]*", name) else (
            f'{self.table}."{name}"')  # fmt: skip


class ListOf(Kind):
    """Several values of one kind, each once; a tuple."""

    def __init__(self, kind: Kind, least: int = 0, most: int = 10_000) -> None:
        self.kind, self.least, self.most = kind, least, most
        self.name = f"a list of: {kind.says()}"

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        if not isinstance(found, ListValue):
            return self.wrong(found, r, key)
        if not self.least <= len(found.items) <= self.most:
            code = "AR216" if len(found.items) < self.least else "AR205"
            r.faults.add(code, found.place, key, f"{len(found.items)} values; {self.least} to {self.most}")
            return BAD
        items: list[Any] = []
        for at, item in enumerate(found.items):
            value = self.kind.read(item, r, f"{key}[{at}]")
            if value is BAD:
                continue
            if value in items:
                r.faults.add("AR214", item.place, f"{key}[{at}]", shown(value))
                continue
            items.append(value)
        return tuple(items)

    def places(self, value: Value, r: Reading) -> Iterator[Place]:
        found = force(value, r.faults, "")
        if isinstance(found, ListValue):
            for item in found.items:
                yield item.place

    def write(self, value: Any) -> str:
        return "[" + ", ".join(self.kind.write(v) for v in value) + "]"


class Maybe(Kind):
    """A value that may be absent, or null."""

    def __init__(self, kind: Kind) -> None:
        self.kind = kind
        self.name = kind.name

    def says(self) -> str:
        return self.kind.says() + ", or absent"

    def read(self, value: Value, r: Reading, key: str) -> Any:
        found = force(value, r.faults, key)
        if isinstance(found, Scalar) and found.kind == "null":
            return None
        return self.kind.read(value, r, key)

    def write(self, value: Any) -> str:
        return "null" if value is None else self.kind.write(value)


class RecordOf(Kind):
    def __init__(self, record: type[Any]) -> None:
        self.record = record
        self.name = "a record"

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        return read_record(self.record, found, r, key, "")


class MapOf(Kind):
    """Records, or plain values, by name; ``names`` is the table that the names must stand in."""

    def __init__(self, inner: Kind, names: str = "") -> None:
        self.inner, self.names = inner, names
        self.name = (f"by {names}: " if names else "by name: ") + inner.says()

    def take(self, found: Scalar | ListValue | Struct, r: Reading, key: str) -> Any:
        if not isinstance(found, Struct):
            return self.wrong(found, r, key)
        result: dict[str, Any] = {}
        for label, entry in found.public():
            at = f"{key}.{label}"
            if not NAME.fullmatch(label):
                r.faults.add("AR217", entry.place, at, shown(label))
                continue
            if self.names and r.whole:
                table = r.table(self.names)
                known = table.labels() if table is not None else frozenset()
                if label not in known:
                    r.faults.add("AR208", entry.place, at,
                                 f"no {self.names} {shown(label)}; {nearest(label, known)}")  # fmt: skip
                    continue
            value = meet(entry.value, found.pattern) if found.pattern is not None else entry.value
            if isinstance(self.inner, RecordOf):
                inner = concrete(value, r.faults, at)
                read = BAD if isinstance(inner, Broken) else read_record(
                    self.inner.record, inner, r, at, label, entry.place)  # fmt: skip
            else:
                read = self.inner.read(value, r, at)
            if read is not BAD:
                result[label] = read
        return result


# --- Records ------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a record."""

    name: str
    kind: Kind
    doc: str
    default: Any

    @property
    def required(self) -> bool:
        return self.default is REQUIRED


def key(kind: Kind, doc: str, default: Any = REQUIRED) -> Any:
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
    at: Place = NOWHERE
    places: dict[str, Place] = dataclasses.field(default_factory=dict, compare=False, repr=False)

    def place(self, name: str) -> Place:
        """Where the key's value stands; the record's own place where its default is in force."""
        return self.places.get(name, self.at)


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
    cls: type[Any], found: Scalar | ListValue | Struct, r: Reading, at: str, name: str,
    place: Place | None = None,
) -> Any:  # fmt: skip
    """A struct as a record: every fault is told; ``BAD`` where a required part of it can't be had."""
    if not isinstance(found, Struct):
        what = str(found) if isinstance(found, Scalar) else "a list"
        r.faults.add("AR202", found.place, at, f"{what}, where a record is wanted")
        return BAD
    own = place or found.place
    keys = _keys(cls)
    known = {k.name for k, _ in keys}
    values: dict[str, Any] = {}
    places: dict[str, Place] = {}
    good = True
    for label, entry in found.public():
        if label not in known:
            r.faults.add("AR206", entry.place, _join(at, label),
                         f"{shown(label)} is no key of this record; {nearest(label, known)}")  # fmt: skip
    for k, field_name in keys:
        given = found.entries.get(k.name)
        if given is None:
            if k.required:
                good = False
                if r.whole:
                    r.faults.add("AR207", own, _join(at, k.name), f"{k.name} is missing: {k.doc}",
                                 f"add {k.name}: {k.kind.says()}")  # fmt: skip
            elif isinstance(k.kind, RecordOf):
                values[field_name] = k.default(at=own)  # so that a rule has a place to name
            continue
        value = meet(given.value, found.pattern) if found.pattern is not None else given.value
        read = k.kind.read(value, r, _join(at, k.name))
        places[k.name] = given.value.place
        places[k.name + ":"] = given.place
        if isinstance(k.kind, MapOf):
            named = force(value, r.faults, "")
            if isinstance(named, Struct):
                places |= {f"{k.name}.{label}": entry.place for label, entry in named.public()}
        if isinstance(k.kind, ListOf):
            for number, item in enumerate(k.kind.places(value, r)):
                places[f"{k.name}[{number}]"] = item
        if read is BAD:
            good = good and not k.required
            continue
        values[field_name] = read
    if not good:
        return BAD
    return cls(name=name, at=own, places=places, **values)


def _join(at: str, label: str) -> str:
    return f"{at}.{label}" if at else label


def walk(cls: type[Any], at: str = "") -> Iterator[tuple[str, Key]]:
    """Every key below a record with its path; ``*`` stands for a name."""
    for k in keys_of(cls):
        path = _join(at, k.name)
        yield path, k
        inner: Kind = k.kind
        while isinstance(inner, Maybe | MapOf):
            if isinstance(inner, MapOf):
                path += ".*"
                inner = inner.inner
            else:
                inner = inner.kind
        if isinstance(inner, RecordOf):
            yield from walk(inner.record, path)


Share = Fraction
Reader = Callable[[Value, Reading, str], Any]
