"""The controller with one safeguard disabled, to show that the checks of a fault trial detect its absence.

``python -m arrowrail.lab.soak.variants SAFEGUARD`` starts a controller as ``run`` does, without that
safeguard.  It is only for trials: the controller itself has no switch to disable a safeguard.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import trackhatch.controller
from arrowrail.core import engine
from arrowrail.core.requests import ESTABLISHED, FinalResponse, Request
from arrowrail.failure_detection.endpoint import EndpointMonitor
from arrowrail.run import main as run_main
from arrowrail.shutdown.plan import ShutdownPlan
from arrowrail.wire.bus.client import BusClient
from arrowrail.wire.sip.frontend import SipFrontend


def _without_drain() -> None:
    """Ignore entries with the state ``terminating`` in list updates."""
    update_endpoints = engine.Core.update_endpoints

    def filtered_update(self: engine.Core, source: str, snapshot: bool, entries: Any) -> None:
        update_endpoints(self, source, snapshot, [entry for entry in entries if entry.state != "terminating"])

    setattr(engine.Core, "update_endpoints", filtered_update)  # noqa: B010 - replaces a method on purpose


def _without_pause() -> None:
    """Make no release pause after an attempt that timed out, lost its connection or was cancelled."""
    engine.RELEASE_AWAITED_OUTCOMES = ()  # type: ignore[assignment]
    trackhatch.controller.RELEASE_AWAITED_OUTCOMES = ()  # type: ignore[assignment]


def _without_release() -> None:
    """Keep the calls of a lost server established until discovery reports its end."""
    setattr(EndpointMonitor, "detect_loss", lambda self, now: None)  # noqa: B010


def _without_one_answer() -> None:
    """Send each failure response twice."""
    respond = SipFrontend.respond

    def respond_twice(self: SipFrontend, request: Request, response: FinalResponse) -> None:
        dialog = self.dialogs.get(request.params.call_id)
        respond(self, request, response)
        if response.result != ESTABLISHED and dialog is not None:
            self.dialogs[request.params.call_id] = dialog
            respond(self, request, response)

    setattr(SipFrontend, "respond", respond_twice)  # noqa: B010


def _without_shutdown() -> None:
    """Let pending requests keep their own deadlines at a shutdown, even if the process is killed before."""
    setattr(ShutdownPlan, "answer_deadline_ns", lambda self, deadline_ns: deadline_ns)  # noqa: B010
    setattr(engine.Core, "_answer_open_requests", lambda self: None)  # noqa: B010


def _without_reconnect() -> None:
    """Do not reconnect to the event bus after a connection to it has failed."""
    setattr(BusClient, "_schedule_reconnect", lambda self: None)  # noqa: B010


SAFEGUARDS: dict[str, Callable[[], None]] = {
    "drain": _without_drain, "pause": _without_pause, "release": _without_release,
    "one_answer": _without_one_answer, "shutdown": _without_shutdown, "told": _without_reconnect,
}  # fmt: skip


def main() -> int:
    safeguard = sys.argv.pop(1)
    SAFEGUARDS[safeguard]()
    return run_main.main()


if __name__ == "__main__":
    sys.exit(main())
