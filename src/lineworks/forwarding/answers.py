"""What a target's answer, or the lack of one, says of its request."""

from __future__ import annotations

from lineworks.decisions import verdict
from lineworks.http1 import client_connection
from lineworks.platform import headers


def reached_target(found: verdict.Verdict) -> bool:
    """Say whether a call reached its target, and so counts as an attempt there.

    Args:
        found: Verdict of the call.

    Returns:
        False when no connection could be had.
    """
    return found.reason not in (verdict.Reason.UNREACHABLE, verdict.Reason.CAPPED)


def classify_response(response: client_connection.Response) -> verdict.Verdict:
    """Decide what an answer says of its request.

    Args:
        response: A target's whole answer.

    Returns:
        OK only for a success with the target's signature and an unchanged body.
    """
    found = response.headers
    status = response.status
    if headers.is_wrong_instance(status):
        return verdict.not_run(verdict.Reason.LEAVING, "another process has the address")
    if headers.is_not_run(status, found):
        return verdict.not_run(verdict.Reason.OVERLOADED, f"refused with {status}")
    if 200 <= status < 300 and headers.read_stamp(found) and b"content-encoding" not in found:
        return verdict.OK
    return verdict.ran(verdict.Reason.FAILED, f"answered {status}")
