"""Spans of a host, and all that its data path reports to.

Nothing here takes keys, paths, header values or bodies of requests.
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
