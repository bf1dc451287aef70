"""Diagnostics of record files: location, stable code, message, consequence and remedy.

``CODES`` is the only source of the checker's messages, ``config explain CODE`` and the reference page.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from difflib import get_close_matches
from typing import Any, NamedTuple

MAX_DIAGNOSTICS = 500  # per check; a final diagnostic counts those beyond the limit
MAX_QUOTED_LENGTH = 80  # characters of file content quoted in a message
FAULT, WARNING = "fault", "warning"


class Location(NamedTuple):
    """A position in a file; lines and columns count from 1, and 0 stands for the whole file."""

    file: str
    line: int = 0
    column: int = 0

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Code(NamedTuple):
    """What all diagnostics of one code have in common."""

    title: str
    reason: str  # why it is a problem
    remedy: str  # what to do about it
    severity: str = FAULT


CODES: dict[str, Code] = {
    "AR101": Code("the file can't be read", "nothing in it takes effect", "make it readable for this user"),
    "AR102": Code("not UTF-8", "names would be read as others", "save the file as UTF-8 without a mark"),
    "AR103": Code("a control character", "what is seen is not what is read", "delete the character"),
    "AR104": Code("the file is too large", "a check has to end", "split it and include the parts"),
    "AR105": Code("a line is too long", "it is no line that somebody wrote", "break it, or delete it"),
    "AR106": Code("nested too deep", "nobody finds an error in there", "name the inner part and refer to it"),
    "AR107": Code(
        "not in the form of a record", "the file can't be understood from here on", "see the place"
    ),
    "AR108": Code(
        "an included file is missing", "what it names is not there", "mend the path, or add the file"
    ),
    "AR109": Code(
        "an include that leads back", "no file of the loop can be read first", "remove one include"
    ),
    "AR110": Code(
        "an include outside the folder",
        "the check would not see what the start reads",
        "move the file into the configuration's folder",
    ),
    "AR111": Code("too many faults", "the rest is not listed", "mend these, then check again"),
    "AR201": Code(
        "two values that conflict",
        "neither place wins: the order of files decides nothing",
        "change or remove one of the two",
    ),
    "AR202": Code("a value of the wrong type", "it can't be used", "write it as the type that is named"),
    "AR203": Code(
        "a unit is missing",
        "250 may be milliseconds or seconds: a thousandfold error",
        "write the unit directly behind the figure",
    ),
    "AR204": Code("a unit of the wrong kind", "a rate is no duration", "use one of the units that are named"),
    "AR205": Code("out of range", "the program can't work with it", "keep within the range that is named"),
    "AR206": Code(
        "an unknown key",
        "a slip in a key would leave its default in force unseen",
        "correct the key, or remove it",
    ),
    "AR207": Code("a key is missing", "there is no safe default for it", "add it"),
    "AR208": Code("a reference to nothing", "what it should name does not exist", "mend the name, or add it"),
    "AR209": Code("a reference that leads back to itself", "it has no value", "replace one by its value"),
    "AR210": Code("no single value", "the program needs one", "write the value, or mark a default with *"),
    "AR211": Code(
        "a value outside a constraint",
        "the constraint was written to keep it out",
        "change the value, or the constraint",
    ),
    "AR212": Code("not one of the choices", "the program knows only these", "use one of them"),
    "AR213": Code("no address", "nothing can listen or be reached there", 'write "address:port"'),
    "AR214": Code("listed twice", "the second adds nothing, and hides a slip", "remove one"),
    "AR215": Code("an unknown unit", "its size is not known", "use one of the units that are named"),
    "AR216": Code("nothing in it", "at least one is needed", "add one"),
    "AR217": Code(
        "a name that can't be used",
        "names stand in logs, files and messages",
        "1 to 64 letters, digits, '.', '_' or '-'",
    ),
    "AR218": Code(
        "included in two spellings or twice",
        "it is read once; the second hides a slip",
        "remove one include",
        WARNING,
    ),
    "AR301": Code(
        "a pool names a missing exchange",
        "calls sent to the pool would have one exchange less",
        "mend the name, or add the exchange to the inventory",
    ),
    "AR302": Code(
        "one listening port claimed twice",
        "the second to start could not listen",
        "give each listener a port of its own",
    ),
    "AR303": Code(
        "a time-out longer than the caller's give-up time",
        "the caller has gone before the attempt is given up",
        "shorten time_out, or lengthen give_up",
    ),
    "AR304": Code(
        "attempts, time-outs and pauses outlast the caller's give-up time",
        "the last attempts could never end in time",
        "fewer attempts, or a shorter time_out",
    ),
    "AR305": Code(
        "a class without a pool in a district that is served",
        "its calls there would all be refused",
        "add the district to the class's pools",
    ),
    "AR306": Code(
        "only exchanges that drain or are gone",
        "its calls there would all be refused",
        "put an exchange in service into the pool, or add a fall-back",
    ),
    "AR307": Code("a cycle of fall-back pools", "no order of pools follows from it", "remove one fall-back"),
    "AR308": Code(
        "a number prefix claimed twice",
        "the same number would lead to two districts",
        "leave it with one district",
    ),
    "AR309": Code(
        "limits beyond the descriptors",
        "connections would be refused before the limit is met",
        "raise descriptors, or lower connections",
    ),
    "AR310": Code("limits beyond the circuits", "what is let in could never stand", "lower open"),
    "AR311": Code(
        "two exchanges at one address", "calls for one would reach the other", "give each its own address"
    ),
    "AR312": Code("shares over 100%", "no limit can be divided so", "lower the shares"),
    "AR313": Code("a point code used twice", "answers would reach the wrong side", "give each its own"),
    "AR314": Code(
        "a listener on the address of an exchange", "the sidecar would call itself", "move the listener"
    ),
    "AR315": Code(
        "a class with a share that the application does not carry",
        "the share is lost to the others",
        "remove it, or add the class to calls",
    ),
    "AR316": Code("wanted later than given up", "no call could earn its full worth", "wanted below give_up"),
    "AR317": Code(
        "M3UA without what it needs", "clients and circuits could not be told apart", "add what is named"
    ),
    "AR318": Code(
        "a listener that is not on loopback",
        "others than the application beside it could call",
        "listen on 127.0.0.1 or [::1]",
    ),
    "AR319": Code("two applications of one name", "nobody could say which of the two runs", "rename one"),
    "AR320": Code(
        "several applications in one file",
        "each sidecar reads the file of its own application",
        "one file an application",
    ),
    "AR321": Code(
        "no application of that name", "there is nothing to start", "name one that the folder holds"
    ),
    "AR322": Code(
        "a pool for a district that is not served",
        "its calls would be taken although unlisted",
        "add the district to serves, or remove the pool",
    ),
    "AR323": Code("no list source", "the exchanges would never be told of", "add what is named"),
    "AR324": Code(
        "two rules for one kind of set-up",
        "the second could never be taken",
        "make category or requirement differ",
    ),
    "AR501": Code(
        "an even number of members",
        "one more member would not make the group survive one more loss",
        "use an odd number",
        WARNING,
    ),
    "AR502": Code(
        "this instance and its group do not fit", "the others would not know it", "mend what is named"
    ),
    "AR503": Code(
        "a period shorter than a run or a lease",
        "runs would overlap, or a take-over miss periods",
        "lengthen it",
    ),
    "AR504": Code(
        "no key that can be used", "nothing that is sent would be believed", "32 hexadecimal digits or more"
    ),
    "AR505": Code(
        "a change of more than the group can make",
        "two halves could both grant one duty",
        "list under joining all members as they will be",
    ),
    "AR506": Code(
        "two instances of one group that disagree",
        "two majorities could grant one duty, or one name stand for two",
        "make members, joining and names fit in all of them",
    ),
    "AR507": Code(
        "a seed that nobody listens at", "the group is not found there", "name an instance's listen"
    ),
    "AR401": Code(
        "a pool of a single exchange without a fall-back",
        "its drain leaves the class without a way",
        "add a second exchange, or a fall-back",
        WARNING,
    ),
    "AR402": Code(
        "an exchange in no pool", "no call will reach it", "add it to a pool, or remove it", WARNING
    ),
    "AR403": Code(
        "a pool that nothing uses",
        "it may be misspelt where it should stand",
        "use it, or remove it",
        WARNING,
    ),
    "AR404": Code(
        "a draining exchange in a pool", "it gets no new calls", "remove it once it is empty", WARNING
    ),
    "AR405": Code(
        "a limit that can't be reached",
        "open is never met at that rate",
        "raise rate, or lower open",
        WARNING,
    ),
    "AR406": Code(
        "a file that belongs to no application", "nothing includes it", "include it, or remove it", WARNING
    ),
}


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """A fault or warning at a location in a file."""

    code: str
    location: Location
    key_path: str  # dotted path of the value, empty if there is none
    message: str  # what is wrong, with the values concerned
    remedy: str = ""  # replaces the remedy of the code
    other: Location | None = None  # second location of a conflict

    @property
    def severity(self) -> str:
        return CODES[self.code].severity

    def __str__(self) -> str:
        code = CODES[self.code]
        also = f" (and {self.other})" if self.other is not None else ""
        prefix = f"{self.key_path}: " if self.key_path else ""
        return (
            f"{self.location}: {self.code}: {prefix}{self.message}{also}; "
            f"{code.reason}; {self.remedy or code.remedy}"
        )

    def as_json(self) -> dict[str, Any]:
        code = CODES[self.code]
        return {
            "code": self.code, "severity": code.severity,
            "file": self.location.file, "line": self.location.line, "column": self.location.column,
            "key": self.key_path, "what": self.message, "why": code.reason,
            "do": self.remedy or code.remedy, "other": str(self.other) if self.other is not None else None,
        }  # fmt: skip


class Diagnostics:
    """Collects diagnostics without duplicates and up to a limit."""

    def __init__(self, limit: int = MAX_DIAGNOSTICS) -> None:
        self._limit = limit
        self._found: dict[tuple[str, Location, str], Diagnostic] = {}
        self.omitted = 0
        self.depth = 0  # current nesting depth of reference resolution

    def add(
        self,
        code: str,
        location: Location,
        key_path: str,
        message: str,
        remedy: str = "",
        other: Location | None = None,
    ) -> None:
        diagnostic = Diagnostic(code, location, key_path, message, remedy, other)
        identity = (code, location, message)
        if identity in self._found:
            return
        if len(self._found) >= self._limit:
            self.omitted += 1
            return
        self._found[identity] = diagnostic

    def extend(self, others: Iterable[Diagnostic]) -> None:
        for diagnostic in others:
            self.add(
                diagnostic.code,
                diagnostic.location,
                diagnostic.key_path,
                diagnostic.message,
                diagnostic.remedy,
                diagnostic.other,
            )

    def __len__(self) -> int:
        return len(self._found)

    def __iter__(self) -> Iterator[Diagnostic]:
        """Yield them by file, line and column; a final one counts those omitted beyond the limit."""
        yield from sorted(
            self._found.values(), key=lambda found: (found.location, found.code, found.key_path)
        )
        if self.omitted:
            last = max(found.location for found in self._found.values())
            yield Diagnostic("AR111", Location(last.file), "", f"{self.omitted} more")

    @property
    def has_faults(self) -> bool:
        """Whether any diagnostic is more severe than a warning."""
        return self.omitted > 0 or any(found.severity == FAULT for found in self._found.values())


def quote(text: object) -> str:
    """Quote file content for a message: escaped, on one line and truncated."""
    quoted = repr(str(text)[: MAX_QUOTED_LENGTH + 1])
    return quoted if len(str(text)) <= MAX_QUOTED_LENGTH else quoted[:-2] + "...'"


def suggestion(name: str, names: Iterable[str]) -> str:
    """Suggest the closest known name for a misspelt one, or else list up to eight known names."""
    known = sorted(names)
    close = get_close_matches(name[:MAX_QUOTED_LENGTH], known, 1, 0.6) if len(known) <= 20_000 else []
    if close:
        return f"did you mean {quote(close[0])}?"
    if not known:
        return "there are none"
    return "known: " + ", ".join(known[:8]) + (", ..." if len(known) > 8 else "")
