"""Any faults at any time: no promise is ever broken."""

from __future__ import annotations

import typing

import hypothesis
from hypothesis import strategies as st

from bench import scenario
from tests import builders

_KINDS = typing.get_args(scenario.FaultKind)

_fault = st.fixed_dictionaries(
    {
        "at": st.floats(0.2, 3.0),
        "kind": st.sampled_from(_KINDS),
        "seconds": st.floats(0.1, 2.0),
    }
)


@hypothesis.given(
    faults=st.lists(_fault, min_size=1, max_size=4),
    seed=st.integers(0, 1000),
    load=st.sampled_from([0.2, 0.6, 1.5]),
    placement=st.sampled_from(["paired", "spread"]),
    allows_partial=st.booleans(),
)
@hypothesis.settings(max_examples=30)
def test_no_promise_is_broken(faults, seed, load, placement, allows_partial):
    policy = {"allows_partial": allows_partial, "min_coverage": 0.3, "target_latency_ms": 300.0}
    plan = builders.plan(
        load=load,
        seconds=4.0,
        run_share=0.3,
        faults=faults,
        policy=policy,
        deadline_ms=600.0,
        deployment={"placement": placement, "services": 4},
    )
    run = builders.run_plan(plan, seed)
    figures = run.finish()
    found = builders.violations(figures)
    if run.cluster.links.dead:
        # Callers of a killed instance get no answer; nobody may get two.
        found.pop("lost", None)
        assert all(entry.answers <= 1 for entry in run.books.entries)
    assert found == {}
    assert figures["sent"] > 0
