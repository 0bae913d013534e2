"""Pools the credit for extra attempts of a data hall at one instance, the keeper.

An instance that needs extra attempts asks the keeper of its hall: the instance that rendezvous
hashing selects among those that are available. Any instance that is asked acts as keeper: it
collects the credit of the hall's instances and grants what is available. This needs no agreement
between instances, and a keeper that is killed, cut off or frozen costs each instance that asks it
`ASK_TIMEOUT_SECONDS` once. See `lineworks.decisions.extra_attempts` for why this never grants too
much.
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import itertools
from typing import TYPE_CHECKING, Any

import structlog

from lineworks.decisions import extra_attempts, ownership
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from lineworks.forwarding import gatherers
    from lineworks.services import peer_links

KEEPER_HASH_KEY = "extra attempts"
"""Key that rendezvous hashing maps to an instance."""

ASK_TIMEOUT_SECONDS = 0.06
"""Timeout in seconds for the keeper's answer. A keeper that times out is skipped until a message
from it arrives. Two round trips within a hall and a collection take a few milliseconds, and
somewhat longer in a busy hall."""

MAX_ASKS = 2
"""Maximum number of times that an extra attempt is requested for one shard or single request: once
more if the keeper did not answer."""

MIN_PULL_INTERVAL_SECONDS = 0.25
"""Minimum seconds between collections: each one costs a message to and from every instance of the
hall."""

PULL_TIMEOUT_SECONDS = 0.02
"""Maximum seconds for which a collection waits for the instances' answers."""

_log = structlog.get_logger(component="extra_keeper")


@dataclasses.dataclass(slots=True, eq=False)
class _Request:
    """Extra attempts that an instance requests: the services of its hedges and retries."""

    hedges: list[str]
    retries: list[str]
    reply: Callable[[Sequence[str]], None]
    granted: list[str] = dataclasses.field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether part of the request has not been granted yet."""
        return bool(self.hedges or self.retries)


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    """A request that was sent to another instance."""

    keeper: str
    sent_at: float
    listeners: list[Callable[[], None]]
    timer: Any


class ExtraKeeper:
    """Requests extra attempts from the keeper, and grants them to others if asked."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        hall: str,
        links: peer_links.PeerLinks,
        peers: gatherers.GathererClient,
        extra: extra_attempts.ExtraAttempts,
        is_shared: bool = True,
    ) -> None:
        """Initialize the keeper without pending requests.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            hall: Data hall of this instance.
            links: Links to the other instances.
            peers: Knows which instances are available.
            extra: Credit and allowance for extra attempts of this instance.
            is_shared: Whether credit is pooled within the hall; otherwise this instance uses its
                own part only.
        """
        self._reactor = reactor
        self._name = name
        self._hall = hall
        self._links = links
        self._peers = peers
        self._extra = extra
        self._is_shared = is_shared
        self._numbers = itertools.count(1)
        self._hedges: list[str] = []
        self._retries: list[str] = []
        self._listeners: list[Callable[[], None]] = []
        self._pending: dict[int, _Pending] = {}
        self._keeper = ""
        # The current collection: instances that have not answered, and requests that wait for its
        # end.
        self._awaited: set[str] = set()
        self._waiting: list[_Request] = []
        self._pulls: dict[int, float] = {}
        self._pulled_at = -MIN_PULL_INTERVAL_SECONDS
        self.counts: collections.Counter[str] = collections.Counter()
        """Counts of requests, granted and refused attempts, unanswered requests, collections."""
        links.handle(node_frames.ExtraAsk, self._on_ask)
        links.handle(node_frames.ExtraGrant, self._on_grant)
        links.handle(node_frames.CreditPull, self._on_pull)
        links.handle(node_frames.CreditShare, self._on_share)
        links.on_down.append(self._on_down)

    def ask(self, services: Sequence[str], is_hedge: bool, on_reply: Callable[[], None]) -> None:
        """Request one extra attempt for each of the given services.

        Granted attempts can be spent from the time `on_reply` is called.

        Args:
            services: Names of the services.
            is_hedge: Whether the attempts are hedges, which leave a part of the credit for retries.
            on_reply: Called once, never from within this function, when the answer has arrived or
                will not arrive any more.
        """
        if not self._listeners:
            self._reactor.callLater(0, self._flush)
        wanted = self._hedges if is_hedge else self._retries
        wanted.extend(services)
        self._listeners.append(on_reply)

    def _flush(self) -> None:
        """Send one request for all attempts requested in this iteration of the event loop."""
        listeners, self._listeners = self._listeners, []
        hedges, self._hedges = self._hedges, []
        retries, self._retries = self._retries, []
        self.counts["asked"] += 1
        now = self._reactor.seconds()
        keeper = self.choose()
        number = next(self._numbers)
        ask = node_frames.ExtraAsk(number, tuple(hedges), tuple(retries))
        if keeper != self._name and self._links.send(keeper, ask):
            timer = self._reactor.callLater(ASK_TIMEOUT_SECONDS, self._on_timeout, number)
            self._pending[number] = _Pending(keeper, now, listeners, timer)
            return
        reply = functools.partial(self._accept, now, listeners)
        self._serve(_Request(hedges, retries, reply))

    def choose(self) -> str:
        """Return the keeper among the hall's available instances.

        Returns:
            Name of the keeper, which may be this instance.
        """
        available_peers = self._peers.available_peers(self._hall) if self._is_shared else []
        (keeper,) = ownership.owners(KEEPER_HASH_KEY, [*available_peers, self._name], 1)
        if keeper != self._keeper:
            _log.info(
                "extra_keeper",
                keeper=keeper,
                before=self._keeper,
                instances=len(available_peers) + 1,
            )
            self._keeper = keeper
        return keeper

    def _accept(
        self, asked_at: float, listeners: Sequence[Callable[[], None]], services: Sequence[str]
    ) -> None:
        for service in services:
            self._extra.accept_grant(service, asked_at + extra_attempts.GRANT_TTL_SECONDS)
        for listener in listeners:
            listener()

    def _on_grant(self, link: Any, frame: node_frames.ExtraGrant) -> None:
        pending = self._pending.get(frame.number)
        if pending is None or pending.keeper != link.hello.name:
            return
        del self._pending[frame.number]
        pending.timer.cancel()
        self._accept(pending.sent_at, pending.listeners, frame.services)

    def _on_timeout(self, number: int) -> None:
        """Mark a keeper that did not answer as silent."""
        pending = self._pending.pop(number)
        self.counts["unanswered"] += 1
        self._peers.mark_silent(pending.keeper)
        self._accept(pending.sent_at, pending.listeners, ())

    def _on_down(self, name: str) -> None:
        lost = [number for number, pending in self._pending.items() if pending.keeper == name]
        for number in lost:
            pending = self._pending.pop(number)
            pending.timer.cancel()
            self._accept(pending.sent_at, pending.listeners, ())
        if name in self._awaited:
            self._stop_awaiting(name)

    def _on_ask(self, link: Any, frame: node_frames.ExtraAsk) -> None:
        def reply(services: Sequence[str]) -> None:
            link.send(node_frames.ExtraGrant(frame.number, tuple(services)))

        self._serve(_Request(list(frame.hedges), list(frame.retries), reply))

    def _serve(self, request: _Request) -> None:
        """Grant available credit; if it is insufficient, first collect the hall's credit if due."""
        now = self._reactor.seconds()
        self._grant(request, now)
        if request.is_open and now - self._pulled_at >= MIN_PULL_INTERVAL_SECONDS:
            self._pull(now)
            self._grant(request, now)
        if request.is_open and self._awaited:
            self._waiting.append(request)
        else:
            self._reply(request)

    def _grant(self, request: _Request, now: float) -> None:
        reserved = extra_attempts.RESERVED_FOR_RETRIES
        request.retries = self._grant_each(request, request.retries, now, 0.0)
        request.hedges = self._grant_each(request, request.hedges, now, reserved)

    def _grant_each(
        self, request: _Request, services: Sequence[str], now: float, reserved: float
    ) -> list[str]:
        """Grant available credit, and return the services for which there was none."""
        refused = []
        for service in services:
            if self._extra.grant(service, now, reserved):
                request.granted.append(service)
            else:
                refused.append(service)
        return refused

    def _reply(self, request: _Request) -> None:
        self.counts["granted"] += len(request.granted)
        self.counts["refused"] += len(request.hedges) + len(request.retries)
        request.reply(request.granted)

    def _pull(self, now: float) -> None:
        """Collect the credit of the hall's instances, that of this instance immediately."""
        self.counts["collections"] += 1
        self._pulled_at = now
        self._extra.deposit(self._extra.withdraw_earned(now), now, now)
        if not self._is_shared:
            return
        oldest = now - extra_attempts.POOL_TTL_SECONDS
        self._pulls = {number: at for number, at in self._pulls.items() if at > oldest}
        number = next(self._numbers)
        self._pulls[number] = now
        self._awaited = set(self._peers.available_peers(self._hall))
        for peer in self._awaited:
            self._links.send(peer, node_frames.CreditPull(number))
        if self._awaited:
            self._reactor.callLater(PULL_TIMEOUT_SECONDS, self._on_pull_timeout, number)

    def _on_pull(self, link: Any, frame: node_frames.CreditPull) -> None:
        amount = self._extra.withdraw_earned(self._reactor.seconds())
        link.send(node_frames.CreditShare(frame.number, amount))

    def _on_share(self, link: Any, frame: node_frames.CreditShare) -> None:
        asked_at = self._pulls.get(frame.number)
        if asked_at is None:
            return
        self._extra.deposit(frame.amount, asked_at, self._reactor.seconds())
        if frame.number == max(self._pulls):
            self._stop_awaiting(link.hello.name)

    def _stop_awaiting(self, peer: str) -> None:
        """Stop waiting for an instance's answer in the current collection."""
        self._awaited.discard(peer)
        if not self._awaited:
            self._end_pull()

    def _on_pull_timeout(self, number: int) -> None:
        if self._pulls and number == max(self._pulls) and self._awaited:
            self._awaited.clear()
            self._end_pull()

    def _end_pull(self) -> None:
        waiting, self._waiting = self._waiting, []
        now = self._reactor.seconds()
        for request in waiting:
            self._grant(request, now)
            self._reply(request)
