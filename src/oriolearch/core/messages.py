"""Messages between hosts, as values.

Durations are seconds counted from the moment at which the sender answered;
a receiver counts them from before it asked and applies
:func:`~oriolearch.core.model.shortened`.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from oriolearch.core.model import Assignment, HostRef, Member, Mobility


@dataclass(frozen=True, slots=True, order=True)
class AuthorityKey:
    """Names the authority over one zone's shards of one mobility class."""

    zone: str
    mobility: Mobility


@dataclass(frozen=True, slots=True, order=True)
class Revision:
    """A state of all segments of one authority; only grows.

    :param term: term of the coordinator that published it.
    :param number: counts publications within the term.
    """

    term: int
    number: int


@dataclass(frozen=True, slots=True)
class Segment:
    """The assignments of up to 256 shards of one pool, one table row.

    :param index: ``shard // 256``.
    :param version: version of the row; only grows.
    :param shards: an assignment for each shard, in order.
    :param keys: split hot keys with their own assignments.
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
    """Asks a taker not to attempt a takeover for a while."""

    authority: AuthorityKey
    holder: HostRef
    term: int


@dataclass(frozen=True, slots=True)
class PromiseAnswer:
    """A taker's statement, see rules A2 and A6 of docs/design.md.

    :param duration_s: 0 when the taker refuses.
    :param renounced: the incarnation will never attempt a takeover.
    """

    authority: AuthorityKey
    taker: HostRef
    term: int
    duration_s: float
    renounced: bool = False


@dataclass(frozen=True, slots=True)
class Permit:
    """Allows hosts to route by a revision, see rule G4."""

    authority: AuthorityKey
    revision: Revision
    duration_s: float


@dataclass(frozen=True, slots=True)
class Mandate:
    """Charges one host with renewing the grants of one server.

    :param version: counts changes of the server's list of grants.
    :param shards: ``(shard, epoch)`` of the whole list.
    :param keys: ``(key, epoch)`` of split keys.
    :param renewer: the host that it charges; relays pass it on by this.
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
    """What a renewer knows of one server.

    :param confirmed_version: version of the list that the server holds.
    :param stopped: the renewer sends no further renewals by its mandate.
    :param ends_in_s: no grant that this renewer gave under an earlier
        version, and when it has stopped none at all, lasts longer.
    :param failures: renewals in a row without an answer.
    :param renewer: the host that reports; tells apart an old renewer's
        statement from the present one's.
    :param mandate_version: highest version of the mandate that the renewer
        has seen. Once stopped it never renews under this or a lower version,
        so a statement that arrives late cannot end a newer mandate.
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
    """A key with its share of a pool's requests at one host.

    :param key: empty for the rate of all requests of the pool.
    """

    pool: str
    key: str
    rate: float  # requests per second


@dataclass(frozen=True, slots=True)
class Heard:
    """A host that syncs with a relay.

    :param age_s: time since the relay heard from it.
    :param leaving: it has begun a planned stop.
    """

    member: Member
    age_s: float
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Hint:
    """Tells a coordinator that it has become the home of a segment."""

    home: AuthorityKey
    pool: str
    index: int


@dataclass(frozen=True, slots=True)
class SyncRequest:
    """What a host tells its parent each sync period.

    :param known: revision held for each authority.
    :param outstanding: requests running on each ``pool/upstream``, of the
        sender and of the hosts below it.
    :param held: oldest revision by which orders still run (rule G4), at the
        sender or at any host in ``below``; an authority that is absent
        counts as in ``known``.
    :param members_digest: digest of the members that the sender knows.
    :param below: hosts for which this request speaks as well.
    :param leaving: the sender has begun a planned stop.
    :param cold: each ``pool/upstream`` found to be cold.
    :param hints: segments handed to authorities that the receiver holds.
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
    """What a parent tells its children.

    :param document_version: version of the configuration it holds.
    :param document: the whole configuration as JSON when it is newer.
    :param permits: one for each authority, with duration 0 where no orders
        may be sent; the revision covers ``segments``.
    :param segments: segments changed since the revision the child knows.
    :param outstanding: requests of the whole group on each upstream.
    :param members: all live hosts, empty when the child knows the digest.
    :param cold: the host charged with each cold ``pool/upstream``.
    :param coordinators: holders, sent together with ``members``.
    :param age_s: time since the newest statement of a coordinator that the
        sender's state rests on.
    :param working: by authority that the sender holds, the pools that have a
        server in its zone that can take shards.
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
