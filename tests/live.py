"""A whole program on loopback sockets, and the stand-ins that tests put before and behind it.

Every wait is for a condition, with a limit that only a hang reaches.
"""

from __future__ import annotations

import copy
import json
import queue
import socket
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, Generic, TypeVar

import orjson

from arrowrail.config import records
from arrowrail.config.records import Controller
from arrowrail.run.config import Config
from arrowrail.run.main import CallController
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.bus.messages import event_from_json
from arrowrail.wire.m3ua import messages as m3ua
from arrowrail.wire.m3ua.isup import IsupMessage, IsupMessageType
from arrowrail.wire.m3ua.isup import decode as read_isup
from arrowrail.wire.m3ua.isup import encode as write_isup
from arrowrail.wire.m3ua.messages import Message, MessageType, ParameterTag, ProtocolData
from arrowrail.wire.sip import messages as sip
from tests.test_simhost import INFO
from trackhatch.simhost import read_settings

LIMIT_S = 10.0
M = TypeVar("M")
SDP = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"


def settings(**changes: Any) -> dict[str, Any]:
    info = copy.deepcopy(INFO) | {"instances": 3}
    info["contract"]["drain-grace-ns"] = 500_000_000
    info["policy-limits"] |= {"may-cancel": True}
    return info | changes


def wait_until(holds: Callable[[], Any], what: str = "condition") -> None:
    end = time.monotonic() + LIMIT_S
    while not holds():
        assert time.monotonic() < end, f"never came: {what}"
        time.sleep(0.002)


class Peer(Generic[M]):
    """One connection seen from outside, message by message."""

    def __init__(self, sock: socket.socket, feed: Callable[[bytes], list[Any]]) -> None:
        sock.settimeout(LIMIT_S)
        self.sock, self._feed = sock, feed
        self._ready: list[Any] = []

    def take(self, fits: Callable[[M], bool] = lambda m: True) -> M:
        """The next message that fits; others before it are passed over."""
        while True:
            while self._ready:
                message: M = self._ready.pop(0)
                if fits(message):
                    return message
            data = self.sock.recv(65536)
            if not data:
                raise EOFError("the program closed the connection")
            self._ready += self._feed(data)

    def closed(self) -> bool:
        """Read on until the program has closed this connection."""
        try:
            self.take(lambda m: False)
        except (EOFError, ConnectionResetError):
            return True
        return False

    def reset(self) -> None:
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class Caller(Peer[sip.SipMessage]):
    def __init__(self, port: int) -> None:
        super().__init__(socket.create_connection(("127.0.0.1", port)), sip.SipParser().feed)

    def send(
        self, method: str, call: str, *headers: str, body: bytes = b"", change: tuple[str, str] = ("", "")
    ) -> None:
        lines = [f"{method} sip:00000000000000ab@net SIP/2.0", "Via: SIP/2.0/TCP peer", f"Call-ID: {call}"]
        lines += [f"CSeq: 1 {method}", *headers, f"Content-Length: {len(body)}", "", ""]
        self.sock.sendall("\r\n".join(lines).replace(*change).encode() + body)

    def invite(
        self, call: str, dest: int = 1, patience: int = 8000, body: bytes = SDP, more: str = "",
        change: tuple[str, str] = ("", ""),
    ) -> None:  # fmt: skip
        self.send(
            "INVITE", call, "Subject: check", f"X-Patience: {patience}",
            f"X-Facts: dest:{dest};width:1;via:-1{more}", body=body, change=change,
        )  # fmt: skip

    def answer(self, call: str, method: str = "INVITE") -> sip.SipMessage:
        return self.take(lambda m: m.status > 0 and m.call_id == call and m.cseq_method == method)

    def bye(self, call: str) -> sip.SipMessage:
        return self.take(lambda m: m.method == "BYE" and m.call_id == call)


class Listening:
    """A stand-in's port; it speaks only on the connections that a test takes from it."""

    def __init__(self, receive_buffer: int = 0) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(16)
        self.sock.settimeout(LIMIT_S)
        self.port: int = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def accept(self) -> socket.socket:
        return self.sock.accept()[0]

    def forget_waiting(self) -> None:
        """Close the connections that nobody has accepted yet, as those of a process that has ended."""
        self.sock.setblocking(False)
        try:
            while True:
                self.sock.accept()[0].close()
        except BlockingIOError:
            self.sock.settimeout(LIMIT_S)

    def desk(self, free: int = 10) -> Peer[binary.BinaryMessage]:
        """The next connection of a binary back, told the state of the group at once."""
        peer: Peer[binary.BinaryMessage] = Peer(self.accept(), binary.BinaryParser().feed)
        tell(peer, binary.GROUP_STATE, "0" * 16, free=free, size=10)
        return peer


def tell(peer: Peer[binary.BinaryMessage], kind: int, call: str, **more: Any) -> None:
    if kind == binary.ANSWER:
        more = {"session_description": SDP} | more
    peer.sock.sendall(binary.encode(binary.BinaryMessage(kind, int(call, 16), **more)))


def set_up(peer: Peer[binary.BinaryMessage], call: str) -> binary.BinaryMessage:
    return peer.take(lambda m: m.message_type == binary.SET_UP and m.call_id == int(call, 16))


def release(peer: Peer[binary.BinaryMessage], call: str) -> binary.BinaryMessage:
    return peer.take(lambda m: m.message_type == binary.RELEASE and m.call_id == int(call, 16))


def target(uid: str, address: str, cell: int, state: str = "in_service", **more: Any) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": address,
        "az": "z",
        "pod_group": cell,
        "state": state,
        "boot_ms": 0,
    } | more


def news(offset: int, *targets: dict[str, Any], whole: bool = False) -> dict[str, Any]:
    return {"offset": offset, "topology": {"rev": offset, "all": whole, "targets": list(targets)}}


class Running:
    """The program in a thread of this process, so that tests can look at its core."""

    def __init__(self, config: Config, operator: Controller | None, per_desk: int) -> None:
        self.controller = CallController(config, operator)
        back: Any = self.controller.core.backends["binary"]
        back.connections_per_exchange = per_desk
        self.core = self.controller.core
        self._end = False
        self._inside, self._outside = socket.socketpair()
        self.controller.loop.watch(self._inside, 1, self._woken)
        self._asked: queue.SimpleQueue[tuple[Callable[[], Any], queue.SimpleQueue[Any]]] = queue.SimpleQueue()
        self.failure: BaseException | None = None
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.controller.start()
        self._thread.start()

    @property
    def port(self) -> int:
        assert self.controller.frontend.listener is not None
        return self.controller.frontend.listener.port

    def _run(self) -> None:
        try:
            while not self._end:
                self.controller.run_iteration()
                while not self._asked.empty():
                    look, answer = self._asked.get()
                    answer.put(look())
        except BaseException as failure:
            self.failure = failure

    def _woken(self, _mask: int) -> None:
        self._inside.recv(64)

    def look(self, look: Callable[[], Any]) -> Any:
        """Run it between two turns, in the loop's thread: nothing changes while it looks."""
        answer: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._asked.put((look, answer))
        self._outside.send(b".")
        return answer.get(timeout=LIMIT_S)

    def until(self, holds: Callable[[], Any]) -> None:
        wait_until(lambda: self.look(holds))

    def stop(self) -> None:
        self._end = True
        self._outside.send(b".")
        self._thread.join(LIMIT_S)
        assert self.failure is None, self.failure
        self._inside.close()
        self._outside.close()


@contextmanager
def running(
    *targets: dict[str, Any], bus: str = "", operator: Controller | None = None, sockets: int = 1024,
    info: dict[str, Any] | None = None, defects: int = 0, per_desk: int = 1,
) -> Iterator[Running]:  # fmt: skip
    """A program that was told of these desk exchanges; at the end no check of the core may have fired."""
    known = (event_from_json(news(1, *targets, whole=True)),)
    config = Config(
        "n0", "127.0.0.1:0", 7, sockets, bus, known, 1, read_settings(info or settings()), 500_000_000
    )
    run = Running(config, operator, per_desk)
    try:
        yield run
    finally:
        run.stop()
    assert run.core.internal_errors == defects


class BusStand:
    """The event bus: answers one read at a time."""

    def __init__(self) -> None:
        self.port = Listening()
        self.sock: socket.socket | None = None

    def accept(self) -> int:
        """Take the next read; returns the last event that the reader holds."""
        self.sock = self.port.accept()
        self.sock.settimeout(LIMIT_S)
        head = b""
        while b"\r\n\r\n" not in head:
            head += self.sock.recv(4096)
        self.sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: \n\n"
        )
        line = next(part for part in head.split(b"\r\n") if part.lower().startswith(b"last-event-id:"))
        return int(line.split(b":")[1])

    def tell(self, event: dict[str, Any]) -> None:
        assert self.sock is not None
        self.sock.sendall(b"id: %d\ndata: %s\n\n" % (event["offset"], json.dumps(event).encode()))

    def cut(self) -> None:
        assert self.sock is not None
        self.sock.close()


class M3uaPeer(Peer[m3ua.Message]):
    """A signalling peer of either side, with its own point code."""

    def __init__(self, sock: socket.socket, own: int, other: int) -> None:
        super().__init__(sock, m3ua.M3uaParser().feed)
        self.own, self.other = own, other

    def say(self, message_type: MessageType, **parameters: bytes) -> None:
        self.sock.sendall(
            m3ua.encode(Message(message_type, {ParameterTag[k]: v for k, v in parameters.items()}))
        )

    def wants(self, message_type: MessageType) -> m3ua.Message:
        return self.take(lambda m: isinstance(m, Message) and m.message_type == message_type)

    def up(self) -> M3uaPeer:
        """The handshake of a client."""
        self.say(MessageType.ASPUP)
        self.wants(MessageType.ASPUP_ACK)
        self.say(MessageType.ASPAC)
        self.wants(MessageType.ASPAC_ACK)
        return self

    def let_up(self) -> M3uaPeer:
        """The handshake of a desk exchange."""
        self.wants(MessageType.ASPUP)
        self.say(MessageType.ASPUP_ACK)
        self.wants(MessageType.ASPAC)
        self.say(MessageType.ASPAC_ACK)
        return self

    def frame(self, message: IsupMessage) -> bytes:
        return m3ua.encode_data(ProtocolData(self.own, self.other, write_isup(message)))

    def send(self, cic: int, message_type: IsupMessageType, **more: Any) -> None:
        self.sock.sendall(self.frame(IsupMessage(cic, message_type, **more)))

    def isup(self, message_type: IsupMessageType, cic: int | None = None) -> IsupMessage:
        while True:
            message = read_isup(m3ua.decode_data(self.wants(MessageType.DATA)).user_data)
            if message is not None and message.message_type == message_type and cic in (None, message.cic):
                return message


def operator(**tables: Any) -> Controller:
    """A controller's records from plain tables; times in ms under the names of before."""
    m = dict(tables.get("m3ua", {}))
    if "heartbeat_ms" in m:
        m["heartbeat"] = m.pop("heartbeat_ms") * 1_000_000
    m["classes"] = tuple(_rule(**c) for c in m.get("classes", ()))
    m["numbers"] = tuple(records.NumberPrefix(**n) for n in m.get("numbers", ()))
    m["desks"] = tuple(records.M3uaDesk(**d) for d in m.get("desks", ()))
    return Controller(
        application="test", log=records.Log(**tables.get("log", {})), m3ua=records.ControllerM3ua(**m),
        etcd=records.ControllerEtcd(**tables.get("etcd", {})),
    )  # fmt: skip


def _rule(name: str, deadline_ms: int, **more: Any) -> records.BearerRule:
    return records.BearerRule(class_=name, deadline=deadline_ms * 1_000_000, **more)


def as_json(value: Any) -> bytes:
    return orjson.dumps(value)
