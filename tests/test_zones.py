"""A zone leaves and returns under load, through the whole installation."""

import sys
from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

import pytest
import urllib3

from oriolearch import demo, overview
from oriolearch.cluster import Cluster
from oriolearch.core.errors import ConflictError

ZONE = 'b'
SEED = 7
LIMIT_S = 60
CALLS = 200  # that a zone out of service must see nothing of


@pytest.fixture(scope='module')
def load() -> Iterator[demo.Load]:
    """Run an installation with four slow callers."""
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(demo.SWITCH_INTERVAL_S)
    with Cluster(seed=SEED, log=lambda _: None) as cluster:
        cluster.configure()
        cluster.wait_until('served', cluster.is_served, LIMIT_S)
        load = demo.Load(cluster, SEED, pause_s=0.02)
        load.start()
        yield load
        load.stop()
    sys.setswitchinterval(interval_s)


def owned(cluster: Cluster) -> int:
    """Count the shards that the zone's servers own, by the view of a1."""
    view = cluster.hosts['a1'].published.view
    held: Counter[str | None] = Counter()
    for pool in overview.keyed_pools(view.document):
        held.update(overview.owners(view, pool))
    return sum(
        held[server.name]
        for server in cluster.servers.values()
        if server.zone == ZONE
    )


def runs(cluster: Cluster) -> int:
    return sum(
        len(entries)
        for server in cluster.servers.values()
        if server.zone == ZONE
        for entries in server.standin.ledger.values()
    )


def edit(cluster: Cluster, kind: str, host: str, version: int) -> int:
    operations: list[Mapping[str, Any]] = [{'kind': kind, 'name': ZONE}]
    made = cluster.operator(host).edit(version, operations)
    return int(made['version'])


def wait_for(load: demo.Load, count: int) -> None:
    target = len(load.calls) + count
    load.cluster.wait_until(
        f'{count} calls',
        lambda: len(load.calls) >= target,
        LIMIT_S,
    )


def is_ready(cluster: Cluster, host: str) -> bool:
    url = f'http://{cluster.places[host].entry}/oriolearch/ready'
    return urllib3.request('GET', url, retries=False).status == 200


def wait_empty(load: demo.Load) -> None:
    """Wait until the zone owns nothing, and check that it gets no work."""
    cluster = load.cluster
    cluster.wait_until('empty', lambda: not owned(cluster), LIMIT_S)
    cluster.wait_until('served', cluster.is_served, LIMIT_S)
    wait_for(load, demo.CALLERS * 2)  # answers to what was under way
    before = runs(cluster)
    wait_for(load, CALLS)
    assert runs(cluster) == before, 'the zone got new work'


def test_zone_leaves_and_returns(load: demo.Load) -> None:
    """Work in a zone that is out, sudden filling, lost or doubled work."""
    cluster = load.cluster
    full = owned(cluster)
    version = edit(cluster, 'zone-out', 'a1', 1)
    wait_empty(load)
    cluster.wait_until('not ready', lambda: not is_ready(cluster, 'b1'))
    assert is_ready(cluster, 'a1')

    version = edit(cluster, 'zone-back', 'c1', version)
    cluster.wait_until('begun', lambda: owned(cluster) > 0, LIMIT_S)
    assert owned(cluster) < full, 'the zone was filled at once'
    with pytest.raises(ConflictError):  # a second operator with an old page
        edit(cluster, 'zone-out', 'b2', version - 1)
    version = edit(cluster, 'zone-out', 'b2', version)
    wait_empty(load)

    edit(cluster, 'zone-back', 'a2', version)
    cluster.wait_until('full', lambda: owned(cluster) == full, LIMIT_S)
    cluster.wait_until('ready', lambda: is_ready(cluster, 'b1'))
    before = runs(cluster)
    wait_for(load, CALLS)
    assert runs(cluster) > before, 'the zone got no work again'

    load.stop()
    assert list(demo.faults(cluster, load.calls)) == []
