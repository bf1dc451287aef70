"""Parser and encoder of SIP messages over TCP, without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

MAX_MESSAGE_SIZE = 16 * 1024
MAX_VIAS = 70  # Max-Forwards of RFC 3261 allows no longer way; later values are dropped
# All other header fields are free and are not kept, since their number and size are up to the peer.
KEPT_HEADERS = frozenset({
    "call-id", "content-length", "content-type", "cseq", "from", "reason", "subject", "to", "x-district",
    "x-facts", "x-later-ms", "x-patience", "x-retry",
})  # fmt: skip
REASON_PHRASES = {
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
    # By lower-case name, those of KEPT_HEADERS; the first value of each.
    headers: dict[str, str] = field(default_factory=dict)
    vias: list[str] = field(default_factory=list)  # Via values in order, to be copied to the response
    body: bytes = b""

    @property
    def held_bytes(self) -> int:
        """Size of the texts that are kept of the message."""
        return (
            len(self.uri) + len(self.body) + sum(map(len, self.headers.values())) + sum(map(len, self.vias))
        )

    @property
    def call_id(self) -> str:
        return self.headers.get("call-id", "")

    @property
    def cseq_method(self) -> str:
        return self.headers.get("cseq", "").rpartition(" ")[2]


@dataclass(slots=True)
class Malformed:
    """A message that can't be processed; ``status`` is the response to it if ``message`` identifies it.

    ``fatal``: the end of the message is unknown, so nothing after it on the connection can be parsed either.
    """

    status: int
    reason: str
    message: SipMessage
    fatal: bool


@dataclass(frozen=True, slots=True)
class ParsedHead:
    """The head of a message, and the sizes of the head and of the whole message in bytes."""

    message: SipMessage
    error: str  # empty if the head is valid
    size: int
    total_size: int


COMPACT_NAMES = {"i": "call-id", "v": "via", "l": "content-length", "s": "subject", "f": "from", "t": "to"}


class SipParser:
    """Incremental parser: takes bytes as they arrive and returns complete messages."""

    __slots__ = ("_buffer", "_head", "broken")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._head: ParsedHead | None = None  # of the message whose body is still incomplete
        self.broken = False  # after a fatal message: all further input is ignored

    @property
    def pending(self) -> bool:
        """Whether the buffer holds an incomplete message."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[SipMessage | Malformed]:
        if self.broken:
            return []
        self._buffer += data
        messages: list[SipMessage | Malformed] = []
        while not self.broken:
            message = self._next()
            if message is None:
                break
            messages.append(message)
            self.broken = isinstance(message, Malformed) and message.fatal
        return messages

    def _next(self) -> SipMessage | Malformed | None:
        buffer = self._buffer
        head = self._head
        if head is None:
            parsed = self._next_head()
            if parsed is None or isinstance(parsed, Malformed):
                return parsed
            head = self._head = parsed
        if len(buffer) < head.total_size:
            return None
        self._head = None
        message = head.message
        message.body = bytes(buffer[head.size : head.total_size])
        del buffer[: head.total_size]
        return Malformed(400, head.error, message, False) if head.error else message

    def _next_head(self) -> ParsedHead | Malformed | None:
        """Parse the next head, once: its body may arrive in many pieces."""
        buffer = self._buffer
        skipped = 0
        while buffer[skipped : skipped + 2] == b"\r\n":  # CRLF keep-alives between messages
            skipped += 2
        if skipped:
            del buffer[:skipped]
        end = buffer.find(b"\r\n\r\n", 0, MAX_MESSAGE_SIZE)
        if end < 0:
            if len(buffer) < MAX_MESSAGE_SIZE:
                return None
            head = bytes(buffer[:MAX_MESSAGE_SIZE])
            message, _ = parse_head(head[: head.rfind(b"\r\n")])
            return Malformed(413, "headers exceed the size limit", message, True)
        message, error = parse_head(bytes(buffer[:end]))
        content_length = message.headers.get("content-length")
        if content_length is None or not (content_length.isascii() and content_length.isdigit()):
            return Malformed(400, "Content-Length is missing or invalid", message, True)
        total = end + 4 + int(content_length[:12])
        if total > MAX_MESSAGE_SIZE:
            return Malformed(413, "message exceeds the size limit", message, True)
        return ParsedHead(message, error, end + 4, total)


def parse_head(head: bytes) -> tuple[SipMessage, str]:
    """Parse the start line and headers as far as possible; also return an error text, empty if valid."""
    message, error = SipMessage(), ""
    try:
        text = head.decode("utf-8")
    except UnicodeDecodeError:
        text, error = head.decode("latin-1"), "headers are not UTF-8"
    first, *lines = text.split("\r\n")
    parts = first.split(" ", 2)
    if len(parts) == 3 and parts[0] == "SIP/2.0" and parts[1].isascii() and parts[1].isdigit():
        message.status = int(parts[1][:3])
    elif len(parts) == 3 and parts[2] == "SIP/2.0" and parts[0].isalpha():
        message.method, message.uri = parts[0], parts[1]
    else:
        error = error or "invalid SIP start line"
    name = ""
    for line in lines:
        if line[:1] in (" ", "\t") and name:  # a folded line continues the previous header
            if name in message.headers:
                message.headers[name] += " " + line.strip()
            continue
        name, colon, value = line.partition(":")
        name = name.strip().lower()
        name = COMPACT_NAMES.get(name, name)
        if not colon or not name:
            error, name = error or "header line without a name", ""
            continue
        if name == "via" and len(message.vias) < MAX_VIAS:
            message.vias.append(value.strip())
        if name not in KEPT_HEADERS:
            continue
        if name == "content-length" and message.headers.get(name, value.strip()) != value.strip():
            error, message.headers[name] = "conflicting Content-Length headers", ""
        message.headers.setdefault(name, value.strip())
    return message, error


def response(
    status: int, request: SipMessage, extra_headers: Iterable[tuple[str, str]] = (), body: bytes = b""
) -> bytes:
    """Encode the response to a request, with the headers by which the caller matches it."""
    lines = [f"SIP/2.0 {status} {REASON_PHRASES.get(status, 'Failure')}"]
    lines += [f"Via: {via}" for via in request.vias]
    for name, header in (("from", "From"), ("to", "To"), ("call-id", "Call-ID"), ("cseq", "CSeq")):
        if name in request.headers:
            lines.append(f"{header}: {request.headers[name]}")
    lines += [f"{name}: {value}" for name, value in extra_headers]
    return _encode(lines, body)


def request(
    method: str, uri: str, via: str, call_id: str, cseq: int, extra_headers: Iterable[tuple[str, str]] = ()
) -> bytes:
    lines = [
        f"{method} {uri} SIP/2.0",
        f"Via: SIP/2.0/TCP {via}",
        f"Call-ID: {call_id}",
        f"CSeq: {cseq} {method}",
    ]
    lines += [f"{name}: {value}" for name, value in extra_headers]
    return _encode(lines, b"")


def _encode(lines: list[str], body: bytes) -> bytes:
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
