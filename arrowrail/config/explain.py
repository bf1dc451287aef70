"""What a key or a code is: for ``config explain``, and the reference page made from the schema."""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.config.diagnostics import CODES, suggestion
from arrowrail.config.records import all_keys
from arrowrail.config.schema import REQUIRED, Key, MapOf, RecordOf

MAX_MATCHES = 12


@dataclass(frozen=True, slots=True)
class Explanation:
    known: bool
    lines: tuple[str, ...]


def explain(what: str) -> Explanation:
    """A code, a key's whole path (names or ``*`` in it), or the end of one."""
    asked = what.strip()
    code = CODES.get(asked.upper())
    if code is not None:
        return Explanation(True, (f"{asked.upper()} ({code.severity}): {code.title}.", f"Why: {code.reason}.",
                                f"What to do: {code.remedy}."))  # fmt: skip
    keys = all_keys()
    parts = asked.split(".")
    exact = [path for path in keys if _matches(path.split("."), parts)]
    found = exact or [path for path in keys if _matches_suffix(path.split("."), parts)]
    if not found:
        return Explanation(False, (f"no key or code {asked!r}; {suggestion(asked, [*keys, *CODES])}",))
    lines: list[str] = []
    for path in found[:MAX_MATCHES]:
        lines += _lines(path, keys[path])
    if len(found) > MAX_MATCHES:
        lines.append(f"... and {len(found) - MAX_MATCHES} more")
    return Explanation(True, tuple(lines))


def _matches(path: list[str], asked: list[str]) -> bool:
    return len(path) == len(asked) and all(p in ("*", a) for p, a in zip(path, asked, strict=True))


def _matches_suffix(path: list[str], asked: list[str]) -> bool:
    return len(asked) <= len(path) and path[-len(asked) :] == asked


def default_of(key: Key) -> str:
    if key.default is REQUIRED:
        return "none: it has to be given"
    if isinstance(key.kind, RecordOf | MapOf):
        return "the defaults of its own keys" if isinstance(key.kind, RecordOf) else "none in it"
    if key.default is None:
        return "absent"
    return key.kind.format(key.default)


def _lines(path: str, key: Key) -> list[str]:
    return [f"{path}: {key.doc}.", f"  value: {key.kind.describe()}", f"  default: {default_of(key)}"]


def reference() -> str:
    """The reference page, in Markdown."""
    lines = [
        "# Reference of the operator's records",
        "",
        "Made from the schema by `python -m arrowrail config reference`; a test compares the two.",
        "`*` stands for a name.  A value outside its type or range is a fault; so is a key not listed here.",
        "",
        "| key | meaning | value | default |",
        "| --- | --- | --- | --- |",
    ]
    for path, key in all_keys().items():
        says = key.kind.describe().replace("|", "\\|")
        lines.append(f"| `{path}` | {key.doc} | {says} | {default_of(key).replace('|', chr(92) + '|')} |")
    lines += ["", "## Codes", "", "| code | what | why it hurts | what to do |", "| --- | --- | --- | --- |"]
    for name, code in CODES.items():
        severity = "" if code.severity == "fault" else " (warning)"
        lines.append(f"| `{name}`{severity} | {code.title} | {code.reason} | {code.remedy} |")
    return "\n".join(lines)
