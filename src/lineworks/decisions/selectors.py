"""Which selector serves a query.

The rule: a selector matches when every field that it names has the value it names. Of the
selectors that match, the one naming most fields wins. Two selectors that name equally many
fields and can both match one query are ambiguous; the configuration model refuses them.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """The outcome of a selector look-up, kept for `explain`."""

    selector: catalog.Selector | None
    """The selector that serves the query, or None."""

    considered: tuple[str, ...]
    """Names of all selectors that match, most specific first."""


def choose(selectors: tuple[catalog.Selector, ...], fields: Mapping[str, str]) -> Match:
    """Find the selector that serves a query.

    Args:
        selectors: All selectors in force.
        fields: The query's fields, caller class and workspace among them.

    Returns:
        The match; its selector is None when no selector applies.
    """
    items = fields.items()
    matching = [selector for selector in selectors if selector.match.items() <= items]
    matching.sort(key=lambda selector: (-len(selector.match), selector.name))
    names = tuple(selector.name for selector in matching)
    return Match(matching[0] if matching else None, names)


def is_ambiguous(first: Mapping[str, str], second: Mapping[str, str]) -> bool:
    """Say whether two match rules can tie on one query.

    Args:
        first: One rule.
        second: Another rule.

    Returns:
        True when both name equally many fields and agree on every field that both name.
    """
    if len(first) != len(second):
        return False
    return all(second.get(name, value) == value for name, value in first.items())
