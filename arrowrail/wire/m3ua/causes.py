"""Mapping between outcomes of calls and the Q.850 cause values of ISUP.

Toward a client, the cause of a release corresponds to the status that a SIP client gets: the causes of
``REFUSED_CAUSES`` to 503 (the call may be tried again safely), those of ``FAILED_CAUSES`` to 500. A cause
from an exchange is mapped to the outcome that the binary protocol derives from its cause and reason.
"""

from __future__ import annotations

from dataclasses import dataclass

from arrowrail.core.requests import FAILED, NO_ROUTE, OVER_LIMIT, FinalResponse, ReleaseOutcome

Q850_NORMAL_CLEARING = 16


@dataclass(frozen=True, slots=True)
class CauseMapping:
    """The outcome of an attempt that an exchange releases with a Q.850 cause."""

    q850: int
    meaning: str  # as defined by Q.850
    outcome: str
    cause: int  # cause code of the decision module


CAUSE_MAPPINGS = (
    CauseMapping(16, "normal call clearing", "server_error", 0),
    CauseMapping(17, "user busy", "server_error", 4),
    CauseMapping(27, "destination out of order", "turned_away", 0),
    CauseMapping(34, "no circuit/channel available", "turned_away", 1),
    CauseMapping(38, "network out of order", "server_error", 0),
    CauseMapping(41, "temporary failure", "connection_lost", 0),
    CauseMapping(42, "switching equipment congestion", "turned_away", 3),
    CauseMapping(44, "requested circuit not available", "turned_away", 1),
    CauseMapping(47, "resource unavailable, unspecified", "server_error", 0),
    CauseMapping(102, "recovery on timer expiry", "server_error", 0),
)
MAPPING_BY_CAUSE = {mapping.q850: mapping for mapping in CAUSE_MAPPINGS}
UNSPECIFIED = CauseMapping(31, "normal, unspecified", "server_error", 0)

# Causes toward a client, by outcome and cause code of the last attempt; None matches any other cause code.
REFUSED_CAUSES: dict[tuple[str, int | None], int] = {
    ("", None): 34,  # no usable route, so no attempt was made
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


def release_cause(response: FinalResponse) -> int:
    """Return the Q.850 cause of the release that a refused or failed call ends with."""
    cause = response.cause % 16 if response.cause != 18 else 18  # the part above 16 is a retry delay
    causes = FAILED_CAUSES if response.result == FAILED else REFUSED_CAUSES
    for key in ((response.outcome, cause), (response.outcome, None)):
        if key in causes:
            return causes[key]
    return DEFAULT_FAILED_CAUSE if response.result == FAILED else 34


def release_outcome(cause: int) -> ReleaseOutcome:
    """Return the outcome of a release by an exchange, before and after its answer."""
    mapping = MAPPING_BY_CAUSE.get(cause, UNSPECIFIED)
    return ReleaseOutcome(
        mapping.outcome,
        mapping.cause,
        "served" if cause in (Q850_NORMAL_CLEARING, UNSPECIFIED.q850) else "connection_lost",
    )
