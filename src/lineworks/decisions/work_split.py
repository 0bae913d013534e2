"""How the shards of one search are divided among the instances of a data hall.

An instance that queries a hundred or more targets spends its processor time on one call after the
other, and sends the last call only when the first answers are already in. Splitting the search lets
several instances of the hall work in parallel. A small search is not split, because each further
piece costs a message round trip and returns as many records as the whole.
"""

from __future__ import annotations

MAX_SHARDS_PER_INSTANCE = 45
"""Shards above which a search is split if other instances can help. A search over 90 or 135 shards
is then split into two or three pieces, and takes as long as one of them."""


def pieces(count: int, helpers: int) -> int:
    """Compute into how many pieces a search is split.

    Args:
        count: Shards to query in the hall.
        helpers: Instances of the hall that could take a piece.

    Returns:
        Number of pieces, at least 1.
    """
    wanted = -(-count // MAX_SHARDS_PER_INSTANCE)
    return max(1, min(wanted, helpers))
