"""Tests of the coordinator's row writes and of the rows' encoding."""

from dataclasses import replace
from types import MappingProxyType

import pytest

from oriolearch.core import segments
from oriolearch.core.authority import Authority
from oriolearch.core.coordinator import Coordinator
from oriolearch.core.errors import ValidationError
from oriolearch.core.messages import (
    AuthorityKey,
    Mandate,
    RenewalReport,
    Segment,
)
from oriolearch.core.model import (
    Assignment,
    Document,
    Fencing,
    HostRef,
    Mobility,
    Pool,
    PoolKind,
    Upstream,
)
from oriolearch.core.rows import Commit, Committed, StoredRow
from oriolearch.simulated_servers import BalancedPlanner

ZONES = 'abcdef'
KEY = AuthorityKey('a', Mobility.MOVABLE)
HOST = HostRef('a0', 1)


class PermanentAuthority(Authority):
    """An authority that is always in force, in term 1."""

    def term(self, now: float) -> int:
        return 1


def report_of(mandate: Mandate, is_lost: bool) -> RenewalReport:
    return RenewalReport(
        KEY,
        1,
        'p',
        mandate.server,
        0 if is_lost else mandate.version,
        is_lost,
        0.5,
        3 if is_lost else 0,
        mandate_version=mandate.version,
    )


class CoordinatorHarness:
    """Runs the coordinator of one of six zones; all writes take effect."""

    def __init__(self, zone: str, servers: int = 3) -> None:
        upstreams = tuple(
            Upstream(f'{name}{number}', '', name)
            for name in ZONES
            for number in range(servers)
        )
        self.pool = Pool('p', PoolKind.KEYED, upstreams, 65_536)
        authority = PermanentAuthority(KEY, HOST, str)
        self.numbers = iter(range(100_000))
        self.coordinator = Coordinator(
            authority,
            zone,
            BalancedPlanner(),
            lambda: str(next(self.numbers)),
        )
        self.coordinator.members = (HOST,)
        self.now = 0.0
        self.written: list[str] = []
        self.rows: dict[int, Segment] = {}  # last written, by index
        self.configure(frozenset(), 1)

    def configure(self, zones_out: frozenset[str], version: int) -> None:
        pools = MappingProxyType({'p': self.pool})
        document = Document(version, pools=pools, zones_out=zones_out)
        self.coordinator.configure(document)

    def run(self, seconds: float, lost: str = '') -> None:
        """Advance the time; the renewer reports all mandates as confirmed.

        :param lost: server that the renewer reports as lost.
        """
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            for effect in self.coordinator.tick(self.now):
                if isinstance(effect, Commit):
                    name = effect.writes[0].key
                    self.written.append(name)
                    key = segments.parse_segment_row_key(name)
                    version = self.written.count(name)
                    row = effect.writes[0].row or {}
                    self.rows[key[1]] = segments.decode_segment(
                        key, version, row
                    )
                    event = Committed(effect.nonce, (self.written.count(name),))
                    self.coordinator.handle(event, self.now)
            self.coordinator.apply_scan(self.now, {}, self.now)
            share = self.coordinator.share(HOST, None, self.now)
            for mandate in share.mandates if share else ():
                report = report_of(mandate, mandate.server == lost)
                self.coordinator.apply_report(HOST, report, self.now)


def test_loss_of_a_server_writes_each_of_its_segments_once() -> None:
    """Recovery with one write per shard would take minutes."""
    harness = CoordinatorHarness('a')
    harness.run(5)
    assert len(harness.written) == 43  # 65,536 shards, 6 zones
    harness.run(3, lost='a1')
    assert len(harness.written) == 2 * 43


def test_loss_of_a_zone_writes_each_of_its_segments_once() -> None:
    """Several writes per segment would exceed the store's capacity."""
    harness = CoordinatorHarness('a')
    harness.run(5)
    harness.coordinator.zone = 'b'  # an adopter that finds the existing rows
    harness.coordinator.working_since = {('p', zone): 0 for zone in ZONES[1:]}
    harness.run(4)
    assert len(harness.written) == 2 * 43


def test_lists_of_a_term_that_reads_its_segments_before_the_document() -> None:
    """Guard against servers that are granted nothing after a total loss.

    All hosts of an installation were lost and restarted. Coordinators that
    had read their segments before the configuration gave their servers empty
    lists, and the shards of two zones of three had no owner for good.
    """
    before = CoordinatorHarness('a')
    before.run(5)
    rows = {
        segments.segment_row_key(('p', index)): StoredRow(
            segment.version, segments.encode_segment(segment, 'n')
        )
        for index, segment in before.rows.items()
    }
    after = CoordinatorHarness('a')
    document = after.coordinator.document
    after.coordinator.document = Document()
    after.coordinator.tick(0.0)
    after.coordinator.apply_scan(0.0, rows, 0.0)
    after.coordinator.tick(0.1)
    after.coordinator.configure(document)
    after.coordinator.tick(0.2)
    share = after.coordinator.share(HOST, None, 0.2)
    assert share is not None
    granted = sum(len(mandate.shards) for mandate in share.mandates)
    owned = sum(len(segment.shards) for segment in before.rows.values())
    assert owned > 0
    assert granted == owned


def test_segment_row_survives_its_codec() -> None:
    """A row that decodes differently would change owners or epochs."""
    shards = tuple(
        Assignment('one' if number % 3 else None, number)
        for number in range(256)
    )
    keys = {'hot': Assignment('two', 9)}
    segment = Segment('p', 4, KEY, 7, shards, keys)
    row = segments.encode_segment(segment, 'nonce')
    assert segments.decode_segment(('p', 4), 7, row) == segment


@pytest.mark.parametrize('missing', ['home', 'owners', 'epochs', 'keys'])
def test_incomplete_segment_row_is_refused(missing: str) -> None:
    """A damaged row read as empty would release shards that have owners."""
    segment = segments.new_segment(('p', 0), KEY)
    row = segments.encode_segment(segment, 'nonce')
    row.pop(missing)
    with pytest.raises(ValidationError):
        segments.decode_segment(('p', 0), 1, row)


@pytest.mark.parametrize(
    ('fencing', 'owner', 'version'),
    [(Fencing.NONE, None, 6), (Fencing.CHECKED, 'b0', 7)],
)
def test_row_of_another_home_is_published_without_owners(
    fencing: Fencing,
    owner: str | None,
    version: int,
) -> None:
    """Only the home coordinator has a record of the withdrawn owners of a row.

    In the soak run with seed 101024, step 80, a host replaced a withdrawal
    with the newer row that another zone's coordinator had read. It kept its
    permit and could send requests to the old owner while the new owner
    already served the shard.

    The published version must be lower than the row's. Otherwise hosts ignore
    the publication of the home, and the shards have no owner on those hosts.
    """
    harness = CoordinatorHarness('a')
    harness.pool = replace(harness.pool, fencing=fencing)
    harness.configure(frozenset(), 2)
    home = AuthorityKey('b', Mobility.MOVABLE)
    shards = (Assignment('b0', 3),) * 256
    segment = Segment('p', 1, home, 7, shards, {'k': Assignment('b0', 3)})
    row = segments.encode_segment(segment, 'n')
    harness.coordinator.tick(1)
    stored = {segments.segment_row_key(('p', 1)): StoredRow(7, row)}
    harness.coordinator.apply_scan(1, stored, 1)
    share = harness.coordinator.share(HOST, None, 1)
    assert share is not None
    published = next(entry for entry in share.segments if entry.index == 1)
    assert {entry.owner for entry in published.shards} == {owner}
    assert published.keys['k'].owner == owner
    assert published.version == version
    assert published.home == (KEY if owner is None else home)
