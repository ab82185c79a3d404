"""Decoding of the rows that the operator and the servers store."""

import json
from collections.abc import Iterable, Iterator

from oriolearch.core.directory import (
    CallerLimits,
    Destination,
    Directory,
    Incarnation,
    PoolPlan,
    Repeat,
    RoutePlan,
    UpstreamEntry,
    make_directory,
)
from oriolearch.core.errors import ValidationError
from oriolearch.platform.fields import Fields

OPERATOR_TABLE = 'op'
UPSTREAM_TABLE = 'servers'
CONFIG_KEY = 'config'
ZONE_OUT_PREFIX = 'evacuate/'

_ROUTE_KINDS = {
    'safe': (Repeat.IDEMPOTENT, False),
    'unsafe': (Repeat.ONCE, False),
    'upload': (Repeat.ONCE, True),
}
_UPSTREAM_STATES = frozenset(('ready', 'draining'))


def decode_directory(value: bytes) -> Directory:
    """Decode the operator's configuration.

    :raises ValidationError: when a field is missing or invalid.
    """
    fields = Fields('config', _parse('config', value))
    version = fields.text('version')
    if not version.startswith('r') or not version[1:].isdigit():
        raise ValidationError('config', 'version', version, 'must be r<number>')
    return make_directory(
        int(version[1:]),
        _decode_routes(fields),
        [_decode_pool(part) for part in fields.objects('clusters')],
        _decode_limits(fields.nested('limits')),
    )


def decode_upstream(name: str, value: bytes) -> UpstreamEntry:
    """Decode the registry entry that a server writes.

    :param name: key of the row, which is the server's name.
    :raises ValidationError: when a field is missing or invalid.
    """
    fields = Fields(name, _parse(name, value))
    info = fields.nested('info')
    status = fields.nested('status')
    state = status.text('state')
    if state not in _UPSTREAM_STATES:
        raise ValidationError(name, 'state', state, 'must be ready or draining')
    address = fields.text('address')
    if not address.rpartition(':')[2].isdigit():
        raise ValidationError(name, 'address', address, 'must end in a port')
    slots = info.number('slots')
    if slots < 1:
        raise ValidationError(name, 'slots', slots, 'must be positive')
    return UpstreamEntry(
        Incarnation(name, fields.integer('born')),
        info.text('service'),
        address,
        info.text('zone'),
        int(slots),
        state == 'draining',
        max(status.number('warmup_left_s', 0), 0),
        status.integer('seq'),
    )


def _parse(source: str, value: bytes) -> object:
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise ValidationError(source, '', value[:80], str(error)) from error


def _decode_routes(fields: Fields) -> Iterator[RoutePlan]:
    for listener in fields.objects('listeners'):
        host = listener.text('host').lower()
        for rule in listener.objects('rules'):
            yield _decode_route(host, rule)


def _decode_route(host: str, rule: Fields) -> RoutePlan:
    kind = rule.text('kind')
    if kind not in _ROUTE_KINDS:
        raise ValidationError(
            rule.source,
            'kind',
            kind,
            'must be safe, unsafe or upload',
        )
    repeat, is_upload = _ROUTE_KINDS[kind]
    action = rule.nested('action')
    if 'backends' in action.values:
        destinations = tuple(
            Destination(part.text('service'), part.number('weight'))
            for part in action.objects('backends')
        )
    else:
        destinations = (Destination(action.text('service'), 1.0),)
    return RoutePlan(
        name=rule.text('name'),
        host=host,
        prefix=rule.nested('match').text('prefix'),
        repeat=repeat,
        is_upload=is_upload,
        destinations=destinations,
        timeout_s=action.number('timeout_s'),
        latency_objective_s=rule.number('target_latency_s'),
        max_attempts=int(action.number('max_attempts', 1)),
        priority=int(rule.number('priority', 0)),
    )


def _decode_pool(fields: Fields) -> PoolPlan:
    return PoolPlan(
        name=fields.text('name'),
        is_keyed=bool(fields.values.get('sharded')),
        connections=int(fields.number('max_conns', 100)),
        cold_start_s=fields.number('warmup_s', 0),
        cold_rate=fields.number('warmup_per_s', 0),
        key_warm_s=fields.number('warm_s', 0),
        health_path=str(fields.values.get('health_path') or '/health'),
    )


def _decode_limits(fields: Fields) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        int(fields.number('max_header_bytes', defaults.header_bytes)),
        int(fields.number('max_body_bytes', defaults.body_bytes)),
        fields.number('header_timeout_s', defaults.header_timeout_s),
        fields.number('idle_timeout_s', defaults.idle_timeout_s),
    )


def zones_out(keys: Iterable[str]) -> frozenset[str]:
    """Return the availability zones that operators have evacuated.

    :param keys: keys of the operator's rows.
    """
    return frozenset(
        key.removeprefix(ZONE_OUT_PREFIX)
        for key in keys
        if key.startswith(ZONE_OUT_PREFIX)
    )
