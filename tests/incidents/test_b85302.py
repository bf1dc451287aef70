"""Incident b85302: servers vanish with calls standing on them while discovery is down.

Real processes: the program as the platform starts it, stand-in servers behind the project's proxy, and
discovery that is out of reach.  The callers have to hear of the end of their calls within 8 s (PROTOCOL, "The
rules on sockets").
"""

from __future__ import annotations

import time
from pathlib import Path

from tests.live import TIMEOUT_S, Caller
from tests.scenario import start_scenario

TOLD_WITHIN_S = 8.05  # the limit and its slack


def releases(caller: Caller, wanted: set[str], since: float) -> dict[str, float]:
    """The calls that the caller is told to be over within the limit, with the seconds that it took."""
    told: dict[str, float] = {}
    while wanted - told.keys():
        left = since + TOLD_WITHIN_S - time.monotonic()
        if left <= 0:
            break
        caller.sock.settimeout(left)
        try:
            message = caller.receive(lambda m: m.method == "BYE")
        except TimeoutError:
            break
        told[message.call_id] = time.monotonic() - since
    caller.sock.settimeout(TIMEOUT_S)
    return told


def test_callers_are_told_when_their_server_vanishes_while_discovery_is_down(tmp_path: Path) -> None:
    with start_scenario(tmp_path) as trial:
        caller = Caller(trial.controller_port)
        lost, kept = (
            trial.establish_calls(caller, 1, 5, exchange=1),
            trial.establish_calls(caller, 101, 5, exchange=2),
        )
        assert len(lost) >= 3 and len(kept) >= 3
        vanished = trial.inject_fault("s1", "vanish")
        told = releases(caller, set(lost), vanished)
        assert set(lost) - told.keys() == set(), "their callers were not told in time"
        # The other server is as quiet, and goes on: its calls are not touched.
        assert not told.keys() & set(kept)
        caller.send("BYE", kept[0])
        assert caller.receive_response(kept[0], "BYE").status == 200


def test_callers_are_told_when_a_new_process_takes_the_place_of_a_vanished_one(tmp_path: Path) -> None:
    with start_scenario(tmp_path) as trial:
        caller = Caller(trial.controller_port)
        lost = trial.establish_calls(caller, 1, 5, exchange=1)
        assert len(lost) >= 3
        vanished = trial.inject_fault("s1", "vanish")
        time.sleep(4.0)
        # Connections come up again; those of before stay silent.
        trial.inject_fault("s1", "pass", forget=True)
        assert releases(caller, set(lost), vanished).keys() == set(lost)


def test_callers_are_told_when_a_server_dies_and_is_back_before_anybody_says_so(tmp_path: Path) -> None:
    with start_scenario(tmp_path) as trial:
        caller = Caller(trial.controller_port)
        lost = trial.establish_calls(caller, 1, 5, exchange=1)
        assert len(lost) >= 3
        died = trial.inject_fault("s1", "refuse")
        time.sleep(1.0)
        trial.inject_fault("s1", "pass")
        assert releases(caller, set(lost), died).keys() == set(lost)


def test_callers_are_told_when_the_end_of_their_calls_falls_into_a_hang(tmp_path: Path) -> None:
    with start_scenario(tmp_path, hold_ms=2000) as trial:  # calls end 1 to 3 s after they are answered
        caller = Caller(trial.controller_port)
        over = trial.establish_calls(caller, 1, 5, exchange=1)
        assert len(over) >= 3
        hung = trial.inject_fault("s1", "hang")  # connections come up, and nothing is said on them
        assert releases(caller, set(over), hung).keys() == set(over)


def test_calls_outlive_an_outage_of_the_link_that_is_mended_in_time(tmp_path: Path) -> None:
    with start_scenario(tmp_path) as trial:
        caller = Caller(trial.controller_port)
        kept = trial.establish_calls(caller, 1, 5, exchange=1)
        assert len(kept) >= 3
        since = trial.inject_fault("s1", "vanish")
        time.sleep(5.0)
        trial.inject_fault("s1", "pass")
        # One more call: its group changes, and the server says so on the connections of before.
        kept += trial.establish_calls(caller, 11, 1, exchange=1)
        assert releases(caller, set(kept), since + 2.0).keys() == set()
        for call in kept:
            caller.send("BYE", call)
            assert caller.receive_response(call, "BYE").status == 200


def test_calls_outlive_resets_of_all_connections(tmp_path: Path) -> None:
    with start_scenario(tmp_path) as trial:
        caller = Caller(trial.controller_port)
        kept = trial.establish_calls(caller, 1, 5, exchange=1)
        since = time.monotonic()
        for _ in range(3):
            trial.inject_fault("s1", "reset")
            time.sleep(0.5)
        assert releases(caller, set(kept), since + 2.0).keys() == set()
