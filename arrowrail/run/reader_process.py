"""The serving side of the reader: starts it, waits for it on the loop, and takes its result."""

from __future__ import annotations

import pickle
import subprocess
import sys
from collections.abc import Callable
from typing import Any

from arrowrail.loop import READ, Loop
from arrowrail.run.read_result import ReadResult
from arrowrail.state.timers import Timer

LONGEST_S = 60
MAX_RESULT = 64 << 20  # bytes of a result: an inventory of 10,000 exchanges is a tenth of it
CHUNK = 256 * 1024
Asked = tuple[Any, ...]  # the reader's kind and its arguments
Done = Callable[[ReadResult], None]


def _start(asked: Asked) -> subprocess.Popen[bytes]:
    child = subprocess.Popen(
        [sys.executable, "-m", "arrowrail.run.reader"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert child.stdin is not None
    child.stdin.write(pickle.dumps(asked))  # some kilobytes: the pipe holds them
    child.stdin.close()
    return child


def read_and_wait(*asked: Any) -> ReadResult:
    """At the start, before anything is served: wait for it."""
    child = _start(asked)
    assert child.stdout is not None
    with child.stdout:
        data = child.stdout.read(MAX_RESULT)
    try:
        return _result(data, child.wait(LONGEST_S))
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()
        return ReadResult(None, (f"not read within {LONGEST_S} s",))


def _result(data: bytes, code: int | None) -> ReadResult:
    if code != 0 or not data:
        return ReadResult(None, (f"the reader ended with {code}",))
    result = pickle.loads(data)
    return result if isinstance(result, ReadResult) else ReadResult(None, ("the reader brought no result",))


class ReaderProcess:
    """One reading under way at most; asked again meanwhile, it begins anew once that one has ended."""

    def __init__(self, loop: Loop, done: Done) -> None:
        self.loop, self.done = loop, done
        self._child: subprocess.Popen[bytes] | None = None
        self._data = bytearray()
        self._late: Timer | None = None
        self._again: Asked | None = None

    @property
    def busy(self) -> bool:
        return self._child is not None

    def request(self, *asked: Any) -> None:
        if self._child is not None:
            # What is being read may be older than the file that this signal speaks of.
            self._again = asked
            return
        try:
            child = self._child = _start(asked)
        except OSError as why:  # no descriptor or no memory for a process
            self.done(ReadResult(None, (f"the reader can't be started: {why.strerror}",)))
            return
        assert child.stdout is not None
        self._data = bytearray()
        self.loop.watch(child.stdout, READ, self._ready)
        self._late = self.loop.timers.schedule(self.loop.now + LONGEST_S * 10**9, self._too_late)

    def _ready(self, _mask: int) -> None:
        child = self._child
        if child is None or child.stdout is None:
            return
        data = child.stdout.read1(CHUNK)  # type: ignore[attr-defined]
        if data and len(self._data) + len(data) <= MAX_RESULT:
            self._data += data
            return
        self._end(_result(bytes(self._data), self._reap()))

    def _reap(self) -> int | None:
        child = self._child
        if child is None:
            return None
        if child.stdout is not None:
            self.loop.unwatch(child.stdout)
            child.stdout.close()
        try:
            return child.wait(0.5)  # it has closed its output: nothing is left to do in it
        except subprocess.TimeoutExpired:
            child.kill()
            return child.wait()

    def _too_late(self) -> None:
        if self._child is not None:
            self._child.kill()
            self._reap()
            self._end(ReadResult(None, (f"not read within {LONGEST_S} s",)))

    def _end(self, result: ReadResult) -> None:
        self._child = None
        if self._late is not None:
            self._late.cancel()
        again, self._again = self._again, None
        if again is not None:
            self.request(*again)  # only the latest counts
        else:
            self.done(result)

    def close(self) -> None:
        if self._child is not None:
            self._child.kill()
            self._reap()
            self._child = None
