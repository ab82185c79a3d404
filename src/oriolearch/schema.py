"""Validated models of the configuration, and its JSON form."""

import ipaddress
import json
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Any, TypeVar

import pydantic
from pydantic import Field

from oriolearch.core import configuration, model
from oriolearch.core.errors import ValidationError

SECRET_FIELDS = frozenset(('sha256', 'token', 'tokens'))
REDACTED = '(hidden)'
MAX_VERSION = 2**53  # exact in every JSON parser; peer messages carry 64 bits
MAX_PORT = 65535
ModelT = TypeVar('ModelT', bound=pydantic.BaseModel)
Name = Annotated[str, Field(pattern='^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$')]


def _check_address(address: str) -> str:
    host, _, port = address.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if int(port) > MAX_PORT:
        raise ValueError(f'the port is above {MAX_PORT}')
    return address


Address = Annotated[
    str,
    Field(pattern=r'^[0-9A-Fa-f.:\[\]]+:[0-9]{1,5}$'),
    pydantic.AfterValidator(_check_address),
]
Version = Annotated[int, Field(ge=0, le=MAX_VERSION)]
Fraction = Annotated[float, Field(ge=0, le=1)]
PositiveSeconds = Annotated[float, Field(gt=0, le=86400)]


class StrictModel(pydantic.BaseModel):
    """Base of models that forbid unknown fields and are immutable."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class UpstreamModel(StrictModel):
    """An upstream in the configuration."""

    name: Name
    address: Address
    zone: Name
    slots: Annotated[int, Field(ge=1, le=1024)] = 2
    connections: Annotated[int, Field(ge=1, le=65535)] = 110
    weight: Annotated[float, Field(gt=0, le=1000)] = 1.0


class PoolModel(StrictModel):
    """A pool in the configuration."""

    kind: model.PoolKind
    upstreams: tuple[UpstreamModel, ...]
    shard_count: Annotated[int, Field(ge=256, le=4194304)] = 3072
    fencing: model.Fencing = model.Fencing.CHECKED
    mobility: model.Mobility = model.Mobility.MOVABLE
    order_limit_s: PositiveSeconds = 0.5
    timeout_s: PositiveSeconds = 10.0
    hedge_share: Fraction = 0.05
    retry_share: Fraction = 0.1
    queue_limit: Annotated[int, Field(ge=0, le=100000)] = 256

    def to_pool(self, name: str) -> model.Pool:
        """Convert to the type that the routing core uses."""
        fields = {key: getattr(self, key) for key in type(self).model_fields}
        fields['upstreams'] = tuple(
            model.Upstream(**dict(upstream)) for upstream in self.upstreams
        )
        return model.Pool(name=name, **fields)


class KeyModel(StrictModel):
    """The source of a route's key; exactly one field is set."""

    path_segment: Annotated[int, Field(ge=0, le=64)] | None = None
    header: Annotated[str, Field(pattern='^[A-Za-z0-9-]{1,64}$')] | None = None

    @pydantic.model_validator(mode='after')
    def check_one(self) -> 'KeyModel':
        """Reject a source with no field or with both."""
        if (self.path_segment is None) == (self.header is None):
            raise ValueError('give either path_segment or header')
        return self


class RouteModel(StrictModel):
    """A route in the configuration."""

    prefix: Annotated[str, Field(pattern='^/[^?# ]*$', max_length=1024)]
    pool: Name
    hosts: tuple[str, ...] = ()
    methods: tuple[Annotated[str, Field(pattern='^[A-Z]{1,16}$')], ...] = ()
    key: KeyModel | None = None
    request_class: model.RequestClass = model.RequestClass.INTERACTIVE
    idempotent_methods: tuple[str, ...] = ('GET', 'HEAD', 'OPTIONS')
    timeout_s: PositiveSeconds | None = None

    def to_route(self, name: str) -> model.Route:
        """Convert to the type that the routing core uses."""
        fields = {key: getattr(self, key) for key in type(self).model_fields}
        if self.key is not None:
            fields['key'] = model.KeySource(**dict(self.key))
        return model.Route(name=name, **fields)


class DocumentModel(StrictModel):
    """Routes, pools, and the zones and hosts out of service."""

    version: Version = 0
    routes: dict[Name, RouteModel] = Field(default_factory=dict)
    pools: dict[Name, PoolModel] = Field(default_factory=dict)
    zones_out: tuple[Name, ...] = ()
    hosts_out: tuple[Name, ...] = ()

    def to_document(self) -> model.Document:
        """Convert to the type that the routing core uses."""
        return model.Document(
            version=self.version,
            routes=MappingProxyType(
                {name: row.to_route(name) for name, row in self.routes.items()},
            ),
            pools=MappingProxyType(
                {name: row.to_pool(name) for name, row in self.pools.items()},
            ),
            zones_out=frozenset(self.zones_out),
            hosts_out=frozenset(self.hosts_out),
        )


class OperationModel(StrictModel):
    """One operation of an edit."""

    kind: configuration.Kind
    name: Name
    route: RouteModel | None = None
    pool: PoolModel | None = None

    def to_operation(self) -> configuration.Operation:
        """Convert to the type that the routing core uses."""
        entry: model.Route | model.Pool | None = None
        if self.route is not None:
            entry = self.route.to_route(self.name)
        elif self.pool is not None:
            entry = self.pool.to_pool(self.name)
        return configuration.Operation(self.kind, self.name, entry)


class EditModel(StrictModel):
    """The request body of an edit in the administration API."""

    version: Version
    operations: Annotated[
        tuple[OperationModel, ...], Field(min_length=1, max_length=1000)
    ]
    dry_run: bool = False


class CurrentVersionModel(StrictModel):
    """The stored row with the current version."""

    version: Version


class ChangeModel(StrictModel):
    """An accepted edit as it is stored in the history."""

    version: Version
    author: str
    time_s: pydantic.FiniteFloat
    nonce: str
    operations: tuple[OperationModel, ...]

    def to_change(self) -> configuration.Change:
        """Convert to the type that the routing core uses."""
        return configuration.Change(
            self.version,
            self.author,
            self.time_s,
            self.nonce,
            tuple(operation.to_operation() for operation in self.operations),
        )


def _redact(raw: object) -> object:
    """Replace tokens and their digests at any depth."""
    if isinstance(raw, Mapping):
        return {
            name: REDACTED if name in SECRET_FIELDS else _redact(part)
            for name, part in raw.items()
        }
    if isinstance(raw, list):
        return [_redact(part) for part in raw]
    return raw


def _first_error(
    source: str, error: pydantic.ValidationError
) -> ValidationError:
    first = error.errors(include_url=False, include_context=False)[0]
    path = first['loc']
    value = first['input']
    return ValidationError(
        source,
        '.'.join(str(part) for part in path) or '(whole)',
        REDACTED if SECRET_FIELDS.intersection(path) else _redact(value),
        first['msg'],
    )


def parse(kind: type[ModelT], source: str, raw: object) -> ModelT:
    """Validate a value against a model.

    :raises ValidationError: for the first invalid field.
    """
    try:
        return kind.model_validate(raw)
    except pydantic.ValidationError as error:
        # pydantic's error contains the input, which may hold tokens, so it
        # is not chained.
        raise _first_error(source, error) from None


def _to_json(entry: object) -> Any:
    """Convert a dataclass to JSON, without fields that have their default."""
    if isinstance(entry, tuple):
        return [_to_json(part) for part in entry]
    if not hasattr(entry, '__dataclass_fields__'):
        return entry
    return {
        name: _to_json(getattr(entry, name))
        for name, spec in entry.__dataclass_fields__.items()
        if getattr(entry, name) != spec.default
    }


def _entry_json(entry: model.Route | model.Pool) -> dict[str, Any]:
    fields: dict[str, Any] = _to_json(entry)
    fields.pop('name')
    return fields


def document_to_json(document: model.Document) -> dict[str, Any]:
    """Return a document as a JSON object for :class:`DocumentModel`."""
    return {
        'version': document.version,
        'routes': {
            name: _entry_json(route) for name, route in document.routes.items()
        },
        'pools': {
            name: _entry_json(pool) for name, pool in document.pools.items()
        },
        'zones_out': sorted(document.zones_out),
        'hosts_out': sorted(document.hosts_out),
    }


def change_to_json(change: configuration.Change) -> dict[str, Any]:
    """Return a change as a JSON object for :class:`ChangeModel`."""
    return {
        'version': change.version,
        'author': change.author,
        'time_s': change.time_s,
        'nonce': change.nonce,
        'operations': [
            operation_to_json(operation) for operation in change.operations
        ],
    }


def operation_to_json(operation: configuration.Operation) -> dict[str, Any]:
    """Return an operation as a JSON object for :class:`OperationModel`."""
    fields: dict[str, Any] = {
        'kind': operation.kind.value,
        'name': operation.name,
    }
    if isinstance(operation.entry, model.Route):
        fields['route'] = _entry_json(operation.entry)
    elif isinstance(operation.entry, model.Pool):
        fields['pool'] = _entry_json(operation.entry)
    return fields


def read_document(
    source: str, raw: str | bytes | Mapping[str, Any]
) -> model.Document:
    """Read a document from JSON text or an already parsed object.

    :raises ValidationError: if it is invalid; names the field and value.
    """
    if isinstance(raw, Mapping):
        return parse(DocumentModel, source, raw).to_document()
    try:
        fields = json.loads(raw)
    except (ValueError, RecursionError) as error:
        raise ValidationError(
            source,
            '(whole)',
            raw[:80],
            str(error),
        ) from error
    return parse(DocumentModel, source, fields).to_document()
