"""Clients that send too much, don't read, or keep the controller busy: memory and other callers."""

from __future__ import annotations

import socket
import sys
from typing import Any

import pytest

from arrowrail.limits.memory import REQUEST_OVERHEAD_BYTES, MemoryBudget
from arrowrail.scheduling import input_order
from arrowrail.scheduling.input_order import HALVING_NS, SLICE_NS, TURN_NS, InputOrder
from arrowrail.wire.sip import caller as sip_caller
from arrowrail.wire.sip import frontend as sip_frontend
from arrowrail.wire.sip import messages as sip
from tests.live import Caller, ListeningSocket, list_entry, receive_set_up, running_controller

CALL_A, CALL_B = "00000000000000a1", "00000000000000b2"


def test_of_a_head_of_many_fields_only_those_that_are_used_are_kept() -> None:
    """Each field used to be kept until the call's end: 137 of 192 MB for 340 clients."""
    fields = "".join(f"x{number}:\r\n" for number in range(1500)) + "v: hop\r\n" * 300
    head = f"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: {CALL_A}\r\nCSeq: 1 OPTIONS\r\n{fields}"
    (message,) = sip.SipParser().feed(f"{head}Content-Length: 0\r\n\r\n".encode())
    assert isinstance(message, sip.SipMessage)
    assert set(message.headers) == {"call-id", "cseq", "content-length"}
    assert message.vias == ["hop"] * sip.MAX_VIAS
    assert sys.getsizeof(message.headers) < 2_000 and message.held_bytes < 500
    assert len(sip.response(200, message)) < sip.MAX_MESSAGE_SIZE


def test_a_connection_holds_at_most_what_is_still_free() -> None:
    budget = MemoryBudget(20 * REQUEST_OVERHEAD_BYTES)
    greedy = 0
    while budget.may_hold("greedy", 0):
        budget.hold("greedy", 0)
        greedy += 1
    assert greedy == 10 and budget.may_hold("other", 0)
    for _ in range(greedy):
        budget.free("greedy", 0)
    assert budget.total_bytes == 0 and budget.may_hold("greedy", 0)
    assert not budget.may_hold("greedy", 11 * REQUEST_OVERHEAD_BYTES)


def test_set_ups_beyond_the_memory_budget_are_refused_and_other_callers_are_served() -> None:
    """Open set-ups keep their messages, and their number is up to the callers."""
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        desk, greedy, other = server.accept_binary(), Caller(run.port), Caller(run.port)
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        run.run_in_loop(lambda: setattr(run.core.memory_budget, "limit_bytes", 40_000))
        greedy.invite(CALL_A, body=b"x" * 12_000)
        receive_set_up(desk, CALL_A)
        greedy.invite(CALL_B, body=b"x" * 12_000)
        refusal = greedy.receive_response(CALL_B)
        assert refusal.status == 503 and int(refusal.headers["x-later-ms"]) > 0
        other.invite(f"{7:016x}")
        receive_set_up(desk, f"{7:016x}")
        greedy.send("CANCEL", CALL_A)
        assert greedy.receive_response(CALL_A).status == 487
        other.send("CANCEL", f"{7:016x}")
        assert other.receive_response(f"{7:016x}").status == 487
        run.wait_until(lambda: run.core.memory_budget.total_bytes == 0)


def test_a_caller_that_does_not_read_is_no_longer_read_and_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Its responses used to pile up to 96 KiB while ever more requests of it were handled."""
    with running_controller() as run:
        caller = Caller(run.port)
        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        caller.sock.settimeout(0.2)
        request = sip.request("OPTIONS", "sip:ping@net", "peer", CALL_A, 1, [("From", "x" * 4_000)])
        with pytest.raises(OSError):  # it blocks once the controller has stopped to read, or is reset
            for _ in range(100_000):
                caller.sock.sendall(request)
        (connection,) = run.run_in_loop(lambda: list(run.controller.frontend.callers))
        assert connection.stream.reading_paused
        assert connection.stream.queued_bytes < sip_caller.PAUSE_READING_BYTES + 4 * len(request)
        monkeypatch.setattr(sip_frontend, "PAUSED_TIMEOUT_NS", 100_000_000)
        run.wait_until(lambda: len(run.controller.frontend.callers) == 0)
        assert Caller(run.port).sock  # others are accepted


def test_a_burst_of_releases_does_not_disconnect_the_caller_that_gets_them() -> None:
    """A caller used to lose its connection when many calls of others that had left were over at once."""
    calls = [f"{number:016x}" for number in range(1, 2501)]
    with running_controller() as run:
        caller = Caller(run.port)
        caller.send("OPTIONS", CALL_A)
        assert caller.receive_response(CALL_A, "OPTIONS").status == 503  # no list yet

        caller.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)

        def release_all() -> None:
            (connection,) = run.controller.frontend.callers
            connection.stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            for call_id in calls:
                run.controller.frontend.release_unknown(call_id, 16)

        run.run_in_loop(release_all)
        (connection,) = run.run_in_loop(lambda: list(run.controller.frontend.callers))
        run.wait_until(lambda: connection.stream.queued_bytes > 0)
        for _ in range(50):  # it is read all the time, or both would wait for each other
            assert not run.run_in_loop(lambda: connection.stream.reading_paused)
        received = [caller.receive(lambda m: m.method == "BYE").call_id for _ in calls]
        assert sorted(received) == calls


def test_a_caller_with_single_requests_comes_before_one_that_sends_without_pause() -> None:
    order: InputOrder[str] = InputOrder()
    for at_ns in range(0, 5 * SLICE_NS, SLICE_NS):
        order.record(at_ns, "greedy", SLICE_NS)
    order.record(0, "single", SLICE_NS // 10)
    assert order.sort(5 * SLICE_NS, ["greedy", "single", "new"]) == ["new", "single", "greedy"]
    order.call_answered(5 * SLICE_NS, "single")
    order.call_answered(5 * SLICE_NS, "greedy")  # a known caller that uses much has no precedence
    assert order.sort(5 * SLICE_NS, ["greedy", "single", "new"]) == ["single", "new", "greedy"]
    later_ns = 10 * HALVING_NS
    assert order.sort(later_ns, ["new", "greedy"]) == ["greedy", "new"]  # its usage is forgotten


def test_the_input_of_one_iteration_has_a_limit_of_time() -> None:
    order: InputOrder[str] = InputOrder()
    assert order.slice_end_ns(0, 0) == SLICE_NS
    assert order.slice_end_ns(0, TURN_NS - 1) == TURN_NS
    assert order.slice_end_ns(0, TURN_NS) == 0
    order.record(0, "gone", 1)
    order.remove("gone")
    assert len(order) == 0


def test_a_caller_is_answered_between_the_requests_of_one_that_sends_without_pause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Up to 16 KiB of a greedy caller's requests used to be handled before the next caller's."""
    handled: list[str] = []
    handle_message = sip_frontend.SipFrontend.handle_message

    def record(frontend: Any, caller: Any, message: sip.SipMessage) -> None:
        handled.append(message.call_id)
        handle_message(frontend, caller, message)

    monkeypatch.setattr(sip_frontend.SipFrontend, "handle_message", record)
    monkeypatch.setattr(input_order, "SLICE_NS", 0)
    with running_controller() as run:
        greedy, single = Caller(run.port), Caller(run.port)
        run.wait_until(lambda: len(run.controller.frontend.callers) == 2)

        def send_all() -> None:  # while the loop stands still, so that all of it is unread
            greedy.sock.sendall(sip.request("OPTIONS", "sip:ping@net", "peer", CALL_B, 1) * 120)
            single.send("OPTIONS", CALL_A)

        run.run_in_loop(send_all)
        single.receive_response(CALL_A, "OPTIONS")
        assert handled.index(CALL_A) < 60
