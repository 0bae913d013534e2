"""How the shards of one search are divided among the instances of a data hall.

An instance that asks a hundred targets of one hall or more spends its processor on one call after
the other, and the last call leaves when the first answers are in. Several instances of the hall
work side by side. A small search stays in one piece: each further piece costs a message there and
back, and as many records.
"""

from __future__ import annotations

MAX_SHARDS_PER_INSTANCE = 45
"""Shards that one instance asks by itself where others could help: the parts of a search over 90 or
135 shards then take as long as a third of it would."""


def pieces(count: int, helpers: int) -> int:
    """Say into how many pieces a search is divided.

    Args:
        count: Shards to be asked in the hall.
        helpers: Instances of the hall that could take a piece.

    Returns:
        Pieces, at least 1.
    """
    wanted = -(-count // MAX_SHARDS_PER_INSTANCE)
    return max(1, min(wanted, helpers))
