"""The view of targets: newer revisions win, leaving is final, removals are held after outages."""

from __future__ import annotations

import dataclasses
import json

import pytest
import structlog.testing

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


def test_a_listing_removes_entries_that_it_lacks():
    view = target_view.TargetView()
    view.apply([change(1)], 0)
    assert view.replace([], at(7), 0)
    assert not view.entries
    assert view.position == at(7)


def test_a_listing_keeps_entries_newer_than_itself():
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


def test_changes_survive_encoding_and_decoding():
    changes = [change(3), change(4, None, "i-2")]
    assert target_documents.decode(target_documents.encode(changes)) == changes


def test_a_damaged_document_is_refused():
    for data in (b"", b"{}x", b"{}", b"1"):
        with pytest.raises(target_documents.TargetDocumentError):
            target_documents.decode(data)


def refused_rows(decode, row):
    """Decode an invalid row between two good ones; return what is logged about it."""
    good = json.loads(target_documents.encode([change(3)]))[0]
    if decode is target_documents.decode_unsettled:
        good = ["held", 1.0, *good]
    with structlog.testing.capture_logs() as lines:
        found = decode(json.dumps([good, row, good]).encode())
    assert len(found) == 2
    return [(line["event"], line["count"]) for line in lines]


@pytest.mark.parametrize("row", [["a"], ["a", 1, "s"], [1, 2], 3, None])
def test_a_damaged_row_is_refused_and_costs_no_other(row):
    assert refused_rows(target_documents.decode, row) == [("peer_entries_refused", 1)]


REMOVED = target_view.TargetChange("i-1", at(5), None)
REAPPEARED = change(3, era=2)
"""The entry as an older copy of the store has it, after it was removed."""


def restored_view():
    """Return a view in which a removed entry reappeared from an older copy of the store."""
    view = target_view.TargetView()
    view.apply([change(3), REMOVED], 0)
    view.replace([REAPPEARED], at(4, 2), hold_until=12.3, doubt_until=15.0)
    return view


def test_revisions_of_a_later_era_are_newer():
    view = target_view.TargetView()
    view.apply([change(50)], 0)
    view.replace([change(7, era=2)], at(9, 2), 0)
    assert view.position == at(9, 2)
    assert view.apply([change(10, None, era=2)], 0)
    assert not view.entries


def test_a_reappeared_entry_is_doubted_until_it_is_written_again():
    view = restored_view()
    assert not view.entries
    assert view.apply([change(6, era=2)], 0)
    assert view.entries


def test_a_reappeared_entry_is_used_once_dead_entries_would_have_expired():
    view = restored_view()
    assert not view.accept_doubted(14.9)
    assert view.accept_doubted(15.0)
    assert view.entries


def test_a_doubted_entry_that_is_removed_again_is_not_used_later():
    removed = restored_view()
    removed.apply([change(6, None, era=2)], 0)
    assert not removed.accept_doubted(20.0)
    missing = restored_view()
    missing.replace([], at(9, 2), 0)
    assert not missing.accept_doubted(20.0)


def test_a_new_process_with_the_same_identity_is_not_doubted():
    view = target_view.TargetView()
    view.apply([change(3), REMOVED], 0)
    born = dataclasses.replace(ENTRY, born=1)
    view.replace([change(3, born, era=2)], at(4, 2), 12.3, 15.0)
    assert view.entries


def test_a_peer_that_uses_a_doubted_entry_learns_to_doubt_it():
    view = target_view.TargetView()
    view.replace([REAPPEARED], at(4, 2), 0, 15.0)
    assert view.entries
    received = target_documents.decode_unsettled(
        target_documents.encode_unsettled(restored_view().unsettled(10.0))
    )
    assert view.apply_unsettled(received, 10.0)
    assert not view.entries
    assert not view.accept_doubted(14.9)
    assert view.accept_doubted(15.0)


def test_a_peer_with_newer_information_doubts_nothing():
    view = target_view.TargetView()
    view.apply([change(6, era=2)], 0)
    assert not view.apply_unsettled(restored_view().unsettled(10.0), 10.0)
    assert view.entries


def test_a_peer_holds_a_removal_as_long_as_the_sender():
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
    ],
)
def test_an_invalid_list_of_unsettled_entries_is_an_error(data):
    with pytest.raises(target_documents.TargetDocumentError):
        target_documents.decode_unsettled(data)


@pytest.mark.parametrize(
    "row",
    [
        3,
        ["held", "x", "i-1", 1, 1],
        ["gone", 1, "i-1", 1, 1],
        ["held", 1, "i-1", 1],
        ["held", 1, "i-1", 1, 1, "s"],
    ],
)
def test_an_invalid_unsettled_entry_is_refused_and_costs_no_other(row):
    assert refused_rows(target_documents.decode_unsettled, row) == [("peer_entries_refused", 1)]


def test_an_entry_that_a_peer_holds_is_held_although_a_newer_position_is_known():
    # An instance lists the entries that it holds with their positions from before the restore. A
    # peer with a later position must not take such an entry for present and keep it forever.
    view = target_view.TargetView()
    view.apply([change(3, era=2)], 0)
    view.replace([], at(9, 3), 0, held={"i-1": 12.0})
    assert view.confirmed_entries() == {}
    assert view.expire(12.0)


def test_a_peer_is_told_which_of_its_entries_are_leaving():
    informed = target_view.TargetView()
    informed.apply([change(3, dataclasses.replace(ENTRY, is_leaving=True))], 0)
    started = target_view.TargetView()
    started.replace([change(2, era=2)], at(4, 2), 0)
    informed.replace([change(2, era=2)], at(4, 2), 0)
    assert informed.entries["i-1"].is_leaving
    received = informed.corrections(started.all_changes(), 0.0)
    assert started.apply_unsettled(received, 0.0)
    assert started.entries["i-1"].is_leaving
