"""Files of a configuration's folder: read once each, with what they include, and merged.

The only part of the checker that touches the disk.  A folder is read as a whole; what it holds is bounded in
files, bytes and depth of includes.
"""

from __future__ import annotations

import os
import stat
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from arrowrail.config.faults import Faults, Place, shown
from arrowrail.config.syntax import MAX_FILE, Parsed, parse
from arrowrail.config.values import Scope, Struct, merge

SUFFIX = ".rail"
MOST_FILES = 10_000
MOST_INCLUDES = 16  # of one file inside one another


@dataclass(slots=True)
class Loaded:
    """A file with all that it includes."""

    name: str  # as messages show it: relative to the folder
    path: Path
    own: Struct
    root: Struct  # the file and what it includes, merged
    whole: bool = True
    includes: list[str] = field(default_factory=list)


class Folder:
    """Reads files below one folder; each is parsed once however often it is included.

    ``replaced`` holds contents that stand in for files on the disk: a tool checks what it would write before
    it writes it.
    """

    def __init__(self, folder: Path, faults: Faults, replaced: dict[str, bytes] | None = None) -> None:
        self.folder, self.faults = folder, faults
        self.replaced = replaced or {}
        self.loaded: dict[str, Loaded] = {}
        self._open: list[str] = []

    def names(self) -> list[str]:
        """The folder's record files by name, relative to it; hidden ones left out."""
        found: set[str] = set(self.replaced)
        try:
            for base, folders, files in os.walk(self.folder):
                folders[:] = sorted(f for f in folders if not f.startswith("."))
                for name in files:
                    if name.endswith(SUFFIX) and not name.startswith("."):
                        found.add(Path(base, name).relative_to(self.folder).as_posix())
                if len(found) > MOST_FILES:
                    self.faults.add("AR111", Place(str(self.folder)), "", f"over {MOST_FILES} files")
                    break
        except OSError as wrong:
            self.faults.add("AR101", Place(str(self.folder)), "", str(wrong.strerror))
        return sorted(found)[:MOST_FILES]

    def load(self, name: str) -> Loaded:
        """A file and what it includes; a part that can't be read is left out, and ``whole`` says so."""
        known = self.loaded.get(name)
        if known is not None:
            return known
        self._open.append(name)
        try:
            raw = self._bytes(name)
            parsed = parse(name, raw, self.faults) if raw is not None else None
            if parsed is None:
                own = Struct(Place(name, 1, 1))
                parsed = Parsed(own, Scope(own, False), whole=False)
            loaded = Loaded(name, self.folder / name, parsed.own, parsed.own, parsed.whole)
            seen: set[str] = set()
            for include in parsed.includes:
                inner = self._include(name, include.place, include.path, seen)
                if inner is None:
                    loaded.whole = False
                    continue
                loaded.includes.append(inner.name)
                loaded.whole = loaded.whole and inner.whole
                loaded.root = merge(inner.root, loaded.root)
            # References look at the merged whole: what a file names may stand in what it includes.
            parsed.scope.root, parsed.scope.whole = loaded.root, loaded.whole
            self.loaded[name] = loaded
            return loaded
        finally:
            self._open.pop()

    def _include(self, by: str, place: Place, text: str, seen: set[str]) -> Loaded | None:
        target = os.path.normpath(os.path.join(os.path.dirname(by), text)) if text else ""
        if not text or os.path.isabs(text) or target.startswith("..") or "\0" in text:
            self.faults.add("AR110", place, "", f"include {shown(text)}")
            return None
        if target in self._open:
            loop = [*self._open[self._open.index(target) :], target]
            self.faults.add("AR109", place, "", " -> ".join(loop[:8]))
            return None
        if len(self._open) > MOST_INCLUDES:
            self.faults.add("AR106", place, "", f"more than {MOST_INCLUDES} includes inside one another")
            return None
        if target in seen:
            self.faults.add("AR218", place, "", f"include {shown(text)}")
        seen.add(target)
        if target not in self.replaced and target not in self.loaded:
            path = self.folder / target
            if not path.exists():
                self.faults.add("AR108", place, "", f"include {shown(text)}: no such file")
                return None
        return self.load(target)

    def _bytes(self, name: str) -> bytes | None:
        if name in self.replaced:
            return self.replaced[name]
        try:
            # Guards against a pipe or device in the folder, whose reading would never end.
            with open(self.folder / name, "rb", opener=_nonblocking) as file:
                if not stat.S_ISREG(os.fstat(file.fileno()).st_mode):
                    raise OSError(0, "not a regular file")
                return file.read(MAX_FILE + 1)
        except OSError as wrong:
            self.faults.add("AR101", Place(name), "", str(wrong.strerror))
            return None


def _nonblocking(path: str, flags: int) -> int:
    return os.open(path, flags | os.O_NONBLOCK)


def included(loaded: Iterable[Loaded]) -> set[str]:
    return {name for one in loaded for name in one.includes}
