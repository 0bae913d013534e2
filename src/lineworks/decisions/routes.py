"""Which route a request takes, and which of the route's services receives it.

A `RouteTable` is one version of the operators' configuration. It is immutable, so a request keeps
the table under which it was admitted, and with it the set of shards of that version.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from lineworks.decisions import workspaces

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

ANY_REGION: frozenset[str] = frozenset()
"""Home regions of a route or workspace that may be served in any region."""

NO_REGION: frozenset[str] = frozenset(("(none)",))
"""Home regions of a route or workspace that may not be served at all: a region without halls."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSpec:
    """Configuration of a service."""

    name: str
    """Unique name."""

    connections: int
    """Concurrent connections that each of its targets accepts, from all instances together."""

    cold_seconds: float = 0.0
    """Seconds after a start during which its targets are cold."""

    cold_rate: float = 0.0
    """Requests per second that one target can handle while cold; 0 if not configured, in which case
    there is no limit."""


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services among which a route is split."""

    service: str
    """Name of the service."""

    weight: float
    """Share of the requests, relative to the weights of the other services."""


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where the requests for a path prefix are sent. Either `split` or `shards` is not empty."""

    name: str
    """Unique name, used in logs and metrics."""

    host: str
    """Host name to which it applies, in lower case."""

    prefix: str
    """Path prefix, with a leading and a trailing slash."""

    is_repeatable: bool
    """Whether a request may be executed more than once."""

    timeout: float
    """Maximum time in seconds that a request may take."""

    slo: float
    """Latency objective in seconds; a later answer is worth less to its caller."""

    max_attempts: int
    """Maximum targets to which one request, or one shard of a search, may be sent, including those
    that failed or were abandoned. A target that refused the request does not count."""

    priority: int
    """Priority; 0 is the highest."""

    split: tuple[WeightedService, ...] = ()
    """Services among which the requests are split; a single one for a simple route."""

    shards: tuple[str, ...] = ()
    """Services that form the shards of a search; empty for other routes."""

    top: int = 0
    """Number of records that a search returns."""

    min_coverage: float = 1.0
    """Minimum share of the shards (0 to 1) that the answer to a search must cover."""

    homes: frozenset[str] = ANY_REGION
    """Home regions, the only regions in which its requests may be served."""

    is_public: bool = False
    """Whether its requests need no API key."""

    @property
    def is_search(self) -> bool:
        """Whether its requests are searches, which are sent to every shard."""
        return bool(self.shards)


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of callers' requests."""

    header_bytes: int = 16384
    """Maximum bytes of the request line and headers."""

    body_bytes: int = 262144
    """Maximum bytes of the request body."""

    header_seconds: float = 3.0
    """Maximum seconds from the first byte of a request to the end of its headers."""

    idle_seconds: float = 15.0
    """Maximum seconds that a connection may be idle."""


class RouteTable:
    """The routes, services and workspaces of one version of the configuration."""

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[ServiceSpec],
        limits: CallerLimits,
        known_workspaces: workspaces.Workspaces | None = None,
    ) -> None:
        """Index the routes by host and sort them by prefix, longest first.

        Args:
            version: Version of the configuration; a higher one is newer.
            routes: All routes.
            services: All services.
            limits: Limits on callers' requests.
            known_workspaces: The workspaces; None if no request needs an API key.
        """
        self.version = version
        self.limits = limits
        self.workspaces = known_workspaces or workspaces.Workspaces()
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
        """Return the route with the longest prefix that matches a path.

        Args:
            host: Host name without a port; upper and lower case are equivalent.
            path: Path without the query string.

        Returns:
            The route, or None if no route matches.
        """
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def for_workspace(self, route: Route, workspace: workspaces.Workspace) -> Route:
        """Return a route as it applies to the requests of a workspace.

        Args:
            route: A route of this table.
            workspace: A workspace of this table.

        Returns:
            The route with the priority of the workspace, if it has one, and with the home regions
            that both allow.
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
    """Return the home regions that both allow; `ANY_REGION` allows all."""
    if not one or not other:
        return one or other
    return one & other or NO_REGION


class WeightedRoundRobin:
    """Distributes the requests of a route among its services in proportion to their weights.

    This is smooth weighted round robin: after any number of requests, each service has received its
    share to within one request, whereas a random choice would deviate by the square root of their
    number.
    """

    def __init__(self) -> None:
        self._credits: dict[str, dict[str, float]] = {}

    def choose(self, route: Route) -> str:
        """Choose the service for the next request.

        Args:
            route: A route that is not a search.

        Returns:
            The name of the service.
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
        """Discard the state of routes that were removed or whose services changed.

        Args:
            routes: The current routes.
        """
        wanted = {route.name: {part.service for part in route.split} for route in routes}
        for name in list(self._credits):
            if wanted.get(name) != set(self._credits[name]):
                del self._credits[name]
