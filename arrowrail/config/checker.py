"""Reads and checks a folder of records; used by ``config check`` and at every start."""

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

TABLE_KEYS = {key.name: key for key in keys_of(Root)}


@dataclass(slots=True)
class CheckResult:
    """The applications of a folder and all diagnostics."""

    diagnostics: Diagnostics
    applications: dict[str, Application] = field(default_factory=dict)
    inventories: dict[str, Inventory] = field(default_factory=dict)  # by application
    files: dict[str, str] = field(default_factory=dict)  # by application
    loaded: dict[str, LoadedFile] = field(default_factory=dict)  # every file by name

    @property
    def valid(self) -> bool:
        return not self.diagnostics.has_faults


class TableReader:
    """Reads each inventory once, however many applications share it."""

    def __init__(self, diagnostics: Diagnostics) -> None:
        self.diagnostics = diagnostics
        self._read: dict[tuple[int, ...], Any] = {}
        self._referenced: list[Any] = []  # keeps the values alive whose ids are cache keys
        self._inventories: dict[tuple[int, ...], Inventory] = {}

    def _values(self, loaded: LoadedFile) -> dict[str, Value]:
        return {name: entry.value for name, entry in loaded.root.entries.items() if name in TABLE_KEYS}

    def inventory(self, loaded: LoadedFile) -> Inventory:
        values = self._values(loaded)
        shared = [values.get(name) for name in ("site", "district", "exchange", "class", "pool")]
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
            records = TABLE_KEYS[name].value_type.read(values[name], context, name)
            return None if records is INVALID else records

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
        records = TABLE_KEYS["application"].value_type.read(
            loaded.root.entries["application"].value, context, "application"
        )
        applications = {} if records is INVALID else records
        for application in applications.values():
            for rule in rules.APPLICATION_RULES:
                rule(application, inventory, self.diagnostics)
        return applications, inventory


def check_application(folder: Path, name: str) -> CheckResult:
    """Check one application as its sidecar starts it: only its file and the files that it includes.

    The time does not depend on the number of applications.  Conflicts between applications are left to the
    check of the folder; if another process has taken a port, the start fails.  The application is expected in
    ``NAME.rail``; if it is not there, the whole folder is checked.
    """
    file = name + SUFFIX
    if (folder / file).is_file():
        result = check_folder(folder, only=file)
        if name in result.applications or result.diagnostics.has_faults:
            return result
    return check_folder(folder)


def check_folder(folder: Path, replaced: dict[str, bytes] | None = None, only: str = "") -> CheckResult:
    """Check all files of a folder, or the file ``only``, and read their applications."""
    diagnostics = Diagnostics()
    loader = RecordLoader(folder, diagnostics, replaced)
    result, tables = CheckResult(diagnostics), TableReader(diagnostics)
    names = [only] if only else loader.names()
    all_loaded = [loader.load(name) for name in names]
    result.loaded = loader.loaded
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
            including_file = next(other.name for other in all_loaded if loaded.name in other.includes)
            diagnostics.add(
                "AR320",
                entry.location,
                "application",
                f"{including_file} includes the file of this application",
            )
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
            duplicate = result.applications.get(application.name)
            if duplicate is not None:
                diagnostics.add(
                    "AR319",
                    application.location,
                    f"application.{application.name}",
                    f"{quote(application.name)} is defined in two files",
                    other=duplicate.location,
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
    for inventory, its_applications in inventories.values():
        if inventory.complete and not only:
            rules.check_unused_pools(its_applications, inventory, diagnostics)
    if not names:
        diagnostics.add("AR216", Location(str(folder)), "", "no file ending with .rail")
    return result


def _has_applications(loaded: list[LoadedFile]) -> bool:
    return any("application" in file.root.entries for file in loaded)


def _check_table_names(loaded: LoadedFile, diagnostics: Diagnostics) -> None:
    for label, entry in loaded.own.public():
        if label not in TABLE_KEYS:
            diagnostics.add(
                "AR206",
                entry.location,
                label,
                f"{quote(label)} is not a table; {suggestion(label, TABLE_KEYS)}",
            )


def faults_of_application(result: CheckResult, name: str) -> list[Diagnostic]:
    """Return the faults that keep an application from starting: those in its file and in files it includes.

    A fault in the file of another application must not stop this one.
    """
    if name not in result.files:
        return [fault for fault in result.diagnostics if fault.severity == FAULT]
    files: set[str] = set()
    pending = [result.files[name]]
    while pending:
        file = pending.pop()
        files.add(file)
        pending += [inner for inner in result.loaded[file].includes if inner not in files]
    return [fault for fault in result.diagnostics if fault.severity == FAULT and fault.location.file in files]
