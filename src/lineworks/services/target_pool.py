"""Connections to targets: sends attempts over HTTP and never holds more than its share.

The protocol is described in docs/reference/targets.md.
"""

from __future__ import annotations

import dataclasses
import json
from typing import TYPE_CHECKING, Any

from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.web import client as web_client
from twisted.web import http_headers, iweb
from zope.interface import implementer

from lineworks.decisions import ownership, replicas, verdict
from lineworks.engine import ports
from lineworks.models import target_http

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import catalog

CANCEL_GRACE = 0.25
"""Seconds that a target has to end a cancelled request before its connection is closed."""

REPORT_TIMEOUT = 1.0
"""Seconds to wait for a target's report."""

_CONNECT_TIMEOUT = 1.0


@implementer(iweb.IBodyProducer)
class _Body:
    """Writes a request's body, and notes that bytes were handed over."""

    def __init__(self, data: bytes) -> None:
        self.length = len(data)
        self._data = data
        self.is_sent = False

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:  # noqa: N802
        self.is_sent = True
        consumer.write(self._data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        pass

    def resumeProducing(self) -> None:  # noqa: N802
        pass

    def stopProducing(self) -> None:  # noqa: N802
        pass


@dataclasses.dataclass(slots=True)
class _Exchange:
    """A request on its connection."""

    on_outcome: Callable[[ports.Outcome], None] | None
    request: defer.Deferred[Any] | None = None


class TargetPool:
    """Implements the engine's target port over Twisted's HTTP client."""

    def __init__(self, reactor: Any) -> None:
        """Make a pool without connections.

        Args:
            reactor: Twisted's reactor.
        """
        self._reactor = reactor
        self._pool = web_client.HTTPConnectionPool(reactor, persistent=True)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = 64
        self._agent = web_client.Agent(reactor, pool=self._pool, connectTimeout=_CONNECT_TIMEOUT)
        self._open: dict[str, int] = {}

    def start(self) -> None:
        """Do nothing; the first attempt connects."""

    def stop(self) -> defer.Deferred[Any]:
        """Close the idle connections."""
        return self._pool.closeCachedConnections()

    def send(
        self,
        target: catalog.Target,
        attempt: ports.Attempt,
        on_outcome: Callable[[ports.Outcome], None],
    ) -> Callable[[], None]:
        """Start an attempt; see `lineworks.engine.ports.TargetPort`.

        Args:
            target: Where to.
            attempt: What to send.
            on_outcome: Called once with the outcome, never from inside this call.

        Returns:
            A function that cancels the attempt.
        """
        exchange = _Exchange(on_outcome)
        if not self._take(target):
            found = verdict.not_run(verdict.Reason.CAPPED, "own share of connections is used up")
            self._reactor.callLater(0, _report_once, exchange, ports.Outcome(found))
            return lambda: _forget(exchange)
        body = _Body(attempt.body)
        remaining = max(0.0, attempt.deadline - self._reactor.seconds())
        headers = target_http.request_headers(attempt, remaining)
        exchange.request = self._request(target, b"/v1/sub-query", headers, body)
        done = exchange.request.addCallbacks(self._on_reply, self._on_failure, errbackArgs=(body,))
        done.addCallback(self._on_done, target, exchange)
        return lambda: self._cancel(target, attempt, exchange)

    def ask_report(self, target: catalog.Target) -> defer.Deferred[replicas.Report | None]:
        """Ask a target how it is.

        Args:
            target: The target.

        Returns:
            A deferred with its report, or None when there was no connection to spare or no reply.
        """
        if not self._take(target):
            return defer.succeed(None)
        url = f"http://{target.host}:{target.port}/v1/report".encode()
        asked = self._agent.request(b"GET", url)
        asked.addCallback(web_client.readBody)
        asked.addTimeout(REPORT_TIMEOUT, self._reactor)
        asked.addCallback(lambda data: target_http.parse_report(json.loads(data)))
        asked.addErrback(lambda _: None)
        return asked.addBoth(self._give_back, target)

    def _request(
        self,
        target: catalog.Target,
        path: bytes,
        headers: dict[str, str],
        body: Any,
    ) -> defer.Deferred[Any]:
        url = f"http://{target.host}:{target.port}".encode() + path
        raw = http_headers.Headers({name: [value] for name, value in headers.items()})
        return self._agent.request(b"POST", url, raw, body)

    def _on_reply(self, response: Any) -> defer.Deferred[ports.Outcome]:
        read = web_client.readBody(response)
        return read.addCallbacks(
            lambda data: target_http.read_outcome(response.code, _headers(response), data),
            lambda _: ports.Outcome(
                verdict.may_have_run(verdict.Reason.LINK_LOST, "the reply broke off")
            ),
        )

    def _on_failure(self, failure: Any, body: _Body) -> ports.Outcome:
        if failure.check(net_error.ConnectError, net_error.ConnectionRefusedError):
            found = verdict.not_run(verdict.Reason.UNREACHABLE, failure.getErrorMessage())
        elif not body.is_sent:
            found = verdict.not_run(verdict.Reason.UNREACHABLE, failure.type.__name__)
        else:
            found = verdict.may_have_run(verdict.Reason.LINK_LOST, failure.type.__name__)
        return ports.Outcome(found)

    def _on_done(self, outcome: ports.Outcome, target: catalog.Target, exchange: _Exchange) -> None:
        self._give_back(None, target)
        exchange.request = None
        _report_once(exchange, outcome)

    def _cancel(self, target: catalog.Target, attempt: ports.Attempt, exchange: _Exchange) -> None:
        """Tell the target to cancel; close the connection where that does not help."""
        _forget(exchange)
        if exchange.request is None:
            return
        if self._take(target):
            headers = {target_http.REQUEST: attempt.id}
            told = self._request(target, b"/v1/cancel", headers, None)
            told.addCallback(web_client.readBody)
            told.addTimeout(REPORT_TIMEOUT, self._reactor)
            told.addErrback(lambda _: None)
            told.addBoth(self._give_back, target)
        self._reactor.callLater(CANCEL_GRACE, _close, exchange)

    def _take(self, target: catalog.Target) -> bool:
        open_now = self._open.get(target.name, 0)
        if open_now >= ownership.connection_share(target.connections):
            return False
        self._open[target.name] = open_now + 1
        return True

    def _give_back(self, result: Any, target: catalog.Target) -> Any:
        self._open[target.name] -= 1
        return result


def _report_once(exchange: _Exchange, outcome: ports.Outcome) -> None:
    on_outcome = exchange.on_outcome
    exchange.on_outcome = None
    if on_outcome is not None:
        on_outcome(outcome)


def _forget(exchange: _Exchange) -> None:
    exchange.on_outcome = None


def _close(exchange: _Exchange) -> None:
    if exchange.request is not None:
        exchange.request.cancel()


def _headers(response: Any) -> dict[str, str]:
    return {
        name.decode().title(): values[-1].decode()
        for name, values in response.headers.getAllRawHeaders()
    }
