"""The live hosts of a zone, and what follows from the list of them.

All choices use rendezvous hashing over host names, so that hosts with the
same list choose alike and a change of one member moves little.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache

from oriolearch.core.errors import StaleError
from oriolearch.core.messages import SyncRequest
from oriolearch.core.model import HostRef, Member

SILENCE_S = 0.6  # equals MANDATE: a renewer counts as lost when it must stop
LIST_LAG_S = 30.0  # a statement of the platform's list may be this old
FORGET_S = 3600.0  # a frozen host may return with its old incarnation
CHILDREN_LIMIT = 16
LEAVING = 'leaving'  # state in the platform's list
_MASK = (1 << 64) - 1


@dataclass(slots=True)
class _Known:
    member: Member
    first_heard: float
    heard: float
    leaving: bool = False


class Membership:
    """Which hosts of one zone are live, by the syncs heard.

    The platform's list lags and names no incarnations, so it makes no host
    live or lost. It tells which hosts are about to stop, and which names need
    no longer be remembered.
    """

    def __init__(self, zone: str, silence_s: float = SILENCE_S) -> None:
        self.zone = zone
        self.silence_s = silence_s
        self.known: dict[str, _Known] = {}
        self.listed_leaving: frozenset[str] = frozenset()

    def hear(self, member: Member, now: float, leaving: bool = False) -> None:
        """Note a sync of a host; those of other zones are not counted.

        :raises StaleError: when a later incarnation was heard before.
        """
        if member.zone != self.zone:
            return
        host, incarnation = member.ref.host, member.ref.incarnation
        known = self.known.get(host)
        if known is not None:
            newest = known.member.ref.incarnation
            if incarnation < newest:
                raise StaleError('incarnation', incarnation, newest)
        if known is None or incarnation > known.member.ref.incarnation:
            self.known[host] = _Known(member, now, now, leaving)
            return
        known.member = member
        known.heard = max(known.heard, now)
        known.leaving = known.leaving or leaving

    def hear_request(self, request: SyncRequest, now: float) -> None:
        """Note the sender of a request and the hosts below it.

        :raises StaleError: for the sender only; a relay may still speak of a
            host that was replaced meanwhile.
        """
        self.hear(request.sender, now, request.leaving)
        for heard in request.below:
            try:
                self.hear(heard.member, now - heard.age_s, heard.leaving)
            except StaleError:
                continue

    def expect(self, members: Iterable[Member], now: float) -> None:
        """Count members of an earlier view as heard now.

        A new coordinator starts with them, and would otherwise take every
        host for lost that has not synced with it yet.
        """
        for member in members:
            try:
                self.hear(member, now)
            except StaleError:
                continue

    def observe_list(self, listed: Mapping[str, str], now: float) -> None:
        """Take in the platform's list.

        A host that the list begins to call leaving is so, unless its
        incarnation is so young that the list may speak of the one before.

        :param listed: state of each host of the zone.
        """
        leaving = {host for host, state in listed.items() if state == LEAVING}
        for host in leaving - self.listed_leaving:
            known = self.known.get(host)
            if known and known.first_heard <= now - LIST_LAG_S:
                known.leaving = True
        self.listed_leaving = frozenset(leaving)
        for host, known in list(self.known.items()):
            if host not in listed and known.heard < now - FORGET_S:
                del self.known[host]

    def is_live(self, ref: HostRef, now: float) -> bool:
        """Tell whether this incarnation was heard lately; it may be leaving."""
        known = self.known.get(ref.host)
        if known is None or known.member.ref != ref:
            return False
        return known.heard >= now - self.silence_s

    def live(self, now: float) -> tuple[Member, ...]:
        """List hosts that may be given roles, in order of name."""
        limit = now - self.silence_s
        return tuple(
            known.member
            for _, known in sorted(self.known.items())
            if known.heard >= limit and not known.leaving
        )


@lru_cache(maxsize=16384)
def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def _mix(first: int, second: int) -> float:
    # The finalizer of splitmix64. A digest of each pair costs three times
    # as much, and a zone of 383 hosts has 9,000 pairs. Floats sort faster
    # than integers of 64 bits.
    mixed = (first ^ second) * 0xBF58476D1CE4E5B9 & _MASK
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK
    return float(mixed ^ mixed >> 31)


class Rendezvous:
    """Chooses a host for each name by the highest hash of the pair.

    Remembers its choices: a host that joins costs one hash for each name, and
    one that leaves costs a new choice of its own names only.

    :param purpose: keeps choices for different purposes independent.
    """

    def __init__(self, purpose: str) -> None:
        self.purpose = purpose
        self.hosts: frozenset[str] = frozenset()
        self.chosen: dict[str, tuple[float, str]] = {}

    def update(self, hosts: Iterable[str]) -> None:
        """Replace the set of hosts to choose from."""
        present = frozenset(hosts)
        joined = present - self.hosts
        self.hosts = present
        for name, best in list(self.chosen.items()):
            if best[1] in present:
                self.chosen[name] = max([best, *self._scores(name, joined)])
            else:
                del self.chosen[name]

    def choose(self, name: str) -> str | None:
        """Give the host for a name; ``None`` without hosts."""
        best = self.chosen.get(name)
        if best is None:
            best = max(self._scores(name, self.hosts), default=None)
        if best is None:
            return None
        self.chosen[name] = best
        return best[1]

    def _scores(
        self,
        name: str,
        hosts: Iterable[str],
    ) -> list[tuple[float, str]]:
        seed = _hash_name(f'{self.purpose}\n{name}')
        return [(_mix(seed, _hash_name(host)), host) for host in hosts]


class Charges:
    """Which host of a zone renews each server and warms each cold upstream.

    Names are ``pool/upstream``.
    """

    def __init__(self) -> None:
        self.renewers = Rendezvous('renewer')
        self.warmers = Rendezvous('cold')

    def update(self, members: Iterable[Member]) -> None:
        """Replace the live members of the zone."""
        hosts = [member.ref.host for member in members]
        self.renewers.update(hosts)
        self.warmers.update(hosts)

    def renewer(self, server: str) -> str | None:
        """Name the host that sends the grants of a server."""
        return self.renewers.choose(server)

    def cold(self, upstreams: Iterable[str]) -> dict[str, str]:
        """Name the host in charge of each cold upstream."""
        chosen = {name: self.warmers.choose(name) for name in upstreams}
        return {name: host for name, host in chosen.items() if host}


def _match(
    hosts: Iterable[str],
    slots: Mapping[str, int],
    room: int,
) -> dict[str, str]:
    # Taking pairs by falling score gives the one stable matching, in which a
    # change of one host displaces few others.
    pairs = [
        (_mix(seed, _hash_name(host)), host, slot)
        for host in hosts
        for slot, seed in slots.items()
    ]
    pairs.sort(reverse=True)
    left = dict.fromkeys(slots, room)
    matched: dict[str, str] = {}
    for _, host, slot in pairs:
        if left[slot] and host not in matched:
            matched[host] = slot
            left[slot] -= 1
    return matched


def _slots(purpose: str, count: int) -> dict[str, int]:
    return {
        str(number): _hash_name(f'{purpose}\n{number}')
        for number in range(count)
    }


@dataclass(slots=True)
class SyncTree:
    """Positions of the hosts of one zone below its coordinator.

    Up to 16 hosts sync with the coordinator itself. More have one relay for
    each 16 hosts, of at most 16 children. Hosts are matched to numbered relay
    positions and leaves to the positions, not to their hosts: so the loss of
    a relay changes the parent of its own children only.

    :param members: live members of the zone.
    :param root: host of the coordinator; ``None`` while unknown.
    :param relays: in order of position.
    :param parents: relay of each leaf.
    """

    members: tuple[Member, ...]
    root: str | None
    relays: tuple[str, ...] = ()
    parents: dict[str, str] = field(default_factory=dict)
    by_host: dict[str, Member] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.by_host = {member.ref.host: member for member in self.members}
        hosts = sorted(host for host in self.by_host if host != self.root)
        if len(hosts) <= CHILDREN_LIMIT:
            self.relays = tuple(hosts)
            return
        count = -(-len(self.by_host) // CHILDREN_LIMIT)
        positions = _match(hosts, _slots('relay', count), room=1)
        relays = {slot: host for host, slot in positions.items()}
        self.relays = tuple(relays[slot] for slot in sorted(relays, key=int))
        leaves = [host for host in hosts if host not in positions]
        placed = _match(leaves, _slots('leaf', count), CHILDREN_LIMIT)
        self.parents = {leaf: relays[slot] for leaf, slot in placed.items()}

    def candidates(self, host: str) -> tuple[Member, ...]:
        """List the parents that a host tries, in order.

        A leaf tries its relay, the other relays and the coordinator. A relay,
        or a host that syncs with the coordinator itself, tries the coordinator
        and then those of an earlier position, so that no two hosts become each
        other's parents.
        """
        if host == self.root:
            return ()
        root = [self.root] if self.root and self.root in self.by_host else []
        if host in self.relays:
            names = [*root, *self.relays[: self.relays.index(host)]]
        else:
            names = self._leaf_candidates(host, root)
        return tuple(self.by_host[name] for name in names)

    def _leaf_candidates(
        self,
        host: str,
        root: list[str],
    ) -> list[str]:
        parent = self.parents.get(host)
        others = [relay for relay in self.relays if relay != parent]
        seed = _hash_name(host)
        others.sort(key=lambda relay: _mix(seed, _hash_name(relay)))
        if parent:
            return [parent, *others, *root]
        if self.parents:
            return [*others, *root]
        return [*root, *others]  # all hosts sync with the coordinator
