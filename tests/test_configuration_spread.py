"""Guarantees about configuration changes, checked on real keepers, stores and memberships."""

from __future__ import annotations

import json
import random

import pytest_bdd
from pytest_bdd import given, parsers, then, when
from twisted.internet import defer

from bench import control
from lineworks.decisions import changes
from lineworks.services import config_store, platform_client

pytest_bdd.scenarios("features/configuration.feature")


def item(mark: int) -> str:
    return json.dumps({"labels": {"mark": str(mark)}, "layouts": {"base": ["x"]}, "targets": []})


def content(key: str, mark: int) -> dict[str, str]:
    document = {"labels": {"mark": str(mark)}, "layouts": {"base": [key]}, "targets": []}
    return {f"service/{key}": json.dumps(document)}


class World:
    """The instances, and the outcomes that were reported to the operators."""

    def __init__(self):
        self.control = control.Control({"h1": 3, "h2": 3, "h3": 3}, seed=7)
        self.outcomes: list[config_store.Outcome] = []
        self.last = None
        self.marks = 0

    @property
    def clock(self):
        return self.control.clock

    def wait(self, seconds):
        self.clock.run_until(self.clock.seconds() + seconds)

    def apply(self, author, keys, base=None, entry="h2-1", seconds=30.0):
        """Submit a change through an instance and wait for its outcome."""
        instance = self.control.instances[entry]
        self.marks += 1
        items = {}
        for key in keys:
            items.update(content(key, self.marks))
        wanted = instance.keeper.version if base is None else base
        done = []
        sending = defer.ensureDeferred(
            instance.store.apply(items, wanted, f"change-{self.marks}", author)
        )
        sending.addBoth(done.append)
        end = self.clock.seconds() + seconds
        while not done and self.clock.seconds() < end:
            self.wait(0.01)
        self.last = done[0]
        self.outcomes.append(done[0])
        return done[0]

    def head(self) -> changes.Head:
        return config_store.head_from_json(self.control.platform.values["config/head"][0])


@given("3 halls of 3 instances each with configuration 1 in force", target_fixture="world")
def world():
    world = World()
    world.control.start()
    world.wait(8)
    assert isinstance(world.apply("first", ["a", "b", "c"]), config_store.Accepted)
    world.wait(2)
    assert {version for version, _ in world.control.in_force()} == {1}
    return world


@given("the platform is down")
def platform_down(world):
    world.control.platform.faults.is_down = True


@given(parsers.parse("the platform answers after {seconds:f} seconds"))
def platform_slow(world, seconds):
    world.control.platform.faults.delay = seconds


@given("every reply to a write is lost")
def replies_lost(world):
    world.control.platform.faults.lost_reply_share = 1.0


@given("a quarter of the writes and a quarter of the replies are lost")
def quarter_lost(world):
    world.control.platform.faults.lost_reply_share = 0.25
    world.control.platform.faults.lost_request_share = 0.25


@given(parsers.parse("the hall {hall} is cut off from the platform"))
def cut_off_from_platform(world, hall):
    world.control.cut_from_platform(hall)


@given(parsers.parse("the hall {hall} is cut off from the other halls"))
def cut_off_from_peers(world, hall):
    world.control.cut_from_peers(hall)
    world.wait(5)


@given(parsers.parse("the platform is down and drops its watches for {seconds:d} seconds"))
def outage(world, seconds):
    world.control.platform.faults.is_down = True
    world.control.platform.drop_watches()
    before = sum(world.control.platform.calls.values())
    world.wait(seconds)
    calls = sum(world.control.platform.calls.values()) - before
    # Backoff is capped: watchers retry at least every 5 s, members at least every 3 s.
    assert calls < 9 * seconds


@given(parsers.parse("operator {author} has changed service {key}"))
def changed_before(world, author, key):
    assert isinstance(world.apply(author, [key]), config_store.Accepted)
    world.wait(2)


@when(parsers.re(r"operator (?P<author>\w+) changes service (?P<key>\w+)$"))
def change(world, author, key):
    world.apply(author, [key])


@when(parsers.parse("operator {author} changes service {key} from base {base:d}"))
def change_from(world, author, key, base):
    world.apply(author, [key], base)


@when(parsers.parse("{count:d} operators race with {total:d} changes"))
def race(world, count, total):
    """Submit the changes in rounds: one per operator, each through a random instance."""
    rng = random.Random(3)
    names = list(world.control.instances)
    for _ in range(total // count):
        done = []
        for operator in range(count):
            world.marks += 1
            key = rng.choice("abc")
            instance = world.control.instances[rng.choice(names)]
            sending = defer.ensureDeferred(
                instance.store.apply(
                    content(key, world.marks),
                    instance.keeper.version,
                    f"change-{world.marks}",
                    f"operator-{operator}",
                )
            )
            sending.addBoth(done.append)
        while len(done) < count:
            world.wait(0.05)
        world.outcomes += done
        world.wait(0.2)
    world.wait(6)


@when(parsers.parse("{seconds:d} seconds pass"))
def seconds_pass(world, seconds):
    world.wait(seconds)


@when(parsers.parse("the hall {hall} is healed"))
def heal(world, hall):
    world.control.heal_peers(hall)
    world.control.cut_from_platform(hall, is_cut=False)


@when("the platform is up again")
def platform_up(world):
    world.control.platform.faults.is_down = False
    world.wait(10)


@when(parsers.parse("the platform is restored to version {version:d}"))
def restore(world, version):
    platform = world.control.platform
    old = platform.previous["config/head"][0]
    assert config_store.head_from_json(old).version == version
    platform.write("config/head", old)


@when(parsers.parse("the platform's head is replaced by another version {version:d}"))
def replace_head(world, version):
    head = changes.EMPTY_HEAD
    for number in range(version):
        head = changes.extend(head, f"other-{number}", "x", {"service/z": "0"}, (), "0")
    world.control.platform.write("config/head", config_store.head_to_json(head))


@when(parsers.parse("the next {count:d} reads are stale"))
def stale(world, count):
    world.control.platform.faults.stale_reads = count


@when("an instance starts that knows a peer", target_fixture="with_peer")
def start_with_peer(world):
    instance = world.control.add("h1-8", "h1")
    instance.start()
    world.control.connect("h1-8", "h2-0")
    return instance


@when("an instance starts that knows nobody", target_fixture="without_peers")
def start_alone(world):
    instance = world.control.add("h1-9", "h1")
    instance.start()
    return instance


@when(
    parsers.parse(
        "the instance {name} is paused while ana changes service a, and goes on after "
        "{seconds:d} seconds"
    )
)
def pause(world, name, seconds):
    """Block the instance's platform calls and queue its frames, then deliver them."""
    instance = world.control.instances[name]
    held = []
    deliver = instance.links.deliver
    instance.links.deliver = lambda sender, data: held.append((sender, data))
    instance.port.is_cut = True
    world.apply("ana", ["a"])
    world.wait(seconds)
    instance.links.deliver = deliver
    instance.port.is_cut = False
    for sender, data in held:
        deliver(sender, data)


@then(parsers.parse("the change is accepted as version {version:d}"))
def accepted(world, version):
    assert isinstance(world.last, config_store.Accepted)
    assert world.last.change.version == version


@then(parsers.parse("the last change is refused and names {author}"))
def refused_names(world, author):
    assert isinstance(world.last, config_store.Refused)
    assert world.last.reason == "conflict"
    assert f"by {author}" in world.last.detail


@then("the last change is refused because of the platform")
def refused_platform(world):
    assert isinstance(world.last, config_store.Refused)
    assert world.last.reason == "platform"


@then("the change is not known to be accepted")
def outcome_unknown(world):
    # Content is written before the head, so if every reply is lost the head is not written yet.
    assert not isinstance(world.last, config_store.Accepted)


@then("the change can be settled as accepted later")
def settle(world):
    """Lose only the reply to the write of the head, which takes effect."""
    faults = world.control.platform.faults
    faults.lost_reply_share = 0.0
    instance = world.control.instances["h2-1"]
    write = instance.port.compare_and_swap

    async def write_and_lose_reply(key, data, expect):
        await write(key, data, expect)
        faults.is_down = True
        raise platform_client.PlatformUnsureError("the reply was lost")

    instance.port.compare_and_swap = write_and_lose_reply
    outcome = world.apply("ana", ["a"])
    assert isinstance(outcome, config_store.Unsure)
    faults.is_down = False
    settled = []
    defer.ensureDeferred(instance.store.settle(outcome.change_id)).addBoth(settled.append)
    world.wait(1)
    assert isinstance(settled[0], config_store.Accepted)


@then(
    parsers.re(r"version (?P<version>\d+) is in force everywhere within (?P<seconds>\d+) seconds?")
)
def in_force_within(world, version, seconds):
    world.wait(int(seconds))
    assert {found for found, _ in world.control.in_force()} == {int(version)}


@then(parsers.parse("version {version:d} is still in force everywhere"))
def still_in_force(world, version):
    assert {found for found, _ in world.control.in_force()} == {version}


@then(parsers.parse("version {old:d} is in force in {hall} and version {new:d} elsewhere"))
def split_in_force(world, old, hall, new):
    for instance in world.control.instances.values():
        assert instance.keeper.version == (old if instance.hall == hall else new)


@then(parsers.parse("an alarm of kind {kind} was raised"))
def alarm_raised(world, kind):
    assert sum(i.keeper.alarms.get(kind, 0) for i in world.control.instances.values()) > 0


@then("the accepted changes are exactly the chain")
def chain(world):
    """Check that the history contains every accepted change once and nothing else."""
    accepted = [o.change for o in world.outcomes if isinstance(o, config_store.Accepted)]
    versions = sorted(change.version for change in accepted)
    unsure = [o for o in world.outcomes if isinstance(o, config_store.Unsure)]
    head = world.head()
    assert len(set(versions)) == len(versions)
    assert head.version - len(unsure) <= len(versions) <= head.version
    kept = {change.version: change for change in head.changes}
    for change in accepted:
        if change.version in kept:
            assert kept[change.version] == change


@then("every refused change names the one that it lost to")
def refusals_name_winner(world):
    refused = [o for o in world.outcomes if isinstance(o, config_store.Refused)]
    assert refused
    for outcome in refused:
        assert outcome.reason == "conflict"
        assert "operator-" in outcome.detail


@then("every instance has the newest version and none ever stepped back")
def versions_increase(world):
    newest = world.head().version
    for instance in world.control.instances.values():
        versions = [version for _, version, _ in instance.versions]
        assert versions == sorted(set(versions))
        assert instance.keeper.version == newest


@then("the first has version 1 and the second has none")
def started(with_peer, without_peers):
    assert with_peer.keeper.version == 1
    assert without_peers.keeper.version == 0
