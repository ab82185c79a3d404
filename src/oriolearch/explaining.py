"""Find in the logs of hosts what happened to one request.

The lines of the request are shown with earlier ones about its upstreams, the
coordinator and the store that explain the decisions of the hosts.
"""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from datetime import datetime
from typing import Any

CONTEXT_S = 4.0  # keys of a lost upstream are reassigned within this time
HOST_STATE_EVENTS = frozenset(
    (
        'coordinator_lost',
        'directory_applied',
        'host_started',
        'host_stopping',
        'leases_lapsed',
        'cut_off_changed',
        'predecessor_over',
        'settings_read',
        'stepped_down',
        'store_lost',
        'store_regained',
        'takeover',
        'zones_out',
    ),
)
UPSTREAM_EVENTS = frozenset(
    ('cold_probed', 'grant_failed', 'keys_moved', 'upstream_changed')
)
_HEADER_FIELDS = frozenset(('event', 'level', 'message', 'number', 'time'))


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a host's log.

    :param source: name of the file, with the host that a collector has written
        before the line.
    """

    source: str
    at: datetime
    fields: Mapping[str, Any]

    def __str__(self) -> str:
        """Return time, source, event and the other fields of the line."""
        inputs = ' '.join(
            f'{name}={value}'
            for name, value in self.fields.items()
            if name not in _HEADER_FIELDS
        )
        time_of_day = self.at.strftime('%H:%M:%S.%f')[:-3]
        return f'{time_of_day} {self.source} {self.fields["event"]}: {inputs}'


def read_lines(source: str, lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse the lines of one log; skip lines that are no events."""
    for line in lines:
        prefix, brace, rest = line.partition('{')
        try:
            fields = json.loads(brace + rest)
            at = datetime.fromisoformat(fields['time'])
            name = str(fields['event'])
        except (ValueError, KeyError, TypeError):
            continue
        origin = ' '.join((source, *prefix.split()[-1:]))
        yield LogLine(origin, at, {**fields, 'event': name})


def explain(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request with their context, in order of time.

    :returns: an empty list when no line has the request's id.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    request_lines = [
        line for line in ordered if line.fields.get('request') == request
    ]
    if not request_lines:
        return []
    sources = {line.source for line in request_lines}
    upstreams = {line.fields.get('upstream') for line in request_lines} - {None}
    names = {str(upstream).partition('@')[0] for upstream in upstreams}
    keys = {
        (line.fields['pool'], line.fields['key'])
        for line in request_lines
        if line.fields.get('key') is not None
    }
    first, last = request_lines[0].at, request_lines[-1].at

    def is_wanted(line: LogLine) -> bool:
        if line.fields.get('request') == request:
            return True
        if line.at > last:
            return False
        if (first - line.at).total_seconds() > CONTEXT_S:
            return False
        event = line.fields['event']
        if event in HOST_STATE_EVENTS:
            return line.source in sources
        if event == 'keys_moved' and any(
            line.fields.get('pool') == pool
            and line.fields['first'] <= key <= line.fields['last']
            for pool, key in keys
        ):
            return True
        about = line.fields.get('upstream', line.fields.get('owner'))
        name = str(about).partition('@')[0]
        return event in UPSTREAM_EVENTS and name in names

    return [line for line in ordered if is_wanted(line)]
