"""Real processes for drills: started with the project's own interpreter, ended by their own id."""

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
WAIT_S = 20.0


# Below the ports that the kernel gives to outgoing connections: a stand-in that closes its port for a while,
# as a server that refuses, must find it free again.
FIRST_PORT, LAST_PORT, BLOCK = 12_000, 32_000, 100
_blocks: list[TextIO] = []  # lock files of the blocks of ports that this process holds
_ports: list[int] = []  # of those blocks, not handed out yet


def free_ports(count: int) -> list[int]:
    """Ports that nobody listens on, and that no other process of the lab is given meanwhile."""
    found: list[int] = []
    while len(found) < count:
        if not _ports:
            _ports.extend(_hold_block())
        port = _ports.pop(0)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            found.append(port)
    return found


def _hold_block() -> range:
    """Lock a block of ports until this process ends."""
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK))
    random.SystemRandom().shuffle(blocks)
    for first in blocks:
        path = Path(tempfile.gettempdir()) / f"arrowrail-ports-{first}.lock"
        lock = open(path, "a", encoding="utf-8")  # noqa: SIM115 - held for the process's life
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            continue
        _blocks.append(lock)
        return range(first, first + BLOCK)
    raise RuntimeError("no block of ports is free")


def wait_until(condition: Callable[[], bool], what: str, wait_s: float = WAIT_S) -> None:
    end = time.monotonic() + wait_s
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"never came: {what}")
        time.sleep(0.02)


def is_listening(port: int) -> bool:
    with socket.socket() as s:
        s.settimeout(0.5)
        return s.connect_ex(("127.0.0.1", port)) == 0


class ProcessManager:
    """The processes of one drill; at the end all of them are gone."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.running: dict[str, subprocess.Popen[bytes]] = {}

    def start(
        self, name: str, *arguments: str, environment: Mapping[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        """Start ``python -m ARGUMENTS``; its output goes to ``NAME.log`` in the folder of the drill."""
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
        stdin = self.running[name].stdin
        assert stdin is not None
        stdin.write(line + b"\n")
        stdin.flush()

    def send_signal(self, name: str, signal_number: int) -> None:
        self.running[name].send_signal(signal_number)

    def kill(self, name: str) -> None:
        """As a crash: no word, no goodbye."""
        child = self.running.pop(name)
        child.kill()
        child.wait(WAIT_S)

    def terminate(self, name: str) -> int:
        child = self.running.pop(name)
        child.send_signal(signal.SIGTERM)
        try:
            return child.wait(WAIT_S)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait(WAIT_S)
            return -1

    def unexpected_exits(self) -> list[str]:
        """Those that ended by themselves."""
        return [f"{n} ended with {p.returncode}" for n, p in self.running.items() if p.poll() is not None]

    def __enter__(self) -> ProcessManager:
        return self

    def __exit__(self, _kind: type[BaseException] | None, _why: BaseException | None,
                 _trace: TracebackType | None) -> None:  # fmt: skip
        for name in list(self.running):
            self.terminate(name)
