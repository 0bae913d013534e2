"""Which selector serves a query.

A selector matches a query if every field that it names has the value that it requires. Among the
matching selectors, the one with the most fields is chosen. Two selectors with the same number of
fields that can match the same query are ambiguous; the configuration model rejects them.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from lineworks.decisions import catalog


@dataclasses.dataclass(frozen=True, slots=True)
class Match:
    """Result of a selector lookup, kept for `explain`."""

    selector: catalog.Selector | None
    """The selector that serves the query, or None if none matches."""

    considered: tuple[str, ...]
    """Names of all matching selectors, most specific first."""


def choose(selectors: tuple[catalog.Selector, ...], fields: Mapping[str, str]) -> Match:
    """Choose the selector that serves a query.

    Args:
        selectors: All configured selectors.
        fields: The fields of the query, including caller class and workspace.

    Returns:
        The match; its selector is None if no selector matches.
    """
    items = fields.items()
    matching = [selector for selector in selectors if selector.match.items() <= items]
    matching.sort(key=lambda selector: (-len(selector.match), selector.name))
    names = tuple(selector.name for selector in matching)
    return Match(matching[0] if matching else None, names)


def is_ambiguous(first: Mapping[str, str], second: Mapping[str, str]) -> bool:
    """Return whether two match rules can tie for the same query.

    Args:
        first: One rule.
        second: Another rule.

    Returns:
        True if both name the same number of fields and require the same value for every field that
        they have in common.
    """
    if len(first) != len(second):
        return False
    return all(second.get(name, value) == value for name, value in first.items())
