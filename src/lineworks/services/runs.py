"""Runs single requests: plain ones, ones with a ticket, and ones with an idempotency key.

A request with a ticket or a key has a request ID: the ticket's text, or `key:` and the digest of
the workspace and the key. A retry with the same ID does not run the request again: it gets the
first outcome for as long as that is kept. A claim of a key expires after
`claims.CLAIM_TTL_SECONDS`.
"""

from __future__ import annotations

import secrets
import time
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from lineworks.decisions import claims, deadlines, tickets, verdict
from lineworks.engine import requests
from lineworks.models import caller_http, relayed_reply
from lineworks.wire import frames

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lineworks.services import claim_writer, cluster, config_keeper, peer_link, peer_links

_KEY_PREFIX = "key:"


class RequestRunner:
    """Runs single requests, those with a ticket or an idempotency key at most once."""

    def __init__(
        self,
        reactor: Any,
        rng: random.Random,
        name: str,
        incarnation: str,
        query_engine: cluster.QueryEngine,
        links: peer_links.PeerLinks,
        keeper: config_keeper.ConfigKeeper,
        writer: claim_writer.ClaimWriter,
    ) -> None:
        """Initialise a runner that has issued no tickets.

        Args:
            reactor: Twisted's reactor.
            rng: Random number generator for the nonces of tickets.
            name: Name of this instance.
            incarnation: ID of this process; it changes when the instance restarts.
            query_engine: The query engine.
            links: Links to peers, to which requests are relayed.
            keeper: The configuration in force.
            writer: Claims idempotency keys.
        """
        self._reactor = reactor
        self._name = name
        self._incarnation = incarnation
        self._query_engine = query_engine
        self._links = links
        self._keeper = keeper
        self._writer = writer
        self._ticket_registry: tickets.TicketRegistry[caller_http.Reply] = tickets.TicketRegistry(
            name, incarnation, rng
        )
        self._waiters: dict[str, list[defer.Deferred[caller_http.Reply]]] = {}
        self._pending_relays: dict[int, tuple[str, defer.Deferred[caller_http.Reply]]] = {}
        self._last_relay_number = 0
        self._outcomes: dict[str, caller_http.Reply] = {}
        self._in_progress = 0
        links.handle(frames.Relay, self._on_relay)
        links.handle(frames.RelayReply, self._on_relay_reply)
        links.on_down.append(self._on_down)

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress on this instance."""
        return self._in_progress == 0

    def start(self) -> None:
        """Do nothing; the kernel requires this method of every service."""

    def stop(self) -> None:
        """Void the unused tickets."""
        self._ticket_registry.void_unused()

    def void_unused(self) -> int:
        """Void the unused tickets, because this instance is draining.

        Returns:
            The number of tickets that were voided.
        """
        return self._ticket_registry.void_unused()

    def issue(self, body: caller_http.TicketsBody) -> list[str]:
        """Issue tickets.

        Args:
            body: The caller's request, with the number and the lifetime of the tickets.

        Returns:
            The tickets as text.
        """
        now = self._reactor.seconds()
        lifetime = body.lifetime_ms / 1000
        return [str(self._ticket_registry.issue(now, lifetime)) for _ in range(body.count)]

    async def run(
        self,
        body: caller_http.RunBody,
        key: str | None,
        register_cancel: Callable[[Callable[[], None]], None] | None = None,
    ) -> caller_http.Reply:
        """Run a caller's request.

        Args:
            body: The request.
            key: The request's idempotency key, if any.
            register_cancel: Called with a function that cancels the request. It isn't called for
                requests with a ticket or a key, which aren't cancelled.

        Returns:
            The response.
        """
        deadline = deadlines.for_answer(self._reactor.seconds(), body.deadline_ms / 1000)
        self._in_progress += 1
        try:
            if body.ticket is not None and key is not None:
                return caller_http.problem_reply(
                    400, "Bad request", "ticket: give either a ticket or an Idempotency-Key"
                )
            if body.ticket is not None:
                return await self._run_with_ticket(body, body.ticket, deadline)
            if key is not None:
                return await self._run_with_key(body, key, deadline)
            return await self._run_once(body, deadline, register_cancel)
        finally:
            self._in_progress -= 1

    async def _run_once(
        self,
        body: caller_http.RunBody,
        deadline: float,
        register_cancel: Callable[[Callable[[], None]], None] | None = None,
    ) -> caller_http.Reply:
        request = requests.RunRequest(
            body.service,
            body.shard,
            body.body.encode(),
            body.caller_class,
            deadline,
            is_repeatable=not body.unrepeatable,
        )
        done: defer.Deferred[requests.Answer] = defer.Deferred()
        cancel = self._query_engine.front.run(request, done.callback)
        if register_cancel is not None:
            register_cancel(cancel)
        return caller_http.answer_reply(await done, self._keeper.age)

    async def _run_with_ticket(
        self, body: caller_http.RunBody, text: str, deadline: float
    ) -> caller_http.Reply:
        try:
            ticket = tickets.parse(text)
        except tickets.TicketError as error:
            return caller_http.problem_reply(400, "Bad request", f"ticket: {error}")
        if ticket.instance != self._name:
            return await self._relay_ticket(ticket, body, deadline)
        if ticket.incarnation != self._incarnation:
            detail = "the process that issued it is gone; it ran if and only if it ran before that"
            return caller_http.verdict_reply(
                verdict.may_have_run(verdict.Reason.ISSUER_GONE, detail)
            )
        redemption = self._ticket_registry.redeem(text, body.fingerprint(), self._reactor.seconds())
        if isinstance(redemption, verdict.Verdict):
            return caller_http.verdict_reply(redemption)
        if isinstance(redemption, tickets.Replay):
            return redemption.outcome
        if isinstance(redemption, tickets.Wait):
            return await self._wait_for_outcome(text, deadline)
        unrepeatable_body = body.model_copy(update={"unrepeatable": True})
        reply = await self._run_once(unrepeatable_body, deadline)
        self._ticket_registry.record_outcome(text, reply)
        self._resolve_waiters(text, reply)
        return reply

    async def _run_with_key(
        self, body: caller_http.RunBody, key: str, deadline: float
    ) -> caller_http.Reply:
        key_digest = claims.digest(body.workspace, key)
        wall_now = time.time()
        claim = claims.Claim(
            key_digest,
            secrets.token_hex(8),
            self._name,
            body.fingerprint(),
            wall_now + claims.CLAIM_TTL_SECONDS,
        )
        result = await self._writer.claim(claim, deadline)
        if isinstance(result, verdict.Verdict):
            return caller_http.verdict_reply(result, retry_after=1.0)
        if result.nonce != claim.nonce:
            return await self._on_key_taken(result, claim, deadline)
        request_id = _KEY_PREFIX + key_digest
        self._waiters.setdefault(request_id, [])
        unrepeatable_body = body.model_copy(update={"unrepeatable": True})
        reply = await self._run_once(unrepeatable_body, deadline)
        self._outcomes[request_id] = reply
        self._reactor.callLater(
            tickets.OUTCOME_RETENTION_SECONDS, self._outcomes.pop, request_id, None
        )
        self._resolve_waiters(request_id, reply)
        return reply

    async def _on_key_taken(
        self, first_claim: claims.Claim, own_claim: claims.Claim, deadline: float
    ) -> caller_http.Reply:
        """Answer a request whose key is already claimed, with the first outcome if it is known."""
        if first_claim.fingerprint != own_claim.fingerprint:
            refusal = verdict.not_run(
                verdict.Reason.KEY_TAKEN, "the key was used for another request"
            )
            return caller_http.verdict_reply(refusal)
        request_id = _KEY_PREFIX + first_claim.key
        if first_claim.instance == self._name:
            return await self._outcome_of(request_id, deadline)
        return await self._relay_to(first_claim.instance, request_id, b"{}", deadline)

    async def _outcome_of(self, request_id: str, deadline: float) -> caller_http.Reply:
        known = self._outcomes.get(request_id)
        if known is not None:
            return known
        if request_id in self._waiters:
            return await self._wait_for_outcome(request_id, deadline)
        detail = "the key was claimed and its outcome is not known here"
        return caller_http.verdict_reply(verdict.may_have_run(verdict.Reason.KEY_TAKEN, detail))

    async def _wait_for_outcome(self, request_id: str, deadline: float) -> caller_http.Reply:
        """Wait until the outcome of a request that another connection started is known."""
        done: defer.Deferred[caller_http.Reply] = defer.Deferred()
        self._waiters.setdefault(request_id, []).append(done)
        timeout_reply = caller_http.verdict_reply(
            verdict.may_have_run(verdict.Reason.DEADLINE, "the first request is still under way")
        )
        timer = self._reactor.callLater(
            deadlines.remaining(deadline, self._reactor.seconds()),
            self._on_wait_timeout,
            request_id,
            done,
            timeout_reply,
        )
        reply = await done
        if timer.active():
            timer.cancel()
        return reply

    def _on_wait_timeout(
        self,
        request_id: str,
        done: defer.Deferred[caller_http.Reply],
        timeout_reply: caller_http.Reply,
    ) -> None:
        if not done.called:
            self._waiters.get(request_id, []).remove(done)
            done.callback(timeout_reply)

    def _resolve_waiters(self, request_id: str, reply: caller_http.Reply) -> None:
        for done in self._waiters.pop(request_id, []):
            done.callback(reply)

    async def _relay_ticket(
        self, ticket: tickets.Ticket, body: caller_http.RunBody, deadline: float
    ) -> caller_http.Reply:
        document = body.model_dump_json(by_alias=True).encode()
        return await self._relay_to(ticket.instance, str(ticket), document, deadline)

    async def _relay_to(
        self, instance: str, request_id: str, document: bytes, deadline: float
    ) -> caller_http.Reply:
        """Relay a request to the only instance that may run it or knows its outcome."""
        self._last_relay_number += 1
        number = self._last_relay_number
        hop_deadline = deadlines.for_next_hop(deadline, self._query_engine.view.delay_to(instance))
        if not self._links.send(instance, frames.Relay(number, request_id, document, hop_deadline)):
            detail = f"{instance} cannot be reached from here; an earlier try may have run"
            return caller_http.verdict_reply(
                verdict.may_have_run(verdict.Reason.ISSUER_GONE, detail)
            )
        done: defer.Deferred[caller_http.Reply] = defer.Deferred()
        self._pending_relays[number] = (instance, done)
        timeout_reply = caller_http.verdict_reply(
            verdict.may_have_run(verdict.Reason.DEADLINE, f"{instance} did not reply in time")
        )
        seconds_left = deadlines.remaining(deadline, self._reactor.seconds())
        timer = self._reactor.callLater(seconds_left, self._complete_relay, number, timeout_reply)
        reply = await done
        if timer.active():
            timer.cancel()
        return reply

    def _complete_relay(self, number: int, reply: caller_http.Reply) -> None:
        entry = self._pending_relays.pop(number, None)
        if entry is not None:
            entry[1].callback(reply)

    def _on_relay(self, link: peer_link.PeerLink, frame: frames.Relay) -> None:
        serving = defer.ensureDeferred(self._serve_relay(frame))
        serving.addCallback(_send_relay_reply, link, frame.number)

        def close_link(failure: Any) -> None:
            link.close(f"malformed frame: {failure.type.__name__}")

        serving.addErrback(close_link)

    async def _serve_relay(self, frame: frames.Relay) -> caller_http.Reply:
        if frame.ticket.startswith(_KEY_PREFIX):
            return await self._outcome_of(frame.ticket, frame.deadline)
        body: caller_http.RunBody = caller_http.parse(
            caller_http.RunBody, frame.document, len(frame.document)
        )
        self._in_progress += 1
        try:
            ticket = tickets.parse(frame.ticket)
            if ticket.instance != self._name:
                refusal = verdict.not_run(verdict.Reason.TICKET_UNKNOWN, "not issued here")
                return caller_http.verdict_reply(refusal)
            return await self._run_with_ticket(body, frame.ticket, frame.deadline)
        finally:
            self._in_progress -= 1

    def _on_relay_reply(self, link: peer_link.PeerLink, frame: frames.RelayReply) -> None:
        entry = self._pending_relays.get(frame.number)
        assert link.hello is not None
        if entry is None or entry[0] != link.hello.name:
            return
        try:
            reply = relayed_reply.decode(frame.document)
        except relayed_reply.RelayedReplyError as error:
            link.close(f"malformed frame: relay reply: {error}")
            return
        self._complete_relay(frame.number, reply)

    def _on_down(self, name: str) -> None:
        link_lost = verdict.may_have_run(verdict.Reason.LINK_LOST, f"lost {name}")
        for number, (instance, _) in list(self._pending_relays.items()):
            if instance == name:
                self._complete_relay(number, caller_http.verdict_reply(link_lost))


def _send_relay_reply(reply: caller_http.Reply, link: peer_link.PeerLink, number: int) -> None:
    """Send a reply over the link that its request came on.

    A later life of the same instance numbers its requests anew, and would take the reply for that
    to another one.
    """
    link.send(frames.RelayReply(number, relayed_reply.encode(reply)))
