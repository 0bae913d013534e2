"""The service registry, mailboxes, tasks and the lifecycle of an instance."""

from __future__ import annotations

import pytest
from twisted.internet import defer

from lineworks.kernel import mailbox, registry, task
from lineworks.services import lifecycle


class _Service:
    def __init__(self, log, name, is_broken=False):
        self.log, self.name, self.is_broken = log, name, is_broken

    def start(self):
        if self.is_broken:
            raise RuntimeError("broken")
        self.log.append(f"start {self.name}")

    def stop(self):
        self.log.append(f"stop {self.name}")


def run(coroutine):
    results = []
    defer.ensureDeferred(coroutine).addBoth(results.append)
    return results[0]


def test_services_start_in_order_and_stop_in_reverse_order():
    log, kernel = [], registry.Kernel()
    for name in ("a", "b"):
        kernel.register(name, _Service(log, name))
    run(kernel.start())
    run(kernel.stop())
    assert log == ["start a", "start b", "stop b", "stop a"]


def test_failed_start_stops_the_started_services():
    log, kernel = [], registry.Kernel()
    kernel.register("a", _Service(log, "a"))
    kernel.register("b", _Service(log, "b", is_broken=True))
    assert run(kernel.start()).check(RuntimeError)
    assert log == ["start a", "stop a"]


def test_duplicate_and_unknown_names_are_rejected():
    kernel = registry.Kernel()
    kernel.register("a", _Service([], "a"))
    assert kernel.get("a", _Service).name == "a"
    with pytest.raises(registry.ServiceNameError):
        kernel.register("a", _Service([], "a"))
    with pytest.raises(registry.ServiceNameError):
        kernel.get("b", _Service)


def test_mailbox_handler_is_not_reentered():
    seen = []

    def handle(message):
        seen.append(("begin", message))
        if message == 1:
            box.post(2)
        seen.append(("end", message))

    box = mailbox.Mailbox(handle)
    box.post(1)
    assert seen == [("begin", 1), ("end", 1), ("begin", 2), ("end", 2)]


def test_stopped_task_is_cancelled_at_its_await():
    waiting, log = defer.Deferred(), []

    async def work():
        try:
            await waiting
        finally:
            log.append("ended")

    job = task.Task("t", work)
    job.start()
    job.stop()
    assert log == ["ended"]


def test_lifecycle_passes_through_all_states():
    log = []
    life = lifecycle.Lifecycle(lambda: log.append("draining"), lambda: log.append("stopped"))
    assert life.state == "starting"
    assert not life.is_ready
    life.work_finished()
    life.config_applied()
    assert life.is_ready
    life.config_applied()
    life.stop_requested()
    life.stop_requested()
    life.config_applied()
    assert life.state == "draining"
    assert not life.is_ready
    life.work_finished()
    life.work_finished()
    assert life.state == "stopped"
    assert log == ["draining", "stopped"]


def test_lifecycle_may_stop_before_it_is_ready():
    log = []
    life = lifecycle.Lifecycle(lambda: log.append("draining"), lambda: log.append("stopped"))
    life.stop_requested()
    life.work_finished()
    assert log == ["draining", "stopped"]
