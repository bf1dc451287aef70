"""Place one call through a controller over SIP, and print the responses until the call ends.

python examples/toy_call.py 127.0.0.1:5080 [DESTINATION] [CLASS] [NUMBER]
"""

from __future__ import annotations

import os
import socket
import sys

from arrowrail.state.address import parse_address
from arrowrail.wire.sip import messages as sip


def main() -> int:
    destination = sys.argv[2] if len(sys.argv) > 2 else "1"
    call_class = sys.argv[3] if len(sys.argv) > 3 else "alarm-video"
    number = sys.argv[4] if len(sys.argv) > 4 else "00000000000000ab"
    call_id, parser = os.urandom(8).hex(), sip.SipParser()
    width = 2 if call_class == "alarm-video" else 1
    body = b"c=IN IP4 127.0.0.1\r\n"
    head = (
        f"INVITE sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP toy\r\nCall-ID: {call_id}\r\n"
        f"CSeq: 1 INVITE\r\nSubject: {call_class}\r\nX-Patience: 3000\r\n"
        f"X-Facts: dest:{destination};width:{width};via:-1\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    with socket.create_connection(parse_address(sys.argv[1])) as sock:
        sock.sendall(head.encode() + body)
        while data := sock.recv(65536):
            for message in parser.feed(data):
                if isinstance(message, sip.Malformed):
                    print("malformed message:", message.reason)
                    return 1
                if message.method == "BYE":
                    print("the call has ended:", message.headers.get("reason", ""))
                    sock.sendall(sip.response(200, message))
                    return 0
                print(
                    "answer:",
                    message.status,
                    message.headers.get("x-later-ms", ""),
                    message.body.decode().strip(),
                )
                sock.sendall(sip.request("ACK", f"sip:{number}@net", "toy", call_id, 1))
                if message.status != 200:
                    return 1
    return 1


if __name__ == "__main__":
    sys.exit(main())
