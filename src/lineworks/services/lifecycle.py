"""The lifecycle of an instance, as a state machine: starting, ready, draining, stopped."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

import automat

if TYPE_CHECKING:
    from collections.abc import Callable


class LifecycleInputs(Protocol):
    """Inputs of the state machine."""

    def config_applied(self) -> None:
        """A configuration was applied, the first one or a later one."""

    def stop_requested(self) -> None:
        """An operator or the operating system requested a graceful shutdown."""

    def work_finished(self) -> None:
        """The last request in progress has finished."""


@dataclasses.dataclass
class LifecycleCore:
    """State and callbacks that the transitions act on."""

    on_draining: Callable[[], None]
    """Called once, when the instance begins to drain."""

    on_stopped: Callable[[], None]
    """Called once, when a draining instance has finished its last request."""

    state: str = "starting"
    """Name of the current state."""


def _build() -> automat.TypeMachineBuilder:
    builder = automat.TypeMachineBuilder(LifecycleInputs, LifecycleCore)
    starting = builder.state("starting")
    ready = builder.state("ready")
    draining = builder.state("draining")
    stopped = builder.state("stopped")

    @starting.upon(LifecycleInputs.config_applied).to(ready)
    def become_ready(inputs: LifecycleInputs, core: LifecycleCore) -> None:
        core.state = "ready"

    @ready.upon(LifecycleInputs.config_applied).to(ready)
    def stay_ready(inputs: LifecycleInputs, core: LifecycleCore) -> None:
        """Stay ready; later configurations do not change the state."""

    @starting.upon(LifecycleInputs.stop_requested).to(draining)
    def drain_before_ready(inputs: LifecycleInputs, core: LifecycleCore) -> None:
        core.state = "draining"
        core.on_draining()

    @ready.upon(LifecycleInputs.stop_requested).to(draining)
    def drain(inputs: LifecycleInputs, core: LifecycleCore) -> None:
        core.state = "draining"
        core.on_draining()

    @draining.upon(LifecycleInputs.work_finished).to(stopped)
    def stop(inputs: LifecycleInputs, core: LifecycleCore) -> None:
        core.state = "stopped"
        core.on_stopped()

    for state in (draining, stopped):

        @state.upon(LifecycleInputs.config_applied).to(state)
        def ignore_config(inputs: LifecycleInputs, core: LifecycleCore) -> None:
            """Keep the state: a draining or stopped instance does not become ready again."""

        @state.upon(LifecycleInputs.stop_requested).to(state)
        def ignore_stop_request(inputs: LifecycleInputs, core: LifecycleCore) -> None:
            """Keep the state: a second stop request does not interrupt requests in progress."""

    for state in (starting, ready, stopped):

        @state.upon(LifecycleInputs.work_finished).to(state)
        def ignore_work_finished(inputs: LifecycleInputs, core: LifecycleCore) -> None:
            """Keep the state: only a draining instance stops when it is idle."""

    return builder


_machine = _build().build()


class Lifecycle:
    """The lifecycle of an instance."""

    def __init__(self, on_draining: Callable[[], None], on_stopped: Callable[[], None]) -> None:
        """Initialise a lifecycle in the state `starting`.

        Args:
            on_draining: Called once, when the instance begins to drain.
            on_stopped: Called once, when a draining instance has finished its last request.
        """
        self._core = LifecycleCore(on_draining, on_stopped)
        self._inputs = _machine(self._core)

    @property
    def state(self) -> str:
        """Name of the current state: `starting`, `ready`, `draining` or `stopped`."""
        return self._core.state

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer should route callers to this instance."""
        return self._core.state == "ready"

    def config_applied(self) -> None:
        """Report that a configuration was applied."""
        self._inputs.config_applied()

    def stop_requested(self) -> None:
        """Request a graceful shutdown: begin to drain."""
        self._inputs.stop_requested()

    def work_finished(self) -> None:
        """Report that no request is in progress; stops a draining instance."""
        self._inputs.work_finished()
