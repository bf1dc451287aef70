"""Exhaustive check of the lease protocol within bounds: all orders of steps, losses, crashes, clock rates.

The states are made of the protocol's own values (``leases``), not of a model of them.  From a start state
every possible step is taken, breadth first, each state once: an instance requests or renews, time advances, a
message arrives, is lost or arrives twice, an instance crashes and restarts, a holder releases.  In no state
may two instances hold one duty, and no epoch may ever be held by two.

Time advances in ticks; in each tick every clock moves by its own rate, so that clocks drift apart by the
stated bound.  Only time differences matter, so every state is shifted back to one clock reading, which makes
recurring states equal.  ``DisabledSafeguards`` leaves out one safeguard; the check has to find the violation
it prevents.
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

NOMINAL, SLOW, FAST = 4, 3, 5  # clock units per tick
DRIFT_PPM = 250_000  # makes SLOW and FAST the extremes of the bound
PROMISE_DURATION = 8  # two ticks of a nominal clock
INSTANCES = ("a", "b", "c")
CANDIDATES = 2  # a and b request leases; c is a voter only
BASE_TIME = 1000  # reading of every clock in every state


@dataclass(frozen=True, slots=True)
class DisabledSafeguards:
    """Safeguards of the protocol that are left out."""

    no_margin: bool = False  # a holder relies on the whole duration of a promise
    no_quorum: bool = False  # one vote is enough
    no_persistence: bool = False  # promises are lost in a crash, and the restarted voter grants at once


ALL_SAFEGUARDS = DisabledSafeguards()


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits of the search."""

    duties: int = 1
    depth: int = 10
    max_in_flight: int = 2  # requests are sent only while fewer messages are in flight
    epochs: int = 2
    duplicates: int = 0
    crashes: int = 1
    states: int = 500_000


@dataclass(frozen=True, slots=True)
class Packet:
    """A message in flight between two instances."""

    sender: int
    receiver: int
    message: AcquireRequest | Reply | Release


@dataclass(frozen=True, slots=True)
class State:
    """One state of the protocol; clocks read BASE_TIME in it."""

    promises: tuple[tuple[Promise, ...], ...]  # by instance, then by duty
    claims: tuple[tuple[Claim, ...], ...]
    in_flight: frozenset[Packet] = frozenset()
    held_epochs: frozenset[tuple[int, int, int]] = frozenset()  # (duty, epoch, holder) held at some time
    duplicates: int = 0
    crashes: int = 0


@dataclass(frozen=True, slots=True)
class CheckResult:
    """Number of states visited, and the first violation with the steps that lead to it."""

    states: int
    violation: str = ""
    trace: tuple[str, ...] = ()
    complete: bool = True


def _packet_sort_key(packet: Packet) -> tuple[int, int, str, str, int, int]:
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
    """Lease configuration with a safeguard left out."""

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
    """Searches all states reachable under one combination of clock rates."""

    def __init__(
        self, rates: tuple[int, ...], bounds: Bounds, disabled: DisabledSafeguards = ALL_SAFEGUARDS
    ) -> None:
        self.rates, self.bounds, self.disabled = rates, bounds, disabled
        config_class = type("T", (WeakenedConfig,), {"disabled": disabled, "__slots__": ()})
        self.config: LeaseConfig = config_class(PROMISE_DURATION, DRIFT_PPM, frozenset(INSTANCES))
        self.duties = tuple(f"d{n}" for n in range(bounds.duties))

    def initial_state(self) -> State:
        count = len(INSTANCES)
        return State(
            ((NO_PROMISE,) * len(self.duties),) * count,
            tuple(tuple(Claim(duty, name) for duty in self.duties) for name in INSTANCES),
        )

    # --- The search -------------------------------------------------------------------------------------

    def run(self) -> CheckResult:
        start_state = self.initial_state()
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
                return f"epoch {epoch} of {self.duties[duty]} was held by two instances"
        return ""

    # --- Steps ------------------------------------------------------------------------------------------

    def steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield "time advances", self._advance_clocks(state)
        for instance, duty_index in product(range(CANDIDATES), range(len(self.duties))):
            claim, duty = state.claims[instance][duty_index], self.duties[duty_index]
            if len(state.in_flight) < self.bounds.max_in_flight:
                if (
                    claim.phase == claim_ops.IDLE
                    and max(claim.highest_epoch, claim.epoch) < self.bounds.epochs
                ):
                    started = claim_ops.start_acquire(claim, BASE_TIME, self.config)
                    yield (
                        f"{INSTANCES[instance]} requests {duty}",
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
                    f"{INSTANCES[instance]} releases {duty}",
                    self._send_release(
                        self._with_claim(state, instance, duty_index, idle_claim), instance, release
                    ),
                )
        # Sorted because the order of a set changes from run to run.
        for packet in sorted(state.in_flight, key=_packet_sort_key):
            message_type = type(packet.message).__name__.lower()
            label = f"{message_type} {INSTANCES[packet.sender]} to {INSTANCES[packet.receiver]}"
            remaining = replace(state, in_flight=state.in_flight - {packet})
            yield f"{label} arrives", self._deliver(remaining, packet)
            yield f"{label} is lost", remaining
            if state.duplicates < self.bounds.duplicates:
                redelivered = self._deliver(replace(state, duplicates=state.duplicates + 1), packet)
                yield f"{label} arrives and will arrive again", redelivered
        if state.crashes < self.bounds.crashes:
            for instance in range(len(INSTANCES)):
                yield f"{INSTANCES[instance]} crashes and restarts", self._restart(state, instance)

    def _advance_clocks(self, state: State) -> State:
        """Advance each clock by its rate, and shift all times back by it."""
        promises = tuple(
            tuple(
                replace(
                    promise,
                    expires_at=max(0, promise.expires_at - rate)
                    if promise.expires_at - rate > BASE_TIME
                    else 0,
                )
                for promise in row
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
            state, in_flight=state.in_flight | {Packet(instance, other, request) for other in others}
        )

    def _send_release(self, state: State, instance: int, release: Release) -> State:
        duty_index = self.duties.index(release.duty)
        promise = apply_release(state.promises[instance][duty_index], BASE_TIME, release)
        state = self._with_promise(state, instance, duty_index, promise)
        free_slots = self.bounds.max_in_flight + 2 - len(state.in_flight)
        others = [other for other in range(len(INSTANCES)) if other != instance][: max(0, free_slots)]
        return replace(
            state, in_flight=state.in_flight | {Packet(instance, other, release) for other in others}
        )

    def _with_promise(self, state: State, instance: int, duty_index: int, promise: Promise) -> State:
        row = (*state.promises[instance][:duty_index], promise, *state.promises[instance][duty_index + 1 :])
        return replace(state, promises=(*state.promises[:instance], row, *state.promises[instance + 1 :]))

    def _answer_request(self, state: State, voter: int, requester: int, request: AcquireRequest) -> State:
        duty_index = self.duties.index(request.duty)
        now = BASE_TIME
        promise, reply = answer_request(state.promises[voter][duty_index], now, request, self.config)
        reply = replace(reply, retry_after_ns=0)
        state = self._with_promise(state, voter, duty_index, promise)
        if voter == requester:
            claim = claim_ops.apply_reply(
                state.claims[requester][duty_index], INSTANCES[voter], reply, now, self.config
            )
            return self._with_claim(state, requester, duty_index, replace(claim, not_before=0))
        return replace(state, in_flight=state.in_flight | {Packet(voter, requester, reply)})

    def _deliver(self, state: State, packet: Packet) -> State:
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
        """Restart an instance without its leases; promises are read back, or lost without that safeguard."""
        restored: tuple[Promise, ...]
        if self.disabled.no_persistence:
            restored = (NO_PROMISE,) * len(self.duties)
        else:
            restored = tuple(restore_promise(promise, BASE_TIME) for promise in state.promises[instance])
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


# Clock rates by instance: all nominal, and two combinations with the extremes of the drift bound.
RATES = ((NOMINAL, NOMINAL, NOMINAL), (SLOW, FAST, FAST), (FAST, SLOW, NOMINAL))


def check(
    bounds: Bounds, disabled: DisabledSafeguards = ALL_SAFEGUARDS, rates: tuple[tuple[int, ...], ...] = RATES
) -> CheckResult:
    """Check several combinations of clock rates; the first violation ends the check."""
    total, complete = 0, True
    for clock_rates in rates:
        result = Checker(clock_rates, bounds, disabled).run()
        total += result.states
        complete = complete and result.complete
        if result.violation:
            return replace(result, states=total)
    return CheckResult(total, complete=complete)
