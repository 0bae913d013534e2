"""When the answer to a search must be sent to reach the caller within the route's SLO."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lineworks.decisions import estimators

SLO_MARGIN_SHARE = 0.01
"""Share of the SLO reserved for delays within this process."""

SLO_MARGIN = 0.003
"""Further seconds reserved: one event loop iteration under load, and the merge of the parts."""

LAG_QUANTILE = 0.9
"""Quantile of the observed send lag that is reserved: this share of the answers that wait until
their due time is sent within it."""

DEFAULT_LAG = 0.008
"""Seconds reserved for the send lag until it has been observed often enough."""

MAX_LAG_SHARE = 0.1
"""Largest share of the SLO reserved for the send lag. A process that lags more has other
problems."""

DEFAULT_NETWORK_DELAY = 0.012
"""Seconds that the network is assumed to add for a caller when the operating system does not report
it: two round trips at 3 ms one way, for the connection setup and for the request with its answer.
"""


def answer_lag(lags: estimators.Quantiles) -> float:
    """Estimate how long after its due time an answer is actually sent, in seconds.

    A process with little processor time and many shards needs several times as long as a fast one.
    Without this allowance nearly all searches over 90 shards on small machines missed their SLO,
    and a day without faults scored 0.13 instead of 0.46.

    Args:
        lags: Observed seconds between the due time of an answer and its sending.

    Returns:
        The `LAG_QUANTILE` of the observations, or `DEFAULT_LAG` while there are too few.
    """
    return lags.quantile(LAG_QUANTILE) if lags.has_samples else DEFAULT_LAG


def answer_due(arrived: float, slo: float, network_delay: float | None, lag: float) -> float:
    """Compute when an answer must be sent to reach the caller within the SLO.

    Args:
        arrived: When the first byte of the request was read, in seconds.
        slo: Latency objective in seconds, measured from when the caller starts.
        network_delay: Seconds that the network adds for the caller; None if unknown.
        lag: Seconds after the due time at which answers are actually sent.

    Returns:
        The due time, on the clock of `arrived`.
    """
    delay = DEFAULT_NETWORK_DELAY if network_delay is None else network_delay
    reserved = SLO_MARGIN + SLO_MARGIN_SHARE * slo + min(lag, MAX_LAG_SHARE * slo)
    return arrived + slo - reserved - delay
