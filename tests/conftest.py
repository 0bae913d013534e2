"""Keeps structured logs out of the tests' output, and lets known failures be."""

from __future__ import annotations

import pathlib

import pytest
import structlog

from tests import known_red, property_tests

pytest_plugins = ["pytester"]


# Before the plugin reads its options, so that one of them can choose another profile.
property_tests.install()


def pytest_configure(config):
    known_red.install(config, pathlib.Path(config.rootpath) / "KNOWN-RED.txt")


@pytest.hookimpl(tryfirst=True)
def pytest_runtest_setup(item):
    property_tests.prepare(item)


@pytest.fixture(autouse=True)
def _quiet_logs():
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    yield
    structlog.reset_defaults()
