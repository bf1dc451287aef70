"""Requests, attempts, answers and outcomes, and what the core expects of fronts, backs and admission."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from arrowrail.state.deadlines import Deadline
from arrowrail.state.endpoints import Endpoint, EndpointEntry
from trackhatch import interface

MS = 1_000_000
STANDS, REFUSED, FAILED = "stands", "refused", "failed"
Q850_NORMAL, Q850_CUT = 16, 41
# Cause code: the connection to the endpoint failed, which says nothing about its processor.
CAUSE_CONNECTION_FAILED = interface.CAUSE_CONNECTION_FAILED


@dataclass(frozen=True, slots=True)
class Offer:
    """A request as any front words it."""

    call: str  # unique for good; 16 hex digits
    class_name: str
    number: str  # the number called, as the caller wrote it
    key: int  # the number called, for the module
    destination: int
    width: int
    deadline_ns: int
    description: bytes
    in_transit: bool = False
    redialled: bool = False
    came_back: bool = False
    via: int = -1
    route: str = ""  # the class by which the module knows it, where that is not the caller's
    district: str = ""  # named by the caller, where it is


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a request."""

    kind: str  # STANDS, REFUSED or FAILED
    description: bytes = b""
    stay_away_ns: int = 0
    outcome: str = ""  # of the last attempt, where one was made: a front may word its refusal by it
    cause: int = 0


@dataclass(frozen=True, slots=True)
class Ended:
    """A release by a desk exchange, read both ways: only the core knows whether the call stood."""

    outcome: str  # if the call did not stand yet
    cause: int = 0
    stood: str = "served"  # if it did


@dataclass(slots=True)
class Attempt:
    number: int
    desk: Endpoint
    sent_ns: int
    answered_ns: int = 0  # 0: not yet
    timer: Deadline | None = None


@dataclass(slots=True)
class Request:
    offer: Offer
    front: Front
    line: int  # the front's own handle for where the answer goes
    handle: int = 0
    attempts: int = 0
    out: Attempt | None = None  # the attempt that is out, or that stands
    stands: bool = False
    not_before: int = 0
    timer: Deadline | None = None
    last: tuple[str, int] = ("", 0)  # outcome and cause of the last attempt
    taken_ns: int = 0
    let_in: bool = False  # the admission controller counts it until its final answer


class Front(Protocol):
    def answer(self, request: Request, answer: Answer) -> None: ...
    def release(self, request: Request, cause: int) -> None: ...
    def release_unknown(self, call: str, cause: int) -> None: ...
    def flushed(self) -> bool:
        """Whether all that was said has been written."""

    @property
    def connections(self) -> int:
        """How many connections of callers are open."""


class Back(Protocol):
    def changed(self, desk: Endpoint) -> None:
        """News of the list: open, withdraw what is still queued, or close."""

    def set_up(self, desk: Endpoint, offer: Offer, wait_ns: int) -> None: ...
    def give_up(self, desk: Endpoint, call: str) -> None:
        """Take the set-up back if it is still queued, else tell the desk exchange."""

    def release(self, desk: Endpoint, call: str, cause: int) -> None: ...


# Outcomes of set-ups that admission turns away.
NO_ROUTE, OVER_LIMIT = "no_route", "over_limit"
SHUTDOWN = "shutdown"  # the outcome of requests that are cut off by the end of the process


class AdmissionController(Protocol):
    """What decides before the module, where an installation has it: routes, limits, the use of pools."""

    def enter(self, now: int, line: object, offer: Offer) -> tuple[Offer, Answer | None]:
        """The offer as it goes on, or the answer that turns it away."""

    def settled(self, now: int, line: object, offer: Offer, took_ns: int) -> None:
        """A set-up that was let in has its final answer, or its caller has gone."""

    def time_out_ns(self, offer: Offer) -> int:
        """How long an attempt may go unanswered; 0: until the caller's deadline."""

    def carries(self, class_name: str) -> bool: ...
    def listed(
        self, source: str, whole: bool, lines: Iterable[EndpointEntry]
    ) -> tuple[str, bool, list[EndpointEntry]]:
        """News of the list as it takes effect here."""

    def told(self, desks: Iterable[Endpoint]) -> list[interface.PoolUpdate]: ...
    def attempt_over(
        self, now: int, desk: Endpoint, outcome: str, cause: int
    ) -> list[interface.PoolUpdate]: ...
