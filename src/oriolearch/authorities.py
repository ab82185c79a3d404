"""The authorities that a host may hold, and its work as coordinator.

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

from oriolearch.adapters.peers import PeerClients
from oriolearch.eventlog import Event
from oriolearch.core import authority as lease
from oriolearch.core import coordinator as duties
from oriolearch.core.authority import Authority, Promised, choose_takers
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
    row_key,
)
from oriolearch.core.segments import SegmentKey, segment_row_key
from oriolearch.platform_calls import PlatformCalls
from oriolearch.ports import Clock
from oriolearch.supervision import Supervisor

TAKERS_PER_ZONE = 2
RETURN_DELAY_S = 3.0  # a zone that is back gets its authority after this time


class Authorities:
    """All authorities that this host may hold.

    :param adopters: the zone that may adopt the movable shards of each zone.
    :param members: all live hosts that this host knows of, kept up to date.
    :param hot_keys: by pool, the share of each key to be split; set by the
        root of a zone, and empty while it has not heard of all its hosts.
    """

    def __init__(
        self,
        own: Member,
        adopters: Mapping[str, str | None],
        clock: Clock,
        calls: PlatformCalls,
        peers: PeerClients,
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
        self.machines = {key: self._machine(key) for key in self._keys()}
        self.coordinators = {
            key: Coordinator(machine, own.zone, planner, self._nonce)
            for key, machine in self.machines.items()
        }
        self.homes: dict[tuple[str, str], float] = {}
        self.hot_keys: Mapping[str, Mapping[str, float]] = {}
        self.home_mobility: dict[tuple[str, str], Mobility] = {}

    def held(self, now: float) -> list[AuthorityKey]:
        """List the authorities that are in force here now."""
        return [
            key
            for key, machine in self.machines.items()
            if machine.is_valid(now)
        ]

    def holder(self, key: AuthorityKey) -> HostRef | None:
        """Name the holder by the last reading of its row, if any."""
        machine = self.machines.get(key)
        row = machine.rows.authority if machine else None
        return row.holder if row else None

    def configure(self, document: Document) -> None:
        """Apply a newer configuration."""
        for one in self.coordinators.values():
            one.configure(document)

    def watch(self, keys: Iterable[AuthorityKey]) -> None:
        """Take part in authorities, as their first holder or a taker."""
        self.watched.update(key for key in keys if key in self.machines)

    def note_members(self, members: Iterable[Member]) -> None:
        """Replace the live hosts, and choose whom to name as takers."""
        self.members = {member.ref: member for member in members}
        live: dict[str, list[HostRef]] = {}
        for ref, member in self.members.items():
            self.zone_of[ref.host] = member.zone
            if ref.host != self.own.ref.host:
                live.setdefault(member.zone, []).append(ref)
        self._name_takers(live)

    def _name_takers(self, live: Mapping[str, list[HostRef]]) -> None:
        for key, machine in self.machines.items():
            row = machine.rows.authority
            current = row.takers if row else ()
            chosen: list[HostRef] = []
            for zone in self._candidates(key):
                inside = [
                    taker
                    for taker in current
                    if taker.host != self.own.ref.host
                    and self.zone_of.get(taker.host) == zone
                ]
                found = choose_takers(
                    inside, live.get(zone, []), TAKERS_PER_ZONE
                )
                chosen.extend(found)
            machine.wanted_takers = tuple(chosen)

    def tick(self) -> None:
        """Do what is due; called a few times in each sync period."""
        for key in tuple(self.watched):
            now = self.clock.monotonic()
            machine = self.machines[key]
            self._perform(machine, machine.tick(now))
            duty = self.coordinators[key]
            self._carry_out(duty, duty.tick(now))

    def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Answer the holder of an authority.

        :raises StaleError: when this host cannot be its taker.
        """
        machine = self.machines.get(request.authority)
        if machine is None:
            raise StaleError('authority', request.term, 0)
        self.watched.add(request.authority)
        return machine.promise(request, self.clock.monotonic())

    def reported(self, reports: Iterable[RenewalReport]) -> None:
        """Hand renewers' reports to the coordinators in charge."""
        now = self.clock.monotonic()
        for report in reports:
            duty = self.coordinators.get(report.authority)
            if duty is not None and report.renewer is not None:
                duty.reported(report.renewer, report, now)

    def shares(
        self,
        held: Collection[AuthorityKey],
        members: Collection[Member],
        known: Mapping[AuthorityKey, Revision],
        now: float,
    ) -> list[Share]:
        """Give what the zone's hosts are to know, for each authority.

        :param members: live hosts that can be charged with renewing.
        :param known: revisions that this host has published before.
        """
        shares = []
        for key in held:
            duty = self.coordinators[key]
            duty.members = tuple(member.ref for member in members)
            duty.homes = self.homes
            duty.hot_keys = self.hot_keys
            share = duty.share(None, known.get(key), now)
            if share is not None:
                # Segments handed to other homes are among them: a host that
                # missed this would use the old owner with new permits.
                shares.append(share)
        return shares

    def working(self, now: float) -> dict[AuthorityKey, tuple[str, ...]]:
        """Give the pools that have a working server, by authority held."""
        found = {
            key: tuple(sorted(duty.working_pools(now)))
            for key, duty in self.coordinators.items()
            if self.machines[key].is_valid(now)
        }
        self.note_working(found, now)
        return found

    def note_working(
        self,
        working: Mapping[AuthorityKey, tuple[str, ...]],
        now: float,
    ) -> None:
        """Learn from a coordinator where each pool has working servers."""
        for key, pools in working.items():
            for name, zone in tuple(self.homes):
                if zone == key.zone and name not in pools:
                    if self.home_mobility.get((name, zone)) is key.mobility:
                        del self.homes[name, zone]
            for name in pools:
                self.homes.setdefault((name, key.zone), now)
                self.home_mobility[name, key.zone] = key.mobility

    def hinted(self, home: AuthorityKey, segment: SegmentKey) -> None:
        """Learn that another coordinator handed a segment to this one."""
        duty = self.coordinators.get(home)
        if duty is not None:
            effects = duty.hinted(segment, self.clock.monotonic())
            self._carry_out(duty, effects)

    def give_back(self, live: Mapping[str, list[HostRef]]) -> None:
        """Give adopted authorities back to zones whose hosts live again.

        :param live: hosts of each zone that have lived for some time.
        """
        now = self.clock.monotonic()
        for key in self.held(now):
            back = live.get(key.zone)
            if key.zone != self.own.zone and back:
                machine = self.machines[key]
                machine.hand_over(back[0], machine.wanted_takers)

    def unite(self, live: Collection[HostRef]) -> None:
        """Hand the pinned shards to the coordinator of the movable ones.

        All hosts of a zone sync with one root, which is cheaper when it holds
        both authorities.
        """
        zone = self.own.zone
        pinned = self.machines[AuthorityKey(zone, Mobility.PINNED)]
        heir = self.holder(AuthorityKey(zone, Mobility.MOVABLE))
        if heir is None or heir not in live or heir == self.own.ref:
            return
        if pinned.is_valid(self.clock.monotonic()):
            pinned.hand_over(heir, pinned.wanted_takers)

    def leave(self, live: Iterable[HostRef]) -> bool:
        """Renounce and hand over; true once this host has no role left."""
        candidates = set(live)
        is_done = True
        for machine in self.machines.values():
            is_done = machine.renounce() and is_done
            if machine.holder is None:
                continue
            is_done = False
            heirs = [one for one in machine.holder.takers if one in candidates]
            if heirs:
                machine.hand_over(heirs[0], machine.wanted_takers)
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

    def _candidates(self, key: AuthorityKey) -> list[str]:
        adopter = self.adopters.get(key.zone)
        if key.mobility is Mobility.PINNED or adopter in {None, key.zone}:
            return [key.zone]
        return [key.zone, str(adopter)]

    def _perform(self, machine: Authority, effects: lease.Effects) -> None:
        for effect in effects:
            match effect:
                case lease.ReadRows():
                    self.supervisor.start(self._read_rows(machine))
                case Commit():
                    self.supervisor.start(self._commit(machine, effect))
                case lease.AskPromise():
                    self.supervisor.start(self._ask(machine, effect))
                case lease.Gained():
                    self._announce(Event.AUTHORITY_GAINED, machine, effect.term)
                case lease.Lost():
                    self._announce(Event.AUTHORITY_LOST, machine, effect.term)

    def _announce(self, event: Event, machine: Authority, term: int) -> None:
        key = machine.key
        self.events.emit(
            event,
            zone=key.zone,
            mobility=key.mobility.value,
            term=term,
        )

    async def _read_rows(self, machine: Authority) -> None:
        name = row_key(machine.key)
        found = await self.calls.read(LEASE_TABLE, name)
        row = await self.calls.read(AUTHORITY_TABLE, name)
        if found is not None and row is not None:
            event = lease.RowsRead(row, found)
            now = self.clock.monotonic()
            self._perform(machine, machine.handle(event, now))

    async def _commit(self, machine: Authority, commit: Commit) -> None:
        event = await self.calls.commit(commit)
        now = self.clock.monotonic()
        self._perform(machine, machine.handle(event, now))

    async def _ask(self, machine: Authority, effect: lease.AskPromise) -> None:
        taker = self.members.get(effect.taker)
        if taker is None:
            return
        asked = self.clock.monotonic()
        try:
            answer = await self.peers.get(taker.address).promise(effect.request)
        except OriolearchError:
            return
        if answer.taker == effect.taker:
            event = Promised(answer, asked, self.clock.monotonic())
            self._perform(machine, machine.promised(event))

    def _carry_out(
        self,
        duty: Coordinator,
        effects: Iterable[duties.Effect],
    ) -> None:
        for effect in effects:
            match effect:
                case Commit():
                    self.supervisor.start(self._write(duty, effect))
                case duties.ScanSegments():
                    self.supervisor.start(self._scan(duty))
                case duties.ReadSegment():
                    self.supervisor.start(
                        self._read_segment(duty, effect.segment)
                    )
                case duties.HintSegment():
                    self.hints.add((effect.home, effect.segment))

    async def _write(self, duty: Coordinator, commit: Commit) -> None:
        event = await self.calls.commit(commit)
        now = self.clock.monotonic()
        self._carry_out(duty, duty.handle(event, now))

    async def _scan(self, duty: Coordinator) -> None:
        asked = self.clock.monotonic()
        rows = await self.calls.scan(SEGMENT_TABLE)
        if rows is not None:
            for fault in duty.scanned(asked, rows, self.clock.monotonic()):
                self.supervisor.failed(fault)

    async def _read_segment(
        self,
        duty: Coordinator,
        key: SegmentKey,
    ) -> None:
        name = segment_row_key(key)
        row = await self.calls.read(SEGMENT_TABLE, name)
        if row is not None:
            duty.read(key, row, self.clock.monotonic())
