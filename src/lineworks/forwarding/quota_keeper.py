"""Checks whether a request is within the quota of its workspace.

The tokens of a workspace are held by one instance of each data hall (`quota_holder`). An instance
requests a token from the holder of its own hall. If that one does not answer, it tries the next one
by rank, and finally a holder of another hall.
"""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
from typing import TYPE_CHECKING, Any

from lineworks.decisions import quota, verdict
from lineworks.forwarding import quota_holder
from lineworks.kernel import rate_limited_log
from lineworks.wire import node_frames

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lineworks.decisions import workspaces
    from lineworks.forwarding import gatherers, quota_ranks
    from lineworks.services import peer_links

ASK_TIMEOUT_SECONDS = quota.GRANT_TTL_SECONDS
"""Timeout in seconds for a holder's answer. A holder that times out is skipped until a message from
it arrives. The holder itself may wait for other halls (`quota_holder.PULL_TIMEOUT_SECONDS`)."""

MAX_ASKS = 2
"""Maximum number of holders in this instance's hall that are asked per request. One in another hall
may be asked in addition."""

UNSURE_RETRY_AFTER = 0.1
"""Seconds after which a caller may retry if no holder answered: another instance may reach one."""

MAX_NAMED_WORKSPACES = 200
"""Maximum number of workspaces and reasons for which refusals are counted separately."""

OTHER_WORKSPACES = "(others)"
"""Name under which the refusals of all other workspaces are counted."""

MAX_LOG_LINES_PER_SECOND = 5.0
"""Maximum number of log lines per second for refusals."""


def _return_no_token() -> None:
    """Do nothing, because there is no token to return."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may be sent to targets."""

    refusal: verdict.Verdict | None = None
    """Reason why it may not; None if it may."""

    retry_after: float = 0.0
    """Seconds after which its caller may retry, if it was refused."""

    return_token: Callable[[], None] = _return_no_token
    """Returns the token of a request that was admitted and certainly did not run."""


@dataclasses.dataclass(slots=True, eq=False)
class _PendingRequest:
    """A request that waits for a holder's decision."""

    workspace: str
    """Name of its workspace."""

    on_end: Callable[[Admission], None]
    """Called once with the decision."""

    until: float
    """Time in seconds after which the decision is useless."""

    tried: list[str] = dataclasses.field(default_factory=list)
    """Holders that were asked so far, the latest one last."""

    number: int = 0
    """Number of the latest `QuotaAsk` message; 0 before the first."""

    sent_at: float = 0.0
    """Time in seconds at which the latest holder was asked."""

    timer: Any = None
    """Timeout for the answer of another instance."""

    withdraw_own: Callable[[], None] | None = None
    """Withdraws the request while the holder of this instance is deciding."""

    asked_remote: bool = False
    """Whether another hall was tried."""

    is_over: bool = False
    """Whether it was decided or withdrawn."""


class QuotaKeeper:
    """Admits requests by the quotas of their workspaces."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        links: peer_links.PeerLinks,
        peers: gatherers.GathererClient,
        ranks: quota_ranks.QuotaRanks,
        holder: quota_holder.QuotaHolder,
    ) -> None:
        """Initialize the keeper without pending requests.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            links: Links to the other instances.
            peers: Tracks the instances that do not answer.
            ranks: Ranks the instances that may hold tokens.
            holder: Holds tokens at this instance.
        """
        self._reactor = reactor
        self._name = name
        self._links = links
        self._peers = peers
        self._ranks = ranks
        self._holder = holder
        self._log = rate_limited_log.RateLimitedLog(reactor, "quotas", MAX_LOG_LINES_PER_SECOND)
        self._numbers = itertools.count(1)
        self._version = 0
        self._pending: dict[int, _PendingRequest] = {}
        # Recent grants to other instances: workspace and time in seconds by (process, number).
        self._grants: collections.OrderedDict[tuple[str, int], tuple[str, float]] = (
            collections.OrderedDict()
        )
        self.counts: collections.Counter[str] = collections.Counter()
        """Counts of checked, admitted and refused requests, and of unanswered ones to holders."""
        self.refusals: dict[tuple[str, str], int] = {}
        """Number of refused requests by workspace and reason."""
        links.handle(node_frames.QuotaAsk, self._on_ask)
        links.handle(node_frames.QuotaGrant, self._on_grant)
        links.handle(node_frames.QuotaReturn, self._on_return)
        links.on_down.append(self._on_down)

    @property
    def holder(self) -> quota_holder.QuotaHolder:
        """Holds tokens at this instance."""
        return self._holder

    @property
    def ranks(self) -> quota_ranks.QuotaRanks:
        """Ranks the instances that may hold tokens."""
        return self._ranks

    @property
    def suppressed_lines(self) -> int:
        """Number of log lines suppressed since the start."""
        return self._log.suppressed_total

    def set_workspaces(self, listed: Iterable[workspaces.Workspace], version: int = 0) -> None:
        """Apply the limits of a configuration.

        Args:
            listed: Workspaces of the configuration.
            version: Version of the configuration.
        """
        self._version = version
        limits = {one.name: one.quota for one in listed if one.quota is not None}
        self._holder.set_limits(limits, version)

    def admit(
        self,
        workspace: workspaces.Workspace,
        on_end: Callable[[Admission], None],
        deadline: float = math.inf,
    ) -> Callable[[], None] | None:
        """Decide whether a request may be sent to targets.

        Args:
            workspace: Workspace of the request.
            on_end: Called once with the decision, possibly before this function returns.
            deadline: Time in seconds after which the decision is useless.

        Returns:
            A function that withdraws the request when its caller disconnects; None if it has
            already been decided.
        """
        if workspace.quota is None:
            on_end(Admission())
            return None
        self.counts["asked"] += 1
        pending = _PendingRequest(workspace.name, on_end, deadline)
        self._ask_next(pending)
        if pending.is_over:
            return None

        def withdraw() -> None:
            if not pending.is_over:
                self.counts["withdrawn"] += 1
                self._close(pending)

        return withdraw

    def _ask_next(self, pending: _PendingRequest) -> None:
        """Ask the highest-ranked holder that has not been asked yet."""
        now = self._reactor.seconds()
        name = self._choose_holder(pending)
        if name is None or now >= pending.until:
            self._refuse_unsure(pending)
            return
        pending.tried.append(name)
        pending.sent_at = now
        if name == self._name:
            self._ask_own(pending)
            return
        pending.number = next(self._numbers)
        self._pending[pending.number] = pending
        ask = node_frames.QuotaAsk(pending.number, pending.workspace, self._version)
        if not self._links.send(name, ask):
            del self._pending[pending.number]
            self._ask_next(pending)
            return
        wait = min(ASK_TIMEOUT_SECONDS, pending.until - now)
        pending.timer = self._reactor.callLater(wait, self._on_timeout, pending)

    def _choose_holder(self, pending: _PendingRequest) -> str | None:
        """Return the next holder to ask: those of this hall, then one of another hall.

        Without the latter, a hall that lost all its holders at once would refuse every request
        until they are removed from the membership list.
        """
        if len(pending.tried) < MAX_ASKS:
            for name in self._ranks.holders(pending.workspace):
                if name not in pending.tried:
                    return name
        if pending.asked_remote:
            return None
        pending.asked_remote = True
        return self._ranks.any_remote_holder(pending.workspace)

    def _ask_own(self, pending: _PendingRequest) -> None:
        """Ask the holder of this instance directly, without a message."""

        def reply(answer: quota_holder.Answer) -> None:
            pending.withdraw_own = None
            self._take_answer(
                pending,
                answer,
                lambda: self._holder.put_back(pending.workspace, answer.granted_at),
            )

        withdraw = self._holder.ask(pending.workspace, self._version, reply)
        if not pending.is_over:
            pending.withdraw_own = withdraw

    def _take_answer(
        self,
        pending: _PendingRequest,
        answer: quota_holder.Answer,
        return_token: Callable[[], None],
    ) -> None:
        """Handle a holder's answer; `return_token` returns the token that it granted."""
        if answer.decision is quota.Decision.UNSURE:
            self.counts["not_held"] += 1
            self._ask_next(pending)
        elif answer.decision is quota.Decision.GRANTED:
            self.counts["admitted"] += 1
            self._end(pending, Admission(return_token=return_token))
        else:
            found = verdict.not_run(
                verdict.Reason.OVER_QUOTA, f"workspace {pending.workspace} is over its quota"
            )
            self._refuse(pending, found, answer.retry_after)

    def _refuse_unsure(self, pending: _PendingRequest) -> None:
        tried = ", ".join(pending.tried) or "nobody"
        found = verdict.not_run(
            verdict.Reason.QUOTA_UNSURE,
            f"no holder of the quota of workspace {pending.workspace} answers; asked {tried}",
        )
        self._refuse(pending, found, UNSURE_RETRY_AFTER)

    def _refuse(self, pending: _PendingRequest, found: verdict.Verdict, retry_after: float) -> None:
        reason = found.reason.value
        self.counts[reason] += 1
        key = (pending.workspace, reason)
        if key not in self.refusals and len(self.refusals) >= MAX_NAMED_WORKSPACES:
            key = (OTHER_WORKSPACES, reason)
        self.refusals[key] = self.refusals.get(key, 0) + 1
        self._log.info(
            "quota_refused",
            workspace=pending.workspace,
            reason=reason,
            asked=list(pending.tried),
            retry_after=round(retry_after, 2),
        )
        self._end(pending, Admission(found, retry_after))

    def _end(self, pending: _PendingRequest, admission: Admission) -> None:
        self._close(pending)
        pending.on_end(admission)

    def _close(self, pending: _PendingRequest) -> None:
        """Stop waiting for a decision."""
        pending.is_over = True
        self._pending.pop(pending.number, None)
        if pending.timer is not None and pending.timer.active():
            pending.timer.cancel()
        if pending.withdraw_own is not None:
            pending.withdraw_own()
            pending.withdraw_own = None

    def _on_timeout(self, pending: _PendingRequest) -> None:
        """Mark a holder that did not answer as silent, and ask the next one."""
        self.counts["unanswered"] += 1
        del self._pending[pending.number]
        self._peers.mark_silent(pending.tried[-1])
        self._ask_next(pending)

    def _on_down(self, name: str) -> None:
        """Ask the next holder about the requests that an unreachable one was deciding."""
        lost = [one for one in self._pending.values() if one.tried[-1] == name]
        for pending in lost:
            if not pending.is_over:
                self._pending.pop(pending.number, None)
                pending.timer.cancel()
                self._ask_next(pending)

    def _on_grant(self, link: Any, frame: node_frames.QuotaGrant) -> None:
        pending = self._pending.get(frame.number)
        now = self._reactor.seconds()
        is_awaited = pending is not None and pending.tried[-1] == link.hello.name
        is_granted = frame.decision is quota.Decision.GRANTED
        if pending is None or not is_awaited or now - pending.sent_at > ASK_TIMEOUT_SECONDS:
            # The caller disconnected, the answer is late, or another holder has been asked since.
            if is_granted:
                link.send(node_frames.QuotaReturn(frame.number))
            return
        del self._pending[frame.number]
        pending.timer.cancel()
        self._take_answer(
            pending,
            quota_holder.Answer(frame.decision, frame.retry_after),
            lambda: link.send(node_frames.QuotaReturn(frame.number)),
        )

    def _on_ask(self, link: Any, frame: node_frames.QuotaAsk) -> None:
        def reply(answer: quota_holder.Answer) -> None:
            if answer.decision is quota.Decision.GRANTED:
                key = (link.hello.incarnation, frame.number)
                self._note_grant(key, frame.workspace, answer.granted_at)
            link.send(node_frames.QuotaGrant(frame.number, answer.decision, answer.retry_after))

        self._holder.ask(frame.workspace, frame.version, reply)

    def _note_grant(self, key: tuple[str, int], workspace: str, now: float) -> None:
        """Remember a grant for as long as its token can be returned."""
        self._grants[key] = (workspace, now)
        while self._grants:
            oldest = next(iter(self._grants))
            if now - self._grants[oldest][1] <= quota.RETURN_WINDOW_SECONDS:
                break
            del self._grants[oldest]

    def _on_return(self, link: Any, frame: node_frames.QuotaReturn) -> None:
        found = self._grants.pop((link.hello.incarnation, frame.number), None)
        if found is not None:
            self._holder.put_back(*found)
