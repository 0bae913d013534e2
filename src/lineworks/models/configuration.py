"""Models of the configuration of `lineworks-entry`: services, selectors and caller classes.

A configuration is a set of items, each under a key such as `service/score-01`. A change puts or
deletes items. This module validates items and builds the catalog that the decision logic uses.
"""

from __future__ import annotations

import itertools
import json
from typing import Annotated, Any

import pydantic

from lineworks.decisions import catalog, changes, selectors
from lineworks.models import _base

Labels = dict[_base.Name, str]
"""Label values by name."""


class ConfigurationError(Exception):
    """A configuration is invalid; the message names the path."""


class TargetItem(_base.Model):
    """A replica of a service."""

    name: _base.Name
    """Unique name of the target."""

    hall: _base.Name
    """Data hall of the target."""

    host: str = "127.0.0.1"
    """IP address."""

    port: int = pydantic.Field(ge=1, le=65535)
    """TCP port."""

    slots: int = pydantic.Field(default=2, ge=1, le=1000)
    """Maximum number of requests that the target processes at once."""

    connections: int = pydantic.Field(default=25, ge=1, le=10000)
    """Maximum number of connections that the target accepts at once."""

    leaving: bool = False
    """Whether the target is being removed and must get no new work."""


class ServiceItem(_base.Model):
    """A service: replicas that hold the same shards."""

    labels: Labels = {}
    """Labels by which selectors choose services."""

    layouts: dict[_base.Name, list[_base.Name]]
    """Shard names by layout; the layout `base` is required."""

    targets: list[TargetItem]
    """The replicas."""

    @pydantic.field_validator("layouts")
    @classmethod
    def _validate_layouts(cls, value: dict[str, list[str]]) -> dict[str, list[str]]:
        if catalog.BASE_LAYOUT not in value:
            raise ValueError("the layout 'base' is missing")
        for layout, shards in value.items():
            if not shards:
                raise ValueError(f"the layout {layout!r} has no shards")
            if len(set(shards)) != len(shards):
                raise ValueError(f"the layout {layout!r} names a shard twice")
        return value


class PolicyItem(_base.Model):
    """Guarantees and budgets for the queries of a selector."""

    min_coverage: float = pydantic.Field(default=1.0, ge=0.0, le=1.0)
    """Share of shards, from 0 to 1, below which an answer is refused."""

    allows_partial: bool = False
    """Whether answers may lack shards."""

    target_latency_ms: float = pydantic.Field(default=500.0, gt=0, le=60000)
    """Latency objective, in milliseconds."""

    hedge_budget: float = pydantic.Field(default=0.02, ge=0.0, le=0.5)
    """Maximum number of hedges, as a share of sub-queries."""

    retry_budget: float = pydantic.Field(default=0.1, ge=0.0, le=1.0)
    """Maximum number of retries, as a share of sub-queries."""


class SelectorItem(_base.Model):
    """Selects the queries that a group of services serves, and how."""

    match: Labels = {}
    """Required values of query fields, which include `class` and `workspace`."""

    group: Labels = pydantic.Field(min_length=1)
    """Labels that the services of the group have."""

    policy: PolicyItem = PolicyItem()
    """Guarantees and budgets for its queries."""


class ClassItem(_base.Model):
    """A caller class."""

    weight: float = pydantic.Field(default=1.0, gt=0, le=1000)
    """Share of the admission queue relative to other classes."""


_MANIFEST = pydantic.TypeAdapter(dict[str, str])

_MODELS_BY_KIND: dict[str, type[_base.Model]] = {
    "service": ServiceItem,
    "selector": SelectorItem,
    "class": ClassItem,
}


Version = Annotated[int, pydantic.Field(ge=0, le=2**63 - 1)]
"""A version number, within the range of the frames that carry it."""


class ChangeDocument(_base.Model):
    """An accepted change as stored; see `changes.Change` for the fields."""

    id: str
    version: Version
    previous: str
    digest: str
    author: str
    puts: dict[str, str]
    deletes: tuple[str, ...]


class HeadDocument(_base.Model):
    """The newest version as stored; see `changes.Head` for the fields."""

    version: Version
    digest: str
    manifest: str
    changes: tuple[ChangeDocument, ...]


class Transfer(_base.Model):
    """Configuration that an instance sends a peer."""

    head: HeadDocument
    """The version that the items lead to."""

    is_whole: bool
    """Whether these are all items; otherwise those that the peer lacks."""

    items: dict[str, str]
    """Items as JSON, by key."""


class ConfigurationFile(_base.Model):
    """Input of `lineworks-ctl apply`: items by kind and name; null deletes an item."""

    services: dict[_base.Name, ServiceItem | None] = {}
    """Services to put or delete."""

    selectors: dict[_base.Name, SelectorItem | None] = {}
    """Selectors to put or delete."""

    classes: dict[_base.Name, ClassItem | None] = {}
    """Caller classes to put or delete."""

    def items(self) -> dict[str, str | None]:
        """Return the items by key.

        Returns:
            The item as canonical JSON for each key, or None if the item is to be deleted.
        """
        kinds = (("service", self.services), ("selector", self.selectors), ("class", self.classes))
        found: dict[str, str | None] = {}
        for kind, items in kinds:
            for name, item in items.items():
                found[f"{kind}/{name}"] = None if item is None else canonical(item.model_dump())
        return found


def canonical(value: Any) -> str:
    """Encode a value as canonical JSON, which is the same for equal values.

    Args:
        value: A value that can be serialised as JSON.

    Returns:
        JSON with sorted keys and no spaces.
    """
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=False)


def parse_file(text: str | bytes) -> ConfigurationFile:
    """Parse and validate a configuration file.

    Args:
        text: The file's content, as JSON.

    Returns:
        The validated file.

    Raises:
        ConfigurationError: The file is not JSON or is invalid.
    """
    try:
        return ConfigurationFile.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise ConfigurationError(_base.first_problem(error)) from error


def to_head(document: HeadDocument) -> changes.Head:
    """Convert a validated head to the type that the decisions use."""
    kept = tuple(changes.Change(**dict(change)) for change in document.changes)
    return changes.Head(document.version, document.digest, document.manifest, kept)


def parse_head(text: str | bytes) -> changes.Head:
    """Parse and validate a head.

    Args:
        text: The head as JSON.

    Returns:
        The head.

    Raises:
        ConfigurationError: The text is not a valid head.
    """
    try:
        return to_head(HeadDocument.model_validate_json(text))
    except pydantic.ValidationError as error:
        raise ConfigurationError(f"damaged head: {_base.first_problem(error)}") from error


def parse_manifest(text: str) -> dict[str, str]:
    """Parse and validate a manifest.

    Args:
        text: The manifest as JSON.

    Returns:
        Content digests by key.

    Raises:
        ConfigurationError: The text is not a valid manifest.
    """
    try:
        return _MANIFEST.validate_json(text, strict=True)
    except pydantic.ValidationError as error:
        raise ConfigurationError(f"damaged manifest: {_base.first_problem(error)}") from error


def parse_transfer(text: bytes) -> Transfer:
    """Parse and validate a configuration that a peer sent.

    Args:
        text: The transfer as JSON.

    Returns:
        The transfer.

    Raises:
        ConfigurationError: The text is not a valid transfer.
    """
    try:
        return Transfer.model_validate_json(text)
    except pydantic.ValidationError as error:
        raise ConfigurationError(f"damaged transfer: {_base.first_problem(error)}") from error


def build(items: dict[str, str], version: int, digest: str) -> catalog.Catalog:
    """Build the catalog of a complete configuration and check the rules that span items.

    Args:
        items: All items as JSON, by key.
        version: Number of the last change.
        digest: Digest over the chain of changes.

    Returns:
        The catalog.

    Raises:
        ConfigurationError: An item is invalid, a target or shard name is used twice, or two
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
    _check_unique_names(services)
    _check_ambiguity(found)
    return catalog.Catalog(version, digest, services, found)


def class_weights(items: dict[str, str]) -> dict[str, float]:
    """Return the admission weights.

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
    model = _MODELS_BY_KIND.get(kind)
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


def _check_unique_names(services: dict[str, catalog.Service]) -> None:
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
