"""Follow the coordinator from one host, and replace it when it is lost."""

import asyncio
import math
import random
from collections.abc import Callable, Coroutine
from contextlib import suppress
from dataclasses import replace
from functools import partial
from typing import Any

from oriolearch.adapters.host_links import HostLink, Message, connect, listen
from oriolearch.clock import lease_clock, loop_clock
from oriolearch.coordinator_rows import (
    COORDINATOR_ROW,
    COORDINATOR_TABLE,
    OWNER_TABLE,
    CoordinatorRow,
    decode_coordinator,
    read_owners,
    read_stored_owners,
)
from oriolearch.core.directory import parse_incarnation
from oriolearch.core.errors import (
    HistoryLostError,
    PeerError,
    PeerRefusedError,
    PlatformError,
)
from oriolearch.core.keyranges import OwnedRange
from oriolearch.core.notices import NoticeChannel
from oriolearch.core.versions import ABSENT, StoreVersion
from oriolearch.core.witnesses import LONG_AGO, LONG_AUTHORITY_S, Promise
from oriolearch.eventlog import Event, EventLog
from oriolearch.forwarding import Forwarder
from oriolearch.granting import GrantPort
from oriolearch.leadership import Leadership
from oriolearch.members import (
    HostIdentity,
    Member,
    choose_peers,
    is_isolated,
)
from oriolearch.placing import (
    DispatchServer,
    add_notices,
    receive_notices,
)
from oriolearch.ports import (
    LONG_POLL_GRACE_S,
    SharedStore,
    StoredRow,
    TableState,
)
from oriolearch.relaying import (
    Forward,
    Relay,
    decode_versions,
    discard_rows,
    encode_rows,
    encode_versions,
)
from oriolearch.reporting import (
    apply_report,
    describe_upstreams,
    refs_with_recent_requests,
)
from oriolearch.restoring import Restoration
from oriolearch.succession import ANSWER_TIMEOUT_S, Succession, ask_term
from oriolearch.supervision import keep_running, log_task_failure
from oriolearch.takeovers import STORE_RETRY_S, Takeover, Takeovers

# A starting host checks this often whether its tables have been read.
START_POLL_S = 0.02
# A starting host waits this long to read the tables from the store. When all
# hosts restart, a coordinator that sends whole tables to each of them delays
# its heartbeats.
TABLES_WAIT_S = 0.6
# One failed connection proves nothing: a coordinator that all hosts connect to
# at once may be slow to accept, and a host that has just started has no peers
# to ask.
MIN_FAILED_CONNECTS = 2
# The coordinator counts as lost when no message arrives for this long.
CONTACT_TIMEOUT_S = 1.0
# A host polls the tables itself when it has heard no coordinator for this long.
# Most lost coordinators are replaced by then. The bounds of the platform on new
# configurations and draining upstreams start at 2 s.
POLL_AFTER_SILENCE_S = 1.3
REPORT_PERIOD_S = 0.2  # between reports of key counts to the coordinator
TERM_POLL_S = 0.1  # a coordinator checks this often whether its term is over
# A host that cannot reach most of its peers takes over only after this.
ISOLATED_TAKEOVER_S = 8.0
MAX_SENT_AGE_S = 3600.0  # of a table that was never read, in heartbeats
STORE_POLL_S = 28.0  # long poll of the store
FOLLOW_PAUSE_S = 0.2  # between polls of the coordinator row
STORE_PROBE_S = 0.5  # a slow store answers within 0.2 s
# The coordinator polls more often: each answer extends its authority, and a
# store that stops to answer is noticed. Other hosts then read a new
# configuration in time.
COORDINATOR_POLL_S = 0.8
COORDINATOR_POLL_GRACE_S = 0.4  # a slow store takes 0.2 s
CONFIRM_PERIOD_S = 0.4  # between checks of the coordinator's authority
# Between attempts to replace a coordinator that cannot write to the store.
STUCK_TAKEOVER_PERIOD_S = 1.5
# A coordinator writes again so soon after the store is back: its last call
# without an answer ends within 1.5 s, it tries again after 0.25 s, and sends
# heartbeats every 0.25 s.
STUCK_GRACE_S = 2.0
OWNERS_PERIOD_S = 1.0  # minimum time between reads of the owners


class Coordination:
    """Finds the coordinator, reports to it, and replaces it when needed.

    :ivar row: the coordinator row that this host follows.
    :ivar stored_row: the coordinator row of the store, which may be an earlier
        one after the store came back from a copy; ``None`` if unreadable.
    :ivar row_version: version of that row in the store.
    :ivar leadership: this host's own term, if it is the coordinator.
    :ivar host_count: number of hosts that dispatch requests, with this one.
    :ivar granting_contact_at: time of the last message of a coordinator that
        may grant and renew leases.
    :ivar is_cut_off: whether neither the coordinator, nor most of the other
        hosts, nor the store can be reached.
    :ivar is_store_restored: whether the store came back from an earlier copy
        since this host started.
    :ivar era_seen_at: when the first host that this one has heard of learned of
        the present era of the store.
    :ivar takeovers: this host's attempts to become the coordinator.
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
        self.dispatchers = forwarder.local_dispatch.dispatchers
        self.registry = forwarder.registry
        self.relay = relay
        self.zone = identity.zone
        self.capacity = identity.capacity
        self.log = log
        self.rng = rng
        self.row: CoordinatorRow | None = None
        self.stored_row: CoordinatorRow | None = None
        self.row_version = ABSENT
        self.is_store_restored = False
        self.is_first_start = identity.is_first_start
        self.has_read_coordinator_row = False
        self.leadership: Leadership | None = None
        self.counts: dict[str, dict[int, int]] = {}
        self.host_count = 1
        self.peers: list[str] = []
        self.last_contact_at = float('-inf')
        self.last_contact_term = 0
        self.coordinator_link: HostLink | None = None
        self.granting_contact_at = float('-inf')
        self.contact_lost_at = float('-inf')
        self.failed_connects = 0
        self.owners_read_at = float('-inf')
        self.store_lost_at = 0.0
        self.is_store_lost_to_coordinator = False
        self.is_coordinator_stuck = False
        self.is_stopping = False
        self.is_cut_off = False
        self.promise = Promise()
        self.era_seen_at = lease_clock()
        self.takeovers = Takeovers(identity, self, store, log, rng)
        self.server: asyncio.Server | None = None
        self.peer_links: set[HostLink] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        relay.ledger.on_era = self._record_era
        forwarder.count_key = self.count_key
        forwarder.hears_coordinator = self.hears_coordinator
        forwarder.reservation_router.is_list_confirmed = self.hears_coordinator

    def count_key(self, pool: str, key: int) -> None:
        """Count a request for a key."""
        counts = self.counts.setdefault(pool, {})
        counts[key] = counts.get(key, 0) + 1

    def _pop_counts(self) -> dict[str, dict[int, int]]:
        counts = self.counts
        self.counts = {}
        return counts

    def spawn(
        self,
        coroutine: Coroutine[Any, Any, None],
        name: str | None = None,
    ) -> asyncio.Task[None]:
        """Start a task and log its errors."""
        task = asyncio.get_running_loop().create_task(coroutine, name=name)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def spawn_lasting(
        self,
        name: str,
        start: Callable[[], Coroutine[Any, Any, None]],
    ) -> asyncio.Task[None]:
        """Start a task that is started again whenever it fails."""
        return self.spawn(keep_running(name, start, self.log), name)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        error = None if task.cancelled() else task.exception()
        if error is not None:
            log_task_failure(self.log, task.get_name(), error)

    async def listen(self, address: str) -> None:
        """Accept connections of other hosts."""
        self.server = await listen(address, self._serve_peer)

    def close(self) -> None:
        """Cancel all tasks and close all connections without a successor."""
        self.end_term('this host is shutting down')
        for task in list(self.tasks):
            task.cancel()
        if self.server is not None:
            self.server.close()
        for link in list(self.peer_links):
            link.close()
        self.forwarder.reservation_router.close()

    async def follow(self) -> None:
        """Keep the coordinator row up to date with the store."""
        # At a first start nothing can have changed before the first poll.
        after = StoreVersion() if self.is_first_start else None
        while True:
            await self.relay.must_poll.wait()
            if self.leadership is not None:
                # A coordinator polls in a task of its own.
                await asyncio.sleep(TERM_POLL_S)
                continue
            try:
                after = await self._poll_coordinator_table(
                    after, STORE_POLL_S, LONG_POLL_GRACE_S
                )
                if self.row is not None:
                    # By then the host usually has contact with it.
                    await asyncio.sleep(FOLLOW_PAUSE_S)
            except HistoryLostError:
                after = None
            except PlatformError:
                # The tasks that watch the platform's tables log an outage.
                await asyncio.sleep(STORE_RETRY_S)

    async def _watch_store(self, leadership: Leadership) -> None:
        """Check often during a term whether the store answers.

        The polls of :meth:`follow` last too long for that. One that began
        before the term may still be open.
        """
        after: StoreVersion | None = None
        while not leadership.is_over:
            try:
                after = await self._poll_coordinator_table(
                    after, COORDINATOR_POLL_S, COORDINATOR_POLL_GRACE_S
                )
            except HistoryLostError:
                after = None
            except PlatformError as error:
                self._record_store_loss(error)
                await asyncio.sleep(STORE_RETRY_S)
            else:
                self._record_store_answer()

    def store_era(self) -> int:
        """Return the present era of the store."""
        return self.relay.ledger.era

    def earlier_eras_over_at(self) -> float:
        """Return by when terms are over that earlier eras confirmed last.

        The store has confirmed none of them in its present era.
        """
        if not self.store_era():
            return math.inf
        return self.era_seen_at + LONG_AUTHORITY_S

    def era_age(self) -> Message:
        """Return fields that name the present era, and its age in seconds.

        They are empty for a store that names no era.
        """
        if not self.store_era():
            return {}
        age_s = lease_clock() - self.era_seen_at
        return {'era': self.store_era(), 'era_age': round(age_s, 3)}

    def _record_era_age(self, message: Message) -> None:
        """Record that another host may have learned of the era earlier."""
        if message.get('era') == self.store_era():
            seen_at = lease_clock() - float(message.get('era_age', 0))
            self.era_seen_at = min(self.era_seen_at, seen_at)

    def _record_era(self, is_restored: bool) -> None:
        """Read all tables anew if the store came back from an earlier copy."""
        self.era_seen_at = lease_clock()
        if self.leadership is not None:
            self._restore_rows(self.leadership)
        if not is_restored:
            return
        self.is_store_restored = True
        self.log.emit(Event.STORE_RESTORED, era=self.relay.ledger.era)
        self.registry.record_store_outage(loop_clock())
        self.relay.reopen_polls('the store came back from an earlier copy')

    def _restore_rows(self, leadership: Leadership) -> None:
        """Write the rows of this host's term again in the present era."""
        is_running = leadership.is_restoring
        leadership.begin_restoring(lease_clock())
        if not is_running:
            restoration = Restoration(
                leadership, self, self.store, self.relay.ledger, self.log
            )
            self.spawn_lasting('restoration', restoration.run)

    def is_row_restored(self) -> bool:
        """Return whether the store may have lost the row of a later term.

        A process that has just started sees no change of the era. The era in
        the row tells it that the row was written in an earlier one.
        """
        if self.stored_row is not None:
            return self.stored_row.era < self.relay.ledger.era
        if self.is_store_restored:
            return True
        return self.relay.ledger.era > 0 and not self.is_first_start

    async def read_coordinator_row(self) -> None:
        """Read the coordinator row; end the term if another host took over.

        :raises PlatformError: when it cannot be read.
        """
        self._apply_table(await self.store.read(COORDINATOR_TABLE))

    def record_own_row(
        self, row: CoordinatorRow, version: StoreVersion
    ) -> None:
        """Record that the row of this host's term was written."""
        self.row = row
        self.stored_row = row
        self.row_version = version

    def is_store_lost(self) -> bool:
        """Return whether the store does not answer the coordinator."""
        if self.leadership is not None:
            return self.leadership.members.is_store_lost
        return self.is_store_lost_to_coordinator

    def _record_store_loss(self, error: PlatformError) -> None:
        """Let more hosts poll the tables for a coordinator without store."""
        leadership = self.leadership
        if leadership is None or leadership.members.is_store_lost:
            return
        self.store_lost_at = lease_clock()
        leadership.members.set_store_lost(True)
        self.log.emit(
            Event.STORE_LOST,
            table=COORDINATOR_TABLE,
            error=str(error),
        )

    def _record_store_answer(self) -> None:
        leadership = self.leadership
        if leadership is None or not leadership.members.is_store_lost:
            return
        leadership.members.set_store_lost(False)
        self.log.emit(
            Event.STORE_REGAINED,
            table=COORDINATOR_TABLE,
            version=self.row_version,
            away_s=round(lease_clock() - self.store_lost_at, 3),
        )

    async def _poll_coordinator_table(
        self,
        after: StoreVersion | None,
        wait_s: float,
        grace_s: float,
    ) -> StoreVersion:
        """Read the table, or wait for changes after a version.

        :returns: the version up to which the table has been read.
        """
        sent_at = lease_clock()
        if after is None:
            state = await self.store.read(COORDINATOR_TABLE)
            self._apply_table(state)
        else:
            state = await self.store.follow(
                COORDINATOR_TABLE, after, wait_s, grace_s
            )
            self._apply_rows(state)
        self.has_read_coordinator_row = True
        if self.leadership is not None and self._names(self.leadership, state):
            self.leadership.authority.record_confirmation(sent_at)
        return state.version

    def _names(self, leadership: Leadership, state: TableState) -> bool:
        """Return whether an answer of the store confirms this host's term."""
        if self.stored_row is None or self.is_row_restored():
            return False
        is_own = self.stored_row.is_same_term(leadership.row)
        return is_own and self.row_version.era == state.version.era

    async def _confirm_authority(self, leadership: Leadership) -> None:
        """Confirm the authority at the store when the witnesses do not."""
        while not leadership.is_over:
            await asyncio.sleep(CONFIRM_PERIOD_S)
            if leadership.authority.needs_store(lease_clock()):
                # The tasks that watch the platform's tables log an outage.
                with suppress(PlatformError):
                    await self._poll_coordinator_table(
                        None, STORE_POLL_S, LONG_POLL_GRACE_S
                    )

    def _apply_table(self, state: TableState) -> None:
        """Apply the whole table, which may lack the coordinator row."""
        empty = StoreVersion(state.version.era)
        if not state.rows and empty > self.row_version:
            self.row_version = empty
            self.stored_row = None
        self._apply_rows(state)

    def _apply_rows(self, state: TableState) -> None:
        for row in state.rows:
            if (
                row.key == COORDINATOR_ROW.key
                and row.version > self.row_version
            ):
                self._apply_coordinator_row(row)
        leadership = self.leadership
        if leadership is None or leadership.row_version >= self.row_version:
            return
        if self.is_row_restored():
            return  # the rows of this term are being written again
        stored = self.stored_row
        if stored is not None and stored.is_same_term(leadership.row):
            leadership.row_version = self.row_version
        else:
            self.end_term('another host took over')

    def _apply_coordinator_row(self, row: StoredRow) -> None:
        self.row_version = row.version
        self.stored_row = decode_coordinator(row)
        self.failed_connects = 0
        if self._is_followed_already():
            return
        self.row = self.stored_row
        if self.row is not None:
            self.log.emit(
                Event.COORDINATOR_FOUND,
                coordinator=self.row.host,
                term=self.row.term,
                row_version=row.version,
            )

    def _is_followed_already(self) -> bool:
        """Return whether the stored row names nobody new to follow."""
        stored = self.stored_row
        if self.row is None:
            return False
        if self.is_row_restored():
            return stored is None or stored.term <= self.row.term
        return (
            stored is not None
            and stored.is_same_term(self.row)
            and stored.is_leaving == self.row.is_leaving
        )

    async def run(self) -> None:
        """Follow the coordinator, or replace it when it is lost."""
        if not self.is_first_start:
            await self._wait_until_read()
        self.last_contact_at = lease_clock()
        while True:
            if self.leadership is None:
                await self._find_coordinator(self.row)
            else:
                await asyncio.sleep(TERM_POLL_S)

    async def _wait_until_read(self) -> None:
        """Wait for the coordinator row, and a while for the tables."""
        while not self.has_read_coordinator_row:
            await asyncio.sleep(START_POLL_S)
        began_at = lease_clock()
        while lease_clock() < began_at + TABLES_WAIT_S:
            if self.relay.is_read():
                break
            await asyncio.sleep(START_POLL_S)

    async def _find_coordinator(self, row: CoordinatorRow | None) -> None:
        reason = self._takeover_reason(row)
        if row is not None and not reason:
            await self._follow_until_lost(row)
        elif self.is_stopping:
            # A host that is not stopping takes over.
            await asyncio.sleep(STORE_RETRY_S)
        else:
            await self.try_takeover(reason)

    def _takeover_reason(self, row: CoordinatorRow | None) -> str:
        """Return why the row calls for a takeover, or an empty string."""
        if row is None:
            return 'no coordinator'
        if row.nonce == self.nonce:
            return ''
        if row.is_leaving:
            return 'the coordinator is shutting down'
        is_own = row.address == self.address
        return 'an earlier run of this host coordinated' if is_own else ''

    async def _follow_until_lost(self, row: CoordinatorRow) -> None:
        reason = await self._follow_coordinator(row)
        if self.last_contact_term == row.term:
            self.last_contact_term = 0
            self.contact_lost_at = lease_clock()
        self.log.emit(
            Event.COORDINATOR_LOST,
            coordinator=row.host,
            term=row.term,
            reason=reason,
        )
        if row is not self.row:
            return
        if self.is_stopping:
            await asyncio.sleep(STORE_RETRY_S)
        else:
            await self._replace_coordinator(row, reason)

    async def _replace_coordinator(
        self, row: CoordinatorRow, reason: str
    ) -> None:
        """Take over unless other hosts have contact with the coordinator."""
        if 0 < self.failed_connects < MIN_FAILED_CONNECTS:
            await asyncio.sleep(STORE_RETRY_S)
            return
        peers = tuple(self.peers)
        hears, reaches_store = await asyncio.gather(
            asyncio.gather(*(self._ask_peer(peer, row.term) for peer in peers)),
            self._reaches_store(),
        )
        is_alone = is_isolated(
            dict(zip(peers, hears, strict=True)), row.address
        )
        self._set_cut_off(is_alone and not reaches_store)
        is_early = lease_clock() - self.contact_lost_at < ISOLATED_TAKEOVER_S
        if any(hears) or (is_early and is_alone):
            await asyncio.sleep(STORE_RETRY_S)
            await self._read_owners()
            return
        if row is self.row:
            await self.try_takeover(reason)

    async def _reaches_store(self) -> bool:
        """Probe the store if the coordinator did not answer at all.

        After a loss of most hosts the others still reach it, while a zone that
        is cut off does not.
        """
        if not self.failed_connects:
            return True
        try:
            async with asyncio.timeout(STORE_PROBE_S):
                await self.store.read(COORDINATOR_TABLE)
        except (PlatformError, TimeoutError):
            # The tasks that watch the platform's tables log an outage.
            return False
        return True

    def _set_cut_off(self, is_cut_off: bool) -> None:
        if is_cut_off != self.is_cut_off:
            self.is_cut_off = is_cut_off
            self.log.emit(
                Event.CUT_OFF_CHANGED,
                is_cut_off=is_cut_off,
                peers=len(self.peers),
                silent_s=round(lease_clock() - self.last_contact_at, 3),
            )

    async def _ask_peer(self, peer: str, term: int) -> bool | None:
        """Ask another host whether it has contact with the coordinator.

        :returns: ``None`` when the host cannot be reached.
        """
        if peer == self.address:
            return False
        heard = await ask_term(peer)
        return None if heard is None else heard == term

    async def _follow_coordinator(self, row: CoordinatorRow) -> str:
        """Stay connected to the coordinator; return why the link ended."""
        try:
            link = await connect(row.address)
        except PeerRefusedError as error:
            return error.reason
        except PeerError as error:
            self.failed_connects += 1
            return error.reason
        self.failed_connects = 0
        self.coordinator_link = link
        channel = self.forwarder.local_dispatch.open_channel(row.address)
        reporter = self.spawn_lasting(
            'report', partial(self._report, link, channel)
        )
        self.relay.start_receiving()
        try:
            link.send(
                {
                    'kind': 'hello',
                    'address': self.address,
                    'zone': self.zone,
                    'capacity': self.capacity,
                    'run': self.nonce,
                    'ready': self._has_read_tables(),
                    **encode_versions(self.relay.versions()),
                    **self.era_age(),
                },
            )
            while row is self.row or self.row is None:
                message = await link.receive(CONTACT_TIMEOUT_S)
                self._handle_message(row, message)
                receive_notices(channel, message)
                self._update_polling(link, message)
                self._acknowledge(link, message)
        except (PeerError, ValueError) as error:
            return str(error)
        finally:
            reporter.cancel()
            self._close_link(link)
        return 'the store names another coordinator'

    def _handle_message(self, row: CoordinatorRow, message: Message) -> None:
        kind = message.get('kind')
        if kind == 'beat':
            self._handle_heartbeat(row, message)
        elif kind == 'owners':
            pool = str(message.get('pool'))
            self.update_owners(pool, read_owners(message), message['whole'])
        elif kind == 'rows':
            self.relay.receive(message, is_from_coordinator=True)
        else:
            self._handle_hint(message)

    def _handle_hint(self, message: Message) -> None:
        kind = message.get('kind')
        if kind == 'yield' and not self.is_stopping:
            reason = 'the coordinator has too little capacity'
            self.spawn(self.try_takeover(reason, is_requested=True))
        elif kind == 'cold':
            self.registry.record_cold(
                loop_clock(),
                parse_incarnation(str(message['upstream'])),
                float(message['for']),
            )

    def _handle_heartbeat(self, row: CoordinatorRow, message: Message) -> None:
        if self.last_contact_term != row.term:
            self.log.emit(
                Event.COORDINATOR_LINKED,
                coordinator=row.host,
                term=row.term,
            )
        self.last_contact_at = lease_clock()
        self.last_contact_term = row.term
        self._set_cut_off(False)
        if message.get('grants', True):
            self.granting_contact_at = self.last_contact_at
            self.forwarder.lapsed_leases.clear()
        self._record_era_age(message)
        self._record_coordinator_tables(message)
        self._apply_hosts(message)
        was_stuck = self.is_coordinator_stuck
        self.is_coordinator_stuck = bool(message.get('stuck'))
        if self.is_coordinator_stuck and not was_stuck:
            self.spawn(self._replace_stuck_coordinator(row))

    def _record_coordinator_tables(self, message: Message) -> None:
        """Record how current the tables are that the coordinator relays."""
        is_store_lost = bool(message.get('store_lost'))
        if is_store_lost != self.is_store_lost_to_coordinator:
            self.is_store_lost_to_coordinator = is_store_lost
            self.relay.is_store_in_doubt = is_store_lost
            self.relay.reopen_polls('the store of the coordinator')
        ages = message.get('ages')
        if isinstance(ages, dict):
            self.relay.record_ages(
                loop_clock(),
                {str(table): float(age_s) for table, age_s in ages.items()},
            )

    def table_ages(self) -> dict[str, float]:
        """Return for how long each table was not known to be up to date."""
        return {
            table: round(min(age_s, MAX_SENT_AGE_S), 3)
            for table, age_s in self.relay.ages(loop_clock()).items()
        }

    def _close_link(self, link: HostLink) -> None:
        self.coordinator_link = None
        self.is_coordinator_stuck = False
        link.close()
        self.spawn(self._poll_after_silence())
        if self.leadership is None:
            self.relay.forward = discard_rows

    async def _poll_after_silence(self) -> None:
        """Poll the tables unless a coordinator is heard in time."""
        polls_at = self.last_contact_at + POLL_AFTER_SILENCE_S
        await asyncio.sleep(max(polls_at - lease_clock(), 0))
        if lease_clock() >= self.last_contact_at + POLL_AFTER_SILENCE_S:
            self.relay.set_relayed(False)

    def _update_polling(self, link: HostLink, message: Message) -> None:
        """Poll the tables for all hosts if chosen; else rely on updates."""
        watchers = message.get('watchers')
        if not isinstance(watchers, list):
            return
        if self.relay.forward is discard_rows:
            # By now the coordinator has sent the tables as it knows them.
            self.relay.start_forwarding(_forward_to(link))
        self.relay.is_watcher = self.address in watchers
        is_relayed = not self.relay.is_watcher and self.relay.is_read()
        self.relay.set_relayed(is_relayed)

    def _acknowledge(self, link: HostLink, message: Message) -> None:
        """Acknowledge the coordinator as one of its witnesses."""
        if message.get('kind') != 'acknowledge':
            return
        if message.get('era'):
            self.relay.ledger.record_era(int(message['era']))
        if self.promise.may_acknowledge(int(message['term'])):
            link.send({'kind': 'acknowledge', 'at': message['at']})

    async def _replace_stuck_coordinator(self, row: CoordinatorRow) -> None:
        """Replace a coordinator while it cannot write to the store.

        After an outage for all, it is given the time to write first: all hosts
        follow it, and a takeover would send the tables to each of them again.
        """
        grace_s = 0.0
        while self.is_coordinator_stuck and row is self.row:
            try:
                await self.read_coordinator_row()
            except PlatformError:
                grace_s = STUCK_GRACE_S
            else:
                await asyncio.sleep(grace_s)
                if self.is_coordinator_stuck and row is self.row:
                    reason = 'the coordinator cannot write'
                    await self.try_takeover(reason, is_requested=True)
            await asyncio.sleep(
                STUCK_TAKEOVER_PERIOD_S * (1 + self.rng.random())
            )

    def _apply_hosts(self, message: Message) -> None:
        hosts = message.get('hosts')
        if isinstance(hosts, list):
            self.update_hosts(
                {str(host): float(size) for host, size in hosts},
                dict(message.get('zones', {})),
            )

    def update_hosts(
        self, hosts: dict[str, float], zones: dict[str, str]
    ) -> None:
        """Update the hosts that dispatch, with their capacity and zone."""
        self.host_count = len(hosts)
        self.peers = choose_peers(hosts, self.address, self.rng)
        router = self.forwarder.reservation_router
        router.set_dispatching_hosts(hosts, zones)
        router.is_listed = True

    def update_owners(
        self,
        pool: str,
        ranges: list[OwnedRange],
        is_whole: bool,
    ) -> None:
        """Update owners of keys and dispatch requests that wait for them."""
        owners = self.forwarder.owner_map(pool)
        if is_whole:
            owners.reset(ranges)
        else:
            owners.update(ranges)
        self.forwarder.recheck_queued_requests(pool)

    async def _report(self, link: HostLink, channel: NoticeChannel) -> None:
        while True:
            await asyncio.sleep(REPORT_PERIOD_S)
            refs = refs_with_recent_requests(self.dispatchers, loop_clock())
            link.send(add_notices(channel, self._make_report(), refs))

    def _make_report(self) -> Message:
        return {
            'kind': 'report',
            'keys': {
                pool: list(counts.items())
                for pool, counts in self._pop_counts().items()
            },
            **describe_upstreams(self.dispatchers, loop_clock()),
            'ready': self._has_read_tables(),
            'leaving': self.is_stopping,
        }

    def _has_read_tables(self) -> bool:
        return self.relay.is_read() and self.registry.directory is not None

    async def _serve_peer(self, link: HostLink) -> None:
        """Serve a connection of another host."""
        self.peer_links.add(link)
        try:
            await self._serve_connection(
                link, await link.receive(CONTACT_TIMEOUT_S)
            )
        except (PeerError, ValueError, LookupError):
            # The other host logs the failure, and reconnects if it is alive.
            return
        finally:
            self.peer_links.discard(link)

    async def _serve_connection(self, link: HostLink, first: Message) -> None:
        kind = first.get('kind')
        if kind in {'ask', 'promise'}:
            era = int(first.get('era', self.store_era()))
            if kind == 'promise' and era < self.store_era():
                return  # the store may have lost the other host's takeover
            self.promise.refuse_up_to(int(first.get('term', 0)))
            leadership = self.leadership
            link.send(
                {
                    'kind': 'tell',
                    'hears': self._reachable_term(),
                    'leads': leadership.row.term if leadership else 0,
                    'nonce': self.nonce,
                    'promised': self.promise.term,
                },
            )
            # Leaves the other host time to read the answer and close the link.
            await asyncio.sleep(ANSWER_TIMEOUT_S)
        elif kind == 'places':
            await DispatchServer(self.forwarder.local_dispatch, link).run()
        elif kind == 'lead':
            self._apply_announcement(first)
        elif kind == 'hello':
            await self._serve_member(link, first)

    async def _await_own_term(self) -> Leadership | None:
        """Return this host's term, or ``None`` if it does not coordinate.

        Other hosts may read of a takeover before the store's answer arrives
        here. They would try to replace a coordinator that drops them.
        """
        ends_at = lease_clock() + CONTACT_TIMEOUT_S
        while self.leadership is None and self.takeovers.open_count:
            if lease_clock() >= ends_at:
                return None
            await asyncio.sleep(START_POLL_S)
        return self.leadership

    async def _serve_member(self, link: HostLink, hello: Message) -> None:
        leadership = await self._await_own_term()
        if leadership is None:
            return
        self._record_era_age(hello)
        address = str(hello['address'])
        member = Member(
            address,
            str(hello['zone']),
            float(hello['capacity']),
            str(hello['run']),
        )
        channel = self.forwarder.local_dispatch.open_channel(address)
        leadership.add_member(link, member)
        if hello.get('ready'):
            leadership.members.set_ready(link)
        versions = decode_versions(hello, self.relay.ledger.era)
        for line in self.relay.lines_since(versions):
            link.send_line(line)
        leadership.members.send_watchers(link)
        try:
            while not leadership.is_over:
                report = await link.receive(CONTACT_TIMEOUT_S)
                receive_notices(channel, report)
                self._handle_report(leadership, link, member, report)
                self._send_notices(link, channel)
        finally:
            leadership.members.drop(link)

    def _send_notices(self, link: HostLink, channel: NoticeChannel) -> None:
        """Send what upstreams reported to any host."""
        refs = self.forwarder.notices.notices
        message = add_notices(channel, {'kind': 'notices'}, refs)
        if 'notices' in message:
            link.send(message)

    def _handle_report(
        self,
        leadership: Leadership,
        link: HostLink,
        member: Member,
        report: Message,
    ) -> None:
        """Handle a message of a host that is connected to this coordinator."""
        if report['kind'] == 'rows':
            self.relay.receive(report)
            return
        if report['kind'] == 'acknowledge':
            at = float(report['at'])
            leadership.authority.record_acknowledgement(member.run, at)
            return
        if report.get('ready'):
            leadership.members.set_ready(link)
        if report.get('leaving'):
            leadership.members.set_leaving(link)
        apply_report(leadership, report)

    def _reachable_term(self) -> int:
        if self.leadership is not None and not self.leadership.is_stuck():
            return self.leadership.row.term
        if lease_clock() - self._last_received_at() < CONTACT_TIMEOUT_S:
            return self.last_contact_term
        return 0

    def _last_received_at(self) -> float:
        """Return when the coordinator last sent anything.

        Its heartbeats may wait behind a large message on a slow link.
        """
        link = self.coordinator_link
        received_at = link.received_at if link else float('-inf')
        return max(self.last_contact_at, received_at)

    def hears_coordinator(self) -> bool:
        """Return whether a coordinator that can renew leases is in contact."""
        if self.leadership is not None:
            return self.leadership.has_authority()
        return lease_clock() - self.granting_contact_at < CONTACT_TIMEOUT_S

    async def try_takeover(
        self, reason: str, *, is_requested: bool = False
    ) -> None:
        """Try to become the coordinator.

        :param is_requested: the present coordinator wants to be replaced.
        """
        await self.takeovers.attempt(reason, is_requested=is_requested)

    def begin_term(self, attempt: Takeover, version: StoreVersion) -> None:
        """Begin the term of a takeover that the store has accepted."""
        row, predecessor = attempt.row, attempt.predecessor
        if self.row_version > version:
            return
        if self.leadership is not None and self.leadership.row == row:
            # An attempt whose answer was slow, after another one has read its
            # row. Two terms would grant with the same fencing tokens.
            self._log_abandoned_term(row, 'this term has begun')
            return
        self.end_term('this host took over again')
        if not self.promise.may_acknowledge(row.term):
            # A successor asked for this term's end before its begin.
            self._log_abandoned_term(row, 'another host took over')
            return
        self.record_own_row(row, version)
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
        leadership.has_lost_rows = attempt.lost_over_at > LONG_AGO
        leadership.authority.record_confirmation(attempt.began_at)
        if predecessor is None:
            leadership.limit_predecessor(
                max(leadership.began_at, attempt.lost_over_at)
            )
        succession = Succession(
            leadership,
            predecessor,
            self.log,
            attempt.lost_over_at,
            self.earlier_eras_over_at(),
        )
        self.leadership = leadership
        self._set_cut_off(False)
        self.forwarder.lapsed_leases.clear()
        self.relay.set_relayed(False)
        self.relay.forward = leadership.members.send_rows
        self.relay.is_primary = True
        self.relay.is_store_in_doubt = False
        self.relay.reopen_polls('this host coordinates')
        addresses = set(self.forwarder.reservation_router.hosts)
        if predecessor is not None:
            addresses.add(predecessor.address)
        for address in addresses - {self.address}:
            self.spawn(self._announce_term(address, row, version))
        for name, start in (
            ('succession', succession.run),
            ('leadership', leadership.run),
            ('store check', partial(self._watch_store, leadership)),
            ('authority', partial(self._confirm_authority, leadership)),
            ('local report', partial(self._report_locally, leadership)),
        ):
            self.spawn_lasting(name, start)
        if self.is_row_restored():
            # The era was not known, or changed, when the row was written.
            self._restore_rows(leadership)

    def _log_abandoned_term(self, row: CoordinatorRow, reason: str) -> None:
        self.log.emit(
            Event.TAKEOVER,
            term=row.term,
            outcome='given up',
            reason=reason,
        )

    async def _announce_term(
        self,
        address: str,
        row: CoordinatorRow,
        version: StoreVersion,
    ) -> None:
        """Notify a host that may still follow the predecessor."""
        try:
            link = await connect(address)
        except PeerError:
            # The host reads the row from the store once it loses contact with
            # the predecessor.
            return
        link.send(
            {
                'kind': 'lead',
                'row': row.encode().decode(),
                'era': version.era,
                'version': version.number,
            },
        )
        await asyncio.sleep(ANSWER_TIMEOUT_S)
        link.close()

    def _apply_announcement(self, message: Message) -> None:
        value = str(message['row']).encode()
        name = COORDINATOR_ROW
        era = int(message.get('era', self.relay.ledger.era))
        if era:
            self.relay.ledger.record_era(era)
        version = StoreVersion(era, int(message['version']))
        row = StoredRow(name.table, name.key, value, version)
        self._apply_rows(TableState((row,), row.version))

    async def _report_locally(self, leadership: Leadership) -> None:
        while not leadership.is_over:
            await asyncio.sleep(REPORT_PERIOD_S)
            apply_report(leadership, self._make_report())

    def end_term(self, reason: str) -> None:
        """End this host's term if it is the coordinator."""
        leadership = self.leadership
        if leadership is None:
            return
        self.leadership = None
        leadership.is_over = True
        self.last_contact_at = lease_clock()
        self.relay.forward = discard_rows
        self.relay.is_primary = False
        for link in list(leadership.members.links):
            link.close()
        self.log.emit(
            Event.STEPPED_DOWN,
            term=leadership.row.term,
            reason=reason,
        )

    async def _read_owners(self) -> None:
        """Read the owners from the store while there is no coordinator."""
        now = lease_clock()
        if now - self.owners_read_at < OWNERS_PERIOD_S:
            return
        self.owners_read_at = now
        try:
            state = await self.store.read(OWNER_TABLE)
        except PlatformError:
            return
        for row in state.rows:
            stored = read_stored_owners(row, self.log)
            if not stored.ranges or stored.is_outdated():
                continue
            self.log.emit(
                Event.OWNERS_READ,
                pool=row.key,
                ranges=len(stored.ranges),
                row_version=row.version,
            )
            owned = [
                OwnedRange(keys.first, keys.last, keys.owner)
                for keys in stored.ranges
            ]
            self.update_owners(row.key, owned, True)

    async def stop(self) -> None:
        """Ask for a successor, and coordinate until there is one.

        No host can take over during an outage of the store. This host then
        coordinates until its process ends, and the leases outlast it a little.
        """
        self.is_stopping = True
        leadership = self.leadership
        if leadership is None:
            return
        while not leadership.is_ready_for_takeover(lease_clock()):
            leadership.prepare_takeover(lease_clock())
            await asyncio.sleep(START_POLL_S)
        leadership.mark_leaving()
        while self.leadership is leadership:
            if self.row is None or not self.row.is_leaving:
                await self._announce_leaving(leadership)
            await asyncio.sleep(STORE_RETRY_S)

    async def _announce_leaving(self, leadership: Leadership) -> None:
        row = replace(leadership.row, is_leaving=True)
        outcome = 'stored'
        try:
            await self.store.commit(
                {COORDINATOR_ROW: leadership.row_version},
                {COORDINATOR_ROW: row.encode()},
            )
        except PlatformError as error:
            outcome = str(error)
        self.log.emit(
            Event.TAKEOVER,
            term=row.term,
            outcome=outcome,
            reason='this host is shutting down',
        )


def _forward_to(link: HostLink) -> Forward:
    """Return a function that sends changed rows over a connection."""

    def forward(
        table: str, rows: list[StoredRow], version: StoreVersion
    ) -> None:
        link.send(encode_rows(table, rows, version))

    return forward
