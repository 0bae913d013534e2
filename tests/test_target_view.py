"""The view of targets: newer revisions win, leaving is final, removals wait after outages."""

from __future__ import annotations

import dataclasses

import pytest

from lineworks.decisions import positions, target_view
from lineworks.forwarding import target_documents

ENTRY = target_view.TargetEntry("i-1", "s", "akl", "10.0.0.1", 80, 2, False, False)


def at(revision, era=1):
    return positions.Position(era, revision)


def change(revision, entry=ENTRY, name="i-1", era=1):
    return target_view.TargetChange(name, at(revision, era), entry)


def test_an_older_change_does_not_undo_a_newer_one():
    view = target_view.TargetView()
    view.apply([change(5, None)], 0)
    assert not view.apply([change(4)], 0)
    assert not view.entries


def test_leaving_is_final_for_a_process():
    view = target_view.TargetView()
    view.apply([change(1, dataclasses.replace(ENTRY, is_leaving=True))], 0)
    view.apply([change(2)], 0)
    assert view.entries["i-1"].is_leaving


def test_a_listing_drops_what_it_lacks():
    view = target_view.TargetView()
    view.apply([change(1)], 0)
    assert view.replace([], at(7), 0)
    assert not view.entries
    assert view.position == at(7)


def test_a_listing_keeps_what_is_newer_than_itself():
    view = target_view.TargetView()
    view.apply([change(9)], 0)
    view.replace([], at(7), 0)
    assert view.entries


def test_a_held_removal_happens_unless_the_entry_returns():
    view = target_view.TargetView()
    view.apply([change(1), change(1, dataclasses.replace(ENTRY, id="i-2"), "i-2")], 0)
    assert not view.apply([change(2, None), change(2, None, "i-2")], hold_until=10.0)
    assert set(view.entries) == {"i-1", "i-2"}
    assert view.confirmed_entries() == {}
    view.apply([change(3)], 0)
    assert not view.expire(9.9)
    assert view.expire(10.0)
    assert set(view.entries) == {"i-1"}


def test_only_real_changes_count():
    view = target_view.TargetView()
    assert view.apply([change(1)], 0)
    assert not view.apply([change(2)], 0)


def test_changes_travel_whole():
    changes = [change(3), change(4, None, "i-2")]
    assert target_documents.decode(target_documents.encode(changes)) == changes


def test_a_damaged_document_is_refused():
    for data in (b"", b"{}x", b'[["a"]]', b'[["a", 1, "s"]]', b"[[1, 2]]"):
        try:
            target_documents.decode(data)
        except target_documents.TargetDocumentError:
            continue
        raise AssertionError(data)


GONE = target_view.TargetChange("i-1", at(5), None)
AGAIN = change(3, era=2)
"""The entry as an older copy has it, after it was gone."""


def returned():
    """A view in which the store's older copy brought back an entry that had gone."""
    view = target_view.TargetView()
    view.apply([change(3), GONE], 0)
    view.replace([AGAIN], at(4, 2), hold_until=12.3, doubt_until=15.0)
    return view


def test_revisions_of_a_later_era_are_newer():
    view = target_view.TargetView()
    view.apply([change(50)], 0)
    view.replace([change(7, era=2)], at(9, 2), 0)
    assert view.position == at(9, 2)
    assert view.apply([change(10, None, era=2)], 0)
    assert not view.entries


def test_what_had_gone_is_doubted_until_it_is_written_anew():
    view = returned()
    assert not view.entries
    assert view.apply([change(6, era=2)], 0)
    assert view.entries


def test_what_had_gone_is_believed_when_dead_entries_would_be_gone():
    view = returned()
    assert not view.accept_doubted(14.9)
    assert view.accept_doubted(15.0)
    assert view.entries


def test_what_goes_again_is_not_believed_later():
    removed = returned()
    removed.apply([change(6, None, era=2)], 0)
    assert not removed.accept_doubted(20.0)
    missing = returned()
    missing.replace([], at(9, 2), 0)
    assert not missing.accept_doubted(20.0)


def test_another_process_under_the_identity_is_not_doubted():
    view = target_view.TargetView()
    view.apply([change(3), GONE], 0)
    born = dataclasses.replace(ENTRY, born=1)
    view.replace([change(3, born, era=2)], at(4, 2), 12.3, 15.0)
    assert view.entries


def test_a_peer_that_believed_an_entry_doubts_it_with_those_who_know():
    view = target_view.TargetView()
    view.replace([AGAIN], at(4, 2), 0, 15.0)
    assert view.entries
    told = target_documents.decode_unsettled(
        target_documents.encode_unsettled(returned().unsettled(10.0))
    )
    assert view.apply_unsettled(told, 10.0)
    assert not view.entries
    assert not view.accept_doubted(14.9)
    assert view.accept_doubted(15.0)


def test_a_peer_that_knows_more_doubts_nothing():
    view = target_view.TargetView()
    view.apply([change(6, era=2)], 0)
    assert not view.apply_unsettled(returned().unsettled(10.0), 10.0)
    assert view.entries


def test_a_peer_holds_up_a_removal_as_long_as_whoever_listed_it():
    first = target_view.TargetView()
    first.apply([change(1)], 0)
    first.apply([change(2, None)], hold_until=12.0)
    second = target_view.TargetView()
    second.replace(first.all_changes(), at(9), 0)
    second.apply_unsettled(first.unsettled(10.0), 10.0)
    assert set(second.entries) == {"i-1"}
    assert second.confirmed_entries() == {}
    assert not second.expire(11.9)
    assert second.expire(12.0)


@pytest.mark.parametrize(
    "data",
    [
        b"[",
        b'{"a": 1}',
        b"[3]",
        b'[["held", "x", "i-1", 1, 1]]',
        b'[["gone", 1, "i-1", 1, 1]]',
        b'[["held", 1, "i-1", 1]]',
        b'[["held", 1, "i-1", 1, 1, "s"]]',
    ],
)
def test_what_is_no_list_of_unsettled_entries_is_an_error(data):
    with pytest.raises(target_documents.TargetDocumentError):
        target_documents.decode_unsettled(data)


def test_what_a_peer_holds_up_is_held_up_though_more_was_known_of_it():
    # A reader listed what it held under the position of before the return. A peer with a later one
    # took it for present, at a place after its removal, and kept it for good.
    view = target_view.TargetView()
    view.apply([change(3, era=2)], 0)
    view.replace([], at(9, 3), 0, held={"i-1": 12.0})
    assert view.confirmed_entries() == {}
    assert view.expire(12.0)


def test_a_peer_is_told_what_it_lists_and_is_leaving():
    knows = target_view.TargetView()
    knows.apply([change(3, dataclasses.replace(ENTRY, is_leaving=True))], 0)
    started = target_view.TargetView()
    started.replace([change(2, era=2)], at(4, 2), 0)
    knows.replace([change(2, era=2)], at(4, 2), 0)
    assert knows.entries["i-1"].is_leaving
    told = knows.corrections(started.all_changes(), 0.0)
    assert started.apply_unsettled(told, 0.0)
    assert started.entries["i-1"].is_leaving
