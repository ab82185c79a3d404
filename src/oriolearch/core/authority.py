"""The authority lease: rules A1 to A8 of docs/design.md as state machines.

:class:`AuthoritySuccessor` is the role of a possible successor: it watches the
rows, answers promise requests and attempts takeovers. :class:`AuthorityHolder`
renews the lease and computes until when this host may act as the coordinator.
:class:`Authority` combines both roles for one host. Nothing here reads a
clock: each event is passed with the host's monotonic time at its handling.
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
from oriolearch.core.model import (
    HostRef,
    add_clock_margin,
    subtract_clock_margin,
)
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
PROMISE_REQUEST_PERIOD_S = 0.4
# A successor reads the rows every WATCH_PERIOD_S once the last promise request
# is older than this.
HOLDER_SILENCE_S = 0.5
# Read period of a successor that receives promise requests.
IDLE_READ_PERIOD_S = 5.0
# Added to the watch time of successors outside the zone, so that the zone's own
# successors, whose watch periods differ, attempt a takeover first.
ADOPTER_DELAY_S = 0.4
COMMIT_RETRY_S = 0.6  # time after which an unanswered transaction is retried


@dataclass(frozen=True, slots=True)
class ReadRows:
    """Effect: read the lease row, wait for it, then read the authority row.

    A takeover writes both rows. Reading them in this order never returns a
    changed lease row with the authority row from before the takeover.
    """

    key: AuthorityKey


@dataclass(frozen=True, slots=True)
class RowsRead:
    """Event: the rows that :class:`ReadRows` has read."""

    authority: StoredRow
    lease: StoredRow


@dataclass(frozen=True, slots=True)
class RequestPromise:
    """Effect: send a promise request to a possible successor."""

    taker: HostRef
    request: PromiseRequest


@dataclass(frozen=True, slots=True)
class PromiseReceived:
    """Event: the answer to a promise request.

    :param requested_at: the holder's time before it sent the request.
    :param received_at: the holder's time when the answer arrived.
    """

    answer: PromiseAnswer
    requested_at: float
    received_at: float


@dataclass(frozen=True, slots=True)
class AuthorityGained:
    """Effect: this host may act as the coordinator of this term."""

    key: AuthorityKey
    term: int


@dataclass(frozen=True, slots=True)
class AuthorityLost:
    """Effect: this host may not act as the coordinator for now."""

    key: AuthorityKey
    term: int


Effect = ReadRows | Commit | RequestPromise | AuthorityGained | AuthorityLost
StoreEvent = RowsRead | Committed | Refused | Unresolved
Effects = list[Effect]
Nonces = Callable[[], str]


@dataclass(frozen=True, slots=True)
class Rows:
    """A reading of both rows."""

    authority_version: int = 0
    lease_version: int = 0
    authority: AuthorityRow | None = None
    lease: LeaseRow | None = None

    @property
    def versions(self) -> tuple[int, int]:
        """Return the versions that a transaction is conditional on."""
        return self.authority_version, self.lease_version

    @property
    def term(self) -> int:
        """Return the term in force; 0 before the first."""
        return self.authority.term if self.authority else 0

    def is_not_older(self, other: 'Rows') -> bool:
        """Return whether no row is older than in another reading."""
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
class AuthoritySuccessor:
    """The role of a possible successor: rules A2, A3, A4 and A6.

    :param unchanged_since: time of the first reading of the current versions.
    :param attempts: takeover transactions that may still take effect, with a
        time before they were issued.
    """

    key: AuthorityKey
    ref: HostRef
    is_home: bool
    rows: Rows = field(default_factory=Rows)
    unchanged_since: float | None = None
    promised_until: float = 0
    has_renounced: bool = False
    attempts: dict[str, float] = field(default_factory=dict)
    last_attempted_at: float = 0
    attempt_term: int = 0

    def apply_rows(self, rows: Rows, now: float) -> None:
        """Apply a reading; changed versions restart the watch period."""
        if self.unchanged_since is None or rows.versions != self.rows.versions:
            self.unchanged_since = now
            # Each attempt is conditional on both versions of one reading, so
            # a newer reading proves that no attempt can still take effect.
            self.attempts.clear()
        self.rows = rows

    def promise(self, request: PromiseRequest, now: float) -> PromiseAnswer:
        """Answer a promise request (A2); a duration of 0 is a refusal."""
        is_promised = self._can_promise(request)
        if is_promised:
            self.promised_until = max(self.promised_until, now + PROMISE_S)
        return PromiseAnswer(
            self.key,
            self.ref,
            request.term,
            PROMISE_S if is_promised else 0,
            is_promised and self.has_renounced,
        )

    def renounce(self) -> bool:
        """Stop attempting takeovers, and return whether that has succeeded.

        It fails while the outcome of an attempt is unknown.
        """
        if not self.attempts:
            self.has_renounced = True
        return self.has_renounced

    def attempt(
        self,
        successors: tuple[HostRef, ...],
        now: float,
        nonces: Nonces,
    ) -> Commit | None:
        """Return a takeover transaction when rule A3 allows one."""
        if self.has_renounced or not self.may_attempt(now):
            return None
        if self.attempts and now < self.last_attempted_at + COMMIT_RETRY_S:
            return None
        nonce = nonces()
        self.attempts[nonce] = now
        self.last_attempted_at = now
        self.attempt_term = self.rows.term + 1
        row = AuthorityRow(self.ref, self.attempt_term, successors, nonce)
        return _transaction(self.key, self.rows, nonce, row)

    def may_attempt(self, now: float) -> bool:
        """Check whether rule A3 allows a takeover attempt.

        This host must be entitled to it and have no promise in force. It must
        have watched the rows for long enough, unless there is no row yet or
        the holder is an earlier incarnation of this host.
        """
        if self.unchanged_since is None or now < self.promised_until:
            return False
        row = self.rows.authority
        if row is None:
            return self.is_home
        if self._is_later_incarnation(row.holder):
            return True
        is_watched = now >= self.unchanged_since + self.watch_duration_s()
        return is_watched and self.ref in row.successors

    def watch_duration_s(self) -> float:
        """Return the time for which the rows must be unchanged (A3)."""
        return add_clock_margin(LEASE_S) + (
            0 if self.is_home else ADOPTER_DELAY_S
        )

    def _can_promise(self, request: PromiseRequest) -> bool:
        is_current = request.term >= max(self.rows.term, 1)
        return is_current and not self._may_have_taken_over()

    def _may_have_taken_over(self) -> bool:
        row = self.rows.authority
        is_holder = row is not None and row.holder == self.ref
        return bool(self.attempts) or is_holder

    def _is_later_incarnation(self, holder: HostRef) -> bool:
        # A host runs one incarnation at a time. A later incarnation on the
        # holder's host thus knows that the holder has ended, and need not wait
        # for the lease to expire.
        is_same_host = holder.host == self.ref.host
        return is_same_host and holder.incarnation < self.ref.incarnation


@dataclass(frozen=True, slots=True)
class _PendingRenewal:
    """A renewal transaction that may still take effect."""

    issued: float
    successors: tuple[HostRef, ...]


@dataclass(slots=True)
class AuthorityHolder:
    """The role of the holder: rules A1 and A5.

    :param lease_end: end of the lease, A1 (i).
    :param wanted_successors: successors that the next renewal names in the row.
    :param promise_ends: end of each successor's promise, A1 (ii).
    :param renounced: successors that will not attempt a takeover.
    :param renewals: transactions that may still take effect.
    :param next_holder: host to which the authority is being handed over.
    """

    key: AuthorityKey
    ref: HostRef
    rows: Rows
    lease_end: float = 0
    wanted_successors: tuple[HostRef, ...] = ()
    promise_ends: dict[HostRef, float] = field(default_factory=dict)
    renounced: set[HostRef] = field(default_factory=set)
    renewals: dict[str, _PendingRenewal] = field(default_factory=dict)
    last_renewed_at: float = -COMMIT_RETRY_S
    last_requested_at: float = -PROMISE_REQUEST_PERIOD_S
    next_holder: HostRef | None = None

    @property
    def term(self) -> int:
        """Return the term of the row that names this host."""
        return self.rows.term

    @property
    def successors(self) -> tuple[HostRef, ...]:
        """Return the successors in the last known row."""
        return self.rows.authority.successors if self.rows.authority else ()

    def required_successors(self) -> set[HostRef]:
        """Return the successors in rows that are or may be in force (A5)."""
        required = set(self.successors)
        for renewal in self.renewals.values():
            if renewal.successors != self.successors:
                required.update(renewal.successors)
        return required

    def end(self) -> float:
        """Return the time at which the authority ends (A1)."""
        if self.next_holder is not None:
            return 0
        required = self.required_successors() - self.renounced
        ends = [self.promise_ends.get(successor, 0.0) for successor in required]
        # Without successors no other process can write the row.
        return max(self.lease_end, min(ends, default=math.inf))

    def apply_rows(self, rows: Rows) -> None:
        """Apply a reading that names this host as the holder."""
        renewal = None
        if rows.lease is not None:
            renewal = self.renewals.get(rows.lease.renewal)
        if renewal is not None:
            self.extend_lease(renewal.issued)
        if rows.versions != self.rows.versions:
            self.renewals.clear()
        self.rows = rows

    def apply_commit(self, event: Committed) -> None:
        """Apply a renewal that was confirmed as committed."""
        renewal = self.renewals.get(event.nonce)
        if renewal is None:
            return
        self.extend_lease(renewal.issued)
        row = self.rows.authority
        if row is None:
            raise InvariantError(
                'holder-row', f'no authority row for {self.key}'
            )
        version = self.rows.authority_version
        if len(event.versions) > 1:
            row = AuthorityRow(
                self.ref, row.term, renewal.successors, event.nonce
            )
            version = event.versions[1]
        self.rows = Rows(
            version,
            event.versions[0],
            row,
            LeaseRow(event.nonce),
        )
        self.renewals.clear()

    def receive_promise(self, event: PromiseReceived) -> None:
        """Record a promise, whose duration counts from before the request."""
        answer = event.answer
        if answer.term != self.term:
            return
        if answer.renounced:
            self.renounced.add(answer.taker)
        if answer.duration_s > 0:
            end = event.requested_at + subtract_clock_margin(answer.duration_s)
            earlier = self.promise_ends.get(answer.taker, 0.0)
            self.promise_ends[answer.taker] = max(end, earlier)

    def request_promises(self, now: float) -> Effects:
        """Return promise requests to all successors when they are due."""
        if (
            now < self.last_requested_at + PROMISE_REQUEST_PERIOD_S
            or self.next_holder is not None
        ):
            return []
        self.last_requested_at = now
        request = PromiseRequest(self.key, self.ref, self.term)
        # Wanted successors are asked before a renewal names them. Otherwise a
        # renewal that names them while the store refuses writes would end the
        # authority (A5).
        recipients = (
            self.required_successors().union(self.wanted_successors)
            - self.renounced
        )
        return [
            RequestPromise(successor, request)
            for successor in sorted(recipients)
        ]

    def renew(self, now: float, nonces: Nonces) -> Effects:
        """Return the next renewal, which also writes changed successors."""
        is_answered = not self.renewals
        period = LEASE_RENEW_PERIOD_S if is_answered else COMMIT_RETRY_S
        if now < self.last_renewed_at + period:
            return []
        self.last_renewed_at = now
        nonce = nonces()
        if self.next_holder is not None:
            row = AuthorityRow(
                self.next_holder, self.term + 1, self.wanted_successors, nonce
            )
            return [_transaction(self.key, self.rows, nonce, row)]
        successors = self.wanted_successors or self.successors
        changed = None
        if successors != self.successors:
            changed = AuthorityRow(self.ref, self.term, successors, nonce)
        self.renewals[nonce] = _PendingRenewal(now, successors)
        return [_transaction(self.key, self.rows, nonce, changed)]

    def hand_over(
        self, next_holder: HostRef, successors: tuple[HostRef, ...]
    ) -> None:
        """End the authority now and write another holder to the table."""
        self.next_holder = next_holder
        self.wanted_successors = successors
        self.last_renewed_at = -COMMIT_RETRY_S

    def lease_s(self) -> float:
        """Return the time for which a renewal extends the lease (A1)."""
        return subtract_clock_margin(LEASE_S)

    def extend_lease(self, issued: float) -> None:
        """Extend the lease by a renewal that was issued at the given time."""
        self.lease_end = max(self.lease_end, issued + self.lease_s())


class Authority:
    """Both roles of one host; its methods return effects.

    :param is_home: the host runs in the authority's zone. Only such hosts may
        create the rows.
    :param nonces: returns a unique transaction name at each call.
    """

    taker_type = AuthoritySuccessor
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
        self.successor = self.taker_type(key, ref, is_home)
        self.holder: AuthorityHolder | None = None
        self.wanted_successors: tuple[HostRef, ...] = ()
        self._nonces = nonces
        self._last_read_at = -WATCH_PERIOD_S
        self._reported_term: int | None = None

    @property
    def rows(self) -> Rows:
        """Return the newest known rows."""
        return self.holder.rows if self.holder else self.successor.rows

    def end(self) -> float:
        """Return the end of this host's authority; 0 without one."""
        return self.holder.end() if self.holder else 0

    def is_valid(self, now: float) -> bool:
        """Check whether the authority is in force, before an effect (A8)."""
        return self.holder is not None and now < self.holder.end()

    def term(self, now: float) -> int | None:
        """Return the term of the authority; ``None`` if it is not in force."""
        if self.holder is None or now >= self.holder.end():
            return None
        return self.holder.term

    def promise(self, request: PromiseRequest, now: float) -> PromiseAnswer:
        """Answer the promise request of a holder."""
        return self.successor.promise(request, now)

    def renounce(self) -> bool:
        """Renounce takeovers before a shutdown; return whether it succeeded."""
        return self.successor.renounce()

    def hand_over(
        self, next_holder: HostRef, successors: tuple[HostRef, ...]
    ) -> None:
        """Hand the authority over; do nothing if this host does not hold it."""
        if self.holder is not None and self.holder.next_holder is None:
            self.holder.hand_over(next_holder, successors)

    def tick(self, now: float) -> Effects:
        """Return the effects that are due; call it a few times per period."""
        effects: Effects = []
        if now >= self._last_read_at + self._read_period(now):
            self._last_read_at = now
            effects.append(ReadRows(self.key))
        if self.holder is not None:
            if self.holder.next_holder is None:
                self.holder.wanted_successors = self.wanted_successors
            effects.extend(self.holder.request_promises(now))
            effects.extend(self.holder.renew(now, self._nonces))
        else:
            attempt = self.successor.attempt(
                self.wanted_successors,
                now,
                self._nonces,
            )
            effects.extend([attempt] if attempt else [])
        return effects + self._report_changes(now)

    def handle(self, event: StoreEvent, now: float) -> Effects:
        """Apply an answer of the store."""
        if isinstance(event, RowsRead):
            self._apply_rows(read_rows(event), now)
            return self._report_changes(now)
        if isinstance(event, Committed) and self.holder is not None:
            self.holder.apply_commit(event)
            self.successor.apply_rows(self.holder.rows, now)
            return self._report_changes(now)
        if isinstance(event, Refused):
            self.successor.attempts.pop(event.nonce, None)
            if self.holder is not None:
                self.holder.renewals.pop(event.nonce, None)
            return self._report_changes(now)
        # After a committed takeover or an unknown outcome, the rows are read.
        self._last_read_at = now
        return [ReadRows(self.key)]

    def receive_promise(self, event: PromiseReceived) -> Effects:
        """Apply the answer to a promise request."""
        if self.holder is not None:
            self.holder.receive_promise(event)
        return self._report_changes(event.received_at)

    def _read_period(self, now: float) -> float:
        holder = self.holder
        if holder is None:
            # While promise requests arrive the holder is alive, so a successor
            # reads the rows rarely. This limits the platform's read load.
            is_asked = (
                now
                < self.successor.promised_until - PROMISE_S + HOLDER_SILENCE_S
            )
            return IDLE_READ_PERIOD_S if is_asked else WATCH_PERIOD_S
        # The holder has the versions from the answers to its own renewals.
        is_current = holder.next_holder is None and not holder.renewals
        return math.inf if is_current else WATCH_PERIOD_S

    def _apply_rows(self, rows: Rows, now: float) -> None:
        if not rows.is_not_older(self.rows):
            return  # the answer to an earlier read arrived late
        row = rows.authority
        issued = self.successor.attempts.get(row.nonce) if row else None
        self.successor.apply_rows(rows, now)
        if row is None or row.holder != self.ref:
            self.holder = None
            return
        if self.holder is None or self.holder.term != row.term:
            self._become_holder(rows, issued, now)
        else:
            self.holder.apply_rows(rows)

    def _become_holder(
        self,
        rows: Rows,
        issued: float | None,
        now: float,
    ) -> None:
        if now < self.successor.promised_until and issued is not None:
            detail = (
                f'{self.ref} took over {self.key} before the end of its promise'
            )
            raise InvariantError('promise-kept', detail)
        self.holder = self.holder_type(self.key, self.ref, rows)
        if issued is not None:
            self.holder.extend_lease(issued)

    def _report_changes(self, now: float) -> Effects:
        term = self.term(now)
        if term == self._reported_term:
            return []
        effects: Effects = []
        if self._reported_term is not None:
            effects.append(AuthorityLost(self.key, self._reported_term))
        if term is not None:
            effects.append(AuthorityGained(self.key, term))
        self._reported_term = term
        return effects


def choose_successors(
    current: Iterable[HostRef],
    live: Iterable[HostRef],
    count: int,
) -> tuple[HostRef, ...]:
    """Return the current successors that are live, filled up with live hosts.

    A successor that is not live is kept while no live host can replace it.
    """
    candidates = sorted(live)
    kept = [successor for successor in current if successor in candidates][
        :count
    ]
    added = [ref for ref in candidates if ref not in kept]
    chosen = (kept + added)[:count]
    hosts = {ref.host for ref in chosen}
    unreplaced = [
        successor for successor in current if successor.host not in hosts
    ]
    return tuple(sorted((chosen + unreplaced)[:count]))
