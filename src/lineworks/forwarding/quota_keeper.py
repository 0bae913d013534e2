"""Asks whether a request is within the quota of its workspace."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.decisions import verdict, workspaces


def _keep() -> None:
    """Give nothing back."""


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a request may be sent to targets."""

    refusal: verdict.Verdict | None = None
    """Why not; None where it may."""

    retry_after: float = 0.0
    """Seconds after which its caller may ask again, where it may not."""

    give_back: Callable[[], None] = _keep
    """Gives its place to another request, where it was admitted and certainly did not run."""


class QuotaKeeper:
    """Admits requests by the quotas of their workspaces."""

    def admit(
        self, workspace: workspaces.Workspace, on_end: Callable[[Admission], None]
    ) -> Callable[[], None] | None:
        """Ask for a request's place.

        Args:
            workspace: Whose request it is.
            on_end: Takes the answer, once; it may be called before this function returns.

        Returns:
            A function that withdraws the question, because the caller has gone; None when the
            answer is known already.
        """
        on_end(Admission())
        return None
