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
from arrowrail.config.diagnostics import Diagnostics, Location, quote, suggestion

STRING, INT, FLOAT, BOOL, NULL = "string", "int", "float", "bool", "null"
TYPES = {
    "string": (STRING,), "int": (INT,), "number": (INT, FLOAT), "bool": (BOOL,), "null": (NULL,),
    "duration": (units.DURATION,), "rate": (units.RATE,), "share": (units.SHARE,), "size": (units.SIZE,),
}  # fmt: skip
MAX_NESTING_DEPTH = 48  # of structs, lists and choices inside one another
MAX_PATTERN_LENGTH = 200  # characters of a pattern
MAX_REFERENCE_DEPTH = 80  # references that lead to one another


@dataclass(slots=True)
class Scalar:
    location: Location
    kind: str
    value: Any  # str, int, float, bool, None, or the quantity in its base unit

    def __str__(self) -> str:
        if self.kind == STRING:
            return quote(self.value)
        if self.kind == BOOL:
            return "true" if self.value else "false"
        return "null" if self.kind == NULL else units.write(self.kind, self.value)


@dataclass(slots=True)
class Constraint:
    """Types that are allowed, and bounds; a value has to keep all of them."""

    location: Location
    kinds: tuple[str, ...] | None = None  # None: any
    bounds: tuple[tuple[str, Scalar], ...] = ()

    def __str__(self) -> str:
        names = [name for name, kinds in TYPES.items() if kinds == self.kinds]
        parts = names + [f"{op}{bound}" for op, bound in self.bounds]
        return " & ".join(parts) or "any value"


@dataclass(slots=True)
class ListValue:
    location: Location
    items: tuple[Value, ...]


@dataclass(slots=True)
class Entry:
    location: Location  # of its label
    value: Value


@dataclass(slots=True)
class Struct:
    location: Location
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
class Disjunction:
    location: Location
    alternatives: tuple[tuple[bool, Value], ...]  # whether it is the default


@dataclass(slots=True)
class Scope:
    """The root that references of one file are looked up in: the file and all that it includes."""

    root: Struct
    complete: bool = True  # false: some of it could not be read, so what is missing proves nothing


@dataclass(slots=True)
class Reference:
    location: Location
    path: tuple[str, ...]
    scope: Scope
    resolved: Value | None = None
    resolving: bool = False

    def __str__(self) -> str:
        return ".".join(self.path)


@dataclass(slots=True)
class Conjunction:
    location: Location
    parts: tuple[Value, ...]
    resolved: Value | None = None
    resolving: bool = False


@dataclass(slots=True)
class Bottom:
    """What a fault was told of already: it takes part in nothing further."""

    location: Location


Value = Scalar | Constraint | ListValue | Struct | Disjunction | Reference | Conjunction | Bottom


class DiagnosticError(Exception):
    def __init__(self, code: str, location: Location, message: str, other: Location | None = None) -> None:
        super().__init__(message)
        self.code, self.location, self.message, self.other = code, location, message, other


def conjoin(one: Value, other: Value) -> Value:
    """Both at once; worked out when it is read, so that references may lead anywhere."""
    parts = (*(one.parts if isinstance(one, Conjunction) else (one,)), other)
    return Conjunction(one.location, parts)


def merge_structs(one: Struct, other: Struct) -> Struct:
    """A new struct with the entries of both; only labels that stand in both are touched."""
    if not other.entries and other.pattern is None:
        return one
    entries = dict(one.entries)
    for label, entry in other.entries.items():
        before = entries.get(label)
        entries[label] = (
            entry if before is None else Entry(before.location, conjoin(before.value, entry.value))
        )
    pattern = one.pattern
    if other.pattern is not None:
        pattern = other.pattern if pattern is None else conjoin(pattern, other.pattern)
    return Struct(one.location, entries, pattern)


def resolve(value: Value, diagnostics: Diagnostics, key_path: str = "") -> Value:
    """Work references and meetings out, down to a scalar, list, struct, constraint or choice."""
    if not isinstance(value, Reference | Conjunction):
        return value
    if value.resolved is not None:
        return value.resolved
    if value.resolving:
        diagnostics.add("AR209", value.location, key_path, "it leads back to itself")
        return Bottom(value.location)
    if diagnostics.depth >= MAX_REFERENCE_DEPTH:
        diagnostics.add(
            "AR106",
            value.location,
            key_path,
            f"more than {MAX_REFERENCE_DEPTH} references behind one another",
        )
        return Bottom(value.location)
    value.resolving = True
    diagnostics.depth += 1
    try:
        if isinstance(value, Reference):
            value.resolved = _resolve_reference(value, diagnostics, key_path)
        else:
            value.resolved = _resolve_conjunction(value, diagnostics, key_path)
    except DiagnosticError as error:
        diagnostics.add(error.code, error.location, key_path, error.message, other=error.other)
        value.resolved = Bottom(value.location)
    finally:
        value.resolving = False
        diagnostics.depth -= 1
    return value.resolved


def _resolve_conjunction(value: Conjunction, diagnostics: Diagnostics, key_path: str) -> Value:
    result = resolve(value.parts[0], diagnostics, key_path)
    for part in value.parts[1:]:
        result = unify(result, resolve(part, diagnostics, key_path), diagnostics, key_path)
    return result


def _resolve_reference(ref: Reference, diagnostics: Diagnostics, key_path: str) -> Value:
    current: Value = ref.scope.root
    for step, name in enumerate(ref.path):
        current = resolve(current, diagnostics, key_path)
        if isinstance(current, Bottom):
            return Bottom(ref.location)
        entry = current.entries.get(name) if isinstance(current, Struct) else None
        if entry is None:
            if not ref.scope.complete:
                return Bottom(ref.location)
            known_labels = current.entries if isinstance(current, Struct) else ()
            so_far = ".".join(ref.path[:step]) or "the file and what it includes"
            raise DiagnosticError("AR208", ref.location, f"{quote(ref)}: no {quote(name)} in {so_far}; "
                           + suggestion(name, known_labels))  # fmt: skip
        inner: Value = entry.value
        if isinstance(current, Struct) and current.pattern is not None and name[:1] not in ("#", "_"):
            inner = conjoin(inner, current.pattern)
        current = inner
    return resolve(current, diagnostics, key_path)


def unify(one: Value, other: Value, diagnostics: Diagnostics, key_path: str = "") -> Value:
    """What both say; ``Conflict`` where they exclude one another.  Both are worked out already."""
    if isinstance(one, Bottom) or isinstance(other, Bottom):
        return one if isinstance(one, Bottom) else other
    if isinstance(one, Disjunction):
        return _unify_disjunction(one, other, diagnostics, key_path)
    if isinstance(other, Disjunction):
        return _unify_disjunction(other, one, diagnostics, key_path)
    if isinstance(one, Struct) and isinstance(other, Struct):
        return merge_structs(one, other)
    if isinstance(one, ListValue) and isinstance(other, ListValue):
        if len(one.items) != len(other.items):
            raise DiagnosticError("AR201", other.location, "two lists of different length", one.location)
        items = tuple(conjoin(a, b) for a, b in zip(one.items, other.items, strict=True))
        return ListValue(one.location, items)
    if isinstance(one, Constraint) and isinstance(other, Constraint):
        return _intersect(one, other)
    if isinstance(one, Constraint):
        one, other = other, one
    if isinstance(one, Scalar) and isinstance(other, Constraint):
        check_constraint(one, other)
        return one
    if isinstance(one, Scalar) and isinstance(other, Scalar):
        same = one.value == other.value and (one.kind == other.kind or {one.kind, other.kind} == {INT, FLOAT})
        if not same:
            raise DiagnosticError("AR201", other.location, f"{other} here, {one} there", one.location)
        return one
    raise DiagnosticError(
        "AR201", other.location, f"{describe(other)} here, {describe(one)} there", one.location
    )


def _unify_disjunction(
    disjunction: Disjunction, other: Value, diagnostics: Diagnostics, key_path: str
) -> Value:
    """The branches that go together with the other value; a default stays one where it does."""
    compatible: list[tuple[bool, Value]] = []
    first_error: DiagnosticError | None = None
    others = other.alternatives if isinstance(other, Disjunction) else ((True, other),)
    for default, alternative in disjunction.alternatives:
        for other_default, value in others:
            try:
                both = unify(
                    resolve(alternative, diagnostics, key_path),
                    resolve(value, diagnostics, key_path),
                    diagnostics,
                    key_path,
                )
            except DiagnosticError as error:
                first_error = first_error or error
                continue
            if not isinstance(both, Bottom):
                both_default = default and (other_default if isinstance(other, Disjunction) else True)
                if all(not _same_scalar(both, k) or d != both_default for d, k in compatible):
                    compatible.append((both_default, both))
    if not compatible:
        options = " | ".join(
            describe(resolve(b, diagnostics, key_path)) for _, b in disjunction.alternatives[:6]
        )
        location = other.location
        code = (
            first_error.code
            if first_error is not None and first_error.code == "AR201" and not isinstance(other, Scalar)
            else "AR212"
        )
        raise DiagnosticError(code, location, f"{describe(other)} is none of {options}", disjunction.location)
    if len(compatible) == 1:
        return compatible[0][1]
    return Disjunction(disjunction.location, tuple(compatible))


def _same_scalar(one: Value, other: Value) -> bool:
    return (
        isinstance(one, Scalar)
        and isinstance(other, Scalar)
        and (one.kind, one.value) == (other.kind, other.value)
    )


def _intersect(one: Constraint, other: Constraint) -> Constraint:
    kinds = one.kinds if other.kinds is None else other.kinds
    if one.kinds is not None and other.kinds is not None:
        kinds = tuple(k for k in one.kinds if k in other.kinds)
        if not kinds:
            raise DiagnosticError("AR201", other.location, f"{other} here, {one} there", one.location)
    return Constraint(one.location, kinds, one.bounds + other.bounds)


def check_constraint(scalar: Scalar, constraint: Constraint) -> None:
    """``Conflict`` where the value breaks the constraint."""
    if constraint.kinds is not None and scalar.kind not in constraint.kinds:
        wanted = " or ".join(constraint.kinds)
        code = "AR203" if scalar.kind in (INT, FLOAT) and _takes_unit(constraint.kinds) else "AR202"
        raise DiagnosticError(code, scalar.location, f"{scalar} is no {wanted}", constraint.location)
    for op, bound in constraint.bounds:
        if not _satisfies(scalar, op, bound):
            raise DiagnosticError(
                "AR211", scalar.location, f"{scalar} is not {op}{bound}", constraint.location
            )


def _takes_unit(kinds: tuple[str, ...]) -> bool:
    return all(kind in units.UNITS for kind in kinds)


def _satisfies(scalar: Scalar, op: str, bound: Scalar) -> bool:
    if op == "=~":
        return scalar.kind == STRING and re.search(str(bound.value), str(scalar.value)[:256]) is not None
    numeric = {INT, FLOAT}
    comparable = scalar.kind == bound.kind or {scalar.kind, bound.kind} <= numeric
    if op == "!=":
        return not comparable or bool(scalar.value != bound.value)
    if not comparable or scalar.kind in (BOOL, NULL):
        raise DiagnosticError(
            "AR202", scalar.location, f"{scalar} can't be compared with {bound}", bound.location
        )
    low, high = scalar.value, bound.value
    if op == ">=":
        return bool(low >= high)
    if op == "<=":
        return bool(low <= high)
    return bool(low > high) if op == ">" else bool(low < high)


def concrete_value(
    value: Value, diagnostics: Diagnostics, key_path: str
) -> Scalar | ListValue | Struct | Bottom:
    """The one value that is left: the only one, or the default; a fault where there is none."""
    found = resolve(value, diagnostics, key_path)
    if isinstance(found, Disjunction):
        defaults = [alternative for default, alternative in found.alternatives if default]
        if len(defaults) == 1:
            return concrete_value(defaults[0], diagnostics, key_path)
        options = " | ".join(describe(resolve(b, diagnostics, key_path)) for _, b in found.alternatives[:6])
        diagnostics.add(
            "AR210", found.location, key_path, f"{options} leaves {len(found.alternatives)} values"
        )
        return Bottom(found.location)
    if isinstance(found, Constraint):
        diagnostics.add("AR210", found.location, key_path, f"{found} is a constraint and no value")
        return Bottom(found.location)
    assert not isinstance(found, Reference | Conjunction)
    return found


def describe(value: Value) -> str:
    """A value in a message."""
    if isinstance(value, Scalar | Constraint | Reference):
        return str(value)
    names = {ListValue: "a list", Struct: "a record", Disjunction: "a choice", Conjunction: "several values"}
    return names.get(type(value), "nothing")


def parse_number(text: str, location: Location) -> Scalar:
    """A figure as written, with its unit; ``Conflict`` where its unit is not known."""
    try:
        kind, value = units.read(text)
    except units.UnitError as error:
        raise DiagnosticError("AR215", location, f"{quote(text)}: {error}") from error
    return Scalar(location, kind, value)


def plain_data(value: Value, diagnostics: Diagnostics) -> object:
    """A value as plain data, for printing: quantities as their text, defaults chosen."""
    found = concrete_value(value, diagnostics, "")
    if isinstance(found, Scalar):
        quantity = isinstance(found.value, Fraction) or found.kind in units.UNITS
        return units.write(found.kind, found.value) if quantity else found.value
    if isinstance(found, ListValue):
        return [plain_data(item, diagnostics) for item in found.items]
    if isinstance(found, Struct):
        return {
            label: plain_data(
                entry.value if found.pattern is None else conjoin(entry.value, found.pattern), diagnostics
            )
            for label, entry in found.public()
        }
    return None
