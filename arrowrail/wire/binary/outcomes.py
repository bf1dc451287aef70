"""Maps release causes and reasons of the binary protocol to outcomes and causes of the decision module."""

from __future__ import annotations

from arrowrail.core.requests import ReleaseOutcome
from arrowrail.wire.binary.messages import BinaryMessage

# By release cause of an unanswered set-up.
OUTCOMES = {34: "turned_away", 17: "server_error", 47: "server_error", 102: "not_sent", 41: "connection_lost"}
# By reason text of a release.
CAUSES = {"group_full": 1, "tandem_refused": 2, "processor_full": 3, "user_busy": 4, "destination_full": 18}


def release_outcome(message: BinaryMessage) -> ReleaseOutcome:
    """The outcome of a release, both for an unanswered set-up and for an established call."""
    cause = CAUSES.get(message.reason, 0)
    if message.reason == "processor_full":
        cause += 16 * message.retry_after_ms
    return ReleaseOutcome(
        OUTCOMES.get(message.cause, "server_error"),
        cause,
        "connection_lost" if message.cause == 41 else "served",
    )
