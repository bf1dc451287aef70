"""Set-ups of a class that must not run twice cross the end of a resting connection."""

import asyncio
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import rig2

RESET_AFTER_S = 0.020  # the set-up and the end of its connection cross within 50 ms (PROTOCOL)
REST_S = 2.0  # callers close a connection after 4 s without a call
TIMES = 5
CLASS = "engineer-call"  # single_shot in the settings of this case


class EndingPath:
    """The path to the controller; on demand it ends a connection with a reset, to both sides."""

    def __init__(self, rig: rig2.Rig) -> None:
        self.rig, self.port, self.reset_next = rig, 0, False

    async def start(self) -> "EndingPath":
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        to_reader, to_writer = await asyncio.open_connection("127.0.0.1", self.rig.port)

        async def pass_on(source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
            try:
                while data := await source.read(65536):
                    target.write(data)
                    if self.reset_next and source is reader:
                        await asyncio.sleep(RESET_AFTER_S)
                        self.rig.note("path", "the connection is reset")
                        break
            except OSError:
                pass
            for end in (writer, to_writer):
                if not end.is_closing():
                    if self.reset_next:
                        end.get_extra_info("socket").setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, rig2.LINGER_RESET
                        )
                    end.transport.abort()

        await asyncio.gather(pass_on(reader, to_writer), pass_on(to_reader, writer))


async def scenario(rig: rig2.Rig) -> list[str]:
    desk = rig2.Desk(rig, "s-desk", 1, answer_s=0.2, hold_s=lambda _call: 60.0).start()
    known = [
        rig2.list_entry("s-own", f"127.0.0.1:{rig2.free_port()}", 0),
        rig2.list_entry("s-desk", desk.address, 1),
    ]
    classes = rig2.settings()["classes"]
    for call_class in classes:
        if call_class["name"] == CLASS:
            call_class["repeat"] = "single_shot"
    await rig.start_controller(known, instances=2, classes=classes)
    path = await EndingPath(rig).start()
    broken: list[str] = []
    answered = 0
    for _ in range(TIMES):
        path.reset_next = False
        loop = asyncio.get_running_loop()
        _, caller = await loop.create_connection(lambda: rig2.Caller(rig, "caller"), "127.0.0.1", path.port)
        first = rig2.new_id()
        caller.invite(first, 1, call_class="status-report")
        await asyncio.sleep(REST_S)
        if first not in caller.answers:
            raise rig2.NotRun("the first call of the connection was not answered")
        path.reset_next = rig.trouble
        call_id = rig2.new_id()
        caller.invite(call_id, 1, call_class=CLASS)
        if rig.trouble:
            while caller.closed_s is None:
                await asyncio.sleep(0.002)
            again = await rig2.Caller.open(rig, "caller-again")
            again.invite(call_id, 1, call_class=CLASS)  # PROTOCOL: once, on a new connection
        else:
            again = caller
        await asyncio.sleep(1.0)
        status = again.answers[call_id][0][1] if call_id in again.answers else 0
        answered += status > 0
        reached = [at_s for at_s, name in desk.set_ups if name == call_id]
        if status in (503, 480) and reached:
            broken.append(
                f"{call_id} was answered {status}, 'trying again is harmless', though its set-up had reached "
                f"the desk exchange at {reached[0]:.3f} s, which had not said that it did not run"
            )
            retry = rig2.new_id()
            again.invite(retry, 1, call_class=CLASS, number=call_id)  # the caller's retry, under a new id
            await asyncio.sleep(0.5)
            if any(name == retry for _, name in desk.set_ups):
                rig.note("judge", f"the retry {retry} ran, too: the same order was carried out twice")
        again.close()
        caller.close()
    if not answered:
        raise rig2.NotRun("no set-up was answered")
    return broken


rig2.run_case(Path(__file__).resolve().parent, scenario)
