"""When the answer of a search must leave to reach its caller within the aim."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import estimators

AIM_SHARE = 0.01
"""Share of the aim that is kept for what delays an answer in this process."""

AIM_MARGIN = 0.003
"""Seconds that are kept besides: a turn of the event loop under load, and the merge."""

LAG_QUANTILE = 0.9
"""Share of answers at their latest moment that leave within the delay that is kept for it."""

DEFAULT_LAG = 0.008
"""Seconds kept for that delay while too few answers were seen."""

MOST_LAG_SHARE = 0.1
"""Share of the aim that is kept for it at most: a process that is later has other troubles."""

USUAL_CALLER_WAY = 0.012
"""Seconds that a caller is taken to lose on the way where the system does not tell: two round trips
of 3 ms one way, for a new connection and for the request with its answer."""


def answer_lag(lags: estimators.Quantiles) -> float:
    """Tell how long after its latest moment an answer really leaves, in seconds.

    A process with little processor time and many shards needs a multiple of what a fast one does:
    without this nearly all searches over 90 shards on small machines came late, and a quiet day was
    worth 0.13 instead of 0.46.
    """
    return lags.quantile(LAG_QUANTILE) if lags.has_samples else DEFAULT_LAG


def answer_due(arrived: float, slo: float, caller_way: float | None, lag: float) -> float:
    """Tell when an answer must leave to reach its caller within the aim.

    Args:
        arrived: When the request's first byte was read, in seconds.
        aim: Time within which its answer is worth most, from the caller's start, in seconds.
        caller_way: Seconds that the caller loses on the way; None where that is not known.
        lag: Seconds after that moment at which answers really leave.

    Returns:
        A time on the same clock.
    """
    way = USUAL_CALLER_WAY if caller_way is None else caller_way
    kept = AIM_MARGIN + AIM_SHARE * slo + min(lag, MOST_LAG_SHARE * slo)
    return arrived + slo - kept - way
