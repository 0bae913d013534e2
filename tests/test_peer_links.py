"""Peer links over in-memory transports."""

from __future__ import annotations

import pytest
from twisted.internet import task
from twisted.internet.testing import StringTransport

from lineworks.decisions import catalog
from lineworks.engine import messages
from lineworks.services import peer_link, peer_links
from lineworks.wire import codec, deflate, frames


def encode_first_frame(frame):
    """Encode and compress a frame as the first one of a link."""
    return deflate.Deflater().deflate(codec.encode(frame, 0.0))


class _Transport(StringTransport):
    def setTcpNoDelay(self, enabled):  # noqa: N802
        pass

    def abortConnection(self):  # noqa: N802
        self.aborted = True
        self.disconnecting = True


class _Pair:
    """Two ends of one link."""

    def __init__(self, clock, secret=b"s", other_secret=b"s"):
        self.a = peer_links.PeerLinks(clock, "a", "h", "inc-a", secret)
        self.b = peer_links.PeerLinks(clock, "b", "h", "inc-b", other_secret)
        self.ends = (peer_link.PeerLink(self.a), peer_link.PeerLink(self.b))
        self.transports = (_Transport(), _Transport())
        for end, transport in zip(self.ends, self.transports, strict=True):
            end.makeConnection(transport)

    def pump(self):
        has_moved = True
        while has_moved:
            has_moved = False
            for sender, receiver in ((0, 1), (1, 0)):
                data = self.transports[sender].value()
                self.transports[sender].clear()
                if data:
                    self.ends[receiver].dataReceived(data)
                    has_moved = True


@pytest.fixture
def clock():
    return task.Clock()


def test_both_ends_authenticate(clock):
    pair = _Pair(clock)
    received = []
    pair.b.handle(frames.Heartbeat, lambda link, frame: received.append((link.hello.name, frame)))
    pair.a.handle(frames.Heartbeat, lambda link, frame: None)
    pair.pump()
    assert set(pair.a.up) == {"b"}
    assert set(pair.b.up) == {"a"}
    assert received[0][0] == "a"


def test_a_wrong_secret_is_refused(clock):
    pair = _Pair(clock, other_secret=b"other")
    pair.pump()
    assert not pair.a.up
    assert not pair.b.up
    assert pair.a.counts == {"closed:refused": 1}


def test_a_replayed_hello_is_refused(clock):
    """The signature of a hello covers the challenge, so it is invalid for any other challenge."""
    links = peer_links.PeerLinks(clock, "a", "h", "inc", b"s")
    link = peer_link.PeerLink(links)
    link.makeConnection(_Transport())
    mac = peer_link.sign(b"s", b"an older challenge", "b", "h", "inc-b")
    hello = frames.Hello("b", "h", "inc-b", mac)
    link.stringReceived(encode_first_frame(hello))
    assert not links.up
    assert link.transport.aborted


def test_a_frame_before_the_hello_closes_the_link(clock):
    links = peer_links.PeerLinks(clock, "a", "h", "inc", b"s")
    cancels = []
    links.handle(messages.Cancel, lambda link, frame: cancels.append(frame))
    link = peer_link.PeerLink(links)
    link.makeConnection(_Transport())
    link.stringReceived(encode_first_frame(messages.Cancel(1)))
    assert cancels == []
    assert link.transport.aborted


@pytest.mark.parametrize("data", [b"", b"junk", b"\xff" * 64])
def test_a_malformed_frame_closes_only_its_link(clock, data):
    first, second = _Pair(clock), _Pair(clock)
    for pair in (first, second):
        for links in (pair.a, pair.b):
            links.handle(frames.Heartbeat, lambda link, frame: None)
        pair.pump()
    first.ends[0].stringReceived(data)
    assert first.transports[0].aborted
    assert not hasattr(second.transports[0], "aborted")
    assert set(second.a.up) == {"b"}


def test_an_oversized_frame_closes_the_link(clock):
    pair = _Pair(clock)
    for links in (pair.a, pair.b):
        links.handle(frames.Heartbeat, lambda link, frame: None)
    pair.pump()
    pair.ends[0].dataReceived(b"\x7f\xff\xff\xff")
    assert pair.transports[0].aborted


def test_a_silent_link_is_closed_and_reported_as_down(clock):
    pair = _Pair(clock)
    for links in (pair.a, pair.b):
        links.handle(frames.Heartbeat, lambda link, frame: None)
    down = []
    pair.a.on_down.append(down.append)
    pair.pump()
    pair.a.start()
    clock.pump([0.5] * 20)
    assert pair.transports[0].aborted
    pair.ends[0].connectionLost(None)
    assert down == ["b"]


def test_frames_reach_the_handler_for_their_type(clock):
    pair = _Pair(clock)
    queries = []
    for links in (pair.a, pair.b):
        links.handle(frames.Heartbeat, lambda link, frame: None)
    pair.b.handle(messages.SubQueries, lambda link, frame: queries.append(frame.query))
    pair.pump()
    sub_queries = messages.SubQueries(
        1, "q-1", "h", catalog.Snapshot(1, "base"), ("s",), ("s",), b"", 1.0
    )
    assert pair.a.send("b", sub_queries)
    assert not pair.a.send("nobody", sub_queries)
    pair.pump()
    assert queries == ["q-1"]


def test_a_heartbeat_is_encoded_once_for_all_links_and_decoded_only_when_it_changes(
    clock, monkeypatch
):
    """Most frames between instances without load are heartbeats that repeat the previous one."""
    encoded, decoded, received = [], [], []
    a = peer_links.PeerLinks(clock, "a", "h", "inc-a", b"s")
    a.handle(frames.Heartbeat, lambda link, frame: None)
    pairs = []
    for name in ("b", "c", "d"):
        peer = peer_links.PeerLinks(clock, name, "h", f"inc-{name}", b"s")
        peer.handle(frames.Heartbeat, lambda link, frame: received.append(frame.config_version))
        pairs.append(_connect(a, peer))
    monkeypatch.setattr(codec, "encode", _recording(codec.encode, encoded))
    monkeypatch.setattr(codec, "decode", _recording(codec.decode, decoded))
    a.start()
    for version in (0, 0, 7):
        a.make_heartbeat = lambda version=version: frames.Heartbeat(False, version, "")
        clock.advance(1.0)
        for pair in pairs:
            _deliver_all(pair)
    assert received == [0, 0, 0] * 3 + [7, 7, 7]
    assert len(encoded) == 3
    assert len(decoded) == 3


def test_when_both_ends_dial_the_connection_opened_by_the_lower_name_is_kept(clock):
    """The other connection is closed without either end reporting the peer as down."""
    a = peer_links.PeerLinks(clock, "a", "h", "inc-a", b"s")
    b = peer_links.PeerLinks(clock, "b", "h", "inc-b", b"s")
    down = []
    for links in (a, b):
        links.handle(frames.Heartbeat, lambda link, frame: None)
        links.on_down.append(down.append)
    kept = _connect(a, b)
    spare = _connect(b, a)
    assert a.up["b"] is kept[0]
    assert b.up["a"] is kept[1]
    assert down == []
    assert spare[0].transport.aborted or spare[1].transport.aborted


def test_a_later_connection_opened_by_the_lower_name_replaces_an_existing_one(clock):
    a = peer_links.PeerLinks(clock, "a", "h", "inc-a", b"s")
    b = peer_links.PeerLinks(clock, "b", "h", "inc-b", b"s")
    for links in (a, b):
        links.handle(frames.Heartbeat, lambda link, frame: None)
    _connect(b, a)
    kept = _connect(a, b)
    assert a.up["b"] is kept[0]
    assert b.up["a"] is kept[1]


def test_a_restarted_peer_replaces_its_older_link(clock):
    a = peer_links.PeerLinks(clock, "a", "h", "inc-a", b"s")
    down = []
    a.on_down.append(down.append)
    a.handle(frames.Heartbeat, lambda link, frame: None)
    for incarnation in ("inc-1", "inc-2"):
        b = peer_links.PeerLinks(clock, "b", "h", incarnation, b"s")
        b.handle(frames.Heartbeat, lambda link, frame: None)
        _connect(b, a)
    assert a.up["b"].hello.incarnation == "inc-2"
    assert down == ["b"]


def _connect(dialler, other):
    """Connect two instances and deliver bytes until no more are sent."""
    ends = (peer_link.PeerLink(dialler, is_dialler=True), peer_link.PeerLink(other))
    for end in ends:
        end.makeConnection(_Transport())
    _deliver_all(ends)
    return ends


def _deliver_all(ends):
    """Deliver the bytes of one connection in both directions until no more are sent."""
    has_moved = True
    while has_moved:
        has_moved = False
        for sender, receiver in (ends, ends[::-1]):
            data = sender.transport.value()
            sender.transport.clear()
            if data:
                receiver.dataReceived(data)
                has_moved = True


def _recording(call, calls):
    """Wrap a function so that the arguments of each call are appended to a list."""

    def record(*args):
        calls.append(args)
        return call(*args)

    return record
