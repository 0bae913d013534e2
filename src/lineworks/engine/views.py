"""What an instance knows of the whole: configuration, owners and holdings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lineworks.decisions import catalog, ownership, routing

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping


class ClusterView:
    """One instance's picture of the cluster, which the front plans with.

    Everything derived is cached until the configuration, the members or the holdings change.
    """

    def __init__(self, name: str, hall: str, delay: Callable[[str], float]) -> None:
        """Start with an empty configuration.

        Args:
            name: Name of this instance.
            hall: Its data hall.
            delay: One-way seconds from this instance to a hall.
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
        """Live instances by name, each with its hall."""
        return self._members

    def set_config(self, config: catalog.Catalog, weights: Mapping[str, float]) -> None:
        """Put a configuration in force.

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
            members: Names with halls; this instance is added if it is missing.
        """
        self._members = {**members, self._name: self._hall}
        for name in list(self._holdings):
            if name not in self._members:
                del self._holdings[name]
        self._invalidate_caches()

    def set_holdings(
        self, instance: str, holdings: Mapping[str, frozenset[catalog.Snapshot]]
    ) -> None:
        """Take in what a gatherer can serve.

        Args:
            instance: The gatherer.
            holdings: For each service that it owns, the snapshots held.
        """
        self._holdings[instance] = holdings
        self._invalidate_caches()

    def drop_holdings(self, instance: str) -> None:
        """Forget what a gatherer could serve, because its link is gone.

        Args:
            instance: The gatherer.
        """
        if self._holdings.pop(instance, None) is not None:
            self._invalidate_caches()

    def held_snapshots(self, service: str) -> frozenset[catalog.Snapshot]:
        """Tell which snapshots of a service can be served from anywhere.

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
        """Tell a class's admission weight.

        Args:
            caller_class: The class.

        Returns:
            The configured weight, or 1.
        """
        return self._weights.get(caller_class, 1.0)

    def delay_to(self, instance: str) -> float:
        """Tell the one-way delay to an instance.

        Args:
            instance: Name of the instance.

        Returns:
            Seconds; 0 to itself.
        """
        if instance == self._name:
            return 0.0
        return self._delay(self._members.get(instance, self._hall))

    def hall_owners(self, service: catalog.Service, hall: str) -> tuple[str, ...]:
        """Compute the owners of a service's targets in a hall.

        Args:
            service: The service.
            hall: The data hall.

        Returns:
            Instances of that hall, or of the nearest hall that has any.
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
            Targets of the configuration in force.
        """
        for service in self._config.services.values():
            halls = {target.hall for target in service.targets}
            owned_halls = {hall for hall in halls if self._name in self.hall_owners(service, hall)}
            yield from (target for target in service.targets if target.hall in owned_halls)

    def paths(
        self, service: catalog.Service, snapshot: catalog.Snapshot | None
    ) -> list[routing.Path]:
        """List the halls that can serve a service at a snapshot.

        Args:
            service: The service.
            snapshot: The snapshot, or None when any will do.

        Returns:
            One path for each hall with an owner that can serve it.
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
