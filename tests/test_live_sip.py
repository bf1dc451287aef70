"""SIP callers and desk exchanges with the binary protocol, against a whole controller on loopback sockets."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any

import pytest

from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary import pool as binary_pool
from arrowrail.wire.bus import client as bus_client
from arrowrail.wire.sip import caller as sip_caller
from arrowrail.wire.sip import frontend as sip_frontend
from arrowrail.wire.sip import messages as sip
from tests.live import (
    SDP,
    Caller,
    ListeningSocket,
    Peer,
    RunningController,
    StandInBus,
    list_entry,
    list_event,
    receive_release,
    receive_set_up,
    running_controller,
    send_binary,
    settings,
    wait_until,
)  # fmt: skip

CALL_A, CALL_B, CALL_C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
ANSWER = b"desk\r\nc=IN IP4 10.9.9.9\r\n"


def test_a_call_is_set_up_answered_and_released_by_the_desk_exchange() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        sent = receive_set_up(peer, CALL_A)
        assert (sent.class_name, sent.number, sent.session_description) == ("check", "00000000000000ab", SDP)
        assert 0 < sent.timeout_ms <= 8000
        send_binary(peer, binary.PROGRESS, CALL_A)
        send_binary(peer, binary.ANSWER, CALL_A, session_description=ANSWER)
        answer = caller.receive_response(CALL_A)
        assert (answer.status, answer.body) == (200, ANSWER)
        caller.send("ACK", CALL_A)
        send_binary(peer, binary.RELEASE, CALL_A, cause=16)
        assert caller.receive_bye(CALL_A).headers["reason"] == "Q.850;cause=16"
        assert peer.receive(lambda m: m.message_type == binary.RELEASE_ACK).call_id == int(CALL_A, 16)
        send_binary(peer, binary.RELEASE, CALL_A, cause=16)  # repeated, as after a reconnect
        caller.send("OPTIONS", CALL_B)
        first = caller.receive()
        assert (first.call_id, first.status) == (CALL_B, 200)  # no second release was sent before it


@pytest.mark.parametrize(
    ("cause", "reason", "wait_ms", "status"),
    [
        (34, "processor_full", 1500, 503),
        (34, "tandem_refused", 0, 503),
        (17, "user_busy", 0, 503),
        (47, "", 0, 503),
        (102, "group_full", 0, 503),
    ],
)
def test_a_refusal_is_answered_at_once_with_a_retry_time(
    cause: int, reason: str, wait_ms: int, status: int
) -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        for _ in range(4 if cause == 47 else 1):  # a server error allows further attempts on the same route
            receive_set_up(peer, CALL_A)
            send_binary(peer, binary.RELEASE, CALL_A, cause=cause, reason=reason, retry_after_ms=wait_ms)
        answer = caller.receive_response(CALL_A)
        assert answer.status == status and int(answer.headers["x-later-ms"]) > 0


@contextmanager
def tandems(third: ListeningSocket) -> Iterator[tuple[RunningController, Peer[binary.BinaryMessage], Caller]]:
    """The direct trunk group to exchange 1 is full; calls to it go over tandem 2 or 3."""
    servers = [ListeningSocket(), ListeningSocket()]
    addresses = [*(p.address for p in servers), third.address]
    with running_controller(*(list_entry(f"d{n}", a, n) for n, a in enumerate(addresses, 1))) as run:
        servers[0].accept_binary(free=0)
        second = servers[1].accept_binary()
        run.wait_until(
            lambda: len([g for g in run.core.decision_module.trunk_groups.values() if g.size > 0]) >= 2
        )
        yield run, second, Caller(run.port)


def test_after_a_reset_the_next_attempt_waits_for_the_release_time() -> None:
    server = ListeningSocket()
    with tandems(server) as (run, second, caller):
        peers = {2: second, 3: server.accept_binary()}
        run.wait_until(lambda: run.core.decision_module.trunk_groups[3].size > 0)
        caller.invite(CALL_A)
        run.wait_until(
            lambda: run.core.find(CALL_A) is not None and run.core.find(CALL_A).current_attempt is not None  # type: ignore[union-attr]
        )
        request = run.core.find(CALL_A)
        assert request is not None and request.current_attempt is not None
        first = request.current_attempt.endpoint.endpoint_id
        receive_set_up(peers[first], CALL_A)
        began = time.monotonic()
        send_binary(peers[first], binary.RELEASE, CALL_A, cause=41)
        receive_set_up(peers[5 - first], CALL_A)
        assert time.monotonic() - began >= 0.3 and request.attempts == 2


def test_no_answer_by_the_deadline_ends_in_one_failure_and_a_late_answer_is_released() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A, patience_ms=150)
        receive_set_up(peer, CALL_A)
        assert caller.receive_response(CALL_A).status == 500
        assert receive_release(peer, CALL_A).cause == 16
        send_binary(peer, binary.ANSWER, CALL_A, session_description=ANSWER)
        assert receive_release(peer, CALL_A).cause == 16
        caller.send("OPTIONS", CALL_B)
        assert caller.receive().call_id == CALL_B


def test_a_cancel_ends_the_set_up_and_a_crossing_answer_is_released() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        caller.send("CANCEL", CALL_A)
        assert caller.receive_response(CALL_A, "CANCEL").status == 200
        assert caller.receive_response(CALL_A).status == 487
        assert receive_release(peer, CALL_A).cause == 16
        # This answer was sent before the release arrived.
        send_binary(peer, binary.ANSWER, CALL_A, session_description=ANSWER)
        assert receive_release(peer, CALL_A).cause == 16
        caller.invite(CALL_B)
        receive_set_up(peer, CALL_B)
        send_binary(peer, binary.ANSWER, CALL_B, session_description=ANSWER)
        assert caller.receive_response(CALL_B).status == 200
        caller.send("CANCEL", CALL_B)  # sent before the 200 arrived
        assert receive_release(peer, CALL_B).cause == 16
        run.wait_until(lambda: not len(run.core.requests))


def test_a_release_before_the_answer_cancels_the_set_up() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        caller.send("BYE", CALL_A)
        assert (
            caller.receive_response(CALL_A, "BYE").status == 200
            and caller.receive_response(CALL_A).status == 487
        )
        assert receive_release(peer, CALL_A).cause == 16


def test_a_caller_that_closes_abandons_its_pending_calls() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        caller.sock.close()
        assert receive_release(peer, CALL_A).cause == 16
        run.wait_until(lambda: not run.core.unanswered)


def test_an_established_call_is_released_on_any_connection() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, first, other = server.accept_binary(), Caller(run.port), Caller(run.port)
        for call in (CALL_A, CALL_B, CALL_C):
            first.invite(call)
            receive_set_up(peer, call)
            send_binary(peer, binary.ANSWER, call, session_description=ANSWER)
            assert first.receive_response(call).status == 200
        other.send("BYE", CALL_A)
        assert (
            other.receive_response(CALL_A, "BYE").status == 200 and receive_release(peer, CALL_A).cause == 16
        )
        other.send("BYE", CALL_A)
        assert other.receive_response(CALL_A, "BYE").status == 200  # a duplicate
        other.send("BYE", "00000000000000ff")
        assert other.receive_response("00000000000000ff", "BYE").status == 481
        first.sock.close()
        run.wait_until(lambda: len(run.controller.frontend.callers) == 1)
        send_binary(peer, binary.RELEASE, CALL_B, cause=41)
        assert other.receive_bye(CALL_B).headers["reason"] == "Q.850;cause=41"
        other.sock.close()
        run.wait_until(lambda: not len(run.controller.frontend.callers))
        send_binary(peer, binary.RELEASE, CALL_C, cause=16)
        run.wait_until(lambda: run.controller.frontend.releases.pending)
        third = Caller(run.port)
        assert third.receive_bye(CALL_C).call_id == CALL_C  # on the next connection
        third.sock.close()  # without an acknowledgement: the release may have crossed the close
        assert Caller(run.port).receive_bye(CALL_C).call_id == CALL_C


def test_an_established_call_survives_its_connection_and_is_released_on_the_next() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        send_binary(peer, binary.ANSWER, CALL_A, session_description=ANSWER)
        caller.receive_response(CALL_A)
        caller.invite(CALL_B)
        receive_set_up(peer, CALL_B)
        peer.reset()
        peer = server.accept_binary()
        assert run.core.find(CALL_A) is not None  # established calls are not bound to a connection
        assert receive_release(peer, CALL_B).cause == 16  # the server may have accepted it
        receive_set_up(peer, CALL_B)  # after the release time, on the only route
        send_binary(peer, binary.ANSWER, CALL_B, session_description=ANSWER)
        assert caller.receive_response(CALL_B).status == 200
        send_binary(peer, binary.RELEASE, CALL_A, cause=16)
        assert caller.receive_bye(CALL_A).call_id == CALL_A


def test_a_release_that_crosses_the_close_of_its_connection_waits_for_the_next_one() -> None:
    """Guards against a release being dropped 2 s after it was written to a connection that was closed."""
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        send_binary(peer, binary.ANSWER, CALL_A, session_description=ANSWER)
        caller.receive_response(CALL_A)
        releases = run.controller.frontend.releases
        send_binary(peer, binary.RELEASE, CALL_A, cause=16)
        run.wait_until(lambda: any(release.connection_id for release in releases.pending.values()))
        caller.sock.close()
        time.sleep(3.0)
        assert Caller(run.port).receive_bye(CALL_A).call_id == CALL_A


def test_a_release_for_an_unreachable_exchange_is_sent_on_its_next_connection() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        send_binary(peer, binary.ANSWER, CALL_A)
        caller.receive_response(CALL_A)
        server.sock.close()
        peer.reset()
        backend: Any = run.core.backends["binary"]
        run.wait_until(lambda: backend.pools[1].connections[0].stream is None)
        caller.send("BYE", CALL_A)
        assert caller.receive_response(CALL_A, "BYE").status == 200
        again = socket.create_server(("127.0.0.1", server.port))
        again.settimeout(20)
        peer = Peer(again.accept()[0], binary.BinaryParser().feed)
        assert receive_release(peer, CALL_A).cause == 16


def test_a_release_lost_with_its_connection_is_sent_again() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        for call in (CALL_A, CALL_B):
            caller.invite(call)
            receive_set_up(peer, call)
            send_binary(peer, binary.ANSWER, call)
            assert caller.receive_response(call).status == 200
            caller.send("BYE", call)
            assert caller.receive_response(call, "BYE").status == 200
            if call == CALL_A:
                receive_release(peer, CALL_A)
                send_binary(peer, binary.RELEASE_ACK, CALL_A)
        connection = run.core.backends["binary"].pools[1].connections[0]  # type: ignore[attr-defined]
        run.wait_until(lambda: set(connection.unacknowledged_releases) == {CALL_B})
        peer.reset()
        assert receive_release(server.accept_binary(), CALL_B).call_id == int(CALL_B, 16)
        assert run.run_in_loop(lambda: CALL_A not in connection.unacknowledged_releases)


def test_after_a_refused_connection_the_next_attempt_follows_at_once() -> None:
    """A refused connection proves that the set-up was not received, so no release time applies."""
    server = ListeningSocket()
    server.sock.close()
    with tandems(server) as (run, second, caller):
        for n in range(1, 40):  # equal tandems are drawn at random: at some point the refusing one is first
            caller.invite(f"{n:016x}")
            receive_set_up(second, f"{n:016x}")
            request = run.core.find(f"{n:016x}")
            assert request is not None
            if request.attempts == 2:
                break
        assert request is not None
        assert (request.attempts, request.next_attempt_ns, request.last_outcome[0]) == (2, 0, "no_connection")


def test_set_ups_queued_for_a_stalled_peer_are_discarded_at_a_drain() -> None:
    server, bus = ListeningSocket(receive_buffer=2048), StandInBus()
    with running_controller(list_entry("d1", server.address, 1), bus=bus.listener.address) as run:
        assert bus.accept() == 1
        peer, caller = server.accept_binary(free=1000), Caller(run.port)
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        backend: Any = run.core.backends["binary"]
        calls, queued = [f"{n:016x}" for n in range(1, 40)], []
        for call in calls:  # the peer does not read: at some point a set-up stays unsent
            before = len(run.core.request_handles) + len(run.core.ended_calls)
            caller.invite(call, body=b"x" * 15000)
            run.wait_until(
                lambda before=before: (  # type: ignore[misc]
                    len(run.core.request_handles) + len(run.core.ended_calls) > before
                )
            )
            queued = run.run_in_loop(
                lambda: [c for c in calls if backend.pools[1].connections[0].stream.is_unsent(c)]
            )
            if len(queued) >= 2:
                break
        assert len(queued) >= 2
        bus.send_event(list_event(2, list_entry("d1", server.address, 1, "terminating")))
        for call in queued:
            assert caller.receive_response(call).status == 503
        started = [c for c in calls if run.core.find(c) is not None]
        for call in started:  # partly written set-ups are completed, and no other follows
            receive_set_up(peer, call)
            send_binary(peer, binary.ANSWER, call)
        send_binary(peer, binary.PROBE, CALL_C)
        following = peer.receive()
        assert following.message_type == binary.PROBE_RESULT and following.call_id == int(CALL_C, 16)


def test_a_cancelled_set_up_that_is_queued_is_not_sent() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        caller = Caller(run.port)
        run.wait_until(lambda: len(run.core.decision_module.in_service) == 1)
        backend: Any = run.core.backends["binary"]
        connection = backend.pools[1].connections[0]
        run.wait_until(lambda: connection.stream is not None and not connection.stream.connecting)
        connection.stream.connecting = True  # as if the connection were still coming up
        caller.invite(CALL_A)
        run.wait_until(lambda: run.core.find(CALL_A) is not None and connection.stream.is_unsent(CALL_A))
        caller.send("CANCEL", CALL_A)
        assert caller.receive_response(CALL_A).status == 487
        assert not connection.stream.is_unsent(CALL_A)
        connection.stream.connecting = False
        peer = server.accept_binary()
        caller.invite(CALL_B)
        assert peer.receive().call_id == int(CALL_B, 16)  # no byte of CALL_A was written before it


def test_a_terminated_endpoint_cuts_its_calls_and_its_address_may_be_reused() -> None:
    server, bus = ListeningSocket(), StandInBus()
    with running_controller(list_entry("d1", server.address, 1), bus=bus.listener.address) as run:
        bus.accept()
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        send_binary(peer, binary.ANSWER, CALL_A)
        caller.receive_response(CALL_A)
        fresh = list_entry("d2", server.address, 1, boot_ms=int(time.time() * 1000) - 60_000)
        bus.send_event(list_event(2, list_entry("d1", server.address, 1, "terminated"), fresh))
        assert caller.receive_bye(CALL_A).headers["reason"] == "Q.850;cause=41"
        # The successor may have accepted the set-up before the list reported it.
        assert receive_release(peer, CALL_A).cause == 41
        successor = server.accept_binary()
        assert peer.wait_for_close()
        caller.invite(CALL_B)
        receive_set_up(successor, CALL_B)


def test_a_draining_connection_stays_open_until_its_calls_are_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(binary_pool, "RESTART_GRACE_NS", 0)  # no calls of a previous process
    server, bus = ListeningSocket(), StandInBus()
    with running_controller(list_entry("d1", server.address, 1), bus=bus.listener.address) as run:
        bus.accept()
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        send_binary(peer, binary.ANSWER, CALL_A)
        assert caller.receive_response(CALL_A).status == 200
        bus.send_event(list_event(2, list_entry("d1", server.address, 1, "terminating")))
        run.wait_until(lambda: run.core.registry.endpoints[1].entry.state == "terminating")
        caller.invite(CALL_B)
        assert caller.receive_response(CALL_B).status == 503  # no new set-ups while it drains
        send_binary(peer, binary.RELEASE, CALL_A, cause=16)
        assert caller.receive_bye(CALL_A).call_id == CALL_A
        peer.receive(lambda m: m.message_type == binary.RELEASE_ACK)
        assert peer.wait_for_close()
        peer.sock.close()
        bus.send_event(list_event(3, list_entry("d1", server.address, 1)))
        caller.invite(CALL_C)
        receive_set_up(server.accept_binary(), CALL_C)  # back in service, it gets set-ups again


def test_after_a_restart_a_draining_server_can_release_calls_of_the_previous_process() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1, "terminating")) as run:
        caller, peer = Caller(run.port), server.accept_binary()
        send_binary(peer, binary.RELEASE, CALL_A, cause=16)
        assert caller.receive_bye(CALL_A).call_id == CALL_A
        caller.invite(CALL_B)
        assert caller.receive_response(CALL_B).status == 503  # and it gets no new set-ups


def test_the_bus_is_read_again_after_a_cut_or_a_gap() -> None:
    server, bus = ListeningSocket(), StandInBus()
    with running_controller(list_entry("d1", server.address, 1), bus=bus.listener.address) as run:
        assert bus.accept() == 1
        bus.send_event(list_event(2, list_entry("d1", server.address, 1, "terminating")))
        run.wait_until(lambda: run.core.registry.endpoints[1].entry.state == "terminating")
        bus.close()
        assert bus.accept() == 2
        bus.send_event(list_event(2, list_entry("d1", server.address, 1)))  # a duplicate
        # The offset leaves a gap: the bus is read again, once.
        bus.send_event(list_event(5, list_entry("d9", "127.0.0.1:1", 9)))
        assert bus.accept() == 2
        bus.send_event(list_event(5, list_entry("d1", server.address, 1)))
        run.wait_until(lambda: run.core.registry.endpoints[1].entry.state == "in_service")
        assert list(run.core.registry.endpoints) == [1]


def test_a_silent_bus_is_read_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bus_client, "SILENCE_TIMEOUT_NS", 100_000_000)
    bus = StandInBus()
    with running_controller(bus=bus.listener.address):
        assert bus.accept() == 1
        assert bus.accept() == 1


def test_set_ups_for_an_unreachable_host_fail_after_the_connect_timeout() -> None:
    unreachable, fillers = socket.create_server(("127.0.0.1", 0), backlog=0), list[socket.socket]()
    address = unreachable.getsockname()
    for _ in range(4):  # a full backlog does not answer, like a host that is down
        fillers.append(socket.socket())
        fillers[-1].setblocking(False)
        fillers[-1].connect_ex(address)
    with running_controller(list_entry("d1", f"127.0.0.1:{address[1]}", 1)) as run:
        caller = Caller(run.port)
        caller.invite(CALL_A, patience_ms=5000)
        run.wait_until(lambda: run.core.find(CALL_A) is not None)
        request = run.core.find(CALL_A)
        assert caller.receive_response(CALL_A).status == 503
        assert request is not None and request.last_outcome[0] == "no_connection"


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"INVITE sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", 400),
        (b"INVITE sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nSubject: check\r\n\r\n", 400),
        (b"INVITE sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nContent-Length: 99999\r\n\r\n", 413),
        (b"INVITE sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nX: " + b"y" * 17000, 413),
        (b"FROB sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 FROB\r\nContent-Length: 0\r\n\r\n", 405),
        (b"INVITE sip:1@net SIP/2.0\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", 0),
        (b"\x00\x01garbage\r\n\r\n", 0),
    ],
)
def test_a_malformed_message_is_answered_or_closes_only_its_connection(raw: bytes, status: int) -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, good, bad = server.accept_binary(), Caller(run.port), Caller(run.port)
        bad.sock.sendall(raw.replace(b"%s", CALL_A.encode()))
        if status:
            answer = bad.receive()
            assert (answer.status, answer.call_id) == (status, CALL_A)
        else:
            assert bad.wait_for_close()
        good.invite(CALL_B)
        receive_set_up(peer, CALL_B)


@pytest.mark.parametrize(
    "changed",
    [
        ("Subject: check", "Subject: nonsense"),
        ("X-Patience: 8000", "X-Patience: 8_000"),
        ("X-Patience: 8000", "X-Patience: 99999999999"),
        ("dest:1", "dest:-1"),
        ("width:1", "width:0"),
        ("via:-1", "via:nan"),
        ("@net", "0x@net"),
        (CALL_A, CALL_A[:-1]),
    ],
)
def test_an_invalid_set_up_is_rejected_and_not_forwarded(changed: tuple[str, str]) -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, caller = server.accept_binary(), Caller(run.port)
        caller.invite(CALL_A, replacement=changed)
        assert caller.receive().status == 400
        caller.invite(CALL_B, body=b"")
        assert caller.receive_response(CALL_B).status == 400
        caller.invite(CALL_C)
        assert peer.receive().call_id == int(CALL_C, 16)


def test_a_call_id_in_use_with_another_description_gets_one_response() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, first, other = server.accept_binary(), Caller(run.port), Caller(run.port)
        for call in (CALL_A, CALL_B):
            first.invite(call)
            receive_set_up(peer, call)
        other.invite(CALL_A, body=b"another")  # on another connection: the pending call is unaffected
        assert other.receive_response(CALL_A).status == 400
        first.invite(CALL_A)  # an unchanged retransmission: one response for both
        first.invite(CALL_B, body=b"another")  # from its own caller: ambiguous, so the call ends
        assert first.receive_response(CALL_B).status == 400 and receive_release(peer, CALL_B).cause == 16
        send_binary(peer, binary.ANSWER, CALL_A, session_description=ANSWER)
        send_binary(peer, binary.ANSWER, CALL_B, session_description=ANSWER)
        assert first.receive_response(CALL_A).body == ANSWER
        other.invite(CALL_B)  # CALL_B has ended
        assert other.receive_response(CALL_B).status == 503
        first.send("OPTIONS", CALL_C)
        assert first.receive().call_id == CALL_C  # no second response was sent before it
        first.invite(CALL_C)
        receive_set_up(peer, CALL_C)
        first.sock.sendall(
            b"INVITE sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n\r\n" % CALL_C.encode()
        )
        assert (
            first.receive_response(CALL_C).status == 400
            and first.wait_for_close()
            and receive_release(peer, CALL_C).cause == 16
        )


def test_silent_and_stalled_callers_are_closed_and_idle_ones_are_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sip_caller, "MESSAGE_TIMEOUT_NS", 600_000_000)
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, quiet, half = server.accept_binary(), Caller(run.port), Caller(run.port)
        quiet.send("OPTIONS", CALL_B)
        assert quiet.receive().status == 200
        half.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        half.sock.sendall(b"INVITE sip:1@net SIP/2.0\r\nCall-ID")
        silent = Caller(run.port)
        assert (
            half.receive_response(CALL_A).status == 503 and half.wait_for_close() and silent.wait_for_close()
        )
        assert receive_release(peer, CALL_A).cause == 16
        quiet.invite(CALL_C)
        receive_set_up(peer, CALL_C)


def test_a_final_response_reaches_a_caller_that_goes_on_sending() -> None:
    with running_controller() as run:
        caller = Caller(run.port)
        body = bytes(8_000_000)
        head = (
            b"INVITE sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nContent-Length: 60000000\r\n\r\n"
        )
        caller.sock.sendall(head % CALL_A.encode() + body)
        assert caller.receive_response(CALL_A).status == 413
        caller.sock.sendall(body)
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.sock.recv(100) == b""  # an orderly close, no reset
        run.wait_until(lambda: not run.controller.loop.closing_streams)


def test_an_unreadable_message_from_a_server_closes_only_its_connection() -> None:
    servers = [ListeningSocket(), ListeningSocket()]
    with running_controller(
        list_entry("d1", servers[0].address, 1), list_entry("d2", servers[1].address, 2)
    ) as run:
        bad, good, caller = servers[0].accept_binary(), servers[1].accept_binary(), Caller(run.port)
        bad.sock.sendall(b"\x00\x01x")
        assert bad.wait_for_close()
        servers[0].accept_binary()  # it is opened again
        caller.invite(CALL_A, exchange=2)
        receive_set_up(good, CALL_A)


@pytest.mark.parametrize(
    "invalid",
    [
        b"\x0f\xff\x09" + bytes(8) + b"\x00",  # a length that is never reached
        b"\xff\xff\x09" + bytes(8),
        b"\x00\x09\x63" + bytes(8),  # an unknown message type
        b"\x00\x09\x09" + bytes.fromhex(CALL_A),  # an answer without a session description
    ],
)
def test_an_unreadable_answer_affects_only_its_connection_and_its_call(invalid: bytes) -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1), connections_per_exchange=2) as run:
        peers, caller = [server.accept_binary(), server.accept_binary()], Caller(run.port)
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        caller.invite(CALL_A)
        caller.invite(CALL_B)
        found = {
            m.call_id: peer
            for peer in peers
            for m in [peer.receive(lambda m: m.message_type == binary.SET_UP)]
        }
        one, other = found[int(CALL_A, 16)], found[int(CALL_B, 16)]
        one.sock.sendall(invalid)
        send_binary(one, binary.ANSWER, CALL_A)  # consumed as part of the invalid message, or discarded
        assert receive_release(other, CALL_A).cause == 16  # the server may have accepted the set-up
        assert one.wait_for_close()
        send_binary(other, binary.ANSWER, "00000000000000ee")  # for an unknown call, before a valid one
        send_binary(other, binary.ANSWER, CALL_B, session_description=ANSWER)
        send_binary(other, binary.ANSWER, CALL_B, session_description=b"a second copy")
        assert caller.receive_response(CALL_B).body == ANSWER
        fresh = server.accept_binary()
        # This is no failure of the processor: the same route is used again, after the release time.
        receive_set_up(fresh, CALL_A)
        send_binary(fresh, binary.ANSWER, CALL_A, session_description=ANSWER)
        assert caller.receive_response(CALL_A).body == ANSWER
        assert run.core.decision_module.endpoints[1].failures.total == 0.0


def test_a_flood_of_connections_evicts_idle_ones_and_keeps_busy_ones() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1), sockets=80 + 8) as run:
        peer, busy = server.accept_binary(), Caller(run.port)
        busy.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        quiet = Caller(run.port)
        quiet.send("OPTIONS", CALL_C)
        assert quiet.receive().status == 200
        idle = [Caller(run.port) for _ in range(20)]
        assert idle[0].wait_for_close()
        quiet.send("OPTIONS", CALL_A)  # connections without a request are evicted before it
        assert quiet.receive().status == 200
        last = Caller(run.port)
        last.send("OPTIONS", CALL_B)
        assert last.receive().status == 200
        send_binary(peer, binary.ANSWER, CALL_A)
        assert busy.receive_response(CALL_A).status == 200
        assert len(run.controller.frontend.callers) <= 8


def test_at_the_limit_new_connections_and_those_with_unread_input_are_not_evicted() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1), sockets=80 + 8) as run:
        peer, frontend = server.accept_binary(), run.controller.frontend
        holders = [Caller(run.port) for _ in range(8)]
        for holder in holders:  # each sent one request long ago and keeps its connection
            holder.send("OPTIONS", CALL_B)
            assert holder.receive().status == 200

        def age() -> None:
            for caller in frontend.callers:
                caller.idle_since -= 2 * sip_frontend.EVICTABLE_IDLE_NS

        run.run_in_loop(age)
        fresh = [Caller(run.port) for _ in range(6)]  # no request yet
        run.wait_until(lambda: sum(c.has_sent_request for c in frontend.callers) == 2)
        for n, caller in enumerate(fresh):
            caller.invite(f"{n:016x}")
            receive_set_up(peer, f"{n:016x}")
        assert holders[0].wait_for_close()

        def close_one() -> tuple[bool, bool]:
            """Between two loop iterations: a set-up on the last connection but one has arrived unread."""
            holders[-2].invite(CALL_A)
            kept = next(c for c in frontend.callers if not c.pending_calls)
            wait_until(lambda: kept.stream.has_unread_input)
            return frontend._evict_idle(), kept.stream.open

        assert run.run_in_loop(close_one) == (True, True)
        receive_set_up(peer, CALL_A)
        assert holders[-1].wait_for_close()


def test_a_release_goes_to_an_active_caller_and_not_to_an_idle_connection() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, holder = server.accept_binary(), Caller(run.port)
        holder.send("OPTIONS", CALL_B)
        assert holder.receive().status == 200
        silent = Caller(run.port)
        send_binary(peer, binary.RELEASE, CALL_A, cause=16)  # of a call that was established before a restart
        assert holder.receive_bye(CALL_A).call_id == CALL_A  # the best connection there is, after a delay
        caller = Caller(run.port)
        caller.invite(CALL_C)
        receive_set_up(peer, CALL_C)
        send_binary(peer, binary.ANSWER, CALL_C)
        # The release is sent again on a connection on which a call was answered.
        assert caller.receive_bye(CALL_A).call_id == CALL_A
        latest = Caller(run.port)
        send_binary(peer, binary.RELEASE, CALL_B, cause=16)
        assert caller.receive_bye(CALL_B).call_id == CALL_B  # without delay
        for other in (silent, latest):
            other.send("OPTIONS", CALL_C)
            assert other.receive().status == 200  # no release was sent before it


def test_running_out_of_descriptors_affects_no_call() -> None:
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, busy = server.accept_binary(), Caller(run.port)
        busy.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        fresh, fillers = socket.socket(), list[int]()
        low, high = resource.getrlimit(resource.RLIMIT_NOFILE)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))), high))
            with suppress(OSError):
                while True:
                    fillers.append(os.dup(0))
            fresh.connect(("127.0.0.1", run.port))  # waits in the backlog
            run.wait_until(lambda: run.controller.frontend.listener._paused)  # type: ignore[union-attr]
            send_binary(peer, binary.ANSWER, CALL_A)
            assert busy.receive_response(CALL_A).status == 200
        finally:
            for filler in fillers:
                os.close(filler)
            resource.setrlimit(resource.RLIMIT_NOFILE, (low, high))
        fresh.settimeout(20)
        fresh.sendall(
            b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
        )
        assert fresh.recv(100).startswith(b"SIP/2.0 200")


class ControllerProcess:
    """The controller as a separate process, started with a configuration file."""

    def __init__(self, folder: Path, server: ListeningSocket, bus: str = "127.0.0.1:9") -> None:
        port = ListeningSocket()
        self.port, self.path = port.port, folder / "config.json"
        known = {"offset": 1, "batch": [list_event(1, list_entry("d1", server.address, 1), snapshot=True)]}
        self.config: dict[str, Any] = {
            "name": "n0",
            "seed": "ff",
            "bus": bus,
            "known": known,
            "settings": settings(),
        }
        self.config["limits"] = {"sockets": 64}  # one connection to each desk exchange
        self.path.write_text(json.dumps(self.config))
        self.environment = os.environ | {"PROXY_CONFIG": str(self.path), "PROXY_LISTEN": port.address}
        port.sock.close()
        self.start()

    def start(self) -> None:
        self.process = subprocess.Popen([sys.executable, "-B", "-m", "arrowrail"], env=self.environment)

    def caller(self) -> Caller:
        found: list[Caller] = []

        def comes_up() -> bool:
            try:
                found.append(Caller(self.port))
            except ConnectionRefusedError:
                return False
            return True

        wait_until(comes_up)
        return found[0]

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()


def test_sigterm_finishes_pending_requests_and_a_restart_keeps_no_state(tmp_path: Path) -> None:
    server = ListeningSocket()
    spawned = ControllerProcess(tmp_path, server)
    try:
        first, peer = spawned.caller(), server.accept_binary()
        first.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        spawned.process.send_signal(signal.SIGTERM)
        second = spawned.caller()  # new connections and requests are still accepted
        second.invite(CALL_B)
        receive_set_up(peer, CALL_B)
        send_binary(peer, binary.ANSWER, CALL_A)
        send_binary(peer, binary.ANSWER, CALL_B)
        assert first.receive_response(CALL_A).status == second.receive_response(CALL_B).status == 200
        assert spawned.process.wait(20) == 0
        server.close_unaccepted()
        spawned.start()
        again, peer = spawned.caller(), server.accept_binary()
        again.send("BYE", CALL_A)
        assert again.receive_response(CALL_A, "BYE").status == 481
        # The call was established before the restart.
        send_binary(peer, binary.RELEASE, CALL_B, cause=16)
        assert again.receive_bye(CALL_B).call_id == CALL_B
    finally:
        spawned.kill()


def test_sighup_changes_the_bus_address_keeps_the_offset_and_affects_no_call(tmp_path: Path) -> None:
    server, old, new = ListeningSocket(), StandInBus(), StandInBus()
    spawned = ControllerProcess(tmp_path, server, old.listener.address)
    try:
        assert old.accept() == 1
        caller, peer = spawned.caller(), server.accept_binary()
        caller.invite(CALL_A)
        receive_set_up(peer, CALL_A)
        old.send_event(list_event(2, list_entry("d1", server.address, 1, "terminating")))
        old.send_event(list_event(3, list_entry("d1", server.address, 1)))
        spawned.path.write_text('{"bus": 7')  # invalid: it is logged, and nothing changes
        spawned.process.send_signal(signal.SIGHUP)
        caller.invite(CALL_B)
        receive_set_up(peer, CALL_B)
        spawned.path.write_text(json.dumps(spawned.config | {"bus": new.listener.address}))
        spawned.process.send_signal(signal.SIGHUP)
        assert new.accept() == 3
        for call in (CALL_A, CALL_B):
            send_binary(peer, binary.ANSWER, call, session_description=ANSWER)
            assert caller.receive_response(call).status == 200
        assert spawned.process.poll() is None
    finally:
        spawned.kill()


def test_a_release_that_a_stranger_has_confirmed_goes_to_a_caller_as_well() -> None:
    """It was written to the first connection there was and to no other of that trust (review/8)."""
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        peer, stranger = server.accept_binary(), Caller(run.port)
        stranger.send("OPTIONS", CALL_B)
        assert stranger.receive().status == 200
        send_binary(peer, binary.RELEASE, CALL_A, cause=16)  # of a call from before a restart
        bye = stranger.receive_bye(CALL_A)
        stranger.sock.sendall(sip.response(200, bye))
        caller = Caller(run.port)
        caller.send("OPTIONS", CALL_C)  # a caller whose calls are not answered yet
        assert caller.receive_bye(CALL_A).call_id == CALL_A
        run.wait_until(lambda: len(run.controller.frontend.callers) == 2)
        caller.sock.settimeout(0.6)
        with pytest.raises(TimeoutError):  # once to each connection
            caller.receive_bye(CALL_A)
