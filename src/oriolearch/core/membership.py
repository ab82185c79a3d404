"""Live hosts of a zone, their roles and their positions in the sync tree.

Roles and positions are chosen by rendezvous hashing over host names, so hosts
with the same list make the same choices, and few choices change when one host
joins or leaves.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import lru_cache

from oriolearch.core.errors import StaleError
from oriolearch.core.messages import SyncRequest
from oriolearch.core.model import HostRef, Member

# Equals MANDATE_S, so that a renewer is considered lost when it must stop.
CONTACT_TIMEOUT_S = 0.6
HOST_LIST_LAG_S = 30.0  # greatest age of an entry of the platform's host list
RECORD_RETENTION_S = 3600.0  # a frozen host may return with its old incarnation
MAX_CHILDREN = 16
LEAVING = 'leaving'  # state in the platform's host list
_MASK = (1 << 64) - 1


@dataclass(slots=True)
class _HostRecord:
    member: Member
    first_contact_at: float
    last_contact_at: float
    leaving: bool = False


class Membership:
    """Tracks by their sync requests which hosts of one zone are live.

    The platform's host list lags and has no incarnations, so it does not
    decide whether a host is live. It shows which hosts are about to stop, and
    which records can be deleted.
    """

    def __init__(
        self, zone: str, contact_timeout_s: float = CONTACT_TIMEOUT_S
    ) -> None:
        self.zone = zone
        self.contact_timeout_s = contact_timeout_s
        self.records: dict[str, _HostRecord] = {}
        self.listed_leaving: frozenset[str] = frozenset()

    def record_contact(
        self, member: Member, now: float, leaving: bool = False
    ) -> None:
        """Record a sync of a host; ignore hosts of other zones.

        :raises StaleError: if a later incarnation has synced before.
        """
        if member.zone != self.zone:
            return
        host, incarnation = member.ref.host, member.ref.incarnation
        record = self.records.get(host)
        if record is not None:
            newest = record.member.ref.incarnation
            if incarnation < newest:
                raise StaleError('incarnation', incarnation, newest)
        if record is None or incarnation > record.member.ref.incarnation:
            self.records[host] = _HostRecord(member, now, now, leaving)
            return
        record.member = member
        record.last_contact_at = max(record.last_contact_at, now)
        record.leaving = record.leaving or leaving

    def record_request(self, request: SyncRequest, now: float) -> None:
        """Record the sender of a request and the hosts below it.

        :raises StaleError: if the sender is an old incarnation. A host below
            it that is one is skipped, since a relay may still list a host
            that was replaced in the meantime.
        """
        self.record_contact(request.sender, now, request.leaving)
        for entry in request.below:
            try:
                self.record_contact(
                    entry.member, now - entry.age_s, entry.leaving
                )
            except StaleError:
                continue

    def assume_live(self, members: Iterable[Member], now: float) -> None:
        """Record members of an earlier view as if they had synced now.

        A new coordinator starts with them; it would otherwise consider every
        host lost that has not synced with it yet.
        """
        for member in members:
            try:
                self.record_contact(member, now)
            except StaleError:
                continue

    def apply_host_list(self, listed: Mapping[str, str], now: float) -> None:
        """Apply the platform's host list.

        A host whose state in the list changes to leaving is marked as leaving,
        unless its incarnation is younger than the lag of the list: the entry
        may then refer to the previous incarnation.

        :param listed: state of each host of the zone.
        """
        leaving = {host for host, state in listed.items() if state == LEAVING}
        for host in leaving - self.listed_leaving:
            record = self.records.get(host)
            if record and record.first_contact_at <= now - HOST_LIST_LAG_S:
                record.leaving = True
        self.listed_leaving = frozenset(leaving)
        for host, record in list(self.records.items()):
            if (
                host not in listed
                and record.last_contact_at < now - RECORD_RETENTION_S
            ):
                del self.records[host]

    def is_live(self, ref: HostRef, now: float) -> bool:
        """Return whether this incarnation is live; it may be leaving."""
        record = self.records.get(ref.host)
        if record is None or record.member.ref != ref:
            return False
        return record.last_contact_at >= now - self.contact_timeout_s

    def live(self, now: float) -> tuple[Member, ...]:
        """Return the live hosts that are not leaving, in order of name."""
        limit = now - self.contact_timeout_s
        return tuple(
            record.member
            for _, record in sorted(self.records.items())
            if record.last_contact_at >= limit and not record.leaving
        )


@lru_cache(maxsize=16384)
def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def _mix(first: int, second: int) -> float:
    # The finalizer of splitmix64. A digest of each pair would take three times
    # as long, and a zone of 383 hosts has 9,000 pairs. The result is a float
    # because floats sort faster than 64-bit integers.
    mixed = (first ^ second) * 0xBF58476D1CE4E5B9 & _MASK
    mixed = (mixed ^ mixed >> 27) * 0x94D049BB133111EB & _MASK
    return float(mixed ^ mixed >> 31)


class Rendezvous:
    """Rendezvous hashing: chooses the host with the highest score per name.

    Caches its choices: a host that joins takes one hash per name, and after a
    host leaves only the names that it had are chosen anew.

    :param purpose: makes choices for different purposes independent.
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
        """Return the host for a name, or ``None`` if there are no hosts."""
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


class RoleAssignments:
    """Assigns the servers and cold upstreams of a zone to its hosts.

    One host renews the grants of a server, and one warms up a cold upstream.
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
        """Return the host that renews the grants of a server."""
        return self.renewers.choose(server)

    def cold(self, upstreams: Iterable[str]) -> dict[str, str]:
        """Return the host that warms up each cold upstream."""
        chosen = {name: self.warmers.choose(name) for name in upstreams}
        return {name: host for name, host in chosen.items() if host}


def _match(
    hosts: Iterable[str],
    slots: Mapping[str, int],
    capacity: int,
) -> dict[str, str]:
    # Matching pairs in descending order of score yields the only stable
    # matching, in which a change of one host displaces few others.
    pairs = [
        (_mix(seed, _hash_name(host)), host, slot)
        for host in hosts
        for slot, seed in slots.items()
    ]
    pairs.sort(reverse=True)
    remaining = dict.fromkeys(slots, capacity)
    matched: dict[str, str] = {}
    for _, host, slot in pairs:
        if remaining[slot] and host not in matched:
            matched[host] = slot
            remaining[slot] -= 1
    return matched


def _slots(purpose: str, count: int) -> dict[str, int]:
    return {
        str(number): _hash_name(f'{purpose}\n{number}')
        for number in range(count)
    }


@dataclass(slots=True)
class SyncTree:
    """Positions of the hosts of one zone below its coordinator.

    Up to 16 hosts sync with the coordinator directly. In a larger zone there
    is one relay per 16 hosts, each with at most 16 children. Hosts are matched
    to numbered relay positions, and leaves to positions rather than to relay
    hosts, so the loss of a relay changes the parent of its own children only.

    :param members: live members of the zone.
    :param root: host of the coordinator; ``None`` if unknown.
    :param relays: relay hosts in order of position.
    :param parents: relay of each leaf host.
    """

    members: tuple[Member, ...]
    root: str | None
    relays: tuple[str, ...] = ()
    parents: dict[str, str] = field(default_factory=dict)
    by_host: dict[str, Member] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.by_host = {member.ref.host: member for member in self.members}
        hosts = sorted(host for host in self.by_host if host != self.root)
        if len(hosts) <= MAX_CHILDREN:
            self.relays = tuple(hosts)
            return
        count = -(-len(self.by_host) // MAX_CHILDREN)
        positions = _match(hosts, _slots('relay', count), capacity=1)
        relays = {slot: host for host, slot in positions.items()}
        self.relays = tuple(relays[slot] for slot in sorted(relays, key=int))
        leaves = [host for host in hosts if host not in positions]
        matched = _match(leaves, _slots('leaf', count), MAX_CHILDREN)
        self.parents = {leaf: relays[slot] for leaf, slot in matched.items()}

    def candidates(self, host: str) -> tuple[Member, ...]:
        """Return the parents that a host tries, in order.

        A leaf tries its relay, the other relays and the coordinator. A relay,
        or a host that syncs with the coordinator directly, tries the
        coordinator and then the relays of earlier positions, so that no two
        hosts become each other's parent.
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
        return [*root, *others]  # a small zone has no relays
