"""Value types of record files and their unification.  No I/O.

A value is concrete (scalar, list, struct), a constraint, a disjunction, or unresolved (reference,
conjunction).  Unification is commutative: the order of files and entries does not matter.  Neither of two
conflicting values takes precedence; the diagnostic names both locations.
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
MAX_NESTING_DEPTH = 48  # levels of structs and lists inside one another
MAX_PATTERN_LENGTH = 200  # characters of a regular expression
MAX_REFERENCE_DEPTH = 80  # references and conjunctions resolved inside one another


@dataclass(slots=True)
class Scalar:
    """A single value, or a quantity in the base unit of its kind."""

    location: Location
    kind: str
    value: Any  # str, int, float, bool, None, or the Fraction of a rate or share

    def __str__(self) -> str:
        if self.kind == STRING:
            return quote(self.value)
        if self.kind == BOOL:
            return "true" if self.value else "false"
        return "null" if self.kind == NULL else units.write(self.kind, self.value)


@dataclass(slots=True)
class Constraint:
    """Allowed kinds and bounds; a value has to satisfy all of them."""

    location: Location
    kinds: tuple[str, ...] | None = None  # None: any kind
    bounds: tuple[tuple[str, Scalar], ...] = ()

    def __str__(self) -> str:
        names = [name for name, kinds in TYPES.items() if kinds == self.kinds]
        parts = names + [f"{op}{bound}" for op, bound in self.bounds]
        return " & ".join(parts) or "any value"


@dataclass(slots=True)
class ListValue:
    """A list of values of any types."""

    location: Location
    items: tuple[Value, ...]


@dataclass(slots=True)
class Entry:
    """A labelled value of a struct."""

    location: Location  # of the label
    value: Value


@dataclass(slots=True)
class Struct:
    """Labelled entries; labels that start with ``#`` are definitions, with ``_`` hidden entries."""

    location: Location
    entries: dict[str, Entry] = field(default_factory=dict)
    pattern: Value | None = None  # unified with the value of every public entry
    _labels: frozenset[str] | None = None

    def labels(self) -> frozenset[str]:
        """Return the labels of public entries; cached, so call it only once all entries are added."""
        if self._labels is None or len(self._labels) > len(self.entries):
            self._labels = frozenset(label for label, _ in self.public())
        return self._labels

    def public(self) -> Iterator[tuple[str, Entry]]:
        """Yield the entries without definitions (``#name``) and hidden entries (``_name``)."""
        return ((label, entry) for label, entry in self.entries.items() if label[:1] not in ("#", "_"))


@dataclass(slots=True)
class Disjunction:
    """Several alternatives, of which some may be marked as the default."""

    location: Location
    alternatives: tuple[tuple[bool, Value], ...]  # (is default, value)


@dataclass(slots=True)
class Scope:
    """The root in which references of a file are resolved: the file merged with everything it includes."""

    root: Struct
    complete: bool = True  # false if a part could not be read: a missing entry is then not an error


@dataclass(slots=True)
class Reference:
    """A dotted path to another value; ``resolved`` caches the result."""

    location: Location
    path: tuple[str, ...]
    scope: Scope
    resolved: Value | None = None
    resolving: bool = False

    def __str__(self) -> str:
        return ".".join(self.path)


@dataclass(slots=True)
class Conjunction:
    """Values that have to be unified; ``resolved`` caches the result."""

    location: Location
    parts: tuple[Value, ...]
    resolved: Value | None = None
    resolving: bool = False


@dataclass(slots=True)
class Bottom:
    """An invalid value that has been reported; it causes no further diagnostics."""

    location: Location


Value = Scalar | Constraint | ListValue | Struct | Disjunction | Reference | Conjunction | Bottom


class DiagnosticError(Exception):
    """Carries one diagnostic up to the code that knows the key path."""

    def __init__(self, code: str, location: Location, message: str, other: Location | None = None) -> None:
        super().__init__(message)
        self.code, self.location, self.message, self.other = code, location, message, other


def conjoin(one: Value, other: Value) -> Value:
    """Return the conjunction of two values, unified only when read, so that references may point anywhere."""
    parts = (*(one.parts if isinstance(one, Conjunction) else (one,)), other)
    return Conjunction(one.location, parts)


def merge_structs(one: Struct, other: Struct) -> Struct:
    """Return a new struct with the entries of both; entries present in both are conjoined."""
    if not other.entries and other.pattern is None:
        return one
    entries = dict(one.entries)
    for label, entry in other.entries.items():
        known = entries.get(label)
        entries[label] = entry if known is None else Entry(known.location, conjoin(known.value, entry.value))
    pattern = one.pattern
    if other.pattern is not None:
        pattern = other.pattern if pattern is None else conjoin(pattern, other.pattern)
    return Struct(one.location, entries, pattern)


def resolve(value: Value, diagnostics: Diagnostics, key_path: str = "") -> Value:
    """Resolve references and conjunctions to a scalar, list, struct, constraint, disjunction or bottom."""
    if not isinstance(value, Reference | Conjunction):
        return value
    if value.resolved is not None:
        return value.resolved
    if value.resolving:
        diagnostics.add("AR209", value.location, key_path, "circular reference")
        return Bottom(value.location)
    if diagnostics.depth >= MAX_REFERENCE_DEPTH:
        diagnostics.add(
            "AR106",
            value.location,
            key_path,
            f"more than {MAX_REFERENCE_DEPTH} nested references",
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


def _resolve_reference(reference: Reference, diagnostics: Diagnostics, key_path: str) -> Value:
    current: Value = reference.scope.root
    for step, name in enumerate(reference.path):
        current = resolve(current, diagnostics, key_path)
        if isinstance(current, Bottom):
            return Bottom(reference.location)
        entry = current.entries.get(name) if isinstance(current, Struct) else None
        if entry is None:
            if not reference.scope.complete:
                return Bottom(reference.location)
            known_labels = current.entries if isinstance(current, Struct) else ()
            parent = ".".join(reference.path[:step]) or "the file or its includes"
            raise DiagnosticError(
                "AR208",
                reference.location,
                f"{quote(reference)}: no {quote(name)} in {parent}; " + suggestion(name, known_labels),
            )
        inner: Value = entry.value
        if isinstance(current, Struct) and current.pattern is not None and name[:1] not in ("#", "_"):
            inner = conjoin(inner, current.pattern)
        current = inner
    return resolve(current, diagnostics, key_path)


def unify(one: Value, other: Value, diagnostics: Diagnostics, key_path: str = "") -> Value:
    """Unify two resolved values; raise ``DiagnosticError`` if they conflict."""
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
            raise DiagnosticError("AR201", other.location, "two lists of different lengths", one.location)
        items = tuple(conjoin(first, second) for first, second in zip(one.items, other.items, strict=True))
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
            raise DiagnosticError("AR201", other.location, f"{other} conflicts with {one}", one.location)
        return one
    raise DiagnosticError(
        "AR201", other.location, f"{describe(other)} conflicts with {describe(one)}", one.location
    )


def _unify_disjunction(
    disjunction: Disjunction, other: Value, diagnostics: Diagnostics, key_path: str
) -> Value:
    """Return the alternatives that unify with the other value; default marks are kept."""
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
                if all(
                    not _same_scalar(both, kept) or kept_default != both_default
                    for kept_default, kept in compatible
                ):
                    compatible.append((both_default, both))
    if not compatible:
        options = " | ".join(
            describe(resolve(alternative, diagnostics, key_path))
            for _, alternative in disjunction.alternatives[:6]
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
        kinds = tuple(kind for kind in one.kinds if kind in other.kinds)
        if not kinds:
            raise DiagnosticError("AR201", other.location, f"{other} conflicts with {one}", one.location)
    return Constraint(one.location, kinds, one.bounds + other.bounds)


def check_constraint(scalar: Scalar, constraint: Constraint) -> None:
    """Raise ``DiagnosticError`` if the value violates the constraint."""
    if constraint.kinds is not None and scalar.kind not in constraint.kinds:
        allowed = " or ".join(constraint.kinds)
        code = "AR203" if scalar.kind in (INT, FLOAT) and _takes_unit(constraint.kinds) else "AR202"
        raise DiagnosticError(
            code, scalar.location, f"{scalar} is not of type {allowed}", constraint.location
        )
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
            "AR202", scalar.location, f"{scalar} cannot be compared with {bound}", bound.location
        )
    value, limit = scalar.value, bound.value
    if op == ">=":
        return bool(value >= limit)
    if op == "<=":
        return bool(value <= limit)
    return bool(value > limit) if op == ">" else bool(value < limit)


def concrete_value(
    value: Value, diagnostics: Diagnostics, key_path: str
) -> Scalar | ListValue | Struct | Bottom:
    """Return the single concrete value: the only one or the default; report a fault if there is none."""
    found = resolve(value, diagnostics, key_path)
    if isinstance(found, Disjunction):
        defaults = [alternative for default, alternative in found.alternatives if default]
        if len(defaults) == 1:
            return concrete_value(defaults[0], diagnostics, key_path)
        options = " | ".join(
            describe(resolve(alternative, diagnostics, key_path)) for _, alternative in found.alternatives[:6]
        )
        diagnostics.add(
            "AR210", found.location, key_path, f"{options}: {len(found.alternatives)} alternatives remain"
        )
        return Bottom(found.location)
    if isinstance(found, Constraint):
        diagnostics.add("AR210", found.location, key_path, f"{found} is a constraint, not a value")
        return Bottom(found.location)
    assert not isinstance(found, Reference | Conjunction)
    return found


def describe(value: Value) -> str:
    """Return a short description of a value for messages."""
    if isinstance(value, Scalar | Constraint | Reference):
        return str(value)
    names = {
        ListValue: "a list",
        Struct: "a record",
        Disjunction: "several alternatives",
        Conjunction: "several values",
    }
    return names.get(type(value), "nothing")


def parse_number(text: str, location: Location) -> Scalar:
    """Parse a number with an optional unit; raise ``DiagnosticError`` if it is malformed."""
    try:
        kind, value = units.read(text)
    except units.UnitError as error:
        raise DiagnosticError("AR215", location, f"{quote(text)}: {error}") from error
    return Scalar(location, kind, value)


def plain_data(value: Value, diagnostics: Diagnostics) -> object:
    """Return a value as plain Python data for printing: quantities as text, disjunctions by their default."""
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
