"""Values of the operator's records and how two of them become one.  No I/O.

A value is concrete (a scalar, a list, a struct), a constraint, a choice, or something that has to be worked
out first (a reference, a meeting of several).  Unification keeps what both sides say; where they exclude one
another nothing wins, and the fault names both places.  The order of files and entries changes nothing.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from fractions import Fraction
from typing import Any

from arrowrail.config import units
from arrowrail.config.faults import Faults, Place, nearest, shown

STRING, INT, FLOAT, BOOL, NULL = "string", "int", "float", "bool", "null"
TYPES = {
    "string": (STRING,), "int": (INT,), "number": (INT, FLOAT), "bool": (BOOL,), "null": (NULL,),
    "duration": (units.DURATION,), "rate": (units.RATE,), "share": (units.SHARE,), "size": (units.SIZE,),
}  # fmt: skip
MAX_DEPTH = 48  # of structs, lists and choices inside one another
MOST_PATTERN = 200  # characters of a pattern
MOST_STEPS = 80  # references that lead to one another


@dataclass(slots=True)
class Scalar:
    place: Place
    kind: str
    value: Any  # str, int, float, bool, None, or the quantity in its base unit

    def __str__(self) -> str:
        if self.kind == STRING:
            return shown(self.value)
        if self.kind == BOOL:
            return "true" if self.value else "false"
        return "null" if self.kind == NULL else units.write(self.kind, self.value)


@dataclass(slots=True)
class Constraint:
    """Types that are allowed, and bounds; a value has to keep all of them."""

    place: Place
    kinds: tuple[str, ...] | None = None  # None: any
    bounds: tuple[tuple[str, Scalar], ...] = ()

    def __str__(self) -> str:
        names = [name for name, kinds in TYPES.items() if kinds == self.kinds]
        parts = names + [f"{op}{bound}" for op, bound in self.bounds]
        return " & ".join(parts) or "any value"


@dataclass(slots=True)
class ListValue:
    place: Place
    items: tuple[Value, ...]


@dataclass(slots=True)
class Entry:
    place: Place  # of its label
    value: Value


@dataclass(slots=True)
class Struct:
    place: Place
    entries: dict[str, Entry] = field(default_factory=dict)
    pattern: Value | None = None  # holds for every entry
    _labels: frozenset[str] | None = None

    def labels(self) -> frozenset[str]:
        """The labels of public entries; asked once the struct is complete."""
        if self._labels is None or len(self._labels) > len(self.entries):
            self._labels = frozenset(label for label, _ in self.public())
        return self._labels

    def public(self) -> Iterator[tuple[str, Entry]]:
        """The entries without templates (``#name``) and notes (``_name``)."""
        return ((k, e) for k, e in self.entries.items() if k[:1] not in ("#", "_"))


@dataclass(slots=True)
class Choice:
    place: Place
    branches: tuple[tuple[bool, Value], ...]  # whether it is the default


@dataclass(slots=True)
class Scope:
    """The root that references of one file are looked up in: the file and all that it includes."""

    root: Struct
    whole: bool = True  # false: some of it could not be read, so what is missing proves nothing


@dataclass(slots=True)
class Ref:
    place: Place
    path: tuple[str, ...]
    scope: Scope
    forced: Value | None = None
    busy: bool = False

    def __str__(self) -> str:
        return ".".join(self.path)


@dataclass(slots=True)
class Meet:
    place: Place
    parts: tuple[Value, ...]
    forced: Value | None = None
    busy: bool = False


@dataclass(slots=True)
class Broken:
    """What a fault was told of already: it takes part in nothing further."""

    place: Place


Value = Scalar | Constraint | ListValue | Struct | Choice | Ref | Meet | Broken


class Conflict(Exception):
    def __init__(self, code: str, place: Place, wrong: str, other: Place | None = None) -> None:
        super().__init__(wrong)
        self.code, self.place, self.wrong, self.other = code, place, wrong, other


def meet(one: Value, other: Value) -> Value:
    """Both at once; worked out when it is read, so that references may lead anywhere."""
    parts = (*(one.parts if isinstance(one, Meet) else (one,)), other)
    return Meet(one.place, parts)


def merge(one: Struct, other: Struct) -> Struct:
    """A new struct with the entries of both; only labels that stand in both are touched."""
    if not other.entries and other.pattern is None:
        return one
    entries = dict(one.entries)
    for label, entry in other.entries.items():
        before = entries.get(label)
        entries[label] = entry if before is None else Entry(before.place, meet(before.value, entry.value))
    pattern = one.pattern
    if other.pattern is not None:
        pattern = other.pattern if pattern is None else meet(pattern, other.pattern)
    return Struct(one.place, entries, pattern)


def force(value: Value, faults: Faults, key: str = "") -> Value:
    """Work references and meetings out, down to a scalar, list, struct, constraint or choice."""
    if not isinstance(value, Ref | Meet):
        return value
    if value.forced is not None:
        return value.forced
    if value.busy:
        faults.add("AR209", value.place, key, "it leads back to itself")
        return Broken(value.place)
    if faults.depth >= MOST_STEPS:
        faults.add("AR106", value.place, key, f"more than {MOST_STEPS} references behind one another")
        return Broken(value.place)
    value.busy = True
    faults.depth += 1
    try:
        if isinstance(value, Ref):
            value.forced = _look_up(value, faults, key)
        else:
            value.forced = _all(value, faults, key)
    except Conflict as wrong:
        faults.add(wrong.code, wrong.place, key, wrong.wrong, other=wrong.other)
        value.forced = Broken(value.place)
    finally:
        value.busy = False
        faults.depth -= 1
    return value.forced


def _all(value: Meet, faults: Faults, key: str) -> Value:
    result = force(value.parts[0], faults, key)
    for part in value.parts[1:]:
        result = unify(result, force(part, faults, key), faults, key)
    return result


def _look_up(ref: Ref, faults: Faults, key: str) -> Value:
    at: Value = ref.scope.root
    for step, name in enumerate(ref.path):
        at = force(at, faults, key)
        if isinstance(at, Broken):
            return Broken(ref.place)
        entry = at.entries.get(name) if isinstance(at, Struct) else None
        if entry is None:
            if not ref.scope.whole:
                return Broken(ref.place)
            labels = at.entries if isinstance(at, Struct) else ()
            so_far = ".".join(ref.path[:step]) or "the file and what it includes"
            raise Conflict("AR208", ref.place, f"{shown(ref)}: no {shown(name)} in {so_far}; "
                           + nearest(name, labels))  # fmt: skip
        inner: Value = entry.value
        if isinstance(at, Struct) and at.pattern is not None and name[:1] not in ("#", "_"):
            inner = meet(inner, at.pattern)
        at = inner
    return force(at, faults, key)


def unify(one: Value, other: Value, faults: Faults, key: str = "") -> Value:
    """What both say; ``Conflict`` where they exclude one another.  Both are worked out already."""
    if isinstance(one, Broken) or isinstance(other, Broken):
        return one if isinstance(one, Broken) else other
    if isinstance(one, Choice):
        return _choose(one, other, faults, key)
    if isinstance(other, Choice):
        return _choose(other, one, faults, key)
    if isinstance(one, Struct) and isinstance(other, Struct):
        return merge(one, other)
    if isinstance(one, ListValue) and isinstance(other, ListValue):
        if len(one.items) != len(other.items):
            raise Conflict("AR201", other.place, "two lists of different length", one.place)
        items = tuple(meet(a, b) for a, b in zip(one.items, other.items, strict=True))
        return ListValue(one.place, items)
    if isinstance(one, Constraint) and isinstance(other, Constraint):
        return _narrow(one, other)
    if isinstance(one, Constraint):
        one, other = other, one
    if isinstance(one, Scalar) and isinstance(other, Constraint):
        keep(one, other)
        return one
    if isinstance(one, Scalar) and isinstance(other, Scalar):
        same = one.value == other.value and (one.kind == other.kind or {one.kind, other.kind} == {INT, FLOAT})
        if not same:
            raise Conflict("AR201", other.place, f"{other} here, {one} there", one.place)
        return one
    raise Conflict("AR201", other.place, f"{said(other)} here, {said(one)} there", one.place)


def _choose(choice: Choice, other: Value, faults: Faults, key: str) -> Value:
    """The branches that go together with the other value; a default stays one where it does."""
    kept: list[tuple[bool, Value]] = []
    why: Conflict | None = None
    others = other.branches if isinstance(other, Choice) else ((True, other),)
    for default, branch in choice.branches:
        for also, value in others:
            try:
                both = unify(force(branch, faults, key), force(value, faults, key), faults, key)
            except Conflict as wrong:
                why = why or wrong
                continue
            if not isinstance(both, Broken):
                default_both = default and (also if isinstance(other, Choice) else True)
                if all(not _same(both, k) or d != default_both for d, k in kept):
                    kept.append((default_both, both))
    if not kept:
        options = " | ".join(said(force(b, faults, key)) for _, b in choice.branches[:6])
        place = other.place
        code = (
            why.code if why is not None and why.code == "AR201" and not isinstance(other, Scalar) else "AR212"
        )
        raise Conflict(code, place, f"{said(other)} is none of {options}", choice.place)
    if len(kept) == 1:
        return kept[0][1]
    return Choice(choice.place, tuple(kept))


def _same(one: Value, other: Value) -> bool:
    return (
        isinstance(one, Scalar)
        and isinstance(other, Scalar)
        and (one.kind, one.value) == (other.kind, other.value)
    )


def _narrow(one: Constraint, other: Constraint) -> Constraint:
    kinds = one.kinds if other.kinds is None else other.kinds
    if one.kinds is not None and other.kinds is not None:
        kinds = tuple(k for k in one.kinds if k in other.kinds)
        if not kinds:
            raise Conflict("AR201", other.place, f"{other} here, {one} there", one.place)
    return Constraint(one.place, kinds, one.bounds + other.bounds)


def keep(scalar: Scalar, constraint: Constraint) -> None:
    """``Conflict`` where the value breaks the constraint."""
    if constraint.kinds is not None and scalar.kind not in constraint.kinds:
        wanted = " or ".join(constraint.kinds)
        code = "AR203" if scalar.kind in (INT, FLOAT) and _takes_unit(constraint.kinds) else "AR202"
        raise Conflict(code, scalar.place, f"{scalar} is no {wanted}", constraint.place)
    for op, bound in constraint.bounds:
        if not _holds(scalar, op, bound):
            raise Conflict("AR211", scalar.place, f"{scalar} is not {op}{bound}", constraint.place)


def _takes_unit(kinds: tuple[str, ...]) -> bool:
    return all(kind in units.UNITS for kind in kinds)


def _holds(scalar: Scalar, op: str, bound: Scalar) -> bool:
    if op == "=~":
        return scalar.kind == STRING and re.search(str(bound.value), str(scalar.value)[:256]) is not None
    numeric = {INT, FLOAT}
    comparable = scalar.kind == bound.kind or {scalar.kind, bound.kind} <= numeric
    if op == "!=":
        return not comparable or bool(scalar.value != bound.value)
    if not comparable or scalar.kind in (BOOL, NULL):
        raise Conflict("AR202", scalar.place, f"{scalar} can't be compared with {bound}", bound.place)
    low, high = scalar.value, bound.value
    if op == ">=":
        return bool(low >= high)
    if op == "<=":
        return bool(low <= high)
    return bool(low > high) if op == ">" else bool(low < high)


def concrete(value: Value, faults: Faults, key: str) -> Scalar | ListValue | Struct | Broken:
    """The one value that is left: the only one, or the default; a fault where there is none."""
    found = force(value, faults, key)
    if isinstance(found, Choice):
        defaults = [branch for default, branch in found.branches if default]
        if len(defaults) == 1:
            return concrete(defaults[0], faults, key)
        options = " | ".join(said(force(b, faults, key)) for _, b in found.branches[:6])
        faults.add("AR210", found.place, key, f"{options} leaves {len(found.branches)} values")
        return Broken(found.place)
    if isinstance(found, Constraint):
        faults.add("AR210", found.place, key, f"{found} is a constraint and no value")
        return Broken(found.place)
    assert not isinstance(found, Ref | Meet)
    return found


def said(value: Value) -> str:
    """A value in a message."""
    if isinstance(value, Scalar | Constraint | Ref):
        return str(value)
    names = {ListValue: "a list", Struct: "a record", Choice: "a choice", Meet: "several values"}
    return names.get(type(value), "nothing")


def figure(text: str, place: Place) -> Scalar:
    """A figure as written, with its unit; ``Conflict`` where its unit is not known."""
    try:
        kind, value = units.read(text)
    except units.UnitError as wrong:
        raise Conflict("AR215", place, f"{shown(text)}: {wrong}") from wrong
    return Scalar(place, kind, value)


def plain(value: Value, faults: Faults) -> object:
    """A value as plain data, for printing: quantities as their text, defaults chosen."""
    found = concrete(value, faults, "")
    if isinstance(found, Scalar):
        quantity = isinstance(found.value, Fraction) or found.kind in units.UNITS
        return units.write(found.kind, found.value) if quantity else found.value
    if isinstance(found, ListValue):
        return [plain(item, faults) for item in found.items]
    if isinstance(found, Struct):
        return {
            label: plain(entry.value if found.pattern is None else meet(entry.value, found.pattern), faults)
            for label, entry in found.public()
        }
    return None
