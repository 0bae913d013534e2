"""Holds the tokens of workspaces for a data hall, and transfers them between halls.

A holder grants the tokens that it has. When it has none, it immediately pulls tokens from the
holders of the other halls, and requests wait up to `PULL_TIMEOUT_SECONDS` for them. When tokens run
low and requests arrive faster than tokens are earned, it pulls in advance. A pull that yields too
little is followed by an exponential backoff, so a workspace that is over its limit everywhere
causes few messages.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
from typing import TYPE_CHECKING, Any

from lineworks.decisions import quota
from lineworks.forwarding import quota_ranks
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping, Sequence

    from lineworks.decisions import workspaces
    from lineworks.services import peer_links

PULL_TIMEOUT_SECONDS = 0.045
"""Maximum seconds for which a request waits for tokens from other halls: two round trips between
regions."""

MIN_PULL_BACKOFF_SECONDS = 0.1
"""Initial backoff in seconds after a pull that yielded too little."""

PREFETCH_BACKOFF_SECONDS = 0.25
"""Seconds until tokens are pulled in advance again after a pull that left too few. A hall that
refused a request less than this long ago gives none to other halls."""

MAX_PULL_BACKOFF_SECONDS = 2.0
"""Maximum backoff in seconds while pulls keep yielding too little."""

MIN_PULLED_TOKENS = 0.1
"""Minimum number of tokens that a pull must have yielded to be continued with another round."""

MAX_PULL_ROUNDS = 3
"""Maximum number of rounds of messages per pull."""

IDLE_AFTER_SECONDS = 1.0
"""Seconds without a request after which a hall gives another hall all the tokens it asks for,
instead of at most half of its own."""

PULL_OVERREQUEST_FACTOR = 2.0
"""Factor by which the amount requested from each hall exceeds an equal share of the tokens needed,
because some halls have fewer."""

MAX_RETRY_AFTER = 2.0
"""Maximum seconds after which a refused caller may retry, as sent to it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A holder's response to a request for a token."""

    decision: quota.Decision
    """The decision."""

    retry_after: float = 0.0
    """Seconds after which the caller may retry, if no token is available."""

    granted_at: float = 0.0
    """Time in seconds on the holder's clock at which the token was granted."""


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A request that waits for tokens from other halls."""

    reply: Callable[[Answer], None]
    """Called once with the answer."""

    until: float
    """Time in seconds until which it waits."""


@dataclasses.dataclass(slots=True, eq=False)
class _WorkspaceTokens:
    """The tokens of one workspace, and the state of its pulls."""

    bucket: quota.Bucket
    """The hall's token bucket."""

    limit: workspaces.Quota
    """The workspace's limit for all instances together."""

    acted_at: float
    """Time in seconds of the last request for tokens, from a front or another hall."""

    rate: quota.RequestRate = dataclasses.field(default_factory=quota.RequestRate)
    """Rate of the requests from fronts."""

    waiting: list[_Waiter] = dataclasses.field(default_factory=list)
    """Waiting requests, the oldest first."""

    asked_at: float = -math.inf
    """Time in seconds of the last request from a front."""

    refused_at: float = -math.inf
    """Time in seconds of the last refusal."""

    next_token_at: float = -math.inf
    """Time in seconds at which the last refused caller may retry. The next one is given a later
    time, so that each refused caller waits for a token of its own."""

    awaited: set[str] = dataclasses.field(default_factory=set)
    """Instances that have not answered the current pull; empty if none is in progress."""

    pull: int = 0
    """Message number of the latest round of the latest pull."""

    received: float = 0.0
    """Number of tokens that the latest pull has yielded so far."""

    rounds: int = 0
    """Number of rounds of the latest pull so far."""

    backoff: float = MIN_PULL_BACKOFF_SECONDS
    """Backoff in seconds after the next pull that yields too little."""

    may_pull_at: float = -math.inf
    """Time in seconds from which the next pull is allowed."""

    may_prefetch_at: float = -math.inf
    """Time in seconds from which the next pull in advance of need is allowed."""


class QuotaHolder:
    """Holds tokens at this instance, and grants them to fronts and other halls."""

    def __init__(
        self,
        reactor: Any,
        hall: str,
        halls: Iterable[str],
        links: peer_links.PeerLinks,
        ranks: quota_ranks.QuotaRanks,
        bound: quota.QuotaBound,
    ) -> None:
        """Initialize the holder without tokens.

        Args:
            reactor: Twisted's reactor.
            hall: Data hall of this instance.
            halls: All data halls.
            links: Links to the other instances.
            ranks: Ranks the instances that may hold tokens.
            bound: How far all instances together may exceed a quota.
        """
        self._reactor = reactor
        self._hall = hall
        self._halls = sorted({*halls, hall})
        self._links = links
        self._ranks = ranks
        self._bound = bound
        # Seconds for which no other instance of the hall may have held tokens, so that a new bucket
        # can start full: the window, and the longest time a token can be in transit.
        self._sole_after = bound.window + quota.MAX_TRANSIT_SECONDS
        self._limits: dict[str, workspaces.Quota] = {}
        self._version = -1
        self._held: dict[str, _WorkspaceTokens] = {}
        self._numbers = itertools.count(1)
        self._pulls: dict[int, tuple[str, float]] = {}
        self._timer: Any = None
        self.counts: collections.Counter[str] = collections.Counter()
        """Counts of granted and refused requests, pulls, and pulls that yielded too little."""
        links.handle(node_frames.QuotaPull, self._on_pull)
        links.handle(node_frames.QuotaShare, self._on_share)
        links.on_down.append(self._on_down)

    @property
    def limits(self) -> Mapping[str, workspaces.Quota]:
        """Limits by workspace."""
        return self._limits

    def held(self) -> dict[str, float]:
        """Return the tokens that this instance holds.

        Returns:
            Number of tokens by workspace, possibly fractional.
        """
        now = self._reactor.seconds()
        return {name: held.bucket.tokens(now) for name, held in self._held.items()}

    def set_limits(self, limits: Mapping[str, workspaces.Quota], version: int = 0) -> None:
        """Apply new limits. The tokens of removed workspaces are kept for a window.

        Args:
            limits: Limits by workspace.
            version: Version of the configuration that they are from.
        """
        self._limits = dict(limits)
        self._version = version
        if limits and self._timer is None:
            self._update()
        now = self._reactor.seconds()
        for name, held in self._held.items():
            limit = self._limits.get(name)
            if limit is not None and limit != held.limit:
                held.limit = limit
                held.bucket.set_part(self._own_part(name, limit), now)

    def ask(
        self, workspace: str, version: int, reply: Callable[[Answer], None]
    ) -> Callable[[], None] | None:
        """Request a token.

        Args:
            workspace: Name of the workspace.
            version: Version of the asker's configuration, by which the workspace has a limit.
            reply: Called once with the answer, possibly before this function returns.

        Returns:
            A function that withdraws the request; None if it has already been answered.
        """
        if workspace not in self._limits:
            reply(Answer(self._decide_without_limit(version)))
            return None
        held = self._find(workspace)
        if held is None:
            reply(Answer(quota.Decision.UNSURE))
            return None
        now = self._reactor.seconds()
        held.asked_at = held.acted_at = now
        rate = held.rate.value(now)
        held.rate.note(now)
        if not held.waiting and held.bucket.take(now):
            self._grant(reply, now)
            # The first request after an idle time does not predict when the next one arrives.
            if rate > 0:
                self._prefetch(workspace, held, now)
            return None
        if not held.awaited and now < held.may_pull_at:
            self._refuse(held, reply, now)
            return None
        waiter = _Waiter(reply, now + PULL_TIMEOUT_SECONDS)
        held.waiting.append(waiter)
        if not held.awaited:
            self._pull(workspace, held, now)

        def withdraw() -> None:
            if waiter in held.waiting:
                held.waiting.remove(waiter)

        return withdraw if waiter in held.waiting else None

    def _decide_without_limit(self, version: int) -> quota.Decision:
        """Decide on a workspace that has no limit in the configuration in force here.

        Only a configuration newer than the asker's shows that the limit was removed. An instance
        that has just started has no configuration yet, and so no limits either.
        """
        if self._version <= version:
            self.counts["limit_unknown"] += 1
            return quota.Decision.UNSURE
        self.counts["without_limit"] += 1
        return quota.Decision.GRANTED

    def put_back(self, workspace: str, granted_at: float) -> None:
        """Return the token of a request that certainly did not run.

        Args:
            workspace: Name of the workspace.
            granted_at: Time in seconds at which the token was granted.
        """
        now = self._reactor.seconds()
        held = self._held.get(workspace)
        if held is not None and held.bucket.put_back(granted_at, now):
            self.counts["returned"] += 1

    def _own_part(self, workspace: str, limit: workspaces.Quota) -> quota.Part:
        """Return this hall's part of a quota."""
        part, halls = self._divide(workspace, limit)
        return part if self._hall in halls else quota.NO_PART

    def _divide(self, workspace: str, limit: workspaces.Quota) -> tuple[quota.Part, Sequence[str]]:
        """Return the part of a quota per hall, and the halls that have such a part."""
        part = quota.part_of(limit, self._bound, len(self._halls))
        return part, quota_ranks.rank_by_hash(workspace, self._halls)[: part.holders]

    def _find(self, workspace: str) -> _WorkspaceTokens | None:
        """Return the tokens of a workspace, creating its bucket if needed.

        Returns None if this instance may not hold them.
        """
        if not self._ranks.may_hold(workspace):
            return None
        held = self._held.get(workspace)
        if held is None:
            now = self._reactor.seconds()
            limit = self._limits[workspace]
            part = self._own_part(workspace, limit)
            bucket = quota.Bucket(
                part, now, self._ranks.is_sole_holder(workspace, self._sole_after)
            )
            held = _WorkspaceTokens(bucket, limit, now)
            held.bucket.set_share(self._ranks.share(workspace), now)
            self._held[workspace] = held
            self.counts["lives"] += 1
        return held

    def _update(self) -> None:
        """Update liveness and shares, and drop buckets that were not used for a window."""
        self._timer = self._reactor.callLater(quota.CHECK_SECONDS, self._update)
        now = self._reactor.seconds()
        self._ranks.update_liveness()
        for name, held in list(self._held.items()):
            if now - held.acted_at > self._bound.window and not held.awaited:
                del self._held[name]
            else:
                held.bucket.set_share(self._ranks.share(name), now)
                held.bucket.set_is_only_bucket(
                    self._ranks.is_sole_holder(name, self._sole_after), now
                )
        oldest = now - quota.TRANSFER_TTL_SECONDS
        self._pulls = {number: pull for number, pull in self._pulls.items() if pull[1] > oldest}

    def _grant(self, reply: Callable[[Answer], None], now: float) -> None:
        self.counts["granted"] += 1
        reply(Answer(quota.Decision.GRANTED, granted_at=now))

    def _refuse(self, held: _WorkspaceTokens, reply: Callable[[Answer], None], now: float) -> None:
        """Refuse a request, with a retry time that no other caller was given yet."""
        self.counts["refused"] += 1
        held.refused_at = now
        interval = 1 / held.limit.rate if held.limit.rate > 0 else MAX_RETRY_AFTER
        held.next_token_at = max(held.next_token_at, now) + interval
        if held.next_token_at > now + MAX_RETRY_AFTER:
            # Start over at the next token, so that retry times stay spread out.
            held.next_token_at = now + min(interval, MAX_RETRY_AFTER)
        reply(Answer(quota.Decision.EXHAUSTED, held.next_token_at - now))

    def _prefetch(self, workspace: str, held: _WorkspaceTokens, now: float) -> None:
        """Pull tokens in advance if they are running low."""
        may_pull_at = max(held.may_pull_at, held.may_prefetch_at)
        if not held.awaited and now >= may_pull_at and self._is_running_low(held, now):
            self._pull(workspace, held, now)

    def _is_running_low(self, held: _WorkspaceTokens, now: float) -> bool:
        """Return True if the next request is expected before the next token is earned."""
        if held.bucket.part is quota.NO_PART:
            # The hall's bucket has no capacity to keep tokens that are pulled in advance.
            return False
        return held.bucket.seconds_until_next(now) * held.rate.value(now) > 1

    def _pull(self, workspace: str, held: _WorkspaceTokens, now: float) -> None:
        """Start to pull tokens from the other halls."""
        self.counts["pulls"] += 1
        held.received = 0.0
        held.rounds = 0
        self._ask_halls(workspace, held, now)

    def _ask_halls(self, workspace: str, held: _WorkspaceTokens, now: float) -> None:
        """Start a round of a pull: request a part of the missing tokens from each hall."""
        _, halls = self._divide(workspace, held.limit)
        others = [hall for hall in halls if hall != self._hall]
        asked = [self._ranks.remote_holder(workspace, hall) for hall in others]
        names = [name for name in asked if name is not None]
        rate = held.rate.value(now)
        wanted = quota.wanted(held.bucket.tokens(now), len(held.waiting), rate)
        # After the first round, some halls have had less than expected: request the whole amount
        # from each.
        each = (
            wanted
            if held.rounds
            else min(wanted, PULL_OVERREQUEST_FACTOR * wanted / max(1, len(names)))
        )
        held.rounds += 1
        held.pull = next(self._numbers)
        self._pulls[held.pull] = (workspace, now)
        frame = node_frames.QuotaPull(held.pull, workspace, each)
        held.awaited = {name for name in names if self._links.send(name, frame)}
        if not held.awaited:
            self._end_round(workspace, held, now)
            return
        until = min((waiter.until for waiter in held.waiting), default=now + PULL_TIMEOUT_SECONDS)
        wait = max(0.0, until - now)
        self._reactor.callLater(wait, self._on_pull_timeout, workspace, held, held.pull)

    def _on_pull_timeout(self, workspace: str, held: _WorkspaceTokens, number: int) -> None:
        """End a round without the halls that did not answer in time."""
        if held.pull == number and held.awaited:
            self.counts["unanswered"] += len(held.awaited)
            held.awaited.clear()
            self._end_round(workspace, held, self._reactor.seconds())

    def _end_round(self, workspace: str, held: _WorkspaceTokens, now: float) -> None:
        """Start another round if needed and worthwhile, or refuse the requests still waiting."""
        self._serve_waiting(held, now)
        has_time = all(waiter.until > now for waiter in held.waiting)
        is_worthwhile = held.received >= MIN_PULLED_TOKENS and held.rounds < MAX_PULL_ROUNDS
        if held.waiting and has_time and is_worthwhile:
            self._ask_halls(workspace, held, now)
            return
        if held.waiting:
            self.counts["pulls_in_vain"] += 1
            held.may_pull_at = now + held.backoff
            held.backoff = min(MAX_PULL_BACKOFF_SECONDS, 2 * held.backoff)
        elif self._is_running_low(held, now):
            held.may_prefetch_at = now + PREFETCH_BACKOFF_SECONDS
        if held.received >= 1 or not held.waiting:
            held.backoff = MIN_PULL_BACKOFF_SECONDS
        waiting, held.waiting = held.waiting, []
        for waiter in waiting:
            self._refuse(held, waiter.reply, now)

    def _serve_waiting(self, held: _WorkspaceTokens, now: float) -> None:
        """Grant available tokens to waiting requests, the oldest first."""
        while held.waiting and held.bucket.take(now):
            self._grant(held.waiting.pop(0).reply, now)

    def _on_pull(self, link: Any, frame: node_frames.QuotaPull) -> None:
        amount = self._transfer_out(frame.workspace, frame.amount, link.hello.hall)
        link.send(node_frames.QuotaShare(frame.number, amount))

    def _transfer_out(self, workspace: str, amount: float, hall: str) -> float:
        """Remove tokens for another hall, unless this hall is short of them itself."""
        held = self._find(workspace) if workspace in self._limits else None
        now = self._reactor.seconds()
        if held is None or held.waiting or now - held.refused_at < PREFETCH_BACKOFF_SECONDS:
            return 0.0
        held.acted_at = now
        _, halls = self._divide(workspace, self._limits[workspace])
        if hall not in halls:
            return held.bucket.transfer_out_whole(now, amount)
        is_quiet = now - held.asked_at > IDLE_AFTER_SECONDS
        return held.bucket.transfer_out(now, amount, 1.0 if is_quiet else 0.5)

    def _on_share(self, link: Any, frame: node_frames.QuotaShare) -> None:
        """Add tokens from another hall, also those of an earlier pull."""
        workspace, asked_at = self._pulls.get(frame.number, ("", 0.0))
        held = self._held.get(workspace)
        if held is None:
            return
        now = self._reactor.seconds()
        held.bucket.transfer_in(frame.amount, asked_at, now)
        self._serve_waiting(held, now)
        if frame.number != held.pull or not held.awaited:
            return
        held.received += frame.amount
        held.awaited.discard(link.hello.name)
        if not held.awaited:
            self._end_round(workspace, held, now)

    def _on_down(self, name: str) -> None:
        now = self._reactor.seconds()
        for workspace, held in list(self._held.items()):
            if name in held.awaited:
                held.awaited.discard(name)
                if not held.awaited:
                    self._end_round(workspace, held, now)
