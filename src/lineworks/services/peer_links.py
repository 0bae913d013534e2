"""Links between instances: one TCP connection for each pair, framed and authenticated.

Each end sends a `Challenge` and answers the other's with a `Hello` whose signature covers it. All
other frames are accepted only after that. A malformed frame closes its link and has no other
effect.
"""

from __future__ import annotations

import collections
import hmac
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import protocol

from lineworks.http1 import unfinished_bodies
from lineworks.kernel import releasing_factory
from lineworks.services import peer_link
from lineworks.wire import codec, frames

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from lineworks.models import member

HEARTBEAT_SECONDS = 1.0
"""Seconds between heartbeats on a link."""

SILENCE_SECONDS = 4.0
"""Seconds without a received frame after which a link is closed as lost."""

HANDSHAKE_SECONDS = 3.0
"""Timeout in seconds for connecting, and for the authentication of a new link."""

MAX_UNAUTHENTICATED = 256
"""Maximum number of accepted links that have not authenticated yet: all others of a large fleet may
dial at once. Each takes some 100 KB; further ones are closed, and dialled again."""

MIN_REDIAL_SECONDS = 0.1
"""Initial delay in seconds before a lost link is dialled again; it doubles up to
`MAX_REDIAL_SECONDS`."""

MAX_REDIAL_SECONDS = 2.0
"""Maximum delay in seconds before a peer is dialled again."""

HIGHER_NAME_DIAL_DELAY = 0.2
"""Seconds for which the instance with the higher name waits for the other one to dial; this covers
many round trips."""

_log = structlog.get_logger(component="peer_links")


class PeerLinks:
    """Maintains a link to every peer and dispatches received frames to their handlers."""

    def __init__(self, reactor: Any, name: str, hall: str, incarnation: str, secret: bytes) -> None:
        """Initialise without peers.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            hall: Its data hall.
            incarnation: ID of its process.
            secret: The shared secret.
        """
        self._reactor = reactor
        self._name = name
        self._hall = hall
        self._incarnation = incarnation
        self._secret = secret
        self._links: dict[str, peer_link.PeerLink] = {}
        # With the timer that closes each of them.
        self._unauthenticated: dict[peer_link.PeerLink, Any] = {}
        self._peers: dict[str, member.Member] = {}
        self._dialling: set[str] = set()
        self._redial_delays: dict[str, float] = {}
        self._handlers: dict[type, Callable[[peer_link.PeerLink, Any], None]] = {}
        self._port: Any = None
        self._heartbeat_timer: Any = None
        self._is_stopped = False
        self.heartbeat_seconds = HEARTBEAT_SECONDS
        """Interval between heartbeats, in seconds."""
        self.unfinished = unfinished_bodies.UnfinishedBodies()
        """Limits what links hold of unfinished frames; shared with other parts of the process."""
        self.compresses = True
        """Whether sent frames are compressed."""
        self.on_link_closed: list[Callable[[str], None]] = []
        """Called with the incarnation of the peer when an authenticated link is closed."""
        self.counts: collections.Counter[str] = collections.Counter()
        """Number of links closed, by reason."""
        self.make_heartbeat: Callable[[], frames.Heartbeat] = lambda: frames.Heartbeat(False, 0, "")
        """Creates the heartbeat that describes the current state of this instance."""
        self.on_up: list[Callable[[frames.Hello], None]] = []
        """Called with the hello of the peer when a link is established."""
        self.on_down: list[Callable[[str], None]] = []
        """Called with the name of the peer when its link is lost or replaced."""

    @property
    def now(self) -> float:
        """The current time, in seconds."""
        seconds: float = self._reactor.seconds()
        return seconds

    @property
    def up(self) -> Mapping[str, peer_link.PeerLink]:
        """Authenticated links by the name of the peer."""
        return self._links

    def handle(self, frame_type: type, handler: Callable[[peer_link.PeerLink, Any], None]) -> None:
        """Register the handler for a type of frame, replacing any earlier one.

        Args:
            frame_type: Class of the frames.
            handler: Called with the link and the frame.
        """
        self._handlers[frame_type] = handler

    def listen(self, host: str, port: int) -> Any:
        """Listen for connections from peers.

        Args:
            host: IP address to bind.
            port: TCP port; 0 lets the operating system choose.

        Returns:
            The listening port.

        Raises:
            twisted.internet.error.CannotListenError: The port is in use.
        """
        return self.listen_with(
            lambda factory: self._reactor.listenTCP(port, factory, interface=host)
        )

    def listen_with(self, open_port: Callable[[Any], Any]) -> Any:
        """Listen for connections from peers on a port that another function opens.

        Args:
            open_port: Called with Twisted's factory of the links; returns the listening port.

        Returns:
            The listening port.
        """
        self._port = open_port(_AcceptingFactory(self))
        return self._port

    def start(self) -> None:
        """Start sending heartbeats."""
        self._heartbeat_timer = self._reactor.callLater(
            self.heartbeat_seconds, self._send_heartbeats
        )

    def stop(self) -> Any:
        """Close all links and stop listening.

        Returns:
            Result of the listening port's `stopListening`; None if it never listened.
        """
        self._is_stopped = True
        if self._heartbeat_timer is not None and self._heartbeat_timer.active():
            self._heartbeat_timer.cancel()
        for link in [*self._links.values(), *self._unauthenticated]:
            link.transport.loseConnection()
        return self._port.stopListening() if self._port is not None else None

    def set_peers(self, members: Mapping[str, member.Member]) -> None:
        """Replace the set of peers, and dial those without a link.

        Args:
            members: Members by name; this instance may be among them.
        """
        self._peers = {name: member for name, member in members.items() if name != self._name}
        for name in self._peers:
            # If two instances learn of each other at the same time, the one with the lower name
            # dials and the other waits.
            if self._name < name:
                self._dial_if_needed(name)
            else:
                self._reactor.callLater(HIGHER_NAME_DIAL_DELAY, self._dial_if_needed, name)

    def send(self, name: str, frame: frames.Frame) -> bool:
        """Send a frame to a peer.

        Args:
            name: Name of the peer.
            frame: The frame to send.

        Returns:
            Whether the frame was sent; False if there is no link to the peer.
        """
        link = self._links.get(name)
        if link is None:
            return False
        link.send(frame)
        return True

    def broadcast(self, frame: frames.Frame) -> None:
        """Send a frame on every authenticated link.

        Args:
            frame: The frame to send; it is encoded only once.
        """
        data = codec.encode(frame, self.now)
        for link in self._links.values():
            link.send_encoded(data)

    def make_hello(self, nonce: bytes) -> frames.Hello:
        """Create the signed hello that answers a challenge.

        Args:
            nonce: Nonce of the other end's challenge.

        Returns:
            The signed hello.
        """
        mac = peer_link.sign(self._secret, nonce, self._name, self._hall, self._incarnation)
        return frames.Hello(self._name, self._hall, self._incarnation, mac)

    def is_authentic(self, hello: frames.Hello, nonce: bytes) -> bool:
        """Verify a hello against the challenge that was sent.

        Args:
            hello: The received hello.
            nonce: Nonce of the challenge that was sent.

        Returns:
            Whether the signature is valid and the sender is not this instance itself.
        """
        expected = peer_link.sign(self._secret, nonce, hello.name, hello.hall, hello.incarnation)
        return hmac.compare_digest(expected, hello.mac) and hello.name != self._name

    def on_authenticated(self, link: peer_link.PeerLink) -> None:
        """Register an authenticated link, replacing an existing one to the same peer.

        If both instances dialled at the same time, both keep the connection opened by the one with
        the lower name.

        Args:
            link: The authenticated link.
        """
        hello = link.hello
        assert hello is not None
        self._forget_unauthenticated(link)
        existing = self._links.get(hello.name)
        if existing is not None:
            if self._is_duplicate(link, existing):
                link.close("spare: there is a link already")
                return
            del self._links[hello.name]
            existing.close("replaced: another link was opened")
            self._notify_down(hello.name)
        self._links[hello.name] = link
        self._redial_delays.pop(hello.name, None)
        _log.info("link_up", peer=hello.name, hall=hello.hall)
        link.send(self.make_heartbeat())
        for listener in self.on_up:
            listener(hello)

    def _is_duplicate(self, link: peer_link.PeerLink, existing: peer_link.PeerLink) -> bool:
        """Return whether a second link to the same process must be closed, not the existing one."""
        assert link.hello is not None
        assert existing.hello is not None
        if link.hello.incarnation != existing.hello.incarnation:
            return False
        if link.is_dialler == existing.is_dialler:
            return False
        keeps_own_connection = self._name < link.hello.name
        return link.is_dialler != keeps_own_connection

    def on_frame(self, link: peer_link.PeerLink, frame: frames.Frame) -> None:
        """Dispatch a frame to the handler for its type; without one, close the link.

        Args:
            link: The link on which it arrived.
            frame: The received frame.
        """
        handler = self._handlers.get(type(frame))
        if handler is None:
            link.close(f"unexpected frame: {type(frame).__name__}")
            return
        handler(link, frame)

    def on_closed(self, link: peer_link.PeerLink) -> None:
        """Process the end of a link's connection, and schedule a redial if the peer has no link.

        Args:
            link: The closed link.
        """
        self._forget_unauthenticated(link)
        name = link.hello.name if link.hello else ""
        if link.hello is not None:
            for listener in self.on_link_closed:
                listener(link.hello.incarnation)
        if self._links.get(name) is link:
            del self._links[name]
            _log.info("link_down", peer=name)
            self._notify_down(name)
        if name and name not in self._links:
            self._redial_later(name)

    def _notify_down(self, name: str) -> None:
        for listener in self.on_down:
            listener(name)

    def accept_link(self) -> peer_link.PeerLink | None:
        """Create the protocol of an accepted connection.

        Returns:
            The unauthenticated link; None if too many others have not authenticated yet.
        """
        accepted = sum(not link.is_dialler for link in self._unauthenticated)
        if accepted >= MAX_UNAUTHENTICATED:
            self.counts["refused: too many without a hello"] += 1
            return None
        return self.make_link()

    def make_link(self, is_dialler: bool = False) -> peer_link.PeerLink:
        """Create the protocol of a new connection; it is closed unless it authenticates in time.

        Args:
            is_dialler: Whether this end opened the connection.

        Returns:
            The unauthenticated link.
        """
        link = peer_link.PeerLink(self, is_dialler)
        self._unauthenticated[link] = self._reactor.callLater(
            HANDSHAKE_SECONDS, self._close_unauthenticated, link
        )
        return link

    def _close_unauthenticated(self, link: peer_link.PeerLink) -> None:
        del self._unauthenticated[link]
        if link.transport is not None:
            link.close("refused: no hello in time")

    def _forget_unauthenticated(self, link: peer_link.PeerLink) -> None:
        """Let go of a link that is authenticated or closed: its compressor takes 100 KB."""
        timer = self._unauthenticated.pop(link, None)
        if timer is not None:
            timer.cancel()

    def _dial_if_needed(self, name: str) -> None:
        if self._is_stopped or name in self._links or name in self._dialling:
            return
        member = self._peers.get(name)
        if member is None:
            return
        self._dialling.add(name)
        factory = _DialFactory(self, name)
        self._reactor.connectTCP(member.host, member.port, factory, timeout=HANDSHAKE_SECONDS)

    def on_dialled(self, name: str) -> None:
        """Process a successful dial; the link is not authenticated yet.

        Args:
            name: Name of the peer.
        """
        self._dialling.discard(name)
        # A peer whose link does not authenticate is dialled again.
        self._reactor.callLater(HANDSHAKE_SECONDS + 1, self._dial_if_needed, name)

    def on_dial_failed(self, name: str) -> None:
        """Process a failed dial and schedule the next one.

        Args:
            name: Name of the peer.
        """
        self._dialling.discard(name)
        self._redial_later(name)

    def _redial_later(self, name: str) -> None:
        if name not in self._peers or self._is_stopped:
            return
        delay = self._redial_delays.get(name, MIN_REDIAL_SECONDS)
        self._redial_delays[name] = min(MAX_REDIAL_SECONDS, delay * 2)
        self._reactor.callLater(delay, self._dial_if_needed, name)

    def _send_heartbeats(self) -> None:
        self._heartbeat_timer = self._reactor.callLater(
            self.heartbeat_seconds, self._send_heartbeats
        )
        data = codec.encode(self.make_heartbeat(), self.now)
        cutoff = self.now - max(SILENCE_SECONDS, 2 * self.heartbeat_seconds + 0.5)
        for link in list(self._links.values()):
            if link.last_received_at < cutoff:
                link.close("silent: no frame in time")
            else:
                link.send_encoded(data)


class _AcceptingFactory(protocol.Factory):
    """Creates the protocols of connections that peers have opened."""

    noisy = False

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def buildProtocol(self, addr: Any) -> peer_link.PeerLink | None:  # noqa: N802
        """Create the accepting end of a link; Twisted closes the connection if there is none."""
        return self._links.accept_link()


class _DialFactory(releasing_factory.ReleasingFactory):
    """Creates the protocol of a connection dialled to one peer."""

    def __init__(self, links: PeerLinks, name: str) -> None:
        self._links = links
        self._name = name

    def buildProtocol(self, addr: Any) -> peer_link.PeerLink:  # noqa: N802
        """Create the dialling end of the link."""
        self._links.on_dialled(self._name)
        return self._links.make_link(is_dialler=True)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:  # noqa: N802
        """Report that the dial failed."""
        self._links.on_dial_failed(self._name)
