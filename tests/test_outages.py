"""Tests the outage table of docs/design.md, section 2.5, in simulated time."""

import itertools
from collections.abc import Callable

import pytest

from oriolearch.core.messages import AuthorityKey
from oriolearch.core.model import Mobility
from oriolearch.deliberate import STATE_MACHINES
from oriolearch.soak import Soak

SAMPLE_PERIOD_S = 0.05
MAX_SERVED_GAP_S = 0.1
Group = tuple[str, str]  # pool and home zone before the fault


def holder(run: Soak, mobility: Mobility = Mobility.MOVABLE) -> str:
    """Return the host that holds an authority of zone a."""
    key = AuthorityKey('a', mobility)
    return next(
        name
        for name, host in run.cluster.hosts.items()
        if key in host.authorities
        and host.authorities[key].is_valid(host.clock())
    )


def kill_zone(run: Soak) -> None:
    for name, host in run.cluster.hosts.items():
        if host.zone == 'a':
            run.cluster.kill(name)
    for server in run.cluster.servers.values():
        if server.zone == 'a':
            server.kill()


def kill_successor(run: Soak) -> None:
    run.cluster.kill(next(n for n in ('a0', 'a1') if n != holder(run)))


def kill_servers(run: Soak) -> None:
    run.server('checked-a0').kill()
    run.server('pinned-a0').kill()


def kill_server_and_renewer(run: Soak) -> None:
    """Kill a server and the host that renews its grants, as in one rack."""
    host = run.cluster.hosts[holder(run)]
    coordinator = host.coordinators[AuthorityKey('a', Mobility.MOVABLE)]
    term = coordinator._current_term(host.clock())
    assert term is not None
    renewer = term.servers['checked', 'checked-a0'].renewer
    assert renewer is not None
    run.server('checked-a0').kill()
    run.cluster.kill(renewer.host)


FAULTS: dict[str, Callable[[Soak], None]] = {
    'store': lambda run: setattr(run.simulation.faults, 'table_down', 1),
    'store cut': lambda run: run.simulation.faults.table_cuts.add('a'),
    'zones cut': lambda run: run.isolate('a'),
    'zone lost': kill_zone,
    'coordinator': lambda run: run.cluster.kill(holder(run)),
    'taker': kill_successor,
    'server': kill_servers,
    'server and renewer': kill_server_and_renewer,
    'server frozen': lambda run: run.freeze('checked-a0'),
    'holder paused': lambda run: run.pause(holder(run)),
    'planned stop': lambda run: run.stop(holder(run)),
    'host': lambda run: run.cluster.kill('a1'),
}


class Measurement:
    """Longest outage of each group of shards under some faults."""

    def __init__(self, faults: tuple[str, ...], seconds: float = 5) -> None:
        self.run = Soak(STATE_MACHINES['none'])
        self.run.advance(5)
        self.longest_outages: dict[Group, float] = {}
        self.unserved_counts: dict[Group, int] = {}
        self.home_groups = self.find_homes()
        assert not self.run.all_shards() - self.run.served_shards()
        for fault in faults:
            FAULTS[fault](self.run)
        since: dict[tuple[str, int], float] = {}
        for _ in range(round(seconds / SAMPLE_PERIOD_S)):
            self.run.advance(SAMPLE_PERIOD_S)
            self.sample(since)

    def find_homes(self) -> dict[tuple[str, int], Group]:
        homes = {}
        for pool, shard in self.run.all_shards():
            segment = self.run.cluster.ledger.segment((pool, shard // 256))
            assert segment is not None
            homes[pool, shard] = (pool, segment.home.zone)
        return homes

    def sample(self, since: dict[tuple[str, int], float]) -> None:
        now = self.run.simulation.now
        unserved = self.run.all_shards() - self.run.served_shards()
        self.unserved_counts = dict.fromkeys(self.home_groups.values(), 0)
        for shard in list(since):
            if shard not in unserved:
                since.pop(shard)
        for shard in unserved:
            group = self.home_groups[shard]
            self.unserved_counts[group] += 1
            gap = now - since.setdefault(shard, now - SAMPLE_PERIOD_S)
            self.longest_outages[group] = max(
                self.longest_outages.get(group, 0), gap
            )

    def outcome(self, group: Group) -> str:
        if self.unserved_counts[group] == 256:
            return 'stopped'
        if self.unserved_counts[group]:
            return 'partly'
        return (
            'moved'
            if self.longest_outages.get(group, 0) > MAX_SERVED_GAP_S
            else 'served'
        )


# Columns: faults; expected outcome for the checked shards of zone a, movable
# and pinned; longest allowed outage in seconds of shards that are served in the
# end; other zones whose movable shards stop.
TABLE = [
    (('store',), 'served', 'served', 0, ''),
    (('store cut',), 'served', 'served', 0, ''),
    (('zones cut',), 'served', 'served', 0, ''),
    (('zones cut', 'store cut'), 'moved', 'served', 3, ''),
    (('zone lost',), 'moved', 'stopped', 4, ''),
    (('store', 'zones cut'), 'stopped', 'served', 0, 'c'),
    (('store', 'coordinator'), 'stopped', 'stopped', 0, ''),
    (('store', 'taker'), 'stopped', 'stopped', 0, 'c'),
    (('store', 'server'), 'partly', 'partly', 8, ''),
    (('server',), 'moved', 'moved', 2, ''),
    (('server frozen',), 'moved', 'served', 2, ''),
    (('server and renewer',), 'moved', 'any', 2, ''),
    (('coordinator',), 'moved', 'moved', 2, ''),
    (('server', 'coordinator'), 'moved', 'moved', 3.2, ''),
    (('host',), 'moved', 'any', 2, ''),
    (('holder paused',), 'moved', 'moved', 2, ''),
    (('planned stop',), 'served', 'served', 0.1, ''),
]


@pytest.mark.parametrize(
    ('faults', 'movable', 'pinned', 'bound_s', 'stopped'),
    TABLE,
    ids=[' and '.join(row[0]) for row in TABLE],
)
def test_outage_table(
    faults: tuple[str, ...],
    movable: str,
    pinned: str,
    bound_s: float,
    stopped: str,
) -> None:
    """No shards may stop without need, or for longer than the table allows."""
    measured = Measurement(faults)
    assert measured.outcome(('checked', 'a')) == movable
    assert pinned in {'any', measured.outcome(('pinned', 'a'))}
    for zone in 'bc':
        expected = 'stopped' if zone in stopped else 'served'
        assert measured.outcome(('checked', zone)) == expected
        assert measured.outcome(('pinned', zone)) == 'served'
    for group, gap in measured.longest_outages.items():
        assert measured.outcome(group) == 'stopped' or gap <= bound_s, group


PAIRS = list(
    itertools.combinations(
        ('store', 'store cut', 'zones cut', 'coordinator', 'server'),
        2,
    ),
)


@pytest.mark.parametrize('faults', PAIRS, ids=' and '.join)
def test_all_shards_recover_from_a_pair(faults: tuple[str, ...]) -> None:
    """All shards must be served again after a pair of faults ends."""
    measured = Measurement(faults, 2)
    measured.run.heal()
    measured.run.recover()
