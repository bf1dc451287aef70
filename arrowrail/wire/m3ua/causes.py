"""The one table between what became of a call and the Q.850 cause values of ISUP.

Toward a client, the release's cause tells what a SIP client reads from the status: the causes of ``REFUSED``
stand where the SIP front says 503 (trying again is harmless), those of ``FAILED`` where it says 500.
From a desk exchange, a cause is read as the outcome that the binary protocol gives by cause and note.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.core.requests import FAILED, NO_ROUTE, OVER_LIMIT, FinalResponse, ReleaseOutcome

NORMAL = 16


@dataclass(frozen=True, slots=True)
class Row:
    q850: int
    meaning: str
    outcome: str  # what a desk exchange's release with it means for an attempt
    cause: int  # and the module's cause beside it


# cause | Q.850's words                      | outcome of an attempt | cause of the module
TABLE = (
    Row(16, "normal call clearing", "server_error", 0),
    Row(17, "user busy", "server_error", 4),
    Row(27, "destination out of order", "turned_away", 0),
    Row(34, "no circuit/channel available", "turned_away", 1),
    Row(38, "network out of order", "server_error", 0),
    Row(41, "temporary failure", "connection_lost", 0),
    Row(42, "switching equipment congestion", "turned_away", 3),
    Row(44, "requested circuit not available", "turned_away", 1),
    Row(47, "resource unavailable, unspecified", "server_error", 0),
    Row(102, "recovery on timer expiry", "server_error", 0),
)
BY_CAUSE = {row.q850: row for row in TABLE}
UNKNOWN = Row(31, "normal, unspecified", "server_error", 0)

# Toward a client, by the last attempt's outcome and cause; the cause None stands for any other.
REFUSED_CAUSES: dict[tuple[str, int | None], int] = {
    ("", None): 34,  # no route scored: nothing was ever sent
    ("turned_away", 3): 42,
    ("turned_away", 18): 42,
    ("turned_away", None): 34,
    ("not_sent", 3): 42,
    ("not_sent", None): 34,
    ("server_error", 4): 17,
    ("server_error", None): 47,
    ("no_connection", None): 27,
    ("connection_lost", None): 38,
    ("no_answer", None): 38,
    ("called_off", None): 38,
    (NO_ROUTE, None): 1,
    (OVER_LIMIT, None): 42,
}
FAILED_CAUSES: dict[tuple[str, int | None], int] = {("no_answer", None): 102}
DEFAULT_FAILED_CAUSE = 41


def release_cause(answer: FinalResponse) -> int:
    """The cause of the release that carries a final answer 'refused' or 'failed'."""
    low = answer.cause % 16 if answer.cause != 18 else 18  # above 16, the module's cause holds a wait
    table = FAILED_CAUSES if answer.result == FAILED else REFUSED_CAUSES
    for key in ((answer.outcome, low), (answer.outcome, None)):
        if key in table:
            return table[key]
    return DEFAULT_FAILED_CAUSE if answer.result == FAILED else 34


def release_outcome(cause: int) -> ReleaseOutcome:
    """What a desk exchange's REL means, before and after its answer."""
    row = BY_CAUSE.get(cause, UNKNOWN)
    return ReleaseOutcome(
        row.outcome, row.cause, "served" if cause in (NORMAL, UNKNOWN.q850) else "connection_lost"
    )
