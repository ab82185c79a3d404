"""The authority lease: rules A1 to A8 of docs/design.md as state machines.

:class:`AuthorityTaker` watches the rows, gives promises and attempts
takeovers. :class:`AuthorityHolder` renews and decides until when it may act.
:class:`Authority` joins both for one host. Nothing here reads a clock: each
event comes with the monotonic time of the host at which it is handled.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from oriolearch.core.errors import InvariantError
from oriolearch.core.messages import (
    AuthorityKey,
    PromiseAnswer,
    PromiseRequest,
)
from oriolearch.core.model import HostRef, lengthened, shortened
from oriolearch.core.rows import (
    AUTHORITY_TABLE,
    LEASE_TABLE,
    AuthorityRow,
    Commit,
    Committed,
    LeaseRow,
    Refused,
    RowCondition,
    RowWrite,
    StoredRow,
    Unresolved,
    decode_authority,
    decode_lease,
    encode_authority,
    encode_lease,
    row_key,
)

LEASE_S = 1.2
LEASE_RENEW_PERIOD_S = 0.4
WATCH_PERIOD_S = 0.3
PROMISE_S = 1.0
ASK_PERIOD_S = 0.4
SILENCE_S = 0.5  # a taker watches the rows once the holder is silent so long
CHECK_PERIOD_S = 5.0  # of the rows by a taker that is asked for promises
# The zone's own takers, whose watch periods differ, come first.
ADOPTER_DELAY_S = 0.4
COMMIT_PATIENCE_S = 0.6  # then a transaction without an answer is repeated


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Effect: read the lease row and, once answered, the authority row.

    A takeover writes both rows. Read in this order, a changed lease row is
    never seen together with the authority row from before the takeover.
    """

    key: AuthorityKey


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Event: both rows, in answer to :class:`ReadRows`."""

    authority: StoredRow
    lease: StoredRow


@dataclass(frozen=True, slots=True)
class AskPromise:
    """Effect: send a promise request to a taker."""

    taker: HostRef
    request: PromiseRequest


@dataclass(frozen=True, slots=True)
class Promised:
    """Event: the answer to a request.

    :param asked: time of the holder before it sent the request.
    :param answered: time at which the answer arrived.
    """

    answer: PromiseAnswer
    asked: float
    answered: float


@dataclass(frozen=True, slots=True)
class Gained:
    """Effect: the host may act as the coordinator of this term."""

    key: AuthorityKey
    term: int


@dataclass(frozen=True, slots=True)
class Lost:
    """Effect: the host may not act as the coordinator for now."""

    key: AuthorityKey
    term: int


Effect = ReadRows | Commit | AskPromise | Gained | Lost
StoreEvent = RowsRead | Committed | Refused | Unresolved
Effects = list[Effect]
Nonces = Callable[[], str]


@dataclass(frozen=True, slots=True)
class Rows:
    """What a host knows of both rows."""

    authority_version: int = 0
    lease_version: int = 0
    authority: AuthorityRow | None = None
    lease: LeaseRow | None = None

    @property
    def versions(self) -> tuple[int, int]:
        """Give the versions that a transaction is conditional on."""
        return self.authority_version, self.lease_version

    @property
    def term(self) -> int:
        """Give the term in force; 0 before the first."""
        return self.authority.term if self.authority else 0

    def is_newer(self, other: 'Rows') -> bool:
        """Tell whether no row is older than in another reading."""
        return (
            self.authority_version >= other.authority_version
            and self.lease_version >= other.lease_version
        )


def read_rows(event: RowsRead) -> Rows:
    """Decode a reading of both rows."""
    authority, lease = event.authority, event.lease
    return Rows(
        authority.version,
        lease.version,
        decode_authority('authority row', authority.row)
        if authority.row
        else None,
        decode_lease('lease row', lease.row) if lease.row else None,
    )


def _transaction(
    key: AuthorityKey,
    rows: Rows,
    nonce: str,
    row: AuthorityRow | None,
) -> Commit:
    name = row_key(key)
    writes = [
        RowWrite(LEASE_TABLE, name, encode_lease(LeaseRow(nonce))),
    ]
    if row is not None:
        writes.append(RowWrite(AUTHORITY_TABLE, name, encode_authority(row)))
    conditions = (
        RowCondition(AUTHORITY_TABLE, name, rows.authority_version),
        RowCondition(LEASE_TABLE, name, rows.lease_version),
    )
    return Commit(nonce, conditions, tuple(writes))


@dataclass(slots=True)
class AuthorityTaker:
    """The side that may take over: rules A2, A3, A4 and A6.

    :param attempts: transactions that may still take effect, with the time
        before they were issued.
    """

    key: AuthorityKey
    ref: HostRef
    is_home: bool
    rows: Rows = field(default_factory=Rows)
    seen_since: float | None = None
    promised_until: float = 0
    has_renounced: bool = False
    attempts: dict[str, float] = field(default_factory=dict)
    last_attempt: float = 0
    attempt_term: int = 0

    def see(self, rows: Rows, now: float) -> None:
        """Take in a reading; an unchanged one keeps the watch running."""
        if self.seen_since is None or rows.versions != self.rows.versions:
            self.seen_since = now
            # Every attempt is conditional on both versions of one reading,
            # so a newer reading proves that none can take effect any more.
            self.attempts.clear()
        self.rows = rows

    def promise(self, request: PromiseRequest, now: float) -> PromiseAnswer:
        """Answer a request by rule A2; a duration of 0 refuses."""
        is_given = self._can_promise(request)
        if is_given:
            self.promised_until = max(self.promised_until, now + PROMISE_S)
        return PromiseAnswer(
            self.key,
            self.ref,
            request.term,
            PROMISE_S if is_given else 0,
            is_given and self.has_renounced,
        )

    def renounce(self) -> bool:
        """Never attempt again; refused while an attempt is unresolved."""
        if not self.attempts:
            self.has_renounced = True
        return self.has_renounced

    def attempt(
        self,
        takers: tuple[HostRef, ...],
        now: float,
        nonces: Nonces,
    ) -> Commit | None:
        """Give the takeover transaction when rule A3 allows one."""
        if self.has_renounced or not self.may_attempt(now):
            return None
        if self.attempts and now < self.last_attempt + COMMIT_PATIENCE_S:
            return None
        nonce = nonces()
        self.attempts[nonce] = now
        self.last_attempt = now
        self.attempt_term = self.rows.term + 1
        row = AuthorityRow(self.ref, self.attempt_term, takers, nonce)
        return _transaction(self.key, self.rows, nonce, row)

    def may_attempt(self, now: float) -> bool:
        """Check rule A3: the right, the watch and the own promises."""
        if self.seen_since is None or now < self.promised_until:
            return False
        row = self.rows.authority
        if row is None:
            return self.is_home
        if self._is_successor(row.holder):
            return True
        is_watched = now >= self.seen_since + self.watch_s()
        return is_watched and self.ref in row.takers

    def watch_s(self) -> float:
        """Give the time for which the rows must be unchanged (A3)."""
        return lengthened(LEASE_S) + (0 if self.is_home else ADOPTER_DELAY_S)

    def _can_promise(self, request: PromiseRequest) -> bool:
        is_current = request.term >= max(self.rows.term, 1)
        return is_current and not self._may_have_taken_over()

    def _may_have_taken_over(self) -> bool:
        row = self.rows.authority
        is_holder = row is not None and row.holder == self.ref
        return bool(self.attempts) or is_holder

    def _is_successor(self, holder: HostRef) -> bool:
        # A host runs one incarnation at a time, so a later one knows that the
        # holder has ended and need not wait for its lease.
        is_same_host = holder.host == self.ref.host
        return is_same_host and holder.incarnation < self.ref.incarnation


@dataclass(frozen=True, slots=True)
class _Renewal:
    issued: float
    takers: tuple[HostRef, ...]


@dataclass(slots=True)
class AuthorityHolder:
    """The side that holds: rules A1 and A5.

    :param lease_end: rule A1 (i).
    :param promise_ends: rule A1 (ii), for each taker that has promised.
    :param renewals: transactions that may still take effect.
    """

    key: AuthorityKey
    ref: HostRef
    rows: Rows
    lease_end: float = 0
    wanted: tuple[HostRef, ...] = ()
    promise_ends: dict[HostRef, float] = field(default_factory=dict)
    renounced: set[HostRef] = field(default_factory=set)
    renewals: dict[str, _Renewal] = field(default_factory=dict)
    last_renewal: float = -COMMIT_PATIENCE_S
    last_ask: float = -ASK_PERIOD_S
    heir: HostRef | None = None

    @property
    def term(self) -> int:
        """Give the term of the row that names this host."""
        return self.rows.term

    @property
    def takers(self) -> tuple[HostRef, ...]:
        """Give the takers by the last known row."""
        return self.rows.authority.takers if self.rows.authority else ()

    def required(self) -> set[HostRef]:
        """Give all takers by a row that is or may come into force (A5)."""
        needed = set(self.takers)
        for renewal in self.renewals.values():
            if renewal.takers != self.takers:
                needed.update(renewal.takers)
        return needed

    def end(self) -> float:
        """Give the time at which the authority ends (A1)."""
        if self.heir is not None:
            return 0
        needed = self.required() - self.renounced
        ends = [self.promise_ends.get(taker, 0.0) for taker in needed]
        # Without a taker no other process can write the row.
        return max(self.lease_end, min(ends, default=math.inf))

    def see(self, rows: Rows) -> None:
        """Take in a reading that names this host as the holder."""
        renewal = None
        if rows.lease is not None:
            renewal = self.renewals.get(rows.lease.renewal)
        if renewal is not None:
            self.count_lease(renewal.issued)
        if rows.versions != self.rows.versions:
            self.renewals.clear()
        self.rows = rows

    def committed(self, event: Committed) -> None:
        """Count a renewal that is known to have taken effect."""
        renewal = self.renewals.get(event.nonce)
        if renewal is None:
            return
        self.count_lease(renewal.issued)
        row = self.rows.authority
        if row is None:
            raise InvariantError('holder-row', f'{self.key} has no row')
        version = self.rows.authority_version
        if len(event.versions) > 1:
            row = AuthorityRow(self.ref, row.term, renewal.takers, event.nonce)
            version = event.versions[1]
        self.rows = Rows(
            version,
            event.versions[0],
            row,
            LeaseRow(event.nonce),
        )
        self.renewals.clear()

    def promised(self, event: Promised) -> None:
        """Count a promise from before it was asked for."""
        answer = event.answer
        if answer.term != self.term:
            return
        if answer.renounced:
            self.renounced.add(answer.taker)
        if answer.duration_s > 0:
            end = event.asked + shortened(answer.duration_s)
            known = self.promise_ends.get(answer.taker, 0.0)
            self.promise_ends[answer.taker] = max(end, known)

    def ask(self, now: float) -> Effects:
        """Ask all required takers when it is time."""
        if now < self.last_ask + ASK_PERIOD_S or self.heir is not None:
            return []
        self.last_ask = now
        request = PromiseRequest(self.key, self.ref, self.term)
        # Those to be named are asked beforehand. Otherwise each attempt to
        # name them while the store refuses would end the authority (A5).
        needed = self.required().union(self.wanted) - self.renounced
        return [AskPromise(taker, request) for taker in sorted(needed)]

    def renew(self, now: float, nonces: Nonces) -> Effects:
        """Issue the next renewal, with a change of takers if one is due."""
        is_answered = not self.renewals
        patience = LEASE_RENEW_PERIOD_S if is_answered else COMMIT_PATIENCE_S
        if now < self.last_renewal + patience:
            return []
        self.last_renewal = now
        nonce = nonces()
        if self.heir is not None:
            row = AuthorityRow(self.heir, self.term + 1, self.wanted, nonce)
            return [_transaction(self.key, self.rows, nonce, row)]
        takers = self.wanted or self.takers
        changed = None
        if takers != self.takers:
            changed = AuthorityRow(self.ref, self.term, takers, nonce)
        self.renewals[nonce] = _Renewal(now, takers)
        return [_transaction(self.key, self.rows, nonce, changed)]

    def hand_over(self, heir: HostRef, takers: tuple[HostRef, ...]) -> None:
        """End the authority now and name another holder in the table."""
        self.heir = heir
        self.wanted = takers
        self.last_renewal = -COMMIT_PATIENCE_S

    def lease_s(self) -> float:
        """Give the time that a renewal counts (A1)."""
        return shortened(LEASE_S)

    def count_lease(self, issued: float) -> None:
        """Count a renewal from before it was issued."""
        self.lease_end = max(self.lease_end, issued + self.lease_s())


class Authority:
    """Both sides for one host; gives effects in answer to events.

    :param is_home: the host runs in the zone; only it may create the rows.
    :param nonces: gives a new unique name of a transaction at each call.
    """

    taker_type = AuthorityTaker
    holder_type = AuthorityHolder

    def __init__(
        self,
        key: AuthorityKey,
        ref: HostRef,
        nonces: Nonces,
        *,
        is_home: bool = True,
    ) -> None:
        self.key = key
        self.ref = ref
        self.taker = self.taker_type(key, ref, is_home)
        self.holder: AuthorityHolder | None = None
        self.wanted_takers: tuple[HostRef, ...] = ()
        self._nonces = nonces
        self._last_read = -WATCH_PERIOD_S
        self._told: int | None = None

    @property
    def rows(self) -> Rows:
        """Give the newest known rows."""
        return self.holder.rows if self.holder else self.taker.rows

    def end(self) -> float:
        """Give the time at which this host's authority ends; 0 for none."""
        return self.holder.end() if self.holder else 0

    def is_valid(self, now: float) -> bool:
        """Check the authority before an effect (A8)."""
        return self.holder is not None and now < self.holder.end()

    def term(self, now: float) -> int | None:
        """Give the term of an authority that is in force now."""
        if self.holder is None or now >= self.holder.end():
            return None
        return self.holder.term

    def promise(self, request: PromiseRequest, now: float) -> PromiseAnswer:
        """Answer a holder's request."""
        return self.taker.promise(request, now)

    def renounce(self) -> bool:
        """Renounce for a planned stop; false while it has to wait."""
        return self.taker.renounce()

    def hand_over(self, heir: HostRef, takers: tuple[HostRef, ...]) -> None:
        """Name another holder; no effect on a host that holds nothing."""
        if self.holder is not None and self.holder.heir is None:
            self.holder.hand_over(heir, takers)

    def tick(self, now: float) -> Effects:
        """Do what is due; call it a few times in each period."""
        effects: Effects = []
        if now >= self._last_read + self._read_period(now):
            self._last_read = now
            effects.append(ReadRows(self.key))
        if self.holder is not None:
            if self.holder.heir is None:
                self.holder.wanted = self.wanted_takers
            effects.extend(self.holder.ask(now))
            effects.extend(self.holder.renew(now, self._nonces))
        else:
            attempt = self.taker.attempt(
                self.wanted_takers,
                now,
                self._nonces,
            )
            effects.extend([attempt] if attempt else [])
        return effects + self._tell(now)

    def handle(self, event: StoreEvent, now: float) -> Effects:
        """Take in an answer of the store."""
        if isinstance(event, RowsRead):
            self._see(read_rows(event), now)
            return self._tell(now)
        if isinstance(event, Committed) and self.holder is not None:
            self.holder.committed(event)
            self.taker.see(self.holder.rows, now)
            return self._tell(now)
        if isinstance(event, Refused):
            self.taker.attempts.pop(event.nonce, None)
            if self.holder is not None:
                self.holder.renewals.pop(event.nonce, None)
            return self._tell(now)
        # A committed attempt and every doubtful outcome: read the rows.
        self._last_read = now
        return [ReadRows(self.key)]

    def promised(self, event: Promised) -> Effects:
        """Take in a taker's answer."""
        if self.holder is not None:
            self.holder.promised(event)
        return self._tell(event.answered)

    def _read_period(self, now: float) -> float:
        holder = self.holder
        if holder is None:
            # A taker that is asked for promises need not watch, which keeps
            # the reads of all takers off the platform.
            is_asked = now < self.taker.promised_until - PROMISE_S + SILENCE_S
            return CHECK_PERIOD_S if is_asked else WATCH_PERIOD_S
        # A holder learns the versions from its own renewals.
        is_known = holder.heir is None and not holder.renewals
        return math.inf if is_known else WATCH_PERIOD_S

    def _see(self, rows: Rows, now: float) -> None:
        if not rows.is_newer(self.rows):
            return  # a late answer to an earlier read
        row = rows.authority
        issued = self.taker.attempts.get(row.nonce) if row else None
        self.taker.see(rows, now)
        if row is None or row.holder != self.ref:
            self.holder = None
            return
        if self.holder is None or self.holder.term != row.term:
            self._become_holder(rows, issued, now)
        else:
            self.holder.see(rows)

    def _become_holder(
        self,
        rows: Rows,
        issued: float | None,
        now: float,
    ) -> None:
        if now < self.taker.promised_until and issued is not None:
            detail = f'{self.ref} took over {self.key} during its promise'
            raise InvariantError('promise-kept', detail)
        self.holder = self.holder_type(self.key, self.ref, rows)
        if issued is not None:
            self.holder.count_lease(issued)

    def _tell(self, now: float) -> Effects:
        term = self.term(now)
        if term == self._told:
            return []
        effects: Effects = []
        if self._told is not None:
            effects.append(Lost(self.key, self._told))
        if term is not None:
            effects.append(Gained(self.key, term))
        self._told = term
        return effects


def choose_takers(
    current: Iterable[HostRef],
    live: Iterable[HostRef],
    count: int,
) -> tuple[HostRef, ...]:
    """Keep current takers that live, and fill up with other live hosts.

    A taker that is not live keeps its place while nothing can replace it.
    """
    candidates = sorted(live)
    kept = [taker for taker in current if taker in candidates][:count]
    fresh = [ref for ref in candidates if ref not in kept]
    chosen = (kept + fresh)[:count]
    hosts = {ref.host for ref in chosen}
    silent = [taker for taker in current if taker.host not in hosts]
    return tuple(sorted((chosen + silent)[:count]))
