"""Base class and field types of the models of external data."""

from __future__ import annotations

from typing import Annotated

import pydantic

Name = Annotated[str, pydantic.Field(min_length=1, max_length=100, pattern=r"^[\w.\-/:]+$")]
"""A name of a service, shard, target, selector, instance or hall."""

Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
"""A TCP port; 0 lets the operating system choose one."""


class Model(pydantic.BaseModel):
    """Base model: immutable, rejects unknown keys and does not convert between types."""

    model_config = pydantic.ConfigDict(extra="forbid", strict=True, frozen=True)


def first_problem(error: pydantic.ValidationError) -> str:
    """Format the first problem of a validation error as one line.

    Args:
        error: The validation error.

    Returns:
        The path of the key, the problem, and the number of further problems if there are any.
    """
    problems = error.errors(include_url=False, include_input=False)
    first = problems[0]
    path = ".".join(str(part) for part in first["loc"]) or "(document)"
    more = f" (and {len(problems) - 1} more)" if len(problems) > 1 else ""
    return f"{path}: {first['msg']}{more}"
