"""Whether a run kept what it promises of keys and of the limits of workspaces."""

from __future__ import annotations

import bisect
import collections
import math
from typing import TYPE_CHECKING

from bench.soak import knowledge

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bench.soak import history

UNAUTHORIZED = 401
"""Status that says for certain that a key is unknown."""

OVER_LIMIT = 429
"""Status that says that a workspace sends more than it may."""

FAR_BELOW = 0.5
"""Share of its limit up to which a workspace is far below it, of the requests a second and of those
besides."""

MOST_REFUSED_BELOW = 0.05
"""Share of the requests of a workspace far below its limit that may be refused for it. Faults in
series may leave a hall without a holder for a while, so it isn't nothing."""

ALWAYS_ALLOWED = 3
"""Such refusals that are too few for a share."""

WRITE_SECONDS = 0.5
"""Seconds that the operators' write may take to be in the store, on a busy machine."""


def keys_stay_inside(found: history.History) -> Iterable[knowledge.Broken]:
    """Find targets that were shown a key, and logs that hold one."""
    for arrival in found.arrivals:
        if arrival.shown:
            yield knowledge.Broken("keys stay inside", arrival.attempt, f"at {arrival.target}")
    for logged in found.logged_keys:
        yield knowledge.Broken("keys stay inside", "", f"logged by {logged}")


def told_workspaces(found: history.History) -> Iterable[knowledge.Broken]:
    """Find targets that were told another workspace than the one that has the caller's key."""
    owners = _owners(found)
    for call, arrival in _runs(found):
        owner = owners.get(call.key, "")
        if call.key in owners and arrival.workspace != owner:
            detail = f"{arrival.target} was told {arrival.workspace!r}; the key is of {owner!r}"
            yield knowledge.Broken("targets are told the right workspace", call.attempt, detail)


def unknown_keys(found: history.History) -> Iterable[knowledge.Broken]:
    """Find requests that ran with a key that no configuration ever held, or with none."""
    owners = _owners(found)
    for call, arrival in _runs(found):
        if owners and call.key not in owners:
            kind = "an unknown key" if call.key else "no key"
            yield knowledge.Broken("runs need a key", call.attempt, f"{kind}, {arrival.target}")


def taken_keys(found: history.History) -> Iterable[knowledge.Broken]:
    """Find requests that ran with a key long after it was taken away.

    Those of an instance that was disturbed shortly before are passed over: it may not know yet.
    """
    taken = _taken(found)
    for call, arrival in _runs(found):
        at = taken.get(call.key)
        if at is None or call.sent_at <= knowledge.due_by(found, at):
            continue
        if not knowledge.is_unaware(found, call):
            detail = f"{arrival.target}, sent {call.sent_at - at:.2f} s after"
            yield knowledge.Broken("keys that were taken away", call.attempt, detail)


def strictly_taken_keys(found: history.History) -> Iterable[knowledge.Broken]:
    """Find requests that ran too long after their key was taken away, where that is strict.

    No instance is excused, also not one that was frozen or cut off. Only a store that came back
    from an older copy meanwhile may have shown the key again.
    """
    if not found.revocation.is_strict:
        return
    taken = _taken(found)
    for call, arrival in _runs(found):
        at = taken.get(call.key)
        if at is None or call.sent_at <= at + found.revocation.seconds + WRITE_SECONDS:
            continue
        if not any(begin < call.sent_at and end > at for begin, end in found.older_copies):
            detail = f"{call.front}, {arrival.target}, sent {call.sent_at - at:.2f} s after"
            yield knowledge.Broken("strict revocation", call.attempt, detail)


def proper_keys(found: history.History) -> Iterable[knowledge.Broken]:
    """Find requests that were refused for their key though it had long been in force."""
    for call in found.calls:
        if call.status != UNAUTHORIZED or not call.key or knowledge.is_unaware(found, call):
            continue
        held = [
            any(call.key in one.keys for one in configured.workspaces)
            for configured in knowledge.in_force(found, call)
        ]
        if held and all(held):
            yield knowledge.Broken("proper keys are taken", call.attempt, call.front)


def limits(found: history.History) -> Iterable[knowledge.Broken]:
    """Find windows in which more requests of a workspace were sent and ran than it may send."""
    window = found.quota_bound.window
    sent_at = {call.attempt: call.sent_at for call in found.calls}
    for name, rows in _first_runs(found).items():
        times = [at for at, _ in rows]
        for place, (at, attempt) in enumerate(rows):
            ran = rows[bisect.bisect_left(times, at - window) : place + 1]
            sent = [sent_at[other] for _, other in ran if sent_at[other] >= at - window]
            most = _most(found, name, min(sent, default=at), at)
            if most is not None and len(sent) > most:
                detail = f"{name}: {len(sent)} ran within {window:g} s; {most:.1f} allowed"
                yield knowledge.Broken("limits of workspaces", attempt, detail)


def below_limits(found: history.History) -> Iterable[knowledge.Broken]:
    """Find workspaces that were refused often for their limit while they were far below it."""
    owners = _owners(found)
    calls = collections.Counter(owners.get(call.key) for call in found.calls)
    refused = collections.defaultdict(list)
    for call in refused_below(found):
        refused[owners[call.key]].append(call)
    for name, listed in refused.items():
        most = max(ALWAYS_ALLOWED, MOST_REFUSED_BELOW * calls[name])
        if len(listed) > most:
            detail = f"{name}: {len(listed)} of {calls[name]} refused; {most:.0f} allowed"
            yield knowledge.Broken("no refusal below a limit", listed[-1].attempt, detail)


def refused_below(found: history.History) -> list[history.Call]:
    """List the tries that were refused for the limit of a workspace that was far below it.

    Args:
        found: The run.

    Returns:
        These tries.
    """
    owners = _owners(found)
    tries: dict[str, list[history.Call]] = collections.defaultdict(list)
    for call in found.calls:
        if call.key in owners:
            tries[owners[call.key]].append(call)
    return [call for name, calls in tries.items() for call in _refused_below(found, name, calls)]


def _refused_below(
    found: history.History, name: str, calls: Iterable[history.Call]
) -> Iterable[history.Call]:
    """Pick the refusals of a workspace that kept to a part of its limit for a whole window."""
    window = found.quota_bound.window
    tokens, at, over_at = math.inf, 0.0, -math.inf
    for call in calls:
        rate, burst = _least(found, name, call)
        tokens = min(FAR_BELOW * burst, tokens + (call.sent_at - at) * FAR_BELOW * rate)
        at = call.sent_at
        if tokens < 1:
            over_at = at
        tokens = max(0.0, tokens - 1)
        if call.status == OVER_LIMIT and at - over_at > window:
            yield call


def _least(found: history.History, name: str, call: history.Call) -> tuple[float, float]:
    """Tell the least limit that may hold for a try: requests a second, and requests besides."""
    limits = [
        (one.rate or math.inf, one.burst or math.inf)
        for configured in _possible(found, call.sent_at, call.ended_at)
        for one in configured.workspaces
        if one.name == name
    ]
    return min(limits, default=(math.inf, math.inf))


def _owners(found: history.History) -> Mapping[str, str]:
    """Tell whose each key is, of all that a configuration ever held."""
    return {
        key: one.name
        for configured in found.configured
        for one in configured.workspaces
        for key in one.keys
    }


def _taken(found: history.History) -> Mapping[str, float]:
    """Tell when the first configuration without each key that was taken away was written."""
    taken: dict[str, float] = {}
    held: set[str] = set()
    for configured in found.configured:
        now = {key for one in configured.workspaces for key in one.keys}
        taken.update(dict.fromkeys(held - now, configured.at))
        held = now
    return taken


def _runs(found: history.History) -> Iterable[tuple[history.Call, history.Arrival]]:
    """List what ran, each with the try that asked for it."""
    calls = {call.attempt: call for call in found.calls}
    for arrival in found.arrivals:
        if arrival.has_run and arrival.attempt in calls:
            yield calls[arrival.attempt], arrival


def _first_runs(found: history.History) -> Mapping[str, list[tuple[float, str]]]:
    """List for each workspace when its tries first ran, in the order of these times."""
    owners = _owners(found)
    seen: set[str] = set()
    rows: dict[str, list[tuple[float, str]]] = collections.defaultdict(list)
    for call, arrival in _runs(found):
        if call.key in owners and call.attempt not in seen:
            seen.add(call.attempt)
            rows[owners[call.key]].append((arrival.at, call.attempt))
    return rows


def _most(found: history.History, name: str, begin: float, end: float) -> float | None:
    """Tell how many requests of a workspace may run within a window; None for any number."""
    bound = found.quota_bound
    most = 0.0
    for configured in _possible(found, begin, end):
        for one in configured.workspaces:
            if one.name != name:
                continue
            if not one.rate:
                return None
            allowed = one.rate * bound.window + one.burst
            most = max(most, allowed * (1 + bound.excess) + bound.slack)
    return most


def _possible(found: history.History, begin: float, end: float) -> Iterable[history.Configured]:
    """List the configurations whose limits may hold within a window: a lower one holds from one
    window after all know of it."""
    window = found.quota_bound.window
    for place, one in enumerate(found.configured):
        following = found.configured[place + 1 : place + 2]
        is_over = any(
            begin > knowledge.known_to_all(found, later.at) + window for later in following
        )
        if one.at <= end and not is_over:
            yield one


CHECKERS = (
    keys_stay_inside,
    told_workspaces,
    unknown_keys,
    taken_keys,
    strictly_taken_keys,
    proper_keys,
    limits,
    below_limits,
)
"""All checkers of keys and limits."""
