"""The program with one of its guards taken out: what the soak's judge has to catch.

``python -m arrowrail.lab.soak.variants GUARD`` starts a controller as ``run`` does, but for that guard.  It
is only for trials: nothing of the program itself can be switched off.
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
    """News that a server drains is not taken in."""
    taken = engine.Core.update_endpoints

    def list_news(self: engine.Core, source: str, whole: bool, lines: Any) -> None:
        taken(self, source, whole, [line for line in lines if line.state != "terminating"])

    setattr(engine.Core, "update_endpoints", list_news)  # noqa: B010 - a method is replaced on purpose


def _without_pause() -> None:
    """No pause after an attempt that timed out, broke or was cancelled."""
    engine.RELEASE_AWAITED_OUTCOMES = ()  # type: ignore[assignment]
    trackhatch.controller.RELEASE_AWAITED_OUTCOMES = ()  # type: ignore[assignment]


def _without_release() -> None:
    """Calls on a server that is gone are left standing until discovery says so."""
    setattr(EndpointMonitor, "detect_loss", lambda self, now: None)  # noqa: B010


def _without_one_answer() -> None:
    """A refusal is said twice."""
    said = SipFrontend.respond

    def answer(self: SipFrontend, request: Request, answer: FinalResponse) -> None:
        dialog = self.dialogs.get(request.params.call_id)
        said(self, request, answer)
        if answer.result != ESTABLISHED and dialog is not None:
            self.dialogs[request.params.call_id] = dialog
            said(self, request, answer)

    setattr(SipFrontend, "respond", answer)  # noqa: B010


def _without_shutdown() -> None:
    """Requests are held for their own deadline, whenever the kill comes."""
    setattr(ShutdownPlan, "answer_deadline_ns", lambda self, deadline_ns: deadline_ns)  # noqa: B010
    setattr(engine.Core, "_answer_open_requests", lambda self: None)  # noqa: B010


def _without_told() -> None:
    """Discovery is not asked again after a call to it has failed."""
    setattr(BusClient, "_schedule_reconnect", lambda self: None)  # noqa: B010


GUARDS: dict[str, Callable[[], None]] = {
    "drain": _without_drain, "pause": _without_pause, "release": _without_release,
    "one_answer": _without_one_answer, "shutdown": _without_shutdown, "told": _without_told,
}  # fmt: skip


def main() -> int:
    guard = sys.argv.pop(1)
    GUARDS[guard]()
    return run_main.main()


if __name__ == "__main__":
    sys.exit(main())
