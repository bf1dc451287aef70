"""Tests of the sidecar: exchange list, admission, reloads, and the whole process on loopback sockets."""

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
from arrowrail.run import reader_process
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
from tests.live import (
    SDP,
    Caller,
    ListeningSocket,
    M3uaPeer,
    receive_release,
    receive_set_up,
    send_binary,
    wait_until,
)
from tests.records.corpus import INVENTORY_TEXT, LIFTS_TEXT
from trackhatch import interface

S, MS = 1_000_000_000, 1_000_000
T0 = 1_000 * S
ROOT = Path(__file__).parents[1]


def load_config(
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


# --- Configuration from records ---------------------------------------------------------------------------


def test_records_become_settings_pools_and_limits(tmp_path: Path) -> None:
    config = load_config(tmp_path)
    assert [call_class.name for call_class in config.settings.classes] == [
        "alarm@fukuoka", "alarm@kumamoto", "report@fukuoka", "report@kumamoto",
    ]  # fmt: skip
    assert set(config.settings.pools_by_class) == {(-1,)} and config.settings.layout == "groups"
    assert (config.settings.max_attempts, config.settings.release_ns, config.settings.drain_grace_ns) == (
        2,
        300 * MS,
        500 * MS,
    )
    assert (
        config.pools.routes["alarm@fukuoka"].pools == ("f", "k")
        and config.pools.district_by_prefix["092"] == "fukuoka"
    )
    assert [exchange.number for exchange in config.exchanges] == [1, 2, 3, 4] and config.exchanges[
        2
    ].circuits == 60
    assert config.classes["alarm"].width == 2 and config.limits.max_open == 100


def test_exchange_numbers_of_a_running_sidecar_are_kept(tmp_path: Path) -> None:
    config = load_config(tmp_path, numbers={"k-2": 1, "f-1": 9})
    assert {exchange.name: exchange.number for exchange in config.exchanges} == {
        "k-2": 1,
        "f-1": 9,
        "f-2": 10,
        "k-1": 11,
    }


# --- Exchange list ----------------------------------------------------------------------------------------


def states(entries: list[EndpointEntry]) -> dict[str, str]:
    return {entry.uid: entry.state for entry in entries}


def test_the_more_restrictive_of_two_states_applies(tmp_path: Path) -> None:
    exchanges = load_config(tmp_path).exchanges
    exchange_list = ExchangeList()
    assert set(states(exchange_list.update_config(exchanges)).values()) == {IN_SERVICE}
    draining = EndpointEntry("f-1", "127.0.0.1:6101", "z", 0, TERMINATING, 0)
    assert states(exchange_list.apply_update(False, [draining])) == {"f-1@127.0.0.1:6101": TERMINATING}
    # The inventory marks another exchange as gone; a source that reports it in service does not change that.
    changed = [
        replace(exchange, state=TERMINATED) if exchange.name == "k-1" else exchange for exchange in exchanges
    ]
    assert states(exchange_list.update_config(changed)) == {"k-1@127.0.0.1:6103": TERMINATED}
    in_service = EndpointEntry("k-1", "127.0.0.1:6103", "z", 0, IN_SERVICE, 0)
    assert exchange_list.apply_update(False, [in_service]) == []
    assert states(exchange_list.apply_update(False, [replace(draining, state=IN_SERVICE)])) == {
        "f-1@127.0.0.1:6101": IN_SERVICE
    }


def test_exchanges_absent_from_a_snapshot_drain_and_unknown_ones_are_counted(tmp_path: Path) -> None:
    exchange_list = ExchangeList()
    exchange_list.update_config(load_config(tmp_path).exchanges)
    entries = [EndpointEntry(n, "", "z", 0, IN_SERVICE, 0) for n in ("f-1", "f-2", "k-1", "unknown")]
    assert states(exchange_list.apply_update(True, entries)) == {"k-2@127.0.0.1:6104": TERMINATING}
    assert exchange_list.unknown_count == 1


def test_an_exchange_removed_from_the_inventory_is_terminated_once_drained(tmp_path: Path) -> None:
    exchanges = load_config(tmp_path).exchanges
    exchange_list = ExchangeList()
    exchange_list.update_config(exchanges)
    assert states(exchange_list.update_config(exchanges[1:])) == {"f-1@127.0.0.1:6101": TERMINATING}
    assert exchange_list.update_config(exchanges[1:]) == [] and list(exchange_list.removed) == [
        "f-1@127.0.0.1:6101"
    ]
    assert states(exchange_list.remove_drained(["f-1@127.0.0.1:6101"])) == {"f-1@127.0.0.1:6101": TERMINATED}
    assert states(exchange_list.update_config(exchanges)) == {"f-1@127.0.0.1:6101": IN_SERVICE}


def test_an_exchange_at_a_new_address_is_a_new_endpoint(tmp_path: Path) -> None:
    exchanges = load_config(tmp_path).exchanges
    exchange_list = ExchangeList()
    exchange_list.update_config(exchanges)
    moved = EndpointEntry("f-1", "127.0.0.1:7000", "z", 0, IN_SERVICE, 5)
    assert states(exchange_list.apply_update(False, [moved])) == {
        "f-1@127.0.0.1:6101": TERMINATING, "f-1@127.0.0.1:7000": IN_SERVICE,
    }  # fmt: skip


# --- Admission --------------------------------------------------------------------------------------------


def set_up_params(
    call_id: str = "c", class_name: str = "alarm", number: str = "0921", **more: Any
) -> SetUpParams:
    return SetUpParams(call_id, class_name, number, 1, -1, 1, T0 + 60 * S, b"x", **more)


def test_admission_routes_set_ups_and_refuses_those_without_a_route_or_over_the_limit(tmp_path: Path) -> None:
    config = load_config(tmp_path)
    admission = SidecarAdmission(replace(config, limits=replace(config.limits, max_open=3)), T0)
    admission.route_table.update_states([(n, IN_SERVICE) for n in (1, 2, 3, 4)])
    routed, refusal = admission.admit(T0, 1, set_up_params())
    assert refusal is None
    assert (routed.route, routed.destination, routed.width) == ("alarm@fukuoka", 1, 2)
    assert routed.deadline_ns == T0 + 3 * S  # the class's give_up limits the caller's deadline
    assert admission.admit(T0, 1, set_up_params(number="077"))[1] == replace(
        admission.admit(T0, 1, set_up_params(class_name="x"))[1]
    )  # type: ignore[type-var]
    responses = [admission.admit(T0, 1, set_up_params(str(n)))[1] for n in range(5)]
    assert [r.outcome for r in responses if r] == [OVER_LIMIT] * 4
    assert all(r.result == REFUSED and r.retry_after_ns > 0 for r in responses if r)
    no_route = admission.admit(T0, 1, set_up_params(number="077"))[1]
    assert (
        no_route is not None
        and no_route.outcome == NO_ROUTE
        and admission.attempt_timeout_ns(routed) == 1300 * MS
    )
    admission.set_up_finished(T0 + S, 1, routed, S)
    assert admission.admit(T0 + S, 1, set_up_params("again"))[1] is None


def test_an_answer_to_an_own_call_overrides_failed_probes_of_other_instances(tmp_path: Path) -> None:
    admission = SidecarAdmission(load_config(tmp_path), T0)
    admission.route_table.update_states([(n, IN_SERVICE) for n in (1, 2, 3, 4)])
    entry = EndpointEntry("f-1@127.0.0.1:6101", "127.0.0.1:6101", "z", 1, IN_SERVICE, 0)
    admission.attempt_ended(T0, Endpoint(1, "site", entry, entry), "served", 0)
    assert admission.set_probe_failures(T0 + S, [1]) == []
    updates = admission.set_probe_failures(T0 + 6 * S, [1])
    assert {u.exchanges for u in updates} == {(2,)} and len(updates) == 2


# --- Reader process ---------------------------------------------------------------------------------------


def test_the_reader_returns_the_configuration_or_all_faults(tmp_path: Path) -> None:
    load_config(tmp_path)
    result = read_and_wait("sidecar", tmp_path, "lifts", {"k-2": 7})
    assert result.faults == () and result.value is not None and result.value.exchanges[3].number == 7
    assert read_sidecar(tmp_path, "lfts", {}).codes == ("AR321",)
    (tmp_path / "lifts.rail").write_text(LIFTS_TEXT.replace("3s", "3"))
    result = read_and_wait("sidecar", tmp_path, "lifts", {})
    assert result.value is None and result.codes == ("AR203", "AR203")
    assert read_controller(tmp_path / "none.rail", []).codes == ("AR101",)
    assert read_and_wait("unknown kind").value is None


def test_a_file_that_changes_during_the_check_is_checked_again(tmp_path: Path) -> None:
    path = tmp_path / "a.rail"
    contents: list[str] = []

    def check() -> ReadResult:
        contents.append(path.read_text())
        if len(contents) == 1:
            path.write_text("complete")  # changed while it is checked
        return ReadResult(contents[-1])

    path.write_text("partial")
    assert read_when_stable(tmp_path, check).value == "complete" and len(contents) == 2


@pytest.mark.parametrize(
    "data", [b"carrowrail.gone\nMissing\n.", b"carrowrail.loop\nMissing\n.", b"\x80\x04", b"N."]
)
def test_an_undecodable_result_of_the_reader_process_is_a_fault(data: bytes) -> None:
    """Guards against a reload ending the process after its sources were replaced by another version's."""
    result = reader_process._result(data, 0)
    assert result.value is None and len(result.faults) == 1


def test_only_the_latest_read_request_yields_a_result(tmp_path: Path) -> None:
    load_config(tmp_path)
    loop, results = Loop(), list[ReadResult]()
    reader = ReaderProcess(loop, results.append)
    reader.request("sidecar", tmp_path, "unknown", {})
    reader.request("sidecar", tmp_path, "also-unknown", {})
    reader.request("sidecar", tmp_path, "lifts", {})
    deadline = time.monotonic() + 30
    while not results and time.monotonic() < deadline:
        loop.run_once()
    assert len(results) == 1 and results[0].value is not None and not reader.busy


# --- Sidecar on sockets -----------------------------------------------------------------------------------


class SidecarFixture:
    """A sidecar in the test process; the test acts as its exchanges."""

    def __init__(self, tmp_path: Path, **more: Any) -> None:
        self.folder = tmp_path
        self.exchanges = {name: ListeningSocket() for name in ("f-1", "f-2", "k-1", "k-2")}
        self.ports = free_ports(2)
        self.config = self.edited_config(**more)
        self.sidecar = Sidecar(self.config, tmp_path, 7)
        self.sidecar.start()

    def edited_config(self, **edits: list[tuple[str, str]]) -> SidecarConfig:
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
        numbers = self.sidecar.exchange_numbers if hasattr(self, "sidecar") else {}
        return load_config(self.folder, inventory, application, numbers)

    def run_until(self, condition: Any, what: str = "condition") -> None:
        deadline = time.monotonic() + 10
        while not condition():
            assert time.monotonic() < deadline, f"not reached in time: {what}"
            self.sidecar.controller.loop.timers.schedule(self.sidecar.controller.loop.now + MS, lambda: None)
            self.sidecar.controller.run_iteration()


class LoopThread:
    """Runs the sidecar's event loop in a thread while the test acts as caller and exchange."""

    def __init__(self, fixture: SidecarFixture) -> None:
        import threading

        self.fixture, self.stopping = fixture, False
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        controller = self.fixture.sidecar.controller
        while not self.stopping:
            controller.loop.timers.schedule(controller.loop.now + 2 * MS, lambda: None)
            controller.run_iteration()


@contextmanager
def running_sidecar(tmp_path: Path, **more: Any) -> Iterator[tuple[SidecarFixture, Caller]]:
    fixture = SidecarFixture(tmp_path, **more)
    loop_thread = LoopThread(fixture)
    caller = Caller(fixture.ports[0])
    try:
        yield fixture, caller
    finally:
        loop_thread.stopping = True
        loop_thread.thread.join(10)
        assert fixture.sidecar.core.internal_errors == 0


def invite(
    caller: Caller, call_id: str, number: str = "0921", class_name: str = "alarm", *headers: str
) -> None:
    caller.send("INVITE", call_id, f"Subject: {class_name}", "X-Patience: 2900", *headers, body=SDP,
                replacement=("sip:00000000000000ab", f"sip:{number}"))  # fmt: skip


def establish_call(caller: Caller, connection: Any, call_id: str) -> None:
    invite(caller, call_id, "0921", "report")
    receive_set_up(connection, call_id)
    send_binary(connection, binary.ANSWER, call_id)
    assert caller.receive_response(call_id).status == 200


def test_a_call_is_routed_by_its_number_and_established(tmp_path: Path) -> None:
    with running_sidecar(tmp_path) as (fixture, caller):
        connections = {name: fixture.exchanges[name].accept_binary() for name in fixture.exchanges}
        invite(caller, "a" * 16, "0961")
        message = receive_set_up(connections["k-1"], "a" * 16)
        assert (message.class_name, message.number) == ("alarm", "0961") and message.timeout_ms <= 1300
        send_binary(connections["k-1"], binary.ANSWER, "a" * 16)
        assert caller.receive_response("a" * 16).status == 200
        invite(caller, "b" * 16, "0771")
        assert caller.receive_response("b" * 16).status == 404
        invite(caller, "c" * 16, "0771", "alarm", "X-District: fukuoka")
        receive_set_up(connections["f-1"], "c" * 16)
        invite(caller, "d" * 16, "0921", "nonsense")
        assert caller.receive_response("d" * 16).status == 400


def test_an_unanswered_attempt_times_out_and_is_repeated_elsewhere_after_the_pause(tmp_path: Path) -> None:
    edits = [("time_out: 1300ms", "time_out: 200ms")]
    with running_sidecar(tmp_path, application=edits) as (fixture, caller):
        connections = {name: fixture.exchanges[name].accept_binary() for name in fixture.exchanges}
        invite(caller, "a" * 16)
        receive_set_up(connections["f-1"], "a" * 16)
        assert receive_release(connections["f-1"], "a" * 16).cause == 16
        released_at = time.monotonic()
        receive_set_up(connections["f-2"], "a" * 16)
        assert time.monotonic() - released_at > 0.25
        send_binary(connections["f-2"], binary.ANSWER, "a" * 16)
        assert caller.receive_response("a" * 16).status == 200


def test_set_ups_over_the_limit_are_refused_at_once_with_a_retry_delay(tmp_path: Path) -> None:
    edits = [("open: 100", "open: 4")]
    with running_sidecar(tmp_path, application=edits) as (fixture, caller):
        connection = fixture.exchanges["f-1"].accept_binary()
        for n in range(6):
            invite(caller, f"{n:016x}", "0921", "report")
        refused = caller.receive(lambda m: m.status == 503)
        assert int(refused.headers["x-later-ms"]) > 0
        # Set-ups of another connection of the application are still admitted.
        other_caller = Caller(fixture.ports[0])
        invite(other_caller, "f" * 16)
        wait_until(lambda: fixture.sidecar.admission.limiter.admitted_count >= 3)
        assert connection is not None and fixture.sidecar.admission.refused


def test_a_reload_moves_an_exchange_to_another_pool_during_a_set_up(tmp_path: Path) -> None:
    with running_sidecar(tmp_path) as (fixture, caller):
        connections = {name: fixture.exchanges[name].accept_binary() for name in fixture.exchanges}
        invite(caller, "a" * 16)
        receive_set_up(connections["f-1"], "a" * 16)
        moved = fixture.edited_config(
            inventory=[
                ("[exchange.f-1, exchange.f-2]", "[exchange.f-2]"),
                ("[exchange.k-1,", "[exchange.f-1, exchange.k-1,"),
            ]
        )
        fixture.sidecar.controller.loop.timers.schedule(0, lambda: fixture.sidecar.apply_config(moved))
        wait_until(lambda: fixture.sidecar.config is moved)
        # The pending set-up keeps its exchange; new set-ups use the changed pool.
        for n in range(4):
            establish_call(caller, connections["f-2"], f"{n:016x}")
        send_binary(connections["f-1"], binary.ANSWER, "a" * 16)
        assert caller.receive_response("a" * 16).status == 200
        send_binary(connections["f-1"], binary.RELEASE, "a" * 16, cause=16)
        assert caller.receive_bye("a" * 16)


def test_an_exchange_removed_by_a_reload_keeps_its_calls_and_gets_no_new_ones(tmp_path: Path) -> None:
    with running_sidecar(tmp_path) as (fixture, caller):
        connections = {name: fixture.exchanges[name].accept_binary() for name in fixture.exchanges}
        invite(caller, "a" * 16)
        receive_set_up(connections["f-1"], "a" * 16)
        send_binary(connections["f-1"], binary.ANSWER, "a" * 16)
        assert caller.receive_response("a" * 16).status == 200
        reduced = fixture.edited_config(inventory=[("[exchange.f-1, exchange.f-2]", "[exchange.f-2]")])
        fixture.sidecar.controller.loop.timers.schedule(0, lambda: fixture.sidecar.apply_config(reduced))
        wait_until(lambda: fixture.sidecar.config is reduced)
        for n in range(3):
            establish_call(caller, connections["f-2"], f"{n:016x}")
        uid = f"f-1@{fixture.exchanges['f-1'].address}"
        assert list(fixture.sidecar.admission.exchange_list.removed) == [uid]
        send_binary(connections["f-1"], binary.RELEASE, "a" * 16, cause=16)
        assert caller.receive_bye("a" * 16)
        assert connections["f-1"].wait_for_close()  # no call is left there: it is disconnected


def test_a_class_uses_the_fallback_when_its_whole_pool_drains(tmp_path: Path) -> None:
    with running_sidecar(tmp_path) as (fixture, caller):
        connections = {name: fixture.exchanges[name].accept_binary() for name in fixture.exchanges}
        entries = [EndpointEntry(n, "", "z", 0, TERMINATING, 0) for n in ("f-1", "f-2")]
        fixture.sidecar.controller.loop.timers.schedule(
            0, lambda: fixture.sidecar.core.update_endpoints("bus", False, entries)
        )
        wait_until(
            lambda: fixture.sidecar.admission.route_table.availability("alarm@fukuoka").pools == ("k",)
        )
        invite(caller, "a" * 16)
        receive_set_up(connections["k-1"], "a" * 16)


def test_calls_of_a_disconnected_application_are_released(tmp_path: Path) -> None:
    edits = [("attempts: 2", "attempts: 2\n  orphans: 1s")]
    with running_sidecar(tmp_path, application=edits) as (fixture, caller):
        connections = {name: fixture.exchanges[name].accept_binary() for name in fixture.exchanges}
        for call_id, answered in (("a" * 16, True), ("b" * 16, False)):
            invite(caller, call_id)
            name = next(n for n in ("f-1", "f-2") if (call_id[0] == "a") == (n == "f-1"))
            receive_set_up(connections[name], call_id)
            if answered:
                send_binary(connections[name], binary.ANSWER, call_id)
                assert caller.receive_response(call_id).status == 200
        caller.reset()
        assert receive_release(connections["f-2"], "b" * 16).cause == 16  # the pending set-up is cancelled
        assert receive_release(connections["f-1"], "a" * 16).cause == 41


def test_an_application_that_stops_reading_is_disconnected_and_its_set_ups_cancelled(tmp_path: Path) -> None:
    edits = [("open: 100, rate: 50/s", "open: 100, rate: 20000/s")]
    with running_sidecar(tmp_path, application=edits) as (fixture, caller):
        connections = {name: fixture.exchanges[name].accept_binary() for name in fixture.exchanges}
        invite(caller, "a" * 16)
        receive_set_up(connections["f-1"], "a" * 16)
        caller.sock.settimeout(0.2)
        request = (
            "OPTIONS sip:x@net SIP/2.0\r\n" + "".join(f"Via: {'v' * 900}{n}\r\n" for n in range(16))
            + "Call-ID: o\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
        ).encode()  # fmt: skip
        try:
            while True:  # until the send buffers of both sides are full of responses and requests
                caller.sock.sendall(request)
        except OSError:
            pass
        assert receive_release(connections["f-1"], "a" * 16).cause == 16


def test_m3ua_clients_use_the_same_admission_control(tmp_path: Path) -> None:
    edits = [('listen: sip: "127.0.0.1:', 'listen: m3ua: "127.0.0.1:M3UA"\n  listen: sip: "127.0.0.1:'),
             ("alarm: {give_up", "alarm: {category: 11, give_up"), ("open: 100", "open: 2"),
             ("attempts: 2", "attempts: 2\n  m3ua: point_code: 9")]  # fmt: skip
    with running_sidecar(tmp_path, application=edits) as (fixture, _caller):
        connections = {name: fixture.exchanges[name].accept_binary() for name in fixture.exchanges}
        import socket

        peer = M3uaPeer(socket.create_connection(("127.0.0.1", fixture.ports[1])), 5, 9).activate()
        peer.send_isup(1, IsupMessageType.IAM, called_number="0961", category=11, uui=b"d")
        message = connections["k-1"].receive(lambda m: m.message_type == binary.SET_UP)
        assert message.class_name == "alarm"
        send_binary(connections["k-1"], binary.ANSWER, f"{message.call_id:016x}", session_description=b"e")
        assert peer.expect_isup(IsupMessageType.ANM, 1).uui == b"e"
        peer.send_isup(2, IsupMessageType.IAM, called_number="0771", category=11, uui=b"d")
        assert peer.expect_isup(IsupMessageType.REL, 2).cause == 1
        for cic in range(3, 8):
            peer.send_isup(cic, IsupMessageType.IAM, called_number="0961", category=11, uui=b"d")
        refused = peer.expect_isup(IsupMessageType.REL)
        assert (refused.cause, refused.congestion) == (42, 1)


# --- Sidecar process --------------------------------------------------------------------------------------


def start_process(folder: Path) -> subprocess.Popen[bytes]:
    return subprocess.Popen(
        [sys.executable, "-m", "arrowrail", "sidecar", "lifts", "--config", str(folder),
         "--log-form", "json"],
        stderr=subprocess.PIPE, env=os.environ | {"PYTHONPATH": str(ROOT)},
    )  # fmt: skip


def log_events(process: subprocess.Popen[bytes]) -> Iterator[dict[str, Any]]:
    assert process.stderr is not None
    for line in process.stderr:
        yield json.loads(line)


def wait_for_event(events: Iterator[dict[str, Any]], name: str) -> dict[str, Any]:
    return next(e for e in events if e["event"] == name)


@pytest.fixture
def folder(tmp_path: Path) -> Path:
    (tmp_path / "inventory.rail").write_text(INVENTORY_TEXT)
    (tmp_path / "lifts.rail").write_text(LIFTS_TEXT.replace("5081", str(free_ports(1)[0])))
    return tmp_path


def test_an_invalid_file_at_sighup_leaves_the_configuration_in_force(folder: Path) -> None:
    process = start_process(folder)
    try:
        events = log_events(process)
        assert wait_for_event(events, "sidecar.started")["application"] == "lifts"
        valid_text = (folder / "lifts.rail").read_text()
        (folder / "lifts.rail").write_text(valid_text[: len(valid_text) // 2])
        process.send_signal(signal.SIGHUP)
        assert wait_for_event(events, "reload.fault")["fault"].startswith("lifts.rail:")
        assert wait_for_event(events, "reload.kept")["codes"] == ["AR107"]
        (folder / "lifts.rail").write_text(valid_text.replace("attempts: 2", "attempts: 1"))
        process.send_signal(signal.SIGHUP)
        assert wait_for_event(events, "reload.done")["changed"] == 0
        process.send_signal(signal.SIGTERM)
        assert wait_for_event(events, "sidecar.stopped")["defects"] == 0
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.wait()


def test_a_port_in_use_is_reported_with_exit_code_3(folder: Path) -> None:
    listener = ListeningSocket()
    text = (folder / "lifts.rail").read_text()
    port = text.split("127.0.0.1:")[1].split('"')[0]
    (folder / "lifts.rail").write_text(text.replace(port, str(listener.port)))
    process = start_process(folder)
    failure = wait_for_event(log_events(process), "start.port")
    assert process.wait(20) == 3 and str(listener.port) in failure["listeners"]


def test_a_pool_update_applies_to_calls_queued_for_a_circuit() -> None:
    from tests.helpers import T0 as NOW
    from tests.helpers import call, entry, group, sent, settings
    from trackhatch.controller import Controller

    decision_module = Controller(settings(layout="groups", own_exchange=-1, pools_by_class=((1,), ())), 1)
    decision_module.step(
        NOW,
        [interface.ExchangeListUpdate("restored", (entry(101), entry(102))), group(101, 0), group(102, 20)],
    )
    assert (
        sent(decision_module.step(NOW, [call("a", destination=1)])) == []
        and "a" in decision_module.queued_calls[101]
    )
    assert sent(decision_module.step(NOW + MS, [interface.PoolUpdate("check", (2,))])) == [("a", 102)]
    assert sent(decision_module.step(NOW + MS, [call("b", destination=2)])) == [("b", 102)]
    decision_module.step(NOW + 2 * MS, [interface.PoolUpdate("check", ())])
    assert sent(decision_module.step(NOW + 2 * MS, [call("c", destination=2)])) == []
