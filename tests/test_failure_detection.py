"""Which contacts with a server preserve its calls, and when its calls are reported as lost."""

from __future__ import annotations

from arrowrail.failure_detection.call_loss import (
    MS,
    REFUSED,
    RELEASE_LIMIT_NS,
    RESTARTED,
    SILENCE_LIMIT_NS,
    UNREACHABLE,
    CallLoss,
)
from arrowrail.failure_detection.endpoint import EndpointMonitor

START = 1_000_000 * MS
OPENED = START - 10_000 * MS  # when the connection from before the interruption was opened
ANSWERED = START - 5_000 * MS  # when the oldest established call was answered
LIMIT = SILENCE_LIMIT_NS // MS


def interrupted() -> EndpointMonitor:
    """A monitor with data received at START and two failed connection checks since."""
    monitor = EndpointMonitor(START - 60_000 * MS)
    monitor.data_received(START, OPENED, ANSWERED)
    for after in (2100, 3300):
        monitor.check_failed(START + after * MS)
    return monitor


def loss_at(monitor: EndpointMonitor, after_ms: int) -> CallLoss | None:
    return monitor.detect_loss(START + after_ms * MS)


def test_a_silent_unreachable_server_is_lost_before_the_limit_for_releases() -> None:
    monitor = interrupted()
    assert loss_at(monitor, LIMIT - 1) is None
    assert loss_at(monitor, LIMIT) == CallLoss(UNREACHABLE, START + 1)
    assert loss_at(monitor, LIMIT + 1000) is None, "reported once"
    monitor.check_failed(START + (LIMIT + 2000) * MS)
    assert loss_at(monitor, LIMIT + 9000) is None, "not reported again without a new contact"
    assert SILENCE_LIMIT_NS < RELEASE_LIMIT_NS


def test_one_failed_check_is_no_interruption() -> None:
    monitor = EndpointMonitor(START)
    monitor.check_failed(START + 2000 * MS)
    monitor.connected(START + 2100 * MS)
    monitor.check_failed(START + 4000 * MS)
    assert loss_at(monitor, 60_000) is None


def test_silence_alone_makes_a_check_due_and_is_no_interruption() -> None:
    monitor = EndpointMonitor(START)
    assert not monitor.check_due(START + 900 * MS) and monitor.check_due(START + 1000 * MS)
    begun = [START + 1000 * MS]
    assert not monitor.check_due(START + 1200 * MS, begun), "it may still succeed"
    assert monitor.check_due(START + 1300 * MS, begun), "a second check in parallel"
    assert not monitor.check_due(START + 1900 * MS, [*begun, START + 1300 * MS])
    monitor.connected(START + 1900 * MS)
    assert not monitor.check_due(START + 2000 * MS)
    assert loss_at(monitor, 60_000) is None


def test_data_on_a_connection_from_before_the_interruption_preserves_the_calls() -> None:
    monitor = interrupted()
    monitor.connected(START + 5000 * MS)
    monitor.data_received(START + 5100 * MS, OPENED, ANSWERED)
    assert loss_at(monitor, LIMIT) is None


def test_a_new_process_at_the_address_has_only_the_calls_set_up_on_it() -> None:
    monitor = interrupted()
    monitor.connected(START + 5000 * MS)
    monitor.data_received(START + 5100 * MS, START + 5000 * MS, ANSWERED)
    monitor.call_released(START + 5200 * MS, START + 5150 * MS)
    assert loss_at(monitor, LIMIT) == CallLoss(RESTARTED, START + 1)


def test_a_call_that_the_new_process_answered_is_no_evidence_of_the_old_one() -> None:
    monitor = interrupted()
    monitor.connected(START + 5000 * MS)
    monitor.call_released(START + 5200 * MS, START + 5050 * MS)  # its set-up was queued before
    assert loss_at(monitor, LIMIT) == CallLoss(RESTARTED, START + 1)


def test_a_message_about_a_call_from_before_the_interruption_preserves_the_others() -> None:
    monitor = interrupted()
    monitor.connected(START + 5000 * MS)
    monitor.call_released(START + 5200 * MS, START - 100 * MS)
    assert loss_at(monitor, LIMIT) is None


def test_a_second_interruption_has_a_limit_of_its_own() -> None:
    monitor = interrupted()
    monitor.connected(START + 4000 * MS)
    for after in (6200, 7000):
        monitor.check_failed(START + after * MS)
    assert loss_at(monitor, LIMIT) == CallLoss(RESTARTED, START + 1)
    monitor.check_failed(START + 8200 * MS)
    assert loss_at(monitor, 4000 + LIMIT - 1) is None
    assert loss_at(monitor, 4000 + LIMIT) == CallLoss(UNREACHABLE, START + 4000 * MS + 1)


def test_a_server_that_keeps_refusing_is_lost_and_one_at_its_connection_limit_is_not() -> None:
    monitor = EndpointMonitor(START)
    for after in (100, 1000, 2000):
        monitor.connection_refused(START + after * MS)
        assert loss_at(monitor, after) is None
    assert loss_at(monitor, 2101) == CallLoss(REFUSED, 0)
    monitor = EndpointMonitor(START)
    for after in range(0, 9000, 1000):
        monitor.connection_limit_reached(START + after * MS)
    assert loss_at(monitor, 9000) is None


def test_a_new_connection_ends_the_interruption_if_the_protocol_resets_circuits_on_restart() -> None:
    monitor = EndpointMonitor(START, resets_on_restart=True)
    for after in (2100, 3300):
        monitor.check_failed(START + after * MS)
    monitor.connected(START + 5000 * MS)
    assert loss_at(monitor, LIMIT) is None


def test_a_server_that_stops_sending_its_greeting_on_new_connections_is_lost() -> None:
    for greetings, expected in ((3, CallLoss(UNREACHABLE, START + 1)), (2, None)):
        monitor = EndpointMonitor(START - 60_000 * MS)
        for n in range(greetings):
            monitor.greeting_received(START - 9000 * MS + n, START - 9000 * MS)
        monitor.data_received(START, OPENED, ANSWERED)
        for after in (2000, 4000, 6000):
            monitor.connected(START + after * MS)
            monitor.greeting_missing(START + (after + 1000) * MS)
        assert loss_at(monitor, LIMIT) == expected
