"""Settings, events and actions of the decision module in ``trackhatch/controller.py``.

All times are whole nanoseconds of one monotonic clock.  An exchange is a node of the network, known by its
number; an endpoint is one processor that serves it (a replacement may run beside one that drains).  Nothing
here decides anything: fields have no defaults that amount to a decision, and checks only reject values that
make no sense.
"""

from __future__ import annotations

from dataclasses import dataclass


def _require(condition: bool, field: str, reason: str) -> None:
    if not condition:
        raise ValueError(f"{field}: {reason}")


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls, as configured by the operator."""

    name: str
    worth: float  # value of an answered call
    late_share: float  # share of the worth of a call answered after its target time, before its deadline
    aim_ns: int  # target set-up time
    aim_work_factor: float  # the target grows by this factor times the call's own work
    deadline_ns: int  # how long a caller goes on trying, from the first try
    holding_ns: int  # mean holding time
    width: int  # circuits taken on each trunk group
    repeat: str  # attempts after one that may have been executed: "free", "guarded" or "single_shot"
    repeat_scope: str  # for "guarded", where a repeat is allowed: "all", "zone" or "cell"
    repeat_window_ns: int  # for "guarded", how long a repeat is allowed

    def __post_init__(self) -> None:
        _require(self.worth >= 0, "worth", "must not be negative")
        _require(0 <= self.late_share <= 1, "late_share", "must be between 0 and 1")
        _require(self.aim_ns > 0, "aim_ns", "must be above 0")
        _require(self.deadline_ns > 0, "deadline_ns", "must be above 0")
        _require(self.holding_ns > 0, "holding_ns", "must be above 0")
        _require(self.width >= 1, "width", "must be at least 1")
        _require(
            self.repeat in ("free", "guarded", "single_shot"), "repeat", f"unknown value {self.repeat!r}"
        )
        _require(
            self.repeat_scope in ("all", "zone", "cell"),
            "repeat_scope",
            f"unknown value {self.repeat_scope!r}",
        )

    @property
    def repeatable(self) -> bool:
        """Whether a call that may have run may be refused, so that its caller sends it anew."""
        return self.repeat == "free" or (self.repeat == "guarded" and self.repeat_scope == "all")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and its quota: calls per second, over all exchanges, that count with their full worth."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a controller instance, fixed at its start."""

    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float  # share of the worth that calls beyond a tenant's quota keep
    layout: str  # "meshed": trunk groups between exchanges; "groups": shared pools of agents
    own_exchange: int  # number of the own exchange; -1 with "groups"
    own_zone: str
    pools_by_class: tuple[tuple[int, ...], ...]  # exchanges that each class may use; empty: any
    controllers: int  # number of controller instances
    rank: int  # index of this instance
    discovery: str  # how the exchange list arrives: "push" or "ask"
    list_query_deadline_ns: int  # with "ask": time within which the list must be requested
    release_ns: int  # wait before another attempt, while the endpoint of the last one may hold the call
    resend_ns: int  # interval at which a waiting set-up is sent again; 0: never
    drain_grace_ns: int
    start_capacity: float  # share of its capacity that an endpoint has in slow start
    cold_ns: int  # length of the slow start after an endpoint's start
    fall_multiple: float  # load, as a multiple of its capacity, at which an endpoint fails
    fall_ns: int  # window over which that load is counted
    max_attempts: int
    may_probe: bool
    may_message_peers: bool
    may_cancel: bool
    may_send_retry_after: bool
    max_retry_after_ns: int
    central_advice: bool  # offered calls name the tandem or pool that a central controller recommends
    redials_marked: bool  # callers mark their redials
    report_fields: tuple[str, ...]  # fields of load reports

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "classes", "at least one is required")
        _require(self.layout in ("meshed", "groups"), "layout", f"unknown value {self.layout!r}")
        _require(self.discovery in ("push", "ask"), "discovery", f"unknown value {self.discovery!r}")
        _require(self.controllers >= 1, "controllers", "must be at least 1")
        _require(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _require(self.release_ns >= 0, "release_ns", "must not be negative")
        _require(self.resend_ns >= 0, "resend_ns", "must not be negative")
        _require(0 < self.start_capacity <= 1, "start_capacity", "must be above 0 and at most 1")
        _require(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        _require(self.fall_ns > 0, "fall_ns", "must be above 0")
        _require(self.cold_ns >= 0, "cold_ns", "must not be negative")
        _require(0 <= self.over_share_worth <= 1, "over_share_worth", "must be between 0 and 1")


# Events


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One endpoint in the exchange list."""

    endpoint_id: int
    zone: str
    exchange: int
    state: str  # "in_service", "terminating" or "terminated"
    started_ns: int  # time of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class ExchangeListUpdate:
    """The exchange list has changed, or cannot be reached."""

    kind: str  # "update", "replace", "restored" or "unavailable"
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call arrives at this controller, from a subscriber or in transit."""

    call_id: str
    class_name: str
    tenant: str
    destination: int  # number of the exchange
    number: int  # called number
    width: int
    deadline_ns: int  # time at which the caller gives up this try
    expected_work_ns: int  # expected own work of the call; 0: not known
    in_transit: bool
    redialled: bool
    replaces_cut_call: bool  # the caller dials again as an established call was cut
    # In transit: the forwarding exchange.  Otherwise the tandem or pool with the most free capacity when a
    # central controller last looked.  -1: none.
    via_exchange: int


@dataclass(frozen=True, slots=True)
class CallEstablished:
    """A set-up was answered by the endpoint."""

    call_id: str
    endpoint_id: int
    attempt: int
    latency_ns: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Circuits of the own trunk group toward an endpoint, and metrics of the endpoint by name."""

    free: float  # -1: not reported
    size: float
    metrics: tuple[tuple[str, float], ...]


# Cause code: the connection to the endpoint failed, which says nothing about its processor.
CAUSE_CONNECTION_FAILED = 5


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; each attempt ends once."""

    call_id: str
    endpoint_id: int
    attempt: int
    outcome: str  # served, server_error, turned_away, no_answer, no_connection, connection_lost, ...
    latency_ns: int
    call_ended: bool
    cause: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class TrunkGroupReport:
    """The own trunk group toward an endpoint has changed, or a probe was answered."""

    endpoint_id: int
    outcome: str
    latency_ns: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller no longer waits for an answer."""

    call_id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """A timer that was set with ``SetTimer`` has expired."""

    timer_id: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another controller instance."""

    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PoolUpdate:
    """Exchanges that a class may use from now on, in the layout "groups"; empty: none."""

    class_name: str
    exchanges: tuple[int, ...]


Event = (
    ExchangeListUpdate
    | CallOffered
    | CallEstablished
    | AttemptEnded
    | TrunkGroupReport
    | CallAbandoned
    | TimerExpired
    | PeerMessage
    | PoolUpdate
)

# Actions


@dataclass(frozen=True, slots=True)
class SendSetUp:
    """Send a set-up to the destination, or to a tandem on the way."""

    call_id: str
    endpoint_id: int
    timeout_ns: int  # 0: until the caller gives up


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Final response: the call is refused and was not executed."""

    call_id: str
    retry_after_ns: int  # 0: no advice


@dataclass(frozen=True, slots=True)
class FailCall:
    """Final response: the call has failed, an attempt may have been executed."""

    call_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Send ``TimerExpired`` with the same id after the delay."""

    delay_ns: int
    timer_id: str


@dataclass(frozen=True, slots=True)
class WatchExchangeList:
    """Request the exchange list and its changes from now on."""


@dataclass(frozen=True, slots=True)
class CancelSetUp:
    """Cancel an attempt that is not answered yet."""

    call_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an endpoint for its load report."""

    endpoint_id: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    """Send a message to other controller instances."""

    peer: int  # number of the receiver; -1: all
    payload: bytes


Action = (
    SendSetUp | RefuseCall | FailCall | SetTimer | WatchExchangeList | CancelSetUp | Probe | SendPeerMessage
)
