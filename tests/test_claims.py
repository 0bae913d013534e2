"""Claims of idempotency keys: merging buckets, and the claim writer under platform faults."""

from __future__ import annotations

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from bench import fakes
from bench import platform as platforms
from lineworks.decisions import claims, verdict
from lineworks.services import claim_writer


def claim(key="ab" * 16, nonce="n", instance="a", expires=1e6) -> claims.Claim:
    return claims.Claim(key, nonce, instance, "f", expires)


def test_the_first_claim_of_a_key_wins():
    first, second = claim(nonce="1"), claim(nonce="2", instance="b")
    merged = claims.merge(claims.merge(None, [first], 0.0).data, [second], 0.0)
    assert merged.won == ()
    assert merged.lost == {"2": first}


def test_an_expired_claim_is_dropped():
    old = claims.merge(None, [claim(expires=10.0)], 0.0).data
    assert claims.merge(old, [claim(nonce="2")], 11.0).won[0].nonce == "2"


def test_a_full_bucket_accepts_no_more_claims():
    many = [claim(key=f"{number:032d}") for number in range(20000)]
    with pytest.raises(claims.BucketFullError):
        claims.merge(None, many, 0.0)


def test_each_workspace_has_its_own_namespace_of_keys():
    assert claims.digest("a", "k") != claims.digest("b", "k")


class _World:
    def __init__(self, seed=1, writers=3):
        self.clock = fakes.VirtualClock()
        self.platform = platforms.Platform(self.clock, random.Random(seed))
        self.ports = [platforms.PlatformPort(self.platform) for _ in range(writers)]
        for port in self.ports:
            # The ports already know the era of the store.
            port.era.learn(self.platform.model.era)
        self.writers = [
            claim_writer.ClaimWriter(
                self.clock, random.Random(f"{seed}/{n}"), port, self.clock.seconds
            )
            for n, port in enumerate(self.ports)
        ]

    def ask(self, writer, wanted, deadline=2.0):
        found = []
        self.writers[writer].claim(wanted, self.clock.seconds() + deadline).addCallback(
            found.append
        )
        return found


def test_concurrent_claims_are_written_in_one_call():
    world = _World()
    key = "0" * 8
    found = [world.ask(0, claim(key=f"{key}{n:024d}", nonce=str(n))) for n in range(50)]
    world.clock.run_until(1.0)
    assert [item[0].nonce for item in found] == [str(n) for n in range(50)]
    assert world.platform.calls["write"] == 1


def test_a_claim_is_refused_while_the_platform_is_down():
    world = _World()
    world.platform.faults.is_down = True
    found = world.ask(0, claim())
    world.clock.run_until(3.0)
    assert found[0].is_not_run
    assert found[0].reason is verdict.Reason.PLATFORM_DOWN
    assert "ticket" in found[0].detail


def test_a_lost_reply_is_resolved_by_reading_the_bucket_back():
    world = _World()
    port = world.ports[0]
    write = port.compare_and_swap
    lost = []

    async def lose_first(key, data, expect):
        done = await write(key, data, expect)
        if not lost:
            lost.append(done)
            raise platforms.platform_client.PlatformUnsureError("the reply was lost")
        return done

    port.compare_and_swap = lose_first
    found = world.ask(0, claim())
    world.clock.run_until(2.0)
    assert lost == [True]
    assert found[0].nonce == "n"
    assert world.platform.calls["write"] == 1


@hypothesis.given(
    st.integers(0, 10_000), st.floats(0.0, 0.4), st.floats(0.0, 0.4), st.integers(2, 6)
)
@hypothesis.settings(max_examples=60)
def test_a_key_is_never_won_twice(seed, lost_reply, lost_request, tries):
    world = _World(seed)
    world.platform.faults.lost_reply_share = lost_reply
    world.platform.faults.lost_request_share = lost_request
    rng = random.Random(seed)
    found = []
    for number in range(tries):
        wanted = claim(nonce=str(number))
        world.clock.callLater(
            rng.random() * 0.3,
            lambda w=wanted, n=number: found.append((w, world.ask(n % 3, w))),
        )
    world.clock.run_until(10.0)
    won = [
        w
        for w, result in found
        if not isinstance(result[0], verdict.Verdict) and result[0].nonce == w.nonce
    ]
    assert len(won) <= 1
    assert all(len(result) == 1 for _, result in found)
    refused = [result[0] for _, result in found if isinstance(result[0], verdict.Verdict)]
    assert all(item.is_not_run for item in refused)


def restore_store(world, copy):
    """Restore the store from an older copy."""
    world.platform.model.restore(copy)


def test_a_claim_that_the_store_lost_is_still_in_effect():
    """A store restored from an older copy must not let another instance claim the same key.

    Otherwise the caller's retry would run the request a second time.
    """
    world = _World()
    copy = world.platform.model.copy()
    first = world.ask(0, claim(nonce="1"))
    world.clock.run_until(1.0)
    assert first[0].nonce == "1"
    restore_store(world, copy)
    second = world.ask(1, claim(nonce="2", instance="b"))
    world.clock.run_until(2.0)
    assert second[0].is_not_run
    # Instances learn of the restore from each other's heartbeats.
    world.ports[0].era.learn(world.ports[1].era.value)
    world.clock.run_until(2.0 + claim_writer.RECOVERY_SECONDS)
    third = world.ask(1, claim(nonce="3", instance="b"))
    world.clock.run_until(8.0)
    assert third[0].nonce == "1"


def test_claims_are_refused_immediately_while_lost_claims_are_rewritten():
    world = _World()
    world.ask(0, claim(nonce="1"))
    world.clock.run_until(1.0)
    world.ports[0].era.learn(2)
    found = world.ask(0, claim(key="cd" * 16, nonce="2"))
    assert found[0].is_not_run
    assert found[0].reason is verdict.Reason.PLATFORM_UNSURE


def test_a_claim_written_during_a_restore_is_refused():
    world = _World()
    world.ask(0, claim(key="0" * 32, nonce="0"))
    world.clock.run_until(1.0)
    copy = world.platform.model.copy()
    key = "0" * 31 + "1"
    found = world.ask(0, claim(key=key, nonce="1"))
    world.clock.callLater(claim_writer.BATCH_SECONDS + 0.003, restore_store, world, copy)
    world.clock.run_until(9.0)
    held = claims.decode_bucket(world.platform.values[claims.bucket_key(key)][0])
    assert found[0].is_not_run
    assert key not in held


def test_an_instance_that_starts_after_a_restore_does_not_claim_a_lost_key():
    world = _World()
    copy = world.platform.model.copy()
    first = world.ask(0, claim(nonce="1"))
    world.clock.run_until(1.0)
    assert first[0].nonce == "1"
    restore_store(world, copy)
    port = platforms.PlatformPort(world.platform)
    started = claim_writer.ClaimWriter(world.clock, random.Random(7), port, world.clock.seconds)
    world.writers.append(started)
    second = world.ask(len(world.writers) - 1, claim(nonce="2", instance="b"))
    world.clock.run_until(2.0)
    assert second[0].is_not_run
    world.ports[0].era.learn(port.era.value)
    world.clock.run_until(2.0 + claim_writer.RECOVERY_SECONDS)
    third = world.ask(len(world.writers) - 1, claim(nonce="3", instance="b"))
    world.clock.run_until(8.0)
    assert third[0].nonce == "1"
