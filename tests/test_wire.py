"""Parsers and encoders: tables of cases, each fed as a whole and byte by byte."""

from __future__ import annotations

import base64
from collections.abc import Callable
from typing import Any

import orjson
import pytest

from arrowrail.core.requests import FAILED, REFUSED, FinalResponse, SetUpParams
from arrowrail.state.endpoints import EndpointEntry, EndpointRegistry
from arrowrail.state.slots import SlotTable
from arrowrail.state.timers import TimerQueue
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary.messages import BinaryError, BinaryMessage
from arrowrail.wire.binary.outcomes import release_outcome
from arrowrail.wire.bus import messages as bus
from arrowrail.wire.etcd import messages as etcd
from arrowrail.wire.m3ua import causes, isup
from arrowrail.wire.m3ua import messages as m3ua
from arrowrail.wire.m3ua.isup import IsupError, IsupMessage, IsupMessageType
from arrowrail.wire.m3ua.messages import (
    ErrorCode,
    M3uaError,
    Message,
    MessageType,
    ParameterTag,
    ProtocolData,
)
from arrowrail.wire.sip import messages as sip
from arrowrail.wire.sip.invite import parse_invite


def parse_both_ways(make: Callable[[], Callable[[bytes], Any]], data: bytes) -> list[Any]:
    """Parse the data as a whole and byte by byte, and return the messages, which must be the same."""
    whole = list(make()(data))
    feed, split = make(), []
    for at in range(len(data)):
        split += list(feed(data[at : at + 1]))
    assert repr(split) == repr(whole)
    return whole


def test_sip_messages_back_to_back() -> None:
    data = (
        b"\r\n\r\nINVITE sip:7f@net SIP/2.0\r\nVia: SIP/2.0/TCP a\r\nv: SIP/2.0/TCP b\r\ni: 9b1f\r\n"
        b"CSeq: 1 INVITE\r\nSubject: voice\r\n more\r\nl: 4\r\n\r\nbody"
        b"SIP/2.0 200 OK\r\nCall-ID: 9b1f\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n"
    )
    first, second = parse_both_ways(lambda: sip.SipParser().feed, data)
    assert (first.method, first.uri, first.call_id, first.body) == ("INVITE", "sip:7f@net", "9b1f", b"body")
    assert first.vias == ["SIP/2.0/TCP a", "SIP/2.0/TCP b"] and first.headers["subject"] == "voice more"
    assert (second.status, second.cseq_method) == (200, "BYE")


@pytest.mark.parametrize(
    ("head", "status", "fatal"),
    [
        (b"INVITE sip:1@net SIP/2.0\r\nCSeq: 1 INVITE\r\n", 400, True),
        (b"INVITE sip:1@net SIP/2.0\r\nContent-Length: -1\r\n", 400, True),
        (b"INVITE sip:1@net SIP/2.0\r\nContent-Length: 1\r\nContent-Length: 2\r\n", 400, True),
        (b"INVITE sip:1@net SIP/2.0\r\nContent-Length: 16384\r\n", 413, True),
        (b"INVITE sip:1@net SIP/2.0\r\nContent-Length: 0\r\nno colon\r\n", 400, False),
        (b"INVITE sip:1@net HTTP/1.1\r\nContent-Length: 0\r\n", 400, False),
        (b"INVITE sip:\xff@net SIP/2.0\r\nContent-Length: 0\r\n", 400, False),
    ],
)
def test_sip_malformed(head: bytes, status: int, fatal: bool) -> None:
    (found,) = parse_both_ways(lambda: sip.SipParser().feed, head + b"\r\n")
    assert isinstance(found, sip.Malformed) and (found.status, found.fatal) == (status, fatal)


INVITE = {
    "call-id": "9b1f03aa5c7e2d41",
    "subject": "voice",
    "x-patience": "1500",
    "x-facts": "dest:2;width:3",
}


@pytest.mark.parametrize(
    ("changes", "uri", "expected"),
    [
        ({}, "sip:7f@net", SetUpParams("9b1f03aa5c7e2d41", "voice", "7f", 0x7F, 2, 3, 1_500_000_001, b"x")),
        (
            {"x-facts": "dest:1;via:4;transit:1;again:1", "x-retry": "1"}, "sip:0a@net",
            SetUpParams(
                "9b1f03aa5c7e2d41", "voice", "0a", 10, 1, 1, 1_500_000_001, b"x", True, True, True, 4
            ),
        ),
        ({"x-facts": "width:1"}, "sip:7f@net", None),
        ({"x-facts": "dest:x"}, "sip:7f@net", None),
        ({"x-patience": "-1"}, "sip:7f@net", None),
        ({"subject": None}, "sip:7f@net", None),
        ({"call-id": "xyz"}, "sip:7f@net", None),
        ({}, "sip:nobody@net", None),
    ],
)  # fmt: skip
def test_invite_fields(changes: dict[str, Any], uri: str, expected: SetUpParams | None) -> None:
    headers = {k: v for k, v in (INVITE | changes).items() if v is not None}
    message = sip.SipMessage("INVITE", uri, headers=headers, body=b"x")
    if expected is not None:
        assert parse_invite(message, 1) == expected
    else:
        with pytest.raises(ValueError):
            parse_invite(message, 1)


@pytest.mark.parametrize(
    "message",
    [
        BinaryMessage(
            binary.SET_UP, 5, class_name="voice", number="7f", timeout_ms=9, session_description=b"\0\xff"
        ),
        BinaryMessage(binary.ANSWER, 2**64 - 1, session_description=b"d" * 16000),
        BinaryMessage(binary.RELEASE, 1, cause=34, reason="processor_full", retry_after_ms=1500),
        BinaryMessage(binary.GROUP_STATE, 0, free=3.0, size=7.0),
        BinaryMessage(binary.PROBE_RESULT, 0, cause=1),
        BinaryMessage(binary.RELEASE_ACK, 8),
    ],
)
def test_binary_round_trip(message: BinaryMessage) -> None:
    data = binary.encode(message)
    assert parse_both_ways(lambda: binary.BinaryParser().feed, data * 2) == [message, message]
    assert int.from_bytes(data[:2], "big") == len(data) - 2


@pytest.mark.parametrize(
    "raw",
    [
        "0008 0c 00000000000000",  # shorter than a header
        "4001 0c",  # over the size limit
        "0009 0c 0000000000000001",  # a release without a cause
        "000b 09 0000000000000001 ae00",  # a truncated parameter header
        "000d 09 0000000000000001 ae0005 41",  # a parameter beyond the end of the message
        "000d 01 0000000000000001 840001 41",  # a timeout that is not a number
    ],
)
def test_binary_malformed(raw: str) -> None:
    with pytest.raises(BinaryError):
        binary.BinaryParser().feed(bytes.fromhex(raw.replace(" ", "")))


@pytest.mark.parametrize(
    ("cause", "reason", "retry_after_ms", "before_answer", "expected_cause", "after_answer"),
    [
        (34, "group_full", 0, "turned_away", 1, "served"),
        (34, "tandem_refused", 0, "turned_away", 2, "served"),
        (34, "destination_full", 0, "turned_away", 18, "served"),
        (34, "processor_full", 250, "turned_away", 3 + 16 * 250, "served"),
        (17, "user_busy", 0, "server_error", 4, "served"),
        (47, "", 0, "server_error", 0, "served"),
        (102, "group_full", 0, "not_sent", 1, "served"),
        (41, "", 0, "connection_lost", 0, "connection_lost"),
        (16, "", 0, "server_error", 0, "served"),
    ],
)
def test_binary_releases(
    cause: int, reason: str, retry_after_ms: int, before_answer: str, expected_cause: int, after_answer: str
) -> None:
    outcome = release_outcome(
        BinaryMessage(binary.RELEASE, 1, cause=cause, reason=reason, retry_after_ms=retry_after_ms)
    )
    assert (outcome.before_answer, outcome.cause, outcome.after_answer) == (
        before_answer,
        expected_cause,
        after_answer,
    )


EVENT = (
    b'{"offset":4,"topology":{"all":true,"targets":'
    b'[{"uid":"u","endpoint":"a:1","pod_group":2,"state":"in_service","boot_ms":3}]}}'
)
ENTRY = EndpointEntry("u", "a:1", "", 2, "in_service", 3_000_000)


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n: \n\nid: 4\r\ndata: " + EVENT + b"\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"%x\r\ndata:%s\n\n\r\n" % (len(EVENT) + 7, EVENT),
    ],
)
def test_bus_stream(answer: bytes) -> None:
    (event,) = parse_both_ways(lambda: bus.StreamParser().feed, answer)
    assert event == bus.BusEvent(4, True, (ENTRY,))


@pytest.mark.parametrize(
    "answer",
    [
        b"HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\nno",
        b"no http at all\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\ndata: {\n\n",
        b"HTTP/1.1 200 OK\r\n\r\ndata: []\n\n",
        b'HTTP/1.1 200 OK\r\n\r\ndata: {"topology":{"targets":[]}}\n\n',
        b"HTTP/1.1 200 OK\r\n\r\ndata: " + b"x" * (bus.MAX_EVENT_SIZE + 1),
    ],
)
def test_bus_stream_errors(answer: bytes) -> None:
    with pytest.raises(bus.BusError):
        bus.StreamParser().feed(answer)


def test_invalid_bus_entry_hides_no_other_and_terminates_none() -> None:
    with_invalid_entries = EVENT.replace(b'"targets":[', b'"targets":[{"uid":"w"},7,')
    assert bus.parse_event(with_invalid_entries.decode()) == bus.BusEvent(4, False, (ENTRY,))


LABEL = ProtocolData(1, 2, b"\x05\x00\x10\x00", sls=3)


def test_m3ua_header_and_padding() -> None:
    data = m3ua.encode(Message(MessageType.BEAT, {ParameterTag.HEARTBEAT: b"12345"}))
    assert data.hex() == "0100030300000014" + "00090009" + "3132333435000000"
    full = data + m3ua.encode_data(LABEL, 100, 7)
    beat, carried = parse_both_ways(lambda: m3ua.M3uaParser().feed, full)
    assert beat.parameters == {ParameterTag.HEARTBEAT: b"12345"}
    assert (
        carried.uint32(ParameterTag.ROUTING_CONTEXT),
        carried.uint32(ParameterTag.NETWORK_APPEARANCE),
    ) == (100, 7)
    assert m3ua.decode_data(carried) == LABEL


@pytest.mark.parametrize(
    ("raw", "code", "fatal"),
    [
        ("0200030300000008", ErrorCode.INVALID_VERSION, True),
        ("0100030300000007", ErrorCode.PROTOCOL_ERROR, True),
        ("0100030300010000", ErrorCode.PROTOCOL_ERROR, True),
        ("0100630100000008", ErrorCode.UNSUPPORTED_CLASS, False),
        ("0100036300000008", ErrorCode.UNSUPPORTED_TYPE, False),
        ("010003030000000c00090003", ErrorCode.PARAMETER_FIELD, False),
        ("010003030000000c00090010", ErrorCode.PARAMETER_FIELD, False),
    ],
)
def test_m3ua_malformed(raw: str, code: ErrorCode, fatal: bool) -> None:
    follow = m3ua.encode(Message(MessageType.ASPUP))
    found = m3ua.M3uaParser().feed(bytes.fromhex(raw) + follow)
    assert isinstance(found[0], M3uaError) and (found[0].code, found[0].fatal) == (code, fatal)
    assert len(found) == (1 if fatal else 2)  # after a non-fatal error the next message is parsed


@pytest.mark.parametrize(
    ("message", "raw"),
    [
        (IsupMessage(5, IsupMessageType.IAM, 0x0B, 3, "09921"), "0500010060010b03020005831090290" + "1"),
        (IsupMessage(0xFFF, IsupMessageType.ANM, 0, 0, uui=b"ab"), "ff0f09012003046162" + "00"),
        (IsupMessage(1, IsupMessageType.ACM, 0, 0), "010006161400"),
        (IsupMessage(2, IsupMessageType.REL, 0, 0, cause=34, congestion=1), "02000c02040280a227010100"),
        (IsupMessage(3, IsupMessageType.RLC, 0, 0), "03001000"),
        (IsupMessage(3, IsupMessageType.RSC, 0, 0), "030012"),
        (IsupMessage(4, IsupMessageType.IAM, 10, 0, "ABCDE0", uui=b"x" * 254), ""),
    ],
)
def test_isup_round_trip(message: IsupMessage, raw: str) -> None:
    data = isup.encode(message)
    assert isup.decode(data) == message
    if raw:
        assert data.hex() == raw


@pytest.mark.parametrize(
    "raw", ["0500", "05000100", "0500010060010b0300", "0500010060010b030209", "02000c020001", "0300100120ff"]
)
def test_isup_malformed(raw: str) -> None:
    with pytest.raises(IsupError):
        isup.decode(bytes.fromhex(raw))


def test_isup_skips_other_message_types_and_rejects_too_long_descriptions() -> None:
    assert isup.decode(bytes.fromhex("010017")) is None
    with pytest.raises(IsupError):
        isup.encode(IsupMessage(1, IsupMessageType.ANM, uui=b"x" * 255))


@pytest.mark.parametrize(
    ("response", "cause"),
    [
        (FinalResponse(REFUSED), 34),
        (FinalResponse(REFUSED, outcome="turned_away", cause=1), 34),
        (FinalResponse(REFUSED, outcome="turned_away", cause=3 + 16 * 700), 42),
        (FinalResponse(REFUSED, outcome="turned_away", cause=18), 42),
        (FinalResponse(REFUSED, outcome="server_error", cause=4), 17),
        (FinalResponse(REFUSED, outcome="no_connection"), 27),
        (FinalResponse(REFUSED, outcome="connection_lost"), 38),
        (FinalResponse(FAILED, outcome="no_answer"), 102),
        (FinalResponse(FAILED, outcome="turned_away", cause=1), 41),
    ],
)
def test_release_causes_of_final_responses(response: FinalResponse, cause: int) -> None:
    assert causes.release_cause(response) == cause


def test_no_cause_means_both_refused_and_failed() -> None:
    failed = {*causes.FAILED_CAUSES.values(), causes.DEFAULT_FAILED_CAUSE}
    assert failed.isdisjoint(causes.REFUSED_CAUSES.values())


@pytest.mark.parametrize(
    ("cause", "before_answer", "cause_code", "after_answer"),
    [
        (34, "turned_away", 1, "connection_lost"),
        (42, "turned_away", 3, "connection_lost"),
        (17, "server_error", 4, "connection_lost"),
        (41, "connection_lost", 0, "connection_lost"),
        (16, "server_error", 0, "served"),
        (99, "server_error", 0, "connection_lost"),
    ],
)
def test_release_outcomes_of_desk_exchanges(
    cause: int, before_answer: str, cause_code: int, after_answer: str
) -> None:
    outcome = causes.release_outcome(cause)
    assert (outcome.before_answer, outcome.cause, outcome.after_answer) == (
        before_answer,
        cause_code,
        after_answer,
    )


def key_value(key: str, value: Any) -> dict[str, str]:
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(orjson.dumps(value)).decode(),
    }


ENTRY_VALUE = {"endpoint": "a:1", "pod_group": 2, "state": "in_service", "boot_ms": 3}


def test_etcd_range_and_watch() -> None:
    body = orjson.dumps(
        {
            "header": {"revision": "7"},
            "kvs": [key_value("/d/u", ENTRY_VALUE), key_value("/d/bad", {"state": "?"})],
        }
    )
    assert etcd.read_range(body) == etcd.ListUpdate(7, (ENTRY,))
    events = [
        {"kv": key_value("/d/u", ENTRY_VALUE)},
        {"type": "DELETE", "kv": {"key": key_value("/d/w", 0)["key"]}},
    ]
    line = orjson.dumps({"result": {"header": {"revision": "9"}, "events": events}}) + b"\n"
    created = orjson.dumps({"result": {"header": {"revision": "7"}, "created": True}}) + b"\n"
    found = parse_both_ways(lambda: etcd.WatchParser("/d/").feed, created + line)
    assert found[0] == etcd.ListUpdate(7, ())
    assert found[1].entries == (ENTRY, EndpointEntry("w", "", "", -1, "terminated", 0))


@pytest.mark.parametrize(
    ("line", "failure"),
    [
        ({"result": {"canceled": True, "compact_revision": "9"}}, etcd.WatchCanceled),
        ({"result": {"header": {"revision": "1"}, "canceled": True}}, etcd.WatchCanceled),
        ({"error": {"message": "no"}}, etcd.EtcdError),
        ({"result": {}}, etcd.EtcdError),
    ],
)
def test_etcd_watch_ends(line: dict[str, Any], failure: type[Exception]) -> None:
    with pytest.raises(failure):
        etcd.WatchParser("/d/").feed(orjson.dumps(line) + b"\n")


@pytest.mark.parametrize(("prefix", "end"), [(b"/d/", b"/d0"), (b"a\xff", b"b"), (b"\xff", b"\0")])
def test_etcd_range_end(prefix: bytes, end: bytes) -> None:
    assert etcd.range_end(prefix) == end


def test_reused_slot_has_a_new_handle() -> None:
    table: SlotTable[str] = SlotTable()
    first = table.add("a")
    assert table.remove(first) == "a" and table.remove(first) is None
    second = table.add("b")
    assert (table.get(first), table.get(second), len(table), list(table)) == (None, "b", 1, ["b"])


def test_timers_run_in_order_and_cancelled_ones_do_not() -> None:
    timers, fired = TimerQueue(), list[int]()
    for due_ns in (30, 10, 20, 10):
        timers.schedule(due_ns, lambda due_ns=due_ns: fired.append(due_ns))  # type: ignore[misc]
    timers.schedule(15, lambda: fired.append(15)).cancel()

    def schedule_early_timer() -> None:
        timers.schedule(5, lambda: fired.append(5))

    def failing_callback() -> None:
        raise RuntimeError("must not keep the other timers from firing")

    timers.schedule(5, failing_callback)
    timers.schedule(10, schedule_early_timer)  # set by a timer: fires in the next iteration, though due
    timers.now = 20
    timers.run_due()
    assert (fired, timers.next_due_ns()) == ([10, 10, 20], 5)


def test_registry_reports_changes_only_and_snapshots_cover_one_source() -> None:
    registry = EndpointRegistry()
    other_entry = EndpointEntry("v", "a:2", "", 3, "in_service", 0)
    assert [endpoint.endpoint_id for endpoint in registry.apply(1, "bus", True, [ENTRY])] == [1]
    assert registry.apply(2, "bus", False, [ENTRY]) == []
    assert [endpoint.endpoint_id for endpoint in registry.apply(3, "etcd", True, [other_entry])] == [2]
    (endpoint,) = registry.apply(4, "bus", True, [])
    assert (
        endpoint.endpoint_id, endpoint.entry.state, endpoint.entry.exchange, endpoint.drain_notified_ns,
    ) == (1, "terminated", 2, 4)  # fmt: skip
    assert registry.apply(5, "bus", False, [EndpointEntry("never", "", "", -1, "terminated", 0)]) == []
