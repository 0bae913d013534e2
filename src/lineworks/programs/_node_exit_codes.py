"""Exit codes of `lineworks-node`; 0 is a planned stop."""

from __future__ import annotations

SETTINGS = 2
"""The settings are invalid."""

PORT = 3
"""A port of the settings cannot be opened."""

START = 4
"""The start failed for another reason."""

DEPENDENCIES = 5
"""A module cannot be imported: the build is missing, incomplete, or of another kind of machine."""
