"""Hand-made settings and events for tests of the module; no bench is needed."""

from __future__ import annotations

from trackhatch import interface
from trackhatch.controller import Controller

MS = 1_000_000
S = 1_000 * MS
T0 = 1_000 * S

CHEAP = interface.CallClass("check", 1.0, 0.25, 2 * S, 0.0, 9 * S, 10 * S, 1, "free", "all", 5 * S)
DEAR = interface.CallClass("urgent", 8.0, 0.25, 1200 * MS, 0.0, 6 * S, 6 * S, 1, "free", "all", 5 * S)


def settings(**changes: object) -> interface.Settings:
    base: dict[str, object] = {
        "classes": (CHEAP, DEAR), "tenants": (), "over_share_worth": 0.1, "layout": "meshed",
        "own_exchange": 0, "own_zone": "z", "pools_by_class": (), "controllers": 4, "rank": 0,
        "discovery": "push", "list_query_deadline_ns": 10 * S, "release_ns": 300 * MS, "resend_ns": 400 * MS,
        "drain_grace_ns": 2 * S, "start_capacity": 0.3, "cold_ns": 15 * S, "fall_multiple": 4.0,
        "fall_ns": S, "max_attempts": 4, "may_probe": False, "may_message_peers": False, "may_cancel": True,
        "may_send_retry_after": True, "max_retry_after_ns": 2 * S, "central_advice": False,
        "redials_marked": True, "report_fields": ("spare", "total"),
    }  # fmt: skip
    return interface.Settings(**(base | changes))  # type: ignore[arg-type]


def entry(office: int, state: str = "in_service", since: int = 0, zone: str = "z") -> interface.ListEntry:
    """Office 100 + n stands at exchange n; a replacement 200 + n at the same one."""
    return interface.ListEntry(office, zone, office % 100, state, since)


def group(office: int, free: float, size: float = 20) -> interface.TrunkGroupReport:
    return interface.TrunkGroupReport(office, "served", 0, interface.LoadReport(free, size, ()))


def call(
    name: str, to: int = 1, kind: interface.CallClass = CHEAP, now: int = T0, **changes: object
) -> interface.CallOffered:
    base: dict[str, object] = {
        "call_id": name, "class_name": kind.name, "tenant": "", "destination": to, "number": 7, "width": 1,
        "deadline_ns": now + 3 * S, "expected_work_ns": 0, "in_transit": False, "redialled": False,
        "replaces_cut_call": False, "via_exchange": -1,
    }  # fmt: skip
    return interface.CallOffered(**(base | changes))  # type: ignore[arg-type]


def ended(
    name: str,
    office: int,
    outcome: str,
    *,
    attempt: int = 0,
    cause: int = 0,
    over: bool = False,
    lag: int = 50,
) -> interface.AttemptEnded:
    return interface.AttemptEnded(name, office, attempt, outcome, lag * MS, over, cause, None)


def stands(name: str, office: int, attempt: int = 0, lag: int = 80) -> interface.CallEstablished:
    return interface.CallEstablished(name, office, attempt, lag * MS)


def started(free: float = 20, **changes: object) -> Controller:
    """A controller that knows exchanges 1 to 3 with ``free`` of 20 circuits toward each."""
    controller = Controller(settings(**changes), 1)
    offices = (100, 101, 102, 103)
    news: list[interface.Event] = [interface.ExchangeListUpdate("restored", tuple(entry(n) for n in offices))]
    controller.step(T0, news + [group(n, free) for n in offices[1:]])
    return controller


def sent(actions: list[interface.Action]) -> list[tuple[str, int]]:
    return [(a.call_id, a.endpoint_id) for a in actions if isinstance(a, interface.SendSetUp)]


def refused(actions: list[interface.Action]) -> list[str]:
    return [a.call_id for a in actions if isinstance(a, interface.RefuseCall | interface.FailCall)]
