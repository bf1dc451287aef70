"""The sidecar drill: three applications, each beside its sidecar, over five stand-in exchanges.

What is played, at times drawn from the seed: the third application surges to five times its limit, partly on
one connection; an exchange drains by the event bus; a reload takes an exchange out of a pool, and one file is
found half written; an exchange resets its connections; after the surge one sidecar is killed and started
again under load, and one application dies with set-ups open and calls standing.
"""

from __future__ import annotations

import random
import signal
import time
from pathlib import Path
from typing import Any

import orjson

from arrowrail.lab import checks
from arrowrail.lab.checks import MS, CheckReport
from arrowrail.lab.drills import DrillResult
from arrowrail.lab.event_log import read_events
from arrowrail.lab.processes import ProcessManager, free_ports, is_listening, wait_until

S = 1_000 * MS
APPS = ("lifts", "panels", "engineers")
EXCHANGES = {"fuk-1": "fukuoka", "fuk-2": "fukuoka", "kum-1": "kumamoto", "kum-2": "kumamoto",
             "kag-1": "kagoshima"}  # fmt: skip
POOLS = {"fukuoka": ["fuk-1", "fuk-2"], "kumamoto": ["kum-1", "kum-2"]}
NUMBERS = {"fukuoka": "092", "kumamoto": "096", "kagoshima": "099"}
LIMIT_OPEN, LIMIT_RATE, RATE, SURGE = 30, 25, 12.0, 10.0  # a surge of ten times 12 is five times 25
RELOAD_BOUND = 4 * S  # a reload is in force by then: the folder's rest, its check and its hand-over
ORPHANS_S = 2
AFTER_BACK_S = 3.0  # calls go on for so long once the killed sidecar is back, however long its start took
LONGEST_START_S = 20.0
ORDINARY_SHARE = 0.99
MOST_ATTEMPTS = 2
PAUSE = 300 * MS
DRAIN_GRACE = 500 * MS


def _inventory(ports: dict[str, int], pools: dict[str, list[str]]) -> str:
    lines = ['site: {label: "drill", controllers: 3}']
    lines += [f'district: {name}: numbers: ["{prefix}"]' for name, prefix in NUMBERS.items()]
    lines += [
        'class: "alarm-video": {worth: 4, wanted: 2500ms, give_up: 9s, holding: 2s}',
        'class: "engineer-call": {worth: 3, wanted: 2s, give_up: 9s, holding: 2s}',
        'class: "status-report": {worth: 1, wanted: 2s, give_up: 9s, holding: 2s}',
    ]
    lines += [
        f'exchange: "{name}": {{district: district.{district}, address: "127.0.0.1:{ports[name]}", '
        "circuits: 200}"
        for name, district in EXCHANGES.items()
    ]
    for name, members in pools.items():
        listed = ", ".join(f"exchange.{m}" for m in members)
        lines.append(f"pool: {name}: {{exchanges: [{listed}], fallback: [pool.last]}}")
    lines.append("pool: last: {exchanges: [exchange.kag-1]}")
    return "\n".join(lines) + "\n"


def _application(name: str, port: int, bus: int) -> str:
    pools = "{fukuoka: pool.fukuoka, kumamoto: pool.kumamoto}"
    calls = "\n".join(
        f'    "{kind}": {{give_up: 3s, time_out: 1200ms, pools: {pools}}}'
        for kind in ("alarm-video", "engineer-call", "status-report")
    )
    return f"""include "inventory.rail"
application: {name}: {{
  listen: sip: "127.0.0.1:{port}"
  serves: [district.fukuoka, district.kumamoto]
  calls: {{
{calls}
  }}
  limits: {{open: {LIMIT_OPEN}, rate: {LIMIT_RATE}/s, connections: 20}}
  attempts: {MOST_ATTEMPTS}
  list: {{kind: "bus", address: "127.0.0.1:{bus}"}}
  orphans: {ORPHANS_S}s
  log: form: "json"
}}
"""


def _targets(ports: dict[str, int], states: dict[str, str]) -> list[dict[str, Any]]:
    return [
        {"uid": name, "endpoint": f"127.0.0.1:{ports[name]}", "az": "", "pod_group": 0,
         "state": states.get(name, "in_service"), "boot_ms": 0}
        for name in EXCHANGES
    ]  # fmt: skip


class Stage:
    """Sets the processes up, plays the cases and notes when each was told."""

    def __init__(self, seed: int, folder: Path, short: bool) -> None:
        self.random = random.Random(seed)
        self.folder, self.short = folder, short
        names = [*EXCHANGES, *APPS, "bus"]
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.processes = ProcessManager(folder)
        self.told: dict[str, int] = {}
        self.seconds = 9.0 if short else 16.0

    def ledger(self, name: str) -> Path:
        return self.folder / f"{name}.jsonl"

    def lines(self, name: str) -> list[dict[str, Any]]:
        return list(read_events(self.ledger(name)))

    def write(self, name: str, text: str) -> None:
        """As the tool does it: a whole file takes the place of the old one."""
        temporary = self.folder / "conf" / f".{name}.new"
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(self.folder / "conf" / name)

    def start_sidecar(self, app: str) -> None:
        self.processes.start(
            f"sidecar-{app}", "arrowrail", "sidecar", app, "--config", str(self.folder / "conf")
        )
        wait_until(lambda: is_listening(self.ports[app]), f"sidecar {app}")

    def start_app(self, app: str, name: str, seconds: float, surge: str, narrow: bool) -> None:
        arguments = ["--to", f"127.0.0.1:{self.ports[app]}", "--ledger", str(self.ledger(name)),
                     "--seed", str(self.random.randrange(1 << 30)), "--rate", str(RATE),
                     "--seconds", str(seconds), "--surge", surge, "--lines", "4"]  # fmt: skip
        for kind, weight in (("alarm-video", 1), ("engineer-call", 2), ("status-report", 7)):
            arguments += ["--class", f"{kind}={weight}"]
        for prefix in ("092", "096"):
            arguments += ["--number", prefix]
        self.processes.start(name, "arrowrail.lab.application", *arguments, *(["--narrow"] if narrow else []))

    def set_up(self) -> None:
        (self.folder / "conf").mkdir()
        self.write("inventory.rail", _inventory(self.ports, POOLS))
        for app in APPS:
            self.write(f"{app}.rail", _application(app, self.ports[app], self.ports["bus"]))
        cut = self.random.choice(("kum-1", "kum-2"))
        cut_at = self.random.uniform(4.0, 6.0)
        for name in EXCHANGES:
            fault = ["--fault", f"cut:{cut_at:.2f}:1"] if name == cut else []
            self.processes.start(name, "arrowrail.lab.exchange", "--listen", f"127.0.0.1:{self.ports[name]}",
                            "--ledger", str(self.ledger(name)), "--circuits", "200",
                            "--seed", str(self.random.randrange(1 << 30)), *fault)  # fmt: skip
        self.processes.start("bus", "arrowrail.lab.bus", "--listen", f"127.0.0.1:{self.ports['bus']}",
                        "--ledger", str(self.ledger("bus")))  # fmt: skip
        for name in (*EXCHANGES, "bus"):
            wait_until(lambda n=name: is_listening(self.ports[n]), name)  # type: ignore[misc]
        self.processes.send_line("bus", orjson.dumps(_targets(self.ports, {})))
        for app in APPS:
            self.start_sidecar(app)

    def reload(self) -> None:
        for app in APPS:
            self.processes.send_signal(f"sidecar-{app}", signal.SIGHUP)

    def play(self) -> None:
        began = time.monotonic()
        narrow = self.random.random() < 0.5

        def at(seconds: float) -> None:
            time.sleep(max(0.0, began + seconds - time.monotonic()))

        surge_from, surge_s = 2.0, self.seconds / 2 - 1.0
        for app in APPS:
            surge = f"{SURGE}:{surge_from}:{surge_s}" if app == APPS[2] else "1:0:0"
            self.start_app(app, f"app-{app}", self.seconds + LONGEST_START_S, surge, narrow)
        self.told["surge"] = time.time_ns() + int(surge_from * S)
        at(surge_from + self.random.uniform(0.2, 0.6))
        drained = self.random.choice(POOLS["fukuoka"])
        self.told["drain"], self.drained = time.time_ns(), drained
        self.processes.send_line("bus", orjson.dumps(_targets(self.ports, {drained: "terminating"})))
        at(surge_from + 0.8)
        # A file found half written: the reload must leave everything as it is.
        broken = _inventory(self.ports, POOLS)
        (self.folder / "conf" / "inventory.rail").write_text(broken[: len(broken) // 2], encoding="utf-8")
        self.reload()
        time.sleep(self.random.uniform(0.05, 0.4))
        taken_out = self.random.choice(POOLS["kumamoto"])
        self.taken_out = taken_out
        kept = [m for m in POOLS["kumamoto"] if m != taken_out]
        self.write("inventory.rail", _inventory(self.ports, POOLS | {"kumamoto": kept}))
        self.told["taken out"] = time.time_ns()
        self.reload()
        at(surge_from + surge_s)
        self.told["surge over"] = time.time_ns()
        at(surge_from + surge_s + 0.6)
        self.told["kill"] = time.time_ns()
        self.processes.kill("sidecar-lifts")
        self.processes.kill("app-panels")
        self.told["app killed"] = time.time_ns()
        time.sleep(self.random.uniform(0.1, 0.5))
        self.start_sidecar("lifts")
        self.told["back"] = time.time_ns()
        at(max(self.seconds, time.monotonic() - began + AFTER_BACK_S))
        for app in (APPS[0], APPS[2]):
            self.processes.send_line(f"app-{app}", orjson.dumps({"do": "stop"}))
        time.sleep(4.5)  # the last calls have their answers, and the last that stand are over
        self.told["end"] = time.time_ns()

    def stop(self) -> dict[str, int]:
        codes = {app: self.processes.terminate(f"sidecar-{app}") for app in APPS}
        for name in list(self.processes.running):
            self.processes.terminate(name)
        return codes


def run_drill(seed: int, folder: Path, short: bool = False) -> DrillResult:
    """Play it in an empty folder; some 15 s, or 25 s in its long form."""
    stage = Stage(seed, folder, short)
    report = CheckReport()
    with stage.processes:
        stage.set_up()
        stage.play()
        report.violations += stage.processes.unexpected_exits()
        codes = stage.stop()
    for app, code in codes.items():
        report.expect(code == 0, f"sidecar {app} ended with {code}")
    _judge(stage, report)
    return DrillResult("sidecar", seed, report.violations, report.metrics)


def _judge(stage: Stage, report: CheckReport) -> None:
    exchanges = {name: stage.lines(name) for name in EXCHANGES}
    told = stage.told
    by_call = checks.collect_attempts(exchanges)
    excused: set[str] = set()
    for app in APPS:
        lines = stage.lines(f"app-{app}")
        if app == "panels":  # the application died: what it had sent last has nobody to hear the answer
            excused |= {line["call"] for line in lines if line["what"] == "sent"
                        and line["t"] > told["app killed"] - checks.MAX_CALL_TIME}  # fmt: skip
        if app == "lifts":
            excused |= {line["call"] for line in lines if line["what"] == "sent"
                        and told["kill"] - 4 * S < line["t"] < told["back"]}  # fmt: skip
        calls = checks.check_single_answer(report, app, lines, told["app killed"] if app == "panels" else 0)
        share, count = checks.established_share(calls, lines, told["surge"], told["surge over"])
        report.metrics[f"{app}: share that stood in the surge"] = round(share, 4)
        report.metrics[f"{app}: calls in the surge"] = count
        if app != APPS[2]:
            report.expect(share >= ORDINARY_SHARE, f"{app}: {share:.4f} of {count} calls stood in the surge")
            later, after = checks.established_share(calls, lines, told["back"] + S, told["end"])
            report.metrics[f"{app}: share that stood after the kills"] = round(later, 4)
            if app == "lifts":
                report.expect(
                    after > 0 and later >= ORDINARY_SHARE, f"{app}: {later:.4f} of {after} stood later"
                )
        else:
            refused = [a for found in calls.values() for a in found if a["status"] == 503]
            report.metrics["engineers: refused"] = len(refused)
            report.expect(bool(refused), "the surge met no limit")
            report.expect(all(a["later"] > 0 for a in refused), "a refusal without X-Later-Ms")
            _at_once(report, lines)
            _within_limit(report, stage, lines, exchanges)
        if app != "panels":
            checks.check_release_notified(report, app, exchanges, lines, calls, 8 * S, told["end"])
    checks.check_attempts(report, by_call, MOST_ATTEMPTS, PAUSE, excused)
    checks.check_no_new_calls(report, stage.drained, exchanges[stage.drained], told["drain"], DRAIN_GRACE)
    checks.check_no_new_calls(report, stage.taken_out, exchanges[stage.taken_out], told["taken out"],
                      RELOAD_BOUND + DRAIN_GRACE)  # fmt: skip
    report.metrics["set-ups"] = sum(len(a) for a in by_call.values())
    report.metrics["calls tried again"] = sum(1 for a in by_call.values() if len(a) > 1)
    _orphans(report, stage, exchanges)


def _within_limit(
    report: CheckReport, stage: Stage, lines: list[dict[str, Any]], exchanges: dict[str, list[dict[str, Any]]]
) -> None:
    """Of the surge, exchanges saw no more than the rate, and what own and lent buckets held before it."""
    since, until_ = stage.told["surge"], stage.told["surge over"]
    sent = {line["call"] for line in lines if line["what"] == "sent" and since <= line["t"] < until_}
    seen = {line["call"] for found in exchanges.values() for line in found if line["what"] == "set_up"}
    count = len(seen & sent)
    most = LIMIT_RATE * (until_ - since) / S + 2 * LIMIT_RATE + 5
    report.metrics["engineers: calls of the surge that exchanges saw"] = count
    report.expect(count <= most, f"{count} calls of the surge passed the limit of {most:.0f}")


def _at_once(report: CheckReport, lines: list[dict[str, Any]]) -> None:
    """What is over the limit is refused at once: half of the refusals within 100 ms, as a bound for haste."""
    sent = {line["call"]: line["t"] for line in lines if line["what"] == "sent"}
    refused = [a for a in lines if a["what"] == "answer" and a["status"] == 503 and a["call"] in sent]
    waits = sorted(a["t"] - sent[a["call"]] for a in refused)
    if waits:
        report.metrics["refused after, median ms"] = round(waits[len(waits) // 2] / MS, 1)
        report.expect(waits[len(waits) // 2] < 100 * MS, "refusals are held back")


def _orphans(report: CheckReport, stage: Stage, exchanges: dict[str, list[dict[str, Any]]]) -> None:
    """Calls of the application that died are released, or over by themselves, soon after."""
    mine = {line["call"] for line in stage.lines("app-panels") if line["what"] == "sent"}
    limit = stage.told["app killed"] + (ORPHANS_S + 2) * S
    for name, lines in exchanges.items():
        stand: dict[str, int] = {}
        for line in lines:
            if line["what"] == "answered" and line["call"] in mine:
                stand[line["call"]] = line["t"]
            elif line["what"] in ("released", "over"):
                stand.pop(line["call"], None)
        if limit < stage.told["end"]:
            report.expect(not stand, f"{name}: {len(stand)} calls of a dead application still stand")
