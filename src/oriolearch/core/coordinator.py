"""The coordinator: assigns shards and split keys to servers.

For each shard the table names the only server that may have a grant for it:
the row is written after the old owner's grant has expired (G2) and before the
new owner receives a grant (G1). After a takeover, a coordinator may therefore
renew the grants of all owners in the table at once and needs no record of the
moves that its predecessor had started.
"""

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field, replace
from itertools import chain
from typing import Protocol, TypeVar

from oriolearch.core.authority import COMMIT_RETRY_S, Authority, Nonces
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
    default_home,
    encode_segment,
    enumerate_shards,
    new_segment,
    parse_segment_row_key,
    segment_keys,
    segment_row_key,
    with_owners,
)
from oriolearch.core.splitting import (
    SplitPlanner,
    key_lists,
    server_loads,
    without_free_keys,
)

SCAN_RETRY_S = 0.5  # scan period until the first scan of a term succeeds
SCAN_PERIOD_S = 20.0
HINT_PERIOD_S = 0.5
PLAN_PERIOD_S = 1.0  # replanning period when no event changes the plan
# The first assignment of a pool's shards waits at most this long for all of
# its servers to answer.
FIRST_ASSIGNMENT_WAIT_S = 3.0
MAX_BALANCE_MOVES = 16  # concurrent moves of owned shards to balance the load
# Segments of a pool whose shards move at the same time for reasons other than
# a loss.
MAX_MOVING_SEGMENTS = 2
# Servers of a zone must have been working for this long before the zone gets
# its segments back.
ZONE_RETURN_DELAY_S = 5.0

_Unit = TypeVar('_Unit', int, str)


@dataclass(frozen=True, slots=True)
class Move:
    """A planned change of a shard's owner.

    :param source: the current owner; ``None`` if the shard has no owner.
    """

    shard: int
    source: str | None
    target: str


class Planner(Protocol):
    """Chooses the owners of shards."""

    def plan(
        self,
        shards: Mapping[int, str | None],
        servers: Mapping[str, float],
        limit: int,
    ) -> tuple[Move, ...]:
        """Assign all shards without an owner, and move some others.

        :param servers: weight of each server that can own shards.
        :param limit: maximum number of moves of shards that have an owner.
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
    """Effect: notify the new home's coordinator of a segment."""

    home: AuthorityKey
    segment: SegmentKey


Effect = Commit | ScanSegments | ReadSegment | HintSegment


@dataclass(frozen=True, slots=True)
class Share:
    """The part of a sync answer that concerns one authority."""

    permit: Permit
    mandates: tuple[Mandate, ...]
    segments: tuple[Segment, ...]


@dataclass(frozen=True, slots=True)
class _Release:
    """A shard or key that was withdrawn from its owner.

    :param version: version of the owner's first list without it; ``None``
        until that list exists.
    :param withdrawn_at: time of the withdrawal.
    """

    owner: str | None
    version: int | None
    withdrawn_at: float


@dataclass(slots=True)
class _Write:
    """A segment write that may still take effect.

    :param issued_at: time at which it was last issued.
    :param attempts: number of times it was issued.
    """

    nonce: str
    segment: Segment
    issued_at: float
    attempts: int = 0


@dataclass(slots=True)
class _ServerState:
    """State of a server of the zone.

    :param shards: shards and epochs in the newest mandate.
    :param has_answered: the server has confirmed a list in this term.
    """

    version: int = 1
    shards: tuple[tuple[int, int], ...] = ()
    keys: tuple[tuple[str, int], ...] = ()
    renewer: HostRef | None = None
    has_answered: bool = False
    is_lost: bool = False

    def apply(self, report: RenewalReport) -> None:
        """Apply a failure-free report on the newest list."""
        if report.stopped:
            self.version += 1  # a stopped renewer needs a new mandate version
        elif report.confirmed_version == self.version:
            self.has_answered = True
            self.is_lost = False


@dataclass(slots=True)
class _SegmentState:
    """The last known version of a segment.

    :param changed_revision: revision in which its published form last changed.
    """

    segment: Segment
    changed_revision: int
    is_owned: bool = field(init=False)

    def __post_init__(self) -> None:
        """Compute whether every shard has an owner."""
        self.is_owned = all(
            assignment.owner for assignment in self.segment.shards
        )


@dataclass(slots=True)
class _Term:
    """State of a coordinator that is discarded when its term ends.

    :param revision: number of the current revision.
    :param scanned_at: time of the last scan.
    :param is_dirty: the withdrawals have to be planned again.
    :param own_segments: segments whose home is this coordinator's authority.
    :param foreign_segments: segments whose home is another authority.
    :param unacknowledged: new homes that have not acknowledged their segment.
    :param listed_revision: revision of the last computation of the servers'
        lists.
    :param hints_sent_at: time of the last hints.
    :param planned_at: time of the last planning.
    :param renewers_chosen_for: document version and candidate hosts of the
        last choice of renewers.
    """

    granter: Granter
    revision: int = 0
    is_recovered: bool = False
    scanned_at: float = -SCAN_PERIOD_S
    is_dirty: bool = True
    own_segments: dict[SegmentKey, _SegmentState] = field(default_factory=dict)
    foreign_segments: dict[SegmentKey, _SegmentState] = field(
        default_factory=dict
    )
    writes: dict[SegmentKey, _Write] = field(default_factory=dict)
    releases: dict[tuple[str, int], _Release] = field(default_factory=dict)
    key_releases: dict[tuple[str, str], _Release] = field(default_factory=dict)
    servers: dict[ServerKey, _ServerState] = field(default_factory=dict)
    unacknowledged: dict[SegmentKey, AuthorityKey] = field(default_factory=dict)
    listed_revision: int = -1
    hints_sent_at: float = 0.0
    planned_at: float = 0.0
    renewers_chosen_for: tuple[int, tuple[HostRef, ...]] | None = None


def _set_list_versions(
    releases: dict[tuple[str, _Unit], _Release],
    pool: Pool,
    versions: Mapping[str | None, int],
) -> None:
    """Set the list version of new releases from their owners' versions."""
    for name, release in releases.items():
        if name[0] == pool.name and release.version is None:
            version = versions.get(release.owner, 0)
            releases[name] = replace(release, version=version)


class Coordinator:
    """Assigns the shards of one authority while this host holds it.

    The host keeps the public attributes up to date.

    :param zone: zone of the host itself.
    :param members: live hosts that can be assigned as renewers.
    :param working_since: for each ``(pool, zone)``, the time since which it
        has had working servers according to the coordinators.
    :param hot_keys: by pool, the load share of each key to be split.
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
        self.working_since: Mapping[tuple[str, str], float] = {}
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
            # Hosts may still use the longer limit of an earlier version.
            longest = self.order_limits.get(name, 0)
            self.order_limits[name] = max(longest, pool.order_limit_s)
        if self._term is not None:
            self._term.is_dirty = True
            # The document may add servers that own shards of segments that
            # were read before it.
            self._term.listed_revision = -1

    def tick(self, now: float) -> list[Effect]:
        """Return the effects that are due; none without a valid authority."""
        term = self._current_term(now)
        if term is None:
            return []
        effects: list[Effect] = []
        if now >= term.scanned_at + self._scan_period(term):
            term.scanned_at = now
            effects.append(ScanSegments(self.key))
        if not term.is_recovered:
            return effects
        self._choose_renewers(term)
        if now >= term.planned_at + PLAN_PERIOD_S:
            term.is_dirty = True
        for pool in self._pools():
            self._create_own_segments(term, pool)
            if term.is_dirty:
                self._withdraw_shards(term, pool, now)
        if term.revision != term.listed_revision:
            term.listed_revision = term.revision
            for pool in self._pools():
                self._update_lists(term, pool)
        if term.is_dirty:
            term.planned_at = now
        term.is_dirty = False
        for pool in self._pools():
            self._assign_free_shards(term, pool, now)
        effects.extend(self._issue_due_writes(term, now))
        return effects + self._issue_due_hints(term, now)

    def apply_scan(
        self,
        requested_at: float,
        rows: Mapping[str, StoredRow],
        now: float,
    ) -> list[ValidationError]:
        """Apply a scan of all segment rows and return the invalid ones' errors.

        A scan that was requested before this term began is ignored. Invalid
        rows are skipped. They are never overwritten, because each segment
        write is conditional on a row version that was read.
        """
        term = self._current_term(now)
        if term is None or requested_at < term.granter.started_at:
            return []
        faults = []
        for name, stored in rows.items():
            try:
                self._apply_row(term, parse_segment_row_key(name), stored)
            except ValidationError as error:
                faults.append(error)
        term.is_recovered = True
        return faults

    def read(self, key: SegmentKey, stored: StoredRow, now: float) -> None:
        """Apply one segment row."""
        term = self._current_term(now)
        if term is not None and term.is_recovered:
            self._apply_row(term, key, stored)

    def receive_hint(self, key: SegmentKey, now: float) -> list[Effect]:
        """Read a segment that another coordinator handed over."""
        term = self._current_term(now)
        if term is None or key in term.own_segments:
            return []
        return [ReadSegment(self.key, key)]

    def receive_acknowledgement(
        self, key: SegmentKey, home: AuthorityKey
    ) -> None:
        """Stop the hints for a segment once its new home acknowledges it."""
        if (
            self._term is not None
            and self._term.unacknowledged.get(key) == home
        ):
            self._term.unacknowledged.pop(key)

    def holds(self, key: SegmentKey, now: float) -> bool:
        """Return whether this coordinator has a segment as its own."""
        term = self._current_term(now)
        return term is not None and key in term.own_segments

    def handle(
        self,
        event: Committed | Refused | Unresolved,
        now: float,
    ) -> list[Effect]:
        """Apply the outcome of a segment write."""
        term = self._current_term(now)
        if term is None:
            return []
        for key, write in term.writes.items():
            if write.nonce == event.nonce:
                return self._apply_write_outcome(term, key, write, event)
        return []

    def apply_report(
        self,
        host: HostRef,
        report: RenewalReport,
        now: float,
    ) -> None:
        """Apply the report of a renewer."""
        term = self._current_term(now)
        if term is None or report.term != term.granter.term:
            return
        term.granter.apply_report(host, report, now)
        server = term.servers.get((report.pool, report.server))
        if server is None or server.renewer != host:
            return
        before = server.has_answered, server.is_lost
        if report.failures >= MAX_FAILURES:
            server.is_lost = True
        elif report.mandate_version == server.version and not report.failures:
            server.apply(report)
        if before != (server.has_answered, server.is_lost):
            term.is_dirty = True

    def share(
        self,
        host: HostRef | None,
        known: Revision | None,
        now: float,
    ) -> Share | None:
        """Return the permit, mandates and changed segments for a sync answer.

        Without a valid authority, or before the first scan of the term, the
        result is ``None``.

        :param host: the renewer whose mandates to return; ``None`` returns
            those of all renewers in one pass over the servers.
        :param known: revision that the receiver already has.
        """
        term = self._current_term(now)
        if term is None or not term.is_recovered:
            return None
        since = -1
        if known is not None and known.term == term.granter.term:
            since = known.number
        changed = tuple(
            self._published_segment(term, state)
            for state in chain(
                term.own_segments.values(), term.foreign_segments.values()
            )
            if state.changed_revision > since and state.segment.version
        )
        revision = Revision(term.granter.term, term.revision)
        return Share(
            Permit(self.key, revision, PERMIT_S),
            tuple(self._mandates(term, host, now)),
            changed,
        )

    def working_pools(self, now: float) -> frozenset[str]:
        """Return the pools with a local server that can own shards."""
        term = self._current_term(now)
        if term is None or self.zone != self.key.zone:
            return frozenset()
        return frozenset(
            pool.name
            for pool in self._pools()
            if self._usable_servers(term, pool)
        )

    def _current_term(self, now: float) -> _Term | None:
        number = self.authority.term(now)
        if number is None:
            return None
        if self._term is None or self._term.granter.term != number:
            self._term = _Term(self.granter_type(number, now))
        return self._term

    def _scan_period(self, term: _Term) -> float:
        return SCAN_PERIOD_S if term.is_recovered else SCAN_RETRY_S

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

    def _usable_servers(self, term: _Term, pool: Pool) -> dict[str, float]:
        usable = {}
        for upstream in self._in_service(pool):
            server = term.servers.get((pool.name, upstream.name))
            if server and server.has_answered and not server.is_lost:
                usable[upstream.name] = upstream.weight
        return usable

    def _apply_row(
        self,
        term: _Term,
        key: SegmentKey,
        stored: StoredRow,
    ) -> None:
        state = term.own_segments.get(key) or term.foreign_segments.get(key)
        if state is not None and stored.version <= state.segment.version:
            return
        segment = replace(new_segment(key, self.key), version=stored.version)
        if stored.row is not None:
            segment = decode_segment(key, stored.version, stored.row)
        term.revision += 1
        term.is_dirty = True
        term.writes.pop(key, None)
        self._remove_ended_releases(term, state, segment)
        term.own_segments.pop(key, None)
        term.foreign_segments.pop(key, None)
        segments = (
            term.own_segments
            if segment.home == self.key
            else term.foreign_segments
        )
        term.unacknowledged.pop(key, None)
        if segment.home != self.key:
            # The coordinator of the new home may have read the table before
            # the segment was handed over, so it is sent a hint.
            term.unacknowledged[key] = segment.home
            term.hints_sent_at = 0
        segments[key] = _SegmentState(segment, term.revision)

    def _remove_ended_releases(
        self,
        term: _Term,
        state: _SegmentState | None,
        segment: Segment,
    ) -> None:
        if state is None:
            return
        pairs = zip(
            enumerate_shards(state.segment), segment.shards, strict=True
        )
        for (shard, old), new in pairs:
            if old != new or segment.home != self.key:
                term.releases.pop((segment.pool, shard), None)
        for name, assignment in state.segment.keys.items():
            if segment.keys.get(name) != assignment or segment.home != self.key:
                term.key_releases.pop((segment.pool, name), None)

    def _create_own_segments(self, term: _Term, pool: Pool) -> None:
        for key in segment_keys(pool):
            if key in term.own_segments or key in term.foreign_segments:
                continue
            home = default_home(pool, key[1], self._excluded_zones())
            if home == self.key.zone:
                segment = new_segment(key, self.key)
                term.own_segments[key] = _SegmentState(segment, term.revision)
                term.is_dirty = True

    def _excluded_zones(self) -> frozenset[str]:
        is_pinned = self.key.mobility is Mobility.PINNED
        return frozenset() if is_pinned else self.document.zones_out

    def _choose_renewers(self, term: _Term) -> None:
        # This host is not a renewer while there are others: its loss should
        # not end the coordination and the renewals at the same time.
        others = [ref for ref in self.members if ref != self.authority.ref]
        renewer_inputs = self.document.version, tuple(others or self.members)
        if renewer_inputs == term.renewers_chosen_for:
            return
        term.renewers_chosen_for = renewer_inputs
        refs = {ref.host: ref for ref in renewer_inputs[1]}
        self._renewers.update(refs)
        for pool in self._pools():
            for upstream in pool.upstreams:
                if upstream.zone != self.key.zone:
                    continue
                name = pool.name, upstream.name
                server = term.servers.setdefault(name, _ServerState())
                host = self._renewers.choose(upstream.name)
                server.renewer = refs[host] if host else None

    def _target_zone(
        self,
        term: _Term,
        pool: Pool,
        index: int,
        now: float,
    ) -> str | None:
        """Return the zone to hand a segment over to, if any."""
        if self.key.mobility is Mobility.PINNED:
            return None
        out = self.document.zones_out
        home = default_home(pool, index, out)
        is_adopted = self.zone != self.key.zone
        if (
            is_adopted
            or self.key.zone in out
            or self._has_lost_all_servers(term, pool)
        ):
            working_zones = {
                zone for name, zone in self.working_since if name == pool.name
            }
            all_zones = {upstream.zone for upstream in pool.upstreams}
            excluded = out | (all_zones - working_zones) | {self.key.zone}
            return default_home(pool, index, frozenset(excluded))
        since = self.working_since.get((pool.name, home or ''))
        is_back = since is not None and now >= since + ZONE_RETURN_DELAY_S
        return home if home != self.key.zone and is_back else None

    def _has_lost_all_servers(self, term: _Term, pool: Pool) -> bool:
        servers = self._in_service(pool)
        states = [
            term.servers.get((pool.name, upstream.name)) for upstream in servers
        ]
        return all(state is not None and state.is_lost for state in states)

    def _without_pending_write(
        self,
        term: _Term,
        pool: Pool,
    ) -> list[tuple[SegmentKey, _SegmentState]]:
        return [
            (key, state)
            for key, state in term.own_segments.items()
            if key[0] == pool.name and key not in term.writes
        ]

    def _withdraw_shards(self, term: _Term, pool: Pool, now: float) -> None:
        """Withdraw shards that are to move or have a lost or removed owner."""
        in_service = {upstream.name for upstream in self._in_service(pool)}
        moving = set(self._segments_with_planned_moves(term, pool))
        for key, state in self._without_pending_write(term, pool):
            wanted = self._shards_to_withdraw(
                term, pool, state, in_service, now
            )
            lost = [
                pair for pair in wanted if self._is_lost(term, pool, pair[1])
            ]
            is_over_limit = (
                key not in moving and len(moving) >= MAX_MOVING_SEGMENTS
            )
            chosen = lost if is_over_limit else wanted
            for shard, owner in chosen:
                self._release_shard(term, state, shard, owner, now)
            if len(chosen) > len(lost):
                moving.add(key)
        self._update_split_keys(term, pool, in_service, now)
        if not any(name == pool.name for name, _ in term.releases):
            self._balance_shards(term, pool, now)

    def _update_split_keys(
        self,
        term: _Term,
        pool: Pool,
        in_service: set[str],
        now: float,
    ) -> None:
        """List hot keys for splitting, and withdraw split keys from owners."""
        hot = self.hot_keys.get(pool.name)
        candidates = [
            state
            for _, state in self._without_pending_write(term, pool)
            if state.segment.version and (hot or state.segment.keys)
        ]
        if not candidates:
            return
        owners = {
            assignment.owner
            for state in candidates
            for assignment in state.segment.keys.values()
        }
        unavailable = frozenset(
            name
            for name in owners
            if name not in in_service or self._is_lost(term, pool, name)
        )
        split_planner = self._split_planner(term, pool)
        for state in candidates:
            listed = split_planner.with_updated_keys(state.segment)
            if listed is not None:
                self._prepare_write(term, listed)
            elif self._release_keys(
                term, pool, state, split_planner, unavailable, now
            ):
                split_planner = self._split_planner(term, pool)

    def _release_keys(
        self,
        term: _Term,
        pool: Pool,
        state: _SegmentState,
        split_planner: SplitPlanner,
        unavailable: frozenset[str | None],
        now: float,
    ) -> bool:
        index = state.segment.index
        is_leaving = self._target_zone(term, pool, index, now) is not None
        names = tuple(
            split_planner.keys_to_release(
                state.segment, unavailable, is_leaving
            )
        )
        for name in names:
            owner = state.segment.keys[name].owner
            release = _Release(owner, None, now)
            term.key_releases[pool.name, name] = release
            term.revision += 1
            state.changed_revision = term.revision
        return bool(names)

    def _split_planner(self, term: _Term, pool: Pool) -> SplitPlanner:
        segments = self._segments(term, pool)
        hot = self.hot_keys.get(pool.name)
        return SplitPlanner(
            pool,
            hot,
            self._usable_servers(term, pool),
            server_loads(pool, segments, hot or {}),
            *self._released_units(term, pool),
        )

    def _segments(self, term: _Term, pool: Pool) -> list[Segment]:
        return [
            state.segment
            for key, state in term.own_segments.items()
            if key[0] == pool.name
        ]

    def _released_units(
        self,
        term: _Term,
        pool: Pool,
    ) -> tuple[set[int], set[str]]:
        shards = {shard for name, shard in term.releases if name == pool.name}
        keys = {key for name, key in term.key_releases if name == pool.name}
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

    def _assign_free_keys(self, term: _Term, pool: Pool, now: float) -> None:
        """Assign owners to the split keys that may get a new one."""
        if not any(name == pool.name for name, _ in term.key_releases):
            return
        for key, state in self._without_pending_write(term, pool):
            free = self._free_keys(term, pool, state.segment, now)
            if free and self._target_zone(term, pool, key[1], now) is None:
                assigned = self._split_planner(term, pool).with_new_owners(
                    state.segment, free
                )
                if assigned is not None:
                    self._prepare_write(term, assigned)

    def _segments_with_planned_moves(
        self, term: _Term, pool: Pool
    ) -> Iterator[SegmentKey]:
        for (name, shard), release in term.releases.items():
            is_planned = not self._is_lost(term, pool, release.owner)
            if name == pool.name and is_planned:
                yield name, shard // SHARDS_PER_SEGMENT

    def _is_lost(self, term: _Term, pool: Pool, owner: str | None) -> bool:
        if self.zone != self.key.zone:
            return True
        server = term.servers.get((pool.name, owner or ''))
        return server is None or server.is_lost

    def _shards_to_withdraw(
        self,
        term: _Term,
        pool: Pool,
        state: _SegmentState,
        in_service: set[str],
        now: float,
    ) -> list[tuple[int, str]]:
        index = state.segment.index
        is_leaving = self._target_zone(term, pool, index, now) is not None
        return [
            (shard, assignment.owner)
            for shard, assignment in enumerate_shards(state.segment)
            if assignment.owner is not None
            and (pool.name, shard) not in term.releases
            and (
                is_leaving
                or assignment.owner not in in_service
                or self._is_lost(term, pool, assignment.owner)
            )
        ]

    def _release_shard(
        self,
        term: _Term,
        state: _SegmentState,
        shard: int,
        owner: str | None,
        now: float,
    ) -> None:
        name = state.segment.pool, shard
        term.releases[name] = _Release(owner, None, now)
        term.revision += 1
        state.changed_revision = term.revision

    def _balance_shards(self, term: _Term, pool: Pool, now: float) -> None:
        usable = self._usable_servers(term, pool)
        if not usable:
            return
        owners = self._owners(term, pool, usable)
        for move in self._planner.plan(owners, usable, MAX_BALANCE_MOVES):
            key = pool.name, move.shard // SHARDS_PER_SEGMENT
            if move.source is not None and key not in term.writes:
                state = term.own_segments[key]
                self._release_shard(term, state, move.shard, move.source, now)

    def _owners(
        self,
        term: _Term,
        pool: Pool,
        usable: Mapping[str, float],
    ) -> dict[int, str | None]:
        owners: dict[int, str | None] = {}
        for key, state in term.own_segments.items():
            if key[0] != pool.name:
                continue
            for shard, assignment in enumerate_shards(state.segment):
                is_free = (pool.name, shard) in term.releases
                is_kept = assignment.owner in usable and not is_free
                owners[shard] = assignment.owner if is_kept else None
        return owners

    def _shard_lists(
        self,
        term: _Term,
        pool: Pool,
    ) -> dict[str | None, list[tuple[int, int]]]:
        lists: dict[str | None, list[tuple[int, int]]] = {}
        for key, state in term.own_segments.items():
            if key[0] != pool.name:
                continue
            for shard, assignment in enumerate_shards(state.segment):
                if (pool.name, shard) not in term.releases:
                    shards = lists.setdefault(assignment.owner, [])
                    shards.append((shard, assignment.epoch))
        return lists

    def _update_lists(self, term: _Term, pool: Pool) -> None:
        """Increment a server's list version when its shards or keys change."""
        lists = self._shard_lists(term, pool)
        keys = key_lists(
            pool,
            self._segments(term, pool),
            *self._released_units(term, pool),
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
        _set_list_versions(term.releases, pool, versions)
        _set_list_versions(term.key_releases, pool, versions)

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
        return term.granter.is_drained(release.withdrawn_at, limit_s, now)

    def _assign_free_shards(self, term: _Term, pool: Pool, now: float) -> None:
        """Assign owners to the shards that may get a new one."""
        usable = self._usable_servers(term, pool)
        staying = []
        for state in self._segments_to_assign(term, pool):
            free = self._free_shards(term, pool, state, now)
            index = state.segment.index
            home = self._target_zone(term, pool, index, now) if free else None
            if home is not None:
                self._hand_over(term, pool, state, free, home, now)
            elif free:
                staying.append((state, free))
        if staying and usable:
            targets = self._target_owners(term, pool, usable)
            for state, free in staying:
                keys = self._free_keys(term, pool, state.segment, now)
                cold = keys.difference(self.hot_keys.get(pool.name, keys))
                self._assign_owners(term, state, free, targets, cold)
        self._assign_free_keys(term, pool, now)

    def _segments_to_assign(
        self, term: _Term, pool: Pool
    ) -> list[_SegmentState]:
        released = {
            (name, shard // SHARDS_PER_SEGMENT) for name, shard in term.releases
        }
        return [
            state
            for key, state in self._without_pending_write(term, pool)
            if key in released or not state.is_owned
        ]

    def _free_shards(
        self,
        term: _Term,
        pool: Pool,
        state: _SegmentState,
        now: float,
    ) -> list[int]:
        if not state.segment.version and not self._may_assign_first_owners(
            term, pool, now
        ):
            return []
        released = {
            shard: term.releases[pool.name, shard]
            for shard, _ in enumerate_shards(state.segment)
            if (pool.name, shard) in term.releases
        }
        is_free: dict[_Release | None, bool] = {
            release: self._is_free(term, pool, release, now)
            for release in set(released.values())
        }
        return [
            shard
            for shard, assignment in enumerate_shards(state.segment)
            if assignment.owner is None or is_free.get(released.get(shard))
        ]

    def _may_assign_first_owners(
        self, term: _Term, pool: Pool, now: float
    ) -> bool:
        """Check whether the first assignment of a pool's shards may start.

        It waits for each server in service to answer or to be lost.
        """
        states = [
            term.servers[pool.name, upstream.name]
            for upstream in self._in_service(pool)
        ]
        is_known = all(
            server.has_answered or server.is_lost for server in states
        )
        return (
            is_known or now >= term.granter.started_at + FIRST_ASSIGNMENT_WAIT_S
        )

    def _target_owners(
        self,
        term: _Term,
        pool: Pool,
        usable: Mapping[str, float],
    ) -> dict[int, str]:
        owners = self._owners(term, pool, usable)
        moves = self._planner.plan(owners, usable, 0)
        return {move.shard: move.target for move in moves}

    def _assign_owners(
        self,
        term: _Term,
        state: _SegmentState,
        free: list[int],
        targets: Mapping[int, str],
        cold: Collection[str],
    ) -> None:
        chosen = {shard: targets[shard] for shard in free if shard in targets}
        changed: dict[int, str | None] = {}
        for shard, target in chosen.items():
            old = state.segment.shards[shard % SHARDS_PER_SEGMENT]
            if old.owner == target:
                # The row already names this owner, so no write is needed.
                term.releases.pop((state.segment.pool, shard), None)
                term.revision += 1
                state.changed_revision = term.revision
            else:
                changed[shard] = target
        if changed:
            pool = self.document.pools[state.segment.pool]
            segment = with_owners(state.segment, changed, self.key)
            self._prepare_write(
                term, without_free_keys(pool, segment, changed, cold)
            )

    def _hand_over(
        self,
        term: _Term,
        pool: Pool,
        state: _SegmentState,
        free: list[int],
        zone: str,
        now: float,
    ) -> None:
        keys = self._free_keys(term, pool, state.segment, now)
        is_whole = len(free) == len(state.segment.shards)
        if not is_whole or len(keys) < len(state.segment.keys):
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
        segment = with_owners(state.segment, chosen, home)
        self._prepare_write(
            term, without_free_keys(pool, segment, chosen, keys)
        )

    def _prepare_write(self, term: _Term, segment: Segment) -> None:
        key = segment.pool, segment.index
        term.writes[key] = _Write(
            self._nonces(),
            segment,
            -COMMIT_RETRY_S,
        )

    def _issue_due_writes(self, term: _Term, now: float) -> Iterator[Commit]:
        version = self.authority.rows.authority_version
        for key, write in term.writes.items():
            if write.attempts and now < write.issued_at + COMMIT_RETRY_S:
                continue
            write.issued_at = now
            write.attempts += 1
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

    def _apply_write_outcome(
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
            self._apply_row(term, key, StoredRow(event.versions[0], row))
            return []
        if isinstance(event, Refused) and write.attempts == 1:
            # The only attempt was refused, so the write never took effect and
            # owners may be chosen again.
            term.writes.pop(key)
            term.is_dirty = True
            return []
        return [ReadSegment(self.key, key)]

    def _issue_due_hints(self, term: _Term, now: float) -> list[Effect]:
        if not term.unacknowledged or now < term.hints_sent_at + HINT_PERIOD_S:
            return []
        term.hints_sent_at = now
        return [
            HintSegment(home, key) for key, home in term.unacknowledged.items()
        ]

    def _published_segment(self, term: _Term, state: _SegmentState) -> Segment:
        """Return a segment with the owners that routers may use (G4)."""
        segment = state.segment
        pool = self.document.pools.get(segment.pool)
        if pool is not None and pool.fencing is Fencing.CHECKED:
            return segment
        # Only the coordinator of the segment's home has a record of the
        # withdrawn owners. Any other coordinator publishes no owners, with the
        # previous version number: this replaces the owners that it may have
        # published, and hosts still accept the home's publication of the
        # current version.
        is_elsewhere = segment.home != self.key
        if is_elsewhere:
            segment = replace(
                segment,
                home=self.key,
                version=segment.version - 1,
            )
        shards = tuple(
            Assignment(None, assignment.epoch)
            if is_elsewhere or (segment.pool, shard) in term.releases
            else assignment
            for shard, assignment in enumerate_shards(segment)
        )
        keys = {
            name: Assignment(None, assignment.epoch)
            if is_elsewhere or (segment.pool, name) in term.key_releases
            else assignment
            for name, assignment in segment.keys.items()
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
                yield term.granter.record_mandate(renewer, mandate, now)
