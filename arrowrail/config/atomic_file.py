"""Files that are whole or not there: a temporary one beside it, fsync, rename, fsync of the folder."""

from __future__ import annotations

import os
import tempfile
from pathlib import Path


def write_atomically(path: Path, data: bytes) -> None:
    """Replace a file so that every reader, and every start after a crash, finds the old or the new one.

    ``OSError`` where it can't be done; the temporary file is gone then, and the old one as it was.
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
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
