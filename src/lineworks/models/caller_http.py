"""HTTP caller interface: request and response bodies of `/v1/search`, `/v1/run`, `/v1/tickets`.

Described in docs/reference/callers.md.
"""

from __future__ import annotations

import base64
import dataclasses
import hashlib
import json
from typing import TYPE_CHECKING, Any

import pydantic

from lineworks.decisions import coverage, deadlines, verdict
from lineworks.models import _base

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lineworks.decisions import catalog
    from lineworks.engine import requests

DEFAULT_DEADLINE_MS = 1000
"""Deadline of requests that specify none, in milliseconds."""

MAX_FIELDS = 32
"""Maximum number of fields in a search."""

CLASS_FIELD = "class"
"""Name of the query field that holds the caller class for selectors."""

WORKSPACE_FIELD = "workspace"
"""Name of the query field that holds the workspace for selectors."""

LEGACY_WORKSPACE_FIELD = "tenant"
"""Former name of the same field. Callers may still send it and selectors may still match it."""

_WORKSPACE_INFO = pydantic.Field(
    default="none",
    validation_alias=pydantic.AliasChoices(WORKSPACE_FIELD, LEGACY_WORKSPACE_FIELD),
)
_DEADLINE_INFO = pydantic.Field(
    default=DEFAULT_DEADLINE_MS, ge=1, le=int(deadlines.MAX_TIMEOUT_SECONDS * 1000)
)


class RequestError(Exception):
    """A caller's request is invalid; the message names the field."""

    def __init__(self, field: str, message: str) -> None:
        """Create an error.

        Args:
            field: Path of the invalid field.
            message: The problem.
        """
        super().__init__(f"{field}: {message}")
        self.field = field


class SearchBody(_base.Model):
    """Body of a search request."""

    fields: dict[_base.Name, str] = pydantic.Field(default={}, max_length=MAX_FIELDS)
    """Fields that selectors match, in addition to class and workspace."""

    body: str = ""
    """Body passed unchanged to every shard."""

    caller_class: _base.Name = pydantic.Field(default="default", alias="class")
    """Caller class."""

    workspace: _base.Name = _WORKSPACE_INFO
    """Customer on whose behalf the caller asks."""

    deadline_ms: int = _DEADLINE_INFO
    """Milliseconds that the caller waits."""

    min_coverage: float | None = pydantic.Field(default=None, ge=0.0, le=1.0, strict=False)
    """Share of shards, from 0 to 1, below which the request is to be refused."""

    def selector_fields(self) -> dict[str, str]:
        """Return the fields that selectors match.

        Returns:
            The search's own fields, class and workspace.
        """
        return {
            **self.fields,
            CLASS_FIELD: self.caller_class,
            WORKSPACE_FIELD: self.workspace,
            LEGACY_WORKSPACE_FIELD: self.workspace,
        }


class RunBody(_base.Model):
    """Body of a single request to one service."""

    service: _base.Name
    """The service."""

    shard: _base.Name | None = None
    """The shard, if the service has several."""

    body: str = ""
    """Body passed unchanged to the target."""

    caller_class: _base.Name = pydantic.Field(default="default", alias="class")
    """Caller class."""

    workspace: _base.Name = _WORKSPACE_INFO
    """Customer on whose behalf the caller asks."""

    deadline_ms: int = _DEADLINE_INFO
    """Milliseconds that the caller waits."""

    unrepeatable: bool = False
    """Whether the request may run at most once."""

    ticket: str | None = pydantic.Field(default=None, max_length=400)
    """Ticket from `/v1/tickets` that lets the caller safely retry the request."""

    def fingerprint(self) -> str:
        """Compute a digest of what the request asks for.

        Returns:
            The digest in hexadecimal; equal for requests that ask for the same thing.
        """
        parts = [self.service, self.shard, self.body, self.workspace]
        return request_digest(parts)


class TicketsBody(_base.Model):
    """Body of a request for tickets."""

    count: int = pydantic.Field(default=1, ge=1, le=100)
    """Number of tickets."""

    lifetime_ms: int = pydantic.Field(default=60_000, ge=1000, le=600_000)
    """Validity of each ticket, in milliseconds."""


def request_digest(parts: Sequence[Any]) -> str:
    """Compute a digest of a list of values.

    Args:
        parts: Values that can be serialised as JSON.

    Returns:
        SHA-256 of their JSON, in hexadecimal.
    """
    return hashlib.sha256(json.dumps(parts).encode()).hexdigest()


def parse(model: type[_base.Model], data: bytes, limit: int) -> Any:
    """Parse and validate a request body.

    Args:
        model: Model of the body.
        data: The body as JSON; an empty body counts as an empty object.
        limit: Maximum size of the body, in bytes.

    Returns:
        An instance of the model.

    Raises:
        RequestError: The body is too large, not JSON, or invalid.
    """
    if len(data) > limit:
        raise RequestError("(body)", f"larger than {limit} bytes")
    try:
        return model.model_validate_json(data or b"{}")
    except pydantic.ValidationError as error:
        problem = _base.first_problem(error)
        field, _, message = problem.partition(": ")
        raise RequestError(field, message) from error


_STATUS_BY_REASON = {
    verdict.Reason.INVALID: 400,
    verdict.Reason.NO_SELECTOR: 404,
    verdict.Reason.NO_SERVICE: 404,
    verdict.Reason.KEY_TAKEN: 409,
    verdict.Reason.TICKET_USED: 409,
    verdict.Reason.TICKET_UNKNOWN: 410,
    verdict.Reason.TICKET_EXPIRED: 410,
    verdict.Reason.ISSUER_GONE: 410,
    verdict.Reason.DEADLINE: 504,
    verdict.Reason.FAILED: 502,
    verdict.Reason.LINK_LOST: 502,
    verdict.Reason.COVERAGE: 502,
}

_DEFAULT_STATUS = 503


def status_of(found: verdict.Verdict) -> int:
    """Return the HTTP status for a verdict.

    Args:
        found: The verdict.

    Returns:
        200 if a request succeeded; otherwise a status by reason, and 503 for all reasons where a
        retry may succeed.
    """
    return 200 if found.is_ok else _STATUS_BY_REASON.get(found.reason, _DEFAULT_STATUS)


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A response to a caller, before it is encoded as HTTP."""

    status: int
    """HTTP status."""

    document: dict[str, Any]
    """The JSON body."""

    retry_after: float | None = None
    """Seconds after which the caller may retry; None to leave it open."""


def answer_reply(answer: requests.Answer, config_age: float) -> Reply:
    """Build the response for the answer of a query.

    Args:
        answer: The answer.
        config_age: Seconds since the configuration was last known to be the newest.

    Returns:
        The response.
    """
    document = {
        "query": answer.query,
        "verdict": _verdict(answer.verdict),
        "snapshot": str(answer.snapshot) if answer.snapshot else None,
        "configuration": {
            "version": answer.config_version,
            "age_ms": round(config_age * 1000),
        },
        "coverage": _coverage(answer.coverage),
        "replies": {shard: _body(data) for shard, data in answer.bodies.items()},
    }
    return _reply(answer.verdict, document, answer.retry_after)


def verdict_reply(found: verdict.Verdict, retry_after: float | None = None) -> Reply:
    """Build the response for a request that never became a query.

    Args:
        found: The verdict.
        retry_after: Seconds after which the caller may retry.

    Returns:
        The response.
    """
    return _reply(found, {"verdict": _verdict(found)}, retry_after)


def problem_reply(status: int, title: str, detail: str, **more: Any) -> Reply:
    """Build a problem response for a request that could not be parsed.

    Args:
        status: HTTP status.
        title: Kind of problem.
        detail: Description of the problem.
        more: Further members of the JSON document.

    Returns:
        The response.
    """
    found = verdict.not_run(verdict.Reason.INVALID, detail)
    document = {
        "type": "about:blank",
        "title": title,
        "status": status,
        "detail": detail,
        "verdict": _verdict(found),
        **more,
    }
    return Reply(status, document)


def _reply(found: verdict.Verdict, document: dict[str, Any], retry_after: float | None) -> Reply:
    status = status_of(found)
    if status != 200:
        problem = {
            "type": "about:blank",
            "title": f"{found.certainty.value}: {found.reason.value}",
            "status": status,
            "detail": found.detail,
        }
        document = {**problem, **document}
    return Reply(status, document, retry_after)


def _verdict(found: verdict.Verdict) -> dict[str, str]:
    return {
        "certainty": found.certainty.value,
        "reason": found.reason.value,
        "detail": found.detail,
    }


def _coverage(reached: coverage.Coverage) -> dict[str, Any]:
    return {
        "share": round(reached.share, 6),
        "covered": list(reached.covered),
        "lacking": {shard: _verdict(found) for shard, found in reached.lacking.items()},
    }


def _body(data: bytes) -> str | dict[str, str]:
    try:
        return data.decode()
    except UnicodeDecodeError:
        return {"base64": base64.b64encode(data).decode()}


def describe_match(
    matched: str | None, considered: Sequence[str], group: catalog.Group
) -> dict[str, Any]:
    """Describe how a query would be routed.

    Args:
        matched: Name of the selector that serves the query, or None.
        considered: Names of all matching selectors.
        group: Group of services that the query reaches.

    Returns:
        A JSON document.
    """
    return {
        "selector": matched,
        "considered": list(considered),
        "group": group.name,
        "services": {
            service.name: {
                "layouts": {layout: list(shards) for layout, shards in service.layouts.items()},
                "replicas": [
                    {"target": t.name, "hall": t.hall, "leaving": t.is_leaving}
                    for t in service.targets
                ],
            }
            for service in group.services
        },
    }
