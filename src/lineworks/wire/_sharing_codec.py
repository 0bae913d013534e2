"""Encodes and decodes the frames that share extra attempts and reports on targets."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.decisions import target_evidence
from lineworks.wire import _base, node_frames

if TYPE_CHECKING:
    from collections.abc import Callable

_MILLIONTHS_PER_UNIT = 1_000_000

_MAX_MILLIONTHS = 2**32 - 1

_HUNDREDTHS_PER_UNIT = 100

_MAX_HUNDREDTHS = 2**16 - 1

_KINDS = tuple(target_evidence.Kind)


def _write_ask(builder: Any, frame: node_frames.ExtraAsk, now: float) -> None:
    body = builder.init("extraAsk")
    body.number = frame.number
    body.hedges = list(frame.hedges)
    body.retries = list(frame.retries)


def _read_ask(body: Any, now: float) -> node_frames.ExtraAsk:
    return node_frames.ExtraAsk(body.number, tuple(body.hedges), tuple(body.retries))


def _write_grant(builder: Any, frame: node_frames.ExtraGrant, now: float) -> None:
    body = builder.init("extraGrant")
    body.number = frame.number
    body.services = list(frame.services)


def _read_grant(body: Any, now: float) -> node_frames.ExtraGrant:
    return node_frames.ExtraGrant(body.number, tuple(body.services))


def _write_pull(builder: Any, frame: node_frames.CreditPull, now: float) -> None:
    builder.init("creditPull").number = frame.number


def _read_pull(body: Any, now: float) -> node_frames.CreditPull:
    return node_frames.CreditPull(body.number)


def _write_share(builder: Any, frame: node_frames.CreditShare, now: float) -> None:
    body = builder.init("creditShare")
    body.number = frame.number
    # Rounded down, so that a transfer never creates credit.
    body.amount = min(_MAX_MILLIONTHS, int(frame.amount * _MILLIONTHS_PER_UNIT))


def _read_share(body: Any, now: float) -> node_frames.CreditShare:
    return node_frames.CreditShare(body.number, body.amount / _MILLIONTHS_PER_UNIT)


def _write_reports(builder: Any, frame: node_frames.TargetReports, now: float) -> None:
    body = builder.init("targetReports")
    rows = frame.observations
    body.targets = [row.target for row in rows]
    body.kinds = [int(row.kind) for row in rows]
    body.isBelief = frame.is_belief
    body.factors = [min(_MAX_HUNDREDTHS, int(row.factor * _HUNDREDTHS_PER_UNIT)) for row in rows]


def _read_reports(body: Any, now: float) -> node_frames.TargetReports:
    columns = _base.columns(body.targets, body.kinds, body.factors)
    return node_frames.TargetReports(
        tuple(
            target_evidence.Observation(target, _KINDS[kind], factor / _HUNDREDTHS_PER_UNIT)
            for target, kind, factor in zip(*columns, strict=True)
        ),
        body.isBelief,
    )


ENCODERS: dict[type, Callable[[Any, Any, float], None]] = {
    node_frames.ExtraAsk: _write_ask,
    node_frames.ExtraGrant: _write_grant,
    node_frames.CreditPull: _write_pull,
    node_frames.CreditShare: _write_share,
    node_frames.TargetReports: _write_reports,
}
"""Encoders by message class; each takes the frame's builder, the message and the current time."""

DECODERS: dict[str, Callable[[Any, float], Any]] = {
    "extraAsk": _read_ask,
    "extraGrant": _read_grant,
    "creditPull": _read_pull,
    "creditShare": _read_share,
    "targetReports": _read_reports,
}
"""Decoders by kind of frame; each takes the frame's body and the current time."""
