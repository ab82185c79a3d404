"""The authorities that a host may hold, and their coordinators.

Runs the state machines of :mod:`oriolearch.core.authority` and
:mod:`oriolearch.core.coordinator` and carries out their effects.
"""

import uuid
from collections.abc import (
    Collection,
    Iterable,
    Iterator,
    Mapping,
)

from oriolearch.adapters.peers import PeerClientPool
from oriolearch.eventlog import Event
from oriolearch.core import authority as authority_lease
from oriolearch.core import coordinator as coordinator_effects
from oriolearch.core.authority import (
    Authority,
    PromiseReceived,
    choose_successors,
)
from oriolearch.core.coordinator import Coordinator, Planner, Share
from oriolearch.core.errors import OriolearchError, StaleError
from oriolearch.core.messages import (
    AuthorityKey,
    PromiseAnswer,
    PromiseRequest,
    RenewalReport,
    Revision,
)
from oriolearch.core.model import Document, HostRef, Member, Mobility
from oriolearch.core.rows import (
    AUTHORITY_TABLE,
    LEASE_TABLE,
    SEGMENT_TABLE,
    Commit,
    decode_authority,
    row_key,
)
from oriolearch.core.segments import SegmentKey, segment_row_key
from oriolearch.platform_calls import PlatformCalls
from oriolearch.ports import Clock
from oriolearch.supervision import Supervisor

SUCCESSORS_PER_ZONE = 2
# Hosts of a zone must have been live for this long before the zone gets its
# adopted authority back.
RETURN_DELAY_S = 3.0


class Authorities:
    """All authorities that this host may hold.

    :param adopters: the zone that may adopt the movable shards of each zone.
    :param members: all live hosts known to this host, kept up to date.
    :param hot_keys: by pool, the load share of each key to be split. The root
        of a zone sets it; it is empty until all hosts of the zone have
        reported.
    """

    def __init__(
        self,
        own: Member,
        adopters: Mapping[str, str | None],
        clock: Clock,
        calls: PlatformCalls,
        peers: PeerClientPool,
        planner: Planner,
        supervisor: Supervisor,
    ) -> None:
        self.own = own
        self.adopters = adopters
        self.clock = clock
        self.calls = calls
        self.peers = peers
        self.planner = planner
        self.events = supervisor.events
        self.supervisor = supervisor
        self.members: dict[HostRef, Member] = {}
        self.zone_of: dict[str, str] = {}
        self.hints: set[tuple[AuthorityKey, SegmentKey]] = set()
        self.watched: set[AuthorityKey] = set()
        self.by_key = {key: self._machine(key) for key in self._keys()}
        self.unread = set(self.by_key)
        self.coordinators = {
            key: Coordinator(authority, own.zone, planner, self._nonce)
            for key, authority in self.by_key.items()
        }
        self.working_since: dict[tuple[str, str], float] = {}
        self.hot_keys: Mapping[str, Mapping[str, float]] = {}
        self.working_mobility: dict[tuple[str, str], Mobility] = {}

    def held(self, now: float) -> list[AuthorityKey]:
        """Return the authorities that this host holds now."""
        return [
            key
            for key, authority in self.by_key.items()
            if authority.is_valid(now)
        ]

    def holder(self, key: AuthorityKey) -> HostRef | None:
        """Return the holder in the last reading of the row, if any."""
        authority = self.by_key.get(key)
        row = authority.rows.authority if authority else None
        return row.holder if row else None

    def configure(self, document: Document) -> None:
        """Apply a newer configuration."""
        for coordinator in self.coordinators.values():
            coordinator.configure(document)

    def watch(self, keys: Iterable[AuthorityKey]) -> None:
        """Take part in authorities, as the first holder or a successor."""
        self.watched.update(key for key in keys if key in self.by_key)

    async def watch_former(self) -> None:
        """Take part in the authorities that earlier runs of this host held.

        Their rows may name no successor that still runs. Only a later run of
        the holder's host may then take over.
        """
        for key in tuple(self.unread):
            stored = await self.calls.read(AUTHORITY_TABLE, row_key(key))
            if stored is None:
                continue
            self.unread.discard(key)
            row = stored.row and decode_authority('authority row', stored.row)
            if row and row.holder.host == self.own.ref.host:
                self.watch([key])

    def update_members(self, members: Iterable[Member]) -> None:
        """Replace the live hosts, and choose the successors to name."""
        self.members = {member.ref: member for member in members}
        live: dict[str, list[HostRef]] = {}
        for ref, member in self.members.items():
            self.zone_of[ref.host] = member.zone
            if ref.host != self.own.ref.host:
                live.setdefault(member.zone, []).append(ref)
        self._choose_successors(live)

    def _choose_successors(self, live: Mapping[str, list[HostRef]]) -> None:
        for key, authority in self.by_key.items():
            row = authority.rows.authority
            current = row.successors if row else ()
            chosen: list[HostRef] = []
            for zone in self._successor_zones(key):
                inside = [
                    ref
                    for ref in current
                    if ref.host != self.own.ref.host
                    and self.zone_of.get(ref.host) == zone
                ]
                zone_successors = choose_successors(
                    inside, live.get(zone, []), SUCCESSORS_PER_ZONE
                )
                chosen.extend(zone_successors)
            authority.wanted_successors = tuple(chosen)

    def tick(self) -> None:
        """Run the effects that are due; called a few times per sync period."""
        for key in tuple(self.watched):
            now = self.clock.monotonic()
            authority = self.by_key[key]
            self._run_authority_effects(authority, authority.tick(now))
            coordinator = self.coordinators[key]
            self._run_coordinator_effects(coordinator, coordinator.tick(now))

    def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Answer the promise request of an authority's holder.

        :raises StaleError: when this host cannot be its successor.
        """
        authority = self.by_key.get(request.authority)
        if authority is None:
            raise StaleError('authority', request.term, 0)
        self.watched.add(request.authority)
        return authority.promise(request, self.clock.monotonic())

    def apply_report(self, reports: Iterable[RenewalReport]) -> None:
        """Pass renewers' reports to the coordinators of their authorities."""
        now = self.clock.monotonic()
        for report in reports:
            coordinator = self.coordinators.get(report.authority)
            if coordinator is not None and report.renewer is not None:
                coordinator.apply_report(report.renewer, report, now)

    def shares(
        self,
        held: Collection[AuthorityKey],
        members: Collection[Member],
        known: Mapping[AuthorityKey, Revision],
        now: float,
    ) -> list[Share]:
        """Return the share of each authority for the zone's hosts.

        :param held: authorities that this host holds.
        :param members: live hosts that can be assigned as renewers.
        :param known: revisions that this host has already published.
        """
        shares = []
        for key in held:
            coordinator = self.coordinators[key]
            coordinator.members = tuple(member.ref for member in members)
            coordinator.working_since = self.working_since
            coordinator.hot_keys = self.hot_keys
            share = coordinator.share(None, known.get(key), now)
            if share is not None:
                # The share includes segments that were handed over to other
                # homes. A host without this update would combine the old owner
                # with new permits.
                shares.append(share)
        return shares

    def working(self, now: float) -> dict[AuthorityKey, tuple[str, ...]]:
        """Return the pools with a working server, by authority held."""
        working_pools = {
            key: tuple(sorted(coordinator.working_pools(now)))
            for key, coordinator in self.coordinators.items()
            if self.by_key[key].is_valid(now)
        }
        self.record_working_pools(working_pools, now)
        return working_pools

    def record_working_pools(
        self,
        working: Mapping[AuthorityKey, tuple[str, ...]],
        now: float,
    ) -> None:
        """Record the zones in which each pool has working servers."""
        for key, pools in working.items():
            for name, zone in tuple(self.working_since):
                if zone == key.zone and name not in pools:
                    if self.working_mobility.get((name, zone)) is key.mobility:
                        del self.working_since[name, zone]
            for name in pools:
                self.working_since.setdefault((name, key.zone), now)
                self.working_mobility[name, key.zone] = key.mobility

    def receive_hint(self, home: AuthorityKey, segment: SegmentKey) -> None:
        """Process the hint that a segment was handed over to a home."""
        coordinator = self.coordinators.get(home)
        if coordinator is not None:
            effects = coordinator.receive_hint(segment, self.clock.monotonic())
            self._run_coordinator_effects(coordinator, effects)

    def return_adopted_authorities(
        self, live: Mapping[str, list[HostRef]]
    ) -> None:
        """Return adopted authorities to zones that have live hosts again.

        :param live: by zone, the hosts that have been live for some time.
        """
        now = self.clock.monotonic()
        for key in self.held(now):
            live_hosts = live.get(key.zone)
            if key.zone != self.own.zone and live_hosts:
                authority = self.by_key[key]
                authority.hand_over(live_hosts[0], authority.wanted_successors)

    def hand_over_pinned_shards(self, live: Collection[HostRef]) -> None:
        """Hand the pinned shards over to the coordinator of the movable ones.

        All hosts of a zone sync with one root, which costs less when the root
        holds both authorities.
        """
        zone = self.own.zone
        pinned = self.by_key[AuthorityKey(zone, Mobility.PINNED)]
        next_holder = self.holder(AuthorityKey(zone, Mobility.MOVABLE))
        if (
            next_holder is None
            or next_holder not in live
            or next_holder == self.own.ref
        ):
            return
        if pinned.is_valid(self.clock.monotonic()):
            pinned.hand_over(next_holder, pinned.wanted_successors)

    def leave(self, live: Iterable[HostRef]) -> bool:
        """Renounce takeovers and hand authorities over before a shutdown.

        Return whether this host has no role left.
        """
        candidates = set(live)
        is_done = True
        for authority in self.by_key.values():
            is_done = authority.renounce() and is_done
            if authority.holder is None:
                continue
            is_done = False
            next_holders = [
                ref for ref in authority.holder.successors if ref in candidates
            ]
            if next_holders:
                authority.hand_over(
                    next_holders[0], authority.wanted_successors
                )
        return is_done

    def _keys(self) -> Iterator[AuthorityKey]:
        for mobility in Mobility:
            yield AuthorityKey(self.own.zone, mobility)
        for zone, adopter in self.adopters.items():
            if adopter == self.own.zone and zone != self.own.zone:
                yield AuthorityKey(zone, Mobility.MOVABLE)

    def _machine(self, key: AuthorityKey) -> Authority:
        is_home = key.zone == self.own.zone
        return Authority(
            key,
            self.own.ref,
            self._nonce,
            is_home=is_home,
        )

    def _nonce(self) -> str:
        return uuid.uuid4().hex

    def _successor_zones(self, key: AuthorityKey) -> list[str]:
        adopter = self.adopters.get(key.zone)
        if key.mobility is Mobility.PINNED or adopter in {None, key.zone}:
            return [key.zone]
        return [key.zone, str(adopter)]

    def _run_authority_effects(
        self, authority: Authority, effects: authority_lease.Effects
    ) -> None:
        for effect in effects:
            match effect:
                case authority_lease.ReadRows():
                    self.supervisor.start(self._read_rows(authority))
                case Commit():
                    self.supervisor.start(self._commit(authority, effect))
                case authority_lease.RequestPromise():
                    self.supervisor.start(
                        self._request_promise(authority, effect)
                    )
                case authority_lease.AuthorityGained():
                    self._log_change(
                        Event.AUTHORITY_GAINED, authority, effect.term
                    )
                case authority_lease.AuthorityLost():
                    self._log_change(
                        Event.AUTHORITY_LOST, authority, effect.term
                    )

    def _log_change(
        self, event: Event, authority: Authority, term: int
    ) -> None:
        key = authority.key
        self.events.emit(
            event,
            zone=key.zone,
            mobility=key.mobility.value,
            term=term,
        )

    async def _read_rows(self, authority: Authority) -> None:
        name = row_key(authority.key)
        lease_row = await self.calls.read(LEASE_TABLE, name)
        row = await self.calls.read(AUTHORITY_TABLE, name)
        if lease_row is not None and row is not None:
            event = authority_lease.RowsRead(row, lease_row)
            now = self.clock.monotonic()
            self._run_authority_effects(authority, authority.handle(event, now))

    async def _commit(self, authority: Authority, commit: Commit) -> None:
        event = await self.calls.commit(commit)
        now = self.clock.monotonic()
        self._run_authority_effects(authority, authority.handle(event, now))

    async def _request_promise(
        self, authority: Authority, effect: authority_lease.RequestPromise
    ) -> None:
        successor = self.members.get(effect.taker)
        if successor is None:
            return
        requested_at = self.clock.monotonic()
        try:
            answer = await self.peers.get(successor.address).promise(
                effect.request
            )
        except OriolearchError:
            return
        if answer.taker == effect.taker:
            event = PromiseReceived(
                answer, requested_at, self.clock.monotonic()
            )
            self._run_authority_effects(
                authority, authority.receive_promise(event)
            )

    def _run_coordinator_effects(
        self,
        coordinator: Coordinator,
        effects: Iterable[coordinator_effects.Effect],
    ) -> None:
        for effect in effects:
            match effect:
                case Commit():
                    self.supervisor.start(
                        self._write_segment(coordinator, effect)
                    )
                case coordinator_effects.ScanSegments():
                    self.supervisor.start(self._scan_segments(coordinator))
                case coordinator_effects.ReadSegment():
                    self.supervisor.start(
                        self._read_segment(coordinator, effect.segment)
                    )
                case coordinator_effects.HintSegment():
                    self.hints.add((effect.home, effect.segment))

    async def _write_segment(
        self, coordinator: Coordinator, commit: Commit
    ) -> None:
        event = await self.calls.commit(commit)
        now = self.clock.monotonic()
        self._run_coordinator_effects(
            coordinator, coordinator.handle(event, now)
        )

    async def _scan_segments(self, coordinator: Coordinator) -> None:
        requested_at = self.clock.monotonic()
        rows = await self.calls.scan(SEGMENT_TABLE)
        if rows is not None:
            for error in coordinator.apply_scan(
                requested_at, rows, self.clock.monotonic()
            ):
                self.supervisor.report_error(error)

    async def _read_segment(
        self,
        coordinator: Coordinator,
        key: SegmentKey,
    ) -> None:
        name = segment_row_key(key)
        row = await self.calls.read(SEGMENT_TABLE, name)
        if row is not None:
            coordinator.read(key, row, self.clock.monotonic())
