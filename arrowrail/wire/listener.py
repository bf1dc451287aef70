"""The listening socket of a front, within the limit on descriptors."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable

from loguru import logger

from arrowrail.loop import READ, Loop
from arrowrail.state.address import parse_address

FULL = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
AT_ONCE = 16  # accepted in one go: a flood holds up no calls, and who speaks is read before who comes next


class Listener:
    """Accepts while there is room; else closes the idlest connection, or leaves callers in the backlog."""

    def __init__(
        self,
        loop: Loop,
        address: str,
        accepted: Callable[[socket.socket], object],
        room: Callable[[], bool],
        close_idlest: Callable[[], bool],
    ) -> None:
        self._loop, self._accepted, self._room, self._close_idlest = loop, accepted, room, close_idlest
        host, port = parse_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._sock = socket.create_server((host, port), family=family, backlog=512)
        self._sock.setblocking(False)
        self.port: int = self._sock.getsockname()[1]
        self._paused = True
        self.resume()

    def resume(self) -> None:
        """A connection has closed: there may be room again."""
        if self._paused:
            self._paused = False
            self._loop.watch(self._sock, READ, self._accept)

    def close(self) -> None:
        self._loop.unwatch(self._sock)
        self._sock.close()

    def _accept(self, _mask: int) -> None:
        for _ in range(AT_ONCE):
            try:
                sock, _address = self._sock.accept()
            except BlockingIOError:
                return
            except OSError as why:
                if why.errno not in FULL:
                    continue  # the caller was gone before it was accepted
                # Guards against EMFILE spinning the loop: the connection stays in the backlog.
                logger.warning("no descriptor for a caller: {}", why)
                if not self._close_idlest():
                    self._pause()
                    return
                continue
            # Room is made once somebody has come, not ahead: else the last place would always stay empty.
            full = not self._room() and not self._close_idlest()
            try:
                self._accepted(sock)
            except OSError as why:  # reset before its options could be set
                logger.debug("a connection was gone at once: {}", why)
                sock.close()
            if full:
                self._pause()
                return

    def _pause(self) -> None:
        self._paused = True
        self._loop.unwatch(self._sock)
