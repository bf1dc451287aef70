"""The result of reading the operator's records, passed from the reader process to the serving process."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ReadResult:
    """The configuration read, or the faults because of which it is rejected."""

    value: Any | None  # None: the records are invalid or could not be read
    faults: tuple[str, ...] = ()  # as shown to the operator
    codes: tuple[str, ...] = ()  # the code of each fault
