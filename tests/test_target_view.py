"""The view of targets: newer revisions win, leaving is final, removals wait after outages."""

from __future__ import annotations

import dataclasses

from lineworks.decisions import target_view
from lineworks.forwarding import target_documents

ENTRY = target_view.TargetEntry("i-1", "s", "akl", "10.0.0.1", 80, 2, False, False)


def change(revision, entry=ENTRY, name="i-1"):
    return target_view.TargetChange(name, revision, entry)


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
    assert view.replace([], 7, 0)
    assert not view.entries
    assert view.revision == 7


def test_a_listing_keeps_what_is_newer_than_itself():
    view = target_view.TargetView()
    view.apply([change(9)], 0)
    view.replace([], 7, 0)
    assert view.entries


def test_a_held_removal_happens_unless_the_entry_returns():
    view = target_view.TargetView()
    view.apply([change(1), change(1, dataclasses.replace(ENTRY, id="i-2"), "i-2")], 0)
    assert not view.apply([change(2, None), change(2, None, "i-2")], hold_until=10.0)
    assert set(view.entries) == {"i-1", "i-2"}
    assert view.certain() == {}
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
