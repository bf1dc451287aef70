"""What a key or a code is: for ``config explain``, and the reference page made from the schema."""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.config.faults import CODES, nearest
from arrowrail.config.records import every_key
from arrowrail.config.schema import REQUIRED, Key, MapOf, RecordOf

MOST_FOUND = 12


@dataclass(frozen=True, slots=True)
class Explained:
    known: bool
    lines: tuple[str, ...]


def explain(what: str) -> Explained:
    """A code, a key's whole path (names or ``*`` in it), or the end of one."""
    asked = what.strip()
    code = CODES.get(asked.upper())
    if code is not None:
        return Explained(True, (f"{asked.upper()} ({code.severity}): {code.title}.", f"Why: {code.why}.",
                                f"What to do: {code.do}."))  # fmt: skip
    keys = every_key()
    parts = asked.split(".")
    whole = [path for path in keys if _fits(path.split("."), parts)]
    found = whole or [path for path in keys if _ends(path.split("."), parts)]
    if not found:
        return Explained(False, (f"no key or code {asked!r}; {nearest(asked, [*keys, *CODES])}",))
    lines: list[str] = []
    for path in found[:MOST_FOUND]:
        lines += _lines(path, keys[path])
    if len(found) > MOST_FOUND:
        lines.append(f"... and {len(found) - MOST_FOUND} more")
    return Explained(True, tuple(lines))


def _fits(path: list[str], asked: list[str]) -> bool:
    return len(path) == len(asked) and all(p in ("*", a) for p, a in zip(path, asked, strict=True))


def _ends(path: list[str], asked: list[str]) -> bool:
    return len(asked) <= len(path) and path[-len(asked) :] == asked


def default_of(k: Key) -> str:
    if k.default is REQUIRED:
        return "none: it has to be given"
    if isinstance(k.kind, RecordOf | MapOf):
        return "the defaults of its own keys" if isinstance(k.kind, RecordOf) else "none in it"
    if k.default is None:
        return "absent"
    return k.kind.write(k.default)


def _lines(path: str, k: Key) -> list[str]:
    return [f"{path}: {k.doc}.", f"  value: {k.kind.says()}", f"  default: {default_of(k)}"]


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
    for path, k in every_key().items():
        says = k.kind.says().replace("|", "\\|")
        lines.append(f"| `{path}` | {k.doc} | {says} | {default_of(k).replace('|', chr(92) + '|')} |")
    lines += ["", "## Codes", "", "| code | what | why it hurts | what to do |", "| --- | --- | --- | --- |"]
    for name, code in CODES.items():
        severity = "" if code.severity == "fault" else " (warning)"
        lines.append(f"| `{name}`{severity} | {code.title} | {code.why} | {code.do} |")
    return "\n".join(lines)
