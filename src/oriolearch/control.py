"""The control tasks of one host.

All state belongs to the event loop that runs the tasks. Calls to the platform
and to keyed servers block, so they run on threads and hand their results back
to the loop.
"""

import asyncio
import json
import random
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterator,
    Mapping,
)
from contextlib import contextmanager, suppress
from dataclasses import dataclass, replace
from typing import Any, Protocol, TypeVar

from oriolearch.adapters.config_table import ConfigTable
from oriolearch.adapters.entry import Entry
from oriolearch.adapters.exchange import Published
from oriolearch.adapters.peers import PeerClients
from oriolearch.eventlog import Event
from oriolearch import overview
from oriolearch.authorities import RETURN_DELAY_S, Authorities
from oriolearch.core import configuration
from oriolearch.core.coordinator import Move
from oriolearch.core.errors import (
    PeerError,
    PlatformError,
    StaleError,
    ValidationError,
)
from oriolearch.core.membership import Charges, Membership, SyncTree
from oriolearch.core.messages import (
    AuthorityKey,
    Hint,
    PromiseAnswer,
    PromiseRequest,
    SyncAnswer,
    SyncRequest,
)
from oriolearch.core.model import Document, HostRef, Member, Mobility
from oriolearch.core.placement import plan
from oriolearch.core.splitting import HotKeyWatch
from oriolearch.core.syncing import OwnState, SyncKeeper
from oriolearch.core.view import View
from oriolearch.health import HealthReports
from oriolearch.platform_calls import PlatformCalls
from oriolearch.ports import Clock, HostEntry, HostList, TableService
from oriolearch.renewing import Renewers
from oriolearch.schema import document_json, read_document
from oriolearch.settings import Settings
from oriolearch.supervision import Supervisor

SYNC_PERIOD_S = 0.2
TICK_S = 0.05
MIN_DELAY_S = 0.01  # after the parent's own sync, for each level of the tree
MAX_DELAY_S = 0.03
CONFIG_PERIOD_S = 0.5
HOST_LIST_PERIOD_S = 1.0
HEALTH_PERIOD_S = 1.0
COLD_KEPT_S = 2.0
HAND_OVER_LIMIT_S = 5.0
FIRST_HOSTS = 3  # of a zone's listed hosts, that create its authorities
PARENT_PATIENCE_S = 1.0  # a host without a parent then reads the host list

_Entry = TypeVar('_Entry')


class PlatformPorts(TableService, HostList, Protocol):
    """What the control tasks use of the platform."""


class ZonePlanner:
    """Plans by :func:`oriolearch.core.placement.plan`."""

    def plan(
        self,
        shards: Mapping[int, str | None],
        servers: Mapping[str, float],
        limit: int,
    ) -> tuple[Move, ...]:
        """Place shards without an owner, and move some others."""
        moves = plan(shards, servers, limit)
        return tuple(Move(one.shard, one.source, one.target) for one in moves)


def parse_document(text: str) -> Document:
    """Read a document that a peer sent.

    :raises ValidationError: names the field and value at fault.
    """
    return read_document('peer', text)


@dataclass(frozen=True, slots=True)
class ControlPorts:
    """What the control tasks of a host work with."""

    own: Member
    settings: Settings
    clock: Clock
    platform: PlatformPorts
    config_table: ConfigTable
    published: Published
    entry: Entry
    renewers: Renewers
    supervisor: Supervisor


def by_pool(counts: Mapping[str, _Entry]) -> dict[str, dict[str, _Entry]]:
    """Group values that are named ``pool/upstream``."""
    pools: dict[str, dict[str, _Entry]] = {}
    for name, count in counts.items():
        pool, _, upstream = name.partition('/')
        pools.setdefault(pool, {})[upstream] = count
    return pools


class Control:
    """Keeps this host's view up to date and acts in its roles.

    Answers the calls of other hosts as their parent or taker.
    """

    def __init__(self, ports: ControlPorts, rng: random.Random) -> None:
        own = ports.own
        settings = ports.settings
        clock = ports.clock
        events = ports.entry.telemetry.events
        self.own = own
        self.settings = settings
        self.clock = clock
        self.platform = ports.platform
        self.config_table = ports.config_table
        self.published = ports.published
        self.entry = ports.entry
        self.rng = rng
        self.events = events
        self.supervisor = ports.supervisor
        self.calls = PlatformCalls(ports.platform)
        self.peers = PeerClients(clock.monotonic)
        self.keeper = SyncKeeper(own, parse_document)
        self.membership = Membership(own.zone)
        self.charges = Charges()
        self.hot_keys = HotKeyWatch()
        self.authorities = Authorities(
            own,
            settings.adopters(),
            clock,
            self.calls,
            self.peers,
            ZonePlanner(),
            ports.supervisor,
        )
        self.renewers = ports.renewers
        self.health = HealthReports(own)
        self.cold_named: dict[str, float] = {}
        self.listed: tuple[HostEntry, ...] = ()
        self.newest = Document()
        self.parent_heard = clock.monotonic() - PARENT_PATIENCE_S
        self.is_leaving = False
        self.stated = 0.0
        self.was_root = False
        self.depth = 1  # levels of the sync tree above this host
        self.since: dict[HostRef, float] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Run all tasks until cancelled or until an invariant is broken."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.supervisor.wait_broken())
            group.create_task(self._run_sync())
            for period_s, work in (
                (TICK_S, self._tick),
                (CONFIG_PERIOD_S, self._read_config),
                (HOST_LIST_PERIOD_S, self._read_host_list),
                (HEALTH_PERIOD_S, self._ask_health),
            ):
                group.create_task(self._repeat(period_s, work))

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Answer a child.

        :raises StaleError: when the request is of an old incarnation.
        """
        with self.supervisor.watched():
            return self._answer(request)

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Answer the holder of an authority as its taker."""
        with self.supervisor.watched():
            return self.authorities.promise(request)

    def leave(self) -> None:
        """Begin a planned stop: take no new roles."""
        self.is_leaving = True

    async def hand_over(self) -> None:
        """Hand over the roles; bounded, since others take over anyway."""
        end = self.clock.monotonic() + HAND_OVER_LIMIT_S
        while self.clock.monotonic() < end:
            if self.authorities.leave(self._live_others()):
                return
            await asyncio.sleep(TICK_S)

    async def close(self) -> None:
        """Close all connections; the tasks have ended."""
        self.supervisor.close()
        self.renewers.close()
        self.health.close()
        self.peers.close()
        self.calls.close()

    def is_served(self) -> bool:
        """Tell whether this host knows an owner for every shard."""
        return overview.is_served(self.published.view)

    def effects_of(self, before: Document, after: Document) -> dict[str, Any]:
        """Tell what an edit moves, by this host's view."""
        return overview.effects_of(self.published.view, before, after)

    def status(self) -> dict[str, Any]:
        """Give the state of all that this host knows, with its age."""
        now = self.clock.monotonic()
        view = self.published.view
        leases = overview.lease_rows(
            view,
            dict(self.keeper.coordinators),
            dict(self.keeper.revisions),
            now,
        )
        return {
            'host': self.own.ref.host,
            'version': view.document.version,
            'age_s': round(now - view.refreshed, 3),
            'zones_out': ' '.join(sorted(view.document.zones_out)),
            'hosts_out': ' '.join(sorted(view.document.hosts_out)),
            'hosts': overview.host_rows(view, self.own.ref),
            'pools': overview.pool_rows(view),
            'upstreams': overview.upstream_rows(view, self.entry.outstanding()),
            'leases': leases,
            'hot_keys': overview.hot_key_rows(view, self.hot_keys),
        }

    async def _repeat(
        self,
        period_s: float,
        work: Callable[[], Awaitable[None]],
    ) -> None:
        while True:
            started = self.clock.monotonic()
            try:
                await work()
            except Exception as error:
                self.supervisor.failed(error)
            spent = self.clock.monotonic() - started
            await asyncio.sleep(max(period_s - spent, 0))

    async def _run_sync(self) -> None:
        """Sync each period, just after the parent has heard anew.

        Without this, every level of the tree would add up to a period to the
        age of permits.
        """
        while True:
            try:
                await self._sync()
            except Exception as error:
                self.supervisor.failed(error)
            await asyncio.sleep(self._pause_s())

    def _answer(self, request: SyncRequest) -> SyncAnswer:
        now = self.clock.monotonic()
        self.keeper.hear(request, now)
        self.membership.hear_request(request, now)
        for hint in request.hints:
            self.authorities.hinted(hint.home, (hint.pool, hint.index))
        if now >= self.stated + TICK_S:
            self._state(now)  # other zones get permits that are not yet old
        # Other coordinators hand segments only to zones named in it.
        working = self.authorities.working(now)
        return replace(self.keeper.answer(request, now), working=working)

    @contextmanager
    def _ignored(self, address: str) -> Iterator[None]:
        """Go on without a peer that gives no answer or a bad one."""
        try:
            yield
        except PeerError:
            return
        except (StaleError, ValidationError) as error:
            self.events.emit(
                Event.SYNC_IGNORED,
                sender=address,
                error=str(error),
            )

    def _pause_s(self) -> float:
        now = self.clock.monotonic()
        if self._is_root(self.authorities.held(now)):
            return SYNC_PERIOD_S
        delay_s = self.rng.uniform(MIN_DELAY_S, MAX_DELAY_S) * self.depth
        age_s = now - self.keeper.view.refreshed - delay_s
        return SYNC_PERIOD_S - max(age_s, 0) % SYNC_PERIOD_S

    async def _tick(self) -> None:
        now = self.clock.monotonic()
        self.authorities.tick()
        self.renewers.charge(self.keeper.own_mandates(now))
        self.renewers.tick()
        if self.is_leaving:
            self.authorities.leave(self._live_others())

    async def _sync(self) -> None:
        held = self.authorities.held(self.clock.monotonic())
        own_state = self._own_state()
        self._judge_hot_keys(own_state, self._is_root(held))
        if held:
            self.keeper.note_own(own_state)
        if self._is_root(held):
            await self._exchange(held)
        else:
            await self._ask_parent(own_state)
        self._state(self.clock.monotonic())
        self._publish()

    def _state(self, now: float) -> None:
        """Refresh what this host says as a coordinator."""
        held = self.authorities.held(now)
        if held:
            self.stated = now
            self._absorb(self._statement(held, now), now)

    def _own_state(self) -> OwnState:
        reports = tuple(
            replace(report, renewer=self.own.ref)
            for report in self.renewers.reports()
        )
        return OwnState(
            outstanding=self.entry.outstanding(),
            hot_keys=self.entry.key_counter.drain(self.clock.monotonic()),
            reports=reports,
            cold=tuple(sorted(self.entry.cold() | self.health.cold())),
            leaving=self.is_leaving,
        )

    def _judge_hot_keys(self, own_state: OwnState, is_root: bool) -> None:
        """Decide once a window, by this host and those below it."""
        if not is_root:
            self.authorities.hot_keys = {}
        if own_state.hot_keys is None:
            return
        now = self.clock.monotonic()
        reports = self.keeper.children.hot_keys(now)
        self.hot_keys.judge(
            [own_state.hot_keys, *reports],
            self.published.view.document,
            self.published.view.segments.values(),
        )
        if is_root:
            self.authorities.hot_keys = self.hot_keys.shares()

    def _is_root(self, held: Collection[AuthorityKey]) -> bool:
        """Tell whether the hosts of the zone sync with this one.

        Where two hosts hold the authorities of a zone, it is the one for
        movable shards.
        """
        movable = AuthorityKey(self.own.zone, Mobility.MOVABLE)
        pinned = AuthorityKey(self.own.zone, Mobility.PINNED)
        holder = self._holder(movable)
        is_alone = holder is None or holder == self.own.ref
        return movable in held or (pinned in held and is_alone)

    def _holder(self, key: AuthorityKey) -> HostRef | None:
        """Name the coordinator by the syncs, or else by the table."""
        return self.keeper.coordinators.get(key) or self.authorities.holder(key)

    def _statement(
        self,
        held: Collection[AuthorityKey],
        now: float,
    ) -> SyncAnswer:
        """Give what this host says as the coordinator of what it holds."""
        is_root = self._is_root(held)
        if is_root:
            if not self.was_root:
                self.membership.expect(self._zone_members(), now)
            self.membership.hear(self.own, now, self.is_leaving)
            members = self.membership.live(now)
        else:
            members = self._zone_members() or (self.own,)
        self.was_root = is_root
        self.charges.update(members)
        reports = self.keeper.children.reports(
            self.keeper.own_state.reports,
            now,
        )
        self.authorities.reported(reports)
        shares = self.authorities.shares(
            held,
            members,
            self.keeper.revisions,
            now,
        )
        cold = self._cold(now)
        return SyncAnswer(
            sender=self.own,
            document_version=self.newest.version,
            document=self._newer_document(),
            permits=tuple(share.permit for share in shares),
            mandates=tuple(
                mandate for share in shares for mandate in share.mandates
            ),
            segments=tuple(
                segment for share in shares for segment in share.segments
            ),
            outstanding={},
            members=members,
            cold=self.charges.cold(cold),
            coordinators={
                share.permit.authority: self.own.ref for share in shares
            },
            working=self.authorities.working(now),
        )

    def _cold(self, now: float) -> list[str]:
        """List the cold upstreams that were named lately.

        The host that finds one does not name it again, and the one in charge
        only begins to do so once it has heard of it.
        """
        for name in self.keeper.children.cold():
            self.cold_named[name] = now
        for name in self.keeper.own_state.cold:
            self.cold_named[name] = now
        self.cold_named = {
            name: named
            for name, named in self.cold_named.items()
            if now < named + COLD_KEPT_S
        }
        return sorted(self.cold_named)

    def _newer_document(self) -> str | None:
        if self.newest.version <= self.keeper.view.document.version:
            return None
        return json.dumps(document_json(self.newest))

    async def _exchange(self, held: Collection[AuthorityKey]) -> None:
        """Sync with the coordinators of what this root does not hold."""
        holders: dict[HostRef, list[AuthorityKey]] = {}
        keys = set(self.keeper.coordinators).union(self.authorities.machines)
        for key in keys:
            holder = self._holder(key)
            if holder is not None and holder != self.own.ref:
                holders.setdefault(holder, []).append(key)
        addresses = {
            holder: self._address(holder)
            for holder, keys in holders.items()
            if not set(keys).issubset(held)
        }
        asked = [
            self._exchange_with(address, holders[holder])
            for holder, address in addresses.items()
            if address is not None
        ]
        for zone in self.settings.adopters():
            address = self._any_address(zone, holders)
            if address is not None and self._is_unheard(zone):
                asked.append(self._exchange_with(address, []))
        await asyncio.gather(*asked)

    def _is_unheard(self, zone: str) -> bool:
        """Tell whether a zone has no coordinator that is heard of.

        Its hosts then know who has taken over, which only they tell.
        """
        now = self.clock.monotonic()
        ends = [
            self.keeper.view.permit_ends.get(key, 0)
            for key in self.keeper.coordinators
            if key.zone == zone
        ]
        return zone != self.own.zone and min(ends, default=0) <= now

    def _any_address(
        self,
        zone: str,
        holders: Collection[HostRef],
    ) -> str | None:
        """Choose a host of a zone that is not known as a coordinator."""
        others = [
            member.address
            for member in self.keeper.members.get(zone, ())
            if member.ref not in holders
        ]
        return self.rng.choice(others) if others else self._listed_address(zone)

    async def _exchange_with(
        self,
        address: str,
        keys: Collection[AuthorityKey],
    ) -> None:
        now = self.clock.monotonic()
        request = self.keeper.exchange_request(keys, now)
        hints = tuple(
            Hint(home, *segment)
            for home, segment in self.authorities.hints
            if home in keys
        )
        with self._ignored(address):
            answer = await self.peers.get(address).sync(
                replace(request, hints=hints),
            )
            self._absorb(answer, now)
            for hint in hints:
                self.authorities.hints.discard(
                    (hint.home, (hint.pool, hint.index)),
                )
            self.authorities.note_working(answer.working, now)

    async def _ask_parent(self, own_state: OwnState) -> None:
        """Sync with the first candidate that answers."""
        for address in self._parents():
            now = self.clock.monotonic()
            request = self.keeper.request(own_state, now)
            with self._ignored(address):
                answer = await self.peers.get(address).sync(request)
                self._absorb(answer, now)
                if answer.age_s < PARENT_PATIENCE_S and answer.permits:
                    self.parent_heard = now
                return

    def _parents(self) -> Iterator[str]:
        zone = self.own.zone
        holder = self._holder(
            AuthorityKey(zone, Mobility.MOVABLE),
        ) or self._holder(AuthorityKey(zone, Mobility.PINNED))
        tree = SyncTree(self._zone_members(), holder.host if holder else None)
        if self.own.ref.host in tree.by_host:
            for member in tree.candidates(self.own.ref.host):
                is_root = holder is not None and member.ref == holder
                self.depth = 1 if is_root else 2
                yield member.address
        address = self._address(holder)
        if address is not None:
            yield address
        seeds = list(self.settings.peers.seeds)
        self.rng.shuffle(seeds)
        yield from seeds

    def _absorb(self, answer: SyncAnswer, asked: float) -> None:
        try:
            problems = self.keeper.absorb(answer, asked)
        except StaleError as error:
            problems = (error,)
        for problem in problems:
            self.events.emit(
                Event.SYNC_IGNORED,
                sender=answer.sender.ref.host,
                error=str(problem),
            )

    def _publish(self) -> None:
        now = self.clock.monotonic()
        view = self.keeper.view
        if view.document.version != self.published.view.document.version:
            self.authorities.configure(view.document)
            self.renewers.configure(view.document)
            self.events.emit(
                Event.CONFIG_APPLIED,
                version=view.document.version,
            )
        self._note_members(view, now)
        self.published.publish(view)
        self.entry.update(
            by_pool(self.keeper.cold),
            by_pool(self.keeper.others_outstanding(now)),
            self.health.hints,
        )
        self.peers.close_unused()

    def _note_members(self, view: View, now: float) -> None:
        self.authorities.note_members(view.members)
        present = {member.ref for member in view.members}
        self.since = {ref: self.since.get(ref, now) for ref in present}
        settled: dict[str, list[HostRef]] = {}
        for member in view.members:
            if self.since[member.ref] <= now - RETURN_DELAY_S:
                settled.setdefault(member.zone, []).append(member.ref)
        self.authorities.give_back(settled)
        self.authorities.unite(settled.get(self.own.zone, ()))

    async def _read_config(self) -> None:
        if not self._needs_platform():
            return
        known = self.keeper.view.document
        newest = configuration.newest(self.newest, known)
        with suppress(PlatformError):
            self.newest = await self.calls.run(
                lambda: self.config_table.load(newest),
            )

    async def _ask_health(self) -> None:
        members = self._zone_members()
        await self.health.ask(self.published.view.document, members)

    async def _read_host_list(self) -> None:
        if not self._needs_platform():
            return
        with suppress(PlatformError):
            self.listed = tuple(await self.calls.run(self.platform.hosts))
        now = self.clock.monotonic()
        own_zone = sorted(
            (entry for entry in self.listed if entry.zone == self.own.zone),
            key=lambda entry: entry.host,
        )
        self.membership.observe_list(
            {entry.host: entry.state for entry in own_zone},
            now,
        )
        names = [entry.host for entry in own_zone[:FIRST_HOSTS]]
        if self.own.ref.host not in names or self.is_leaving:
            return
        # One after the other, so that one host becomes all coordinators.
        rank = names.index(self.own.ref.host)
        if now >= self.parent_heard + PARENT_PATIENCE_S * rank:
            self.authorities.watch(
                AuthorityKey(self.own.zone, mobility) for mobility in Mobility
            )

    def _needs_platform(self) -> bool:
        """Tell whether this host reads the platform rather than a parent."""
        now = self.clock.monotonic()
        is_lonely = now >= self.parent_heard + PARENT_PATIENCE_S
        return is_lonely or bool(self.authorities.held(now))

    def _zone_members(self) -> tuple[Member, ...]:
        return self.keeper.members.get(self.own.zone, ())

    def _live_others(self) -> list[HostRef]:
        return [
            member.ref
            for member in self.keeper.view.members
            if member.ref != self.own.ref
        ]

    def _address(self, ref: HostRef | None) -> str | None:
        if ref is None or ref == self.own.ref:
            return None
        for member in self.keeper.view.members:
            if member.ref == ref:
                return member.address
        found = [one.address for one in self.listed if one.host == ref.host]
        return found[0] if found else None

    def _listed_address(self, zone: str) -> str | None:
        found = [entry.address for entry in self.listed if entry.zone == zone]
        return self.rng.choice(found) if found else None
