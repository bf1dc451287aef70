"""An exhaustive check of the lease protocol within bounds: every order of steps, losses, crashes and clocks.

The states are the protocol's own values (``leases``), not a model of them.  From a start state every step
that can be taken is taken, breadth first, each state once: an instance asks or renews, time goes on, a
message arrives, is lost or arrives twice, an instance crashes and starts again, a holder gives back.  In
no state may two instances hold one duty, and no epoch may ever have been held by two.

Time goes on in ticks; in a tick each clock moves by its own rate, so that clocks drift apart by the stated
bound.  Only differences of time matter, so every state is shifted back to one clock reading: what would go on
for ever comes round.  ``Broken`` leaves one safeguard out; the check has to find what it is for.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import product

from arrowrail.leases import claim as claim_ops
from arrowrail.leases.claim import Claim
from arrowrail.leases.config import LeaseConfig
from arrowrail.leases.promise import (
    NO_PROMISE,
    AcquireRequest,
    Promise,
    Release,
    Reply,
    answer_request,
    apply_release,
    restore_promise,
)

NOMINAL, SLOW, FAST = 4, 3, 5  # what a clock moves in a tick
DRIFT_PPM = 250_000  # so that SLOW and FAST are at the bound
PROMISE_DURATION = 8  # of a promise: two ticks of a nominal clock
INSTANCES = ("a", "b", "c")
CANDIDATES = 2  # a and b ask; c grants only
BASE_TIME = 1000  # what every clock reads in every state


@dataclass(frozen=True, slots=True)
class DisabledSafeguards:
    """Safeguards that are left out."""

    no_margin: bool = False  # a holder counts on the whole length of a promise
    no_quorum: bool = False  # one vote is enough
    no_memory: bool = False  # a promise is forgotten in a crash, and nothing is sat out


ALL_SAFEGUARDS = DisabledSafeguards()


@dataclass(frozen=True, slots=True)
class Bounds:
    duties: int = 1
    depth: int = 10
    max_in_flight: int = 2  # asks are made while fewer messages are on their way
    epochs: int = 2
    duplicates: int = 0
    crashes: int = 1
    states: int = 500_000


@dataclass(frozen=True, slots=True)
class InFlight:
    sender: int
    receiver: int
    message: AcquireRequest | Reply | Release


@dataclass(frozen=True, slots=True)
class State:
    promises: tuple[tuple[Promise, ...], ...]  # by instance, by duty
    claims: tuple[tuple[Claim, ...], ...]
    in_flight: frozenset[InFlight] = frozenset()
    held_epochs: frozenset[tuple[int, int, int]] = frozenset()  # duty, epoch, holder: held at some time
    duplicates: int = 0
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class CheckResult:
    states: int
    violation: str = ""
    trace: tuple[str, ...] = ()
    complete: bool = True


def _packet_sort_key(packet: InFlight) -> tuple[int, int, str, str, int, int]:
    message = packet.message
    return (
        packet.sender,
        packet.receiver,
        type(message).__name__,
        message.duty,
        message.epoch,
        getattr(message, "round", 0),
    )


class WeakenedConfig(LeaseConfig):
    """Terms with a safeguard left out."""

    __slots__ = ()
    disabled = DisabledSafeguards()

    @property
    def holder_duration_ns(self) -> int:
        return self.duration_ns if self.disabled.no_margin else LeaseConfig.holder_duration_ns.fget(self)  # type: ignore[attr-defined]

    def is_quorum(self, granted: object) -> bool:
        if self.disabled.no_quorum:
            return bool(granted)
        return LeaseConfig.is_quorum(self, granted)  # type: ignore[arg-type]


class Checker:
    def __init__(
        self, rates: tuple[int, ...], bounds: Bounds, disabled: DisabledSafeguards = ALL_SAFEGUARDS
    ) -> None:
        self.rates, self.bounds, self.disabled = rates, bounds, disabled
        config_type = type("T", (WeakenedConfig,), {"disabled": disabled, "__slots__": ()})
        self.config: LeaseConfig = config_type(PROMISE_DURATION, DRIFT_PPM, frozenset(INSTANCES))
        self.duties = tuple(f"d{n}" for n in range(bounds.duties))

    def start(self) -> State:
        count = len(INSTANCES)
        return State(
            ((NO_PROMISE,) * len(self.duties),) * count,
            tuple(tuple(Claim(duty, name) for duty in self.duties) for name in INSTANCES),
        )

    # --- The search -------------------------------------------------------------------------------------

    def run(self) -> CheckResult:
        start_state = self.start()
        predecessors: dict[State, tuple[State, str] | None] = {start_state: None}
        queue = deque([(start_state, 0)])
        complete = True
        while queue:
            state, depth = queue.popleft()
            if depth >= self.bounds.depth:
                continue
            for step, next_state in self.steps(state):
                next_state = self._record_holders(next_state)
                if next_state in predecessors:
                    continue
                predecessors[next_state] = (state, step)
                violation = self._find_violation(next_state)
                if violation:
                    return CheckResult(len(predecessors), violation, self._trace(predecessors, next_state))
                if len(predecessors) >= self.bounds.states:
                    return CheckResult(len(predecessors), complete=False)
                queue.append((next_state, depth + 1))
        return CheckResult(len(predecessors), complete=complete)

    @staticmethod
    def _trace(predecessors: dict[State, tuple[State, str] | None], state: State) -> tuple[str, ...]:
        steps: list[str] = []
        previous = predecessors[state]
        while previous is not None:
            steps.append(previous[1])
            previous = predecessors[previous[0]]
        return tuple(reversed(steps))

    # --- Safety -----------------------------------------------------------------------------------------

    def _current_holders(self, state: State) -> Iterator[tuple[int, int, int]]:
        for instance, claims in enumerate(state.claims):
            for duty_index, claim in enumerate(claims):
                if claim_ops.is_held(claim, BASE_TIME):
                    yield duty_index, claim.epoch, instance

    def _record_holders(self, state: State) -> State:
        held = frozenset(self._current_holders(state))
        return state if held <= state.held_epochs else replace(state, held_epochs=state.held_epochs | held)

    def _find_violation(self, state: State) -> str:
        holder_of: dict[int, int] = {}
        for duty, _, instance in self._current_holders(state):
            if duty in holder_of:
                return f"{INSTANCES[holder_of[duty]]} and {INSTANCES[instance]} hold {self.duties[duty]}"
            holder_of[duty] = instance
        epochs: dict[tuple[int, int], int] = {}
        for duty, epoch, instance in state.held_epochs:
            if epochs.setdefault((duty, epoch), instance) != instance:
                return f"epoch {epoch} of {self.duties[duty]} was held by two"
        return ""

    # --- Steps ------------------------------------------------------------------------------------------

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield "time goes on", self._advance_clocks(state)
        for instance, duty_index in product(range(CANDIDATES), range(len(self.duties))):
            claim, duty = state.claims[instance][duty_index], self.duties[duty_index]
            if len(state.in_flight) < self.bounds.max_in_flight:
                if (
                    claim.phase == claim_ops.IDLE
                    and max(claim.highest_epoch, claim.epoch) < self.bounds.epochs
                ):
                    started = claim_ops.start_acquire(claim, BASE_TIME, self.config)
                    yield (
                        f"{INSTANCES[instance]} asks for {duty}",
                        self._send_request(state, instance, duty_index, *started),
                    )
                elif claim.phase == claim_ops.HOLDING and not claim.requested_at:
                    started = claim_ops.start_renewal(claim, BASE_TIME, self.config)
                    yield (
                        f"{INSTANCES[instance]} renews {duty}",
                        self._send_request(state, instance, duty_index, *started),
                    )
            if claim.phase == claim_ops.HOLDING:
                idle_claim, release = claim_ops.release_claim(claim, BASE_TIME)
                assert release is not None
                yield (
                    f"{INSTANCES[instance]} gives {duty} back",
                    self._send_release(
                        self._with_claim(state, instance, duty_index, idle_claim), instance, release
                    ),
                )
        for packet in sorted(
            state.in_flight, key=_packet_sort_key
        ):  # a set's own order changes from run to run
            message_type = type(packet.message).__name__.lower()
            label = f"{message_type} {INSTANCES[packet.sender]} to {INSTANCES[packet.receiver]}"
            remaining = replace(state, in_flight=state.in_flight - {packet})
            yield f"{label} arrives", self._deliver(remaining, packet)
            yield f"{label} is lost", remaining
            if state.duplicates < self.bounds.duplicates:
                redelivered = self._deliver(replace(state, duplicates=state.duplicates + 1), packet)
                yield f"{label} arrives, and will again", redelivered
        if state.crashes < self.bounds.crashes:
            for instance in range(len(INSTANCES)):
                yield f"{INSTANCES[instance]} crashes and starts", self._restart(state, instance)

    def _advance_clocks(self, state: State) -> State:
        """Each clock moves by its rate, and everything is shifted back by it."""
        promises = tuple(
            tuple(
                replace(p, expires_at=max(0, p.expires_at - rate) if p.expires_at - rate > BASE_TIME else 0)
                for p in row
            )
            for row, rate in zip(state.promises, self.rates, strict=True)
        )
        claims = tuple(
            tuple(self._shift_claim(claim, rate) for claim in row)
            for row, rate in zip(state.claims, self.rates, strict=True)
        )
        return replace(state, promises=promises, claims=claims)

    def _shift_claim(self, claim: Claim, rate: int) -> Claim:
        claim = claim_ops.advance_time(claim, BASE_TIME + rate, self.config, 0)
        requested_at = claim.requested_at - rate if claim.requested_at else 0
        expires_at = claim.expires_at - rate if claim.phase == claim_ops.HOLDING else 0
        return replace(claim, requested_at=requested_at, expires_at=expires_at, not_before=0)

    def _with_claim(self, state: State, instance: int, duty_index: int, claim: Claim) -> State:
        row = (*state.claims[instance][:duty_index], claim, *state.claims[instance][duty_index + 1 :])
        return replace(state, claims=(*state.claims[:instance], row, *state.claims[instance + 1 :]))

    def _send_request(
        self, state: State, instance: int, duty_index: int, claim: Claim, request: AcquireRequest
    ) -> State:
        state = self._with_claim(state, instance, duty_index, claim)
        state = self._answer_request(state, instance, instance, request)
        others = [other for other in range(len(INSTANCES)) if other != instance]
        return replace(
            state, in_flight=state.in_flight | {InFlight(instance, other, request) for other in others}
        )

    def _send_release(self, state: State, instance: int, release: Release) -> State:
        duty_index = self.duties.index(release.duty)
        promise = apply_release(state.promises[instance][duty_index], BASE_TIME, release)
        state = self._with_promise(state, instance, duty_index, promise)
        free_slots = self.bounds.max_in_flight + 2 - len(state.in_flight)
        others = [other for other in range(len(INSTANCES)) if other != instance][: max(0, free_slots)]
        return replace(
            state, in_flight=state.in_flight | {InFlight(instance, other, release) for other in others}
        )

    def _with_promise(self, state: State, instance: int, duty_index: int, promise: Promise) -> State:
        row = (*state.promises[instance][:duty_index], promise, *state.promises[instance][duty_index + 1 :])
        return replace(state, promises=(*state.promises[:instance], row, *state.promises[instance + 1 :]))

    def _answer_request(self, state: State, grantor: int, requester: int, request: AcquireRequest) -> State:
        duty_index = self.duties.index(request.duty)
        now = BASE_TIME
        promise, reply = answer_request(state.promises[grantor][duty_index], now, request, self.config)
        reply = replace(reply, retry_after_ns=0)
        state = self._with_promise(state, grantor, duty_index, promise)
        if grantor == requester:
            claim = claim_ops.apply_reply(
                state.claims[requester][duty_index], INSTANCES[grantor], reply, now, self.config
            )
            return self._with_claim(state, requester, duty_index, replace(claim, not_before=0))
        return replace(state, in_flight=state.in_flight | {InFlight(grantor, requester, reply)})

    def _deliver(self, state: State, packet: InFlight) -> State:
        message, receiver = packet.message, packet.receiver
        duty_index = self.duties.index(message.duty)
        if isinstance(message, AcquireRequest):
            return self._answer_request(state, receiver, packet.sender, message)
        if isinstance(message, Release):
            return self._with_promise(
                state,
                receiver,
                duty_index,
                apply_release(state.promises[receiver][duty_index], BASE_TIME, message),
            )
        claim = claim_ops.apply_reply(
            state.claims[receiver][duty_index], INSTANCES[packet.sender], message, BASE_TIME, self.config
        )
        return self._with_claim(state, receiver, duty_index, replace(claim, not_before=0))

    def _restart(self, state: State, instance: int) -> State:
        """What it held is lost; what it promised is read back, or sat out, or (broken) forgotten."""
        restored: tuple[Promise, ...]
        if self.disabled.no_memory:
            restored = (NO_PROMISE,) * len(self.duties)
        else:
            restored = tuple(restore_promise(p, BASE_TIME) for p in state.promises[instance])
        claims = tuple(
            Claim(duty, INSTANCES[instance], round=state.claims[instance][index].round)
            for index, duty in enumerate(self.duties)
        )
        return replace(
            state,
            promises=(*state.promises[:instance], restored, *state.promises[instance + 1 :]),
            claims=(*state.claims[:instance], claims, *state.claims[instance + 1 :]),
            crashes=state.crashes + 1,
        )


RATES = ((NOMINAL, NOMINAL, NOMINAL), (SLOW, FAST, FAST), (FAST, SLOW, NOMINAL))


def check(
    bounds: Bounds, disabled: DisabledSafeguards = ALL_SAFEGUARDS, rates: tuple[tuple[int, ...], ...] = RATES
) -> CheckResult:
    """Over several combinations of clock rates; the first breach, or all states that were visited."""
    total, complete = 0, True
    for clock_rates in rates:
        result = Checker(clock_rates, bounds, disabled).run()
        total += result.states
        complete = complete and result.complete
        if result.violation:
            return replace(result, states=total)
    return CheckResult(total, complete=complete)
