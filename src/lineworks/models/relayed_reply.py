"""Model of a response that an instance relays for another one."""

from __future__ import annotations

import json
from typing import Any

import pydantic

from lineworks.models import _base, caller_http

MAX_RETRY_AFTER = 86_400.0
"""Longest delay after which a caller may be told to retry, in seconds."""


class RelayedReplyError(Exception):
    """The data is not a relayed response."""


class _Document(_base.Model):
    status: int = pydantic.Field(ge=200, le=599)
    document: dict[str, Any]
    retry_after: float | None = pydantic.Field(ge=0.0, le=MAX_RETRY_AFTER)


def encode(reply: caller_http.Reply) -> bytes:
    """Encode a response.

    Args:
        reply: The response.

    Returns:
        Status, document and retry delay as a list in JSON.
    """
    return json.dumps([reply.status, reply.document, reply.retry_after]).encode()


def decode(data: bytes) -> caller_http.Reply:
    """Decode a response.

    Args:
        data: Output of `encode`.

    Returns:
        The response.

    Raises:
        RelayedReplyError: The data is no such list, or its document could not be sent to a caller.
    """
    try:
        status, document, retry_after = json.loads(data)
        found = _Document(status=status, document=document, retry_after=retry_after)
        json.dumps(document, ensure_ascii=False).encode()
    except (ValueError, TypeError, RecursionError) as error:
        raise RelayedReplyError(type(error).__name__) from error
    return caller_http.Reply(found.status, found.document, found.retry_after)
