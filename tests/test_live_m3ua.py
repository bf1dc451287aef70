"""M3UA-style signalling on real sockets: clients before the program, desk exchanges behind it."""

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
    BusStand,
    Caller,
    Listening,
    M3uaPeer,
    Running,
    news,
    operator,
    running,
    target,
    tell,
)  # fmt: skip

IAM, ACM, ANM, REL, RLC = (
    IsupMessageType.IAM,
    IsupMessageType.ACM,
    IsupMessageType.ANM,
    IsupMessageType.REL,
    IsupMessageType.RLC,
)
OWN, CLIENT, DESK, OTHER = 1, 11, 21, 22
CALL = "00000000000000a1"


def configured(*desks: dict[str, Any], deadline_ms: int = 8000) -> Controller:
    return operator(
        m3ua={
            "enabled": True, "listen": "127.0.0.1:0", "point_code": OWN, "circuits": 10, "desks": desks,
            "heartbeat_ms": 60000, "classes": [{"name": "check", "deadline_ms": deadline_ms}],
            "numbers": [{"prefix": "1", "exchange": 1}, {"prefix": "2", "exchange": 2}],
        }
    )  # fmt: skip


def behind(uid: str, port: Listening, exchange: int, point_code: int) -> dict[str, Any]:
    return {"uid": uid, "address": port.address, "exchange": exchange, "point_code": point_code}


def client(run: Running) -> M3uaPeer:
    front: Any = next(f for f in run.core.frontends if type(f).__name__ == "M3uaFrontend")
    sock = Caller(front.listener.port).sock
    return M3uaPeer(sock, CLIENT, OWN).up()


class Placing:
    """Calls by number, placed over either front; each must end in exactly one answer of the same kind."""

    def __init__(self, run: Running, over_sip: bool) -> None:
        self.sip = Caller(run.port) if over_sip else None
        self.m3ua = client(run)

    def place(self, n: int) -> None:
        if self.sip is not None:
            self.sip.invite(f"{n:016x}", body=b"sdp")
        else:
            self.m3ua.send(n, IAM, called_number="15")

    def answer(self) -> tuple[int, str]:
        """The next final answer: which call, and of what kind."""
        if self.sip is not None:
            m = self.sip.take(lambda m: m.status >= 200 and m.cseq_method == "INVITE")
            return int(m.call_id, 16), {200: "stands", 503: "refused"}.get(m.status, "failed")
        final = _final(self.m3ua)
        if final.message_type == ANM:
            return final.cic, "stands"
        return final.cic, "refused" if final.cause in causes.REFUSED_CAUSES.values() else "failed"

    def cut(self) -> int:
        """The next call that stood and is cut."""
        if self.sip is not None:
            m = self.sip.take(lambda m: m.method == "BYE")
            assert m.headers["reason"] == "Q.850;cause=41"
            return int(m.call_id, 16)
        release = self.m3ua.isup(REL)
        assert release.cause == 41
        return release.cic

    def nothing_more(self) -> None:
        """An echo comes back with no further answer before it."""
        if self.sip is not None:
            self.sip.send("OPTIONS", "ee")
            assert self.sip.take().call_id == "ee"
        self.m3ua.say(MessageType.BEAT, HEARTBEAT=b"last")
        assert self.m3ua.take().message_type == MessageType.BEAT_ACK


def desk(port: Listening, point_code: int = DESK) -> M3uaPeer:
    return M3uaPeer(port.accept(), point_code, OWN).let_up()


@contextmanager
def both_sides(deadline_ms: int = 8000) -> Iterator[tuple[Running, M3uaPeer, M3uaPeer]]:
    port = Listening()
    with running(operator=configured(behind("m1", port, 1, DESK), deadline_ms=deadline_ms)) as run:
        peer = desk(port)
        run.until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size == 10
            )
        )
        yield run, client(run), peer


def test_a_call_passes_both_ways_and_is_released_by_either_side() -> None:
    with both_sides() as (run, caller, peer):
        caller.send(7, IAM, called_number="1234", uui=b"offer")
        sent = peer.isup(IAM)
        assert (sent.called_number, sent.uui) == ("1234", b"offer")
        peer.send(sent.cic, ACM)
        peer.send(sent.cic, ANM, uui=b"answer")
        caller.isup(ACM, 7)
        assert caller.isup(ANM, 7).uui == b"answer"
        peer.send(sent.cic, REL, cause=16)
        peer.isup(RLC, sent.cic)
        assert caller.isup(REL, 7).cause == 16
        caller.send(7, RLC)
        caller.send(7, IAM, called_number="1234")  # the circuit is used again
        again = peer.isup(IAM)
        peer.send(again.cic, ANM)
        caller.isup(ANM, 7)
        caller.send(7, REL, cause=16)
        caller.isup(RLC, 7)
        assert peer.isup(REL, again.cic).cause == 16
        assert run.core.decision_module.trunk_groups[1].free == 9  # taken until it is confirmed
        peer.send(again.cic, RLC)
        run.until(lambda: run.core.decision_module.trunk_groups[1].free == 10)


@pytest.mark.parametrize("over_sip", [False, True])
@pytest.mark.parametrize(("cause", "to_client"), [(34, 34), (42, 42), (17, 17), (47, 47)])
def test_each_refusal_is_the_same_answer_over_sip(cause: int, to_client: int, over_sip: bool) -> None:
    with both_sides() as (run, caller, peer):
        if over_sip:
            sip = Caller(run.port)
            sip.invite(CALL, body=b"short")
        else:
            caller.send(1, IAM, called_number="15")
        for _ in range(4 if cause == 47 else 1):  # a fault is no reason not to try the same way again
            peer.send(peer.isup(IAM).cic, REL, cause=cause)
        if over_sip:
            answer = sip.answer(CALL)
            assert answer.status == 503 and int(answer.headers["x-later-ms"]) > 0
        else:
            release = caller.isup(REL, 1)
            assert (release.cause, release.congestion) == (to_client, 1)


@pytest.mark.parametrize("over_sip", [False, True])
def test_no_answer_by_the_mapped_deadline_is_a_failure_on_both(over_sip: bool) -> None:
    with both_sides(deadline_ms=150) as (run, caller, peer):
        sip = Caller(run.port)
        if over_sip:
            sip.invite(CALL, patience=150, body=b"sdp")
        else:
            caller.send(1, IAM, called_number="15")
        out = peer.isup(IAM)
        if over_sip:
            assert sip.answer(CALL).status == 500
        else:
            assert caller.isup(REL, 1).cause == 102
        assert peer.isup(REL, out.cic).cause == 16
        peer.send(out.cic, ANM)  # crossed: the circuit is being cleared already
        peer.send(out.cic, RLC)
        run.until(lambda: not run.core.requests and run.core.decision_module.trunk_groups[1].free == 10)


@pytest.mark.parametrize(("called_number", "cause"), [("9", 1), ("2", 34)])
def test_a_number_without_a_route_is_refused(called_number: str, cause: int) -> None:
    with both_sides() as (_run, caller, _peer):
        caller.send(1, IAM, called_number=called_number)
        assert caller.isup(REL, 1).cause == cause


def test_a_client_that_releases_early_or_goes_gives_its_set_up_up() -> None:
    with both_sides() as (run, caller, peer):
        caller.send(1, IAM, called_number="15")
        first = peer.isup(IAM)
        caller.send(1, IAM, called_number="15")  # sent again: no second call
        caller.send(1, REL, cause=16)
        caller.isup(RLC, 1)
        assert peer.isup(REL, first.cic).cause == 16
        caller.send(2, IAM, called_number="15")
        second = peer.isup(IAM)
        caller.sock.close()
        assert peer.isup(REL, second.cic).cause == 16
        run.until(lambda: not run.core.requests)


def test_a_circuit_reset_by_either_side_cuts_what_is_on_it() -> None:
    with both_sides() as (run, caller, peer):
        for cic, resets in ((1, caller), (2, peer)):
            caller.send(cic, IAM, called_number="15")
            out = peer.isup(IAM)
            peer.send(out.cic, ANM)
            caller.isup(ANM, cic)
            resets.send(cic if resets is caller else out.cic, IsupMessageType.RSC)
            resets.isup(RLC)
            if resets is caller:
                assert peer.isup(REL).cause == 16
            else:
                assert caller.isup(REL, cic).cause == 41
        run.until(lambda: not run.core.requests)


def test_a_call_that_a_desk_exchange_begins_is_rejected() -> None:
    with both_sides() as (_run, _caller, peer):
        peer.send(9, IAM, called_number="15")
        assert peer.isup(REL, 9).cause == 29


def test_a_standing_call_outlives_its_client_association() -> None:
    with both_sides() as (run, caller, peer):
        caller.send(1, IAM, called_number="15")
        out = peer.isup(IAM)
        peer.send(out.cic, ANM)
        caller.isup(ANM, 1)
        caller.reset()
        front: Any = run.core.frontends[0]
        run.until(lambda: len(front.associations) == 0)
        peer.send(out.cic, REL, cause=16)
        run.until(lambda: not run.core.requests)
        assert client(run).isup(REL, 1).cause == 16


def test_sip_calls_reach_m3ua_desk_exchanges_and_the_other_way_round() -> None:
    sip_port, m3ua_port = Listening(), Listening()
    described = configured(behind("m1", m3ua_port, 2, DESK))
    with running(target("d1", sip_port.address, 1), operator=described) as run:
        binary_peer, m3ua_peer = sip_port.desk(), desk(m3ua_port)
        run.until(lambda: len([g for g in run.core.decision_module.trunk_groups.values() if g.size > 0]) == 2)
        caller, sip = client(run), Caller(run.port)
        caller.send(1, IAM, called_number="12", uui=b"o")
        sent = binary_peer.take(lambda m: m.message_type == binary.SET_UP)
        assert (sent.class_name, sent.number, sent.session_description) == ("check", "12", b"o")
        tell(binary_peer, binary.ANSWER, f"{sent.call_id:016x}", session_description=b"a")
        assert caller.isup(ANM, 1).uui == b"a"
        sip.invite(CALL, dest=2, body=b"o")
        out = m3ua_peer.isup(IAM)
        m3ua_peer.send(out.cic, ANM, uui=b"a")
        assert (sip.answer(CALL).status, out.uui) == (200, b"o")


@pytest.mark.parametrize("over_sip", [False, True])
def test_a_peer_stalled_in_the_middle_of_a_message_gets_nothing_late(over_sip: bool) -> None:
    """A desk exchange reads nothing and sends half a message, with set-ups queued behind; then it drains."""
    port, bus = Listening(receive_buffer=2048), BusStand()
    line = target("m1", port.address, 1, signalling="m3ua", point_code=DESK)
    with running(operator=configured(), bus=bus.port.address) as run:
        bus.accept()
        bus.tell(news(2, line))
        peer, caller = desk(port), Placing(run, over_sip)
        run.until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size == 10
            )
        )
        caller.place(1)
        out = peer.isup(IAM)
        back: Any = run.core.backends["m3ua"]
        stream = back.trunk_groups[1].association.stream
        beats = 0
        while run.look(lambda: stream.flushed):  # its echoes fill the way to the peer
            peer.say(MessageType.BEAT, HEARTBEAT=b"x" * 8000)
            beats += 1
            assert beats < 1000
        half = peer.frame(IsupMessage(out.cic, ANM, uui=b"answer"))
        peer.sock.sendall(half[:20])
        for cic in (2, 3, 4):
            caller.place(cic)
        run.until(
            lambda: (
                len([u for u in back.trunk_groups[1].calls_by_cic.values() if stream.is_unsent(u.call_id)])
                == 3
            )
        )
        bus.tell(news(3, line | {"state": "terminating"}))
        ended = sorted(caller.answer() for _ in range(3))  # at once: nothing had left
        assert ended == [(n, "refused") for n in (2, 3, 4)]
        peer.sock.sendall(half[20:])
        assert caller.answer() == (1, "stands")
        peer.say(MessageType.BEAT, HEARTBEAT=b"after")
        message = peer.take()
        while message.parameters.get(ParameterTag.HEARTBEAT) != b"after":
            assert (
                message.message_type == MessageType.BEAT_ACK
            )  # no set-up, and no release of one, came behind
            message = peer.take()
        caller.nothing_more()
        assert len(run.core.requests) == 1


@pytest.mark.parametrize("over_sip", [False, True])
def test_a_reset_during_a_processor_swap_ends_every_call_once(over_sip: bool) -> None:
    """The old processor drains beside the new one, and resets its association in the middle of calls."""
    ports, bus = (Listening(), Listening()), BusStand()
    old_line = target("m1", ports[0].address, 1, signalling="m3ua", point_code=DESK)
    booted = int(time.time() * 1000) - 60_000
    new_line = target("m2", ports[1].address, 1, signalling="m3ua", point_code=OTHER, boot_ms=booted)
    with running(operator=configured(), bus=bus.port.address) as run:
        bus.accept()
        bus.tell(news(2, old_line))
        old, caller = desk(ports[0]), Placing(run, over_sip)
        run.until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size == 10
            )
        )
        for cic in (1, 2, 3):
            caller.place(cic)
        outs = [old.isup(IAM).cic for _ in range(3)]
        old.send(outs[0], ANM)
        assert caller.answer()[1] == "stands"  # one stands, two are out
        bus.tell(news(3, old_line | {"state": "terminating"}, new_line))
        new = desk(ports[1], OTHER)
        run.until(lambda: run.core.decision_module.in_service[1].entry.endpoint_id == 2)
        began = time.monotonic()
        old.reset()
        first, second = new.isup(IAM), new.isup(IAM)
        assert time.monotonic() - began >= 0.3  # the release pause
        new.send(first.cic, ANM, uui=b"new")
        new.send(second.cic, REL, cause=17)
        assert sorted(caller.answer()[1] for _ in range(2)) == ["refused", "stands"]
        bus.tell(news(4, old_line | {"state": "terminated"}))
        assert caller.cut() in (1, 2, 3)  # what stood on the old one
        caller.nothing_more()
        assert len(run.core.requests) == 1


def _final(caller: M3uaPeer) -> Any:
    while True:
        message = read_isup(m3ua.decode_data(caller.wants(MessageType.DATA)).user_data)
        if message is not None and message.message_type in (ANM, REL):
            return message


def test_an_association_lost_before_any_list_news_pauses_and_clears_its_circuits() -> None:
    port = Listening()
    with running(operator=configured(behind("m1", port, 1, DESK))) as run:
        peer = desk(port)
        run.until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size == 10
            )
        )
        caller = client(run)
        caller.send(1, IAM, called_number="15")
        out = peer.isup(IAM)
        peer.reset()
        peer = desk(port)
        assert peer.isup(REL, out.cic).cause == 16
        peer.send(out.cic, RLC)
        again = peer.isup(IAM)  # the route is as good as before: tried once more, after the pause
        assert again.cic != out.cic
        peer.reset()
        peer = desk(port)
        peer.isup(REL, again.cic)
        peer.send(again.cic, RLC)
        peer.send(peer.isup(IAM).cic, REL, cause=34)
        assert caller.isup(REL, 1).cause == 34
        run.until(lambda: run.core.decision_module.trunk_groups[1].free == 10)


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        (m3ua.encode(m3ua.Message(MessageType.ASPAC)), ErrorCode.UNEXPECTED_MESSAGE),
        (m3ua.encode_data(m3ua.ProtocolData(CLIENT, OWN, b"\1\0\x10\0")), ErrorCode.UNEXPECTED_MESSAGE),
        (bytes.fromhex("0100630100000008"), ErrorCode.UNSUPPORTED_CLASS),
        (bytes.fromhex("0200030100000008"), ErrorCode.INVALID_VERSION),
    ],
)
def test_errors_before_the_handshake(sent: bytes, code: ErrorCode) -> None:
    with running(operator=configured()) as run:
        front: Any = run.core.frontends[0]
        peer = M3uaPeer(Caller(front.listener.port).sock, CLIENT, OWN)
        peer.sock.sendall(sent)
        assert peer.wants(MessageType.ERR).uint32(ParameterTag.ERROR_CODE) == code
        if code != ErrorCode.INVALID_VERSION:
            peer.up()  # the association goes on
        else:
            assert peer.closed()


@pytest.mark.parametrize(
    ("sent", "message_type"),
    [
        (m3ua.encode_data(m3ua.ProtocolData(CLIENT, OWN, b"\1")), MessageType.ERR),
        (m3ua.encode_data(m3ua.ProtocolData(CLIENT, OWN, b"\1\0\x10\0"), routing_context=9), MessageType.ERR),
        (
            m3ua.encode_data(m3ua.ProtocolData(CLIENT, OWN, b"\1\0\x10\0", service_indicator=3)),
            MessageType.ERR,
        ),
        (m3ua.encode_data(m3ua.ProtocolData(CLIENT, 999, b"\1\0\x10\0")), MessageType.DUNA),
        (m3ua.encode(m3ua.Message(MessageType.BEAT)), MessageType.BEAT_ACK),
        (m3ua.encode(m3ua.Message(MessageType.ASPIA)), MessageType.ASPIA_ACK),
        (m3ua.encode(m3ua.Message(MessageType.ASPDN)), MessageType.ASPDN_ACK),
    ],
)
def test_management_messages_once_active(sent: bytes, message_type: MessageType) -> None:
    with both_sides() as (_run, caller, _peer):
        caller.sock.sendall(sent)
        assert caller.take().message_type == message_type


def test_a_client_stalled_in_the_middle_of_a_message_holds_up_no_other() -> None:
    with both_sides() as (run, stalled, peer):
        half = stalled.frame(IsupMessage(1, IAM, called_number="15"))
        stalled.sock.sendall(half[:30])
        other = client(run)
        other.send(2, IAM, called_number="15")
        peer.send(peer.isup(IAM).cic, ANM)
        other.isup(ANM, 2)
        stalled.sock.sendall(half[30:])
        peer.send(peer.isup(IAM).cic, ANM)
        stalled.isup(ANM, 1)


def test_a_silent_peer_is_cut_off_by_missed_heartbeats() -> None:
    file = configured()
    with running(operator=replace(file, m3ua=replace(file.m3ua, heartbeat=100_000_000))) as run:
        peer = client(run)
        assert peer.wants(MessageType.BEAT).parameters[ParameterTag.HEARTBEAT]
        assert peer.closed()


def test_a_reload_takes_up_desk_exchanges_and_numbers_and_leaves_calls_standing() -> None:
    ports = [Listening(), Listening()]
    first, both = behind("d1", ports[0], 1, DESK), behind("d2", ports[1], 2, OTHER)
    with running(operator=configured(first)) as run:
        desk = M3uaPeer(ports[0].accept(), DESK, OWN).let_up()
        caller = client(run)
        run.until(lambda: run.core.decision_module.trunk_groups[1].size > 0)
        caller.send(1, IAM, called_number="11")
        desk.send(desk.isup(IAM).cic, ANM)
        caller.isup(ANM, 1)
        controller = run.controller
        run.look(lambda: controller.reload(controller.config, configured(first, both)))
        other = M3uaPeer(ports[1].accept(), OTHER, OWN).let_up()
        run.until(
            lambda: (
                2 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[2].size > 0
            )
        )
        caller.send(2, IAM, called_number="21")
        other.send(other.isup(IAM).cic, ANM)
        caller.isup(ANM, 2)
        run.look(lambda: controller.reload(controller.config, configured(both)))
        assert caller.isup(REL).cic == 1  # its exchange is listed no more


def test_peers_that_say_nothing_or_half_a_message_lose_their_places_to_clients(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(m3ua_association, "UNFINISHED_NS", 600_000_000)
    monkeypatch.setattr(m3ua_frontend, "MAX_CLIENTS", 3)
    port = Listening()
    with running(operator=configured(behind("m1", port, 1, DESK))) as run:
        peer, good = desk(port), client(run)
        run.until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size > 0
            )
        )
        front: Any = next(f for f in run.core.frontends if type(f).__name__ == "M3uaFrontend")
        silent = [Caller(front.listener.port) for _ in range(8)]
        silent[-1].sock.sendall(b"\1\0\3")
        assert all(s.closed() for s in silent)
        good.send(1, IAM, called_number="15")
        peer.send(peer.isup(IAM).cic, ANM)
        good.isup(ANM, 1)
        good.sock.sendall(b"\1\0\3")  # half a message, which BEATs could not end
        assert good.closed() and run.core.requests  # no association owns a call that stands
        peer.sock.sendall(b"\1\0\3")
        desk(port)


def test_calls_on_a_peer_that_vanished_are_released_within_the_limit() -> None:
    port = Listening()
    with running(operator=configured(behind("m1", port, 1, DESK))) as run:
        peer, good = desk(port), client(run)
        run.until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size > 0
            )
        )
        good.send(1, IAM, called_number="15")
        peer.send(peer.isup(IAM).cic, ANM)
        good.isup(ANM, 1)
        vanished = time.monotonic()
        port.sock.listen(0)  # a full queue answers no more than a machine that is gone
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", port.port))
        assert good.isup(REL, 1).cause == 41
        assert time.monotonic() - vanished < 8.05
