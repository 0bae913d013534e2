"""The change protocol under arbitrary interleavings of writers, lost replies and restarts."""

from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from lineworks.decisions import changes

KEYS = ("service/a", "service/b", "selector/c")


@dataclasses.dataclass
class _Writer:
    """An operator's pending change: the head that was read, and the key to be written."""

    change_id: str
    base: int
    key: str
    head: changes.Head
    revision: int


class ChangeProtocol(stateful.RuleBasedStateMachine):
    """Writers read the head and replace it by compare-and-swap; instances follow it."""

    def __init__(self):
        super().__init__()
        self.head = changes.EMPTY_HEAD
        self.revision = 0
        self.history = [changes.EMPTY_HEAD]
        self.writers: list[_Writer] = []
        self.instances = [(0, "")] * 3
        self.accepted: set[str] = set()
        self.number = 0

    @stateful.rule(key=st.sampled_from(KEYS), lag=st.integers(0, 3))
    def read(self, key, lag):
        self.number += 1
        base = max(0, self.head.version - lag)
        writer = _Writer(f"c{self.number}", base, key, self.head, self.revision)
        self.writers.append(writer)

    @stateful.precondition(lambda self: self.writers)
    @stateful.rule(data=st.data(), is_reply_lost=st.booleans())
    def write(self, data, is_reply_lost):
        """Write the change, or retry it after a lost reply, as `ConfigStore.apply` does."""
        writer = self.writers.pop(data.draw(st.integers(0, len(self.writers) - 1)))
        if any(change.id == writer.change_id for change in self.head.changes):
            self.accepted.add(writer.change_id)
            return
        conflict = changes.conflict(writer.head, writer.base, frozenset({writer.key}))
        if conflict is not None:
            if isinstance(conflict, changes.Conflict):
                assert conflict.winner.version > writer.base
                assert writer.key in conflict.winner.keys
            return
        following = changes.extend(
            writer.head, writer.change_id, "x", {writer.key: writer.change_id}, (), "m"
        )
        if self.revision == writer.revision:
            self.head = following
            self.revision += 1
            self.history.append(following)
            if not is_reply_lost:
                self.accepted.add(writer.change_id)
                return
        writer.head, writer.revision = self.head, self.revision
        self.writers.append(writer)

    @stateful.rule(which=st.integers(0, 2), data=st.data())
    def offer_head(self, which, data):
        """Present any earlier head to an instance, as a stale read or a lagging peer would."""
        offered = self.history[data.draw(st.integers(0, len(self.history) - 1))]
        version, digest = self.instances[which]
        step = changes.follow(version, digest, offered)
        if isinstance(step, changes.ApplyChanges) and step.changes:
            assert step.changes[0].version == version + 1
        if isinstance(step, changes.Rejected):
            assert offered.version < version
            return
        assert offered.version >= version
        self.instances[which] = (offered.version, offered.digest)

    @stateful.rule(which=st.integers(0, 2))
    def restart(self, which):
        self.instances[which] = (0, "")

    @stateful.rule(which=st.integers(0, 2))
    def offer_fork(self, which):
        """Check that an instance with a version rejects a head with a different history."""
        version, digest = self.instances[which]
        if not version:
            return
        other = changes.EMPTY_HEAD
        for number in range(version + 1):
            other = changes.extend(other, f"fork-{number}", "y", {"service/z": "1"}, (), "m")
        assert isinstance(changes.follow(version, digest, other), changes.Rejected)

    @stateful.invariant()
    def one_chain(self):
        for earlier, later in zip(self.history, self.history[1:], strict=False):
            assert later.version == earlier.version + 1
            assert later.changes[-1].previous == earlier.digest
        chain = {head.changes[-1].id for head in self.history[1:]}
        assert self.accepted <= chain
        assert len(chain) == len(self.history) - 1


TestChangeProtocol = ChangeProtocol.TestCase
TestChangeProtocol.settings = hypothesis.settings(max_examples=60, stateful_step_count=40)


def test_a_head_with_an_inconsistent_digest_is_rejected():
    head = changes.extend(changes.EMPTY_HEAD, "a", "x", {"service/a": "1"}, (), "m")
    head = changes.extend(head, "b", "x", {"service/b": "2"}, (), "m")
    bad = dataclasses.replace(head.changes[0], puts={"service/a": "9"})
    damaged = dataclasses.replace(head, changes=(bad, head.changes[1]))
    found = changes.follow(0, "", damaged)
    assert isinstance(found, changes.Rejected)
    assert found.reason == "broken"


def test_a_base_older_than_the_recent_changes_is_refused():
    head = changes.EMPTY_HEAD
    for number in range(changes.KEPT_CHANGES + 5):
        head = changes.extend(head, f"c{number}", "x", {"service/a": str(number)}, (), "m")
    found = changes.conflict(head, 1, frozenset({"service/b"}))
    assert found == changes.UnknownBase(1, head.version)
