"""Decoder for the settings file that the platform writes for each process.

The file is JSON if it was written from this project's template, otherwise YAML. The YAML parser is
imported only for a file that is not JSON, because the import takes a twentieth of a process's start
time.
"""

from __future__ import annotations

import dataclasses
import json
import math
import os
from collections.abc import Callable, Mapping
from typing import Any

from lineworks.decisions import access, cold_targets, extra_attempts, gather_rate, quota
from lineworks.models import addresses, node_settings
from lineworks.platform import _fields, settings_file

VARIABLE = "LINEWORKS_SETTINGS"
"""Environment variable with the path of the settings file."""

PEER_PORT = 0
"""Offset, in the machine's range of free ports, of the port for connections between instances."""

METRICS_PORT = 1
"""Offset, in the same range, of the port that serves metrics."""

MAX_DIGITS = 100
"""Maximum number of digits of an integer; the interpreter refuses those of thousands."""

_INVALID_NUMBER = math.nan
"""Read in place of a value that does not exist: every field refuses it, and the error names it."""

_CHECKED_SCALARS = ("bool", "int", "float", "timestamp")
"""Kinds of YAML scalars that may have the form of a value without being one."""

_MEGABIT = 1_000_000
"""Bits in a megabit."""

_MEGABYTE = 1_000_000
"""Bytes in a megabyte."""


SettingsError = settings_file.SettingsError
NoSettingsFileError = settings_file.NoSettingsFileError


@dataclasses.dataclass(frozen=True, slots=True)
class Reading:
    """What one read of the settings file gave."""

    settings: node_settings.NodeSettings
    """The settings."""

    is_whole: bool
    """Whether the text itself shows that it is whole. The beginning of a YAML document may be
    another valid document, so that only later reads with an equal `content` can show it."""

    content: settings_file.Content
    """What was read."""


def load(environment: Mapping[str, str] | None = None) -> node_settings.NodeSettings:
    """Read the settings file that the environment names, once.

    Args:
        environment: Environment variables; those of the process by default.

    Returns:
        The settings.

    Raises:
        SettingsError: See `read`.
    """
    return read(environment).settings


def read(environment: Mapping[str, str] | None = None) -> Reading:
    """Read the settings file that the environment names, once.

    Args:
        environment: Environment variables; those of the process by default.

    Returns:
        The settings, and whether they are whole.

    Raises:
        NoSettingsFileError: The variable is not set, or names no regular file.
        SettingsError: The file cannot be read, was changed meanwhile, is not ended, or a field is
            missing or invalid.
    """
    path = (os.environ if environment is None else environment).get(VARIABLE)
    if not path:
        raise NoSettingsFileError(f"{VARIABLE}: not set")
    content = settings_file.read(path)
    settings, is_json = _parse(content.text)
    if not is_json and not content.text.endswith("\n"):
        raise SettingsError("(document): the last line is not ended")
    return Reading(settings, is_json, content)


def parse(text: str) -> node_settings.NodeSettings:
    """Parse settings.

    Args:
        text: Content of the settings file.

    Returns:
        The settings.

    Raises:
        SettingsError: A field is missing or invalid, or the text is neither JSON nor YAML.
    """
    return _parse(text)[0]


def _parse(text: str) -> tuple[node_settings.NodeSettings, bool]:
    """Parse settings, and tell whether they are JSON."""
    document, is_json = _read_document(text)
    try:
        return _decode(_fields.Fields(document)), is_json
    except _fields.DocumentError as error:
        raise SettingsError(str(error)) from error


def _read_document(text: str) -> tuple[Any, bool]:
    """Read a document, and tell whether it is JSON."""
    try:
        return json.loads(text, parse_int=_parse_integer), True
    except RecursionError as error:
        raise SettingsError("(document): nested too deeply") from error
    except ValueError:
        return _read_yaml(text), False


def _parse_integer(digits: str) -> int | float:
    """Parse an integer, or one of too many digits as a number that every field refuses."""
    return int(digits) if len(digits) <= MAX_DIGITS else _INVALID_NUMBER


def _read_yaml(text: str) -> Any:
    import yaml

    class Loader(getattr(yaml, "CSafeLoader", yaml.SafeLoader)):  # type: ignore[misc]
        """Reads scalars that have no value, such as a date of month 13, as `_INVALID_NUMBER`."""

    for kind in _CHECKED_SCALARS:
        tag = f"tag:yaml.org,2002:{kind}"
        Loader.add_constructor(tag, _scalar_constructor(Loader.yaml_constructors[tag]))
    try:
        return yaml.load(text, Loader)
    except yaml.YAMLError as error:
        raise SettingsError(f"(document): {str(error).splitlines()[0]}") from error
    except RecursionError as error:
        raise SettingsError("(document): nested too deeply") from error


def _scalar_constructor(construct: Callable[[Any, Any], Any]) -> Callable[[Any, Any], Any]:
    """Wrap a constructor of YAML scalars so that the field of an invalid one is named later."""

    def construct_valid(loader: Any, node: Any) -> Any:
        try:
            return construct(loader, node)
        except (ValueError, LookupError):
            return _INVALID_NUMBER

    return construct_valid


def _decode(document: _fields.Fields) -> node_settings.NodeSettings:
    host = document.text("Ip")
    listen = document.table("ListenAddrs")
    ports = document.items("PortRange")
    if len(ports) != 2 or not all(addresses.is_port(port) for port in ports):
        raise _fields.DocumentError("PortRange: expected the first and the last port")
    if ports[0] + METRICS_PORT > ports[1]:
        raise _fields.DocumentError("PortRange: expected at least two ports")
    bounds = document.table("TimingBounds")
    allowance = extra_attempts.Allowance(
        bounds.number("RetryRatio", 0.0),
        bounds.number("RetrySlack", 0.0),
        bounds.number("RetryWindowS", 10.0, minimum=0.1),
    )
    cold_bound = cold_targets.ColdBound(
        bounds.number("WarmupExcess", 1.0), bounds.number("WarmupSlack", 0.0)
    )
    hall = document.text("Zone")
    halls = document.table("Zones")
    regions = {name: halls.text(name) for name in halls.names}
    return node_settings.NodeSettings(
        name=document.text("NodeName"),
        hall=hall,
        region=document.text("Region"),
        regions={hall: document.text("Region"), **regions},
        callers=node_settings.Address(*listen.address("Front")),
        readiness=node_settings.Address(*listen.address("Ready")),
        peers=node_settings.Address(host, ports[0] + PEER_PORT),
        metrics=node_settings.Address(host, ports[0] + METRICS_PORT),
        store=node_settings.Address(*document.table("platform").address("Address")),
        allowance=allowance,
        cold_bound=cold_bound,
        quota_bound=_quota_bound(bounds),
        revocation=_revocation(bounds),
        stop_seconds=bounds.number("GraceS", 6.0, minimum=1.0),
        gather_rate=_gather_rate(document.table("Limits"))
        if "Limits" in document
        else gather_rate.UNKNOWN,
        memory_bytes=_memory_bytes(document.table("Limits")) if "Limits" in document else 0,
        max_descriptors=_max_descriptors(document.table("Limits")) if "Limits" in document else 0,
    )


def _memory_bytes(limits: _fields.Fields) -> int:
    return int(limits.number("MemoryMb", 0.0) * _MEGABYTE)


def _max_descriptors(limits: _fields.Fields) -> int:
    return int(limits.number("MaxFds", 0.0))


def _quota_bound(bounds: _fields.Fields) -> quota.QuotaBound:
    defaults = quota.QuotaBound()
    return quota.QuotaBound(
        bounds.number("QuotaWindowS", defaults.window, minimum=0.1),
        bounds.number("QuotaExcess", defaults.excess),
        bounds.number("QuotaSlack", defaults.slack),
    )


def _revocation(bounds: _fields.Fields) -> access.RevocationPolicy:
    defaults = access.RevocationPolicy()
    return access.RevocationPolicy(
        bounds.flag("StrictRevoke", defaults.is_strict),
        bounds.number("RevokeMs", defaults.seconds * 1000) / 1000,
    )


def _gather_rate(limits: _fields.Fields) -> float:
    """Estimate how many shards per second the instance can query.

    The process gets a share (`CpuShare`) of one core that runs `CpuCores` times as fast as a usual
    one, so its capacity in usual cores is the product of both.
    """
    processor = limits.number("CpuShare", 0.0) * limits.number("CpuCores", 0.0)
    return gather_rate.rate(processor, limits.number("LinkMbps", 0.0) * _MEGABIT)
