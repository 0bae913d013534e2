"""The front: admits callers' requests and answers them."""

from __future__ import annotations

import functools
import math
from typing import TYPE_CHECKING

from lineworks.decisions import (
    access,
    answer_time,
    deadlines,
    estimators,
    fingerprints,
    mechanisms,
    routes,
    suspects,
    verdict,
)
from lineworks.forwarding import caution, outcome, quota_keeper, search, single, target_calls
from lineworks.http1 import fields as http_fields
from lineworks.http1 import server_connection
from lineworks.kernel import failure_log
from lineworks.platform import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.forwarding import front_services, request_log

START_WAIT_SECONDS = 0.08
"""Seconds for which a request is held while the configuration or the targets are not yet known.
After a start they usually arrive within that time, and a refusal after it is still early."""

REFUSAL_WEIGHT = 0.1
"""Weight of one request in the moving average of requests refused for lack of a target."""

MOSTLY_REFUSING_SHARE = 0.5
"""Share of requests refused for lack of a target above which the front is mostly refusing."""

_Work = search.Search | single.SingleRequest

_BODY_METHODS = frozenset((b"POST", b"PUT", b"PATCH"))
_DROPPED = frozenset((headers.ATTEMPT, headers.BUDGET, headers.EXPECT))
_DROPPED_WITH_KEYS = _DROPPED | {headers.CALLER, headers.WORKSPACE}


class Front:
    """Routes, starts and answers the requests that callers send to one instance."""

    def __init__(
        self,
        shared: front_services.FrontServices,
        log: request_log.RequestLog,
        revocation: access.RevocationPolicy,
    ) -> None:
        """Create a front without a configuration; without one, requests are refused as not run.

        Args:
            shared: Services that the requests share.
            log: Logs and counts every request.
            revocation: Rules for keys that may have been revoked while this instance received no
                updates.
        """
        self._shared = shared
        self._log = log
        self._revocation = revocation
        # Requests waiting for quota, each with the function that refuses it as not run.
        self._awaiting_quota: dict[_Work, Callable[[], None]] = {}
        self._table: routes.RouteTable | None = None
        self._round_robin = routes.WeightedRoundRobin()
        self._in_progress: set[_Work] = set()
        self._waiting: dict[Callable[[], None], Callable[[], None]] = {}
        self.is_complete: Callable[[], bool] = lambda: True
        """Returns whether the configuration and the targets are known."""
        self.view_age: Callable[[], float] = lambda: 0.0
        """Returns the age of the data about targets, in seconds."""
        self.is_outdated: Callable[[], bool] = lambda: False
        """Returns whether a peer is known to have a newer configuration."""
        self.on_uncertain_refusal: Callable[[], None] = lambda: None
        """Called when a request is refused that a newer configuration might allow."""
        self.ends_at: Callable[[], float] = lambda: math.inf
        """Returns the time, in seconds, at which a stopping process answers all requests."""
        self.is_over: Callable[[], bool] = lambda: False
        """Returns whether the process itself is closing its connections."""
        self._refused_share = estimators.MovingAverage(REFUSAL_WEIGHT)
        self._failures = failure_log.FailureLog(shared.reactor, "front", "request_failed")

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress, held or waiting for quota."""
        return not self._in_progress and not self._waiting and not self._awaiting_quota

    @property
    def is_mostly_refusing(self) -> bool:
        """Whether most recent requests were refused for lack of a target."""
        return self._refused_share.value > MOSTLY_REFUSING_SHARE

    @property
    def table(self) -> routes.RouteTable | None:
        """The configuration in force."""
        return self._table

    def set_table(self, table: routes.RouteTable) -> None:
        """Apply a configuration to requests that arrive from now on.

        Args:
            table: The new configuration.
        """
        self._table = table
        self._shared.queue.is_fair = table.workspaces.requires_keys
        self._round_robin.forget_absent(table.routes)

    def resume_held(self) -> None:
        """Start the held requests: the configuration and the targets are known now."""
        for resume in list(self._waiting):
            resume()

    def end_all(self) -> int:
        """Answer every request with its verdict so far, because the process exits.

        Returns:
            Number of requests.
        """
        count = len(self._in_progress) + len(self._waiting) + len(self._awaiting_quota)
        ends = [*self._waiting.values(), *self._awaiting_quota.values()]
        ends += [work.end for work in self._in_progress]
        for end in ends:
            try:
                end()
            except Exception as error:
                # The other requests must be answered all the same.
                self._failures.on_failure(error)
        return count

    def limits(self) -> server_connection.Limits:
        """Return the limits for callers' connections and requests."""
        if self._table is None:
            return server_connection.Limits()
        found = self._table.limits
        return server_connection.Limits(
            found.header_bytes, found.body_bytes, found.header_seconds, found.idle_seconds
        )

    def on_request(
        self,
        request: server_connection.Request,
        answer: Callable[[server_connection.Answer], None],
    ) -> Callable[[], None] | None:
        """Start a request.

        Args:
            request: The request.
            answer: Called once, with the answer.

        Returns:
            A function that cancels the request when its caller has closed the connection, or None
            if the request was answered immediately.
        """
        table = self._table
        if table is None or not self.is_complete():
            return self._hold_until_ready(request, answer)
        host = request.header(b"host")
        attempt = headers.read_attempt(request.header(headers.ATTEMPT))
        if host is None or not attempt or not request.target.startswith(b"/"):
            self._answer_at_once(request, answer, _status_only(400, verdict.Reason.INVALID))
            return None
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = table.match(host.decode("latin-1").partition(":")[0], path)
        if route is None:
            self._answer_at_once(request, answer, _status_only(404, verdict.Reason.NO_SERVICE))
            return None
        key = headers.read_key(request.header(headers.CALLER))
        knowledge = access.ConfigurationFreshness(self.view_age(), self.is_outdated())
        found = access.judge(table, route, key, knowledge, self._revocation)
        if found.refusal is not None:
            if found.refusal.reason is verdict.Reason.KEY_UNSURE:
                self.on_uncertain_refusal()
            refused = outcome.refuse(found.refusal)
            self._finish(request, answer, table, found, attempt, "", refused)
            return None
        return self._forward(request, answer, table, found, attempt)

    def _hold_until_ready(
        self,
        request: server_connection.Request,
        answer: Callable[[server_connection.Answer], None],
    ) -> Callable[[], None]:
        """Hold a request briefly until the configuration and the targets are known."""
        cancel: Callable[[], None] | None = None
        is_over = False

        def resume() -> None:
            nonlocal cancel, is_over
            if not is_over:
                is_over = True
                timer.cancel()
                del self._waiting[resume]
                try:
                    cancel = self.on_request(request, answer)
                except Exception as error:
                    # The other held requests must be resumed all the same.
                    self._failures.on_failure(error)
                    answer(server_connection.Answer(500))

        def give_up() -> None:
            nonlocal is_over
            is_over = True
            if timer.active():
                timer.cancel()
            del self._waiting[resume]
            found = verdict.not_run(verdict.Reason.NOT_READY, "no configuration or targets yet")
            self._answer_at_once(request, answer, outcome.refuse(found))

        def stop() -> None:
            nonlocal is_over
            if cancel is not None:
                cancel()
            elif not is_over:
                is_over = True
                timer.cancel()
                del self._waiting[resume]

        is_held = mechanisms.Mechanism.START_HOLD not in self._shared.without
        hold = START_WAIT_SECONDS if is_held else 0.0
        timer = self._shared.reactor.callLater(hold, give_up)
        self._waiting[resume] = give_up
        return stop

    def _forward(
        self,
        request: server_connection.Request,
        answer: Callable[[server_connection.Answer], None],
        table: routes.RouteTable,
        accessed: access.AccessDecision,
        attempt: bytes,
    ) -> Callable[[], None] | None:
        route, workspace = accessed.route, accessed.workspace
        budget = headers.read_budget(request.header(headers.BUDGET))
        allowed = min(route.timeout, budget if budget is not None else route.timeout)
        deadline = deadlines.for_answer(request.arrived, allowed)
        has_keys = table.workspaces.requires_keys
        content = _content_fingerprint(request, accessed, has_keys)
        finish = functools.partial(self._finish, request, answer, table, accessed, attempt, content)
        judgement = self._shared.suspects.judge(content)
        refused = self._refuse_early(route, judgement, content, attempt, deadline)
        if refused is not None:
            finish(refused)
            return None
        call = target_calls.TargetCall(
            head=_request_head(request, accessed, attempt, has_keys),
            body=request.body,
            attempt=attempt,
            deadline=deadline,
            is_repeatable=route.is_repeatable,
            content=content,
            workspace=workspace.name if workspace is not None else "",
            has_quota=workspace is not None and workspace.quota is not None,
        )
        return_token: Callable[[], None] | None = None

        def on_end(found: outcome.Outcome) -> None:
            self._in_progress.discard(work)
            if return_token is not None and found.verdict.is_not_run:
                return_token()
            is_refused = found.verdict.reason is verdict.Reason.NO_REPLICA
            self._refused_share.record(1.0 if is_refused else 0.0)
            finish(found)

        is_trial = judgement is suspects.Judgement.TRIAL
        crash_guard = caution.CrashGuard(
            self._shared.suspects, content, fingerprints.name_attempt(attempt), is_trial
        )
        work = self._make_work(request, route, call, crash_guard, on_end)
        on_caller_left = functools.partial(self._cancel, work, request, attempt, accessed)

        def on_admission(admission: quota_keeper.Admission) -> None:
            nonlocal return_token
            self._awaiting_quota.pop(work, None)
            if admission.refusal is None:
                return_token = admission.return_token
                self._start(work, on_end)
                return
            finish(outcome.refuse(admission.refusal, retry_after=admission.retry_after))

        if workspace is None or workspace.quota is None:
            self._start(work, on_end)
            return on_caller_left
        withdraw = self._shared.quotas.admit(workspace, on_admission, deadline)
        if withdraw is None:
            return on_caller_left if work in self._in_progress else None
        return self._await_quota(work, withdraw, on_admission, on_caller_left)

    def _refuse_early(
        self,
        route: routes.Route,
        judgement: suspects.Judgement,
        content: str,
        attempt: bytes,
        deadline: float,
    ) -> outcome.Outcome | None:
        """Refuse a request that must not be sent to targets, or that can't finish in time.

        Returns:
            The refusal; None if the request may proceed.
        """
        if judgement is suspects.Judgement.REFUSE:
            left = self._shared.suspects.note_refused(content, attempt.decode("latin-1"))
            found = verdict.not_run(verdict.Reason.CRASHES_TARGETS, "ends the targets that run it")
            return outcome.refuse(found, retry_after=left)
        if not self._has_time(route):
            found = verdict.not_run(verdict.Reason.LEAVING, "the process would end first")
            return outcome.refuse(found, retry_after=outcome.SHUTDOWN_RETRY_AFTER)
        if self._shared.reactor.seconds() >= deadline:
            found = verdict.not_run(verdict.Reason.DEADLINE, "its time was over when it was read")
            return outcome.refuse(found)
        return None

    def _make_work(
        self,
        request: server_connection.Request,
        route: routes.Route,
        call: target_calls.TargetCall,
        crash_guard: caution.CrashGuard,
        on_end: Callable[[outcome.Outcome], None],
    ) -> _Work:
        """Create the search, or the request to one target, according to the route."""
        if not route.is_search:
            service = self._round_robin.choose(route)
            return single.SingleRequest(
                self._shared, route, service, call, crash_guard, request.arrived, on_end
            )
        lag = answer_time.answer_lag(self._shared.lags)
        due = answer_time.answer_due(request.arrived, route.slo, request.network_delay, lag)
        return search.Search(self._shared, route, call, crash_guard, due, request.arrived, on_end)

    def _start(self, work: _Work, on_end: Callable[[outcome.Outcome], None]) -> None:
        """Start a request; one that fails to start is answered, and isn't in progress for ever."""
        self._in_progress.add(work)
        try:
            work.start()
        except Exception as error:
            self._failures.on_failure(error)
            found = verdict.may_have_run(verdict.Reason.FAILED, "it could not be started")
            on_end(outcome.Outcome(server_connection.Answer(500), found))

    def _await_quota(
        self,
        work: _Work,
        withdraw: Callable[[], None],
        on_admission: Callable[[quota_keeper.Admission], None],
        on_caller_left: Callable[[], None],
    ) -> Callable[[], None]:
        """Track a request that waits for quota.

        Returns:
            A function that cancels the request when its caller has closed the connection.
        """

        def give_up() -> None:
            withdraw()
            found = verdict.not_run(verdict.Reason.LEAVING, "its quota was still being asked for")
            on_admission(quota_keeper.Admission(found, outcome.SHUTDOWN_RETRY_AFTER))

        def stop() -> None:
            if self._awaiting_quota.pop(work, None) is not None:
                withdraw()
            on_caller_left()

        self._awaiting_quota[work] = give_up
        return stop

    def _has_time(self, route: routes.Route) -> bool:
        """Return whether a request that arrives now usually finishes before the process exits.

        Without this check a stopping process accepted requests until it exited, and closed the
        connections of those it could not finish, including non-idempotent ones that were running.
        """
        ends_at = self.ends_at()
        if math.isinf(ends_at):
            return True
        book = self._shared.book
        services = route.shards or tuple(part.service for part in route.split)
        is_known = any(book.service_time(service) for service in services)
        usual = max(route.slo, book.usual_answer(services)) if is_known else route.timeout
        return self._shared.reactor.seconds() + usual <= ends_at

    def _finish(
        self,
        request: server_connection.Request,
        answer: Callable[[server_connection.Answer], None],
        table: routes.RouteTable,
        accessed: access.AccessDecision,
        attempt: bytes,
        content: str,
        found: outcome.Outcome,
    ) -> None:
        """Answer a request that matched a route, and log its outcome."""
        self._log.on_end(
            request,
            attempt,
            accessed.route,
            table.version,
            found,
            self.view_age(),
            content,
            accessed.workspace,
        )
        answer(found.answer)

    def _cancel(
        self,
        work: _Work,
        request: server_connection.Request,
        attempt: bytes,
        accessed: access.AccessDecision,
    ) -> None:
        self._in_progress.discard(work)
        route, workspace = accessed.route, accessed.workspace
        if self.is_over():
            # The process closes the connection, so the log must not blame the caller.
            self._log.on_cut(request, attempt, route, work.current_verdict(), workspace)
        else:
            self._log.on_caller_gone(request, attempt, route, workspace)
        work.cancel()

    def _answer_at_once(
        self,
        request: server_connection.Request,
        answer: Callable[[server_connection.Answer], None],
        found: outcome.Outcome,
    ) -> None:
        attempt = headers.read_attempt(request.header(headers.ATTEMPT))
        self._log.on_end(request, attempt, None, 0, found, self.view_age())
        answer(found.answer)


def _status_only(status: int, reason: verdict.Reason) -> outcome.Outcome:
    return outcome.Outcome(server_connection.Answer(status), verdict.not_run(reason))


def _content_fingerprint(
    request: server_connection.Request, accessed: access.AccessDecision, has_keys: bool
) -> str:
    """Compute the fingerprint of a request's content.

    If requests carry keys, it includes the workspace instead of the caller, so that it stays the
    same when the workspace's keys change.
    """
    if has_keys:
        caller = accessed.workspace.name.encode() if accessed.workspace is not None else b""
    else:
        caller = headers.read_caller(request.fields)
    return fingerprints.fingerprint(
        request.method,
        request.header(b"host") or b"",
        request.target,
        caller,
        request.body,
    )


def _request_head(
    request: server_connection.Request,
    accessed: access.AccessDecision,
    attempt: bytes,
    has_keys: bool,
) -> bytes:
    """Encode the part of a request's head that is the same for all targets.

    The identity of the attempt is always in it, even if the caller declares it as hop-by-hop:
    without it, no answer could be attributed to the request. If requests carry keys, these are not
    forwarded, and a workspace header sent by the caller is dropped.
    """
    dropped = _DROPPED_WITH_KEYS if has_keys else _DROPPED
    lines = [request.method + b" " + request.target + b" HTTP/1.1"]
    lines.append(headers.ATTEMPT + b": " + attempt)
    for name, value in http_fields.end_to_end(request.fields):
        if name not in dropped:
            lines.append(name + b": " + value)
    if accessed.workspace is not None:
        lines.append(headers.WORKSPACE + b": " + accessed.workspace.name.encode())
    if request.body or request.method in _BODY_METHODS:
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n"
