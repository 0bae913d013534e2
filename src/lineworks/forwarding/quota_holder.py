"""Holds the tokens of workspaces for a data hall, and moves them between halls.

A holder grants what it has. When it has none it asks the holders of the other halls at once, and a
request waits for their answers for a moment; when its tokens run low and requests come faster than
it earns it asks ahead. A pull that brought nothing is followed by a pause, longer each time, so a
workspace that is over its limit everywhere causes few messages.
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
"""Seconds that a request waits for tokens of other halls: two round trips between regions."""

MIN_PULL_BACKOFF_SECONDS = 0.1
"""Seconds after a pull that brought too little before the next one."""

PREFETCH_BACKOFF_SECONDS = 0.25
"""Seconds before tokens are asked for ahead of need again, where there were too few."""

MAX_PULL_BACKOFF_SECONDS = 2.0
"""Seconds to which that pause grows while pulls go on bringing too little."""

MIN_PULLED_TOKENS = 0.1
"""Tokens that a pull must have brought to be repeated at once."""

MAX_PULL_ROUNDS = 3
"""Times that halls are asked in one pull."""

IDLE_AFTER_SECONDS = 1.0
"""Seconds without a request after which a hall gives another one all that it asks for."""

PULL_OVERREQUEST_FACTOR = 2.0
"""Multiple of an equal part of what is wanted that each hall is asked for: some have less."""

MAX_RETRY_AFTER = 2.0
"""Seconds that a refused caller is told to wait at most."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a holder says to a request."""

    decision: quota.Decision
    """What it is."""

    retry_after: float = 0.0
    """Seconds after which the caller may ask again, where there is no token."""

    granted_at: float = 0.0
    """When it was granted, in seconds on the holder's clock."""


@dataclasses.dataclass(slots=True, eq=False)
class _Waiter:
    """A request that waits for tokens of other halls."""

    reply: Callable[[Answer], None]
    """Takes the answer, once."""

    until: float
    """Until when it waits, in seconds."""


@dataclasses.dataclass(slots=True, eq=False)
class _WorkspaceTokens:
    """The tokens of one workspace."""

    bucket: quota.Bucket
    """The tokens."""

    limit: workspaces.Quota
    """The limit of the workspace, for all instances together."""

    acted_at: float
    """When a front or another hall asked for tokens last, in seconds."""

    rate: quota.RequestRate = dataclasses.field(default_factory=quota.RequestRate)
    """How often fronts ask."""

    waiting: list[_Waiter] = dataclasses.field(default_factory=list)
    """Requests that wait, the first one first."""

    asked_at: float = -math.inf
    """When a front asked last, in seconds."""

    refused_at: float = -math.inf
    """When a request was refused last, in seconds."""

    next_token_at: float = -math.inf
    """When the next token is free that no refused caller was told of yet, in seconds."""

    awaited: set[str] = dataclasses.field(default_factory=set)
    """Instances that haven't answered the pull under way; empty where there is none."""

    pull: int = 0
    """Number of the latest message of the latest pull."""

    received: float = 0.0
    """Tokens that the latest pull brought so far."""

    rounds: int = 0
    """Times that halls were asked in the latest pull."""

    backoff: float = MIN_PULL_BACKOFF_SECONDS
    """Seconds without pulls after the next one that brings too little."""

    may_pull_at: float = -math.inf
    """When other halls may be asked again, in seconds."""

    may_prefetch_at: float = -math.inf
    """The same where no request waits."""


class QuotaHolder:
    """The tokens that this instance holds."""

    def __init__(
        self,
        reactor: Any,
        hall: str,
        halls: Iterable[str],
        links: peer_links.PeerLinks,
        ranks: quota_ranks.QuotaRanks,
        bound: quota.QuotaBound,
    ) -> None:
        """Start without tokens.

        Args:
            reactor: Twisted's reactor.
            hall: Data hall of this instance.
            halls: All data halls.
            links: Links to the other instances.
            ranks: Tells who holds tokens.
            bound: What all instances together may let through beyond a quota.
        """
        self._reactor = reactor
        self._hall = hall
        self._halls = sorted({*halls, hall})
        self._links = links
        self._ranks = ranks
        self._bound = bound
        # Seconds for which nobody else of the hall must have acted.
        self._sole_after = bound.window + quota.MAX_TRANSIT_SECONDS
        self._limits: dict[str, workspaces.Quota] = {}
        self._version = -1
        self._held: dict[str, _WorkspaceTokens] = {}
        self._numbers = itertools.count(1)
        self._pulls: dict[int, tuple[str, float]] = {}
        self._timer: Any = None
        self.counts: collections.Counter[str] = collections.Counter()
        """Tokens granted and refused, pulls, and those that brought too little."""
        links.handle(node_frames.QuotaPull, self._on_pull)
        links.handle(node_frames.QuotaShare, self._on_share)
        links.on_down.append(self._on_down)

    @property
    def limits(self) -> Mapping[str, workspaces.Quota]:
        """Limits by workspace."""
        return self._limits

    def held(self) -> dict[str, float]:
        """Tell what this instance holds.

        Returns:
            Tokens by workspace.
        """
        now = self._reactor.seconds()
        return {name: held.bucket.tokens(now) for name, held in self._held.items()}

    def set_limits(self, limits: Mapping[str, workspaces.Quota], version: int = 0) -> None:
        """Put limits in force. Tokens of workspaces that are gone are kept for a window.

        Args:
            limits: Limits by workspace.
            version: Version of their configuration.
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
        """Ask for a token.

        Args:
            workspace: Name of the workspace.
            version: Version of the configuration by which it has a limit.
            reply: Takes the answer, once; it may be called before this function returns.

        Returns:
            A function that withdraws the question; None when it is answered.
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
            # A first request after a quiet time says nothing of when the next one comes.
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
        """Decide on a workspace that has no limit by the configuration in force here.

        Only a newer configuration than the one asked by says that it has none any more. An instance
        that has just started knows none at all.
        """
        if self._version <= version:
            self.counts["limit_unknown"] += 1
            return quota.Decision.UNSURE
        self.counts["without_limit"] += 1
        return quota.Decision.GRANTED

    def put_back(self, workspace: str, granted_at: float) -> None:
        """Take back the token of a request that certainly did not run.

        Args:
            workspace: Name of the workspace.
            granted_at: When it was granted, in seconds.
        """
        now = self._reactor.seconds()
        held = self._held.get(workspace)
        if held is not None and held.bucket.put_back(granted_at, now):
            self.counts["returned"] += 1

    def _own_part(self, workspace: str, limit: workspaces.Quota) -> quota.Part:
        """Tell what this hall has of a quota."""
        part, halls = self._divide(workspace, limit)
        return part if self._hall in halls else quota.NO_PART

    def _divide(self, workspace: str, limit: workspaces.Quota) -> tuple[quota.Part, Sequence[str]]:
        """Tell what a hall has of a quota, and which halls have it."""
        part = quota.part_of(limit, self._bound, len(self._halls))
        return part, quota_ranks.rank_by_hash(workspace, self._halls)[: part.holders]

    def _find(self, workspace: str) -> _WorkspaceTokens | None:
        """Find the tokens of a workspace, or begin to hold them."""
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
        """Look who is heard of, and forget what was not used for a window."""
        self._timer = self._reactor.callLater(quota.CHECK_SECONDS, self._update)
        now = self._reactor.seconds()
        self._ranks.update_liveness()
        for name, held in list(self._held.items()):
            if now - held.acted_at > self._bound.window and not held.awaited:
                del self._held[name]
            else:
                held.bucket.set_share(self._ranks.share(name), now)
                held.bucket.set_is_only_life(
                    self._ranks.is_sole_holder(name, self._sole_after), now
                )
        oldest = now - quota.TRANSFER_TTL_SECONDS
        self._pulls = {number: pull for number, pull in self._pulls.items() if pull[1] > oldest}

    def _grant(self, reply: Callable[[Answer], None], now: float) -> None:
        self.counts["granted"] += 1
        reply(Answer(quota.Decision.GRANTED, granted_at=now))

    def _refuse(self, held: _WorkspaceTokens, reply: Callable[[Answer], None], now: float) -> None:
        """Refuse, and tell when there is a token that no caller was told of yet."""
        self.counts["refused"] += 1
        held.refused_at = now
        interval = 1 / held.limit.rate if held.limit.rate > 0 else MAX_RETRY_AFTER
        held.next_token_at = max(held.next_token_at, now) + interval
        if held.next_token_at > now + MAX_RETRY_AFTER:
            # Begin again with the next token, so that what callers are told stays spread.
            held.next_token_at = now + min(interval, MAX_RETRY_AFTER)
        reply(Answer(quota.Decision.EXHAUSTED, held.next_token_at - now))

    def _prefetch(self, workspace: str, held: _WorkspaceTokens, now: float) -> None:
        """Ask for tokens before they are needed."""
        may_pull_at = max(held.may_pull_at, held.may_prefetch_at)
        if not held.awaited and now >= may_pull_at and self._is_running_low(held, now):
            self._pull(workspace, held, now)

    def _is_running_low(self, held: _WorkspaceTokens, now: float) -> bool:
        """Say whether requests come faster than the next token, so that one would have to wait."""
        if held.bucket.part is quota.NO_PART:
            # What is asked for ahead of need could not be kept.
            return False
        return held.bucket.seconds_until_next(now) * held.rate.value(now) > 1

    def _pull(self, workspace: str, held: _WorkspaceTokens, now: float) -> None:
        """Ask the other halls for tokens."""
        self.counts["pulls"] += 1
        held.received = 0.0
        held.rounds = 0
        self._ask_halls(workspace, held, now)

    def _ask_halls(self, workspace: str, held: _WorkspaceTokens, now: float) -> None:
        """Ask each hall for a part of what is lacking."""
        _, halls = self._divide(workspace, held.limit)
        others = [hall for hall in halls if hall != self._hall]
        asked = [self._ranks.remote_holder(workspace, hall) for hall in others]
        names = [name for name in asked if name is not None]
        rate = held.rate.value(now)
        wanted = quota.wanted(held.bucket.tokens(now), len(held.waiting), rate)
        # Asked once more, halls have less than was thought: each one gives what it can.
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
        """Go on without the halls that did not answer in time."""
        if held.pull == number and held.awaited:
            self.counts["unanswered"] += len(held.awaited)
            held.awaited.clear()
            self._end_round(workspace, held, self._reactor.seconds())

    def _end_round(self, workspace: str, held: _WorkspaceTokens, now: float) -> None:
        """Ask more halls where that is needed and of use, or refuse those that still wait."""
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
        """Grant tokens to those that wait, as far as there are any."""
        while held.waiting and held.bucket.take(now):
            self._grant(held.waiting.pop(0).reply, now)

    def _on_pull(self, link: Any, frame: node_frames.QuotaPull) -> None:
        amount = self._transfer_out(frame.workspace, frame.amount, link.hello.hall)
        link.send(node_frames.QuotaShare(frame.number, amount))

    def _transfer_out(self, workspace: str, amount: float, hall: str) -> float:
        """Take tokens for another hall out of those held here, unless this hall lacks some."""
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
        """Take in tokens; those of an earlier pull count as well."""
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
