"""Settings and events for tests of the decision module."""

from __future__ import annotations

from trackhatch import interface
from trackhatch.controller import Controller

MS = 1_000_000
SECOND = 1_000 * MS
T0 = 1_000 * SECOND

CHECK = interface.CallClass(
    "check", 1.0, 0.25, 2 * SECOND, 0.0, 9 * SECOND, 10 * SECOND, 1, "free", "all", 5 * SECOND
)
URGENT = interface.CallClass(
    "urgent", 8.0, 0.25, 1200 * MS, 0.0, 6 * SECOND, 6 * SECOND, 1, "free", "all", 5 * SECOND
)


def settings(**changes: object) -> interface.Settings:
    base: dict[str, object] = {
        "classes": (CHECK, URGENT), "tenants": (), "over_share_worth": 0.1, "layout": "meshed",
        "own_exchange": 0, "own_zone": "z", "pools_by_class": (), "controllers": 4, "rank": 0,
        "discovery": "push", "list_query_deadline_ns": 10 * SECOND, "release_ns": 300 * MS,
        "resend_ns": 400 * MS, "drain_grace_ns": 2 * SECOND, "start_capacity": 0.3, "cold_ns": 15 * SECOND,
        "fall_multiple": 4.0, "fall_ns": SECOND, "max_attempts": 4, "may_probe": False,
        "may_message_peers": False, "may_cancel": True, "may_send_retry_after": True,
        "max_retry_after_ns": 2 * SECOND, "central_advice": False, "redials_marked": True,
        "report_fields": ("spare", "total"),
    }  # fmt: skip
    return interface.Settings(**(base | changes))  # type: ignore[arg-type]


def entry(
    endpoint_id: int, state: str = "in_service", started_ns: int = 0, zone: str = "z"
) -> interface.ListEntry:
    """Endpoint 100 + n serves exchange n; 200 + n is its replacement."""
    return interface.ListEntry(endpoint_id, zone, endpoint_id % 100, state, started_ns)


def group(endpoint_id: int, free: float, size: float = 20) -> interface.TrunkGroupReport:
    return interface.TrunkGroupReport(endpoint_id, "served", 0, interface.LoadReport(free, size, ()))


def call(
    name: str, destination: int = 1, call_class: interface.CallClass = CHECK, now: int = T0, **changes: object
) -> interface.CallOffered:
    base: dict[str, object] = {
        "call_id": name, "class_name": call_class.name, "tenant": "", "destination": destination,
        "number": 7, "width": 1, "deadline_ns": now + 3 * SECOND, "expected_work_ns": 0, "in_transit": False,
        "redialled": False, "replaces_cut_call": False, "via_exchange": -1,
    }  # fmt: skip
    return interface.CallOffered(**(base | changes))  # type: ignore[arg-type]


def ended(
    name: str,
    endpoint_id: int,
    outcome: str,
    *,
    attempt: int = 0,
    cause: int = 0,
    call_ended: bool = False,
    latency_ms: int = 50,
) -> interface.AttemptEnded:
    return interface.AttemptEnded(
        name, endpoint_id, attempt, outcome, latency_ms * MS, call_ended, cause, None
    )


def established(
    name: str, endpoint_id: int, attempt: int = 0, latency_ms: int = 80
) -> interface.CallEstablished:
    return interface.CallEstablished(name, endpoint_id, attempt, latency_ms * MS)


def new_controller(free: float = 20, **changes: object) -> Controller:
    """Return a controller that knows exchanges 1 to 3, with ``free`` of 20 circuits toward each."""
    controller = Controller(settings(**changes), 1)
    endpoint_ids = (100, 101, 102, 103)
    update: list[interface.Event] = [
        interface.ExchangeListUpdate("restored", tuple(entry(n) for n in endpoint_ids))
    ]
    controller.step(T0, update + [group(n, free) for n in endpoint_ids[1:]])
    return controller


def sent(actions: list[interface.Action]) -> list[tuple[str, int]]:
    return [(a.call_id, a.endpoint_id) for a in actions if isinstance(a, interface.SendSetUp)]


def refused(actions: list[interface.Action]) -> list[str]:
    return [a.call_id for a in actions if isinstance(a, interface.RefuseCall | interface.FailCall)]
