"""Tickets: each one permits one run, at the instance that issued it."""

from __future__ import annotations

import random

import pytest

from lineworks.decisions import tickets, verdict


@pytest.fixture
def registry():
    return tickets.TicketRegistry("a1", "inc", random.Random(1))


def test_an_issued_ticket_can_be_parsed(registry):
    ticket = registry.issue(0.0, 10.0)
    assert tickets.parse(str(ticket)) == ticket


@pytest.mark.parametrize("text", ["", "t1~a", "t1~a~b~x~n", "t9~a~b~1~n"])
def test_malformed_tickets_are_rejected(text):
    with pytest.raises(tickets.TicketError):
        tickets.parse(text)


def test_a_ticket_runs_once(registry):
    text = str(registry.issue(0.0, 10.0))
    assert isinstance(registry.redeem(text, "f", 1.0), tickets.Run)
    assert isinstance(registry.redeem(text, "f", 1.0), tickets.Wait)
    registry.record_outcome(text, "done")
    assert registry.redeem(text, "f", 50.0) == tickets.Replay("done")


def test_a_ticket_is_valid_for_one_request_only(registry):
    text = str(registry.issue(0.0, 10.0))
    registry.redeem(text, "f", 1.0)
    found = registry.redeem(text, "other", 1.0)
    assert isinstance(found, verdict.Verdict)
    assert found.reason is verdict.Reason.TICKET_USED
    assert found.is_not_run


def test_an_expired_or_unknown_ticket_does_not_run(registry):
    text = str(registry.issue(0.0, 10.0))
    assert registry.redeem(text, "f", 10.0).reason is verdict.Reason.TICKET_EXPIRED
    assert registry.redeem("t1~a1~inc~9~zz", "f", 1.0).reason is verdict.Reason.TICKET_UNKNOWN


def test_a_ticket_that_expired_while_its_issuer_was_paused_does_not_run(registry):
    """The clock jumps by 30 s between issue and redemption."""
    text = str(registry.issue(0.0, 5.0))
    assert registry.redeem(text, "f", 30.0).is_not_run


def test_unused_tickets_are_voided_and_used_ones_are_not(registry):
    used, unused = str(registry.issue(0.0, 10.0)), str(registry.issue(0.0, 10.0))
    registry.redeem(used, "f", 1.0)
    assert registry.void_unused() == 1
    assert registry.redeem(unused, "f", 1.0).reason is verdict.Reason.TICKET_UNKNOWN
    assert isinstance(registry.redeem(used, "f", 1.0), tickets.Wait)


def test_expired_tickets_are_dropped_except_running_ones(registry):
    running = str(registry.issue(0.0, 1.0))
    registry.redeem(running, "f", 0.5)
    for _ in range(100):
        registry.issue(0.0, 1.0)
    registry.issue(1.0 + tickets.OUTCOME_RETENTION_SECONDS + 1, 1.0)
    assert len(registry) == 2
