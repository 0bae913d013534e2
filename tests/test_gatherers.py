"""Tests of the gatherer client: what happens when a link is lost."""

from __future__ import annotations

import random

from bench import fakes
from lineworks.forwarding import gatherers
from lineworks.wire import node_frames


class Links:
    """Links that accept every frame and discard it."""

    def __init__(self):
        self.up = {}
        self.on_down = []

    def handle(self, kind, handler):
        pass

    def send(self, name, frame):
        return True


def query(number):
    return node_frames.GatherQuery(number, ("s",), b"", b"", b"a", 5, b"", 2.0, 1.0)


def test_a_search_that_ends_on_a_lost_query_may_close_its_other_queries():
    links = Links()
    asked = gatherers.GathererClient(fakes.VirtualClock(), links, random.Random(1))
    lost = []

    def end_search():
        lost.append("first")
        asked.close(2, (0,))

    asked.send("wlg-1", query(1), lambda frame: None, end_search)
    asked.send("wlg-1", query(2), lambda frame: None, lambda: lost.append("second"))
    asked.send("wlg-1", query(3), lambda frame: None, lambda: lost.append("third"))
    links.on_down[0]("wlg-1")
    assert lost == ["first", "third"]
