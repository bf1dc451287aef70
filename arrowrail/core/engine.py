"""Requests, attempts and outcomes: all that lies between any front, the decision module and any back.

Knows no wire.  Fronts offer requests and are handed final answers; backs are handed attempts and
report what became of them.  What a turn of the loop brought goes to ``Controller.step`` as one batch, and the
actions that come back are carried out after a last check of the rules.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

from loguru import logger

from arrowrail.core.requests import (
    ESTABLISHED,
    FAILED,
    MS,
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
)
from arrowrail.core.rules import violated_rule
from arrowrail.shutdown.plan import ShutdownPlan
from arrowrail.state.endpoints import TERMINATED, Endpoint, EndpointEntry, EndpointRegistry
from arrowrail.state.slots import SlotTable
from arrowrail.state.timers import TimerQueue
from arrowrail.telemetry.events import call_event, event, first_ids
from arrowrail.telemetry.metrics import Metrics
from trackhatch import Controller, interface

RELEASE_AWAITED_OUTCOMES = ("no_answer", "connection_lost", "called_off")
OVERDUE_GRACE_NS = 10 * MS  # past the deadline: inside the slack of every known site, and time for the module
ENDED_CALL_RETENTION_NS = 30_000 * MS  # how long a late message for an ended call is recognised as such
MAX_ENDED_CALLS = 65_536  # of them: a flood of refused set-ups must not take the memory


class Core:
    def __init__(self, settings: interface.Settings, seed: int, deadlines: TimerQueue) -> None:
        self.settings = settings
        self.decision_module = Controller(settings, seed)
        self.timers = deadlines
        self.registry = EndpointRegistry()
        self.requests: SlotTable[Request] = SlotTable()
        self.request_handles: dict[str, int] = {}
        self.ended_calls: dict[
            str, int
        ] = {}  # calls that are over, oldest first, until when they are remembered
        self.backends: dict[str, Backend] = {}
        self.frontends: list[Frontend] = []
        self.events: list[interface.Event] = []
        self.list_received = False
        self.admission: AdmissionController | None = None
        self.rejected: list[tuple[Request, FinalResponse]] = []  # by admission, to be answered this turn
        self.unanswered = 0  # requests that are still owed their final answer
        self.internal_errors = 0  # checks that fired: each is a defect of ours to find
        self.metrics = Metrics()
        self.shutdown_plan: ShutdownPlan | None = None  # once told to end
        self.established_calls: Counter[int] = Counter()  # calls that stand, by server

    @property
    def now(self) -> int:
        return self.timers.now

    # --- From the fronts --------------------------------------------------------------------------------

    def submit(self, front: Frontend, line: int, offer: SetUpParams) -> bool:
        """Take a request; false if its id is known already: it was taken once and is answered once."""
        if offer.call_id in self.request_handles or offer.call_id in self.ended_calls:
            return False
        request = Request(offer, front, line)
        request.handle = self.requests.add(request)
        self.request_handles[offer.call_id] = request.handle
        self.unanswered += 1
        self.metrics.count("request.taken", offer.class_name)
        call_event("request.taken", offer.call_id, "taken, class {kind}, answer due in {due_ms} ms",
                   kind=offer.class_name, due_ms=(offer.deadline_ns - self.now) // MS)  # fmt: skip
        handle = request.handle
        if self.shutdown_plan is not None:
            if not self.shutdown_plan.accepts_requests(self.now):
                self.metrics.count("request.refused", SHUTDOWN)
                self.rejected.append((request, FinalResponse(REFUSED, outcome=SHUTDOWN)))
                return True
            offer = request.params = replace(
                offer, deadline_ns=self.shutdown_plan.answer_deadline_ns(offer.deadline_ns)
            )
        if self.admission is not None:
            request.received_ns = self.now
            offer, refusal = self.admission.admit(self.now, (id(front), line), offer)
            request.params = offer
            if refusal is not None:
                self.rejected.append((request, refusal))
                return True
            request.admitted = True
        request.deadline_timer = self.timers.schedule(
            offer.deadline_ns, lambda: self._deadline_reached(handle)
        )
        self.events.append(
            interface.CallOffered(
                offer.call_id, offer.route or offer.class_name, "", offer.destination, offer.number_key,
                offer.width, offer.deadline_ns, 0, offer.in_transit, offer.redialled, offer.replaces_cut_call,
                offer.via_exchange,
            )
        )  # fmt: skip
        return True

    def supports_class(self, class_name: str) -> bool:
        """Whether calls of the class can be taken at all."""
        return (
            self.admission.supports_class(class_name)
            if self.admission is not None
            else class_name in self.decision_module.call_classes
        )

    def find(self, call: str) -> Request | None:
        return self.requests.get(self.request_handles.get(call, -1))

    def caller_abandoned(self, call: str) -> bool:
        """The caller no longer waits: the attempt is given up and no answer is owed."""
        request = self.find(call)
        if request is None or request.established:
            return False
        self.events.append(interface.CallAbandoned(call))
        self.metrics.count("request.caller_gone")
        call_event("request.caller_gone", call, "its caller no longer waits")
        attempt = request.current_attempt
        if attempt is not None:
            self._backend(attempt.endpoint).cancel_set_up(attempt.endpoint, call)
            self._attempt_ended(request, attempt, "called_off", 0, True)
        self._remove_request(request)
        return True

    def caller_released(self, call: str) -> bool:
        """The caller ends a call that stands, on whichever connection; false if there is none."""
        request = self.find(call)
        if request is None or request.current_attempt is None:
            return False
        attempt = request.current_attempt
        if not request.established:
            return self.caller_abandoned(call)
        self._backend(attempt.endpoint).release(attempt.endpoint, call, Q850_NORMAL_CLEARING)
        self._call_ended(request, attempt, "called_off", "caller")
        return True

    # --- From the backs ---------------------------------------------------------------------------------

    def endpoint_answered(self, desk: Endpoint, call: str, description: bytes) -> None:
        request = self.find(call)
        attempt = request.current_attempt if request is not None else None
        if request is None and call not in self.ended_calls:
            return  # nobody's: it came with another call's answer
        if request is None or attempt is None or attempt.endpoint is not desk:
            # A crossed answer: its call was cancelled, timed out or went elsewhere, and must not stand here.
            self.metrics.count("answer.crossed")
            call_event("answer.crossed", call, "an answer of {server} that came too late is released",
                       server=desk.entry.uid)  # fmt: skip
            self._backend(desk).release(desk, call, Q850_NORMAL_CLEARING)
            return
        if request.established:
            return  # told twice
        request.established = True
        attempt.answered_ns = self.now
        self.established_calls[desk.endpoint_id] += 1
        self.unanswered -= 1
        self._set_up_finished(request)
        if self.admission is not None:
            self.events += self.admission.attempt_ended(self.now, desk, "served", 0)
        self._cancel_timers(request, attempt)
        self.metrics.count("request.stands")
        call_event("request.stands", call, "stands at {server} after attempt {attempt}",
                   server=desk.entry.uid, attempt=attempt.number)  # fmt: skip
        self.events.append(
            interface.CallEstablished(call, desk.endpoint_id, attempt.number, self.now - attempt.sent_ns)
        )
        request.frontend.respond(request, FinalResponse(ESTABLISHED, description))

    def endpoint_released(self, desk: Endpoint, call: str, ended: ReleaseOutcome, cause: int) -> None:
        """The desk exchange refuses the set-up, or ends a call that stood."""
        request = self.find(call)
        if request is None:
            if call not in self.ended_calls:
                # From before our restart: the caller still holds the call and has to hear of its end.
                self.metrics.count("release.unknown_call")
                call_event("release.unknown_call", call, "over at {server}, not known here; told to callers",
                           server=desk.entry.uid)  # fmt: skip
                self.ended_calls[call] = self.now + ENDED_CALL_RETENTION_NS
                for front in self.frontends:
                    front.release_unknown(call, cause)
            return
        attempt = request.current_attempt
        if attempt is None or attempt.endpoint is not desk:
            return  # late news of an attempt that was given up
        if request.established:
            request.frontend.release(request, cause)
            self._call_ended(request, attempt, ended.after_answer, "server")
        else:
            self._attempt_ended(request, attempt, ended.before_answer, ended.cause, False)

    def attempt_failed(self, desk: Endpoint, call: str, outcome: str, cause: int = 0) -> None:
        """The back lost the attempt: never sent, or its connection broke before the answer."""
        request = self.find(call)
        attempt = request.current_attempt if request is not None and not request.established else None
        if request is not None and attempt is not None and attempt.endpoint is desk:
            self._attempt_ended(request, attempt, outcome, cause, False)

    def endpoint_lost(self, desk: Endpoint, reason: str, before_ns: int = 0) -> None:
        """The server is not there any more: what stood is over, what was out is lost.

        With ``before_ns``, only what was answered before that time, or sent where it is not answered: a
        set-up may wait for a connection, and is answered by whoever is there when it comes up.  The server is
        told as well, for where it is only out of reach it must not hold on to what is over here.
        """
        cut: list[str] = []
        for request in self.requests:
            attempt = request.current_attempt
            if attempt is None or attempt.endpoint is not desk:
                continue
            if 0 < before_ns <= (attempt.answered_ns or attempt.sent_ns):
                continue
            if request.established:
                cut.append(request.params.call_id)
                self._backend(desk).release(desk, request.params.call_id, Q850_TEMPORARY_FAILURE)
                request.frontend.release(request, Q850_TEMPORARY_FAILURE)
                self._call_ended(request, attempt, "connection_lost", reason)
            else:
                self._cancel_attempt(request, attempt, "connection_lost")
        if not cut:
            return
        self.metrics.count("server.lost", reason)
        event("server.lost", "{server} is lost ({reason}); {calls} calls that stood there are over: {ids}",
              level="WARNING", server=desk.entry.uid, reason=reason, calls=len(cut),
              ids=first_ids(cut))  # fmt: skip

    def release_all(self, front: Frontend, cause: int) -> int:
        """Calls that stand for a front whose callers have gone for good: released toward the exchanges."""
        released = 0
        for request in self.requests:
            attempt = request.current_attempt
            if request.frontend is front and request.established and attempt is not None:
                self._backend(attempt.endpoint).release(attempt.endpoint, request.params.call_id, cause)
                self._call_ended(request, attempt, "called_off", "orphaned")
                released += 1
        return released

    def has_attempt_at(self, call: str, desk: Endpoint) -> bool:
        """Whether an attempt of the call is out, or stands, at that server."""
        request = self.find(call)
        return (
            request is not None
            and request.current_attempt is not None
            and request.current_attempt.endpoint is desk
        )

    def attempt_sent_ns(self, call: str) -> int:
        """When the attempt of a call that is out, or stands, was sent; 0 where there is none."""
        request = self.find(call)
        return (
            request.current_attempt.sent_ns
            if request is not None and request.current_attempt is not None
            else 0
        )

    def trunk_group_changed(self, desk: Endpoint, free: float, size: float) -> None:
        self.events.append(
            interface.TrunkGroupReport(desk.endpoint_id, "served", 0, interface.LoadReport(free, size, ()))
        )

    def update_endpoints(self, source: str, whole: bool, lines: Iterable[EndpointEntry]) -> None:
        """News of the exchange list, whichever source tells it."""
        if self.admission is not None:
            source, whole, lines = self.admission.filter_entries(source, whole, lines)
        usable = [told for told in lines if told.backend in self.backends]
        changed = self.registry.apply(self.now, source, whole, usable)
        if not changed:
            return
        for desk in changed:
            self.metrics.count("server.listed", desk.entry.state)
            event("server.listed", "{source} says that {server} at {endpoint} is {state}", source=source,
                  server=desk.entry.uid, endpoint=desk.entry.address, state=desk.entry.state)  # fmt: skip
        entries = tuple(
            interface.ListEntry(
                d.endpoint_id, d.entry.zone, d.entry.exchange, d.entry.state, d.entry.started_ns
            )
            for d in changed
        )
        self.events.append(
            interface.ExchangeListUpdate("update" if self.list_received else "restored", entries)
        )
        self.list_received = True
        if self.admission is not None:
            self.events += self.admission.endpoints_changed(changed)
        for desk in changed:
            if desk.entry.exchange == self.settings.own_exchange:
                continue  # nothing is ever sent to the own exchange
            if desk.entry.state == TERMINATED:
                # While its connections are there: what listens at its address may be its successor, and hold
                # calls that were sent before anybody said so.
                self.endpoint_lost(desk, "removed")
            self._backend(desk).endpoint_changed(desk)
            if desk.entry.state != TERMINATED and 0 < desk.entry.started_ns <= self.now:
                # Guards against calls left standing for good on a process that was started anew under the
                # same uid: it knows nothing of what was sent to the one before it.
                self.endpoint_lost(desk, "started_anew", desk.entry.started_ns)

    def begin_shutdown(self, plan: ShutdownPlan) -> None:
        """Told to end: from now on no request is owed an answer later than the plan says."""
        if self.shutdown_plan is None:
            self.shutdown_plan = plan
            self.timers.schedule(plan.answer_by_ns, self._answer_open_requests)

    def _answer_open_requests(self) -> None:
        """Everything that is open gets its final answer, while there is time for it to arrive."""
        open_ = [request for request in self.requests if not request.established]
        for request in open_:
            call = request.params.call_id
            self.events.append(interface.CallAbandoned(call))
            self._fail_request(call, FAILED if request.attempts else REFUSED, 0)
        if open_:
            event("shutdown.cut_off", "{requests} requests are answered before the kill: {ids}",
                  requests=len(open_), ids=first_ids([r.params.call_id for r in open_]))  # fmt: skip

    # --- The turn ---------------------------------------------------------------------------------------

    def process_events(self) -> None:
        """Hand what this turn brought to the module, as one batch, and carry its actions out."""
        while self.ended_calls and next(iter(self.ended_calls.values())) < self.now:
            del self.ended_calls[next(iter(self.ended_calls))]
        if self.rejected:
            self._answer_rejected()
        if not self.events:
            return
        events, self.events = self.events, []
        try:
            actions = self.decision_module.step(self.now, events)
        except Exception:
            # Guards against one event that the module can't digest ending the process: the calls of this
            # batch then get their answer at the deadline, and all others go on.
            logger.exception("the decision module failed on a batch of {} events", len(events))
            self.internal_errors += 1
            return
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                # Guards the actions behind it: a fault in one front or back must not cost other calls theirs.
                logger.exception("could not carry out {}", action)
                self.internal_errors += 1

    def _answer_rejected(self) -> None:
        """What the admission controller did not let in gets its one answer in the turn in which it came."""
        refused, self.rejected = self.rejected, []
        for request, answer in refused:
            if self.requests.get(request.handle) is request:
                self._remove_request(request)
                request.frontend.respond(request, answer)

    def _execute(self, action: interface.Action) -> None:
        match action:
            case interface.SendSetUp(call, office, time_out):
                self._send_set_up(call, office, time_out)
            case interface.RefuseCall(call, stay_away):
                self._fail_request(call, REFUSED, stay_away)
            case interface.FailCall(call):
                # What the attempt held may stay taken for the release pause: no sooner is another try of use.
                self._fail_request(
                    call, FAILED, self.settings.release_ns if self.settings.may_send_retry_after else 0
                )
            case interface.SetTimer(in_ns, mark):
                self.timers.schedule(
                    self.now + in_ns, lambda: self.events.append(interface.TimerExpired(mark))
                )
            case interface.CancelSetUp(call, number):
                request = self.find(call)
                attempt = request.current_attempt if request is not None and not request.established else None
                if request is not None and attempt is not None and attempt.number == number:
                    self._cancel_attempt(request, attempt, "called_off")
            case interface.WatchExchangeList():
                pass  # the list is followed from the start
            case _:
                logger.debug("no use for {}", action)

    def _send_set_up(self, call: str, office: int, time_out: int) -> None:
        request, desk = self.find(call), self.registry.get(office)
        why = violated_rule(self.now, self.settings, request, desk)
        if why or request is None or desk is None:
            self.internal_errors += 1
            self.metrics.count("check.fired", why)
            logger.error("set-up of call {} to office {} kept back: {}", call, office, why)
            number = request.attempts if request is not None else 0
            if request is not None:
                request.attempts += 1
            self.events.append(
                interface.AttemptEnded(call, office, number, "not_sent", 0, request is None, 0, None)
            )
            return
        if self.admission is not None:
            time_out = time_out or self.admission.attempt_timeout_ns(request.params)
        attempt = Attempt(request.attempts, desk, self.now)
        request.attempts += 1
        request.current_attempt = attempt
        until = request.params.deadline_ns
        if time_out and self.now + time_out < until:
            until = self.now + time_out
            handle = request.handle
            attempt.timeout_timer = self.timers.schedule(
                until, lambda: self._attempt_timed_out(handle, attempt)
            )
        self.metrics.count("attempt.sent" if attempt.number == 0 else "attempt.retried")
        call_event("attempt.sent", call, "attempt {attempt} to {server}",
                   attempt=attempt.number, server=desk.entry.uid)  # fmt: skip
        self._backend(desk).set_up(desk, request.params, until - self.now)

    # --- Ends -------------------------------------------------------------------------------------------

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
        """Guards rule 1 whatever the module does: no request outlives its deadline without an answer."""
        request = self.requests.get(handle)
        if request is None or request.established:
            return
        self.internal_errors += 1
        logger.error("call {} was still unanswered past its deadline", request.params.call_id)
        self.events.append(interface.CallAbandoned(request.params.call_id))
        self._fail_request(request.params.call_id, FAILED, 0)

    def _attempt_timed_out(self, handle: int, attempt: Attempt) -> None:
        request = self.requests.get(handle)
        if request is not None and request.current_attempt is attempt and not request.established:
            self._cancel_attempt(request, attempt, "no_answer")

    def _cancel_attempt(self, request: Request, attempt: Attempt, outcome: str) -> None:
        self._backend(attempt.endpoint).cancel_set_up(attempt.endpoint, request.params.call_id)
        self._attempt_ended(request, attempt, outcome, 0, False)

    def _fail_request(self, call: str, kind: str, stay_away: int) -> None:
        request = self.find(call)
        if request is None or request.established:
            return
        if request.current_attempt is not None:
            self._cancel_attempt(request, request.current_attempt, "called_off")
        outcome, cause = request.last_outcome
        self.metrics.count(f"request.{kind}", outcome)
        call_event("request.answered", call, "{kind} after {attempts} attempts, the last one: {outcome}",
                   kind=kind, attempts=request.attempts, outcome=outcome or "none")  # fmt: skip
        self._remove_request(request)
        request.frontend.respond(request, FinalResponse(kind, b"", stay_away, outcome, cause))

    def _attempt_ended(
        self, request: Request, attempt: Attempt, outcome: str, cause: int, call_over: bool
    ) -> None:
        request.current_attempt = None
        request.last_outcome = (outcome, cause)
        self.metrics.count("attempt.ended", outcome)
        call_event("attempt.ended", request.params.call_id, "attempt {attempt} at {server}: {outcome}",
                   attempt=attempt.number, server=attempt.endpoint.entry.uid, outcome=outcome)  # fmt: skip
        if attempt.timeout_timer is not None:
            attempt.timeout_timer.cancel()
        if outcome in RELEASE_AWAITED_OUTCOMES:
            # Guards the pause in a long turn: it counts from when the end was written, not from the turn's
            # start.
            self.timers.refresh_clock()
            request.next_attempt_ns = self.now + self.settings.release_ns
        if self.admission is not None:
            self.events += self.admission.attempt_ended(self.now, attempt.endpoint, outcome, cause)
        self.events.append(
            interface.AttemptEnded(
                request.params.call_id, attempt.endpoint.endpoint_id, attempt.number, outcome,
                self.now - attempt.sent_ns, call_over, cause, None,
            )
        )  # fmt: skip

    def _call_ended(self, request: Request, attempt: Attempt, outcome: str, ended_by: str) -> None:
        """A call that stood is over; ``ended_by`` says who ended it, for the counters."""
        self.established_calls[attempt.endpoint.endpoint_id] -= 1
        if not self.established_calls[attempt.endpoint.endpoint_id]:
            del self.established_calls[attempt.endpoint.endpoint_id]
        self.metrics.count("call.over", ended_by)
        call_event("call.over", request.params.call_id, "over at {server}, ended by {ended_by}",
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
        self.ended_calls[request.params.call_id] = self.now + ENDED_CALL_RETENTION_NS
        if len(self.ended_calls) > MAX_ENDED_CALLS:
            del self.ended_calls[next(iter(self.ended_calls))]

    def _set_up_finished(self, request: Request) -> None:
        if request.admitted and self.admission is not None:
            request.admitted = False
            line = (id(request.frontend), request.connection_id)
            self.admission.set_up_finished(self.now, line, request.params, self.now - request.received_ns)

    def _backend(self, desk: Endpoint) -> Backend:
        return self.backends[desk.entry.backend]
