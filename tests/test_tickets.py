"""Tickets: each runs once, at its issuer only."""

from __future__ import annotations

import random

import pytest

from lineworks.decisions import tickets, verdict


@pytest.fixture
def book():
    return tickets.TicketRegistry("a1", "inc", random.Random(1))


def test_a_ticket_is_read_back(book):
    ticket = book.issue(0.0, 10.0)
    assert tickets.parse(str(ticket)) == ticket


@pytest.mark.parametrize("text", ["", "t1~a", "t1~a~b~x~n", "t9~a~b~1~n"])
def test_other_texts_are_no_tickets(text):
    with pytest.raises(tickets.TicketError):
        tickets.parse(text)


def test_a_ticket_runs_once(book):
    text = str(book.issue(0.0, 10.0))
    assert isinstance(book.redeem(text, "f", 1.0), tickets.Run)
    assert isinstance(book.redeem(text, "f", 1.0), tickets.Wait)
    book.record_outcome(text, "done")
    assert book.redeem(text, "f", 50.0) == tickets.Replay("done")


def test_a_ticket_serves_one_request_only(book):
    text = str(book.issue(0.0, 10.0))
    book.redeem(text, "f", 1.0)
    found = book.redeem(text, "other", 1.0)
    assert isinstance(found, verdict.Verdict)
    assert found.reason is verdict.Reason.TICKET_USED
    assert found.is_not_run


def test_an_expired_or_unknown_ticket_does_not_run(book):
    text = str(book.issue(0.0, 10.0))
    assert book.redeem(text, "f", 10.0).reason is verdict.Reason.TICKET_EXPIRED
    assert book.redeem("t1~a1~inc~9~zz", "f", 1.0).reason is verdict.Reason.TICKET_UNKNOWN


def test_a_paused_issuer_does_not_run_what_expired_meanwhile(book):
    """The clock jumps by 30 s between issue and use."""
    text = str(book.issue(0.0, 5.0))
    assert book.redeem(text, "f", 30.0).is_not_run


def test_unused_tickets_are_voided_and_used_ones_are_not(book):
    used, unused = str(book.issue(0.0, 10.0)), str(book.issue(0.0, 10.0))
    book.redeem(used, "f", 1.0)
    assert book.void_unused() == 1
    assert book.redeem(unused, "f", 1.0).reason is verdict.Reason.TICKET_UNKNOWN
    assert isinstance(book.redeem(used, "f", 1.0), tickets.Wait)


def test_old_tickets_are_forgotten_but_not_running_ones(book):
    running = str(book.issue(0.0, 1.0))
    book.redeem(running, "f", 0.5)
    for _ in range(100):
        book.issue(0.0, 1.0)
    book.issue(1.0 + tickets.OUTCOME_RETENTION_SECONDS + 1, 1.0)
    assert len(book) == 2
