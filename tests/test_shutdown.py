"""From SIGTERM to SIGKILL: every request accepted meanwhile gets its one final response in time."""

from __future__ import annotations

import os
import signal
import threading
import time
from pathlib import Path

import pytest

from tests.live import Caller
from tests.scenario import Scenario, start_scenario

KILL_AFTER_DEADLINE_S = 0.7  # PROTOCOL: after the longest deadline, which counts as 3 s at most
SEND_STOP_S = 0.15  # before the kill; requests sent later cannot be answered in time


class RequestSender(threading.Thread):
    """Sends requests on one open connection until a given time, and records the responses."""

    def __init__(self, scenario: Scenario, until: float, patience_ms: int) -> None:
        super().__init__(daemon=True)
        self.caller, self.until, self.patience_ms = Caller(scenario.controller_port), until, patience_ms
        self.sent: list[str] = []
        self.answers: list[str] = []

    def run(self) -> None:
        reader = threading.Thread(target=self._read, daemon=True)
        reader.start()
        while time.monotonic() < self.until:
            call = os.urandom(8).hex()
            self.sent.append(call)
            try:
                self.caller.invite(call, patience_ms=self.patience_ms)
            except OSError:
                break  # connection closed; the call counts as unanswered
            time.sleep(0.05)
        reader.join(5)

    def _read(self) -> None:
        try:
            while True:
                message = self.caller.receive(lambda m: m.status >= 200 and m.cseq_method == "INVITE")
                self.answers.append(message.call_id)
        except (EOFError, OSError):
            return


@pytest.mark.parametrize(("deadline_ms", "signals"), [
    (9000, (signal.SIGTERM,)),
    (1200, (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)),
])  # fmt: skip
def test_all_requests_until_the_kill_are_answered_while_servers_hang(
    tmp_path: Path, deadline_ms: int, signals: tuple[signal.Signals, ...]
) -> None:
    with start_scenario(tmp_path, deadline_ms=deadline_ms) as scenario:
        for route in ("s1", "s2"):
            scenario.inject_fault(route, "hang")
        signalled = time.monotonic()
        kill_time = signalled + min(deadline_ms / 1000, 3.0) + KILL_AFTER_DEADLINE_S
        sender = RequestSender(scenario, kill_time - SEND_STOP_S, deadline_ms)
        for signal_number in signals:
            scenario.processes.send_signal("n0", signal_number)
        sender.start()
        time.sleep(max(0.0, kill_time - time.monotonic()))
        scenario.processes.kill("n0")
        sender.join(10)
        assert len(sender.sent) > 10
        unanswered = [call for call in sender.sent if call not in sender.answers]
        assert unanswered == [], "accepted, but not answered before the kill"
        assert len(set(sender.answers)) == len(sender.answers)


def test_requests_are_served_after_sigterm_and_established_calls_go_on(
    tmp_path: Path,
) -> None:
    with start_scenario(tmp_path) as scenario:
        caller = Caller(scenario.controller_port)
        established = scenario.establish_calls(caller, 1, 3, exchange=1)
        scenario.processes.send_signal("n0", signal.SIGTERM)
        time.sleep(1.5)
        established += scenario.establish_calls(caller, 11, 3, exchange=2)
        assert len(established) >= 5, "requests on an open connection are still served"
        assert scenario.processes.running["n0"].wait(10) == 0
        for name in ("s1", "s2"):
            event_log = (tmp_path / f"{name}.jsonl").read_text()
            assert '"what":"released"' not in event_log, "no established call was released"
