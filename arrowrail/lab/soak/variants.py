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
from arrowrail.core.requests import STANDS, Answer, Request
from arrowrail.failure_detection.endpoint import EndpointMonitor
from arrowrail.run import main as run_main
from arrowrail.shutdown.plan import ShutdownPlan
from arrowrail.wire.bus.client import BusClient
from arrowrail.wire.sip.front import SipFront


def _without_drain() -> None:
    """News that a server drains is not taken in."""
    taken = engine.Core.list_news

    def list_news(self: engine.Core, source: str, whole: bool, lines: Any) -> None:
        taken(self, source, whole, [line for line in lines if line.state != "terminating"])

    setattr(engine.Core, "list_news", list_news)  # noqa: B010 - a method is replaced on purpose


def _without_pause() -> None:
    """No pause after an attempt that timed out, broke or was cancelled."""
    engine.PAUSED_AFTER = ()  # type: ignore[assignment]
    trackhatch.controller.RELEASE_AWAITED_OUTCOMES = ()  # type: ignore[assignment]


def _without_release() -> None:
    """Calls on a server that is gone are left standing until discovery says so."""
    setattr(EndpointMonitor, "loss", lambda self, now: None)  # noqa: B010


def _without_one_answer() -> None:
    """A refusal is said twice."""
    said = SipFront.answer

    def answer(self: SipFront, request: Request, answer: Answer) -> None:
        dialog = self.dialogs.get(request.offer.call)
        said(self, request, answer)
        if answer.kind != STANDS and dialog is not None:
            self.dialogs[request.offer.call] = dialog
            said(self, request, answer)

    setattr(SipFront, "answer", answer)  # noqa: B010


def _without_shutdown() -> None:
    """Requests are held for their own deadline, whenever the kill comes."""
    setattr(ShutdownPlan, "due_ns", lambda self, deadline_ns: deadline_ns)  # noqa: B010
    setattr(engine.Core, "_cut_off", lambda self: None)  # noqa: B010


def _without_told() -> None:
    """Discovery is not asked again after a call to it has failed."""
    setattr(BusClient, "_later", lambda self: None)  # noqa: B010


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
