"""The call engine between the frontends, the decision module and the backends; independent of any protocol.

Frontends submit requests and receive their final responses; backends receive attempts and report their
outcomes.  The events of one event loop iteration are passed to ``Controller.step`` as one batch.  A set-up
that it returns is checked against the rules once more before it is sent.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

from loguru import logger

from arrowrail.core.repeats import RepeatedCalls
from arrowrail.core.requests import (
    ESTABLISHED,
    FAILED,
    MS,
    OVER_LIMIT,
    Q850_NORMAL_CLEARING,
    Q850_TEMPORARY_FAILURE,
    REFUSED,
    SHUTDOWN,
    AdmissionController,
    Attempt,
    Backend,
    FinalResponse,
    Frontend,
    ReleaseOutcome,
    Request,
    SetUpParams,
    SubmitResult,
)
from arrowrail.core.rules import violated_rule
from arrowrail.deduplication.repeats import proves_never_ran
from arrowrail.failure_detection.address_reuse import find_predecessors, find_superseded
from arrowrail.limits.memory import MemoryBudget
from arrowrail.shutdown.plan import ShutdownPlan
from arrowrail.state.ended_calls import EndedCalls
from arrowrail.state.endpoints import TERMINATED, Endpoint, EndpointEntry, EndpointRegistry
from arrowrail.state.established_calls import EstablishedCalls
from arrowrail.state.slots import SlotTable
from arrowrail.state.timers import TimerQueue
from arrowrail.telemetry.events import call_event, event, first_ids
from arrowrail.telemetry.metrics import Metrics
from trackhatch import Controller, interface

# Outcomes after which the endpoint may still hold the call until the release time has passed.
RELEASE_AWAITED_OUTCOMES = ("no_answer", "connection_lost", "called_off")
# How long after its deadline a request without a final response is failed: the decision module gets time to
# respond, and the response still falls within the tolerance of all known installations.
OVERDUE_GRACE_NS = 10 * MS
DEFAULT_MEMORY_BUDGET_BYTES = 24 * 1024 * 1024
MAX_KEPT_DESCRIPTION_BYTES = 1024  # of an established call; a longer one is dropped
MEMORY_RETRY_AFTER_NS = 1_000 * MS  # for callers whose set-ups are refused for lack of memory


class Core:
    """Tracks requests, attempts and established calls, and executes the actions of the decision module."""

    def __init__(
        self,
        settings: interface.Settings,
        seed: int,
        timers: TimerQueue,
        memory_budget_bytes: int = DEFAULT_MEMORY_BUDGET_BYTES,
    ) -> None:
        self.settings = settings
        self.decision_module = Controller(settings, seed)
        self.timers = timers
        self.registry = EndpointRegistry()
        self.requests: SlotTable[Request] = SlotTable()
        self.request_handles: dict[str, int] = {}
        self.memory_budget = MemoryBudget(memory_budget_bytes)
        self.repeated_calls = RepeatedCalls(settings.classes)
        self.backends: dict[str, Backend] = {}
        self.frontends: list[Frontend] = []
        self.events: list[interface.Event] = []
        self.list_received = False
        self.admission: AdmissionController | None = None
        self.rejected: list[tuple[Request, FinalResponse]] = []  # by admission control; not answered yet
        self.unanswered = 0  # requests without a final response
        self.internal_errors = 0  # failed internal checks; each indicates a bug in this program
        self.metrics = Metrics()
        self.shutdown_plan: ShutdownPlan | None = None  # set once shutdown has begun
        self.established_calls = EstablishedCalls()

    @property
    def ended_calls(self) -> EndedCalls:
        """The calls that have ended of late."""
        return self.repeated_calls.ended

    @property
    def now(self) -> int:
        return self.timers.now

    # --- Called by frontends ----------------------------------------------------------------------------

    def submit(
        self, frontend: Frontend, connection_id: int, params: SetUpParams, held_bytes: int = 0
    ) -> SubmitResult:
        """Accept a request, unless its call id is already known: each id gets one final response.

        ``held_bytes`` is what the frontend keeps of its message until then.
        """
        known = self.repeat_result(frontend, params)
        if known is SubmitResult.ACCEPTED:
            self.ended_calls.remove(params.call_id)
        else:
            self.metrics.count("request.repeated", known.value)
            call_event("request.repeated", params.call_id, "its call id is known: {result}",
                       result=known.value)  # fmt: skip
            return known
        request = Request(params, frontend, connection_id, params.fingerprint())
        request.origin = (id(frontend), connection_id)
        request.handle = self.requests.add(request)
        self.request_handles[params.call_id] = request.handle
        self.unanswered += 1
        self.metrics.count("request.taken", params.class_name)
        call_event("request.taken", params.call_id, "request accepted, class {kind}, deadline in {due_ms} ms",
                   kind=params.class_name, due_ms=(params.deadline_ns - self.now) // MS)  # fmt: skip
        handle = request.handle
        if self.shutdown_plan is not None:
            if not self.shutdown_plan.accepts_requests(self.now):
                self.metrics.count("request.refused", SHUTDOWN)
                self.rejected.append((request, FinalResponse(REFUSED, outcome=SHUTDOWN)))
                return SubmitResult.ACCEPTED
            params = request.params = replace(
                params, deadline_ns=self.shutdown_plan.answer_deadline_ns(params.deadline_ns)
            )
        if not self.memory_budget.may_hold(request.origin, held_bytes):
            retry_after_ns = MEMORY_RETRY_AFTER_NS if self.settings.may_send_retry_after else 0
            self.metrics.count("request.refused", "memory")
            self.rejected.append((request, FinalResponse(REFUSED, b"", retry_after_ns, OVER_LIMIT)))
            return SubmitResult.ACCEPTED
        self.memory_budget.hold(request.origin, held_bytes)
        request.held_bytes, request.is_held = held_bytes, True
        if self.admission is not None:
            request.received_ns = self.now
            params, refusal = self.admission.admit(self.now, request.origin, params)
            request.params = params
            if refusal is not None:
                self.rejected.append((request, refusal))
                return SubmitResult.ACCEPTED
            request.admitted = True
        request.deadline_timer = self.timers.schedule(
            params.deadline_ns, lambda: self._deadline_reached(handle)
        )
        self.events.append(
            interface.CallOffered(
                params.call_id, params.route or params.class_name, "", params.destination, params.number_key,
                params.width, params.deadline_ns, 0, params.in_transit, params.redialled,
                params.replaces_cut_call, params.via_exchange,
            )
        )  # fmt: skip
        return SubmitResult.ACCEPTED

    def repeat_result(self, frontend: Frontend, params: SetUpParams) -> SubmitResult:
        """What becomes of a set-up, by what is known of its call id; changes nothing."""
        request = self.find(params.call_id)
        if request is not None:
            same_call = request.fingerprint == params.fingerprint() and request.frontend is frontend
            return SubmitResult.OPEN if same_call else SubmitResult.CONFLICT
        result = self.repeated_calls.decide(params)
        if result is not SubmitResult.ACCEPTED or params.call_id not in self.ended_calls:
            return result
        if any(getattr(known, "call_id", "") == params.call_id for known in self.events):
            # The decision module has not yet been told of the end of the first one, and would mix them up.
            return SubmitResult.REFUSED
        return SubmitResult.ACCEPTED

    def move_request(self, call_id: str, connection_id: int) -> None:
        """Send the response and the release of a call to another connection of its frontend."""
        request = self.find(call_id)
        if request is not None:
            request.connection_id = connection_id

    def reject(self, call_id: str) -> str:
        """Cancel a set-up that its frontend answers by itself; return the result: REFUSED or FAILED."""
        request = self.find(call_id)
        if request is None:
            return FAILED
        self.caller_abandoned(call_id, will_respond=True)
        return REFUSED if self.repeated_calls.may_refuse(request) else FAILED

    def supports_class(self, class_name: str) -> bool:
        """Whether set-ups of the class can be accepted at all."""
        return (
            self.admission.supports_class(class_name)
            if self.admission is not None
            else class_name in self.decision_module.call_classes
        )

    def find(self, call_id: str) -> Request | None:
        return self.requests.get(self.request_handles.get(call_id, -1))

    def caller_abandoned(self, call_id: str, will_respond: bool = False) -> bool:
        """Cancel a set-up whose caller no longer waits.

        ``will_respond``: the frontend sends it a final response by itself.
        """
        request = self.find(call_id)
        if request is None or request.established:
            return False
        self.events.append(interface.CallAbandoned(call_id))
        self.metrics.count("request.caller_gone")
        call_event("request.caller_gone", call_id, "the caller has abandoned the set-up")
        attempt = request.current_attempt
        if attempt is not None:
            unsent = self._backend(attempt.endpoint).cancel_set_up(attempt.endpoint, call_id)
            self._attempt_ended(request, attempt, "called_off", 0, True, unsent)
        request.has_response = will_respond
        self._remove_request(request)
        return True

    def caller_released(self, call_id: str) -> bool:
        """Release a call at its caller's request; false if there is none.  Any connection may carry it."""
        request = self.find(call_id)
        if request is None or request.current_attempt is None:
            return False
        attempt = request.current_attempt
        if not request.established:
            return self.caller_abandoned(call_id, will_respond=True)
        self._backend(attempt.endpoint).release(attempt.endpoint, call_id, Q850_NORMAL_CLEARING)
        self._call_ended(request, attempt, "called_off", "caller")
        return True

    # --- Called by backends -----------------------------------------------------------------------------

    def endpoint_answered(self, endpoint: Endpoint, call_id: str, session_description: bytes) -> None:
        request = self.find(call_id)
        attempt = request.current_attempt if request is not None else None
        if request is None and call_id not in self.ended_calls:
            return  # unknown call id, received along with another call's answer
        if request is None or attempt is None or attempt.endpoint is not endpoint:
            # The attempt was cancelled, timed out or was followed by one at another endpoint before its
            # answer arrived, so the call must not stay up here.
            self.metrics.count("answer.crossed")
            call_event("answer.crossed", call_id, "late answer from {server}; the call is released there",
                       server=endpoint.entry.uid)  # fmt: skip
            self._backend(endpoint).release(endpoint, call_id, Q850_NORMAL_CLEARING)
            return
        if request.established:
            return  # duplicate answer
        request.established = request.may_have_run = request.has_response = True
        attempt.answered_ns = self.now
        self.established_calls.add(endpoint.endpoint_id, call_id, self.now, request.params.width)
        self.unanswered -= 1
        self._set_up_finished(request)
        if self.admission is not None:
            self.events += self.admission.attempt_ended(self.now, endpoint, "served", 0)
        self._cancel_timers(request, attempt)
        if len(request.params.session_description) > MAX_KEPT_DESCRIPTION_BYTES:
            # No further attempt needs it.
            request.params = replace(request.params, session_description=b"")
        self.metrics.count("request.stands")
        call_event("request.stands", call_id, "established at {server} by attempt {attempt}",
                   server=endpoint.entry.uid, attempt=attempt.number)  # fmt: skip
        self.events.append(
            interface.CallEstablished(
                call_id, endpoint.endpoint_id, attempt.number, self.now - attempt.sent_ns
            )
        )
        request.frontend.respond(request, FinalResponse(ESTABLISHED, session_description))

    def endpoint_released(
        self, endpoint: Endpoint, call_id: str, outcome: ReleaseOutcome, cause: int
    ) -> None:
        """The endpoint has refused the set-up or released the established call."""
        request = self.find(call_id)
        if request is None:
            if call_id not in self.ended_calls:
                # The call was established before this process restarted: its caller still holds it and has to
                # be sent the release.
                self.metrics.count("release.unknown_call")
                call_event("release.unknown_call", call_id,
                           "released by {server}, unknown here; passed on to callers",
                           server=endpoint.entry.uid)  # fmt: skip
                self.repeated_calls.record_earlier(self.now, call_id)
                for frontend in self.frontends:
                    frontend.release_unknown(call_id, cause)
            return
        attempt = request.current_attempt
        if attempt is None or attempt.endpoint is not endpoint:
            return  # release of an attempt that was already cancelled
        if request.established:
            request.frontend.release(request, cause)
            self._call_ended(request, attempt, outcome.after_answer, "server")
        else:
            self._attempt_ended(request, attempt, outcome.before_answer, outcome.cause, False)

    def attempt_failed(self, endpoint: Endpoint, call_id: str, outcome: str, cause: int = 0) -> None:
        """The attempt was never sent, or its connection failed before the answer."""
        request = self.find(call_id)
        attempt = request.current_attempt if request is not None and not request.established else None
        if request is not None and attempt is not None and attempt.endpoint is endpoint:
            self._attempt_ended(request, attempt, outcome, cause, False)

    def endpoint_lost(self, endpoint: Endpoint, reason: str, before_ns: int = 0) -> None:
        """End all calls and attempts at an endpoint that is no longer there.

        With ``before_ns``, only calls answered before that time and unanswered attempts sent before it: a
        set-up may have been queued for a connection and be answered by the process that accepts it.  The
        endpoint is sent the releases as well: if it is merely unreachable, it must not keep calls that are
        over here.
        """
        lost_calls: list[str] = []
        for request in self.requests:
            attempt = request.current_attempt
            if attempt is None or attempt.endpoint is not endpoint:
                continue
            if 0 < before_ns <= (attempt.answered_ns or attempt.sent_ns):
                continue
            if request.established:
                lost_calls.append(request.params.call_id)
                self._backend(endpoint).release(endpoint, request.params.call_id, Q850_TEMPORARY_FAILURE)
                request.frontend.release(request, Q850_TEMPORARY_FAILURE)
                self._call_ended(request, attempt, "connection_lost", reason)
            else:
                self._cancel_attempt(request, attempt, "connection_lost")
        if not lost_calls:
            return
        self.metrics.count("server.lost", reason)
        event("server.lost", "{server} is lost ({reason}); its {calls} established calls are released: {ids}",
              level="WARNING", server=endpoint.entry.uid, reason=reason, calls=len(lost_calls),
              ids=first_ids(lost_calls))  # fmt: skip

    def release_all(self, frontend: Frontend, cause: int) -> int:
        """Release a frontend's established calls toward the endpoints: its callers are gone for good."""
        released = 0
        for request in self.requests:
            attempt = request.current_attempt
            if request.frontend is frontend and request.established and attempt is not None:
                self._backend(attempt.endpoint).release(attempt.endpoint, request.params.call_id, cause)
                self._call_ended(request, attempt, "called_off", "orphaned")
                released += 1
        return released

    def has_attempt_at(self, call_id: str, endpoint: Endpoint) -> bool:
        """Whether the call's pending or established attempt is at that endpoint."""
        request = self.find(call_id)
        return (
            request is not None
            and request.current_attempt is not None
            and request.current_attempt.endpoint is endpoint
        )

    def trunk_group_changed(self, endpoint: Endpoint, free: float, size: float) -> None:
        self.events.append(
            interface.TrunkGroupReport(
                endpoint.endpoint_id, "served", 0, interface.LoadReport(free, size, ())
            )
        )

    def update_endpoints(self, source: str, snapshot: bool, entries: Iterable[EndpointEntry]) -> None:
        """Apply a list of desk exchanges from any source: a complete snapshot, or changes to the last one."""
        if self.admission is not None:
            source, snapshot, entries = self.admission.filter_entries(source, snapshot, entries)
        usable = [entry for entry in entries if entry.backend in self.backends]
        changed = self.registry.apply(self.now, source, snapshot, usable)
        if not changed:
            return
        superseded = find_superseded(self.registry.endpoints.values())
        changed += [e for e in self.registry.supersede(self.now, superseded) if e not in changed]
        for endpoint in changed:
            self.metrics.count("server.listed", endpoint.entry.state)
            event("server.listed", "{source} lists {server} at {endpoint} as {state}", source=source,
                  server=endpoint.entry.uid, endpoint=endpoint.entry.address,
                  state=endpoint.entry.state)  # fmt: skip
        list_entries = tuple(
            interface.ListEntry(
                endpoint.endpoint_id,
                endpoint.entry.zone,
                endpoint.entry.exchange,
                endpoint.entry.state,
                endpoint.entry.started_ns,
            )
            for endpoint in changed
        )
        self.events.append(
            interface.ExchangeListUpdate("update" if self.list_received else "restored", list_entries)
        )
        self.list_received = True
        if self.admission is not None:
            self.events += self.admission.endpoints_changed(changed)
        for endpoint in changed:
            if endpoint.entry.exchange == self.settings.own_exchange:
                continue  # no set-up is ever sent to the own exchange
            if endpoint.entry.state == TERMINATED:
                # Done while its connections are still open: a successor may already listen at its address and
                # hold calls that were sent there before the list changed.
                self.endpoint_lost(endpoint, "removed")
            self._backend(endpoint).endpoint_changed(endpoint)
            if endpoint.entry.state != TERMINATED and 0 < endpoint.entry.started_ns <= self.now:
                # A process restarted under the same uid knows nothing of calls sent to its predecessor; they
                # would never be released otherwise.
                self.endpoint_lost(endpoint, "started_anew", endpoint.entry.started_ns)
        for predecessor, started_ns in find_predecessors(changed, self.registry.endpoints.values()):
            event("server.address_taken", "another server is at the address of {server}, since {ago_ms} ms",
                  server=predecessor.entry.uid, endpoint=predecessor.entry.address,
                  ago_ms=(self.now - started_ns) // MS)  # fmt: skip
            self._backend(predecessor).address_taken(predecessor, started_ns)

    def begin_shutdown(self, plan: ShutdownPlan) -> None:
        """Begin the shutdown: from now on, no request is answered later than the plan allows."""
        if self.shutdown_plan is None:
            self.shutdown_plan = plan
            self.timers.schedule(plan.answer_by_ns, self._answer_open_requests)

    def _answer_open_requests(self) -> None:
        """Send every open request its final response while there is still time for it to arrive."""
        open_requests = [request for request in self.requests if not request.established]
        for request in open_requests:
            call_id = request.params.call_id
            self.events.append(interface.CallAbandoned(call_id))
            self._send_failure(call_id, FAILED if request.attempts else REFUSED, 0)
        if open_requests:
            event("shutdown.cut_off", "{requests} open requests are answered ahead of the kill: {ids}",
                  requests=len(open_requests),
                  ids=first_ids([request.params.call_id for request in open_requests]))  # fmt: skip

    # --- Decisions --------------------------------------------------------------------------------------

    def process_events(self) -> None:
        """Pass the collected events to the decision module as one batch and execute its actions."""
        self.ended_calls.expire(self.now)
        if self.rejected:
            self._answer_rejected()
        if not self.events:
            return
        events, self.events = self.events, []
        try:
            actions = self.decision_module.step(self.now, events)
        except Exception:
            # An event that the decision module fails on must not end the process: the calls of this batch are
            # failed at their deadline, all others go on.
            logger.exception("decision module failed on a batch of {} events", len(events))
            self.internal_errors += 1
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                # A fault in one frontend or backend must not keep the remaining actions from being executed.
                logger.exception("failed to execute {}", action)
                self.internal_errors += 1

    def _answer_rejected(self) -> None:
        """Answer the requests that admission control rejected, in the iteration in which they arrived."""
        rejected, self.rejected = self.rejected, []
        for request, response in rejected:
            if self.requests.get(request.handle) is request:
                request.has_response = True
                self._remove_request(request)
                request.frontend.respond(request, response)

    def _execute(self, action: interface.Action) -> None:
        match action:
            case interface.SendSetUp(call_id, endpoint_id, timeout_ns):
                self._send_set_up(call_id, endpoint_id, timeout_ns)
            case interface.RefuseCall(call_id, retry_after_ns):
                self._send_failure(call_id, REFUSED, retry_after_ns)
            case interface.FailCall(call_id):
                # The circuits of the last attempt may stay seized for the release time; a redial before that
                # would not help.
                self._send_failure(
                    call_id, FAILED, self.settings.release_ns if self.settings.may_send_retry_after else 0
                )
            case interface.SetTimer(delay_ns, timer_id):
                self.timers.schedule(
                    self.now + delay_ns, lambda: self.events.append(interface.TimerExpired(timer_id))
                )
            case interface.CancelSetUp(call_id, attempt_number):
                request = self.find(call_id)
                attempt = request.current_attempt if request is not None and not request.established else None
                if request is not None and attempt is not None and attempt.number == attempt_number:
                    self._cancel_attempt(request, attempt, "called_off")
            case interface.WatchExchangeList():
                pass  # the list is watched from the start
            case _:
                logger.debug("unsupported action {}", action)

    def _send_set_up(self, call_id: str, endpoint_id: int, timeout_ns: int) -> None:
        request, endpoint = self.find(call_id), self.registry.get(endpoint_id)
        violation = violated_rule(self.now, self.settings, request, endpoint)
        if violation or request is None or endpoint is None:
            self.internal_errors += 1
            self.metrics.count("check.fired", violation)
            logger.error("set-up of call {} to endpoint {} not sent: {}", call_id, endpoint_id, violation)
            attempt_number = request.attempts if request is not None else 0
            if request is not None:
                request.attempts += 1
            self.events.append(
                interface.AttemptEnded(
                    call_id, endpoint_id, attempt_number, "not_sent", 0, request is None, 0, None
                )
            )
            return
        if not request.frontend.is_caller_connected(request):
            self._withhold_set_up(request, endpoint)
            return
        if self.admission is not None:
            timeout_ns = timeout_ns or self.admission.attempt_timeout_ns(request.params)
        attempt = Attempt(request.attempts, endpoint, self.now)
        request.attempts += 1
        request.current_attempt = attempt
        attempt_deadline_ns = request.params.deadline_ns
        if timeout_ns and self.now + timeout_ns < attempt_deadline_ns:
            attempt_deadline_ns = self.now + timeout_ns
            handle = request.handle
            attempt.timeout_timer = self.timers.schedule(
                attempt_deadline_ns, lambda: self._attempt_timed_out(handle, attempt)
            )
        self.metrics.count("attempt.sent" if attempt.number == 0 else "attempt.retried")
        call_event("attempt.sent", call_id, "attempt {attempt} to {server}",
                   attempt=attempt.number, server=endpoint.entry.uid)  # fmt: skip
        self._backend(endpoint).set_up(endpoint, request.params, attempt_deadline_ns - self.now)

    def _withhold_set_up(self, request: Request, endpoint: Endpoint) -> None:
        """Give up a set-up whose caller has left, instead of sending it.

        The end of a connection is read only after the input before it, which may be much.
        """
        self.metrics.count("request.caller_left")
        call_id, attempt_number = request.params.call_id, request.attempts
        self.caller_abandoned(call_id)
        self.events.append(
            interface.AttemptEnded(
                call_id, endpoint.endpoint_id, attempt_number, "not_sent", 0, True, 0, None
            )
        )

    # --- Timeouts and the end of attempts and calls -----------------------------------------------------

    def _deadline_reached(self, handle: int) -> None:
        request = self.requests.get(handle)
        if request is None or request.established:
            return
        request.deadline_timer = self.timers.schedule(
            request.params.deadline_ns + OVERDUE_GRACE_NS, lambda: self._answer_overdue(handle)
        )
        if request.current_attempt is not None:
            self._cancel_attempt(request, request.current_attempt, "no_answer")

    def _answer_overdue(self, handle: int) -> None:
        """Fail a request that the decision module has not answered by its deadline."""
        request = self.requests.get(handle)
        if request is None or request.established:
            return
        self.internal_errors += 1
        logger.error("call {} had no final response after its deadline", request.params.call_id)
        self.events.append(interface.CallAbandoned(request.params.call_id))
        self._send_failure(request.params.call_id, FAILED, 0)

    def _attempt_timed_out(self, handle: int, attempt: Attempt) -> None:
        request = self.requests.get(handle)
        if request is not None and request.current_attempt is attempt and not request.established:
            self._cancel_attempt(request, attempt, "no_answer")

    def _cancel_attempt(self, request: Request, attempt: Attempt, outcome: str) -> None:
        unsent = self._backend(attempt.endpoint).cancel_set_up(attempt.endpoint, request.params.call_id)
        self._attempt_ended(request, attempt, outcome, 0, False, unsent)

    def _send_failure(self, call_id: str, result: str, retry_after_ns: int) -> None:
        request = self.find(call_id)
        if request is None or request.established:
            return
        if request.current_attempt is not None:
            self._cancel_attempt(request, request.current_attempt, "called_off")
        if not self.repeated_calls.may_refuse(request):
            result = FAILED
        outcome, cause = request.last_outcome
        self.metrics.count(f"request.{result}", outcome)
        call_event("request.answered", call_id,
                   "{kind} after {attempts} attempts; outcome of the last one: {outcome}",
                   kind=result, attempts=request.attempts, outcome=outcome or "none")  # fmt: skip
        request.has_response = True
        self._remove_request(request)
        request.frontend.respond(request, FinalResponse(result, b"", retry_after_ns, outcome, cause))

    def _attempt_ended(
        self,
        request: Request,
        attempt: Attempt,
        outcome: str,
        cause: int,
        call_ended: bool,
        unsent: bool = False,
    ) -> None:
        """End an attempt; ``unsent``: it was withdrawn before any byte of it was written."""
        request.current_attempt = None
        if not unsent and not proves_never_ran(outcome):
            request.may_have_run = True
        request.last_outcome = (outcome, cause)
        self.metrics.count("attempt.ended", outcome)
        call_event("attempt.ended", request.params.call_id, "attempt {attempt} at {server}: {outcome}",
                   attempt=attempt.number, server=attempt.endpoint.entry.uid, outcome=outcome)  # fmt: skip
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        if outcome in RELEASE_AWAITED_OUTCOMES:
            # The pause counts from when the cancellation was written, not from the start of a long loop
            # iteration.
            self.timers.refresh_clock()
            request.next_attempt_ns = self.now + self.settings.release_ns
        if self.admission is not None:
            self.events += self.admission.attempt_ended(self.now, attempt.endpoint, outcome, cause)
        self.events.append(
            interface.AttemptEnded(
                request.params.call_id, attempt.endpoint.endpoint_id, attempt.number, outcome,
                self.now - attempt.sent_ns, call_ended, cause, None,
            )
        )  # fmt: skip

    def _call_ended(self, request: Request, attempt: Attempt, outcome: str, ended_by: str) -> None:
        """End an established call; ``ended_by`` is a counter label."""
        self.established_calls.remove(attempt.endpoint.endpoint_id, request.params.call_id)
        self.metrics.count("call.over", ended_by)
        call_event("call.over", request.params.call_id, "ended at {server} by {ended_by}",
                   server=attempt.endpoint.entry.uid, ended_by=ended_by)  # fmt: skip
        self._attempt_ended(request, attempt, outcome, 0, True)
        self._remove_request(request)

    def _cancel_timers(self, request: Request, attempt: Attempt) -> None:
        for timer in (request.deadline_timer, attempt.timeout_timer):
            if timer is not None:
                timer.cancel()

    def _remove_request(self, request: Request) -> None:
        if not request.established:
            self.unanswered -= 1
            self._set_up_finished(request)
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self.requests.remove(request.handle)
        del self.request_handles[request.params.call_id]
        self.repeated_calls.record(self.now, request)

    def _set_up_finished(self, request: Request) -> None:
        if request.is_held:
            request.is_held = False
            self.memory_budget.free(request.origin, request.held_bytes)
        if request.admitted and self.admission is not None:
            request.admitted = False
            self.admission.set_up_finished(
                self.now, request.origin, request.params, self.now - request.received_ns
            )

    def _backend(self, endpoint: Endpoint) -> Backend:
        return self.backends[endpoint.entry.backend]
