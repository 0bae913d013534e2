"""Derives verdicts from targets' responses."""

from __future__ import annotations

from lineworks.decisions import verdict
from lineworks.http1 import client_connection
from lineworks.platform import headers


def reached_target(found: verdict.Verdict) -> bool:
    """Return whether a call reached its target, so that it counts as an attempt there.

    Args:
        found: The verdict on the call.

    Returns:
        False if no connection was available.
    """
    return found.reason not in (verdict.Reason.UNREACHABLE, verdict.Reason.CAPPED)


def classify_response(response: client_connection.Response) -> verdict.Verdict:
    """Determine from a response whether its request ran and succeeded.

    Args:
        response: The complete response of a target.

    Returns:
        OK only for a 2xx status with the target's response stamp and no content encoding. A
        refusal counts as not run, unless its status says the opposite; any other response counts
        as a failed run.
    """
    found = response.headers
    status = response.status
    if 200 <= status < 300 and headers.is_not_run(status, found):
        detail = f"answered {status} and that it did not run"
        return verdict.may_have_run(verdict.Reason.FAILED, detail)
    if headers.is_wrong_instance(status):
        return verdict.not_run(verdict.Reason.LEAVING, "another process has the address")
    if headers.is_not_run(status, found):
        return verdict.not_run(verdict.Reason.OVERLOADED, f"refused with {status}")
    if 200 <= status < 300 and headers.read_stamp(found) and b"content-encoding" not in found:
        return verdict.OK
    return verdict.ran(verdict.Reason.FAILED, f"answered {status}")
