"""What a repeated set-up may be answered, and how long an ended call is known."""

from __future__ import annotations

from dataclasses import replace

import pytest

from arrowrail.core.requests import MS, SetUpParams
from arrowrail.deduplication.repeats import RepeatDecision, decide_repeat, may_refuse, proves_never_ran
from arrowrail.state import ended_calls
from arrowrail.state.ended_calls import EndedCall, EndedCalls

FINGERPRINT = 7


def ended(
    attempted: bool = True,
    may_have_run: bool = True,
    has_response: bool = True,
    fingerprint: int | None = FINGERPRINT,
    expires_ns: int = 1,
) -> EndedCall:
    return EndedCall(expires_ns, fingerprint, attempted, may_have_run, has_response)


@pytest.mark.parametrize(
    ("call", "repeatable", "decision"),
    [
        (ended(), True, RepeatDecision.REFUSE),
        (ended(), False, RepeatDecision.FAIL),
        (ended(has_response=False), False, RepeatDecision.FAIL),
        (ended(may_have_run=False), False, RepeatDecision.REFUSE),
        (ended(may_have_run=False, has_response=False), False, RepeatDecision.REFUSE),
        (ended(attempted=False, may_have_run=False), False, RepeatDecision.REFUSE),
        (ended(attempted=False, may_have_run=False, has_response=False), False, RepeatDecision.ACCEPT),
        (ended(fingerprint=8), True, RepeatDecision.CONFLICT),
        (ended(fingerprint=None), True, RepeatDecision.REFUSE),  # from before the start of the process
        (ended(fingerprint=None), False, RepeatDecision.FAIL),
    ],
)
def test_a_repeated_set_up_is_refused_only_where_that_is_true(
    call: EndedCall, repeatable: bool, decision: RepeatDecision
) -> None:
    assert decide_repeat(call, FINGERPRINT, repeatable) is decision


def test_only_some_outcomes_prove_that_an_attempt_never_ran() -> None:
    outcomes = ("turned_away", "no_connection", "not_sent", "server_error", "no_answer", "connection_lost",
                "called_off", "served")  # fmt: skip
    assert [name for name in outcomes if proves_never_ran(name)] == list(outcomes[:3])
    assert may_refuse(may_have_run=True, repeatable=True) and not may_refuse(True, repeatable=False)


def test_the_fingerprint_of_a_set_up_leaves_out_its_deadline_only() -> None:
    params = SetUpParams("a1", "check", "ab", 0xAB, 1, 1, 1 * MS, b"sdp")
    assert params.fingerprint() == replace(params, deadline_ns=5 * MS).fingerprint()
    assert params.fingerprint() != replace(params, class_name="alarm").fingerprint()
    assert params.fingerprint() != replace(params, called_number="ac").fingerprint()


def test_a_flood_of_refused_set_ups_does_not_displace_calls_that_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ended_calls, "MAX_UNATTEMPTED", 10)
    calls = EndedCalls()
    calls.add("attempted", ended())
    for number in range(100):
        calls.add(f"refused-{number}", ended(attempted=False, may_have_run=False))
    assert "attempted" in calls and "refused-99" in calls and "refused-89" not in calls
    assert len(calls) == 11


def test_ended_calls_are_forgotten_once_their_time_is_over() -> None:
    calls = EndedCalls()
    calls.add("a", ended(expires_ns=10))
    calls.add("b", ended(expires_ns=20, attempted=False))
    calls.expire(10)
    assert list(calls) == ["a", "b"]
    calls.expire(11)
    assert list(calls) == ["b"]
    calls.expire(21)
    assert len(calls) == 0 and calls.get("b") is None
