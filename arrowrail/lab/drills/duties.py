"""The duties drill: instances that share the probing of stand-in exchanges, through kills, hangs and splits.

Real processes: each instance is a sidecar of its own with a group; between any two of them stands a relay
that passes datagrams on, loses some, and can split the group.  Judged by what the exchanges saw: each is
probed once a period by one instance, never twice, and again within the stated bound after its prober was
killed, hung or cut off.
"""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Iterable
from itertools import pairwise
from pathlib import Path
from typing import Any

import orjson

from arrowrail.lab.checks import MS, CheckReport
from arrowrail.lab.drills import DrillResult
from arrowrail.lab.event_log import read_events
from arrowrail.lab.processes import ProcessManager, free_ports, is_listening, wait_until

S = 1_000 * MS
PERIOD = 2 * S
LEASE = 2 * S
KEYS = {"1": "00112233445566778899aabbccddeeff", "2": "ffeeddccbbaa99887766554433221100"}
EXCHANGES = 6
DETECT = 8 * S  # a probe of the dead, its suspicion, and the rumour of its death
# Detection, the lease of the dead, a few rounds of asking, and a whole period that the new holder waits.
BOUND = DETECT + LEASE + 3 * S + PERIOD + PERIOD // 2
CLOSEST = PERIOD * 6 // 10  # two probes of one exchange nearer than this are doubled


class Stage:
    def __init__(self, instances: int, seed: int, folder: Path) -> None:
        self.random = random.Random(seed)
        self.folder, self.names = folder, [f"n{i}" for i in range(instances)]
        self.exchanges = [f"e{i}" for i in range(EXCHANGES)]
        ports = free_ports(len(self.exchanges) + 3 * instances)
        self.exchange_port = dict(zip(self.exchanges, ports, strict=False))
        rest = ports[len(self.exchanges) :]
        self.sip = dict(zip(self.names, rest, strict=False))
        self.udp = dict(zip(self.names, rest[instances:], strict=False))
        self.front = dict(zip(self.names, rest[2 * instances :], strict=False))  # the relay's, one each
        self.processes = ProcessManager(folder)
        self.breaks: list[tuple[str, int]] = []  # what befell whom, and when it began
        self.told: dict[str, int] = {}

    def set_up(self) -> None:
        conf = self.folder / "conf"
        conf.mkdir()
        lines = ['site: {label: "drill"}', 'district: d: numbers: ["0"]',
                 "class: c: {worth: 1, wanted: 2s, give_up: 9s}"]  # fmt: skip
        lines += [f'exchange: {e}: {{district: district.d, address: "127.0.0.1:{self.exchange_port[e]}"}}'
                  for e in self.exchanges]  # fmt: skip
        lines.append(f"pool: p: exchanges: [{', '.join(f'exchange.{e}' for e in self.exchanges)}]")
        (conf / "inventory.rail").write_text("\n".join(lines) + "\n")
        for name in self.names:
            (self.folder / f"memory-{name}").mkdir()
            (conf / f"{name}.rail").write_text(self._application(name, 1))
        for e in self.exchanges:
            self.processes.start(
                e,
                "arrowrail.lab.exchange",
                "--listen",
                f"127.0.0.1:{self.exchange_port[e]}",
                "--ledger",
                str(self.folder / f"{e}.jsonl"),
            )
        routes = [f"{n}={self.front[n]}={self.udp[n]}" for n in self.names]
        self.processes.start("relay", "arrowrail.lab.relay", "--seed", str(self.random.randrange(1 << 30)),
                        "--loss", "0.02", *routes)  # fmt: skip
        for e in self.exchanges:
            wait_until(lambda e=e: is_listening(self.exchange_port[e]), e)  # type: ignore[misc]
        for name in self.names:
            self.start(name)

    def _application(self, name: str, key: int) -> str:
        members = ", ".join(f'{n}: "127.0.0.1:{self.front[n]}"' for n in self.names)
        keys = ", ".join(f'"{n}": "{text}"' for n, text in KEYS.items())
        return f"""include "inventory.rail"
application: {name}: {{
  listen: sip: "127.0.0.1:{self.sip[name]}"
  serves: [district.d]
  calls: c: {{give_up: 3s, time_out: 1300ms, pools: d: pool.p}}
  limits: {{open: 100, rate: 50/s}}
  log: form: "json"
  group: {{
    group: "drill"
    me: "{name}"
    listen: "127.0.0.1:{self.front[name]}"
    bind: "127.0.0.1:{self.udp[name]}"
    members: {{{members}}}
    keys: {{{keys}}}
    send_key: {key}
    lease: {LEASE // S}s
    memory: "{self.folder / f"memory-{name}"}"
    control: "{self.folder / f"{name}.control"}"
    probe_period: {PERIOD // S}s
    probe_time_out: 500ms
  }}
}}
"""

    def start(self, name: str) -> None:
        self.processes.start(name, "arrowrail", "sidecar", name, "--config", str(self.folder / "conf"))
        wait_until(lambda: is_listening(self.sip[name]), name)

    def relay(self, **what: Any) -> None:
        self.processes.send_line("relay", orjson.dumps(what))

    def hold(self, seconds: float) -> None:
        time.sleep(seconds)

    def play(self) -> None:
        self.hold(14.0)  # the group finds itself, and every exchange has a prober
        self.told["steady"] = time.time_ns()
        self.hold(8.0)
        names = list(self.names)
        self.random.shuffle(names)
        killed, hung, cut = names[0], names[1], names[2 % len(names)]
        self.breaks.append((f"kill {killed}", time.time_ns()))
        self.processes.kill(killed)
        self.hold(BOUND / S)
        self.start(killed)
        self.breaks.append((f"hang {hung}", time.time_ns()))
        self.processes.send_signal(hung, signal.SIGSTOP)
        self.hold(10.0)
        self.processes.send_signal(hung, signal.SIGCONT)
        self.hold(4.0)
        # A key is rolled in service meanwhile: some send under the new one, some under the old.
        for name in names[: len(names) // 2 + 1]:
            path = self.folder / "conf" / f"{name}.rail"
            temporary = path.with_suffix(".new")
            temporary.write_text(self._application(name, 2))
            temporary.replace(path)
            self.processes.send_signal(name, signal.SIGHUP)
        both = self.random.random() < 0.5
        self.breaks.append((f"{'split' if both else 'one-way split'} {cut}", time.time_ns()))
        self.relay(cut=[cut], both=both)
        self.hold(BOUND / S)
        self.relay(heal=True)
        self.told["healed"] = time.time_ns()
        self.hold(12.0)
        self.told["end"] = time.time_ns()


def run_drill(seed: int, folder: Path, short: bool = False, instances: int = 5) -> DrillResult:
    """Some 90 s; the short form is played by three instances."""
    stage = Stage(3 if short else instances, seed, folder)
    report = CheckReport()
    with stage.processes:
        stage.set_up()
        stage.play()
        report.violations += stage.processes.unexpected_exits()
        for name in stage.names:
            code = stage.processes.terminate(name)
            report.expect(code == 0, f"{name} ended with {code}")
    _judge(stage, report)
    return DrillResult("duties", seed, report.violations, report.metrics)


def _judge(stage: Stage, report: CheckReport) -> None:
    gaps_steady: list[int] = []
    longest = 0
    total = 0
    for exchange in stage.exchanges:
        probes = [line for line in read_events(stage.folder / f"{exchange}.jsonl") if line["what"] == "probe"]
        total += len(probes)
        _one_exchange(stage, report, exchange, probes, gaps_steady)
        times = [p["t"] for p in probes if p["t"] > stage.told["steady"]]
        edges = [stage.told["steady"], *times, stage.told["end"]]
        longest = max([longest, *(b - a for a, b in pairwise(edges))])
    report.expect(longest <= BOUND, f"an exchange went unprobed for {longest / S:.1f} s")
    report.metrics |= {
        "probes": total, "longest without a probe, s": round(longest / S, 1), "bound, s": BOUND / S,
        "steady gap, longest s": round(max(gaps_steady, default=0) / S, 2),
        "what befell": [what for what, _ in stage.breaks],
    }  # fmt: skip


def _one_exchange(
    stage: Stage, report: CheckReport, exchange: str, probes: Iterable[dict[str, Any]], steady: list[int]
) -> None:
    before: dict[str, Any] | None = None
    by_epoch: dict[int, str] = {}
    first_break = stage.breaks[0][1]
    for probe in probes:
        holder = by_epoch.setdefault(probe["epoch"], probe["by"])
        report.expect(holder == probe["by"], f"{exchange}: epoch {probe['epoch']} used by two")
        report.expect(probe["fresh"], f"{exchange}: a probe under the old epoch {probe['epoch']}")
        if before is not None:
            gap = probe["t"] - before["t"]
            report.expect(
                gap >= CLOSEST,
                f"{exchange}: probed twice within {gap // MS} ms, by {before['by']} and {probe['by']}",
            )
            if stage.told["steady"] < before["t"] and probe["t"] < first_break:
                steady.append(gap)
                report.expect(
                    gap <= PERIOD * 3 // 2, f"{exchange}: {gap // MS} ms between probes in a calm time"
                )
        before = probe
