"""Decision module of the call controller: which route a call takes, and whether it is admitted.

Settings, events and actions are defined in ``trackhatch/interface.py``.  This module does no I/O and reads no
clock: ``Controller.step(now, events)`` returns the actions to carry out, in order.

Routes are scored as in Milito, Levy, Arian (ITC-13, 1991): worth x (1 - failure probability) - cost.  The
route with the highest score is taken; the call is refused when no score is above zero.  Everything else in
this module estimates the probability and the cost, or enforces the rules that hold whatever the score: every
call gets its final response in time, endpoints that drain get no new calls, repeated attempts stay within
what the call class allows, endpoints in slow start are not overloaded, and the release time is waited for.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from trackhatch import interface

# --- Constants --------------------------------------------------------------------------------------------

SECOND_NS = 1_000_000_000

# Time constant (s) of averages over outcomes.
OUTCOME_DECAY_S = 10.0
# Time constant (s) of traffic averages: a few holding times, so that a burst does not move them.
TRAFFIC_DECAY_S = 30.0
# Weight of the prior, in outcomes: a route without outcomes counts as good, one failure as even odds.
PRIOR_WEIGHT = 1.0
# Exponent of the probability that a set-up misses its target time, as a function of the expected set-up time:
# 1/65 at a quarter of the target, 1/2 at the target.
LATENESS_EXPONENT = 3.0
# Seconds of queueing time assumed to drain per second without news of an endpoint: between a queue that gets
# no new calls (1) and one that is kept full (0).
QUEUE_DRAIN_RATE = 0.5
# Relative growth of the expected set-up time for each of the controller's own unanswered set-ups.
WAIT_GROWTH_PER_PENDING = 0.25
# Small fixed cost of a tandem leg, in mean worths.
TANDEM_PENALTY = 0.1
# A two-leg route is charged for the circuits of the leg that is not visible as for those of the visible one.
TWO_LEG_CIRCUIT_FACTOR = 2.0
# How long the oldest set-up may go unanswered, in longest target times, before it counts as queued rather
# than lost.
LONE_PENDING_LIMIT = 0.5
# Probability below which the unanswered set-ups are no longer assumed to be all lost.
ALL_LOST_PROBABILITY = 0.05
# Above this share of lost answers, trial set-ups are sent, at this interval in longest target times.
FREQUENT_LOSS_SHARE, TRIAL_INTERVAL = 0.02, 0.1
# Share of lost and late answers above which an unanswered set-up is more likely lost than a sign of a queue
# that has just formed.
LOSS_SHARE_THRESHOLD = 0.002
# Timer that cancels an overtaken set-up: prefix of its id, and its delay as a share of the target time.  The
# rest of the target time is left for another attempt.
CANCEL_TIMER_PREFIX, CANCEL_DELAY = "lost?", 0.2
# A set-up without an answer for this many longest target times counts as failed: one that takes longer earns
# little.
SILENCE_LIMIT = 2.0
# Mean worths that a set-up displaces at its endpoint if it is expected to take the shortest target time.
PROCESSOR_COST_FACTOR = 2.0
# Share of the remaining target time that a call may wait for a circuit and still be set up in time.
QUEUE_TIME_SHARE = 0.6
# Share of the slow-start limit that is used, as the capacity it is computed from is only estimated.
SLOW_START_SAFETY = 0.5
# A refused caller is advised to redial after its target time divided by this: a redial within the target time
# earns the full worth.
REDIAL_DELAY_DIVISOR = 5
# Most peer messages that a controller receives per call: each costs its processor work.
MESSAGES_PER_CALL = 0.2
# Peer messages: value of the first byte, and the limit of exchange numbers that fit into one.
MESSAGE_TYPE, MAX_MESSAGE_EXCHANGES = 1, 1000
# Entries kept before the oldest are dropped.
MAX_ENDPOINTS, MAX_NUMBERS = 256, 512
# Outcomes after which the endpoint may have set the call up all the same.
POSSIBLY_EXECUTED_OUTCOMES = ("no_answer", "connection_lost", "called_off", "server_error")
# Cause code: all lines of the called number are busy.
CAUSE_USER_BUSY = 4
# Outcomes after which the endpoint may hold the call until the release time is over.
RELEASE_AWAITED_OUTCOMES = ("no_answer", "connection_lost", "called_off")

# --- Estimates --------------------------------------------------------------------------------------------


class DecayingAverage:
    """Exponentially decaying average; without new values it returns to zero, or to a prior."""

    __slots__ = ("time_constant_s", "total", "updated_ns", "weight")

    def __init__(self, time_constant_s: float = OUTCOME_DECAY_S) -> None:
        self.time_constant_s = time_constant_s
        self.weight = self.total = 0.0
        self.updated_ns = 0

    def decay_factor(self, now: int) -> float:
        return math.exp((self.updated_ns - now) / (self.time_constant_s * SECOND_NS))

    def add(self, now: int, value: float) -> None:
        decay = self.decay_factor(now)
        self.weight, self.total, self.updated_ns = self.weight * decay + 1.0, self.total * decay + value, now

    def value(self, now: int, prior: float = 0.0) -> float:
        if self.total == prior == 0.0:
            return 0.0
        decay = self.decay_factor(now)
        return (self.total * decay + prior * PRIOR_WEIGHT) / (self.weight * decay + PRIOR_WEIGHT)


class RemoteLeg(DecayingAverage):
    """Failure share of the trunk group between two other exchanges, learned from calls over it.

    A group that has carried a call exists and fails only while it is full: its failure share decays to zero.
    One that has not may not exist at all: its failure share decays more slowly, to that of untried legs.
    """

    __slots__ = ("carried_call",)

    def __init__(self) -> None:
        super().__init__(TRAFFIC_DECAY_S)
        self.carried_call = False

    def add(self, now: int, failure: float) -> None:
        super().add(now, failure)
        if not failure:
            self.carried_call, self.time_constant_s = True, OUTCOME_DECAY_S

    def failure_share(self, now: int, untried: float) -> float:
        return self.value(now, 0.0 if self.carried_call else untried)


class TrunkGroup:
    """Circuits of an own trunk group, or free agents of a pool, and the calls displaced by taking one."""

    __slots__ = (
        "displacement_ratios", "free", "full_share", "leg_failures", "mean_busy", "ratios_key", "size",
        "updated_ns",
    )  # fmt: skip

    def __init__(self) -> None:
        self.free, self.size = math.inf, -1.0  # counts as free until it is reported
        self.mean_busy = self.full_share = 0.0  # averages: busy circuits, share of time with none free
        self.updated_ns = 0
        self.displacement_ratios: list[float] = []
        self.ratios_key = (-1.0, -1.0)
        self.leg_failures = DecayingAverage(TRAFFIC_DECAY_S)  # over all legs that end at the same exchange

    def update(self, now: int, free: float, size: float) -> None:
        if self.size > 0:
            decay = math.exp((self.updated_ns - now) / (TRAFFIC_DECAY_S * SECOND_NS))
            self.mean_busy = self.mean_busy * decay + (self.size - self.free) * (1 - decay)
            self.full_share = self.full_share * decay + (self.free < 1) * (1 - decay)
        self.free, self.size, self.updated_ns = free, size, now

    def displaced_calls(self, width: int) -> float:
        """Calls displaced by taking ``width`` circuits now: ratios of Erlang B blocking, after Krishnan."""
        size = int(self.size)
        if size < 1:
            return 0.0
        offered = round(self.mean_busy / max(0.5, 1.0 - self.full_share), 0)
        if self.ratios_key != (size, offered):
            blocking = [1.0]
            for n in range(1, size + 1):
                blocking.append(offered * blocking[-1] / (n + offered * blocking[-1]))
            last = blocking[size]
            self.displacement_ratios = [last / b if b > 0 else 0.0 for b in blocking]
            self.ratios_key = (size, offered)
        busy = min(size - 1, max(0, int(size - self.free)))
        return sum(self.displacement_ratios[min(size - 1, busy + k)] for k in range(width))


class EndpointEstimate:
    """State and load estimates of one endpoint and the trunk group toward it."""

    def __init__(self, entry: interface.ListEntry, group: TrunkGroup, longest_target_s: float) -> None:
        self.entry = entry
        self.longest_target_s = longest_target_s
        self.group = group
        self.transit_delay = DecayingAverage()  # s, that its controller adds to calls in transit
        self.lost_answers = DecayingAverage()  # share of set-ups whose answer is lost or late
        self.failures = DecayingAverage()  # share of refusals and timeouts
        self.pending: dict[str, int] = {}  # unanswered set-ups with their send times, oldest first
        self.idle_set_up_s = 0.0  # set-up time of the idle endpoint
        self.wait_s, self.wait_at_ns = 0.0, 0  # last known wait, above the idle set-up time
        # Mean wait (s): the last wait alone says little about an endpoint that seldom gets a call.
        self.mean_wait = DecayingAverage()
        self.slow_start_until, self.slow_start_sends = 0, list[int]()
        # Share of set-ups that the endpoint asks every sender to hold back.
        self.reduction, self.reduced_at_ns = 0.0, 0

    def record_answer(self, now: int, latency_s: float, is_upper_bound: bool) -> None:
        """Record a set-up answered after ``latency_s``.

        ``is_upper_bound`` says that only a part of that time was spent at this endpoint.
        """
        if is_upper_bound:
            wait_s = min(self.expected_s(now) - self.idle_set_up_s, max(0.0, latency_s - self.idle_set_up_s))
        else:
            self.idle_set_up_s = (
                min(latency_s, self.idle_set_up_s * 0.99 + latency_s * 0.01)
                if self.idle_set_up_s
                else latency_s
            )
            wait_s = latency_s - self.idle_set_up_s
        self.wait_s, self.wait_at_ns = max(0.0, wait_s), now - int(latency_s * SECOND_NS)
        self.mean_wait.add(now, self.wait_s)

    def record_failure(self, now: int, failure: float, reported_wait_s: float = 0.0) -> None:
        """Record a refusal or a timeout: the wait exceeds the target times, however quick the refusal was."""
        self.failures.add(now, failure)
        self.mean_wait.add(now, self.longest_target_s)
        reported = min(reported_wait_s, SILENCE_LIMIT * self.longest_target_s)
        self.wait_s, self.wait_at_ns = max(self.remaining_wait_s(now), self.longest_target_s, reported), now

    def record_abandonment(self, now: int, unanswered_s: float) -> None:
        """Record a caller that left before the answer: the wait is at least that long, but it is no failure.

        Guards against impatient callers taking healthy endpoints out of use.  Drawback: a hung endpoint is
        noticed a little later.
        """
        unanswered_s = min(unanswered_s, self.proven_wait_s(now))
        self.wait_s, self.wait_at_ns = max(self.remaining_wait_s(now), unanswered_s - self.idle_set_up_s), now

    def expire_pending(self, now: int) -> None:
        """Count set-ups that are unanswered for ``SILENCE_LIMIT`` target times as failed.

        Guards against a set-up that is lost in a hung or restarted endpoint keeping all other calls away
        while its caller waits on (incident i4605d8).  Single trials follow, also after a long overload.
        Drawback: where endpoints recover later, each trial costs one call its time.
        """
        while self.pending:
            call_id, sent_at = next(iter(self.pending.items()))
            if now - sent_at < SILENCE_LIMIT * self.longest_target_s * SECOND_NS:
                return
            del self.pending[call_id]
            self.record_failure(now, 1.0)

    def acceptance_probability(self, now: int) -> float:
        """Probability that one more set-up is not refused, lost, or held back at the endpoint's request."""
        held_back = self.reduction * math.exp((self.reduced_at_ns - now) / (OUTCOME_DECAY_S * SECOND_NS))
        return (1.0 - self.failures.value(now)) * (1.0 - held_back)

    def remaining_wait_s(self, now: int) -> float:
        return max(0.0, self.wait_s - QUEUE_DRAIN_RATE * (now - self.wait_at_ns) / SECOND_NS)

    def expected_smoothed_s(self, now: int) -> float:
        """Expected set-up time (s) on two-leg routes.

        Tandems seldom get a call, so one does not count as idle as soon as its last known wait has drained.
        """
        staleness = 1.0 - math.exp(QUEUE_DRAIN_RATE * (self.wait_at_ns - now) / SECOND_NS)
        return max(self.expected_s(now), self.idle_set_up_s + staleness * self.mean_wait.value(now))

    def proven_wait_s(self, now: int) -> float:
        """Wait (s) that the unanswered set-ups prove.

        The oldest one proves its own wait.  Where answers get lost, it takes as many unanswered set-ups as
        are unlikely to be all lost, or one that is unanswered for long.  Guards against a lost answer closing
        a route, so that no later set-up can overtake it.
        """
        if not self.pending:
            return 0.0
        sent_times = list(self.pending.values())
        since, loss_share = sent_times[0], self.lost_answers.value(now)
        if loss_share > LOSS_SHARE_THRESHOLD:
            needed = 2 + int(
                math.log(ALL_LOST_PROBABILITY) / math.log(min(0.5, max(loss_share, ALL_LOST_PROBABILITY)))
            )
            lone_limit = since + int(LONE_PENDING_LIMIT * self.longest_target_s * SECOND_NS)
            since = min(lone_limit, sent_times[needed - 1] if len(sent_times) >= needed else now)
            if (
                loss_share > FREQUENT_LOSS_SHARE
                and now - sent_times[-1] > TRIAL_INTERVAL * self.longest_target_s * SECOND_NS
            ):
                return 0.0  # the latest set-up is unanswered for a while too: try one more
        return max(0.0, (now - since) / SECOND_NS)

    def expected_s(self, now: int) -> float:
        """Expected set-up time (s) of one more set-up; grows with the unanswered ones."""
        self.expire_pending(now)
        wait_s = max(self.remaining_wait_s(now), self.proven_wait_s(now) - self.idle_set_up_s)
        return (self.idle_set_up_s + wait_s) * (1.0 + WAIT_GROWTH_PER_PENDING * len(self.pending))


def exchange_pair(first: int, second: int) -> tuple[int, int]:
    return (first, second) if first < second else (second, first)


class SecondLeg(NamedTuple):
    """What all two-leg routes of a call share: the last endpoint, and the legs toward it."""

    acceptance: float  # probability that the last endpoint takes one more set-up
    set_up_s: float
    cost: float
    max_score: float  # score that no tandem route can exceed
    open_share: float  # probability that a leg without outcomes exists and has a free circuit
    open_factor: float  # the same for legs toward this exchange, relative to open_share


class Call:
    """A call that waits for its final response, is established, or has an attempt under way."""

    __slots__ = (
        "attempts", "call_class", "established", "executed_endpoint", "executed_ns", "first_try_ns",
        "next_attempt_ns", "offer", "pending_endpoint", "queued_endpoint", "queued_until", "target_ns",
        "tried", "worth",
    )  # fmt: skip

    def __init__(
        self, offer: interface.CallOffered, call_class: interface.CallClass, first_try_ns: int
    ) -> None:
        self.offer, self.call_class, self.first_try_ns = offer, call_class, first_try_ns
        self.target_ns = first_try_ns + min(
            call_class.deadline_ns,
            call_class.aim_ns + int(call_class.aim_work_factor * offer.expected_work_ns),
        )
        self.attempts = 0
        self.pending_endpoint = -1  # endpoint of the attempt under way
        self.tried: list[int] = []
        self.executed_endpoint, self.executed_ns = -1, 0  # first attempt that may have set the call up
        self.next_attempt_ns = 0
        self.queued_endpoint, self.queued_until = -1, 0  # endpoint whose circuit the call waits for
        self.established = False
        self.worth = call_class.worth


class Controller:
    """One controller instance: knows its settings and what its own events report, and nothing else."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.call_classes = {c.name: c for c in settings.classes}
        self.pools = {c.name: p for c, p in zip(settings.classes, settings.pools_by_class, strict=False)}
        self.now = self.started_ns = 0
        # Time since the previous step, and whether it is long enough to distort latencies.
        self.pause_s, self.after_pause = 0.0, False
        self.resumed_ns = 0  # time of the last step after such a pause
        self.actions: list[interface.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            interface.TrunkGroupReport: lambda e: self.read_report(
                self.endpoints.get(e.endpoint_id), e.report
            ),
            interface.AttemptEnded: self.attempt_ended,
            interface.CallEstablished: self.call_established,
            interface.TimerExpired: self.timer_expired,
            interface.CallAbandoned: self.call_abandoned,
            interface.ExchangeListUpdate: self.list_updated,
            interface.PeerMessage: self.peer_message_received,
            interface.PoolUpdate: self.pool_updated,
        }
        self.endpoints: dict[int, EndpointEstimate] = {}
        self.trunk_groups: dict[int, TrunkGroup] = {}  # by exchange, whichever endpoint serves it
        self.in_service: dict[int, EndpointEstimate] = {}  # by exchange, without the own exchange
        self.calls: dict[str, Call] = {}
        self.queued_calls: dict[int, list[str]] = {}  # ids of calls that wait for a circuit, by endpoint
        self.remote_legs: dict[tuple[int, int], RemoteLeg] = {}  # by exchange pair, lower number first
        self.total_circuits = 0.0  # over all own trunk groups
        # By exchange: bit sets of its existing trunk groups and of those with free circuits, time received.
        self.peer_reports: dict[int, tuple[int, int, int]] = {}
        # Share of exchange pairs without a usable trunk group: own pairs, and first trials of remote legs.
        self.all_leg_failures = DecayingAverage(TRAFFIC_DECAY_S)
        self.busy_numbers: dict[int, DecayingAverage] = {}  # share of busy lines, by called number
        self.tenants = {t.name: t for t in settings.tenants}
        self.tenant_calls: dict[str, DecayingAverage] = {}  # rate of first tries at this controller
        self.first_tries: dict[int, int] = {}  # time of the first try of rejected callers, by called number
        self.mean_worth = min(c.worth / c.width for c in settings.classes)
        self.mean_holding_ns: float = min(c.holding_ns for c in settings.classes)
        self.shortest_target_s = min(c.aim_ns for c in settings.classes) / SECOND_NS
        self.longest_target_s = max(c.aim_ns for c in settings.classes) / SECOND_NS
        self.list_retry_ns, self.list_requested = SECOND_NS, False

    def step(self, now: int, events: Iterable[interface.Event]) -> list[interface.Action]:
        """Handle a batch of events and return the actions to carry out, in order.

        Offered calls are handled after all other events of the batch, those with the highest worth first.
        After a pause of the controller, everything that arrived meanwhile is in one batch: this order keeps
        calls of low worth from taking the last circuits.  Otherwise a batch mostly holds a single call.
        """
        self.pause_s = (now - self.now) / SECOND_NS if self.now else 0.0
        self.started_ns, self.now, self.actions = self.started_ns or now, now, []
        self.after_pause = self.pause_s > self.shortest_target_s / REDIAL_DELAY_DIVISOR
        self.resumed_ns = now if self.after_pause else self.resumed_ns
        offers: dict[str, interface.CallOffered] = {}
        for event in events:
            if isinstance(event, interface.CallOffered):
                offers[event.call_id] = event
                continue
            if isinstance(event, interface.CallAbandoned):
                offers.pop(event.call_id, None)
            self.handlers[type(event)](event)
        for offer in sorted(offers.values(), key=lambda o: -self.class_of(o).worth / o.width):
            self.call_offered(offer)
        return self.actions

    def class_of(self, offer: interface.CallOffered) -> interface.CallClass:
        call_class = self.call_classes.get(offer.class_name)  # an unknown class counts as that of least worth
        return call_class or min(self.settings.classes, key=lambda c: c.worth)

    # --- Scoring ------------------------------------------------------------------------------------------

    def best_route(self, call: Call) -> tuple[float, EndpointEstimate | None]:
        """Return the best score above zero and the first endpoint of its route.

        Ties between tandems are broken at random.  Tandems are skipped where even an idle one with all
        circuits free could not score higher.
        """
        destination = call.offer.destination
        meshed = self.settings.layout == "meshed"
        last = self.in_service.get(destination)
        if meshed and last is None:
            return 0.0, None
        pools = () if meshed else self.pools.get(call.call_class.name, ())
        best_score, best = 0.0, None
        if last is not None and not (pools and destination not in pools):
            score = self.score(call, last, None, None)
            if score > 0.0 and self.may_send(call, last):
                best_score, best = score, last
        second_leg = self.second_leg(call, last) if meshed and last is not None else None
        if call.offer.in_transit or (second_leg is not None and best_score >= second_leg.max_score):
            return best_score, best
        for exchange, endpoint in self.in_service.items():
            if endpoint is last or (pools and exchange not in pools):
                continue
            score = self.score(call, endpoint, endpoint, second_leg)
            tie = score == best_score and best is not None and self.random.random() < 0.5
            if (score > best_score or tie) and self.may_send(call, endpoint):
                best_score, best = score, endpoint
        return best_score, best

    def earned_share(self, call: Call, set_up_s: float) -> float:
        """Share of the worth that a set-up expected to take ``set_up_s`` earns, on target or late."""
        deadline = call.offer.deadline_ns
        left = [(until - self.now) / SECOND_NS for until in (min(call.target_ns, deadline), deadline)]
        on_target, in_time = (
            1.0 / (1.0 + (set_up_s / left_s) ** LATENESS_EXPONENT) if left_s > 0 else 0.0 for left_s in left
        )
        return on_target + call.call_class.late_share * (in_time - on_target)

    def processor_cost(self, set_up_s: float) -> float:
        """Worth displaced by one more set-up at an endpoint, as its work delays the calls behind it.

        The set-up time of an idle endpoint counts too, as the cost of the work itself.
        """
        resends = (
            math.log2(1.0 + set_up_s * SECOND_NS / self.settings.resend_ns)
            if self.settings.resend_ns
            else 0.0
        )
        return (
            PROCESSOR_COST_FACTOR
            * self.mean_worth
            * set_up_s
            / self.shortest_target_s
            * (1.0 + 0.5 * resends)
        )

    def circuit_cost(self, call: Call, group: TrunkGroup) -> float:
        return (
            self.mean_worth
            * group.displaced_calls(call.offer.width)
            * call.call_class.holding_ns
            / self.mean_holding_ns
        )

    def second_leg(self, call: Call, last: EndpointEstimate) -> SecondLeg:
        set_up_s = last.expected_smoothed_s(self.now)
        acceptance, cost = last.acceptance_probability(self.now), self.processor_cost(set_up_s)
        max_score = (
            call.worth * acceptance * self.earned_share(call, set_up_s)
            - cost
            - TANDEM_PENALTY * self.mean_worth
        )
        open_share = 1.0 - self.all_leg_failures.value(self.now, 0.0)
        open_factor = (1.0 - last.group.leg_failures.value(self.now, 1.0 - open_share)) / max(
            open_share, 0.01
        )
        return SecondLeg(acceptance, set_up_s, cost, max_score, open_share, open_factor)

    def leg_failure(self, tandem: EndpointEstimate, destination: int, second_leg: SecondLeg) -> float:
        """Failure probability of the leg from a tandem to the destination.

        Taken from a peer message of either end, else from the outcomes of calls.
        """
        exchange = tandem.entry.exchange
        leg = self.remote_legs.get(exchange_pair(exchange, destination))
        report, other = self.peer_reports.get(exchange), destination
        if report is None:
            report, other = self.peer_reports.get(destination), exchange
        if report is None:
            open_share = 1.0 - tandem.group.leg_failures.value(self.now, 1.0 - second_leg.open_share)
            untried = 1.0 - min(1.0, open_share * second_leg.open_factor)
            return leg.failure_share(self.now, untried) if leg else untried
        existing, available, received_ns = report
        if not existing >> other & 1:
            return 1.0
        full = (
            0.0
            if available >> other & 1
            else math.exp((received_ns - self.now) / (OUTCOME_DECAY_S * SECOND_NS))
        )
        return max(full, leg.value(self.now)) if leg else full

    def score(
        self,
        call: Call,
        first: EndpointEstimate,
        tandem: EndpointEstimate | None,
        second_leg: SecondLeg | None,
    ) -> float:
        """Score of the route whose first endpoint is ``first``; negative where its trunk group is full."""
        group = first.group
        if group.free < call.offer.width:
            return -1.0
        set_up_s = first.expected_s(self.now) if tandem is None else first.expected_smoothed_s(self.now)
        acceptance = first.acceptance_probability(self.now)
        legs = 1.0
        cost = self.processor_cost(set_up_s) + (
            TANDEM_PENALTY * self.mean_worth if tandem is not None else 0.0
        )
        if tandem is not None and second_leg is not None:
            legs = TWO_LEG_CIRCUIT_FACTOR
            leg_failure = self.leg_failure(tandem, call.offer.destination, second_leg)
            acceptance *= second_leg.acceptance * (1.0 - leg_failure)
            set_up_s += second_leg.set_up_s + tandem.transit_delay.value(self.now)
            cost += (1.0 - leg_failure) * second_leg.cost
        busy_lines = self.busy_numbers.get(call.offer.number)
        if busy_lines is not None:
            acceptance *= 1.0 - busy_lines.value(self.now)
        cost += legs * self.circuit_cost(call, group)
        return call.worth * acceptance * self.earned_share(call, set_up_s) - cost

    def queue_score(self, call: Call, endpoint: EndpointEstimate) -> float:
        """Score of waiting for a free circuit, as the cited paper's queue with abandonment."""
        until = min(call.target_ns, call.offer.deadline_ns)
        left_s = (until - self.now) / SECOND_NS * QUEUE_TIME_SHARE
        group = endpoint.group
        if left_s <= 0 or group.size < call.offer.width:
            return -1.0
        # Circuits freed per second; half of them are taken by the exchange at the other end.
        freed_per_s = (group.size - group.free) / (call.call_class.holding_ns / SECOND_NS) / 2
        ahead = sum(
            1
            for call_id in self.queued_calls.get(endpoint.entry.endpoint_id, ())
            if self.calls[call_id].worth >= call.worth
        )
        needed = max(call.offer.width, call.offer.width + ahead - group.free)
        acceptance = endpoint.acceptance_probability(self.now) * math.exp(
            -needed / max(0.01, freed_per_s * left_s)
        )
        cost = self.processor_cost(endpoint.expected_s(self.now)) + self.circuit_cost(call, group)
        return call.worth * acceptance * self.earned_share(call, endpoint.expected_s(self.now)) - cost

    # --- Life cycle of a call -----------------------------------------------------------------------------

    def call_offered(self, event: interface.CallOffered) -> None:
        call_class = self.class_of(event)
        call = Call(event, call_class, self.first_try_time(event, call_class))
        call.worth = call_class.worth * self.tenant_share(call)
        self.mean_holding_ns += 0.02 * (call_class.holding_ns - self.mean_holding_ns)
        self.mean_worth += 0.02 * (call.worth / event.width - self.mean_worth)
        self.calls[event.call_id] = call
        if event.in_transit and {event.via_exchange, event.destination} <= self.trunk_groups.keys():
            # The forwarding exchange has no usable direct route to the destination.
            self.remote_leg(event.via_exchange, event.destination).add(self.now, 1.0)
        self.decide(call)

    def first_try_time(self, event: interface.CallOffered, call_class: interface.CallClass) -> int:
        """Return when the caller first tried; the target time runs from there.

        A redial past the target thus earns the late share only.  First tries are remembered by called number;
        a caller whose established call was cut starts again.
        """
        if (
            event.in_transit
            or event.replaces_cut_call
            or not (event.redialled or not self.settings.redials_marked)
        ):
            return self.now
        first = self.first_tries.pop(event.number, self.now)
        return first if self.now - first < call_class.deadline_ns else self.now

    def tenant_share(self, call: Call) -> float:
        """Return the share of the worth that counts for a call, given the demand of its tenant.

        Guards against a tenant beyond its quota crowding out the others.  The demand over all exchanges is
        extrapolated from the first tries at this controller.  Drawback: too strict at an exchange that gets
        more of a tenant's calls than the others.
        """
        tenant = self.tenants.get(call.offer.tenant)
        if tenant is None or tenant.quota_per_s <= 0 or call.offer.in_transit:
            return 1.0
        calls = self.tenant_calls.setdefault(tenant.name, DecayingAverage(TRAFFIC_DECAY_S))
        if not call.offer.redialled:
            calls.add(self.now, 0.0)
        observed_share = 1.0 - math.exp((self.started_ns - self.now) / (TRAFFIC_DECAY_S * SECOND_NS))
        demand = calls.weight / TRAFFIC_DECAY_S / max(0.1, observed_share) * self.settings.controllers
        inside = min(1.0, tenant.quota_per_s / demand) if demand > 0 else 1.0
        return inside + (1.0 - inside) * self.settings.over_share_worth

    def decide(self, call: Call, may_wait: bool = True) -> None:
        """Send the call on the best route, or queue it for a circuit, or reject it."""
        if self.now < call.next_attempt_ns:
            return
        best_score, best = 0.0, None
        if call.attempts < self.settings.max_attempts and self.now < call.offer.deadline_ns:
            best_score, best = self.best_route(call)
            direct = self.in_service.get(call.offer.destination)
            if direct is not None and not self.in_pools(call, direct):
                direct = None
            if may_wait and not call.offer.in_transit and call.queued_until == 0 and direct is not None:
                untried = best is not direct and direct.entry.endpoint_id not in call.tried
                if untried and self.queue_score(call, direct) > best_score:
                    self.enqueue(call, direct)
                    return
        if best is None:
            self.reject(call)
        else:
            self.send(call, best)

    def send(self, call: Call, endpoint: EndpointEstimate) -> None:
        endpoint_id = endpoint.entry.endpoint_id
        call.attempts += 1
        call.pending_endpoint = endpoint_id
        call.tried.append(endpoint_id)
        endpoint.pending[call.offer.call_id] = self.now
        endpoint.group.free -= call.offer.width
        if self.now < endpoint.slow_start_until:
            endpoint.slow_start_sends.append(self.now)
        self.actions.append(interface.SendSetUp(call.offer.call_id, endpoint_id, 0))

    def enqueue(self, call: Call, endpoint: EndpointEstimate) -> None:
        left = min(call.target_ns, call.offer.deadline_ns) - self.now
        call.queued_until = self.now + int(left * QUEUE_TIME_SHARE)
        call.queued_endpoint = endpoint.entry.endpoint_id
        self.queued_calls.setdefault(call.queued_endpoint, []).append(call.offer.call_id)
        self.actions.append(interface.SetTimer(call.queued_until - self.now, call.offer.call_id))

    def serve_queue(self, endpoint: EndpointEstimate) -> None:
        """Send queued calls on circuits that are free, by worth, then in order of arrival."""
        queue = self.queued_calls.get(endpoint.entry.endpoint_id, [])
        queue.sort(key=lambda call_id: -self.calls[call_id].worth / self.calls[call_id].offer.width)
        for call_id in list(queue):
            call = self.calls[call_id]
            if endpoint.group.free < 1:
                break
            if self.may_send(call, endpoint) and self.score(call, endpoint, None, None) > 0.0:
                self.dequeue(call)
                self.send(call, endpoint)

    def dequeue(self, call: Call) -> None:
        if call.queued_endpoint >= 0:
            self.queued_calls[call.queued_endpoint].remove(call.offer.call_id)
            call.queued_endpoint = -1

    def reject(self, call: Call) -> None:
        """Send the final response: failed where a refusal would claim that no attempt was executed."""
        if call.executed_endpoint >= 0 and not call.call_class.repeatable:
            self.actions.append(interface.FailCall(call.offer.call_id))
        else:
            retry_after = (
                call.call_class.aim_ns // REDIAL_DELAY_DIVISOR if self.settings.may_send_retry_after else 0
            )
            self.actions.append(
                interface.RefuseCall(call.offer.call_id, 0 if call.offer.in_transit else retry_after)
            )
        self.forget(call)

    def forget(self, call: Call) -> None:
        if not (call.established or call.offer.in_transit):
            self.first_tries.pop(call.offer.number, None)
            if len(self.first_tries) >= MAX_NUMBERS:
                del self.first_tries[next(iter(self.first_tries))]
            self.first_tries[call.offer.number] = call.first_try_ns
        self.dequeue(call)
        self.calls.pop(call.offer.call_id, None)

    def call_established(self, event: interface.CallEstablished) -> None:
        endpoint, call = self.endpoints.get(event.endpoint_id), self.calls.get(event.call_id)
        sent_at, latency_s = (
            endpoint.pending.pop(event.call_id, None) if endpoint else None,
            event.latency_ns / SECOND_NS,
        )
        if endpoint is not None and sent_at is not None:
            is_indirect = False
            if call is not None:
                is_indirect = endpoint.entry.exchange != call.offer.destination
                if (
                    is_indirect
                    and self.settings.layout == "meshed"
                    and call.offer.destination in self.in_service
                ):
                    last = self.in_service[call.offer.destination]
                    self.record_leg(endpoint.entry.exchange, call.offer.destination, 0.0)
                    self.record_transit_delay(endpoint, latency_s - last.expected_s(self.now))
                    last.record_answer(self.now, latency_s, True)
                if call.offer.number in self.busy_numbers:
                    self.busy_numbers[call.offer.number].add(self.now, 0.0)
            self.drop_overtaken(endpoint, sent_at)
            endpoint.failures.add(self.now, 0.0)
            endpoint.record_answer(
                self.now, latency_s, is_indirect or self.after_pause or sent_at == self.resumed_ns
            )
            endpoint.lost_answers.add(self.now, 0.0)
        if call is not None:
            call.established = True

    def drop_overtaken(self, endpoint: EndpointEstimate, sent_at: int) -> None:
        """Count set-ups sent before one that is answered now as lost: an endpoint has a single queue.

        Guards against one lost or late answer counting as the wait at an endpoint that answers all others.
        Set-ups over a tandem are left out, as their answers take longer.
        """
        for call_id, other_sent_at in list(endpoint.pending.items()):
            call = self.calls.get(call_id)
            if other_sent_at > sent_at - int(endpoint.idle_set_up_s * SECOND_NS):
                # Sent so closely that they may be reordered on the way.
                break
            if (
                call is None
                or call.offer.destination == endpoint.entry.exchange
                or self.settings.layout != "meshed"
            ):
                del endpoint.pending[call_id]
                endpoint.lost_answers.add(self.now, 1.0)
                if call is not None and self.settings.may_cancel and call.call_class.repeat == "free":
                    delay = int(CANCEL_DELAY * call.call_class.aim_ns) - (self.now - other_sent_at)
                    self.actions.append(
                        interface.SetTimer(max(1, delay), f"{CANCEL_TIMER_PREFIX} {call.attempts} {call_id}")
                    )

    def cancel_lost_attempt(self, call_id: str, attempts: int) -> None:
        """Cancel an attempt whose answer is lost; the call may be sent again, also on the same route."""
        call = self.calls.get(call_id)
        if call is None or call.established or call.pending_endpoint < 0 or call.attempts != attempts:
            return
        if (
            attempts < self.settings.max_attempts
            and self.now + self.settings.release_ns < call.offer.deadline_ns
        ):
            call.tried.remove(call.pending_endpoint)
            self.actions.append(interface.CancelSetUp(call_id, attempts - 1))

    def record_transit_delay(self, tandem: EndpointEstimate, latency_s: float) -> None:
        """Record the delay added by a tandem's controller, which may stall while its processor runs."""
        if not self.after_pause:
            tandem.transit_delay.add(self.now, max(0.0, latency_s - tandem.expected_s(self.now)))

    def attempt_ended(self, event: interface.AttemptEnded) -> None:
        endpoint, call = self.endpoints.get(event.endpoint_id), self.calls.get(event.call_id)
        if endpoint is not None:
            self.read_report(endpoint, event.report)
            unanswered = endpoint.pending.pop(event.call_id, None) is not None
            if call is not None and call.pending_endpoint == event.endpoint_id:
                self.record_failed_attempt(endpoint, call, event, unanswered)
        if call is None or call.pending_endpoint != event.endpoint_id or call.attempts != event.attempt + 1:
            return
        call.pending_endpoint = -1
        if event.call_ended:
            self.forget(call)
            return
        fault = event.outcome == "server_error" and event.cause != CAUSE_USER_BUSY
        if (fault or event.cause == interface.CAUSE_CONNECTION_FAILED) and event.endpoint_id in call.tried:
            # The failure says nothing about the route, so the call may try it again.  Guards calls against an
            # exchange where each set-up fails with some probability.  Drawback: one where all fail costs more
            # work.
            call.tried.remove(event.endpoint_id)
        if event.outcome in POSSIBLY_EXECUTED_OUTCOMES and call.executed_endpoint < 0:
            call.executed_endpoint, call.executed_ns = event.endpoint_id, self.now - event.latency_ns
        if self.now >= call.offer.deadline_ns:
            self.actions.append(interface.FailCall(call.offer.call_id))
            self.forget(call)
        elif (event.outcome, event.cause) in (("server_error", CAUSE_USER_BUSY), ("not_sent", 3)):
            self.reject(call)  # the called lines are busy, or the own processor is down: so on every route
        elif event.outcome in RELEASE_AWAITED_OUTCOMES and self.settings.release_ns:
            call.next_attempt_ns = self.now + self.settings.release_ns
            if call.next_attempt_ns >= call.offer.deadline_ns:
                self.reject(call)
            else:
                self.actions.append(interface.SetTimer(self.settings.release_ns, call.offer.call_id))
        else:
            self.decide(call)

    def record_failed_attempt(
        self, endpoint: EndpointEstimate, call: Call, event: interface.AttemptEnded, unanswered: bool
    ) -> None:
        """Attribute a failed attempt to the endpoint, the remote leg or the called number."""
        via_tandem = endpoint.entry.exchange != call.offer.destination and self.settings.layout == "meshed"
        if event.cause == interface.CAUSE_CONNECTION_FAILED:
            return  # guards against avoiding healthy endpoints because of faults of their connections
        if event.cause == 1:  # no free circuit or agent, also where no group size is reported
            endpoint.group.free = min(endpoint.group.free, call.offer.width - 1)
        elif event.outcome == "turned_away":
            if event.cause % 16 == 2:  # refused by the tandem, or (18) by the destination behind it
                endpoint.failures.add(self.now, 0.0)
                self.record_leg(endpoint.entry.exchange, call.offer.destination, 1.0)
                self.record_transit_delay(endpoint, event.latency_ns / SECOND_NS)
                last = self.in_service.get(call.offer.destination)
                if event.cause == 18 and last is not None:
                    last.failures.add(self.now, 1.0)
            elif event.cause % 16 == 3:  # processor full; the higher bits carry its wait in milliseconds
                endpoint.record_failure(self.now, 1.0, event.cause // 16 / 1000.0)
        elif unanswered and event.outcome in ("no_answer", "no_connection", "connection_lost"):
            endpoint.record_failure(self.now, 0.5 if via_tandem else 1.0)
        elif event.outcome == "server_error" and event.cause == CAUSE_USER_BUSY:
            if call.offer.number not in self.busy_numbers and len(self.busy_numbers) >= MAX_NUMBERS:
                del self.busy_numbers[next(iter(self.busy_numbers))]
            self.busy_numbers.setdefault(call.offer.number, DecayingAverage()).add(self.now, 1.0)

    def call_abandoned(self, event: interface.CallAbandoned) -> None:
        call = self.calls.get(event.call_id)
        if call is None:
            return
        endpoint = self.endpoints.get(call.pending_endpoint)
        if endpoint is not None and event.call_id in endpoint.pending:
            endpoint.record_abandonment(
                self.now, (self.now - endpoint.pending[event.call_id]) / SECOND_NS - self.pause_s
            )
            del endpoint.pending[event.call_id]
        self.forget(call)

    def timer_expired(self, event: interface.TimerExpired) -> None:
        if event.timer_id in ("list", "note"):
            return self.watch_list() if event.timer_id == "list" else self.message_peers()
        if event.timer_id.startswith(CANCEL_TIMER_PREFIX):
            _, attempts, call_id = event.timer_id.split(" ", 2)
            return self.cancel_lost_attempt(call_id, int(attempts))
        call = self.calls.get(event.timer_id)
        if (
            call is not None
            and call.pending_endpoint < 0
            and not call.established
            and self.now >= call.next_attempt_ns
        ):
            self.dequeue(call)
            self.decide(call, may_wait=False)

    # --- Reports and the exchange list --------------------------------------------------------------------

    def read_report(self, endpoint: EndpointEstimate | None, report: interface.LoadReport | None) -> None:
        """Take over the free circuits of the own trunk group and the metrics that the endpoint reports.

        The circuits are exact at that time; the metrics only refine the estimates.
        """
        if endpoint is None or report is None:
            return
        for name, value in report.metrics:
            if name == "cut_by" and 0.0 <= value <= 1.0:
                endpoint.reduction, endpoint.reduced_at_ns = value, self.now
            if name == "svc_ms" and value >= 0:
                # Bounded: a crashed endpoint may report days; beyond the target times it is all the same.
                endpoint.wait_s, endpoint.wait_at_ns = (
                    min(value / 1000.0, SILENCE_LIMIT * self.longest_target_s),
                    self.now,
                )
        if report.size >= 0:
            if endpoint.group.size < 0:
                # An own pair without a trunk group says as much about legs in general as a remote one.
                for average in (self.all_leg_failures, endpoint.group.leg_failures):
                    average.add(self.now, float(report.size < 1))
                self.total_circuits += report.size
            endpoint.group.update(self.now, report.free, report.size)
            self.serve_queue(endpoint)

    def remote_leg(self, first: int, second: int) -> RemoteLeg:
        return self.remote_legs.setdefault(exchange_pair(first, second), RemoteLeg())

    def record_leg(self, first: int, second: int, failure: float) -> None:
        leg = self.remote_leg(first, second)
        if leg.weight == 0.0:
            for average in (
                self.all_leg_failures,
                *(self.trunk_groups[n].leg_failures for n in (first, second) if n in self.trunk_groups),
            ):
                average.add(self.now, failure)
        leg.add(self.now, failure)

    def list_updated(self, event: interface.ExchangeListUpdate) -> None:
        if event.kind == "unavailable":
            self.actions.append(interface.SetTimer(self.list_retry_ns, "list"))
            self.list_retry_ns = min(
                2 * self.list_retry_ns, max(SECOND_NS, self.settings.list_query_deadline_ns // 4)
            )
            return
        self.list_retry_ns = SECOND_NS
        known_before = bool(self.endpoints)
        listed = {e.endpoint_id for e in event.entries}
        for entry in event.entries:
            endpoint = self.endpoints.get(entry.endpoint_id)
            restarted = endpoint is not None and entry.started_ns > endpoint.entry.started_ns
            if endpoint is None or restarted:
                # A replacement takes over the trunk group of its exchange.
                group = self.trunk_groups.setdefault(entry.exchange, TrunkGroup())
                fresh = EndpointEstimate(entry, group, self.longest_target_s)
                if endpoint is not None:
                    fresh.pending = endpoint.pending
                if entry.started_ns or known_before:
                    fresh.slow_start_until = (entry.started_ns or self.now) + self.settings.cold_ns
                self.endpoints[entry.endpoint_id] = fresh
            else:
                endpoint.entry = entry
        if event.kind != "update":
            for endpoint_id, endpoint in self.endpoints.items():
                if endpoint_id not in listed:
                    endpoint.entry = replace(endpoint.entry, state="terminated")
        if len(self.endpoints) > MAX_ENDPOINTS:  # bounds the table: drops terminated endpoints
            used = {c.pending_endpoint for c in self.calls.values()} | {
                c.executed_endpoint for c in self.calls.values()
            }
            for endpoint_id, endpoint in list(self.endpoints.items()):
                if endpoint.entry.state == "terminated" and endpoint_id not in used:
                    del self.endpoints[endpoint_id]
        self.in_service = {}
        for endpoint in self.endpoints.values():
            if endpoint.entry.state == "in_service" and endpoint.entry.exchange != self.settings.own_exchange:
                self.in_service.setdefault(endpoint.entry.exchange, endpoint)
        if (
            self.settings.may_message_peers
            and not known_before
            and 0 <= self.settings.own_exchange < MAX_MESSAGE_EXCHANGES
        ):
            self.actions.append(
                interface.SetTimer(SECOND_NS * (self.settings.rank + 1) // self.settings.controllers, "note")
            )
        if self.settings.discovery == "ask" and not self.list_requested:
            self.watch_list()

    def in_pools(self, call: Call, endpoint: EndpointEstimate) -> bool:
        pools = () if self.settings.layout == "meshed" else self.pools.get(call.call_class.name, ())
        return not pools or endpoint.entry.exchange in pools

    def pool_updated(self, event: interface.PoolUpdate) -> None:
        """Take over the exchanges of a class; calls queued where it may no longer go are decided again."""
        self.pools[event.class_name] = event.exchanges or (-1,)  # an empty tuple would stand for any exchange
        for endpoint in [
            self.endpoints[n] for n, queue in self.queued_calls.items() if queue and n in self.endpoints
        ]:
            for call in [self.calls[call_id] for call_id in self.queued_calls[endpoint.entry.endpoint_id]]:
                if not self.in_pools(call, endpoint):
                    self.dequeue(call)
                    self.decide(call, may_wait=False)

    def watch_list(self) -> None:
        self.list_requested = True
        self.actions.append(interface.WatchExchangeList())

    # --- Messages between controllers ---------------------------------------------------------------------

    def message_peers(self) -> None:
        """Tell the other controllers which own trunk groups exist and which have circuits to spare.

        This saves the trial calls by which remote legs are learned.  Messages may be lost, and age: that a
        group does not exist is believed until the next message, that it is full only for a short while.
        """
        existing = available = 0
        for exchange, group in self.trunk_groups.items():
            if group.size >= 1 and 0 <= exchange < MAX_MESSAGE_EXCHANGES:
                existing |= 1 << exchange
                available |= (group.free >= 1 and group.displaced_calls(1) < 0.5) << exchange
        size = existing.bit_length() // 8 + 1
        parts = ((MESSAGE_TYPE, 1), (self.settings.own_exchange, 2), (existing, size), (available, size))
        self.actions.append(
            interface.SendPeerMessage(-1, b"".join(n.to_bytes(length, "big") for n, length in parts))
        )
        interval_s = self.settings.controllers / max(0.1, self.planned_rate() * MESSAGES_PER_CALL)
        self.actions.append(interface.SetTimer(int(max(OUTCOME_DECAY_S, interval_s) * SECOND_NS), "note"))

    def peer_message_received(self, event: interface.PeerMessage) -> None:
        payload = event.payload
        size = (len(payload) - 3) // 2
        if size < 1 or len(payload) != 3 + 2 * size or payload[0] != MESSAGE_TYPE:
            return
        exchange = int.from_bytes(payload[1:3], "big")
        if exchange in self.trunk_groups:
            existing, available = (int.from_bytes(payload[n : n + size], "big") for n in (3, 3 + size))
            self.peer_reports[exchange] = (existing, available, self.now)

    # --- Rules checked before every set-up ----------------------------------------------------------------

    def may_send(self, call: Call, endpoint: EndpointEstimate) -> bool:
        """Whether the rules allow a set-up, whatever its score.

        The endpoint is in service and untried, no other attempt is under way, the call class allows a repeat
        there, and the slow-start limit is kept.
        """
        if (
            endpoint.entry.state != "in_service"
            or call.pending_endpoint >= 0
            or endpoint.entry.endpoint_id in call.tried
        ):
            return False
        if call.executed_endpoint >= 0 and call.call_class.repeat != "free":
            if call.call_class.repeat == "single_shot":
                return False
            executed, entry, scope = (
                self.endpoints[call.executed_endpoint].entry,
                endpoint.entry,
                call.call_class.repeat_scope,
            )
            same = executed.zone == entry.zone if scope == "zone" else executed.exchange == entry.exchange
            if (
                not (same or scope == "all")
                or self.now >= call.executed_ns + call.call_class.repeat_window_ns
            ):
                return False
        return self.now >= endpoint.slow_start_until or self.within_slow_start_limit(endpoint)

    def planned_rate(self) -> float:
        """Calls per second, outgoing or incoming, for which an exchange's circuits or agents are sized."""
        shared_by = 2 if self.settings.layout == "meshed" else max(1, len(self.trunk_groups))
        return self.total_circuits / shared_by / (self.mean_holding_ns / SECOND_NS)

    def within_slow_start_limit(self, endpoint: EndpointEstimate) -> bool:
        """Whether this controller may send a set-up to an endpoint that has just started.

        Guards against overloading it.  Each controller keeps to its part of what the endpoint can take after
        its start.  That is estimated from the own circuits, which do not change in a flood of calls.  A part
        below one set-up per window becomes one set-up per longer window, staggered by rank, so that the sum
        stays within the limit for any number of controllers.  Drawback: a small exchange refuses calls too
        early.
        """
        limit = (
            self.planned_rate()
            * self.settings.start_capacity
            * self.settings.fall_multiple
            * self.settings.fall_ns
            / SECOND_NS
        )
        part = limit * 2 * SLOW_START_SAFETY / self.settings.controllers
        window = int(self.settings.fall_ns / max(min(part, 1.0), 0.01))
        endpoint.slow_start_sends = [t for t in endpoint.slow_start_sends if t > self.now - window]
        rank_delay_ns = (window - self.settings.fall_ns) * self.settings.rank // self.settings.controllers
        first_send_ns = endpoint.slow_start_until - self.settings.cold_ns + rank_delay_ns
        return self.now >= first_send_ns and len(endpoint.slow_start_sends) < max(1, int(part))
