"""Settings of an instance that `lineworks-entry` runs, read from a JSON file."""

from __future__ import annotations

import json
import pathlib
from typing import Annotated, Literal

import pydantic

from lineworks.models import _base, addresses, node_settings

MAX_HALL_DELAY_MS = 60_000.0
"""Longest network delay to another data hall that can be set, in milliseconds."""

HallDelay = Annotated[float, pydantic.Field(ge=0.0, le=MAX_HALL_DELAY_MS)]
"""One-way network delay to another data hall, in milliseconds."""


class SettingsError(Exception):
    """A settings file is invalid; the message is one line that names the key."""


class Endpoint(_base.Model):
    """Address to listen on."""

    host: str = "127.0.0.1"
    """IP address."""

    port: _base.Port = 0
    """TCP port; 0 lets the operating system choose one."""


class Seed(_base.Model):
    """A peer that an instance can contact without the platform's membership list."""

    name: _base.Name
    """Name of the instance."""

    hall: _base.Name
    """Data hall of the instance."""

    host: str
    """IP address of its peer endpoint."""

    port: _base.Port
    """TCP port of its peer endpoint."""


class Platform(_base.Model):
    """Connection settings of the platform's store."""

    url: str = pydantic.Field(pattern=r"^http://[\w.\-]+(:[0-9]{1,5})?$")
    """Base URL of the store."""

    timeout_ms: int = pydantic.Field(default=2000, ge=10, le=60000)
    """Timeout for a reply, in milliseconds."""

    @pydantic.field_validator("url")
    @classmethod
    def _validate_port(cls, value: str) -> str:
        port = value.removeprefix("http://").partition(":")[2]
        if port and not addresses.is_port(int(port)):
            raise ValueError(f"expected a port from 1 to {addresses.MAX_PORT}")
        return value

    @property
    def address(self) -> node_settings.Address:
        """Host and port of the URL; the port is 80 by default."""
        host, _, port = self.url.removeprefix("http://").partition(":")
        return node_settings.Address(host, int(port or "80"))


class Settings(_base.Model):
    """Contents of the settings file."""

    name: _base.Name
    """Unique name of the instance."""

    hall: _base.Name
    """Data hall of the instance."""

    roles: tuple[Literal["front", "gather"], ...] = pydantic.Field(
        default=("front", "gather"), min_length=1
    )
    """Roles of the instance: accepting searches, gathering sub-queries, or both."""

    caller: Endpoint = Endpoint()
    """Address on which callers connect."""

    operator: Endpoint = Endpoint()
    """Address on which operators and the metrics collector connect."""

    peer: Endpoint = Endpoint()
    """Address on which other instances connect."""

    platform: Platform
    """How to reach the platform."""

    seeds: tuple[Seed, ...] = ()
    """Peers to contact if the platform is down."""

    hall_delay_ms: dict[_base.Name, HallDelay] = {}
    """One-way network delay to other data halls, in milliseconds; 10 for halls not listed."""

    secret_file: str | None = None
    """File with the secret shared by instances and operators; this or `secret` is required."""

    secret: pydantic.SecretStr | None = None
    """The secret itself, if no file is given."""

    max_body_bytes: int = pydantic.Field(default=256 * 1024, ge=1, le=2 * 1024 * 1024)
    """Maximum size of a caller's request body, in bytes."""

    log_level: Literal["debug", "info", "warning", "error"] = "info"
    """Minimum level of log lines."""

    @pydantic.model_validator(mode="after")
    def _validate_secret(self) -> Settings:
        if (self.secret is None) == (self.secret_file is None):
            raise ValueError("give exactly one of secret and secret_file")
        return self

    def shared_secret(self) -> bytes:
        """Read the shared secret.

        Returns:
            The secret.

        Raises:
            SettingsError: The secret's file cannot be read, or is empty.
        """
        if self.secret is not None:
            return self.secret.get_secret_value().encode()
        try:
            secret = pathlib.Path(str(self.secret_file)).read_bytes().strip()
        except OSError as error:
            raise SettingsError(f"secret_file: {error.strerror}") from error
        if not secret:
            raise SettingsError("secret_file: empty")
        return secret


def load(path: str) -> Settings:
    """Read and validate a settings file.

    Args:
        path: Path of the file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file cannot be read, is not JSON, or is invalid.
    """
    try:
        text = pathlib.Path(path).read_text()
        json.loads(text)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (ValueError, RecursionError) as error:
        raise SettingsError(f"{path}: not JSON: {error}") from error
    try:
        # Validated from the text: strict validation accepts lists as tuples only in JSON input.
        return Settings.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise SettingsError(_base.first_problem(error)) from error
