"""Assigns the keys of one pool to upstreams by fenced, timed grants.

The coordinator drives this state machine: it feeds events with the current
time and carries out the effects that :meth:`KeyOwnership.step` returns. Times
come from a clock that also counts suspended time, because a grant runs on at
the upstream while the coordinator's host is suspended.

A change of owner is written to the store before any upstream hears of it, so
that a successor finds every grant that can exist:

1. ``Store``: the row names the new owner and the previous one, which goes on
   serving meanwhile, so that an outage of the store interrupts nothing;
2. ``Release`` to the previous owner, which answers once its work has ended;
3. ``Grant`` to the new owner, with the transfer token of the previous one.

A previous owner that does not answer is waited out: its keys are free when
the last grant that was sent to it has surely ended. A refused connection is
no proof of its end, since a partition may look like that. An upstream that
missed a call gets no further grants before it answers a probe, so that the
last grant does end.
"""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, replace

from oriolearch.core.directory import KEY_COUNT, Incarnation, UpstreamEntry
from oriolearch.core.keyranges import OwnedRange

CLOCK_SHARE = 1.02  # an upstream's clock may run 2 % slow
CLOCK_MARGIN_S = 0.1  # rounding and timers of the upstream
RETRY_S = 0.25  # a refused or unanswered call is repeated after this
CALL_TIMEOUT_S = 0.5  # a grant that was not answered by then is given up
CALLS_AT_ONCE = 2  # grants and releases under way at one upstream
STORE_DOUBT_S = 0.4  # a write that takes longer may be seen by a successor
SETTLE_S = 1.2  # a predecessor has stopped renewing what it moved by then
MOVE_S = 0.2  # a move by release and grant takes about as long
PROBE_PERIOD_S = 0.25  # a silent upstream is asked this often
LOST_AFTER_S = 0.8  # a silent upstream loses its keys after this
MERGE_AFTER_S = 1.0  # a move is dropped from the row this long after its end


@dataclass(slots=True, eq=False)
class KeyRange:
    """Keys that are granted together.

    :ivar owner: the upstream that the stored row names.
    :ivar previous: may still hold the keys; is released first.
    :ivar unknown_until: end of the latest grant that a predecessor may have
        given the owner; 0 once the owner has confirmed a later one.
    :ivar sent_until: end of the latest grant that this coordinator sent.
    :ivar transfer_token: what the previous owner gave for the next one, which
        then has the keys warm.
    :ivar prior_until: ``sent_until`` before the grant under way.
    :ivar doubtful_until: end of the latest grant without an answer. It may
        be applied after a release.
    :ivar free_at: end of the latest grant that the previous owner may have.
    :ivar settled_at: earliest time at which a release frees the keys.
    :ivar planned: the owner that a move will bring, once it is stored.
    :ivar planned_fence: the fence of its first grant.
    :ivar revision: the first one whose row tells all this.
    :ivar is_held: the owner confirmed the grant.
    :ivar call: number of the call under way, 0 for none.
    """

    first: int
    last: int
    owner: Incarnation | None
    fence: int
    previous: Incarnation | None = None
    transfer_token: str | None = None
    unknown_until: float = 0.0
    sent_until: float = 0.0
    prior_until: float = 0.0
    doubtful_until: float = 0.0
    free_at: float = 0.0
    settled_at: float = 0.0
    due_at: float = 0.0
    planned: Incarnation | None = None
    planned_fence: int = 0
    revision: int = 1
    is_held: bool = False
    call: int = 0

    @property
    def held_until(self) -> float:
        """Give the end of the latest grant that the owner may have."""
        return max(self.unknown_until, self.sent_until)

    @property
    def is_settled(self) -> bool:
        """Tell whether the owner holds the keys and nothing is under way."""
        is_moving = self.planned is not None or self.previous is not None
        return self.is_held and not is_moving and not self.call

    @property
    def size(self) -> int:
        """Count the keys."""
        return self.last - self.first + 1


@dataclass(frozen=True, slots=True)
class Grant:
    """Grant keys to an upstream for ``hold_s`` from the call's arrival."""

    call: int
    upstream: UpstreamEntry
    first: int
    last: int
    fence: int
    hold_s: float
    transfer_token: str | None


@dataclass(frozen=True, slots=True)
class Release:
    """Take keys back from an upstream."""

    call: int
    upstream: UpstreamEntry
    first: int
    last: int
    fence: int


@dataclass(frozen=True, slots=True)
class Store:
    """Write all ranges to the store, under the coordinator's conditions."""

    revision: int
    ranges: tuple[KeyRange, ...]


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask an upstream whether it is there."""

    upstream: UpstreamEntry


Effect = Grant | Release | Store | Probe


class KeyOwnership:
    """The ranges of one pool and their grants.

    :param hold_s: time for which keys are granted.
    :param renew_s: pause between two renewals of a grant.
    :param first_fence: above all fences that any predecessor used.
    :param unknown_until: end of all grants that a predecessor may have given
        to an upstream that does not answer.
    """

    def __init__(
        self,
        now: float,
        ranges: Iterable[KeyRange],
        first_fence: int,
        hold_s: float,
        renew_s: float,
        unknown_until: float,
    ) -> None:
        self.ranges = list(ranges)
        self.fence = first_fence
        self.hold_s = hold_s
        self.renew_s = renew_s
        self.upstreams: Mapping[Incarnation, UpstreamEntry] = {}
        self.ended: set[Incarnation] = set()
        self.calls: dict[int, KeyRange] = {}
        self.silent_since: dict[Incarnation, float] = {}
        self.probe_at: dict[Incarnation, float] = {}
        self.busy: dict[Incarnation, int] = {}
        self.call_count = 0
        self.revision = 1
        self.stored_revision = 0
        self.is_storing = False
        self.is_doubtful = False
        self.storing_since = 0.0
        self.store_after = 0.0
        self.changed: list[OwnedRange] = []
        for keys in self.ranges:
            keys.fence = self.next_fence()
            keys.unknown_until = unknown_until
            keys.free_at = unknown_until
            keys.settled_at = now + hold_s * CLOCK_SHARE + CLOCK_MARGIN_S
            if keys.previous is not None:
                # The predecessor may renew the previous owner for a moment,
                # and a release would not stop that.
                keys.due_at = now + SETTLE_S

    def next_fence(self) -> int:
        """Give a fence above all earlier ones."""
        self.fence += 1
        return self.fence

    def set_upstreams(
        self,
        upstreams: Mapping[Incarnation, UpstreamEntry],
        ended: Iterable[Incarnation],
    ) -> None:
        """Take the upstreams that can be called, and those that surely ended.

        :param upstreams: includes draining ones and those of a zone that is
            out, which are still to be released.
        """
        self.upstreams = upstreams
        self.ended.update(ended)

    def limit_unknown(self, until: float) -> None:
        """Set the end of all grants that the predecessor may have given."""
        for keys in self.ranges:
            keys.unknown_until = min(keys.unknown_until, until)
            keys.free_at = min(keys.free_at, max(until, keys.settled_at))

    def move(
        self,
        now: float,
        first: int,
        last: int,
        owner: Incarnation,
    ) -> bool:
        """Give keys another owner; tell whether that was possible.

        Keys that the previous owner may still hold, or for which a call is
        under way, stay as they are.
        """
        keys = self.find(first)
        is_moving = keys.previous is not None and not keys.is_held
        if keys.planned is not None or keys.call:
            return False
        if is_moving and now < keys.free_at:
            return False
        if keys.owner == owner or last > keys.last:
            return False
        keys = self._cut_out(keys, first, last)
        keys.planned = owner
        keys.planned_fence = self.next_fence()
        self._change(now, keys)
        return True

    def find(self, key: int) -> KeyRange:
        """Give the range of a key."""
        return next(keys for keys in self.ranges if keys.last >= key)

    def merge(self) -> None:
        """Join neighbouring ranges of one owner.

        The higher fence holds for both: it is stored, and nobody else had
        these keys since the owner got them.
        """
        joined = self.ranges[:1]
        for keys in self.ranges[1:]:
            last = joined[-1]
            is_same = last.owner == keys.owner
            is_stored = (
                max(last.revision, keys.revision) <= self.stored_revision
            )
            both = last.is_settled and keys.is_settled
            if is_same and is_stored and both:
                joined[-1] = _join(last, keys)
            else:
                joined.append(keys)
        self.ranges = joined

    def step(self, now: float) -> list[Effect]:
        """Give what is to be done now."""
        effects: list[Effect] = []
        has_changed = self.stored_revision < self.revision
        if has_changed and not self.is_storing and now >= self.store_after:
            self.is_storing = True
            self.storing_since = now
            effects.append(Store(self.revision, tuple(self.ranges)))
        effects.extend(self._probes(now))
        effects.extend(self._calls(now))
        return effects

    def _calls(self, now: float) -> Iterator[Effect]:
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
        # A move waits for the store; the owner is still renewed unless a
        # successor may have read of the move.
        if keys.planned is None or not keys.is_held or self.is_doubtful:
            return False
        if self.is_storing and now - self.storing_since > STORE_DOUBT_S:
            return False
        return now >= keys.due_at

    def stored(self, now: float, revision: int) -> None:
        """Take the success of a ``Store``."""
        self.is_storing = False
        self.is_doubtful = False
        self.stored_revision = revision

    def store_failed(self, now: float, *, is_doubtful: bool) -> None:
        """Take the failure of a ``Store``.

        :param is_doubtful: it may have taken effect, or may later.
        """
        self.is_storing = False
        self.is_doubtful = self.is_doubtful or is_doubtful
        self.store_after = now + RETRY_S

    def granted(self, now: float, call: int, sent_at: float) -> None:
        """Take the confirmation of a grant."""
        keys = self._end_call(call)
        if keys is None:
            return
        keys.due_at = sent_at + self.renew_s
        # From here on the upstream refuses grants of a predecessor.
        keys.unknown_until = 0.0
        if keys.is_held:
            return
        keys.is_held = True
        keys.transfer_token = None
        if keys.previous is not None:
            # The row may name a previous owner for longer than needed.
            keys.previous = None
            self.revision += 1
            self.store_after = now + MERGE_AFTER_S
        self.changed.append(OwnedRange(keys.first, keys.last, keys.owner))

    def fenced(self, now: float, call: int) -> None:
        """Take a refusal: the upstream has seen a higher fence."""
        keys = self._end_call(call)
        if keys is not None:
            keys.fence = self.next_fence()
            keys.due_at = now
            self._change(now, keys)

    def released(
        self, now: float, call: int, transfer_token: str | None
    ) -> None:
        """Take the answer to a release: no work runs on the keys."""
        keys = self._end_call(call)
        if keys is not None:
            keys.transfer_token = transfer_token
            keys.free_at = min(keys.free_at, max(now, keys.settled_at))
            keys.due_at = keys.free_at

    def unsent(self, now: float, call: int) -> None:
        """Take a call that did not reach the upstream."""
        keys = self._end_call(call)
        if keys is not None:
            keys.due_at = now + RETRY_S
            keys.sent_until = keys.prior_until

    def unanswered(self, now: float, call: int) -> None:
        """Take a call without an answer; it may still have its effect."""
        keys = self._end_call(call)
        if keys is not None:
            keys.due_at = now + RETRY_S
            keys.doubtful_until = keys.sent_until

    def replaced(self, now: float, call: int, upstream: Incarnation) -> None:
        """Take the word of another upstream at the address of one."""
        self.ended.add(upstream)
        keys = self._end_call(call)
        if keys is not None:
            keys.due_at = now

    def silent(self, now: float, upstream: Incarnation) -> None:
        """Take that an upstream did not answer."""
        self.silent_since.setdefault(upstream, now)

    def heard(self, now: float, upstream: Incarnation) -> None:
        """Take that an upstream answered."""
        if self.silent_since.pop(upstream, None) is not None:
            for keys in self.ranges:
                if upstream in {keys.owner, keys.previous} and not keys.call:
                    keys.due_at = now

    def is_lost(self, now: float, upstream: Incarnation) -> bool:
        """Tell whether an upstream should lose its keys."""
        if upstream in self.ended:
            return True
        since = self.silent_since.get(upstream)
        return since is not None and now - since > LOST_AFTER_S

    def take_changes(self) -> list[OwnedRange]:
        """Give the changes of ownership since the last call."""
        changes = self.changed
        self.changed = []
        return changes

    def snapshot(self, now: float) -> list[OwnedRange]:
        """Give the owner of all keys."""
        return [
            OwnedRange(keys.first, keys.last, keys.owner)
            if keys.is_held
            else self._missing_range(now, keys)
            for keys in self.ranges
        ]

    def _missing_range(self, now: float, keys: KeyRange) -> OwnedRange:
        """Tell when keys that nobody holds should have an owner."""
        expected_at = now + MOVE_S
        if keys.previous in self.silent_since:
            expected_at = max(expected_at, keys.free_at)
        return OwnedRange(keys.first, keys.last, None, expected_at)

    def _change(self, now: float, keys: KeyRange) -> None:
        """Have a range stored before anything is done with it."""
        self.revision += 1
        keys.revision = self.revision
        self.store_after = now

    def _begin_move(self, now: float, keys: KeyRange) -> None:
        if keys.owner is not None:
            keys.previous = keys.owner
            keys.free_at = keys.held_until
            keys.settled_at = keys.doubtful_until
        keys.owner = keys.planned
        keys.fence = keys.planned_fence
        keys.planned = None
        if keys.sent_until:
            keys.transfer_token = None
        keys.unknown_until = 0.0
        keys.sent_until = 0.0
        keys.doubtful_until = 0.0
        keys.is_held = False
        keys.due_at = now
        self.changed.append(self._missing_range(now, keys))

    def _probes(self, now: float) -> Iterator[Probe]:
        for ref in list(self.silent_since):
            upstream = self.upstreams.get(ref)
            if upstream is None or ref in self.ended:
                del self.silent_since[ref]
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
        if upstream is None or upstream.ref in self.silent_since:
            keys.due_at = now + RETRY_S
            return None
        call = self._begin_call(keys, upstream.ref)
        if not call:
            return None
        hold_s = self.hold_s * CLOCK_SHARE + CLOCK_MARGIN_S
        keys.prior_until = keys.sent_until
        keys.sent_until = now + CALL_TIMEOUT_S + hold_s
        return Grant(
            call,
            upstream,
            keys.first,
            keys.last,
            keys.fence,
            self.hold_s,
            keys.transfer_token,
        )

    def _begin_call(self, keys: KeyRange, upstream: Incarnation) -> int:
        busy = self.busy.get(upstream, 0)
        if busy >= CALLS_AT_ONCE:
            return 0
        self.busy[upstream] = busy + 1
        self.call_count += 1
        keys.call = self.call_count
        self.calls[keys.call] = keys
        return keys.call

    def _end_call(self, call: int) -> KeyRange | None:
        keys = self.calls.pop(call, None)
        if keys is None or keys.call != call:
            return None
        keys.call = 0
        return keys

    def call_ended(self, upstream: Incarnation) -> None:
        """Take the end of a call of any outcome, for the upstream's room."""
        self.busy[upstream] -= 1

    def _cut_out(self, keys: KeyRange, first: int, last: int) -> KeyRange:
        """Split a range so that one of its parts has just these keys."""
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
        place = self.ranges.index(keys)
        pieces = [replace(keys, first=start, last=end) for start, end in parts]
        self.ranges[place : place + 1] = pieces
        return next(piece for piece in pieces if piece.first == first)


def _join(lower: KeyRange, upper: KeyRange) -> KeyRange:
    return replace(
        lower,
        last=upper.last,
        fence=max(lower.fence, upper.fence),
        unknown_until=max(lower.unknown_until, upper.unknown_until),
        sent_until=max(lower.sent_until, upper.sent_until),
        prior_until=max(lower.prior_until, upper.prior_until),
        doubtful_until=max(lower.doubtful_until, upper.doubtful_until),
        due_at=min(lower.due_at, upper.due_at),
        revision=max(lower.revision, upper.revision),
    )


def even_ranges(owners: Sequence[Incarnation]) -> list[KeyRange]:
    """Divide all keys evenly among owners, in their order."""
    bounds = [
        KEY_COUNT * place // len(owners) for place in range(len(owners) + 1)
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
