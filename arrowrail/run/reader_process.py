"""Starts the reader process and receives its result, without blocking the event loop on a reload."""

from __future__ import annotations

import pickle
import subprocess
import sys
from collections.abc import Callable
from typing import Any

from arrowrail.loop import READ, Loop
from arrowrail.run.read_result import ReadResult
from arrowrail.state.timers import Timer

TIMEOUT_S = 60
MAX_RESULT_SIZE = 64 << 20  # bytes; an inventory of 10,000 exchanges takes a tenth of it
CHUNK_SIZE = 256 * 1024
ReadRequest = tuple[Any, ...]  # the kind of records ("sidecar" or "controller") and the reader's arguments
ResultCallback = Callable[[ReadResult], None]


def _start(request: ReadRequest) -> subprocess.Popen[bytes]:
    child = subprocess.Popen(
        [sys.executable, "-m", "arrowrail.run.reader"], stdin=subprocess.PIPE, stdout=subprocess.PIPE
    )
    assert child.stdin is not None
    child.stdin.write(pickle.dumps(request))  # a few kilobytes, which the pipe's buffer holds
    child.stdin.close()
    return child


def read_and_wait(*request: Any) -> ReadResult:
    """Read and wait for the result; only for the start, when nothing is served yet."""
    child = _start(request)
    assert child.stdout is not None
    with child.stdout:
        data = child.stdout.read(MAX_RESULT_SIZE)
    try:
        return _result(data, child.wait(TIMEOUT_S))
    except subprocess.TimeoutExpired:
        child.kill()
        child.wait()
        return ReadResult(None, (f"the reader process did not finish within {TIMEOUT_S} s",))


def _result(data: bytes, exit_code: int | None) -> ReadResult:
    if exit_code != 0 or not data:
        return ReadResult(None, (f"the reader process failed with exit code {exit_code}",))
    try:
        result = pickle.loads(data)
    except Exception as error:
        # Any error: the reader process may run another version, after the sources were replaced.
        message = f"the result of the reader process can't be decoded ({error!r}); restart this process"
        return ReadResult(None, (message,))
    if not isinstance(result, ReadResult):
        return ReadResult(None, ("the reader process returned no result",))
    return result


class ReaderProcess:
    """Runs one reader process at a time; a request made meanwhile is started when that one has ended."""

    def __init__(self, loop: Loop, on_result: ResultCallback) -> None:
        self.loop, self.on_result = loop, on_result
        self._child: subprocess.Popen[bytes] | None = None
        self._data = bytearray()
        self._timeout_timer: Timer | None = None
        self._pending_request: ReadRequest | None = None  # the latest request made meanwhile

    @property
    def busy(self) -> bool:
        return self._child is not None

    def request(self, *request: Any) -> None:
        if self._child is not None:
            # The process that runs may have read the files before the change that led to this request.
            self._pending_request = request
            return
        try:
            child = self._child = _start(request)
        except OSError as error:  # no file descriptor or no memory for a process
            self.on_result(ReadResult(None, (f"the reader process can't be started: {error.strerror}",)))
            return
        assert child.stdout is not None
        self._data = bytearray()
        self.loop.watch(child.stdout, READ, self._readable)
        self._timeout_timer = self.loop.timers.schedule(self.loop.now + TIMEOUT_S * 10**9, self._timed_out)

    def _readable(self, _mask: int) -> None:
        child = self._child
        if child is None or child.stdout is None:
            return
        data = child.stdout.read1(CHUNK_SIZE)  # type: ignore[attr-defined]
        if data and len(self._data) + len(data) <= MAX_RESULT_SIZE:
            self._data += data
            return
        self._finish(_result(bytes(self._data), self._reap()))

    def _reap(self) -> int | None:
        """Wait for the process to exit, or kill it; return its exit code."""
        child = self._child
        if child is None:
            return None
        if child.stdout is not None:
            self.loop.unwatch(child.stdout)
            child.stdout.close()
        try:
            return child.wait(0.5)  # its output is closed, so it is about to exit
        except subprocess.TimeoutExpired:
            child.kill()
            return child.wait()

    def _timed_out(self) -> None:
        if self._child is not None:
            self._child.kill()
            self._reap()
            self._finish(ReadResult(None, (f"the reader process did not finish within {TIMEOUT_S} s",)))

    def _finish(self, result: ReadResult) -> None:
        self._child = None
        if self._timeout_timer is not None:
            self._timeout_timer.cancel()
        pending, self._pending_request = self._pending_request, None
        if pending is not None:
            self.request(*pending)  # this result may be outdated: only the latest request counts
        else:
            self.on_result(result)

    def close(self) -> None:
        """Kill the process that runs, if any, without a result."""
        if self._child is not None:
            self._child.kill()
            self._reap()
            self._child = None
