"""Benchmarks: the cost of the checker, the limits and the sidecar.

Costs are compared as ratios within one run, not as absolute times, which depend on the machine.

``python -m arrowrail bench`` (``make bench``).  The results are not pass criteria of any test.
"""

from __future__ import annotations

import gc
import io
import json
import os
import statistics
import subprocess
import sys
import tarfile
import tempfile
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from arrowrail.config.checker import check_folder
from arrowrail.core.engine import Core
from arrowrail.core.requests import FinalResponse, ReleaseOutcome, Request, SetUpParams
from arrowrail.lab.processes import ROOT, ProcessManager, free_ports, is_listening, wait_until
from arrowrail.lab.simgroup import measure_group, measure_reassignment
from arrowrail.lab.unlimited import UnlimitedLimiter
from arrowrail.sidecar.admission import SidecarAdmission
from arrowrail.sidecar.config import build_config
from arrowrail.sidecar.exchange_list import SIDECAR_SOURCE
from arrowrail.state.endpoints import Endpoint
from arrowrail.state.timers import TimerQueue

MS, S = 1_000_000, 1_000_000_000
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


# --- The checker ------------------------------------------------------------------------------------------


def write_site(folder: Path, applications: int) -> int:
    """Write that many applications and an inventory of proportional size, and return the number of lines."""
    exchanges = max(4, applications)
    lines = ['site: {label: "bench"}']
    lines += [f'district: "d{n}": numbers: ["{n}"]' for n in range(10)]
    lines += [f'class: "c{n}": {{worth: {n}, wanted: 2s, give_up: 9s}}' for n in range(3)]
    for n in range(exchanges):
        lines += [f'exchange: "e{n}": {{', f'  district: district."d{n % 10}"',
                  f'  address: "127.0.0.1:{10_000 + n}"', "}"]  # fmt: skip
    for n in range(exchanges // 2):
        lines.append(f'pool: "p{n}": exchanges: [exchange."e{2 * n}", exchange."e{2 * n + 1}"]')
    (folder / "inventory.rail").write_text("\n".join(lines) + "\n")
    total = len(lines)
    for n in range(applications):
        pools = ", ".join(f'"d{d}": pool."p{(n + d) % (exchanges // 2)}"' for d in range(2))
        text = [
            'include "inventory.rail"', "", f"application: app{n}: {{", "  listen: {",
            f'    sip: "127.0.0.1:{20_000 + n}"', "  }", "  serves: [", "    district.d0", "    district.d1",
            "  ]", "  calls: {",
            *(f"    c{c}: {{give_up: 3s, time_out: 1300ms, pools: {{{pools}}}}}" for c in range(3)),
            "  }", "  limits: {", "    open: 100", "    rate: 50/s", "  }", "  attempts: 2", "}",
        ]  # fmt: skip
        (folder / f"app{n}.rail").write_text("\n".join(text) + "\n")
        total += len(text)
    return total


def measure_checker(sizes: tuple[int, ...] = (10, 100, 1000)) -> Iterator[dict[str, Any]]:
    """Measure the time of checking folders with different numbers of applications."""
    for size in sizes:
        with tempfile.TemporaryDirectory() as name:
            line_count = write_site(Path(name), size)
            started = time.perf_counter()
            result = check_folder(Path(name))
            elapsed = time.perf_counter() - started
            if not result.valid:
                raise RuntimeError(next(iter(map(str, result.diagnostics))))
            yield {"applications": size, "lines": line_count, "seconds": round(elapsed, 3),
                   "ms an application": round(1000 * elapsed / size, 2)}  # fmt: skip


# --- The cost of limits -----------------------------------------------------------------------------------


class InstantSignalling:
    """A frontend and backend without I/O, so that only the code between them is measured."""

    connections = 0

    def __init__(self, core: Core) -> None:
        self.core, self.answer_count = core, 0

    def respond(self, request: Request, response: FinalResponse) -> None:
        self.answer_count += 1

    def release(self, request: Request, cause: int) -> None: ...
    def release_unknown(self, call_id: str, cause: int) -> None: ...
    def is_caller_connected(self, request: Request) -> bool:
        return True

    def flushed(self) -> bool:
        return True

    def endpoint_changed(self, endpoint: Endpoint) -> None: ...
    def cancel_set_up(self, endpoint: Endpoint, call_id: str) -> bool:
        return False

    def set_up(self, endpoint: Endpoint, params: SetUpParams, timeout_ns: int) -> None:
        self.core.timers.schedule(
            self.core.now + MS, lambda: self.core.endpoint_answered(endpoint, params.call_id, b"answer")
        )
        self.core.timers.schedule(
            self.core.now + 2 * MS,
            lambda: self.core.endpoint_released(endpoint, params.call_id, ReleaseOutcome("served"), 16),
        )


def build_core(folder: Path, limited: bool) -> tuple[Core, InstantSignalling]:
    result = check_folder(folder)
    config = build_config(result.applications["app0"], result.inventories["app0"])
    core = Core(config.settings, 1, TimerQueue(S))
    signalling = InstantSignalling(core)
    core.backends["binary"] = signalling  # type: ignore[assignment]
    core.frontends.append(signalling)
    admission = core.admission = SidecarAdmission(config, S)
    if not limited:
        admission.limiter = UnlimitedLimiter(config.limits, S)
    core.update_endpoints(SIDECAR_SOURCE, False, admission.exchange_list.update_config(config.exchanges))
    core.process_events()
    return core, signalling


def run_calls(core: Core, signalling: InstantSignalling, first: int, count: int) -> float:
    """Run that many calls, 40 ms apart, on eight connections, and return their CPU time in seconds."""
    gc.collect()
    started = time.process_time()
    for n in range(first, first + count):
        core.timers.now += 40 * MS
        core.timers.run_due()
        params = SetUpParams(f"{n:016x}", f"c{n % 3}", f"0{n % 10}", n, -1, 1, core.now + 3 * S, b"x")
        core.submit(signalling, n % 8, params)
        core.process_events()
    return time.process_time() - started


def measure_limits(rounds: int = 20, count: int = 500) -> dict[str, Any]:
    """Compare the CPU time of calls with and without limits, alternately and without sockets."""
    with tempfile.TemporaryDirectory() as name:
        write_site(Path(name), 4)
        sides = [build_core(Path(name), limited) for limited in (True, False)]
    cpu_times: list[list[float]] = [[], []]
    for round_number in range(rounds):
        for side in (0, 1) if round_number % 2 else (1, 0):
            cpu_times[side].append(run_calls(*sides[side], round_number * count, count))
    for core, signalling in sides:
        if core.internal_errors or signalling.answer_count < (rounds - 1) * count:
            raise RuntimeError("some calls were not answered")
    ratios = [a / b for a, b in zip(*cpu_times, strict=True)]
    return {
        "us a call with limits": round(1e6 * statistics.median(cpu_times[0]) / count, 1),
        "us a call without": round(1e6 * statistics.median(cpu_times[1]) / count, 1),
        "ratio between core and admission": round(statistics.median(ratios), 3),
    }


def cpu_seconds(pid: int) -> float:
    """Return the user and system CPU time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


def resident_mb(pid: int) -> float:
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmRSS:")[1].split()[0]) / 1024


GROUP_SECTION = """  group: {{
    group: "bench"
    me: "{app}"
    listen: "127.0.0.1:{port}"
    members: "{app}": "127.0.0.1:{port}"
    keys: "1": "00112233445566778899aabbccddeeff"
    send_key: 1
    probe_period: 500ms
    probe_time_out: 200ms
  }}
"""


def measure_on_sockets(feature: str = "limits", seconds: float = 20.0, rate: float = 150.0) -> dict[str, Any]:
    """Compare two sidecars under the same load on real sockets, with and without ``feature``.

    ``feature`` is ``limits`` or ``group``.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        conf = folder / "conf"
        conf.mkdir()
        ports = free_ports(4)
        lines = ['site: {label: "bench"}', 'district: d: numbers: ["0"]',
                 "class: c: {worth: 1, wanted: 2s, give_up: 9s, holding: 1s}"]  # fmt: skip
        lines += [f'exchange: e{n}: {{district: district.d, address: "127.0.0.1:{ports[n]}", '
                  "circuits: 2000}" for n in range(2)]  # fmt: skip
        lines.append("pool: p: exchanges: [exchange.e0, exchange.e1]")
        (conf / "inventory.rail").write_text("\n".join(lines) + "\n")
        for n, app in enumerate(("with", "without")):
            (conf / f"{app}.rail").write_text(
                f'include "inventory.rail"\napplication: "{app}": {{\n'
                f'  listen: sip: "127.0.0.1:{ports[2 + n]}"\n'
                "  serves: [district.d]\n  calls: c: {give_up: 3s, time_out: 1300ms, pools: d: pool.p}\n"
                "  limits: {open: 1000, rate: 1000/s}\n"
                + (
                    GROUP_SECTION.format(app=app, port=ports[2])
                    if feature == "group" and app == "with"
                    else ""
                )
                + "}\n"
            )
        with ProcessManager(folder) as processes:
            for n in range(2):
                processes.start(
                    f"e{n}", "arrowrail.lab.exchange", "--listen", f"127.0.0.1:{ports[n]}", "--ledger",
                    str(folder / f"e{n}.jsonl"), "--circuits", "2000", "--hold-ms", "300",
                )  # fmt: skip
            processes.start("with", "arrowrail", "sidecar", "with", "--config", str(conf))
            if feature == "group":
                processes.start("without", "arrowrail", "sidecar", "without", "--config", str(conf))
            else:
                processes.start("without", "arrowrail.lab.unlimited", "without", str(conf))
            for port in ports:
                wait_until(lambda p=port: is_listening(p), f"port {port}")  # type: ignore[misc]
            before = {app: cpu_seconds(processes.running[app].pid) for app in ("with", "without")}
            for n, app in enumerate(("with", "without")):
                processes.start(
                    f"app-{app}", "arrowrail.lab.application", "--to", f"127.0.0.1:{ports[2 + n]}",
                    "--ledger", str(folder / f"{app}.jsonl"), "--rate", str(rate), "--seconds",
                    str(seconds), "--class", "c=1", "--number", "0", "--lines", "8", "--seed", str(n),
                )  # fmt: skip
            time.sleep(seconds + 1.5)
            cpu_used_s = {app: cpu_seconds(processes.running[app].pid) - before[app] for app in before}
            memory = {app: round(resident_mb(processes.running[app].pid), 1) for app in before}
        answer_count = {app: (folder / f"{app}.jsonl").read_bytes().count(b'"status":200') for app in before}
    cost = {app: 1e6 * cpu_used_s[app] / max(1, answer_count[app]) for app in before}
    return {
        "calls that stood": answer_count,
        f"us a call with {feature}": round(cost["with"]),
        "us a call without": round(cost["without"]),
        "ratio on sockets": round(cost["with"] / cost["without"], 3),
        "sidecar's memory, MB": memory["with"],
    }


# --- Memory of the controller without a sidecar -----------------------------------------------------------


def run_memory(root: Path) -> float:
    """Return the resident memory in MB of an idle controller, started from ``root`` as the platform does."""
    with tempfile.TemporaryDirectory() as name:
        config = json.loads((ROOT / "examples" / "config.json").read_text())
        port = free_ports(1)[0]
        config |= {"listen": f"127.0.0.1:{port}", "bus": ""}
        path = Path(name) / "config.json"
        path.write_text(json.dumps(config))
        child = subprocess.Popen(
            [sys.executable, "-B", "-m", "arrowrail"], cwd=root, stderr=subprocess.DEVNULL,
            env=dict(os.environ, PROXY_CONFIG=str(path), PYTHONPATH=str(root)),
        )  # fmt: skip
        try:
            wait_until(lambda: is_listening(port), "the controller")
            return round(resident_mb(child.pid), 2)
        finally:
            child.terminate()
            child.wait(20)


def measure_memory(commit: str) -> dict[str, Any]:
    """Measure the memory of an idle controller, and of the one at ``commit`` unless that is empty."""
    results: dict[str, Any] = {"plain run, MB": run_memory(ROOT)}
    if commit:
        archive_data = subprocess.run(
            ["git", "archive", commit], cwd=ROOT, capture_output=True, check=True
        ).stdout
        with tempfile.TemporaryDirectory() as name:
            with tarfile.open(fileobj=io.BytesIO(archive_data)) as archive:
                archive.extractall(name, filter="data")
            results[f"plain run at {commit}, MB"] = run_memory(Path(name))
    return results


def run(commit: str) -> Iterator[tuple[str, Any]]:
    """Yield the name and results of each benchmark; ``commit`` is compared by memory use unless empty."""
    yield "check", list(measure_checker())
    yield "limits, no sockets", measure_limits()
    yield "limits, on sockets", measure_on_sockets()
    yield "duties, on sockets", measure_on_sockets("group")
    yield "memory", measure_memory(commit)
    yield "a death's duties", [measure_reassignment(size) for size in (5, 50, 500)]
    yield (
        "group, simulated",
        [measure_group(5, 10_000, 10), measure_group(50, 50, 30), measure_group(150, 50, 5)],
    )
