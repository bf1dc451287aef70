"""A desk exchange dies, and a new one takes its address; the list tells the new one first."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import rig2

START_AFTER_S = 0.5  # the new process listens at the address of the dead one
NOTICE_S = 1.1  # site file, discovery: a start is told 1.1 to 3.9 s later
SILENT_NOTICE_S = 10.0  # site file, discovery: an unannounced end is told 4.2 to 13 s later
TOLERANCE_S = 0.5 + rig2.GRACE_S  # as much as a drain gets
CALLS_PER_S = 10


async def scenario(rig: rig2.Rig) -> list[str]:
    first = rig2.Desk(rig, "s-first", 2).start()
    other = rig2.Desk(rig, "s-other", 1).start()
    more = [rig2.Desk(rig, f"s-more-{n}", n).start() for n in (4, 5)]  # BRIEF: 5 to 7 desk exchanges
    bus = await rig2.Bus(rig).start()
    proxy = await rig2.DelayingProxy(rig, bus.address).start()  # delays nothing, notes what was handed over
    known = [
        rig2.list_entry("s-own", f"127.0.0.1:{rig2.free_port()}", 0),
        rig2.list_entry("s-first", first.address, 2),
        rig2.list_entry("s-other", other.address, 1),
    ] + [rig2.list_entry(desk.name, desk.address, desk.exchange) for desk in more]
    await rig.start_controller(known, proxy.address, instances=5)
    callers = await rig2.Caller.open(rig, "callers")
    begin_s = rig.now()
    in_transit: set[str] = set()

    async def call_on() -> None:
        count = 0
        while True:
            await rig.sleep_until(begin_s + count / CALLS_PER_S)
            call_id = rig2.new_id()
            if count % 2:
                callers.invite(call_id, 1)
            else:
                in_transit.add(call_id)
                callers.invite(call_id, 2, facts=";transit:1", via=1)
            count += 1

    rig.spawn(call_on())
    await rig.sleep_until(begin_s + 3.0)
    port = first.port
    if rig.trouble:
        first.die()
    await asyncio.sleep(START_AFTER_S)
    # Exchange 3 can't use a call in transit to exchange 2: it replies 'error', as PROTOCOL's cause 47 says.
    successor = rig2.Desk(
        rig, "s-third", 3, refuse=lambda call_id: (47, b"") if f"{call_id:016x}" in in_transit else None
    ).start(port if rig.trouble else 0)
    boot_ms = int(time.time() * 1000)
    await asyncio.sleep(NOTICE_S)
    event_s = await bus.publish([rig2.list_entry("s-third", successor.address, 3, boot_ms=boot_ms)])
    await rig.sleep_until(begin_s + 3.0 + SILENT_NOTICE_S)
    if rig.trouble:
        await bus.publish([rig2.list_entry("s-first", first.address, 2, "terminated")])
    await asyncio.sleep(3.0)

    passed_s = proxy.passed_at("s-third", "in_service")
    stood = sum(1 for answers in callers.answers.values() if answers[0][1] == 200)
    if stood < 30 or not any(call in in_transit for _, call in first.set_ups) or passed_s is None:
        raise rig2.NotRun("too few calls stood before the change")
    rig.note(
        "judge", f"exchange 3 at {successor.address} is in the bus at {event_s:.3f}, told at {passed_s:.3f}"
    )
    return [
        f"set-up {call}, in transit to exchange 2, reached exchange 3, {at_s - passed_s:.3f} s after the news"
        for at_s, call in successor.set_ups
        if call in in_transit and at_s > passed_s + TOLERANCE_S
    ]


rig2.run_case(Path(__file__).resolve().parent, scenario)
