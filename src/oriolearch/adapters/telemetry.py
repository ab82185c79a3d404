"""Spans and latencies of a host.

Nothing here takes keys, paths, header values or bodies of requests.
"""

import json
import random
import re
import sys
import threading
import time
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
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

from oriolearch.eventlog import EventLog

LONGEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_S = 60.0
QUANTILES = (0.5, 0.9, 0.99, 0.999)

_TRACEPARENT = re.compile('[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_SAMPLED = 1


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
