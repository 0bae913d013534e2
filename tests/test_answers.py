"""Guarantees about answers, checked on the real query path with a virtual clock."""

from __future__ import annotations

import dataclasses

import pytest_bdd
from pytest_bdd import given, parsers, then, when

from bench import cluster as clusters
from bench import faults, scenario
from lineworks.decisions import catalog, verdict
from tests import builders

pytest_bdd.scenarios("features/answers.feature")


def _schedule(run, **fields) -> None:
    fault = scenario.Fault.model_validate(fields)
    faults.schedule(run.cluster, [fault])


@given("a small cluster under searches", target_fixture="run")
def small_cluster():
    return builders.run_plan(builders.plan(run_share=0.1))


@given("a small cluster that answers in part", target_fixture="run")
def partial_cluster():
    policy = {"allows_partial": True, "min_coverage": 0.1}
    plan = builders.plan(policy=policy, seconds=10.0)
    return builders.run_plan(plan)


@given("a small cluster with one instance in each hall", target_fixture="run")
def one_instance_per_hall():
    halls = [{"name": "h1", "instances": 1}, {"name": "h2", "instances": 1}]
    plan = builders.plan(run_share=0.8, load=2.0, deployment={"halls": halls})
    return builders.run_plan(plan)


@given("a small cluster under unrepeatable requests", target_fixture="run")
def unrepeatable_cluster():
    return builders.run_plan(builders.plan(run_share=0.8, load=2.0))


@given("each target is lost for a moment, one after another")
def lose_each_target(run):
    for number, name in enumerate(sorted(run.cluster.gates)):
        _schedule(run, at=0.5 + 0.4 * number, kind="lose_target", target=name, seconds=0.3)


@given(parsers.parse("the index is re-versioned after {at:d} seconds"))
def reversion(run, at):
    _schedule(run, at=float(at), kind="reversion")


@given(parsers.parse("the index is repartitioned after {at:d} seconds"))
def repartition(run, at):
    _schedule(run, at=float(at), kind="repartition")


@given(parsers.parse("every target claims a snapshot that it lacks after {at:d} seconds"))
def false_snapshot_reports(run, at):
    for gate in run.cluster.gates.values():
        run.cluster.clock.callLater(at, setattr, gate.model, "report_override", clusters.lie)


@given("every reply is delivered again, once late and once under another number")
def stray_replies(run):
    clock = run.cluster.clock
    for instance in run.cluster.instances.values():
        on_reply = instance.front.on_reply

        def deliver_repeatedly(sender, reply, on_reply=on_reply):
            on_reply(sender, reply)
            on_reply(sender, reply)
            clock.callLater(0.2, on_reply, sender, reply)
            # The frame of another query, sent to the same gatherer, receives this reply's body.
            other = dataclasses.replace(reply, frame=reply.frame + 1_000_000)
            on_reply(sender, other)
            on_reply("nobody", dataclasses.replace(reply, frame=reply.frame + 1))

        instance.front.on_reply = deliver_repeatedly


@given(parsers.parse("the hall {hall} is cut off after {at:d} seconds for {seconds:d} seconds"))
def cut_off_hall(run, hall, at, seconds):
    _schedule(run, at=float(at), kind="cut_hall", hall=hall, seconds=float(seconds))


@given(parsers.parse("the instance {name} is killed after {at:d} seconds"), target_fixture="dead")
def kill(run, name, at):
    run.cluster.clock.callLater(at, run.cluster.kill_instance, name)
    return name


@given(parsers.parse("a target leaves after {at:d} seconds"), target_fixture="leaving")
def leave(run, at):
    name = sorted(run.cluster.gates)[0]
    _schedule(run, at=float(at), kind="leave", target=name)
    return name


@when("the searches have ended", target_fixture="figures")
def finish(run):
    figures = run.finish()
    assert figures["sent"] > 50
    return figures


@then("no promise was broken")
def no_violations(figures):
    assert builders.violations(figures) == {}


@then("no promise was broken, but for callers of the killed instance")
def no_violations_elsewhere(figures, run, dead):
    lost = [entry for entry in run.books.entries if entry.answers != 1]
    assert all(not entry.answers for entry in lost)
    # Only requests in progress at the killed instance may remain unanswered.
    assert all(1.0 < entry.sent_at <= 2.0 for entry in lost)
    assert {name for name in builders.violations(figures) if name != "lost"} == set()


@then(parsers.parse("answers were given from {count:d} snapshots"))
def snapshots_seen(run, count):
    assert len({entry.answer.snapshot for entry in _answered(run)}) == count


@then(parsers.parse("answers cover {few:d} shards or {many:d} shards"))
def layouts_seen(run, few, many):
    sizes = {len(entry.answer.coverage.covered) for entry in _answered(run)}
    assert sizes == {few, many}


@then(parsers.parse("at least {percent:d} in 100 searches were answered"))
def answered_share(figures, percent):
    assert figures["answered"] >= figures["sent"] * percent / 100


@then(parsers.parse("at least {percent:d} in 100 searches of the others were answered"))
def answered_by_others(run, percent):
    entries = [entry for entry in run.books.entries if not entry.is_run and entry.answers]
    assert len(_answered(run)) >= len(entries) * percent / 100


@then("the stray replies were dropped and counted")
def stray_replies_counted(run):
    counted = sum(
        instance.front.counters.late_replies for instance in run.cluster.instances.values()
    )
    replies = sum(len(entry.answer.coverage.covered) for entry in _answered(run))
    assert counted >= 3 * replies


@then("every lacking shard has a reason")
def reasons_given(run):
    partial = [entry for entry in _answered(run) if entry.answer.coverage.lacking]
    assert partial
    for entry in partial:
        found = entry.answer.coverage
        assert len(found.covered) + len(found.lacking) == 6
        assert all(item.reason.value for item in found.lacking.values())


@then("both sides of the cut answered searches")
def both_sides(run):
    late = [entry for entry in _answered(run) if 4.0 < entry.sent_at < 9.0]
    sides = {entry.answer.query.rpartition("-")[0].split("-")[0] for entry in late}
    assert sides == {"h1", "h2"}


@then(parsers.parse("the leaving target refused fewer than {count:d} requests"))
def few_refused(run, leaving, count):
    assert run.cluster.gates[leaving].model.books.refused < count


@then("every unrepeatable request in its hands may have run")
def unrepeatable_outcome_unknown(run):
    runs = [entry for entry in run.books.entries if entry.is_run and entry.answer is not None]
    failed = [entry.answer.verdict for entry in runs if not entry.answer.verdict.is_ok]
    assert failed
    assert {found.certainty for found in failed} == {verdict.Certainty.MAY_HAVE_RUN}
    assert {found.reason for found in failed} == {verdict.Reason.LINK_LOST}


@then("some unrepeatable requests may have run and none ran twice")
def none_ran_twice(run, figures):
    verdicts = [entry.answer.verdict for entry in run.books.entries if entry.is_run]
    assert any(found.certainty is verdict.Certainty.MAY_HAVE_RUN for found in verdicts)
    assert figures["doubled"] == 0


def _answered(run):
    return [
        entry
        for entry in run.books.entries
        if not entry.is_run and entry.answer is not None and entry.answer.verdict.is_ok
    ]


def test_the_same_seed_gives_the_same_results():
    plan = builders.plan(seconds=3.0, faults=[{"at": 1.0, "kind": "reversion"}])
    first = builders.run_plan(plan, seed=5).finish()
    second = builders.run_plan(plan, seed=5).finish()
    assert first == second
    assert first != builders.run_plan(plan, seed=6).finish()


def test_a_snapshot_is_parsed():
    assert catalog.parse_snapshot("7@base") == catalog.Snapshot(7, "base")
