"""Explanations of keys and codes for ``config explain``, and the reference page generated from the schema."""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.config.diagnostics import CODES, suggestion
from arrowrail.config.records import all_keys
from arrowrail.config.schema import REQUIRED, Key, MapOf, RecordOf

MAX_MATCHES = 12  # keys explained at a time


@dataclass(frozen=True, slots=True)
class Explanation:
    """The lines to print, and whether the key or code is known."""

    known: bool
    lines: tuple[str, ...]


def explain(query: str) -> Explanation:
    """Explain a code, a key by its full path (with names or ``*``), or all keys whose paths end so."""
    requested = query.strip()
    code = CODES.get(requested.upper())
    if code is not None:
        return Explanation(
            True,
            (
                f"{requested.upper()} ({code.severity}): {code.title}.",
                f"Why: {code.reason}.",
                f"What to do: {code.remedy}.",
            ),
        )
    keys = all_keys()
    parts = requested.split(".")
    exact = [path for path in keys if _matches(path.split("."), parts)]
    found = exact or [path for path in keys if _matches_suffix(path.split("."), parts)]
    if not found:
        return Explanation(
            False, (f"no key or code {requested!r}; {suggestion(requested, [*keys, *CODES])}",)
        )
    lines: list[str] = []
    for path in found[:MAX_MATCHES]:
        lines += _lines(path, keys[path])
    if len(found) > MAX_MATCHES:
        lines.append(f"... and {len(found) - MAX_MATCHES} more")
    return Explanation(True, tuple(lines))


def _matches(path: list[str], parts: list[str]) -> bool:
    return len(path) == len(parts) and all(
        label in ("*", part) for label, part in zip(path, parts, strict=True)
    )


def _matches_suffix(path: list[str], parts: list[str]) -> bool:
    return len(parts) <= len(path) and path[-len(parts) :] == parts


def default_of(key: Key) -> str:
    if key.default is REQUIRED:
        return "none: it has to be given"
    if isinstance(key.value_type, RecordOf | MapOf):
        return "the defaults of its own keys" if isinstance(key.value_type, RecordOf) else "none in it"
    if key.default is None:
        return "absent"
    return key.value_type.format(key.default)


def _lines(path: str, key: Key) -> list[str]:
    return [f"{path}: {key.doc}.", f"  value: {key.value_type.describe()}", f"  default: {default_of(key)}"]


def reference() -> str:
    """Return the reference page, in Markdown."""
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
        allowed = key.value_type.describe().replace("|", "\\|")
        lines.append(f"| `{path}` | {key.doc} | {allowed} | {default_of(key).replace('|', chr(92) + '|')} |")
    lines += ["", "## Codes", "", "| code | what | why it hurts | what to do |", "| --- | --- | --- | --- |"]
    for name, code in CODES.items():
        severity = "" if code.severity == "fault" else " (warning)"
        lines.append(f"| `{name}`{severity} | {code.title} | {code.reason} | {code.remedy} |")
    return "\n".join(lines)
