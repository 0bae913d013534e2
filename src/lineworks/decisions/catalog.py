"""The accepted configuration as used by the decisions: services, targets, groups and selectors.

Input is validated by the models in `lineworks.models.configuration`, from which these plain data
classes are built. All of them are immutable, so a query keeps the catalog under which it was
admitted.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

BASE_LAYOUT = "base"
"""Layout that is used for services without the requested layout."""


MAX_VERSION = 2**64 - 1
"""Greatest version of an index: peers send versions as unsigned 64-bit integers."""

MAX_LAYOUT_CHARACTERS = 100
"""Maximum length of the name of a layout, in characters."""

_MAX_VERSION_DIGITS = len(str(MAX_VERSION))


class Snapshot(NamedTuple):
    """A version of an index together with the layout of its shards.

    Snapshots compare by version, then by layout name.
    """

    version: int
    """Index version; a higher version is newer."""

    layout: str
    """Name of the shard layout."""

    def __str__(self) -> str:
        return f"{self.version}@{self.layout}"


def parse_snapshot(text: str) -> Snapshot:
    """Parse a snapshot in the form `VERSION@LAYOUT`.

    Args:
        text: For example `7@base`.

    Returns:
        The snapshot.

    Raises:
        ValueError: The text does not have this form.
    """
    version, at, layout = text.partition("@")
    if not at or not version.isdecimal() or not _is_layout(layout):
        raise ValueError(f"not a snapshot: {text[:80]!r} (expected VERSION@LAYOUT)")
    if len(version) > _MAX_VERSION_DIGITS or int(version) > MAX_VERSION:
        raise ValueError(f"not a snapshot: the version {version[:80]} is too large")
    return Snapshot(int(version), layout)


def _is_layout(text: str) -> bool:
    # Peers send lists of snapshots separated by commas.
    return 0 < len(text) <= MAX_LAYOUT_CHARACTERS and text.isprintable() and "," not in text


def parse_snapshots(text: str) -> frozenset[Snapshot]:
    """Parse snapshots separated by commas.

    Args:
        text: For example `7@base,6@base`; empty for none.

    Returns:
        The snapshots.

    Raises:
        ValueError: An element is not a snapshot.
    """
    return frozenset(parse_snapshot(part) for part in text.split(",") if part)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """One replica of a service: a server that answers sub-queries."""

    name: str
    """Unique name."""

    service: str
    """Name of the service that it belongs to."""

    hall: str
    """Data hall in which it runs."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    slots: int
    """Requests that it processes concurrently."""

    connections: int
    """Concurrent connections that it accepts, from all instances together."""

    is_leaving: bool = False
    """Whether the operators are removing it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A set of replicas that hold the same shards."""

    name: str
    """Unique name."""

    labels: Mapping[str, str]
    """Labels that selectors match to form groups."""

    layouts: Mapping[str, tuple[str, ...]]
    """Names of the service's shards by layout."""

    targets: tuple[Target, ...]
    """The replicas."""

    def shards(self, layout: str) -> tuple[str, ...]:
        """Return the names of the service's shards under a layout.

        Args:
            layout: Name of the layout.

        Returns:
            The shards of that layout, or of the base layout if the service does not define it.
        """
        found = self.layouts.get(layout)
        return self.layouts[BASE_LAYOUT] if found is None else found


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Service level that a selector gives its callers."""

    min_coverage: float = 1.0
    """Share of shards (0 to 1) below which a query is refused."""

    allows_partial: bool = False
    """Whether an answer may be incomplete at all."""

    target_latency: float = 0.5
    """Seconds within which queries should be answered."""

    hedge_budget: float = 0.02
    """Maximum hedges, as a share of sub-queries."""

    retry_budget: float = 0.1
    """Maximum retries, as a share of sub-queries."""

    weight: float = 1.0
    """Weight of this class in the admission queue, relative to other classes."""


@dataclasses.dataclass(frozen=True, slots=True)
class Selector:
    """A rule that maps matching queries to a group."""

    name: str
    """Unique name."""

    match: Mapping[str, str]
    """Query fields with the values that they must have."""

    group: Mapping[str, str]
    """Labels that a service must have to belong to the group."""

    policy: Policy
    """Service level for the matching queries."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """The services that a selector refers to."""

    name: str
    """Canonical text of the label selector."""

    services: tuple[Service, ...]
    """Its services, sorted by name."""

    def shards(self, layout: str) -> tuple[tuple[Service, str], ...]:
        """Return all shards under a layout, each with the service that holds it.

        Args:
            layout: Name of the layout.

        Returns:
            Pairs of service and shard name, in the order of the services.
        """
        return tuple(
            (service, shard) for service in self.services for shard in service.shards(layout)
        )


@dataclasses.dataclass(frozen=True)
class Catalog:
    """An accepted version of the complete configuration."""

    version: int
    """Number of the accepted change that created it; 0 is the empty configuration."""

    digest: str
    """Digest of the chain of changes up to this version."""

    services: Mapping[str, Service]
    """All services by name."""

    selectors: tuple[Selector, ...]
    """All selectors."""

    _groups: dict[str, Group] = dataclasses.field(default_factory=dict, repr=False, compare=False)

    def group(self, labels: Mapping[str, str]) -> Group:
        """Return the services that have all of the labels.

        Args:
            labels: Required label values by label name.

        Returns:
            The group; it is empty if no service has all of them.
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
        """Create a group for a single service.

        Args:
            service: Name of a service in the catalog.

        Returns:
            A group that contains only this service.
        """
        return Group(f"service={service}", (self.services[service],))


EMPTY = Catalog(version=0, digest="", services={}, selectors=())
"""The configuration before the first change."""


def group_name(labels: Mapping[str, str]) -> str:
    """Format a label selector in its canonical form.

    Args:
        labels: Label values by label name.

    Returns:
        `name=value` pairs, sorted by name and separated by commas.
    """
    return ",".join(f"{name}={value}" for name, value in sorted(labels.items()))
