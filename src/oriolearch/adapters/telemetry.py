"""Numbered log events, spans and latencies of a host.

Nothing here takes keys, paths, header values or bodies of requests.
"""

import json
import logging
import random
import re
import sys
import threading
import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, TextIO

from hdrh.histogram import HdrHistogram
from opentelemetry.context import Context
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.trace import Span, set_span_in_context
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)
from pythonjsonlogger.json import JsonFormatter

LOGGER_NAME = 'oriolearch'
EVENTS_PER_S = 20  # of one number; an outage must not fill the disk or pipe
LONGEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_S = 60.0
QUANTILES = (0.5, 0.9, 0.99, 0.999)

_TRACEPARENT = re.compile('[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_SAMPLED = 1


@dataclass(frozen=True, slots=True)
class EventKind:
    """A kind of log event.

    :param number: never reused for another kind.
    :param fields: names of the fields that each event of it carries.
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
        'The entry accepts callers.',
    )
    DRAIN_STARTED = EventKind(
        102,
        logging.INFO,
        ('drain_s', 'limit_s'),
        'A graceful shutdown began; the host is not ready any more.',
    )
    DRAIN_OVERRUN = EventKind(
        103,
        logging.WARNING,
        ('running',),
        'Requests were broken because the shutdown took too long.',
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
        'A request met an error of the router; its outcome is unknown.',
    )
    INVARIANT_BROKEN = EventKind(
        114,
        logging.CRITICAL,
        ('invariant', 'detail'),
        'A promise of the system is broken; the process must end.',
    )
    CALLER_ERROR = EventKind(
        115,
        logging.DEBUG,
        ('text',),
        'A connection of a caller met an error.',
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
        'An order was held back because its permit has ended.',
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
        'A control task met an error and goes on.',
    )
    CONFIG_APPLIED = EventKind(
        305,
        logging.INFO,
        ('version',),
        'A newer configuration is in force on this host.',
    )


def catalogue() -> str:
    """Render docs/events.md."""
    lines = [
        '# Log events',
        '',
        'Each event is one JSON line with `number`, `event`, `level`, `time`',
        f'and the fields below. At most {EVENTS_PER_S} events of one number',
        'are written each second; `suppressed` counts those left out before.',
        'Made by `python -m oriolearch.adapters.telemetry`.',
        '',
        '| number | event | level | fields | meaning |',
        '|---|---|---|---|---|',
    ]
    for event in sorted(Event, key=lambda found: found.value.number):
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
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter('%(message)s', timestamp='time'))
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers.clear()
    logger.addHandler(handler)
    logger.propagate = False
    logger.setLevel(level)


class EventLog:
    """Writes events of the catalogue."""

    def __init__(self) -> None:
        self.logger = logging.getLogger(LOGGER_NAME)
        self.lock = threading.Lock()
        self.second = 0
        self.counts: dict[Event, int] = {}
        self.suppressed: dict[Event, int] = {}

    def emit(self, event: Event, **fields: object) -> None:
        """Write an event.

        :raises ValueError: when its fields are not those of the catalogue.
        """
        kind = event.value
        if not self.logger.isEnabledFor(kind.level):
            return
        if set(kind.fields) != set(fields):
            raise ValueError(f'{event.name} has the fields {kind.fields}')
        suppressed = self._admit(event)
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

    def _admit(self, event: Event) -> int | None:
        """Give how many were left out before, ``None`` to leave this out."""
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


def _histogram() -> Any:
    make: Any = HdrHistogram  # the library has no types
    return make(1, LONGEST_US, SIGNIFICANT_DIGITS)


class _Series:
    """Latencies of one pool and outcome.

    The quantiles cover the current and the previous window, count and sum
    the life of the process.
    """

    def __init__(self) -> None:
        self.current = _histogram()
        self.previous = _histogram()
        self.window_end = 0.0
        self.count = 0
        self.total_s = 0.0

    def turn(self, now: float) -> None:
        """Begin a new window when the current one is over."""
        if now < self.window_end:
            return
        if now < self.window_end + WINDOW_S:
            self.previous = self.current
        else:
            self.previous = _histogram()
        self.current = _histogram()
        self.window_end = now + WINDOW_S


class Latencies:
    """Latencies of requests by pool and outcome."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.series: dict[tuple[str, str], _Series] = {}

    def record(self, pool: str, outcome: str, seconds: float) -> None:
        """Add the latency of a request."""
        micros = min(max(int(seconds * 1e6), 1), LONGEST_US)
        with self.lock:
            series = self.series.get((pool, outcome))
            if series is None:
                series = _Series()
                self.series[(pool, outcome)] = series
            series.turn(time.monotonic())
            series.current.record_value(micros)
            series.count += 1
            series.total_s += seconds

    def render(self) -> list[str]:
        """Give lines of the text format for scraping."""
        name = 'oriolearch_request_seconds'
        lines = [
            f'# HELP {name} Time from arrival to the end of the answer.',
            f'# TYPE {name} summary',
        ]
        with self.lock:
            for (pool, outcome), series in sorted(self.series.items()):
                series.turn(time.monotonic())
                labels = f'pool="{_escape(pool)}",outcome="{_escape(outcome)}"'
                recent = _histogram()
                recent.add(series.previous)
                recent.add(series.current)
                for share in QUANTILES:
                    found = recent.get_value_at_percentile(share * 100) / 1e6
                    lines.append(
                        f'{name}{{{labels},quantile="{share}"}} {found}',
                    )
                lines.append(f'{name}_sum{{{labels}}} {series.total_s}')
                lines.append(f'{name}_count{{{labels}}} {series.count}')
        return lines


def _escape(label: str) -> str:
    escaped = label.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')


def render_gauges(
    name: str,
    meaning: str,
    samples: Iterable[tuple[Mapping[str, str], float]],
) -> list[str]:
    """Give lines of the text format for gauges of one name."""
    lines = [f'# HELP {name} {meaning}', f'# TYPE {name} gauge']
    for labels, number in samples:
        inner = ','.join(
            f'{label}="{_escape(text)}"' for label, text in labels.items()
        )
        lines.append(
            f'{name}{{{inner}}} {number}' if inner else f'{name} {number}'
        )
    return lines


class JsonLineExporter(SpanExporter):
    """Writes each span as a JSON line."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self.stream = stream or sys.stderr

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans."""
        for span in spans:
            line = json.dumps({'span': json.loads(span.to_json(indent=None))})
            self.stream.write(f'{line}\n')
        self.stream.flush()
        return SpanExportResult.SUCCESS


class Trace:
    """The spans of one sampled request."""

    def __init__(self, tracing: 'Tracing', parent: Context) -> None:
        self.tracing = tracing
        self.entry = tracing.tracer.start_span('entry', parent)
        self.context = set_span_in_context(self.entry, parent)

    def child(self, name: str, **attributes: Any) -> Span:
        """Begin a span below that of the entry."""
        return self.tracing.tracer.start_span(
            name,
            self.context,
            attributes=attributes,
        )

    def inject(self, span: Span, headers: dict[str, str]) -> None:
        """Set the ``traceparent`` that a span sends on."""
        context = set_span_in_context(span, self.context)
        self.tracing.propagator.inject(headers, context)

    def end(self, **attributes: Any) -> None:
        """End the span of the entry."""
        self.entry.set_attributes(attributes)
        self.entry.end()


class Tracing:
    """Begins spans for the requests that are sampled.

    A request is sampled when its caller says so, or by a ratio when its
    caller sends no ``traceparent``.

    :param exporter: takes the spans; without one there are no spans.
    """

    def __init__(
        self,
        exporter: SpanExporter | None,
        ratio: float,
        rng: random.Random,
        host: str,
    ) -> None:
        self.is_on = exporter is not None
        self.ratio = ratio
        self.rng = rng
        self.propagator = TraceContextTextMapPropagator()
        resource = Resource({'service.name': 'oriolearch', 'host.name': host})
        self.provider = TracerProvider(
            resource=resource,
            shutdown_on_exit=False,
        )
        if exporter is not None:
            self.provider.add_span_processor(BatchSpanProcessor(exporter))
        self.tracer = self.provider.get_tracer('oriolearch')

    def begin(self, headers: Mapping[str, str]) -> Trace | None:
        """Begin the trace of a request, ``None`` when it is not sampled."""
        if not self.is_on:
            return None
        given = headers.get('traceparent')
        if given is None:
            is_sampled = bool(self.ratio) and self.rng.random() < self.ratio
        else:
            is_sampled = bool(
                _TRACEPARENT.fullmatch(given)
                and int(given[-2:], 16) & _SAMPLED,
            )
        if not is_sampled:
            return None
        return Trace(self, self.propagator.extract(headers, Context()))

    def close(self) -> None:
        """Export the spans that are left."""
        self.provider.shutdown()


@dataclass(frozen=True, slots=True)
class Telemetry:
    """All that the data path reports to."""

    events: EventLog
    latencies: Latencies
    tracing: Tracing


def make_telemetry(
    host: str,
    rng: random.Random,
    exporter: SpanExporter | None = None,
    sample_ratio: float = 0.0,
) -> Telemetry:
    """Give the telemetry of a host; without an exporter there are no spans."""
    tracing = Tracing(exporter, sample_ratio, rng, host)
    return Telemetry(EventLog(), Latencies(), tracing)


if __name__ == '__main__':
    sys.stdout.write(catalogue())
