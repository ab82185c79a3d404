"""The settings file that the platform writes for each process."""

import os
import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from oriolearch.core.errors import ValidationError

LEAST_CAPACITY = 0.05  # of a processor, so that delays stay bounded
METRICS_PORT = 9464  # as in the deploy file; the usual one of exporters
PATH_VARIABLE = 'ORIOLEARCH_CONFIG'


@dataclass(frozen=True, slots=True)
class Bounds:
    """Limits that the platform judges; times in seconds.

    :ivar leaving_s: a leaving upstream gets nothing new after this.
    :ivar stop_s: from SIGTERM to SIGKILL.
    :ivar retry_share: second sends for each request, over all hosts.
    :ivar retry_slack: second sends beside this share in a window.
    :ivar cold_overshoot: factor over a cold upstream's rate.
    :ivar cold_slack: requests beside it in any second.
    :ivar hold_limit_s: longest grant.
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
    """What a host knows at its start.

    Addresses are ``host:port``.

    :ivar entry: where callers connect.
    :ivar readiness: where the platform asks whether callers may come.
    :ivar peer_port: where this host accepts other hosts.
    :ivar peer_address: where other hosts connect; it differs from the own
        address behind a forwarder.
    :ivar metrics_port: where counters and latencies are served.
    :ivar capacity: share of a processor, all its cores together.
    :ivar zones: region of each availability zone.
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
    bounds: Bounds


_BOUND_NAMES = {
    'leaving_s': 'drain_s',
    'stop_s': 'grace_s',
    'retry_share': 'retry_ratio',
    'retry_window_s': 'retry_window_s',
    'retry_slack': 'retry_slack',
    'cold_overshoot': 'warmup_overshoot',
    'cold_slack': 'warmup_slack',
    'hold_limit_s': 'hold_max_s',
}


def load_settings(path: str | None = None) -> HostSettings:
    """Read the settings.

    :param path: by default the path in ``ORIOLEARCH_CONFIG``.
    :raises ValidationError: when the file or a field cannot be used.
    """
    name = path or os.environ.get(PATH_VARIABLE, '')
    try:
        fields = tomllib.loads(Path(name).read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise ValidationError(name, '', name, str(error)) from error
    return read_settings(name, fields)


def read_settings(source: str, fields: dict[str, Any]) -> HostSettings:
    """Check the fields of a settings file; unknown ones are ignored.

    :raises ValidationError: when a field is missing or of another type.
    """

    def need(path: str, kind: type) -> Any:
        found: Any = fields
        for part in path.split('.'):
            found = found.get(part) if isinstance(found, dict) else None
        if not isinstance(found, kind) or isinstance(found, bool):
            reason = f'must be a {kind.__name__}'
            raise ValidationError(source, path, found, reason)
        return found

    ports = need('port_range', list)
    if not ports or not isinstance(ports[0], int):
        raise ValidationError(source, 'port_range', ports, 'needs a port')
    return HostSettings(
        host=need('node', str),
        ip=need('ip', str),
        zone=need('zone', str),
        zones=dict(need('zones', dict)),
        entry=need('listen.front', str),
        readiness=need('listen.ready', str),
        peer_port=ports[0],
        peer_address=str(
            fields.get('peer_address', f'{need("ip", str)}:{ports[0]}'),
        ),
        metrics_port=int(fields.get('metrics_port', METRICS_PORT)),
        store=need('platform.address', str),
        heartbeat_s=float(fields.get('heartbeat_s', 1)),
        capacity=_read_capacity(fields.get('limits', {})),
        bounds=_read_bounds(source, fields.get('bounds', {})),
    )


def _read_capacity(limits: dict[str, Any]) -> float:
    share = limits.get('cpu_share', 1)
    cores = limits.get('cores', 1)
    if not isinstance(share, (int, float)) or not isinstance(cores, int):
        return 1.0
    return max(share * cores, LEAST_CAPACITY)


def _read_bounds(source: str, fields: dict[str, Any]) -> Bounds:
    found: dict[str, float] = {}
    for ours, theirs in _BOUND_NAMES.items():
        figure = fields.get(theirs)
        if figure is None:
            continue
        if not isinstance(figure, (int, float)):
            path = f'bounds.{theirs}'
            raise ValidationError(source, path, figure, 'must be a number')
        found[ours] = float(figure)
    return Bounds(**found)
