"""Encodes and decodes the frames by which instances share the quotas of workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.decisions import quota
from lineworks.wire import _base, node_frames

if TYPE_CHECKING:
    from collections.abc import Callable

_MILLIONTHS_PER_UNIT = 1_000_000
"""Number of wire units per token."""

_MAX_MILLIONTHS = 2**32 - 1
"""Largest amount that the 32-bit field can carry, in wire units."""


def _write_ask(builder: Any, frame: node_frames.QuotaAsk, now: float) -> None:
    body = builder.init("quotaAsk")
    body.number = frame.number
    body.workspace = frame.workspace
    body.version = frame.version


def _read_ask(body: Any, now: float) -> node_frames.QuotaAsk:
    return node_frames.QuotaAsk(body.number, body.workspace, body.version)


def _write_grant(builder: Any, frame: node_frames.QuotaGrant, now: float) -> None:
    body = builder.init("quotaGrant")
    body.number = frame.number
    body.decision = int(frame.decision)
    body.retryAfter = min(
        _base.MAX_MICROSECONDS, int(frame.retry_after * _base.MICROSECONDS_PER_SECOND)
    )


def _read_grant(body: Any, now: float) -> node_frames.QuotaGrant:
    decision = quota.Decision(body.decision)
    return node_frames.QuotaGrant(
        body.number, decision, body.retryAfter / _base.MICROSECONDS_PER_SECOND
    )


def _write_return(builder: Any, frame: node_frames.QuotaReturn, now: float) -> None:
    builder.init("quotaReturn").number = frame.number


def _read_return(body: Any, now: float) -> node_frames.QuotaReturn:
    return node_frames.QuotaReturn(body.number)


def _write_pull(builder: Any, frame: node_frames.QuotaPull, now: float) -> None:
    body = builder.init("quotaPull")
    body.number = frame.number
    body.workspace = frame.workspace
    body.amount = _millionths(frame.amount)


def _read_pull(body: Any, now: float) -> node_frames.QuotaPull:
    return node_frames.QuotaPull(body.number, body.workspace, body.amount / _MILLIONTHS_PER_UNIT)


def _write_share(builder: Any, frame: node_frames.QuotaShare, now: float) -> None:
    body = builder.init("quotaShare")
    body.number = frame.number
    body.amount = _millionths(frame.amount)


def _read_share(body: Any, now: float) -> node_frames.QuotaShare:
    return node_frames.QuotaShare(body.number, body.amount / _MILLIONTHS_PER_UNIT)


def _millionths(amount: float) -> int:
    """Convert tokens to wire units, rounding down so that a transfer never creates tokens."""
    return min(_MAX_MILLIONTHS, int(amount * _MILLIONTHS_PER_UNIT))


ENCODERS: dict[type, Callable[[Any, Any, float], None]] = {
    node_frames.QuotaAsk: _write_ask,
    node_frames.QuotaGrant: _write_grant,
    node_frames.QuotaReturn: _write_return,
    node_frames.QuotaPull: _write_pull,
    node_frames.QuotaShare: _write_share,
}
"""Encoders by message class; each takes the frame's builder, the message and the current time."""

DECODERS: dict[str, Callable[[Any, float], Any]] = {
    "quotaAsk": _read_ask,
    "quotaGrant": _read_grant,
    "quotaReturn": _read_return,
    "quotaPull": _read_pull,
    "quotaShare": _read_share,
}
"""Decoders by kind of frame; each takes the frame's body and the current time."""
