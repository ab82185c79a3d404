"""Clients, fixtures and waiting helpers shared by the tests."""

import time
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest
import urllib3

from oriolearch.adapters.entry import Entry
from oriolearch.core.view import View
from tests.entries import make_entry
from tests.upstreams import FakeUpstream, Script, echo

TIMEOUT_S = 20
POLL_INTERVAL_S = 0.005


class Client:
    """Sends requests to a server as the router does.

    A broken connection is returned as status 0.
    """

    def __init__(self, address: str, executor: ThreadPoolExecutor) -> None:
        self.address = address
        self.executor = executor
        self.pool = urllib3.PoolManager(maxsize=32, retries=False)

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = TIMEOUT_S,
        **headers: object,
    ) -> tuple[int, urllib3.HTTPHeaderDict, bytes]:
        """Send a request, with ``_`` in place of ``-`` in header names."""
        prefixed = {
            f'oriolearch-{name.replace("_", "-")}': str(text)
            for name, text in headers.items()
        }
        is_raw = body is None or isinstance(body, bytes)
        try:
            response = self.pool.request(
                method,
                f'http://{self.address}{path}',
                headers=prefixed,
                timeout=timeout_s,
                retries=False,
                **{'body' if is_raw else 'json': body},
            )
        except urllib3.exceptions.HTTPError:
            return 0, urllib3.HTTPHeaderDict(), b''
        return response.status, response.headers, response.data

    def json(self, method: str, path: str, body: Any = None) -> Any:
        """Send a request and return the parsed JSON answer."""
        response = self.pool.request(
            method,
            f'http://{self.address}{path}',
            json=body,
            timeout=TIMEOUT_S,
            retries=False,
        )
        return response.json()

    def call_in_thread(self, *args: Any, **headers: Any) -> Callable[[], Any]:
        """Send a request in another thread; return a function to await it."""
        future = self.executor.submit(self.call, *args, **headers)
        return lambda: future.result(TIMEOUT_S)


@pytest.fixture
def connect() -> Iterator[Callable[[Any], Client]]:
    """Start stand-ins and return clients; stop both after the test."""
    with ThreadPoolExecutor(32) as executor:
        started: list[Any] = []

        def start_standin(standin: Any) -> Client:
            if standin not in started:
                standin.start()
                started.append(standin)
            return Client(standin.address, executor)

        yield start_standin
        for standin in started:
            standin.stop()


def eventually(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; fail after ``TIMEOUT_S``."""
    end = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < end, 'the condition was not met in time'
        time.sleep(POLL_INTERVAL_S)


def advance(owner: Any, duration_s: float) -> None:
    """Advance the manual clock of a stand-in or client."""
    owner.clock.advance(duration_s)


StartedEntry = tuple[Entry, tuple[str, int]]


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
def start() -> Iterator[Callable[..., StartedEntry]]:
    """Start entries, and drain them after the test."""
    entries: list[Entry] = []

    def starter(view: View, **settings: Any) -> StartedEntry:
        entry = make_entry(view, **settings)
        entries.append(entry)
        return entry, entry.open()

    yield starter
    for entry in entries:
        if not entry.is_stopped.is_set():
            entry.drain(0, 1)
