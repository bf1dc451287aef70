"""A folder of records, read and checked as a whole: the check that the tool runs and every start runs."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from arrowrail.config import rules
from arrowrail.config.diagnostics import FAULT, Diagnostic, Diagnostics, Location, quote, suggestion
from arrowrail.config.loader import SUFFIX, LoadedFile, RecordLoader, included_names
from arrowrail.config.records import Application, Root
from arrowrail.config.rules import Inventory
from arrowrail.config.schema import INVALID, ReadContext, keys_of
from arrowrail.config.values import Value

TABLE_KEYS = {k.name: k for k in keys_of(Root)}


@dataclass(slots=True)
class CheckResult:
    """What a folder holds, and all that is wrong with it."""

    diagnostics: Diagnostics
    applications: dict[str, Application] = field(default_factory=dict)
    inventories: dict[str, Inventory] = field(default_factory=dict)  # by application
    files: dict[str, str] = field(default_factory=dict)  # the file of each application
    loaded: dict[str, LoadedFile] = field(default_factory=dict)  # every file, by its name

    @property
    def valid(self) -> bool:
        return not self.diagnostics.has_faults


class TableReader:
    """Reads each table once however many applications share it."""

    def __init__(self, diagnostics: Diagnostics) -> None:
        self.diagnostics = diagnostics
        self._read: dict[tuple[int, ...], Any] = {}
        self._referenced: list[Any] = []  # what the keys are the ids of stays alive
        self._inventories: dict[tuple[int, ...], Inventory] = {}

    def _values(self, loaded: LoadedFile) -> dict[str, Value]:
        return {name: e.value for name, e in loaded.root.entries.items() if name in TABLE_KEYS}

    def inventory(self, loaded: LoadedFile) -> Inventory:
        values = self._values(loaded)
        shared = [values.get(n) for n in ("site", "district", "exchange", "class", "pool")]
        key = (*(id(value) for value in shared), int(loaded.complete))
        known = self._inventories.get(key)
        if known is not None:
            return known
        context = ReadContext(self.diagnostics, loaded.root, loaded.complete)

        def table(name: str) -> Any:
            if name not in values:
                if loaded.complete:
                    self.diagnostics.add(
                        "AR207",
                        Location(loaded.name, 1, 1),
                        name,
                        f"{name} is missing: {TABLE_KEYS[name].doc}",
                    )
                return None
            read = TABLE_KEYS[name].kind.read(values[name], context, name)
            return None if read is INVALID else read

        pools = table("pool") or {}
        inventory = Inventory(
            table("site"),
            table("district") or {},
            table("exchange") or {},
            table("class") or {},
            pools,
            {name: pool.fallback for name, pool in pools.items()},
            loaded.complete,
        )
        for rule in rules.INVENTORY_RULES:
            rule(inventory, self.diagnostics)
        self._referenced.append(shared)
        self._inventories[key] = inventory
        return inventory

    def application(self, loaded: LoadedFile) -> tuple[dict[str, Application], Inventory]:
        inventory = self.inventory(loaded)
        context = ReadContext(self.diagnostics, loaded.root, loaded.complete)
        read = TABLE_KEYS["application"].kind.read(
            loaded.root.entries["application"].value, context, "application"
        )
        applications = {} if read is INVALID else read
        for application in applications.values():
            for rule in rules.APPLICATION_RULES:
                rule(application, inventory, self.diagnostics)
        return applications, inventory


def check_application(folder: Path, name: str) -> CheckResult:
    """One application as its sidecar starts it: its file and what that includes, no other application.

    Its time does not grow with the number of applications.  What clashes between applications is told by the
    check of the folder; a port that another has taken ends the start.  The file is ``NAME.rail``; an
    application that stands elsewhere is looked for in the whole folder.
    """
    file = name + SUFFIX
    if (folder / file).is_file():
        result = check_folder(folder, only=file)
        if name in result.applications or result.diagnostics.has_faults:
            return result
    return check_folder(folder)


def check_folder(folder: Path, replaced: dict[str, bytes] | None = None, only: str = "") -> CheckResult:
    """Every fault of a folder's files, and the applications that could be read; ``only``: of one file."""
    diagnostics = Diagnostics()
    files = RecordLoader(folder, diagnostics, replaced)
    result, tables = CheckResult(diagnostics), TableReader(diagnostics)
    names = [only] if only else files.names()
    all_loaded = [files.load(name) for name in names]
    result.loaded = files.loaded
    included_files = included_names(all_loaded)
    inventories: dict[int, tuple[Inventory, list[Application]]] = {}
    for loaded in all_loaded:
        _check_table_names(loaded, diagnostics)
        entry = loaded.root.entries.get("application")
        if entry is None:
            if loaded.name not in included_files and loaded.complete:
                if _has_applications(all_loaded):
                    diagnostics.add("AR406", Location(loaded.name, 1, 1), "", "no application includes it")
                elif loaded.root.entries:
                    tables.inventory(loaded)
            continue
        if loaded.name in included_files and "application" in loaded.own.entries:
            by = next(other.name for other in all_loaded if loaded.name in other.includes)
            diagnostics.add("AR320", entry.location, "application", f"{by} includes this application's file")
            continue
        applications, inventory = tables.application(loaded)
        if len(applications) > 1:
            second = list(applications.values())[1]
            diagnostics.add(
                "AR320",
                second.location,
                f"application.{second.name}",
                f"{', '.join(list(applications)[:4])} in one file",
            )
        for application in applications.values():
            before = result.applications.get(application.name)
            if before is not None:
                diagnostics.add(
                    "AR319",
                    application.location,
                    f"application.{application.name}",
                    f"{quote(application.name)} stands in two files",
                    other=before.location,
                )
                continue
            result.applications[application.name], result.inventories[application.name] = (
                application,
                inventory,
            )
            result.files[application.name] = loaded.name
            inventories.setdefault(id(inventory), (inventory, []))[1].append(application)
    rules.check_listener_ports(result.applications.values(), diagnostics)
    rules.check_groups(result.applications.values(), diagnostics)
    for inventory, including in inventories.values():
        if inventory.complete and not only:
            rules.check_unused_pools(including, inventory, diagnostics)
    if not names:
        diagnostics.add("AR216", Location(str(folder)), "", "no file ending with .rail")
    return result


def _has_applications(loaded: list[LoadedFile]) -> bool:
    return any("application" in one.root.entries for one in loaded)


def _check_table_names(loaded: LoadedFile, diagnostics: Diagnostics) -> None:
    for label, entry in loaded.own.public():
        if label not in TABLE_KEYS:
            diagnostics.add(
                "AR206", entry.location, label, f"{quote(label)} is no table; {suggestion(label, TABLE_KEYS)}"
            )


def faults_of_application(result: CheckResult, name: str) -> list[Diagnostic]:
    """The faults that keep one application from starting: those in its file and what that includes.

    A slip in another application's file must not stop this one.
    """
    if name not in result.files:
        return [f for f in result.diagnostics if f.severity == FAULT]
    files: set[str] = set()
    pending = [result.files[name]]
    while pending:
        file = pending.pop()
        files.add(file)
        pending += [inner for inner in result.loaded[file].includes if inner not in files]
    return [f for f in result.diagnostics if f.severity == FAULT and f.location.file in files]
