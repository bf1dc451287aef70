"""Release causes and notes of the binary protocol, as outcomes and causes of the decision module."""

from __future__ import annotations

from arrowrail.core.requests import ReleaseOutcome
from arrowrail.wire.binary.messages import BinaryMessage

# Release causes of an unanswered set-up, as outcomes of the module.
OUTCOMES = {34: "turned_away", 17: "server_error", 47: "server_error", 102: "not_sent", 41: "connection_lost"}
NOTES = {"group_full": 1, "tandem_refused": 2, "processor_full": 3, "user_busy": 4, "destination_full": 18}


def read_release(message: BinaryMessage) -> ReleaseOutcome:
    """A release in the core's terms, for both cases: before the answer, and after it."""
    cause = NOTES.get(message.reason, 0)
    if message.reason == "processor_full":
        cause += 16 * message.retry_after_ms
    return ReleaseOutcome(
        OUTCOMES.get(message.cause, "server_error"),
        cause,
        "connection_lost" if message.cause == 41 else "served",
    )
