"""The coordinator's work: it alone gives keys to upstreams.

A coordinator is named by one row of the store. Any host may take over by a
conditional write; writes of the predecessor fail from then on, and so do its
grants at each upstream that has confirmed a grant of the successor. Only keys
of upstreams that do not answer wait until all grants that the predecessor may
have given are over.
"""

import asyncio
import json
import math
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from oriolearch.adapters.host_links import HostLink, Message, encode_line
from oriolearch.adapters.upstream_links import LinkError
from oriolearch.clock import lease_clock
from oriolearch.core.balance import (
    COLD_SHARE,
    KeyRates,
    Seat,
    plan_balance,
    plan_rescue,
)
from oriolearch.core.directory import (
    KEY_COUNT,
    Incarnation,
    UpstreamEntry,
    parse_incarnation,
)
from oriolearch.core.errors import (
    ConditionFailedError,
    GrantRefusedError,
    PlatformError,
    PlatformRefusedError,
)
from oriolearch.core.keyranges import OwnedRange
from oriolearch.core.ownership import (
    CALL_TIMEOUT_S,
    CLOCK_MARGIN_S,
    CLOCK_SHARE,
    Effect,
    Grant,
    KeyOwnership,
    KeyRange,
    Probe,
    Release,
    Store,
    even_ranges,
)
from oriolearch.core.witnesses import (
    LONG_AUTHORITY_S,
    Authority,
    Witness,
    WitnessRow,
    choose_witnesses,
)
from oriolearch.eventlog import Event, EventLog
from oriolearch.ports import RowName, SharedStore, StoredRow
from oriolearch.registry import Registry
from oriolearch.relaying import encode_rows

LEADER_TABLE = 'oriolearch-coordinator'
OWNER_TABLE = 'oriolearch-owners'
LEADER_ROW = RowName(LEADER_TABLE, 'coordinator')
WITNESS_ROW = RowName('oriolearch-witnesses', 'witnesses')

HOLD_S = 2.5  # keys of a silent upstream are free after this
RENEW_S = 0.6  # two renewals may be lost before a grant ends
TICK_S = 0.02  # a move takes two or three steps
RESCUE_PERIOD_S = 0.1  # keys of a lost upstream are given away this soon
BALANCE_PERIOD_S = 0.4  # time for a move to show in the reports
RATE_HALF_LIFE_S = 1.5  # of the counts of a key
LEAST_RATE = 0.02  # counts below this are forgotten
BEAT_PERIOD_S = 0.25  # hosts hear from the coordinator this often
HOSTS_PERIOD_S = 0.2  # many hosts that start are told of in few messages
WATCHERS = 2  # hosts beside the coordinator that follow the tables
YIELD_PERIOD_S = 2.0  # a small coordinator asks a large host this often
YIELD_FACTOR = 2.0  # of its own capacity, that makes a host a large one
WITNESS_DELAY_S = 0.5  # most hosts have connected by then
WITNESS_RETRY_S = 0.5  # after a failed write of the witnesses
STUCK_AFTER_S = 2.0  # a coordinator whose writes fail lets others take over


LEAST_WEIGHT = 0.25  # of an upstream, against the mean
MOST_WEIGHT = 2.5

_LN_2 = math.log(2)
# From the sending of a grant to the end of the keys' hold.
_LONGEST_GRANT_S = HOLD_S * CLOCK_SHARE + CLOCK_MARGIN_S + CALL_TIMEOUT_S


class GrantPort(Protocol):
    """Carries out grants and releases."""

    async def grant(self, call: Grant) -> None:
        """Grant keys; raises when that is not confirmed."""

    async def release(self, call: Release) -> str | None:
        """Take keys back; gives what the next owner is to be given."""

    async def probe(self, call: Probe, health_path: str) -> None:
        """Ask an upstream for a sign of life; raises without any."""


@dataclass(frozen=True, slots=True)
class Member:
    """A host that hears the coordinator.

    :param capacity: share of a processor that it has.
    :param run: unique to this run of the host.
    """

    address: str
    zone: str
    capacity: float
    run: str


@dataclass(frozen=True, slots=True)
class LeaderRow:
    """The row that names the coordinator.

    :param is_leaving: its host stops. It acts until another host takes over.
    """

    host: str
    address: str
    term: int
    nonce: str
    is_leaving: bool = False

    def encode(self) -> bytes:
        """Give the row's value."""
        return json.dumps(
            {
                'host': self.host,
                'address': self.address,
                'term': self.term,
                'nonce': self.nonce,
                'leaving': self.is_leaving,
            },
        ).encode()

    def is_same_term(self, other: 'LeaderRow') -> bool:
        """Tell whether two rows name the same run of a coordinator."""
        return (self.term, self.nonce) == (other.term, other.nonce)


def decode_leader(row: StoredRow) -> LeaderRow | None:
    """Read the row that names the coordinator; ``None`` if unreadable."""
    try:
        fields = json.loads(row.value or b'')
        return LeaderRow(
            str(fields['host']),
            str(fields['address']),
            int(fields['term']),
            str(fields['nonce']),
            bool(fields['leaving']),
        )
    except (ValueError, KeyError, TypeError):
        return None


def encode_ranges(ranges: tuple[KeyRange, ...], revision: int) -> bytes:
    """Give the value of a pool's row."""
    rows = [
        [
            keys.first,
            keys.last,
            *_row_of(keys),
        ]
        for keys in ranges
    ]
    body = {'revision': revision, 'ranges': rows}
    return json.dumps(body, separators=(',', ':')).encode()


def _row_of(keys: KeyRange) -> tuple[str | None, int, str | None]:
    """Give owner, fence and previous owner as a successor must see them."""
    owner = keys.planned or keys.owner
    fence = keys.planned_fence if keys.planned else keys.fence
    previous = keys.owner if keys.planned else keys.previous
    return (
        owner.text() if owner else None,
        fence,
        previous.text() if previous else None,
    )


def decode_ranges(value: bytes) -> list[KeyRange]:
    """Read the value of a pool's row.

    :raises ValueError: when it cannot be read.
    """
    found = []
    try:
        for first, last, owner, fence, previous in json.loads(value)['ranges']:
            keys = KeyRange(int(first), int(last), _ref(owner), int(fence))
            keys.previous = _ref(previous)
            found.append(keys)
    except (KeyError, TypeError) as error:
        raise ValueError(f'unreadable ranges: {error}') from error
    starts = [0, *(keys.last + 1 for keys in found)]
    if starts != [*(keys.first for keys in found), KEY_COUNT]:
        raise ValueError('ranges do not cover all keys once')
    return found


def read_ranges(row: StoredRow, log: EventLog) -> list[KeyRange]:
    """Read a pool's row; an unreadable one is logged and gives nothing."""
    if row.value is None:
        return []
    try:
        return decode_ranges(row.value)
    except ValueError as error:
        log.emit(
            Event.ROW_REJECTED,
            row=f'{OWNER_TABLE}/{row.key}',
            row_version=row.version,
            error=str(error),
        )
        return []


def _ref(text: str | None) -> Incarnation | None:
    return parse_incarnation(text) if text else None


class Leadership:
    """One term of a coordinator.

    :param row_version: version of the row that names it.
    :param spawn: starts a task whose errors are logged.
    """

    def __init__(
        self,
        row: LeaderRow,
        row_version: int,
        store: SharedStore,
        grants: GrantPort,
        registry: Registry,
        log: EventLog,
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
        own: Member,
    ) -> None:
        self.row = row
        self.row_version = row_version
        self.store = store
        self.grants = grants
        self.registry = registry
        self.log = log
        self.spawn = spawn
        self.began_at = lease_clock()
        self.authority = Authority(self.began_at)
        self.witness_version: int | None = None
        self.witnesses: tuple[Witness, ...] = ()
        self.is_storing_witnesses = False
        self.predecessor_over_at = self.began_at + LONG_AUTHORITY_S
        self.pools: dict[str, KeyOwnership] = {}
        self.pool_versions: dict[str, int] = {}
        self.read_pools: dict[str, StoredRow] = {}
        self.has_read = False
        self.own = own
        self.links: dict[HostLink, Member] = {}
        self.leaving: set[HostLink] = set()
        self.watchers: list[HostLink] = []
        self.is_own_host_leaving = False
        self.sent_hosts: dict[str, float] = {}
        self.local_hosts: Callable[[dict[str, float]], None] = _drop_hosts
        self.rates: dict[str, dict[int, float]] = {}
        self.works: dict[str, dict[str, float]] = {}
        self.local_changes: Callable[[str, list[OwnedRange], bool], None] = (
            _drop_changes
        )
        self.is_over = False
        self.is_leaving = False
        self.failing_since: float | None = None
        self.step_down: Callable[[str], None] = _drop_reason

    def has_authority(self) -> bool:
        """Tell whether grants may be sent now."""
        return not self.is_over and lease_clock() < self.authority.until()

    def is_stuck(self) -> bool:
        """Tell whether changes of ownership cannot be written."""
        since = self.failing_since
        return since is not None and lease_clock() - since > STUCK_AFTER_S

    async def run(self) -> None:
        """Grant, renew and move keys until the term is over."""
        await self._read_pools()
        rescue_at = balance_at = beat_at = hosts_at = 0.0
        yield_at = lease_clock() + YIELD_PERIOD_S
        while not self.is_over:
            now = lease_clock()
            if now >= rescue_at:
                rescue_at = now + RESCUE_PERIOD_S
                self._refresh_pools(now)
                self._rescue(now)
            if now >= balance_at:
                balance_at = now + BALANCE_PERIOD_S
                self._balance(now)
            if now >= beat_at:
                beat_at = now + BEAT_PERIOD_S
                self._tell_all(self._beat_message())
                self._ask_witnesses(now)
            if now >= hosts_at:
                hosts_at = now + HOSTS_PERIOD_S
                self._send_hosts()
                self._review_witnesses()
            if now >= yield_at:
                yield_at = now + YIELD_PERIOD_S
                self._yield_to_larger()
            self._step(now)
            self._publish()
            await asyncio.sleep(TICK_S)

    def _step(self, now: float) -> None:
        if not self.has_authority():
            return
        for pool, ownership in self.pools.items():
            for effect in ownership.step(now):
                if self.is_leaving and isinstance(effect, Store):
                    # Only the successor writes owners from here on.
                    ownership.store_failed(now, is_doubtful=False)
                else:
                    self._carry_out(pool, ownership, effect)

    def add_link(self, link: HostLink, member: Member) -> None:
        """Take the connection of a host, and tell it all owners."""
        self.links[link] = member
        link.send(self._hosts_message(self._hosts()))
        for pool, ownership in self.pools.items():
            link.send(
                _owners_message(pool, ownership.snapshot(lease_clock()), True)
            )

    def drop_link(self, link: HostLink) -> None:
        """Forget the connection of a host."""
        self.links.pop(link, None)
        self.leaving.discard(link)
        if link in self.watchers:
            self._choose_watchers()

    def send_rows(
        self,
        table: str,
        rows: list[StoredRow],
        version: int,
    ) -> None:
        """Tell all hosts of changed rows."""
        self._tell_all(encode_rows(table, rows, version))

    def send_watchers(self, link: HostLink) -> None:
        """Tell a new host who follows the tables, and choose more of them."""
        if len(self.watchers) < WATCHERS:
            self._choose_watchers()
        else:
            link.send(self._watchers_message())

    def _choose_watchers(self) -> None:
        """Have hosts of other zones follow the tables, if there are any."""
        kept = [link for link in self.watchers if link in self.links]
        zones = {self.own.zone, *(self.links[link].zone for link in kept)}
        others = [
            link
            for link in self.links
            if link not in kept and link not in self.leaving
        ]
        others.sort(key=lambda link: self._watcher_rank(link, zones))
        self.watchers = [*kept, *others][:WATCHERS]
        self._tell_all(self._watchers_message())

    def _watcher_rank(
        self,
        link: HostLink,
        zones: set[str],
    ) -> tuple[bool, float]:
        member = self.links[link]
        return member.zone in zones, -member.capacity

    def _watchers_message(self) -> Message:
        addresses = [self.links[link].address for link in self.watchers]
        return {**self._beat_message(), 'watchers': addresses}

    def set_leaving(self, link: HostLink | None) -> None:
        """Take that a host stops; ``None`` for the coordinator's own."""
        if link is None:
            self.is_own_host_leaving = True
        else:
            self.leaving.add(link)

    def count_keys(self, pool: str, counts: dict[int, int]) -> None:
        """Take how often keys were asked for since the last report."""
        rates = self.rates.setdefault(pool, {})
        gain = _LN_2 / RATE_HALF_LIFE_S  # a steady rate is its own estimate
        for key, count in counts.items():
            rates[key] = rates.get(key, 0.0) + count * gain

    def take_works(self, pool: str, works: dict[str, float]) -> None:
        """Take the seconds that requests take at upstreams."""
        self.works.setdefault(pool, {}).update(works)

    def limit_predecessor(self, over_at: float) -> None:
        """Take when the predecessor's authority is over at the latest."""
        self.predecessor_over_at = min(self.predecessor_over_at, over_at)
        until = self.predecessor_over_at + _LONGEST_GRANT_S
        for ownership in self.pools.values():
            ownership.limit_unknown(until)

    def _ask_witnesses(self, now: float) -> None:
        """Ask the witnesses to vouch for this coordinator."""
        runs = {
            witness.run for group in self.authority.groups for witness in group
        }
        line = encode_line(
            {'kind': 'vouch', 'term': self.row.term, 'at': now},
        )
        for link, member in list(self.links.items()):
            if member.run in runs:
                link.send_line(line)

    def _yield_to_larger(self) -> None:
        """Ask a much larger host to take over.

        The coordinator renews the grants of all upstreams and tells all hosts
        of each change, which fills the network link of a small host.
        """
        members = {
            link: member.capacity
            for link, member in self.links.items()
            if link not in self.leaving
        }
        largest = max(members, key=members.__getitem__, default=None)
        if largest is None or self.is_leaving:
            return
        if members[largest] >= YIELD_FACTOR * self.own.capacity:
            largest.send({'kind': 'yield', 'term': self.row.term})

    def _review_witnesses(self) -> None:
        """Replace witnesses that are gone, once hosts had time to connect."""
        is_early = lease_clock() < self.began_at + WITNESS_DELAY_S
        if is_early or self.witness_version is None:
            return
        is_idle = not self.is_storing_witnesses and not self.is_leaving
        if not is_idle or not self.has_authority():
            return
        hosts = {
            Witness(member.address, member.run): member.zone
            for link, member in self.links.items()
            if link not in self.leaving
        }
        chosen = choose_witnesses(hosts, self.witnesses, self.own.zone)
        if chosen and set(chosen) != set(self.witnesses):
            self.is_storing_witnesses = True
            self.spawn(self._store_witnesses(self.witness_version, chosen))

    async def _store_witnesses(
        self,
        version: int,
        chosen: tuple[Witness, ...],
    ) -> None:
        sent_at = lease_clock()
        conditions = {LEADER_ROW: self.row_version, WITNESS_ROW: version}
        row = WitnessRow(self.row.term, chosen)
        self.authority.propose(chosen)
        try:
            self.witness_version = await self.store.commit(
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
                self._take_witness_version(error)
            await asyncio.sleep(WITNESS_RETRY_S)
        else:
            self.authority.adopt(chosen)
            self.authority.confirm(sent_at)
            self.witnesses = chosen
            self.log.emit(
                Event.WITNESSES_CHOSEN,
                term=self.row.term,
                witnesses=[witness.address for witness in chosen],
                row_version=self.witness_version,
            )
        finally:
            self.is_storing_witnesses = False

    def _take_witness_version(self, error: ConditionFailedError) -> None:
        """Learn of an earlier write of this term whose answer was lost."""
        versions = _versions(error)
        if self._is_replaced(versions):
            self.step_down('another host took over')
            return
        self.witness_version = versions.get(WITNESS_ROW, self.witness_version)

    def _is_replaced(self, versions: dict[RowName, int]) -> bool:
        """Tell whether another host leads.

        A host that leaves has changed its own row; it follows that row to
        learn of its successor.
        """
        version = versions.get(LEADER_ROW, self.row_version)
        return version != self.row_version and not self.is_leaving

    async def _read_pools(self) -> None:
        while not self.has_read and not self.is_over:
            try:
                state = await self.store.read(OWNER_TABLE)
            except PlatformError as error:
                self.log.emit(
                    Event.STORE_LOST,
                    table=OWNER_TABLE,
                    error=str(error),
                )
                await asyncio.sleep(0.2)
                continue
            self.read_pools = {row.key: row for row in state.rows}
            self.has_read = True

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
                    self.registry.known(plan.name),
                    self.registry.ended,
                )

    def _open_pool(self, now: float, pool: str) -> KeyOwnership | None:
        stored = self.read_pools.get(pool)
        ranges = read_ranges(stored, self.log) if stored else []
        if not ranges:
            usable = sorted(self.registry.usable(pool))
            if not usable:
                return None
            ranges = even_ranges(usable)
        unknown_until = self.predecessor_over_at + _LONGEST_GRANT_S
        ownership = KeyOwnership(
            now,
            ranges,
            max(
                (keys.fence for keys in ranges),
                default=0,
            ),
            HOLD_S,
            RENEW_S,
            unknown_until if stored is not None else now,
        )
        self.pools[pool] = ownership
        self.pool_versions[pool] = stored.version if stored else 0
        if stored is not None and stored.value is None:
            self.pool_versions[pool] = 0
        self._send_owners(pool, ownership.snapshot(lease_clock()), True)
        return ownership

    def _rescue(self, now: float) -> None:
        if self.is_leaving:
            return
        for pool, ownership in self.pools.items():
            seats = self._seats(pool, ownership)
            owners = {keys.owner for keys in ownership.ranges}
            if owners - {seat.ref for seat in seats}:
                self._rescue_pool(now, pool, ownership, seats)

    def _rescue_pool(
        self,
        now: float,
        pool: str,
        ownership: KeyOwnership,
        seats: list[Seat],
    ) -> None:
        rates = KeyRates(self.rates.get(pool, {}))
        for move in plan_rescue(ownership.ranges, seats, rates):
            self._move(now, pool, ownership, move, 'owner not usable')

    def _balance(self, now: float) -> None:
        factor = 0.5 ** (BALANCE_PERIOD_S / RATE_HALF_LIFE_S)
        for pool, ownership in self.pools.items():
            if self.failing_since is not None or self.is_leaving:
                continue
            rates = self.rates.get(pool, {})
            for key in list(rates):
                rates[key] *= factor
                if rates[key] < LEAST_RATE:
                    del rates[key]
            seats = self._seats(pool, ownership)
            variance = _LN_2 / RATE_HALF_LIFE_S / 2
            found = KeyRates(rates, variance)
            for move in plan_balance(ownership.ranges, seats, found):
                self._move(now, pool, ownership, move, 'balance')

    def _move(
        self,
        now: float,
        pool: str,
        ownership: KeyOwnership,
        move: Any,
        cause: str,
    ) -> None:
        if ownership.move(now, move.first, move.last, move.owner):
            self.log.emit(
                Event.KEYS_MOVED,
                pool=pool,
                first=move.first,
                last=move.last,
                owner=move.owner.text(),
                fence=ownership.find(move.first).fence,
                cause=cause,
            )

    def _seats(self, pool: str, ownership: KeyOwnership) -> list[Seat]:
        now = asyncio.get_running_loop().time()
        lease_now = lease_clock()
        usable: dict[Incarnation, UpstreamEntry] = self.registry.usable(pool)
        works = self._works_of(pool, usable)
        mean_s = sum(works.values()) / len(works) if works else 0.0
        seats = []
        for ref in sorted(usable):
            if ownership.is_lost(lease_now, ref):
                continue
            weight = _weight(mean_s, works.get(ref.text()))
            if self.registry.is_cold(now, ref):
                weight *= COLD_SHARE
            seats.append(Seat(ref, weight))
        return seats

    def _works_of(
        self,
        pool: str,
        usable: Iterable[Incarnation],
    ) -> dict[str, float]:
        """Give the work times of usable upstreams, and forget the others."""
        names = {ref.text() for ref in usable}
        known = self.works.get(pool, {})
        works = {name: known[name] for name in known if name in names}
        self.works[pool] = works
        return works

    def _carry_out(
        self,
        pool: str,
        ownership: KeyOwnership,
        effect: Effect,
    ) -> None:
        if isinstance(effect, Store):
            value = encode_ranges(effect.ranges, effect.revision)
            self.spawn(self._store(pool, ownership, effect.revision, value))
        elif isinstance(effect, Probe):
            self.spawn(self._probe(pool, ownership, effect))
        else:
            self.spawn(self._call(ownership, effect))

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
            LEADER_ROW: self.row_version,
            name: self.pool_versions[pool],
        }
        try:
            version = await self.store.commit(conditions, {name: value})
        except PlatformError as error:
            self._store_failed(pool, ownership, error)
            return
        self.failing_since = None
        self.authority.confirm(sent_at)
        self.pool_versions[pool] = version
        ownership.stored(lease_clock(), revision)

    def _store_failed(
        self,
        pool: str,
        ownership: KeyOwnership,
        error: PlatformError,
    ) -> None:
        """Find out which version is in force; only this term writes it."""
        now = lease_clock()
        if self.failing_since is None:
            self.failing_since = now
        is_refused = isinstance(error, PlatformRefusedError)
        ownership.store_failed(now, is_doubtful=not is_refused)
        self.log.emit(Event.STORE_LOST, table=OWNER_TABLE, error=str(error))
        if isinstance(error, ConditionFailedError):
            versions = _versions(error)
            if self._is_replaced(versions):
                self.step_down('another host took over')
                return
            # An earlier write of this term whose answer was lost.
            own = RowName(OWNER_TABLE, pool)
            self.pool_versions[pool] = versions.get(
                own,
                self.pool_versions[pool],
            )

    async def _call(
        self,
        ownership: KeyOwnership,
        effect: Grant | Release,
    ) -> None:
        sent_at = lease_clock()
        upstream = effect.upstream.ref
        try:
            transfer_token = await self._order(effect)
        except (LinkError, GrantRefusedError) as error:
            self._log_failure(effect, str(error))
            self._take_error(ownership, effect, error)
        else:
            ownership.heard(lease_clock(), upstream)
            if isinstance(effect, Grant):
                ownership.granted(lease_clock(), effect.call, sent_at)
            else:
                ownership.released(lease_clock(), effect.call, transfer_token)
        finally:
            ownership.call_ended(upstream)

    async def _order(self, effect: Grant | Release) -> str | None:
        if isinstance(effect, Grant):
            await self.grants.grant(effect)
            return None
        return await self.grants.release(effect)

    def _take_error(
        self,
        ownership: KeyOwnership,
        effect: Grant | Release,
        error: LinkError | GrantRefusedError,
    ) -> None:
        now = lease_clock()
        if isinstance(error, LinkError):
            ownership.silent(now, effect.upstream.ref)
            if error.was_sent:
                ownership.unanswered(now, effect.call)
            else:
                ownership.unsent(now, effect.call)
        elif error.is_fenced:
            ownership.fenced(now, effect.call)
        elif error.is_replaced:
            ownership.replaced(now, effect.call, effect.upstream.ref)
        else:
            # A probe tells whether it is still the same upstream.
            ownership.silent(now, effect.upstream.ref)
            ownership.unanswered(now, effect.call)

    async def _probe(
        self,
        pool: str,
        ownership: KeyOwnership,
        effect: Probe,
    ) -> None:
        directory = self.registry.directory
        plan = directory.pools.get(pool) if directory else None
        try:
            await self.grants.probe(effect, plan.health_path if plan else '/')
        except LinkError:
            # The first failure was logged; the upstream stays silent.
            return
        except GrantRefusedError as error:
            if error.is_replaced:
                ownership.ended.add(effect.upstream.ref)
            return
        ownership.heard(lease_clock(), effect.upstream.ref)

    def _log_failure(self, effect: Grant | Release, reason: str) -> None:
        self.log.emit(
            Event.GRANT_FAILED,
            upstream=effect.upstream.ref.text(),
            first=effect.first,
            last=effect.last,
            fence=effect.fence,
            call=type(effect).__name__.lower(),
            reason=reason,
        )

    def _publish(self) -> None:
        for pool, ownership in self.pools.items():
            changes = ownership.take_changes()
            if changes:
                self._send_owners(pool, changes, False)

    def _send_owners(
        self,
        pool: str,
        changes: list[OwnedRange],
        is_whole: bool,
    ) -> None:
        self.local_changes(pool, changes, is_whole)
        self._tell_all(_owners_message(pool, changes, is_whole))

    def _tell_all(self, message: Message) -> None:
        line = encode_line(message)
        for link in list(self.links):
            link.send_line(line)

    def _beat_message(self) -> Message:
        return {
            'kind': 'beat',
            'term': self.row.term,
            'stuck': self.is_stuck(),
        }

    def _hosts(self) -> dict[str, float]:
        """Give the hosts that share the work, with their capacity."""
        found = {
            member.address: member.capacity
            for link, member in self.links.items()
            if link not in self.leaving
        }
        if not self.is_own_host_leaving:
            found[self.own.address] = self.own.capacity
        return found

    def _hosts_message(self, hosts: dict[str, float]) -> Message:
        return {**self._beat_message(), 'hosts': list(hosts.items())}

    def _send_hosts(self) -> None:
        hosts = self._hosts()
        if hosts == self.sent_hosts:
            return
        self.sent_hosts = hosts
        self.local_hosts(hosts)
        self._tell_all(self._hosts_message(hosts))


def _versions(error: ConditionFailedError) -> dict[RowName, int]:
    """Give the versions that rows have, of those that a write required."""
    return {
        RowName(table, key): version for table, key, version in error.failed
    }


def _weight(mean_s: float, work_s: float | None) -> float:
    """Give the work that an upstream can do, against the mean."""
    if not work_s:
        return 1.0
    return min(max(mean_s / work_s, LEAST_WEIGHT), MOST_WEIGHT)


def _owners_message(
    pool: str,
    changes: list[OwnedRange],
    is_whole: bool,
) -> Message:
    now = lease_clock()
    return {
        'kind': 'owners',
        'pool': pool,
        'whole': is_whole,
        'ranges': [
            [
                keys.first,
                keys.last,
                keys.owner.text() if keys.owner else None,
                round(keys.expected_at - now, 3) if not keys.owner else 0,
            ]
            for keys in changes
        ],
    }


def read_owners(message: Message) -> list[OwnedRange]:
    """Read the ranges of an ``owners`` message.

    :raises ValueError: when they are malformed.
    """
    now = lease_clock()
    try:
        return [
            OwnedRange(int(first), int(last), _ref(owner), now + float(in_s))
            for first, last, owner, in_s in message['ranges']
        ]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f'malformed owners: {error}') from error


def _drop_changes(pool: str, changes: list[OwnedRange], is_whole: bool) -> None:
    """Tell nobody."""


def _drop_hosts(hosts: dict[str, float]) -> None:
    """Tell nobody."""


def _drop_reason(reason: str) -> None:
    """Tell nobody."""
