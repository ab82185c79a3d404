"""Latencies and counters of a host in the Prometheus text format."""

import threading
import time
from collections.abc import Iterable, Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

from oriolearch.eventlog import Event

MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
QUANTILE_WINDOW_S = 60.0
QUANTILES = (0.5, 0.9, 0.99, 0.999)


def _make_histogram() -> Any:
    histogram_type: Any = HdrHistogram  # the library is untyped
    return histogram_type(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


class _Series:
    """Latencies of one pool and outcome.

    The quantiles cover the current and the previous window; count and sum
    cover the lifetime of the process.
    """

    def __init__(self) -> None:
        self.current = _make_histogram()
        self.previous = _make_histogram()
        self.window_end = 0.0
        self.count = 0
        self.total_s = 0.0

    def rotate(self, now: float) -> None:
        """Start a new window if the current one has ended."""
        if now < self.window_end:
            return
        if now < self.window_end + QUANTILE_WINDOW_S:
            self.previous = self.current
        else:
            self.previous = _make_histogram()
        self.current = _make_histogram()
        self.window_end = now + QUANTILE_WINDOW_S


class Latencies:
    """Latencies of requests by pool and outcome."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.series: dict[tuple[str, str], _Series] = {}

    def record(self, pool: str, outcome: str, seconds: float) -> None:
        """Add the latency of a request."""
        micros = min(max(int(seconds * 1e6), 1), MAX_LATENCY_US)
        with self.lock:
            series = self.series.get((pool, outcome))
            if series is None:
                series = _Series()
                self.series[(pool, outcome)] = series
            series.rotate(time.monotonic())
            series.current.record_value(micros)
            series.count += 1
            series.total_s += seconds

    def render(self) -> list[str]:
        """Return the latencies as lines of the Prometheus text format."""
        name = 'oriolearch_request_seconds'
        lines = [
            f'# HELP {name} Time from arrival to the end of the answer.',
            f'# TYPE {name} summary',
        ]
        with self.lock:
            for (pool, outcome), series in sorted(self.series.items()):
                series.rotate(time.monotonic())
                labels = f'pool="{_escape(pool)}",outcome="{_escape(outcome)}"'
                recent = _make_histogram()
                recent.add(series.previous)
                recent.add(series.current)
                for quantile in QUANTILES:
                    latency_s = (
                        recent.get_value_at_percentile(quantile * 100) / 1e6
                    )
                    lines.append(
                        f'{name}{{{labels},quantile="{quantile}"}} {latency_s}',
                    )
                lines.append(f'{name}_sum{{{labels}}} {series.total_s}')
                lines.append(f'{name}_count{{{labels}}} {series.count}')
        return lines


def _escape(label: str) -> str:
    escaped = label.replace('\\', r'\\').replace('"', r'\"')
    return escaped.replace('\n', r'\n')


def render_gauges(
    name: str,
    help_text: str,
    samples: Iterable[tuple[Mapping[str, str], float]],
) -> list[str]:
    """Return the lines of one gauge in the Prometheus text format."""
    lines = [f'# HELP {name} {help_text}', f'# TYPE {name} gauge']
    for labels, number in samples:
        label_text = ','.join(
            f'{label}="{_escape(value)}"' for label, value in labels.items()
        )
        lines.append(
            f'{name}{{{label_text}}} {number}'
            if label_text
            else f'{name} {number}'
        )
    return lines


def render_events(totals: Mapping[Event, int]) -> list[str]:
    """Return lines with the number of log events, suppressed ones included."""
    name = 'oriolearch_events_total'
    lines = [
        f'# HELP {name} Log events, also those that were left out.',
        f'# TYPE {name} counter',
    ]
    lines.extend(
        f'{name}{{event="{event.name.lower()}"}} {total}'
        for event, total in sorted(totals.items(), key=_event_number)
    )
    return lines


def render_store_calls(outcomes: Mapping[tuple[str, str], int]) -> list[str]:
    """Return lines with the number of store calls by path and outcome."""
    name = 'oriolearch_store_calls_total'
    lines = [
        f'# HELP {name} Calls of the store.',
        f'# TYPE {name} counter',
    ]
    lines.extend(
        f'{name}{{path="{_escape(path)}",outcome="{_escape(outcome)}"}} {total}'
        for (path, outcome), total in sorted(outcomes.items())
    )
    return lines


def _event_number(event_total: tuple[Event, int]) -> int:
    return event_total[0].value.number
