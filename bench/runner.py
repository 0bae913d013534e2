"""Runs a scenario under each policy and makes its report."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from bench import books as records
from bench import cluster as clusters
from bench import faults
from lineworks.decisions import hedging, replicas
from lineworks.engine import front_state, requests, sub_query

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench import scenario


BOOT_SECONDS = 0.1
"""Seconds before the first arrival, in which instances tell each other what they can serve."""


@dataclasses.dataclass(frozen=True, slots=True)
class PolicyUnderTest:
    """A way to run the machinery."""

    front: front_state.Tuning
    """Choices of the fronts."""

    gatherer: sub_query.Tuning
    """Choices of the gatherers."""

    is_ideal: bool = False
    """Whether stragglers and faults are left out."""


def _unbounded(choose: replicas.ChooseReplica, hedge: hedging.HedgeRule) -> sub_query.Tuning:
    return sub_query.Tuning(choose, limits_concurrency=False, ejects_stalled=False, hedge=hedge)


POLICIES: dict[str, Callable[[], PolicyUnderTest]] = {
    "baseline_random": lambda: PolicyUnderTest(
        front_state.Tuning(hedge=hedging.never_hedge, uses_admission=False, routes_by_load=False),
        _unbounded(replicas.choose_random, hedging.never_hedge),
    ),
    "baseline_p95_hedge": lambda: PolicyUnderTest(
        front_state.Tuning(
            hedge=hedging.make_percentile_rule(0.95),
            uses_admission=False,
            routes_by_load=False,
            hedge_budget=1.0,
        ),
        _unbounded(replicas.choose_own_in_flight, hedging.make_percentile_rule(0.95)),
    ),
    "lineworks": lambda: PolicyUnderTest(front_state.Tuning(), sub_query.Tuning()),
    "oracle": lambda: PolicyUnderTest(
        front_state.Tuning(hedge=hedging.never_hedge),
        sub_query.Tuning(hedge=hedging.never_hedge),
        is_ideal=True,
    ),
}
"""The policies that every scenario is run under, by name."""


class Run:
    """One scenario under one policy."""

    def __init__(
        self,
        plan: scenario.Scenario,
        seed: int,
        policy: PolicyUnderTest,
        on_trace: Callable[[str, str, str, str], None] | None = None,
    ) -> None:
        """Build the cluster and schedule the arrivals.

        Args:
            plan: The scenario.
            seed: Seed of everything random.
            policy: The policy.
            on_trace: Takes the steps of queries.
        """
        self._plan = plan
        self._cluster = clusters.Cluster(
            plan, seed, policy.front, policy.gatherer, not policy.is_ideal, on_trace
        )
        self._books = records.Books()
        self._rng = self._cluster.rng("arrivals")
        self._entries = list(self._cluster.instances.values())
        if not policy.is_ideal:
            faults.schedule(self._cluster, plan.faults)
        self._cluster.clock.callLater(BOOT_SECONDS, self._arrive, 0)

    @property
    def cluster(self) -> clusters.Cluster:
        """The cluster."""
        return self._cluster

    @property
    def books(self) -> records.Books:
        """The callers' books."""
        return self._books

    def finish(self) -> dict[str, Any]:
        """Run to the end.

        Returns:
            The figures.
        """
        plan = self._plan
        self._cluster.clock.run_until(plan.seconds + plan.deadline_ms / 1000 + 1.0)
        figures = self._books.figures(self._cluster.gates, plan.seconds - plan.warm_up)
        counters = [entry.front.counters for entry in self._entries]
        figures["hedges"] = sum(item.hedges for item in counters) + sum(
            entry.gatherer.counters.hedges for entry in self._entries
        )
        figures["late_replies"] = sum(item.late_replies for item in counters)
        figures["restarts"] = sum(item.restarts for item in counters)
        return figures

    def _rate(self, now: float) -> float:
        """Compute searches a second from the load and the bursts."""
        plan = self._plan
        options = plan.deployment
        times = plan.times
        plain = times.median_ms / 1000 * 2.718281828459045 ** (times.sigma**2 / 2)
        mean = plain * (1 + times.straggler_share * (times.straggler_factor - 1))
        rate = plan.load * options.replicas * options.slots / mean
        for burst in plan.bursts:
            if burst.at <= now < burst.at + burst.seconds:
                rate *= burst.factor
        return rate

    def _arrive(self, number: int) -> None:
        now = self._cluster.clock.seconds()
        if now >= self._plan.seconds:
            return
        is_run = self._rng.random() < self._plan.run_share
        self._send(number, is_run, now)
        gap = self._rng.expovariate(self._rate(now))
        self._cluster.clock.callLater(gap, self._arrive, number + 1)

    def _send(self, number: int, is_run: bool, now: float) -> None:
        plan = self._plan
        names = list(plan.classes)
        shares = [plan.classes[name].share for name in names]
        caller_class = self._rng.choices(names, shares)[0]
        live = [e for e in self._entries if e.name not in self._cluster.links.dead]
        entry_point = live[int(self._rng.random() * len(live))]
        deadline = now + plan.deadline_ms / 1000
        cause = f"{'r' if is_run else 's'}{number}"
        entry = records.Entry(cause, caller_class, now, deadline, is_run, now >= plan.warm_up)
        self._books.entries.append(entry)
        client = plan.deployment.client_ms / 1000
        self._cluster.clock.callLater(client, self._submit, entry, entry_point)

    def _submit(self, entry: records.Entry, instance: clusters.Instance) -> None:
        client = self._plan.deployment.client_ms / 1000
        body = f"{entry.cause}|query".encode()
        # The front's own deadline leaves the time that its answer needs to the caller.
        deadline = entry.deadline - client

        def on_answer(answer: requests.Answer) -> None:
            if instance.name in self._cluster.links.dead:
                return
            self._cluster.clock.callLater(client, self._receive, entry, answer)

        if entry.is_run:
            names = list(self._cluster.config.services)
            service = names[int(self._rng.random() * len(names))]
            run = requests.RunRequest(service, service, body, entry.caller_class, deadline)
            instance.front.run(run, on_answer)
            return
        search = requests.SearchRequest({}, body, entry.caller_class, deadline)
        instance.front.search(search, on_answer)

    def _receive(self, entry: records.Entry, answer: requests.Answer) -> None:
        entry.answers += 1
        entry.received_at = self._cluster.clock.seconds()
        entry.answer = answer


def run_policy(plan: scenario.Scenario, seed: int, name: str) -> dict[str, Any]:
    """Run a scenario under one policy.

    Args:
        plan: The scenario.
        seed: Seed of everything random.
        name: Name of the policy.

    Returns:
        The figures.
    """
    return Run(plan, seed, POLICIES[name]()).finish()


def run_all(
    plan: scenario.Scenario, seed: int, names: tuple[str, ...] = tuple(POLICIES)
) -> dict[str, Any]:
    """Run a scenario under several policies.

    Args:
        plan: The scenario.
        seed: Seed of everything random.
        names: Names of the policies.

    Returns:
        The report.
    """
    figures = {name: run_policy(plan, seed, name) for name in names}
    report: dict[str, Any] = {"scenario": plan.name, "seed": seed, "policies": figures}
    if "oracle" in figures and figures["oracle"]["p99_ms"]:
        report["p99_over_oracle"] = {
            name: round(item["p99_ms"] / figures["oracle"]["p99_ms"], 3)
            for name, item in figures.items()
        }
    return report
