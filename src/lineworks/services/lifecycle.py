"""The life of an instance: starting, ready, draining, stopped."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Protocol

import automat

if TYPE_CHECKING:
    from collections.abc import Callable


class LifecycleInputs(Protocol):
    """What happens to an instance."""

    def config_applied(self) -> None:
        """A configuration is in force for the first time, or again."""

    def stop_requested(self) -> None:
        """The operators or the system asked for a planned stop."""

    def work_finished(self) -> None:
        """No request is in progress any more."""


@dataclasses.dataclass
class LifecycleCore:
    """What the machine acts on."""

    on_draining: Callable[[], None]
    """Called once when the instance begins to leave."""

    on_stopped: Callable[[], None]
    """Called once when nothing is in progress after that."""

    state: str = "starting"
    """Name of the state."""


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
        """Nothing changes."""

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
            """A leaving instance stays leaving."""

        @state.upon(LifecycleInputs.stop_requested).to(state)
        def ignore_stop_request(inputs: LifecycleInputs, core: LifecycleCore) -> None:
            """A second signal cuts nothing off."""

    for state in (starting, ready, stopped):

        @state.upon(LifecycleInputs.work_finished).to(state)
        def ignore_work_finished(inputs: LifecycleInputs, core: LifecycleCore) -> None:
            """Only a draining instance ends when it is idle."""

    return builder


_machine = _build().build()


class Lifecycle:
    """The life of one instance."""

    def __init__(self, on_draining: Callable[[], None], on_stopped: Callable[[], None]) -> None:
        """Start in the state `starting`.

        Args:
            on_draining: Called once when the instance begins to leave.
            on_stopped: Called once when nothing is in progress after that.
        """
        self._core = LifecycleCore(on_draining, on_stopped)
        self._inputs = _machine(self._core)

    @property
    def state(self) -> str:
        """`starting`, `ready`, `draining` or `stopped`."""
        return self._core.state

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers here."""
        return self._core.state == "ready"

    def config_applied(self) -> None:
        """Note that a configuration is in force."""
        self._inputs.config_applied()

    def stop_requested(self) -> None:
        """Begin to leave."""
        self._inputs.stop_requested()

    def work_finished(self) -> None:
        """Note that no request is in progress."""
        self._inputs.work_finished()
