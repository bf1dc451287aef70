"""A minimal desk exchange: answers every set-up, and ends the call after three seconds.

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
    """Serve one controller's connection; the trunk group is reported as free throughout, for simplicity."""
    parser, lock = binary.BinaryParser(), threading.Lock()

    def send(message: BinaryMessage) -> None:
        with lock:
            sock.sendall(binary.encode(message))

    def end_call(call_id: int) -> None:
        print(f"{call_id:016x} has ended", flush=True)
        send(BinaryMessage(binary.RELEASE, call_id, cause=16))

    send(BinaryMessage(binary.GROUP_STATE, 0, free=CIRCUITS, size=CIRCUITS))
    while data := sock.recv(65536):
        for message in parser.feed(data):
            if message.message_type == binary.SET_UP:
                print(f"{message.call_id:016x} to {message.number}, class {message.class_name}", flush=True)
                send(
                    BinaryMessage(
                        binary.ANSWER, message.call_id, session_description=b"c=IN IP4 127.0.0.1\r\n"
                    )
                )
                timer = threading.Timer(HOLD_S, end_call, (message.call_id,))
                timer.daemon = True
                timer.start()
            elif message.message_type == binary.RELEASE:
                print(f"{message.call_id:016x} released by the controller", flush=True)


def main() -> None:
    with socket.create_server(parse_address(sys.argv[1])) as listener:
        print(f"minimal desk exchange on {sys.argv[1]}", flush=True)
        while True:
            threading.Thread(target=serve, args=(listener.accept()[0],), daemon=True).start()


if __name__ == "__main__":
    main()
