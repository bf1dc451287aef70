"""A non-blocking TCP connection: bounded buffers, and messages that can still be taken back."""

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

READ_SIZE = 16 * 1024  # of one connection in one turn: a peer that floods waits its turn like the others
LINGER_NS = 3_000_000_000  # for a peer that was told its last word to stop sending and close
MOST_LEAVING = 32  # such peers at a time: beyond them the oldest is cut off
OUT_LIMIT = 256 * 1024  # a peer that lets this much pile up is not reading: it is cut off
# Little is handed to the kernel ahead of what the peer has room for: what it holds can't be taken back.
NOTSENT_LOWAT = 4096
TCP_NOTSENT_LOWAT = getattr(socket, "TCP_NOTSENT_LOWAT", 25)


class Owner(Protocol):
    def connected(self) -> None: ...
    def received(self, data: bytes) -> None: ...
    def lost(self, why: OSError | None) -> None:
        """The connection has ended by itself; ``None`` where the peer closed it in good order."""


class _Leaving:
    """Owns a stream that is finishing: what still comes is thrown away."""

    def __init__(self, closed: Callable[[], None] | None) -> None:
        self._closed = closed

    def connected(self) -> None:
        pass

    def received(self, data: bytes) -> None:
        pass

    def lost(self, _why: OSError | None) -> None:
        if self._closed is not None:
            self._closed()


class Unsent:
    __slots__ = ("data", "offset", "tag")

    def __init__(self, data: bytes, tag: object) -> None:
        self.data, self.tag, self.offset = data, tag, 0


def connect(loop: Loop, owner: Owner, address: str) -> Stream:
    """Begin to connect; an address that can't be tried is reported from the loop, like a refusal."""
    host, port = parse_address(address)
    sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    stream = Stream(loop, sock, owner, True)
    number = sock.connect_ex((host, port))
    if number not in (0, errno.EINPROGRESS):
        loop.timers.schedule(loop.now, lambda: stream.fail(OSError(number, "connect")))
    return stream


class Stream:
    def __init__(
        self, loop: Loop, sock: socket.socket, owner: Owner, connecting: bool = False, limit: int = OUT_LIMIT
    ) -> None:
        self.loop, self.sock, self.owner = loop, sock, owner
        self.connecting = connecting
        self.open = True
        self.closing = False
        self._out: deque[Unsent] = deque()
        self._size, self._limit = 0, limit
        self._mask = 0
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, NOTSENT_LOWAT)
        self._watch()

    def send(self, data: bytes, tag: object = None) -> None:
        """Queue a whole message and write what the peer has room for; ``tag`` names it for ``withdraw``."""
        if not self.open or self.closing:
            return
        self._out.append(Unsent(data, tag))
        self._size += len(data)
        if self._size > self._limit:
            # From the loop, so that no sender finds its own connection gone in the middle of a turn.
            self.loop.timers.schedule(
                self.loop.now, lambda: self.fail(OSError(errno.ENOBUFS, "peer reads nothing"))
            )
        elif not self.connecting and len(self._out) == 1:
            self._flush()

    def is_unsent(self, tag: object) -> bool:
        """Whether not one byte of the message has been written."""
        return any(item.tag == tag and item.offset == 0 for item in self._out)

    @property
    def has_unread_input(self) -> bool:
        """Whether input waits in the kernel: closing now would destroy it, and what answers it."""
        try:
            return self.open and bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    @property
    def flushed(self) -> bool:
        return not self._out

    def discard_unsent(self, tag: object) -> bool:
        """Take a message back that is still queued whole; half a message has to be finished."""
        for item in self._out:
            if item.tag == tag and item.offset == 0:
                self._out.remove(item)
                self._size -= len(item.data)
                return True
        return False

    def close(self) -> None:
        if self.open:
            self._shut()
            self._out.clear()

    def close_gracefully(self, closed: Callable[[], None] | None = None) -> None:
        """Write what is queued, half-close, and read on until the peer closes, for a last word to it.

        Guards against the last word being destroyed: a close with input unread resets the connection, and the
        reset can overtake what was written before it.  What comes is discarded, for ``LINGER_NS`` at most.
        """
        if not self.open or self.connecting or self.closing:
            self.close()
            if closed is not None:
                closed()
            return
        self.owner = _Leaving(closed)
        self.half_close()

    def half_close(self) -> None:
        """As ``finish``, but the owner still gets what comes until the peer closes."""
        if not self.open or self.connecting or self.closing:
            return
        self.closing = True
        self.loop.closing_streams[self] = None
        if len(self.loop.closing_streams) > MOST_LEAVING:
            next(iter(self.loop.closing_streams)).fail(None)
        self.loop.timers.schedule(self.loop.now + LINGER_NS, lambda: self.fail(None))
        self._flush()

    def fail(self, why: OSError | None) -> None:
        """End it and tell the owner, once.  The queue stays, so that the owner can ask what never left."""
        if self.open:
            self._shut()
            self.owner.lost(why)
            self._out.clear()

    def _shut(self) -> None:
        self.open = False
        self.loop.closing_streams.pop(self, None)
        self.loop.unwatch(self.sock)
        self.sock.close()

    def _watch(self) -> None:
        mask = WRITE if self.connecting else READ | (WRITE if self._out else 0)
        if mask != self._mask:
            self._mask = mask
            self.loop.watch(self.sock, mask, self._ready)

    def _ready(self, mask: int) -> None:
        try:
            if self.connecting:
                number = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
                if number:
                    self.fail(OSError(number, "connect"))
                    return
                self.connecting = False
                self.owner.connected()
                self._flush()
                return
            if mask & READ:
                self._read()
            if mask & WRITE and self.open:
                self._flush()
        except Exception:
            # Guards against a fault in the handling of one connection ending all others.
            logger.exception("a connection's handler failed")
            self.fail(OSError(errno.EPROTO, "handler failed"))

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError as why:
            self.fail(why)
            return
        if data:
            self.owner.received(data)
        else:
            self.fail(None)

    def _flush(self) -> None:
        try:
            while self._out and self.open:
                item = self._out[0]
                item.offset += self.sock.send(memoryview(item.data)[item.offset :])
                if item.offset < len(item.data):
                    break
                self._out.popleft()
                self._size -= len(item.data)
        except BlockingIOError:
            pass
        except OSError as why:
            # The read side tells the rest: what the peer said before it broke off is still worth hearing.
            logger.debug("write failed: {}", why)
            self.loop.timers.schedule(self.loop.now, partial(self.fail, why))
            return
        if not self.open:
            return
        self._watch()
        if self.closing and not self._out:
            with contextlib.suppress(OSError):  # the peer has gone already
                self.sock.shutdown(socket.SHUT_WR)
