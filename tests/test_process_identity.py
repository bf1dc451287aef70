"""What shows that a process still holds its calls, and what shows that another one has its address."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from arrowrail.failure_detection.address_reuse import find_predecessors, find_superseded
from arrowrail.failure_detection.call_loss import ADDRESS_TAKEN, MS, RESTARTED, SILENCE_LIMIT_NS, CallLoss
from arrowrail.failure_detection.endpoint import EndpointMonitor
from arrowrail.failure_detection.identity import Opening
from arrowrail.state.endpoints import TERMINATED, Endpoint, EndpointEntry

START = 1_000_000 * MS
OPENED, ANSWERED = START - 10_000 * MS, START - 5_000 * MS  # connection and call of the first process
LIMIT = SILENCE_LIMIT_NS // MS
CIRCUITS = 4  # of the established calls


def heard() -> EndpointMonitor:
    """A monitor whose server holds calls and was heard last at START."""
    monitor = EndpointMonitor(START - 60_000 * MS)
    monitor.data_received(START, OPENED, ANSWERED)
    return monitor


def greet(monitor: EndpointMonitor, after_ms: int, in_use: float) -> bool:
    """A new connection comes up and brings a report of the trunk group 5 ms later."""
    opening = monitor.connected(START + after_ms * MS)
    now = opening.opened_ns + 5 * MS
    monitor.data_received(now, opening.opened_ns, ANSWERED)
    held = 0 if monitor.identity.contradicted_ns else CIRCUITS
    return monitor.circuits_reported(now, opening, in_use, held)


def loss_at(monitor: EndpointMonitor, after_ms: int) -> CallLoss | None:
    return monitor.detect_loss(START + after_ms * MS)


def test_greetings_of_a_successor_do_not_keep_the_calls_of_a_vanished_process() -> None:
    """Review case 3 without the list: each check finds a process that greets, and it is another one."""
    monitor = heard()
    assert greet(monitor, 1000, in_use=0)
    for after in range(2000, 7000, 1000):
        assert not greet(monitor, after, in_use=0), "the calls are contradicted already"
    assert loss_at(monitor, LIMIT - 1) is None
    assert loss_at(monitor, LIMIT) == CallLoss(RESTARTED, START + 1000 * MS)
    assert loss_at(monitor, LIMIT + 8000) is None, "reported once"


@pytest.mark.parametrize("in_use", [2, 4, 9])
def test_a_report_with_most_circuits_in_use_contradicts_nothing(in_use: int) -> None:
    monitor = heard()
    assert not greet(monitor, 1000, in_use)
    assert loss_at(monitor, 60_000) is None


@pytest.mark.parametrize(
    ("reported_ms", "after_ms", "last", "in_use", "contradicts"),
    [
        (-100, 1000, 18, 4, True),  # four of others' calls are as many circuits as our calls occupy
        (-100, 1000, 18, 5, False),
        (-100, 1000, 7, 4, False),  # of so few many may end at once
        (-1100, 1000, 18, 4, False),  # a report of long before the last contact
        (-100, 3000, 18, 4, False),  # time enough for calls to end
    ],
)
def test_a_report_far_below_the_last_one_contradicts_even_if_it_covers_our_calls(
    reported_ms: int, after_ms: int, last: int, in_use: int, contradicts: bool
) -> None:
    """A successor that others have called already was taken for the process of before (review/6)."""
    monitor = heard()
    monitor.circuits_reported(START + reported_ms * MS, Opening(OPENED, OPENED), last, CIRCUITS)
    assert greet(monitor, after_ms, in_use) == contradicts
    expected = CallLoss(RESTARTED, START + after_ms * MS) if contradicts else None
    assert loss_at(monitor, 60_000) == expected


def test_a_contradiction_is_refuted_by_an_old_connection_or_by_the_release_of_an_old_call() -> None:
    for by_connection in (True, False):
        monitor = heard()
        assert greet(monitor, 1000, in_use=0)
        if by_connection:
            monitor.data_received(START + 6000 * MS, OPENED, ANSWERED)
        else:
            monitor.call_released(START + 6000 * MS, ANSWERED)
        assert loss_at(monitor, 60_000) is None


@pytest.mark.parametrize(("in_use", "loss"), [(6, None), (5, CallLoss(RESTARTED, START + 1))])
def test_after_an_outage_a_report_that_matches_the_last_one_keeps_the_calls_of_a_quiet_server(
    in_use: int, loss: CallLoss | None
) -> None:
    """Guards against cutting all calls of a server that had nothing to say during an outage and after it."""
    monitor = heard()
    monitor.circuits_reported(START, Opening(OPENED, OPENED), 6, 0)
    for after in (2100, 3300):
        monitor.check_failed(START + after * MS)
    assert not greet(monitor, 4500, in_use)
    assert loss_at(monitor, LIMIT) == loss


def test_a_late_contradiction_leaves_time_for_the_release_that_explains_it() -> None:
    monitor = heard()
    opening = monitor.connected(START + 1000 * MS)  # as after a reset of all connections
    monitor.data_received(START + 60_000 * MS, opening.opened_ns, ANSWERED)
    assert monitor.circuits_reported(START + 60_000 * MS, opening, 0, CIRCUITS)
    assert loss_at(monitor, 61_900) is None
    assert loss_at(monitor, 62_000) == CallLoss(RESTARTED, START + 1000 * MS)


def test_a_second_replacement_ends_only_the_calls_of_its_predecessor() -> None:
    monitor = heard()
    assert greet(monitor, 1000, in_use=0)
    later = monitor.connected(START + 4000 * MS)
    assert monitor.circuits_reported(START + 4005 * MS, later, 0, 1)  # a call answered in between
    assert loss_at(monitor, LIMIT) == CallLoss(RESTARTED, START + 1000 * MS)
    heard_before = later.heard_before_ns // MS - START // MS
    assert loss_at(monitor, heard_before + LIMIT - 1) is None
    assert loss_at(monitor, heard_before + LIMIT) == CallLoss(RESTARTED, START + 4000 * MS)


def test_the_list_ends_the_calls_of_a_server_whose_address_another_one_has() -> None:
    """Review case 3: the successor greets before the list has it, and the list has it before the limit."""
    monitor = heard()
    greet(monitor, 1000, in_use=4)
    taken_ns = START + 800 * MS
    monitor.identity.address_taken(START + 2300 * MS, taken_ns)
    monitor.data_received(START + 2301 * MS, START + 1000 * MS, ANSWERED)
    assert not monitor.check_due(START + 9000 * MS), "a check would reach the successor"
    assert loss_at(monitor, 2302) == CallLoss(ADDRESS_TAKEN, taken_ns)
    # The same entry, listed again, says nothing about the calls that the successor has answered since.
    monitor.identity.address_taken(START + 5000 * MS, taken_ns)
    assert loss_at(monitor, 60_000) is None


def test_a_server_heard_after_the_other_ones_start_is_given_the_time_limit() -> None:
    """The other server may have been started long before it took the address."""
    monitor = heard()
    monitor.identity.address_taken(START + 2000 * MS, START - 3000 * MS)
    monitor.data_received(START + 2100 * MS, OPENED, ANSWERED)
    monitor.data_received(START + 5000 * MS, START + 2500 * MS, ANSWERED)  # of the other server
    assert loss_at(monitor, 2100 + LIMIT - 1) is None
    assert loss_at(monitor, 2100 + LIMIT) == CallLoss(ADDRESS_TAKEN, START + 2100 * MS + 1)


def test_a_monitor_created_after_the_other_ones_start_has_only_heard_that_one() -> None:
    monitor = heard()
    monitor.identity.address_taken(START, START - 70_000 * MS)
    assert loss_at(monitor, 60_000) is None


def endpoint(number: int, address: str, started_ms: int, state: str = "in_service") -> Endpoint:
    entry = EndpointEntry(f"d{number}", address, "z", number, state, started_ms * MS)
    return Endpoint(number, "bus", entry, entry)


def replace_entry(endpoint: Endpoint, **changes: Any) -> Endpoint:
    entry = replace(endpoint.entry, **changes)
    return replace(endpoint, entry=entry, listed=entry)


@pytest.mark.parametrize(
    ("new", "predecessors"),
    [
        (endpoint(9, "a:1", 500), [1]),
        (endpoint(9, "a:1", 500, "terminating"), [1]),
        (endpoint(9, "a:1", 500, TERMINATED), []),
        (endpoint(9, "a:1", 0), []),  # its start is not known
        (endpoint(9, "a:2", 300), []),  # the one listed there started later
        (endpoint(9, "a:3", 500), []),  # that one is gone already
        (endpoint(9, "a:4", 500), []),
        (replace_entry(endpoint(9, "a:1", 500), point_code=7), []),  # another one behind the same gateway
        (replace_entry(endpoint(9, "a:1", 500), backend="m3ua"), []),
    ],
)
def test_the_server_with_the_later_start_has_taken_the_address(
    new: Endpoint, predecessors: list[int]
) -> None:
    listed = [endpoint(1, "a:1", 0), endpoint(2, "a:2", 400), endpoint(3, "a:3", 0, TERMINATED), new]
    found = list(find_predecessors([new], listed))
    assert found == [(listed[n - 1], new.entry.started_ns) for n in predecessors]
    superseded_by_new = find_superseded(listed) - {new.endpoint_id}
    assert superseded_by_new == set(predecessors)
