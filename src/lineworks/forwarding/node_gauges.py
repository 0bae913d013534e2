"""Gauges of an instance, read from its services when the metrics are exported.

Each function returns the values of some metrics by kind; docs/OPERATIONS.md explains them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import extra_attempts
    from lineworks.forwarding import directory, extra_keeper, quota_keeper, registration
    from lineworks.kernel import loop_delay
    from lineworks.platform import store

Gauges = dict[str, dict[str, float]]
"""For each metric, its values by kind."""


def as_floats(counts: Mapping[str, int], prefix: str = "") -> dict[str, float]:
    """Convert counts to values of a metric.

    Args:
        counts: Counts by kind.
        prefix: Text before the name of each kind.

    Returns:
        The values by kind.
    """
    return {f"{prefix}{kind}": float(count) for kind, count in counts.items()}


def store_gauges(client: store.Store, copy: directory.Directory) -> Gauges:
    """Read what the instance knows of the store, and which configuration is in force.

    Args:
        client: Client of the platform's store.
        copy: Copy of the configuration and the targets.

    Returns:
        The metrics.
    """
    return {
        "lineworks_store_calls": dict(client.calls),
        "lineworks_store": {
            "era": float(client.era.value),
            "eras_refused": float(client.era.refused_count),
            "revision": float(copy.position.revision),
        },
        "lineworks_store_reads": as_floats(copy.reads.counts),
        "lineworks_configuration": {"version": float(copy.version), "age_seconds": copy.age},
    }


def entry_gauges(copy: directory.Directory, own: registration.Registration) -> Gauges:
    """Read how many rows of the store and of peers were refused.

    Args:
        copy: Copy of the configuration and the targets.
        own: Registration of the instance, which reads those of others.

    Returns:
        The metrics.
    """
    return {
        "lineworks_entries": {
            "refused": float(copy.refused_rows.total),
            "unusable": float(copy.refused_rows.current),
            "listener_failures": float(copy.listeners.failures),
            "rows_refused": float(copy.listeners.refused.total),
            "node_keys_refused": float(own.refused_count),
        }
    }


def attempt_gauges(
    extra: extra_attempts.ExtraAttempts, keeper: extra_keeper.ExtraKeeper, now: float
) -> Gauges:
    """Read the allowance of extra attempts.

    Args:
        extra: Local allowance.
        keeper: Shares the allowance of a data hall between its instances.
        now: Current time, in seconds.

    Returns:
        The metrics.
    """
    return {
        "lineworks_extra_attempts": {
            "spent": float(extra.spent),
            "least_left": extra.least_left(now),
            "instances": float(extra.instances.value(now)),
            **as_floats(keeper.counts),
        }
    }


def quota_gauges(quotas: quota_keeper.QuotaKeeper) -> Gauges:
    """Read the decisions on quotas, and the refusals by workspace.

    Args:
        quotas: Decides whether requests are within the quotas of their workspaces.

    Returns:
        The metrics.
    """
    refusals: dict[str, float] = {}
    for (workspace, _), count in quotas.refusals.items():
        refusals[workspace] = refusals.get(workspace, 0.0) + count
    return {
        "lineworks_quotas": {
            **as_floats(quotas.counts),
            **as_floats(quotas.holder.counts, "holder_"),
        },
        "lineworks_quota_refusals": refusals,
    }


def delay_gauges(delay: loop_delay.LoopDelay) -> Gauges:
    """Read how late the event loop runs its timers.

    Args:
        delay: Measures the delay.

    Returns:
        The metrics.
    """
    return {"lineworks_event_loop_delay_seconds": {"last": delay.last, "greatest": delay.peak}}
