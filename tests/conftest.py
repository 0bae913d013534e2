"""Keeps structured logs out of the tests' output."""

from __future__ import annotations

import pytest
import structlog


@pytest.fixture(autouse=True)
def _quiet_logs():
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    yield
    structlog.reset_defaults()
