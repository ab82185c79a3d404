"""Simulated hosts that run the real state machines of the decision core."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from oriolearch.core.authority import (
    Authority,
    AuthorityGained,
    Effects,
    PromiseReceived,
    ReadRows,
    RequestPromise,
    RowsRead,
    choose_successors,
)
from oriolearch.core import coordinator as coordination
from oriolearch.core.coordinator import Coordinator, HintSegment, ReadSegment
from oriolearch.core.errors import InvariantError
from oriolearch.core.grants import (
    Renewer,
    ServerAnswer,
    ServerKey,
    ServerRefusal,
)
from oriolearch.core.messages import (
    AuthorityKey,
    PromiseAnswer,
    PromiseRequest,
    RenewalReport,
    Revision,
    Segment,
)
from oriolearch.core.model import (
    Document,
    Fencing,
    HostRef,
    Mobility,
    Pool,
    PoolKind,
    Upstream,
    subtract_clock_margin,
)
from oriolearch.core.rows import (
    AUTHORITY_TABLE,
    LEASE_TABLE,
    SEGMENT_TABLE,
    Commit,
    StoredRow,
    row_key,
)
from oriolearch.core.segments import SegmentKey, segment_row_key
from oriolearch.simulated_servers import (
    BalancedPlanner,
    KeyedServer,
    OwnershipLedger,
)
from oriolearch.simulation import (
    TICK_S,
    CommitEvent,
    Process,
    Simulation,
    TableModel,
)

HEARTBEAT_PERIOD_S = 0.2
PEER_TIMEOUT_S = 2.0  # a successor without contact is replaced after this
RETURN_DELAY_S = 3.0  # a recovered zone gets its authority back after this
SUCCESSORS_PER_ZONE = 2
SYNC_PERIOD_S = 0.2
MEMBER_TIMEOUT_S = 0.6  # renewing moves to another host after this
SERVERS_PER_ZONE = 2
SEGMENTS_PER_ZONE = 1


@dataclass(frozen=True, slots=True)
class StateMachines:
    """The state machine classes of hosts; tests use faulty subclasses."""

    authority: type[Authority] = Authority
    coordinator: type[Coordinator] = Coordinator
    renewer: type[Renewer] = Renewer
    server: type[KeyedServer] = KeyedServer


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """State that a host reports periodically to all others.

    :param terms: term of each authority that the host holds.
    :param working: ``(pool, zone)`` of the pools with working servers.
    """

    ref: HostRef
    zone: str
    terms: tuple[tuple[AuthorityKey, int], ...]
    working: tuple[tuple[str, str], ...]
    document: Document


def make_document(zones: Iterable[str]) -> Document:
    """Return a document with one pool per fencing and mobility.

    Each pool has servers in all zones.
    """
    zones = tuple(zones)
    kinds = (
        ('checked', Fencing.CHECKED, Mobility.MOVABLE),
        ('unchecked', Fencing.NONE, Mobility.MOVABLE),
        ('pinned', Fencing.CHECKED, Mobility.PINNED),
    )
    pools = {}
    for name, fencing, mobility in kinds:
        servers = tuple(
            Upstream(f'{name}-{zone}{number}', '', zone)
            for zone in zones
            for number in range(SERVERS_PER_ZONE)
        )
        pools[name] = Pool(
            name,
            PoolKind.KEYED,
            servers,
            len(zones) * SEGMENTS_PER_ZONE * 256,
            fencing,
            mobility,
        )
    return Document(1, pools=MappingProxyType(pools))


@dataclass(slots=True)
class PeerRecord:
    """A host's record of another host, from its heartbeats."""

    ref: HostRef
    zone: str
    first_contact_at: float
    last_contact_at: float


class Cluster:
    """All hosts of a simulated deployment."""

    def __init__(
        self,
        simulation: Simulation,
        zones: tuple[str, ...],
        hosts_per_zone: int,
        state_machines: StateMachines,
    ) -> None:
        self.simulation = simulation
        self.zones = zones
        self.state_machines = state_machines
        self.table = TableModel()
        self.ledger = OwnershipLedger(simulation, self.table)
        self.document = make_document(zones)
        self.hot_keys: dict[str, dict[str, float]] = {}
        self.servers = {
            (pool.name, upstream.name): state_machines.server(
                self.ledger,
                pool.name,
                upstream.name,
                upstream.zone,
            )
            for pool in self.document.pools.values()
            for upstream in pool.upstreams
        }
        self.hosts: dict[str, HostProcess] = {}
        self.incarnations: dict[str, int] = {}
        self.zone_of: dict[str, str] = {}
        self.all_hosts: list[HostProcess] = []
        for zone in zones:
            for number in range(hosts_per_zone):
                name = f'{zone}{number}'
                self.zone_of[name] = zone
                self.start(name)

    def start(self, name: str) -> None:
        """Start a host with a new incarnation; no effect while it runs."""
        running = self.hosts.get(name)
        if running is not None and running.is_alive:
            return
        incarnation = self.incarnations.get(name, 0) + 1
        self.incarnations[name] = incarnation
        host = HostProcess(self, HostRef(name, incarnation))
        self.hosts[name] = host
        self.all_hosts.append(host)
        host.boot()

    def kill(self, name: str) -> None:
        """Stop a host without a graceful shutdown."""
        self.hosts[name].is_alive = False

    def edit(self, document: Document, name: str) -> None:
        """Apply an edit on one host, which sends it to the others."""
        version = self.document.version + 1
        self.document = replace(document, version=version)
        host = self.hosts[name]
        edited = self.document
        host.deliver(lambda: host.configure(edited))

    def adopter_zone(self, zone: str) -> str:
        """Return the zone whose hosts may adopt a zone's shards."""
        index = self.zones.index(zone)
        return self.zones[(index + 1) % len(self.zones)]

    def keys(self) -> list[AuthorityKey]:
        """Return the keys of all authorities."""
        return [
            AuthorityKey(zone, mob) for zone in self.zones for mob in Mobility
        ]

    def candidate_zones(self, key: AuthorityKey) -> tuple[str, ...]:
        """Return the zones whose hosts may hold an authority."""
        if key.mobility is Mobility.PINNED or len(self.zones) == 1:
            return (key.zone,)
        return (key.zone, self.adopter_zone(key.zone))

    def send(
        self,
        sender: 'HostProcess',
        target: HostRef,
        action: Callable[['HostProcess'], None],
    ) -> None:
        """Send a message to the current incarnation of a host."""
        zone = self.zone_of[target.host]

        def arrive() -> None:
            host = self.hosts[target.host]
            if not self.simulation.faults.is_cut(sender.zone, zone):
                host.deliver(lambda: action(host))

        self.simulation.transmit(sender.zone, zone, arrive)


@dataclass(slots=True)
class RoutingTable:
    """A host's segments, and the end of the permits to use them (G4).

    :param revisions: newest applied revision of each authority.
    """

    host: 'HostProcess'
    segments: dict[SegmentKey, Segment] = field(default_factory=dict)
    revisions: dict[AuthorityKey, Revision] = field(default_factory=dict)
    permit_ends: dict[AuthorityKey, float] = field(default_factory=dict)

    def apply_share(
        self, share: coordination.Share, requested_at: float
    ) -> None:
        """Apply the answer to a sync unless it is older than the last."""
        permit = share.permit
        key = permit.authority
        revision = self.revisions.get(key, Revision(0, 0))
        if permit.revision < revision:
            return
        end = requested_at + subtract_clock_margin(permit.duration_s)
        if permit.revision == revision:
            end = max(end, self.permit_ends.get(key, 0.0))
        self.revisions[key] = permit.revision
        self.permit_ends[key] = end
        for segment in share.segments:
            segment_key = segment.pool, segment.index
            old = self.segments.get(segment_key)
            # An equal version is applied only from the segment's home.
            is_own = segment.home == key
            if old is None or segment.version > old.version - is_own:
                self.segments[segment_key] = segment
        self.report_routes(key, end)

    def report_routes(self, key: AuthorityKey, end: float) -> None:
        """Report to the ledger the segments this host may route by."""
        now = self.host.clock()
        if end <= now:
            return
        ledger = self.host.cluster.ledger
        true_end = self.host.simulation.now + (end - now) / self.host.rate
        for segment in self.segments.values():
            pool = self.host.cluster.document.pools[segment.pool]
            if segment.home == key and pool.fencing is Fencing.NONE:
                ledger.record_permit(segment, true_end, pool.order_limit_s)


class HostProcess(Process):
    """The process of a host, with its authorities and renewers.

    :ivar holders: newest reported term and holder of each authority.
    :ivar working_since: first and last time of the current series of reports
        that a ``(pool, zone)`` has working servers.
    """

    def __init__(self, cluster: Cluster, ref: HostRef) -> None:
        zone = cluster.zone_of[ref.host]
        super().__init__(cluster.simulation, cluster.table, ref, zone)
        self.cluster = cluster
        self.peers: dict[str, PeerRecord] = {}
        self.is_stopping = False
        self.last_heartbeat = 0.0
        self.last_sync = 0.0
        self.nonces = 0
        self.document = Document()
        self.holders: dict[AuthorityKey, tuple[int, HostRef]] = {}
        self.working_since: dict[tuple[str, str], tuple[float, float]] = {}
        self.routing_table = RoutingTable(self)
        self.renewers: dict[ServerKey, Renewer] = {}
        self.authorities = {
            key: cluster.state_machines.authority(
                key,
                ref,
                self.nonce,
                is_home=key.zone == zone,
            )
            for key in cluster.keys()
            if zone in cluster.candidate_zones(key)
        }

    def boot(self) -> None:
        """Create the coordinators and start the timer at a random phase."""
        self.coordinators = {
            key: self.cluster.state_machines.coordinator(
                authority,
                self.zone,
                BalancedPlanner(),
                self.nonce,
            )
            for key, authority in self.authorities.items()
        }
        self.configure(self.cluster.document)
        self.simulation.after(
            self.simulation.rng.uniform(0, TICK_S), self.timer
        )

    def configure(self, document: Document) -> None:
        """Apply a newer configuration."""
        if document.version <= self.document.version:
            return
        self.document = document
        for coordinator in self.coordinators.values():
            coordinator.configure(document)
            if coordinator.document.version < document.version:
                raise InvariantError('configuration-grows', repr(self.ref))

    def timer(self) -> None:
        """Run the state machines unless the process is paused."""
        if not self.is_alive:
            return
        self.simulation.after(TICK_S, self.timer)
        if not self.is_paused:
            self.deliver(lambda: self.tick(self.clock()))

    def nonce(self) -> str:
        """Return a transaction nonce that is unique to this process."""
        self.nonces += 1
        return f'{self.ref.host}.{self.ref.incarnation}.{self.nonces}'

    def tick(self, now: float) -> None:
        """Run the periodic work of all state machines."""
        if now >= self.last_heartbeat + HEARTBEAT_PERIOD_S:
            self.last_heartbeat = now
            self.send_heartbeats()
            for key, authority in self.authorities.items():
                authority.wanted_successors = self.choose_successors(key, now)
                self.return_adopted(authority, now)
                self.update_coordinator(self.coordinators[key], now)
        for authority in self.authorities.values():
            self.run_authority_effects(authority, authority.tick(now))
        for coordinator in self.coordinators.values():
            self.run_coordinator_effects(coordinator, coordinator.tick(now))
        for renewer in self.renewers.values():
            self.renew(renewer, now)
        if now >= self.last_sync + SYNC_PERIOD_S:
            self.last_sync = now
            self.synchronise(now)
        if self.is_stopping:
            self.try_stop()

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all hosts, this one included."""
        now = self.clock()
        terms = []
        working: list[tuple[str, str]] = []
        for key, authority in self.authorities.items():
            term = authority.term(now)
            if term is not None:
                terms.append((key, term))
                pools = self.coordinators[key].working_pools(now)
                working.extend((pool, key.zone) for pool in sorted(pools))
        message = Heartbeat(
            self.ref,
            self.zone,
            tuple(terms),
            tuple(working),
            self.document,
        )
        self.receive_heartbeat(message)

        def arrive(host: HostProcess) -> None:
            host.receive_heartbeat(message)

        for name, host in self.cluster.hosts.items():
            if name != self.ref.host:
                self.cluster.send(self, host.ref, arrive)

    def receive_heartbeat(self, message: Heartbeat) -> None:
        """Apply a heartbeat unless it is of an earlier incarnation."""
        now = self.clock()
        ref = message.ref
        record = self.peers.get(ref.host)
        if record is not None and record.ref > ref:
            return
        is_new = record is None or record.ref < ref
        if (
            record is None
            or is_new
            or now > record.last_contact_at + PEER_TIMEOUT_S
        ):
            self.peers[ref.host] = PeerRecord(ref, message.zone, now, now)
        else:
            record.last_contact_at = now
        self.configure(message.document)
        for key, term in message.terms:
            if (term, ref) > self.holders.get(key, (0, ref)):
                self.holders[key] = term, ref
                self.last_sync = now - SYNC_PERIOD_S
        for home in message.working:
            since, last = self.working_since.get(home, (now, now))
            is_continuous = now < last + PEER_TIMEOUT_S
            self.working_since[home] = (since if is_continuous else now, now)

    def live_peers(
        self,
        zone: str,
        now: float,
        settled_s: float = 0,
        timeout_s: float = PEER_TIMEOUT_S,
    ) -> list[HostRef]:
        """Return the other hosts of a zone with a recent heartbeat.

        :param settled_s: least time since the first heartbeat.
        :param timeout_s: time without a heartbeat after which a host is
            left out.
        """
        return sorted(
            peer.ref
            for peer in self.peers.values()
            if peer.zone == zone
            and peer.ref != self.ref
            and now < peer.last_contact_at + timeout_s
            and now >= peer.first_contact_at + settled_s
        )

    def choose_successors(
        self, key: AuthorityKey, now: float
    ) -> tuple[HostRef, ...]:
        """Choose the successors to name if this host holds the authority."""
        chosen: list[HostRef] = []
        authority = self.authorities[key]
        row = authority.rows.authority
        current = row.successors if row else ()
        for zone in self.cluster.candidate_zones(key):
            in_zone = [
                successor
                for successor in current
                if self.cluster.zone_of[successor.host] == zone
                and successor.host != self.ref.host
            ]
            chosen.extend(
                choose_successors(
                    in_zone, self.live_peers(zone, now), SUCCESSORS_PER_ZONE
                ),
            )
        return tuple(chosen)

    def return_adopted(self, authority: Authority, now: float) -> None:
        """Hand an adopted authority back to its zone."""
        if authority.key.zone == self.zone or not authority.is_valid(now):
            return
        zone = authority.key.zone
        peers = self.live_peers(zone, now, RETURN_DELAY_S, MEMBER_TIMEOUT_S)
        if peers:
            authority.hand_over(peers[0], authority.wanted_successors)

    def update_coordinator(self, coordinator: Coordinator, now: float) -> None:
        """Pass the current members, hot keys and homes to a coordinator."""
        coordinator.members = tuple(
            sorted(
                peer.ref
                for peer in self.peers.values()
                if peer.zone == coordinator.key.zone
                and now < peer.last_contact_at + MEMBER_TIMEOUT_S
            ),
        )
        coordinator.hot_keys = self.cluster.hot_keys
        coordinator.working_since = {
            home: since
            for home, (since, last) in self.working_since.items()
            if now < last + PEER_TIMEOUT_S
        }

    def run_coordinator_effects(
        self,
        coordinator: Coordinator,
        effects: Iterable[coordination.Effect],
    ) -> None:
        """Perform the effects of a coordinator."""

        def done(event: CommitEvent) -> None:
            self.run_coordinator_effects(
                coordinator,
                coordinator.handle(event, self.clock()),
            )

        for effect in effects:
            if isinstance(effect, Commit):
                self.commit(effect, done)
            elif isinstance(effect, HintSegment):
                self.hint(coordinator, effect)
            elif isinstance(effect, ReadSegment):
                self.read_segment(coordinator, effect.segment)
            else:
                self.scan_segments(coordinator)

    def hint(self, sender: Coordinator, effect: HintSegment) -> None:
        """Notify another coordinator that it is home to a segment."""

        def arrive(host: HostProcess) -> None:
            target = host.coordinators.get(effect.home)
            if target is None:
                return
            now = host.clock()
            if target.holds(effect.segment, now):
                self.cluster.send(
                    host,
                    self.ref,
                    lambda _: sender.receive_acknowledgement(
                        effect.segment, effect.home
                    ),
                )
            host.run_coordinator_effects(
                target, target.receive_hint(effect.segment, now)
            )

        if effect.home in self.holders:
            self.cluster.send(self, self.holders[effect.home][1], arrive)

    def read_segment(self, coordinator: Coordinator, key: SegmentKey) -> None:
        """Read one segment row."""
        self.read(
            [(SEGMENT_TABLE, segment_row_key(key))],
            lambda rows: coordinator.read(key, rows[0], self.clock()),
        )

    def scan_segments(self, coordinator: Coordinator) -> None:
        """Read all segment rows."""
        requested_at = self.clock()

        def arrive(rows: dict[str, StoredRow]) -> None:
            coordinator.apply_scan(requested_at, rows, self.clock())

        self.scan(SEGMENT_TABLE, arrive)

    def renew(self, renewer: Renewer, now: float) -> None:
        """Send the next message of a renewer and handle the answer."""
        effect = renewer.tick(now)
        if effect is None:
            return
        server = self.cluster.servers[renewer.pool, renewer.server]
        message = effect

        def handle_answer(event: ServerAnswer | ServerRefusal) -> None:
            if isinstance(event, ServerAnswer):
                renewer.receive_answer(event, self.clock())
            else:
                renewer.receive_refusal(event)

        def reply(event: ServerAnswer | ServerRefusal) -> None:
            self.simulation.transmit(
                server.zone,
                self.zone,
                lambda: self.deliver(lambda: handle_answer(event)),
            )

        self.simulation.transmit(
            self.zone,
            server.zone,
            lambda: server.deliver(lambda: server.receive(message, now, reply)),
        )

    def synchronise(self, now: float) -> None:
        """Send renewal reports to each coordinator and request its changes."""
        reports: dict[AuthorityKey, list[RenewalReport]] = {}
        for renewer in self.renewers.values():
            report = renewer.report(now)
            if report is not None:
                reports.setdefault(report.authority, []).append(report)
        for key, (_, holder) in self.holders.items():
            self.request_share(key, holder, tuple(reports.get(key, ())))

    def request_share(
        self,
        key: AuthorityKey,
        holder: HostRef,
        reports: tuple[RenewalReport, ...],
    ) -> None:
        """Send renewal reports to one coordinator and request its share."""
        requested_at = self.clock()
        revision = self.routing_table.revisions.get(key)

        def arrive(host: HostProcess) -> None:
            coordinator = host.coordinators.get(key)
            if coordinator is None:
                return
            for report in reports:
                coordinator.apply_report(self.ref, report, host.clock())
            share = coordinator.share(self.ref, revision, host.clock())
            if share is not None:
                self.cluster.send(
                    host,
                    self.ref,
                    lambda target: target.receive_share(
                        self.ref, share, requested_at
                    ),
                )

        self.cluster.send(self, holder, arrive)

    def receive_share(
        self,
        ref: HostRef,
        share: coordination.Share,
        requested_at: float,
    ) -> None:
        """Apply the answer to a sync that this incarnation requested."""
        if ref != self.ref:
            return
        for mandate in share.mandates:
            server_key = mandate.pool, mandate.server
            if server_key not in self.renewers:
                pool = self.cluster.document.pools[mandate.pool]
                self.renewers[server_key] = self.cluster.state_machines.renewer(
                    *server_key,
                    is_checked=pool.fencing is Fencing.CHECKED,
                )
            self.renewers[server_key].record_mandate(mandate, requested_at)
        self.routing_table.apply_share(share, requested_at)

    def run_authority_effects(
        self, authority: Authority, effects: Effects
    ) -> None:
        """Perform the effects of an authority."""
        for effect in effects:
            if isinstance(effect, ReadRows):
                self.read_rows(authority)
            elif isinstance(effect, Commit):
                self.commit_for(authority, effect)
            elif isinstance(effect, RequestPromise):
                self.request_promise(authority, effect)
            elif isinstance(effect, AuthorityGained):
                self.send_heartbeats()

    def read_rows(self, authority: Authority) -> None:
        """Read the lease row, then the authority row."""

        def done(rows: list[StoredRow]) -> None:
            event = RowsRead(rows[1], rows[0])
            self.run_authority_effects(
                authority, authority.handle(event, self.clock())
            )

        name = row_key(authority.key)
        self.read([(LEASE_TABLE, name), (AUTHORITY_TABLE, name)], done)

    def commit_for(self, authority: Authority, commit: Commit) -> None:
        """Issue a transaction of an authority and handle its outcome."""
        self.commit(
            commit,
            lambda event: self.run_authority_effects(
                authority,
                authority.handle(event, self.clock()),
            ),
        )

    def request_promise(
        self, authority: Authority, effect: RequestPromise
    ) -> None:
        """Send a promise request and handle the answer."""
        requested_at = self.clock()

        def handle_answer(holder: HostProcess, answer: PromiseAnswer) -> None:
            if holder is not self:
                return
            event = PromiseReceived(answer, requested_at, self.clock())
            self.run_authority_effects(
                authority, authority.receive_promise(event)
            )

        def arrive(successor: HostProcess) -> None:
            if successor.ref == effect.taker:
                answer = successor.promise(effect.request)
                self.cluster.send(
                    successor,
                    self.ref,
                    lambda holder: handle_answer(holder, answer),
                )

        self.cluster.send(self, effect.taker, arrive)

    def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Answer a promise request of an authority's holder."""
        authority = self.authorities[request.authority]
        return authority.promise(request, self.clock())

    def try_stop(self) -> None:
        """Renounce and hand over all authorities, then stop."""
        now = self.clock()
        is_done = True
        for authority in self.authorities.values():
            is_done = authority.renounce() and is_done
            if authority.holder is None:
                continue
            is_done = False
            successors = [
                successor
                for successor in authority.holder.successors
                if successor
                in self.live_peers(self.cluster.zone_of[successor.host], now)
            ]
            if successors:
                authority.hand_over(successors[0], authority.wanted_successors)
        if is_done:
            self.is_alive = False
