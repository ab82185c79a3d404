"""Control tasks of one host.

All state belongs to the event loop that runs the tasks. Calls to the platform
and to keyed servers block, so they run on threads and return their results to
the loop.
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
from oriolearch.adapters.exchange import PublishedView
from oriolearch.adapters.peers import PeerClientPool
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
from oriolearch.core.membership import Membership, RoleAssignments, SyncTree
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
from oriolearch.core.splitting import HotKeyDetector
from oriolearch.core.syncing import OwnState, SyncState
from oriolearch.core.view import View
from oriolearch.health import HealthReports
from oriolearch.platform_calls import PlatformCalls
from oriolearch.ports import Clock, HostEntry, HostList, TableService
from oriolearch.renewing import Renewers
from oriolearch.schema import document_to_json, read_document
from oriolearch.settings import Settings
from oriolearch.supervision import Supervisor

SYNC_PERIOD_S = 0.2
TICK_S = 0.05
MIN_SYNC_DELAY_S = 0.01  # after the sync of the parent, per level of the tree
MAX_SYNC_DELAY_S = 0.03
CONFIG_PERIOD_S = 0.5
HOST_LIST_PERIOD_S = 1.0
HEALTH_PERIOD_S = 1.0
COLD_REPORT_RETENTION_S = 2.0
HAND_OVER_TIMEOUT_S = 5.0
AUTHORITY_CREATORS = 3  # first hosts of a zone's list create its authorities
# A host without contact to a parent for this long reads the host list.
PARENT_TIMEOUT_S = 1.0

_Entry = TypeVar('_Entry')


class PlatformPorts(TableService, HostList, Protocol):
    """Services of the platform that the control tasks use."""


class ZonePlanner:
    """Plans moves with :func:`oriolearch.core.placement.plan`."""

    def plan(
        self,
        shards: Mapping[int, str | None],
        servers: Mapping[str, float],
        limit: int,
    ) -> tuple[Move, ...]:
        """Plan owners for shards without one, and moves of some others."""
        moves = plan(shards, servers, limit)
        return tuple(
            Move(move.shard, move.source, move.target) for move in moves
        )


def parse_document(text: str) -> Document:
    """Parse a configuration document from a peer.

    :raises ValidationError: with the invalid field and its value.
    """
    return read_document('peer', text)


@dataclass(frozen=True, slots=True)
class ControlPorts:
    """Dependencies of the control tasks of a host."""

    own: Member
    settings: Settings
    clock: Clock
    platform: PlatformPorts
    config_table: ConfigTable
    published: PublishedView
    entry: Entry
    renewers: Renewers
    supervisor: Supervisor


def group_by_pool(
    entries: Mapping[str, _Entry],
) -> dict[str, dict[str, _Entry]]:
    """Group values with keys ``pool/upstream`` by pool."""
    pools: dict[str, dict[str, _Entry]] = {}
    for name, entry in entries.items():
        pool, _, upstream = name.partition('/')
        pools.setdefault(pool, {})[upstream] = entry
    return pools


class Control:
    """Updates this host's view and performs its roles.

    Answers the calls of other hosts, whose parent or possible successor this
    host is.
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
        self.peers = PeerClientPool(clock.monotonic)
        self.sync_state = SyncState(own, parse_document)
        self.membership = Membership(own.zone)
        self.roles = RoleAssignments()
        self.hot_keys = HotKeyDetector()
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
        self.cold_reported_at: dict[str, float] = {}
        self.listed_hosts: tuple[HostEntry, ...] = ()
        self.newest_document = Document()
        self.last_parent_contact_at = clock.monotonic() - PARENT_TIMEOUT_S
        self.is_leaving = False
        self.last_state_applied_at = 0.0
        self.was_root = False
        self.depth = 1  # levels of the sync tree above this host
        self.member_since: dict[HostRef, float] = {}
        self.tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Run all tasks until cancelled or until an invariant is violated."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.supervisor.wait_for_violation())
            group.create_task(self._run_sync())
            for period_s, action in (
                (TICK_S, self._tick),
                (CONFIG_PERIOD_S, self._read_config),
                (HOST_LIST_PERIOD_S, self._read_host_list),
                (HEALTH_PERIOD_S, self._poll_health),
            ):
                group.create_task(self._run_periodically(period_s, action))

    async def sync(self, request: SyncRequest) -> SyncAnswer:
        """Answer the sync request of a child.

        :raises StaleError: if an old incarnation sent the request.
        """
        with self.supervisor.log_unexpected_errors():
            return self._answer_sync(request)

    async def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Answer the holder of an authority as its possible successor."""
        with self.supervisor.log_unexpected_errors():
            return self.authorities.promise(request)

    def leave(self) -> None:
        """Begin a planned stop, after which the host accepts no new roles."""
        self.is_leaving = True

    async def hand_over(self) -> None:
        """Hand over the roles, with a time limit.

        Other hosts take over those that remain when it expires.
        """
        end = self.clock.monotonic() + HAND_OVER_TIMEOUT_S
        while self.clock.monotonic() < end:
            if self.authorities.leave(self._live_others()):
                return
            await asyncio.sleep(TICK_S)

    async def close(self) -> None:
        """Close all connections after the tasks have ended."""
        self.supervisor.close()
        self.renewers.close()
        self.health.close()
        self.peers.close()
        self.calls.close()

    def is_served(self) -> bool:
        """Return whether every shard has an owner in this host's view."""
        return overview.is_served(self.published.view)

    def compute_edit_effects(
        self, before: Document, after: Document
    ) -> dict[str, Any]:
        """Return what an edit moves, computed from this host's view."""
        return overview.compute_edit_effects(self.published.view, before, after)

    def status(self) -> dict[str, Any]:
        """Return the state in this host's view, with its age."""
        now = self.clock.monotonic()
        view = self.published.view
        leases = overview.lease_rows(
            view,
            dict(self.sync_state.coordinators),
            dict(self.sync_state.revisions),
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

    async def _run_periodically(
        self,
        period_s: float,
        action: Callable[[], Awaitable[None]],
    ) -> None:
        while True:
            started = self.clock.monotonic()
            try:
                await action()
            except Exception as error:
                self.supervisor.report_error(error)
            spent = self.clock.monotonic() - started
            await asyncio.sleep(max(period_s - spent, 0))

    async def _run_sync(self) -> None:
        """Sync each period, shortly after the sync of the parent.

        Syncs at any other time would add up to one period per level of the
        tree to the age of permits.
        """
        while True:
            try:
                await self._sync()
            except Exception as error:
                self.supervisor.report_error(error)
            await asyncio.sleep(self._next_sync_delay_s())

    def _answer_sync(self, request: SyncRequest) -> SyncAnswer:
        now = self.clock.monotonic()
        self.sync_state.record_request(request, now)
        self.membership.record_request(request, now)
        for hint in request.hints:
            self.authorities.receive_hint(hint.home, (hint.pool, hint.index))
        if now >= self.last_state_applied_at + TICK_S:
            # Refreshes the permits, so that other zones receive recent ones.
            self._apply_coordinator_state(now)
        # Coordinators transfer segments only to zones that report working
        # pools.
        working = self.authorities.working(now)
        return replace(self.sync_state.answer(request, now), working=working)

    @contextmanager
    def _suppress_peer_errors(self, address: str) -> Iterator[None]:
        """Suppress the errors of a peer without an answer or with a bad one."""
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

    def _next_sync_delay_s(self) -> float:
        now = self.clock.monotonic()
        if self._is_root(self.authorities.held(now)):
            return SYNC_PERIOD_S
        delay_s = (
            self.rng.uniform(MIN_SYNC_DELAY_S, MAX_SYNC_DELAY_S) * self.depth
        )
        age_s = now - self.sync_state.view.refreshed - delay_s
        return SYNC_PERIOD_S - max(age_s, 0) % SYNC_PERIOD_S

    async def _tick(self) -> None:
        now = self.clock.monotonic()
        self.authorities.tick()
        self.renewers.apply_mandates(self.sync_state.own_mandates(now))
        self.renewers.tick()
        if self.is_leaving:
            self.authorities.leave(self._live_others())

    async def _sync(self) -> None:
        held = self.authorities.held(self.clock.monotonic())
        own_state = self._own_state()
        self._find_hot_keys(own_state, self._is_root(held))
        if held:
            self.sync_state.set_own_state(own_state)
        if self._is_root(held):
            await self._sync_with_coordinators(held)
        else:
            await self._sync_with_parent(own_state)
        self._apply_coordinator_state(self.clock.monotonic())
        self._publish()

    def _apply_coordinator_state(self, now: float) -> None:
        """Apply the state of this host as a coordinator, if it is one."""
        held = self.authorities.held(now)
        if held:
            self.last_state_applied_at = now
            self._apply_answer(self._build_coordinator_state(held, now), now)

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

    def _find_hot_keys(self, own_state: OwnState, is_root: bool) -> None:
        """Find hot keys once per window, from this host and those below it."""
        if not is_root:
            self.authorities.hot_keys = {}
        if own_state.hot_keys is None:
            return
        now = self.clock.monotonic()
        reports = self.sync_state.children.hot_keys(now)
        self.hot_keys.evaluate(
            [own_state.hot_keys, *reports],
            self.published.view.document,
            self.published.view.segments.values(),
        )
        if is_root:
            self.authorities.hot_keys = self.hot_keys.shares()

    def _is_root(self, held: Collection[AuthorityKey]) -> bool:
        """Return whether this host is the root of its zone's sync tree.

        If two hosts hold the authorities of a zone, the root is the one for
        movable shards.
        """
        movable = AuthorityKey(self.own.zone, Mobility.MOVABLE)
        pinned = AuthorityKey(self.own.zone, Mobility.PINNED)
        holder = self._holder(movable)
        is_alone = holder is None or holder == self.own.ref
        return movable in held or (pinned in held and is_alone)

    def _holder(self, key: AuthorityKey) -> HostRef | None:
        """Return the coordinator by the syncs, or else by the table."""
        return self.sync_state.coordinators.get(key) or self.authorities.holder(
            key
        )

    def _build_coordinator_state(
        self,
        held: Collection[AuthorityKey],
        now: float,
    ) -> SyncAnswer:
        """Build the state of this host as coordinator of its authorities."""
        is_root = self._is_root(held)
        if is_root:
            if not self.was_root:
                self.membership.assume_live(self._zone_members(), now)
            self.membership.record_contact(self.own, now, self.is_leaving)
            members = self.membership.live(now)
        else:
            members = self._zone_members() or (self.own,)
        self.was_root = is_root
        self.roles.update(members)
        reports = self.sync_state.children.reports(
            self.sync_state.own_state.reports,
            now,
        )
        self.authorities.apply_report(reports)
        shares = self.authorities.shares(
            held,
            members,
            self.sync_state.revisions,
            now,
        )
        cold = self._recently_cold(now)
        return SyncAnswer(
            sender=self.own,
            document_version=self.newest_document.version,
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
            cold=self.roles.cold(cold),
            coordinators={
                share.permit.authority: self.own.ref for share in shares
            },
            working=self.authorities.working(now),
        )

    def _recently_cold(self, now: float) -> list[str]:
        """Return the upstreams that were reported as cold recently.

        They are kept for a while, because the host that finds a cold upstream
        reports it once, and the host that is to warm it up reports it only
        after it has received that role.
        """
        for name in self.sync_state.children.cold():
            self.cold_reported_at[name] = now
        for name in self.sync_state.own_state.cold:
            self.cold_reported_at[name] = now
        self.cold_reported_at = {
            name: reported_at
            for name, reported_at in self.cold_reported_at.items()
            if now < reported_at + COLD_REPORT_RETENTION_S
        }
        return sorted(self.cold_reported_at)

    def _newer_document(self) -> str | None:
        if (
            self.newest_document.version
            <= self.sync_state.view.document.version
        ):
            return None
        return json.dumps(document_to_json(self.newest_document))

    async def _sync_with_coordinators(
        self, held: Collection[AuthorityKey]
    ) -> None:
        """Sync with the coordinators of all other authorities."""
        holders: dict[HostRef, list[AuthorityKey]] = {}
        keys = set(self.sync_state.coordinators).union(self.authorities.by_key)
        for key in keys:
            holder = self._holder(key)
            if holder is not None and holder != self.own.ref:
                holders.setdefault(holder, []).append(key)
        addresses = {
            holder: self._address(holder)
            for holder, keys in holders.items()
            if not set(keys).issubset(held)
        }
        exchanges = [
            self._sync_with_peer(address, holders[holder])
            for holder, address in addresses.items()
            if address is not None
        ]
        for zone in self.settings.adopters():
            address = self._any_address(zone, holders)
            if address is not None and self._has_no_live_coordinator(zone):
                exchanges.append(self._sync_with_peer(address, []))
        await asyncio.gather(*exchanges)

    def _has_no_live_coordinator(self, zone: str) -> bool:
        """Return whether another zone's coordinators have fallen silent.

        This is the case if the permits of one have ended or none is recorded.
        Only the other hosts of the zone can then report which host took over.
        """
        now = self.clock.monotonic()
        ends = [
            self.sync_state.view.permit_ends.get(key, 0)
            for key in self.sync_state.coordinators
            if key.zone == zone
        ]
        return zone != self.own.zone and min(ends, default=0) <= now

    def _any_address(
        self,
        zone: str,
        holders: Collection[HostRef],
    ) -> str | None:
        """Choose a host of a zone that is not one of the given holders."""
        others = [
            member.address
            for member in self.sync_state.members.get(zone, ())
            if member.ref not in holders
        ]
        return self.rng.choice(others) if others else self._listed_address(zone)

    async def _sync_with_peer(
        self,
        address: str,
        keys: Collection[AuthorityKey],
    ) -> None:
        now = self.clock.monotonic()
        request = self.sync_state.exchange_request(keys, now)
        hints = tuple(
            Hint(home, *segment)
            for home, segment in self.authorities.hints
            if home in keys
        )
        with self._suppress_peer_errors(address):
            answer = await self.peers.get(address).sync(
                replace(request, hints=hints),
            )
            self._apply_answer(answer, now)
            for hint in hints:
                self.authorities.hints.discard(
                    (hint.home, (hint.pool, hint.index)),
                )
            self.authorities.record_working_pools(answer.working, now)

    async def _sync_with_parent(self, own_state: OwnState) -> None:
        """Sync with the first parent candidate that answers."""
        for address in self._parent_addresses():
            now = self.clock.monotonic()
            request = self.sync_state.request(own_state, now)
            with self._suppress_peer_errors(address):
                answer = await self.peers.get(address).sync(request)
                self._apply_answer(answer, now)
                if answer.age_s < PARENT_TIMEOUT_S and answer.permits:
                    self.last_parent_contact_at = now
                return

    def _parent_addresses(self) -> Iterator[str]:
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

    def _apply_answer(self, answer: SyncAnswer, requested_at: float) -> None:
        try:
            problems = self.sync_state.apply_answer(answer, requested_at)
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
        view = self.sync_state.view
        if view.document.version != self.published.view.document.version:
            self.authorities.configure(view.document)
            self.renewers.configure(view.document)
            self.events.emit(
                Event.CONFIG_APPLIED,
                version=view.document.version,
            )
        self._update_members(view, now)
        self.published.publish(view)
        self.entry.update(
            group_by_pool(self.sync_state.cold),
            group_by_pool(self.sync_state.others_outstanding(now)),
            self.health.hints,
        )
        self.peers.close_idle()

    def _update_members(self, view: View, now: float) -> None:
        self.authorities.update_members(view.members)
        present = {member.ref for member in view.members}
        self.member_since = {
            ref: self.member_since.get(ref, now) for ref in present
        }
        settled: dict[str, list[HostRef]] = {}
        for member in view.members:
            if self.member_since[member.ref] <= now - RETURN_DELAY_S:
                settled.setdefault(member.zone, []).append(member.ref)
        self.authorities.return_adopted_authorities(settled)
        self.authorities.hand_over_pinned_shards(settled.get(self.own.zone, ()))

    async def _read_config(self) -> None:
        if not self._needs_platform():
            return
        current = self.sync_state.view.document
        base = configuration.newest(self.newest_document, current)
        with suppress(PlatformError):
            self.newest_document = await self.calls.run(
                lambda: self.config_table.load(base),
            )

    async def _poll_health(self) -> None:
        members = self._zone_members()
        await self.health.poll(self.published.view.document, members)

    async def _read_host_list(self) -> None:
        if not self._needs_platform():
            return
        with suppress(PlatformError):
            self.listed_hosts = tuple(await self.calls.run(self.platform.hosts))
        now = self.clock.monotonic()
        own_zone = sorted(
            (
                entry
                for entry in self.listed_hosts
                if entry.zone == self.own.zone
            ),
            key=lambda entry: entry.host,
        )
        self.membership.apply_host_list(
            {entry.host: entry.state for entry in own_zone},
            now,
        )
        await self.authorities.watch_former()
        names = [entry.host for entry in own_zone[:AUTHORITY_CREATORS]]
        if self.own.ref.host not in names or self.is_leaving:
            return
        # Hosts start one after the other, by rank, so that one host becomes
        # coordinator of both mobility classes.
        rank = names.index(self.own.ref.host)
        if now >= self.last_parent_contact_at + PARENT_TIMEOUT_S * rank:
            self.authorities.watch(
                AuthorityKey(self.own.zone, mobility) for mobility in Mobility
            )

    def _needs_platform(self) -> bool:
        """Return whether this host reads the tables and lists of the platform.

        A coordinator does, and so does a host without an up-to-date parent.
        """
        now = self.clock.monotonic()
        has_no_parent = now >= self.last_parent_contact_at + PARENT_TIMEOUT_S
        return has_no_parent or bool(self.authorities.held(now))

    def _zone_members(self) -> tuple[Member, ...]:
        return self.sync_state.members.get(self.own.zone, ())

    def _live_others(self) -> list[HostRef]:
        return [
            member.ref
            for member in self.sync_state.view.members
            if member.ref != self.own.ref
        ]

    def _address(self, ref: HostRef | None) -> str | None:
        if ref is None or ref == self.own.ref:
            return None
        for member in self.sync_state.view.members:
            if member.ref == ref:
                return member.address
        addresses = [
            entry.address
            for entry in self.listed_hosts
            if entry.host == ref.host
        ]
        return addresses[0] if addresses else None

    def _listed_address(self, zone: str) -> str | None:
        addresses = [
            entry.address for entry in self.listed_hosts if entry.zone == zone
        ]
        return self.rng.choice(addresses) if addresses else None
