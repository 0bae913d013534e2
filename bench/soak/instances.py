"""Kills, freezes, stops and restarts the instances of a run, and records when each was disturbed.

It also plays the platform: it kills an instance that is still running at the end of its grace
period, and restarts the instances that a step stopped or killed.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from bench.soak import history, plan, processes, schedule
from lineworks.kernel import task

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

RECOVERY_SECONDS = 3.0
"""Seconds after a step on an instance during which its callers may wait longer."""

POLL_SECONDS = 0.05
"""Seconds between checks whether an instance has exited."""

DUMP_SECONDS = 0.5
"""Seconds in which an instance that did not stop in time writes the stacks of its threads."""

MEMORY_SECONDS = 0.5
"""Seconds between looks at the memory that instances have in use."""

MORE_SIGNALS = 3
"""Number of signals that follow the first one of a series."""


class Instances:
    """The instances of a run."""

    def __init__(
        self, reactor: Any, calls: schedule.Schedule, nodes: Mapping[str, processes.Node]
    ) -> None:
        """Initialise with instances that need not have been started.

        Args:
            reactor: Twisted's reactor.
            calls: Schedules the later actions of the run.
            nodes: The instances by name.
        """
        self._reactor = reactor
        self._schedule = calls
        self._nodes = nodes
        self._taken_down: set[str] = set()
        self._frozen_until: dict[str, float] = {}
        self._aborted: set[processes.Child] = set()
        self.disturbed: list[history.Span] = []
        """Spans in which instances could not answer as usual."""
        self.peak_memory_mb: dict[str, float] = {}
        """For each instance the most memory that one of its lives had in use."""
        self.exits: list[str] = []
        """Unexpected exits, and stops that did not end in time; a clause each."""

    def end(self) -> None:
        """Kill all instances that were started, and record those that had exited by themselves."""
        started = {name: node for name, node in self._nodes.items() if node.has_started}
        codes = {name: node.child.exit_code for name, node in started.items()}
        self.exits += unexpected_ends(codes, self._taken_down)
        for node in started.values():
            node.child.end()

    def watch_memory(self) -> None:
        """Note how much memory the instances had in use, now and from time to time."""
        for name, node in self._nodes.items():
            used = node.child.peak_memory_mb
            self.peak_memory_mb[name] = max(used, self.peak_memory_mb.get(name, 0.0))
        self._schedule.later(MEMORY_SECONDS, self.watch_memory)

    def do(self, step: plan.Step) -> None:
        """Carry out a step.

        Args:
            step: One whose kind begins with `node`.
        """
        if step.kind is plan.Kind.NODES_ROLLED:
            for place, name in enumerate(step.subjects):
                self._schedule.later(place * step.seconds, self._stop, self._nodes[name])
            return
        node = self._nodes[step.subjects[0]]
        if not node.child.is_running:
            return
        if step.kind is plan.Kind.NODE_SIGNALLED:
            node.child.signal(signal.SIGHUP)
        elif step.kind is plan.Kind.NODE_FROZEN:
            self._record(node, step.seconds, is_frozen=True)
            self._freeze(node, step.seconds)
        elif step.kind is plan.Kind.NODE_KILLED:
            self._record(node, step.seconds)
            self._kill(node)
            self._schedule.later(step.seconds, self._start, node)
        elif step.kind is plan.Kind.NODE_STOPPED_AT_START:
            self._stop_at_start(node, step.seconds)
        else:
            child = node.child
            self._stop(node)
            self._follow_up(step, node, child)

    def _follow_up(self, step: plan.Step, node: processes.Node, child: processes.Child) -> None:
        """Apply the rest of a step to a stopping instance, but not to the process after it."""
        again = {
            plan.Kind.NODE_ASKED_AGAIN: signal.SIGTERM,
            plan.Kind.NODE_SIGNALLED_IN_STOP: signal.SIGHUP,
        }.get(step.kind)
        if again is not None:
            for number in range(1, MORE_SIGNALS + 1):
                self._schedule.later(number * step.seconds, child.signal, again)
        elif step.kind is plan.Kind.NODE_FROZEN_IN_STOP:
            self._schedule.later(step.seconds, self._freeze_same, node, child, step.seconds)

    def _freeze_same(self, node: processes.Node, child: processes.Child, seconds: float) -> None:
        """Freeze an instance, unless it has been restarted: no step is about that process."""
        if node.child is child:
            self._freeze(node, seconds)

    def _record(
        self,
        node: processes.Node,
        seconds: float,
        is_planned: bool = False,
        is_frozen: bool = False,
    ) -> None:
        now = self._reactor.seconds()
        lasts = max(seconds, processes.GRACE_SECONDS) + RECOVERY_SECONDS
        self.disturbed.append(history.Span(node.name, now, now + lasts, is_planned, is_frozen))

    def _freeze(self, node: processes.Node, seconds: float) -> None:
        child = node.child
        until = self._reactor.seconds() + seconds
        self._frozen_until[node.name] = max(until, self._frozen_until.get(node.name, 0.0))
        child.signal(signal.SIGSTOP)
        self._schedule.later(seconds, child.signal, signal.SIGCONT)

    def _kill(self, node: processes.Node) -> None:
        self._taken_down.add(node.name)
        node.child.end()

    def _stop_at_start(self, node: processes.Node, seconds: float) -> None:
        """Kill an instance, restart it at once, and stop the new process soon after."""
        killed_at = self._reactor.seconds()

        def stop() -> None:
            # Callers may be refused until now: on a busy machine this call is late.
            now = self._reactor.seconds()
            self.disturbed.append(history.Span(node.name, killed_at, now))
            self._stop(node)

        self._kill(node)
        self._start(node)
        self._schedule.later(seconds, stop)

    def _stop(self, node: processes.Node) -> None:
        """Stop an instance as the platform does."""
        if not node.child.is_running:
            return
        child = node.child
        codes = {0, -signal.SIGKILL, None}
        if not node.is_listening:
            # The interpreter is still starting: nobody can have connected, and SIGTERM has its
            # default effect.
            codes.add(-signal.SIGTERM)
        self._record(node, 0.0, is_planned=True)
        self._taken_down.add(node.name)
        child.signal(signal.SIGTERM)
        self._schedule.later(processes.GRACE_SECONDS, self._end_in_time, node, child)
        defer.ensureDeferred(self._restart_when_gone(node, child, codes))

    def _end_in_time(self, node: processes.Node, child: processes.Child) -> None:
        """Kill an instance at the end of its grace period.

        Only one that was frozen meanwhile may still be running: it receives the signal when it
        resumes, and cannot know when it was sent.
        """
        if not child.is_running:
            return
        asked_at = self._reactor.seconds() - processes.GRACE_SECONDS
        if asked_at > self._frozen_until.get(node.name, 0.0):
            used = child.processor_seconds
            self.exits.append(
                f"{node.name} was still there at the end of its time to stop, after {used:.2f} s"
                " of processor time in all"
            )
            # On this signal it first writes the stacks of its threads to its log.
            self._aborted.add(child)
            child.signal(signal.SIGABRT)
            self._schedule.later(DUMP_SECONDS, child.signal, signal.SIGKILL)
        else:
            child.signal(signal.SIGKILL)

    async def _restart_when_gone(
        self, node: processes.Node, child: processes.Child, codes: Collection[int | None]
    ) -> None:
        while child.is_running and not self._schedule.is_over:
            await task.sleep(self._reactor, POLL_SECONDS)
        if child.exit_code not in codes and child not in self._aborted:
            self.exits.append(f"{node.name} stopped with {child.exit_code}")
        self._start(node)

    def _start(self, node: processes.Node) -> None:
        if not self._schedule.is_over and not node.child.is_running:
            self._taken_down.discard(node.name)
            node.start()


def unexpected_ends(codes: Mapping[str, int | None], taken_down: Collection[str]) -> list[str]:
    """List the instances that exited although no step took them down.

    Args:
        codes: Exit code by instance, or None while it is running.
        taken_down: Instances that a step killed or stopped, and that were not restarted.

    Returns:
        A clause for each such instance.
    """
    return [
        f"{name} ended with {code}"
        for name, code in codes.items()
        if code is not None and name not in taken_down
    ]
