"""A non-blocking TCP connection with a bounded send queue from which unsent messages can be removed."""

from __future__ import annotations

import contextlib
import errno
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from loguru import logger

from arrowrail.loop import READ, WRITE, Loop
from arrowrail.state.address import parse_address
from arrowrail.wire.input_stage import InputStage

READ_SIZE = 16 * 1024  # per connection and event loop iteration: a flooding peer doesn't starve the others
SLICE_READ_SIZE = 2 * 1024  # at a time, for a stream whose processing time is limited
LINGER_TIMEOUT_NS = 3_000_000_000  # for the peer of a closing stream to stop sending and close
MAX_CLOSING = 32  # closing streams at a time; beyond them the oldest is closed at once
MAX_QUEUED_BYTES = 256 * 1024  # a peer with more than this queued for it doesn't read: it is disconnected
# Keeps the unsent data in the kernel's buffer small, since messages there can no longer be removed.
NOTSENT_LOWAT = 4096
TCP_NOTSENT_LOWAT = getattr(socket, "TCP_NOTSENT_LOWAT", 25)
# State of a connection that the peer has not closed: the first byte of TCP_INFO (tcp(7), net/tcp_states.h).
TCP_ESTABLISHED = 1


class StreamHandler(Protocol):
    """Receives the events of a stream."""

    def connected(self) -> None: ...
    def received(self, data: bytes) -> None: ...
    def lost(self, error: OSError | None) -> None:
        """The connection ended, other than by ``close``; ``error`` is ``None`` if that was orderly."""


class _DiscardHandler:
    """The handler of a stream that is closing: it discards all further input."""

    def __init__(self, on_closed: Callable[[], None] | None) -> None:
        self._on_closed = on_closed

    def connected(self) -> None:
        pass

    def received(self, data: bytes) -> None:
        pass

    def lost(self, _error: OSError | None) -> None:
        if self._on_closed is not None:
            self._on_closed()


class QueuedMessage:
    """A message in the send queue; ``offset`` counts the bytes already written."""

    __slots__ = ("data", "offset", "tag")

    def __init__(self, data: bytes, tag: object) -> None:
        self.data, self.tag, self.offset = data, tag, 0


def connect(loop: Loop, handler: StreamHandler, address: str) -> Stream:
    """Start to connect; an immediate failure is reported from the event loop, like a refused connection."""
    host, port = parse_address(address)
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    stream = Stream(loop, sock, handler, True)
    error_number = sock.connect_ex((host, port))
    if error_number not in (0, errno.EINPROGRESS):
        loop.timers.schedule(loop.now, lambda: stream.fail(OSError(error_number, "connect")))
    return stream


class Stream:
    """A TCP connection driven by the event loop; events go to its handler."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        handler: StreamHandler,
        connecting: bool = False,
        max_queued_bytes: int = MAX_QUEUED_BYTES,
        pause_reading_bytes: int = MAX_QUEUED_BYTES,
        input_stage: InputStage | None = None,
    ) -> None:
        """Drive ``sock``; nothing is read while over ``pause_reading_bytes`` are queued for the peer.

        ``input_stage`` decides when its input is read; without one it is read as soon as there is some.
        """
        self._input_stage = input_stage
        self.loop, self.sock, self.handler = loop, sock, handler
        self.connecting = connecting
        self.open = True
        self.closing = False
        self._queue: deque[QueuedMessage] = deque()
        self.queued_bytes, self._max_queued_bytes = 0, max_queued_bytes
        self._pause_reading_bytes = pause_reading_bytes
        self.paused_since_ns = 0  # since when input is left unread; 0: it is read
        self._mask = 0
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, NOTSENT_LOWAT)
        self._update_watch()

    def send(self, data: bytes, tag: object = None) -> None:
        """Queue a complete message and write what the socket accepts.

        ``tag`` identifies the message for ``is_unsent`` and ``discard_unsent``.
        """
        if not self.open or self.closing:
            return
        self._queue.append(QueuedMessage(data, tag))
        self.queued_bytes += len(data)
        if self.queued_bytes > self._max_queued_bytes:
            # Deferred to the event loop: the connection must not close while its handler is sending on it.
            self.loop.timers.schedule(
                self.loop.now,
                lambda: self.fail(OSError(errno.ENOBUFS, "send queue limit exceeded")),
            )
        elif not self.connecting and len(self._queue) == 1:
            self._flush()
        elif not self.connecting:
            self._update_watch()

    def is_unsent(self, tag: object) -> bool:
        """Whether the message is queued and no byte of it has been written."""
        return any(message.tag == tag and message.offset == 0 for message in self._queue)

    @property
    def has_unread_input(self) -> bool:
        """Whether the kernel holds unread input; a close now would discard it and reset the connection."""
        try:
            return self.open and bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer has closed or reset the connection, even if input of before is still unread."""
        if not self.open:
            return True
        try:
            return self.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] != TCP_ESTABLISHED
        except (OSError, AttributeError):  # not a TCP connection, or a system without TCP_INFO
            return False

    @property
    def reading_paused(self) -> bool:
        """Whether input is left unread because the peer doesn't read what is queued for it."""
        return self.queued_bytes > self._pause_reading_bytes

    @property
    def flushed(self) -> bool:
        return not self._queue

    def discard_unsent(self, tag: object) -> bool:
        """Remove a queued message unless part of it has been written, which has to be completed."""
        for message in self._queue:
            if message.tag == tag and message.offset == 0:
                self._queue.remove(message)
                self.queued_bytes -= len(message.data)
                return True
        return False

    def close(self) -> None:
        if self.open:
            self._close_socket()
            self._queue.clear()

    def close_gracefully(self, on_closed: Callable[[], None] | None = None) -> None:
        """Write the queue, half-close, and discard input until the peer closes.

        Guards against losing the last message to the peer: a close with unread input resets the connection,
        and the reset can overtake data written before it.  Ends after ``LINGER_TIMEOUT_NS`` at the latest.
        """
        if not self.open or self.connecting or self.closing:
            self.close()
            if on_closed is not None:
                on_closed()
            return
        self.handler = _DiscardHandler(on_closed)
        self.half_close()

    def half_close(self) -> None:
        """Like ``close_gracefully``, but the handler still receives the input until the peer closes."""
        if not self.open or self.connecting or self.closing:
            return
        self.closing = True
        self.loop.closing_streams[self] = None
        if len(self.loop.closing_streams) > MAX_CLOSING:
            next(iter(self.loop.closing_streams)).fail(None)
        self.loop.timers.schedule(self.loop.now + LINGER_TIMEOUT_NS, lambda: self.fail(None))
        self._flush()

    def fail(self, error: OSError | None) -> None:
        """Close the connection and notify the handler, once.

        The queue is cleared afterwards, so that the handler can still ask which messages are unsent.
        """
        if self.open:
            self._close_socket()
            self.handler.lost(error)
            self._queue.clear()

    def _close_socket(self) -> None:
        self.open = False
        if self._input_stage is not None:
            self._input_stage.remove(self)
        self.loop.closing_streams.pop(self, None)
        self.loop.unwatch(self.sock)
        self.sock.close()

    def _update_watch(self) -> None:
        mask = WRITE if self.connecting or self.reading_paused else READ | (WRITE if self._queue else 0)
        if not self.reading_paused:
            self.paused_since_ns = 0
        elif not self.paused_since_ns:
            self.paused_since_ns = self.loop.now
        if mask != self._mask:
            self._mask = mask
            self.loop.watch(self.sock, mask, self._on_ready)

    def _on_ready(self, mask: int) -> None:
        try:
            if self.connecting:
                error_number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if error_number:
                    self.fail(OSError(error_number, "connect"))
                    return
                self.connecting = False
                self.handler.connected()
                self._flush()
                return
            if mask & READ and self._input_stage is not None and not self.closing:
                self._input_stage.readable(self)
            elif mask & READ:
                self._read(READ_SIZE)
            if mask & WRITE and self.open:
                self._flush()
        except Exception:
            self._fail_handler()

    def _fail_handler(self) -> None:
        """Guards against an error in the handler of one connection ending all others."""
        logger.exception("the handler of a connection raised an exception; closing the connection")
        self.fail(OSError(errno.EPROTO, "handler raised an exception"))

    def read_until(self, end_ns: int) -> None:
        """Read and handle input until there is no more of it, or that time has come."""
        try:
            while self.open and not self.closing and not self.reading_paused:
                if self._read(SLICE_READ_SIZE) < SLICE_READ_SIZE or self.loop.clock() >= end_ns:
                    return
        except Exception:
            self._fail_handler()

    def _read(self, size: int) -> int:
        """Read and handle at most ``size`` bytes; return how many there were."""
        try:
            data = self.sock.recv(size)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.fail(error)
            return 0
        if data:
            self.handler.received(data)
        else:
            self.fail(None)
        return len(data)

    def _flush(self) -> None:
        try:
            while self._queue and self.open:
                message = self._queue[0]
                message.offset += self.sock.send(memoryview(message.data)[message.offset :])
                if message.offset < len(message.data):
                    break
                self._queue.popleft()
                self.queued_bytes -= len(message.data)
        except BlockingIOError:
            pass
        except OSError as error:
            # Fails later, from the event loop: data that the peer sent before it disconnected is read first.
            logger.debug("write failed: {}", error)
            self.loop.timers.schedule(self.loop.now, partial(self.fail, error))
            return
        if not self.open:
            return
        self._update_watch()
        if self.closing and not self._queue:
            with contextlib.suppress(OSError):  # the peer has closed the connection already
                self.sock.shutdown(socket.SHUT_WR)
