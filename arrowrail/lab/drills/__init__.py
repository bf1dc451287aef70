"""Drills by name: each plays the hard cases of one part with real processes, and judges what was seen."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from importlib import import_module
from typing import Any

DRILLS = {
    "sidecar": "three sidecars, their applications and exchanges: surge, drain, reload, kills",
    "soak": "short, dense fault trials of controllers, one a seed, judged by all rules",
    "duties": "instances that share the probing of exchanges: kill, hang, split, a key rolled",
}


@dataclass(slots=True)
class DrillResult:
    """A drill's result; it has passed where nothing is broken."""

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
    """``KeyError`` for a name that is none."""
    if name not in DRILLS:
        raise KeyError(name)
    run_drill: DrillFunction = import_module(f"arrowrail.lab.drills.{name}").run_drill
    return run_drill
