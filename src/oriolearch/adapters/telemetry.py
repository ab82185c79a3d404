"""Tracing of a host, and the telemetry objects of its data path.

Keys, paths, header values and bodies of requests are never recorded here.
"""

import json
import random
import re
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TextIO

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

from oriolearch.adapters.metrics import Latencies
from oriolearch.eventlog import EventLog

_TRACEPARENT = re.compile('[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}')
_SAMPLED = 1


class JsonLineExporter(SpanExporter):
    """Writes each span as a line of JSON."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self.stream = stream or sys.stderr

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans and flush the stream."""
        for span in spans:
            line = json.dumps({'span': json.loads(span.to_json(indent=None))})
            self.stream.write(f'{line}\n')
        self.stream.flush()
        return SpanExportResult.SUCCESS


class Trace:
    """The spans of one sampled request."""

    def __init__(self, tracing: 'Tracing', parent: Context) -> None:
        self.tracing = tracing
        self.entry_span = tracing.tracer.start_span('entry', parent)
        self.context = set_span_in_context(self.entry_span, parent)

    def start_child(self, name: str, **attributes: Any) -> Span:
        """Start a child of the entry span."""
        return self.tracing.tracer.start_span(
            name,
            self.context,
            attributes=attributes,
        )

    def inject(self, span: Span, headers: dict[str, str]) -> None:
        """Set the ``traceparent`` header so that it refers to a span."""
        context = set_span_in_context(span, self.context)
        self.tracing.propagator.inject(headers, context)

    def end(self, **attributes: Any) -> None:
        """End the entry span."""
        self.entry_span.set_attributes(attributes)
        self.entry_span.end()


class Tracing:
    """Starts a trace for each sampled request.

    A request is sampled when the ``traceparent`` of its caller says so. One
    without ``traceparent`` is sampled with the probability ``ratio``.

    :param exporter: receives the spans; tracing is off without one.
    """

    def __init__(
        self,
        exporter: SpanExporter | None,
        ratio: float,
        rng: random.Random,
        host: str,
    ) -> None:
        self.is_enabled = exporter is not None
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

    def start_trace(self, headers: Mapping[str, str]) -> Trace | None:
        """Start the trace of a request; return ``None`` if it is unsampled."""
        if not self.is_enabled:
            return None
        traceparent = headers.get('traceparent')
        if traceparent is None:
            is_sampled = bool(self.ratio) and self.rng.random() < self.ratio
        else:
            is_sampled = bool(
                _TRACEPARENT.fullmatch(traceparent)
                and int(traceparent[-2:], 16) & _SAMPLED,
            )
        if not is_sampled:
            return None
        return Trace(self, self.propagator.extract(headers, Context()))

    def close(self) -> None:
        """Export the remaining spans and shut the exporter down."""
        self.provider.shutdown()


@dataclass(frozen=True, slots=True)
class Telemetry:
    """Log, latency metrics and tracing of the data path."""

    events: EventLog
    latencies: Latencies
    tracing: Tracing


def make_telemetry(
    host: str,
    rng: random.Random,
    exporter: SpanExporter | None = None,
    sample_ratio: float = 0.0,
) -> Telemetry:
    """Return the telemetry of a host; without an exporter tracing is off."""
    tracing = Tracing(exporter, sample_ratio, rng, host)
    return Telemetry(EventLog(), Latencies(), tracing)
