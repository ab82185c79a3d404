"""A host's part in the coordination: find, hear and replace the coordinator."""

import asyncio
import random
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass, replace
from typing import Any

from oriolearch.adapters.host_links import HostLink, Message, connect, listen
from oriolearch.clock import lease_clock, loop_clock
from oriolearch.coordinator_rows import (
    LEADER_ROW,
    LEADER_TABLE,
    OWNER_TABLE,
    LeaderRow,
    decode_leader,
    read_owners,
    read_ranges,
)
from oriolearch.core.directory import parse_incarnation
from oriolearch.core.errors import (
    ConditionFailedError,
    HistoryLostError,
    OutcomeUnknownError,
    PeerError,
    PeerRefusedError,
    PlatformError,
)
from oriolearch.core.keyranges import OwnedRange
from oriolearch.core.witnesses import Promise
from oriolearch.eventlog import Event, EventLog
from oriolearch.forwarding import Forwarder
from oriolearch.granting import GrantPort
from oriolearch.leadership import Leadership
from oriolearch.members import Member
from oriolearch.placing import DeskServer
from oriolearch.ports import SharedStore, StoredRow, TableState
from oriolearch.relaying import (
    Forward,
    Relay,
    encode_rows,
    forward_nowhere,
)
from oriolearch.succession import ANSWER_TIMEOUT_S, Succession, ask

START_POLL_S = 0.02  # a starting host looks this often
# A starting host reads the tables itself; a coordinator that sends them whole
# to all hosts of a restart has no room for its beats.
TABLES_WAIT_S = 0.6
CONSULTED = 8  # other hosts that are asked before a takeover
# A coordinator that all hosts connect to at once may be slow to accept; a
# host that has just started knows no others to ask.
CONNECTS_MISSED = 2
SILENCE_S = 1.0  # without a beat for so long, the coordinator counts as lost
REPORT_PERIOD_S = 0.2  # counts of keys are sent this often
RECONNECT_S = 0.1  # a refused connection is tried again after this
TAKEOVER_SPREAD_S = 0.15  # hosts try one after the other, at random
LONGEST_DELAY_S = 0.8  # of the smallest host before it takes over
ISOLATED_S = 8.0  # a host that reaches few others takes over after this
STORE_POLL_S = 28.0  # wait of a long poll
LEADER_POLL_S = 4.0  # of the coordinator, whose authority it extends
CONFIRM_PERIOD_S = 0.4  # a coordinator looks at its authority this often
RETRY_S = 0.25  # after a failed call of the store
LONGEST_PAUSE_S = 1.5  # between takeovers that the store does not answer
HELP_PERIOD_S = 1.5  # between takeovers from one that cannot write
OWNERS_PERIOD_S = 1.0  # owners are read from the store at most this often


@dataclass(frozen=True, slots=True)
class HostIdentity:
    """One run of a host.

    :param address: where other hosts connect.
    :param nonce: unique to this run.
    :param capacity: share of a processor that it has.
    """

    host: str
    address: str
    nonce: str
    zone: str
    capacity: float


class Coordination:
    """Finds the coordinator, reports to it, and takes over from it.

    :ivar row: who leads, as far as this host knows.
    :ivar leadership: this host's own term.
    :ivar hosts: hosts that share the work, this one included.
    """

    def __init__(
        self,
        identity: HostIdentity,
        store: SharedStore,
        grants: GrantPort,
        forwarder: Forwarder,
        relay: Relay,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.host = identity.host
        self.address = identity.address
        self.nonce = identity.nonce
        self.store = store
        self.grants = grants
        self.forwarder = forwarder
        self.registry = forwarder.registry
        self.relay = relay
        self.zone = identity.zone
        self.capacity = identity.capacity
        self.log = log
        self.rng = rng
        self.row: LeaderRow | None = None
        self.row_version = 0
        self.is_row_known = False
        self.leadership: Leadership | None = None
        self.counts: dict[str, dict[int, int]] = {}
        self.hosts = 1
        self.peers: list[str] = []
        self.heard_at = float('-inf')
        self.heard_term = 0
        self.lost_at = float('-inf')
        self.missed_connects = 0
        self.owners_at = float('-inf')
        self.help_at = float('-inf')
        self.store_pause_s = RETRY_S
        self.is_stopping = False
        self.promise = Promise()
        self.server: asyncio.Server | None = None
        self.peer_links: set[HostLink] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        forwarder.count_key = self.count_key

    def count_key(self, pool: str, key: int) -> None:
        """Count a request for a key."""
        counts = self.counts.setdefault(pool, {})
        counts[key] = counts.get(key, 0) + 1

    def _take_counts(self) -> dict[str, dict[int, int]]:
        counts = self.counts
        self.counts = {}
        return counts

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task and report its errors."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_done)
        return task

    def _task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.log.emit(
                Event.TASK_FAILED,
                task=task.get_name(),
                error=repr(task.exception()),
            )

    async def listen(self, address: str) -> None:
        """Accept other hosts."""
        self.server = await listen(address, self._serve_peer)

    def close(self) -> None:
        """Cancel all tasks and close all connections; hand nothing over."""
        self.end_term('the host ends')
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
        for link in list(self.peer_links):
            link.close()
        self.forwarder.places.close()

    async def follow(self) -> None:
        """Keep the row that names the coordinator up to date."""
        after: int | None = None
        while True:
            await self.relay.starved.wait()
            try:
                after = await self._follow_once(after)
            except HistoryLostError:
                after = None
            except PlatformError:
                # The watches of the platform's tables report the outage.
                await asyncio.sleep(RETRY_S)

    async def _follow_once(self, after: int | None) -> int:
        sent_at = lease_clock()
        if after is None:
            state = await self.store.read(LEADER_TABLE)
        else:
            is_leader = self.leadership is not None
            wait_s = LEADER_POLL_S if is_leader else STORE_POLL_S
            state = await self.store.follow(LEADER_TABLE, after, wait_s)
        self._take_rows(state)
        self.is_row_known = True
        if self.leadership is not None:
            self.leadership.authority.confirm(sent_at)
        return state.version

    async def _confirm(self, leadership: Leadership) -> None:
        """Ask the store while the witnesses do not answer."""
        while not leadership.is_over:
            await asyncio.sleep(CONFIRM_PERIOD_S)
            if leadership.authority.needs_store(lease_clock()):
                # The watches of the platform's tables report an outage.
                with suppress(PlatformError):
                    await self._follow_once(None)

    def _take_rows(self, state: TableState) -> None:
        for row in state.rows:
            if row.key == LEADER_ROW.key and row.version > self.row_version:
                self._take_row(row)
        leadership = self.leadership
        if leadership is None or leadership.row_version >= self.row_version:
            return
        if self.row is not None and self.row.is_same_term(leadership.row):
            leadership.row_version = self.row_version
        else:
            self.end_term('another host took over')

    def _take_row(self, row: StoredRow) -> None:
        self.row_version = row.version
        self.row = decode_leader(row)
        self.missed_connects = 0
        if self.row is not None:
            self.log.emit(
                Event.COORDINATOR_FOUND,
                coordinator=self.row.host,
                term=self.row.term,
                row_version=row.version,
            )

    async def run(self) -> None:
        """Hear the coordinator, or replace it when it is lost."""
        while not self.is_row_known:
            await asyncio.sleep(START_POLL_S)
        began_at = lease_clock()
        while lease_clock() < began_at + TABLES_WAIT_S:
            if self.relay.is_read():
                break
            await asyncio.sleep(START_POLL_S)
        self.heard_at = lease_clock()
        while True:
            if self.leadership is None:
                await self._find_coordinator(self.row)
            else:
                await asyncio.sleep(RECONNECT_S)

    async def _find_coordinator(self, row: LeaderRow | None) -> None:
        reason = self._reason_to_lead(row)
        if row is not None and not reason:
            await self._hear_until_lost(row)
        elif self.is_stopping:
            # A host that goes on takes over.
            await asyncio.sleep(RETRY_S)
        else:
            await self.try_takeover(reason)

    def _reason_to_lead(self, row: LeaderRow | None) -> str:
        """Tell why this host should lead, as far as the row tells."""
        if row is None:
            return 'no coordinator'
        if row.nonce == self.nonce:
            return ''
        if row.is_leaving:
            return 'the coordinator stops'
        is_own = row.address == self.address
        return 'an earlier run of this host led' if is_own else ''

    async def _hear_until_lost(self, row: LeaderRow) -> None:
        reason = await self._hear(row)
        if self.heard_term == row.term:
            self.heard_term = 0
            self.lost_at = lease_clock()
        self.log.emit(
            Event.COORDINATOR_LOST,
            coordinator=row.host,
            term=row.term,
            reason=reason,
        )
        if row is not self.row:
            return
        if self.is_stopping:
            await asyncio.sleep(RETRY_S)
        else:
            await self._replace(row, reason)

    async def _replace(self, row: LeaderRow, reason: str) -> None:
        """Take over unless other hosts still hear the coordinator."""
        if 0 < self.missed_connects < CONNECTS_MISSED:
            await asyncio.sleep(RETRY_S)
            return
        verdicts = await asyncio.gather(
            *(self._consult(peer, row.term) for peer in self.peers),
        )
        silent = sum(1 for verdict in verdicts if verdict is None)
        is_isolated = 2 * silent > len(verdicts)
        silent_s = lease_clock() - self.lost_at
        if any(verdicts) or (is_isolated and silent_s < ISOLATED_S):
            await asyncio.sleep(RETRY_S)
            await self._read_owners()
            return
        if row is self.row:
            await self.try_takeover(reason)

    async def _consult(self, peer: str, term: int) -> bool | None:
        """Ask another host whether it hears the coordinator."""
        if peer == self.address:
            return False
        try:
            answer = await ask(peer, {'kind': 'ask'})
        except PeerRefusedError:
            return False
        except PeerError:
            return None
        return answer.get('hears') == term

    async def _hear(self, row: LeaderRow) -> str:
        """Stay connected to the coordinator; give why that ended."""
        try:
            link = await connect(row.address)
        except PeerRefusedError as error:
            return error.reason
        except PeerError as error:
            self.missed_connects += 1
            return error.reason
        self.missed_connects = 0
        reporter = self.spawn(self._report(link))
        try:
            link.send(
                {
                    'kind': 'hello',
                    'address': self.address,
                    'zone': self.zone,
                    'capacity': self.capacity,
                    'run': self.nonce,
                    'ready': self._knows_tables(),
                    'versions': self.relay.versions(),
                },
            )
            while row is self.row or self.row is None:
                message = await link.receive(SILENCE_S)
                self._take_message(row, message)
                self._feed(link, message)
                self._acknowledge(link, message)
        except (PeerError, ValueError) as error:
            return str(error)
        finally:
            reporter.cancel()
            self._unlink(link)
        return 'another coordinator'

    def _take_message(self, row: LeaderRow, message: Message) -> None:
        kind = message.get('kind')
        if kind == 'beat':
            self._take_beat(row, message)
        elif kind == 'owners':
            pool = str(message.get('pool'))
            self.take_owners(pool, read_owners(message), message['whole'])
        elif kind == 'rows':
            self.relay.told(message)
        else:
            self._take_hint(message)

    def _take_hint(self, message: Message) -> None:
        kind = message.get('kind')
        if kind == 'yield' and not self.is_stopping:
            self.spawn(self.try_takeover('the coordinator is a small host'))
        elif kind == 'cold':
            self.registry.note_cold(
                loop_clock(),
                parse_incarnation(str(message['upstream'])),
                float(message['for']),
            )

    def _take_beat(self, row: LeaderRow, message: Message) -> None:
        if self.heard_term != row.term:
            self.log.emit(
                Event.COORDINATOR_LINKED,
                coordinator=row.host,
                term=row.term,
            )
        self.heard_at = lease_clock()
        self.heard_term = row.term
        self._take_hosts(message)
        if message.get('stuck'):
            self._help_out()

    def _unlink(self, link: HostLink) -> None:
        link.close()
        self.relay.set_fed(False)
        if self.leadership is None:
            self.relay.forward = forward_nowhere

    def _feed(self, link: HostLink, message: Message) -> None:
        """Follow the tables for others, or leave that to others."""
        watchers = message.get('watchers')
        if not isinstance(watchers, list):
            return
        if self.address not in watchers:
            self.relay.forward = forward_nowhere
            self.relay.set_fed(self.relay.is_read())
        elif (
            not self.relay.starved.is_set()
            or self.relay.forward is forward_nowhere
        ):
            self.relay.set_fed(False)
            self.relay.forward = _forward_to(link)

    def _acknowledge(self, link: HostLink, message: Message) -> None:
        """Acknowledge the coordinator, as one of its witnesses."""
        if message.get('kind') != 'acknowledge':
            return
        if self.promise.may_acknowledge(int(message['term'])):
            link.send({'kind': 'acknowledge', 'at': message['at']})

    def _help_out(self) -> None:
        """Try to take over from a coordinator that cannot write."""
        now = lease_clock()
        if now >= self.help_at:
            self.help_at = now + HELP_PERIOD_S * (1 + self.rng.random())
            self.spawn(self.try_takeover('the coordinator cannot write'))

    def _take_hosts(self, message: Message) -> None:
        hosts = message.get('hosts')
        if isinstance(hosts, list):
            self.take_hosts({str(host): float(size) for host, size in hosts})

    def take_hosts(self, hosts: dict[str, float]) -> None:
        """Take the hosts that share the work, with their capacity."""
        self.hosts = len(hosts)
        others = [host for host in hosts if host != self.address]
        self.peers = others[:CONSULTED]
        self.forwarder.places.set_hosts(hosts)

    def take_owners(
        self,
        pool: str,
        ranges: list[OwnedRange],
        is_whole: bool,
    ) -> None:
        """Take owners of keys and look at the waiting requests."""
        owners = self.forwarder.owner_map(pool)
        if is_whole:
            owners.reset(ranges)
        else:
            owners.update(ranges)
        self.forwarder.owners_changed(pool)

    async def _report(self, link: HostLink) -> None:
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            link.send(self._make_report())

    def _make_report(self) -> Message:
        return {
            'kind': 'report',
            'keys': {
                pool: list(counts.items())
                for pool, counts in self._take_counts().items()
            },
            'works': self.forwarder.works(),
            'ready': self._knows_tables(),
            'leaving': self.is_stopping,
        }

    def _knows_tables(self) -> bool:
        return self.relay.is_read() and self.registry.directory is not None

    async def _serve_peer(self, link: HostLink) -> None:
        """Serve a connection of another host."""
        self.peer_links.add(link)
        try:
            await self._serve_first(link, await link.receive(SILENCE_S))
        except (PeerError, ValueError, LookupError):
            # The other host logs the loss; it connects again if it lives.
            return
        finally:
            self.peer_links.discard(link)

    async def _serve_first(self, link: HostLink, first: Message) -> None:
        kind = first.get('kind')
        if kind in {'ask', 'promise'}:
            self.promise.withhold(int(first.get('term', 0)))
            leadership = self.leadership
            link.send(
                {
                    'kind': 'tell',
                    'hears': self._hears(),
                    'leads': leadership.row.term if leadership else 0,
                    'nonce': self.nonce,
                    'promised': self.promise.term,
                },
            )
            # The other host reads the answer before it closes the link.
            await asyncio.sleep(ANSWER_TIMEOUT_S)
        elif kind == 'places':
            await DeskServer(self.forwarder.desk, link).run()
        elif kind == 'lead':
            self._take_announcement(first)
        elif kind == 'hello' and self.leadership is not None:
            await self._serve_member(self.leadership, link, first)

    async def _serve_member(
        self,
        leadership: Leadership,
        link: HostLink,
        hello: Message,
    ) -> None:
        address = str(hello['address'])
        member = Member(
            address,
            str(hello['zone']),
            float(hello['capacity']),
            str(hello['run']),
        )
        leadership.add_member(link, member)
        if hello.get('ready'):
            leadership.members.set_ready(link)
        for table, mirror in self.relay.mirrors.items():
            known = int(hello['versions'].get(table, 0))
            rows = mirror.since(known)
            link.send(encode_rows(table, rows, mirror.version))
        leadership.members.send_watchers(link)
        try:
            while not leadership.is_over:
                report = await link.receive(SILENCE_S)
                if report['kind'] == 'rows':
                    self.relay.told(report)
                    continue
                if report['kind'] == 'acknowledge':
                    at = float(report['at'])
                    leadership.authority.acknowledged(member.run, at)
                    continue
                if report.get('ready'):
                    leadership.members.set_ready(link)
                if report.get('leaving'):
                    leadership.members.set_leaving(link)
                self._take_report(leadership, report)
        finally:
            leadership.members.drop(link)

    def _hears(self) -> int:
        if self.leadership is not None and not self.leadership.is_stuck():
            return self.leadership.row.term
        if lease_clock() - self.heard_at < SILENCE_S:
            return self.heard_term
        return 0

    def _take_report(self, leadership: Leadership, report: Message) -> None:
        for pool, counts in report['keys'].items():
            leadership.count_keys(pool, {int(key): n for key, n in counts})
        for pool, works in report['works'].items():
            leadership.take_works(pool, works)

    async def try_takeover(self, reason: str) -> None:
        """Try to become the coordinator."""
        seen = self.row_version
        predecessor = self.row
        # Large hosts come first: a coordinator tells all others of changes.
        delay_s = TAKEOVER_SPREAD_S * (0.5 + self.rng.random())
        await asyncio.sleep(min(delay_s / self.capacity, LONGEST_DELAY_S))
        if self.row_version != seen:
            return
        term = self.row.term + 1 if self.row else 1
        row = LeaderRow(self.host, self.address, term, self.nonce)
        outcome = 'won'
        began_at = lease_clock()
        try:
            version = await self.store.commit(
                {LEADER_ROW: self.row_version},
                {LEADER_ROW: row.encode()},
            )
        except ConditionFailedError:
            outcome = 'lost to another host'
        except OutcomeUnknownError:
            outcome = 'unknown'
        except PlatformError as error:
            outcome = str(error)
        self.log.emit(
            Event.TAKEOVER,
            term=term,
            outcome=outcome,
            reason=reason,
        )
        if outcome == 'won':
            self.store_pause_s = RETRY_S
            self._begin_term(row, version, began_at, predecessor)
        else:
            await self._learn_row(row, began_at, predecessor)

    async def _learn_row(
        self,
        attempted: LeaderRow,
        began_at: float,
        predecessor: LeaderRow | None,
    ) -> None:
        """Read who leads after an attempt that did not surely succeed."""
        await asyncio.sleep(RETRY_S)
        try:
            state = await self.store.read(LEADER_TABLE)
        except PlatformError:
            await asyncio.sleep(self.store_pause_s)
            self.store_pause_s = min(self.store_pause_s * 2, LONGEST_PAUSE_S)
            return
        self.store_pause_s = RETRY_S
        self._take_rows(state)
        if self.row == attempted and self.leadership is None:
            self._begin_term(
                attempted,
                self.row_version,
                began_at,
                predecessor,
            )

    def _begin_term(
        self,
        row: LeaderRow,
        version: int,
        began_at: float,
        predecessor: LeaderRow | None,
    ) -> None:
        if self.row_version > version:
            return
        self.row = row
        self.row_version = version
        leadership = Leadership(
            row,
            version,
            self.store,
            self.grants,
            self.registry,
            self.log,
            self,
            Member(self.address, self.zone, self.capacity, self.nonce),
        )
        leadership.authority.confirm(began_at)
        if predecessor is None:
            leadership.limit_predecessor(leadership.began_at)
        self.spawn(Succession(leadership, predecessor, self.log).run())
        self.leadership = leadership
        self.relay.set_fed(False)
        self.relay.forward = leadership.members.send_rows
        told = set(self.forwarder.places.hosts)
        if predecessor is not None:
            told.add(predecessor.address)
        for address in told - {self.address}:
            self.spawn(self._announce(address, row, version))
        self.spawn(leadership.run())
        self.spawn(self._confirm(leadership))
        self.spawn(self._report_locally(leadership))

    async def _announce(
        self,
        address: str,
        row: LeaderRow,
        version: int,
    ) -> None:
        """Tell a host who leads; it may hear the predecessor only."""
        try:
            link = await connect(address)
        except PeerError:
            # It finds the row in the store when it misses the predecessor.
            return
        link.send(
            {
                'kind': 'lead',
                'row': row.encode().decode(),
                'version': version,
            },
        )
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        link.close()

    def _take_announcement(self, message: Message) -> None:
        value = str(message['row']).encode()
        name = LEADER_ROW
        row = StoredRow(name.table, name.key, value, int(message['version']))
        self._take_rows(TableState((row,), row.version))

    async def _report_locally(self, leadership: Leadership) -> None:
        while not leadership.is_over:
            await asyncio.sleep(REPORT_PERIOD_S)
            self._take_report(leadership, self._make_report())

    def end_term(self, reason: str) -> None:
        """End this host's own term, if it has one."""
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        leadership.is_over = True
        self.heard_at = lease_clock()
        self.relay.forward = forward_nowhere
        for link in list(leadership.members.links):
            link.close()
        self.log.emit(
            Event.STEPPED_DOWN,
            term=leadership.row.term,
            reason=reason,
        )

    async def _read_owners(self) -> None:
        """Take the owners from the store while no coordinator is heard."""
        now = lease_clock()
        if now - self.owners_at < OWNERS_PERIOD_S:
            return
        self.owners_at = now
        try:
            state = await self.store.read(OWNER_TABLE)
        except PlatformError:
            return
        for row in state.rows:
            ranges = read_ranges(row, self.log)
            if not ranges:
                continue
            self.log.emit(
                Event.OWNERS_READ,
                pool=row.key,
                ranges=len(ranges),
                row_version=row.version,
            )
            owned = [
                OwnedRange(keys.first, keys.last, keys.owner) for keys in ranges
            ]
            self.take_owners(row.key, owned, True)

    async def stop(self) -> None:
        """Have another host take over, and act until it has.

        While the store is away nobody can take over, so the work goes on to
        the end of this host, and grants last a little longer.
        """
        self.is_stopping = True
        leadership = self.leadership
        if leadership is None:
            return
        leadership.leave()
        while self.leadership is leadership:
            if self.row is None or not self.row.is_leaving:
                await self._announce_leaving(leadership)
            await asyncio.sleep(RETRY_S)

    async def _announce_leaving(self, leadership: Leadership) -> None:
        row = replace(leadership.row, is_leaving=True)
        outcome = 'stored'
        try:
            await self.store.commit(
                {LEADER_ROW: leadership.row_version},
                {LEADER_ROW: row.encode()},
            )
        except PlatformError as error:
            outcome = str(error)
        self.log.emit(
            Event.TAKEOVER,
            term=row.term,
            outcome=outcome,
            reason='this host stops',
        )


def _forward_to(link: HostLink) -> Forward:
    """Tell the host at the other end of a connection."""

    def forward(table: str, rows: list[StoredRow], version: int) -> None:
        link.send(encode_rows(table, rows, version))

    return forward
