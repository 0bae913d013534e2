"""What callers ask a front, and what they get."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import catalog, coverage, verdict


@dataclasses.dataclass(frozen=True, slots=True)
class SearchRequest:
    """A caller's search, checked."""

    fields: Mapping[str, str]
    """Query fields, caller class and workspace among them."""

    body: bytes
    """The body that every shard gets."""

    caller_class: str
    """Class whose weight applies at admission."""

    deadline: float
    """When the caller stops waiting, in seconds on this process's clock."""

    min_coverage: float | None = None
    """Share of shards (0 to 1) below which the caller wants a refusal."""


@dataclasses.dataclass(frozen=True, slots=True)
class RunRequest:
    """A caller's request to one service, checked."""

    service: str
    """Name of the service."""

    shard: str | None
    """The shard, or None where the service has only one."""

    body: bytes
    """The request's body."""

    caller_class: str
    """Class whose weight applies at admission."""

    deadline: float
    """When the caller stops waiting, in seconds on this process's clock."""

    is_repeatable: bool = False
    """Whether it may run more than once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a caller gets."""

    query: str
    """Identity of the query."""

    verdict: verdict.Verdict
    """What is known of the query."""

    snapshot: catalog.Snapshot | None
    """The snapshot that every reply came from."""

    config_version: int
    """Version of the configuration that the query ran under."""

    coverage: coverage.Coverage
    """Shards covered and lacking."""

    bodies: Mapping[str, bytes]
    """For each covered shard, the reply."""

    retry_after: float | None = None
    """Seconds after which a refused caller may ask again."""
