"""From SIGTERM to the kill: whatever the program takes meanwhile gets its one final answer before the
kill."""

from __future__ import annotations

import os
import signal
import threading
import time
from pathlib import Path

import pytest

from tests.live import Caller
from tests.world import World, world

EXTRA_S = 0.7  # PROTOCOL: the kill comes that long after the longest deadline, which counts as 3 s at most
LAST_S = 0.15  # what is sent later than that before the kill can't be answered by anybody


class Sender(threading.Thread):
    """Sends requests on one open connection until a time, and notes what is answered."""

    def __init__(self, trial: World, until: float, patience_ms: int) -> None:
        super().__init__(daemon=True)
        self.caller, self.until, self.patience_ms = Caller(trial.controller), until, patience_ms
        self.sent: list[str] = []
        self.answers: list[str] = []

    def run(self) -> None:
        reader = threading.Thread(target=self._read, daemon=True)
        reader.start()
        while time.monotonic() < self.until:
            call = os.urandom(8).hex()
            self.sent.append(call)
            try:
                self.caller.invite(call, patience=self.patience_ms)
            except OSError:
                break  # closed under it: the call counts as unanswered
            time.sleep(0.05)
        reader.join(5)

    def _read(self) -> None:
        try:
            while True:
                message = self.caller.take(lambda m: m.status >= 200 and m.cseq_method == "INVITE")
                self.answers.append(message.call_id)
        except (EOFError, OSError):
            return


@pytest.mark.parametrize(("deadline_ms", "signals"), [
    (9000, (signal.SIGTERM,)),
    (1200, (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)),
])  # fmt: skip
def test_what_comes_until_the_kill_is_answered_while_servers_hang(
    tmp_path: Path, deadline_ms: int, signals: tuple[signal.Signals, ...]
) -> None:
    with world(tmp_path, deadline_ms=deadline_ms) as trial:
        for route in ("s1", "s2"):
            trial.fault(route, "hang")
        told = time.monotonic()
        kill = told + min(deadline_ms / 1000, 3.0) + EXTRA_S
        sender = Sender(trial, kill - LAST_S, deadline_ms)
        for number in signals:
            trial.crew.send("n0", number)
        sender.start()
        time.sleep(max(0.0, kill - time.monotonic()))
        trial.crew.kill("n0")
        sender.join(10)
        assert len(sender.sent) > 10
        unanswered = [call for call in sender.sent if call not in sender.answers]
        assert unanswered == [], "taken, and not answered when the kill came"
        assert len(set(sender.answers)) == len(sender.answers)


def test_what_can_be_served_before_the_kill_is_served_and_what_stands_goes_on(
    tmp_path: Path,
) -> None:
    with world(tmp_path) as trial:
        caller = Caller(trial.controller)
        standing = trial.stand(caller, 1, 3, exchange=1)
        trial.crew.send("n0", signal.SIGTERM)
        time.sleep(1.5)
        standing += trial.stand(caller, 11, 3, exchange=2)
        assert len(standing) >= 5, "requests on an open connection are still served"
        assert trial.crew.running["n0"].wait(10) == 0
        for name in ("s1", "s2"):
            ledger = (tmp_path / f"{name}.jsonl").read_text()
            assert '"what":"released"' not in ledger, "no call that stands was cut"
