"""All decisions of a call controller: which route a call takes, and whether it is admitted.

Settings, events and actions are defined in ``trackhatch/interface.py``; this module does no I/O and
reads no clock.  ``Controller.step(now, events)`` returns the actions in their order.

The rule (Milito, Levy, Arian, ITC-13, 1991): every route of a call is scored as
worth x (1 - failure probability) - cost; the best is taken, and the call is refused when none is above
zero.  Everything else here estimates the probability and the cost, or keeps one of the five rules.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any, NamedTuple

from trackhatch import interface

# --- Constants: each with its unit and reason ------------------------------------------------------------

SECOND = 1_000_000_000  # ns
SHARE_AGE_S = 10.0  # s, ageing of outcome shares: the design's starting value
RATE_AGE_S = 30.0  # s, ageing of traffic figures: a few holding times, so a burst does not move them
SHARE_PRIOR = 1.0  # outcomes; an unheard route counts as good, one failure as even odds
STEEPNESS = 3.0  # the failure curve over expected set-up time: 1/65 at a quarter of the aim, 1/2 at the aim
DRAIN_PACE = 0.5  # s of wait lost in a second unheard: between a queue left alone (1) and one kept fed (0)
OWN_SHARE_OF_QUEUE = 0.25  # growth of the expected set-up time with each own set-up still unanswered
HANDICAP = 0.1  # of the mean worth, for each tandem leg: the design's small fixed cost
LEGS = 2.0  # a two-leg route is charged for the leg it cannot see as for the one it sees
DOUBT = 0.5  # longest aims that a set-up may wait alone before it counts as held up rather than lost
UNLIKELY = 0.05  # chance at which set-ups are no longer held to be all lost
OFTEN_LOST, TRIAL = 0.02, 0.1  # share of lost answers; longest aims from one trial to the next, above it
STRAY = 0.002  # share of lost and late answers above which that is likelier than a line that forms at once
LOST, LOST_AFTER = "lost?", 0.2  # of the aim: when an overtaken set-up is cancelled; the rest is for another
SILENCE = 2.0  # longest aims without an answer: a set-up that takes longer earns little
PRESS = 2.0  # mean worths that a set-up expected to take the tightest aim displaces at its processor
HOLD_SHARE = 0.6  # of the aim that is left: how long a call may wait for a circuit and still be set up in it
COLD_CAUTION = 0.5  # of the cold budget is used: the capacity behind it is a guess
REDIALS_IN_AIM = 5  # a refused caller is asked back after this part of the aim: a redial in the aim earns all
NOTES_A_CALL = 0.2  # most notes that a controller is sent, over its calls: each costs its processor work
NOTE, NOTE_BITS = 1, 1000  # first byte of a note to other controllers; exchange numbers that fit into it
OFFICES_KEPT, MAX_NUMBERS = 256, 512  # remembered before old ones are forgotten
MAY_HAVE_RUN = ("no_answer", "connection_lost", "called_off", "server_error")
BUSY_LINES = 4  # cause: of the number called
RELEASE_AWAITED_OUTCOMES = ("no_answer", "connection_lost", "called_off")

# --- Estimates --------------------------------------------------------------------------------------------


class Share:
    """Share of outcomes that were bad, aged; without outcomes it fades to zero, or to a prior."""

    __slots__ = ("age_s", "at", "seen", "total")

    def __init__(self, age_s: float = SHARE_AGE_S) -> None:
        self.age_s = age_s
        self.seen = self.total = 0.0
        self.at = 0

    def kept(self, now: int) -> float:
        return math.exp((self.at - now) / (self.age_s * SECOND))

    def add(self, now: int, bad: float) -> None:
        keep = self.kept(now)
        self.seen, self.total, self.at = self.seen * keep + 1.0, self.total * keep + bad, now

    def value(self, now: int, prior: float = 0.0) -> float:
        if self.total == prior == 0.0:
            return 0.0
        keep = self.kept(now)
        return (self.total * keep + prior * SHARE_PRIOR) / (self.seen * keep + SHARE_PRIOR)


class Leg(Share):
    """The group between two other exchanges, known by what became of calls over it.

    One that has carried a call exists, and was only full when it turned others back: its share fades to
    zero.  One that never did may not exist at all: its share fades slower, to that of legs never tried.
    """

    __slots__ = ("worked",)

    def __init__(self) -> None:
        super().__init__(RATE_AGE_S)
        self.worked = False

    def add(self, now: int, bad: float) -> None:
        super().add(now, bad)
        if not bad:
            self.worked, self.age_s = True, SHARE_AGE_S

    def fails(self, now: int, untried: float) -> float:
        return self.value(now, 0.0 if self.worked else untried)


class Group:
    """Circuits of an own group, or free agents of a pool, and what one more of them displaces."""

    __slots__ = ("at", "busy", "free", "full", "legs", "ratios", "ratios_for", "size")

    def __init__(self) -> None:
        self.free, self.size = math.inf, -1.0  # never told of: counts as free
        self.busy = self.full = 0.0  # averages: circuits busy, share of time with none free
        self.at = 0
        self.ratios: list[float] = []
        self.ratios_for = (-1.0, -1.0)
        self.legs = Share(RATE_AGE_S)  # of all legs that end at that exchange

    def told(self, now: int, free: float, size: float) -> None:
        if self.size > 0:
            keep = math.exp((self.at - now) / (RATE_AGE_S * SECOND))
            self.busy = self.busy * keep + (self.size - self.free) * (1 - keep)
            self.full = self.full * keep + (self.free < 1) * (1 - keep)
        self.free, self.size, self.at = free, size, now

    def displaced(self, width: int) -> float:
        """Calls displaced by taking ``width`` circuits now: Erlang B ratios, after Krishnan."""
        size = int(self.size)
        if size < 1:
            return 0.0
        offered = round(self.busy / max(0.5, 1.0 - self.full), 0)
        if self.ratios_for != (size, offered):
            blocking = [1.0]
            for n in range(1, size + 1):
                blocking.append(offered * blocking[-1] / (n + offered * blocking[-1]))
            last = blocking[size]
            self.ratios = [last / b if b > 0 else 0.0 for b in blocking]
            self.ratios_for = (size, offered)
        busy = min(size - 1, max(0, int(size - self.free)))
        return sum(self.ratios[min(size - 1, busy + k)] for k in range(width))


class Office:
    """What is known of one processor and the group toward it."""

    def __init__(self, entry: interface.ListEntry, group: Group, longest_aim_s: float) -> None:
        self.entry = entry
        self.longest_aim_s = longest_aim_s
        self.group = group
        self.in_transit = Share()  # s, mean of what its controller adds to calls in transit
        self.strays = Share()  # set-ups whose answer was lost or late, by those overtaken
        self.failures = Share()  # refusals and time-outs of this processor
        self.out: dict[str, int] = {}  # unanswered set-ups, oldest first, with the time each was sent
        self.floor = 0.0  # s, set-up time of the idle processor
        self.wait, self.wait_at = 0.0, 0  # s, above the floor
        self.waits = Share()  # s, their mean: where a processor is seldom called, the last one says little
        self.cold_until, self.cold_sends = 0, list[int]()
        self.cut_by, self.cut_at = 0.0, 0  # share of set-ups that its report asks every sender to hold back

    def answered(self, now: int, lag_s: float, at_most: bool) -> None:
        """A set-up was answered after ``lag_s``; ``at_most`` where another processor shares the time."""
        if at_most:
            seen = min(self.expected(now) - self.floor, max(0.0, lag_s - self.floor))
        else:
            self.floor = min(lag_s, self.floor * 0.99 + lag_s * 0.01) if self.floor else lag_s
            seen = lag_s - self.floor
        self.wait, self.wait_at = max(0.0, seen), now - int(lag_s * SECOND)
        self.waits.add(now, self.wait)

    def failed(self, now: int, bad: float, told_wait_s: float = 0.0) -> None:
        """It refused, or stayed silent: its wait is past the aims, however short the refusal took."""
        self.failures.add(now, bad)
        self.waits.add(now, self.longest_aim_s)
        told = min(told_wait_s, SILENCE * self.longest_aim_s)
        self.wait, self.wait_at = max(self.wait_left(now), self.longest_aim_s, told), now

    def left_waiting(self, now: int, silent_s: float) -> None:
        """A caller left before the answer: the wait is at least what it saw, no proof of a failure.

        Guards against impatient callers closing healthy processors.  Harm: a hang shows a little later."""
        silent_s = min(silent_s, self.held_up(now))
        self.wait, self.wait_at = max(self.wait_left(now), silent_s - self.floor), now

    def give_up_on_silent(self, now: int) -> None:
        """Guards against a set-up lost in a hung or restarted processor keeping all others away (i4605d8).

        It counts as failed after SILENCE aims, though its caller may wait on; then single trials follow, also
        after a long jam.  Harm: where processors recover later, each trial costs one call its time.
        """
        while self.out:
            name, sent_at = next(iter(self.out.items()))
            if now - sent_at < SILENCE * self.longest_aim_s * SECOND:
                return
            del self.out[name]
            self.failed(now, 1.0)

    def accepts(self, now: int) -> float:
        """Chance that it takes one more set-up: neither refused, nor lost, nor held back as it asked."""
        held_back = self.cut_by * math.exp((self.cut_at - now) / (SHARE_AGE_S * SECOND))
        return (1.0 - self.failures.value(now)) * (1.0 - held_back)

    def wait_left(self, now: int) -> float:
        return max(0.0, self.wait - DRAIN_PACE * (now - self.wait_at) / SECOND)

    def expected_lately(self, now: int) -> float:
        """On two-leg routes: a tandem is seldom called, and not idle as soon as its last wait has drained."""
        stale = 1.0 - math.exp(DRAIN_PACE * (self.wait_at - now) / SECOND)
        return max(self.expected(now), self.floor + stale * self.waits.value(now))

    def held_up(self, now: int) -> float:
        """How long (s) the unanswered set-ups prove that one waits.

        The oldest proves it, unless answers get lost here: then as many must wait as are unlikely to be all
        lost, or one for long.  Guards against a route that a lost answer shuts, so that nothing overtakes it.
        """
        if not self.out:
            return 0.0
        sent = list(self.out.values())
        since, lost = sent[0], self.strays.value(now)
        if lost > STRAY:
            proof = 2 + int(math.log(UNLIKELY) / math.log(min(0.5, max(lost, UNLIKELY))))
            late = since + int(DOUBT * self.longest_aim_s * SECOND)
            since = min(late, sent[proof - 1] if len(sent) >= proof else now)
            if lost > OFTEN_LOST and now - sent[-1] > TRIAL * self.longest_aim_s * SECOND:
                return 0.0  # the latest has waited for a while too: one more is tried
        return max(0.0, (now - since) / SECOND)

    def expected(self, now: int) -> float:
        """Set-up time (s) that one more set-up must expect; grows with the load that was put on it."""
        self.give_up_on_silent(now)
        wait = max(self.wait_left(now), self.held_up(now) - self.floor)
        return (self.floor + wait) * (1.0 + OWN_SHARE_OF_QUEUE * len(self.out))


def ends(one: int, other: int) -> tuple[int, int]:
    return (one, other) if one < other else (other, one)


class FarEnd(NamedTuple):
    """What all two-leg routes of a call share: the last processor, and what is known of legs to it."""

    good: float  # chance that it takes one more set-up
    setup_s: float
    price: float
    best: float  # score that no tandem can beat
    any_open: float  # chance that a far leg never heard of exists and has room
    open_there: float  # how often legs to this exchange do, over that


class Call:
    """A call that is still owed its final answer, or stands, or has an attempt out."""

    __slots__ = (
        "aim_at", "attempts", "first_at", "kind", "not_before", "o", "out", "ran_at", "ran_office", "stands",
        "tried", "waits_at", "waits_until", "worth",
    )  # fmt: skip

    def __init__(self, offered: interface.CallOffered, kind: interface.CallClass, first_at: int) -> None:
        self.o, self.kind, self.first_at = offered, kind, first_at
        self.aim_at = first_at + min(
            kind.deadline_ns, kind.aim_ns + int(kind.aim_work_factor * offered.expected_work_ns)
        )
        self.attempts = 0
        self.out = -1  # office of the attempt that is out
        self.tried: list[int] = []
        self.ran_office, self.ran_at = -1, 0  # first attempt that may have run
        self.not_before = 0
        self.waits_at, self.waits_until = -1, 0  # office whose circuit it waits for
        self.stands = False
        self.worth = kind.worth


class Controller:
    """One instance: it knows its settings and what its own events told it, and nothing else."""

    def __init__(self, settings: interface.Settings, seed: int) -> None:
        self.s = settings
        self.random = random.Random(seed)
        self.call_classes = {c.name: c for c in settings.classes}
        self.pools = {c.name: p for c, p in zip(settings.classes, settings.pools_by_class, strict=False)}
        self.now = self.started = 0
        self.paused, self.was_paused = 0.0, False  # s since the turn before this one; whether it counts
        self.resumed_at = 0  # last turn after a pause that counts
        self.acts: list[interface.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            interface.TrunkGroupReport: lambda e: self.read_report(
                self.endpoints.get(e.endpoint_id), e.report
            ),
            interface.AttemptEnded: self.attempt_ended,
            interface.CallEstablished: self.call_stands,
            interface.TimerExpired: self.timer_due,
            interface.CallerGone: self.caller_gone,
            interface.ExchangeListUpdate: self.list_news,
            interface.PeerMessage: self.peer_note,
            interface.PoolUpdate: self.pool_news,
        }
        self.endpoints: dict[int, Office] = {}
        self.trunk_groups: dict[int, Group] = {}  # by exchange, whichever processor stands there
        self.in_service: dict[int, Office] = {}  # by exchange, the own one left out
        self.calls: dict[str, Call] = {}
        self.queued_calls: dict[int, list[str]] = {}  # calls held for a circuit, by office
        self.far: dict[tuple[int, int], Leg] = {}  # by the exchanges at its ends, lower number first
        self.circuits = 0.0  # of all own groups
        self.notes: dict[int, tuple[int, int, int]] = {}  # by exchange: bits of its groups, with room, when
        self.all_legs = Share(RATE_AGE_S)  # own pairs, and first trials of far legs
        self.numbers: dict[int, Share] = {}  # busy lines, by number called
        self.tenants = {t.name: t for t in settings.tenants}
        self.tenant_calls: dict[str, Share] = {}  # own first tries
        self.first_tries: dict[int, int] = {}  # first try of callers sent away, by number called
        self.mean_worth = min(c.worth / c.width for c in settings.classes)
        self.mean_holding: float = min(c.holding_ns for c in settings.classes)
        self.tightest_aim = min(c.aim_ns for c in settings.classes) / SECOND
        self.longest_aim = max(c.aim_ns for c in settings.classes) / SECOND
        self.ask_pause, self.asked = SECOND, False

    def step(self, now: int, events: Iterable[interface.Event]) -> list[interface.Action]:
        """Outcomes and news of a batch come before its new calls, and those by worth.

        Guards against a pause of the own controller, after which all that came meanwhile stands in one batch
        and cheap calls would take the last circuits.  Harm: none seen; mostly a batch holds one call.
        """
        self.paused = (now - self.now) / SECOND if self.now else 0.0
        self.started, self.now, self.acts = self.started or now, now, []
        self.was_paused = self.paused > self.tightest_aim / REDIALS_IN_AIM  # lags may hold the pause
        self.resumed_at = now if self.was_paused else self.resumed_at
        offered: dict[str, interface.CallOffered] = {}
        for event in events:
            if isinstance(event, interface.CallOffered):
                offered[event.call_id] = event
                continue
            if isinstance(event, interface.CallerGone):
                offered.pop(event.call_id, None)
            self.handlers[type(event)](event)
        for call in sorted(offered.values(), key=lambda c: -self.kind_of(c).worth / c.width):
            self.offered(call)
        return self.acts

    def kind_of(self, offered: interface.CallOffered) -> interface.CallClass:
        kind = self.call_classes.get(offered.class_name)  # an unknown class counts as the cheapest
        return kind or min(self.s.classes, key=lambda c: c.worth)

    # --- Scoring ------------------------------------------------------------------------------------------

    def best_route(self, call: Call) -> tuple[float, Office | None]:
        """The best score above zero and the first office of its route; equal tandems are drawn.

        Tandems are not looked at where even an idle one with all circuits free could not score more.
        """
        destination = call.o.destination
        meshed = self.s.layout == "meshed"
        last = self.in_service.get(destination)
        if meshed and last is None:
            return 0.0, None
        pools = () if meshed else self.pools.get(call.kind.name, ())
        best_score, best = 0.0, None
        if last is not None and not (pools and destination not in pools):
            score = self.score(call, last, None, None)
            if score > 0.0 and self.may_send(call, last):
                best_score, best = score, last
        beyond = self.far_end(call, last) if meshed and last is not None else None
        if call.o.in_transit or (beyond is not None and best_score >= beyond.best):
            return best_score, best
        for exchange, office in self.in_service.items():
            if office is last or (pools and exchange not in pools):
                continue
            score = self.score(call, office, office, beyond)
            tie = score == best_score and best is not None and self.random.random() < 0.5
            if (score > best_score or tie) and self.may_send(call, office):
                best_score, best = score, office
        return best_score, best

    def in_time(self, call: Call, setup_s: float) -> float:
        """Share of the worth that a set-up expected to take ``setup_s`` earns: in the aim, or late."""
        ends = call.o.deadline_ns
        left = [(until - self.now) / SECOND for until in (min(call.aim_at, ends), ends)]
        aim, end = (1.0 / (1.0 + (setup_s / s) ** STEEPNESS) if s > 0 else 0.0 for s in left)
        return aim + call.kind.late_share * (end - aim)

    def work_price(self, setup_s: float) -> float:
        """Worth displaced by one more set-up at a processor: those behind it come later by its work.

        An idle processor's own set-up time counts too, as the price of the work itself.
        """
        repeats = math.log2(1.0 + setup_s * SECOND / self.s.resend_ns) if self.s.resend_ns else 0.0
        return PRESS * self.mean_worth * setup_s / self.tightest_aim * (1.0 + 0.5 * repeats)

    def circuit_price(self, call: Call, group: Group) -> float:
        return self.mean_worth * group.displaced(call.o.width) * call.kind.holding_ns / self.mean_holding

    def far_end(self, call: Call, last: Office) -> FarEnd:
        setup_s = last.expected_lately(self.now)
        good, price = last.accepts(self.now), self.work_price(setup_s)
        best = call.worth * good * self.in_time(call, setup_s) - price - HANDICAP * self.mean_worth
        any_open = 1.0 - self.all_legs.value(self.now, 0.0)
        there = (1.0 - last.group.legs.value(self.now, 1.0 - any_open)) / max(any_open, 0.01)
        return FarEnd(good, setup_s, price, best, any_open, there)

    def far_fails(self, tandem: Office, destination: int, beyond: FarEnd) -> float:
        """Failure probability of the leg from a tandem to the destination: by a note, else by outcomes."""
        exchange = tandem.entry.exchange
        leg = self.far.get(ends(exchange, destination))
        note, other = self.notes.get(exchange), destination
        if note is None:
            note, other = self.notes.get(destination), exchange
        if note is None:
            open_here = 1.0 - tandem.group.legs.value(self.now, 1.0 - beyond.any_open)
            untried = 1.0 - min(1.0, open_here * beyond.open_there)
            return leg.fails(self.now, untried) if leg else untried
        there, room, told_at = note
        if not there >> other & 1:
            return 1.0
        full = 0.0 if room >> other & 1 else math.exp((told_at - self.now) / (SHARE_AGE_S * SECOND))
        return max(full, leg.value(self.now)) if leg else full

    def score(self, call: Call, first: Office, tandem: Office | None, beyond: FarEnd | None) -> float:
        group = first.group
        if group.free < call.o.width:
            return -1.0
        setup_s = first.expected(self.now) if tandem is None else first.expected_lately(self.now)
        good = first.accepts(self.now)
        legs = 1.0
        cost = self.work_price(setup_s) + (HANDICAP * self.mean_worth if tandem is not None else 0.0)
        if tandem is not None and beyond is not None:
            legs = LEGS
            far = self.far_fails(tandem, call.o.destination, beyond)
            good *= beyond.good * (1.0 - far)
            setup_s += beyond.setup_s + tandem.in_transit.value(self.now)
            cost += (1.0 - far) * beyond.price
        busy_lines = self.numbers.get(call.o.number)
        if busy_lines is not None:
            good *= 1.0 - busy_lines.value(self.now)
        cost += legs * self.circuit_price(call, group)
        return call.worth * good * self.in_time(call, setup_s) - cost

    def wait_score(self, call: Call, office: Office) -> float:
        """Waiting for a circuit as a route: the paper's queue with abandonment."""
        until = min(call.aim_at, call.o.deadline_ns)
        left = (until - self.now) / SECOND * HOLD_SHARE
        group = office.group
        if left <= 0 or group.size < call.o.width:
            return -1.0
        freed = (group.size - group.free) / (call.kind.holding_ns / SECOND) / 2  # a second; half for this end
        ahead = sum(
            1
            for c in self.queued_calls.get(office.entry.endpoint_id, ())
            if self.calls[c].worth >= call.worth
        )
        need = max(call.o.width, call.o.width + ahead - group.free)
        good = office.accepts(self.now) * math.exp(-need / max(0.01, freed * left))
        cost = self.work_price(office.expected(self.now)) + self.circuit_price(call, group)
        return call.worth * good * self.in_time(call, office.expected(self.now)) - cost

    # --- Call life ----------------------------------------------------------------------------------------

    def offered(self, event: interface.CallOffered) -> None:
        kind = self.kind_of(event)
        call = Call(event, kind, self.first_try(event, kind))
        call.worth = kind.worth * self.within_share(call)
        self.mean_holding += 0.02 * (kind.holding_ns - self.mean_holding)
        self.mean_worth += 0.02 * (call.worth / event.width - self.mean_worth)
        self.calls[event.call_id] = call
        if (
            event.in_transit and {event.via_exchange, event.destination} <= self.trunk_groups.keys()
        ):  # no direct way there
            self.leg(event.via_exchange, event.destination).add(self.now, 1.0)
        self.decide(call)

    def first_try(self, event: interface.CallOffered, kind: interface.CallClass) -> int:
        """When the caller first tried: the aim runs from there, so a late redial earns only the late share.

        Known by the number called of tries sent away; a call that was cut starts anew.
        """
        if event.in_transit or event.replaces_cut_call or not (event.redialled or not self.s.redials_marked):
            return self.now
        first = self.first_tries.pop(event.number, self.now)
        return first if self.now - first < kind.deadline_ns else self.now

    def within_share(self, call: Call) -> float:
        """Share of the worth that a call of this tenant may expect, given what the tenant asks for.

        Guards against a tenant beyond its share crowding out the others; own first tries stand for those of
        all exchanges.  Harm: an exchange with more of a tenant's calls than the others have is too strict.
        """
        tenant = self.tenants.get(call.o.tenant)
        if tenant is None or tenant.quota_per_s <= 0 or call.o.in_transit:
            return 1.0
        calls = self.tenant_calls.setdefault(tenant.name, Share(RATE_AGE_S))
        if not call.o.redialled:
            calls.add(self.now, 0.0)
        seen_for = 1.0 - math.exp((self.started - self.now) / (RATE_AGE_S * SECOND))
        asked = calls.seen / RATE_AGE_S / max(0.1, seen_for) * self.s.controllers
        inside = min(1.0, tenant.quota_per_s / asked) if asked > 0 else 1.0
        return inside + (1.0 - inside) * self.s.over_share_worth

    def decide(self, call: Call, may_wait: bool = True) -> None:
        """Send on the best route; else hold for a circuit; else give the final answer."""
        if self.now < call.not_before:
            return
        best_score, best = 0.0, None
        if call.attempts < self.s.max_attempts and self.now < call.o.deadline_ns:
            best_score, best = self.best_route(call)
            direct = self.in_service.get(call.o.destination)
            if direct is not None and not self.in_pools(call, direct):
                direct = None
            if may_wait and not call.o.in_transit and call.waits_until == 0 and direct is not None:
                untried = best is not direct and direct.entry.endpoint_id not in call.tried
                if untried and self.wait_score(call, direct) > best_score:
                    self.hold(call, direct)
                    return
        if best is None:
            self.answer_no(call)
        else:
            self.send(call, best)

    def send(self, call: Call, office: Office) -> None:
        number = office.entry.endpoint_id
        call.attempts += 1
        call.out = number
        call.tried.append(number)
        office.out[call.o.call_id] = self.now
        office.group.free -= call.o.width
        if self.now < office.cold_until:
            office.cold_sends.append(self.now)
        self.acts.append(interface.SendSetUp(call.o.call_id, number, 0))

    def hold(self, call: Call, office: Office) -> None:
        left = min(call.aim_at, call.o.deadline_ns) - self.now
        call.waits_until = self.now + int(left * HOLD_SHARE)
        call.waits_at = office.entry.endpoint_id
        self.queued_calls.setdefault(call.waits_at, []).append(call.o.call_id)
        self.acts.append(interface.SetTimer(call.waits_until - self.now, call.o.call_id))

    def serve_waiting(self, office: Office) -> None:
        """Circuits have come free: most worth first, then in order of arrival."""
        queue = self.queued_calls.get(office.entry.endpoint_id, [])
        queue.sort(key=lambda c: -self.calls[c].worth / self.calls[c].o.width)
        for name in list(queue):
            call = self.calls[name]
            if office.group.free < 1:
                break
            if self.may_send(call, office) and self.score(call, office, None, None) > 0.0:
                self.stop_waiting(call)
                self.send(call, office)

    def stop_waiting(self, call: Call) -> None:
        if call.waits_at >= 0:
            self.queued_calls[call.waits_at].remove(call.o.call_id)
            call.waits_at = -1

    def answer_no(self, call: Call) -> None:
        """The final answer: refused, or given up where a refusal would claim that nothing ran."""
        bound = call.kind.repeat == "single_shot" or call.kind.repeat_scope != "all"
        if call.ran_office >= 0 and call.kind.repeat != "free" and bound:
            self.acts.append(interface.FailCall(call.o.call_id))
        else:
            advice = call.kind.aim_ns // REDIALS_IN_AIM if self.s.may_send_retry_after else 0
            self.acts.append(interface.RefuseCall(call.o.call_id, 0 if call.o.in_transit else advice))
        self.forget(call)

    def forget(self, call: Call) -> None:
        if not (call.stands or call.o.in_transit):
            self.first_tries.pop(call.o.number, None)
            if len(self.first_tries) >= MAX_NUMBERS:
                del self.first_tries[next(iter(self.first_tries))]
            self.first_tries[call.o.number] = call.first_at
        self.stop_waiting(call)
        self.calls.pop(call.o.call_id, None)

    def call_stands(self, event: interface.CallEstablished) -> None:
        office, call = self.endpoints.get(event.endpoint_id), self.calls.get(event.call_id)
        sent_at, lag_s = office.out.pop(event.call_id, None) if office else None, event.latency_ns / SECOND
        if office is not None and sent_at is not None:
            via = False
            if call is not None:
                via = office.entry.exchange != call.o.destination
                if via and self.s.layout == "meshed" and call.o.destination in self.in_service:
                    last = self.in_service[call.o.destination]
                    self.tried_leg(office.entry.exchange, call.o.destination, 0.0)
                    self.transit_took(office, lag_s - last.expected(self.now))
                    last.answered(self.now, lag_s, True)
                if call.o.number in self.numbers:
                    self.numbers[call.o.number].add(self.now, 0.0)
            self.overtaken(office, sent_at)
            office.failures.add(self.now, 0.0)
            office.answered(self.now, lag_s, via or self.was_paused or sent_at == self.resumed_at)
            office.strays.add(self.now, 0.0)
        if call is not None:
            call.stands = True

    def overtaken(self, office: Office, sent_at: int) -> None:
        """What was sent before a set-up that is answered now waits in no line: a processor has one line.

        Guards against one lost or late answer counting as the wait of a processor that answers all others.
        A set-up over a tandem is left out: its answer has further to come.
        """
        for name, at in list(office.out.items()):
            call = self.calls.get(name)
            if at > sent_at - int(office.floor * SECOND):  # closer ones may swap places on the way
                break
            if call is None or call.o.destination == office.entry.exchange or self.s.layout != "meshed":
                del office.out[name]
                office.strays.add(self.now, 1.0)
                if call is not None and self.s.may_cancel and call.kind.repeat == "free":
                    wait = int(LOST_AFTER * call.kind.aim_ns) - (self.now - at)
                    self.acts.append(interface.SetTimer(max(1, wait), f"{LOST} {call.attempts} {name}"))

    def try_again(self, name: str, attempts: int) -> None:
        """Its answer is lost, as later ones came: cancelled, the call may go again, the same way too."""
        call = self.calls.get(name)
        if call is None or call.stands or call.out < 0 or call.attempts != attempts:
            return
        if attempts < self.s.max_attempts and self.now + self.s.release_ns < call.o.deadline_ns:
            call.tried.remove(call.out)
            self.acts.append(interface.CancelSetUp(name, attempts - 1))

    def transit_took(self, tandem: Office, lag_s: float) -> None:
        """What a tandem's controller adds to the set-up time: it may stand still while its processor runs."""
        if not self.was_paused:
            tandem.in_transit.add(self.now, max(0.0, lag_s - tandem.expected(self.now)))

    def attempt_ended(self, event: interface.AttemptEnded) -> None:
        office, call = self.endpoints.get(event.endpoint_id), self.calls.get(event.call_id)
        if office is not None:
            self.read_report(office, event.report)
            unanswered = office.out.pop(event.call_id, None) is not None
            if call is not None and call.out == event.endpoint_id:
                self.learn(office, call, event, unanswered)
        if call is None or call.out != event.endpoint_id or call.attempts != event.attempt + 1:
            return
        call.out = -1
        if event.call_ended:
            self.forget(call)
            return
        fault = event.outcome == "server_error" and event.cause != BUSY_LINES
        if (fault or event.cause == interface.CAUSE_CONNECTION_FAILED) and event.endpoint_id in call.tried:
            # The route is as good as before.  Guards calls against an exchange that fails a share of its
            # set-ups, each for itself.  Harm: one that fails all of them costs more work.
            call.tried.remove(event.endpoint_id)
        if event.outcome in MAY_HAVE_RUN and call.ran_office < 0:
            call.ran_office, call.ran_at = event.endpoint_id, self.now - event.latency_ns
        if self.now >= call.o.deadline_ns:
            self.acts.append(interface.FailCall(call.o.call_id))
            self.forget(call)
        elif (event.outcome, event.cause) in (("server_error", BUSY_LINES), ("not_sent", 3)):
            self.answer_no(call)  # the lines are busy, or the own processor is down, by every route
        elif event.outcome in RELEASE_AWAITED_OUTCOMES and self.s.release_ns:
            call.not_before = self.now + self.s.release_ns
            if call.not_before >= call.o.deadline_ns:
                self.answer_no(call)
            else:
                self.acts.append(interface.SetTimer(self.s.release_ns, call.o.call_id))
        else:
            self.decide(call)

    def learn(self, office: Office, call: Call, event: interface.AttemptEnded, unanswered: bool) -> None:
        """Book a failed attempt to the processor, the far leg or the number that failed it."""
        via = office.entry.exchange != call.o.destination and self.s.layout == "meshed"
        if event.cause == interface.CAUSE_CONNECTION_FAILED:
            return  # guards against healthy processors being shunned for their connections' faults
        if event.cause == 1:  # no circuit or agent, also where no size was ever told
            office.group.free = min(office.group.free, call.o.width - 1)
        elif event.outcome == "turned_away":
            if event.cause % 16 == 2:
                office.failures.add(self.now, 0.0)
                self.tried_leg(office.entry.exchange, call.o.destination, 1.0)
                self.transit_took(office, event.latency_ns / SECOND)
                last = self.in_service.get(call.o.destination)
                if event.cause == 18 and last is not None:
                    last.failures.add(self.now, 1.0)
            elif event.cause % 16 == 3:
                office.failed(self.now, 1.0, event.cause // 16 / 1000.0)
        elif unanswered and event.outcome in ("no_answer", "no_connection", "connection_lost"):
            office.failed(self.now, 0.5 if via else 1.0)
        elif event.outcome == "server_error" and event.cause == BUSY_LINES:
            if call.o.number not in self.numbers and len(self.numbers) >= MAX_NUMBERS:
                del self.numbers[next(iter(self.numbers))]
            self.numbers.setdefault(call.o.number, Share()).add(self.now, 1.0)

    def caller_gone(self, event: interface.CallerGone) -> None:
        call = self.calls.get(event.call_id)
        if call is None:
            return
        office = self.endpoints.get(call.out)
        if office is not None and event.call_id in office.out:
            office.left_waiting(self.now, (self.now - office.out[event.call_id]) / SECOND - self.paused)
            del office.out[event.call_id]
        self.forget(call)

    def timer_due(self, event: interface.TimerExpired) -> None:
        if event.timer_id in ("list", "note"):
            return self.ask_list() if event.timer_id == "list" else self.tell_peers()
        if event.timer_id.startswith(LOST):
            _, attempts, name = event.timer_id.split(" ", 2)
            return self.try_again(name, int(attempts))
        call = self.calls.get(event.timer_id)
        if call is not None and call.out < 0 and not call.stands and self.now >= call.not_before:
            self.stop_waiting(call)
            self.decide(call, may_wait=False)

    # --- Reports and the exchange list ----------------------------------------------------------------

    def read_report(self, office: Office | None, report: interface.LoadReport | None) -> None:
        """Own circuits are true at that time; far figures sharpen the estimate where they are told."""
        if office is None or report is None:
            return
        for name, value in report.metrics:
            if name == "cut_by" and 0.0 <= value <= 1.0:
                office.cut_by, office.cut_at = value, self.now
            if (
                name == "svc_ms" and value >= 0
            ):  # a crashed processor may report days: past the aims is enough
                office.wait, office.wait_at = min(value / 1000.0, SILENCE * self.longest_aim), self.now
        if report.size >= 0:
            if office.group.size < 0:
                for share in (self.all_legs, office.group.legs):  # an own pair without one is as good a hint
                    share.add(self.now, float(report.size < 1))
                self.circuits += report.size
            office.group.told(self.now, report.free, report.size)
            self.serve_waiting(office)

    def leg(self, one: int, other: int) -> Leg:
        return self.far.setdefault(ends(one, other), Leg())

    def tried_leg(self, one: int, other: int, bad: float) -> None:
        leg = self.leg(one, other)
        if leg.seen == 0.0:
            for share in (
                self.all_legs,
                *(self.trunk_groups[n].legs for n in (one, other) if n in self.trunk_groups),
            ):
                share.add(self.now, bad)
        leg.add(self.now, bad)

    def list_news(self, event: interface.ExchangeListUpdate) -> None:
        if event.kind == "unavailable":
            self.acts.append(interface.SetTimer(self.ask_pause, "list"))
            self.ask_pause = min(2 * self.ask_pause, max(SECOND, self.s.list_query_deadline_ns // 4))
            return
        self.ask_pause = SECOND
        known_before = bool(self.endpoints)
        named = {e.endpoint_id for e in event.entries}
        for entry in event.entries:
            office = self.endpoints.get(entry.endpoint_id)
            restarted = office is not None and entry.started_ns > office.entry.started_ns
            if office is None or restarted:
                group = self.trunk_groups.setdefault(entry.exchange, Group())  # a replacement takes it over
                fresh = Office(entry, group, self.longest_aim)
                if office is not None:
                    fresh.out = office.out
                if entry.started_ns or known_before:
                    fresh.cold_until = (entry.started_ns or self.now) + self.s.cold_ns
                self.endpoints[entry.endpoint_id] = fresh
            else:
                office.entry = entry
        if event.kind != "update":
            for number, office in self.endpoints.items():
                if number not in named:
                    office.entry = replace(office.entry, state="terminated")
        if len(self.endpoints) > OFFICES_KEPT:  # the table stays bounded: forget those long replaced
            held = {c.out for c in self.calls.values()} | {c.ran_office for c in self.calls.values()}
            for number, office in list(self.endpoints.items()):
                if office.entry.state == "terminated" and number not in held:
                    del self.endpoints[number]
        self.in_service = {}
        for office in self.endpoints.values():
            if office.entry.state == "in_service" and office.entry.exchange != self.s.own_exchange:
                self.in_service.setdefault(office.entry.exchange, office)
        if self.s.may_message_peers and not known_before and 0 <= self.s.own_exchange < NOTE_BITS:
            self.acts.append(interface.SetTimer(SECOND * (self.s.rank + 1) // self.s.controllers, "note"))
        if self.s.discovery == "ask" and not self.asked:
            self.ask_list()

    def in_pools(self, call: Call, office: Office) -> bool:
        pools = () if self.s.layout == "meshed" else self.pools.get(call.kind.name, ())
        return not pools or office.entry.exchange in pools

    def pool_news(self, event: interface.PoolUpdate) -> None:
        """A call that waits for a circuit where its class may no longer go is decided anew."""
        self.pools[event.class_name] = event.exchanges or (-1,)  # no exchange: none, where () is any
        for office in [
            self.endpoints[n] for n, queue in self.queued_calls.items() if queue and n in self.endpoints
        ]:
            for call in [self.calls[name] for name in self.queued_calls[office.entry.endpoint_id]]:
                if not self.in_pools(call, office):
                    self.stop_waiting(call)
                    self.decide(call, may_wait=False)

    def ask_list(self) -> None:
        self.asked = True
        self.acts.append(interface.WatchExchangeList())

    # --- Notes between controllers ------------------------------------------------------------------------

    def tell_peers(self) -> None:
        """Tell the others which own groups are there, and which have room for more than their own calls.

        It spares the trials by which far legs are learned.  Notes may be lost, and age: a group that is not
        there is believed until the next note, a full one for a short while.
        """
        there = room = 0
        for exchange, group in self.trunk_groups.items():
            if group.size >= 1 and 0 <= exchange < NOTE_BITS:
                there |= 1 << exchange
                room |= (group.free >= 1 and group.displaced(1) < 0.5) << exchange
        size = there.bit_length() // 8 + 1
        parts = ((NOTE, 1), (self.s.own_exchange, 2), (there, size), (room, size))
        self.acts.append(
            interface.SendPeerMessage(-1, b"".join(n.to_bytes(length, "big") for n, length in parts))
        )
        pause_s = self.s.controllers / max(0.1, self.planned_rate() * NOTES_A_CALL)
        self.acts.append(interface.SetTimer(int(max(SHARE_AGE_S, pause_s) * SECOND), "note"))

    def peer_note(self, event: interface.PeerMessage) -> None:
        text = event.payload
        size = (len(text) - 3) // 2
        if size < 1 or len(text) != 3 + 2 * size or text[0] != NOTE:
            return
        exchange = int.from_bytes(text[1:3], "big")
        if exchange in self.trunk_groups:
            there, room = (int.from_bytes(text[n : n + size], "big") for n in (3, 3 + size))
            self.notes[exchange] = (there, room, self.now)

    # --- Guards -------------------------------------------------------------------------------------------

    def may_send(self, call: Call, office: Office) -> bool:
        """Rules 2 to 4, checked before every send whatever the score says."""
        if office.entry.state != "in_service" or call.out >= 0 or office.entry.endpoint_id in call.tried:
            return False
        if call.ran_office >= 0 and call.kind.repeat != "free":
            if call.kind.repeat == "single_shot":
                return False
            ran, here, scope = self.endpoints[call.ran_office].entry, office.entry, call.kind.repeat_scope
            same = ran.zone == here.zone if scope == "zone" else ran.exchange == here.exchange
            if not (same or scope == "all") or self.now >= call.ran_at + call.kind.repeat_window_ns:
                return False
        return self.now >= office.cold_until or self.within_cold_budget(office)

    def planned_rate(self) -> float:
        """Calls a second, out or in, that an exchange's circuits or a pool's agents are built for."""
        shared_by = 2 if self.s.layout == "meshed" else max(1, len(self.trunk_groups))
        return self.circuits / shared_by / (self.mean_holding / SECOND)

    def within_cold_budget(self, office: Office) -> bool:
        """Guards against pushing over a processor that has just started (rule 4).

        Every controller keeps to its part of what the processor bears at its start, guessed from the own
        circuits, which no flood of calls changes; under one set-up a window, to one in so many, the first by
        rank, so that the sum keeps at any size.  Harm: a small exchange turns calls away too early.
        """
        bears = self.planned_rate() * self.s.start_capacity * self.s.fall_multiple * self.s.fall_ns / SECOND
        part = bears * 2 * COLD_CAUTION / self.s.controllers
        window = int(self.s.fall_ns / max(min(part, 1.0), 0.01))
        office.cold_sends = [t for t in office.cold_sends if t > self.now - window]
        turn = (window - self.s.fall_ns) * self.s.rank // self.s.controllers
        in_turn = office.cold_until - self.s.cold_ns + turn
        return self.now >= in_turn and len(office.cold_sends) < max(1, int(part))
