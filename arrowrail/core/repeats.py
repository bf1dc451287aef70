"""What the core keeps of ended calls, and what it says about a set-up that comes again."""

from __future__ import annotations

from arrowrail.core.requests import Request, SetUpParams, SubmitResult
from arrowrail.deduplication.repeats import RepeatDecision, decide_repeat, may_refuse
from arrowrail.state.ended_calls import RETENTION_NS, EndedCall, EndedCalls
from trackhatch.interface import CallClass

RESULT_BY_DECISION = {
    RepeatDecision.ACCEPT: SubmitResult.ACCEPTED,
    RepeatDecision.REFUSE: SubmitResult.REFUSED,
    RepeatDecision.FAIL: SubmitResult.FAILED,
    RepeatDecision.CONFLICT: SubmitResult.CONFLICT,
}


class RepeatedCalls:
    """Records how calls end, and decides about set-ups by it."""

    def __init__(self, classes: tuple[CallClass, ...]) -> None:
        self.ended = EndedCalls()
        self._single_run_classes = {c.name for c in classes if not c.repeatable}

    def record(self, now: int, request: Request) -> None:
        """A request is over: it has its final response, its caller has left, or its call has ended."""
        ended = EndedCall(
            now + RETENTION_NS,
            request.fingerprint,
            attempted=request.attempts > 0,
            may_have_run=request.may_have_run,
            has_response=request.has_response,
        )
        self.ended.add(request.params.call_id, ended)

    def record_earlier(self, now: int, call_id: str) -> None:
        """A call has ended that was established before the start of this process."""
        ended = EndedCall(now + RETENTION_NS, None, attempted=True, may_have_run=True, has_response=True)
        self.ended.add(call_id, ended)

    def decide(self, params: SetUpParams) -> SubmitResult:
        """Return what becomes of a set-up with no open request; changes nothing."""
        ended = self.ended.get(params.call_id)
        if ended is None:
            return SubmitResult.ACCEPTED
        decision = decide_repeat(ended, params.fingerprint(), self._is_repeatable(params))
        return RESULT_BY_DECISION[decision]

    def may_refuse(self, request: Request) -> bool:
        """Whether a refusal of a request, which promises that trying again is harmless, is true."""
        return may_refuse(request.may_have_run, self._is_repeatable(request.params))

    def _is_repeatable(self, params: SetUpParams) -> bool:
        return (params.route or params.class_name) not in self._single_run_classes
