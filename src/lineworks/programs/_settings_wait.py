"""Waits for settings that are whole: a file may be read while it is being written.

A start waits before it opens any port, so that no caller is held up; a reload waits by timers of
the reactor.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from lineworks.platform import settings as platform_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from lineworks.models import node_settings

SETTINGS_WAIT_SECONDS = 5.0
"""Maximum time in seconds from the first read to the last."""

RETRY_SECONDS = 0.05
"""Interval in seconds between two reads. A file whose form doesn't show that it is whole must be
the same over two reads."""


class StopRequestedError(Exception):
    """The process was asked to stop while it waited for its settings."""


class SettingsWait:
    """Reads the settings again until they are whole and valid, or until the time is up."""

    def __init__(
        self,
        read: Callable[[], platform_settings.Reading],
        clock: Callable[[], float],
        on_first_refusal: Callable[[str], None],
    ) -> None:
        """Begin to wait.

        Args:
            read: Reads the settings once, as `platform.settings.read`.
            clock: Returns the time in seconds.
            on_first_refusal: Called once with the reason, if the settings can't be used and are
                read again.
        """
        self._read = read
        self._clock = clock
        self._on_first_refusal = on_first_refusal
        self._give_up_at = clock() + SETTINGS_WAIT_SECONDS
        self._previous: Any = None
        self._is_refused = False

    def attempt(self) -> node_settings.NodeSettings | None:
        """Read the settings once.

        Returns:
            The settings; None if they are to be read again after `RETRY_SECONDS`.

        Raises:
            SettingsError: The settings can't be used, and the time is up or waiting is useless.
        """
        is_last = self._clock() >= self._give_up_at
        try:
            reading = self._read()
        except platform_settings.NoSettingsFileError:
            raise
        except platform_settings.SettingsError as error:
            if is_last:
                raise
            self._refuse(str(error))
            return None
        if reading.is_whole or reading.content == self._previous:
            return reading.settings
        if is_last:
            raise platform_settings.SettingsError("(document): still being changed")
        self._previous = reading.content
        return None

    def _refuse(self, reason: str) -> None:
        self._previous = None
        if not self._is_refused:
            self._is_refused = True
            self._on_first_refusal(reason)


def block_until_read(
    wait: SettingsWait, sleep: Callable[[float], None], is_stop_requested: Callable[[], bool]
) -> node_settings.NodeSettings:
    """Block until the settings are whole and valid.

    Args:
        wait: The wait.
        sleep: Blocks for some seconds.
        is_stop_requested: Tells whether the process was asked to stop.

    Returns:
        The settings.

    Raises:
        SettingsError: The settings can't be used, and the time is up or waiting is useless.
        StopRequestedError: The process was asked to stop meanwhile.
    """
    while (settings := wait.attempt()) is None:
        sleep(RETRY_SECONDS)
        if is_stop_requested():
            raise StopRequestedError
    return settings


class SettingsReload:
    """Validates settings that were changed, and logs the result.

    Changes, also to addresses and limits, take effect at the next start only.
    """

    def __init__(
        self, reactor: Any, logs: Any, read: Callable[[], platform_settings.Reading]
    ) -> None:
        """Initialise without reading anything.

        Args:
            reactor: Twisted's reactor.
            logs: The logs of the process.
            read: Reads the settings once, as `platform.settings.read`.
        """
        self._reactor = reactor
        self._logs = logs
        self._read = read
        self._timer: Any = None
        self._wait: Any = None

    def begin(self) -> None:
        """Read the settings; a reload that is still waiting ends without a result."""
        if self._timer is not None:
            self._timer.cancel()
        self._wait = SettingsWait(self._read, self._reactor.seconds, self._log_first_refusal)
        self._attempt()

    def _attempt(self) -> None:
        self._timer = None
        try:
            settings = self._wait.attempt()
        except platform_settings.SettingsError as error:
            self._logs.log_warning("settings_refused", str(error), is_waiting=False)
            return
        if settings is None:
            self._timer = self._reactor.callLater(RETRY_SECONDS, self._attempt)
        else:
            self._logs.log_warning("settings_read", "what changed holds from the next start on")

    def _log_first_refusal(self, reason: str) -> None:
        self._logs.log_warning("settings_refused", reason, is_waiting=True)
