"""Decodes what the operator and the servers write to the store."""

import json
import math
from collections.abc import Iterable, Iterator
from typing import Any

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

OPERATOR_TABLE = 'op'
UPSTREAM_TABLE = 'servers'
CONFIG_KEY = 'config'
ZONE_OUT_PREFIX = 'evacuate/'

_KINDS = {
    'safe': (Repeat.IDEMPOTENT, False),
    'unsafe': (Repeat.ONCE, False),
    'upload': (Repeat.ONCE, True),
}
_STATES = frozenset(('ready', 'draining'))


class _Fields:
    """Checked access to the fields of a JSON object."""

    def __init__(self, source: str, found: object) -> None:
        if not isinstance(found, dict):
            parent, _, field = source.rpartition('.')
            raise ValidationError(parent, field, found, 'must be an object')
        self.source = source
        self.found: dict[str, Any] = found

    def text(self, name: str) -> str:
        found = self.found.get(name)
        if not isinstance(found, str) or not found:
            raise ValidationError(self.source, name, found, 'must be a text')
        return found

    def number(self, name: str, default: float | None = None) -> float:
        found = self.found.get(name, default)
        if isinstance(found, bool) or not isinstance(found, (int, float)):
            raise ValidationError(self.source, name, found, 'must be a number')
        if not math.isfinite(found):
            raise ValidationError(self.source, name, found, 'must be finite')
        return float(found)

    def whole(self, name: str) -> int:
        found = self.found.get(name, 0)
        if isinstance(found, bool) or not isinstance(found, int):
            reason = 'must be a whole number'
            raise ValidationError(self.source, name, found, reason)
        return found

    def parts(self, name: str) -> Iterator['_Fields']:
        found = self.found.get(name)
        if not isinstance(found, list):
            raise ValidationError(self.source, name, found, 'must be a list')
        for place, part in enumerate(found):
            yield _Fields(f'{self.source}.{name}[{place}]', part)

    def part(self, name: str) -> '_Fields':
        return _Fields(f'{self.source}.{name}', self.found.get(name))


def decode_directory(value: bytes) -> Directory:
    """Decode the operator's configuration.

    :raises ValidationError: when a field cannot be used.
    """
    fields = _Fields('config', _parse('config', value))
    version = fields.text('version')
    if not version.startswith('r') or not version[1:].isdigit():
        raise ValidationError('config', 'version', version, 'must be r<number>')
    return make_directory(
        int(version[1:]),
        _decode_routes(fields),
        [_decode_pool(part) for part in fields.parts('clusters')],
        _decode_limits(fields.part('limits')),
    )


def decode_upstream(name: str, value: bytes) -> UpstreamEntry:
    """Decode what a server says of itself.

    :param name: key of the row.
    :raises ValidationError: when the row names no usable server.
    """
    fields = _Fields(name, _parse(name, value))
    info = fields.part('info')
    status = fields.part('status')
    state = status.text('state')
    if state not in _STATES:
        raise ValidationError(name, 'state', state, 'unknown state')
    address = fields.text('address')
    if not address.rpartition(':')[2].isdigit():
        raise ValidationError(name, 'address', address, 'must end in a port')
    slots = info.number('slots')
    if slots < 1:
        raise ValidationError(name, 'slots', slots, 'must be positive')
    return UpstreamEntry(
        Incarnation(name, fields.whole('born')),
        info.text('service'),
        address,
        info.text('zone'),
        int(slots),
        state == 'draining',
        max(status.number('warmup_left_s', 0), 0),
        status.whole('seq'),
    )


def _parse(source: str, value: bytes) -> object:
    try:
        return json.loads(value)
    except (ValueError, RecursionError) as error:
        raise ValidationError(source, '', value[:80], str(error)) from error


def _decode_routes(fields: _Fields) -> Iterator[RoutePlan]:
    for listener in fields.parts('listeners'):
        host = listener.text('host').lower()
        for rule in listener.parts('rules'):
            yield _decode_route(host, rule)


def _decode_route(host: str, rule: _Fields) -> RoutePlan:
    kind = rule.text('kind')
    if kind not in _KINDS:
        raise ValidationError(rule.source, 'kind', kind, 'unknown kind')
    repeat, is_upload = _KINDS[kind]
    action = rule.part('action')
    if 'backends' in action.found:
        destinations = tuple(
            Destination(part.text('service'), part.number('weight'))
            for part in action.parts('backends')
        )
    else:
        destinations = (Destination(action.text('service'), 1.0),)
    return RoutePlan(
        name=rule.text('name'),
        host=host,
        prefix=rule.part('match').text('prefix'),
        repeat=repeat,
        is_upload=is_upload,
        destinations=destinations,
        timeout_s=action.number('timeout_s'),
        aim_s=rule.number('target_latency_s'),
        max_attempts=int(action.number('max_attempts', 1)),
        priority=int(rule.number('priority', 0)),
    )


def _decode_pool(fields: _Fields) -> PoolPlan:
    return PoolPlan(
        name=fields.text('name'),
        is_keyed=bool(fields.found.get('sharded')),
        connections=int(fields.number('max_conns', 100)),
        cold_start_s=fields.number('warmup_s', 0),
        cold_rate=fields.number('warmup_per_s', 0),
        key_warm_s=fields.number('warm_s', 0),
        health_path=str(fields.found.get('health_path') or '/health'),
    )


def _decode_limits(fields: _Fields) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        int(fields.number('max_header_bytes', usual.header_bytes)),
        int(fields.number('max_body_bytes', usual.body_bytes)),
        fields.number('header_timeout_s', usual.header_timeout_s),
        fields.number('idle_timeout_s', usual.idle_timeout_s),
    )


def zones_out(keys: Iterable[str]) -> frozenset[str]:
    """Give the zones that operators have taken out.

    :param keys: of the operator's rows.
    """
    return frozenset(
        key.removeprefix(ZONE_OUT_PREFIX)
        for key in keys
        if key.startswith(ZONE_OUT_PREFIX)
    )
