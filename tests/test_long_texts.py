"""Entries with texts of a megabyte cost neither the links between instances nor much time."""

from __future__ import annotations

import json
import time

import pytest
import structlog.testing

from lineworks.platform import target_entries
from lineworks.platform.standins import documents
from tests import test_forwarding, test_store_rows

LONG = json.dumps("s" * 1_000_000)
ENTRIES = 5
"""Entries with such a text: together they exceed what one frame between instances can hold."""


@pytest.mark.parametrize("name", ["Service", "Zone"])
def test_entries_with_long_texts_do_not_close_the_links_between_instances(name):
    # Each instance passes the entries of the store on to those of its hall in one frame.
    world = test_forwarding.build()
    odd = documents.encode_value(test_store_rows.with_text(name, LONG))
    with structlog.testing.capture_logs() as logs:
        for number in range(ENTRIES):
            world.store.write(f"servers/i-long-{number}", odd)
        world.run(test_store_rows.IN_FORCE_SECONDS)
        world.add_node("akl-9", "akl")
        world.run(test_store_rows.IN_FORCE_SECONDS)
    assert not [one for one in logs if "malformed" in one.get("reason", "")]


@pytest.mark.parametrize("name", ["Service", "Zone", "ConfigVersion", "State", "Address"])
def test_an_entry_with_a_long_text_is_refused_quickly(name):
    data = test_store_rows.with_text(name, LONG).encode()
    began = time.process_time()
    with pytest.raises(target_entries.EntryError, match=name):
        target_entries.decode("servers/x", data)
    # 67 ms while each character was looked at; instances read all entries at the same time.
    assert time.process_time() - began < 0.02
