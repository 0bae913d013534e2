"""A stand-in platform and the targets of several shapes in one process, for trials."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from lineworks.decisions import catalog
from lineworks.platform.standins import store_model, store_server
from lineworks.standins import shapes, target_model, target_server

if TYPE_CHECKING:
    from collections.abc import Sequence

FIRST_SNAPSHOT = catalog.Snapshot(1, catalog.BASE_LAYOUT)
"""Snapshot that every stand-in target holds initially."""


class Site:
    """Stand-ins for the platform and the targets that instances connect to."""

    def __init__(
        self,
        reactor: Any,
        planned: Sequence[shapes.Shape],
        times: target_model.ServiceTimes,
        seed: int,
    ) -> None:
        """Create the stand-ins; `listen` opens their sockets.

        Args:
            reactor: Twisted's reactor.
            planned: Shapes of the applications.
            times: Distribution of the service times of all targets.
            seed: Seed of the service times.
        """
        self._reactor = reactor
        self._shapes = planned
        self.platform = store_server.StoreServer(reactor, store_model.StoreModel(reactor))
        self.targets: dict[str, target_server.TargetServer] = {}
        for shape in planned:
            for target in shapes.plan_targets(shape):
                model = target_model.TargetModel(
                    target.name,
                    reactor,
                    random.Random(f"{seed}/{target.name}"),
                    shape.slots,
                    times,
                    frozenset({FIRST_SNAPSHOT}),
                )
                self.targets[target.name] = target_server.TargetServer(
                    reactor, model, shape.connections
                )

    def listen(self, host: str, platform_port: int = 0, first_target_port: int = 0) -> None:
        """Listen on all sockets.

        Args:
            host: IP address to listen on.
            platform_port: TCP port of the platform; 0 lets the system choose.
            first_target_port: TCP port of the first target; the others get the following
                ports. 0 lets the system choose all of them.
        """
        self.platform.listen(self._reactor, host, platform_port)
        for number, target in enumerate(self.targets.values()):
            target.listen(host, first_target_port + number if first_target_port else 0)

    async def close(self) -> None:
        """Close all listening sockets."""
        for target in self.targets.values():
            await target.close()
        await self.platform.close()

    def services(self) -> dict[str, Any]:
        """Return the services as configuration items; the sockets must be open.

        Returns:
            The items, by name of the service.
        """
        ports = {name: target.port for name, target in self.targets.items()}
        items: dict[str, Any] = {}
        for shape in self._shapes:
            items.update(shapes.service_items(shape, ports))
        return items

    def set_snapshots(self, snapshots: frozenset[catalog.Snapshot]) -> None:
        """Set the snapshots that every target holds.

        Args:
            snapshots: The snapshots.
        """
        for target in self.targets.values():
            target.model.holds = snapshots
