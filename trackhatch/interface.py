"""What goes into and comes out of the controller in ``choice.py``, in telephony's words.

All times are whole nanoseconds of one clock that only goes forward.  Nothing here decides anything:
fields have no defaults that amount to a decision, and checks only reject what makes no sense.
"""

from __future__ import annotations

from dataclasses import dataclass


def _need(holds: bool, field: str, why: str) -> None:
    if not holds:
        raise ValueError(f"{field}: {why}")


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of call, as the operator states it."""

    name: str
    worth: float
    late_share: float  # share of the worth when it stands after the aim, within the caller's time
    aim_ns: int  # wanted set-up time
    aim_work_factor: float  # the aim grows by this many times the call's own work
    deadline_ns: int  # how long a caller goes on trying, from the first try
    holding_ns: int  # mean holding time
    width: int  # circuits on each trunk group
    repeat: str  # "free", "guarded" or "single_shot"
    repeat_scope: str  # for "guarded": "all", "zone" or "cell"
    repeat_window_ns: int

    def __post_init__(self) -> None:
        _need(self.worth >= 0, "worth", "must not be negative")
        _need(0 <= self.late_share <= 1, "late_share", "must lie between 0 and 1")
        _need(self.aim_ns > 0, "aim_ns", "must be above 0")
        _need(self.deadline_ns > 0, "deadline_ns", "must be above 0")
        _need(self.holding_ns > 0, "holding_ns", "must be above 0")
        _need(self.width >= 1, "width", "must be at least 1")
        _need(self.repeat in ("free", "guarded", "single_shot"), "repeat", f"unknown kind {self.repeat!r}")
        _need(self.repeat_scope in ("all", "zone", "cell"), "repeat_scope", f"unknown {self.repeat_scope!r}")


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant and the calls a second, over all exchanges, inside its share."""

    name: str
    quota_per_s: float


@dataclass(frozen=True, slots=True)
class Settings:
    """What an instance is handed at its start."""

    classes: tuple[CallClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    layout: str  # "meshed": trunk groups between exchanges; "groups": shared pools of agents
    own_exchange: int  # number of the own exchange; -1 with "groups"
    own_zone: str
    pools_by_class: tuple[tuple[int, ...], ...]  # for each class; empty: any pool
    controllers: int  # instances in all
    rank: int
    discovery: str  # "push" or "ask"
    list_query_deadline_ns: int
    release_ns: int
    resend_ns: int  # 0: a waiting set-up is not sent again by itself
    drain_grace_ns: int
    start_capacity: float
    cold_ns: int
    fall_multiple: float
    fall_ns: int
    max_attempts: int
    may_probe: bool
    may_message_peers: bool
    may_cancel: bool
    may_send_retry_after: bool
    max_retry_after_ns: int
    central_advice: bool
    redials_marked: bool  # callers mark their redials
    report_fields: tuple[str, ...]

    def __post_init__(self) -> None:
        _need(len(self.classes) > 0, "classes", "at least one is needed")
        _need(self.layout in ("meshed", "groups"), "layout", f"unknown layout {self.layout!r}")
        _need(self.discovery in ("push", "ask"), "discovery", f"unknown kind {self.discovery!r}")
        _need(self.controllers >= 1, "controllers", "must be at least 1")
        _need(self.max_attempts >= 1, "max_attempts", "must be at least 1")
        _need(self.release_ns >= 0, "release_ns", "must not be negative")
        _need(self.resend_ns >= 0, "resend_ns", "must not be negative")
        _need(0 < self.start_capacity <= 1, "start_capacity", "must lie above 0 and up to 1")
        _need(self.fall_multiple > 0, "fall_multiple", "must be above 0")
        _need(self.fall_ns > 0, "fall_ns", "must be above 0")
        _need(self.cold_ns >= 0, "cold_ns", "must not be negative")
        _need(0 <= self.over_share_worth <= 1, "over_share_worth", "must lie between 0 and 1")


# Events


@dataclass(frozen=True, slots=True)
class ListEntry:
    """One processor in the exchange list."""

    endpoint_id: int
    zone: str
    exchange: int
    state: str  # "in_service", "terminating" or "terminated"
    started_ns: int  # clock time of its last start; 0: long ago


@dataclass(frozen=True, slots=True)
class ExchangeListUpdate:
    """News of the exchange list."""

    kind: str  # "update", "replace", "restored" or "unavailable"
    entries: tuple[ListEntry, ...]


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call is handed to this controller, from a subscriber or in transit."""

    call_id: str
    class_name: str
    tenant: str
    destination: int
    number: int
    width: int
    deadline_ns: int  # clock time at which the caller gives this try up
    expected_work_ns: int  # expected own work; 0 where unsaid
    in_transit: bool
    redialled: bool
    replaces_cut_call: bool
    via_exchange: int  # tandem or pool with most room at the centre's last look; -1: none


@dataclass(frozen=True, slots=True)
class CallEstablished:
    call_id: str
    endpoint_id: int
    attempt: int
    latency_ns: int


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Circuits of the own group toward an office, and figures of its processor by name."""

    free: float  # -1: not told
    size: float
    metrics: tuple[tuple[str, float], ...]


CAUSE_CONNECTION_FAILED = (
    5  # a cause: the connection to the office failed, which says nothing of its processor
)


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The one outcome of an attempt."""

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
    """The own group toward an office has changed, or a probe has come back."""

    endpoint_id: int
    outcome: str
    latency_ns: int
    report: LoadReport | None


@dataclass(frozen=True, slots=True)
class CallerGone:
    call_id: str


@dataclass(frozen=True, slots=True)
class TimerExpired:
    timer_id: str


@dataclass(frozen=True, slots=True)
class PeerMessage:
    sender: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class PoolUpdate:
    """The exchanges that a class of the layout "groups" may use from now on; empty: none."""

    class_name: str
    exchanges: tuple[int, ...]


Event = (
    ExchangeListUpdate
    | CallOffered
    | CallEstablished
    | AttemptEnded
    | TrunkGroupReport
    | CallerGone
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
    call_id: str
    retry_after_ns: int  # 0: no advice


@dataclass(frozen=True, slots=True)
class FailCall:
    call_id: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    delay_ns: int
    timer_id: str


@dataclass(frozen=True, slots=True)
class WatchExchangeList:
    """Ask the exchange list for changes from now on."""


@dataclass(frozen=True, slots=True)
class CancelSetUp:
    call_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    endpoint_id: int


@dataclass(frozen=True, slots=True)
class SendPeerMessage:
    peer: int  # -1: all
    payload: bytes


Action = (
    SendSetUp | RefuseCall | FailCall | SetTimer | WatchExchangeList | CancelSetUp | Probe | SendPeerMessage
)
