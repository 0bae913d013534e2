"""The accepted configuration as the decisions see it: services, targets, groups and selectors.

The border model is `lineworks.models.configuration`; these are the plain data classes made
from it. All of them are immutable, so a query keeps the catalog that it was admitted under.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

BASE_LAYOUT = "base"
"""The layout that a service falls back to when it does not name a layout itself."""


class Snapshot(NamedTuple):
    """One version of an index together with the layout of its shards.

    Snapshots compare by version, then by layout name.
    """

    version: int
    """Index version; a later version is newer."""

    layout: str
    """Name of the shard layout."""

    def __str__(self) -> str:
        return f"{self.version}@{self.layout}"


def parse_snapshot(text: str) -> Snapshot:
    """Read the form `VERSION@LAYOUT`.

    Args:
        text: For example `7@base`.

    Returns:
        The snapshot.

    Raises:
        ValueError: The text has another form.
    """
    version, at, layout = text.partition("@")
    if not at or not layout or not version.isdecimal():
        raise ValueError(f"not a snapshot: {text!r} (expected VERSION@LAYOUT)")
    return Snapshot(int(version), layout)


def parse_snapshots(text: str) -> frozenset[Snapshot]:
    """Read snapshots joined by commas.

    Args:
        text: For example `7@base,6@base`; empty for none.

    Returns:
        The snapshots.

    Raises:
        ValueError: A part is not a snapshot.
    """
    return frozenset(parse_snapshot(part) for part in text.split(",") if part)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One replica of a service: a process that answers sub-queries."""

    name: str
    """Unique name."""

    service: str
    """Name of the service that it serves."""

    hall: str
    """Data hall that it stands in."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    slots: int
    """Requests that it works on at once."""

    connections: int
    """Connections that it accepts at once, from all instances together."""

    is_leaving: bool = False
    """Whether the operators are taking it away."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of replicas that all hold the same shards."""

    name: str
    """Unique name."""

    labels: Mapping[str, str]
    """Labels that groups select by."""

    layouts: Mapping[str, tuple[str, ...]]
    """For each layout, the names of the service's shards."""

    targets: tuple[Target, ...]
    """The replicas."""

    def shards(self, layout: str) -> tuple[str, ...]:
        """Name the service's shards under a layout.

        Args:
            layout: Name of the layout.

        Returns:
            The shards of that layout, or of the base layout where the service has no such one.
        """
        found = self.layouts.get(layout)
        return self.layouts[BASE_LAYOUT] if found is None else found


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """What a selector promises to its callers."""

    min_coverage: float = 1.0
    """Share of shards (0 to 1) below which the answer is a refusal."""

    allows_partial: bool = False
    """Whether an answer may lack shards at all."""

    target_latency: float = 0.5
    """Seconds within which the operators want an answer."""

    hedge_budget: float = 0.02
    """Hedges allowed, as a share of sub-queries."""

    retry_budget: float = 0.1
    """Retries allowed, as a share of sub-queries."""

    weight: float = 1.0
    """Share of the admission queue relative to other classes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Selector:
    """A rule that says which group serves which query."""

    name: str
    """Unique name."""

    match: Mapping[str, str]
    """Query fields, each with the value it must have."""

    group: Mapping[str, str]
    """Labels that a service must carry to belong to the group."""

    policy: Policy
    """What the callers are promised."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The services that one selector reaches."""

    name: str
    """Canonical text of the label selector."""

    services: tuple[Service, ...]
    """Its services, by name."""

    def shards(self, layout: str) -> tuple[tuple[Service, str], ...]:
        """List every shard under a layout with the service that holds it.

        Args:
            layout: Name of the layout.

        Returns:
            Pairs of service and shard name, in order of service.
        """
        return tuple(
            (service, shard) for service in self.services for shard in service.shards(layout)
        )


@dataclasses.dataclass(frozen=True)
class Catalog:
    """One accepted version of the whole configuration."""

    version: int
    """Number of the accepted change that made it; 0 is the empty configuration."""

    digest: str
    """Digest of the chain of changes up to this version."""

    services: Mapping[str, Service]
    """All services by name."""

    selectors: tuple[Selector, ...]
    """All selectors."""

    _groups: dict[str, Group] = dataclasses.field(default_factory=dict, repr=False, compare=False)

    def group(self, labels: Mapping[str, str]) -> Group:
        """Find the services that carry all of the labels.

        Args:
            labels: Label names with the values wanted.

        Returns:
            The group; it has no services when none carries them.
        """
        name = group_name(labels)
        found = self._groups.get(name)
        if found is None:
            wanted = labels.items()
            services = tuple(
                service
                for _, service in sorted(self.services.items())
                if wanted <= service.labels.items()
            )
            found = self._groups[name] = Group(name, services)
        return found

    def service_group(self, service: str) -> Group:
        """Make the group of a single service.

        Args:
            service: Name of a known service.

        Returns:
            A group that holds only it.
        """
        return Group(f"service={service}", (self.services[service],))


EMPTY = Catalog(version=0, digest="", services={}, selectors=())
"""The configuration before any change."""


def group_name(labels: Mapping[str, str]) -> str:
    """Write a label selector in its canonical form.

    Args:
        labels: Label names with values.

    Returns:
        `name=value` pairs sorted by name and joined by commas.
    """
    return ",".join(f"{name}={value}" for name, value in sorted(labels.items()))
