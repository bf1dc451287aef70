"""SIP over TCP: bytes to messages and back.  No socket, no state but the unparsed rest."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_MESSAGE = 16 * 1024
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 408: "Request Timeout", 413: "Request Entity Too Large",
    405: "Method Not Allowed", 480: "Temporarily Unavailable", 481: "Call/Transaction Does Not Exist",
    487: "Request Terminated", 500: "Server Internal Error", 503: "Service Unavailable",
}  # fmt: skip


@dataclass(slots=True)
class SipMessage:
    """A request (``method`` and ``uri``) or a response (``status``)."""

    method: str = ""
    uri: str = ""
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case; the first of each name
    vias: list[str] = field(default_factory=list)  # all of them, in order: a response returns them
    body: bytes = b""

    @property
    def call_id(self) -> str:
        return self.headers.get("call-id", "")

    @property
    def cseq_method(self) -> str:
        return self.headers.get("cseq", "").rpartition(" ")[2]


@dataclass(slots=True)
class Malformed:
    """A message that can't be taken: ``status`` answers it where ``message`` can be named.

    ``fatal``: its end can't be found, so nothing behind it on the connection can be read either.
    """

    status: int
    reason: str
    message: SipMessage
    fatal: bool


COMPACT = {"i": "call-id", "v": "via", "l": "content-length", "s": "subject", "f": "from", "t": "to"}


class SipParser:
    """Feed it bytes as they come; it hands back whole messages."""

    __slots__ = ("_buffer", "broken")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self.broken = False  # a fatal message was met: the connection is of no more use

    @property
    def pending(self) -> bool:
        """Whether a message has begun that is not whole yet."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[SipMessage | Malformed]:
        if self.broken:
            return []
        self._buffer += data
        found: list[SipMessage | Malformed] = []
        while not self.broken:
            message = self._next()
            if message is None:
                break
            found.append(message)
            self.broken = isinstance(message, Malformed) and message.fatal
        return found

    def _next(self) -> SipMessage | Malformed | None:
        buffer = self._buffer
        blank = 0
        while buffer[blank : blank + 2] == b"\r\n":  # keep-alives between messages
            blank += 2
        if blank:
            del buffer[:blank]
        end = buffer.find(b"\r\n\r\n", 0, MAX_MESSAGE)
        if end < 0:
            if len(buffer) < MAX_MESSAGE:
                return None
            head = bytes(buffer[:MAX_MESSAGE])
            message, _ = read_head(head[: head.rfind(b"\r\n")])
            return Malformed(413, "headers over the limit", message, True)
        message, wrong = read_head(bytes(buffer[:end]))
        stated = message.headers.get("content-length")
        if stated is None or not (stated.isascii() and stated.isdigit()):
            return Malformed(400, "no usable Content-Length", message, True)
        total = end + 4 + int(stated[:12])
        if total > MAX_MESSAGE:
            return Malformed(413, "message over the limit", message, True)
        if len(buffer) < total:
            return None
        message.body = bytes(buffer[end + 4 : total])
        del buffer[:total]
        return Malformed(400, wrong, message, False) if wrong else message


def read_head(head: bytes) -> tuple[SipMessage, str]:
    """The first line and the headers, as far as they can be read, and what is wrong with them."""
    message, wrong = SipMessage(), ""
    try:
        text = head.decode("utf-8")
    except UnicodeDecodeError:
        text, wrong = head.decode("latin-1"), "not UTF-8"
    first, *lines = text.split("\r\n")
    parts = first.split(" ", 2)
    if len(parts) == 3 and parts[0] == "SIP/2.0" and parts[1].isascii() and parts[1].isdigit():
        message.status = int(parts[1][:3])
    elif len(parts) == 3 and parts[2] == "SIP/2.0" and parts[0].isalpha():
        message.method, message.uri = parts[0], parts[1]
    else:
        wrong = wrong or "no SIP first line"
    name = ""
    for line in lines:
        if line[:1] in (" ", "\t") and name:  # a folded line goes on with the header before it
            message.headers[name] += " " + line.strip()
            continue
        name, colon, value = line.partition(":")
        name = name.strip().lower()
        name = COMPACT.get(name, name)
        if not colon or not name:
            wrong, name = wrong or "a header without a name", ""
            continue
        if name == "via":
            message.vias.append(value.strip())
        if name == "content-length" and message.headers.get(name, value.strip()) != value.strip():
            wrong, message.headers[name] = "two lengths", ""
        message.headers.setdefault(name, value.strip())
    return message, wrong


def response(
    status: int, request: SipMessage, extra: Iterable[tuple[str, str]] = (), body: bytes = b""
) -> bytes:
    """The response to a request: it returns the headers by which the caller matches it."""
    lines = [f"SIP/2.0 {status} {REASONS.get(status, 'Failure')}"]
    lines += [f"Via: {via}" for via in request.vias]
    for name, shown in (("from", "From"), ("to", "To"), ("call-id", "Call-ID"), ("cseq", "CSeq")):
        if name in request.headers:
            lines.append(f"{shown}: {request.headers[name]}")
    lines += [f"{name}: {value}" for name, value in extra]
    return _whole(lines, body)


def request(
    method: str, uri: str, via: str, call_id: str, cseq: int, extra: Iterable[tuple[str, str]] = ()
) -> bytes:
    lines = [
        f"{method} {uri} SIP/2.0",
        f"Via: SIP/2.0/TCP {via}",
        f"Call-ID: {call_id}",
        f"CSeq: {cseq} {method}",
    ]
    lines += [f"{name}: {value}" for name, value in extra]
    return _whole(lines, b"")


def _whole(lines: list[str], body: bytes) -> bytes:
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
