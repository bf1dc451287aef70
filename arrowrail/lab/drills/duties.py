"""The duties drill: instances that share the probing of stand-in exchanges, with kills, hangs and partitions.

Each instance is a sidecar process with a group; datagrams between any two of them go through a relay that
drops some and can partition the group.  The probes that the exchanges received are checked: each exchange is
probed once per period by one instance, never twice, and again within the stated bound after its prober was
killed, hung or isolated.
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
PROBE_PERIOD_NS = 2 * S
LEASE_NS = 2 * S
KEYS = {"1": "00112233445566778899aabbccddeeff", "2": "ffeeddccbbaa99887766554433221100"}
EXCHANGES = 6
DETECTION_NS = 8 * S  # the probe of a dead instance, its suspicion, and the gossip about its death
# Detection, the lease of the dead instance, a few attempts to acquire it, and the full period that the new
# holder waits.
MAX_PROBE_GAP_NS = DETECTION_NS + LEASE_NS + 3 * S + PROBE_PERIOD_NS + PROBE_PERIOD_NS // 2
# Two probes of one exchange within a shorter time count as duplicates.
MIN_PROBE_GAP_NS = PROBE_PERIOD_NS * 6 // 10


class DutiesDrill:
    """Starts the processes, injects the faults and records their times."""

    def __init__(self, instances: int, seed: int, folder: Path) -> None:
        self.random = random.Random(seed)
        self.folder, self.names = folder, [f"n{i}" for i in range(instances)]
        self.exchanges = [f"e{i}" for i in range(EXCHANGES)]
        ports = free_ports(len(self.exchanges) + 3 * instances)
        self.exchange_port = dict(zip(self.exchanges, ports, strict=False))
        remaining_ports = ports[len(self.exchanges) :]
        self.sip_port = dict(zip(self.names, remaining_ports, strict=False))
        self.udp_port = dict(zip(self.names, remaining_ports[instances:], strict=False))
        # Ports on which the relay listens.
        self.relay_port = dict(zip(self.names, remaining_ports[2 * instances :], strict=False))
        self.processes = ProcessManager(folder)
        self.faults: list[tuple[str, int]] = []  # description and start time
        self.timestamps: dict[str, int] = {}

    def start_processes(self) -> None:
        conf = self.folder / "conf"
        conf.mkdir()
        lines = ['site: {label: "drill"}', 'district: d: numbers: ["0"]',
                 "class: c: {worth: 1, wanted: 2s, give_up: 9s}"]  # fmt: skip
        lines += [
            f'exchange: {name}: {{district: district.d, address: "127.0.0.1:{self.exchange_port[name]}"}}'
            for name in self.exchanges
        ]
        lines.append(f"pool: p: exchanges: [{', '.join(f'exchange.{name}' for name in self.exchanges)}]")
        (conf / "inventory.rail").write_text("\n".join(lines) + "\n")
        for name in self.names:
            (self.folder / f"memory-{name}").mkdir()
            (conf / f"{name}.rail").write_text(self._application_config(name, 1))
        for exchange in self.exchanges:
            self.processes.start(
                exchange, "arrowrail.lab.exchange", "--listen", f"127.0.0.1:{self.exchange_port[exchange]}",
                "--ledger", str(self.folder / f"{exchange}.jsonl"),
            )  # fmt: skip
        routes = [f"{n}={self.relay_port[n]}={self.udp_port[n]}" for n in self.names]
        self.processes.start(
            "relay", "arrowrail.lab.relay", "--seed", str(self.random.randrange(1 << 30)), "--loss", "0.02",
            *routes,
        )  # fmt: skip
        for exchange in self.exchanges:
            wait_until(lambda name=exchange: is_listening(self.exchange_port[name]), exchange)  # type: ignore[misc]
        for name in self.names:
            self.start_instance(name)

    def _application_config(self, name: str, send_key: int) -> str:
        members = ", ".join(f'{n}: "127.0.0.1:{self.relay_port[n]}"' for n in self.names)
        keys = ", ".join(f'"{n}": "{text}"' for n, text in KEYS.items())
        return f"""include "inventory.rail"
application: {name}: {{
  listen: sip: "127.0.0.1:{self.sip_port[name]}"
  serves: [district.d]
  calls: c: {{give_up: 3s, time_out: 1300ms, pools: d: pool.p}}
  limits: {{open: 100, rate: 50/s}}
  log: form: "json"
  group: {{
    group: "drill"
    me: "{name}"
    listen: "127.0.0.1:{self.relay_port[name]}"
    bind: "127.0.0.1:{self.udp_port[name]}"
    members: {{{members}}}
    keys: {{{keys}}}
    send_key: {send_key}
    lease: {LEASE_NS // S}s
    memory: "{self.folder / f"memory-{name}"}"
    control: "{self.folder / f"{name}.control"}"
    probe_period: {PROBE_PERIOD_NS // S}s
    probe_time_out: 500ms
  }}
}}
"""

    def start_instance(self, name: str) -> None:
        self.processes.start(name, "arrowrail", "sidecar", name, "--config", str(self.folder / "conf"))
        wait_until(lambda: is_listening(self.sip_port[name]), name)

    def command_relay(self, **command: Any) -> None:
        self.processes.send_line("relay", orjson.dumps(command))

    def sleep(self, seconds: float) -> None:
        time.sleep(seconds)

    def run_scenario(self) -> None:
        self.sleep(14.0)  # the members find one another, and every exchange has a prober
        self.timestamps["steady"] = time.time_ns()
        self.sleep(8.0)
        names = list(self.names)
        self.random.shuffle(names)
        killed, hung, isolated = names[0], names[1], names[2 % len(names)]
        self.faults.append((f"kill {killed}", time.time_ns()))
        self.processes.kill(killed)
        self.sleep(MAX_PROBE_GAP_NS / S)
        self.start_instance(killed)
        self.faults.append((f"hang {hung}", time.time_ns()))
        self.processes.send_signal(hung, signal.SIGSTOP)
        self.sleep(10.0)
        self.processes.send_signal(hung, signal.SIGCONT)
        self.sleep(4.0)
        # The key is rotated during operation: some instances send with the new key, some with the old one.
        for name in names[: len(names) // 2 + 1]:
            path = self.folder / "conf" / f"{name}.rail"
            temporary = path.with_suffix(".new")
            temporary.write_text(self._application_config(name, 2))
            temporary.replace(path)
            self.processes.send_signal(name, signal.SIGHUP)
        both = self.random.random() < 0.5
        self.faults.append((f"{'split' if both else 'one-way split'} {isolated}", time.time_ns()))
        self.command_relay(cut=[isolated], both=both)
        self.sleep(MAX_PROBE_GAP_NS / S)
        self.command_relay(heal=True)
        self.timestamps["healed"] = time.time_ns()
        self.sleep(12.0)
        self.timestamps["end"] = time.time_ns()


def run_drill(seed: int, folder: Path, short: bool = False, instances: int = 5) -> DrillResult:
    """Run the drill, which takes about 90 s; its short form has three instances."""
    drill = DutiesDrill(3 if short else instances, seed, folder)
    report = CheckReport()
    with drill.processes:
        drill.start_processes()
        drill.run_scenario()
        report.violations += drill.processes.unexpected_exits()
        for name in drill.names:
            code = drill.processes.terminate(name)
            report.expect(code == 0, f"{name} ended with {code}")
    _check(drill, report)
    return DrillResult("duties", seed, report.violations, report.metrics)


def _check(drill: DutiesDrill, report: CheckReport) -> None:
    steady_gaps: list[int] = []
    longest_gap = 0
    total = 0
    for exchange in drill.exchanges:
        probes = [e for e in read_events(drill.folder / f"{exchange}.jsonl") if e["what"] == "probe"]
        total += len(probes)
        _check_exchange(drill, report, exchange, probes, steady_gaps)
        times = [p["t"] for p in probes if p["t"] > drill.timestamps["steady"]]
        edges = [drill.timestamps["steady"], *times, drill.timestamps["end"]]
        longest_gap = max([longest_gap, *(b - a for a, b in pairwise(edges))])
    report.expect(longest_gap <= MAX_PROBE_GAP_NS, f"an exchange was not probed for {longest_gap / S:.1f} s")
    report.metrics |= {
        "probes": total, "longest without a probe, s": round(longest_gap / S, 1),
        "bound, s": MAX_PROBE_GAP_NS / S, "steady gap, longest s": round(max(steady_gaps, default=0) / S, 2),
        "what befell": [description for description, _ in drill.faults],
    }  # fmt: skip


def _check_exchange(
    drill: DutiesDrill,
    report: CheckReport,
    exchange: str,
    probes: Iterable[dict[str, Any]],
    steady_gaps: list[int],
) -> None:
    previous: dict[str, Any] | None = None
    holder_by_epoch: dict[int, str] = {}
    first_fault_at = drill.faults[0][1]
    for probe in probes:
        holder = holder_by_epoch.setdefault(probe["epoch"], probe["by"])
        report.expect(holder == probe["by"], f"{exchange}: epoch {probe['epoch']} was used by two instances")
        report.expect(probe["fresh"], f"{exchange}: a probe with the outdated epoch {probe['epoch']}")
        if previous is not None:
            gap = probe["t"] - previous["t"]
            report.expect(
                gap >= MIN_PROBE_GAP_NS,
                f"{exchange}: probed twice within {gap // MS} ms, by {previous['by']} and {probe['by']}",
            )
            if drill.timestamps["steady"] < previous["t"] and probe["t"] < first_fault_at:
                steady_gaps.append(gap)
                report.expect(
                    gap <= PROBE_PERIOD_NS * 3 // 2,
                    f"{exchange}: {gap // MS} ms between probes without a fault",
                )
        previous = probe
