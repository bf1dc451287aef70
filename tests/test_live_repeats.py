"""Set-ups that come again with the same call id, over real sockets."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from arrowrail.wire.binary import messages as binary
from arrowrail.wire.sip import answers
from tests.live import (
    Caller,
    ListeningSocket,
    Peer,
    RunningController,
    list_entry,
    receive_release,
    receive_set_up,
    running_controller,
    send_binary,
    settings,
)

CALL_A, CALL_B = "00000000000000a1", "00000000000000b2"
DeskPeer = Peer[binary.BinaryMessage]


def settings_with_repeat(repeat: str, scope: str = "all") -> dict[str, Any]:
    changed = settings()
    changed["classes"][0] |= {"repeat": repeat, "dedup-scope": scope}
    return changed


@contextmanager
def caller_and_desk(
    repeat: str = "single_shot", scope: str = "all"
) -> Iterator[tuple[RunningController, Caller, DeskPeer]]:
    server = ListeningSocket()
    with running_controller(
        list_entry("d1", server.address, 1), settings_json=settings_with_repeat(repeat, scope)
    ) as run:
        desk = server.accept_binary()
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        yield run, Caller(run.port), desk


def repeat_status(run: RunningController, call_id: str = CALL_A, **invite: Any) -> int:
    """Send the set-up on a new connection and return the status of the response."""
    caller = Caller(run.port)
    caller.invite(call_id, **invite)
    return caller.receive_response(call_id).status


@pytest.mark.parametrize(
    ("repeat", "scope", "status"),
    [("free", "all", 503), ("single_shot", "all", 500), ("guarded", "all", 503), ("guarded", "zone", 500)],
)
def test_a_set_up_repeated_after_a_reset_is_refused_only_if_its_class_may_run_twice(
    repeat: str, scope: str, status: int
) -> None:
    """A 503 would let the caller place an order again that may have been carried out (review/9)."""
    with caller_and_desk(repeat, scope) as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        caller.reset()
        receive_release(desk, CALL_A)
        assert repeat_status(run) == status


def test_a_set_up_repeated_after_proof_that_it_never_ran_is_refused() -> None:
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        send_binary(desk, binary.RELEASE, CALL_A, cause=34, reason="processor_full")
        assert caller.receive_response(CALL_A).status == 503
        caller.reset()
        assert repeat_status(run) == 503


def test_a_set_up_repeated_after_its_call_has_stood_has_failed() -> None:
    """The call ran to its end: a 503 would promise that it had no effect."""
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        send_binary(desk, binary.ANSWER, CALL_A)
        assert caller.receive_response(CALL_A).status == 200
        send_binary(desk, binary.RELEASE, CALL_A, cause=16)
        caller.receive_bye(CALL_A)
        assert repeat_status(run) == 500


def test_a_set_up_repeated_after_a_cancellation_or_a_timeout_has_failed() -> None:
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        caller.send("CANCEL", CALL_A)
        assert caller.receive_response(CALL_A).status == 487
        caller.invite(CALL_B, patience_ms=50)
        receive_set_up(desk, CALL_B)
        assert caller.receive_response(CALL_B).status == 500
        assert [repeat_status(run, call_id) for call_id in (CALL_A, CALL_B)] == [500, 500]


def test_a_set_up_whose_caller_left_before_any_attempt_is_accepted_when_it_comes_again() -> None:
    server = ListeningSocket()
    with running_controller(
        list_entry("d1", server.address, 1), settings_json=settings_with_repeat("single_shot")
    ) as run:
        desk, caller = server.accept_binary(free=0), Caller(run.port)  # no circuit: the set-up waits
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        caller.invite(CALL_A)
        run.wait_until(lambda: run.core.find(CALL_A) is not None)
        request = run.core.find(CALL_A)
        assert request is not None and request.attempts == 0
        caller.reset()
        run.wait_until(lambda: run.core.find(CALL_A) is None)
        again = Caller(run.port)
        again.invite(CALL_A)
        run.wait_until(lambda: run.core.find(CALL_A) is not None)
        send_binary(desk, binary.GROUP_STATE, "0" * 16, free=10, size=10)
        receive_set_up(desk, CALL_A)
        send_binary(desk, binary.ANSWER, CALL_A)
        assert again.receive_response(CALL_A).status == 200


def test_the_id_of_an_ended_call_with_another_number_or_class_is_rejected() -> None:
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        caller.reset()
        receive_release(desk, CALL_A)
        assert repeat_status(run, replacement=("00000000000000ab", "00000000000000ac")) == 400
        assert repeat_status(run, body=b"another description") == 400
        assert repeat_status(run) == 500


@pytest.mark.parametrize(("repeat", "status"), [("free", 503), ("single_shot", 500)])
def test_unusable_input_refuses_an_open_set_up_only_if_its_class_may_run_twice(
    repeat: str, status: int
) -> None:
    """The order may have been carried out already when its caller's connection has to be closed."""
    with caller_and_desk(repeat) as (_run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        caller.sock.sendall(b"no SIP message\r\n\r\n")
        assert caller.receive_response(CALL_A).status == status
        receive_release(desk, CALL_A)


def test_an_open_set_up_repeated_on_another_connection_is_answered_there() -> None:
    """The response used to go to the first connection, which its caller may have given up unseen."""
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        again = Caller(run.port)
        again.invite(CALL_A)
        run.wait_until(lambda: len(run.controller.frontend.callers) == 2)
        again.send("OPTIONS", CALL_B)
        assert again.receive_response(CALL_B, "OPTIONS").status == 200
        caller.reset()
        run.wait_until(lambda: len(run.controller.frontend.callers) == 1)
        send_binary(desk, binary.ANSWER, CALL_A)
        assert again.receive_response(CALL_A).status == 200
        send_binary(desk, binary.RELEASE, CALL_A, cause=16)
        assert again.receive_bye(CALL_A)


def test_a_set_up_repeated_after_an_unread_answer_gets_the_answer_again_until_it_is_acknowledged() -> None:
    """The answer may be lost with the first connection while the call stands."""
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        send_binary(desk, binary.ANSWER, CALL_A, session_description=b"desk")
        run.wait_until(lambda: run.core.established_calls.count(1) == 1)
        caller.reset()
        again = Caller(run.port)
        again.invite(CALL_A)
        answer = again.receive_response(CALL_A)
        assert (answer.status, answer.body) == (200, b"desk")
        again.send("ACK", CALL_A)
        assert repeat_status(run) == 500
        send_binary(desk, binary.RELEASE, CALL_A, cause=16)
        assert again.receive_bye(CALL_A)


def test_a_set_up_repeated_on_its_own_connection_gets_one_response() -> None:
    with caller_and_desk() as (_run, caller, desk):
        caller.invite(CALL_A)
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        send_binary(desk, binary.ANSWER, CALL_A)
        assert caller.receive_response(CALL_A).status == 200
        caller.invite(CALL_A)
        caller.send("OPTIONS", CALL_B)
        assert caller.receive().call_id == CALL_B


def test_a_call_whose_answer_is_no_longer_kept_is_released_when_its_set_up_comes_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(answers, "MAX_BYTES", 10)
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        send_binary(desk, binary.ANSWER, CALL_A, session_description=b"x" * 11)
        assert caller.receive_response(CALL_A).status == 200
        caller.reset()
        assert repeat_status(run) == 500
        receive_release(desk, CALL_A)


def test_set_ups_of_a_caller_that_has_closed_are_not_sent_on() -> None:
    """They used to be sent on while the end of the connection was unread behind them."""
    with caller_and_desk() as (run, caller, desk):
        calls = [f"{number:016x}" for number in range(1, 6)]

        def write_and_close() -> None:  # while the loop stands still, so that all of it is unread
            for call_id in calls:
                caller.invite(call_id, body=b"x" * 14_000)
            caller.send("OPTIONS", CALL_B)
            caller.sock.close()

        run.run_in_loop(write_and_close)
        run.wait_until(lambda: len(run.controller.frontend.callers) == 0)
        assert run.run_in_loop(lambda: run.core.metrics.value("attempt.sent")) == 0
        other = Caller(run.port)
        other.invite(CALL_A)
        assert desk.receive(lambda m: m.message_type == binary.SET_UP).call_id == int(CALL_A, 16)


def test_a_release_of_a_caller_that_has_closed_ends_its_call() -> None:
    """Only set-ups need a caller that waits: a release is carried out."""
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        send_binary(desk, binary.ANSWER, CALL_A)
        assert caller.receive_response(CALL_A).status == 200
        other = Caller(run.port)

        def release_and_close() -> None:
            other.send("BYE", CALL_A)
            other.sock.close()

        run.run_in_loop(release_and_close)
        receive_release(desk, CALL_A)


@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_an_order_repeated_after_any_end_of_its_connection_has_failed(how: str) -> None:
    """An orderly end says as little about the first attempt as a reset does."""
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        if how == "reset":
            caller.reset()
        elif how == "close":
            caller.sock.close()
        else:
            caller.sock.shutdown(socket.SHUT_WR)
        receive_release(desk, CALL_A)
        assert repeat_status(run) == 500


@pytest.mark.parametrize(("repeat", "status"), [("free", 503), ("single_shot", 500)])
def test_an_order_repeated_during_a_shutdown_is_answered_by_what_is_known_of_it(
    repeat: str, status: int
) -> None:
    """A shutdown refuses what is new, but an order that may have run has failed."""
    with caller_and_desk(repeat) as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        run.run_in_loop(lambda: run.controller.begin_shutdown(15))
        caller.reset()
        receive_release(desk, CALL_A)
        assert repeat_status(run) == status


def test_an_open_order_is_failed_at_the_end_of_a_shutdown_and_not_refused() -> None:
    with caller_and_desk() as (run, caller, desk):
        caller.invite(CALL_A)
        receive_set_up(desk, CALL_A)
        run.run_in_loop(lambda: run.controller.begin_shutdown(15))
        assert caller.receive_response(CALL_A).status == 500
        assert repeat_status(run) == 500


def test_the_end_of_a_first_connection_does_not_end_its_set_up_on_the_next_one() -> None:
    """A set-up that was given up unsent comes again before the end of its first connection is read."""
    with caller_and_desk() as (run, caller, desk):
        send_binary(desk, binary.GROUP_STATE, "0" * 16, free=0, size=10)
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].free == 0)
        caller.invite(CALL_A)
        run.wait_until(lambda: run.core.find(CALL_A) is not None)
        (first,) = run.run_in_loop(lambda: list(run.controller.frontend.callers))
        run.run_in_loop(lambda: run.core.caller_abandoned(CALL_A))  # as if its caller had been seen to leave
        again = Caller(run.port)
        again.invite(CALL_A)
        run.wait_until(lambda: run.core.find(CALL_A) is not None)
        run.run_in_loop(lambda: first.stream.fail(None))
        assert run.run_in_loop(lambda: run.core.find(CALL_A) is not None)
        send_binary(desk, binary.GROUP_STATE, "0" * 16, free=10, size=10)
        receive_set_up(desk, CALL_A)
        send_binary(desk, binary.ANSWER, CALL_A)
        assert again.receive_response(CALL_A).status == 200
