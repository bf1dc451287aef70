"""etcd's v3 API over its JSON gateway: range and watch, from JSON to list news and back."""

from __future__ import annotations

import base64
from dataclasses import dataclass, field
from typing import Any

import orjson

from arrowrail.state.endpoints import TERMINATED, EndpointEntry
from arrowrail.wire.bus.messages import entry_from_json

MAX_RESPONSE_SIZE = 1024 * 1024


class EtcdError(Exception):
    """An answer that can't be used; a range begins anew."""


class WatchCanceled(EtcdError):
    """The revision asked for is gone, or the watch was cancelled: what was missed is not to be had."""


@dataclass(frozen=True, slots=True)
class ListUpdate:
    revision: int
    entries: tuple[EndpointEntry, ...]


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def range_end(prefix: bytes) -> bytes:
    """The first key behind all that begin with the prefix, as etcd's clients compute it."""
    for at in range(len(prefix) - 1, -1, -1):
        if prefix[at] < 0xFF:
            return prefix[:at] + bytes((prefix[at] + 1,))
    return b"\0"  # all keys from the prefix on


def _post(host: str, path: str, body: dict[str, Any]) -> bytes:
    text = orjson.dumps(body)
    head = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
    return head.encode() + f"Content-Length: {len(text)}\r\n\r\n".encode() + text


def range_request(host: str, prefix: str) -> bytes:
    key = prefix.encode()
    return _post(host, "/v3/kv/range", {"key": _b64(key), "range_end": _b64(range_end(key))})


def watch_request(host: str, prefix: str, revision: int) -> bytes:
    key = prefix.encode()
    create = {
        "key": _b64(key), "range_end": _b64(range_end(key)), "start_revision": str(revision),
        "progress_notify": True,
    }  # fmt: skip
    return _post(host, "/v3/watch", {"create_request": create})


def read_range(body: bytes) -> ListUpdate:
    """The whole list and the revision at which it was read.

    A key whose value makes no sense is passed over: one bad entry must not hide the others.
    """
    try:
        answer = orjson.loads(body)
        revision = int(answer["header"]["revision"])
        entries = [_read_entry(kv) for kv in answer.get("kvs") or ()]
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as wrong:
        raise EtcdError(f"range: {wrong!r}") from wrong
    return ListUpdate(revision, tuple(entry for entry in entries if entry is not None))


@dataclass(slots=True)
class WatchParser:
    """The watch's stream: one JSON object a line."""

    prefix: str
    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, body: bytes) -> list[ListUpdate]:
        self._rest += body
        if len(self._rest) > MAX_RESPONSE_SIZE:
            raise EtcdError("an answer over the limit")
        *lines, rest = self._rest.split(b"\n")
        self._rest = bytearray(rest)
        return [self._read(line) for line in lines if line.strip()]

    def _read(self, line: bytes | bytearray) -> ListUpdate:
        try:
            outer = orjson.loads(line)
            if "error" in outer:
                raise EtcdError(f"watch: {outer['error']}")
            result = outer["result"]
            if result.get("canceled") or int(result.get("compact_revision") or 0):
                raise WatchCanceled(f"watch ended: {result.get('cancel_reason') or 'compacted'}")
            events = [self._event(e) for e in result.get("events") or ()]
            return ListUpdate(int(result["header"]["revision"]), tuple(e for e in events if e is not None))
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as wrong:
            raise EtcdError(f"watch: {wrong!r}") from wrong

    def _event(self, event: dict[str, Any]) -> EndpointEntry | None:
        if event.get("type", "PUT") == "DELETE":
            key = base64.b64decode(event["kv"]["key"]).decode()
            return EndpointEntry(_uid(key), "", "", -1, TERMINATED, 0)
        return _read_entry(event["kv"])


def _uid(key: str) -> str:
    return key.rpartition("/")[2]


def _read_entry(kv: dict[str, Any]) -> EndpointEntry | None:
    """An entry's value has the event bus's form; its key's last part is the uid."""
    try:
        value = orjson.loads(base64.b64decode(kv["value"]))
        return entry_from_json({"uid": _uid(base64.b64decode(kv["key"]).decode()), **value})
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None
