"""Fixtures of the tests of the data path."""

from collections.abc import Callable, Iterator
from typing import Any

import pytest

from oriolearch.adapters.entry import Entry
from oriolearch.core.view import View
from tests.entries import make_entry
from tests.upstreams import FakeUpstream, Script, echo

Started = tuple[Entry, tuple[str, int]]


@pytest.fixture
def upstream() -> Iterator[Callable[..., FakeUpstream]]:
    """Start upstreams that run a script for each request."""
    fakes: list[FakeUpstream] = []

    def starter(script: Script = echo) -> FakeUpstream:
        fakes.append(FakeUpstream(script))
        return fakes[-1]

    yield starter
    for fake in fakes:
        fake.close()


@pytest.fixture
def start() -> Iterator[Callable[..., Started]]:
    """Start entries; they are drained after the test."""
    entries: list[Entry] = []

    def starter(view: View, **settings: Any) -> Started:
        entry = make_entry(view, **settings)
        entries.append(entry)
        return entry, entry.open()

    yield starter
    for entry in entries:
        if not entry.is_stopped.is_set():
            entry.drain(0, 1)
