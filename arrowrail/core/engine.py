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
    FAILED,
    MS,
    Q850_CUT,
    Q850_NORMAL,
    REFUSED,
    SHUTDOWN,
    STANDS,
    AdmissionController,
    Answer,
    Attempt,
    Back,
    Ended,
    Front,
    Offer,
    Request,
)
from arrowrail.core.rules import broken_rule
from arrowrail.shutdown.plan import ShutdownPlan
from arrowrail.state.deadlines import Deadlines
from arrowrail.state.endpoints import TERMINATED, Endpoint, EndpointEntry, EndpointRegistry
from arrowrail.state.slots import SlotTable
from arrowrail.telemetry.events import call_event, event, some_ids
from arrowrail.telemetry.metrics import Metrics
from trackhatch import Controller, interface

PAUSED_AFTER = ("no_answer", "connection_lost", "called_off")
OVERDUE_NS = 10 * MS  # past the deadline: inside the slack of every known site, and time for the module
ENDED_KEPT_NS = 30_000 * MS  # how long a late message for an ended call is recognised as such
MOST_ENDED = 65_536  # of them: a flood of refused set-ups must not take the memory


class Core:
    def __init__(self, settings: interface.Settings, seed: int, deadlines: Deadlines) -> None:
        self.settings = settings
        self.module = Controller(settings, seed)
        self.deadlines = deadlines
        self.registry = EndpointRegistry()
        self.requests: SlotTable[Request] = SlotTable()
        self.by_call: dict[str, int] = {}
        self.ended: dict[str, int] = {}  # calls that are over, oldest first, until when they are remembered
        self.backs: dict[str, Back] = {}
        self.fronts: list[Front] = []
        self.events: list[interface.Event] = []
        self.listed = False
        self.admission: AdmissionController | None = None
        self.turned_away: list[tuple[Request, Answer]] = []  # by admission, to be answered this turn
        self.unanswered = 0  # requests that are still owed their final answer
        self.defects = 0  # checks that fired: each is a defect of ours to find
        self.metrics = Metrics()
        self.shutdown: ShutdownPlan | None = None  # once told to end
        self.standing: Counter[int] = Counter()  # calls that stand, by server

    @property
    def now(self) -> int:
        return self.deadlines.now

    # --- From the fronts --------------------------------------------------------------------------------

    def offer(self, front: Front, line: int, offer: Offer) -> bool:
        """Take a request; false if its id is known already: it was taken once and is answered once."""
        if offer.call in self.by_call or offer.call in self.ended:
            return False
        request = Request(offer, front, line)
        request.handle = self.requests.add(request)
        self.by_call[offer.call] = request.handle
        self.unanswered += 1
        self.metrics.count("request.taken", offer.class_name)
        call_event("request.taken", offer.call, "taken, class {kind}, answer due in {due_ms} ms",
                   kind=offer.class_name, due_ms=(offer.deadline_ns - self.now) // MS)  # fmt: skip
        handle = request.handle
        if self.shutdown is not None:
            if not self.shutdown.takes(self.now):
                self.metrics.count("request.refused", SHUTDOWN)
                self.turned_away.append((request, Answer(REFUSED, outcome=SHUTDOWN)))
                return True
            offer = request.offer = replace(offer, deadline_ns=self.shutdown.due_ns(offer.deadline_ns))
        if self.admission is not None:
            request.taken_ns = self.now
            offer, refusal = self.admission.enter(self.now, (id(front), line), offer)
            request.offer = offer
            if refusal is not None:
                self.turned_away.append((request, refusal))
                return True
            request.let_in = True
        request.timer = self.deadlines.at(offer.deadline_ns, lambda: self._deadline(handle))
        self.events.append(
            interface.CallOffered(
                offer.call, offer.route or offer.class_name, "", offer.destination, offer.key, offer.width,
                offer.deadline_ns, 0, offer.in_transit, offer.redialled, offer.came_back, offer.via,
            )
        )  # fmt: skip
        return True

    def carries(self, class_name: str) -> bool:
        """Whether calls of the class can be taken at all."""
        return (
            self.admission.carries(class_name)
            if self.admission is not None
            else class_name in self.module.call_classes
        )

    def find(self, call: str) -> Request | None:
        return self.requests.get(self.by_call.get(call, -1))

    def caller_gone(self, call: str) -> bool:
        """The caller no longer waits: the attempt is given up and no answer is owed."""
        request = self.find(call)
        if request is None or request.stands:
            return False
        self.events.append(interface.CallerGone(call))
        self.metrics.count("request.caller_gone")
        call_event("request.caller_gone", call, "its caller no longer waits")
        attempt = request.out
        if attempt is not None:
            self._back(attempt.desk).give_up(attempt.desk, call)
            self._attempt_over(request, attempt, "called_off", 0, True)
        self._forget(request)
        return True

    def caller_released(self, call: str) -> bool:
        """The caller ends a call that stands, on whichever connection; false if there is none."""
        request = self.find(call)
        if request is None or request.out is None:
            return False
        attempt = request.out
        if not request.stands:
            return self.caller_gone(call)
        self._back(attempt.desk).release(attempt.desk, call, Q850_NORMAL)
        self._call_over(request, attempt, "called_off", "caller")
        return True

    # --- From the backs ---------------------------------------------------------------------------------

    def desk_answered(self, desk: Endpoint, call: str, description: bytes) -> None:
        request = self.find(call)
        attempt = request.out if request is not None else None
        if request is None and call not in self.ended:
            return  # nobody's: it came with another call's answer
        if request is None or attempt is None or attempt.desk is not desk:
            # A crossed answer: its call was cancelled, timed out or went elsewhere, and must not stand here.
            self.metrics.count("answer.crossed")
            call_event("answer.crossed", call, "an answer of {server} that came too late is released",
                       server=desk.told.uid)  # fmt: skip
            self._back(desk).release(desk, call, Q850_NORMAL)
            return
        if request.stands:
            return  # told twice
        request.stands = True
        attempt.answered_ns = self.now
        self.standing[desk.office] += 1
        self.unanswered -= 1
        self._settled(request)
        if self.admission is not None:
            self.events += self.admission.attempt_over(self.now, desk, "served", 0)
        self._cancel(request, attempt)
        self.metrics.count("request.stands")
        call_event("request.stands", call, "stands at {server} after attempt {attempt}",
                   server=desk.told.uid, attempt=attempt.number)  # fmt: skip
        self.events.append(
            interface.CallEstablished(call, desk.office, attempt.number, self.now - attempt.sent_ns)
        )
        request.front.answer(request, Answer(STANDS, description))

    def desk_released(self, desk: Endpoint, call: str, ended: Ended, cause: int) -> None:
        """The desk exchange refuses the set-up, or ends a call that stood."""
        request = self.find(call)
        if request is None:
            if call not in self.ended:
                # From before our restart: the caller still holds the call and has to hear of its end.
                self.metrics.count("release.unknown_call")
                call_event("release.unknown_call", call, "over at {server}, not known here; told to callers",
                           server=desk.told.uid)  # fmt: skip
                self.ended[call] = self.now + ENDED_KEPT_NS
                for front in self.fronts:
                    front.release_unknown(call, cause)
            return
        attempt = request.out
        if attempt is None or attempt.desk is not desk:
            return  # late news of an attempt that was given up
        if request.stands:
            request.front.release(request, cause)
            self._call_over(request, attempt, ended.stood, "server")
        else:
            self._attempt_over(request, attempt, ended.outcome, ended.cause, False)

    def attempt_failed(self, desk: Endpoint, call: str, outcome: str, cause: int = 0) -> None:
        """The back lost the attempt: never sent, or its connection broke before the answer."""
        request = self.find(call)
        attempt = request.out if request is not None and not request.stands else None
        if request is not None and attempt is not None and attempt.desk is desk:
            self._attempt_over(request, attempt, outcome, cause, False)

    def server_lost(self, desk: Endpoint, reason: str, before_ns: int = 0) -> None:
        """The server is not there any more: what stood is over, what was out is lost.

        With ``before_ns``, only what was answered before that time, or sent where it is not answered: a
        set-up may wait for a connection, and is answered by whoever is there when it comes up.  The server is
        told as well, for where it is only out of reach it must not hold on to what is over here.
        """
        cut: list[str] = []
        for request in self.requests:
            attempt = request.out
            if attempt is None or attempt.desk is not desk:
                continue
            if 0 < before_ns <= (attempt.answered_ns or attempt.sent_ns):
                continue
            if request.stands:
                cut.append(request.offer.call)
                self._back(desk).release(desk, request.offer.call, Q850_CUT)
                request.front.release(request, Q850_CUT)
                self._call_over(request, attempt, "connection_lost", reason)
            else:
                self._give_up(request, attempt, "connection_lost")
        if not cut:
            return
        self.metrics.count("server.lost", reason)
        event("server.lost", "{server} is lost ({reason}); {calls} calls that stood there are over: {ids}",
              level="WARNING", server=desk.told.uid, reason=reason, calls=len(cut),
              ids=some_ids(cut))  # fmt: skip

    def release_all(self, front: Front, cause: int) -> int:
        """Calls that stand for a front whose callers have gone for good: released toward the exchanges."""
        released = 0
        for request in self.requests:
            attempt = request.out
            if request.front is front and request.stands and attempt is not None:
                self._back(attempt.desk).release(attempt.desk, request.offer.call, cause)
                self._call_over(request, attempt, "called_off", "orphaned")
                released += 1
        return released

    def is_out_at(self, call: str, desk: Endpoint) -> bool:
        """Whether an attempt of the call is out, or stands, at that server."""
        request = self.find(call)
        return request is not None and request.out is not None and request.out.desk is desk

    def set_up_at(self, call: str) -> int:
        """When the attempt of a call that is out, or stands, was sent; 0 where there is none."""
        request = self.find(call)
        return request.out.sent_ns if request is not None and request.out is not None else 0

    def group_state(self, desk: Endpoint, free: float, size: float) -> None:
        self.events.append(
            interface.TrunkGroupReport(desk.office, "served", 0, interface.LoadReport(free, size, ()))
        )

    def list_news(self, source: str, whole: bool, lines: Iterable[EndpointEntry]) -> None:
        """News of the exchange list, whichever source tells it."""
        if self.admission is not None:
            source, whole, lines = self.admission.listed(source, whole, lines)
        usable = [told for told in lines if told.back in self.backs]
        changed = self.registry.apply(self.now, source, whole, usable)
        if not changed:
            return
        for desk in changed:
            self.metrics.count("server.listed", desk.told.state)
            event("server.listed", "{source} says that {server} at {endpoint} is {state}", source=source,
                  server=desk.told.uid, endpoint=desk.told.endpoint, state=desk.told.state)  # fmt: skip
        entries = tuple(
            interface.ListEntry(d.office, d.told.zone, d.told.exchange, d.told.state, d.told.since_ns)
            for d in changed
        )
        self.events.append(interface.ExchangeListUpdate("update" if self.listed else "restored", entries))
        self.listed = True
        if self.admission is not None:
            self.events += self.admission.told(changed)
        for desk in changed:
            if desk.told.exchange == self.settings.own_exchange:
                continue  # nothing is ever sent to the own exchange
            if desk.told.state == TERMINATED:
                # While its connections are there: what listens at its address may be its successor, and hold
                # calls that were sent before anybody said so.
                self.server_lost(desk, "removed")
            self._back(desk).changed(desk)
            if desk.told.state != TERMINATED and 0 < desk.told.since_ns <= self.now:
                # Guards against calls left standing for good on a process that was started anew under the
                # same uid: it knows nothing of what was sent to the one before it.
                self.server_lost(desk, "started_anew", desk.told.since_ns)

    def shut_down(self, plan: ShutdownPlan) -> None:
        """Told to end: from now on no request is owed an answer later than the plan says."""
        if self.shutdown is None:
            self.shutdown = plan
            self.deadlines.at(plan.answer_by_ns, self._cut_off)

    def _cut_off(self) -> None:
        """Everything that is open gets its final answer, while there is time for it to arrive."""
        open_ = [request for request in self.requests if not request.stands]
        for request in open_:
            call = request.offer.call
            self.events.append(interface.CallerGone(call))
            self._answer(call, FAILED if request.attempts else REFUSED, 0)
        if open_:
            event("shutdown.cut_off", "{requests} requests are answered before the kill: {ids}",
                  requests=len(open_), ids=some_ids([r.offer.call for r in open_]))  # fmt: skip

    # --- The turn ---------------------------------------------------------------------------------------

    def turn(self) -> None:
        """Hand what this turn brought to the module, as one batch, and carry its actions out."""
        while self.ended and next(iter(self.ended.values())) < self.now:
            del self.ended[next(iter(self.ended))]
        if self.turned_away:
            self._turn_away()
        if not self.events:
            return
        events, self.events = self.events, []
        try:
            actions = self.module.step(self.now, events)
        except Exception:
            # Guards against one event that the module can't digest ending the process: the calls of this
            # batch then get their answer at the deadline, and all others go on.
            logger.exception("the decision module failed on a batch of {} events", len(events))
            self.defects += 1
            return
        for action in actions:
            try:
                self._carry_out(action)
            except Exception:
                # Guards the actions behind it: a fault in one front or back must not cost other calls theirs.
                logger.exception("could not carry out {}", action)
                self.defects += 1

    def _turn_away(self) -> None:
        """What the admission controller did not let in gets its one answer in the turn in which it came."""
        refused, self.turned_away = self.turned_away, []
        for request, answer in refused:
            if self.requests.get(request.handle) is request:
                self._forget(request)
                request.front.answer(request, answer)

    def _carry_out(self, action: interface.Action) -> None:
        match action:
            case interface.SendSetUp(call, office, time_out):
                self._set_up(call, office, time_out)
            case interface.RefuseCall(call, stay_away):
                self._answer(call, REFUSED, stay_away)
            case interface.FailCall(call):
                # What the attempt held may stay taken for the release pause: no sooner is another try of use.
                self._answer(
                    call, FAILED, self.settings.release_ns if self.settings.may_send_retry_after else 0
                )
            case interface.SetTimer(in_ns, mark):
                self.deadlines.at(self.now + in_ns, lambda: self.events.append(interface.TimerExpired(mark)))
            case interface.CancelSetUp(call, number):
                request = self.find(call)
                attempt = request.out if request is not None and not request.stands else None
                if request is not None and attempt is not None and attempt.number == number:
                    self._give_up(request, attempt, "called_off")
            case interface.WatchExchangeList():
                pass  # the list is followed from the start
            case _:
                logger.debug("no use for {}", action)

    def _set_up(self, call: str, office: int, time_out: int) -> None:
        request, desk = self.find(call), self.registry.get(office)
        why = broken_rule(self.now, self.settings, request, desk)
        if why or request is None or desk is None:
            self.defects += 1
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
            time_out = time_out or self.admission.time_out_ns(request.offer)
        attempt = Attempt(request.attempts, desk, self.now)
        request.attempts += 1
        request.out = attempt
        until = request.offer.deadline_ns
        if time_out and self.now + time_out < until:
            until = self.now + time_out
            handle = request.handle
            attempt.timer = self.deadlines.at(until, lambda: self._timed_out(handle, attempt))
        self.metrics.count("attempt.sent" if attempt.number == 0 else "attempt.retried")
        call_event("attempt.sent", call, "attempt {attempt} to {server}",
                   attempt=attempt.number, server=desk.told.uid)  # fmt: skip
        self._back(desk).set_up(desk, request.offer, until - self.now)

    # --- Ends -------------------------------------------------------------------------------------------

    def _deadline(self, handle: int) -> None:
        request = self.requests.get(handle)
        if request is None or request.stands:
            return
        request.timer = self.deadlines.at(
            request.offer.deadline_ns + OVERDUE_NS, lambda: self._overdue(handle)
        )
        if request.out is not None:
            self._give_up(request, request.out, "no_answer")

    def _overdue(self, handle: int) -> None:
        """Guards rule 1 whatever the module does: no request outlives its deadline without an answer."""
        request = self.requests.get(handle)
        if request is None or request.stands:
            return
        self.defects += 1
        logger.error("call {} was still unanswered past its deadline", request.offer.call)
        self.events.append(interface.CallerGone(request.offer.call))
        self._answer(request.offer.call, FAILED, 0)

    def _timed_out(self, handle: int, attempt: Attempt) -> None:
        request = self.requests.get(handle)
        if request is not None and request.out is attempt and not request.stands:
            self._give_up(request, attempt, "no_answer")

    def _give_up(self, request: Request, attempt: Attempt, outcome: str) -> None:
        self._back(attempt.desk).give_up(attempt.desk, request.offer.call)
        self._attempt_over(request, attempt, outcome, 0, False)

    def _answer(self, call: str, kind: str, stay_away: int) -> None:
        request = self.find(call)
        if request is None or request.stands:
            return
        if request.out is not None:
            self._give_up(request, request.out, "called_off")
        outcome, cause = request.last
        self.metrics.count(f"request.{kind}", outcome)
        call_event("request.answered", call, "{kind} after {attempts} attempts, the last one: {outcome}",
                   kind=kind, attempts=request.attempts, outcome=outcome or "none")  # fmt: skip
        self._forget(request)
        request.front.answer(request, Answer(kind, b"", stay_away, outcome, cause))

    def _attempt_over(
        self, request: Request, attempt: Attempt, outcome: str, cause: int, call_over: bool
    ) -> None:
        request.out = None
        request.last = (outcome, cause)
        self.metrics.count("attempt.ended", outcome)
        call_event("attempt.ended", request.offer.call, "attempt {attempt} at {server}: {outcome}",
                   attempt=attempt.number, server=attempt.desk.told.uid, outcome=outcome)  # fmt: skip
        if attempt.timer is not None:
            attempt.timer.cancel()
        if outcome in PAUSED_AFTER:
            # Guards the pause in a long turn: it counts from when the end was written, not from the turn's
            # start.
            self.deadlines.refresh()
            request.not_before = self.now + self.settings.release_ns
        if self.admission is not None:
            self.events += self.admission.attempt_over(self.now, attempt.desk, outcome, cause)
        self.events.append(
            interface.AttemptEnded(
                request.offer.call, attempt.desk.office, attempt.number, outcome,
                self.now - attempt.sent_ns, call_over, cause, None,
            )
        )  # fmt: skip

    def _call_over(self, request: Request, attempt: Attempt, outcome: str, ended_by: str) -> None:
        """A call that stood is over; ``ended_by`` says who ended it, for the counters."""
        self.standing[attempt.desk.office] -= 1
        if not self.standing[attempt.desk.office]:
            del self.standing[attempt.desk.office]
        self.metrics.count("call.over", ended_by)
        call_event("call.over", request.offer.call, "over at {server}, ended by {ended_by}",
                   server=attempt.desk.told.uid, ended_by=ended_by)  # fmt: skip
        self._attempt_over(request, attempt, outcome, 0, True)
        self._forget(request)

    def _cancel(self, request: Request, attempt: Attempt) -> None:
        for timer in (request.timer, attempt.timer):
            if timer is not None:
                timer.cancel()

    def _forget(self, request: Request) -> None:
        if not request.stands:
            self.unanswered -= 1
            self._settled(request)
        if request.timer is not None:
            request.timer.cancel()
        self.requests.remove(request.handle)
        del self.by_call[request.offer.call]
        self.ended[request.offer.call] = self.now + ENDED_KEPT_NS
        if len(self.ended) > MOST_ENDED:
            del self.ended[next(iter(self.ended))]

    def _settled(self, request: Request) -> None:
        if request.let_in and self.admission is not None:
            request.let_in = False
            line = (id(request.front), request.line)
            self.admission.settled(self.now, line, request.offer, self.now - request.taken_ns)

    def _back(self, desk: Endpoint) -> Back:
        return self.backs[desk.told.back]
