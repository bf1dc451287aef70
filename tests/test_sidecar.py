"""The sidecar: the list of several sources, admission, reloads, and the whole of it on loopback
sockets."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from arrowrail.config.checker import check_folder
from arrowrail.core.requests import NO_ROUTE, OVER_LIMIT, REFUSED, SetUpParams
from arrowrail.lab.processes import free_ports
from arrowrail.loop import Loop
from arrowrail.run.read_result import ReadResult
from arrowrail.run.reader import read_controller, read_sidecar, read_when_stable
from arrowrail.run.reader_process import ReaderProcess, read_and_wait
from arrowrail.sidecar.admission import SidecarAdmission
from arrowrail.sidecar.config import SidecarConfig, build_config
from arrowrail.sidecar.exchange_list import ExchangeList
from arrowrail.sidecar.main import Sidecar
from arrowrail.state.endpoints import IN_SERVICE, TERMINATED, TERMINATING, Endpoint, EndpointEntry
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.m3ua.isup import IsupMessageType
from tests.live import SDP, Caller, Listening, M3uaPeer, release, set_up, tell, wait_until
from tests.records.corpus import INVENTORY_TEXT, LIFTS_TEXT
from trackhatch import interface

S, MS = 1_000_000_000, 1_000_000
T0 = 1_000 * S
ROOT = Path(__file__).parents[1]


def compiled(
    tmp_path: Path,
    inventory: str = INVENTORY_TEXT,
    application: str = LIFTS_TEXT,
    numbers: dict[str, int] | None = None,
) -> SidecarConfig:
    (tmp_path / "inventory.rail").write_text(inventory)
    (tmp_path / "lifts.rail").write_text(application)
    checked = check_folder(tmp_path)
    assert checked.valid, [str(f) for f in checked.diagnostics]
    return build_config(checked.applications["lifts"], checked.inventories["lifts"], numbers)


# --- What the records come to ----------------------------------------------------------------------------


def test_records_become_settings_pools_and_limits(tmp_path: Path) -> None:
    c = compiled(tmp_path)
    assert [k.name for k in c.settings.classes] == [
        "alarm@fukuoka", "alarm@kumamoto", "report@fukuoka", "report@kumamoto",
    ]  # fmt: skip
    assert set(c.settings.pools_by_class) == {(-1,)} and c.settings.layout == "groups"
    assert (c.settings.max_attempts, c.settings.release_ns, c.settings.drain_grace_ns) == (
        2,
        300 * MS,
        500 * MS,
    )
    assert (
        c.pools.routes["alarm@fukuoka"].pools == ("f", "k") and c.pools.district_by_prefix["092"] == "fukuoka"
    )
    assert [line.number for line in c.exchanges] == [1, 2, 3, 4] and c.exchanges[2].circuits == 60
    assert c.classes["alarm"].width == 2 and c.limits.max_open == 100


def test_a_running_sidecar_s_numbers_are_kept(tmp_path: Path) -> None:
    c = compiled(tmp_path, numbers={"k-2": 1, "f-1": 9})
    assert {line.name: line.number for line in c.exchanges} == {"k-2": 1, "f-1": 9, "f-2": 10, "k-1": 11}


# --- The list of several sources -------------------------------------------------------------------------


def states(told: list[EndpointEntry]) -> dict[str, str]:
    return {t.uid: t.state for t in told}


def test_the_state_that_lets_less_through_wins(tmp_path: Path) -> None:
    lines = compiled(tmp_path).exchanges
    exchange_list = ExchangeList()
    assert set(states(exchange_list.update_config(lines)).values()) == {IN_SERVICE}
    drains = EndpointEntry("f-1", "127.0.0.1:6101", "z", 0, TERMINATING, 0)
    assert states(exchange_list.apply_update(False, [drains])) == {"f-1@127.0.0.1:6101": TERMINATING}
    # The operator marks another one; a source that still names it in service does not bring it back.
    marked = [replace(line, state=TERMINATED) if line.name == "k-1" else line for line in lines]
    assert states(exchange_list.update_config(marked)) == {"k-1@127.0.0.1:6103": TERMINATED}
    still = EndpointEntry("k-1", "127.0.0.1:6103", "z", 0, IN_SERVICE, 0)
    assert exchange_list.apply_update(False, [still]) == []
    assert states(exchange_list.apply_update(False, [replace(drains, state=IN_SERVICE)])) == {
        "f-1@127.0.0.1:6101": IN_SERVICE
    }


def test_what_a_whole_list_does_not_name_drains_and_strangers_are_counted(tmp_path: Path) -> None:
    exchange_list = ExchangeList()
    exchange_list.update_config(compiled(tmp_path).exchanges)
    named = [EndpointEntry(n, "", "z", 0, IN_SERVICE, 0) for n in ("f-1", "f-2", "k-1", "stranger")]
    assert states(exchange_list.apply_update(True, named)) == {"k-2@127.0.0.1:6104": TERMINATING}
    assert exchange_list.unknown_count == 1


def test_one_that_leaves_the_inventory_drains_and_goes_once_it_is_empty(tmp_path: Path) -> None:
    lines = compiled(tmp_path).exchanges
    exchange_list = ExchangeList()
    exchange_list.update_config(lines)
    assert states(exchange_list.update_config(lines[1:])) == {"f-1@127.0.0.1:6101": TERMINATING}
    assert exchange_list.update_config(lines[1:]) == [] and list(exchange_list.removed) == [
        "f-1@127.0.0.1:6101"
    ]
    assert states(exchange_list.remove_drained(["f-1@127.0.0.1:6101"])) == {"f-1@127.0.0.1:6101": TERMINATED}
    assert states(exchange_list.update_config(lines)) == {"f-1@127.0.0.1:6101": IN_SERVICE}


def test_at_another_address_it_is_another_machine(tmp_path: Path) -> None:
    lines = compiled(tmp_path).exchanges
    exchange_list = ExchangeList()
    exchange_list.update_config(lines)
    moved = EndpointEntry("f-1", "127.0.0.1:7000", "z", 0, IN_SERVICE, 5)
    assert states(exchange_list.apply_update(False, [moved])) == {
        "f-1@127.0.0.1:6101": TERMINATING, "f-1@127.0.0.1:7000": IN_SERVICE,
    }  # fmt: skip


# --- Admission ---------------------------------------------------------------------------------------
# ---------------------------------------------------------------------------------------------


def offer(call: str = "c", kind: str = "alarm", number: str = "0921", **more: Any) -> SetUpParams:
    return SetUpParams(call, kind, number, 1, -1, 1, T0 + 60 * S, b"x", **more)


def test_the_door_places_calls_and_turns_away_what_has_no_way_or_no_room(tmp_path: Path) -> None:
    c = compiled(tmp_path)
    admission = SidecarAdmission(replace(c, limits=replace(c.limits, max_open=3)), T0)
    admission.route_table.update_states([(n, IN_SERVICE) for n in (1, 2, 3, 4)])
    placed, refusal = admission.admit(T0, 1, offer())
    assert refusal is None
    assert (placed.route, placed.destination, placed.width) == ("alarm@fukuoka", 1, 2)
    assert placed.deadline_ns == T0 + 3 * S  # the class's own give-up time bounds the caller's patience
    assert admission.admit(T0, 1, offer(number="077"))[1] == replace(
        admission.admit(T0, 1, offer(kind="x"))[1]
    )  # type: ignore[type-var]
    answers = [admission.admit(T0, 1, offer(str(n)))[1] for n in range(5)]
    assert [a.outcome for a in answers if a] == [OVER_LIMIT] * 4
    assert all(a.result == REFUSED and a.retry_after_ns > 0 for a in answers if a)
    no_way = admission.admit(T0, 1, offer(number="077"))[1]
    assert (
        no_way is not None
        and no_way.outcome == NO_ROUTE
        and admission.attempt_timeout_ns(placed) == 1300 * MS
    )
    admission.set_up_finished(T0 + S, 1, placed, S)
    assert admission.admit(T0 + S, 1, offer("again"))[1] is None


def test_an_answer_to_a_call_of_our_own_outweighs_others_probes(tmp_path: Path) -> None:
    admission = SidecarAdmission(compiled(tmp_path), T0)
    admission.route_table.update_states([(n, IN_SERVICE) for n in (1, 2, 3, 4)])
    told = EndpointEntry("f-1@127.0.0.1:6101", "127.0.0.1:6101", "z", 1, IN_SERVICE, 0)
    admission.attempt_ended(T0, Endpoint(1, "site", told), "served", 0)
    assert admission.set_probe_failures(T0 + S, [1]) == []
    news = admission.set_probe_failures(T0 + 6 * S, [1])
    assert {n.exchanges for n in news} == {(2,)} and len(news) == 2


# --- Reading ----------------------------------------------------------------------------------------------


def test_the_reader_brings_the_records_or_every_fault(tmp_path: Path) -> None:
    compiled(tmp_path)
    found = read_and_wait("sidecar", tmp_path, "lifts", {"k-2": 7})
    assert found.faults == () and found.value is not None and found.value.exchanges[3].number == 7
    assert read_sidecar(tmp_path, "lfts", {}).codes == ("AR321",)
    (tmp_path / "lifts.rail").write_text(LIFTS_TEXT.replace("3s", "3"))
    found = read_and_wait("sidecar", tmp_path, "lifts", {})
    assert found.value is None and found.codes == ("AR203", "AR203")
    assert read_controller(tmp_path / "none.rail", []).codes == ("AR101",)
    assert read_and_wait("no such kind").value is None


def test_a_file_in_the_making_is_waited_for(tmp_path: Path) -> None:
    path = tmp_path / "a.rail"
    seen: list[str] = []

    def look() -> ReadResult:
        seen.append(path.read_text())
        if len(seen) == 1:
            path.write_text("whole")  # it changes while it is read
        return ReadResult(seen[-1])

    path.write_text("half")
    assert read_when_stable(tmp_path, look).value == "whole" and len(seen) == 2


def test_only_the_latest_of_several_readings_counts(tmp_path: Path) -> None:
    compiled(tmp_path)
    loop, found = Loop(), list[ReadResult]()
    reader = ReaderProcess(loop, found.append)
    reader.request("sidecar", tmp_path, "nobody", {})
    reader.request("sidecar", tmp_path, "nobody either", {})
    reader.request("sidecar", tmp_path, "lifts", {})
    end = time.monotonic() + 30
    while not found and time.monotonic() < end:
        loop.run_once()
    assert len(found) == 1 and found[0].value is not None and not reader.busy


# --- On sockets -------------------------------------------------------------------------------------------


class Beside:
    """A sidecar in this process, its exchanges played by the test."""

    def __init__(self, tmp_path: Path, **more: Any) -> None:
        self.path = tmp_path
        self.exchanges = {name: Listening() for name in ("f-1", "f-2", "k-1", "k-2")}
        self.ports = free_ports(2)
        self.compiled = self.compile(**more)
        self.sidecar = Sidecar(self.compiled, tmp_path, 7)
        self.sidecar.start()

    def compile(self, **edits: list[tuple[str, str]]) -> SidecarConfig:
        inventory, application = INVENTORY_TEXT, LIFTS_TEXT
        for port, name in zip(("6101", "6102", "6103", "6104"), self.exchanges, strict=True):
            inventory = inventory.replace(f"127.0.0.1:{port}", self.exchanges[name].address)
        application = application.replace("5081", str(self.ports[0]))
        for old, new in edits.get("inventory", ()):
            assert old in inventory
            inventory = inventory.replace(old, new)
        for old, new in edits.get("application", ()):
            assert old in application
            application = application.replace(old, new.replace("M3UA", str(self.ports[1])))
        numbers = self.sidecar.numbers if hasattr(self, "sidecar") else {}
        return compiled(self.path, inventory, application, numbers)

    def turn(self, until: Any, what: str = "condition") -> None:
        end = time.monotonic() + 10
        while not until():
            assert time.monotonic() < end, f"never came: {what}"
            self.sidecar.controller.loop.timers.schedule(self.sidecar.controller.loop.now + MS, lambda: None)
            self.sidecar.controller.run_iteration()


class Turning:
    """Keeps the sidecar's loop turning in a thread while the test speaks as caller and exchange."""

    def __init__(self, beside: Beside) -> None:
        import threading

        self.beside, self.end = beside, False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        program = self.beside.sidecar.controller
        while not self.end:
            program.loop.timers.schedule(program.loop.now + 2 * MS, lambda: None)
            program.run_iteration()


@contextmanager
def beside(tmp_path: Path, **more: Any) -> Iterator[tuple[Beside, Caller]]:
    b = Beside(tmp_path, **more)
    turning = Turning(b)
    caller = Caller(b.ports[0])
    try:
        yield b, caller
    finally:
        turning.end = True
        turning.thread.join(10)
        assert b.sidecar.core.internal_errors == 0


def invite(caller: Caller, call: str, number: str = "0921", kind: str = "alarm", *more: str) -> None:
    caller.send("INVITE", call, f"Subject: {kind}", "X-Patience: 2900", *more, body=SDP,
                change=("sip:00000000000000ab", f"sip:{number}"))  # fmt: skip


def stands(caller: Caller, link: Any, call: str) -> None:
    invite(caller, call, "0921", "report")
    set_up(link, call)
    tell(link, binary.ANSWER, call)
    assert caller.answer(call).status == 200


def test_a_call_goes_by_its_number_to_its_pool_and_stands(tmp_path: Path) -> None:
    with beside(tmp_path) as (b, caller):
        links = {name: b.exchanges[name].desk() for name in b.exchanges}
        invite(caller, "a" * 16, "0961")
        m = set_up(links["k-1"], "a" * 16)
        assert (m.class_name, m.number) == ("alarm", "0961") and m.timeout_ms <= 1300
        tell(links["k-1"], binary.ANSWER, "a" * 16)
        assert caller.answer("a" * 16).status == 200
        invite(caller, "b" * 16, "0771")
        assert caller.answer("b" * 16).status == 404
        invite(caller, "c" * 16, "0771", "alarm", "X-District: fukuoka")
        set_up(links["f-1"], "c" * 16)
        invite(caller, "d" * 16, "0921", "nonsense")
        assert caller.answer("d" * 16).status == 400


def test_an_unanswered_attempt_is_given_up_in_time_and_goes_elsewhere_after_the_pause(tmp_path: Path) -> None:
    edits = [("time_out: 1300ms", "time_out: 200ms")]
    with beside(tmp_path, application=edits) as (b, caller):
        links = {name: b.exchanges[name].desk() for name in b.exchanges}
        invite(caller, "a" * 16)
        set_up(links["f-1"], "a" * 16)
        assert release(links["f-1"], "a" * 16).cause == 16
        given_up = time.monotonic()
        set_up(links["f-2"], "a" * 16)
        assert time.monotonic() - given_up > 0.25
        tell(links["f-2"], binary.ANSWER, "a" * 16)
        assert caller.answer("a" * 16).status == 200


def test_what_is_over_the_limit_is_refused_at_once_and_told_when_to_come_back(tmp_path: Path) -> None:
    edits = [("open: 100", "open: 4")]
    with beside(tmp_path, application=edits) as (b, caller):
        link = b.exchanges["f-1"].desk()
        for n in range(6):
            invite(caller, f"{n:016x}", "0921", "report")
        refused = caller.take(lambda m: m.status == 503)
        assert int(refused.headers["x-later-ms"]) > 0
        # Another connection of the application still has room.
        other = Caller(b.ports[0])
        invite(other, "f" * 16)
        wait_until(lambda: b.sidecar.admission.limiter.admitted_count >= 3)
        assert link is not None and b.sidecar.admission.refused


def test_a_reload_moves_an_exchange_while_a_set_up_is_out_on_it(tmp_path: Path) -> None:
    with beside(tmp_path) as (b, caller):
        links = {name: b.exchanges[name].desk() for name in b.exchanges}
        invite(caller, "a" * 16)
        set_up(links["f-1"], "a" * 16)
        moved = b.compile(inventory=[("[exchange.f-1, exchange.f-2]", "[exchange.f-2]"),
                                     ("[exchange.k-1,", "[exchange.f-1, exchange.k-1,")])  # fmt: skip
        b.sidecar.controller.loop.timers.schedule(0, lambda: b.sidecar.apply_config(moved))
        wait_until(lambda: b.sidecar.config is moved)
        # What was out ends under what it began with; what comes goes to the pool as it is now.
        for n in range(4):
            stands(caller, links["f-2"], f"{n:016x}")
        tell(links["f-1"], binary.ANSWER, "a" * 16)
        assert caller.answer("a" * 16).status == 200
        tell(links["f-1"], binary.RELEASE, "a" * 16, cause=16)
        assert caller.bye("a" * 16)


def test_an_exchange_taken_out_keeps_its_calls_and_gets_nothing_new(tmp_path: Path) -> None:
    with beside(tmp_path) as (b, caller):
        links = {name: b.exchanges[name].desk() for name in b.exchanges}
        invite(caller, "a" * 16)
        set_up(links["f-1"], "a" * 16)
        tell(links["f-1"], binary.ANSWER, "a" * 16)
        assert caller.answer("a" * 16).status == 200
        without = b.compile(inventory=[("[exchange.f-1, exchange.f-2]", "[exchange.f-2]")])
        b.sidecar.controller.loop.timers.schedule(0, lambda: b.sidecar.apply_config(without))
        wait_until(lambda: b.sidecar.config is without)
        for n in range(3):
            stands(caller, links["f-2"], f"{n:016x}")
        uid = f"f-1@{b.exchanges['f-1'].address}"
        assert list(b.sidecar.admission.exchange_list.removed) == [uid]
        tell(links["f-1"], binary.RELEASE, "a" * 16, cause=16)
        assert caller.bye("a" * 16)
        assert links["f-1"].closed()  # nothing stands there any more: it is let go


def test_with_its_whole_pool_gone_a_class_goes_to_the_fallback(tmp_path: Path) -> None:
    with beside(tmp_path) as (b, caller):
        links = {name: b.exchanges[name].desk() for name in b.exchanges}
        news = [EndpointEntry(n, "", "z", 0, TERMINATING, 0) for n in ("f-1", "f-2")]
        b.sidecar.controller.loop.timers.schedule(
            0, lambda: b.sidecar.core.update_endpoints("bus", False, news)
        )
        wait_until(lambda: b.sidecar.admission.route_table.availability("alarm@fukuoka").pools == ("k",))
        invite(caller, "a" * 16)
        set_up(links["k-1"], "a" * 16)


def test_calls_of_an_application_that_is_gone_are_released(tmp_path: Path) -> None:
    edits = [("attempts: 2", "attempts: 2\n  orphans: 1s")]
    with beside(tmp_path, application=edits) as (b, caller):
        links = {name: b.exchanges[name].desk() for name in b.exchanges}
        for call, answers in (("a" * 16, True), ("b" * 16, False)):
            invite(caller, call)
            name = next(n for n in ("f-1", "f-2") if (call[0] == "a") == (n == "f-1"))
            set_up(links[name], call)
            if answers:
                tell(links[name], binary.ANSWER, call)
                assert caller.answer(call).status == 200
        caller.reset()
        assert release(links["f-2"], "b" * 16).cause == 16  # nobody waits for it any more
        assert release(links["f-1"], "a" * 16).cause == 41


def test_an_application_that_stops_reading_is_cut_off_and_its_set_ups_given_up(tmp_path: Path) -> None:
    edits = [("open: 100, rate: 50/s", "open: 100, rate: 20000/s")]
    with beside(tmp_path, application=edits) as (b, caller):
        links = {name: b.exchanges[name].desk() for name in b.exchanges}
        invite(caller, "a" * 16)
        set_up(links["f-1"], "a" * 16)
        caller.sock.settimeout(0.2)
        request = (
            "OPTIONS sip:x@net SIP/2.0\r\n" + "".join(f"Via: {'v' * 900}{n}\r\n" for n in range(16))
            + "Call-ID: o\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
        ).encode()  # fmt: skip
        try:
            while True:  # answered until nothing of it fits anywhere any more
                caller.sock.sendall(request)
        except OSError:
            pass
        assert release(links["f-1"], "a" * 16).cause == 16


def test_m3ua_clients_are_served_by_the_same_door(tmp_path: Path) -> None:
    edits = [('listen: sip: "127.0.0.1:', 'listen: m3ua: "127.0.0.1:M3UA"\n  listen: sip: "127.0.0.1:'),
             ("alarm: {give_up", "alarm: {category: 11, give_up"), ("open: 100", "open: 2"),
             ("attempts: 2", "attempts: 2\n  m3ua: point_code: 9")]  # fmt: skip
    with beside(tmp_path, application=edits) as (b, _caller):
        links = {name: b.exchanges[name].desk() for name in b.exchanges}
        import socket

        peer = M3uaPeer(socket.create_connection(("127.0.0.1", b.ports[1])), 5, 9).up()
        peer.send(1, IsupMessageType.IAM, called_number="0961", category=11, uui=b"d")
        m = links["k-1"].take(lambda m: m.message_type == binary.SET_UP)
        assert m.class_name == "alarm"
        tell(links["k-1"], binary.ANSWER, f"{m.call_id:016x}", session_description=b"e")
        assert peer.isup(IsupMessageType.ANM, 1).uui == b"e"
        peer.send(2, IsupMessageType.IAM, called_number="0771", category=11, uui=b"d")
        assert peer.isup(IsupMessageType.REL, 2).cause == 1
        for cic in range(3, 8):
            peer.send(cic, IsupMessageType.IAM, called_number="0961", category=11, uui=b"d")
        over = peer.isup(IsupMessageType.REL)
        assert (over.cause, over.congestion) == (42, 1)


# --- As a process -----------------------------------------------------------------------------------------


def started(folder: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "arrowrail", "sidecar", "lifts", "--config", str(folder),
         "--log-form", "json"],
        stderr=subprocess.PIPE, env=os.environ | {"PYTHONPATH": str(ROOT)},
    )  # fmt: skip


def events(process: subprocess.Popen[bytes]) -> Iterator[dict[str, Any]]:
    assert process.stderr is not None
    for line in process.stderr:
        yield json.loads(line)


def until(found: Iterator[dict[str, Any]], name: str) -> dict[str, Any]:
    return next(e for e in found if e["event"] == name)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "inventory.rail").write_text(INVENTORY_TEXT)
    (tmp_path / "lifts.rail").write_text(LIFTS_TEXT.replace("5081", str(free_ports(1)[0])))
    return tmp_path


def test_a_bad_file_at_sighup_leaves_what_was_in_force(folder: Path) -> None:
    process = started(folder)
    try:
        found = events(process)
        assert until(found, "sidecar.started")["application"] == "lifts"
        good = (folder / "lifts.rail").read_text()
        (folder / "lifts.rail").write_text(good[: len(good) // 2])
        process.send_signal(signal.SIGHUP)
        assert until(found, "reload.fault")["fault"].startswith("lifts.rail:")
        assert until(found, "reload.kept")["codes"] == ["AR107"]
        (folder / "lifts.rail").write_text(good.replace("attempts: 2", "attempts: 1"))
        process.send_signal(signal.SIGHUP)
        assert until(found, "reload.done")["changed"] == 0
        process.send_signal(signal.SIGTERM)
        assert until(found, "sidecar.stopped")["defects"] == 0
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()


def test_a_port_that_is_taken_is_named_and_exits_3(folder: Path) -> None:
    taken = Listening()
    text = (folder / "lifts.rail").read_text()
    port = text.split("127.0.0.1:")[1].split('"')[0]
    (folder / "lifts.rail").write_text(text.replace(port, str(taken.port)))
    process = started(folder)
    said = until(events(process), "start.port")
    assert process.wait(20) == 3 and str(taken.port) in said["listeners"]


def test_pool_news_reaches_calls_that_wait_for_a_circuit() -> None:
    from tests.helpers import T0 as NOW
    from tests.helpers import call, entry, group, sent, settings
    from trackhatch.controller import Controller

    module = Controller(settings(layout="groups", own_exchange=-1, pools_by_class=((1,), ())), 1)
    module.step(
        NOW,
        [interface.ExchangeListUpdate("restored", (entry(101), entry(102))), group(101, 0), group(102, 20)],
    )
    assert sent(module.step(NOW, [call("a", destination=1)])) == [] and "a" in module.queued_calls[101]
    assert sent(module.step(NOW + MS, [interface.PoolUpdate("check", (2,))])) == [("a", 102)]
    assert sent(module.step(NOW + MS, [call("b", destination=2)])) == [("b", 102)]
    module.step(NOW + 2 * MS, [interface.PoolUpdate("check", ())])
    assert sent(module.step(NOW + 2 * MS, [call("c", destination=2)])) == []
