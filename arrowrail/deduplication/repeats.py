"""What is owed to a set-up whose call id is known, by its call class and by what its attempts proved.

A refusal tells the caller that trying again is harmless.  For a class that must not run twice it may be sent
only while each attempt has an outcome that proves that it never ran; otherwise the set-up has failed.
"""

from __future__ import annotations

from enum import Enum

from arrowrail.state.ended_calls import EndedCall

# Outcomes of attempts that prove that the set-up never ran; any other one leaves it open.
NEVER_RAN_OUTCOMES = frozenset({"turned_away", "no_connection", "not_sent"})


class RepeatDecision(Enum):
    """What becomes of a set-up with a known call id."""

    ACCEPT = "accept"  # handle it as a new one
    REFUSE = "refuse"  # trying again is harmless
    FAIL = "fail"  # the call may have run
    CONFLICT = "conflict"  # the call id belongs to another call


def proves_never_ran(outcome: str) -> bool:
    """Whether an attempt with this outcome can't have reached the called party."""
    return outcome in NEVER_RAN_OUTCOMES


def may_refuse(may_have_run: bool, repeatable: bool) -> bool:
    """Whether a refusal is true; ``repeatable``: calls of the class may run more than once."""
    return repeatable or not may_have_run


def decide_repeat(ended: EndedCall, fingerprint: int, repeatable: bool) -> RepeatDecision:
    """Decide about a set-up whose call id is that of an ended call."""
    if ended.fingerprint is not None and ended.fingerprint != fingerprint:
        return RepeatDecision.CONFLICT
    if not ended.attempted and not ended.has_response:
        return RepeatDecision.ACCEPT
    return RepeatDecision.REFUSE if may_refuse(ended.may_have_run, repeatable) else RepeatDecision.FAIL
