"""Decisions of a coordinator: who owns what, and when it may change.

The table names for each shard the only server that may hold a grant for it:
the row is written after the old owner's grant is over (G2) and before the new
owner receives one (G1). A coordinator that takes over may therefore renew
every owner it finds at once, and never needs to know which moves its
predecessor had begun.
"""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import chain
from typing import Protocol, TypeVar

from oriolearch.core.authority import COMMIT_PATIENCE_S, Authority, Nonces
from oriolearch.core.errors import InvariantError, ValidationError
from oriolearch.core.grants import MAX_FAILURES, PERMIT_S, Granter, ServerKey
from oriolearch.core.membership import Rendezvous
from oriolearch.core.messages import (
    AuthorityKey,
    Mandate,
    Permit,
    RenewalReport,
    Revision,
    Segment,
)
from oriolearch.core.model import (
    SHARDS_PER_SEGMENT,
    Assignment,
    Document,
    Fencing,
    HostRef,
    Mobility,
    Pool,
    PoolKind,
    Upstream,
)
from oriolearch.core.rows import (
    AUTHORITY_TABLE,
    SEGMENT_TABLE,
    Commit,
    Committed,
    Refused,
    RowCondition,
    RowWrite,
    StoredRow,
    Unresolved,
    row_key,
)
from oriolearch.core.segments import (
    SegmentKey,
    decode_segment,
    encode_segment,
    natural_home,
    new_segment,
    parse_segment_row_key,
    segment_keys,
    segment_row_key,
    shard_numbers,
    with_owners,
)
from oriolearch.core.splitting import (
    SplitScene,
    key_lists,
    server_loads,
    without_followers,
)

SCAN_PATIENCE_S = 0.5
SCAN_PERIOD_S = 20.0
HINT_PERIOD_S = 0.5
PLAN_PERIOD_S = 1.0  # also without an event that changes the plan
SETTLE_S = 3.0  # a first placement waits so long for servers to answer
MOVES_LIMIT = 16  # owned shards that move at the same time for balance
HAND_LIMIT = 2  # segments that change zones at the same time as planned
HOME_DELAY_S = 5.0  # a zone is back for this long before it gets segments

_Unit = TypeVar('_Unit', int, str)


@dataclass(frozen=True, slots=True)
class Move:
    """A shard that should change its owner.

    :param source: the owner so far, if it has one.
    """

    shard: int
    source: str | None
    target: str


class Planner(Protocol):
    """Chooses owners."""

    def plan(
        self,
        shards: Mapping[int, str | None],
        servers: Mapping[str, float],
        limit: int,
    ) -> tuple[Move, ...]:
        """Place all shards without an owner, and move some others.

        :param servers: weight of each server that can take shards.
        :param limit: moves of shards that have an owner.
        """


@dataclass(frozen=True, slots=True)
class ScanSegments:
    """Effect: read all segment rows."""

    key: AuthorityKey


@dataclass(frozen=True, slots=True)
class ReadSegment:
    """Effect: read one segment row."""

    key: AuthorityKey
    segment: SegmentKey


@dataclass(frozen=True, slots=True)
class HintSegment:
    """Effect: tell the coordinator of the new home that it has a segment."""

    home: AuthorityKey
    segment: SegmentKey


Effect = Commit | ScanSegments | ReadSegment | HintSegment


@dataclass(frozen=True, slots=True)
class Share:
    """What one host is given at a sync."""

    permit: Permit
    mandates: tuple[Mandate, ...]
    segments: tuple[Segment, ...]


@dataclass(frozen=True, slots=True)
class _Release:
    """A shard that was taken from its owner.

    :param version: first list of the owner without the shard.
    """

    owner: str | None
    version: int | None
    withdrawn: float


@dataclass(slots=True)
class _Write:
    """A segment write that may still take effect."""

    nonce: str
    segment: Segment
    issued: float
    issues: int = 0


@dataclass(slots=True)
class _Server:
    """What is known of a server of the zone.

    :param shards: list of the newest mandate.
    :param has_answered: it lived at some time in this term.
    """

    version: int = 1
    shards: tuple[tuple[int, int], ...] = ()
    keys: tuple[tuple[str, int], ...] = ()
    renewer: HostRef | None = None
    has_answered: bool = False
    is_lost: bool = False

    def take(self, report: RenewalReport) -> None:
        """Take in a report on the newest list of a server that answers."""
        if report.stopped:
            self.version += 1  # a stopped renewer needs a new mandate
        elif report.confirmed_version == self.version:
            self.has_answered = True
            self.is_lost = False


@dataclass(slots=True)
class _Held:
    segment: Segment
    changed: int
    is_owned: bool = field(init=False)

    def __post_init__(self) -> None:
        """Note whether every shard has an owner."""
        self.is_owned = all(one.owner for one in self.segment.shards)


@dataclass(slots=True)
class _Term:
    """All that a coordinator forgets when its term ends."""

    granter: Granter
    number: int = 0
    is_recovered: bool = False
    scanned: float = -SCAN_PERIOD_S
    is_dirty: bool = True
    held: dict[SegmentKey, _Held] = field(default_factory=dict)
    others: dict[SegmentKey, _Held] = field(default_factory=dict)
    writes: dict[SegmentKey, _Write] = field(default_factory=dict)
    releases: dict[tuple[str, int], _Release] = field(default_factory=dict)
    key_releases: dict[tuple[str, str], _Release] = field(default_factory=dict)
    servers: dict[ServerKey, _Server] = field(default_factory=dict)
    handed: dict[SegmentKey, AuthorityKey] = field(default_factory=dict)
    listed: int = -1
    hinted: float = 0.0
    planned: float = 0.0
    charged: tuple[int, tuple[HostRef, ...]] | None = None


def _number(
    releases: dict[tuple[str, _Unit], _Release],
    pool: Pool,
    versions: Mapping[str | None, int],
) -> None:
    for name, release in releases.items():
        if name[0] == pool.name and release.version is None:
            version = versions.get(release.owner, 0)
            releases[name] = replace(release, version=version)


class Coordinator:
    """Acts for one authority while this host holds it.

    The host keeps the public attributes up to date.

    :param zone: zone of the host itself.
    :param members: live hosts that can be charged with renewing.
    :param homes: since when each ``(pool, zone)`` has had servers that work,
        by what other coordinators say.
    :param hot_keys: by pool, the share of each key that is to be split.
    """

    granter_type = Granter

    def __init__(
        self,
        authority: Authority,
        zone: str,
        planner: Planner,
        nonces: Nonces,
    ) -> None:
        self.authority = authority
        self.key: AuthorityKey = authority.key
        self.zone = zone
        self.document = Document()
        self.members: tuple[HostRef, ...] = ()
        self.homes: Mapping[tuple[str, str], float] = {}
        self.hot_keys: Mapping[str, Mapping[str, float]] = {}
        self.order_limits: dict[str, float] = {}
        self._planner = planner
        self._nonces = nonces
        self._renewers = Rendezvous('renewer')
        self._term: _Term | None = None

    def configure(self, document: Document) -> None:
        """Apply a newer configuration; an older one is ignored."""
        if document.version < self.document.version:
            return
        self.document = document
        for name, pool in document.pools.items():
            # Hosts may still use an earlier, longer limit.
            known = self.order_limits.get(name, 0)
            self.order_limits[name] = max(known, pool.order_limit_s)
        if self._term is not None:
            self._term.is_dirty = True

    def tick(self, now: float) -> list[Effect]:
        """Do what is due; nothing without a valid authority."""
        term = self._current(now)
        if term is None:
            return []
        effects: list[Effect] = []
        if now >= term.scanned + self._scan_period(term):
            term.scanned = now
            effects.append(ScanSegments(self.key))
        if not term.is_recovered:
            return effects
        self._charge_renewers(term)
        if now >= term.planned + PLAN_PERIOD_S:
            term.is_dirty = True
        for pool in self._pools():
            self._bootstrap(term, pool)
            if term.is_dirty:
                self._withdraw(term, pool, now)
        if term.number != term.listed:
            term.listed = term.number
            for pool in self._pools():
                self._update_lists(term, pool)
        if term.is_dirty:
            term.planned = now
        term.is_dirty = False
        for pool in self._pools():
            self._place(term, pool, now)
        effects.extend(self._issue(term, now))
        return effects + self._hints(term, now)

    def scanned(
        self,
        asked: float,
        rows: Mapping[str, StoredRow],
        now: float,
    ) -> list[ValidationError]:
        """Take in all segment rows; only a scan of this term counts.

        Rows that cannot be read are passed over and give the result. They
        are never overwritten, since a write of their segment is conditional
        on a version that was read.
        """
        term = self._current(now)
        if term is None or asked < term.granter.began:
            return []
        faults = []
        for name, stored in rows.items():
            try:
                self._absorb(term, parse_segment_row_key(name), stored)
            except ValidationError as error:
                faults.append(error)
        term.is_recovered = True
        return faults

    def read(self, key: SegmentKey, stored: StoredRow, now: float) -> None:
        """Take in one segment row."""
        term = self._current(now)
        if term is not None and term.is_recovered:
            self._absorb(term, key, stored)

    def hinted(self, key: SegmentKey, now: float) -> list[Effect]:
        """Learn that another coordinator handed a segment to this one."""
        term = self._current(now)
        if term is None or key in term.held:
            return []
        return [ReadSegment(self.key, key)]

    def acknowledged(self, key: SegmentKey, home: AuthorityKey) -> None:
        """Learn that the coordinator of a home knows of a segment."""
        if self._term is not None and self._term.handed.get(key) == home:
            self._term.handed.pop(key)

    def holds(self, key: SegmentKey, now: float) -> bool:
        """Tell whether this coordinator knows that a segment is its own."""
        term = self._current(now)
        return term is not None and key in term.held

    def handle(
        self,
        event: Committed | Refused | Unresolved,
        now: float,
    ) -> list[Effect]:
        """Take in the outcome of a segment write."""
        term = self._current(now)
        if term is None:
            return []
        for key, write in term.writes.items():
            if write.nonce == event.nonce:
                return self._resolve(term, key, write, event)
        return []

    def reported(
        self,
        host: HostRef,
        report: RenewalReport,
        now: float,
    ) -> None:
        """Take in a renewer's report."""
        term = self._current(now)
        if term is None or report.term != term.granter.term:
            return
        term.granter.reported(host, report, now)
        server = term.servers.get((report.pool, report.server))
        if server is None or server.renewer != host:
            return
        was = server.has_answered, server.is_lost
        if report.failures >= MAX_FAILURES:
            server.is_lost = True
        elif report.mandate_version == server.version and not report.failures:
            server.take(report)
        if was != (server.has_answered, server.is_lost):
            term.is_dirty = True

    def share(
        self,
        host: HostRef | None,
        known: Revision | None,
        now: float,
    ) -> Share | None:
        """Answer a sync; ``None`` without a valid authority.

        :param host: whose mandates to give; ``None`` for those of all hosts,
            which costs one pass over the servers.
        """
        term = self._current(now)
        if term is None or not term.is_recovered:
            return None
        since = -1
        if known is not None and known.term == term.granter.term:
            since = known.number
        changed = tuple(
            self._published(term, held)
            for held in chain(term.held.values(), term.others.values())
            if held.changed > since and held.segment.version
        )
        revision = Revision(term.granter.term, term.number)
        return Share(
            Permit(self.key, revision, PERMIT_S),
            tuple(self._mandates(term, host, now)),
            changed,
        )

    def working_pools(self, now: float) -> frozenset[str]:
        """Give the pools that have a server here that can take shards."""
        term = self._current(now)
        if term is None or self.zone != self.key.zone:
            return frozenset()
        return frozenset(
            pool.name for pool in self._pools() if self._usable(term, pool)
        )

    def _current(self, now: float) -> _Term | None:
        number = self.authority.term(now)
        if number is None:
            return None
        if self._term is None or self._term.granter.term != number:
            self._term = _Term(self.granter_type(number, now))
        return self._term

    def _scan_period(self, term: _Term) -> float:
        return SCAN_PERIOD_S if term.is_recovered else SCAN_PATIENCE_S

    def _pools(self) -> Iterator[Pool]:
        for pool in self.document.pools.values():
            is_keyed = pool.kind is PoolKind.KEYED
            if is_keyed and pool.mobility is self.key.mobility:
                yield pool

    def _in_service(self, pool: Pool) -> list[Upstream]:
        document = self.document
        if self.key.zone in document.zones_out or self.zone != self.key.zone:
            return []
        return [
            upstream
            for upstream in pool.upstreams
            if upstream.zone == self.key.zone
            and upstream.name not in document.hosts_out
        ]

    def _usable(self, term: _Term, pool: Pool) -> dict[str, float]:
        usable = {}
        for upstream in self._in_service(pool):
            server = term.servers.get((pool.name, upstream.name))
            if server and server.has_answered and not server.is_lost:
                usable[upstream.name] = upstream.weight
        return usable

    def _absorb(
        self,
        term: _Term,
        key: SegmentKey,
        stored: StoredRow,
    ) -> None:
        held = term.held.get(key) or term.others.get(key)
        if held is not None and stored.version <= held.segment.version:
            return
        segment = replace(new_segment(key, self.key), version=stored.version)
        if stored.row is not None:
            segment = decode_segment(key, stored.version, stored.row)
        term.number += 1
        term.is_dirty = True
        term.writes.pop(key, None)
        self._forget_releases(term, held, segment)
        term.held.pop(key, None)
        term.others.pop(key, None)
        kept = term.held if segment.home == self.key else term.others
        term.handed.pop(key, None)
        if segment.home != self.key:
            # Its coordinator may have read the table before it was handed.
            term.handed[key] = segment.home
            term.hinted = 0
        kept[key] = _Held(segment, term.number)

    def _forget_releases(
        self,
        term: _Term,
        held: _Held | None,
        segment: Segment,
    ) -> None:
        if held is None:
            return
        pairs = zip(shard_numbers(held.segment), segment.shards, strict=True)
        for (shard, old), new in pairs:
            if old != new or segment.home != self.key:
                term.releases.pop((segment.pool, shard), None)
        for name, one in held.segment.keys.items():
            if segment.keys.get(name) != one or segment.home != self.key:
                term.key_releases.pop((segment.pool, name), None)

    def _bootstrap(self, term: _Term, pool: Pool) -> None:
        for key in segment_keys(pool):
            if key in term.held or key in term.others:
                continue
            home = natural_home(pool, key[1], self._excluded())
            if home == self.key.zone:
                segment = new_segment(key, self.key)
                term.held[key] = _Held(segment, term.number)
                term.is_dirty = True

    def _excluded(self) -> frozenset[str]:
        is_pinned = self.key.mobility is Mobility.PINNED
        return frozenset() if is_pinned else self.document.zones_out

    def _charge_renewers(self, term: _Term) -> None:
        # The loss of the coordinator should not end the renewals as well.
        others = [ref for ref in self.members if ref != self.authority.ref]
        charged = self.document.version, tuple(others or self.members)
        if charged == term.charged:
            return
        term.charged = charged
        refs = {ref.host: ref for ref in charged[1]}
        self._renewers.update(refs)
        for pool in self._pools():
            for upstream in pool.upstreams:
                if upstream.zone != self.key.zone:
                    continue
                name = pool.name, upstream.name
                server = term.servers.setdefault(name, _Server())
                host = self._renewers.choose(upstream.name)
                server.renewer = refs[host] if host else None

    def _target_zone(
        self,
        term: _Term,
        pool: Pool,
        index: int,
        now: float,
    ) -> str | None:
        """Give the zone that a segment should be handed to, if any."""
        if self.key.mobility is Mobility.PINNED:
            return None
        out = self.document.zones_out
        home = natural_home(pool, index, out)
        is_adopted = self.zone != self.key.zone
        if is_adopted or self.key.zone in out or self._is_deserted(term, pool):
            open_zones = {
                zone for name, zone in self.homes if name == pool.name
            }
            every = {upstream.zone for upstream in pool.upstreams}
            excluded = out | (every - open_zones) | {self.key.zone}
            return natural_home(pool, index, frozenset(excluded))
        since = self.homes.get((pool.name, home or ''))
        is_back = since is not None and now >= since + HOME_DELAY_S
        return home if home != self.key.zone and is_back else None

    def _is_deserted(self, term: _Term, pool: Pool) -> bool:
        servers = self._in_service(pool)
        states = [term.servers.get((pool.name, one.name)) for one in servers]
        return all(state is not None and state.is_lost for state in states)

    def _unwritten(
        self,
        term: _Term,
        pool: Pool,
    ) -> list[tuple[SegmentKey, _Held]]:
        return [
            (key, held)
            for key, held in term.held.items()
            if key[0] == pool.name and key not in term.writes
        ]

    def _withdraw(self, term: _Term, pool: Pool, now: float) -> None:
        """Take shards from owners that may not or need not keep them."""
        in_service = {upstream.name for upstream in self._in_service(pool)}
        busy = set(self._moving(term, pool))
        for key, held in self._unwritten(term, pool):
            wanted = self._to_withdraw(term, pool, held, in_service, now)
            lost = [one for one in wanted if self._is_lost(term, pool, one[1])]
            is_bounded = key not in busy and len(busy) >= HAND_LIMIT
            chosen = lost if is_bounded else wanted
            for shard, owner in chosen:
                self._release(term, held, shard, owner, now)
            if len(chosen) > len(lost):
                busy.add(key)
        self._withdraw_keys(term, pool, in_service, now)
        if not any(name == pool.name for name, _ in term.releases):
            self._balance(term, pool, now)

    def _withdraw_keys(
        self,
        term: _Term,
        pool: Pool,
        in_service: set[str],
        now: float,
    ) -> None:
        """List hot keys, and take split ones from their owners."""
        hot = self.hot_keys.get(pool.name)
        concerned = [
            held
            for _, held in self._unwritten(term, pool)
            if held.segment.version and (hot or held.segment.keys)
        ]
        if not concerned:
            return
        owners = {
            one.owner
            for held in concerned
            for one in held.segment.keys.values()
        }
        gone = frozenset(
            name
            for name in owners
            if name not in in_service or self._is_lost(term, pool, name)
        )
        scene = self._scene(term, pool)
        for held in concerned:
            listed = scene.listed(held.segment)
            if listed is not None:
                self._write(term, listed)
            elif self._release_keys(term, pool, held, scene, gone, now):
                scene = self._scene(term, pool)

    def _release_keys(
        self,
        term: _Term,
        pool: Pool,
        held: _Held,
        scene: SplitScene,
        gone: frozenset[str | None],
        now: float,
    ) -> bool:
        index = held.segment.index
        is_leaving = self._target_zone(term, pool, index, now) is not None
        names = tuple(scene.to_release(held.segment, gone, is_leaving))
        for name in names:
            owner = held.segment.keys[name].owner
            release = _Release(owner, None, now)
            term.key_releases[pool.name, name] = release
            term.number += 1
            held.changed = term.number
        return bool(names)

    def _scene(self, term: _Term, pool: Pool) -> SplitScene:
        segments = self._segments(term, pool)
        hot = self.hot_keys.get(pool.name)
        return SplitScene(
            pool,
            hot,
            self._usable(term, pool),
            server_loads(pool, segments, hot or {}),
            *self._released(term, pool),
        )

    def _segments(self, term: _Term, pool: Pool) -> list[Segment]:
        return [
            held.segment
            for key, held in term.held.items()
            if key[0] == pool.name
        ]

    def _released(
        self,
        term: _Term,
        pool: Pool,
    ) -> tuple[set[int], set[str]]:
        shards = {one for name, one in term.releases if name == pool.name}
        keys = {one for name, one in term.key_releases if name == pool.name}
        return shards, keys

    def _free_keys(
        self,
        term: _Term,
        pool: Pool,
        segment: Segment,
        now: float,
    ) -> set[str]:
        return {
            name
            for name in segment.keys
            if (pool.name, name) in term.key_releases
            and self._is_free(
                term,
                pool,
                term.key_releases[pool.name, name],
                now,
            )
        }

    def _place_keys(self, term: _Term, pool: Pool, now: float) -> None:
        """Decide the new owners of split keys that are free."""
        if not any(name == pool.name for name, _ in term.key_releases):
            return
        for key, held in self._unwritten(term, pool):
            free = self._free_keys(term, pool, held.segment, now)
            if free and self._target_zone(term, pool, key[1], now) is None:
                placed = self._scene(term, pool).placed(held.segment, free)
                if placed is not None:
                    self._write(term, placed)

    def _moving(self, term: _Term, pool: Pool) -> Iterator[SegmentKey]:
        for (name, shard), release in term.releases.items():
            is_planned = not self._is_lost(term, pool, release.owner)
            if name == pool.name and is_planned:
                yield name, shard // SHARDS_PER_SEGMENT

    def _is_lost(self, term: _Term, pool: Pool, owner: str | None) -> bool:
        if self.zone != self.key.zone:
            return True
        server = term.servers.get((pool.name, owner or ''))
        return server is None or server.is_lost

    def _to_withdraw(
        self,
        term: _Term,
        pool: Pool,
        held: _Held,
        in_service: set[str],
        now: float,
    ) -> list[tuple[int, str]]:
        index = held.segment.index
        is_leaving = self._target_zone(term, pool, index, now) is not None
        return [
            (shard, one.owner)
            for shard, one in shard_numbers(held.segment)
            if one.owner is not None
            and (pool.name, shard) not in term.releases
            and (
                is_leaving
                or one.owner not in in_service
                or self._is_lost(term, pool, one.owner)
            )
        ]

    def _release(
        self,
        term: _Term,
        held: _Held,
        shard: int,
        owner: str | None,
        now: float,
    ) -> None:
        name = held.segment.pool, shard
        term.releases[name] = _Release(owner, None, now)
        term.number += 1
        held.changed = term.number

    def _balance(self, term: _Term, pool: Pool, now: float) -> None:
        usable = self._usable(term, pool)
        if not usable:
            return
        owners = self._owners(term, pool, usable)
        for move in self._planner.plan(owners, usable, MOVES_LIMIT):
            key = pool.name, move.shard // SHARDS_PER_SEGMENT
            if move.source is not None and key not in term.writes:
                held = term.held[key]
                self._release(term, held, move.shard, move.source, now)

    def _owners(
        self,
        term: _Term,
        pool: Pool,
        usable: Mapping[str, float],
    ) -> dict[int, str | None]:
        owners: dict[int, str | None] = {}
        for key, held in term.held.items():
            if key[0] != pool.name:
                continue
            for shard, one in shard_numbers(held.segment):
                is_free = (pool.name, shard) in term.releases
                is_kept = one.owner in usable and not is_free
                owners[shard] = one.owner if is_kept else None
        return owners

    def _lists(
        self,
        term: _Term,
        pool: Pool,
    ) -> dict[str | None, list[tuple[int, int]]]:
        lists: dict[str | None, list[tuple[int, int]]] = {}
        for key, held in term.held.items():
            if key[0] != pool.name:
                continue
            for shard, one in shard_numbers(held.segment):
                if (pool.name, shard) not in term.releases:
                    shards = lists.setdefault(one.owner, [])
                    shards.append((shard, one.epoch))
        return lists

    def _update_lists(self, term: _Term, pool: Pool) -> None:
        """Give each server a new list version when its shards change."""
        lists = self._lists(term, pool)
        keys = key_lists(
            pool,
            self._segments(term, pool),
            *self._released(term, pool),
        )
        versions: dict[str | None, int] = {}
        for (name, server_name), server in term.servers.items():
            if name != pool.name:
                continue
            shards = tuple(sorted(lists.get(server_name, ())))
            split = tuple(sorted(keys.get(server_name, {}).items()))
            if (shards, split) != (server.shards, server.keys):
                server.shards = shards
                server.keys = split
                server.version += 1
            versions[server_name] = server.version
        _number(term.releases, pool, versions)
        _number(term.key_releases, pool, versions)

    def _is_free(
        self,
        term: _Term,
        pool: Pool,
        release: _Release,
        now: float,
    ) -> bool:
        if release.version is None:
            return False
        if pool.fencing is Fencing.CHECKED:
            server = pool.name, release.owner or ''
            return term.granter.is_over(server, release.version, now)
        limit_s = self.order_limits[pool.name]
        return term.granter.is_drained(release.withdrawn, limit_s, now)

    def _place(self, term: _Term, pool: Pool, now: float) -> None:
        """Decide the new owners of all shards that are free."""
        usable = self._usable(term, pool)
        homeless = []
        for held in self._unplaced(term, pool):
            free = self._free(term, pool, held, now)
            index = held.segment.index
            home = self._target_zone(term, pool, index, now) if free else None
            if home is not None:
                self._hand(term, pool, held, free, home, now)
            elif free:
                homeless.append((held, free))
        if homeless and usable:
            targets = self._targets(term, pool, usable)
            for held, free in homeless:
                keys = self._free_keys(term, pool, held.segment, now)
                cold = keys.difference(self.hot_keys.get(pool.name, keys))
                self._assign(term, held, free, targets, cold)
        self._place_keys(term, pool, now)

    def _unplaced(self, term: _Term, pool: Pool) -> list[_Held]:
        released = {
            (name, shard // SHARDS_PER_SEGMENT) for name, shard in term.releases
        }
        return [
            held
            for key, held in self._unwritten(term, pool)
            if key in released or not held.is_owned
        ]

    def _free(
        self,
        term: _Term,
        pool: Pool,
        held: _Held,
        now: float,
    ) -> list[int]:
        if not held.segment.version and not self._is_settled(term, pool, now):
            return []
        released = {
            shard: term.releases[pool.name, shard]
            for shard, _ in shard_numbers(held.segment)
            if (pool.name, shard) in term.releases
        }
        is_free: dict[_Release | None, bool] = {
            release: self._is_free(term, pool, release, now)
            for release in set(released.values())
        }
        return [
            shard
            for shard, one in shard_numbers(held.segment)
            if one.owner is None or is_free.get(released.get(shard))
        ]

    def _is_settled(self, term: _Term, pool: Pool, now: float) -> bool:
        """Tell whether a first placement need not wait for more servers."""
        states = [
            term.servers[pool.name, upstream.name]
            for upstream in self._in_service(pool)
        ]
        is_known = all(one.has_answered or one.is_lost for one in states)
        return is_known or now >= term.granter.began + SETTLE_S

    def _targets(
        self,
        term: _Term,
        pool: Pool,
        usable: Mapping[str, float],
    ) -> dict[int, str]:
        owners = self._owners(term, pool, usable)
        moves = self._planner.plan(owners, usable, 0)
        return {move.shard: move.target for move in moves}

    def _assign(
        self,
        term: _Term,
        held: _Held,
        free: list[int],
        targets: Mapping[int, str],
        cold: Collection[str],
    ) -> None:
        chosen = {shard: targets[shard] for shard in free if shard in targets}
        changed: dict[int, str | None] = {}
        for shard, target in chosen.items():
            old = held.segment.shards[shard % SHARDS_PER_SEGMENT]
            if old.owner == target:
                # The row names it already, so no write is needed.
                term.releases.pop((held.segment.pool, shard), None)
                term.number += 1
                held.changed = term.number
            else:
                changed[shard] = target
        if changed:
            pool = self.document.pools[held.segment.pool]
            segment = with_owners(held.segment, changed, self.key)
            self._write(term, without_followers(pool, segment, changed, cold))

    def _hand(
        self,
        term: _Term,
        pool: Pool,
        held: _Held,
        free: list[int],
        zone: str,
        now: float,
    ) -> None:
        keys = self._free_keys(term, pool, held.segment, now)
        is_whole = len(free) == len(held.segment.shards)
        if not is_whole or len(keys) < len(held.segment.keys):
            return
        servers = {
            upstream.name: upstream.weight
            for upstream in pool.upstreams
            if upstream.zone == zone
            and upstream.name not in self.document.hosts_out
        }
        if not servers:
            return
        owners: dict[int, str | None] = dict.fromkeys(free)
        moves = self._planner.plan(owners, servers, 0)
        chosen: dict[int, str | None] = {
            move.shard: move.target for move in moves
        }
        home = AuthorityKey(zone, self.key.mobility)
        segment = with_owners(held.segment, chosen, home)
        self._write(term, without_followers(pool, segment, chosen, keys))

    def _write(self, term: _Term, segment: Segment) -> None:
        key = segment.pool, segment.index
        term.writes[key] = _Write(
            self._nonces(),
            segment,
            -COMMIT_PATIENCE_S,
        )

    def _issue(self, term: _Term, now: float) -> Iterator[Commit]:
        version = self.authority.rows.authority_version
        for key, write in term.writes.items():
            if write.issues and now < write.issued + COMMIT_PATIENCE_S:
                continue
            write.issued = now
            write.issues += 1
            name = segment_row_key(key)
            row = encode_segment(write.segment, write.nonce)
            yield Commit(
                write.nonce,
                (
                    RowCondition(AUTHORITY_TABLE, row_key(self.key), version),
                    RowCondition(SEGMENT_TABLE, name, write.segment.version),
                ),
                (RowWrite(SEGMENT_TABLE, name, row),),
            )

    def _resolve(
        self,
        term: _Term,
        key: SegmentKey,
        write: _Write,
        event: Committed | Refused | Unresolved,
    ) -> list[Effect]:
        if isinstance(event, Committed):
            if event.versions[0] <= write.segment.version:
                raise InvariantError('row-version-grows', f'{key} {event}')
            row = encode_segment(write.segment, write.nonce)
            self._absorb(term, key, StoredRow(event.versions[0], row))
            return []
        if isinstance(event, Refused) and write.issues == 1:
            # It never took effect, so the owners may be chosen again.
            term.writes.pop(key)
            term.is_dirty = True
            return []
        return [ReadSegment(self.key, key)]

    def _hints(self, term: _Term, now: float) -> list[Effect]:
        if not term.handed or now < term.hinted + HINT_PERIOD_S:
            return []
        term.hinted = now
        return [HintSegment(home, key) for key, home in term.handed.items()]

    def _published(self, term: _Term, held: _Held) -> Segment:
        """Give a segment as routers may use it (G4)."""
        segment = held.segment
        pool = self.document.pools.get(segment.pool)
        if pool is not None and pool.fencing is Fencing.CHECKED:
            return segment
        # Only the coordinator of its home knows which owners of the row have
        # been withdrawn. Any other one withdraws all owners of the version
        # before, which it may have published, and leaves this one to the home.
        is_elsewhere = segment.home != self.key
        if is_elsewhere:
            segment = replace(
                segment,
                home=self.key,
                version=segment.version - 1,
            )
        shards = tuple(
            Assignment(None, one.epoch)
            if is_elsewhere or (segment.pool, shard) in term.releases
            else one
            for shard, one in shard_numbers(segment)
        )
        keys = {
            name: Assignment(None, one.epoch)
            if is_elsewhere or (segment.pool, name) in term.key_releases
            else one
            for name, one in segment.keys.items()
        }
        return replace(segment, shards=shards, keys=keys)

    def _mandates(
        self,
        term: _Term,
        host: HostRef | None,
        now: float,
    ) -> Iterator[Mandate]:
        for (pool, name), server in term.servers.items():
            renewer = server.renewer
            if renewer is not None and host in {None, renewer}:
                mandate = Mandate(
                    self.key,
                    term.granter.term,
                    pool,
                    name,
                    server.version,
                    0,
                    server.shards,
                    server.keys,
                    renewer,
                )
                yield term.granter.charge(renewer, mandate, now)
