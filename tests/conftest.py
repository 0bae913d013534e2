"""Keeps structured logs out of the tests' output, and lets known failures be."""

from __future__ import annotations

import pathlib

import pytest
import structlog

from tests import known_red

pytest_plugins = ["pytester"]


def pytest_configure(config):
    known_red.install(config, pathlib.Path(config.rootpath) / "KNOWN-RED.txt")


@pytest.fixture(autouse=True)
def _quiet_logs():
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    yield
    structlog.reset_defaults()
