"""Incident "replaced process": another process has the address of the one that holds the calls.

Its greetings were taken for a sign of life of its predecessor, whose callers heard nothing until the exchange
list reported the end.  Real processes, as in ``test_b85302``; the proxy leads the address to a spare server.
"""

from __future__ import annotations

import time
from pathlib import Path

import pytest

from arrowrail.lab.platform import Server
from tests.incidents.test_b85302 import released_calls
from tests.live import Caller
from tests.scenario import Scenario, start_scenario

CALLS = 4


def established(scenario: Scenario, caller: Caller) -> set[str]:
    calls = scenario.establish_calls(caller, 1, CALLS, exchange=1)
    assert len(calls) == CALLS
    return set(calls)


@pytest.mark.parametrize("after_s", [0.0, 0.8, 2.0])
def test_callers_are_told_when_a_successor_greets_at_a_vanished_servers_address(
    tmp_path: Path, after_s: float
) -> None:
    """Guards against greetings of the successor keeping the calls, while discovery is down."""
    with start_scenario(tmp_path) as scenario:
        caller = Caller(scenario.controller_port)
        lost = established(scenario, caller)
        vanished_at = scenario.inject_fault("s1", "vanish")
        time.sleep(after_s)
        scenario.inject_fault("s1", "pass", forget=True, upstream=scenario.spare_address)
        assert released_calls(caller, lost, vanished_at).keys() == lost


def test_callers_are_told_when_a_process_dies_and_another_has_its_address_at_once(tmp_path: Path) -> None:
    """Guards against a replacement without a refused connection passing for a reset of connections."""
    with start_scenario(tmp_path) as scenario:
        caller = Caller(scenario.controller_port)
        lost = established(scenario, caller)
        died_at = scenario.inject_fault("s1", "reset", upstream=scenario.spare_address)
        assert released_calls(caller, lost, died_at).keys() == lost


def test_callers_are_told_when_the_list_has_a_successor_at_the_same_address(tmp_path: Path) -> None:
    """Guards against a listed successor being ignored while its predecessor's entry is in service."""
    with start_scenario(tmp_path, discovery=True) as scenario:
        caller = Caller(scenario.controller_port)
        lost = established(scenario, caller)
        vanished_at = scenario.inject_fault("s1", "vanish")
        time.sleep(0.8)
        started_ms = int(time.time() * 1000)
        # The very server of before as upstream: its reports show the calls, and contradict nothing.
        scenario.inject_fault("s1", "pass", forget=True)
        time.sleep(1.5)
        scenario.publish(Server("s1b", scenario.addresses["s1"], 1, started_ms=started_ms))
        assert released_calls(caller, lost, vanished_at).keys() == lost
