"""Asks whether a request is within the quota of its workspace.

The tokens of a workspace are held by one instance of each data hall (`quota_holder`). An instance
asks the one of its own hall; where that doesn't answer it asks the next by rank, then holders of
other halls.
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
"""Seconds that an answer of a holder is waited for; then the holder is passed over until it is
heard of again. It may wait for other halls meanwhile (`quota_holder.PULL_TIMEOUT_SECONDS`)."""

MAX_ASKS = 2
"""Holders of the own hall that are asked for one request at most; one of another hall is asked
besides."""

UNSURE_RETRY_AFTER = 0.1
"""Seconds after which a caller may ask again where no holder answered: another instance may hear
one."""

MAX_NAMED_WORKSPACES = 200
"""Workspaces whose refusals are counted apart; the rest together."""

OTHER_WORKSPACES = "(others)"
"""Name under which the refusals of the rest are counted."""

MAX_LOG_LINES_PER_SECOND = 5.0
"""Log lines a second for refusals."""


def _give_nothing_back() -> None:
    """Do nothing, because there is no token to give back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may be sent to targets."""

    refusal: verdict.Verdict | None = None
    """Why not; None where it may."""

    retry_after: float = 0.0
    """Seconds after which its caller may ask again, where it may not."""

    give_back: Callable[[], None] = _give_nothing_back
    """Gives its place to another request, where it was admitted and certainly did not run."""


@dataclasses.dataclass(slots=True, eq=False)
class _Question:
    """A request whose token is being asked for."""

    workspace: str
    """Name of its workspace."""

    on_end: Callable[[Admission], None]
    """Takes the answer, once."""

    until: float
    """Time by which the answer is of use, in seconds."""

    tried: list[str] = dataclasses.field(default_factory=list)
    """Holders that were asked, the latest one last."""

    number: int = 0
    """Number of the latest `QuotaAsk`; 0 before the first."""

    sent_at: float = 0.0
    """When a holder was asked last, in seconds."""

    timer: Any = None
    """Runs while another instance is asked."""

    withdraw_own: Callable[[], None] | None = None
    """Withdraws the question while this instance's own holder has it."""

    asked_remote: bool = False
    """Whether a holder of another hall was asked."""

    is_over: bool = False
    """Whether it is answered or withdrawn."""


class QuotaKeeper:
    """Admits requests by the quotas of their workspaces."""

    def __init__(
        self,
        reactor: Any,
        name: str,
        links: peer_links.PeerLinks,
        peers: gatherers.Gatherers,
        ranks: quota_ranks.QuotaRanks,
        holder: quota_holder.QuotaHolder,
    ) -> None:
        """Start with nothing asked.

        Args:
            reactor: Twisted's reactor.
            name: Name of this instance.
            links: Links to the other instances.
            peers: Takes note of those that do not answer.
            ranks: Tells who holds tokens.
            holder: The tokens that this instance holds.
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
        self._questions: dict[int, _Question] = {}
        # What others were granted lately: workspace and time in seconds by (process, number).
        self._grants: collections.OrderedDict[tuple[str, int], tuple[str, float]] = (
            collections.OrderedDict()
        )
        self.counts: collections.Counter[str] = collections.Counter()
        """Requests asked for, admitted and refused, and holders without an answer."""
        self.refusals: dict[tuple[str, str], int] = {}
        """Refused requests by workspace and reason."""
        links.handle(node_frames.QuotaAsk, self._on_ask)
        links.handle(node_frames.QuotaGrant, self._on_grant)
        links.handle(node_frames.QuotaReturn, self._on_return)
        links.on_down.append(self._on_down)

    @property
    def holder(self) -> quota_holder.QuotaHolder:
        """The tokens that this instance holds."""
        return self._holder

    @property
    def ranks(self) -> quota_ranks.QuotaRanks:
        """Tells who holds tokens."""
        return self._ranks

    @property
    def lines_left_out(self) -> int:
        """Log lines that were left out."""
        return self._log.suppressed_total

    def set_workspaces(self, listed: Iterable[workspaces.Workspace], version: int = 0) -> None:
        """Put the limits of a configuration in force.

        Args:
            listed: Its workspaces.
            version: Its version.
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
        """Ask for a request's place.

        Args:
            workspace: Whose request it is.
            on_end: Takes the answer, once; it may be called before this function returns.
            deadline: Time by which the answer is of use, in seconds.

        Returns:
            A function that withdraws the question, because the caller has gone; None when the
            answer is known already.
        """
        if workspace.quota is None:
            on_end(Admission())
            return None
        self.counts["asked"] += 1
        question = _Question(workspace.name, on_end, deadline)
        self._ask_next(question)
        if question.is_over:
            return None

        def withdraw() -> None:
            if not question.is_over:
                self.counts["withdrawn"] += 1
                self._close(question)

        return withdraw

    def _ask_next(self, question: _Question) -> None:
        """Ask the best holder that wasn't asked yet."""
        now = self._reactor.seconds()
        name = self._choose_holder(question)
        if name is None or now >= question.until:
            self._refuse_unsure(question)
            return
        question.tried.append(name)
        question.sent_at = now
        if name == self._name:
            self._ask_own(question)
            return
        question.number = next(self._numbers)
        self._questions[question.number] = question
        ask = node_frames.QuotaAsk(question.number, question.workspace, self._version)
        if not self._links.send(name, ask):
            del self._questions[question.number]
            self._ask_next(question)
            return
        wait = min(ASK_TIMEOUT_SECONDS, question.until - now)
        question.timer = self._reactor.callLater(wait, self._on_timeout, question)

    def _choose_holder(self, question: _Question) -> str | None:
        """Choose whom to ask: the holders of the own hall, then one of another hall.

        Otherwise a hall that lost all its holders at once would refuse everything until the list of
        instances no longer names them.
        """
        if len(question.tried) < MAX_ASKS:
            for name in self._ranks.holders(question.workspace):
                if name not in question.tried:
                    return name
        if question.asked_remote:
            return None
        question.asked_remote = True
        return self._ranks.any_remote_holder(question.workspace)

    def _ask_own(self, question: _Question) -> None:
        """Ask the holder of this instance, without a message."""

        def reply(answer: quota_holder.Answer) -> None:
            question.withdraw_own = None
            self._take_answer(
                question,
                answer,
                lambda: self._holder.put_back(question.workspace, answer.granted_at),
            )

        withdraw = self._holder.ask(question.workspace, self._version, reply)
        if not question.is_over:
            question.withdraw_own = withdraw

    def _take_answer(
        self, question: _Question, answer: quota_holder.Answer, give_back: Callable[[], None]
    ) -> None:
        """Act on what a holder says; `give_back` returns a token that it granted."""
        if answer.decision is quota.Decision.UNSURE:
            self.counts["not_held"] += 1
            self._ask_next(question)
        elif answer.decision is quota.Decision.GRANTED:
            self.counts["admitted"] += 1
            self._end(question, Admission(give_back=give_back))
        else:
            found = verdict.not_run(
                verdict.Reason.OVER_QUOTA, f"workspace {question.workspace} is over its quota"
            )
            self._refuse(question, found, answer.retry_after)

    def _refuse_unsure(self, question: _Question) -> None:
        tried = ", ".join(question.tried) or "nobody"
        found = verdict.not_run(
            verdict.Reason.QUOTA_UNSURE,
            f"no holder of the quota of workspace {question.workspace} answers; asked {tried}",
        )
        self._refuse(question, found, UNSURE_RETRY_AFTER)

    def _refuse(self, question: _Question, found: verdict.Verdict, retry_after: float) -> None:
        reason = found.reason.value
        self.counts[reason] += 1
        key = (question.workspace, reason)
        if key not in self.refusals and len(self.refusals) >= MAX_NAMED_WORKSPACES:
            key = (OTHER_WORKSPACES, reason)
        self.refusals[key] = self.refusals.get(key, 0) + 1
        self._log.info(
            "quota_refused",
            workspace=question.workspace,
            reason=reason,
            asked=list(question.tried),
            retry_after=round(retry_after, 2),
        )
        self._end(question, Admission(found, retry_after))

    def _end(self, question: _Question, admission: Admission) -> None:
        self._close(question)
        question.on_end(admission)

    def _close(self, question: _Question) -> None:
        """Expect no answer any more."""
        question.is_over = True
        self._questions.pop(question.number, None)
        if question.timer is not None and question.timer.active():
            question.timer.cancel()
        if question.withdraw_own is not None:
            question.withdraw_own()
            question.withdraw_own = None

    def _on_timeout(self, question: _Question) -> None:
        """Pass a holder over that does not answer."""
        self.counts["unanswered"] += 1
        del self._questions[question.number]
        self._peers.distrust(question.tried[-1])
        self._ask_next(question)

    def _on_down(self, name: str) -> None:
        """Ask the next holder what a lost one was asked."""
        lost = [one for one in self._questions.values() if one.tried[-1] == name]
        for question in lost:
            if not question.is_over:
                self._questions.pop(question.number, None)
                question.timer.cancel()
                self._ask_next(question)

    def _on_grant(self, link: Any, frame: node_frames.QuotaGrant) -> None:
        question = self._questions.get(frame.number)
        now = self._reactor.seconds()
        is_awaited = question is not None and question.tried[-1] == link.hello.name
        is_granted = frame.decision is quota.Decision.GRANTED
        if question is None or not is_awaited or now - question.sent_at > ASK_TIMEOUT_SECONDS:
            # Its caller has gone, or another holder was asked meanwhile.
            if is_granted:
                link.send(node_frames.QuotaReturn(frame.number))
            return
        del self._questions[frame.number]
        question.timer.cancel()
        self._take_answer(
            question,
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
        """Remember a grant for as long as its token can be given back."""
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
