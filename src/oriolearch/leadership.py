"""One term of the coordinator, which alone grants keys to upstreams.

One row of the store names the coordinator. Any host may take over by a
conditional write. From then on the predecessor's writes fail, and so do its
grants at each upstream that has confirmed a grant of the successor. Only the
keys of upstreams that do not answer stay blocked until every lease that the
predecessor may have granted has expired.
"""

import asyncio
from collections.abc import Coroutine, Iterable, Mapping
from typing import Any, Protocol

from oriolearch.adapters.host_links import HostLink, Message
from oriolearch.balancing import BALANCE_PERIOD_S, KeyBalancer
from oriolearch.clock import lease_clock, loop_clock
from oriolearch.coordinator_rows import (
    COORDINATOR_ROW,
    OWNER_TABLE,
    WITNESS_ROW,
    CoordinatorRow,
    StoredOwners,
    encode_ranges,
    owners_message,
    read_stored_owners,
    required_versions,
)
from oriolearch.core.balance import Move
from oriolearch.core.directory import Incarnation
from oriolearch.core.errors import (
    ConditionFailedError,
    PlatformError,
    PlatformRefusedError,
)
from oriolearch.core.keyranges import OwnedRange
from oriolearch.core.opening import PoolOpening
from oriolearch.core.ownership import (
    CALL_TIMEOUT_S,
    CLOCK_MARGIN_S,
    CLOCK_RATE_FACTOR,
    Effect,
    KeyOwnership,
    Probe,
    Store,
    make_even_ranges,
)
from oriolearch.core.versions import ABSENT, StoreVersion
from oriolearch.core.witnesses import (
    FIRST_TERM,
    LONG_AUTHORITY_S,
    Authority,
    EarlierTerms,
    Witness,
    WitnessRow,
    choose_witnesses,
    decode_witnesses,
)
from oriolearch.eventlog import Event, EventLog
from oriolearch.granting import GrantExecutor, GrantPort
from oriolearch.members import Member, Members
from oriolearch.ports import RowName, SharedStore, StoredRow
from oriolearch.registry import Registry

LEASE_S = 2.5  # until the keys of a silent upstream can be granted again
RENEWAL_PERIOD_S = 0.6  # a lease survives two lost renewals
STEP_PERIOD_S = 0.02  # moving keys takes two or three steps
REASSIGN_PERIOD_S = 0.1  # between checks for keys without a usable owner
HEARTBEAT_PERIOD_S = 0.25  # from the coordinator to each host
HOSTS_PERIOD_S = 0.2  # batches the changes when many hosts start
YIELD_PERIOD_S = 2.0  # between requests that a larger host takes over
# Open moves get this long to complete before a successor is asked for. One
# takes a release, a grant and two writes to the store.
TAKEOVER_SETTLE_S = 1.0
# A host with this multiple of the coordinator's capacity should replace it.
YIELD_CAPACITY_RATIO = 2.0
WITNESS_DELAY_S = 0.5  # most hosts have connected by then
WITNESS_RETRY_S = 0.5  # after a failed write of the witnesses
READ_RETRY_S = 0.2  # after a failed read at the start of a term
# Fencing tokens that a store may have lost when it comes back from a copy some
# seconds old, at most. New tokens are above all of them.
MAX_LOST_FENCES = 2**20
# Other hosts may replace a coordinator whose writes fail for this long.
STUCK_AFTER_S = 2.0

# Longest time from the sending of a grant to the expiry of its lease.
_MAX_GRANT_S = LEASE_S * CLOCK_RATE_FACTOR + CLOCK_MARGIN_S + CALL_TIMEOUT_S


class LocalHost(Protocol):
    """Operations on the coordinator's own host."""

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task whose errors are logged."""

    def update_owners(
        self,
        pool: str,
        ranges: list[OwnedRange],
        is_whole: bool,
    ) -> None:
        """Update owners of keys."""

    def update_hosts(
        self, hosts: dict[str, float], zones: dict[str, str]
    ) -> None:
        """Update the hosts that dispatch, with their capacity and zone."""

    def end_term(self, reason: str) -> None:
        """End the term."""

    def store_era(self) -> int:
        """Return the present era of the store."""

    def era_age(self) -> Message:
        """Return fields that name the present era, and its age in seconds."""

    def table_ages(self) -> dict[str, float]:
        """Return for how long each table was not known to be up to date."""


class Leadership:
    """One term of a coordinator.

    :param row_version: version of the row that names the coordinator.
    :ivar has_lost_rows: whether the store may have lost rows of owners, also
        all rows of a pool, before this term began.
    :ivar outdated_pools: pools of which the store may have lost later owners,
        which may hold leases.
    """

    def __init__(
        self,
        row: CoordinatorRow,
        row_version: StoreVersion,
        store: SharedStore,
        grants: GrantPort,
        registry: Registry,
        log: EventLog,
        local_host: LocalHost,
        own_member: Member,
    ) -> None:
        self.row = row
        self.row_version = row_version
        self.store = store
        self.executor = GrantExecutor(grants, registry, log, self._report_cold)
        self.registry = registry
        self.log = log
        self.local_host = local_host
        self.began_at = lease_clock()
        self.authority = Authority(self.began_at)
        self.witness_version: StoreVersion | None = None
        self.witnesses: tuple[Witness, ...] = ()
        self.over_before = FIRST_TERM
        self.stored_over_before = FIRST_TERM
        self.earlier_witnesses: dict[int, tuple[Witness, ...]] = {}
        self.is_storing_witnesses = False
        self.predecessor_end_at = self.began_at + LONG_AUTHORITY_S
        self.pools: dict[str, KeyOwnership] = {}
        self.openings: dict[str, PoolOpening] = {}
        self.pool_versions: dict[str, StoreVersion] = {}
        self.stored_rows: dict[str, StoredRow] = {}
        self.has_lost_rows = False
        self.outdated_pools: set[str] = set()
        self.members = Members(
            own_member, self._heartbeat_message, local_host.update_hosts
        )
        self.balancers: dict[str, KeyBalancer] = {}
        self.takeover_awaited_since: float | None = None
        self.has_asked_larger_host = False
        self.is_over = False
        self.restoring_since: float | None = None
        self.failing_since: float | None = None

    @property
    def is_leaving(self) -> bool:
        """Return whether the coordinator's host is shutting down."""
        return self.members.is_own_host_leaving

    @property
    def awaits_takeover(self) -> bool:
        """Return whether another host is about to take over."""
        return self.is_leaving or self.takeover_awaited_since is not None

    @property
    def is_restoring(self) -> bool:
        """Return whether rows must be written again before others are."""
        return self.restoring_since is not None

    def begin_restoring(self, now: float) -> None:
        """Record that the store may have lost rows of this term."""
        self.restoring_since = now

    def encode_owners(self, pool: str, store: Store, era: int) -> bytes:
        """Return the value that a write of the owners gives a pool's row.

        While other upstreams may hold leases, it names an earlier era: a
        successor must not trust the owners.

        :param era: the present era of the store.
        """
        known_era = era - 1 if pool in self.outdated_pools else era
        return encode_ranges(store.ranges, store.revision, known_era)

    def begin_storing_pools(self, now: float) -> dict[str, Store]:
        """Return writes of the owners of all pools, whatever is stored."""
        return {
            pool: ownership.begin_store(now)
            for pool, ownership in self.pools.items()
        }

    def end_storing_pools(self, now: float) -> None:
        """Record that these writes may have failed."""
        for ownership in self.pools.values():
            ownership.record_store_failure(now, is_outcome_unknown=True)

    def record_stored_pools(
        self,
        stores: Mapping[str, Store],
        version: StoreVersion,
        rows: Iterable[StoredRow],
    ) -> None:
        """Record that the owners were written again.

        :param rows: the rows of the present era before that.
        """
        self.stored_rows = {
            row.key: row for row in rows if row.table == OWNER_TABLE
        }
        for pool, ownership in self.pools.items():
            if pool in stores:
                self.pool_versions[pool] = version
                ownership.record_store_success(
                    lease_clock(), stores[pool].revision
                )
            else:  # opened meanwhile
                row = self.stored_rows.get(pool)
                self.pool_versions[pool] = row.version if row else ABSENT

    def record_restored(
        self, row: CoordinatorRow, version: StoreVersion, sent_at: float
    ) -> None:
        """Record that the rows of this term were written again.

        :param sent_at: when the write was sent.
        """
        self.row = row
        self.row_version = version
        self.restoring_since = None
        self.failing_since = None
        self.authority.record_confirmation(sent_at)

    def mark_leaving(self) -> None:
        """Record that the coordinator's host is shutting down.

        The coordinator goes on granting and renewing leases, but no longer
        writes owners and witnesses to the store.
        """
        self.members.is_own_host_leaving = True

    def prepare_takeover(self, now: float) -> None:
        """Complete the moves of keys and plan no more for balance.

        A successor that reads of a move has to wait for the end of the
        previous owner's last lease, so the keys would have no owner meanwhile.
        """
        if self.takeover_awaited_since is None:
            self.takeover_awaited_since = now

    def is_ready_for_takeover(self, now: float) -> bool:
        """Return whether moves are complete, or waiting longer is no use."""
        since = self.takeover_awaited_since
        if since is None:
            return False
        if self.is_over or now >= since + TAKEOVER_SETTLE_S:
            return True
        if self.is_restoring:
            return False
        return not any(
            ownership.has_open_moves() for ownership in self.pools.values()
        )

    def has_authority(self) -> bool:
        """Return whether grants may be sent now."""
        return not self.is_over and lease_clock() < self.authority.ends_at()

    def is_stuck(self) -> bool:
        """Return whether writes have failed for too long."""
        now = lease_clock()
        return any(
            since is not None and now - since > STUCK_AFTER_S
            for since in (self.failing_since, self.restoring_since)
        )

    async def run(self) -> None:
        """Grant, renew and move keys until the term is over."""
        await self._read_pools()
        reassign_at = balance_at = heartbeat_at = hosts_at = 0.0
        yield_at = lease_clock() + YIELD_PERIOD_S
        while not self.is_over:
            now = lease_clock()
            if now >= reassign_at:
                reassign_at = now + REASSIGN_PERIOD_S
                self._refresh_pools(now)
                self._reassign_unusable(now)
            if now >= balance_at:
                balance_at = now + BALANCE_PERIOD_S
                self._balance(now)
            if now >= heartbeat_at:
                heartbeat_at = now + HEARTBEAT_PERIOD_S
                self.members.send_to_all(self._heartbeat_message())
                self._ask_witnesses(now)
            if now >= hosts_at:
                hosts_at = now + HOSTS_PERIOD_S
                self.members.send_hosts()
                self._refresh_witnesses()
            if now >= yield_at and self._yield_to_larger(now):
                yield_at = now + YIELD_PERIOD_S
            self._step(now)
            self._publish_changes()
            await asyncio.sleep(STEP_PERIOD_S)

    def _step(self, now: float) -> None:
        if not self.has_authority():
            return
        for pool, ownership in self.pools.items():
            for effect in ownership.step(now):
                is_held_back = self.is_leaving or self.is_restoring
                if is_held_back and isinstance(effect, Store):
                    # Only the successor writes owners, or all are written
                    # again with the other rows of this term.
                    ownership.record_store_failure(
                        now, is_outcome_unknown=False
                    )
                else:
                    self._execute(pool, ownership, effect)

    def add_member(self, link: HostLink, member: Member) -> None:
        """Add the connection of a host, and send all owners to it."""
        self.members.add(link, member)
        for pool, ownership in self.pools.items():
            link.send(
                owners_message(pool, ownership.snapshot(lease_clock()), True)
            )

    def balancer_of(self, pool: str) -> KeyBalancer:
        """Return what plans the moves of a pool's keys."""
        balancer = self.balancers.get(pool)
        if balancer is None:
            balancer = KeyBalancer(pool, self.registry, self.log)
            self.balancers[pool] = balancer
        return balancer

    def count_keys(self, pool: str, counts: dict[int, int]) -> None:
        """Add the request counts of keys since a host's last report."""
        self.balancer_of(pool).count_keys(counts)

    def record_earlier_terms(self, earlier: EarlierTerms) -> None:
        """Record the terms that may not be over, for a successor to read."""
        self.over_before = earlier.over_before
        self.earlier_witnesses = earlier.witnesses()

    def limit_predecessor(self, over_at: float) -> None:
        """Record by when the authority of all predecessors has ended."""
        self.predecessor_end_at = min(self.predecessor_end_at, over_at)
        until = self.predecessor_end_at + _MAX_GRANT_S
        for ownership in self.pools.values():
            ownership.limit_predecessor_leases(until)

    def _report_cold(self, ref: Incarnation, cold_s: float) -> None:
        now = loop_clock()
        self.registry.record_cold(now, ref, cold_s)
        self.members.send_to_all(
            {'kind': 'cold', 'upstream': ref.text(), 'for': cold_s},
        )

    def _ask_witnesses(self, now: float) -> None:
        """Ask the witnesses to acknowledge this coordinator."""
        runs = {
            witness.run for group in self.authority.groups for witness in group
        }
        self.members.send_to_runs(
            runs,
            {
                'kind': 'acknowledge',
                'term': self.row.term,
                'at': now,
                'era': self.local_host.store_era(),
            },
        )

    def _yield_to_larger(self, now: float) -> bool:
        """Ask a much larger host to take over, once moves are complete.

        The coordinator renews the leases of all upstreams and sends each
        change to all hosts, which saturates the network link of a small host.

        :returns: whether there is nothing left to do for this period.
        """
        if self.is_leaving:
            return True
        largest = self._find_larger()
        if largest is None or self.has_asked_larger_host:
            # Either no host is larger, or it could not take over.
            self.has_asked_larger_host = False
            self.takeover_awaited_since = None
            return True
        self.prepare_takeover(now)
        if not self.is_ready_for_takeover(now):
            return False
        largest.send({'kind': 'yield', 'term': self.row.term})
        self.has_asked_larger_host = True
        return True

    def _find_larger(self) -> HostLink | None:
        """Return the connection of a host that should coordinate instead."""
        largest = self.members.largest()
        if largest is None:
            return None
        min_capacity = YIELD_CAPACITY_RATIO * self.members.own_member.capacity
        is_larger = self.members.links[largest].capacity >= min_capacity
        return largest if is_larger else None

    def _refresh_witnesses(self) -> None:
        """Replace lost witnesses, once hosts have had time to connect."""
        is_early = lease_clock() < self.began_at + WITNESS_DELAY_S
        if is_early or self.witness_version is None:
            return
        is_busy = self.is_storing_witnesses or self.is_restoring
        if is_busy or self.is_leaving or not self.has_authority():
            return
        chosen = choose_witnesses(
            self.members.witnesses(),
            self.witnesses,
            self.members.own_member.zone,
        )
        if not chosen:
            chosen = self.witnesses
        if lease_clock() >= self.predecessor_end_at:
            self.over_before = self.row.term
            self.earlier_witnesses = {}
        if (
            set(chosen) == set(self.witnesses)
            and self.over_before == self.stored_over_before
        ):
            return
        row = self.make_witness_row(chosen)
        self.is_storing_witnesses = True
        self.local_host.spawn(self._store_witnesses(self.witness_version, row))

    def make_witness_row(self, group: tuple[Witness, ...]) -> WitnessRow:
        """Return the row that names a group as the witnesses of this term."""
        return WitnessRow(
            self.row.term,
            group,
            self.over_before,
            self.earlier_witnesses,
            self.row.era,
        )

    def record_witnesses(self, row: WitnessRow, version: StoreVersion) -> None:
        """Record that a row with witnesses of this term is stored."""
        self.witness_version = version
        self.witnesses = row.witnesses
        self.stored_over_before = row.over_before
        self.authority.record_stored_group(row.witnesses)

    async def _store_witnesses(
        self, version: StoreVersion, row: WitnessRow
    ) -> None:
        sent_at = lease_clock()
        conditions = {COORDINATOR_ROW: self.row_version, WITNESS_ROW: version}
        self.authority.record_proposed_group(row.witnesses)
        try:
            stored_version = await self.store.commit(
                conditions,
                {WITNESS_ROW: row.encode()},
            )
        except PlatformError as error:
            self.log.emit(
                Event.STORE_LOST,
                table=WITNESS_ROW.table,
                error=str(error),
            )
            if isinstance(error, ConditionFailedError):
                self._recover_witness_version(error)
            await asyncio.sleep(WITNESS_RETRY_S)
        else:
            self.record_witnesses(row, stored_version)
            self.authority.record_confirmation(sent_at)
            self.log.emit(
                Event.WITNESSES_CHOSEN,
                term=self.row.term,
                witnesses=[witness.address for witness in row.witnesses],
                over_before=row.over_before,
                row_version=self.witness_version,
            )
        finally:
            self.is_storing_witnesses = False

    def _recover_witness_version(self, error: ConditionFailedError) -> None:
        """Update the version after a write whose answer was lost."""
        versions = required_versions(error, self.row_version.era)
        if self._is_replaced(versions):
            self.local_host.end_term('another host took over')
            return
        self.witness_version = versions.get(WITNESS_ROW, self.witness_version)

    def _is_replaced(self, versions: dict[RowName, StoreVersion]) -> bool:
        """Return whether another host has taken over.

        A coordinator that is shutting down has changed its own row, so a
        newer version proves nothing. The poll of that row finds the successor.
        """
        version = versions.get(COORDINATOR_ROW, self.row_version)
        return version != self.row_version and not self.is_leaving

    async def _read_pools(self) -> None:
        rows = await self._read_table(OWNER_TABLE)
        self.stored_rows = {row.key: row for row in rows}

    async def read_witnesses(self) -> WitnessRow:
        """Read the row with the witnesses of the last term that stored any."""
        rows = await self._read_table(WITNESS_ROW.table)
        named = (
            row
            for row in rows
            if row.key == WITNESS_ROW.key and row.value is not None
        )
        row = next(named, None)
        self.witness_version = row.version if row else ABSENT
        if row is None:
            return decode_witnesses(None)
        era = row.version.era
        return decode_witnesses(row.value, era).in_era(era)

    async def _read_table(self, table: str) -> tuple[StoredRow, ...]:
        """Read a table, with retries until the term is over."""
        while not self.is_over:
            try:
                return (await self.store.read(table)).rows
            except PlatformError as error:
                self.log.emit(Event.STORE_LOST, table=table, error=str(error))
                await asyncio.sleep(READ_RETRY_S)
        return ()

    def _refresh_pools(self, now: float) -> None:
        directory = self.registry.directory
        if directory is None or not self.registry.is_read:
            return
        for plan in directory.pools.values():
            if not plan.is_keyed:
                continue
            ownership = self.pools.get(plan.name)
            if ownership is None:
                ownership = self._open_pool(now, plan.name)
            if ownership is not None:
                ownership.set_upstreams(
                    self.registry.callable_upstreams(plan.name)
                )
                self._end_outdated(now, plan.name, ownership)

    def _end_outdated(
        self, now: float, pool: str, ownership: KeyOwnership
    ) -> None:
        """Let successors trust a pool's row once lost leases have expired."""
        if pool in self.outdated_pools and now >= ownership.calls_from:
            self.outdated_pools.remove(pool)
            ownership.require_rewrite(now)

    def _open_pool(self, now: float, pool: str) -> KeyOwnership | None:
        row = self.stored_rows.get(pool)
        stored = read_stored_owners(row, self.log) if row else StoredOwners()
        ranges = list(stored.ranges)
        if ranges:
            self.balancer_of(pool).inherited_at = now
        else:
            usable = sorted(self.registry.usable_upstreams(pool))
            opening = self.openings.setdefault(pool, PoolOpening())
            has_requests = bool(self.balancer_of(pool).rates)
            if not opening.is_due(now, usable, has_requests=has_requests):
                return None
            ranges = make_even_ranges(usable)
            self.log.emit(
                Event.POOL_OPENED,
                pool=pool,
                upstreams=len(usable),
                waited_s=round(now - opening.began_at, 3),
                has_requests=has_requests,
            )
        unknown_until = self.predecessor_end_at + _MAX_GRANT_S
        first_fence = max((keys.fence for keys in ranges), default=0)
        is_lost = self.has_lost_rows or stored.is_outdated()
        if is_lost:
            # Lost fencing tokens may exceed those of the row by so much.
            first_fence += MAX_LOST_FENCES * max(self.row.era - stored.era, 1)
            self.outdated_pools.add(pool)
            self.log.emit(
                Event.OWNERS_OUTDATED,
                pool=pool,
                row_version=stored.version,
                era=self.row.era,
                fence=first_fence,
                unserved_s=round(unknown_until - now, 3),
            )
        ownership = KeyOwnership(
            now,
            ranges,
            first_fence,
            LEASE_S,
            RENEWAL_PERIOD_S,
            unknown_until if is_lost or row is not None else now,
            unknown_until if is_lost else now,
        )
        self.pools[pool] = ownership
        self.pool_versions[pool] = stored.version
        if row is not None and row.value is None:
            self.pool_versions[pool] = ABSENT
        self._send_owners(pool, ownership.snapshot(lease_clock()), True)
        return ownership

    def _reassign_unusable(self, now: float) -> None:
        if self.is_leaving:
            return
        for pool, ownership in self.pools.items():
            for move in self.balancer_of(pool).plan_evacuation(ownership):
                self._move(now, pool, ownership, move, 'owner not usable')

    def _balance(self, now: float) -> None:
        if self.failing_since is not None or self.awaits_takeover:
            return
        for pool, ownership in self.pools.items():
            for move, cause in self.balancer_of(pool).plan(ownership):
                self._move(now, pool, ownership, move, cause)

    def _move(
        self,
        now: float,
        pool: str,
        ownership: KeyOwnership,
        move: Move,
        cause: str,
    ) -> None:
        if ownership.plan_move(now, move.first, move.last, move.owner):
            keys = ownership.find(move.first)
            self.log.emit(
                Event.KEYS_MOVED,
                pool=pool,
                first=move.first,
                last=move.last,
                owner=move.owner.text(),
                previous=keys.owner.text() if keys.owner else None,
                fence=keys.fence,
                cause=cause,
            )

    def _execute(
        self,
        pool: str,
        ownership: KeyOwnership,
        effect: Effect,
    ) -> None:
        if isinstance(effect, Store):
            value = self.encode_owners(pool, effect, self.row.era)
            self.local_host.spawn(
                self._store(pool, ownership, effect.revision, value)
            )
        elif isinstance(effect, Probe):
            self.local_host.spawn(self.executor.probe(pool, ownership, effect))
        else:
            self.local_host.spawn(self.executor.call(ownership, effect))

    async def _store(
        self,
        pool: str,
        ownership: KeyOwnership,
        revision: int,
        value: bytes,
    ) -> None:
        name = RowName(OWNER_TABLE, pool)
        sent_at = lease_clock()
        conditions = {
            COORDINATOR_ROW: self.row_version,
            name: self.pool_versions[pool],
        }
        try:
            version = await self.store.commit(conditions, {name: value})
        except PlatformError as error:
            self._store_failed(pool, ownership, error)
            return
        self.failing_since = None
        self.authority.record_confirmation(sent_at)
        self.pool_versions[pool] = version
        ownership.record_store_success(lease_clock(), revision)

    def _store_failed(
        self,
        pool: str,
        ownership: KeyOwnership,
        error: PlatformError,
    ) -> None:
        """Record a failed write, and resolve the version of the row."""
        now = lease_clock()
        if self.failing_since is None:
            self.failing_since = now
        is_refused = isinstance(error, PlatformRefusedError)
        ownership.record_store_failure(now, is_outcome_unknown=not is_refused)
        self.log.emit(Event.STORE_LOST, table=OWNER_TABLE, error=str(error))
        if isinstance(error, ConditionFailedError):
            versions = required_versions(error, self.row_version.era)
            if self._is_replaced(versions):
                self.local_host.end_term('another host took over')
                return
            # Only this term writes the row, so the newer version comes from
            # an earlier write whose answer was lost.
            name = RowName(OWNER_TABLE, pool)
            self.pool_versions[pool] = versions.get(
                name,
                self.pool_versions[pool],
            )

    def _publish_changes(self) -> None:
        for pool, ownership in self.pools.items():
            changes = ownership.pop_changes()
            if changes:
                self._send_owners(pool, changes, False)

    def _send_owners(
        self,
        pool: str,
        changes: list[OwnedRange],
        is_whole: bool,
    ) -> None:
        self.local_host.update_owners(pool, changes, is_whole)
        self.members.send_to_all(owners_message(pool, changes, is_whole))

    def _heartbeat_message(self) -> Message:
        return {
            'kind': 'beat',
            'term': self.row.term,
            'stuck': self.is_stuck(),
            'grants': self.has_authority(),
            'store_lost': self.members.is_store_lost,
            'ages': self.local_host.table_ages(),
            **self.local_host.era_age(),
        }
