"""Service registry: looks services up by name, and starts and stops them in order."""

from __future__ import annotations

import inspect
from typing import TYPE_CHECKING, Any, Protocol, TypeVar, cast

if TYPE_CHECKING:
    from collections.abc import Awaitable

T = TypeVar("T")


class Service(Protocol):
    """A component that is started and stopped with the process."""

    def start(self) -> Awaitable[Any] | None:
        """Start; services registered earlier are running already."""

    def stop(self) -> Awaitable[Any] | None:
        """Stop; services registered later have stopped already."""


class ServiceNameError(Exception):
    """A service name is already registered, or is not registered at all."""


class Kernel:
    """The services of one process."""

    def __init__(self) -> None:
        self._services: dict[str, Service] = {}
        self._started: list[str] = []

    @property
    def names(self) -> tuple[str, ...]:
        """Names of all services, in order of registration."""
        return tuple(self._services)

    def register(self, name: str, service: Service) -> None:
        """Register a service.

        Args:
            name: Unique name of the service.
            service: The service.

        Raises:
            ServiceNameError: The name is already registered.
        """
        if name in self._services:
            raise ServiceNameError(f"service {name!r} is already registered")
        self._services[name] = service

    def get(self, name: str, kind: type[T]) -> T:
        """Return a service by name.

        Args:
            name: Name of the service.
            kind: Expected class, for the type checker only; it is not checked at run time.

        Returns:
            The service.

        Raises:
            ServiceNameError: No service is registered under the name.
        """
        if name not in self._services:
            raise ServiceNameError(f"service {name!r} is not registered")
        return cast("T", self._services[name])

    async def start(self) -> None:
        """Start all services in order of registration; if one fails, stop those started."""
        try:
            for name, service in self._services.items():
                await _await_if_needed(service.start())
                self._started.append(name)
        except BaseException:
            await self.stop()
            raise

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self._started:
            await _await_if_needed(self._services[self._started.pop()].stop())


async def _await_if_needed(result: Any) -> None:
    if result is not None and (inspect.isawaitable(result) or hasattr(result, "__await__")):
        await result
