"""What the views that one instance shows operators share.

They are served beside the metrics, which only the instances' own network reaches.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from lineworks.http1 import server_connection

if TYPE_CHECKING:
    from collections.abc import Mapping


def path_of(request: server_connection.Request) -> bytes:
    """Tell which view a request is for.

    Args:
        request: The request.

    Returns:
        Its path, without the query.
    """
    return request.target.partition(b"?")[0]


def as_json(document: Mapping[str, Any], status: int = 200) -> server_connection.Answer:
    """Answer an operator.

    Args:
        document: What is shown.
        status: Status of the answer.

    Returns:
        The answer.
    """
    fields = [(b"Content-Type", b"application/json")]
    return server_connection.Answer(status, fields, json.dumps(document).encode())
