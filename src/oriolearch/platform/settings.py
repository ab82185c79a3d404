"""Settings file that the platform writes for each process."""

import math
import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oriolearch.core.errors import ValidationError

MIN_CAPACITY = 0.05  # share of a processor; keeps delays bounded
DEFAULT_MEMORY_MB = 200
BYTES_PER_MB = 1024 * 1024
DEFAULT_METRICS_PORT = 9464  # usual for exporters, and set in the deploy file
PATH_VARIABLE = 'ORIOLEARCH_CONFIG'


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform checks; times in seconds.

    :ivar leaving_s: a draining upstream gets no new requests after this.
    :ivar stop_s: time from SIGTERM to SIGKILL.
    :ivar retry_share: retries for each request, over all hosts.
    :ivar retry_window_s: period in which the retries are counted.
    :ivar retry_slack: retries beyond that share in a window.
    :ivar cold_overshoot: allowed factor of a cold upstream's rate.
    :ivar cold_slack: requests beyond that rate in any second.
    :ivar hold_limit_s: longest lease of a grant.
    """

    leaving_s: float = 2.0
    stop_s: float = 6.0
    retry_share: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 20.0
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    hold_limit_s: float = 10.0


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of one host at its start.

    Addresses are ``host:port``.

    :ivar entry: address where callers connect.
    :ivar readiness: address of the platform's readiness checks.
    :ivar peer_port: port where this host listens for other hosts.
    :ivar peer_address: address where other hosts connect; behind a port
        forwarder, it differs from the address that this host listens on.
    :ivar metrics_port: port where counters and latencies are served.
    :ivar capacity: CPU share multiplied by the number of cores.
    :ivar memory_bytes: the process is killed beyond that.
    :ivar zones: region of each availability zone.
    :ivar is_first_start: whether the whole installation starts for the first
        time, some seconds before its first callers.
    """

    host: str
    ip: str
    zone: str
    zones: dict[str, str]
    entry: str
    readiness: str
    peer_port: int
    peer_address: str
    metrics_port: int
    store: str
    heartbeat_s: float
    capacity: float
    memory_bytes: float
    bounds: Bounds
    is_first_start: bool


_BOUND_SETTINGS = {
    'leaving_s': 'drain_s',
    'stop_s': 'grace_s',
    'retry_share': 'retry_ratio',
    'retry_window_s': 'retry_window_s',
    'retry_slack': 'retry_slack',
    'cold_overshoot': 'warmup_overshoot',
    'cold_slack': 'warmup_slack',
    'hold_limit_s': 'hold_max_s',
}


# A reload applies the bounds, and the other one matters only at a start.
_NOT_FOR_RESTART = frozenset(('bounds', 'is_first_start'))


def load_settings(path: str | None = None) -> HostSettings:
    """Load the settings file.

    :param path: the path in ``ORIOLEARCH_CONFIG`` by default.
    :raises ValidationError: when the file cannot be read or a field is
        invalid.
    """
    name = path or os.environ.get(PATH_VARIABLE, '')
    try:
        fields = tomllib.loads(Path(name).read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise ValidationError(name, '', name, str(error)) from error
    return read_settings(name, fields)


def read_settings(source: str, fields: dict[str, Any]) -> HostSettings:
    """Validate the fields of a settings file; ignore unknown ones.

    :raises ValidationError: when a field is missing or of the wrong type.
    """

    def require(path: str, kind: type) -> Any:
        value: Any = fields
        for part in path.split('.'):
            value = value.get(part) if isinstance(value, dict) else None
        if not isinstance(value, kind) or isinstance(value, bool):
            reason = f'must be a {kind.__name__}'
            raise ValidationError(source, path, value, reason)
        return value

    ports = require('port_range', list)
    port = _read_number(source, 'port_range', ports[0] if ports else None)
    metrics_port = fields.get('metrics_port', DEFAULT_METRICS_PORT)
    return HostSettings(
        host=require('node', str),
        ip=require('ip', str),
        zone=require('zone', str),
        zones=dict(require('zones', dict)),
        entry=require('listen.front', str),
        readiness=require('listen.ready', str),
        peer_port=int(port),
        peer_address=str(
            fields.get('peer_address', f'{require("ip", str)}:{ports[0]}'),
        ),
        metrics_port=int(_read_number(source, 'metrics_port', metrics_port)),
        store=require('platform.address', str),
        heartbeat_s=_read_number(
            source, 'heartbeat_s', fields.get('heartbeat_s', 1)
        ),
        capacity=_read_capacity(source, fields),
        memory_bytes=_read_memory_mb(source, fields) * BYTES_PER_MB,
        bounds=_read_bounds(source, fields),
        is_first_start=_read_flag(source, fields, 'bootstrap'),
    )


def changes_for_restart(before: HostSettings, after: HostSettings) -> list[str]:
    """Return the changed settings that a running host does not apply."""
    return [
        name
        for name in HostSettings.__dataclass_fields__
        if name not in _NOT_FOR_RESTART
        and getattr(before, name) != getattr(after, name)
    ]


def _read_capacity(source: str, fields: dict[str, Any]) -> float:
    limits = _read_section(source, fields, 'limits')
    share = limits.get('cpu_share', 1)
    cores = limits.get('cores', 1)
    capacity = _read_number(source, 'limits.cpu_share', share) * _read_number(
        source, 'limits.cores', cores
    )
    return max(capacity, MIN_CAPACITY)


def _read_memory_mb(source: str, fields: dict[str, Any]) -> float:
    limits = _read_section(source, fields, 'limits')
    memory_mb = limits.get('memory_mb', DEFAULT_MEMORY_MB)
    return _read_number(source, 'limits.memory_mb', memory_mb)


def _read_bounds(source: str, fields: dict[str, Any]) -> Bounds:
    section = _read_section(source, fields, 'bounds')
    bounds = {
        name: _read_number(source, f'bounds.{setting}', section[setting])
        for name, setting in _BOUND_SETTINGS.items()
        if section.get(setting) is not None
    }
    return Bounds(**bounds)


def _read_flag(source: str, fields: dict[str, Any], name: str) -> bool:
    value = fields.get(name, False)
    if not isinstance(value, bool):
        raise ValidationError(source, name, value, 'must be true or false')
    return value


def _read_section(
    source: str, fields: dict[str, Any], name: str
) -> dict[str, Any]:
    section = fields.get(name, {})
    if not isinstance(section, dict):
        raise ValidationError(source, name, section, 'must be a table')
    return section


def _read_number(source: str, path: str, value: object) -> float:
    """Return a number that is finite and not negative."""
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if is_number and 0 <= value < math.inf:  # type: ignore[operator]
        return value  # type: ignore[return-value]
    reason = 'must be a number that is finite and not negative'
    raise ValidationError(source, path, value, reason)
