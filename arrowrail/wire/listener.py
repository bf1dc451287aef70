"""A listening socket that accepts connections within a connection limit."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from loguru import logger

from arrowrail.loop import READ, Loop
from arrowrail.state.address import parse_address

OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# Per event loop iteration: a flood of connections doesn't delay calls, and input on accepted connections is
# read before further ones are accepted.
MAX_ACCEPTS = 16


class Listener:
    """Accepts connections; at the limit it evicts an idle one or leaves new ones in the backlog."""

    def __init__(
        self,
        loop: Loop,
        address: str,
        on_accepted: Callable[[socket.socket], object],
        has_capacity: Callable[[], bool],
        evict_idle: Callable[[], bool],
    ) -> None:
        self._loop, self._on_accepted, self._has_capacity, self._evict_idle = (
            loop, on_accepted, has_capacity, evict_idle,
        )  # fmt: skip
        host, port = parse_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._sock = socket.create_server((host, port), family=family, backlog=512)
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self._paused = True
        self.resume()

    def resume(self) -> None:
        """Accept again after a pause; to be called when a connection has closed."""
        if self._paused:
            self._paused = False
            self._loop.watch(self._sock, READ, self._accept)

    def close(self) -> None:
        self._loop.unwatch(self._sock)
        self._sock.close()

    def _accept(self, _mask: int) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno not in OUT_OF_RESOURCES:
                    continue  # the peer closed the connection before it was accepted
                # Guards against a busy loop on EMFILE, since the connection stays in the backlog.
                logger.warning("cannot accept a connection: {}", error)
                if not self._evict_idle():
                    self._pause()
                    return
                continue
            # Evicts after accepting, not in advance: otherwise the last slot would always stay unused.
            at_limit = not self._has_capacity() and not self._evict_idle()
            try:
                self._on_accepted(sock)
            except OSError as error:  # reset before its socket options could be set
                logger.debug("an accepted connection failed at once: {}", error)
                sock.close()
            if at_limit:
                self._pause()
                return

    def _pause(self) -> None:
        self._paused = True
        self._loop.unwatch(self._sock)
