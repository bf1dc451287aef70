"""The rules on real sockets: SIP callers before the program, binary desk exchanges behind it."""

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
from arrowrail.wire.sip import frontend as sip_frontend
from tests.live import (
    SDP,
    BusStand,
    Caller,
    Listening,
    Peer,
    Running,
    news,
    release,
    running,
    set_up,
    settings,
    target,
    tell,
    wait_until,
)  # fmt: skip

A, B, C = "00000000000000a1", "00000000000000b2", "00000000000000c3"
ANSWER = b"desk\r\nc=IN IP4 10.9.9.9\r\n"


def test_a_call_is_set_up_answered_and_released_by_the_desk_exchange() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        sent = set_up(peer, A)
        assert (sent.class_name, sent.number, sent.session_description) == ("check", "00000000000000ab", SDP)
        assert 0 < sent.timeout_ms <= 8000
        tell(peer, binary.PROGRESS, A)
        tell(peer, binary.ANSWER, A, session_description=ANSWER)
        answer = caller.answer(A)
        assert (answer.status, answer.body) == (200, ANSWER)
        caller.send("ACK", A)
        tell(peer, binary.RELEASE, A, cause=16)
        assert caller.bye(A).headers["reason"] == "Q.850;cause=16"
        assert peer.take(lambda m: m.message_type == binary.RELEASE_ACK).call_id == int(A, 16)
        tell(peer, binary.RELEASE, A, cause=16)  # told twice, as on a next connection
        caller.send("OPTIONS", B)
        first = caller.take()
        assert (first.call_id, first.status) == (B, 200)  # no second release came before it


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
def test_a_refusal_is_answered_at_once_with_when_to_come_back(
    cause: int, reason: str, wait_ms: int, status: int
) -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        for _ in range(4 if cause == 47 else 1):  # a fault is no reason not to try the same way again
            set_up(peer, A)
            tell(peer, binary.RELEASE, A, cause=cause, reason=reason, retry_after_ms=wait_ms)
        answer = caller.answer(A)
        assert answer.status == status and int(answer.headers["x-later-ms"]) > 0


@contextmanager
def tandems(third: Listening) -> Iterator[tuple[Running, Peer[binary.BinaryMessage], Caller]]:
    """The direct group to exchange 1 is full; calls there go over the tandems 2 or 3."""
    ports = [Listening(), Listening()]
    addresses = [*(p.address for p in ports), third.address]
    with running(*(target(f"d{n}", a, n) for n, a in enumerate(addresses, 1))) as run:
        ports[0].desk(free=0)
        second = ports[1].desk()
        run.until(lambda: len([g for g in run.core.decision_module.trunk_groups.values() if g.size > 0]) >= 2)
        yield run, second, Caller(run.port)


def test_after_a_reset_the_next_attempt_waits_for_the_release_pause() -> None:
    port = Listening()
    with tandems(port) as (run, second, caller):
        peers = {2: second, 3: port.desk()}
        run.until(lambda: run.core.decision_module.trunk_groups[3].size > 0)
        caller.invite(A)
        run.until(lambda: run.core.find(A) is not None and run.core.find(A).current_attempt is not None)  # type: ignore[union-attr]
        request = run.core.find(A)
        assert request is not None and request.current_attempt is not None
        first = request.current_attempt.endpoint.endpoint_id
        set_up(peers[first], A)
        began = time.monotonic()
        tell(peers[first], binary.RELEASE, A, cause=41)
        set_up(peers[5 - first], A)
        assert time.monotonic() - began >= 0.3 and request.attempts == 2


def test_no_answer_by_the_deadline_ends_in_one_failure_and_a_late_answer_is_released() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A, patience=150)
        set_up(peer, A)
        assert caller.answer(A).status == 500
        assert release(peer, A).cause == 16
        tell(peer, binary.ANSWER, A, session_description=ANSWER)
        assert release(peer, A).cause == 16
        caller.send("OPTIONS", B)
        assert caller.take().call_id == B


def test_a_cancel_gives_the_set_up_up_and_a_crossed_answer_is_released() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        set_up(peer, A)
        caller.send("CANCEL", A)
        assert caller.answer(A, "CANCEL").status == 200
        assert caller.answer(A).status == 487
        assert release(peer, A).cause == 16
        tell(peer, binary.ANSWER, A, session_description=ANSWER)  # it had left before the release came
        assert release(peer, A).cause == 16
        caller.invite(B)
        set_up(peer, B)
        tell(peer, binary.ANSWER, B, session_description=ANSWER)
        assert caller.answer(B).status == 200
        caller.send("CANCEL", B)  # it had left before our answer came
        assert release(peer, B).cause == 16
        run.until(lambda: not len(run.core.requests))


def test_a_release_before_the_answer_gives_the_set_up_up() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        set_up(peer, A)
        caller.send("BYE", A)
        assert caller.answer(A, "BYE").status == 200 and caller.answer(A).status == 487
        assert release(peer, A).cause == 16


def test_a_caller_that_closes_gives_its_attempts_up() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        set_up(peer, A)
        caller.sock.close()
        assert release(peer, A).cause == 16
        run.until(lambda: not run.core.unanswered)


def test_a_standing_call_is_released_on_any_connection() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, first, other = desk.desk(), Caller(run.port), Caller(run.port)
        for call in (A, B, C):
            first.invite(call)
            set_up(peer, call)
            tell(peer, binary.ANSWER, call, session_description=ANSWER)
            assert first.answer(call).status == 200
        other.send("BYE", A)
        assert other.answer(A, "BYE").status == 200 and release(peer, A).cause == 16
        other.send("BYE", A)
        assert other.answer(A, "BYE").status == 200  # a duplicate
        other.send("BYE", "00000000000000ff")
        assert other.answer("00000000000000ff", "BYE").status == 481
        first.sock.close()
        run.until(lambda: len(run.controller.frontend.callers) == 1)
        tell(peer, binary.RELEASE, B, cause=41)
        assert other.bye(B).headers["reason"] == "Q.850;cause=41"
        other.sock.close()
        run.until(lambda: not len(run.controller.frontend.callers))
        tell(peer, binary.RELEASE, C, cause=16)
        run.until(lambda: run.controller.frontend.releases.pending)
        third = Caller(run.port)
        assert third.bye(C).call_id == C  # on the next that opens
        third.sock.close()  # before it confirmed: the release may have crossed the close
        assert Caller(run.port).bye(C).call_id == C


def test_a_standing_call_outlives_its_connection_and_the_next_one_brings_its_release() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        set_up(peer, A)
        tell(peer, binary.ANSWER, A, session_description=ANSWER)
        caller.answer(A)
        caller.invite(B)
        set_up(peer, B)
        peer.reset()
        peer = desk.desk()
        assert run.core.find(A) is not None  # no connection owns it
        assert release(peer, B).cause == 16  # it may have run
        set_up(peer, B)  # after the pause, as the one way there is as good as before
        tell(peer, binary.ANSWER, B, session_description=ANSWER)
        assert caller.answer(B).status == 200
        tell(peer, binary.RELEASE, A, cause=16)
        assert caller.bye(A).call_id == A


def test_a_release_for_an_exchange_that_is_out_of_reach_follows_on_its_next_connection() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        set_up(peer, A)
        tell(peer, binary.ANSWER, A)
        caller.answer(A)
        desk.sock.close()
        peer.reset()
        back: Any = run.core.backends["binary"]
        run.until(lambda: back.pools[1].connections[0].stream is None)
        caller.send("BYE", A)
        assert caller.answer(A, "BYE").status == 200
        again = socket.create_server(("127.0.0.1", desk.port))
        again.settimeout(20)
        peer = Peer(again.accept()[0], binary.BinaryParser().feed)
        assert release(peer, A).cause == 16


def test_a_release_that_went_down_with_its_connection_is_sent_again() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        for call in (A, B):
            caller.invite(call)
            set_up(peer, call)
            tell(peer, binary.ANSWER, call)
            assert caller.answer(call).status == 200
            caller.send("BYE", call)
            assert caller.answer(call, "BYE").status == 200
            if call == A:
                release(peer, A)
                tell(peer, binary.RELEASE_ACK, A)
        connection = run.core.backends["binary"].pools[1].connections[0]  # type: ignore[attr-defined]
        run.until(lambda: set(connection.unacknowledged_releases) == {B})
        peer.reset()
        assert release(desk.desk(), B).call_id == int(B, 16)
        assert run.look(lambda: A not in connection.unacknowledged_releases)


def test_a_refused_connection_proves_that_nothing_ran_and_needs_no_pause() -> None:
    port = Listening()
    port.sock.close()
    with tandems(port) as (run, second, caller):
        for n in range(1, 40):  # equal tandems are drawn: at some point the one that refuses is tried first
            caller.invite(f"{n:016x}")
            set_up(second, f"{n:016x}")
            request = run.core.find(f"{n:016x}")
            assert request is not None
            if request.attempts == 2:
                break
        assert request is not None
        assert (request.attempts, request.next_attempt_ns, request.last_outcome[0]) == (2, 0, "no_connection")


def test_what_is_queued_behind_a_stalled_peer_is_taken_back_at_a_drain() -> None:
    desk, bus = Listening(receive_buffer=2048), BusStand()
    with running(target("d1", desk.address, 1), bus=bus.port.address) as run:
        assert bus.accept() == 1
        peer, caller = desk.desk(free=1000), Caller(run.port)
        run.until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        back: Any = run.core.backends["binary"]
        calls, queued = [f"{n:016x}" for n in range(1, 40)], []
        for call in calls:  # the peer reads nothing: at some point a set-up stays with us whole
            before = len(run.core.request_handles) + len(run.core.ended_calls)
            caller.invite(call, body=b"x" * 15000)
            run.until(
                lambda before=before: (  # type: ignore[misc]
                    len(run.core.request_handles) + len(run.core.ended_calls) > before
                )
            )
            queued = run.look(lambda: [c for c in calls if back.pools[1].connections[0].stream.is_unsent(c)])
            if len(queued) >= 2:
                break
        assert len(queued) >= 2
        bus.tell(news(2, target("d1", desk.address, 1, "terminating")))
        for call in queued:
            assert caller.answer(call).status == 503
        started = [c for c in calls if run.core.find(c) is not None]
        for call in started:  # what was begun is finished, and nothing follows it
            set_up(peer, call)
            tell(peer, binary.ANSWER, call)
        tell(peer, binary.PROBE, C)
        following = peer.take()
        assert following.message_type == binary.PROBE_RESULT and following.call_id == int(C, 16)


def test_a_cancelled_set_up_behind_a_stalled_peer_never_leaves() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        caller = Caller(run.port)
        run.until(lambda: len(run.core.decision_module.in_service) == 1)
        back: Any = run.core.backends["binary"]
        link = back.pools[1].connections[0]
        run.until(lambda: link.stream is not None and not link.stream.connecting)
        link.stream.connecting = True  # as if the connection were still coming up
        caller.invite(A)
        run.until(lambda: run.core.find(A) is not None and link.stream.is_unsent(A))
        caller.send("CANCEL", A)
        assert caller.answer(A).status == 487
        assert not link.stream.is_unsent(A)
        link.stream.connecting = False
        peer = desk.desk()
        caller.invite(B)
        assert peer.take().call_id == int(B, 16)  # nothing of A was written before it


def test_an_exchange_that_is_gone_cuts_what_stood_and_its_address_may_be_taken_over() -> None:
    desk, bus = Listening(), BusStand()
    with running(target("d1", desk.address, 1), bus=bus.port.address) as run:
        bus.accept()
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        set_up(peer, A)
        tell(peer, binary.ANSWER, A)
        caller.answer(A)
        fresh = target("d2", desk.address, 1, boot_ms=int(time.time() * 1000) - 60_000)
        bus.tell(news(2, target("d1", desk.address, 1, "terminated"), fresh))
        assert caller.bye(A).headers["reason"] == "Q.850;cause=41"
        assert release(peer, A).cause == 41  # the successor may have taken it, before anybody said so
        successor = desk.desk()
        assert peer.closed()
        caller.invite(B)
        set_up(successor, B)


def test_a_drained_connection_stays_until_its_calls_are_over_and_is_closed_then(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(binary_pool, "RESTART_GRACE_NS", 0)  # no call of a process before this one
    desk, bus = Listening(), BusStand()
    with running(target("d1", desk.address, 1), bus=bus.port.address) as run:
        bus.accept()
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A)
        set_up(peer, A)
        tell(peer, binary.ANSWER, A)
        assert caller.answer(A).status == 200
        bus.tell(news(2, target("d1", desk.address, 1, "terminating")))
        run.until(lambda: run.core.registry.endpoints[1].entry.state == "terminating")
        caller.invite(B)
        assert caller.answer(B).status == 503  # nothing new goes to it
        tell(peer, binary.RELEASE, A, cause=16)
        assert caller.bye(A).call_id == A
        peer.take(lambda m: m.message_type == binary.RELEASE_ACK)
        assert peer.closed()
        peer.sock.close()
        bus.tell(news(3, target("d1", desk.address, 1)))
        caller.invite(C)
        set_up(desk.desk(), C)  # back in service, it is reached again


def test_after_a_restart_a_draining_server_can_still_tell_of_calls_of_before() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1, "terminating")) as run:
        caller, peer = Caller(run.port), desk.desk()
        tell(peer, binary.RELEASE, A, cause=16)
        assert caller.bye(A).call_id == A
        caller.invite(B)
        assert caller.answer(B).status == 503  # and nothing new goes to it


def test_the_bus_is_followed_over_cuts_and_gaps() -> None:
    desk, bus = Listening(), BusStand()
    with running(target("d1", desk.address, 1), bus=bus.port.address) as run:
        assert bus.accept() == 1
        bus.tell(news(2, target("d1", desk.address, 1, "terminating")))
        run.until(lambda: run.core.registry.endpoints[1].entry.state == "terminating")
        bus.cut()
        assert bus.accept() == 2
        bus.tell(news(2, target("d1", desk.address, 1)))  # held already
        bus.tell(news(5, target("d9", "127.0.0.1:1", 9)))  # a gap: asked for again, once
        assert bus.accept() == 2
        bus.tell(news(5, target("d1", desk.address, 1)))
        run.until(lambda: run.core.registry.endpoints[1].entry.state == "in_service")
        assert list(run.core.registry.endpoints) == [1]


def test_a_silent_bus_is_asked_again(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bus_client, "SILENCE_TIMEOUT_NS", 100_000_000)
    bus = BusStand()
    with running(bus=bus.port.address):
        assert bus.accept() == 1
        assert bus.accept() == 1


def test_a_machine_that_vanished_fails_its_set_ups_after_the_connect_timeout() -> None:
    vanished, fillers = socket.create_server(("127.0.0.1", 0), backlog=0), list[socket.socket]()
    address = vanished.getsockname()
    for _ in range(4):  # a full backlog answers no more than a machine that is gone
        fillers.append(socket.socket())
        fillers[-1].setblocking(False)
        fillers[-1].connect_ex(address)
    with running(target("d1", f"127.0.0.1:{address[1]}", 1)) as run:
        caller = Caller(run.port)
        caller.invite(A, patience=5000)
        run.until(lambda: run.core.find(A) is not None)
        request = run.core.find(A)
        assert caller.answer(A).status == 503
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
def test_what_is_malformed_is_answered_or_drops_its_connection_only(raw: bytes, status: int) -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, good, bad = desk.desk(), Caller(run.port), Caller(run.port)
        bad.sock.sendall(raw.replace(b"%s", A.encode()))
        if status:
            answer = bad.take()
            assert (answer.status, answer.call_id) == (status, A)
        else:
            assert bad.closed()
        good.invite(B)
        set_up(peer, B)


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
        (A, A[:-1]),
    ],
)
def test_a_set_up_that_makes_no_sense_is_refused_and_never_sent_on(changed: tuple[str, str]) -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, caller = desk.desk(), Caller(run.port)
        caller.invite(A, change=changed)
        assert caller.take().status == 400
        caller.invite(B, body=b"")
        assert caller.answer(B).status == 400
        caller.invite(C)
        assert peer.take().call_id == int(C, 16)


def test_an_open_id_with_another_description_ends_in_one_answer_each() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, first, other = desk.desk(), Caller(run.port), Caller(run.port)
        for call in (A, B):
            first.invite(call)
            set_up(peer, call)
        other.invite(A, body=b"another")  # from elsewhere: the open call is not touched
        assert other.answer(A).status == 400
        first.invite(A)  # sent again as it was: one answer for both
        first.invite(B, body=b"another")  # from its own caller: which is meant can't be told
        assert first.answer(B).status == 400 and release(peer, B).cause == 16
        tell(peer, binary.ANSWER, A, session_description=ANSWER)
        tell(peer, binary.ANSWER, B, session_description=ANSWER)
        assert first.answer(A).body == ANSWER
        other.invite(B)  # it is over
        assert other.answer(B).status == 503
        first.send("OPTIONS", C)
        assert first.take().call_id == C  # no second answer came before it
        first.invite(C)
        set_up(peer, C)
        first.sock.sendall(b"INVITE sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\n\r\n" % C.encode())
        assert first.answer(C).status == 400 and first.closed() and release(peer, C).cause == 16


def test_who_says_nothing_or_half_a_message_is_closed_and_who_is_only_quiet_is_not(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(sip_frontend, "MESSAGE_TIMEOUT_NS", 600_000_000)
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, quiet, half = desk.desk(), Caller(run.port), Caller(run.port)
        quiet.send("OPTIONS", B)
        assert quiet.take().status == 200
        half.invite(A)
        set_up(peer, A)
        half.sock.sendall(b"INVITE sip:1@net SIP/2.0\r\nCall-ID")
        silent = Caller(run.port)
        assert half.answer(A).status == 503 and half.closed() and silent.closed()
        assert release(peer, A).cause == 16
        quiet.invite(C)
        set_up(peer, C)


def test_the_last_word_reaches_a_caller_that_goes_on_sending() -> None:
    with running() as run:
        caller = Caller(run.port)
        body = bytes(8_000_000)
        head = (
            b"INVITE sip:1@net SIP/2.0\r\nCall-ID: %s\r\nCSeq: 1 INVITE\r\nContent-Length: 60000000\r\n\r\n"
        )
        caller.sock.sendall(head % A.encode() + body)
        assert caller.answer(A).status == 413
        caller.sock.sendall(body)
        caller.sock.shutdown(socket.SHUT_WR)
        assert caller.sock.recv(100) == b""  # an end in good order, no reset
        run.until(lambda: not run.controller.loop.closing_streams)


def test_an_unreadable_desk_message_drops_that_connection_only() -> None:
    ports = [Listening(), Listening()]
    with running(target("d1", ports[0].address, 1), target("d2", ports[1].address, 2)) as run:
        bad, good, caller = ports[0].desk(), ports[1].desk(), Caller(run.port)
        bad.sock.sendall(b"\x00\x01x")
        assert bad.closed()
        ports[0].desk()  # it comes back
        caller.invite(A, dest=2)
        set_up(good, A)


@pytest.mark.parametrize(
    "spoilt",
    [
        b"\x0f\xff\x09" + bytes(8) + b"\x00",  # a length that never comes
        b"\xff\xff\x09" + bytes(8),
        b"\x00\x09\x63" + bytes(8),  # no kind of message
        b"\x00\x09\x09" + bytes.fromhex(A),  # an answer without its description
    ],
)
def test_a_spoilt_answer_costs_its_own_connection_and_no_other_call(spoilt: bytes) -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1), per_desk=2) as run:
        peers, caller = [desk.desk(), desk.desk()], Caller(run.port)
        run.until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        caller.invite(A)
        caller.invite(B)
        found = {
            m.call_id: peer for peer in peers for m in [peer.take(lambda m: m.message_type == binary.SET_UP)]
        }
        one, other = found[int(A, 16)], found[int(B, 16)]
        one.sock.sendall(spoilt)
        tell(one, binary.ANSWER, A)  # swallowed, or not to be trusted
        assert release(other, A).cause == 16  # what may have run there is let go of
        assert one.closed()
        tell(other, binary.ANSWER, "00000000000000ee")  # nobody's, ahead of a good one
        tell(other, binary.ANSWER, B, session_description=ANSWER)
        tell(other, binary.ANSWER, B, session_description=b"a second copy")
        assert caller.answer(B).body == ANSWER
        fresh = desk.desk()
        set_up(fresh, A)  # the processor is not blamed: the same route again, after the pause
        tell(fresh, binary.ANSWER, A, session_description=ANSWER)
        assert caller.answer(A).body == ANSWER
        assert run.core.decision_module.endpoints[1].failures.total == 0.0


def test_a_flood_of_connections_closes_the_idle_and_keeps_the_busy() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1), sockets=80 + 8) as run:
        peer, busy = desk.desk(), Caller(run.port)
        busy.invite(A)
        set_up(peer, A)
        quiet = Caller(run.port)
        quiet.send("OPTIONS", C)
        assert quiet.take().status == 200
        idle = [Caller(run.port) for _ in range(20)]
        assert idle[0].closed()
        quiet.send("OPTIONS", A)  # those who never spoke go before it
        assert quiet.take().status == 200
        last = Caller(run.port)
        last.send("OPTIONS", B)
        assert last.take().status == 200
        tell(peer, binary.ANSWER, A)
        assert busy.answer(A).status == 200
        assert len(run.controller.frontend.callers) <= 8


def test_a_full_table_closes_no_caller_that_has_just_come_or_whose_input_is_unread() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1), sockets=80 + 8) as run:
        peer, front = desk.desk(), run.controller.frontend
        holders = [Caller(run.port) for _ in range(8)]
        for holder in holders:  # they asked once, long ago, and hold their connections for good
            holder.send("OPTIONS", B)
            assert holder.take().status == 200

        def age() -> None:
            for caller in front.callers:
                caller.idle_since -= 2 * sip_frontend.EVICTABLE_IDLE_NS

        run.look(age)
        fresh = [Caller(run.port) for _ in range(6)]  # nothing said yet
        run.until(lambda: sum(c.has_sent_request for c in front.callers) == 2)
        for n, caller in enumerate(fresh):
            caller.invite(f"{n:016x}")
            set_up(peer, f"{n:016x}")
        assert holders[0].closed()

        def close_one() -> tuple[bool, bool]:
            """Between two turns: a set-up of the last holder but one has come and is not read yet."""
            holders[-2].invite(A)
            stays = next(c for c in front.callers if not c.pending_calls)
            wait_until(lambda: stays.stream.has_unread_input)
            return front._evict_idle(), stays.stream.open

        assert run.look(close_one) == (True, True)
        set_up(peer, A)
        assert holders[-1].closed()


def test_a_release_goes_to_a_caller_and_not_to_who_only_holds_a_connection() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, holder = desk.desk(), Caller(run.port)
        holder.send("OPTIONS", B)
        assert holder.take().status == 200
        silent = Caller(run.port)
        tell(peer, binary.RELEASE, A, cause=16)  # of a call that stood before a restart
        assert holder.bye(A).call_id == A  # the best there is, after a while
        caller = Caller(run.port)
        caller.invite(C)
        set_up(peer, C)
        tell(peer, binary.ANSWER, C)
        assert caller.bye(A).call_id == A  # and again where a call was answered
        latest = Caller(run.port)
        tell(peer, binary.RELEASE, B, cause=16)
        assert caller.bye(B).call_id == B  # at once
        for other in (silent, latest):
            other.send("OPTIONS", C)
            assert other.take().status == 200  # no release came before it


def test_running_out_of_descriptors_stops_no_call() -> None:
    desk = Listening()
    with running(target("d1", desk.address, 1)) as run:
        peer, busy = desk.desk(), Caller(run.port)
        busy.invite(A)
        set_up(peer, A)
        fresh, fillers = socket.socket(), list[int]()
        low, high = resource.getrlimit(resource.RLIMIT_NOFILE)
        try:
            resource.setrlimit(resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))), high))
            with suppress(OSError):
                while True:
                    fillers.append(os.dup(0))
            fresh.connect(("127.0.0.1", run.port))  # waits in the backlog
            run.until(lambda: run.controller.frontend.listener._paused)  # type: ignore[union-attr]
            tell(peer, binary.ANSWER, A)
            assert busy.answer(A).status == 200
        finally:
            for filler in fillers:
                os.close(filler)
            resource.setrlimit(resource.RLIMIT_NOFILE, (low, high))
        fresh.settimeout(20)
        fresh.sendall(
            b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
        )
        assert fresh.recv(100).startswith(b"SIP/2.0 200")


class Spawned:
    """The program as a process of its own, started with a configuration file."""

    def __init__(self, folder: Path, desk: Listening, bus: str = "127.0.0.1:9") -> None:
        port = Listening()
        self.port, self.path = port.port, folder / "config.json"
        known = {"offset": 1, "batch": [news(1, target("d1", desk.address, 1), whole=True)]}
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


def test_sigterm_finishes_what_was_taken_and_a_restart_remembers_nothing(tmp_path: Path) -> None:
    desk = Listening()
    spawned = Spawned(tmp_path, desk)
    try:
        first, peer = spawned.caller(), desk.desk()
        first.invite(A)
        set_up(peer, A)
        spawned.process.send_signal(signal.SIGTERM)
        second = spawned.caller()  # new connections and requests are still taken
        second.invite(B)
        set_up(peer, B)
        tell(peer, binary.ANSWER, A)
        tell(peer, binary.ANSWER, B)
        assert first.answer(A).status == second.answer(B).status == 200
        assert spawned.process.wait(20) == 0
        desk.forget_waiting()
        spawned.start()
        again, peer = spawned.caller(), desk.desk()
        again.send("BYE", A)
        assert again.answer(A, "BYE").status == 481
        tell(peer, binary.RELEASE, B, cause=16)  # of a call that stood before the restart
        assert again.bye(B).call_id == B
    finally:
        spawned.kill()


def test_sighup_moves_to_the_new_bus_with_the_last_number_and_touches_no_call(tmp_path: Path) -> None:
    desk, old, new = Listening(), BusStand(), BusStand()
    spawned = Spawned(tmp_path, desk, old.port.address)
    try:
        assert old.accept() == 1
        caller, peer = spawned.caller(), desk.desk()
        caller.invite(A)
        set_up(peer, A)
        old.tell(news(2, target("d1", desk.address, 1, "terminating")))
        old.tell(news(3, target("d1", desk.address, 1)))
        spawned.path.write_text('{"bus": 7')  # not good: it is logged, and nothing changes
        spawned.process.send_signal(signal.SIGHUP)
        caller.invite(B)
        set_up(peer, B)
        spawned.path.write_text(json.dumps(spawned.config | {"bus": new.port.address}))
        spawned.process.send_signal(signal.SIGHUP)
        assert new.accept() == 3
        for call in (A, B):
            tell(peer, binary.ANSWER, call, session_description=ANSWER)
            assert caller.answer(call).status == 200
        assert spawned.process.poll() is None
    finally:
        spawned.kill()
