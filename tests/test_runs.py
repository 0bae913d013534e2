"""Unrepeatable requests at instances that relay to each other, with the platform's faults."""

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
    """Notes each request and answers it after a while."""

    def __init__(self, clock):
        self.clock = clock
        self.bodies: list[bytes] = []
        self.delay = 0.05
        self.verdict = verdict.OK

    def run(self, request, on_answer):
        assert not request.is_repeatable
        self.bodies.append(request.body)
        reached = coverage.Coverage(("s",), {})
        answer = requests.Answer("q", self.verdict, None, 1, reached, {"s": request.body})
        self.clock.callLater(self.delay, on_answer, answer)
        return lambda: None


class _World:
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
            self.runs[name] = runs.Runs(
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
        found = []
        defer.ensureDeferred(self.runs[name].run(body, key)).addBoth(found.append)
        return found

    def ticket(self, name):
        return self.runs[name].issue(caller_http.TicketsBody())[0]

    @property
    def started(self):
        return sum(len(front.bodies) for front in self.fronts.values())


@pytest.fixture
def world():
    return _World()


def certainty(found):
    return found[0].document["verdict"]["certainty"]


def reason(found):
    return found[0].document["verdict"]["reason"]


@pytest.mark.parametrize("how", ["key", "ticket"])
def test_asking_again_elsewhere_gets_the_first_outcome(world, how):
    again = {"key": "k"} if how == "key" else {"ticket": world.ticket("h1-0")}
    first = world.ask("h1-0", **again)
    world.wait(0.5)
    second = world.ask("h2-0", **again)
    world.wait(0.5)
    assert certainty(first) == certainty(second) == "RAN"
    assert first[0].document["replies"] == second[0].document["replies"]
    assert world.started == 1


@pytest.mark.parametrize("how", ["key", "ticket"])
def test_asking_again_while_it_runs_waits_for_the_one_outcome(world, how):
    again = {"key": "k"} if how == "key" else {"ticket": world.ticket("h1-0")}
    for front in world.fronts.values():
        front.delay = 0.3
    found = [world.ask(name, **again) for name in ("h1-0", "h1-1", "h2-0", "h1-0")]
    world.wait(2.0)
    assert [certainty(item) for item in found] == ["RAN"] * 4
    assert world.started == 1


def test_the_outcome_comes_too_late_for_the_second_caller(world):
    ticket = world.ticket("h1-0")
    world.fronts["h1-0"].delay = 5.0
    world.ask("h1-0", ticket=ticket, deadline_ms=8000)
    second = world.ask("h2-0", ticket=ticket, deadline_ms=200)
    world.wait(0.3)
    assert certainty(second) == "MAY_HAVE_RUN"
    assert reason(second) == "deadline"
    assert world.started == 1


def test_a_key_serves_one_request_only(world):
    world.ask("h1-0", "one", key="k")
    world.wait(0.5)
    other = world.ask("h2-0", "other", key="k")
    world.wait(0.5)
    assert certainty(other) == "NOT_RUN"
    assert reason(other) == "key_taken"
    assert world.started == 1


def test_the_platform_is_down(world):
    """Keys are refused as not run, which is true; tickets go on."""
    world.control.platform.faults.is_down = True
    keyed = world.ask("h1-0", key="k")
    with_ticket = world.ask("h2-0", ticket=world.ticket("h1-0"))
    world.wait(1.5)
    assert certainty(keyed) == "NOT_RUN"
    assert reason(keyed) == "platform_down"
    assert certainty(with_ticket) == "RAN"
    assert world.started == 1


def test_the_issuer_has_gone(world):
    """Its hall is cut off: whether an earlier try ran there is not known."""
    ticket = world.ticket("h2-0")
    world.control.cut_from_peers("h2")
    world.wait(6.0)
    found = world.ask("h1-0", ticket=ticket)
    world.wait(1.5)
    assert certainty(found) == "MAY_HAVE_RUN"
    assert reason(found) == "issuer_gone"
    assert world.started == 0


def test_an_issuer_that_restarted_does_not_run_older_tickets(world):
    ticket = world.ticket("h1-0").replace("h1-0-1", "h1-0-0")
    found = world.ask("h1-0", ticket=ticket)
    assert certainty(found) == "MAY_HAVE_RUN"
    assert world.started == 0


def test_a_leaving_issuer_makes_unused_tickets_worthless(world):
    ticket = world.ticket("h1-0")
    world.runs["h1-0"].void_unused()
    found = world.ask("h2-0", ticket=ticket)
    world.wait(0.5)
    assert certainty(found) == "NOT_RUN"
    assert world.started == 0


def test_claims_are_lost_and_found_but_never_run_twice(world):
    world.control.platform.faults.lost_reply_share = 0.3
    world.control.platform.faults.lost_request_share = 0.3
    rng = random.Random(4)
    found = {}
    for number in range(60):
        key = f"k-{number % 20}"
        name = rng.choice(list(world.runs))
        found.setdefault(key, []).append(world.ask(name, key, key=key, deadline_ms=2000))
        world.wait(rng.random() * 0.02)
    world.wait(4.0)
    bodies = [body for front in world.fronts.values() for body in front.bodies]
    assert len(bodies) == len(set(bodies))
    for key, results in found.items():
        verdicts = {certainty(item) for item in results}
        if "RAN" in verdicts:
            assert key.encode() in bodies
        if verdicts == {"NOT_RUN"}:
            assert key.encode() not in bodies


def test_a_ticket_and_a_key_together_are_refused(world):
    found = world.ask("h1-0", key="k", ticket=world.ticket("h1-0"))
    assert found[0].status == 400
    assert world.started == 0


def test_other_texts_for_tickets_are_refused(world):
    found = world.ask("h1-0", ticket="nonsense")
    assert found[0].status == 400
    assert world.started == 0
