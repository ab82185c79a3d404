"""Simulated hosts that run the real state machines of the decision core."""

from collections.abc import Callable
from dataclasses import dataclass

from oriolearch.core.authority import (
    AskPromise,
    Authority,
    Effects,
    Promised,
    ReadRows,
    RowsRead,
    choose_takers,
)
from oriolearch.core.messages import (
    AuthorityKey,
    PromiseAnswer,
    PromiseRequest,
)
from oriolearch.core.model import HostRef, Mobility
from oriolearch.core.rows import (
    AUTHORITY_TABLE,
    LEASE_TABLE,
    Commit,
    StoredRow,
    row_key,
)
from oriolearch.simulation import TICK_S, Process, Simulation, TableModel

HELLO_PERIOD_S = 0.2
SILENCE_S = 2.0  # then a taker is replaced
RETURN_DELAY_S = 3.0  # a zone that is back gets its authority after this time
TAKERS_PER_ZONE = 2


@dataclass(frozen=True, slots=True)
class Strategy:
    """The state machines that hosts run; tests replace them by faulty ones."""

    authority: type[Authority] = Authority


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


class HostProcess(Process):
    """One process of the system with its authorities."""

    def __init__(self, cluster: Cluster, ref: HostRef) -> None:
        zone = cluster.zone_of[ref.host]
        super().__init__(cluster.world, cluster.table, ref, zone)
        self.cluster = cluster
        self.heard: dict[str, Heard] = {}
        self.is_stopping = False
        self.last_hello = 0.0
        self.nonces = 0
        self.authorities = {
            key: cluster.strategy.authority(
                key,
                ref,
                self.nonce,
                is_creator=key.zone == zone,
            )
            for key in cluster.keys()
            if zone in cluster.candidates(key)
        }

    def boot(self) -> None:
        """Start the timer, at a random phase."""
        self.world.after(self.world.rng.uniform(0, TICK_S), self.timer)

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
        for authority in self.authorities.values():
            self.perform(authority, authority.tick(now))
        if self.is_stopping:
            self.try_stop()

    def say_hello(self) -> None:
        """Tell all other hosts that this one lives."""
        for name in self.cluster.hosts:
            if name != self.ref.host:
                target = self.cluster.hosts[name].ref
                self.cluster.send(self, target, self.hello)

    def hello(self, receiver: 'HostProcess') -> None:
        """Arrive at another host."""
        receiver.hear(self.ref, self.zone)

    def hear(self, ref: HostRef, zone: str) -> None:
        """Note that another host lives."""
        now = self.clock()
        known = self.heard.get(ref.host)
        if known is None or known.ref < ref or now > known.last + SILENCE_S:
            if known is None or known.ref <= ref:
                self.heard[ref.host] = Heard(ref, zone, now, now)
        elif known.ref == ref:
            known.last = now

    def live(
        self, zone: str, now: float, settled_s: float = 0
    ) -> list[HostRef]:
        """Give the other hosts of a zone that were heard of lately."""
        return sorted(
            heard.ref
            for heard in self.heard.values()
            if heard.zone == zone
            and now < heard.last + SILENCE_S
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
        back = self.live(authority.key.zone, now, RETURN_DELAY_S)
        if back:
            authority.hand_over(back[0], authority.wanted_takers)

    def perform(self, authority: Authority, effects: Effects) -> None:
        """Carry out effects of an authority."""
        for effect in effects:
            if isinstance(effect, ReadRows):
                self.read_rows(authority)
            elif isinstance(effect, Commit):
                self.commit_for(authority, effect)
            elif isinstance(effect, AskPromise):
                self.ask(authority, effect)

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
