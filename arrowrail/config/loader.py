"""Reads the record files of a folder, each once, and merges them with the files they include.

The only module of the checker that reads from disk.  The number of files, their size and the depth of
includes are limited.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from arrowrail.config.diagnostics import Diagnostics, Location, quote
from arrowrail.config.syntax import MAX_FILE_BYTES, Parsed, parse
from arrowrail.config.values import Scope, Struct, merge_structs

SUFFIX = ".rail"
MAX_FILES = 10_000
MAX_INCLUDE_DEPTH = 16  # files that include one another in a chain


@dataclass(slots=True)
class LoadedFile:
    """A file together with the files it includes."""

    name: str  # relative to the folder, as shown in messages
    path: Path
    own: Struct  # entries of the file itself
    root: Struct  # the file merged with everything it includes
    complete: bool = True  # false if a part could not be read
    includes: list[str] = field(default_factory=list)


class RecordLoader:
    """Loads files below one folder; each is parsed once, however often it is included.

    ``replaced`` overrides files on disk by name, so that a tool can check a file before it writes it.
    """

    def __init__(
        self, folder: Path, diagnostics: Diagnostics, replaced: dict[str, bytes] | None = None
    ) -> None:
        self.folder, self.diagnostics = folder, diagnostics
        self.replaced = replaced or {}
        self.loaded: dict[str, LoadedFile] = {}
        self._loading: list[str] = []

    def names(self) -> list[str]:
        """Return the names of the record files, relative to the folder, except hidden ones."""
        found: set[str] = set(self.replaced)
        try:
            for base, folders, files in os.walk(self.folder):
                folders[:] = sorted(name for name in folders if not name.startswith("."))
                for name in files:
                    if name.endswith(SUFFIX) and not name.startswith("."):
                        found.add(Path(base, name).relative_to(self.folder).as_posix())
                if len(found) > MAX_FILES:
                    self.diagnostics.add(
                        "AR111", Location(str(self.folder)), "", f"more than {MAX_FILES} files"
                    )
                    break
        except OSError as error:
            self.diagnostics.add("AR101", Location(str(self.folder)), "", str(error.strerror))
        return sorted(found)[:MAX_FILES]

    def load(self, name: str) -> LoadedFile:
        """Load a file and its includes; a part that cannot be read is left out and clears ``complete``."""
        known = self.loaded.get(name)
        if known is not None:
            return known
        self._loading.append(name)
        try:
            raw = self._read_bytes(name)
            parsed = parse(name, raw, self.diagnostics) if raw is not None else None
            if parsed is None:
                own = Struct(Location(name, 1, 1))
                parsed = Parsed(own, Scope(own, False), complete=False)
            loaded = LoadedFile(name, self.folder / name, parsed.own, parsed.own, parsed.complete)
            included_targets: set[str] = set()
            for include in parsed.includes:
                inner = self._include(name, include.location, include.path, included_targets)
                if inner is None:
                    loaded.complete = False
                    continue
                loaded.includes.append(inner.name)
                loaded.complete = loaded.complete and inner.complete
                loaded.root = merge_structs(inner.root, loaded.root)
            # A file may refer to entries of the files it includes, so references use the merged root.
            parsed.scope.root, parsed.scope.complete = loaded.root, loaded.complete
            self.loaded[name] = loaded
            return loaded
        finally:
            self._loading.pop()

    def _include(
        self, including: str, location: Location, text: str, included_targets: set[str]
    ) -> LoadedFile | None:
        target = os.path.normpath(os.path.join(os.path.dirname(including), text)) if text else ""
        if not text or os.path.isabs(text) or target.startswith("..") or "\0" in text:
            self.diagnostics.add("AR110", location, "", f"include {quote(text)}")
            return None
        if target in self._loading:
            cycle = [*self._loading[self._loading.index(target) :], target]
            self.diagnostics.add("AR109", location, "", " -> ".join(cycle[:8]))
            return None
        if len(self._loading) > MAX_INCLUDE_DEPTH:
            self.diagnostics.add("AR106", location, "", f"more than {MAX_INCLUDE_DEPTH} nested includes")
            return None
        if target in included_targets:
            self.diagnostics.add("AR218", location, "", f"include {quote(text)}")
        included_targets.add(target)
        if target not in self.replaced and target not in self.loaded:
            path = self.folder / target
            if not path.exists():
                self.diagnostics.add("AR108", location, "", f"include {quote(text)}: no such file")
                return None
        return self.load(target)

    def _read_bytes(self, name: str) -> bytes | None:
        if name in self.replaced:
            return self.replaced[name]
        try:
            # Guards against pipes and devices in the folder, for which reading would block or never end.
            with open(self.folder / name, "rb", opener=_nonblocking) as file:
                if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
                    raise OSError(0, "not a regular file")
                return file.read(MAX_FILE_BYTES + 1)
        except OSError as error:
            self.diagnostics.add("AR101", Location(name), "", str(error.strerror))
            return None


def _nonblocking(path: str, flags: int) -> int:
    return os.open(path, flags | os.O_NONBLOCK)


def included_names(loaded: Iterable[LoadedFile]) -> set[str]:
    return {name for file in loaded for name in file.includes}
