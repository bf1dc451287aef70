"""Atomic replacement of files: write a temporary file, fsync it, rename it and fsync the directory."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file so that readers find the old or the new content, even after a crash.

    If it fails with ``OSError``, the temporary file is removed and the old file is unchanged.
    """
    descriptor, temporary = tempfile.mkstemp(prefix=f".{path.name}.", suffix=".new", dir=path.parent)
    try:
        with os.fdopen(descriptor, "wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
            mode = path.stat().st_mode & 0o777 if path.exists() else 0o644
            os.fchmod(file.fileno(), mode)
        os.replace(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise
    directory = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)
