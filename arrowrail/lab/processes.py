"""Child processes of drills and tests: started with this interpreter, and ended by process id."""

from __future__ import annotations

import contextlib
import fcntl
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from types import TracebackType
from typing import TextIO

ROOT = Path(__file__).resolve().parents[2]
DEFAULT_TIMEOUT_S = 20.0


# The range lies below the kernel's ephemeral ports: a stand-in that closes its port for a while to refuse
# connections must be able to bind the port again.
FIRST_PORT, LAST_PORT, BLOCK_SIZE = 12_000, 32_000, 100
_block_locks: list[TextIO] = []  # lock files of the port blocks that this process holds
_unassigned_ports: list[int] = []  # ports of those blocks that no caller has been given yet


def free_ports(count: int) -> list[int]:
    """Return ports that are not in use, and that no other process of the lab is given until this one ends."""
    ports: list[int] = []
    while len(ports) < count:
        if not _unassigned_ports:
            _unassigned_ports.extend(_reserve_block())
        port = _unassigned_ports.pop(0)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            ports.append(port)
    return ports


def _reserve_block() -> range:
    """Lock a block of ports until this process ends, by a lock file that all processes of the lab use."""
    first_ports = list(range(FIRST_PORT, LAST_PORT, BLOCK_SIZE))
    random.SystemRandom().shuffle(first_ports)
    for first_port in first_ports:
        path = Path(tempfile.gettempdir()) / f"arrowrail-ports-{first_port}.lock"
        lock = open(path, "a", encoding="utf-8")  # noqa: SIM115 - open for the lifetime of the process
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _block_locks.append(lock)
        return range(first_port, first_port + BLOCK_SIZE)
    raise RuntimeError("all blocks of test ports are in use")


def wait_until(condition: Callable[[], bool], description: str, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
    """Poll ``condition`` until it is true; the text of ``TimeoutError`` contains ``description``."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"timed out waiting for {description}")
        time.sleep(0.02)


def is_listening(port: int) -> bool:
    with socket.socket() as sock:
        sock.settimeout(0.5)
        return sock.connect_ex(("127.0.0.1", port)) == 0


class ProcessManager:
    """The child processes of one drill or test; all of them are ended when its context is left."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(
        self, name: str, *arguments: str, environment: Mapping[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start ``python -m ARGUMENTS``; its output is appended to ``NAME.log`` in the folder."""
        variables = dict(os.environ, PYTHONPATH=str(ROOT), PYTHONDONTWRITEBYTECODE="1") | dict(
            environment or {}
        )
        with open(self.folder / f"{name}.log", "ab") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdin=subprocess.PIPE, stdout=log, stderr=log,
                env=variables, cwd=self.folder,
            )  # fmt: skip
        self.running[name] = child
        return child

    def send_line(self, name: str, line: bytes) -> None:
        """Write one line, a command as JSON, to the standard input of a process."""
        stdin = self.running[name].stdin
        assert stdin is not None
        stdin.write(line + b"\n")
        stdin.flush()

    def send_signal(self, name: str, signal_number: int) -> None:
        self.running[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """End a process by SIGKILL, to simulate a crash."""
        child = self.running.pop(name)
        child.kill()
        child.wait(DEFAULT_TIMEOUT_S)

    def terminate(self, name: str) -> int:
        """End a process by SIGTERM, and return its exit code, or -1 if it had to be killed."""
        child = self.running.pop(name)
        child.send_signal(signal.SIGTERM)
        try:
            return child.wait(DEFAULT_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait(DEFAULT_TIMEOUT_S)
            return -1

    def unexpected_exits(self) -> list[str]:
        """Describe the processes that have exited on their own."""
        return [
            f"{name} ended with {child.returncode}"
            for name, child in self.running.items()
            if child.poll() is not None
        ]

    def __enter__(self) -> ProcessManager:
        return self

    def __exit__(self, _type: type[BaseException] | None, _error: BaseException | None,
                 _traceback: TracebackType | None) -> None:  # fmt: skip
        for name in list(self.running):
            self.terminate(name)
