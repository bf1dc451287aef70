"""Requests, attempts, answers and outcomes, and what the core expects of fronts, backs and admission."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from arrowrail.state.endpoints import Endpoint, EndpointEntry
from arrowrail.state.timers import Timer
from trackhatch import interface

MS = 1_000_000
ESTABLISHED, REFUSED, FAILED = "stands", "refused", "failed"
Q850_NORMAL_CLEARING, Q850_TEMPORARY_FAILURE = 16, 41
# Cause code: the connection to the endpoint failed, which says nothing about its processor.
CAUSE_CONNECTION_FAILED = interface.CAUSE_CONNECTION_FAILED


@dataclass(frozen=True, slots=True)
class SetUpParams:
    """A request as any front words it."""

    call_id: str  # unique for good; 16 hex digits
    class_name: str
    called_number: str  # the number called, as the caller wrote it
    number_key: int  # the number called, for the module
    destination: int
    width: int
    deadline_ns: int
    session_description: bytes
    in_transit: bool = False
    redialled: bool = False
    replaces_cut_call: bool = False
    via_exchange: int = -1
    route: str = ""  # the class by which the module knows it, where that is not the caller's
    district: str = ""  # named by the caller, where it is


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The one final answer of a request."""

    result: str  # STANDS, REFUSED or FAILED
    session_description: bytes = b""
    retry_after_ns: int = 0
    outcome: str = ""  # of the last attempt, where one was made: a front may word its refusal by it
    cause: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseOutcome:
    """A release by a desk exchange, read both ways: only the core knows whether the call stood."""

    before_answer: str  # if the call did not stand yet
    cause: int = 0
    after_answer: str = "served"  # if it did


@dataclass(slots=True)
class Attempt:
    number: int
    endpoint: Endpoint
    sent_ns: int
    answered_ns: int = 0  # 0: not yet
    timeout_timer: Timer | None = None


@dataclass(slots=True)
class Request:
    params: SetUpParams
    frontend: Frontend
    connection_id: int  # the front's own handle for where the answer goes
    handle: int = 0
    attempts: int = 0
    current_attempt: Attempt | None = None  # the attempt that is out, or that stands
    established: bool = False
    next_attempt_ns: int = 0
    deadline_timer: Timer | None = None
    last_outcome: tuple[str, int] = ("", 0)  # outcome and cause of the last attempt
    received_ns: int = 0
    admitted: bool = False  # the admission controller counts it until its final answer


class Frontend(Protocol):
    def respond(self, request: Request, answer: FinalResponse) -> None: ...
    def release(self, request: Request, cause: int) -> None: ...
    def release_unknown(self, call: str, cause: int) -> None: ...
    def flushed(self) -> bool:
        """Whether all that was said has been written."""

    @property
    def connections(self) -> int:
        """How many connections of callers are open."""


class Backend(Protocol):
    def endpoint_changed(self, desk: Endpoint) -> None:
        """News of the list: open, withdraw what is still queued, or close."""

    def set_up(self, desk: Endpoint, offer: SetUpParams, wait_ns: int) -> None: ...
    def cancel_set_up(self, desk: Endpoint, call: str) -> None:
        """Take the set-up back if it is still queued, else tell the desk exchange."""

    def release(self, desk: Endpoint, call: str, cause: int) -> None: ...


# Outcomes of set-ups that admission turns away.
NO_ROUTE, OVER_LIMIT = "no_route", "over_limit"
SHUTDOWN = "shutdown"  # the outcome of requests that are cut off by the end of the process


class AdmissionController(Protocol):
    """What decides before the module, where an installation has it: routes, limits, the use of pools."""

    def admit(self, now: int, line: object, offer: SetUpParams) -> tuple[SetUpParams, FinalResponse | None]:
        """The offer as it goes on, or the answer that turns it away."""

    def set_up_finished(self, now: int, line: object, offer: SetUpParams, took_ns: int) -> None:
        """A set-up that was let in has its final answer, or its caller has gone."""

    def attempt_timeout_ns(self, offer: SetUpParams) -> int:
        """How long an attempt may go unanswered; 0: until the caller's deadline."""

    def supports_class(self, class_name: str) -> bool: ...
    def filter_entries(
        self, source: str, whole: bool, lines: Iterable[EndpointEntry]
    ) -> tuple[str, bool, list[EndpointEntry]]:
        """News of the list as it takes effect here."""

    def endpoints_changed(self, desks: Iterable[Endpoint]) -> list[interface.PoolUpdate]: ...
    def attempt_ended(
        self, now: int, desk: Endpoint, outcome: str, cause: int
    ) -> list[interface.PoolUpdate]: ...
