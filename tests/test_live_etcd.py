"""The exchange list in etcd, against a stand-in of its JSON gateway."""

from __future__ import annotations

import base64
from typing import Any

import orjson

from arrowrail.wire.binary import messages as binary
from tests.live import LIMIT_S, Caller, Listening, operator, running, set_up, target, tell

PREFIX = "/arrowrail/desks/"
CALL = "00000000000000a1"


class Gateway:
    """Answers a range, then holds the watch that follows it open."""

    def __init__(self) -> None:
        self.port = Listening()

    def accept(self) -> None:
        self.sock = self.port.accept()
        self.sock.settimeout(LIMIT_S)
        self.rest = b""

    def request(self) -> tuple[bytes, Any]:
        while b"\r\n\r\n" not in self.rest:
            self.rest += self.sock.recv(4096)
        head, _, self.rest = self.rest.partition(b"\r\n\r\n")
        length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        while len(self.rest) < length:
            self.rest += self.sock.recv(4096)
        body, self.rest = self.rest[:length], self.rest[length:]
        return head.split(b" ")[1], orjson.loads(body)

    def answer_range(self, revision: int, *lines: dict[str, Any]) -> int:
        """Serve one range and the beginning of its watch; returns the revision the watch starts from."""
        path, asked = self.request()
        assert path == b"/v3/kv/range" and base64.b64decode(asked["key"]).decode() == PREFIX
        body = orjson.dumps({"header": {"revision": str(revision)}, "kvs": [kv(line) for line in lines]})
        self.sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        path, asked = self.request()
        assert path == b"/v3/watch"
        self.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.say({"header": {"revision": str(revision)}, "created": True})
        return int(asked["create_request"]["start_revision"])

    def say(self, result: dict[str, Any]) -> None:
        line = orjson.dumps({"result": result}) + b"\n"
        self.sock.sendall(b"%x\r\n%s\r\n" % (len(line), line))

    def put(self, revision: int, line: dict[str, Any]) -> None:
        self.say({"header": {"revision": str(revision)}, "events": [{"kv": kv(line)}]})


def kv(line: dict[str, Any]) -> dict[str, str]:
    pair = (PREFIX + line["uid"]).encode(), orjson.dumps(line)
    return dict(zip(("key", "value"), (base64.b64encode(p).decode() for p in pair), strict=True))


def test_the_list_is_ranged_watched_and_ranged_again_after_a_compaction() -> None:
    gateway, desk = Gateway(), Listening()
    here = target("e1", desk.address, 1)
    described = operator(etcd={"enabled": True, "address": gateway.port.address})
    with running(operator=described) as run:
        gateway.accept()
        assert gateway.answer_range(7, here) == 8
        peer, caller = desk.desk(), Caller(run.port)
        run.until(
            lambda: (
                1 in run.core.decision_module.trunk_groups
                and run.core.decision_module.trunk_groups[1].size > 0
            )
        )
        caller.invite(CALL)
        set_up(peer, CALL)
        tell(peer, binary.ANSWER, CALL)
        assert caller.answer(CALL).status == 200
        gateway.put(8, here | {"state": "terminating"})
        run.until(lambda: not run.core.decision_module.in_service)
        caller.invite("00000000000000b2")  # a drain from here counts as one from the bus
        assert caller.answer("00000000000000b2").status == 503
        gateway.say({"header": {"revision": "9"}, "canceled": True, "compact_revision": "9"})
        gateway.accept()
        assert gateway.answer_range(12) == 13  # it went while nobody watched
        assert caller.bye(CALL).call_id == CALL
        gateway.sock.close()
        gateway.accept()
        assert gateway.answer_range(20, target("e2", desk.address, 1)) == 21
        run.until(lambda: len(run.core.decision_module.in_service) == 1)
        key = base64.b64encode((PREFIX + "e2").encode()).decode()
        gateway.say({"header": {"revision": "21"}, "events": [{"type": "DELETE", "kv": {"key": key}}]})
        run.until(lambda: not run.core.decision_module.in_service)
