"""Sequences of events at one address, drawn at random, against a model of what really happened.

The model knows which process holds which call, and drives a monitor as a connection pool does.  Two mistakes
are looked for: a call that goes on and is released, and a call that is over and is not released in time.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import given, settings
from hypothesis import strategies as st

from arrowrail.failure_detection.call_loss import MS, RELEASE_LIMIT_NS
from arrowrail.failure_detection.endpoint import CHECK_TIMEOUT_NS, GREETING_TIMEOUT_NS, EndpointMonitor
from arrowrail.failure_detection.identity import Opening
from arrowrail.state.established_calls import EstablishedCalls

STEP_MS, POOL_SIZE, ENDPOINT = 50, 2, 1
START_MS = 1_000_000
SETTLE_MS = 12_000
# An outage that calls outlive, and the time from one trouble to the next, in which the server is heard.
MAX_OUTAGE_MS = 5_000
MIN_QUIET_MS = 3_000
OTHERS_PER_10_S = 17  # calls of others that a new process gets
REPORT_INTERVAL_MS = 300  # of a group that others use, too
REPLACEMENT_INTERVAL_MS = 1_500  # a second one may come before the first is known


@dataclass(eq=False)
class Connection:
    """A connection from the controller; ``process`` is the one that accepted it."""

    opening: Opening
    process: int
    is_check: bool = False
    heard: bool = False
    queued: list[str] = field(default_factory=list)  # what could not be delivered during an outage


@dataclass
class Call:
    """An established call and what became of it."""

    process: int
    answered_ns: int
    ended_ns: int = 0
    released_ns: int = 0  # by the controller, toward the caller


class World:
    """The address, the processes that had it one after the other, and the controller's pool."""

    def __init__(self, others: int = 0) -> None:
        self.now = START_MS * MS
        self.usual_others, self.reported_ns = others, 0  # circuits of others' calls at the first process
        self.monitor, self.established = EndpointMonitor(self.now), EstablishedCalls()
        self.process, self.listening_ns = 1, 0
        self.outage_until_ns, self.hang_until_ns = 0, 0
        self.connections: list[Connection] = []
        self.connecting: list[int] = []  # start times of checks that do not come up
        self.calls: dict[str, Call] = {}
        self.unsent_releases: list[str] = []  # by this process, for the next connection
        self._open_pool()

    # --- The network and the server -------------------------------------------------------------------------

    @property
    def reachable(self) -> bool:
        return self.now >= max(self.listening_ns, self.outage_until_ns)

    def _deliver(self, connection: Connection, message: str) -> None:
        if connection.process != self.process:
            return
        if not self.reachable or self.now < self.hang_until_ns:
            connection.queued.append(message)
            return
        oldest_ns = self.established.oldest_answered_ns(ENDPOINT)
        self.monitor.data_received(self.now, connection.opening.opened_ns, oldest_ns)
        if not connection.heard:
            connection.heard = True
            self.monitor.greeting_received(self.now, connection.opening.opened_ns)
        if message == "state":
            from_ns, before_ns = self.monitor.identity.contradicted_ns, connection.opening.opened_ns
            held = self.established.circuits(ENDPOINT, from_ns, before_ns)
            self.monitor.circuits_reported(self.now, connection.opening, self._in_use(), held)
        else:
            self._release_received(message)

    def _in_use(self) -> int:
        own = sum(1 for call in self.calls.values() if call.process == self.process and not call.ended_ns)
        return own + self._others()

    def _others(self) -> int:
        """Circuits of others' calls; a process that has just started has none and gets them one by one."""
        if self.process == 1:
            return self.usual_others
        since_start_ns = max(0, self.now - self.listening_ns)
        return min(self.usual_others, since_start_ns * OTHERS_PER_10_S // (10_000 * MS))

    def _release_received(self, call_id: str) -> None:
        answered_ns = self.established.answered_ns(ENDPOINT, call_id)
        if answered_ns:
            self.monitor.call_released(self.now, answered_ns)
            self.established.remove(ENDPOINT, call_id)
            self.calls[call_id].released_ns = self.now

    def _report(self, message: str) -> None:
        for connection in list(self.connections):
            self._deliver(connection, message)

    def place_call(self) -> None:
        """A set-up on a pool connection; on one to an earlier process it stays unanswered."""
        usable = [connection for connection in self.connections if not connection.is_check]
        if not self.reachable or self.now < self.hang_until_ns or not usable:
            return
        if usable[0].process != self.process:
            return
        call_id = str(len(self.calls))
        self.calls[call_id] = Call(self.process, self.now)
        self._report("state")
        self.established.add(ENDPOINT, call_id, self.now, 1)

    def end_call(self) -> None:
        """The server ends its oldest call, and says so now and on the next connection that opens."""
        for call_id, call in self.calls.items():
            if call.process == self.process and not call.ended_ns and self.now >= self.hang_until_ns:
                call.ended_ns = self.now
                self.unsent_releases.append(call_id)
                self._report(call_id)
                self._report("state")
                return

    def reset(self) -> None:
        if self.reachable:
            self.connections = [c for c in self.connections if c.process != self.process]
            self._open_pool()

    def replace(self, silent: bool, gap_ms: int) -> None:
        """The process ends, seen as a reset of its connections or not at all; another one has its address."""
        self.now += MS  # after the last answer
        for call in self.calls.values():
            if call.process == self.process and not call.ended_ns:
                call.ended_ns = self.now
        self.process, self.unsent_releases = self.process + 1, []
        self.listening_ns = self.now + gap_ms * MS
        self.outage_until_ns = self.hang_until_ns = 0
        if not silent:
            self.connections = []

    # --- The controller's pool ------------------------------------------------------------------------------

    def _open(self, is_check: bool) -> None:
        connection = Connection(self.monitor.connected(self.now), self.process, is_check)
        self.connections.append(connection)
        self.now += MS  # what the server sends arrives later than the connection comes up
        self._deliver(connection, "state")
        for call_id in self.unsent_releases:
            self._deliver(connection, call_id)

    def _open_pool(self) -> None:
        while sum(1 for c in self.connections if not c.is_check) < POOL_SIZE and self.reachable:
            self._open(is_check=False)

    def step(self) -> None:
        self.now += STEP_MS * MS
        if self.usual_others and self.now - self.reported_ns >= REPORT_INTERVAL_MS * MS:
            self.reported_ns = self.now
            self._report("state")
        self._flush()
        self._open_pool()
        self._update_checks()
        loss = self.monitor.detect_loss(self.now)
        if loss is not None:
            self._release_lost(loss.before_ns)
        pending = [
            *self.connecting,
            *(c.opening.opened_ns for c in self.connections if c.is_check and not c.heard),
        ]
        if self.established.count(ENDPOINT) and self.monitor.check_due(self.now, sorted(pending)):
            if self.reachable:
                self._open(is_check=True)
            else:
                self.connecting.append(self.now)

    def _flush(self) -> None:
        for connection in list(self.connections):
            queued, connection.queued = connection.queued, []
            for message in queued:
                self._deliver(connection, message)

    def _update_checks(self) -> None:
        for started_ns in list(self.connecting):
            if self.reachable:
                self.connecting.remove(started_ns)
                self._open(is_check=True)
            elif self.now - started_ns >= CHECK_TIMEOUT_NS:
                self.connecting.remove(started_ns)
                self.monitor.check_failed(self.now)
        for connection in list(self.connections):
            if connection.is_check and self.now - connection.opening.opened_ns >= GREETING_TIMEOUT_NS:
                self.connections.remove(connection)
                if not connection.heard:
                    self.monitor.greeting_missing(self.now)

    def _release_lost(self, before_ns: int) -> None:
        for call_id, call in self.calls.items():
            if not call.released_ns and (not before_ns or call.answered_ns < before_ns):
                assert call.ended_ns, f"call {call_id} goes on at the server and is released"
                call.released_ns = self.now
                self.established.remove(ENDPOINT, call_id)

    def run(self, duration_ms: int) -> None:
        for _ in range(duration_ms // STEP_MS):
            self.step()

    def check_released(self) -> None:
        for call_id, call in self.calls.items():
            if call.ended_ns:
                assert call.released_ns, f"call {call_id} is over and never released"
                delay_ms = (call.released_ns - call.ended_ns) // MS
                assert delay_ms <= RELEASE_LIMIT_NS // MS, f"call {call_id} is released {delay_ms} ms late"


WAITS_MS = st.integers(0, 4_000)
TRAFFIC = st.lists(st.tuples(st.sampled_from(["call", "end", "call"]), WAITS_MS), max_size=4)
OUTAGES_MS = st.integers(200, MAX_OUTAGE_MS)
TROUBLES = st.one_of(
    st.tuples(st.just("reset"), st.just(0)),
    st.tuples(st.just("outage"), OUTAGES_MS),
    st.tuples(st.just("hang"), OUTAGES_MS),
    st.tuples(st.just("die"), st.sampled_from([0, 0, 100])),
    st.tuples(st.just("vanish"), st.integers(0, 15_000)),
    st.tuples(st.just("vanish and tell"), st.integers(0, 2_000)),
)


def cause_trouble(world: World, kind: str, duration_ms: int) -> None:
    if kind == "reset":
        world.reset()
    elif kind == "outage":
        world.outage_until_ns = world.now + duration_ms * MS
        world.run(duration_ms)
    elif kind == "hang":
        world.hang_until_ns = world.now + duration_ms * MS
        world.run(duration_ms)
    else:
        world.replace(silent=kind != "die", gap_ms=duration_ms)
        if kind == "vanish and tell":
            world.run(duration_ms + 1_500)
            world.monitor.identity.address_taken(world.now, world.listening_ns)
        world.run(REPLACEMENT_INTERVAL_MS + duration_ms)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.tuples(TRAFFIC, TROUBLES, WAITS_MS), min_size=1, max_size=5))
def test_calls_that_go_on_are_kept_and_those_that_are_over_are_released_in_time(
    phases: list[tuple[list[tuple[str, int]], tuple[str, int], int]],
) -> None:
    """Guards against both mistakes about the process that holds the calls."""
    world = World()
    for traffic, (kind, duration_ms), quiet_ms in phases:
        for event, wait_ms in traffic:
            if event == "call":
                world.place_call()
            else:
                world.end_call()
            world.run(wait_ms)
        cause_trouble(world, kind, duration_ms)
        world.run(MIN_QUIET_MS + quiet_ms)
    world.run(SETTLE_MS)
    world.check_released()


BUSY_TROUBLES = st.one_of(
    st.tuples(st.just("reset"), st.just(0)),
    st.tuples(st.just("outage"), OUTAGES_MS),
    st.tuples(st.just("hang"), OUTAGES_MS),
    st.tuples(st.just("vanish"), st.integers(0, 500)),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.integers(12, 40), TRAFFIC, BUSY_TROUBLES, st.integers(0, 70), WAITS_MS)
def test_calls_at_a_group_that_others_use_are_kept_and_released_in_time(
    others: int, traffic: list[tuple[str, int]], trouble: tuple[str, int], fall: int, quiet_ms: int
) -> None:
    """A successor that others call soon has as many circuits in use as our calls occupy (review/6)."""
    world = World(others)
    for event, wait_ms in traffic:
        if event == "call":
            world.place_call()
        else:
            world.end_call()
        world.run(wait_ms)
    world.run(2 * REPORT_INTERVAL_MS)
    kind, duration_ms = trouble
    if kind in ("outage", "hang"):
        world.usual_others -= others * fall // 100  # calls of others that end meanwhile
    cause_trouble(world, kind, duration_ms)
    world.run(MIN_QUIET_MS + quiet_ms + SETTLE_MS)
    world.check_released()
