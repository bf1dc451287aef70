"""Drills by name: each runs fault scenarios of one component with real processes, and checks the results."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from importlib import import_module
from typing import Any

DRILLS = {
    "sidecar": "three sidecars, their applications and exchanges: surge, drain, reload, kills",
    "soak": "short trials of controllers with many faults, one per seed, checked against all rules",
    "hostile": "clients at full speed that don't read, stall or close early, beside a sound caller",
    "duties": "instances that share the probing of exchanges: kill, hang, partition, key rotation",
}


@dataclass(slots=True)
class DrillResult:
    """Result of a drill; it has passed if there are no violations."""

    name: str
    seed: int
    violations: list[str]
    metrics: dict[str, Any] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        return not self.violations

    def as_json(self) -> dict[str, Any]:
        return {
            "drill": self.name, "seed": self.seed, "passed": self.passed, "broken": self.violations[:50],
            "breaches": len(self.violations), "figures": self.metrics,
        }  # fmt: skip


DrillFunction = Callable[..., DrillResult]


def load_drill(name: str) -> DrillFunction:
    """Import a drill by its name; ``KeyError`` for an unknown one."""
    if name not in DRILLS:
        raise KeyError(name)
    run_drill: DrillFunction = import_module(f"arrowrail.lab.drills.{name}").run_drill
    return run_drill
