"""Settings of an instance, read from a JSON file."""

from __future__ import annotations

import json
import pathlib
from typing import Literal

import pydantic

from lineworks.models import _base, node_settings


class SettingsError(Exception):
    """A settings file cannot be used; the message is one line that names the key."""


class Endpoint(_base.Model):
    """Where to listen."""

    host: str = "127.0.0.1"
    """IP address."""

    port: _base.Port = 0
    """TCP port; 0 lets the system choose."""


class Seed(_base.Model):
    """A peer that is known without the platform."""

    name: _base.Name
    """Name of the instance."""

    hall: _base.Name
    """Its data hall."""

    host: str
    """IP address of its peer endpoint."""

    port: _base.Port
    """TCP port of its peer endpoint."""


class Platform(_base.Model):
    """How to reach the platform."""

    url: str = pydantic.Field(pattern=r"^http://[\w.\-]+(:\d{1,5})?$")
    """Base URL of the store."""

    timeout_ms: int = pydantic.Field(default=2000, ge=10, le=60000)
    """Milliseconds to wait for a reply."""

    @property
    def address(self) -> node_settings.Address:
        """Host and port of the URL; port 80 where it names none."""
        host, _, port = self.url.removeprefix("http://").partition(":")
        return node_settings.Address(host, int(port or "80"))


class Settings(_base.Model):
    """Everything that an instance learns before it starts."""

    name: _base.Name
    """Unique name of the instance."""

    hall: _base.Name
    """Data hall that it stands in."""

    roles: tuple[Literal["front", "gather"], ...] = pydantic.Field(
        default=("front", "gather"), min_length=1
    )
    """What it does."""

    caller: Endpoint = Endpoint()
    """Where callers connect."""

    operator: Endpoint = Endpoint()
    """Where operators and the metrics collector connect."""

    peer: Endpoint = Endpoint()
    """Where other instances connect."""

    platform: Platform
    """The platform."""

    seeds: tuple[Seed, ...] = ()
    """Peers to ask when the platform is down."""

    hall_delay_ms: dict[_base.Name, float] = {}
    """One-way milliseconds from here to other halls; a hall not named counts as 10."""

    secret_file: str | None = None
    """File that holds the secret shared by instances and operators; it is needed."""

    secret: pydantic.SecretStr | None = None
    """The secret itself, where no file is given."""

    max_body_bytes: int = pydantic.Field(default=256 * 1024, ge=1, le=2 * 1024 * 1024)
    """Largest request body taken from a caller."""

    log_level: Literal["debug", "info", "warning", "error"] = "info"
    """Least level that is logged."""

    @pydantic.model_validator(mode="after")
    def _has_one_secret(self) -> Settings:
        if (self.secret is None) == (self.secret_file is None):
            raise ValueError("give exactly one of secret and secret_file")
        return self

    def shared_secret(self) -> bytes:
        """Read the shared secret.

        Returns:
            The secret.

        Raises:
            SettingsError: Its file cannot be read.
        """
        if self.secret is not None:
            return self.secret.get_secret_value().encode()
        try:
            return pathlib.Path(str(self.secret_file)).read_bytes().strip()
        except OSError as error:
            raise SettingsError(f"secret_file: {error.strerror}") from error


def load(path: str) -> Settings:
    """Read and check a settings file.

    Args:
        path: The file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file cannot be read, is not JSON, or breaks a rule.
    """
    try:
        text = pathlib.Path(path).read_text()
        json.loads(text)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: not JSON: {error}") from error
    try:
        # From the text, since strict validation takes lists for tuples only from JSON.
        return Settings.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise SettingsError(_base.first_problem(error)) from error
