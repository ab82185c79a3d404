"""Log events, latency metrics and spans of the data path."""

import io
import json
import logging
import random
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from oriolearch.adapters.metrics import Latencies
from oriolearch.adapters.telemetry import JsonLineExporter, make_telemetry
from oriolearch.eventlog import (
    EVENTS_PER_S,
    LOGGER_NAME,
    Event,
    EventLog,
    catalogue,
    configure_logging,
)
from tests.conftest import StartedEntry
from tests.entries import call, make_view, wait_until
from tests.upstreams import FakeUpstream, ReceivedRequest

TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
PARENT_ID = 'b7ad6b7169203331'


@pytest.fixture
def log() -> Iterator[io.StringIO]:
    """Return a stream that collects the log lines."""
    logger = logging.getLogger(LOGGER_NAME)
    handlers = tuple(logger.handlers)
    level = logger.level
    stream = io.StringIO()
    configure_logging(logging.DEBUG, stream)
    yield stream
    logger.handlers.clear()
    for handler in handlers:
        logger.addHandler(handler)
    logger.propagate = True
    logger.setLevel(level)


def test_event_page_is_up_to_date() -> None:
    """docs/events.md must list the events that the code emits."""
    page = Path(__file__).parent.parent / 'docs' / 'events.md'
    assert page.read_text() == catalogue()


def test_event_numbers_are_unique() -> None:
    """Events that share a number could not be told apart."""
    numbers = [event.value.number for event in Event]
    assert len(numbers) == len(set(numbers))


def test_events_are_json_lines_and_rate_limited(log: io.StringIO) -> None:
    """An outage must not log a line for each request."""
    events = EventLog()
    for _ in range(EVENTS_PER_S * 10):
        events.emit(Event.CALLER_ERROR, text='t')
    lines = [json.loads(line) for line in log.getvalue().splitlines()]
    assert len(lines) <= EVENTS_PER_S * 2  # the loop may span two seconds
    assert lines[0]['number'] == Event.CALLER_ERROR.value.number
    assert lines[0]['text'] == 't'
    with pytest.raises(ValueError, match='CALLER_ERROR'):
        events.emit(Event.CALLER_ERROR, other='x')


def test_no_keys_in_log(
    log: io.StringIO,
    upstream: Callable[..., FakeUpstream],
    start: Callable[..., StartedEntry],
) -> None:
    """Keys, paths and credentials must not reach the log."""

    def script(call: ReceivedRequest) -> None:
        call.close()

    fake = upstream(script)
    _, address = start(make_view((), (fake.address,)))
    headers = {'authorization': 'secret-a', 'idempotency-key': 'secret-b'}
    call(address, 'POST', '/orders/secret-c', b'secret-d', headers)
    assert 'attempt_failed' in log.getvalue()
    assert 'secret' not in log.getvalue()


@pytest.mark.parametrize('event', list(Event))
def test_each_event_can_be_emitted(event: Event, log: io.StringIO) -> None:
    """A field name reserved by the logger would raise in production."""
    EventLog().emit(event, **dict.fromkeys(event.value.fields, 1))
    line = json.loads(log.getvalue())
    assert set(event.value.fields) <= set(line)


def test_latencies_in_text_format() -> None:
    """A scraper must find counts and quantiles by pool and outcome."""
    latencies = Latencies()
    for latency_ms in range(1, 101):
        latencies.record('p"', 'ok', latency_ms / 1000)
    text = '\n'.join(latencies.render())
    name = 'oriolearch_request_seconds'
    assert name + r'_count{pool="p\"",outcome="ok"} 100' in text
    line = next(part for part in text.splitlines() if '"0.99"' in part)
    assert float(line.split()[-1]) == pytest.approx(0.099, rel=0.02)


def test_metrics_of_entry(
    upstream: Callable[..., FakeUpstream], start: Callable[..., StartedEntry]
) -> None:
    """Every answered request must be counted."""
    fake = upstream()
    entry, address = start(make_view((fake.address,)))
    for _ in range(3):
        call(address, 'GET', '/files/a')
    sample = 'oriolearch_request_seconds_count{pool="plain",outcome="ok"} 3'
    wait_until(lambda: sample in entry.metrics())
    assert 'oriolearch_ready 1' in entry.metrics()


@pytest.mark.parametrize(
    ('flag', 'ratio', 'names'),
    [
        ('01', 0.0, ['attempt', 'entry']),
        ('00', 1.0, []),
        (None, 0.0, []),
        (None, 1.0, ['attempt', 'entry']),
    ],
)
def test_spans_follow_the_flag_of_the_caller(
    upstream: Callable[..., FakeUpstream],
    start: Callable[..., StartedEntry],
    flag: str | None,
    ratio: float,
    names: list[str],
) -> None:
    """A trace must continue at the upstream, and only if it is sampled."""
    fake = upstream()
    exporter = InMemorySpanExporter()
    telemetry = make_telemetry('h', random.Random(1), exporter, ratio)
    entry, address = start(make_view((fake.address,)), telemetry=telemetry)
    traceparent = f'00-{TRACE_ID}-{PARENT_ID}-{flag}'
    headers = {'traceparent': traceparent} if flag else {}
    call(address, 'GET', '/files/a', headers=headers)
    entry.drain(0, 5)
    spans = {span.name: span for span in exporter.get_finished_spans()}
    assert sorted(spans) == names
    sent = fake.requests[0].headers.get('traceparent')
    if not names:
        assert sent == (traceparent if flag else None)
        return
    context = spans['attempt'].context
    assert context is not None
    ids = f'00-{context.trace_id:032x}-{context.span_id:016x}'
    assert sent is not None
    assert sent.startswith(ids)
    assert int(sent[-2:], 16) & 1
    assert (f'{context.trace_id:032x}' == TRACE_ID) == (flag is not None)


def test_spans_as_json_lines() -> None:
    """The default exporter must write one JSON object per line."""
    stream = io.StringIO()
    telemetry = make_telemetry(
        'h', random.Random(1), JsonLineExporter(stream), 1
    )
    trace = telemetry.tracing.start_trace({})
    assert trace is not None
    trace.end(outcome='ok')
    telemetry.tracing.close()
    assert json.loads(stream.getvalue())['span']['name'] == 'entry'
