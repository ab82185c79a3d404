"""Takes a zone out of service and back under load, in a whole cluster."""

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
CALLS = 200  # none of which may reach a zone that is out of service


@pytest.fixture(scope='module')
def load() -> Iterator[demo.LoadGenerator]:
    """Run a cluster under the load of four slow callers.

    All of it runs in one process, which needs 0.4 of a core without callers
    and 0.78 with callers that pause for 0.02 s. Beside other work the hosts
    then renewed leases and authorities too late.
    """
    interval_s = sys.getswitchinterval()
    sys.setswitchinterval(demo.THREAD_SWITCH_INTERVAL_S)
    with Cluster(seed=SEED, log=lambda _: None) as cluster:
        cluster.configure()
        cluster.wait_until('served', cluster.is_served, LIMIT_S)
        load = demo.LoadGenerator(cluster, SEED, pause_s=0.1)
        load.start()
        yield load
        load.stop()
    sys.setswitchinterval(interval_s)


def count_owned_shards(cluster: Cluster) -> int:
    """Return the number of the zone's shards in the view of host a1."""
    view = cluster.hosts['a1'].published.view
    shards: Counter[str | None] = Counter()
    for pool in overview.keyed_pools(view.document):
        shards.update(overview.count_owners(view, pool))
    return sum(
        shards[server.name]
        for server in cluster.servers.values()
        if server.zone == ZONE
    )


def count_runs(cluster: Cluster) -> int:
    return sum(
        len(entries)
        for server in cluster.servers.values()
        if server.zone == ZONE
        for entries in server.standin.ledger.values()
    )


def edit(cluster: Cluster, kind: str, host: str, version: int) -> int:
    operations: list[Mapping[str, Any]] = [{'kind': kind, 'name': ZONE}]
    answer = cluster.admin_client(host).edit(version, operations)
    return int(answer['version'])


def wait_for_calls(load: demo.LoadGenerator, count: int) -> None:
    target = len(load.calls) + count
    load.cluster.wait_until(
        f'{count} calls',
        lambda: len(load.calls) >= target,
        LIMIT_S,
    )


def is_ready(cluster: Cluster, host: str) -> bool:
    url = f'http://{cluster.host_addresses[host].entry}/oriolearch/ready'
    return urllib3.request('GET', url, retries=False).status == 200


def wait_until_empty(load: demo.LoadGenerator) -> None:
    """Wait until the zone owns no shards; check that it gets no requests."""
    cluster = load.cluster
    cluster.wait_until(
        'empty', lambda: not count_owned_shards(cluster), LIMIT_S
    )
    cluster.wait_until('served', cluster.is_served, LIMIT_S)
    wait_for_calls(load, demo.CALLERS * 2)  # lets requests in progress end
    before = count_runs(cluster)
    wait_for_calls(load, CALLS)
    assert count_runs(cluster) == before, 'the zone got new requests'


def test_zone_leaves_and_returns(load: demo.LoadGenerator) -> None:
    """A zone that is out must get no requests, and refill step by step.

    No request may be lost or run twice.
    """
    cluster = load.cluster
    all_shards = count_owned_shards(cluster)
    version = edit(cluster, 'zone-out', 'a1', 1)
    wait_until_empty(load)
    cluster.wait_until('not ready', lambda: not is_ready(cluster, 'b1'))
    assert is_ready(cluster, 'a1')

    version = edit(cluster, 'zone-back', 'c1', version)
    cluster.wait_until(
        'begun', lambda: count_owned_shards(cluster) > 0, LIMIT_S
    )
    assert count_owned_shards(cluster) < all_shards, (
        'the zone got all shards at once'
    )
    with pytest.raises(ConflictError):  # an operator with an old version
        edit(cluster, 'zone-out', 'b2', version - 1)
    version = edit(cluster, 'zone-out', 'b2', version)
    wait_until_empty(load)

    edit(cluster, 'zone-back', 'a2', version)
    cluster.wait_until(
        'full', lambda: count_owned_shards(cluster) == all_shards, LIMIT_S
    )
    cluster.wait_until('ready', lambda: is_ready(cluster, 'b1'))
    before = count_runs(cluster)
    wait_for_calls(load, CALLS)
    assert count_runs(cluster) > before, (
        'the zone got no requests after its return'
    )

    load.stop()
    assert list(demo.find_violations(cluster, load.calls)) == []
