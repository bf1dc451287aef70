"""Follows the exchange list in etcd: a range, then a watch from the next revision."""

from __future__ import annotations

import errno
from functools import partial

from loguru import logger

from arrowrail.core.engine import Core
from arrowrail.core.requests import MS
from arrowrail.loop import Loop
from arrowrail.state.timers import Timer
from arrowrail.wire.etcd import messages as etcd
from arrowrail.wire.http import HttpError, ResponseBodyParser
from arrowrail.wire.reconnect import MAX_BACKOFF_NS, MIN_BACKOFF_NS
from arrowrail.wire.stream import Stream, connect

RANGE_TIMEOUT_NS = 5_000 * MS  # how long the range may take
SILENCE_TIMEOUT_NS = (
    60_000 * MS
)  # a watch says nothing while nothing changes: after so long the list is read anew
SOURCE = "etcd"


class EtcdClient:
    """Each connection begins with a range, so that no gap, compaction or cancelled watch loses a change."""

    def __init__(self, loop: Loop, core: Core, address: str, prefix: str) -> None:
        self.loop, self.core, self.address, self.prefix = loop, core, address, prefix
        self.pause_ns = MIN_BACKOFF_NS
        self.stream: Stream | None = None
        self._http = ResponseBodyParser()
        self._body = bytearray()
        self._watch: etcd.WatchParser | None = None
        self._quiet: Timer | None = None
        self._watched_since = 0

    def start(self) -> None:
        self._http, self._body, self._watch = ResponseBodyParser(), bytearray(), None
        try:
            self.stream = connect(self.loop, self, self.address)
        except OSError as why:  # no descriptor left
            self.loop.timers.schedule(self.loop.now, partial(self.lost, why))
            return
        self.stream.send(etcd.range_request(self.address, self.prefix))
        self._expect(RANGE_TIMEOUT_NS)

    def change_source(self, address: str, prefix: str) -> None:
        """Read on elsewhere: the range there tells what differs."""
        if (address, prefix) == (self.address, self.prefix):
            return
        self.address, self.prefix, self.pause_ns = address, prefix, MIN_BACKOFF_NS
        if self.stream is not None:  # else the next try is due soon, and goes to the new address
            self._cut(None)

    def connected(self) -> None:
        pass  # the range is queued already

    def received(self, data: bytes) -> None:
        try:
            body = self._http.feed(data)
            if self._watch is None:
                self._range(body)
            else:
                self._expect(SILENCE_TIMEOUT_NS)
                for news in self._watch.feed(body):
                    self.core.update_endpoints(SOURCE, False, news.entries)
        except (HttpError, etcd.EtcdError) as wrong:
            logger.warning("etcd: {}", wrong)
            self._cut(OSError(errno.EPROTO, str(wrong)))
            return
        if self._http.complete:
            self._cut(None)

    def _range(self, body: bytes) -> None:
        self._body += body
        if len(self._body) > etcd.MAX_RESPONSE_SIZE:
            raise etcd.EtcdError("a list over the limit")
        if not self._http.complete or self.stream is None:
            return
        news = etcd.read_range(bytes(self._body))
        self.core.update_endpoints(SOURCE, True, news.entries)
        self._watched_since = self.loop.now
        self._http, self._watch = ResponseBodyParser(), etcd.WatchParser(self.prefix)
        self.stream.send(etcd.watch_request(self.address, self.prefix, news.revision + 1))
        self._expect(SILENCE_TIMEOUT_NS)

    def _expect(self, within_ns: int) -> None:
        if self._quiet is not None:
            self._quiet.cancel()
        late = OSError(errno.ETIMEDOUT, "silent")
        self._quiet = self.loop.timers.schedule(self.loop.now + within_ns, lambda: self._cut(late))

    def _cut(self, why: OSError | None) -> None:
        if self.stream is not None:
            self.stream.fail(why)

    def lost(self, _why: OSError | None) -> None:
        self.stream = None
        if self._quiet is not None:
            self._quiet.cancel()
        # Guards against hammering a gateway that answers the range and ends each watch at once.
        if self._watch is not None and self.loop.now - self._watched_since > MAX_BACKOFF_NS:
            self.pause_ns = MIN_BACKOFF_NS
        self.loop.timers.schedule(self.loop.now + self.pause_ns, self.start)
        self.pause_ns = min(2 * self.pause_ns, MAX_BACKOFF_NS)
