"""A folder of records, read and checked as a whole: the check that the tool runs and every start runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from arrowrail.config import rules
from arrowrail.config.faults import FAULT, Fault, Faults, Place, nearest, shown
from arrowrail.config.load import SUFFIX, Folder, Loaded, included
from arrowrail.config.records import Application, Root
from arrowrail.config.rules import Inventory
from arrowrail.config.schema import BAD, Reading, keys_of
from arrowrail.config.values import Value

TABLES = {k.name: k for k in keys_of(Root)}


@dataclass(slots=True)
class Checked:
    """What a folder holds, and all that is wrong with it."""

    faults: Faults
    applications: dict[str, Application] = field(default_factory=dict)
    inventories: dict[str, Inventory] = field(default_factory=dict)  # by application
    files: dict[str, str] = field(default_factory=dict)  # the file of each application
    loaded: dict[str, Loaded] = field(default_factory=dict)  # every file, by its name

    @property
    def good(self) -> bool:
        return not self.faults.bad


class Tables:
    """Reads each table once however many applications share it."""

    def __init__(self, faults: Faults) -> None:
        self.faults = faults
        self._read: dict[tuple[int, ...], Any] = {}
        self._kept: list[Any] = []  # what the keys are the ids of stays alive
        self._inventories: dict[tuple[int, ...], Inventory] = {}

    def _values(self, loaded: Loaded) -> dict[str, Value]:
        return {name: e.value for name, e in loaded.root.entries.items() if name in TABLES}

    def inventory(self, loaded: Loaded) -> Inventory:
        values = self._values(loaded)
        shared = [values.get(n) for n in ("site", "district", "exchange", "class", "pool")]
        key = (*(id(v) for v in shared), int(loaded.whole))
        known = self._inventories.get(key)
        if known is not None:
            return known
        r = Reading(self.faults, loaded.root, loaded.whole)

        def table(name: str) -> Any:
            if name not in values:
                if loaded.whole:
                    self.faults.add("AR207", Place(loaded.name, 1, 1), name,
                                    f"{name} is missing: {TABLES[name].doc}")  # fmt: skip
                return None
            read = TABLES[name].kind.read(values[name], r, name)
            return None if read is BAD else read

        pools = table("pool") or {}
        v = Inventory(
            table("site"), table("district") or {}, table("exchange") or {}, table("class") or {}, pools,
            {name: pool.fallback for name, pool in pools.items()}, loaded.whole,
        )  # fmt: skip
        for rule in rules.INVENTORY_RULES:
            rule(v, self.faults)
        self._kept.append(shared)
        self._inventories[key] = v
        return v

    def application(self, loaded: Loaded) -> tuple[dict[str, Application], Inventory]:
        v = self.inventory(loaded)
        r = Reading(self.faults, loaded.root, loaded.whole)
        read = TABLES["application"].kind.read(loaded.root.entries["application"].value, r, "application")
        applications = {} if read is BAD else read
        for a in applications.values():
            for rule in rules.APPLICATION_RULES:
                rule(a, v, self.faults)
        return applications, v


def check_one(folder: Path, name: str) -> Checked:
    """One application as its sidecar starts it: its file and what that includes, no other application.

    Its time does not grow with the number of applications.  What clashes between applications is told by the
    check of the folder; a port that another has taken ends the start.  The file is ``NAME.rail``; an
    application that stands elsewhere is looked for in the whole folder.
    """
    file = name + SUFFIX
    if (folder / file).is_file():
        checked = check(folder, only=file)
        if name in checked.applications or checked.faults.bad:
            return checked
    return check(folder)


def check(folder: Path, replaced: dict[str, bytes] | None = None, only: str = "") -> Checked:
    """Every fault of a folder's files, and the applications that could be read; ``only``: of one file."""
    faults = Faults()
    files = Folder(folder, faults, replaced)
    checked, tables = Checked(faults), Tables(faults)
    names = [only] if only else files.names()
    all_loaded = [files.load(name) for name in names]
    checked.loaded = files.loaded
    used = included(all_loaded)
    inventories: dict[int, tuple[Inventory, list[Application]]] = {}
    for loaded in all_loaded:
        _unknown_tables(loaded, faults)
        entry = loaded.root.entries.get("application")
        if entry is None:
            if loaded.name not in used and loaded.whole:
                if _has_applications(all_loaded):
                    faults.add("AR406", Place(loaded.name, 1, 1), "", "no application includes it")
                elif loaded.root.entries:
                    tables.inventory(loaded)
            continue
        if loaded.name in used and "application" in loaded.own.entries:
            by = next(other.name for other in all_loaded if loaded.name in other.includes)
            faults.add("AR320", entry.place, "application", f"{by} includes this application's file")
            continue
        applications, v = tables.application(loaded)
        if len(applications) > 1:
            second = list(applications.values())[1]
            faults.add("AR320", second.at, f"application.{second.name}",
                       f"{', '.join(list(applications)[:4])} in one file")  # fmt: skip
        for a in applications.values():
            before = checked.applications.get(a.name)
            if before is not None:
                faults.add("AR319", a.at, f"application.{a.name}", f"{shown(a.name)} stands in two files",
                           other=before.at)  # fmt: skip
                continue
            checked.applications[a.name], checked.inventories[a.name] = a, v
            checked.files[a.name] = loaded.name
            inventories.setdefault(id(v), (v, []))[1].append(a)
    rules.ports(checked.applications.values(), faults)
    rules.groups(checked.applications.values(), faults)
    for v, applications_of in inventories.values():
        if v.whole and not only:
            rules.used_pools(applications_of, v, faults)
    if not names:
        faults.add("AR216", Place(str(folder)), "", "no file ending with .rail")
    return checked


def _has_applications(loaded: list[Loaded]) -> bool:
    return any("application" in one.root.entries for one in loaded)


def _unknown_tables(loaded: Loaded, faults: Faults) -> None:
    for label, entry in loaded.own.public():
        if label not in TABLES:
            faults.add("AR206", entry.place, label, f"{shown(label)} is no table; {nearest(label, TABLES)}")


def faults_for(checked: Checked, name: str) -> list[Fault]:
    """The faults that keep one application from starting: those in its file and what that includes.

    A slip in another application's file must not stop this one.
    """
    if name not in checked.files:
        return [f for f in checked.faults if f.severity == FAULT]
    files: set[str] = set()
    todo = [checked.files[name]]
    while todo:
        file = todo.pop()
        files.add(file)
        todo += [inner for inner in checked.loaded[file].includes if inner not in files]
    return [f for f in checked.faults if f.severity == FAULT and f.place.file in files]
