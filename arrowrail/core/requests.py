"""Requests, attempts and responses, and the protocols of frontends, backends and admission control."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from arrowrail.state.endpoints import Endpoint, EndpointEntry
from arrowrail.state.timers import Timer
from trackhatch import interface

MS = 1_000_000  # in ns
ESTABLISHED, REFUSED, FAILED = "stands", "refused", "failed"
Q850_NORMAL_CLEARING, Q850_TEMPORARY_FAILURE = 16, 41
# Cause code: the connection to the endpoint failed, which says nothing about its processor.
CAUSE_CONNECTION_FAILED = interface.CAUSE_CONNECTION_FAILED


@dataclass(frozen=True, slots=True)
class SetUpParams:
    """The parameters of a set-up, in the same form for all frontends."""

    call_id: str  # never reused; 16 hex digits
    class_name: str
    called_number: str  # as the caller wrote it
    number_key: int  # the called number as an integer, for the decision module
    destination: int  # number of the exchange; -1: left to routing
    width: int  # circuits on each trunk group
    deadline_ns: int
    session_description: bytes
    in_transit: bool = False
    redialled: bool = False
    replaces_cut_call: bool = False
    via_exchange: int = -1
    route: str = ""  # class name used by the decision module; empty: ``class_name``
    district: str = ""  # named by the caller; empty if not

    def fingerprint(self) -> int:
        """Return a hash that is equal for set-ups that differ at most in the deadline, in this process."""
        return hash((
            self.call_id, self.class_name, self.called_number, self.destination, self.width,
            self.session_description, self.in_transit, self.redialled, self.replaces_cut_call,
            self.via_exchange, self.route, self.district,
        ))  # fmt: skip


class SubmitResult(Enum):
    """What has become of a set-up that a frontend passed to the core."""

    ACCEPTED = "accepted"  # a new request, which gets a final response
    OPEN = "open"  # its call is open or established already
    REFUSED = "refused"  # its call has ended, and trying again is harmless
    FAILED = "failed"  # its call has ended and may have run
    CONFLICT = "conflict"  # another call has its call id


@dataclass(frozen=True, slots=True)
class FinalResponse:
    """The final response to a request; each request gets exactly one."""

    result: str  # ESTABLISHED, REFUSED or FAILED
    session_description: bytes = b""
    retry_after_ns: int = 0
    outcome: str = ""  # of the last attempt, if any; a frontend may choose its refusal code by it
    cause: int = 0


@dataclass(frozen=True, slots=True)
class ReleaseOutcome:
    """What a release by an endpoint means before and after the answer; only the core knows which applies."""

    before_answer: str  # outcome if the call was not established yet
    cause: int = 0
    after_answer: str = "served"  # outcome if it was


@dataclass(slots=True)
class Attempt:
    """One set-up sent to an endpoint."""

    number: int
    endpoint: Endpoint
    sent_ns: int
    answered_ns: int = 0  # 0: not yet
    timeout_timer: Timer | None = None


@dataclass(slots=True)
class Request:
    """The state of a call from its request to its end."""

    params: SetUpParams
    frontend: Frontend
    connection_id: int  # the frontend's handle of the connection for the response
    fingerprint: int  # of the set-up as it was received
    handle: int = 0
    attempts: int = 0  # made so far
    current_attempt: Attempt | None = None  # the pending or the established attempt
    established: bool = False
    may_have_run: bool = False  # an attempt has ended without proof that it never ran
    has_response: bool = False  # the final response was sent
    next_attempt_ns: int = 0  # no attempt may be sent before this time
    deadline_timer: Timer | None = None
    last_outcome: tuple[str, int] = ("", 0)  # outcome and cause of the last attempt
    received_ns: int = 0
    admitted: bool = False  # counted by admission control until the final response
    is_held: bool = False  # counted by the memory budget until the final response
    held_bytes: int = 0
    origin: tuple[int, int] = (0, 0)  # frontend and connection on which limits count it, wherever it moves


class Frontend(Protocol):
    """The signalling toward callers."""

    def respond(self, request: Request, response: FinalResponse) -> None: ...
    def release(self, request: Request, cause: int) -> None: ...
    # Releases a call from before a restart, whose caller is not known.
    def release_unknown(self, call_id: str, cause: int) -> None: ...

    def is_caller_connected(self, request: Request) -> bool:
        """Whether the connection on which the request waits for its response is still open at both ends."""

    def flushed(self) -> bool:
        """Whether all output has been written."""

    @property
    def connections(self) -> int:
        """Number of open connections from callers."""


class Backend(Protocol):
    """The signalling toward endpoints."""

    def endpoint_changed(self, endpoint: Endpoint) -> None:
        """The list entry has changed: connect, withdraw set-ups that are still queued, or disconnect."""

    def set_up(self, endpoint: Endpoint, params: SetUpParams, timeout_ns: int) -> None: ...
    def cancel_set_up(self, endpoint: Endpoint, call_id: str) -> bool:
        """Drop the set-up if it is still queued, else cancel it at the endpoint.

        Return whether it was dropped, so that it can't have run.
        """

    def release(self, endpoint: Endpoint, call_id: str, cause: int) -> None: ...
    def address_taken(self, endpoint: Endpoint, started_ns: int) -> None:
        """The list has another server at the endpoint's address, which started at ``started_ns``."""


# Outcomes of set-ups that are refused before the decision module sees them.
NO_ROUTE, OVER_LIMIT = "no_route", "over_limit"
SHUTDOWN = "shutdown"  # arrived too late in the shutdown


class AdmissionController(Protocol):
    """Optional stage ahead of the decision module: routing, limits and the state of pools."""

    def admit(
        self, now: int, connection: object, params: SetUpParams
    ) -> tuple[SetUpParams, FinalResponse | None]:
        """Return the routed parameters, and the final response if the set-up is refused."""

    def set_up_finished(self, now: int, connection: object, params: SetUpParams, duration_ns: int) -> None:
        """An admitted set-up has its final response, or its caller has abandoned it."""

    def attempt_timeout_ns(self, params: SetUpParams) -> int:
        """How long an attempt may stay unanswered; 0: until the deadline of the request."""

    def supports_class(self, class_name: str) -> bool: ...
    def filter_entries(
        self, source: str, snapshot: bool, entries: Iterable[EndpointEntry]
    ) -> tuple[str, bool, list[EndpointEntry]]:
        """Return the source, kind and entries of a list update in the form to be applied."""

    def endpoints_changed(self, endpoints: Iterable[Endpoint]) -> list[interface.PoolUpdate]: ...
    def attempt_ended(
        self, now: int, endpoint: Endpoint, outcome: str, cause: int
    ) -> list[interface.PoolUpdate]: ...
