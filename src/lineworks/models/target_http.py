"""HTTP interface of targets: sub-query headers, reply headers and the status report.

Described for authors of targets in docs/reference/targets.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.decisions import catalog, replicas, verdict
from lineworks.engine import ports

if TYPE_CHECKING:
    from collections.abc import Mapping

REQUEST = "Lineworks-Request"
"""Identity of the attempt."""

EXCHANGE = "Lineworks-Exchange"
"""In a request, its number on the connection; the reply repeats it."""

SHARD = "Lineworks-Shard"
"""Shard to query."""

SNAPSHOT = "Lineworks-Snapshot"
"""In a request, the snapshot to read; in a reply, the snapshot that was read."""

REMAINING = "Lineworks-Remaining-Ms"
"""Time after which the reply is no longer useful, in milliseconds."""

LOAD = "Lineworks-Load"
"""`busy,queue`: slots in use and requests waiting."""

STATE = "Lineworks-State"
"""`serving`, `cold` or `leaving`."""

HOLDS = "Lineworks-Holds"
"""Snapshots that the target holds, separated by commas."""

INCARNATION = "Lineworks-Incarnation"
"""Identity of the target's process."""

NOT_RUN = "Lineworks-Not-Run"
"""States that the request was not run; the value is the reason: `overloaded`, `leaving`,
`snapshot`, `cancelled` or `deadline`."""

MAX_COUNT = 10**9
"""Greatest number of running or queued requests that a report may state."""

_REASON_BY_REFUSAL = {
    "overloaded": verdict.Reason.OVERLOADED,
    "leaving": verdict.Reason.LEAVING,
    "snapshot": verdict.Reason.SNAPSHOT_GONE,
    "cancelled": verdict.Reason.CANCELLED,
    "deadline": verdict.Reason.DEADLINE,
}


class MalformedReplyError(ValueError):
    """A target's reply does not conform to the interface."""


def request_headers(attempt: ports.Attempt, remaining: float) -> dict[str, str]:
    """Build the headers of a sub-query.

    Args:
        attempt: The attempt.
        remaining: Time left, in seconds.

    Returns:
        Headers by name.
    """
    headers = {
        REQUEST: attempt.id,
        SHARD: attempt.shard,
        REMAINING: str(int(remaining * 1000)),
        "Content-Type": "application/octet-stream",
    }
    if attempt.snapshot is not None:
        headers[SNAPSHOT] = str(attempt.snapshot)
    return headers


def read_outcome(
    status: int,
    headers: Mapping[str, str],
    body: bytes,
    report: replicas.StatusReport | None = None,
) -> ports.Outcome:
    """Interpret a target's reply to a sub-query.

    Args:
        status: HTTP status.
        headers: Reply headers by name, in title case.
        body: Reply body.
        report: The status report that came with the reply, if any.

    Returns:
        The outcome. It is NOT_RUN only if the target states that it did not run the request.
    """
    try:
        snapshot = catalog.parse_snapshot(headers[SNAPSHOT]) if SNAPSHOT in headers else None
    except ValueError as error:
        found = verdict.may_have_run(verdict.Reason.FAILED, str(error))
        return ports.Outcome(found, None, b"", report)
    refusal = headers.get(NOT_RUN)
    if refusal is not None:
        reason = _REASON_BY_REFUSAL.get(refusal, verdict.Reason.OVERLOADED)
        return ports.Outcome(verdict.not_run(reason, "the target refused"), None, b"", report)
    if status == 200:
        return ports.Outcome(verdict.OK, snapshot, body, report)
    found = verdict.ran(verdict.Reason.FAILED, f"the target replied with status {status}")
    return ports.Outcome(found, snapshot, b"", report)


def read_report(headers: Mapping[str, str]) -> replicas.StatusReport | None:
    """Read the status report in the headers of a reply.

    Args:
        headers: Reply headers by name, in title case.

    Returns:
        The report, or None if the reply has none.

    Raises:
        MalformedReplyError: A header is invalid.
    """
    if INCARNATION not in headers:
        return None
    busy, _, queue = headers.get(LOAD, "0,0").partition(",")
    state = headers.get(STATE, "serving")
    try:
        return replicas.StatusReport(
            headers[INCARNATION],
            catalog.parse_snapshots(headers.get(HOLDS, "")),
            _parse_count(busy),
            _parse_count(queue or "0"),
            state == "cold",
            state == "leaving",
        )
    except ValueError as error:
        raise MalformedReplyError(f"report: {error}") from error


def report_headers(report: replicas.StatusReport) -> dict[str, str]:
    """Encode a status report as reply headers, as a target does.

    Args:
        report: The report.

    Returns:
        Headers by name.
    """
    return {
        LOAD: f"{report.busy},{report.queue}",
        STATE: state_name(report),
        HOLDS: ",".join(str(snapshot) for snapshot in sorted(report.holds)),
        INCARNATION: report.incarnation,
    }


def state_name(report: replicas.StatusReport) -> str:
    """Return the name of the state in a report.

    Args:
        report: The report.

    Returns:
        `leaving`, `cold` or `serving`.
    """
    if report.is_leaving:
        return "leaving"
    return "cold" if report.is_cold else "serving"


def parse_report(document: Any) -> replicas.StatusReport:
    """Decode the body of `GET /v1/report`.

    Args:
        document: The parsed JSON.

    Returns:
        The report.

    Raises:
        MalformedReplyError: A key is missing or invalid.
    """
    try:
        return replicas.StatusReport(
            str(document["incarnation"]),
            frozenset(catalog.parse_snapshot(str(text)) for text in document["holds"]),
            _parse_count(document["busy"]),
            _parse_count(document["queue"]),
            document["state"] == "cold",
            document["state"] == "leaving",
        )
    except (KeyError, OverflowError, TypeError, ValueError) as error:
        raise MalformedReplyError(f"report: {error}") from error


def _parse_count(value: Any) -> int:
    count = int(value)
    if not 0 <= count <= MAX_COUNT:
        raise ValueError(f"{str(value)[:80]} is no number of requests")
    return count
