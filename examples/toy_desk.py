"""A toy desk exchange: answers every set-up and ends the call after three seconds.

python examples/toy_desk.py 127.0.0.1:5091
"""

from __future__ import annotations

import socket
import sys
import threading

from arrowrail.state.address import parse_address
from arrowrail.wire.binary import messages as binary
from arrowrail.wire.binary.messages import BinaryMessage

CIRCUITS = 30
HOLD_S = 3.0


def serve(sock: socket.socket) -> None:
    """One controller's connection; the group is told as free throughout, which suits a toy."""
    parser, lock = binary.BinaryParser(), threading.Lock()

    def say(message: BinaryMessage) -> None:
        with lock:
            sock.sendall(binary.encode(message))

    def end(call: int) -> None:
        print(f"{call:016x} has come to its end", flush=True)
        say(BinaryMessage(binary.RELEASE, call, cause=16))

    say(BinaryMessage(binary.GROUP_STATE, 0, free=CIRCUITS, size=CIRCUITS))
    while data := sock.recv(65536):
        for m in parser.feed(data):
            if m.message_type == binary.SET_UP:
                print(f"{m.call_id:016x} to {m.number}, class {m.class_name}", flush=True)
                say(BinaryMessage(binary.ANSWER, m.call_id, session_description=b"c=IN IP4 127.0.0.1\r\n"))
                timer = threading.Timer(HOLD_S, end, (m.call_id,))
                timer.daemon = True
                timer.start()
            elif m.message_type == binary.RELEASE:
                print(f"{m.call_id:016x} released by the controller", flush=True)


def main() -> None:
    with socket.create_server(parse_address(sys.argv[1])) as listener:
        print(f"toy desk exchange on {sys.argv[1]}", flush=True)
        while True:
            threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()


if __name__ == "__main__":
    main()
