"""M3UA-style signalling on real sockets: clients, a controller, and desk exchanges as its servers."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace
from typing import Any

import pytest

from arrowrail.config.records import Controller
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.m3ua import association as m3ua_association
from arrowrail.wire.m3ua import causes
from arrowrail.wire.m3ua import frontend as m3ua_frontend
from arrowrail.wire.m3ua import messages as m3ua
from arrowrail.wire.m3ua.isup import IsupMessage, IsupMessageType
from arrowrail.wire.m3ua.isup import decode as read_isup
from arrowrail.wire.m3ua.messages import ErrorCode, MessageType, ParameterTag
from tests.live import (
    Caller,
    ListeningSocket,
    M3uaPeer,
    RunningController,
    StandInBus,
    list_entry,
    list_event,
    operator_records,
    running_controller,
    send_binary,
    settings,
)  # fmt: skip

IAM, ACM, ANM, REL, RLC = (
    IsupMessageType.IAM,
    IsupMessageType.ACM,
    IsupMessageType.ANM,
    IsupMessageType.REL,
    IsupMessageType.RLC,
)
OWN_PC, CLIENT_PC, DESK_PC, OTHER_DESK_PC = 1, 11, 21, 22  # point codes
CALL_ID = "00000000000000a1"


def controller_records(*desks: dict[str, Any], deadline_ms: int = 8000) -> Controller:
    return operator_records(
        m3ua={
            "enabled": True, "listen": "127.0.0.1:0", "point_code": OWN_PC, "circuits": 10, "desks": desks,
            "heartbeat_ms": 60000, "classes": [{"name": "check", "deadline_ms": deadline_ms}],
            "numbers": [{"prefix": "1", "exchange": 1}, {"prefix": "2", "exchange": 2}],
        }
    )  # fmt: skip


def desk_record(uid: str, port: ListeningSocket, exchange: int, point_code: int) -> dict[str, Any]:
    return {"uid": uid, "address": port.address, "exchange": exchange, "point_code": point_code}


def connect_client(run: RunningController) -> M3uaPeer:
    frontend: Any = next(
        frontend for frontend in run.core.frontends if type(frontend).__name__ == "M3uaFrontend"
    )
    sock = Caller(frontend.listener.port).sock
    return M3uaPeer(sock, CLIENT_PC, OWN_PC).activate()


class CallClient:
    """Places numbered calls over either frontend; each must get exactly one equivalent final response."""

    def __init__(self, run: RunningController, over_sip: bool) -> None:
        self.sip = Caller(run.port) if over_sip else None
        self.m3ua = connect_client(run)

    def place(self, number: int) -> None:
        if self.sip is not None:
            self.sip.invite(f"{number:016x}", body=b"sdp")
        else:
            self.m3ua.send_isup(number, IAM, called_number="15")

    def final_response(self) -> tuple[int, str]:
        """Return the call and the result of the next final response."""
        if self.sip is not None:
            message = self.sip.receive(lambda m: m.status >= 200 and m.cseq_method == "INVITE")
            return int(message.call_id, 16), {200: "established", 503: "refused"}.get(
                message.status, "failed"
            )
        final = _next_final_message(self.m3ua)
        if final.message_type == ANM:
            return final.cic, "established"
        return final.cic, "refused" if final.cause in causes.REFUSED_CAUSES.values() else "failed"

    def released_call(self) -> int:
        """Return the next established call that is released with a failure."""
        if self.sip is not None:
            message = self.sip.receive(lambda m: m.method == "BYE")
            assert message.headers["reason"] == "Q.850;cause=41"
            return int(message.call_id, 16)
        release = self.m3ua.expect_isup(REL)
        assert release.cause == 41
        return release.cic

    def assert_no_more_responses(self) -> None:
        """Check that the answer to a keep-alive comes without a further final response before it."""
        if self.sip is not None:
            self.sip.send("OPTIONS", "ee")
            assert self.sip.receive().call_id == "ee"
        self.m3ua.send_message(MessageType.BEAT, HEARTBEAT=b"last")
        assert self.m3ua.receive().message_type == MessageType.BEAT_ACK


def accept_desk(port: ListeningSocket, point_code: int = DESK_PC) -> M3uaPeer:
    return M3uaPeer(port.accept(), point_code, OWN_PC).accept_activation()


@contextmanager
def client_and_desk(
    deadline_ms: int = 8000, settings_json: dict[str, Any] | None = None
) -> Iterator[tuple[RunningController, M3uaPeer, M3uaPeer]]:
    port = ListeningSocket()
    with running_controller(
        operator=controller_records(desk_record("m1", port, 1, DESK_PC), deadline_ms=deadline_ms),
        settings_json=settings_json,
    ) as run:
        peer = accept_desk(port)
        run.wait_until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size == 10
            )
        )
        yield run, connect_client(run), peer


def test_call_is_set_up_and_released_by_either_side() -> None:
    with client_and_desk() as (run, caller, peer):
        caller.send_isup(7, IAM, called_number="1234", uui=b"offer")
        sent = peer.expect_isup(IAM)
        assert (sent.called_number, sent.uui) == ("1234", b"offer")
        peer.send_isup(sent.cic, ACM)
        peer.send_isup(sent.cic, ANM, uui=b"answer")
        caller.expect_isup(ACM, 7)
        assert caller.expect_isup(ANM, 7).uui == b"answer"
        peer.send_isup(sent.cic, REL, cause=16)
        peer.expect_isup(RLC, sent.cic)
        assert caller.expect_isup(REL, 7).cause == 16
        caller.send_isup(7, RLC)
        caller.send_isup(7, IAM, called_number="1234")  # reuses the circuit
        again = peer.expect_isup(IAM)
        peer.send_isup(again.cic, ANM)
        caller.expect_isup(ANM, 7)
        caller.send_isup(7, REL, cause=16)
        caller.expect_isup(RLC, 7)
        assert peer.expect_isup(REL, again.cic).cause == 16
        assert run.core.decision_module.trunk_groups[1].free == 9  # occupied until the RLC
        peer.send_isup(again.cic, RLC)
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].free == 10)


@pytest.mark.parametrize("over_sip", [False, True])
@pytest.mark.parametrize(("cause", "to_client"), [(34, 34), (42, 42), (17, 17), (47, 47)])
def test_refusals_are_equivalent_over_sip_and_m3ua(cause: int, to_client: int, over_sip: bool) -> None:
    with client_and_desk() as (run, caller, peer):
        if over_sip:
            sip = Caller(run.port)
            sip.invite(CALL_ID, body=b"short")
        else:
            caller.send_isup(1, IAM, called_number="15")
        for _ in range(4 if cause == 47 else 1):  # this cause lets the same route be tried again
            peer.send_isup(peer.expect_isup(IAM).cic, REL, cause=cause)
        if over_sip:
            answer = sip.receive_response(CALL_ID)
            assert answer.status == 503 and int(answer.headers["x-later-ms"]) > 0
        else:
            release = caller.expect_isup(REL, 1)
            assert (release.cause, release.congestion) == (to_client, 1)


@pytest.mark.parametrize("over_sip", [False, True])
def test_no_answer_by_the_mapped_deadline_fails_the_call(over_sip: bool) -> None:
    with client_and_desk(deadline_ms=150) as (run, caller, peer):
        sip = Caller(run.port)
        if over_sip:
            sip.invite(CALL_ID, patience_ms=150, body=b"sdp")
        else:
            caller.send_isup(1, IAM, called_number="15")
        out = peer.expect_isup(IAM)
        if over_sip:
            assert sip.receive_response(CALL_ID).status == 500
        else:
            assert caller.expect_isup(REL, 1).cause == 102
        assert peer.expect_isup(REL, out.cic).cause == 16
        peer.send_isup(out.cic, ANM)  # crosses the release on the circuit
        peer.send_isup(out.cic, RLC)
        run.wait_until(lambda: not run.core.requests and run.core.decision_module.trunk_groups[1].free == 10)


@pytest.mark.parametrize(("called_number", "cause"), [("9", 1), ("2", 34)])
def test_number_without_a_route_is_refused(called_number: str, cause: int) -> None:
    with client_and_desk() as (_run, caller, _peer):
        caller.send_isup(1, IAM, called_number=called_number)
        assert caller.expect_isup(REL, 1).cause == cause


def test_early_release_or_disconnect_of_a_client_cancels_its_set_up() -> None:
    with client_and_desk() as (run, caller, peer):
        caller.send_isup(1, IAM, called_number="15")
        first = peer.expect_isup(IAM)
        caller.send_isup(1, IAM, called_number="15")  # a retransmission: no second call
        caller.send_isup(1, REL, cause=16)
        caller.expect_isup(RLC, 1)
        assert peer.expect_isup(REL, first.cic).cause == 16
        caller.send_isup(2, IAM, called_number="15")
        second = peer.expect_isup(IAM)
        caller.sock.close()
        assert peer.expect_isup(REL, second.cic).cause == 16
        run.wait_until(lambda: not run.core.requests)


def test_an_iam_repeated_on_another_association_is_answered_there() -> None:
    """The answer used to go to the association of the first IAM, which may be dead."""
    with client_and_desk() as (run, first, desk):
        first.send_isup(7, IAM, called_number="1234", uui=b"offer")
        sent = desk.expect_isup(IAM)
        second = connect_client(run)
        second.send_isup(7, IAM, called_number="1234", uui=b"offer")
        second.send_message(MessageType.BEAT, HEARTBEAT=b"b")
        second.expect(MessageType.BEAT_ACK)
        first.reset()
        desk.send_isup(sent.cic, ANM, uui=b"answer")
        assert second.expect_isup(ANM, 7).uui == b"answer"
        third = connect_client(run)
        third.send_isup(7, IAM, called_number="1234", uui=b"offer")  # the answer was lost, too
        assert third.expect_isup(ANM, 7).uui == b"answer"


@pytest.mark.parametrize("repeat", ["free", "single_shot"])
def test_an_iam_repeated_after_its_association_was_lost_runs_again_only_if_its_class_may(repeat: str) -> None:
    """The first one may have run: an order of a class that must not run twice has failed."""
    settings_json = settings()
    settings_json["classes"][0]["repeat"] = repeat
    with client_and_desk(settings_json=settings_json) as (run, client, desk):
        client.send_isup(7, IAM, called_number="1234", uui=b"offer")
        first = desk.expect_isup(IAM)
        client.reset()
        desk.expect_isup(REL, first.cic)
        again = connect_client(run)
        again.send_isup(7, IAM, called_number="1234", uui=b"offer")
        if repeat == "free":
            assert desk.expect_isup(IAM).uui == b"offer"
        else:
            assert again.expect_isup(REL, 7).cause == 41
        again.send_isup(8, IAM, called_number="1234", uui=b"another")
        assert desk.expect_isup(IAM).uui == b"another"


def test_circuit_reset_by_either_side_releases_its_call() -> None:
    with client_and_desk() as (run, caller, peer):
        for cic, resetting_peer in ((1, caller), (2, peer)):
            caller.send_isup(cic, IAM, called_number="15")
            out = peer.expect_isup(IAM)
            peer.send_isup(out.cic, ANM)
            caller.expect_isup(ANM, cic)
            resetting_peer.send_isup(cic if resetting_peer is caller else out.cic, IsupMessageType.RSC)
            resetting_peer.expect_isup(RLC)
            if resetting_peer is caller:
                assert peer.expect_isup(REL).cause == 16
            else:
                assert caller.expect_isup(REL, cic).cause == 41
        run.wait_until(lambda: not run.core.requests)


def test_call_from_a_desk_exchange_is_rejected() -> None:
    with client_and_desk() as (_run, _caller, peer):
        peer.send_isup(9, IAM, called_number="15")
        assert peer.expect_isup(REL, 9).cause == 29


def test_established_call_outlives_its_client_association() -> None:
    with client_and_desk() as (run, caller, peer):
        caller.send_isup(1, IAM, called_number="15")
        out = peer.expect_isup(IAM)
        peer.send_isup(out.cic, ANM)
        caller.expect_isup(ANM, 1)
        caller.reset()
        frontend: Any = run.core.frontends[0]
        run.wait_until(lambda: len(frontend.associations) == 0)
        peer.send_isup(out.cic, REL, cause=16)
        run.wait_until(lambda: not run.core.requests)
        assert connect_client(run).expect_isup(REL, 1).cause == 16


def test_sip_calls_reach_m3ua_desk_exchanges_and_vice_versa() -> None:
    sip_port, m3ua_port = ListeningSocket(), ListeningSocket()
    records = controller_records(desk_record("m1", m3ua_port, 2, DESK_PC))
    with running_controller(list_entry("d1", sip_port.address, 1), operator=records) as run:
        binary_peer, m3ua_peer = sip_port.accept_binary(), accept_desk(m3ua_port)
        run.wait_until(
            lambda: len([g for g in run.core.decision_module.trunk_groups.values() if g.size > 0]) == 2
        )
        caller, sip = connect_client(run), Caller(run.port)
        caller.send_isup(1, IAM, called_number="12", uui=b"o")
        sent = binary_peer.receive(lambda m: m.message_type == binary.SET_UP)
        assert (sent.class_name, sent.number, sent.session_description) == ("check", "12", b"o")
        send_binary(binary_peer, binary.ANSWER, f"{sent.call_id:016x}", session_description=b"a")
        assert caller.expect_isup(ANM, 1).uui == b"a"
        sip.invite(CALL_ID, exchange=2, body=b"o")
        out = m3ua_peer.expect_isup(IAM)
        m3ua_peer.send_isup(out.cic, ANM, uui=b"a")
        assert (sip.receive_response(CALL_ID).status, out.uui) == (200, b"o")


@pytest.mark.parametrize("over_sip", [False, True])
def test_stalled_exchange_gets_no_set_up_after_it_drains(over_sip: bool) -> None:
    """A draining exchange must not receive set-ups that were queued before.

    The exchange stops reading and sends half a message while set-ups are queued; then it drains. Set-ups that
    stay queued would be written as soon as it reads again.
    """
    port, bus = ListeningSocket(receive_buffer=2048), StandInBus()
    listed_target = list_entry("m1", port.address, 1, signalling="m3ua", point_code=DESK_PC)
    with running_controller(operator=controller_records(), bus=bus.listener.address) as run:
        bus.accept()
        bus.send_event(list_event(2, listed_target))
        peer, caller = accept_desk(port), CallClient(run, over_sip)
        run.wait_until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size == 10
            )
        )
        caller.place(1)
        out = peer.expect_isup(IAM)
        backend: Any = run.core.backends["m3ua"]
        stream = backend.trunk_groups[1].association.stream
        heartbeats = 0
        # Acknowledgements of heartbeats fill the socket buffers toward the peer.
        while run.run_in_loop(lambda: stream.flushed):
            peer.send_message(MessageType.BEAT, HEARTBEAT=b"x" * 8000)
            heartbeats += 1
            assert heartbeats < 1000
        partial = peer.encode_isup(IsupMessage(out.cic, ANM, uui=b"answer"))
        peer.sock.sendall(partial[:20])
        for cic in (2, 3, 4):
            caller.place(cic)
        run.wait_until(
            lambda: (
                len(
                    [
                        call
                        for call in backend.trunk_groups[1].calls_by_cic.values()
                        if stream.is_unsent(call.call_id)
                    ]
                )
                == 3
            )
        )
        bus.send_event(list_event(3, listed_target | {"state": "terminating"}))
        ended = sorted(caller.final_response() for _ in range(3))  # at once, as nothing was transmitted
        assert ended == [(n, "refused") for n in (2, 3, 4)]
        peer.sock.sendall(partial[20:])
        assert caller.final_response() == (1, "established")
        peer.send_message(MessageType.BEAT, HEARTBEAT=b"after")
        message = peer.receive()
        while message.parameters.get(ParameterTag.HEARTBEAT) != b"after":
            # Neither a set-up nor the release of one follows.
            assert message.message_type == MessageType.BEAT_ACK
            message = peer.receive()
        caller.assert_no_more_responses()
        assert len(run.core.requests) == 1


@pytest.mark.parametrize("over_sip", [False, True])
def test_reset_during_a_processor_swap_ends_every_call_once(over_sip: bool) -> None:
    """The old processor drains while the new one serves, and resets its association during calls."""
    ports, bus = (ListeningSocket(), ListeningSocket()), StandInBus()
    old_target = list_entry("m1", ports[0].address, 1, signalling="m3ua", point_code=DESK_PC)
    booted = int(time.time() * 1000) - 60_000
    new_target = list_entry(
        "m2", ports[1].address, 1, signalling="m3ua", point_code=OTHER_DESK_PC, boot_ms=booted
    )
    with running_controller(operator=controller_records(), bus=bus.listener.address) as run:
        bus.accept()
        bus.send_event(list_event(2, old_target))
        old, caller = accept_desk(ports[0]), CallClient(run, over_sip)
        run.wait_until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size == 10
            )
        )
        for cic in (1, 2, 3):
            caller.place(cic)
        cics = [old.expect_isup(IAM).cic for _ in range(3)]
        old.send_isup(cics[0], ANM)
        assert caller.final_response()[1] == "established"  # one is established, two are unanswered
        bus.send_event(list_event(3, old_target | {"state": "terminating"}, new_target))
        new = accept_desk(ports[1], OTHER_DESK_PC)
        run.wait_until(lambda: run.core.decision_module.in_service[1].entry.endpoint_id == 2)
        reset_at = time.monotonic()
        old.reset()
        first, second = new.expect_isup(IAM), new.expect_isup(IAM)
        assert time.monotonic() - reset_at >= 0.3  # the release pause
        new.send_isup(first.cic, ANM, uui=b"new")
        new.send_isup(second.cic, REL, cause=17)
        assert sorted(caller.final_response()[1] for _ in range(2)) == ["established", "refused"]
        bus.send_event(list_event(4, old_target | {"state": "terminated"}))
        assert caller.released_call() in (1, 2, 3)  # the one established on the old processor
        caller.assert_no_more_responses()
        assert len(run.core.requests) == 1


def _next_final_message(caller: M3uaPeer) -> Any:
    while True:
        message = read_isup(m3ua.decode_data(caller.expect(MessageType.DATA)).user_data)
        if message is not None and message.message_type in (ANM, REL):
            return message


def test_association_lost_without_a_list_update_pauses_and_releases_its_circuits() -> None:
    port = ListeningSocket()
    with running_controller(operator=controller_records(desk_record("m1", port, 1, DESK_PC))) as run:
        peer = accept_desk(port)
        run.wait_until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size == 10
            )
        )
        caller = connect_client(run)
        caller.send_isup(1, IAM, called_number="15")
        out = peer.expect_isup(IAM)
        peer.reset()
        peer = accept_desk(port)
        assert peer.expect_isup(REL, out.cic).cause == 16
        peer.send_isup(out.cic, RLC)
        again = peer.expect_isup(IAM)  # the route is still eligible: tried again after the pause
        assert again.cic != out.cic
        peer.reset()
        peer = accept_desk(port)
        peer.expect_isup(REL, again.cic)
        peer.send_isup(again.cic, RLC)
        peer.send_isup(peer.expect_isup(IAM).cic, REL, cause=34)
        assert caller.expect_isup(REL, 1).cause == 34
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].free == 10)


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (m3ua.encode(m3ua.Message(MessageType.ASPAC)), ErrorCode.UNEXPECTED_MESSAGE),
        (m3ua.encode_data(m3ua.ProtocolData(CLIENT_PC, OWN_PC, b"\1\0\x10\0")), ErrorCode.UNEXPECTED_MESSAGE),
        (bytes.fromhex("0100630100000008"), ErrorCode.UNSUPPORTED_CLASS),
        (bytes.fromhex("0200030100000008"), ErrorCode.INVALID_VERSION),
    ],
)
def test_protocol_errors_before_the_handshake(sent: bytes, code: ErrorCode) -> None:
    with running_controller(operator=controller_records()) as run:
        frontend: Any = run.core.frontends[0]
        peer = M3uaPeer(Caller(frontend.listener.port).sock, CLIENT_PC, OWN_PC)
        peer.sock.sendall(sent)
        assert peer.expect(MessageType.ERR).uint32(ParameterTag.ERROR_CODE) == code
        if code != ErrorCode.INVALID_VERSION:
            peer.activate()  # the association stays open
        else:
            assert peer.wait_for_close()


@pytest.mark.parametrize(
    ("sent", "message_type"),
    [
        (m3ua.encode_data(m3ua.ProtocolData(CLIENT_PC, OWN_PC, b"\1")), MessageType.ERR),
        (
            m3ua.encode_data(m3ua.ProtocolData(CLIENT_PC, OWN_PC, b"\1\0\x10\0"), routing_context=9),
            MessageType.ERR,
        ),
        (
            m3ua.encode_data(m3ua.ProtocolData(CLIENT_PC, OWN_PC, b"\1\0\x10\0", service_indicator=3)),
            MessageType.ERR,
        ),
        (m3ua.encode_data(m3ua.ProtocolData(CLIENT_PC, 999, b"\1\0\x10\0")), MessageType.DUNA),
        (m3ua.encode(m3ua.Message(MessageType.BEAT)), MessageType.BEAT_ACK),
        (m3ua.encode(m3ua.Message(MessageType.ASPIA)), MessageType.ASPIA_ACK),
        (m3ua.encode(m3ua.Message(MessageType.ASPDN)), MessageType.ASPDN_ACK),
    ],
)
def test_management_messages_on_an_active_association(sent: bytes, message_type: MessageType) -> None:
    with client_and_desk() as (_run, caller, _peer):
        caller.sock.sendall(sent)
        assert caller.receive().message_type == message_type


def test_client_stalled_within_a_message_does_not_delay_others() -> None:
    with client_and_desk() as (run, stalled, peer):
        partial = stalled.encode_isup(IsupMessage(1, IAM, called_number="15"))
        stalled.sock.sendall(partial[:30])
        other = connect_client(run)
        other.send_isup(2, IAM, called_number="15")
        peer.send_isup(peer.expect_isup(IAM).cic, ANM)
        other.expect_isup(ANM, 2)
        stalled.sock.sendall(partial[30:])
        peer.send_isup(peer.expect_isup(IAM).cic, ANM)
        stalled.expect_isup(ANM, 1)


def test_silent_peer_is_disconnected_after_missed_heartbeats() -> None:
    file = controller_records()
    with running_controller(operator=replace(file, m3ua=replace(file.m3ua, heartbeat=100_000_000))) as run:
        peer = connect_client(run)
        assert peer.expect(MessageType.BEAT).parameters[ParameterTag.HEARTBEAT]
        assert peer.wait_for_close()


def test_reload_applies_desk_exchanges_and_numbers_and_keeps_calls() -> None:
    ports = [ListeningSocket(), ListeningSocket()]
    first, both = desk_record("d1", ports[0], 1, DESK_PC), desk_record("d2", ports[1], 2, OTHER_DESK_PC)
    with running_controller(operator=controller_records(first)) as run:
        desk = M3uaPeer(ports[0].accept(), DESK_PC, OWN_PC).accept_activation()
        caller = connect_client(run)
        run.wait_until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        caller.send_isup(1, IAM, called_number="11")
        desk.send_isup(desk.expect_isup(IAM).cic, ANM)
        caller.expect_isup(ANM, 1)
        controller = run.controller
        run.run_in_loop(lambda: controller.reload(controller.config, controller_records(first, both)))
        other = M3uaPeer(ports[1].accept(), OTHER_DESK_PC, OWN_PC).accept_activation()
        run.wait_until(
            lambda: (
                2 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[2].size > 0
            )
        )
        caller.send_isup(2, IAM, called_number="21")
        other.send_isup(other.expect_isup(IAM).cic, ANM)
        caller.expect_isup(ANM, 2)
        run.run_in_loop(lambda: controller.reload(controller.config, controller_records(both)))
        assert caller.expect_isup(REL).cic == 1  # its exchange is no longer listed


def test_silent_and_stalled_peers_are_evicted_in_favour_of_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(m3ua_association, "MESSAGE_TIMEOUT_NS", 600_000_000)
    monkeypatch.setattr(m3ua_frontend, "MAX_CLIENTS", 3)
    port = ListeningSocket()
    with running_controller(operator=controller_records(desk_record("m1", port, 1, DESK_PC))) as run:
        peer, active_client = accept_desk(port), connect_client(run)
        run.wait_until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size > 0
            )
        )
        frontend: Any = next(
            frontend for frontend in run.core.frontends if type(frontend).__name__ == "M3uaFrontend"
        )
        silent_connections = [Caller(frontend.listener.port) for _ in range(8)]
        silent_connections[-1].sock.sendall(b"\1\0\3")
        assert all(connection.wait_for_close() for connection in silent_connections)
        active_client.send_isup(1, IAM, called_number="15")
        peer.send_isup(peer.expect_isup(IAM).cic, ANM)
        active_client.expect_isup(ANM, 1)
        active_client.sock.sendall(b"\1\0\3")  # half a message; BEATs cannot complete it
        # An established call belongs to no association.
        assert active_client.wait_for_close() and run.core.requests
        peer.sock.sendall(b"\1\0\3")
        accept_desk(port)


def test_calls_of_a_vanished_peer_are_released_within_the_limit() -> None:
    port = ListeningSocket()
    with running_controller(operator=controller_records(desk_record("m1", port, 1, DESK_PC))) as run:
        peer, active_client = accept_desk(port), connect_client(run)
        run.wait_until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size > 0
            )
        )
        active_client.send_isup(1, IAM, called_number="15")
        peer.send_isup(peer.expect_isup(IAM).cic, ANM)
        active_client.expect_isup(ANM, 1)
        vanished_at = time.monotonic()
        port.sock.listen(0)  # a full accept queue is as silent as a host that is down
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port.port))
        assert active_client.expect_isup(REL, 1).cause == 41
        assert time.monotonic() - vanished_at < 8.05


def test_calls_are_released_when_the_list_has_a_successor_at_the_address_of_a_silent_peer() -> None:
    """Guards against a listed successor being ignored while its predecessor's entry is in service."""
    port = ListeningSocket()
    with running_controller(operator=controller_records(desk_record("m1", port, 1, DESK_PC))) as run:
        peer, client = accept_desk(port), connect_client(run)
        run.wait_until(lambda: 1 in run.core.decision_module.trunk_groups)
        client.send_isup(1, IAM, called_number="15")
        peer.send_isup(peer.expect_isup(IAM).cic, ANM)
        client.expect_isup(ANM, 1)
        run.wait_until(lambda: run.core.established_calls.count(1))
        time.sleep(0.2)

        def list_successor() -> None:
            entry = run.core.registry.endpoints[1].entry
            started_ns = run.core.now
            run.core.update_endpoints("etcd", False, [replace(entry, uid="m1b", started_ns=started_ns)])

        run.run_in_loop(list_successor)
        assert client.expect_isup(REL, 1).cause == 41
