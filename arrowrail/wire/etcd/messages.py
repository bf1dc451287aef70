"""Range and watch messages of etcd's v3 API over its JSON gateway, and the list updates they carry."""

from __future__ import annotations

import base64
from dataclasses import dataclass, field
from typing import Any

import orjson

from arrowrail.state.endpoints import TERMINATED, EndpointEntry
from arrowrail.wire.bus.messages import entry_from_json

MAX_RESPONSE_SIZE = 1024 * 1024  # of a range response and of one message of a watch


class EtcdError(Exception):
    """A response that cannot be used; the client starts again with a range."""


class WatchCanceled(EtcdError):
    """The watch was canceled, or its revision was compacted: the changes since then are not available."""


@dataclass(frozen=True, slots=True)
class ListUpdate:
    """Entries of the exchange list at a revision: all of a range, or the changes of a watch message."""

    revision: int
    entries: tuple[EndpointEntry, ...]


def _base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def range_end(prefix: bytes) -> bytes:
    """Return the end of the key range with this prefix (exclusive), computed as etcd's clients do."""
    for index in range(len(prefix) - 1, -1, -1):
        if prefix[index] < 0xFF:
            return prefix[:index] + bytes((prefix[index] + 1,))
    return b"\0"  # etcd's notation for all keys from the prefix on


def _post_request(host: str, path: str, body: dict[str, Any]) -> bytes:
    text = orjson.dumps(body)
    head = f"POST {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
    return head.encode() + f"Content-Length: {len(text)}\r\n\r\n".encode() + text


def range_request(host: str, prefix: str) -> bytes:
    key = prefix.encode()
    return _post_request(host, "/v3/kv/range", {"key": _base64(key), "range_end": _base64(range_end(key))})


def watch_request(host: str, prefix: str, revision: int) -> bytes:
    key = prefix.encode()
    create = {
        "key": _base64(key), "range_end": _base64(range_end(key)), "start_revision": str(revision),
        "progress_notify": True,
    }  # fmt: skip
    return _post_request(host, "/v3/watch", {"create_request": create})


def read_range(body: bytes) -> ListUpdate:
    """Decode the complete list and the revision at which it was read.

    A key with an invalid value is skipped, so that one bad entry does not hide the others.
    """
    try:
        response = orjson.loads(body)
        revision = int(response["header"]["revision"])
        entries = [_read_entry(kv) for kv in response.get("kvs") or ()]
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
        raise EtcdError(f"invalid range response: {error!r}") from error
    return ListUpdate(revision, tuple(entry for entry in entries if entry is not None))


@dataclass(slots=True)
class WatchParser:
    """Parses the response of a watch: one JSON object per line."""

    prefix: str
    _buffer: bytearray = field(default_factory=bytearray)

    def feed(self, body: bytes) -> list[ListUpdate]:
        self._buffer += body
        if len(self._buffer) > MAX_RESPONSE_SIZE:
            raise EtcdError("watch message exceeds the size limit")
        *lines, remainder = self._buffer.split(b"\n")
        self._buffer = bytearray(remainder)
        return [self._read_message(line) for line in lines if line.strip()]

    def _read_message(self, line: bytes | bytearray) -> ListUpdate:
        try:
            message = orjson.loads(line)
            if "error" in message:
                raise EtcdError(f"watch failed: {message['error']}")
            result = message["result"]
            if result.get("canceled") or int(result.get("compact_revision") or 0):
                raise WatchCanceled(f"watch ended: {result.get('cancel_reason') or 'compacted'}")
            entries = [self._read_event(event) for event in result.get("events") or ()]
            return ListUpdate(
                int(result["header"]["revision"]), tuple(entry for entry in entries if entry is not None)
            )
        except (orjson.JSONDecodeError, KeyError, TypeError, ValueError, AttributeError) as error:
            raise EtcdError(f"invalid watch message: {error!r}") from error

    def _read_event(self, event: dict[str, Any]) -> EndpointEntry | None:
        if event.get("type", "PUT") == "DELETE":
            key = base64.b64decode(event["kv"]["key"]).decode()
            return EndpointEntry(_uid_from_key(key), "", "", -1, TERMINATED, 0)
        return _read_entry(event["kv"])


def _uid_from_key(key: str) -> str:
    return key.rpartition("/")[2]


def _read_entry(kv: dict[str, Any]) -> EndpointEntry | None:
    """Decode an entry: its value is that of an event bus target, its uid is the last part of the key."""
    try:
        value = orjson.loads(base64.b64decode(kv["value"]))
        return entry_from_json({"uid": _uid_from_key(base64.b64decode(kv["key"]).decode()), **value})
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError):
        return None
