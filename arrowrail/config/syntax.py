"""Parses the text of a record file into entries.

Size, line length and nesting depth are checked before parsing, so that hostile input cannot exhaust time or
memory.
"""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import LarkError, UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from arrowrail.config.diagnostics import Diagnostics, Location, quote
from arrowrail.config.values import (
    MAX_NESTING_DEPTH,
    MAX_PATTERN_LENGTH,
    STRING,
    TYPES,
    Bottom,
    Constraint,
    DiagnosticError,
    Disjunction,
    Entry,
    ListValue,
    Reference,
    Scalar,
    Scope,
    Struct,
    Value,
    conjoin,
    parse_number,
)  # fmt: skip

MAX_FILE_BYTES = 4 << 20  # ten times the size of an inventory of 10,000 lines
MAX_LINE_LENGTH = 4096  # characters
MAX_ALTERNATIVES = 64  # per value: unifying two disjunctions tries every pair of alternatives
CONTROL = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f\ufeff]|\r(?!\n)")
OPEN, CLOSE = "{[(", "}])"
TOKEN_NAMES = {
    "$END": "the end of the file", "RBRACE": "'}'", "RSQB": "']'", "RPAR": "')'", "_SEP": "a new line or ','",
    "COLON": "':'", "LBRACE": "'{'", "LSQB": "'['", "NAME": "a name", "STRING": "a string", "DOT": "'.'",
    "NUMBER": "a number", "BAR": "'|'", "AMP": "'&'", "BOUND": "a bound", "STAR": "'*'", "LPAR": "'('",
    "INCLUDE": "include", "PATTERN": "[string]",
}  # fmt: skip


@dataclass(slots=True)
class Include:
    """An ``include`` statement."""

    location: Location
    path: str


@dataclass(slots=True)
class Parsed:
    """The entries of one file and its includes, which are not loaded yet."""

    own: Struct
    scope: Scope
    includes: list[Include] = field(default_factory=list)
    complete: bool = True  # false if a part of the file could not be read


class _TreeBuilder(Transformer[Token, Any]):
    """Builds values while the parser runs, without recursion."""

    def __init__(self) -> None:
        super().__init__()
        self.start_file("")

    def start_file(self, file: str) -> None:
        """Reset the state for the next file: all files share one parser, as its tables are slow to build."""
        self.file = file
        self.scope = Scope(Struct(Location(file, 1, 1)))
        self.diagnostics: list[DiagnosticError] = []

    def _location(self, token: Token) -> Location:
        return Location(self.file, token.line or 1, token.column or 1)

    def _text(self, token: Token) -> str:
        try:
            text = json.loads(str(token))
            text.encode()  # rejects lone surrogates, which cannot be encoded
        except ValueError:
            self.diagnostics.append(
                DiagnosticError("AR107", self._location(token), f"{quote(token)}: invalid escape sequence")
            )
            return ""
        return str(text)

    def _name(self, token: Token) -> str:
        return self._text(token) if token.type == "STRING" else str(token)

    def string(self, children: list[Token]) -> Value:
        return Scalar(self._location(children[0]), STRING, self._text(children[0]))

    def number(self, children: list[Token]) -> Value:
        location = self._location(children[0])
        try:
            return parse_number(str(children[0]), location)
        except DiagnosticError as error:
            self.diagnostics.append(error)
            return Bottom(location)

    def reference(self, children: list[Token]) -> Value:
        location, first = self._location(children[0]), str(children[0])
        if len(children) == 1:
            if first in ("true", "false"):
                return Scalar(location, "bool", first == "true")
            if first == "null":
                return Scalar(location, "null", None)
            if first in TYPES:
                return Constraint(location, TYPES[first])
        return Reference(location, tuple(self._name(child) for child in children), self.scope)

    def bound(self, children: list[Any]) -> Value:
        op, value = children
        location = self._location(op)
        if not isinstance(value, Scalar):
            self.diagnostics.append(DiagnosticError("AR107", value.location, "a bound needs a scalar"))
            return Bottom(location)
        if op == "=~":
            try:
                pattern = str(value.value)
                if value.kind != STRING or len(pattern) > MAX_PATTERN_LENGTH or _may_backtrack(pattern):
                    raise ValueError("not a string, too long, a repeated group or more than three repeats")
                re.compile(pattern)
            except (re.error, ValueError, OverflowError, RecursionError) as error:
                self.diagnostics.append(
                    DiagnosticError("AR107", value.location, f"invalid pattern: {str(error)[:80]}")
                )
                return Bottom(location)
        return Constraint(location, None, ((str(op), value),))

    def conjunction(self, children: list[Any]) -> Value:
        result: Value = children[0]
        for child in children[1:]:
            if isinstance(child, Token):
                continue
            result = conjoin(result, child)
        return result

    def alternative(self, children: list[Any]) -> tuple[Token | None, Value]:
        return (children[0], children[1]) if len(children) == 2 else (None, children[0])

    def disjunction(self, children: list[Any]) -> tuple[None, Value]:
        alternatives = [child for child in children if isinstance(child, tuple)]
        if len(alternatives) > MAX_ALTERNATIVES:
            self.diagnostics.append(
                DiagnosticError(
                    "AR106", alternatives[0][1].location, f"more than {MAX_ALTERNATIVES} alternatives"
                )
            )
            return None, alternatives[0][1]
        return None, Disjunction(
            alternatives[0][1].location, tuple((star is not None, value) for star, value in alternatives)
        )

    def _single_value(self, child: Any) -> Value:
        """Return the value of a single alternative, which cannot be marked as a default."""
        if not isinstance(child, tuple):
            return child  # type: ignore[no-any-return]
        star, value = child
        if star is not None:
            self.diagnostics.append(
                DiagnosticError(
                    "AR107", self._location(star), "'*' marks the default of several alternatives"
                )
            )
        return value  # type: ignore[no-any-return]

    def group(self, children: list[Any]) -> Value:
        return self._single_value(children[0])

    def array(self, children: list[Any]) -> Value:
        return ListValue(
            self._location(children[0]), tuple(self._single_value(child) for child in children[1:])
        )

    def label(self, children: list[Token]) -> tuple[str, Location]:
        token = children[0]
        name = "[string]" if token.type == "PATTERN" else self._name(token)
        if token.type == "STRING" and name[:1] in ("#", "["):
            self.diagnostics.append(DiagnosticError("AR217", self._location(token), f"label {quote(name)}"))
        return name, self._location(token)

    def field(self, children: list[Any]) -> tuple[str, Entry]:
        (name, location), value = children
        if isinstance(value, tuple) and isinstance(value[0], str) and isinstance(value[1], Entry):
            value = self._struct(value[1].location, [value])
        return name, Entry(location, self._single_value(value))

    def _struct(self, location: Location, children: list[Any]) -> Struct:
        struct = Struct(location)
        for label, entry in children:
            if label == "[string]":
                known = struct.pattern
                struct.pattern = entry.value if known is None else conjoin(known, entry.value)
                continue
            duplicate = struct.entries.get(label)
            if duplicate is not None:
                entry = Entry(duplicate.location, conjoin(duplicate.value, entry.value))
            struct.entries[label] = entry
        return struct

    def struct(self, children: list[Any]) -> Value:
        return self._struct(self._location(children[0]), children[1:])

    def include(self, children: list[Token]) -> Include:
        return Include(self._location(children[0]), self._text(children[1]))

    def start(self, children: list[Any]) -> Parsed:
        own = self._struct(
            Location(self.file, 1, 1), [child for child in children if isinstance(child, tuple)]
        )
        self.scope.root = own
        return Parsed(own, self.scope, [child for child in children if isinstance(child, Include)])


def _may_backtrack(pattern: str) -> bool:
    """Return whether matching may take exponential time.

    That is, whether there are repeated groups, back references or more than three repeats.
    """
    return re.search(r"\)[*+{?]|\\[0-9]", pattern) is not None or len(re.findall(r"[*+{]", pattern)) > 3


@lru_cache(maxsize=1)
def _parser() -> tuple[Lark, _TreeBuilder]:
    grammar = Path(__file__).with_name("grammar.lark").read_text(encoding="utf-8")
    builder = _TreeBuilder()
    return Lark(grammar, parser="lalr", transformer=builder, maybe_placeholders=False), builder


def decode(file: str, raw: bytes, diagnostics: Diagnostics) -> str | None:
    """Decode a file and check its limits; return ``None`` after a fault."""
    if len(raw) > MAX_FILE_BYTES:
        diagnostics.add("AR104", Location(file), "", f"{len(raw)} bytes, {MAX_FILE_BYTES} at most")
        return None
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as error:
        before = raw[: error.start]
        line = before.count(b"\n") + 1
        column = len(before.rpartition(b"\n")[2].decode("utf-8", "replace")) + 1
        diagnostics.add("AR102", Location(file, line, column), "", f"byte 0x{raw[error.start]:02x}")
        return None
    valid = True
    for line_number, line_text in enumerate(text.split("\n"), 1):
        if len(line_text) > MAX_LINE_LENGTH:
            diagnostics.add(
                "AR105", Location(file, line_number, MAX_LINE_LENGTH + 1), "", f"{len(line_text)} characters"
            )
            valid = False
        found = CONTROL.search(line_text[: MAX_LINE_LENGTH + 1])
        if found is not None and not (found[0] == "\r" and found.end() == len(line_text)):
            diagnostics.add(
                "AR103", Location(file, line_number, found.start() + 1), "", f"character {ord(found[0]):#04x}"
            )
            valid = False
        if not valid and len(diagnostics) > 20:
            break
    return text if valid and _check_nesting(file, text, diagnostics) else None


def _check_nesting(file: str, text: str, diagnostics: Diagnostics) -> bool:
    """Check that brackets match and that the depth of brackets and chained labels is within the limit."""
    brackets: list[tuple[str, Location]] = []
    for line_number, line in enumerate(text.split("\n"), 1):
        in_string = escaped = False
        labels = string_column = 0
        for column, char in enumerate(line, 1):
            if in_string:
                if escaped:
                    escaped = False
                elif char == "\\":
                    escaped = True
                elif char == '"':
                    in_string = False
                continue
            if char == '"':
                in_string, string_column = True, column
            elif char == "/" and line[column : column + 1] == "/":
                break
            elif char == ":":
                labels += 1
            elif char in ",{}":
                labels = 0
            if char in OPEN:
                brackets.append((char, Location(file, line_number, column)))
            elif char in CLOSE and brackets:
                opening, location = brackets.pop()
                if OPEN.index(opening) != CLOSE.index(char):
                    diagnostics.add(
                        "AR107",
                        Location(file, line_number, column),
                        "",
                        f"{char!r} does not match {opening!r} of line {location.line}",
                        other=location,
                    )
                    return False
            if len(brackets) + labels > MAX_NESTING_DEPTH:
                diagnostics.add(
                    "AR106", Location(file, line_number, column), "", f"more than {MAX_NESTING_DEPTH} levels"
                )
                return False
        if in_string:
            diagnostics.add(
                "AR107",
                Location(file, line_number, string_column),
                "",
                "unterminated string",
                "close it with '\"' on the same line",
            )
            return False
    if brackets:
        opening, location = brackets[-1]
        diagnostics.add(
            "AR107", location, "", f"{opening!r} is not closed", f"add {CLOSE[OPEN.index(opening)]!r}"
        )
        return False
    return True


def parse(file: str, raw: bytes, diagnostics: Diagnostics) -> Parsed:
    """Parse a file; if a part cannot be read, the faults give its location and ``complete`` is false."""
    text = decode(file, raw, diagnostics)
    if text is None:
        return _unreadable(file)
    if text.count("|") + text.count("&") > 20_000:
        diagnostics.add("AR106", Location(file), "", "more than 20000 '|' and '&' operators")
        return _unreadable(file)
    parser, builder = _parser()
    builder.start_file(file)
    try:
        parsed: Any = parser.parse(text + "\n")
    except (UnexpectedCharacters, UnexpectedToken, UnexpectedEOF) as error:
        diagnostics.add("AR107", *_describe_syntax_error(file, text, error))
        return _unreadable(file)
    except RecursionError:
        diagnostics.add("AR106", Location(file), "", "nested too deeply for the parser")
        return _unreadable(file)
    except LarkError as error:
        diagnostics.add("AR107", Location(file, 1, 1), "", str(error).splitlines()[0][:80])
        return _unreadable(file)
    for found in builder.diagnostics:
        diagnostics.add(found.code, found.location, "", found.message, other=found.other)
    return parsed  # type: ignore[no-any-return]


def _unreadable(file: str) -> Parsed:
    own = Struct(Location(file, 1, 1))
    return Parsed(own, Scope(own, False), complete=False)


def _describe_syntax_error(file: str, text: str, error: Any) -> tuple[Location, str, str, str]:
    line, column = getattr(error, "line", -1), getattr(error, "column", -1)
    if not isinstance(line, int) or line < 1:
        line, column = text.count("\n") + 1, 1
    lines = text.split("\n")
    rest = lines[line - 1][column - 1 :] if line <= len(lines) else ""
    expected = getattr(error, "accepts", None) or getattr(error, "allowed", None) or ()
    names = sorted({TOKEN_NAMES.get(str(token), str(token).lower()) for token in expected} - {""})
    found = quote(rest.split(" ")[0]) if rest.strip() else "the end of the line"
    remedy = ("expected here: " + ", ".join(names[:8])) if names else ""
    if rest.startswith("="):
        remedy = "a value follows ':', not '='"
    elif rest.startswith('"'):
        remedy = "close the string with '\"' on the same line"
    elif rest.startswith("'"):
        remedy = 'strings are quoted with "'
    elif rest.startswith("#"):
        remedy = "a comment begins with //"
    return Location(file, line, max(1, column)), "", f"unexpected {found}", remedy
