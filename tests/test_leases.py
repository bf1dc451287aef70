"""Leases: one holder at a time and per epoch, in all orders of steps within bounds and random histories."""

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


def acquire_request(holder: str, epoch: int, round_: int = 1, duration_ns: int = 3 * S) -> AcquireRequest:
    return AcquireRequest("d", holder, epoch, round_, duration_ns)


# --- The voter's side -----------------------------------------------------------------------------------


def test_a_promise_excludes_other_holders_until_it_expires() -> None:
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


def test_an_epoch_is_promised_once_and_epochs_only_grow() -> None:
    promise, _ = answer_request(NO_PROMISE, T0, acquire_request("a", 4), CONFIG)
    after_expiry = T0 + 4 * S
    assert not answer_request(promise, after_expiry, acquire_request("b", 4), CONFIG)[1].granted
    assert not answer_request(promise, after_expiry, acquire_request("b", 3), CONFIG)[1].granted
    # After expiry the holder needs a new epoch too: other voters may have promised the lease to another.
    assert not answer_request(promise, after_expiry, acquire_request("a", 4), CONFIG)[1].granted
    assert answer_request(promise, after_expiry, acquire_request("a", 5), CONFIG)[1].granted


def test_a_renewal_extends_a_promise_and_never_shortens_it() -> None:
    promise, _ = answer_request(NO_PROMISE, T0, acquire_request("a", 1), CONFIG)
    longer, reply = answer_request(promise, T0 + S, acquire_request("a", 1, 2), CONFIG)
    assert reply.granted and longer.expires_at == T0 + 4 * S
    assert answer_request(longer, T0 + S, acquire_request("a", 1, 3, S), CONFIG)[0].expires_at == T0 + 4 * S
    # A request for longer than the maximum is refused.
    assert not answer_request(longer, T0 + S, acquire_request("a", 1, 4, 100 * S), CONFIG)[1].granted


def test_after_a_start_without_stored_promises_nothing_is_granted_until_old_ones_expired() -> None:
    unchanged, reply = answer_request(NO_PROMISE, T0, acquire_request("a", 1), CONFIG, no_grants_until=T0 + S)
    assert unchanged is NO_PROMISE and not reply.granted and reply.retry_after_ns == S
    stored = restore_promise(Promise(3, "a", 1, 2 * S), T0)
    assert (
        stored.expires_at == T0 + 2 * S
        and not answer_request(stored, T0, acquire_request("b", 9), CONFIG)[1].granted
    )


def test_a_release_ends_only_the_promise_that_it_names() -> None:
    promise, _ = answer_request(NO_PROMISE, T0, acquire_request("a", 2), CONFIG)
    assert apply_release(promise, T0, Release("d", "a", 1)) is promise
    assert apply_release(promise, T0, Release("d", "b", 2)) is promise
    released = apply_release(promise, T0 + S, Release("d", "a", 2))
    assert (
        released.epoch == 2 and answer_request(released, T0 + S, acquire_request("b", 3), CONFIG)[1].granted
    )


# --- The holder's side ----------------------------------------------------------------------------------


def held_claim(config: LeaseConfig = CONFIG) -> Claim:
    claim, request = claim_ops.start_acquire(Claim("d", "a"), T0, config)
    for voter in ("a", "b"):
        reply = answer_request(NO_PROMISE, T0, request, config)[1]
        claim = claim_ops.apply_reply(claim, voter, reply, T0 + 100 * MS, config)
    return claim


def test_a_majority_grants_the_lease_for_a_time_counted_from_the_request() -> None:
    claim, request = claim_ops.start_acquire(Claim("d", "a"), T0, CONFIG)
    reply = answer_request(NO_PROMISE, T0, request, CONFIG)[1]
    claim = claim_ops.apply_reply(claim, "a", reply, T0, CONFIG)
    assert not claim_ops.is_held(claim, T0)
    claim = claim_ops.apply_reply(claim, "a", reply, T0, CONFIG)  # a repeated reply is one vote
    assert not claim_ops.is_held(claim, T0)
    claim = claim_ops.apply_reply(claim, "z", reply, T0, CONFIG)  # a reply from a non-voter does not count
    assert not claim_ops.is_held(claim, T0)
    claim = claim_ops.apply_reply(claim, "c", reply, T0 + S, CONFIG)
    assert (
        claim_ops.is_held(claim, T0 + S)
        and claim.expires_at == T0 + CONFIG.holder_duration_ns < T0 + CONFIG.duration_ns
    )
    assert not claim_ops.is_held(claim, claim.expires_at)


def test_grants_that_arrive_too_late_or_from_another_round_do_not_count() -> None:
    claim, request = claim_ops.start_acquire(Claim("d", "a"), T0, CONFIG)
    reply = answer_request(NO_PROMISE, T0, request, CONFIG)[1]
    late = T0 + CONFIG.holder_duration_ns
    assert (
        claim_ops.apply_reply(
            claim_ops.apply_reply(claim, "a", reply, late, CONFIG), "b", reply, late, CONFIG
        ).phase
        == claim_ops.ASKING
    )
    second_round, _ = claim_ops.start_acquire(claim_ops.advance_time(claim, late, CONFIG, 0), late, CONFIG)
    assert (
        second_round.epoch == 2
        and claim_ops.apply_reply(second_round, "a", reply, late, CONFIG).granted_by == frozenset()
    )


def test_a_holder_renews_in_time_and_repeats_a_lost_renewal() -> None:
    claim = held_claim()
    assert not claim_ops.needs_renewal(claim, T0, CONFIG)
    renewal_due = T0 + CONFIG.renew_after_ns
    assert claim_ops.needs_renewal(claim, renewal_due, CONFIG)
    claim, request = claim_ops.start_renewal(claim, renewal_due, CONFIG)
    assert (
        request.epoch == claim.epoch
        and not claim_ops.needs_renewal(claim, renewal_due, CONFIG)
        and claim_ops.is_held(claim, renewal_due)
    )
    claim = claim_ops.advance_time(claim, renewal_due + CONFIG.reply_timeout_ns, CONFIG, 0)
    assert claim_ops.needs_renewal(claim, renewal_due + CONFIG.reply_timeout_ns, CONFIG)
    assert (
        claim_ops.advance_time(claim, claim.expires_at, CONFIG, 5 * MS).not_before
        == claim.expires_at + 5 * MS
    )


def test_a_released_lease_is_not_held_and_a_round_without_a_possible_quorum_ends_at_once() -> None:
    stopped, release = claim_ops.release_claim(held_claim(), T0 + S)
    assert release == Release("d", "a", 1) and not claim_ops.is_held(stopped, T0 + S)
    assert claim_ops.release_claim(stopped, T0 + S) == (stopped, None)
    claim, request = claim_ops.start_acquire(Claim("d", "a"), T0, CONFIG)
    refusal = answer_request(Promise(7, "z", T0 + S, S), T0, request, CONFIG)[1]
    for voter in ("b", "c"):
        claim = claim_ops.apply_reply(claim, voter, refusal, T0, CONFIG)
    claim = claim_ops.advance_time(claim, T0, CONFIG, MS)
    assert (
        claim.phase == claim_ops.IDLE and claim.not_before == T0 + S
    )  # the refusal's wait is shorter than two reply timeouts
    assert claim_ops.start_acquire(claim, T0 + S, CONFIG)[0].epoch == 8


@pytest.mark.parametrize(
    ("granted", "is_quorum"),
    [("ab", False), ("abd", False), ("abc", True), ("ade", False), ("acde", True), ("bcd", False)],
)  # fmt: skip
def test_during_a_membership_change_majorities_of_both_sets_are_needed(granted: str, is_quorum: bool) -> None:
    growing = LeaseConfig(3 * S, 0, VOTERS, frozenset("abcde"))
    assert growing.is_quorum(frozenset(granted)) is (is_quorum or granted in ("abd", "bcd"))
    # Every quorum during the change is a quorum before and after it, and so shares a voter with all of those.
    before, after = LeaseConfig(S, 0, VOTERS), LeaseConfig(S, 0, frozenset("abcde"))
    if growing.is_quorum(frozenset(granted)):
        assert before.is_quorum(frozenset(granted)) and after.is_quorum(frozenset(granted))


# --- Exhaustive check within bounds ---------------------------------------------------------------------


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
        (DisabledSafeguards(no_persistence=True), Bounds(depth=7), "hold d0"),
    ],
)  # fmt: skip
def test_the_check_finds_the_violation_that_each_safeguard_prevents(
    disabled: DisabledSafeguards, bounds: Bounds, expected: str
) -> None:
    result = check(bounds, disabled, ((SLOW, FAST, FAST),))
    assert expected in result.violation and result.trace
    assert disabled != ALL_SAFEGUARDS


# --- Random histories with faults -----------------------------------------------------------------------


class SimulatedGroup:
    """Lease managers on a simulated network; safety is checked after every event."""

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
        self.stored_promises[name] |= effects.promises  # stored before anything is sent
        for receiver, message in effects.messages:
            self.network.send(name, receiver, message)

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
        st.sampled_from(["partition", "one_way_partition", "heal", "crash", "start", "stop", "resume",
                         "lossy", "delay_spikes", "clear"]),
        st.integers(0, 4), st.floats(0.1, 4.0),
    ),
    max_size=14,
)  # fmt: skip


@settings(max_examples=40, deadline=None, derandomize=True)
@given(st.integers(0, 10**6), st.sampled_from(["abc", "abcde"]), STEPS)
def test_under_any_faults_no_duty_has_two_holders_and_all_are_held_once_the_faults_end(
    seed: int, names: str, steps: list[tuple[str, int, float]]
) -> None:
    group = SimulatedGroup(seed, names, 2)
    faults = group.network.faults
    for action, number, seconds in steps:
        name = names[number % len(names)]
        others = set(names) - {name}
        if action in ("partition", "one_way_partition"):
            faults.partition({name}, others, action == "partition")
        elif action == "heal":
            faults.heal()
        elif action == "crash" and name in group.managers:
            group.crash(name)
        elif action == "start" and name not in group.managers:
            group.start(name)
        elif action == "stop":
            group.network.clocks[name].stopped_at = group.network.now
        elif action == "resume":
            group.network.clocks[name].stopped_at = None
        elif action == "lossy":
            faults.loss_rate, faults.duplicate_rate = 0.3, 0.3
        elif action == "delay_spikes":
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


def test_the_minority_side_of_a_partition_holds_nothing_and_the_other_takes_over() -> None:
    group = SimulatedGroup(5, "abcde", 6)
    group.run(10)
    group.network.faults.partition(set("ab"), set("cde"))
    group.run(10)
    result = group.holders()
    assert len(result) == 6 and set(result.values()) <= set("cde")


def test_an_instance_paused_for_ten_seconds_holds_nothing_when_it_resumes() -> None:
    group = SimulatedGroup(6, "abc", 3)
    group.run(10)
    paused = next(iter(group.holders().values()))
    group.network.clocks[paused].stopped_at = group.network.now
    group.run(10)
    manager, now = group.managers[paused], group.network.clock(paused)
    assert list(manager.held_claims(now)) == []  # checked before its first tick
    assert len(group.holders()) == 3


def test_a_restart_without_stored_promises_grants_nothing_for_a_full_promise_duration() -> None:
    manager = LeaseManager("a", CONFIG, T0, 1, None, min_epoch=50)
    reply = manager.receive(T0, "b", AcquireRequest("d", "b", 1, 1, S)).messages[0][1]
    assert not reply.granted  # type: ignore[union-attr]
    late = manager.receive(T0 + 3 * S, "b", AcquireRequest("d", "b", 1, 1, S))
    assert late.messages[0][1].granted and late.promises["d"].holder == "b"  # type: ignore[union-attr]
    manager.set_wanted(["e"], T0)
    assert manager.claims["e"].phase == claim_ops.IDLE
    manager.tick(T0 + S)
    assert manager.claims["e"].epoch == 51


def test_a_holder_that_no_longer_wants_a_duty_releases_it_at_once() -> None:
    group = SimulatedGroup(7, "abc", 1)
    group.run(10)
    (holder,) = group.holders().values()
    group.apply_effects(holder, group.managers[holder].set_wanted([], group.network.clock(holder)))
    group.run(1.5)
    assert group.holders() and holder not in group.holders().values()


def messages(effects: Outbox) -> Iterator[object]:
    return (message for _, message in effects.messages)


def test_requests_and_releases_in_the_name_of_another_instance_are_ignored() -> None:
    manager = LeaseManager("a", CONFIG, T0, 1, {})
    assert not manager.receive(T0, "b", AcquireRequest("d", "c", 1, 1, S))
    manager.receive(T0, "b", AcquireRequest("d", "b", 1, 1, S))
    manager.receive(T0, "c", Release("d", "b", 1))
    assert manager.promises["d"].expires_at > T0
    assert not list(
        messages(LeaseManager("z", CONFIG, T0, 1, {}).receive(T0, "b", AcquireRequest("d", "b", 1, 1, S)))
    )
