"""Unrepeatable requests run at most once across instances, also when the platform is faulty."""

from __future__ import annotations

import random
import types

import pytest
from twisted.internet import defer

from bench import control
from lineworks.decisions import coverage, verdict
from lineworks.engine import requests
from lineworks.models import caller_http
from lineworks.services import claim_writer, runs


class _Front:
    """Records each request and answers it after a delay."""

    def __init__(self, clock):
        self.clock = clock
        self.bodies: list[bytes] = []
        self.delay = 0.05
        self.verdict = verdict.OK

    def run(self, request, on_answer):
        assert not request.is_repeatable
        self.bodies.append(request.body)
        shard_coverage = coverage.Coverage(("s",), {})
        answer = requests.Answer("q", self.verdict, None, 1, shard_coverage, {"s": request.body})
        self.clock.callLater(self.delay, on_answer, answer)
        return lambda: None


class _Cluster:
    def __init__(self):
        self.control = control.Control({"h1": 2, "h2": 1}, seed=1)
        self.control.start()
        self.clock = self.control.clock
        self.fronts, self.runs = {}, {}
        for name, instance in self.control.instances.items():
            front = _Front(self.clock)
            view = types.SimpleNamespace(delay_to=lambda other: 0.001)
            core = types.SimpleNamespace(front=front, view=view)
            writer = claim_writer.ClaimWriter(
                self.clock, random.Random(name), instance.port, self.clock.seconds
            )
            self.fronts[name] = front
            self.runs[name] = runs.RequestRunner(
                self.clock,
                random.Random(name),
                name,
                f"{name}-1",
                core,
                instance.links,
                instance.keeper,
                writer,
            )
        self.wait(8.0)

    def wait(self, seconds):
        self.clock.run_until(self.clock.seconds() + seconds)

    def ask(self, name, text="part", key=None, ticket=None, deadline_ms=1000):
        body = caller_http.RunBody(
            service="s", body=text, ticket=ticket, deadline_ms=deadline_ms, unrepeatable=True
        )
        result = []
        defer.ensureDeferred(self.runs[name].run(body, key)).addBoth(result.append)
        return result

    def ticket(self, name):
        return self.runs[name].issue(caller_http.TicketsBody())[0]

    @property
    def started(self):
        return sum(len(front.bodies) for front in self.fronts.values())


@pytest.fixture
def cluster():
    return _Cluster()


def certainty(result):
    return result[0].document["verdict"]["certainty"]


def reason(result):
    return result[0].document["verdict"]["reason"]


@pytest.mark.parametrize("kind", ["key", "ticket"])
def test_retry_at_another_instance_returns_the_first_outcome(cluster, kind):
    token = {"key": "k"} if kind == "key" else {"ticket": cluster.ticket("h1-0")}
    first = cluster.ask("h1-0", **token)
    cluster.wait(0.5)
    second = cluster.ask("h2-0", **token)
    cluster.wait(0.5)
    assert certainty(first) == certainty(second) == "RAN"
    assert first[0].document["replies"] == second[0].document["replies"]
    assert cluster.started == 1


@pytest.mark.parametrize("kind", ["key", "ticket"])
def test_retries_of_a_running_request_wait_for_its_outcome(cluster, kind):
    token = {"key": "k"} if kind == "key" else {"ticket": cluster.ticket("h1-0")}
    for front in cluster.fronts.values():
        front.delay = 0.3
    results = [cluster.ask(name, **token) for name in ("h1-0", "h1-1", "h2-0", "h1-0")]
    cluster.wait(2.0)
    assert [certainty(item) for item in results] == ["RAN"] * 4
    assert cluster.started == 1


def test_retry_reports_may_have_run_when_its_deadline_passes_first(cluster):
    ticket = cluster.ticket("h1-0")
    cluster.fronts["h1-0"].delay = 5.0
    cluster.ask("h1-0", ticket=ticket, deadline_ms=8000)
    second = cluster.ask("h2-0", ticket=ticket, deadline_ms=200)
    cluster.wait(0.3)
    assert certainty(second) == "MAY_HAVE_RUN"
    assert reason(second) == "deadline"
    assert cluster.started == 1


def test_idempotency_key_is_refused_for_another_request(cluster):
    cluster.ask("h1-0", "one", key="k")
    cluster.wait(0.5)
    other = cluster.ask("h2-0", "other", key="k")
    cluster.wait(0.5)
    assert certainty(other) == "NOT_RUN"
    assert reason(other) == "key_taken"
    assert cluster.started == 1


def test_keys_are_refused_and_tickets_work_while_the_platform_is_down(cluster):
    """A key that can't be claimed is refused as not run; tickets need no platform."""
    cluster.control.platform.faults.is_down = True
    keyed = cluster.ask("h1-0", key="k")
    with_ticket = cluster.ask("h2-0", ticket=cluster.ticket("h1-0"))
    cluster.wait(1.5)
    assert certainty(keyed) == "NOT_RUN"
    assert reason(keyed) == "platform_down"
    assert certainty(with_ticket) == "RAN"
    assert cluster.started == 1


def test_ticket_of_an_unreachable_issuer_may_have_run(cluster):
    """The hall of the issuer is cut off, so an earlier attempt may have run there."""
    ticket = cluster.ticket("h2-0")
    cluster.control.cut_from_peers("h2")
    cluster.wait(6.0)
    result = cluster.ask("h1-0", ticket=ticket)
    cluster.wait(1.5)
    assert certainty(result) == "MAY_HAVE_RUN"
    assert reason(result) == "issuer_gone"
    assert cluster.started == 0


def test_restarted_issuer_does_not_run_tickets_of_its_earlier_incarnation(cluster):
    ticket = cluster.ticket("h1-0").replace("h1-0-1", "h1-0-0")
    result = cluster.ask("h1-0", ticket=ticket)
    assert certainty(result) == "MAY_HAVE_RUN"
    assert cluster.started == 0


def test_leaving_issuer_invalidates_unused_tickets(cluster):
    ticket = cluster.ticket("h1-0")
    cluster.runs["h1-0"].void_unused()
    result = cluster.ask("h2-0", ticket=ticket)
    cluster.wait(0.5)
    assert certainty(result) == "NOT_RUN"
    assert cluster.started == 0


def test_requests_run_at_most_once_when_claims_and_their_replies_are_lost(cluster):
    cluster.control.platform.faults.lost_reply_share = 0.3
    cluster.control.platform.faults.lost_request_share = 0.3
    rng = random.Random(4)
    results_by_key = {}
    for number in range(60):
        key = f"k-{number % 20}"
        name = rng.choice(list(cluster.runs))
        results_by_key.setdefault(key, []).append(cluster.ask(name, key, key=key, deadline_ms=2000))
        cluster.wait(rng.random() * 0.02)
    cluster.wait(4.0)
    bodies = [body for front in cluster.fronts.values() for body in front.bodies]
    assert len(bodies) == len(set(bodies))
    for key, results in results_by_key.items():
        verdicts = {certainty(item) for item in results}
        if "RAN" in verdicts:
            assert key.encode() in bodies
        if verdicts == {"NOT_RUN"}:
            assert key.encode() not in bodies


def test_ticket_together_with_a_key_is_refused(cluster):
    result = cluster.ask("h1-0", key="k", ticket=cluster.ticket("h1-0"))
    assert result[0].status == 400
    assert cluster.started == 0


def test_malformed_ticket_is_refused(cluster):
    result = cluster.ask("h1-0", ticket="nonsense")
    assert result[0].status == 400
    assert cluster.started == 0
