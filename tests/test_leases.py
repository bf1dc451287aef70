"""Leases: one holder at a time, no epoch twice, over every order of steps within bounds and many beyond."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.lab.modelcheck import ALL_SAFEGUARDS, FAST, RATES, SLOW, Bounds, DisabledSafeguards, check
from arrowrail.lab.simnet import MS, S, SimClock, SimNetwork
from arrowrail.leases import claim as claim_ops
from arrowrail.leases.claim import Claim
from arrowrail.leases.config import LeaseConfig
from arrowrail.leases.manager import LeaseManager, Outbox
from arrowrail.leases.promise import (
    NO_PROMISE,
    AcquireRequest,
    Promise,
    Release,
    answer_request,
    apply_release,
    restore_promise,
)

VOTERS = frozenset(("a", "b", "c"))
CONFIG = LeaseConfig(3 * S, 10_000, VOTERS)
T0 = 100 * S


def acquire_request(holder: str, epoch: int, round_: int = 1, length: int = 3 * S) -> AcquireRequest:
    return AcquireRequest("d", holder, epoch, round_, length)


# --- The grantor ----------------------------------------------------------------------------------------


def test_a_promise_keeps_others_out_until_it_is_over() -> None:
    promise, reply = answer_request(NO_PROMISE, T0, acquire_request("a", 1), CONFIG)
    assert reply.granted and promise == Promise(1, "a", T0 + 3 * S, 3 * S)
    unchanged, refused = answer_request(promise, T0 + S, acquire_request("b", 5), CONFIG)
    assert (
        unchanged is promise
        and not refused.granted
        and (refused.highest_epoch, refused.retry_after_ns) == (1, 2 * S)
    )
    after, granted = answer_request(promise, T0 + 3 * S, acquire_request("b", 2), CONFIG)
    assert granted.granted and after.holder == "b"


def test_an_epoch_is_promised_once_and_only_grows() -> None:
    promise, _ = answer_request(NO_PROMISE, T0, acquire_request("a", 4), CONFIG)
    after_expiry = T0 + 4 * S
    assert not answer_request(promise, after_expiry, acquire_request("b", 4), CONFIG)[1].granted
    assert not answer_request(promise, after_expiry, acquire_request("b", 3), CONFIG)[1].granted
    # The holder itself has to go above it once its time has passed: others may have been promised elsewhere.
    assert not answer_request(promise, after_expiry, acquire_request("a", 4), CONFIG)[1].granted
    assert answer_request(promise, after_expiry, acquire_request("a", 5), CONFIG)[1].granted


def test_a_renewal_lengthens_and_never_shortens() -> None:
    promise, _ = answer_request(NO_PROMISE, T0, acquire_request("a", 1), CONFIG)
    longer, reply = answer_request(promise, T0 + S, acquire_request("a", 1, 2), CONFIG)
    assert reply.granted and longer.expires_at == T0 + 4 * S
    assert answer_request(longer, T0 + S, acquire_request("a", 1, 3, S), CONFIG)[0].expires_at == T0 + 4 * S
    assert not answer_request(longer, T0 + S, acquire_request("a", 1, 4, 100 * S), CONFIG)[
        1
    ].granted  # beyond what is given


def test_after_a_start_without_memory_all_that_may_have_been_promised_is_sat_out() -> None:
    unchanged, reply = answer_request(NO_PROMISE, T0, acquire_request("a", 1), CONFIG, no_grants_until=T0 + S)
    assert unchanged is NO_PROMISE and not reply.granted and reply.retry_after_ns == S
    stored = restore_promise(Promise(3, "a", 1, 2 * S), T0)
    assert (
        stored.expires_at == T0 + 2 * S
        and not answer_request(stored, T0, acquire_request("b", 9), CONFIG)[1].granted
    )


def test_a_release_ends_what_it_names_and_nothing_else() -> None:
    promise, _ = answer_request(NO_PROMISE, T0, acquire_request("a", 2), CONFIG)
    assert apply_release(promise, T0, Release("d", "a", 1)) is promise
    assert apply_release(promise, T0, Release("d", "b", 2)) is promise
    free = apply_release(promise, T0 + S, Release("d", "a", 2))
    assert free.epoch == 2 and answer_request(free, T0 + S, acquire_request("b", 3), CONFIG)[1].granted


# --- The holder -----------------------------------------------------------------------------------------


def held_claim(config: LeaseConfig = CONFIG) -> Claim:
    claim, request = claim_ops.start_acquire(Claim("d", "a"), T0, config)
    for voter in ("a", "b"):
        reply = answer_request(NO_PROMISE, T0, request, config)[1]
        claim = claim_ops.apply_reply(claim, voter, reply, T0 + 100 * MS, config)
    return claim


def test_a_majority_makes_a_holder_until_its_time_counted_from_the_question() -> None:
    claim, request = claim_ops.start_acquire(Claim("d", "a"), T0, CONFIG)
    reply = answer_request(NO_PROMISE, T0, request, CONFIG)[1]
    claim = claim_ops.apply_reply(claim, "a", reply, T0, CONFIG)
    assert not claim_ops.is_held(claim, T0)
    claim = claim_ops.apply_reply(claim, "a", reply, T0, CONFIG)  # one voter twice is one vote
    assert not claim_ops.is_held(claim, T0)
    claim = claim_ops.apply_reply(claim, "z", reply, T0, CONFIG)  # and one who has no vote is none
    assert not claim_ops.is_held(claim, T0)
    claim = claim_ops.apply_reply(claim, "c", reply, T0 + S, CONFIG)
    assert (
        claim_ops.is_held(claim, T0 + S)
        and claim.expires_at == T0 + CONFIG.holder_duration_ns < T0 + CONFIG.duration_ns
    )
    assert not claim_ops.is_held(claim, claim.expires_at)


def test_grants_that_come_too_late_or_from_another_round_count_for_nothing() -> None:
    claim, request = claim_ops.start_acquire(Claim("d", "a"), T0, CONFIG)
    reply = answer_request(NO_PROMISE, T0, request, CONFIG)[1]
    late = T0 + CONFIG.holder_duration_ns
    assert (
        claim_ops.apply_reply(
            claim_ops.apply_reply(claim, "a", reply, late, CONFIG), "b", reply, late, CONFIG
        ).phase
        == claim_ops.ASKING
    )
    again, _ = claim_ops.start_acquire(claim_ops.advance_time(claim, late, CONFIG, 0), late, CONFIG)
    assert (
        again.epoch == 2 and claim_ops.apply_reply(again, "a", reply, late, CONFIG).granted_by == frozenset()
    )


def test_a_holder_renews_in_time_and_a_lost_renewal_can_be_asked_again() -> None:
    claim = held_claim()
    assert not claim_ops.needs_renewal(claim, T0, CONFIG)
    at = T0 + CONFIG.renew_after_ns
    assert claim_ops.needs_renewal(claim, at, CONFIG)
    claim, request = claim_ops.start_renewal(claim, at, CONFIG)
    assert (
        request.epoch == claim.epoch
        and not claim_ops.needs_renewal(claim, at, CONFIG)
        and claim_ops.is_held(claim, at)
    )
    claim = claim_ops.advance_time(claim, at + CONFIG.reply_timeout_ns, CONFIG, 0)
    assert claim_ops.needs_renewal(claim, at + CONFIG.reply_timeout_ns, CONFIG)
    assert (
        claim_ops.advance_time(claim, claim.expires_at, CONFIG, 5 * MS).not_before
        == claim.expires_at + 5 * MS
    )


def test_what_is_given_back_is_not_held_and_a_hopeless_round_ends_at_once() -> None:
    stopped, release = claim_ops.release_claim(held_claim(), T0 + S)
    assert release == Release("d", "a", 1) and not claim_ops.is_held(stopped, T0 + S)
    assert claim_ops.release_claim(stopped, T0 + S) == (stopped, None)
    claim, request = claim_ops.start_acquire(Claim("d", "a"), T0, CONFIG)
    refusal = answer_request(Promise(7, "z", T0 + S, S), T0, request, CONFIG)[1]
    for voter in ("b", "c"):
        claim = claim_ops.apply_reply(claim, voter, refusal, T0, CONFIG)
    claim = claim_ops.advance_time(claim, T0, CONFIG, MS)
    assert claim.phase == claim_ops.IDLE and claim.not_before == T0 + S  # shorter than two rounds
    assert claim_ops.start_acquire(claim, T0 + S, CONFIG)[0].epoch == 8


@pytest.mark.parametrize(
    ("granted", "is_quorum"),
    [("ab", False), ("abd", False), ("abc", True), ("ade", False), ("acde", True), ("bcd", False)],
)  # fmt: skip
def test_while_a_group_grows_a_majority_of_both_is_needed(granted: str, is_quorum: bool) -> None:
    growing = LeaseConfig(3 * S, 0, VOTERS, frozenset("abcde"))
    assert growing.is_quorum(frozenset(granted)) is (is_quorum or granted in ("abd", "bcd"))
    # Every set that is enough now meets every one that was before, and every one that will be after.
    before, after = LeaseConfig(S, 0, VOTERS), LeaseConfig(S, 0, frozenset("abcde"))
    if growing.is_quorum(frozenset(granted)):
        assert before.is_quorum(frozenset(granted)) and after.is_quorum(frozenset(granted))


# --- Every order of steps, within bounds ----------------------------------------------------------------


def test_the_protocol_is_safe_in_every_state_within_bounds() -> None:
    with_crashes = check(Bounds(depth=7, crashes=1), rates=RATES)
    drifting = check(Bounds(depth=11, crashes=0), rates=((SLOW, FAST, FAST),))
    two_duties = check(Bounds(depth=5, duties=2), rates=((SLOW, FAST, FAST),))
    for result in (with_crashes, drifting, two_duties):
        assert result.complete and not result.violation, result.trace
    assert with_crashes.states + drifting.states + two_duties.states > 100_000


@pytest.mark.parametrize(
    ("disabled", "bounds", "expected"),
    [
        (DisabledSafeguards(no_margin=True), Bounds(depth=11, crashes=0), "hold d0"),
        (DisabledSafeguards(no_quorum=True), Bounds(depth=7), "hold d0"),
        (DisabledSafeguards(no_memory=True), Bounds(depth=7), "hold d0"),
    ],
)  # fmt: skip
def test_without_a_safeguard_the_check_finds_what_it_is_for(
    disabled: DisabledSafeguards, bounds: Bounds, expected: str
) -> None:
    result = check(bounds, disabled, ((SLOW, FAST, FAST),))
    assert expected in result.violation and result.trace
    assert disabled != ALL_SAFEGUARDS


# --- Long histories under faults ------------------------------------------------------------------------


class SimulatedGroup:
    """Offices on a simulated network; safety is looked at after every event."""

    def __init__(self, seed: int, names: str, duties: int, drift: int = 10_000) -> None:
        self.network = SimNetwork(seed)
        self.config = LeaseConfig(3 * S, drift, frozenset(names))
        self.duties = [f"d{n}" for n in range(duties)]
        self.managers: dict[str, LeaseManager] = {}
        self.stored_promises: dict[str, dict[str, Promise]] = {}
        self.epoch_holders: dict[tuple[str, int], str] = {}
        self.seed = seed
        for name in names:
            rng = self.network.random
            self.network.clocks[name] = SimClock(rng.randrange(10**15), rng.randint(-drift, drift))
            self.stored_promises[name] = {}
            self.start(name)

    def start(self, name: str) -> None:
        now = self.network.clock(name)
        self.seed += 1
        manager = self.managers[name] = LeaseManager(
            name, self.config, now, self.seed, dict(self.stored_promises[name])
        )
        self.network.attach(name, lambda sender, message: self.receive(name, sender, message))
        self.apply_effects(name, manager.set_wanted(self.duties, now))
        self.tick(name, manager)

    def tick(self, name: str, manager: LeaseManager) -> None:
        if self.managers.get(name) is not manager:
            return
        if self.network.clocks[name].stopped_at is None:
            self.apply_effects(name, manager.tick(self.network.clock(name)))
        self.network.schedule(self.network.now + 100 * MS, lambda: self.tick(name, manager))

    def receive(self, name: str, sender: str, message: object) -> None:
        manager = self.managers[name]
        self.apply_effects(name, manager.receive(self.network.clock(name), sender, message))  # type: ignore[arg-type]

    def apply_effects(self, name: str, effects: Outbox) -> None:
        self.stored_promises[name] |= effects.promises  # kept before anything leaves
        for to, message in effects.messages:
            self.network.send(name, to, message)

    def crash(self, name: str) -> None:
        del self.managers[name]
        self.network.detach(name)

    def check_safety(self) -> None:
        holders: dict[str, str] = {}
        for name, manager in self.managers.items():
            for claim in manager.held_claims(self.network.clock(name)):
                assert holders.setdefault(claim.duty, name) == name, f"two hold {claim.duty}"
                epoch_holder = self.epoch_holders.setdefault((claim.duty, claim.epoch), name)
                assert epoch_holder == name, f"epoch {claim.epoch} of {claim.duty} held by two"

    def run(self, seconds: float) -> None:
        self.network.run(self.network.now + int(seconds * S), self.check_safety)

    def holders(self) -> dict[str, str]:
        result: dict[str, str] = {}
        for name, manager in self.managers.items():
            if self.network.clocks[name].stopped_at is None:
                result |= {claim.duty: name for claim in manager.held_claims(self.network.clock(name))}
        return result


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["split", "oneway", "heal", "crash", "start", "stop", "go", "lossy", "late", "calm"]),
        st.integers(0, 4), st.floats(0.1, 4.0),
    ),
    max_size=14,
)  # fmt: skip


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.sampled_from(["abc", "abcde"]), STEPS)
def test_over_any_history_no_duty_has_two_holders_and_all_are_held_once_it_is_calm(
    seed: int, names: str, steps: list[tuple[str, int, float]]
) -> None:
    group = SimulatedGroup(seed, names, 2)
    faults = group.network.faults
    for action, number, seconds in steps:
        name = names[number % len(names)]
        others = set(names) - {name}
        if action in ("split", "oneway"):
            faults.partition({name}, others, action == "split")
        elif action == "heal":
            faults.heal()
        elif action == "crash" and name in group.managers:
            group.crash(name)
        elif action == "start" and name not in group.managers:
            group.start(name)
        elif action == "stop":
            group.network.clocks[name].stopped_at = group.network.now
        elif action == "go":
            group.network.clocks[name].stopped_at = None
        elif action == "lossy":
            faults.loss_rate, faults.duplicate_rate = 0.3, 0.3
        elif action == "late":
            faults.spike_rate = 0.2
        else:
            faults.loss_rate = faults.duplicate_rate = faults.spike_rate = 0.0
        group.run(seconds)
    faults.heal()
    faults.loss_rate = faults.duplicate_rate = faults.spike_rate = 0.0
    for clock in group.network.clocks.values():
        clock.stopped_at = None
    for name in names:
        if name not in group.managers:
            group.start(name)
    group.run(20.0)
    assert sorted(group.holders()) == group.duties


def test_the_side_without_a_majority_runs_nothing_and_the_other_takes_over() -> None:
    group = SimulatedGroup(5, "abcde", 6)
    group.run(10)
    group.network.faults.partition(set("ab"), set("cde"))
    group.run(10)
    result = group.holders()
    assert len(result) == 6 and set(result.values()) <= set("cde")


def test_one_that_hung_for_ten_seconds_wakes_with_nothing() -> None:
    group = SimulatedGroup(6, "abc", 3)
    group.run(10)
    hung = next(iter(group.holders().values()))
    group.network.clocks[hung].stopped_at = group.network.now
    group.run(10)
    manager, now = group.managers[hung], group.network.clock(hung)
    assert list(manager.held_claims(now)) == []  # asked before its first tick
    assert len(group.holders()) == 3


def test_without_memory_a_restart_sits_out_a_full_promise() -> None:
    manager = LeaseManager("a", CONFIG, T0, 1, None, min_epoch=50)
    reply = manager.receive(T0, "b", AcquireRequest("d", "b", 1, 1, S)).messages[0][1]
    assert not reply.granted  # type: ignore[union-attr]
    late = manager.receive(T0 + 3 * S, "b", AcquireRequest("d", "b", 1, 1, S))
    assert late.messages[0][1].granted and late.promises["d"].holder == "b"  # type: ignore[union-attr]
    manager.set_wanted(["e"], T0)
    assert manager.claims["e"].phase == claim_ops.IDLE
    manager.tick(T0 + S)
    assert manager.claims["e"].epoch == 51


def test_a_holder_that_no_longer_wants_a_duty_frees_it_at_once() -> None:
    group = SimulatedGroup(7, "abc", 1)
    group.run(10)
    (holder,) = group.holders().values()
    group.apply_effects(holder, group.managers[holder].set_wanted([], group.network.clock(holder)))
    group.run(1.5)
    assert group.holders() and holder not in group.holders().values()


def messages(effects: Outbox) -> Iterator[object]:
    return (message for _, message in effects.messages)


def test_asks_in_another_s_name_are_not_heard() -> None:
    manager = LeaseManager("a", CONFIG, T0, 1, {})
    assert not manager.receive(T0, "b", AcquireRequest("d", "c", 1, 1, S))
    manager.receive(T0, "b", AcquireRequest("d", "b", 1, 1, S))
    manager.receive(T0, "c", Release("d", "b", 1))
    assert manager.promises["d"].expires_at > T0
    assert not list(
        messages(LeaseManager("z", CONFIG, T0, 1, {}).receive(T0, "b", AcquireRequest("d", "b", 1, 1, S)))
    )
