"""Numbered log events: the catalogue and the log that writes them.

No event may contain keys, paths, header values or bodies of requests.
"""

import logging
import os
import sys
import threading
import time
from dataclasses import dataclass
from enum import Enum
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = 'oriolearch'
EVENTS_PER_S = 50  # for each number: an outage must not fill disk or pipe
PIPE_BYTES = 65536  # buffered for a slow reader of the log


@dataclass(frozen=True, slots=True)
class EventKind:
    """A kind of log event.

    :param number: unique, and never reused for another kind.
    :param fields: names of the fields that each event of the kind carries.
    """

    number: int
    level: int
    fields: tuple[str, ...]
    meaning: str


class Event(Enum):
    """The catalogue of the log events, see docs/events.md."""

    ENTRY_STARTED = EventKind(
        101,
        logging.INFO,
        ('address',),
        'The entry accepts connections of callers.',
    )
    DRAIN_STARTED = EventKind(
        102,
        logging.INFO,
        ('drain_s', 'limit_s'),
        'A graceful shutdown began; the host no longer reports ready.',
    )
    DRAIN_OVERRUN = EventKind(
        103,
        logging.WARNING,
        ('running',),
        'Requests were aborted because the shutdown exceeded its limit.',
    )
    DRAIN_ENDED = EventKind(
        104,
        logging.INFO,
        (),
        'All requests have ended and the entry is closed.',
    )
    CALLER_REFUSED = EventKind(
        111,
        logging.WARNING,
        ('reason', 'remote'),
        'A request was refused before it was read: malformed, slow or too many.',
    )
    REQUEST_REFUSED = EventKind(
        112,
        logging.DEBUG,
        ('request', 'pool', 'kind', 'outcome'),
        'The router answered a request itself.',
    )
    REQUEST_FAILED = EventKind(
        113,
        logging.ERROR,
        ('error',),
        'An internal error ended a request; its outcome is unknown.',
    )
    INVARIANT_BROKEN = EventKind(
        114,
        logging.CRITICAL,
        ('invariant', 'detail'),
        'An invariant of the system is violated; the process must end.',
    )
    CALLER_ERROR = EventKind(
        115,
        logging.DEBUG,
        ('text',),
        'A connection of a caller failed.',
    )
    ATTEMPT_FAILED = EventKind(
        201,
        logging.WARNING,
        ('attempt', 'pool', 'upstream', 'failure', 'sent', 'detail'),
        'An attempt ended without a complete answer.',
    )
    WRONG_ATTEMPT = EventKind(
        202,
        logging.ERROR,
        ('attempt', 'pool', 'upstream'),
        'An answer to another attempt arrived; it was dropped.',
    )
    OWNER_MOVED = EventKind(
        203,
        logging.INFO,
        ('request', 'pool', 'upstream', 'epoch'),
        'An owner proved that it did not run a request for its key.',
    )
    PERMIT_ENDED = EventKind(
        204,
        logging.INFO,
        ('request', 'pool'),
        'An attempt was not sent because its permit has expired.',
    )
    AUTHORITY_GAINED = EventKind(
        301,
        logging.INFO,
        ('zone', 'mobility', 'term'),
        'This host became the coordinator.',
    )
    AUTHORITY_LOST = EventKind(
        302,
        logging.WARNING,
        ('zone', 'mobility', 'term'),
        'This host is no longer the coordinator.',
    )
    SYNC_IGNORED = EventKind(
        303,
        logging.INFO,
        ('sender', 'error'),
        'A part of an answer of another host was out of date or malformed.',
    )
    CONTROL_FAILED = EventKind(
        304,
        logging.ERROR,
        ('error',),
        'A control task met an error and continues.',
    )
    CONFIG_APPLIED = EventKind(
        305,
        logging.INFO,
        ('version',),
        'A newer configuration is in force on this host.',
    )

    HOST_STARTED = EventKind(
        401,
        logging.INFO,
        ('host', 'zone', 'entry', 'store'),
        'A host with a shared store started.',
    )
    HOST_READY = EventKind(
        402,
        logging.INFO,
        ('version', 'upstreams'),
        'Configuration and upstreams have been read; the host is ready.',
    )
    HOST_STOPPING = EventKind(
        403,
        logging.INFO,
        ('running', 'is_coordinator'),
        'SIGTERM was received; the host no longer reports ready.',
    )
    HOST_STOPPED = EventKind(
        404,
        logging.INFO,
        ('running',),
        'The host has shut down.',
    )
    SETTINGS_READ = EventKind(
        405,
        logging.INFO,
        ('retry_share', 'retry_burst', 'cold_burst', 'restart_for'),
        'The settings file was reloaded; `restart_for` names changed settings '
        'that take effect when the host starts.',
    )
    SETTINGS_REJECTED = EventKind(
        406,
        logging.ERROR,
        ('error',),
        'The settings file is invalid; the previous settings stay in force.',
    )
    TASK_FAILED = EventKind(
        407,
        logging.ERROR,
        ('task', 'error', 'trace', 'restart_in_s'),
        'A task ended with an unexpected error; the host continues. A task '
        'that lasts as long as the host or a role is started again.',
    )
    HOST_REFUSED = EventKind(
        411,
        logging.INFO,
        (
            'request',
            'status',
            'reason',
            'after_s',
            'waited_s',
            'version',
            'pool',
            'key',
            'upstream',
            'sends',
            'age_s',
            'shortage',
        ),
        'The host answered a request in place of an upstream.',
    )
    SEND_FAILED = EventKind(
        412,
        logging.INFO,
        ('request', 'upstream', 'reason', 'was_sent'),
        'An attempt at an upstream ended without a complete answer.',
    )
    SEND_REJECTED = EventKind(
        413,
        logging.INFO,
        ('request', 'upstream', 'status', 'load'),
        'An upstream reported that it did not run a request.',
    )
    REQUEST_DELIVERED = EventKind(
        414,
        logging.INFO,
        (
            'request',
            'version',
            'route',
            'upstream',
            'placed_by',
            'sends',
            'placed_s',
            'took_s',
            'status',
        ),
        'An upstream answered a request; times count from its arrival.',
    )
    STORE_LOST = EventKind(
        421,
        logging.WARNING,
        ('table', 'error'),
        'A call of the store failed; the last known state stays in force.',
    )
    STORE_REGAINED = EventKind(
        422,
        logging.INFO,
        ('table', 'version', 'away_s'),
        'The store answers again.',
    )
    STORE_RESTORED = EventKind(
        449,
        logging.WARNING,
        ('era',),
        'The store came back from an earlier copy; all tables are read anew.',
    )
    ROWS_RESTORED = EventKind(
        450,
        logging.INFO,
        ('term', 'era', 'rows', 'waited_s'),
        'This coordinator has written its rows again, which a restored store '
        'may have lost.',
    )
    TAKEOVER_DELAYED = EventKind(
        451,
        logging.INFO,
        ('reason', 'row_version', 'era'),
        'This host does not take over yet: the store may have lost the row of '
        'a later coordinator, which writes it again.',
    )
    OWNERS_OUTDATED = EventKind(
        452,
        logging.WARNING,
        ('pool', 'row_version', 'era', 'fence', 'unserved_s'),
        'The store may have lost later owners of the keys; no key is granted '
        'until all leases have expired.',
    )
    DIRECTORY_APPLIED = EventKind(
        423,
        logging.INFO,
        ('version', 'routes', 'row_version'),
        'A configuration is in force on this host.',
    )
    POLLS_REOPENED = EventKind(
        428,
        logging.INFO,
        ('tables', 'reason', 'newest', 'settled'),
        'Open polls of the store may have been lost and were sent anew.',
    )
    TABLE_STALE = EventKind(
        429,
        logging.WARNING,
        ('table', 'version', 'age_s'),
        'A table has not been known to be up to date for too long.',
    )
    TABLE_CURRENT = EventKind(
        430,
        logging.INFO,
        ('table', 'version', 'age_s'),
        'A table that was stale is known to be up to date again.',
    )
    ROW_REJECTED = EventKind(
        424,
        logging.WARNING,
        ('row', 'row_version', 'error'),
        'A row of the store is invalid or outdated; the last valid one stays.',
    )
    UPSTREAM_CHANGED = EventKind(
        425,
        logging.INFO,
        ('upstream', 'pool', 'state', 'cold_for_s', 'row_version'),
        'The entry of an upstream changed.',
    )
    ZONES_OUT = EventKind(
        426,
        logging.INFO,
        ('zones', 'row_version'),
        'The zones that operators have taken out of service changed.',
    )
    COORDINATOR_FOUND = EventKind(
        431,
        logging.INFO,
        ('coordinator', 'term', 'row_version'),
        'The store names another coordinator.',
    )
    COORDINATOR_LINKED = EventKind(
        432,
        logging.INFO,
        ('coordinator', 'term'),
        'This host is connected to the coordinator.',
    )
    COORDINATOR_LOST = EventKind(
        433,
        logging.WARNING,
        ('coordinator', 'term', 'reason'),
        'This host has lost contact with the coordinator.',
    )
    TAKEOVER = EventKind(
        434,
        logging.INFO,
        ('term', 'outcome', 'reason'),
        'This host tried to become the coordinator.',
    )
    STEPPED_DOWN = EventKind(
        435,
        logging.INFO,
        ('term', 'reason'),
        'This host is no longer the coordinator.',
    )
    WITNESSES_CHOSEN = EventKind(
        439,
        logging.INFO,
        ('term', 'witnesses', 'over_before', 'row_version'),
        'The witnesses that acknowledge this coordinator changed.',
    )
    COLD_PROBED = EventKind(
        427,
        logging.INFO,
        ('upstream', 'cold_for_s'),
        'A probe in an outage of the store found an upstream cold.',
    )
    NOTICE_CHANGED = EventKind(
        444,
        logging.INFO,
        (
            'upstream',
            'rate_limit',
            'previous',
            'is_leaving',
            'source',
            'age_s',
            'request',
        ),
        'An upstream reported another rate limit, or none, or that it leaves, '
        'to this host or to the host that is named as the source.',
    )
    UPSTREAM_PAUSED = EventKind(
        445,
        logging.INFO,
        ('request', 'upstream', 'asked_s', 'pause_s'),
        'An upstream that refused a request wants nothing from this host for '
        'the time that it asked for, or the longest time that is granted.',
    )
    LOAD_DIVIDED = EventKind(
        446,
        logging.INFO,
        (
            'pool',
            'rate',
            'objective_s',
            'spread',
            'upstreams',
            'reported',
            'least_share',
            'most_share',
        ),
        'The coordinator divided the load of a pool among its upstreams; '
        'shares are multiples of the mean. Written every two seconds.',
    )
    OWNER_FAILING = EventKind(
        448,
        logging.WARNING,
        ('pool', 'upstream', 'failing', 'usable'),
        'A host reports that an upstream has failed ten requests in a row; it '
        'loses its keys for some seconds unless many upstreams fail.',
    )
    MEMORY_EXCEEDED = EventKind(
        447,
        logging.WARNING,
        (
            'kind',
            'dropped_bytes',
            'left_bytes',
            'stalled_s',
            'held_bytes',
            'limit_bytes',
        ),
        'The host held too many bytes for callers and upstreams and dropped '
        'what is least likely to be of use.',
    )
    LEASES_LAPSED = EventKind(
        441,
        logging.WARNING,
        ('pool', 'upstream'),
        'Three upstreams refused keys of their own while no coordinator was '
        'heard; requests of the pool are refused.',
    )
    CUT_OFF_CHANGED = EventKind(
        442,
        logging.WARNING,
        ('is_cut_off', 'peers', 'silent_s'),
        'Whether this host reaches the coordinator, most hosts or the store '
        'has changed; one that reaches none of them is not ready.',
    )
    POOL_OPENED = EventKind(
        443,
        logging.INFO,
        ('pool', 'upstreams', 'waited_s', 'has_requests'),
        'The coordinator divides the keys of a pool without stored owners.',
    )
    PREDECESSOR_OVER = EventKind(
        440,
        logging.INFO,
        ('coordinator', 'term', 'promises', 'witnesses', 'in_s'),
        'It is known when an earlier coordinator loses its authority.',
    )
    KEYS_MOVED = EventKind(
        436,
        logging.INFO,
        ('pool', 'first', 'last', 'owner', 'previous', 'fence', 'cause'),
        'Keys are moved to another owner.',
    )
    GRANT_FAILED = EventKind(
        437,
        logging.WARNING,
        ('upstream', 'first', 'last', 'fence', 'call', 'reason'),
        'A grant or release failed.',
    )
    OWNERS_READ = EventKind(
        438,
        logging.INFO,
        ('pool', 'ranges', 'row_version'),
        'Owners of keys were read from the store.',
    )


def catalogue() -> str:
    """Return the text of docs/events.md."""
    lines = [
        '# Log events',
        '',
        'Each event is one JSON line with `number`, `event`, `level`, `time`',
        f'and the fields below. At most {EVENTS_PER_S} events of one number',
        'are written each second; `suppressed` counts those left out before.',
        'Generated by `python -m oriolearch.eventlog`.',
        '',
        '| number | event | level | fields | meaning |',
        '|---|---|---|---|---|',
    ]
    for event in sorted(Event, key=lambda item: item.value.number):
        kind = event.value
        fields = ', '.join(f'`{name}`' for name in kind.fields)
        level = logging.getLevelName(kind.level).lower()
        name = event.name.lower()
        lines.append(
            f'| {kind.number} | {name} | {level} | {fields} | {kind.meaning} |',
        )
    return '\n'.join((*lines, ''))


def configure_logging(level: int, stream: TextIO | None = None) -> None:
    """Write the events as JSON lines, to standard error by default."""
    _install(logging.StreamHandler(stream or sys.stderr), level)


def _install(handler: logging.Handler, level: int) -> None:
    handler.setFormatter(JsonFormatter('%(message)s', timestamp='time'))
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers.clear()
    logger.addHandler(handler)
    logger.propagate = False
    logger.setLevel(level)


class PipeHandler(logging.Handler):
    """Writes lines to standard output without blocking on its reader.

    Lines that do not fit into the buffer are dropped and counted.
    """

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped = 0
        self.pending = b''
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line, or buffer it while the pipe is full."""
        line = f'{self.format(record)}\n'.encode()
        if len(self.pending) + len(line) > PIPE_BYTES:
            self.dropped += 1
            return
        if self.dropped:
            note = '{"event":"lines_left_out","count":%d}\n' % self.dropped
            line = note.encode() + line
            self.dropped = 0
        self.pending += line
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        except OSError:
            # The reader has closed the pipe, so the error cannot be logged.
            self.pending = b''
            return
        self.pending = self.pending[written:]


def configure_pipe_logging(level: int) -> None:
    """Write the events as JSON lines to standard output without blocking."""
    _install(PipeHandler(), level)


class EventLog:
    """Writes events of the catalogue."""

    def __init__(self) -> None:
        self.logger = logging.getLogger(LOGGER_NAME)
        self.lock = threading.Lock()
        self.second = 0
        self.counts: dict[Event, int] = {}
        self.suppressed: dict[Event, int] = {}
        self.totals: dict[Event, int] = {}

    def emit(self, event: Event, **fields: object) -> None:
        """Write an event.

        :raises ValueError: when the fields differ from the catalogue's.
        """
        kind = event.value
        self.totals[event] = self.totals.get(event, 0) + 1
        if not self.logger.isEnabledFor(kind.level):
            return
        if set(kind.fields) != set(fields):
            raise ValueError(
                f'event {event.name} requires the fields {kind.fields}'
            )
        suppressed = self._count_event(event)
        if suppressed is None:
            return
        extra: dict[str, object] = {
            'number': kind.number,
            'event': event.name.lower(),
            'level': logging.getLevelName(kind.level).lower(),
            **fields,
        }
        if suppressed:
            extra['suppressed'] = suppressed
        self.logger.log(kind.level, kind.meaning, extra=extra)

    def _count_event(self, event: Event) -> int | None:
        """Count an event against the rate limit of its kind.

        :returns: how many were suppressed before, or ``None`` to suppress
            this one.
        """
        with self.lock:
            second = int(time.monotonic())
            if second != self.second:
                self.second = second
                self.counts.clear()
            count = self.counts.get(event, 0)
            self.counts[event] = count + 1
            if count < EVENTS_PER_S:
                return self.suppressed.pop(event, 0)
            self.suppressed[event] = self.suppressed.get(event, 0) + 1
        return None


if __name__ == '__main__':
    sys.stdout.write(catalogue())
