"""Lets the tests that KNOWN-RED.txt lists fail, and prints them.

Each line there is `TEST | CAUSE | ISSUE | COMMAND`. TEST is a test's identity, or the beginning of
several. A line whose tests all pass makes the run fail: what is mended comes off the list.
"""

from __future__ import annotations

import dataclasses
import pathlib
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from collections.abc import Iterable

FIELDS = 4
"""Fields of a line."""


@dataclasses.dataclass(slots=True)
class Entry:
    """One line of the list."""

    line: str
    """The line."""

    test: str
    """Identity of a test, or the beginning of several."""

    ran: int = 0
    """Tests of the line that ran."""

    failed: int = 0
    """Of those, the ones that failed as expected."""


def parse(lines: Iterable[str]) -> list[Entry]:
    """Read the list.

    Args:
        lines: Its lines; empty ones are passed over.

    Returns:
        Its entries.

    Raises:
        ValueError: A line lacks a field.
    """
    entries = []
    for line in lines:
        if not line.strip():
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS or not all(fields):
            raise ValueError(f"KNOWN-RED.txt: not TEST | CAUSE | ISSUE | COMMAND: {line!r}")
        entries.append(Entry(line.strip(), fields[0]))
    return entries


class KnownRed:
    """Follows the listed tests through one run."""

    def __init__(self, entries: list[Entry]) -> None:
        """Start before any test ran.

        Args:
            entries: The list.
        """
        self._entries = entries

    def _entry_of(self, nodeid: str) -> Entry | None:
        return next((one for one in self._entries if nodeid.startswith(one.test)), None)

    def pytest_collection_modifyitems(self, items: list[pytest.Item]) -> None:
        """Expect the listed tests to fail."""
        for item in items:
            if self._entry_of(item.nodeid) is not None:
                item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))

    def pytest_runtest_logreport(self, report: pytest.TestReport) -> None:
        """Count how listed tests ended."""
        entry = self._entry_of(report.nodeid)
        if entry is not None and report.when == "call":
            entry.ran += 1
            entry.failed += report.skipped

    def pytest_sessionfinish(self, session: pytest.Session) -> None:
        """Fail the run when a line is out of date."""
        if self._mended():
            session.exitstatus = pytest.ExitCode.TESTS_FAILED

    def pytest_terminal_summary(self, terminalreporter: pytest.TerminalReporter) -> None:
        """Print the list."""
        for entry in self._entries:
            terminalreporter.write_line(f"known red: {entry.line}")
        for entry in self._mended():
            terminalreporter.write_line(f"ERROR: passes, take it off KNOWN-RED.txt: {entry.test}")

    def _mended(self) -> list[Entry]:
        return [entry for entry in self._entries if entry.ran and not entry.failed]


def install(config: pytest.Config, path: pathlib.Path) -> None:
    """Follow the list in a file, if there is one.

    Args:
        config: The run's configuration.
        path: The file.
    """
    if path.exists():
        entries = parse(path.read_text().splitlines())
        config.pluginmanager.register(KnownRed(entries), "known_red")
