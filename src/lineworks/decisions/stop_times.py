"""Timing of a planned stop, from the signal to the exit of the process.

The platform kills a process a fixed time after the stop signal. Callers open new connections until
the load balancer has deregistered the instance, and after that reuse those they kept open. Requests
in progress are completed while there is time; when it runs out, they are answered with what is
known so far.
"""

from __future__ import annotations

import dataclasses

DEREGISTRATION_SECONDS = 3.2
"""Seconds after the signal during which new connections may still arrive: the load balancer checks
health once a second, and deregisters an instance after two failed checks."""

MAX_DEREGISTRATION_SHARE = 0.5
"""Maximum share of the grace period that is reserved for deregistration."""

ANSWER_MARGIN = 0.4
"""Seconds before the platform kills the process at which requests in progress are answered. This is
the time needed to write the answers while timers fire late and the process has used up its
processor quota, which is renewed within a tenth of a second."""

END_MARGIN = 0.2
"""Seconds before the platform kills the process at which it exits in any case. Until then it sends
answers, and tells callers that have just connected to use another instance."""

MIN_IDLE_SECONDS = 1.2
"""Seconds without a request after which a stop closes a connection. A first packet that is lost is
retransmitted after one second (RFC 6298), plus the network delay."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """The deadlines of a planned stop, in seconds on the steady clock."""

    deregistered_by: float
    """When the load balancer no longer sends new connections."""

    answer_by: float
    """When requests still in progress are answered with what is known so far."""

    end_by: float
    """When the process exits, even if requests are left."""


def plan(now: float, grace: float) -> StopTimes:
    """Compute the deadlines of a stop.

    Args:
        now: When the signal was received, in seconds.
        grace: Grace period: seconds after the signal at which the platform kills the process.

    Returns:
        The deadlines.
    """
    return StopTimes(
        deregistered_by=now + min(DEREGISTRATION_SECONDS, MAX_DEREGISTRATION_SHARE * grace),
        answer_by=now + grace - ANSWER_MARGIN,
        end_by=now + grace - END_MARGIN,
    )
