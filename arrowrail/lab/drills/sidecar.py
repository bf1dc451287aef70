"""The sidecar drill: three applications, each with its sidecar, and five stand-in exchanges.

Scenario, at times drawn from the seed: the third application surges to five times its limit, for some seeds
on one connection; the event bus announces the drain of an exchange; a reload removes an exchange from a pool,
and another one reads a file that is written only in part; an exchange resets its connections; after the surge
one sidecar is killed and restarted under load, and one application is killed with open set-ups and
established calls.
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
# A surge to 10 times the rate of 12 is about 5 times the limit of 25.
LIMIT_OPEN, LIMIT_RATE, RATE, SURGE_FACTOR = 30, 25, 12.0, 10.0
MAX_RELOAD_NS = 4 * S  # waiting until the folder is stable, checking it and applying the new settings
ORPHANS_S = 2  # setting ``orphans``: when the calls of a lost application are released
AFTER_RESTART_S = 3.0  # how long calls go on once the killed sidecar is back, however long its start took
MAX_START_S = 20.0
MIN_ESTABLISHED_SHARE = 0.99  # of the calls of applications that stay within their limits
MAX_ATTEMPTS = 2
RELEASE_PAUSE_NS = 300 * MS
DRAIN_GRACE_NS = 500 * MS


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


def _application_config(name: str, port: int, bus_port: int) -> str:
    pools = "{fukuoka: pool.fukuoka, kumamoto: pool.kumamoto}"
    calls = "\n".join(
        f'    "{class_name}": {{give_up: 3s, time_out: 1200ms, pools: {pools}}}'
        for class_name in ("alarm-video", "engineer-call", "status-report")
    )
    return f"""include "inventory.rail"
application: {name}: {{
  listen: sip: "127.0.0.1:{port}"
  serves: [district.fukuoka, district.kumamoto]
  calls: {{
{calls}
  }}
  limits: {{open: {LIMIT_OPEN}, rate: {LIMIT_RATE}/s, connections: 20}}
  attempts: {MAX_ATTEMPTS}
  list: {{kind: "bus", address: "127.0.0.1:{bus_port}"}}
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


class SidecarDrill:
    """Starts the processes, runs the scenario and records the times of its steps."""

    def __init__(self, seed: int, folder: Path, short: bool) -> None:
        self.random = random.Random(seed)
        self.folder, self.short = folder, short
        names = [*EXCHANGES, *APPS, "bus"]
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.processes = ProcessManager(folder)
        self.timestamps: dict[str, int] = {}
        self.seconds = 9.0 if short else 16.0

    def event_log_path(self, name: str) -> Path:
        return self.folder / f"{name}.jsonl"

    def events(self, name: str) -> list[dict[str, Any]]:
        return list(read_events(self.event_log_path(name)))

    def write(self, name: str, text: str) -> None:
        """Replace the file atomically, as ``arrowrail config write`` does."""
        temporary = self.folder / "conf" / f".{name}.new"
        temporary.write_text(text, encoding="utf-8")
        temporary.replace(self.folder / "conf" / name)

    def start_sidecar(self, app: str) -> None:
        self.processes.start(
            f"sidecar-{app}", "arrowrail", "sidecar", app, "--config", str(self.folder / "conf")
        )
        wait_until(lambda: is_listening(self.ports[app]), f"sidecar {app}")

    def start_app(self, app: str, name: str, seconds: float, surge: str, single_connection: bool) -> None:
        arguments = ["--to", f"127.0.0.1:{self.ports[app]}", "--ledger", str(self.event_log_path(name)),
                     "--seed", str(self.random.randrange(1 << 30)), "--rate", str(RATE),
                     "--seconds", str(seconds), "--surge", surge, "--lines", "4"]  # fmt: skip
        for class_name, weight in (("alarm-video", 1), ("engineer-call", 2), ("status-report", 7)):
            arguments += ["--class", f"{class_name}={weight}"]
        for prefix in ("092", "096"):
            arguments += ["--number", prefix]
        self.processes.start(
            name, "arrowrail.lab.application", *arguments, *(["--narrow"] if single_connection else [])
        )

    def start_processes(self) -> None:
        (self.folder / "conf").mkdir()
        self.write("inventory.rail", _inventory(self.ports, POOLS))
        for app in APPS:
            self.write(f"{app}.rail", _application_config(app, self.ports[app], self.ports["bus"]))
        faulty = self.random.choice(("kum-1", "kum-2"))
        reset_at_s = self.random.uniform(4.0, 6.0)
        for name in EXCHANGES:
            fault = ["--fault", f"cut:{reset_at_s:.2f}:1"] if name == faulty else []
            self.processes.start(
                name, "arrowrail.lab.exchange", "--listen", f"127.0.0.1:{self.ports[name]}",
                "--ledger", str(self.event_log_path(name)), "--circuits", "200",
                "--seed", str(self.random.randrange(1 << 30)), *fault,
            )  # fmt: skip
        self.processes.start(
            "bus", "arrowrail.lab.bus", "--listen", f"127.0.0.1:{self.ports['bus']}",
            "--ledger", str(self.event_log_path("bus")),
        )  # fmt: skip
        for name in (*EXCHANGES, "bus"):
            wait_until(lambda n=name: is_listening(self.ports[n]), name)  # type: ignore[misc]
        self.processes.send_line("bus", orjson.dumps(_targets(self.ports, {})))
        for app in APPS:
            self.start_sidecar(app)

    def reload(self) -> None:
        for app in APPS:
            self.processes.send_signal(f"sidecar-{app}", signal.SIGHUP)

    def run_scenario(self) -> None:
        started = time.monotonic()
        single_connection = self.random.random() < 0.5

        def sleep_until(seconds: float) -> None:
            time.sleep(max(0.0, started + seconds - time.monotonic()))

        surge_start_s, surge_s = 2.0, self.seconds / 2 - 1.0
        for app in APPS:
            surge = f"{SURGE_FACTOR}:{surge_start_s}:{surge_s}" if app == APPS[2] else "1:0:0"
            self.start_app(app, f"app-{app}", self.seconds + MAX_START_S, surge, single_connection)
        self.timestamps["surge"] = time.time_ns() + int(surge_start_s * S)
        sleep_until(surge_start_s + self.random.uniform(0.2, 0.6))
        drained = self.random.choice(POOLS["fukuoka"])
        self.timestamps["drain"], self.drained = time.time_ns(), drained
        self.processes.send_line("bus", orjson.dumps(_targets(self.ports, {drained: "terminating"})))
        sleep_until(surge_start_s + 0.8)
        # A file that is written only in part: the reload must not change anything.
        incomplete = _inventory(self.ports, POOLS)
        (self.folder / "conf" / "inventory.rail").write_text(
            incomplete[: len(incomplete) // 2], encoding="utf-8"
        )
        self.reload()
        time.sleep(self.random.uniform(0.05, 0.4))
        removed = self.random.choice(POOLS["kumamoto"])
        self.removed = removed
        remaining = [name for name in POOLS["kumamoto"] if name != removed]
        self.write("inventory.rail", _inventory(self.ports, POOLS | {"kumamoto": remaining}))
        self.timestamps["removed"] = time.time_ns()
        self.reload()
        sleep_until(surge_start_s + surge_s)
        self.timestamps["surge over"] = time.time_ns()
        sleep_until(surge_start_s + surge_s + 0.6)
        self.timestamps["kill"] = time.time_ns()
        self.processes.kill("sidecar-lifts")
        self.processes.kill("app-panels")
        self.timestamps["app killed"] = time.time_ns()
        time.sleep(self.random.uniform(0.1, 0.5))
        self.start_sidecar("lifts")
        self.timestamps["back"] = time.time_ns()
        sleep_until(max(self.seconds, time.monotonic() - started + AFTER_RESTART_S))
        for app in (APPS[0], APPS[2]):
            self.processes.send_line(f"app-{app}", orjson.dumps({"do": "stop"}))
        time.sleep(4.5)  # the last calls are answered, and the last established ones have ended
        self.timestamps["end"] = time.time_ns()

    def stop(self) -> dict[str, int]:
        codes = {app: self.processes.terminate(f"sidecar-{app}") for app in APPS}
        for name in list(self.processes.running):
            self.processes.terminate(name)
        return codes


def run_drill(seed: int, folder: Path, short: bool = False) -> DrillResult:
    """Run the drill in an empty folder, which takes about 25 s, or 15 s in its short form."""
    drill = SidecarDrill(seed, folder, short)
    report = CheckReport()
    with drill.processes:
        drill.start_processes()
        drill.run_scenario()
        report.violations += drill.processes.unexpected_exits()
        codes = drill.stop()
    for app, code in codes.items():
        report.expect(code == 0, f"sidecar {app} ended with {code}")
    _check(drill, report)
    return DrillResult("sidecar", seed, report.violations, report.metrics)


def _check(drill: SidecarDrill, report: CheckReport) -> None:
    events_by_exchange = {name: drill.events(name) for name in EXCHANGES}
    timestamps = drill.timestamps
    by_call = checks.collect_attempts(events_by_exchange)
    exempt_calls: set[str] = set()
    for app in APPS:
        events = drill.events(f"app-{app}")
        if app == "panels":  # the application was killed: answers to its last requests were not recorded
            exempt_calls |= {
                event["call"] for event in events
                if event["what"] == "sent" and event["t"] > timestamps["app killed"] - checks.MAX_CALL_TIME_NS
            }  # fmt: skip
        if app == "lifts":
            exempt_calls |= {
                event["call"] for event in events
                if event["what"] == "sent" and timestamps["kill"] - 4 * S < event["t"] < timestamps["back"]
            }  # fmt: skip
        calls = checks.check_single_answer(
            report, app, events, timestamps["app killed"] if app == "panels" else 0
        )
        share, count = checks.established_share(calls, events, timestamps["surge"], timestamps["surge over"])
        report.metrics[f"{app}: share that stood in the surge"] = round(share, 4)
        report.metrics[f"{app}: calls in the surge"] = count
        if app != APPS[2]:
            report.expect(
                share >= MIN_ESTABLISHED_SHARE,
                f"{app}: {share:.4f} of {count} calls were established in the surge",
            )
            later_share, later_count = checks.established_share(
                calls, events, timestamps["back"] + S, timestamps["end"]
            )
            report.metrics[f"{app}: share that stood after the kills"] = round(later_share, 4)
            if app == "lifts":
                report.expect(
                    later_count > 0 and later_share >= MIN_ESTABLISHED_SHARE,
                    f"{app}: {later_share:.4f} of {later_count} calls were established after the kills",
                )
        else:
            refused = [answer for answers in calls.values() for answer in answers if answer["status"] == 503]
            report.metrics["engineers: refused"] = len(refused)
            report.expect(bool(refused), "no call of the surge was refused")
            report.expect(all(answer["later"] > 0 for answer in refused), "a refusal without X-Later-Ms")
            _check_refusal_delay(report, events)
            _check_limit(report, drill, events, events_by_exchange)
        if app != "panels":
            checks.check_release_notified(
                report, app, events_by_exchange, events, calls, 8 * S, timestamps["end"]
            )
    checks.check_attempts(report, by_call, MAX_ATTEMPTS, RELEASE_PAUSE_NS, exempt_calls)
    checks.check_no_new_calls(
        report, drill.drained, events_by_exchange[drill.drained], timestamps["drain"], DRAIN_GRACE_NS
    )
    checks.check_no_new_calls(
        report, drill.removed, events_by_exchange[drill.removed], timestamps["removed"],
        MAX_RELOAD_NS + DRAIN_GRACE_NS,
    )  # fmt: skip
    report.metrics["set-ups"] = sum(len(attempts) for attempts in by_call.values())
    report.metrics["calls tried again"] = sum(1 for attempts in by_call.values() if len(attempts) > 1)
    _check_orphans(report, drill, events_by_exchange)


def _check_limit(
    report: CheckReport,
    drill: SidecarDrill,
    events: list[dict[str, Any]],
    events_by_exchange: dict[str, list[dict[str, Any]]],
) -> None:
    """Check that the calls of the surge at exchanges stay within the rate plus the initial bucket contents.

    The buckets are the application's own and the lent ones.
    """
    since_ns, until_ns = drill.timestamps["surge"], drill.timestamps["surge over"]
    sent = {
        event["call"] for event in events if event["what"] == "sent" and since_ns <= event["t"] < until_ns
    }
    received = {
        event["call"]
        for events in events_by_exchange.values()
        for event in events
        if event["what"] == "set_up"
    }
    count = len(received & sent)
    max_count = LIMIT_RATE * (until_ns - since_ns) / S + 2 * LIMIT_RATE + 5
    report.metrics["engineers: calls of the surge that exchanges saw"] = count
    report.expect(count <= max_count, f"{count} calls of the surge exceeded the limit of {max_count:.0f}")


def _check_refusal_delay(report: CheckReport, events: list[dict[str, Any]]) -> None:
    """Check that calls over the limit are refused without delay: half of the refusals within 100 ms."""
    sent = {event["call"]: event["t"] for event in events if event["what"] == "sent"}
    refused = [e for e in events if e["what"] == "answer" and e["status"] == 503 and e["call"] in sent]
    delays = sorted(answer["t"] - sent[answer["call"]] for answer in refused)
    if delays:
        report.metrics["refused after, median ms"] = round(delays[len(delays) // 2] / MS, 1)
        report.expect(delays[len(delays) // 2] < 100 * MS, "refusals are delayed")


def _check_orphans(
    report: CheckReport, drill: SidecarDrill, events_by_exchange: dict[str, list[dict[str, Any]]]
) -> None:
    """Check that the calls of the killed application are released, or end by themselves, soon after."""
    sent = {event["call"] for event in drill.events("app-panels") if event["what"] == "sent"}
    limit_ns = drill.timestamps["app killed"] + (ORPHANS_S + 2) * S
    for name, events in events_by_exchange.items():
        established: dict[str, int] = {}
        for event in events:
            if event["what"] == "answered" and event["call"] in sent:
                established[event["call"]] = event["t"]
            elif event["what"] in ("released", "over"):
                established.pop(event["call"], None)
        if limit_ns < drill.timestamps["end"]:
            report.expect(
                not established,
                f"{name}: {len(established)} calls of a killed application are still established",
            )
