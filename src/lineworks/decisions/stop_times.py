"""When a planned stop does what, from the signal to the end of the process.

The platform ends a process a fixed time after the signal to stop. Callers come until the balancer
has let go, and after that on connections that they kept; what is under way is finished as long as
there is time, and answered with what is known when there is none.
"""

from __future__ import annotations

import dataclasses

DEREGISTRATION_SECONDS = 3.2
"""Seconds after the signal in which new connections may still come: the balancer asks once a second
and lets go after two misses."""

MOST_HAND_OVER_SHARE = 0.5
"""Share of the time to stop that this takes at most."""

ANSWER_MARGIN = 0.4
"""Seconds before the platform ends the process at which what is under way is answered: what a
process needs to write its answers while timers fire late and its processor time is used up (which
comes back within a tenth of a second)."""

END_MARGIN = 0.2
"""Seconds before the platform ends the process at which it ends in any case: until then answers
leave, and callers that had just connected are told to go elsewhere."""

MIN_IDLE_SECONDS = 1.2
"""Seconds without a request after which a stop closes a connection: a caller's first packet that is
lost comes again after one second (RFC 6298), and takes its way."""


@dataclasses.dataclass(frozen=True, slots=True)
class StopTimes:
    """The moments of a planned stop, in seconds on the steady clock."""

    deregistered_by: float
    """Until when new connections may still come."""

    answer_by: float
    """When what is still under way is answered with what is known."""

    end_by: float
    """When the process ends, whatever is left."""


def plan(now: float, grace: float) -> StopTimes:
    """Plan a stop.

    Args:
        now: When the signal came, in seconds.
        grace: Seconds after it at which the platform ends the process.

    Returns:
        The moments.
    """
    return StopTimes(
        deregistered_by=now + min(DEREGISTRATION_SECONDS, MOST_HAND_OVER_SHARE * grace),
        answer_by=now + grace - ANSWER_MARGIN,
        end_by=now + grace - END_MARGIN,
    )
