"""The final check of the rules before a set-up is sent.  Pure: no I/O, and the time is a parameter."""

from __future__ import annotations

from arrowrail.core.requests import Request
from arrowrail.state.endpoints import IN_SERVICE, Endpoint
from trackhatch.interface import Settings


def violated_rule(now: int, settings: Settings, request: Request | None, endpoint: Endpoint | None) -> str:
    """Return the rule that a set-up would violate, as a log text and counter label; empty if none."""
    if request is None:
        return "the call is over"
    if endpoint is None:
        return "the office was never listed"
    if request.established or request.current_attempt is not None:
        return "an attempt is out already"
    if request.attempts >= settings.max_attempts:
        return "no attempt is left"
    if now < request.next_attempt_ns:
        return "the release pause is not over"
    if now >= request.params.deadline_ns:
        return "the deadline has passed"
    if endpoint.entry.state != IN_SERVICE and now - endpoint.drain_notified_ns >= settings.drain_grace_ns:
        return "the desk exchange drains or is gone"
    if settings.layout == "meshed" and endpoint.entry.exchange == settings.own_exchange:
        return "it is the own exchange"
    if request.params.in_transit and endpoint.entry.exchange != request.params.destination:
        return "a call in transit goes to its destination only"
    return ""
