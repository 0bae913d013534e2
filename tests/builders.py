"""Builders for test data, shared by the tests."""

from __future__ import annotations

from bench import check, runner, scenario
from bench import cluster as clusters
from lineworks.decisions import catalog


def target(name: str, service: str = "s", hall: str = "h", **more) -> catalog.Target:
    values = {"host": "127.0.0.1", "port": 1, "slots": 2, "connections": 25, **more}
    return catalog.Target(name, service, hall, **values)


def service(name: str, halls: tuple[str, ...] = ("h", "h"), **labels: str) -> catalog.Service:
    targets = tuple(target(f"{name}-{number}", name, hall) for number, hall in enumerate(halls))
    return catalog.Service(name, labels or {"app": "a"}, {"base": (name,)}, targets)


def group(*names: str) -> catalog.Group:
    return catalog.Group("app=a", tuple(service(name) for name in names))


def plan(**more) -> scenario.Scenario:
    """Create a small scenario with two halls, three instances and six services."""
    document = {
        "name": "test",
        "deployment": {
            "halls": [{"name": "h1", "instances": 2}, {"name": "h2", "instances": 1}],
            "services": 6,
            **more.pop("deployment", {}),
        },
        "load": 0.2,
        "seconds": 6.0,
        "warm_up": 0.0,
        **more,
    }
    return scenario.Scenario.model_validate(document, strict=False)


def run_plan(document: scenario.Scenario, seed: int = 1, policy: str = "lineworks") -> runner.Run:
    return runner.Run(document, seed, runner.POLICIES[policy]())


def violations(figures: dict) -> dict[str, int]:
    return {name: figures[name] for name in check.ZERO_COUNTS if figures[name]}


__all__ = ["clusters", "group", "plan", "run_plan", "service", "target", "violations"]
