"""Assigns the keys of one pool to upstreams by fenced leases.

The coordinator drives this state machine: it passes in events with the current
time and carries out the effects that :meth:`KeyOwnership.step` returns. Times
come from a clock that also counts suspended time, because a lease keeps
running at the upstream while the coordinator's host is suspended.

A change of owner is written to the store before any upstream is called, so
that a successor finds every lease that can exist:

1. ``Store``: the row names the new owner and the previous one. The previous
   owner keeps serving until the write succeeds, so an outage of the store
   does not interrupt service.
2. ``Release`` to the previous owner, which answers when none of its requests
   for the keys runs any more.
3. ``Grant`` to the new owner, with the transfer token of the previous one.

The keys of a previous owner that does not answer are reassigned after the
last lease that was sent to it has expired. A refused connection does not prove
that the upstream has ended, since a network partition can refuse connections
too. An upstream that did not answer a call gets no further grants until it
answers a probe, so that its last lease does expire.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from oriolearch.core.directory import KEY_COUNT, Incarnation, UpstreamEntry
from oriolearch.core.keyranges import OwnedRange

CLOCK_RATE_FACTOR = 1.02  # an upstream's clock may run 2 % slow
CLOCK_MARGIN_S = 0.1  # rounding and timer delays of the upstream
RETRY_S = 0.25  # delay before a refused or unanswered call is retried
CALL_TIMEOUT_S = 0.5  # timeout of a grant
MAX_CALLS_PER_UPSTREAM = 2  # concurrent grants and releases
SLOW_STORE_S = 0.4  # a successor may have read a write that takes longer
# By then a predecessor has stopped renewing the leases of ranges it moved.
PREDECESSOR_STOP_S = 1.2
EXPECTED_MOVE_S = 0.2  # usual duration of a release and a grant
PROBE_PERIOD_S = 0.25  # between probes of an unresponsive upstream
LOST_AFTER_S = 0.8  # an unresponsive upstream loses its keys after this
# The row names the previous owner for this long after a move has completed, so
# that one write covers the moves of a plan, or the next plan's as well. A
# successor that reads the row meanwhile leaves the keys without an owner for
# the length of a lease.
MOVE_RECORD_RETENTION_S = 0.4


@dataclass(slots=True, eq=False)
class KeyRange:
    """Consecutive keys that are leased together.

    :ivar owner: the upstream that the stored row names.
    :ivar previous: the previous owner, which may still hold a lease and is
        released before the new owner gets a grant.
    :ivar predecessor_lease_until: end of the latest lease that a preceding
        coordinator may have granted the owner; 0 once the owner has confirmed
        a later one.
    :ivar sent_lease_until: end of the latest lease that this coordinator sent.
    :ivar transfer_token: token that the previous owner returned. The next
        owner needs no cold start for the keys if it gets this token.
    :ivar prior_lease_until: ``sent_lease_until`` before the grant in flight.
    :ivar unanswered_lease_until: end of the latest lease whose grant was
        not answered. The upstream may apply that grant after a release.
    :ivar free_at: end of the latest lease that the previous owner may hold.
    :ivar release_effective_at: earliest time at which a release frees the
        keys.
    :ivar due_at: time of the next call for the range.
    :ivar planned: the next owner, until the move has been stored.
    :ivar planned_fence: fencing token of its first grant.
    :ivar revision: the first revision whose row describes this state.
    :ivar fence_revision: the first revision whose row has the fencing token.
    :ivar is_held: whether the owner confirmed its lease.
    :ivar call: number of the call in flight, 0 for none.
    """

    first: int
    last: int
    owner: Incarnation | None
    fence: int
    previous: Incarnation | None = None
    transfer_token: str | None = None
    predecessor_lease_until: float = 0.0
    sent_lease_until: float = 0.0
    prior_lease_until: float = 0.0
    unanswered_lease_until: float = 0.0
    free_at: float = 0.0
    release_effective_at: float = 0.0
    due_at: float = 0.0
    planned: Incarnation | None = None
    planned_fence: int = 0
    revision: int = 1
    fence_revision: int = 1
    is_held: bool = False
    call: int = 0

    @property
    def leased_until(self) -> float:
        """Return the end of the latest lease that the owner may hold."""
        return max(self.predecessor_lease_until, self.sent_lease_until)

    @property
    def is_settled(self) -> bool:
        """Check whether the keys are owned and no move or call is pending."""
        is_moving = self.planned is not None or self.previous is not None
        return self.is_held and not is_moving and not self.call

    @property
    def size(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class Grant:
    """Lease keys to an upstream for ``lease_s`` from the call's arrival.

    :param is_renewal: whether the upstream has confirmed a lease of the keys.
    """

    call: int
    upstream: UpstreamEntry
    first: int
    last: int
    fence: int
    lease_s: float
    transfer_token: str | None
    is_renewal: bool = False


@dataclass(frozen=True, slots=True)
class Release:
    """End the lease of an upstream before it expires."""

    call: int
    upstream: UpstreamEntry
    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class Store:
    """Write all ranges to the store if the coordinator is still current."""

    revision: int
    ranges: tuple[KeyRange, ...]


@dataclass(frozen=True, slots=True)
class Probe:
    """Check whether an unresponsive upstream answers."""

    upstream: UpstreamEntry


Effect = Grant | Release | Store | Probe


class KeyOwnership:
    """Ranges of one pool with their owners and leases.

    :param lease_s: duration of a lease.
    :param renew_s: interval between two renewals of a lease.
    :param first_fence: a fencing token above those of all predecessors.
    :param predecessor_lease_until: end of all leases that a predecessor may
        have granted to an upstream that does not answer.
    :param calls_from: no upstream is called before. Other upstreams than the
        ranges name may hold leases until then.
    """

    def __init__(
        self,
        now: float,
        ranges: Iterable[KeyRange],
        first_fence: int,
        lease_s: float,
        renew_s: float,
        predecessor_lease_until: float,
        calls_from: float = 0.0,
    ) -> None:
        self.calls_from = calls_from
        self.ranges = list(ranges)
        self.fence = first_fence
        self.lease_s = lease_s
        self.renew_s = renew_s
        self.upstreams: Mapping[Incarnation, UpstreamEntry] = {}
        self.ended: set[Incarnation] = set()
        # Several ranges when a range was split during its call.
        self.calls: dict[int, list[KeyRange]] = {}
        self.unresponsive_since: dict[Incarnation, float] = {}
        self.probe_at: dict[Incarnation, float] = {}
        self.open_calls: dict[Incarnation, int] = {}
        self.call_count = 0
        self.revision = 1
        self.stored_revision = 0
        self.storing_revision = 0
        self.is_store_pending = False
        self.is_outcome_unknown = False
        self.store_started_at = 0.0
        self.store_after = 0.0
        self.pending_changes: list[OwnedRange] = []
        for keys in self.ranges:
            keys.fence = self.allocate_fence()
            keys.predecessor_lease_until = predecessor_lease_until
            keys.free_at = predecessor_lease_until
            keys.release_effective_at = (
                now + lease_s * CLOCK_RATE_FACTOR + CLOCK_MARGIN_S
            )
            if keys.previous is not None:
                # The predecessor may keep renewing the previous owner's lease
                # for a short time, and a release would not stop that.
                keys.due_at = now + PREDECESSOR_STOP_S

    def allocate_fence(self) -> int:
        """Return a fencing token above all earlier ones."""
        self.fence += 1
        return self.fence

    def set_upstreams(
        self, upstreams: Mapping[Incarnation, UpstreamEntry]
    ) -> None:
        """Replace the callable upstreams.

        :param upstreams: includes draining upstreams and those of a zone that
            is out of service, which must still be released.
        """
        self.upstreams = upstreams

    def limit_predecessor_leases(self, until: float) -> None:
        """Lower the time until which leases of the predecessor may last."""
        self.calls_from = min(self.calls_from, until)
        for keys in self.ranges:
            keys.predecessor_lease_until = min(
                keys.predecessor_lease_until, until
            )
            keys.free_at = min(
                keys.free_at, max(until, keys.release_effective_at)
            )

    def plan_move(
        self,
        now: float,
        first: int,
        last: int,
        owner: Incarnation,
    ) -> bool:
        """Plan a move of keys to another owner.

        Keys that the previous owner may still hold a lease for, or that are
        being released or granted for the first time, are not moved. A move
        that is planned during a renewal begins after it: renewals at a slow
        upstream, which has to lose keys, are almost always in flight.

        :return: whether the move was planned.
        """
        keys = self.find(first)
        is_moving = keys.previous is not None and not keys.is_held
        if keys.planned is not None or (keys.call and not keys.is_held):
            return False
        if is_moving and now < keys.free_at:
            return False
        if keys.owner == owner or last > keys.last:
            return False
        keys = self._isolate(keys, first, last)
        keys.planned = owner
        keys.planned_fence = self.allocate_fence()
        self._require_store(now, keys)
        return True

    def find(self, key: int) -> KeyRange:
        """Return the range of a key."""
        return next(keys for keys in self.ranges if keys.last >= key)

    def merge(self) -> None:
        """Merge neighbouring ranges of one owner.

        The higher fencing token is valid for both: it is stored, and no other
        upstream owned these keys since the owner got them.
        """
        merged = self.ranges[:1]
        for keys in self.ranges[1:]:
            last = merged[-1]
            is_same = last.owner == keys.owner
            is_stored = (
                max(last.revision, keys.revision) <= self.stored_revision
            )
            both = last.is_settled and keys.is_settled
            if is_same and is_stored and both:
                merged[-1] = _merge_pair(last, keys)
            else:
                merged.append(keys)
        self.ranges = merged

    def step(self, now: float) -> list[Effect]:
        """Return the effects that are due now."""
        effects: list[Effect] = []
        has_changed = self.stored_revision < self.revision
        if (
            has_changed
            and not self.is_store_pending
            and now >= self.store_after
        ):
            effects.append(self.begin_store(now))
        effects.extend(self._due_probes(now))
        if now >= self.calls_from:
            effects.extend(self._due_calls(now))
        return effects

    def require_rewrite(self, now: float) -> None:
        """Require a write of all ranges, whether or not they changed."""
        self.revision += 1
        self.store_after = now

    def begin_store(self, now: float) -> Store:
        """Return a write of all ranges, whether or not they changed."""
        self.is_store_pending = True
        self.storing_revision = self.revision
        self.store_started_at = now
        return Store(self.revision, tuple(self.ranges))

    def _due_calls(self, now: float) -> Iterator[Effect]:
        for keys in self.ranges:
            if keys.call or not self._may_call(now, keys):
                continue
            effect = self._next_call(now, keys)
            if effect is not None:
                yield effect

    def _may_call(self, now: float, keys: KeyRange) -> bool:
        if keys.revision <= self.stored_revision:
            if keys.planned is not None:
                self._begin_move(now, keys)
            return now >= keys.due_at
        # A move waits for the store. The owner's lease is still renewed unless
        # a successor may have read the move.
        if keys.planned is None or not keys.is_held or self.is_outcome_unknown:
            return False
        if keys.fence_revision > self.stored_revision:
            # A successor may allocate the same token.
            return False
        if self.is_store_pending and now - self.store_started_at > SLOW_STORE_S:
            return False
        return now >= keys.due_at

    def record_store_success(self, now: float, revision: int) -> None:
        """Record that a ``Store`` succeeded."""
        self.is_store_pending = False
        self.is_outcome_unknown = False
        self.stored_revision = revision

    def record_store_failure(
        self, now: float, *, is_outcome_unknown: bool
    ) -> None:
        """Record that a ``Store`` failed.

        :param is_outcome_unknown: whether the write may have taken effect, or
            may do so later.
        """
        self.is_store_pending = False
        self.storing_revision = 0
        self.is_outcome_unknown = self.is_outcome_unknown or is_outcome_unknown
        self.store_after = now + RETRY_S

    def record_confirmation(
        self, now: float, call: int, sent_at: float
    ) -> None:
        """Record that the upstream confirmed a grant."""
        for keys in self._end_call(call):
            self._confirm(now, keys, sent_at)

    def _confirm(self, now: float, keys: KeyRange, sent_at: float) -> None:
        keys.due_at = sent_at + self.renew_s
        # The upstream refuses grants of a predecessor from now on.
        keys.predecessor_lease_until = 0.0
        if keys.is_held:
            return
        keys.is_held = True
        keys.transfer_token = None
        if keys.previous is not None:
            keys.previous = None
            self._require_record_removal(now)
        self.pending_changes.append(
            OwnedRange(keys.first, keys.last, keys.owner)
        )

    def record_fence_refusal(self, now: float, call: int) -> None:
        """Record that a higher fencing token made the upstream refuse."""
        for keys in self._end_call(call):
            keys.fence = self.allocate_fence()
            if keys.planned is not None:
                keys.planned_fence = self.allocate_fence()
            keys.due_at = now
            self._require_store(now, keys)
            keys.fence_revision = keys.revision

    def record_release(
        self, now: float, call: int, transfer_token: str | None
    ) -> None:
        """Record a release: no request for the keys runs any more."""
        for keys in self._end_call(call):
            keys.transfer_token = transfer_token
            keys.free_at = min(
                keys.free_at, max(now, keys.release_effective_at)
            )
            keys.due_at = keys.free_at

    def record_unsent_call(self, now: float, call: int) -> None:
        """Record that a call did not reach the upstream."""
        for keys in self._end_call(call):
            keys.due_at = now + RETRY_S
            keys.sent_lease_until = keys.prior_lease_until

    def record_unanswered_call(self, now: float, call: int) -> None:
        """Record a call without an answer; it may still take effect."""
        for keys in self._end_call(call):
            keys.due_at = now + RETRY_S
            keys.unanswered_lease_until = keys.sent_lease_until

    def record_replacement(
        self, now: float, call: int, upstream: Incarnation
    ) -> None:
        """Record that another upstream answers at the same address."""
        self.ended.add(upstream)
        for keys in self._end_call(call):
            keys.due_at = now

    def record_no_answer(self, now: float, upstream: Incarnation) -> None:
        """Record that an upstream did not answer."""
        self.unresponsive_since.setdefault(upstream, now)

    def record_answer(self, now: float, upstream: Incarnation) -> None:
        """Record that an upstream answered."""
        if self.unresponsive_since.pop(upstream, None) is not None:
            for keys in self.ranges:
                if upstream in {keys.owner, keys.previous} and not keys.call:
                    keys.due_at = now

    def is_lost(self, now: float, upstream: Incarnation) -> bool:
        """Check whether an upstream should lose its keys."""
        if upstream in self.ended:
            return True
        since = self.unresponsive_since.get(upstream)
        return since is not None and now - since > LOST_AFTER_S

    def has_open_moves(self) -> bool:
        """Return whether the stored row names a move, or will name one."""
        return self.stored_revision < self.revision or any(
            keys.planned is not None or keys.previous is not None
            for keys in self.ranges
        )

    def pop_changes(self) -> list[OwnedRange]:
        """Return the changes of ownership since the last call."""
        changes = self.pending_changes
        self.pending_changes = []
        return changes

    def snapshot(self, now: float) -> list[OwnedRange]:
        """Return the owners of all keys."""
        return [
            OwnedRange(keys.first, keys.last, keys.owner)
            if keys.is_held
            else self._unowned_range(now, keys)
            for keys in self.ranges
        ]

    def _unowned_range(self, now: float, keys: KeyRange) -> OwnedRange:
        """Return a range without an owner, and when it should get one."""
        expected_at = max(now + EXPECTED_MOVE_S, self.calls_from)
        if keys.previous in self.unresponsive_since:
            expected_at = max(expected_at, keys.free_at)
        return OwnedRange(keys.first, keys.last, None, expected_at)

    def _require_record_removal(self, now: float) -> None:
        """Require a write that no longer names the previous owner of a range.

        It is not urgent, and does not delay a write that is.
        """
        if self.revision == max(self.stored_revision, self.storing_revision):
            self.store_after = now + MOVE_RECORD_RETENTION_S
        self.revision += 1

    def _require_store(self, now: float, keys: KeyRange) -> None:
        """Require a write to the store before calls for a moved range."""
        self.require_rewrite(now)
        keys.revision = self.revision

    def _begin_move(self, now: float, keys: KeyRange) -> None:
        if keys.owner is not None:
            keys.previous = keys.owner
            keys.free_at = keys.leased_until
            keys.release_effective_at = keys.unanswered_lease_until
        keys.owner = keys.planned
        keys.fence = keys.planned_fence
        keys.planned = None
        if keys.sent_lease_until:
            keys.transfer_token = None
        keys.predecessor_lease_until = 0.0
        keys.sent_lease_until = 0.0
        keys.unanswered_lease_until = 0.0
        keys.is_held = False
        keys.due_at = now
        self.pending_changes.append(self._unowned_range(now, keys))

    def _due_probes(self, now: float) -> Iterator[Probe]:
        for ref in list(self.unresponsive_since):
            upstream = self.upstreams.get(ref)
            if upstream is None or ref in self.ended:
                del self.unresponsive_since[ref]
            elif now >= self.probe_at.get(ref, 0.0):
                self.probe_at[ref] = now + PROBE_PERIOD_S
                yield Probe(upstream)

    def _next_call(self, now: float, keys: KeyRange) -> Effect | None:
        if keys.previous in self.ended:
            keys.free_at = min(keys.free_at, now)
        if keys.previous is not None and not keys.is_held:
            if now < keys.free_at:
                if keys.transfer_token is not None:
                    keys.due_at = keys.free_at
                    return None
                return self._release(now, keys)
        return self._grant(now, keys)

    def _release(self, now: float, keys: KeyRange) -> Effect | None:
        previous = keys.previous
        upstream = self.upstreams.get(previous) if previous else None
        if upstream is None:
            keys.due_at = min(keys.free_at, now + RETRY_S)
            return None
        call = self._begin_call(keys, upstream.ref)
        if not call:
            return None
        return Release(call, upstream, keys.first, keys.last, keys.fence)

    def _grant(self, now: float, keys: KeyRange) -> Effect | None:
        upstream = self.upstreams.get(keys.owner) if keys.owner else None
        if upstream is None or upstream.ref in self.unresponsive_since:
            keys.due_at = now + RETRY_S
            return None
        call = self._begin_call(keys, upstream.ref)
        if not call:
            return None
        lease_s = self.lease_s * CLOCK_RATE_FACTOR + CLOCK_MARGIN_S
        keys.prior_lease_until = keys.sent_lease_until
        keys.sent_lease_until = now + CALL_TIMEOUT_S + lease_s
        return Grant(
            call,
            upstream,
            keys.first,
            keys.last,
            keys.fence,
            self.lease_s,
            keys.transfer_token,
            keys.is_held,
        )

    def _begin_call(self, keys: KeyRange, upstream: Incarnation) -> int:
        open_calls = self.open_calls.get(upstream, 0)
        if open_calls >= MAX_CALLS_PER_UPSTREAM:
            return 0
        self.open_calls[upstream] = open_calls + 1
        self.call_count += 1
        keys.call = self.call_count
        self.calls[keys.call] = [keys]
        return keys.call

    def _end_call(self, call: int) -> list[KeyRange]:
        """Return the ranges that the call was for, if it is in flight."""
        ranges = self.calls.pop(call, [])
        for keys in ranges:
            keys.call = 0
        return ranges

    def record_call_end(self, upstream: Incarnation) -> None:
        """Record the end of a call, with any outcome."""
        self.open_calls[upstream] -= 1

    def _isolate(self, keys: KeyRange, first: int, last: int) -> KeyRange:
        """Split a range so that one of its parts has exactly these keys."""
        parts = [
            (start, end)
            for start, end in (
                (keys.first, first - 1),
                (first, last),
                (last + 1, keys.last),
            )
            if start <= end
        ]
        if len(parts) == 1:
            return keys
        index = self.ranges.index(keys)
        pieces = [replace(keys, first=start, last=end) for start, end in parts]
        self.ranges[index : index + 1] = pieces
        if keys.call:
            self.calls[keys.call].remove(keys)
            self.calls[keys.call].extend(pieces)
        return next(piece for piece in pieces if piece.first == first)


def _merge_pair(lower: KeyRange, upper: KeyRange) -> KeyRange:
    return replace(
        lower,
        last=upper.last,
        fence=max(lower.fence, upper.fence),
        predecessor_lease_until=max(
            lower.predecessor_lease_until, upper.predecessor_lease_until
        ),
        sent_lease_until=max(lower.sent_lease_until, upper.sent_lease_until),
        prior_lease_until=max(lower.prior_lease_until, upper.prior_lease_until),
        unanswered_lease_until=max(
            lower.unanswered_lease_until, upper.unanswered_lease_until
        ),
        due_at=min(lower.due_at, upper.due_at),
        revision=max(lower.revision, upper.revision),
        fence_revision=max(lower.fence_revision, upper.fence_revision),
    )


def make_even_ranges(owners: Sequence[Incarnation]) -> list[KeyRange]:
    """Divide all keys evenly among owners, in their order."""
    bounds = [
        KEY_COUNT * index // len(owners) for index in range(len(owners) + 1)
    ]
    return [
        KeyRange(first, end - 1, owner, 0)
        for owner, first, end in zip(
            owners,
            bounds,
            bounds[1:],
            strict=False,
        )
    ]
