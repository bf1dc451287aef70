"""The exchange list in etcd, with a fake of etcd's JSON gateway."""

from __future__ import annotations

import base64
from typing import Any

import orjson

from arrowrail.wire.binary import messages as binary
from tests.live import (
    TIMEOUT_S,
    Caller,
    ListeningSocket,
    list_entry,
    operator_records,
    receive_set_up,
    running_controller,
    send_binary,
)

PREFIX = "/arrowrail/desks/"
CALL_ID = "00000000000000a1"


class EtcdGateway:
    """Answers one range request per connection and keeps the watch that follows it open."""

    def __init__(self) -> None:
        self.port = ListeningSocket()

    def accept(self) -> None:
        self.sock = self.port.accept()
        self.sock.settimeout(TIMEOUT_S)
        self.buffer = b""

    def read_request(self) -> tuple[bytes, Any]:
        while b"\r\n\r\n" not in self.buffer:
            self.buffer += self.sock.recv(4096)
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(self.buffer) < length:
            self.buffer += self.sock.recv(4096)
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return head.split(b" ")[1], orjson.loads(body)

    def answer_range(self, revision: int, *targets: dict[str, Any]) -> int:
        """Answer a range request and accept its watch; return the revision that the watch starts from."""
        path, request = self.read_request()
        assert path == b"/v3/kv/range" and base64.b64decode(request["key"]).decode() == PREFIX
        body = orjson.dumps(
            {"header": {"revision": str(revision)}, "kvs": [key_value(target) for target in targets]}
        )
        self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        path, request = self.read_request()
        assert path == b"/v3/watch"
        self.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.send_result({"header": {"revision": str(revision)}, "created": True})
        return int(request["create_request"]["start_revision"])

    def send_result(self, result: dict[str, Any]) -> None:
        line = orjson.dumps({"result": result}) + b"\n"
        self.sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))

    def send_put(self, revision: int, target: dict[str, Any]) -> None:
        self.send_result({"header": {"revision": str(revision)}, "events": [{"kv": key_value(target)}]})


def key_value(target: dict[str, Any]) -> dict[str, str]:
    pair = (PREFIX + target["uid"]).encode(), orjson.dumps(target)
    return dict(zip(("key", "value"), (base64.b64encode(part).decode() for part in pair), strict=True))


def test_list_is_read_watched_and_read_again_after_a_compaction() -> None:
    gateway, desk = EtcdGateway(), ListeningSocket()
    listed_target = list_entry("e1", desk.address, 1)
    records = operator_records(etcd={"enabled": True, "address": gateway.port.address})
    with running_controller(operator=records) as run:
        gateway.accept()
        assert gateway.answer_range(7, listed_target) == 8
        peer, caller = desk.accept_binary(), Caller(run.port)
        run.wait_until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size > 0
            )
        )
        caller.invite(CALL_ID)
        receive_set_up(peer, CALL_ID)
        send_binary(peer, binary.ANSWER, CALL_ID)
        assert caller.receive_response(CALL_ID).status == 200
        gateway.send_put(8, listed_target | {"state": "terminating"})
        run.wait_until(lambda: not run.core.decision_module.in_service)
        # A drain listed in etcd has the same effect as one on the event bus.
        caller.invite("00000000000000b2")
        assert caller.receive_response("00000000000000b2").status == 503
        gateway.send_result({"header": {"revision": "9"}, "canceled": True, "compact_revision": "9"})
        gateway.accept()
        assert gateway.answer_range(12) == 13  # the entry was deleted between the watches
        assert caller.receive_bye(CALL_ID).call_id == CALL_ID
        gateway.sock.close()
        gateway.accept()
        assert gateway.answer_range(20, list_entry("e2", desk.address, 1)) == 21
        run.wait_until(lambda: len(run.core.decision_module.in_service) == 1)
        key = base64.b64encode((PREFIX + "e2").encode()).decode()
        gateway.send_result(
            {"header": {"revision": "21"}, "events": [{"type": "DELETE", "kv": {"key": key}}]}
        )
        run.wait_until(lambda: not run.core.decision_module.in_service)
