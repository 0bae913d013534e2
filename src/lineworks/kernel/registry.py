"""The micro-kernel: services that find each other by name, started and stopped in order."""

from __future__ import annotations

import inspect
from typing import TYPE_CHECKING, Any, Protocol, TypeVar, cast

if TYPE_CHECKING:
    from collections.abc import Awaitable

T = TypeVar("T")


class Service(Protocol):
    """A task with a life of its own."""

    def start(self) -> Awaitable[Any] | None:
        """Begin; services registered earlier are running by now."""

    def stop(self) -> Awaitable[Any] | None:
        """End; services registered later have ended by now."""


class ServiceNameError(Exception):
    """A service name is taken, or names nothing."""


class Kernel:
    """Keeps the services of one process."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[str] = []

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all services, in order of registration."""
        return tuple(self._services)

    def register(self, name: str, service: Service) -> None:
        """Add a service.

        Args:
            name: Its name.
            service: The service.

        Raises:
            ServiceNameError: The name is taken.
        """
        if name in self._services:
            raise ServiceNameError(f"the service name {name!r} is taken")
        self._services[name] = service

    def get(self, name: str, kind: type[T]) -> T:
        """Find a service.

        Args:
            name: Its name.
            kind: The class that the caller expects.

        Returns:
            The service.

        Raises:
            ServiceNameError: There is no such service.
        """
        if name not in self._services:
            raise ServiceNameError(f"there is no service {name!r}")
        return cast("T", self._services[name])

    async def start(self) -> None:
        """Start all services in order of registration; on an error stop those started."""
        try:
            for name, service in self._services.items():
                await _maybe_wait(service.start())
                self._started.append(name)
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        """Stop the started services, last started first."""
        while self._started:
            await _maybe_wait(self._services[self._started.pop()].stop())


async def _maybe_wait(result: Any) -> None:
    if result is not None and (inspect.isawaitable(result) or hasattr(result, "__await__")):
        await result
