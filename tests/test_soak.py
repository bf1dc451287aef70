"""The soak: its judge sees each rule broken, plans are reproducible, and a fixed set of seeds passes."""

from __future__ import annotations

import subprocess
import sys
from collections import defaultdict
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path
from typing import Any

import orjson
import pytest

from arrowrail.lab.processes import ROOT
from arrowrail.lab.soak.checks import check_history
from arrowrail.lab.soak.history import load_history
from arrowrail.lab.soak.plan import Plan, generate_plan
from arrowrail.lab.soak.trace import trace_call

MS = 1_000_000
CALL = "00000000000000a1"
# Between them they play most faults; what a seed has found so far is a test of its own elsewhere.
SEEDS = (3, 7, 303, 307)
AT_ONCE = 2


class Ledgers:
    """The ledgers of a trial, written line by line at times in ms."""

    def __init__(self) -> None:
        self.lines: dict[str, list[dict[str, Any]]] = defaultdict(list)

    def say(self, who: str, at_ms: int, what: str, **facts: Any) -> Ledgers:
        self.lines[who].append({"t": at_ms * MS, "what": what, **facts})
        return self

    def drop(self, who: str, what: str) -> Ledgers:
        self.lines[who] = [line for line in self.lines[who] if line["what"] != what]
        return self

    def rules(self, folder: Path, plan: Plan) -> list[str]:
        """The rules that the judge finds broken."""
        for who, lines in self.lines.items():
            lines.sort(key=lambda line: line["t"])
            (folder / f"{who}.jsonl").write_bytes(b"\n".join(orjson.dumps(line) for line in lines))
        return sorted({breach.rule for breach in check_history(load_history(plan, folder))})


def quiet_plan() -> Plan:
    plan = replace(generate_plan(1), controllers=1, servers=2, faults=(), sockets=256, circuits=20)
    return replace(plan, classes=tuple(replace(c, hold_ms=4000) for c in plan.classes))


def good() -> Ledgers:
    """One call that is served, ends and is released, within a trial that ends long after it."""
    told = Ledgers()
    told.say("player", 0, "began", seconds=16).say("player", 40_000, "ended")
    told.say("s1", 0, "started").say("s2", 0, "started")
    told.say("n0.callers", 1000, "placed", call=CALL, kind="status-report", patience_ms=2000, exchange=1)
    told.say("n0.callers", 1000, "sent", call=CALL, line=1, resent=False)
    told.say("proxy", 1001, "set_up", way="out", route="n0.s1", connection=1, call=CALL, cause=0)
    told.say("s1", 1010, "answered", call=CALL)
    told.say("proxy", 1011, "answer", way="in", route="n0.s1", connection=1, call=CALL, cause=0)
    told.say("n0.callers", 1012, "answer", call=CALL, status=200, line=1, made_by=f"o=s1 {CALL}")
    told.say("s1", 5000, "over", call=CALL)
    told.say("proxy", 5001, "release", way="in", route="n0.s1", connection=1, call=CALL, cause=16)
    return told.say("n0.callers", 5002, "bye", call=CALL, line=1, reason="")


def second_attempt(told: Ledgers, at_ms: int, end_ms: int, how: str = "release", way: str = "out") -> Ledgers:
    """An attempt before the one that is answered, from 200 ms to an end."""
    told.say("proxy", 200, "set_up", way="out", route="n0.s2", connection=2, call=CALL, cause=0)
    return told.say("proxy", end_ms, how, way=way, route="n0.s2", connection=2, call=CALL, cause=16)


def listed(told: Ledgers, state: str, at_ms: int) -> Ledgers:
    return told.say("player", at_ms, "listed", controller="n0", server="s1", state=state, offset=2)


BROKEN: dict[str, tuple[str, Callable[[Ledgers], object]]] = {
    "two answers": ("answer", lambda t: t.say(
        "n0.callers", 1013, "answer", call=CALL, status=503, line=1, made_by="")),
    "no answer": ("lost", lambda t: t.drop("n0.callers", "answer").drop("n0.callers", "bye")),
    "closed under it": ("lost", lambda t: t.drop("n0.callers", "answer").drop("n0.callers", "bye").say(
        "n0.callers", 1012, "lost", line=1, why="closed", calls=[CALL], crossed=[])),
    "answered too late": ("answer", lambda t: t.drop("n0.callers", "answer").say(
        "n0.callers", 3600, "answer", call=CALL, status=503, line=1, made_by="").drop("n0.callers", "bye")),
    "served by nobody": ("answer", lambda t: t.drop("n0.callers", "answer").say(
        "n0.callers", 1012, "answer", call=CALL, status=200, line=1, made_by="o=s1 00000000000000b2")),
    "unreadable": ("readable", lambda t: t.say("n0.callers", 1012, "unreadable", line=1, why="noise")),
    "answer to nothing": ("readable", lambda t: t.say(
        "n0.callers", 1012, "answer", call="00000000000000ff", status=503, line=1, made_by="")),
    "two at once": ("attempts", lambda t: second_attempt(t, 200, 1500)),
    "no pause": ("pause", lambda t: second_attempt(t, 200, 800)),
    "five attempts": ("attempts", lambda t: [
        t.say("proxy", 100 + n, "set_up", way="out", route="n0.s2", connection=2, call=CALL, cause=0).say(
            "proxy", 101 + n, "release", way="in", route="n0.s2", connection=2, call=CALL, cause=34)
        for n in range(0, 40, 10)]),
    "after a drain that was handed over": ("drain", lambda t: listed(t, "terminating", 100).say(
        "proxy", 110, "discovery_event", route="n0.discovery-a", offset=2)),
    "after a drain told by its limit": ("drain", lambda t: [
        listed(t, "terminating", 1000),
        t.say("proxy", 8000, "set_up", way="out", route="n0.s1", connection=1, call=CALL, cause=0)]),
    "told late": ("release", lambda t: t.drop("n0.callers", "bye").say(
        "n0.callers", 6100, "bye", call=CALL, line=1, reason="")),
    "never told, its server gone": ("release", lambda t: t.drop("n0.callers", "bye").drop("s1", "over").drop(
        "proxy", "release").say("player", 5000, "server_ended", server="s1", how="vanish")),
    "cut": ("cut", lambda t: t.drop("s1", "over").drop("proxy", "release").say(
        "s1", 5003, "released", call=CALL, stood=True, known=True)),
    "left standing": ("standing", lambda t: t.drop("s1", "over").drop("proxy", "release").drop(
        "n0.callers", "bye").say("n0.callers", 5000, "hung_up", call=CALL)),
    "lost at a shutdown": ("lost", lambda t: t.drop("n0.callers", "answer").drop("n0.callers", "bye").say(
        "player", 500, "controller_told_to_end", controller="n0", kill_s=1.0).say(
        "player", 1500, "controller_killed", controller="n0", ended=False).say("n0.callers", 2500, "ready")),
    "not ready": ("ready", lambda t: t.say(
        "player", 20_000, "controller_killed", controller="n0", ended=False)),
    "crash": ("crash", lambda t: t.say("player", 900, "controller_crashed", controller="n0", code=-9)),
    "memory": ("memory", lambda t: t.say(
        "player", 900, "usage", controller="n0", memory_mb=200.0, descriptors=9)),
    "descriptors": ("descriptors", lambda t: t.say(
        "player", 900, "usage", controller="n0", memory_mb=20.0, descriptors=257)),
    "rude left waiting": ("rude", lambda t: t.say("n0.callers", 4000, "rude", how="half", answered=False)),
    "rude served": ("rude", lambda t: t.say("n0.callers", 4000, "rude_served", how="no_class")),
    "cold": ("cold", lambda t: [t.say("player", 10_000, "server_started", server="s2")] + [
        t.say("proxy", 10_100 + n, "set_up", way="out", route="n0.s2", connection=3, call=f"{n:016x}",
              cause=0)
        for n in range(60)]),
    "served nobody": ("share", lambda t: [
        t.say("n0.callers", 20_000 + n, "placed", call=f"{n:016x}", kind="status-report", patience_ms=500,
              exchange=2).say("n0.callers", 20_000 + n, "sent", call=f"{n:016x}", line=1, resent=False).say(
            "n0.callers", 20_001 + n, "answer", call=f"{n:016x}", status=503, line=1, made_by="")
        for n in range(30)]),
}  # fmt: skip


def test_a_trial_without_fault_breaks_no_rule(tmp_path: Path) -> None:
    assert good().rules(tmp_path, quiet_plan()) == []


@pytest.mark.parametrize("name", BROKEN)
def test_the_judge_sees_the_rule_broken_and_no_other(name: str, tmp_path: Path) -> None:
    rule, break_it = BROKEN[name]
    ledgers = good()
    break_it(ledgers)
    assert ledgers.rules(tmp_path, quiet_plan()) == [rule]


def test_a_plan_follows_from_its_seed_and_faults_can_be_left_out() -> None:
    plan = generate_plan(5)
    assert plan == generate_plan(5) and plan != generate_plan(6)
    numbers = {fault.number for fault in plan.faults}
    assert {f.number for f in plan.without({min(numbers)}).faults} == numbers - {min(numbers)}
    assert len({fault.kind for seed in range(200) for fault in generate_plan(seed).faults}) == 23


def test_a_trace_tells_a_call_from_all_sides(tmp_path: Path) -> None:
    good().rules(tmp_path, quiet_plan())
    (tmp_path / "n0.log").write_text(
        f"1970-01-01 00:00:01.002 | DEBUG    | a:b:1 - call {CALL}: attempt 0 to s1\n"
    )
    lines = trace_call(tmp_path, CALL)
    parties = {line.split()[1] for line in lines}
    assert {"n0.callers", "proxy", "s1", "n0"} <= parties
    assert lines == sorted(lines, key=lambda line: float(line.split()[0]))


def test_a_fixed_set_of_seeds_breaks_no_rule() -> None:
    def play(seed: int) -> tuple[int, str]:
        asked = [sys.executable, "-m", "arrowrail", "drill", "soak", "--seed", str(seed)]
        done = subprocess.run(asked, cwd=ROOT, capture_output=True, text=True, timeout=120, check=False)
        return done.returncode, done.stdout[-3000:] + done.stderr[-1000:]

    with ThreadPoolExecutor(AT_ONCE) as pool:
        for seed, (code, said) in zip(SEEDS, pool.map(play, SEEDS), strict=True):
            assert code == 0, f"seed {seed}:\n{said}"
