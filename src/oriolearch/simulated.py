"""Simulated hosts that run the real state machines of the decision core."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from types import MappingProxyType

from oriolearch.core.authority import (
    AskPromise,
    Authority,
    Effects,
    Gained,
    Promised,
    ReadRows,
    RowsRead,
    choose_takers,
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
    shortened,
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
from oriolearch.simulated_servers import BalancedPlanner, KeyedServer, Ledger
from oriolearch.simulation import (
    TICK_S,
    CommitEvent,
    Process,
    Simulation,
    TableModel,
)

HELLO_PERIOD_S = 0.2
SILENCE_S = 2.0  # then a taker is replaced
RETURN_DELAY_S = 3.0  # a zone that is back gets its authority after this time
TAKERS_PER_ZONE = 2
SYNC_PERIOD_S = 0.2
MEMBER_SILENCE_S = 0.6  # then another host is charged with renewing
SERVERS_PER_ZONE = 2
SEGMENTS_PER_ZONE = 1


@dataclass(frozen=True, slots=True)
class Strategy:
    """The state machines that hosts run; tests replace them by faulty ones."""

    authority: type[Authority] = Authority
    coordinator: type[Coordinator] = Coordinator
    renewer: type[Renewer] = Renewer
    server: type[KeyedServer] = KeyedServer


@dataclass(frozen=True, slots=True)
class Hello:
    """What a host tells all others.

    :param holds: term of each authority that it holds.
    :param working: pools with working servers, by zone.
    """

    ref: HostRef
    zone: str
    holds: tuple[tuple[AuthorityKey, int], ...]
    working: tuple[tuple[str, str], ...]
    document: Document


def make_document(zones: Iterable[str]) -> Document:
    """Give pools of each class with servers in all zones."""
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
class Heard:
    """What a host knows of another one."""

    ref: HostRef
    zone: str
    since: float
    last: float


class Cluster:
    """All hosts of a simulated deployment."""

    def __init__(
        self,
        world: Simulation,
        zones: tuple[str, ...],
        hosts_per_zone: int,
        strategy: Strategy,
    ) -> None:
        self.world = world
        self.zones = zones
        self.strategy = strategy
        self.table = TableModel()
        self.ledger = Ledger(world, self.table)
        self.document = make_document(zones)
        self.hot_keys: dict[str, dict[str, float]] = {}
        self.servers = {
            (pool.name, upstream.name): strategy.server(
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
        """End a host without notice."""
        self.hosts[name].is_alive = False

    def edit(self, document: Document, name: str) -> None:
        """Accept an edit on a host; it spreads from there."""
        version = self.document.version + 1
        self.document = replace(document, version=version)
        host = self.hosts[name]
        edited = self.document
        host.deliver(lambda: host.configure(edited))

    def adopter_zone(self, zone: str) -> str:
        """Give the zone whose hosts may adopt another zone's shards."""
        index = self.zones.index(zone)
        return self.zones[(index + 1) % len(self.zones)]

    def keys(self) -> list[AuthorityKey]:
        """Give all authorities."""
        return [
            AuthorityKey(zone, mob) for zone in self.zones for mob in Mobility
        ]

    def candidates(self, key: AuthorityKey) -> tuple[str, ...]:
        """Give the zones whose hosts may hold an authority."""
        if key.mobility is Mobility.PINNED or len(self.zones) == 1:
            return (key.zone,)
        return (key.zone, self.adopter_zone(key.zone))

    def send(
        self,
        sender: 'HostProcess',
        target: HostRef,
        action: Callable[['HostProcess'], None],
    ) -> None:
        """Send a message to the incarnation that runs on a host."""
        zone = self.zone_of[target.host]

        def arrive() -> None:
            host = self.hosts[target.host]
            if not self.world.weather.is_cut(sender.zone, zone):
                host.deliver(lambda: action(host))

        self.world.transmit(sender.zone, zone, arrive)


@dataclass(slots=True)
class Router:
    """What a host knows of segments, and until when it may use it (G4).

    :param known: newest revision of each authority that was taken in.
    """

    host: 'HostProcess'
    segments: dict[SegmentKey, Segment] = field(default_factory=dict)
    known: dict[AuthorityKey, Revision] = field(default_factory=dict)
    permit_ends: dict[AuthorityKey, float] = field(default_factory=dict)

    def take(self, share: coordination.Share, asked: float) -> None:
        """Take in an answer unless a newer revision is known."""
        permit = share.permit
        key = permit.authority
        known = self.known.get(key, Revision(0, 0))
        if permit.revision < known:
            return
        end = asked + shortened(permit.duration_s)
        if permit.revision == known:
            end = max(end, self.permit_ends.get(key, 0.0))
        self.known[key] = permit.revision
        self.permit_ends[key] = end
        for segment in share.segments:
            name = segment.pool, segment.index
            old = self.segments.get(name)
            is_own = segment.home == key
            if old is None or segment.version > old.version - is_own:
                self.segments[name] = segment
        self.check(key, end)

    def check(self, key: AuthorityKey, end: float) -> None:
        """Report to the ledger what this host may send."""
        now = self.host.clock()
        if end <= now:
            return
        ledger = self.host.cluster.ledger
        true_end = self.host.world.now + (end - now) / self.host.rate
        for segment in self.segments.values():
            pool = self.host.cluster.document.pools[segment.pool]
            if segment.home == key and pool.fencing is Fencing.NONE:
                ledger.routed(segment, true_end, pool.order_limit_s)


class HostProcess(Process):
    """One process of the system with its authorities."""

    def __init__(self, cluster: Cluster, ref: HostRef) -> None:
        zone = cluster.zone_of[ref.host]
        super().__init__(cluster.world, cluster.table, ref, zone)
        self.cluster = cluster
        self.heard: dict[str, Heard] = {}
        self.is_stopping = False
        self.last_hello = 0.0
        self.last_sync = 0.0
        self.nonces = 0
        self.document = Document()
        self.holders: dict[AuthorityKey, tuple[int, HostRef]] = {}
        self.homes: dict[tuple[str, str], tuple[float, float]] = {}
        self.router = Router(self)
        self.renewers: dict[ServerKey, Renewer] = {}
        self.authorities = {
            key: cluster.strategy.authority(
                key,
                ref,
                self.nonce,
                is_home=key.zone == zone,
            )
            for key in cluster.keys()
            if zone in cluster.candidates(key)
        }

    def boot(self) -> None:
        """Start the timer, at a random phase."""
        self.coordinators = {
            key: self.cluster.strategy.coordinator(
                authority,
                self.zone,
                BalancedPlanner(),
                self.nonce,
            )
            for key, authority in self.authorities.items()
        }
        self.configure(self.cluster.document)
        self.world.after(self.world.rng.uniform(0, TICK_S), self.timer)

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
        """Run the periodic work unless the process is paused."""
        if not self.is_alive:
            return
        self.world.after(TICK_S, self.timer)
        if not self.is_paused:
            self.deliver(lambda: self.tick(self.clock()))

    def nonce(self) -> str:
        """Give a name of a transaction that no other process gives."""
        self.nonces += 1
        return f'{self.ref.host}.{self.ref.incarnation}.{self.nonces}'

    def tick(self, now: float) -> None:
        """Run all state machines once."""
        if now >= self.last_hello + HELLO_PERIOD_S:
            self.last_hello = now
            self.say_hello()
            for key, authority in self.authorities.items():
                authority.wanted_takers = self.choose(key, now)
                self.guide(authority, now)
                self.inform(self.coordinators[key], now)
        for authority in self.authorities.values():
            self.perform(authority, authority.tick(now))
        for coordinator in self.coordinators.values():
            self.coordinate(coordinator, coordinator.tick(now))
        for renewer in self.renewers.values():
            self.renew(renewer, now)
        if now >= self.last_sync + SYNC_PERIOD_S:
            self.last_sync = now
            self.synchronise(now)
        if self.is_stopping:
            self.try_stop()

    def say_hello(self) -> None:
        """Tell all other hosts what this one knows."""
        now = self.clock()
        holds = []
        working: list[tuple[str, str]] = []
        for key, authority in self.authorities.items():
            term = authority.term(now)
            if term is not None:
                holds.append((key, term))
                pools = self.coordinators[key].working_pools(now)
                working.extend((pool, key.zone) for pool in sorted(pools))
        message = Hello(
            self.ref,
            self.zone,
            tuple(holds),
            tuple(working),
            self.document,
        )
        self.hear(message)

        def arrive(host: HostProcess) -> None:
            host.hear(message)

        for name, host in self.cluster.hosts.items():
            if name != self.ref.host:
                self.cluster.send(self, host.ref, arrive)

    def hear(self, message: Hello) -> None:
        """Take in what another host says."""
        now = self.clock()
        ref = message.ref
        known = self.heard.get(ref.host)
        if known is not None and known.ref > ref:
            return
        is_new = known is None or known.ref < ref
        if known is None or is_new or now > known.last + SILENCE_S:
            self.heard[ref.host] = Heard(ref, message.zone, now, now)
        else:
            known.last = now
        self.configure(message.document)
        for key, term in message.holds:
            if (term, ref) > self.holders.get(key, (0, ref)):
                self.holders[key] = term, ref
                self.last_sync = now - SYNC_PERIOD_S
        for home in message.working:
            since, last = self.homes.get(home, (now, now))
            is_kept = now < last + SILENCE_S
            self.homes[home] = (since if is_kept else now, now)

    def live(
        self,
        zone: str,
        now: float,
        settled_s: float = 0,
        silence_s: float = SILENCE_S,
    ) -> list[HostRef]:
        """Give the other hosts of a zone that were heard of lately."""
        return sorted(
            heard.ref
            for heard in self.heard.values()
            if heard.zone == zone
            and heard.ref != self.ref
            and now < heard.last + silence_s
            and now >= heard.since + settled_s
        )

    def choose(self, key: AuthorityKey, now: float) -> tuple[HostRef, ...]:
        """Choose the takers to name if this host holds the authority."""
        chosen: list[HostRef] = []
        authority = self.authorities[key]
        row = authority.rows.authority
        current = row.takers if row else ()
        for zone in self.cluster.candidates(key):
            inside = [
                taker
                for taker in current
                if self.cluster.zone_of[taker.host] == zone
                and taker.host != self.ref.host
            ]
            chosen.extend(
                choose_takers(inside, self.live(zone, now), TAKERS_PER_ZONE),
            )
        return tuple(chosen)

    def guide(self, authority: Authority, now: float) -> None:
        """Give an adopted authority back to its zone."""
        if authority.key.zone == self.zone or not authority.is_valid(now):
            return
        zone = authority.key.zone
        back = self.live(zone, now, RETURN_DELAY_S, MEMBER_SILENCE_S)
        if back:
            authority.hand_over(back[0], authority.wanted_takers)

    def inform(self, coordinator: Coordinator, now: float) -> None:
        """Give a coordinator what this host knows of the others."""
        coordinator.members = tuple(
            sorted(
                heard.ref
                for heard in self.heard.values()
                if heard.zone == coordinator.key.zone
                and now < heard.last + MEMBER_SILENCE_S
            ),
        )
        coordinator.hot_keys = self.cluster.hot_keys
        coordinator.homes = {
            home: since
            for home, (since, last) in self.homes.items()
            if now < last + SILENCE_S
        }

    def coordinate(
        self,
        coordinator: Coordinator,
        effects: Iterable[coordination.Effect],
    ) -> None:
        """Carry out effects of a coordinator."""

        def done(event: CommitEvent) -> None:
            self.coordinate(
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
        """Tell another coordinator that it is home to a segment."""

        def arrive(host: HostProcess) -> None:
            target = host.coordinators.get(effect.home)
            if target is None:
                return
            now = host.clock()
            if target.holds(effect.segment, now):
                self.cluster.send(
                    host,
                    self.ref,
                    lambda _: sender.acknowledged(effect.segment, effect.home),
                )
            host.coordinate(target, target.hinted(effect.segment, now))

        if effect.home in self.holders:
            self.cluster.send(self, self.holders[effect.home][1], arrive)

    def read_segment(self, coordinator: Coordinator, key: SegmentKey) -> None:
        """Read one segment row."""
        self.read(
            [(SEGMENT_TABLE, segment_row_key(key))],
            lambda found: coordinator.read(key, found[0], self.clock()),
        )

    def scan_segments(self, coordinator: Coordinator) -> None:
        """Read all segment rows."""
        asked = self.clock()

        def arrive(rows: dict[str, StoredRow]) -> None:
            coordinator.scanned(asked, rows, self.clock())

        self.scan(SEGMENT_TABLE, arrive)

    def renew(self, renewer: Renewer, now: float) -> None:
        """Send what a renewer has to send, and take in the answer."""
        effect = renewer.tick(now)
        if effect is None:
            return
        server = self.cluster.servers[renewer.pool, renewer.server]
        sent = effect

        def answered(event: ServerAnswer | ServerRefusal) -> None:
            if isinstance(event, ServerAnswer):
                renewer.answered(event, self.clock())
            else:
                renewer.refused(event)

        def reply(event: ServerAnswer | ServerRefusal) -> None:
            self.world.transmit(
                server.zone,
                self.zone,
                lambda: self.deliver(lambda: answered(event)),
            )

        self.world.transmit(
            self.zone,
            server.zone,
            lambda: server.deliver(lambda: server.receive(sent, now, reply)),
        )

    def synchronise(self, now: float) -> None:
        """Report to each coordinator and ask it for what is new."""
        reports: dict[AuthorityKey, list[RenewalReport]] = {}
        for renewer in self.renewers.values():
            report = renewer.report(now)
            if report is not None:
                reports.setdefault(report.authority, []).append(report)
        for key, (_, holder) in self.holders.items():
            self.ask_share(key, holder, tuple(reports.get(key, ())))

    def ask_share(
        self,
        key: AuthorityKey,
        holder: HostRef,
        reports: tuple[RenewalReport, ...],
    ) -> None:
        """Make one sync with one coordinator."""
        asked = self.clock()
        known = self.router.known.get(key)

        def arrive(host: HostProcess) -> None:
            coordinator = host.coordinators.get(key)
            if coordinator is None:
                return
            for report in reports:
                coordinator.reported(self.ref, report, host.clock())
            share = coordinator.share(self.ref, known, host.clock())
            if share is not None:
                self.cluster.send(
                    host,
                    self.ref,
                    lambda to: to.take_share(self.ref, share, asked),
                )

        self.cluster.send(self, holder, arrive)

    def take_share(
        self,
        ref: HostRef,
        share: coordination.Share,
        asked: float,
    ) -> None:
        """Take in the answer to a sync of this incarnation."""
        if ref != self.ref:
            return
        for mandate in share.mandates:
            name = mandate.pool, mandate.server
            if name not in self.renewers:
                pool = self.cluster.document.pools[mandate.pool]
                self.renewers[name] = self.cluster.strategy.renewer(
                    *name,
                    is_checked=pool.fencing is Fencing.CHECKED,
                )
            self.renewers[name].charge(mandate, asked)
        self.router.take(share, asked)

    def perform(self, authority: Authority, effects: Effects) -> None:
        """Carry out effects of an authority."""
        for effect in effects:
            if isinstance(effect, ReadRows):
                self.read_rows(authority)
            elif isinstance(effect, Commit):
                self.commit_for(authority, effect)
            elif isinstance(effect, AskPromise):
                self.ask(authority, effect)
            elif isinstance(effect, Gained):
                self.say_hello()

    def read_rows(self, authority: Authority) -> None:
        """Read the lease row, then the authority row."""

        def done(found: list[StoredRow]) -> None:
            event = RowsRead(found[1], found[0])
            self.perform(authority, authority.handle(event, self.clock()))

        name = row_key(authority.key)
        self.read([(LEASE_TABLE, name), (AUTHORITY_TABLE, name)], done)

    def commit_for(self, authority: Authority, commit: Commit) -> None:
        """Issue a transaction of an authority."""
        self.commit(
            commit,
            lambda event: self.perform(
                authority,
                authority.handle(event, self.clock()),
            ),
        )

    def ask(self, authority: Authority, effect: AskPromise) -> None:
        """Send a promise request and take in the answer."""
        asked = self.clock()

        def answered(holder: HostProcess, answer: PromiseAnswer) -> None:
            if holder is not self:
                return
            event = Promised(answer, asked, self.clock())
            self.perform(authority, authority.promised(event))

        def arrive(taker: HostProcess) -> None:
            if taker.ref == effect.taker:
                answer = taker.promise(effect.request)
                self.cluster.send(
                    taker,
                    self.ref,
                    lambda holder: answered(holder, answer),
                )

        self.cluster.send(self, effect.taker, arrive)

    def promise(self, request: PromiseRequest) -> PromiseAnswer:
        """Answer a holder."""
        authority = self.authorities[request.authority]
        return authority.promise(request, self.clock())

    def try_stop(self) -> None:
        """Renounce and hand over everything, then end."""
        now = self.clock()
        is_done = True
        for authority in self.authorities.values():
            is_done = authority.renounce() and is_done
            if authority.holder is None:
                continue
            is_done = False
            heirs = [
                taker
                for taker in authority.holder.takers
                if taker in self.live(self.cluster.zone_of[taker.host], now)
            ]
            if heirs:
                authority.hand_over(heirs[0], authority.wanted_takers)
        if is_done:
            self.is_alive = False
