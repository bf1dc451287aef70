"""What connection pools and their connections use of the program around them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from arrowrail.core.engine import Core
from arrowrail.loop import Loop
from arrowrail.state.endpoints import Endpoint


@dataclass(frozen=True, slots=True)
class BackendServices:
    """The parts of a backend that its pools need; shared by all of them."""

    loop: Loop
    core: Core
    connect_timeout_ns: int
    started_ns: int  # Unix time of the start of the backend
    report_unreadable: Callable[[Endpoint, str], None]  # with the reason
