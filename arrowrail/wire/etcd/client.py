"""Client of the exchange list in etcd: reads the key range, then watches it from the next revision on."""

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

RANGE_TIMEOUT_NS = 5_000 * MS
# A watch is silent while nothing changes, so silence is no proof of a failure: after this time the list is
# read again.
SILENCE_TIMEOUT_NS = 60_000 * MS
SOURCE = "etcd"


class EtcdClient:
    """Keeps one connection, which sends a range request and then a watch request.

    Each connection starts with the range, so that no gap, compaction or canceled watch loses a change.
    """

    def __init__(self, loop: Loop, core: Core, address: str, prefix: str) -> None:
        self.loop, self.core, self.address, self.prefix = loop, core, address, prefix
        self.backoff_ns = MIN_BACKOFF_NS
        self.stream: Stream | None = None
        self._body_parser = ResponseBodyParser()
        self._range_body = bytearray()
        self._watch_parser: etcd.WatchParser | None = None
        self._silence_timer: Timer | None = None
        self._watch_started_ns = 0

    def start(self) -> None:
        self._body_parser, self._range_body, self._watch_parser = ResponseBodyParser(), bytearray(), None
        try:
            self.stream = connect(self.loop, self, self.address)
        except OSError as error:  # out of file descriptors
            self.loop.timers.schedule(self.loop.now, partial(self.lost, error))
            return
        self.stream.send(etcd.range_request(self.address, self.prefix))
        self._restart_silence_timer(RANGE_TIMEOUT_NS)

    def change_source(self, address: str, prefix: str) -> None:
        """Read the list at another address or prefix; its range shows which entries differ."""
        if (address, prefix) == (self.address, self.prefix):
            return
        self.address, self.prefix, self.backoff_ns = address, prefix, MIN_BACKOFF_NS
        if self.stream is not None:  # else the next attempt is scheduled already and uses the new address
            self._disconnect(None)

    def connected(self) -> None:
        pass  # the range request is queued already

    def received(self, data: bytes) -> None:
        try:
            body = self._body_parser.feed(data)
            if self._watch_parser is None:
                self._receive_range(body)
            else:
                self._restart_silence_timer(SILENCE_TIMEOUT_NS)
                for update in self._watch_parser.feed(body):
                    self.core.update_endpoints(SOURCE, False, update.entries)
        except (HttpError, etcd.EtcdError) as error:
            logger.warning("etcd: {}", error)
            self._disconnect(OSError(errno.EPROTO, str(error)))
            return
        if self._body_parser.complete:
            self._disconnect(None)

    def _receive_range(self, body: bytes) -> None:
        """Collect the range response; once it is complete, apply it and start the watch."""
        self._range_body += body
        if len(self._range_body) > etcd.MAX_RESPONSE_SIZE:
            raise etcd.EtcdError("range response exceeds the size limit")
        if not self._body_parser.complete or self.stream is None:
            return
        update = etcd.read_range(bytes(self._range_body))
        self.core.update_endpoints(SOURCE, True, update.entries)
        self._watch_started_ns = self.loop.now
        self._body_parser, self._watch_parser = ResponseBodyParser(), etcd.WatchParser(self.prefix)
        self.stream.send(etcd.watch_request(self.address, self.prefix, update.revision + 1))
        self._restart_silence_timer(SILENCE_TIMEOUT_NS)

    def _restart_silence_timer(self, timeout_ns: int) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        error = OSError(errno.ETIMEDOUT, "no data from etcd")
        self._silence_timer = self.loop.timers.schedule(
            self.loop.now + timeout_ns, lambda: self._disconnect(error)
        )

    def _disconnect(self, error: OSError | None) -> None:
        if self.stream is not None:
            self.stream.fail(error)

    def lost(self, _error: OSError | None) -> None:
        self.stream = None
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        # The backoff is reset only after a watch that lasted, so that a gateway that answers each range and
        # ends each watch at once is not flooded with requests.
        if self._watch_parser is not None and self.loop.now - self._watch_started_ns > MAX_BACKOFF_NS:
            self.backoff_ns = MIN_BACKOFF_NS
        self.loop.timers.schedule(self.loop.now + self.backoff_ns, self.start)
        self.backoff_ns = min(2 * self.backoff_ns, MAX_BACKOFF_NS)
