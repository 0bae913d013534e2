"""Helpers for the views that an instance serves to operators.

They are served on the metrics port, which is reachable only from the instances' own network.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from lineworks.http1 import server_connection

if TYPE_CHECKING:
    from collections.abc import Mapping


def path_of(request: server_connection.Request) -> bytes:
    """Return the path of a request, which selects the view.

    Args:
        request: HTTP request.

    Returns:
        The path without the query.
    """
    return request.target.partition(b"?")[0]


def as_json(document: Mapping[str, Any], status: int = 200) -> server_connection.Answer:
    """Build a JSON response.

    Args:
        document: Content of the response.
        status: HTTP status.

    Returns:
        The response.
    """
    fields = [(b"Content-Type", b"application/json")]
    return server_connection.Answer(status, fields, json.dumps(document).encode())
