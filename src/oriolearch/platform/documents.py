"""Decoding of the rows that the operator and the servers store."""

import json
import re
import socket
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
from oriolearch.platform.fields import Fields, check_label

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
_VERSION = re.compile('r([0-9]{1,18})')
MAX_PORT = 65535
MAX_SLOTS = 100_000  # requests that one upstream can process at once
MAX_COLD_START_S = 86_400.0


def decode_directory(value: bytes) -> Directory:
    """Decode the operator's configuration.

    :raises ValidationError: when a field is missing or invalid.
    """
    fields = Fields('config', _parse('config', value))
    version = fields.text('version')
    number = _VERSION.fullmatch(version)
    if number is None:
        raise ValidationError('config', 'version', version, 'must be r<number>')
    return make_directory(
        int(number[1]),
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
    # A request names the upstream in a header, which holds ASCII only.
    if not check_label(name, '', name).isascii():
        raise ValidationError(name, '', name, 'must be ASCII')
    return UpstreamEntry(
        Incarnation(name, fields.integer('born', low=1)),
        info.label('service'),
        _read_address(fields),
        info.label('zone'),
        int(info.number('slots', low=1, high=MAX_SLOTS)),
        state == 'draining',
        max(status.number('warmup_left_s', 0, high=MAX_COLD_START_S), 0),
        status.integer('seq'),
    )


def _read_address(fields: Fields) -> str:
    """Return the address of an entry, an IPv4 address with a port."""
    address = fields.text('address')
    host, _, port = address.rpartition(':')
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError) as error:
        reason = 'must be an IPv4 address and a port'
        raise ValidationError(
            fields.source, 'address', address, reason
        ) from error
    is_number = port.isascii() and port.isdigit() and len(port) <= 5
    if not is_number or not 1 <= int(port) <= MAX_PORT:
        reason = f'must have a port from 1 to {MAX_PORT}'
        raise ValidationError(fields.source, 'address', address, reason)
    return address


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
