"""What a reading of the operator's records came to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class ReadResult:
    """What the records mean, or why they can't take effect."""

    value: Any | None
    faults: tuple[str, ...] = ()
    codes: tuple[str, ...] = ()
