"""Forwards a request to one target of a service, with retries and hedges.

The target's response is returned byte for byte. A request that may run only once is sent again only
if the target's answer, or a failure to connect, proves that it has not run.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING, Any

from lineworks.decisions import fair_shares, mechanisms, verdict
from lineworks.forwarding import answers, attempts, extra_keeper, outcome, target_calls
from lineworks.http1 import fields as http_fields
from lineworks.http1 import server_connection
from lineworks.platform import headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import routes
    from lineworks.forwarding import caution, front_services, target_state
    from lineworks.http1 import client_connection

SLOT_POLL_SECONDS = 0.02
"""Seconds between checks for a target with a free slot."""

SLOT_WAIT_SHARE = 0.2
"""Share of the latency objective for which a request waits for a target with a free slot before it
is refused. A refusal within a quarter of the objective leaves the caller time to try again."""

MAX_ATTEMPTS = 6
"""Maximum number of attempts at one request, including those that targets refused."""


class SingleRequest:
    """One request to one target, from its arrival to its outcome."""

    def __init__(
        self,
        shared: front_services.FrontServices,
        route: routes.Route,
        service: str,
        call: target_calls.TargetCall,
        crash_guard: caution.CrashGuard,
        arrived: float,
        on_end: Callable[[outcome.Outcome], None],
    ) -> None:
        """Create a request without sending anything.

        Args:
            shared: State shared by all requests of the front.
            route: The route.
            service: Service that the request is for.
            call: The request as it is sent to every target.
            crash_guard: Limits retries and hedges while the request may be crashing its targets.
            arrived: Time at which the first byte of the request was read, in seconds.
            on_end: Called once with the outcome, unless the request is cancelled.
        """
        self._shared = shared
        self._route = route
        self._service = service
        self._call = call
        self._crash_guard = crash_guard
        self._arrived = arrived
        self._on_end: Callable[[outcome.Outcome], None] | None = on_end
        self._attempts: list[attempts.Attempt] = []
        self._running: list[attempts.Attempt] = []
        self._tried: set[str] = set()
        self._extra_requests = 0
        self._timers: list[Any] = []
        self._verdicts: list[verdict.Verdict] = []
        self._failures: list[str] = []
        self._failure: client_connection.Response | None = None
        self._target = ""
        self._waiting_request = fair_shares.WaitingRequest(
            call.workspace,
            route.priority,
            arrived,
            fair_shares.latest_start(arrived + route.slo, shared.book.service_time(service)),
            call.has_quota,
        )
        self._leave_queue: Callable[[], None] = lambda: None

    def start(self) -> None:
        """Send the first attempt, or queue the request behind those that go first."""
        shared = self._shared
        now = shared.reactor.seconds()
        shared.extra.note_request(self._service, now)
        self._set_timer(self._call.deadline - now, self._on_deadline)
        if shared.queue.has_waiter_ahead(self._waiting_request, (self._service,)):
            self._wait_for_slot()
        else:
            self._send_or_wait()
        is_hedged = mechanisms.Mechanism.READ_HEDGES not in shared.without
        if is_hedged and self._route.is_repeatable:
            delay = shared.hedges.delay(self._route.name, False, self._route.slo)
            self._set_timer(delay, self._on_hedge)

    def current_verdict(self) -> verdict.Verdict:
        """Return the verdict on the request so far, for a shutdown of this process."""
        count = len(self._attempts)
        detail = f"{count} attempts, {len(self._running)} of them not answered"
        return verdict.Verdict(attempts.certainty(self._attempts), verdict.Reason.LEAVING, detail)

    def end(self) -> None:
        """End the request because the process is shutting down."""
        if self._on_end is None:
            return
        if self._failure is not None and not self._running:
            self._return_response(self._failure, self._verdicts[-1])
            return
        self._give_up_running()
        found = outcome.refuse(
            self.current_verdict(), len(self._attempts), outcome.SHUTDOWN_RETRY_AFTER
        )
        self._end(found)

    def cancel(self) -> None:
        """Cancel the request because its caller has disconnected.

        A request that may run only once continues on its target, so that it completes there.
        """
        self._on_end = None
        self._crash_guard.finish()
        self._stop(cancels_attempts=self._call.is_repeatable)

    def _set_timer(self, delay: float, call: Callable[[], None]) -> None:
        self._timers.append(self._shared.reactor.callLater(max(0.0, delay), call))

    def _send_or_wait(self) -> None:
        """Send an attempt to the best target; without one, wait for a free slot or refuse."""
        if self._on_end is None or self._running:
            return
        now = self._shared.reactor.seconds()
        state = self._choose(now)
        if state is None and self._tried:
            self._tried.clear()
            state = self._choose(now)
        if state is not None:
            self._send(state, now, is_hedge=False)
        elif self._may_wait(now):
            self._wait_for_slot()
        else:
            self._refuse_without_slot(now)

    def _refuse_without_slot(self, now: float) -> None:
        shared = self._shared
        if not self._attempts:
            shared.queue.note_refused(self._call.workspace)
        detail = f"no target has room: {shared.book.describe(self._service, now)}"
        found = outcome.no_target(self._route, detail)
        pause = shared.queue.retry_after(outcome.RETRY_AFTER)
        self._finish_without_response(found.reason, found.detail, pause)

    def _wait_for_slot(self) -> None:
        """Schedule another attempt to send, in queue order if workspaces share the slots."""
        queue = self._shared.queue
        if queue.is_fair:
            self._leave_queue = queue.wait(
                self._waiting_request, (self._service,), self._send_or_wait
            )
        else:
            self._set_timer(SLOT_POLL_SECONDS, self._send_or_wait)

    def _may_wait(self, now: float) -> bool:
        if mechanisms.Mechanism.ROOM_WAIT in self._shared.without:
            return False
        if self._shared.queue.is_too_late(self._waiting_request, now):
            return False
        if not self._has_target():
            return False
        last = self._arrived + SLOT_WAIT_SHARE * self._route.slo - SLOT_POLL_SECONDS
        return now < min(last, self._call.deadline)

    def _send(self, state: target_state.TargetState, now: float, is_hedge: bool) -> None:
        if not self._attempts:
            self._shared.queue.note_served(self._call.workspace)
        attempt = attempts.Attempt(state, now, is_hedge)
        self._attempts.append(attempt)
        self._running.append(attempt)
        self._tried.add(state.id)
        self._target = state.id
        on_end = functools.partial(self._on_call_end, attempt)
        attempt.cancel = self._shared.calls.send(state, self._call, on_end)

    def _on_call_end(self, attempt: attempts.Attempt, end: target_calls.CallEnd) -> None:
        self._running.remove(attempt)
        attempt.end = end.verdict
        self._crash_guard.note_end(attempt.state.id, end.lost_before_answer, end.verdict)
        if self._on_end is None:
            return
        if end.verdict.is_ok and end.response is not None:
            self._record(attempt)
            self._target = attempt.state.id
            self._return_response(end.response, end.verdict)
            return
        self._verdicts.append(end.verdict)
        self._failures.append(_describe_failure(attempt, end))
        if end.response is not None and not end.verdict.is_not_run:
            self._failure = end.response
        if not self._running:
            self._retry_or_finish(end.verdict)

    def _record(self, attempt: attempts.Attempt) -> None:
        is_remote = attempt.state.hall != self._shared.hall
        self._shared.record_answer(self._route.name, is_remote, attempt.started, attempt.is_hedge)

    def _retry_or_finish(self, last: verdict.Verdict) -> None:
        """Retry after all attempts failed, or return the failure to the caller."""
        if self._may_retry(last) and self._spend_on_retry(last):
            self._shared.counters.retries += 1
            self._send_or_wait()
        elif self._may_retry(last) and self._may_request_extra():
            self._request_extra(functools.partial(self._on_retry_granted, last))
        elif self._failure is not None:
            self._return_response(self._failure, last)
        else:
            self._finish_without_response(last.reason, last.detail)

    def _may_retry(self, last: verdict.Verdict) -> bool:
        shared = self._shared
        now = shared.reactor.seconds()
        if not last.is_not_run and not self._call.is_repeatable:
            return False
        if self._crash_guard.has_reached_loss_limit:
            # The request itself may be what crashes its targets.
            return False
        if not attempts.has_target_left(self._attempts, self._route.max_attempts):
            # Only targets that have just failed are left: the caller gets the failure at once
            # rather than after a retry on them.
            return False
        if len(self._attempts) >= MAX_ATTEMPTS or now + SLOT_POLL_SECONDS >= self._call.deadline:
            return False
        return self._has_target()

    def _has_target(self) -> bool:
        return self._shared.book.has_target(self._service, self._route.homes)

    def _choose(self, now: float) -> target_state.TargetState | None:
        book = self._shared.book
        return attempts.choose_target(
            book, self._route, self._service, now, self._attempts, self._tried
        )

    def _spend_on_retry(self, last: verdict.Verdict) -> bool:
        """Spend retry budget on another attempt.

        An attempt that replaces one that never reached a target is free.
        """
        shared = self._shared
        is_free = mechanisms.Mechanism.FREE_RETRIES not in shared.without
        if is_free and not answers.reached_target(last):
            return True
        now = shared.reactor.seconds()
        return shared.try_spend(self._service, now, workspace=self._call.workspace)

    def _may_request_extra(self) -> bool:
        return self._extra_requests < extra_keeper.MAX_ASKS

    def _request_extra(self, on_reply: Callable[[], None]) -> None:
        self._extra_requests += 1
        self._shared.ask_for_retry(self._service, self._call.workspace, on_reply)

    def _on_retry_granted(self, last: verdict.Verdict) -> None:
        """Retry or finish after the request for an extra attempt was answered."""
        if self._on_end is not None and not self._running:
            self._retry_or_finish(last)

    def _on_hedge(self) -> None:
        """Send a hedge to a second target while the first one is slow."""
        if self._on_end is None or len(self._running) != 1:
            return
        if self._crash_guard.is_trial or self._crash_guard.blocks_retries:
            return
        shared = self._shared
        now = shared.reactor.seconds()
        state = self._choose(now)
        if state is None:
            return
        if not shared.try_spend(self._service, now, workspace=self._call.workspace):
            if self._may_request_extra():
                self._request_extra(self._on_hedge)
            return
        shared.counters.hedges += 1
        shared.log_hedges(self._call, now - self._arrived, [(self._running[0].state, state)])
        self._send(state, now, is_hedge=True)

    def _on_deadline(self) -> None:
        if self._on_end is None:
            return
        if self._attempts:
            self._give_up_running()
            certainty = attempts.certainty(self._attempts)
            found = verdict.Verdict(certainty, verdict.Reason.DEADLINE, "no answer in time")
            self._end(outcome.refuse(found, len(self._attempts)))
        else:
            self._finish_without_response(verdict.Reason.OVERLOADED, "no target had room in time")

    def _return_response(
        self, response: client_connection.Response, found: verdict.Verdict
    ) -> None:
        """Return a target's response to the caller unchanged."""
        is_false_promise = headers.implies_not_run(response.status) and not found.is_not_run
        if is_false_promise and not self._call.is_repeatable:
            self._finish_without_response(
                found.reason, f"the target ran it and answered {response.status}"
            )
            return
        if 200 <= response.status < 300 and not found.is_ok:
            self._finish_without_response(
                found.reason, "a success without signature or with another body"
            )
            return
        passed = http_fields.end_to_end(response.fields)
        answer = server_connection.Answer(response.status, passed, response.body)
        self._end(outcome.Outcome(answer, found, len(self._attempts), target=self._target))

    def _finish_without_response(
        self, reason: verdict.Reason, detail: str, retry_after: float | None = None
    ) -> None:
        certainty = verdict.combine(self._verdicts)
        found = verdict.Verdict(certainty, reason, detail)
        self._end(outcome.refuse(found, len(self._attempts), retry_after))

    def _end(self, found: outcome.Outcome) -> None:
        on_end = self._on_end
        self._on_end = None
        self._crash_guard.finish()
        self._stop(cancels_attempts=True)
        if on_end is not None:
            described = dataclasses.replace(
                found,
                target=self._target,
                failures=tuple(self._failures),
                over_limit=self._over_limit(),
                broken=self._crash_guard.broken,
                is_answered=self._crash_guard.is_answered,
            )
            on_end(described)

    def _over_limit(self) -> tuple[str, ...]:
        """Describe the attempts if more targets may have run them than the route allows."""
        if not attempts.exceeds_target_limit(self._attempts, self._route.max_attempts):
            return ()
        return (attempts.describe(self._service, self._attempts),)

    def _stop(self, cancels_attempts: bool) -> None:
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
        self._leave_queue()
        if cancels_attempts:
            self._give_up_running()

    def _give_up_running(self) -> None:
        """Cancel the attempts in progress, and record which of them were never sent."""
        for attempt in self._running:
            attempts.give_up(attempt)
        self._running.clear()


def _describe_failure(attempt: attempts.Attempt, end: target_calls.CallEnd) -> str:
    """Describe a failed attempt for the logs: two on one connection may have shared an answer."""
    text = f"{attempt.state.id} {end.verdict.reason.value}: {end.verdict.detail}"
    return f"{text} (connection {end.connection})" if end.connection else text
