"""One file's text to its entries.  Bounds come first, so that nothing that follows can run away."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass, field
from functools import lru_cache
from pathlib import Path
from typing import Any

from lark import Lark, Token, Transformer
from lark.exceptions import LarkError, UnexpectedCharacters, UnexpectedEOF, UnexpectedToken

from arrowrail.config.faults import Faults, Place, shown
from arrowrail.config.values import (
    MAX_DEPTH,
    MOST_PATTERN,
    STRING,
    TYPES,
    Broken,
    Choice,
    Conflict,
    Constraint,
    Entry,
    ListValue,
    Ref,
    Scalar,
    Scope,
    Struct,
    Value,
    figure,
    meet,
)  # fmt: skip

MAX_FILE = 4 << 20  # bytes: 10,000 lines of inventory are a tenth of it
MAX_LINE = 4096  # characters
MOST_CHOICES = 64  # of one value: two that meet are tried pair by pair
CONTROL = re.compile(r"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f\ufeff]|\r(?!\n)")
OPEN, CLOSE = "{[(", "}])"
NAMES = {
    "$END": "the end of the file", "RBRACE": "'}'", "RSQB": "']'", "RPAR": "')'", "_SEP": "a new line or ','",
    "COLON": "':'", "LBRACE": "'{'", "LSQB": "'['", "NAME": "a name", "STRING": "a text", "DOT": "'.'",
    "FIGURE": "a figure", "BAR": "'|'", "AMP": "'&'", "BOUND": "a bound", "STAR": "'*'", "LPAR": "'('",
    "INCLUDE": "include", "PATTERN": "[string]",
}  # fmt: skip


@dataclass(slots=True)
class Include:
    place: Place
    path: str


@dataclass(slots=True)
class Parsed:
    own: Struct
    scope: Scope
    includes: list[Include] = field(default_factory=list)
    whole: bool = True  # false: a part of it could not be read


class _Build(Transformer[Token, Any]):
    """Nodes as the parser finds them: nothing here recurses."""

    def __init__(self) -> None:
        super().__init__()
        self.begin("")

    def begin(self, file: str) -> None:
        """The next file: one parser, whose tables take a while to make, serves all of them in turn."""
        self.file = file
        self.scope = Scope(Struct(Place(file, 1, 1)))
        self.faults: list[Conflict] = []

    def _at(self, token: Token) -> Place:
        return Place(self.file, token.line or 1, token.column or 1)

    def _text(self, token: Token) -> str:
        try:
            text = json.loads(str(token))
            text.encode()  # half a surrogate pair can't be written anywhere
        except ValueError:
            self.faults.append(Conflict("AR107", self._at(token), f"{shown(token)}: a \\ that means nothing"))
            return ""
        return str(text)

    def _name(self, token: Token) -> str:
        return self._text(token) if token.type == "STRING" else str(token)

    def string(self, children: list[Token]) -> Value:
        return Scalar(self._at(children[0]), STRING, self._text(children[0]))

    def figure(self, children: list[Token]) -> Value:
        place = self._at(children[0])
        try:
            return figure(str(children[0]), place)
        except Conflict as wrong:
            self.faults.append(wrong)
            return Broken(place)

    def path(self, children: list[Token]) -> Value:
        place, first = self._at(children[0]), str(children[0])
        if len(children) == 1:
            if first in ("true", "false"):
                return Scalar(place, "bool", first == "true")
            if first == "null":
                return Scalar(place, "null", None)
            if first in TYPES:
                return Constraint(place, TYPES[first])
        return Ref(place, tuple(self._name(c) for c in children), self.scope)

    def bound(self, children: list[Any]) -> Value:
        op, value = children
        place = self._at(op)
        if not isinstance(value, Scalar):
            self.faults.append(Conflict("AR107", value.place, "a bound takes a plain value"))
            return Broken(place)
        if op == "=~":
            try:
                pattern = str(value.value)
                if value.kind != STRING or len(pattern) > MOST_PATTERN or _runs_away(pattern):
                    raise ValueError("no text, too long, a repeated group, or over three repeats")
                re.compile(pattern)
            except (re.error, ValueError, OverflowError, RecursionError) as wrong:
                self.faults.append(Conflict("AR107", value.place, f"no pattern: {str(wrong)[:80]}"))
                return Broken(place)
        return Constraint(place, None, ((str(op), value),))

    def meet(self, children: list[Any]) -> Value:
        result: Value = children[0]
        for child in children[1:]:
            if isinstance(child, Token):
                continue
            result = meet(result, child)
        return result

    def branch(self, children: list[Any]) -> tuple[Token | None, Value]:
        return (children[0], children[1]) if len(children) == 2 else (None, children[0])

    def alt(self, children: list[Any]) -> tuple[None, Value]:
        branches = [c for c in children if isinstance(c, tuple)]
        if len(branches) > MOST_CHOICES:
            self.faults.append(Conflict("AR106", branches[0][1].place, f"over {MOST_CHOICES} choices"))
            return None, branches[0][1]
        return None, Choice(branches[0][1].place, tuple((star is not None, v) for star, v in branches))

    def _one(self, child: Any) -> Value:
        """A branch on its own is no choice: a star on it says nothing."""
        if not isinstance(child, tuple):
            return child  # type: ignore[no-any-return]
        star, value = child
        if star is not None:
            self.faults.append(Conflict("AR107", self._at(star), "'*' marks a default among several values"))
        return value  # type: ignore[no-any-return]

    def group(self, children: list[Any]) -> Value:
        return self._one(children[0])

    def array(self, children: list[Any]) -> Value:
        return ListValue(self._at(children[0]), tuple(self._one(c) for c in children[1:]))

    def label(self, children: list[Token]) -> tuple[str, Place]:
        token = children[0]
        name = "[string]" if token.type == "PATTERN" else self._name(token)
        if token.type == "STRING" and name[:1] in ("#", "["):
            self.faults.append(Conflict("AR217", self._at(token), f"a label {shown(name)}"))
        return name, self._at(token)

    def field(self, children: list[Any]) -> tuple[str, Entry]:
        (name, place), value = children
        if isinstance(value, tuple) and isinstance(value[0], str) and isinstance(value[1], Entry):
            value = self._struct(value[1].place, [value])
        return name, Entry(place, self._one(value))

    def _struct(self, place: Place, children: list[Any]) -> Struct:
        struct = Struct(place)
        for label, entry in children:
            if label == "[string]":
                known = struct.pattern
                struct.pattern = entry.value if known is None else meet(known, entry.value)
                continue
            before = struct.entries.get(label)
            if before is not None:
                entry = Entry(before.place, meet(before.value, entry.value))
            struct.entries[label] = entry
        return struct

    def struct(self, children: list[Any]) -> Value:
        return self._struct(self._at(children[0]), children[1:])

    def include(self, children: list[Token]) -> Include:
        return Include(self._at(children[0]), self._text(children[1]))

    def start(self, children: list[Any]) -> Parsed:
        own = self._struct(Place(self.file, 1, 1), [c for c in children if isinstance(c, tuple)])
        self.scope.root = own
        return Parsed(own, self.scope, [c for c in children if isinstance(c, Include)])


def _runs_away(pattern: str) -> bool:
    """Repeated groups and back references can take time that doubles with each character."""
    return re.search(r"\)[*+{?]|\\[0-9]", pattern) is not None or len(re.findall(r"[*+{]", pattern)) > 3


@lru_cache(maxsize=1)
def _parser() -> tuple[Lark, _Build]:
    grammar = Path(__file__).with_name("grammar.lark").read_text(encoding="utf-8")
    build = _Build()
    return Lark(grammar, parser="lalr", transformer=build, maybe_placeholders=False), build


def decode(file: str, raw: bytes, faults: Faults) -> str | None:
    """The text, within the bounds; ``None`` and a fault where it can't be taken."""
    if len(raw) > MAX_FILE:
        faults.add("AR104", Place(file), "", f"{len(raw)} bytes, {MAX_FILE} at most")
        return None
    try:
        text = raw.decode("utf-8")
    except UnicodeDecodeError as wrong:
        before = raw[: wrong.start]
        line = before.count(b"\n") + 1
        column = len(before.rpartition(b"\n")[2].decode("utf-8", "replace")) + 1
        faults.add("AR102", Place(file, line, column), "", f"byte 0x{raw[wrong.start]:02x}")
        return None
    good = True
    for number, line_text in enumerate(text.split("\n"), 1):
        if len(line_text) > MAX_LINE:
            faults.add("AR105", Place(file, number, MAX_LINE + 1), "", f"{len(line_text)} characters")
            good = False
        found = CONTROL.search(line_text[: MAX_LINE + 1])
        if found is not None and not (found[0] == "\r" and found.end() == len(line_text)):
            faults.add("AR103", Place(file, number, found.start() + 1), "", f"character {ord(found[0]):#04x}")
            good = False
        if not good and len(faults) > 20:
            break
    return text if good and _shallow(file, text, faults) else None


def _shallow(file: str, text: str, faults: Faults) -> bool:
    """Whether brackets and labels stay within the depth, and close in the order in which they open."""
    open_: list[tuple[str, Place]] = []
    for number, line in enumerate(text.split("\n"), 1):
        in_text = escaped = False
        labels = began_at = 0
        for column, char in enumerate(line, 1):
            if in_text:
                if escaped:
                    escaped = False
                elif char == "\\":
                    escaped = True
                elif char == '"':
                    in_text = False
                continue
            if char == '"':
                in_text, began_at = True, column
            elif char == "/" and line[column : column + 1] == "/":
                break
            elif char == ":":
                labels += 1
            elif char in ",{}":
                labels = 0
            if char in OPEN:
                open_.append((char, Place(file, number, column)))
            elif char in CLOSE and open_:
                began, place = open_.pop()
                if OPEN.index(began) != CLOSE.index(char):
                    faults.add("AR107", Place(file, number, column), "",
                               f"{char!r} closes {began!r} of line {place.line}", other=place)  # fmt: skip
                    return False
            if len(open_) + labels > MAX_DEPTH:
                faults.add("AR106", Place(file, number, column), "", f"more than {MAX_DEPTH} levels")
                return False
        if in_text:
            faults.add("AR107", Place(file, number, began_at), "", "a text is never closed",
                       "close it with '\"' on the same line")  # fmt: skip
            return False
    if open_:
        began, place = open_[-1]
        faults.add("AR107", place, "", f"{began!r} is never closed", f"add {CLOSE[OPEN.index(began)]!r}")
        return False
    return True


def parse(file: str, raw: bytes, faults: Faults) -> Parsed:
    """A file's entries; where a part can't be read, the faults name its place and ``whole`` is false."""
    text = decode(file, raw, faults)
    if text is None:
        return _nothing(file)
    if text.count("|") + text.count("&") > 20_000:
        faults.add("AR106", Place(file), "", "more than 20000 choices and constraints")
        return _nothing(file)
    parser, build = _parser()
    build.begin(file)
    try:
        parsed: Any = parser.parse(text + "\n")
    except (UnexpectedCharacters, UnexpectedToken, UnexpectedEOF) as wrong:
        faults.add("AR107", *_syntax(file, text, wrong))
        return _nothing(file)
    except RecursionError:
        faults.add("AR106", Place(file), "", "deeper than it can be read")
        return _nothing(file)
    except LarkError as wrong:
        faults.add("AR107", Place(file, 1, 1), "", str(wrong).splitlines()[0][:80])
        return _nothing(file)
    for fault in build.faults:
        faults.add(fault.code, fault.place, "", fault.wrong, other=fault.other)
    return parsed  # type: ignore[no-any-return]


def _nothing(file: str) -> Parsed:
    own = Struct(Place(file, 1, 1))
    return Parsed(own, Scope(own, False), whole=False)


def _syntax(file: str, text: str, wrong: Any) -> tuple[Place, str, str, str]:
    line, column = getattr(wrong, "line", -1), getattr(wrong, "column", -1)
    if not isinstance(line, int) or line < 1:
        line, column = text.count("\n") + 1, 1
    lines = text.split("\n")
    rest = lines[line - 1][column - 1 :] if line <= len(lines) else ""
    wanted = getattr(wrong, "accepts", None) or getattr(wrong, "allowed", None) or ()
    names = sorted({NAMES.get(str(w), str(w).lower()) for w in wanted} - {""})
    seen = shown(rest.split(" ")[0]) if rest.strip() else "the end of the line"
    do = ("expected here: " + ", ".join(names[:8])) if names else ""
    if rest.startswith("="):
        do = "a value follows ':', not '='"
    elif rest.startswith('"'):
        do = "close the text with '\"' on the same line"
    elif rest.startswith("'"):
        do = 'texts stand between "'
    elif rest.startswith("#"):
        do = "a note begins with //"
    return Place(file, line, max(1, column)), "", f"not expected: {seen}", do
