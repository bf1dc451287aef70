"""A complete call controller on loopback sockets, and stand-in callers, exchanges and event bus for tests.

Every wait is for a condition; its timeout is long enough that only a hang reaches it.
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

TIMEOUT_S = 10.0
MessageT = TypeVar("MessageT")
SDP = b"9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n"


def settings(**changes: Any) -> dict[str, Any]:
    """Return the platform's settings of a controller, with top-level keys replaced."""
    info = copy.deepcopy(INFO) | {"instances": 3}
    info["contract"]["drain-grace-ns"] = 500_000_000
    info["policy-limits"] |= {"may-cancel": True}
    return info | changes


def wait_until(condition: Callable[[], Any], description: str = "condition") -> None:
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, f"timed out while waiting for: {description}"
        time.sleep(0.002)


class Peer(Generic[MessageT]):
    """The remote side of one connection of the controller; reads it message by message."""

    def __init__(self, sock: socket.socket, parse: Callable[[bytes], list[Any]]) -> None:
        sock.settimeout(TIMEOUT_S)
        self.sock, self._parse = sock, parse
        self._pending: list[Any] = []

    def receive(self, matches: Callable[[MessageT], bool] = lambda m: True) -> MessageT:
        """Return the next message that matches; messages before it are discarded."""
        while True:
            while self._pending:
                message: MessageT = self._pending.pop(0)
                if matches(message):
                    return message
            data = self.sock.recv(65536)
            if not data:
                raise EOFError("the controller closed the connection")
            self._pending += self._parse(data)

    def wait_for_close(self) -> bool:
        """Read until the controller closes the connection; ``TimeoutError`` if it stays open."""
        try:
            self.receive(lambda m: False)
        except (EOFError, ConnectionResetError):
            return True
        return False

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.sock.close()


class Caller(Peer[sip.SipMessage]):
    """A SIP caller on one connection."""

    def __init__(self, port: int) -> None:
        super().__init__(socket.create_connection(("127.0.0.1", port)), sip.SipParser().feed)

    def send(
        self,
        method: str,
        call_id: str,
        *headers: str,
        body: bytes = b"",
        replacement: tuple[str, str] = ("", ""),
    ) -> None:
        """Send a request; ``replacement`` is a text of its header and the text to send in its place."""
        lines = [f"{method} sip:00000000000000ab@net SIP/2.0", "Via: SIP/2.0/TCP peer", f"Call-ID: {call_id}"]
        lines += [f"CSeq: 1 {method}", *headers, f"Content-Length: {len(body)}", "", ""]
        self.sock.sendall("\r\n".join(lines).replace(*replacement).encode() + body)

    def invite(
        self, call_id: str, exchange: int = 1, patience_ms: int = 8000, body: bytes = SDP,
        extra_facts: str = "", replacement: tuple[str, str] = ("", ""),
    ) -> None:  # fmt: skip
        self.send(
            "INVITE", call_id, "Subject: check", f"X-Patience: {patience_ms}",
            f"X-Facts: dest:{exchange};width:1;via:-1{extra_facts}", body=body, replacement=replacement,
        )  # fmt: skip

    def receive_response(self, call_id: str, method: str = "INVITE") -> sip.SipMessage:
        return self.receive(lambda m: m.status > 0 and m.call_id == call_id and m.cseq_method == method)

    def receive_bye(self, call_id: str) -> sip.SipMessage:
        return self.receive(lambda m: m.method == "BYE" and m.call_id == call_id)


class ListeningSocket:
    """A listening socket of a stand-in program; nothing is sent on a connection until a test accepts it."""

    def __init__(self, receive_buffer: int = 0) -> None:
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if receive_buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(16)
        self.sock.settimeout(TIMEOUT_S)
        self.port: int = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"

    def accept(self) -> socket.socket:
        return self.sock.accept()[0]

    def close_unaccepted(self) -> None:
        """Close the connections that are not accepted yet, as happens when a process ends."""
        self.sock.setblocking(False)
        try:
            while True:
                self.sock.accept()[0].close()
        except BlockingIOError:
            self.sock.settimeout(TIMEOUT_S)

    def accept_binary(self, free: int = 10) -> Peer[binary.BinaryMessage]:
        """Accept the next connection of a binary backend and report the state of the trunk group on it."""
        peer: Peer[binary.BinaryMessage] = Peer(self.accept(), binary.BinaryParser().feed)
        send_binary(peer, binary.GROUP_STATE, "0" * 16, free=free, size=10)
        return peer


def send_binary(peer: Peer[binary.BinaryMessage], message_type: int, call_id: str, **fields: Any) -> None:
    if message_type == binary.ANSWER:
        fields = {"session_description": SDP} | fields
    peer.sock.sendall(binary.encode(binary.BinaryMessage(message_type, int(call_id, 16), **fields)))


def receive_set_up(peer: Peer[binary.BinaryMessage], call_id: str) -> binary.BinaryMessage:
    return peer.receive(lambda m: m.message_type == binary.SET_UP and m.call_id == int(call_id, 16))


def receive_release(peer: Peer[binary.BinaryMessage], call_id: str) -> binary.BinaryMessage:
    return peer.receive(lambda m: m.message_type == binary.RELEASE and m.call_id == int(call_id, 16))


def list_entry(
    uid: str, address: str, exchange: int, state: str = "in_service", **fields: Any
) -> dict[str, Any]:
    """Return one entry of the list of exchanges, as the event bus sends it."""
    return {
        "uid": uid,
        "endpoint": address,
        "az": "z",
        "pod_group": exchange,
        "state": state,
        "boot_ms": 0,
    } | fields


def list_event(offset: int, *entries: dict[str, Any], snapshot: bool = False) -> dict[str, Any]:
    """Return one event of the event bus: a complete list (``snapshot``) or the changed entries."""
    return {"offset": offset, "topology": {"rev": offset, "all": snapshot, "targets": list(entries)}}


class RunningController:
    """A call controller in a thread of this process, so that tests can inspect its core."""

    def __init__(self, config: Config, operator: Controller | None, connections_per_exchange: int) -> None:
        self.controller = CallController(config, operator)
        backend: Any = self.controller.core.backends["binary"]
        backend.connections_per_exchange = connections_per_exchange
        self.core = self.controller.core
        self._stopping = False
        self._wake_receiver, self._wake_sender = socket.socketpair()
        self.controller.loop.watch(self._wake_receiver, 1, self._on_wake)
        self._submitted: queue.SimpleQueue[tuple[Callable[[], Any], queue.SimpleQueue[Any]]] = (
            queue.SimpleQueue()
        )
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
            while not self._stopping:
                self.controller.run_iteration()
                while not self._submitted.empty():
                    function, result = self._submitted.get()
                    result.put(function())
        except BaseException as failure:
            self.failure = failure

    def _on_wake(self, _mask: int) -> None:
        self._wake_receiver.recv(64)

    def run_in_loop(self, function: Callable[[], Any]) -> Any:
        """Call a function in the loop's thread between two iterations, so that no state changes under it."""
        result: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._submitted.put((function, result))
        self._wake_sender.send(b".")
        return result.get(timeout=TIMEOUT_S)

    def wait_until(self, condition: Callable[[], Any]) -> None:
        wait_until(lambda: self.run_in_loop(condition))

    def stop(self) -> None:
        self._stopping = True
        self._wake_sender.send(b".")
        self._thread.join(TIMEOUT_S)
        assert self.failure is None, self.failure
        self._wake_receiver.close()
        self._wake_sender.close()


@contextmanager
def running_controller(
    *entries: dict[str, Any], bus: str = "", operator: Controller | None = None, sockets: int = 1024,
    settings_json: dict[str, Any] | None = None, internal_errors: int = 0,
    connections_per_exchange: int = 1,
) -> Iterator[RunningController]:  # fmt: skip
    """Run a controller whose configuration lists these desk exchanges; at its end the core must have counted
    exactly ``internal_errors`` violated invariants.
    """
    known = (event_from_json(list_event(1, *entries, snapshot=True)),)
    config = Config(
        "n0",
        "127.0.0.1:0",
        7,
        sockets,
        bus,
        known,
        1,
        read_settings(settings_json or settings()),
        500_000_000,
    )
    run = RunningController(config, operator, connections_per_exchange)
    try:
        yield run
    finally:
        run.stop()
    assert run.core.internal_errors == internal_errors


class StandInBus:
    """A stand-in event bus that serves one reader at a time."""

    def __init__(self) -> None:
        self.listener = ListeningSocket()
        self.sock: socket.socket | None = None

    def accept(self) -> int:
        """Accept the next reader, and return the offset of the last event that it has received."""
        self.sock = self.listener.accept()
        self.sock.settimeout(TIMEOUT_S)
        head = b""
        while b"\r\n\r\n" not in head:
            head += self.sock.recv(4096)
        self.sock.sendall(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: \n\n"
        )
        line = next(part for part in head.split(b"\r\n") if part.lower().startswith(b"last-event-id:"))
        return int(line.split(b":")[1])

    def send_event(self, event: dict[str, Any]) -> None:
        assert self.sock is not None
        self.sock.sendall(b"id: %d\ndata: %s\n\n" % (event["offset"], json.dumps(event).encode()))

    def close(self) -> None:
        assert self.sock is not None
        self.sock.close()


class M3uaPeer(Peer[m3ua.Message]):
    """An M3UA peer, either a client or a desk exchange, with a point code."""

    def __init__(self, sock: socket.socket, own_point_code: int, remote_point_code: int) -> None:
        super().__init__(sock, m3ua.M3uaParser().feed)
        self.own_point_code, self.remote_point_code = own_point_code, remote_point_code

    def send_message(self, message_type: MessageType, **parameters: bytes) -> None:
        self.sock.sendall(
            m3ua.encode(Message(message_type, {ParameterTag[k]: v for k, v in parameters.items()}))
        )

    def expect(self, message_type: MessageType) -> m3ua.Message:
        return self.receive(lambda m: isinstance(m, Message) and m.message_type == message_type)

    def activate(self) -> M3uaPeer:
        """Bring the association up as a client does."""
        self.send_message(MessageType.ASPUP)
        self.expect(MessageType.ASPUP_ACK)
        self.send_message(MessageType.ASPAC)
        self.expect(MessageType.ASPAC_ACK)
        return self

    def accept_activation(self) -> M3uaPeer:
        """Answer the controller's activation of the association as a desk exchange does."""
        self.expect(MessageType.ASPUP)
        self.send_message(MessageType.ASPUP_ACK)
        self.expect(MessageType.ASPAC)
        self.send_message(MessageType.ASPAC_ACK)
        return self

    def encode_isup(self, message: IsupMessage) -> bytes:
        return m3ua.encode_data(
            ProtocolData(self.own_point_code, self.remote_point_code, write_isup(message))
        )

    def send_isup(self, cic: int, message_type: IsupMessageType, **fields: Any) -> None:
        self.sock.sendall(self.encode_isup(IsupMessage(cic, message_type, **fields)))

    def expect_isup(self, message_type: IsupMessageType, cic: int | None = None) -> IsupMessage:
        while True:
            message = read_isup(m3ua.decode_data(self.expect(MessageType.DATA)).user_data)
            if message is not None and message.message_type == message_type and cic in (None, message.cic):
                return message


def operator_records(**tables: Any) -> Controller:
    """Build the operator's records from plain tables; ``deadline_ms`` and ``heartbeat_ms`` are in ms."""
    m3ua_table = dict(tables.get("m3ua", {}))
    if "heartbeat_ms" in m3ua_table:
        m3ua_table["heartbeat"] = m3ua_table.pop("heartbeat_ms") * 1_000_000
    m3ua_table["classes"] = tuple(_bearer_rule(**c) for c in m3ua_table.get("classes", ()))
    m3ua_table["numbers"] = tuple(records.NumberPrefix(**n) for n in m3ua_table.get("numbers", ()))
    m3ua_table["desks"] = tuple(records.M3uaDesk(**d) for d in m3ua_table.get("desks", ()))
    return Controller(
        application="test", log=records.Log(**tables.get("log", {})),
        m3ua=records.ControllerM3ua(**m3ua_table), etcd=records.ControllerEtcd(**tables.get("etcd", {})),
    )  # fmt: skip


def _bearer_rule(name: str, deadline_ms: int, **fields: Any) -> records.BearerRule:
    return records.BearerRule(class_=name, deadline=deadline_ms * 1_000_000, **fields)


def to_json(value: Any) -> bytes:
    return orjson.dumps(value)
