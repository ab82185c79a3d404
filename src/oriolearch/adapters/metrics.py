"""Latencies and counters of a host in the text format for scraping."""

import threading
import time
from collections.abc import Iterable, Mapping
from typing import Any

from hdrh.histogram import HdrHistogram

from oriolearch.eventlog import Event

LONGEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_S = 60.0
QUANTILES = (0.5, 0.9, 0.99, 0.999)


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


def render_events(totals: Mapping[Event, int]) -> list[str]:
    """Give lines that count the log events of each kind, written or not."""
    name = 'oriolearch_events_total'
    lines = [
        f'# HELP {name} Log events, also those that were left out.',
        f'# TYPE {name} counter',
    ]
    lines.extend(
        f'{name}{{event="{event.name.lower()}"}} {total}'
        for event, total in sorted(totals.items(), key=_number_of)
    )
    return lines


def render_store_calls(outcomes: Mapping[tuple[str, str], int]) -> list[str]:
    """Give lines that count the calls of the store by path and outcome."""
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


def _number_of(counted: tuple[Event, int]) -> int:
    return counted[0].value.number
