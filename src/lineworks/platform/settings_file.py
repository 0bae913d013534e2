"""Reads the settings file as one version: what was changed while it was read is refused."""

from __future__ import annotations

import dataclasses
import os
import stat


class SettingsError(Exception):
    """The settings are invalid; the message is one line that names the field."""


class NoSettingsFileError(SettingsError):
    """There is nothing that could become a settings file by being written."""


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """What was read from a file; equal for two reads of a file that wasn't changed in between."""

    text: str
    """The text."""

    version: tuple[int, int, int, int]
    """Device, inode, size and time of the last change of the file."""


def read(path: str) -> Content:
    """Read a file.

    Args:
        path: Path of the file.

    Returns:
        Its content.

    Raises:
        NoSettingsFileError: The path names something other than a regular file.
        SettingsError: The file cannot be read, was changed meanwhile, or is not UTF-8.
    """
    try:
        before = os.stat(path)
        _check_kind(path, before.st_mode)
        with open(path, "rb") as file:
            data = file.read()
            read = os.fstat(file.fileno())
        after = os.stat(path)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    if not _version(before) == _version(read) == _version(after):
        raise SettingsError(f"{path}: changed while it was read")
    try:
        return Content(data.decode(), _version(after))
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8: {error.reason}") from error


def _check_kind(path: str, mode: int) -> None:
    """Refuse a directory, and what would block, such as a pipe."""
    if stat.S_ISDIR(mode):
        raise NoSettingsFileError(f"{path}: is a directory")
    if not stat.S_ISREG(mode):
        raise NoSettingsFileError(f"{path}: not a regular file")


def _version(status: os.stat_result) -> tuple[int, int, int, int]:
    return status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns
