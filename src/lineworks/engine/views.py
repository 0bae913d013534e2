"""An instance's view of the cluster: configuration, members, owners and held snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import catalog, ownership, routing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping


class ClusterView:
    """One instance's view of the cluster, used by the front to plan queries.

    Derived values are cached until the configuration, the members or the holdings change.
    """

    def __init__(self, name: str, hall: str, delay: Callable[[str], float]) -> None:
        """Initialise a view with an empty configuration and this instance as the only member.

        Args:
            name: Name of this instance.
            hall: Its data hall.
            delay: Returns the one-way network delay to a hall in seconds.
        """
        self._name = name
        self._hall = hall
        self._delay = delay
        self._config = catalog.EMPTY
        self._members: dict[str, str] = {name: hall}
        self._weights: Mapping[str, float] = {}
        self._holdings: dict[str, Mapping[str, frozenset[catalog.Snapshot]]] = {}
        self._held_snapshots: dict[str, frozenset[catalog.Snapshot]] = {}
        self._paths: dict[tuple[str, catalog.Snapshot | None], list[routing.Path]] = {}

    @property
    def config(self) -> catalog.Catalog:
        """The configuration in force."""
        return self._config

    @property
    def members(self) -> Mapping[str, str]:
        """Data halls of the live instances, by instance name."""
        return self._members

    def set_config(self, config: catalog.Catalog, weights: Mapping[str, float]) -> None:
        """Apply a configuration.

        Args:
            config: The configuration.
            weights: Admission weights by caller class.
        """
        self._config = config
        self._weights = weights
        self._invalidate_caches()

    def set_members(self, members: Mapping[str, str]) -> None:
        """Replace the live instances.

        Args:
            members: Data halls by instance name; this instance is added if it is missing.
        """
        self._members = {**members, self._name: self._hall}
        for name in list(self._holdings):
            if name not in self._members:
                del self._holdings[name]
        self._invalidate_caches()

    def set_holdings(
        self, instance: str, holdings: Mapping[str, frozenset[catalog.Snapshot]]
    ) -> None:
        """Replace the holdings of a gatherer.

        Args:
            instance: The gatherer.
            holdings: For each service that it owns, the snapshots that it can serve.
        """
        self._holdings[instance] = holdings
        self._invalidate_caches()

    def drop_holdings(self, instance: str) -> None:
        """Remove the holdings of a gatherer, because the link to it is lost.

        Args:
            instance: The gatherer.
        """
        if self._holdings.pop(instance, None) is not None:
            self._invalidate_caches()

    def held_snapshots(self, service: str) -> frozenset[catalog.Snapshot]:
        """Return the snapshots of a service that at least one gatherer can serve.

        Args:
            service: Name of the service.

        Returns:
            The snapshots.
        """
        cached = self._held_snapshots.get(service)
        if cached is None:
            sets = (holdings.get(service, frozenset()) for holdings in self._holdings.values())
            cached = self._held_snapshots[service] = frozenset().union(*sets)
        return cached

    def class_weight(self, caller_class: str) -> float:
        """Return the admission weight of a caller class.

        Args:
            caller_class: The class.

        Returns:
            The configured weight; 1 when none is configured.
        """
        return self._weights.get(caller_class, 1.0)

    def delay_to(self, instance: str) -> float:
        """Return the one-way network delay to an instance.

        Args:
            instance: Name of the instance.

        Returns:
            Seconds; 0 for this instance.
        """
        if instance == self._name:
            return 0.0
        return self._delay(self._members.get(instance, self._hall))

    def hall_owners(self, service: catalog.Service, hall: str) -> tuple[str, ...]:
        """Compute the owners of a service's targets in a data hall.

        Args:
            service: The service.
            hall: The data hall.

        Returns:
            Names of instances in that hall, or in the nearest hall that has instances.
        """
        connections = min((t.connections for t in service.targets if t.hall == hall), default=0)
        count = ownership.owner_count(connections)
        hall_instances = [
            name for name, instance_hall in self._members.items() if instance_hall == hall
        ]
        if not hall_instances:
            hall_instances = self._nearest_to(hall)
        return ownership.owners(service.name, hall_instances, count)

    def owned_targets(self) -> Iterable[catalog.Target]:
        """List the targets that this instance owns.

        Returns:
            The owned targets, by the configuration in force.
        """
        for service in self._config.services.values():
            halls = {target.hall for target in service.targets}
            owned_halls = {hall for hall in halls if self._name in self.hall_owners(service, hall)}
            yield from (target for target in service.targets if target.hall in owned_halls)

    def paths(
        self, service: catalog.Service, snapshot: catalog.Snapshot | None
    ) -> list[routing.Path]:
        """List the data halls that can serve a service at a snapshot.

        Args:
            service: The service.
            snapshot: The snapshot, or None when any is accepted.

        Returns:
            One path for each hall with an owner that can serve the service.
        """
        key = (service.name, snapshot)
        cached = self._paths.get(key)
        if cached is None:
            cached = self._paths[key] = self._compute_paths(service, snapshot)
        return cached

    def _compute_paths(
        self, service: catalog.Service, snapshot: catalog.Snapshot | None
    ) -> list[routing.Path]:
        paths = []
        for hall in sorted({target.hall for target in service.targets}):
            owners = tuple(
                name
                for name in self.hall_owners(service, hall)
                if self._can_serve(name, service.name, snapshot)
            )
            if owners:
                paths.append(routing.Path(hall, owners, self.delay_to(owners[0])))
        return paths

    def _can_serve(self, instance: str, service: str, snapshot: catalog.Snapshot | None) -> bool:
        held_snapshots = self._holdings.get(instance, {}).get(service, frozenset())
        return bool(held_snapshots) if snapshot is None else snapshot in held_snapshots

    def _nearest_to(self, hall: str) -> list[str]:
        halls = sorted(set(self._members.values()))
        if not halls:
            return []
        nearest = min(halls, key=lambda other: (abs(self._delay(other) - self._delay(hall)), other))
        return [name for name, instance_hall in self._members.items() if instance_hall == nearest]

    def _invalidate_caches(self) -> None:
        self._held_snapshots.clear()
        self._paths.clear()
