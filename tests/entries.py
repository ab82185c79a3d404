"""Helpers that create entries and views and send requests."""

import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from typing import Any

from oriolearch.adapters.entry import Entry
from oriolearch.adapters.exchange import (
    DataPathSettings,
    PublishedView,
    ServerClockReading,
)
from oriolearch.adapters.telemetry import Telemetry
from oriolearch.core.messages import AuthorityKey, Segment
from oriolearch.core.model import (
    Assignment,
    Document,
    KeySource,
    Mobility,
    Pool,
    PoolKind,
    Route,
    Upstream,
)
from oriolearch.core.view import View

AUTHORITY_KEY = AuthorityKey('a', Mobility.MOVABLE)
WAIT_S = 20.0


def make_view(
    plain: tuple[str, ...] = (),
    keyed: tuple[str, ...] = (),
    owner: str = 'k0',
    epoch: int = 1,
    permit_end: float = 0,
    **keyed_settings: Any,
) -> View:
    """Return a view with a plain and a keyed pool at these addresses."""
    upstreams = {
        letter: tuple(
            Upstream(f'{letter}{number}', address, 'a', slots=8)
            for number, address in enumerate(addresses)
        )
        for letter, addresses in (('p', plain), ('k', keyed))
    }
    pools = {
        'plain': Pool('plain', PoolKind.PLAIN, upstreams['p']),
        'keyed': Pool(
            'keyed',
            PoolKind.KEYED,
            upstreams['k'],
            shard_count=256,
            **keyed_settings,
        ),
    }
    key = KeySource(path_segment=1)
    routes = {
        'files': Route('files', '/files', 'plain'),
        'orders': Route('orders', '/orders', 'keyed', key=key),
    }
    shards = (Assignment(owner, epoch),) * 256
    segments = {('keyed', 0): Segment('keyed', 0, AUTHORITY_KEY, epoch, shards)}
    document = Document(1, routes, pools)
    return View(document, segments, {AUTHORITY_KEY: permit_end})


def make_entry(
    view: View,
    clocks: Mapping[str, ServerClockReading] | None = None,
    telemetry: Telemetry | None = None,
    **settings: Any,
) -> Entry:
    """Return an entry on a free port, with short timeouts."""
    return Entry(
        ('127.0.0.1', 0),
        PublishedView(view),
        DataPathSettings('a', 'h', **({'owner_wait_s': 0.5} | settings)),
        random.Random(1),
        telemetry,
        clocks,
    )


@dataclass(frozen=True)
class Result:
    """Answer that a caller received; status 0 is a broken connection."""

    status: int
    body: bytes = b''
    outcome: str | None = None
    retry_after: str | None = None


def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Any = None,
    headers: Mapping[str, str] | None = None,
) -> Result:
    """Send a request on a new connection."""
    conn = HTTPConnection(*address, timeout=WAIT_S)
    try:
        conn.request(method, path, body=body, headers=dict(headers or {}))
        response = conn.getresponse()
        return Result(
            response.status,
            response.read(),
            response.headers.get('oriolearch-outcome'),
            response.headers.get('retry-after'),
        )
    except (OSError, HTTPException):
        return Result(0)
    finally:
        conn.close()


def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition holds; fail after ``WAIT_S``."""
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end, 'the condition was not met in time'
        time.sleep(0.005)
