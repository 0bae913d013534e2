"""Requests from callers to a front, and the answers to them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import catalog, coverage, verdict


@dataclasses.dataclass(frozen=True, slots=True)
class SearchRequest:
    """A validated search request."""

    fields: Mapping[str, str]
    """Fields that selectors match, including the caller class and the workspace."""

    body: bytes
    """Body that is sent to every shard."""

    caller_class: str
    """Caller class, which determines the weight at admission."""

    deadline: float
    """Time by which the caller must be answered, in seconds on this process's clock."""

    min_coverage: float | None = None
    """Share of shards (0 to 1) that the caller requires; None for the policy's minimum."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """A validated request to one service."""

    service: str
    """Name of the service."""

    shard: str | None
    """Name of the shard; may be None when the service has only one."""

    body: bytes
    """The request's body."""

    caller_class: str
    """Caller class, which determines the weight at admission."""

    deadline: float
    """Time by which the caller must be answered, in seconds on this process's clock."""

    is_repeatable: bool = False
    """Whether it may be executed more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a caller."""

    query: str
    """ID of the query."""

    verdict: verdict.Verdict
    """Verdict of the query."""

    snapshot: catalog.Snapshot | None
    """The snapshot that every reply came from; None when none was pinned."""

    config_version: int
    """Version of the configuration that the query ran under."""

    coverage: coverage.Coverage
    """Shards that replied, and those that didn't."""

    bodies: Mapping[str, bytes]
    """Body of the reply of each covered shard, by shard name."""

    retry_after: float | None = None
    """Seconds after which a refused caller should retry, if known."""
