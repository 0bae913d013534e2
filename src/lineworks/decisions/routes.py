"""Which route a request takes, and which of its services gets it.

A `RouteTable` is one version of the operators' configuration. It is immutable, so a request keeps
the table that it was admitted under, and with it one version's set of shards.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import workspaces

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

ANY_REGION: frozenset[str] = frozenset()
"""Home regions of what may be served in any region."""

NO_REGION: frozenset[str] = frozenset(("(none)",))
"""Home regions of what may be served in no region: no hall stands in it."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """What the configuration says of a service."""

    name: str
    """Unique name."""

    connections: int
    """Connections that each of its targets accepts, from all instances together."""

    cold_seconds: float = 0.0
    """Seconds that its targets are cold after a start."""

    cold_rate: float = 0.0
    """Requests a second that one of them can handle while cold; 0 where none is told, and then
    nothing bounds them."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a split route."""

    service: str
    """Name of the service."""

    weight: float
    """Share of the requests, relative to the other parts."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one path prefix go. Exactly one of the last three is not empty."""

    name: str
    """Unique name, for logs and metrics."""

    host: str
    """Host name that it belongs to, in lower case."""

    prefix: str
    """Path prefix, with a slash at both ends."""

    is_repeatable: bool
    """Whether a request may run more than once."""

    timeout: float
    """Longest time, in seconds, that a request may be held."""

    slo: float
    """Time, in seconds, within which an answer is worth most to its caller."""

    max_attempts: int
    """Targets that one try may run on in all, those that failed or were given up included; for a
    search, those of one shard. A target that refused it does not count."""

    priority: int
    """Rank; 0 is the most urgent."""

    split: tuple[WeightedService, ...] = ()
    """Services that share the requests; a single one for a plain route."""

    shards: tuple[str, ...] = ()
    """Services that are the shards of a search."""

    top: int = 0
    """Records that a search returns."""

    min_coverage: float = 1.0
    """Share of the shards (0 to 1) that a search's answer needs."""

    homes: frozenset[str] = ANY_REGION
    """Home regions: the only ones in which its requests are served."""

    is_public: bool = False
    """Whether its requests need no key."""

    @property
    def is_search(self) -> bool:
        """Whether its requests reach every shard."""
        return bool(self.shards)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take."""

    header_bytes: int = 16384
    """Bytes of a request's head."""

    body_bytes: int = 262144
    """Bytes of a request's body."""

    header_seconds: float = 3.0
    """Seconds from a request's first byte to the end of its head."""

    idle_seconds: float = 15.0
    """Seconds that a connection may be at rest."""


class RouteTable:
    """One version of the configuration."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSpec],
        limits: CallerLimits,
        known: workspaces.Workspaces | None = None,
    ) -> None:
        """Index the routes by host, longest prefix first.

        Args:
            version: Version; a later one is newer.
            routes: All routes.
            services: All services.
            limits: Limits of callers.
            known: Workspaces; none where no request needs a key.
        """
        self.version = version
        self.limits = limits
        self.workspaces = known or workspaces.Workspaces()
        self.services: Mapping[str, ServiceSpec] = {spec.name: spec for spec in services}
        self._by_host: dict[str, list[Route]] = {}
        self._for_workspaces: dict[tuple[str, str, str], Route] = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for listed in self._by_host.values():
            listed.sort(key=lambda route: -len(route.prefix))

    @property
    def routes(self) -> list[Route]:
        """All routes."""
        return [route for listed in self._by_host.values() for route in listed]

    def match(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        Args:
            host: Host name without a port, in any case.
            path: Path without a query.

        Returns:
            The route, or None.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def for_workspace(self, route: Route, workspace: workspaces.Workspace) -> Route:
        """Find what holds for the requests of a workspace on a route.

        Args:
            route: A route of this table.
            workspace: A workspace of this table.

        Returns:
            The route, with the workspace's priority where it has one and with the home regions that
            both allow.
        """
        key = (route.host, route.prefix, workspace.name)
        found = self._for_workspaces.get(key)
        if found is None:
            found = self._for_workspaces[key] = dataclasses.replace(
                route,
                priority=route.priority if workspace.priority is None else workspace.priority,
                homes=_common_homes(route.homes, workspace.homes),
            )
        return found


def _common_homes(one: frozenset[str], other: frozenset[str]) -> frozenset[str]:
    """Find the home regions that both allow; `ANY_REGION` allows all."""
    if not one or not other:
        return one or other
    return one & other or NO_REGION


class WeightedRoundRobin:
    """Divides a route's requests among its services in proportion to their weights.

    Smooth weighted round robin: after any number of requests each service has had its share to
    within one request, where a random choice would stray by the square root of their number.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Choose the service of the next request.

        Args:
            route: A route that is not a search.

        Returns:
            Name of the service.
        """
        if len(route.split) == 1:
            return route.split[0].service
        credits = self._credits.setdefault(route.name, {})
        total = 0.0
        for part in route.split:
            credits[part.service] = credits.get(part.service, 0.0) + part.weight
            total += part.weight
        chosen = max(route.split, key=lambda part: credits[part.service]).service
        credits[chosen] -= total
        return chosen

    def forget_absent(self, routes: Iterable[Route]) -> None:
        """Drop the state of routes that changed or went.

        Args:
            routes: The routes in force now.
        """
        wanted = {route.name: {part.service for part in route.split} for route in routes}
        for name in list(self._credits):
            if wanted.get(name) != set(self._credits[name]):
                del self._credits[name]
