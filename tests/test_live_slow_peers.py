"""Peers that take their time: an event bus that answers late, a desk exchange that repeats a refusal, a
caller whose set-up arrives slowly.
"""

from __future__ import annotations

import time
from typing import Any

import pytest

from arrowrail.wire.binary import messages as binary
from arrowrail.wire.bus import client as bus_client
from arrowrail.wire.sip import caller as sip_caller
from arrowrail.wire.sip import messages as sip
from tests.live import (
    Caller,
    ListeningSocket,
    StandInBus,
    list_entry,
    list_event,
    receive_set_up,
    running_controller,
    send_binary,
    to_json,
)

CALL_A, CALL_B = "00000000000000a1", "00000000000000b2"
MS = 1_000_000


def test_a_bus_that_takes_longer_than_the_silence_timeout_to_respond_is_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It used to be given up and asked anew for ever, so that no drain was learned (review/1)."""
    monkeypatch.setattr(bus_client, "SILENCE_TIMEOUT_NS", 300 * MS)
    server, bus = ListeningSocket(), StandInBus()
    with running_controller(list_entry("d1", server.address, 1), bus=bus.listener.address) as run:
        bus.listener.accept()  # the first reader gives up
        second = bus.listener.accept()
        time.sleep(0.45)  # longer than the timeout of the first
        event = list_event(2, list_entry("d1", server.address, 1, "terminating"))
        second.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
        second.sendall(b"id: 2\ndata: %s\n\n" % to_json(event))
        run.wait_until(lambda: run.core.registry.endpoints[1].entry.state == "terminating")


def test_a_second_copy_of_a_refusal_does_not_end_the_next_attempt() -> None:
    """It used to come on the connection of the next attempt, so that a third ran beside it (review/2)."""
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1), connections_per_exchange=3) as run:
        peers = [server.accept_binary() for _ in range(3)]
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        backend: Any = run.core.backends["binary"]
        ports = [c.stream.sock.getsockname() for c in backend.pools[1].connections]
        peers.sort(key=lambda peer: ports.index(peer.sock.getpeername()))
        caller = Caller(run.port)
        caller.invite(CALL_A)
        receive_set_up(peers[0], CALL_A)
        send_binary(peers[0], binary.RELEASE, CALL_A, cause=47)
        receive_set_up(peers[1], CALL_A)
        send_binary(peers[0], binary.RELEASE, CALL_A, cause=47)  # late, and once more
        send_binary(peers[0], binary.PROBE, CALL_B)
        peers[0].receive(lambda m: m.message_type == binary.PROBE_RESULT)
        request = run.core.find(CALL_A)
        assert request is not None and request.attempts == 2
        send_binary(peers[1], binary.RELEASE, CALL_A, cause=47)
        receive_set_up(peers[2], CALL_A)  # each attempt prefers a connection that had none
        send_binary(peers[2], binary.ANSWER, CALL_A)
        assert caller.receive_response(CALL_A).status == 200


def test_a_set_up_whose_bytes_keep_coming_gets_more_time_than_one_that_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A slow set-up was discarded, and what was open beside it was refused (review/10)."""
    monkeypatch.setattr(sip_caller, "MESSAGE_TIMEOUT_NS", 400 * MS)
    monkeypatch.setattr(sip_caller, "LONGEST_MESSAGE_NS", 900 * MS)
    server = ListeningSocket()
    with running_controller(list_entry("d1", server.address, 1)) as run:
        desk, caller, trickling = server.accept_binary(), Caller(run.port), Caller(run.port)
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        request = sip.request("OPTIONS", "sip:ping@net", "peer", CALL_B, 1)
        for start in range(0, len(request), 20):  # about six pieces
            caller.sock.sendall(request[start : start + 20])
            trickling.sock.sendall(b"X")
            time.sleep(0.1)
        assert caller.receive_response(CALL_B, "OPTIONS").status == 200
        assert run.core.find(CALL_A) is not None
        started = time.monotonic()
        with pytest.raises(OSError):  # one that never completes its message is closed all the same
            while time.monotonic() - started < 5:
                trickling.sock.sendall(b"X")
                time.sleep(0.1)
