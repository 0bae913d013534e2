"""The configuration that operators write: services, selectors and classes.

A configuration is a set of items, each under a key such as `service/score-01`. A change puts or
deletes items. This module checks items and builds the catalog that the decisions use.
"""

from __future__ import annotations

import itertools
import json
from typing import Any

import pydantic

from lineworks.decisions import catalog, selectors
from lineworks.models import _base

Labels = dict[_base.Name, str]
"""Label names with values."""


class ConfigurationError(Exception):
    """A configuration breaks a rule; the message names the path."""


class TargetItem(_base.Model):
    """A replica of a service."""

    name: _base.Name
    """Unique name."""

    hall: _base.Name
    """Data hall that it stands in."""

    host: str = "127.0.0.1"
    """IP address."""

    port: int = pydantic.Field(ge=1, le=65535)
    """TCP port."""

    slots: int = pydantic.Field(default=2, ge=1, le=1000)
    """Requests that it works on at once."""

    connections: int = pydantic.Field(default=25, ge=1, le=10000)
    """Connections that it accepts at once."""

    leaving: bool = False
    """Whether it is being taken away and must get no new work."""


class ServiceItem(_base.Model):
    """A service: replicas that hold the same shards."""

    labels: Labels = {}
    """Labels that selectors group services by."""

    layouts: dict[_base.Name, list[_base.Name]]
    """Shard names by layout; `base` is needed."""

    targets: list[TargetItem]
    """The replicas."""

    @pydantic.field_validator("layouts")
    @classmethod
    def _has_base(cls, value: dict[str, list[str]]) -> dict[str, list[str]]:
        if catalog.BASE_LAYOUT not in value:
            raise ValueError("the layout 'base' is missing")
        for layout, shards in value.items():
            if not shards:
                raise ValueError(f"the layout {layout!r} has no shards")
            if len(set(shards)) != len(shards):
                raise ValueError(f"the layout {layout!r} names a shard twice")
        return value


class PolicyItem(_base.Model):
    """What a selector promises."""

    min_coverage: float = pydantic.Field(default=1.0, ge=0.0, le=1.0)
    """Share of shards below which an answer is refused."""

    allows_partial: bool = False
    """Whether an answer may lack shards."""

    target_latency_ms: float = pydantic.Field(default=500.0, gt=0, le=60000)
    """Latency that the operators want."""

    hedge_budget: float = pydantic.Field(default=0.02, ge=0.0, le=0.5)
    """Hedges as a share of sub-queries."""

    retry_budget: float = pydantic.Field(default=0.1, ge=0.0, le=1.0)
    """Retries as a share of sub-queries."""


class SelectorItem(_base.Model):
    """Which queries a group serves, and how."""

    match: Labels = {}
    """Query fields with the values that they must have; `class` and `workspace` among them."""

    group: Labels = pydantic.Field(min_length=1)
    """Labels that the group's services carry."""

    policy: PolicyItem = PolicyItem()
    """What its callers are promised."""


class ClassItem(_base.Model):
    """A caller class."""

    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    """Share of the admission queue relative to other classes."""


_KINDS: dict[str, type[_base.Model]] = {
    "service": ServiceItem,
    "selector": SelectorItem,
    "class": ClassItem,
}


class ConfigurationFile(_base.Model):
    """What `lineworks-ctl apply` reads: items by kind and name; null deletes one."""

    services: dict[_base.Name, ServiceItem | None] = {}
    """Services to put or delete."""

    selectors: dict[_base.Name, SelectorItem | None] = {}
    """Selectors to put or delete."""

    classes: dict[_base.Name, ClassItem | None] = {}
    """Caller classes to put or delete."""

    def items(self) -> dict[str, str | None]:
        """List the items by key.

        Returns:
            For each key the item as canonical JSON, or None where it is deleted.
        """
        kinds = (("service", self.services), ("selector", self.selectors), ("class", self.classes))
        found: dict[str, str | None] = {}
        for kind, items in kinds:
            for name, item in items.items():
                found[f"{kind}/{name}"] = None if item is None else canonical(item.model_dump())
        return found


def canonical(value: Any) -> str:
    """Write a value as JSON that is the same for equal values.

    Args:
        value: Anything that JSON can hold.

    Returns:
        JSON with sorted keys and no spaces.
    """
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def parse_file(text: str | bytes) -> ConfigurationFile:
    """Read a configuration file.

    Args:
        text: JSON.

    Returns:
        The checked file.

    Raises:
        ConfigurationError: It is not JSON or breaks a rule.
    """
    try:
        return ConfigurationFile.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise ConfigurationError(_base.first_problem(error)) from error


def build(items: dict[str, str], version: int, digest: str) -> catalog.Catalog:
    """Build the catalog of a whole configuration and check what spans items.

    Args:
        items: All items as JSON, by key.
        version: Number of the last change.
        digest: Digest of the chain of changes.

    Returns:
        The catalog.

    Raises:
        ConfigurationError: An item breaks a rule, a target or shard name is used twice, or two
            selectors are ambiguous.
    """
    parsed = {key: _parse_item(key, text) for key, text in items.items()}
    services = {
        key.partition("/")[2]: _service(key.partition("/")[2], item)
        for key, item in sorted(parsed.items())
        if isinstance(item, ServiceItem)
    }
    found = tuple(
        _selector(key.partition("/")[2], item)
        for key, item in sorted(parsed.items())
        if isinstance(item, SelectorItem)
    )
    _check_names(services)
    _check_ambiguity(found)
    return catalog.Catalog(version, digest, services, found)


def class_weights(items: dict[str, str]) -> dict[str, float]:
    """Read the admission weights.

    Args:
        items: All items as JSON, by key.

    Returns:
        Weights by caller class.
    """
    found = {}
    for key, text in items.items():
        item = _parse_item(key, text)
        if isinstance(item, ClassItem):
            found[key.partition("/")[2]] = item.weight
    return found


def _parse_item(key: str, text: str) -> _base.Model:
    kind, _, name = key.partition("/")
    model = _KINDS.get(kind)
    if model is None or not name:
        raise ConfigurationError(f"{key}: unknown kind of item")
    try:
        return model.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise ConfigurationError(f"{key}: {_base.first_problem(error)}") from error


def _service(name: str, item: ServiceItem) -> catalog.Service:
    targets = tuple(
        catalog.Target(
            target.name,
            name,
            target.hall,
            target.host,
            target.port,
            target.slots,
            target.connections,
            target.leaving,
        )
        for target in item.targets
    )
    layouts = {layout: tuple(shards) for layout, shards in item.layouts.items()}
    return catalog.Service(name, dict(item.labels), layouts, targets)


def _selector(name: str, item: SelectorItem) -> catalog.Selector:
    policy = catalog.Policy(
        item.policy.min_coverage,
        item.policy.allows_partial,
        item.policy.target_latency_ms / 1000,
        item.policy.hedge_budget,
        item.policy.retry_budget,
    )
    return catalog.Selector(name, dict(item.match), dict(item.group), policy)


def _check_names(services: dict[str, catalog.Service]) -> None:
    targets: dict[str, str] = {}
    shards: dict[tuple[str, str], str] = {}
    for name, service in services.items():
        for target in service.targets:
            other = targets.setdefault(target.name, name)
            if other != name or sum(t.name == target.name for t in service.targets) > 1:
                raise ConfigurationError(
                    f"service/{name}: target {target.name!r} is also in service/{other}"
                )
        for layout, names in service.layouts.items():
            for shard in names:
                other = shards.setdefault((layout, shard), name)
                if other != name:
                    raise ConfigurationError(
                        f"service/{name}: shard {shard!r} of layout {layout!r} is also in "
                        f"service/{other}"
                    )


def _check_ambiguity(found: tuple[catalog.Selector, ...]) -> None:
    for first, second in itertools.combinations(found, 2):
        if selectors.is_ambiguous(first.match, second.match):
            raise ConfigurationError(
                f"selector/{second.name}: ambiguous with selector/{first.name}: both name "
                f"{len(first.match)} fields and can match one query"
            )
