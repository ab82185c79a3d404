"""Messages between hosts.

Durations are in seconds and start when the sender built its answer. The
receiver counts them from before it sent the request and subtracts a margin for
clock rates with :func:`~oriolearch.core.model.subtract_clock_margin`.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from oriolearch.core.model import Assignment, HostRef, Member, Mobility


@dataclass(frozen=True, slots=True, order=True)
class AuthorityKey:
    """Identifies the authority over a zone's shards of one mobility class."""

    zone: str
    mobility: Mobility


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """Version of all segments of one authority together; only grows.

    :param term: term of the coordinator that published the revision.
    :param number: number of the publication within the term.
    """

    term: int
    number: int


@dataclass(frozen=True, slots=True)
class Segment:
    """Assignments of up to 256 shards of one pool, stored as a table row.

    :param index: ``shard // 256``.
    :param version: version of the row; only grows.
    :param shards: assignment of each shard, in order.
    :param keys: assignments of hot keys that were split off their shards.
    """

    pool: str
    index: int
    home: AuthorityKey
    version: int
    shards: tuple[Assignment, ...]
    keys: Mapping[str, Assignment] = field(
        default_factory=lambda: MappingProxyType({}),
    )


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Request to a possible successor not to take over for a while."""

    authority: AuthorityKey
    holder: HostRef
    term: int


@dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """Answer of a possible successor, see rules A2 and A6 of docs/design.md.

    :param taker: the possible successor.
    :param duration_s: 0 if it refuses the promise.
    :param renounced: this incarnation will never attempt a takeover.
    """

    authority: AuthorityKey
    taker: HostRef
    term: int
    duration_s: float
    renounced: bool = False


@dataclass(frozen=True, slots=True)
class Permit:
    """Allows hosts to route by a revision until it ends, see rule G4."""

    authority: AuthorityKey
    revision: Revision
    duration_s: float


@dataclass(frozen=True, slots=True)
class Mandate:
    """Assigns the renewal of one server's grants to one host.

    :param version: grows with each change of the server's list of grants.
    :param shards: ``(shard, epoch)`` of every shard in the list.
    :param keys: ``(key, epoch)`` of every split key in the list.
    :param renewer: host that renews; relays forward the mandate to it.
    """

    authority: AuthorityKey
    term: int
    pool: str
    server: str
    version: int
    duration_s: float
    shards: tuple[tuple[int, int], ...]
    keys: tuple[tuple[str, int], ...] = ()
    renewer: HostRef | None = None


@dataclass(frozen=True, slots=True)
class RenewalReport:
    """Report of a renewer on the grants of one server.

    :param confirmed_version: version of the list of grants that the server
        has confirmed.
    :param stopped: the renewer sends no more renewals under its mandate.
    :param ends_in_s: time until every grant that this renewer sent under an
        earlier version has ended; if it has stopped, every grant at all.
    :param failures: consecutive renewals without an answer.
    :param renewer: the reporting host, which distinguishes a former renewer's
        report from that of the current one.
    :param mandate_version: highest version of the mandate that the renewer
        has received. Once stopped, it never renews under this or a lower
        version, so a report that arrives late cannot end a newer mandate.
    """

    authority: AuthorityKey
    term: int
    pool: str
    server: str
    confirmed_version: int
    stopped: bool
    ends_in_s: float
    failures: int = 0
    renewer: HostRef | None = None
    mandate_version: int = 0


@dataclass(frozen=True, slots=True)
class HotKey:
    """Request rate of one key of a pool at one host.

    :param key: empty for the rate of all requests of the pool.
    """

    pool: str
    key: str
    rate: float  # requests per second


@dataclass(frozen=True, slots=True)
class Heard:
    """A host that syncs with a relay, as the relay reports it.

    :param age_s: time since the relay received the host's last request.
    :param leaving: the host has begun a planned stop.
    """

    member: Member
    age_s: float
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Hint:
    """Notifies a coordinator that its authority is a segment's new home."""

    home: AuthorityKey
    pool: str
    index: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """Request that a host sends to its parent each sync period.

    :param known: current revision at the sender, for each authority.
    :param outstanding: requests in progress on each ``pool/upstream``, of the
        sender and of the hosts below it.
    :param held: oldest revision by which a request in progress was routed
        (rule G4), at the sender or at any host in ``below``; for an authority
        that is absent, the revision in ``known`` applies.
    :param members_digest: digest of the sender's list of members.
    :param below: hosts below the sender, which this request covers too.
    :param leaving: the sender has begun a planned stop.
    :param cold: each ``pool/upstream`` that was found to be cold.
    :param hints: segments whose new home is an authority of the receiver.
    """

    sender: Member
    document_version: int
    known: Mapping[AuthorityKey, Revision]
    held: Mapping[AuthorityKey, Revision]
    outstanding: Mapping[str, int]
    hot_keys: tuple[HotKey, ...] = ()
    reports: tuple[RenewalReport, ...] = ()
    members_digest: int = 0
    below: tuple[Heard, ...] = ()
    leaving: bool = False
    cold: tuple[str, ...] = ()
    hints: tuple[Hint, ...] = ()


@dataclass(frozen=True, slots=True)
class SyncAnswer:
    """Answer of a parent to the sync request of a child.

    :param document_version: version of the sender's configuration.
    :param document: the whole configuration as JSON, if it is newer than the
        child's.
    :param permits: one for each authority, with duration 0 if no requests may
        be routed; the revision covers ``segments``.
    :param segments: segments changed since the child's revision.
    :param outstanding: requests of the whole group on each upstream.
    :param members: all live hosts; empty if the child sent the same digest.
    :param cold: host that warms up each cold ``pool/upstream``.
    :param coordinators: holder of each authority, sent with ``members``.
    :param age_s: age of the newest coordinator state that the sender has
        received.
    :param working: for each authority that the sender holds, the pools with a
        server in its zone that can own shards.
    """

    sender: Member
    document_version: int
    document: str | None
    permits: tuple[Permit, ...]
    mandates: tuple[Mandate, ...]
    segments: tuple[Segment, ...]
    outstanding: Mapping[str, int]
    members: tuple[Member, ...]
    cold: Mapping[str, str]
    members_digest: int = 0
    coordinators: Mapping[AuthorityKey, HostRef] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    age_s: float = 0.0
    working: Mapping[AuthorityKey, tuple[str, ...]] = field(
        default_factory=lambda: MappingProxyType({}),
    )
