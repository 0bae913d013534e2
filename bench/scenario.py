"""Scenario files: a deployment, a load, and faults on a time line."""

from __future__ import annotations

import pathlib
from typing import Literal

import pydantic

from lineworks.models import _base

FaultKind = Literal[
    "stall",
    "stall_in_turns",
    "lose_target",
    "lose_rack",
    "leave",
    "reversion",
    "repartition",
    "reports_lag",
    "reports_lie",
    "cut_hall",
    "kill_instance",
    "cold_start",
]
"""What can go wrong in a scenario."""


class ScenarioError(Exception):
    """A scenario file cannot be used; the message is one line that names the key."""


class Hall(_base.Model):
    """A data hall."""

    name: str
    """Its name."""

    instances: int = pydantic.Field(ge=1, le=200)
    """Instances that stand in it."""


class Deployment(_base.Model):
    """Halls, instances and targets."""

    app: str = "score-finder"
    """Name of the application."""

    halls: list[Hall] = pydantic.Field(min_length=1)
    """The data halls."""

    hall_ms: float = 0.5
    """One-way milliseconds within a hall."""

    between_ms: float = 8.0
    """One-way milliseconds between halls."""

    client_ms: float = 1.0
    """One-way milliseconds to callers."""

    services: int = pydantic.Field(default=20, ge=1, le=2000)
    """How many services there are; each has one shard at first."""

    replicas: int = pydantic.Field(default=2, ge=1, le=8)
    """Replicas of each service."""

    slots: int = pydantic.Field(default=2, ge=1, le=64)
    """Slots of each replica."""

    connections: int = pydantic.Field(default=25, ge=3)
    """Connections that each replica accepts."""

    connect_ms: float = 6.0
    """Milliseconds that a new connection takes."""

    queue_limit: int = 16
    """Requests that may wait at a replica."""

    placement: Literal["paired", "spread"] = "paired"
    """Whether a service's replicas stand in one hall or in following halls."""


class Times(_base.Model):
    """Service times; see `lineworks.standins.target_model.ServiceTimes`."""

    median_ms: float = 20.0
    """Median."""

    sigma: float = 0.5
    """Standard deviation of the logarithm."""

    straggler_share: float = 0.01
    """Share of requests that straggle."""

    straggler_factor: float = 10.0
    """How many times as long those take."""


class CallerClass(_base.Model):
    """A class of callers."""

    share: float = pydantic.Field(gt=0, le=1)
    """Share of the searches."""

    weight: float = 1.0
    """Admission weight."""


class Policy(_base.Model):
    """The selector's policy."""

    min_coverage: float = 1.0
    """Least coverage of an answer."""

    allows_partial: bool = False
    """Whether answers may lack shards."""

    target_latency_ms: float = 400.0
    """Latency that is wanted."""

    hedge_budget: float = 0.02
    """Hedges as a share of sub-queries."""


class Burst(_base.Model):
    """A time of more load."""

    at: float
    """When it begins, in seconds."""

    seconds: float
    """How long it lasts."""

    factor: float
    """How many times the load."""


class Fault(_base.Model):
    """A fault on the time line."""

    at: float
    """When it begins, in seconds."""

    kind: FaultKind
    """What goes wrong."""

    seconds: float = 1.0
    """How long it lasts, where it ends by itself."""

    target: str | None = None
    """The target; chosen by the seed when not given."""

    hall: str | None = None
    """The hall; chosen by the seed when not given."""

    share: float = 0.34
    """Share of the hall's targets, for a rack."""


class Scenario(_base.Model):
    """Everything that a run needs besides its seed."""

    name: str
    """Name, by which bounds are kept."""

    deployment: Deployment
    """Halls, instances and targets."""

    times: Times = Times()
    """Service times."""

    load: float = pydantic.Field(gt=0, le=20)
    """Searches as a share of what the slots can bear at the mean service time."""

    seconds: float = pydantic.Field(default=30.0, gt=0, le=600)
    """How long searches arrive."""

    warm_up: float = pydantic.Field(default=3.0, ge=0)
    """Seconds at the start that do not count."""

    deadline_ms: float = 1000.0
    """Deadline of each search."""

    run_share: float = pydantic.Field(default=0.02, ge=0, le=1)
    """Unrepeatable single requests, as a share of searches."""

    classes: dict[str, CallerClass] = {"default": CallerClass(share=1.0)}
    """Classes of callers."""

    policy: Policy = Policy()
    """The selector's policy."""

    bursts: list[Burst] = []
    """Times of more load."""

    faults: list[Fault] = []
    """Faults on the time line."""


def load(path: str) -> Scenario:
    """Read and check a scenario file.

    Args:
        path: The file.

    Returns:
        The scenario.

    Raises:
        ScenarioError: The file cannot be read or breaks a rule.
    """
    try:
        return Scenario.model_validate_json(pathlib.Path(path).read_bytes())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    except pydantic.ValidationError as error:
        raise ScenarioError(f"{path}: {_base.first_problem(error)}") from error
