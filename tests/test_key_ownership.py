"""Ownership of keys by fenced, timed grants, without network or clock."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from oriolearch.coordinator_rows import decode_ranges, encode_ranges
from oriolearch.core.balance import (
    RANGES_PER_SEAT,
    KeyRates,
    Move,
    Seat,
    plan_balance,
    plan_merge,
    plan_rescue,
)
from oriolearch.core.directory import KEY_COUNT, Incarnation, UpstreamEntry
from oriolearch.core.keyranges import OwnedRange, OwnerMap
from oriolearch.core.ownership import (
    CALL_TIMEOUT_S,
    CLOCK_MARGIN_S,
    CLOCK_SHARE,
    LOST_AFTER_S,
    SETTLE_S,
    STORE_DOUBT_S,
    Effect,
    Grant,
    KeyOwnership,
    KeyRange,
    Probe,
    Release,
    Store,
    even_ranges,
)

ROW_BYTES = 65536  # of the store's rows
HOLD_S = 2.5
RENEW_S = 0.6
LONGEST_HOLD_S = CALL_TIMEOUT_S + HOLD_S * CLOCK_SHARE + CLOCK_MARGIN_S
A, B, C = (Incarnation(name, 1) for name in 'abc')


def entry(ref: Incarnation) -> UpstreamEntry:
    address = f'10.0.0.{ord(ref.name)}:80'
    return UpstreamEntry(ref, 'pool', address, 'z1', 2, False, 0.0)


class Fleet:
    """Answers the calls of an ownership and checks them against each other.

    :ivar holds: keys of each upstream with the end of its latest grant, as
        the slowest clock that is allowed measures it.
    """

    def __init__(
        self,
        ranges: list[KeyRange],
        unknown_until: float = 0.0,
    ) -> None:
        self.now = 0.0
        self.silent: set[Incarnation] = set()
        self.holds: dict[tuple[Incarnation, int], float] = {}
        self.stored: tuple[KeyRange, ...] = ()
        self.ownership = KeyOwnership(
            0.0,
            ranges,
            100,
            HOLD_S,
            RENEW_S,
            unknown_until,
        )
        self.ownership.set_upstreams({ref: entry(ref) for ref in (A, B, C)}, ())

    def run(self, for_s: float, step_s: float = 0.05) -> None:
        end = self.now + for_s
        while self.now < end:
            for effect in self.ownership.step(self.now):
                self.carry_out(effect)
            self.now += step_s

    def carry_out(self, effect: Effect) -> None:
        if isinstance(effect, Store):
            self.stored = effect.ranges
            self.ownership.stored(self.now, effect.revision)
        elif isinstance(effect, Probe):
            if effect.upstream.ref not in self.silent:
                self.ownership.heard(self.now, effect.upstream.ref)
        elif effect.upstream.ref in self.silent:
            self.ownership.silent(self.now, effect.upstream.ref)
            self.ownership.unanswered(self.now, effect.call)
            self.ownership.call_ended(effect.upstream.ref)
        else:
            self.answer(effect)

    def answer(self, effect: Grant | Release) -> None:
        ref = effect.upstream.ref
        for key in (effect.first, effect.last):
            if isinstance(effect, Release):
                self.holds.pop((ref, key), None)
                continue
            for (other, held), until in tuple(self.holds.items()):
                assert other == ref or held != key or until <= self.now
            self.holds[ref, key] = self.now + HOLD_S * CLOCK_SHARE
        if isinstance(effect, Grant):
            self.ownership.granted(self.now, effect.call, self.now)
        else:
            self.ownership.released(self.now, effect.call, 'token-1')
        self.ownership.call_ended(ref)

    def owner(self, key: int) -> Incarnation | None:
        ranges = self.ownership.snapshot(self.now)
        return next(keys.owner for keys in ranges if keys.last >= key)


def started(*owners: Incarnation) -> Fleet:
    fleet = Fleet(even_ranges(owners))
    fleet.run(0.3)
    return fleet


def test_first_grants_follow_the_write() -> None:
    """A grant that a successor could not find in the store."""
    fleet = Fleet(even_ranges([A, B]))
    first = fleet.ownership.step(0.0)
    assert [type(effect) for effect in first] == [Store]
    fleet.carry_out(first[0])
    grants = fleet.ownership.step(0.0)
    assert [type(effect) for effect in grants] == [Grant, Grant]


def test_move_releases_and_hands_over() -> None:
    """A move without release or transfer token: two owners, or slow keys."""
    fleet = started(A, B)
    assert fleet.ownership.move(fleet.now, 0, 99, B)
    seen: list[Effect] = []
    for _ in range(6):
        effects = fleet.ownership.step(fleet.now)
        moved = [
            effect
            for effect in effects
            if isinstance(effect, Store) or getattr(effect, 'last', 0) == 99
        ]
        seen.extend(moved)
        for effect in effects:
            fleet.carry_out(effect)
        fleet.now += 0.02
    assert [type(effect) for effect in seen] == [Store, Release, Grant]
    grant = seen[-1]
    assert isinstance(grant, Grant)
    assert grant.transfer_token == 'token-1'
    assert fleet.owner(50) == B
    assert fleet.owner(100) == A


def test_fences_rise_with_each_move() -> None:
    """A new owner whose fence is not above that of the last one."""
    fleet = started(A)
    fences = [fleet.ownership.find(5).fence]
    for owner in (B, C, A):
        assert fleet.ownership.move(fleet.now, 5, 5, owner)
        fleet.run(0.5)
        fences.append(fleet.ownership.find(5).fence)
    assert fences == sorted(set(fences))


@pytest.mark.parametrize('silent_for_s', [0.1, 0.9, 2.0])
def test_silent_owner_is_waited_out(silent_for_s: float) -> None:
    """Keys granted to a second upstream while the first may hold them.

    ``Fleet.answer`` compares every grant with the holds of the others.
    """
    fleet = started(A, B)
    fleet.silent.add(A)
    fleet.run(silent_for_s)
    silent_at = fleet.now
    while not fleet.ownership.move(fleet.now, 0, KEY_COUNT // 2 - 1, B):
        fleet.run(0.05)
    fleet.run(LONGEST_HOLD_S + 0.6)
    assert fleet.owner(0) == B
    assert fleet.now - silent_at < LONGEST_HOLD_S + 1.5


def test_renewals_stop_for_a_silent_owner() -> None:
    """An owner that is cut off one way and keeps being renewed."""
    fleet = started(A, B)
    fleet.silent.add(A)
    fleet.run(1.5)
    late = [
        effect
        for effect in fleet.ownership.step(fleet.now)
        if isinstance(effect, Grant) and effect.upstream.ref == A
    ]
    assert late == []
    assert fleet.ownership.is_lost(fleet.now, A)
    fleet.silent.clear()
    fleet.run(0.6)
    assert not fleet.ownership.is_lost(fleet.now, A)
    assert fleet.owner(0) == A


def test_refused_connection_is_no_proof_of_an_end() -> None:
    """A partition that resets connections: the upstream serves others.

    Seen on a day whose zone was cut off with resets: its upstreams held
    their keys while others were granted them.
    """
    fleet = started(A, B)
    held_until = fleet.ownership.find(0).held_until
    fleet.run(RENEW_S - 0.3)
    grant = next(
        effect
        for effect in fleet.ownership.step(fleet.now + 0.3)
        if isinstance(effect, Grant) and effect.upstream.ref == A
    )
    fleet.ownership.silent(fleet.now, A)
    fleet.ownership.unsent(fleet.now, grant.call)
    fleet.ownership.call_ended(A)
    fleet.silent.add(A)
    assert fleet.ownership.find(0).held_until == held_until
    assert fleet.ownership.move(fleet.now, 0, KEY_COUNT // 2 - 1, B)
    fleet.run(held_until - fleet.now - 0.2)
    assert fleet.owner(0) is None
    fleet.run(0.6)
    assert fleet.owner(0) == B


def test_unanswered_grant_may_be_applied_after_a_release() -> None:
    """A late grant that makes a released upstream an owner again."""
    fleet = started(A, B)
    fleet.silent.add(A)
    fleet.run(RENEW_S + 0.1)
    doubtful_until = fleet.ownership.find(0).doubtful_until
    assert doubtful_until > fleet.now
    fleet.silent.clear()
    fleet.ownership.heard(fleet.now, A)
    assert fleet.ownership.move(fleet.now, 0, KEY_COUNT // 2 - 1, B)
    fleet.run(0.4)
    assert fleet.owner(0) is None
    fleet.run(doubtful_until - fleet.now + 0.2)
    assert fleet.owner(0) == B


def test_replaced_upstream_frees_its_keys() -> None:
    """Waiting for an upstream whose address already has another one."""
    fleet = started(A, B)
    fleet.ownership.ended.add(A)
    fleet.holds.clear()
    assert fleet.ownership.move(fleet.now, 0, KEY_COUNT // 2 - 1, B)
    fleet.run(0.2)
    assert fleet.owner(0) == B


def test_successor_waits_for_grants_it_does_not_know() -> None:
    """A takeover that frees the keys of a silent upstream too early."""
    fleet = Fleet(even_ranges([A, B]), unknown_until=8.0)
    fleet.silent.add(A)
    fleet.run(1.5)
    assert fleet.owner(KEY_COUNT - 1) == B
    assert fleet.ownership.move(fleet.now, 0, KEY_COUNT // 2 - 1, B)
    fleet.run(7.9 - fleet.now)
    assert fleet.owner(0) is None
    fleet.run(0.6)
    assert fleet.owner(0) == B


def test_proof_of_the_predecessors_end_shortens_the_wait() -> None:
    """Keys that wait for a coordinator whose host runs anew.

    Seen on days that kill all hosts: keys of lost upstreams had no owner for
    15 seconds after each takeover.
    """
    fleet = Fleet(even_ranges([A, B]), unknown_until=15.0)
    fleet.silent.add(A)
    fleet.run(1.5)
    assert fleet.ownership.move(fleet.now, 0, KEY_COUNT // 2 - 1, B)
    fleet.run(0.5)
    fleet.ownership.limit_unknown(fleet.now + 3.0)
    fleet.run(2.8)
    assert fleet.owner(0) is None
    fleet.run(0.6)
    assert fleet.owner(0) == B


def test_proof_comes_after_a_call_that_was_not_sent() -> None:
    """Keys of an ended upstream that wait for grants nobody can have given.

    A grant that was refused a connection left the end of all unknown grants
    as if it had been sent itself, so the proof had no effect for a move that
    began after it: 15 s without an owner in place of 3.
    """
    fleet = Fleet(even_ranges([A, B]), unknown_until=15.0)
    fleet.carry_out(fleet.ownership.step(0.0)[0])
    grant, _ = fleet.ownership.step(0.0)
    assert isinstance(grant, Grant)
    fleet.ownership.silent(0.0, A)
    fleet.ownership.unsent(0.0, grant.call)
    fleet.ownership.call_ended(A)
    fleet.silent.add(A)
    assert fleet.ownership.find(0).held_until == pytest.approx(15)
    fleet.ownership.limit_unknown(3.0)
    assert fleet.ownership.move(fleet.now, 0, KEY_COUNT // 2 - 1, B)
    fleet.run(2.8)
    assert fleet.owner(0) is None
    fleet.run(0.6)
    assert fleet.owner(0) == B


def test_expected_time_of_an_owner() -> None:
    """A request that waits for an owner which cannot come in time."""
    fleet = started(A, B)
    fleet.silent.add(A)
    fleet.run(1.5)
    assert fleet.ownership.move(fleet.now, 0, 9, B)
    fleet.run(0.1)
    missing = fleet.ownership.snapshot(fleet.now)[0]
    assert missing.owner is None
    assert missing.expected_at == fleet.ownership.find(0).free_at
    assert fleet.ownership.move(fleet.now, KEY_COUNT - 1, KEY_COUNT - 1, C)
    fleet.run(0.25)
    assert fleet.owner(KEY_COUNT - 1) == C


def test_confirmed_grant_ends_the_doubt_about_the_predecessor() -> None:
    """A wait for a predecessor whose fences are refused by now."""
    fleet = Fleet(even_ranges([A, B]), unknown_until=60.0)
    fleet.run(0.5)
    assert fleet.ownership.find(0).held_until < 10


def test_fenced_grant_gets_a_higher_fence() -> None:
    """An upstream that refuses the same fence for ever."""
    fleet = Fleet(even_ranges([A]))
    fleet.carry_out(fleet.ownership.step(0.0)[0])
    grant = fleet.ownership.step(0.0)[0]
    assert isinstance(grant, Grant)
    fleet.ownership.fenced(0.0, grant.call)
    fleet.ownership.call_ended(A)
    fleet.run(0.3)
    assert fleet.owner(0) == A
    assert fleet.ownership.find(0).fence > grant.fence


def test_failed_store_keeps_the_owner_silent() -> None:
    """A grant for a move that the store does not hold."""
    fleet = started(A, B)
    assert fleet.ownership.move(fleet.now, 0, 9, B)
    store = fleet.ownership.step(fleet.now)[0]
    assert isinstance(store, Store)
    fleet.ownership.store_failed(fleet.now, is_doubtful=False)
    calls = [
        effect
        for effect in fleet.ownership.step(fleet.now + 0.1)
        if isinstance(effect, (Grant, Release)) and effect.last == 9
    ]
    assert calls == []
    fleet.run(0.8)
    assert fleet.owner(0) == B


@pytest.mark.parametrize(
    ('is_doubtful', 'is_renewed'),
    [(False, True), (True, False)],
    ids=['refused', 'unanswered'],
)
def test_owner_is_renewed_while_its_move_cannot_be_stored(
    is_doubtful: bool,
    is_renewed: bool,
) -> None:
    """Keys without service in an outage, or renewed behind a successor.

    A successor that read of the move releases the owner; a renewal by the
    predecessor would then make two upstreams hold the keys. Seen on a day on
    which the store did not answer the coordinator.
    """
    fleet = started(A, B)
    assert fleet.ownership.move(fleet.now, 0, 9, B)
    renewed = False
    for _ in range(40):
        for effect in fleet.ownership.step(fleet.now):
            if isinstance(effect, Store):
                fleet.ownership.store_failed(
                    fleet.now,
                    is_doubtful=is_doubtful,
                )
                continue
            if isinstance(effect, Grant) and effect.last == 9:
                renewed = True
            fleet.carry_out(effect)
        fleet.now += 0.05
    assert renewed == is_renewed
    assert fleet.owner(0) == A


def test_slow_write_stops_the_renewal_of_what_it_moves() -> None:
    """A renewal while a successor may have read of the move."""
    fleet = started(A, B)
    assert fleet.ownership.move(fleet.now, 0, 9, B)
    calls: list[float] = []
    began_at = fleet.now
    while fleet.now < began_at + 2:
        for effect in fleet.ownership.step(fleet.now):
            if isinstance(effect, Store):
                continue
            if isinstance(effect, Grant) and effect.last == 9:
                calls.append(fleet.now)
            fleet.carry_out(effect)
        fleet.now += 0.05
    assert all(at - began_at <= STORE_DOUBT_S for at in calls)


def test_new_owner_that_is_lost_before_it_holds_is_replaced() -> None:
    """Keys that stay without an owner for the rest of the day.

    Seen on a day on which a zone's servers went down while keys moved to
    them: a third of all requests found no owner for 40 seconds.
    """
    fleet = started(A, B)
    fleet.silent.add(C)
    assert fleet.ownership.move(fleet.now, 0, 9, C)
    fleet.run(1.5)
    assert fleet.owner(0) is None
    assert fleet.ownership.is_lost(fleet.now, C)
    assert fleet.ownership.move(fleet.now, 0, 9, B)
    fleet.run(LONGEST_HOLD_S + 0.5)
    assert fleet.owner(0) == B


def test_successor_lets_the_predecessor_settle() -> None:
    """A release that a renewal of the predecessor undoes."""
    ranges = even_ranges([A, B])
    ranges[0].previous = C
    fleet = Fleet(ranges)
    fleet.run(SETTLE_S * 0.9)
    assert fleet.owner(0) is None
    assert fleet.owner(KEY_COUNT - 1) == B
    fleet.run(LONGEST_HOLD_S)
    assert fleet.owner(0) == A


@pytest.mark.parametrize(
    ('changes', 'key', 'owner'),
    [
        ([], 7, None),
        ([(0, 9, A)], 9, A),
        ([(0, 9, A)], 10, None),
        ([(0, KEY_COUNT - 1, A), (5, 6, B)], 4, A),
        ([(0, KEY_COUNT - 1, A), (5, 6, B)], 6, B),
        ([(0, KEY_COUNT - 1, A), (5, 6, B)], 7, A),
        ([(0, 9, A), (10, 19, B), (5, 14, C)], 5, C),
        ([(0, 9, A), (10, 19, B), (5, 14, C)], 15, B),
        ([(0, 9, A), (0, 9, B)], 0, B),
    ],
)
def test_owner_map(
    changes: list[tuple[int, int, Incarnation]],
    key: int,
    owner: Incarnation | None,
) -> None:
    """A host that sends to an owner of other keys."""
    owners = OwnerMap()
    owners.update(OwnedRange(*change) for change in changes)
    assert owners.find(key).owner == owner
    covered = [found.first for found in owners.ranges]
    ends = [found.last + 1 for found in owners.ranges]
    assert covered == [0, *ends[:-1]]
    assert ends[-1] == KEY_COUNT


def held(ranges: list[KeyRange]) -> list[KeyRange]:
    for keys in ranges:
        keys.is_held = True
    return ranges


def even(_: int) -> float:
    return 0.0


@pytest.mark.parametrize(
    ('rate_of', 'most_moves'),
    [
        (even, 0),
        (lambda key: 3.0 if 100 <= key < 140 else 0.0, 8),
        (lambda key: 2.0 if key % 997 == 0 else 0.0, 0),
    ],
)
def test_balance_moves_only_what_helps(
    rate_of: Callable[[int], float],
    most_moves: int,
) -> None:
    """Churn without a busy upstream, or none with neighbouring hot keys."""
    ranges = held(even_ranges([A, B, C]))
    rates = {key: rate_of(key) for key in range(KEY_COUNT) if rate_of(key)}
    seats = [Seat(ref, 1.0) for ref in (A, B, C)]
    moves = plan_balance(ranges, seats, KeyRates(rates, 0.2))
    assert len(moves) <= most_moves
    assert bool(moves) == bool(most_moves)
    for move in moves:
        assert move.owner != A
        assert move.last - move.first < KEY_COUNT // 3


def test_neighbouring_hot_keys_are_spread_in_one_plan() -> None:
    """A block of hot keys that leaves its owner one part at a time.

    Load pattern: the start of a day, or a rush on neighbouring keys; the
    owner of the block had half of all requests for five seconds.
    """
    refs = [Incarnation(f'u{number}') for number in range(20)]
    ranges = held(even_ranges(refs))
    rates = dict.fromkeys(range(200), 0.25)
    rates.update({key: 0.05 for key in range(0, KEY_COUNT, 65)})
    seats = [Seat(ref, 1.0) for ref in refs]
    moves = plan_balance(ranges, seats, KeyRates(rates, 0.2))
    loads = dict.fromkeys(refs, 0.0)
    moved = {
        key: move.owner
        for move in moves
        for key in range(move.first, move.last + 1)
    }
    for keys in ranges:
        for key in range(keys.first, keys.last + 1):
            owner = moved.get(key) or keys.owner
            assert owner is not None
            loads[owner] += rates.get(key, 0.0)
    assert max(loads.values()) < 2 * sum(loads.values()) / len(loads)


@pytest.mark.parametrize('first', [0, 20000])
def test_few_cold_keys_move_with_hot_ones(first: int) -> None:
    """Keys that nobody asks for and that change hands with hot neighbours.

    Load pattern: a block of hot keys at the low end of its owner's range;
    two thirds of all keys moved on a calm day of the grown sites.
    """
    ranges = held(even_ranges([A, B, C]))
    rates = dict.fromkeys(range(first, first + 40), 3.0)
    seats = [Seat(ref, 1.0) for ref in (A, B, C)]
    moves = plan_balance(ranges, seats, KeyRates(rates, 0.2))
    moved = sum(move.last - move.first + 1 for move in moves)
    assert moves
    assert moved < KEY_COUNT / 10


def fragmented(count: int) -> list[KeyRange]:
    """Give many small ranges whose owners take turns."""
    ranges = held(
        even_ranges([(A, B, C)[number % 3] for number in range(3 * count)]),
    )
    for number, keys in enumerate(ranges):
        keys.fence = number + 1
    return ranges


def test_parts_that_nobody_asks_for_are_joined() -> None:
    """Ranges whose number only grows, each renewed on its own.

    Load pattern: hot keys that change all day. On iped-pares-grown trouble-1
    there were 1,022 ranges of 136 upstreams; their row was refused as too
    large, and nothing moved from then on.
    """
    fleet = Fleet(fragmented(30))
    held(fleet.ownership.ranges)
    fleet.ownership.stored_revision = 5
    seats = [Seat(ref, 1.0) for ref in (A, B, C)]
    rates = KeyRates(dict.fromkeys((100, 30000, 60000), 5.0))
    for _ in range(20):
        for move in plan_merge(fleet.ownership.ranges, seats, rates):
            keys = fleet.ownership.find(move.first)
            assert (keys.first, keys.last) == (move.first, move.last)
            keys.owner = move.owner
        fleet.ownership.merge()
    found = fleet.ownership.ranges
    assert len(found) <= RANGES_PER_SEAT * len(seats)
    assert found[0].first == 0
    assert found[-1].last == KEY_COUNT - 1
    assert all(
        lower.last + 1 == upper.first
        for lower, upper in zip(found, found[1:], strict=False)
    )


@pytest.mark.parametrize('plan', [plan_balance, plan_merge, plan_rescue])
def test_pool_without_upstreams_moves_nothing(
    plan: Callable[..., list[Move]],
) -> None:
    """A coordinator that ends its work when a pool has lost all upstreams."""
    assert plan(fragmented(4), [], KeyRates({100: 5.0})) == []


@pytest.mark.parametrize(
    'change',
    [
        {'owner': B},
        {'is_held': False},
        {'call': 3},
        {'planned': B},
        {'previous': B},
        {'revision': 6},
    ],
)
def test_only_settled_ranges_of_one_owner_are_joined(
    change: dict[str, Any],
) -> None:
    """A grant under way, or an unstored fence, that is forgotten."""
    fleet = Fleet(even_ranges([A, A]))
    lower, upper = held(fleet.ownership.ranges)
    fleet.ownership.ranges = [lower, replace(upper, **change)]
    fleet.ownership.stored_revision = 5
    fleet.ownership.merge()
    assert len(fleet.ownership.ranges) == 2


def test_joined_range_keeps_the_higher_fence_and_the_later_end() -> None:
    """Keys that are freed while an earlier grant of them still holds."""
    fleet = Fleet(even_ranges([A, A]))
    lower, upper = held(fleet.ownership.ranges)
    fleet.ownership.ranges = [
        replace(lower, fence=7, unknown_until=3.0, doubtful_until=9.0),
        replace(upper, fence=5, sent_until=8.0),
    ]
    fleet.ownership.stored_revision = 5
    fleet.ownership.merge()
    assert len(fleet.ownership.ranges) == 1
    joined = fleet.ownership.ranges[0]
    assert (joined.first, joined.last) == (0, KEY_COUNT - 1)
    assert joined.fence == 7
    ends = (joined.held_until, joined.sent_until, joined.doubtful_until)
    assert ends == (8.0, 8.0, 9.0)


def test_row_of_many_ranges_fits_the_store() -> None:
    """A row of 64 KB or more, which the store refuses."""
    ranges = fragmented(1000)
    value = encode_ranges(tuple(ranges), 9)
    assert len(value) < ROW_BYTES
    found = decode_ranges(value)
    assert [keys.first for keys in found] == [keys.first for keys in ranges]
    assert [keys.owner for keys in found] == [keys.owner for keys in ranges]


@pytest.mark.parametrize('value', [b'', b'x\x9c\x00', b'{}', b'[]', b'\xff'])
def test_unreadable_row_is_an_error(value: bytes) -> None:
    """A row that ends the reader's task."""
    with pytest.raises(ValueError):
        decode_ranges(value)


def test_rescue_leaves_no_keys_at_unusable_upstreams() -> None:
    """Keys that stay with an upstream that is out of service."""
    ranges = held(even_ranges([A, B, C]))
    seats = [Seat(B, 1.0), Seat(C, 1.0)]
    moves = plan_rescue(ranges, seats, KeyRates({}))
    assert [(move.first, move.last) for move in moves] == [
        (ranges[0].first, ranges[0].last),
    ]
    assert moves[0].owner in {B, C}
    assert plan_rescue(ranges, [], KeyRates({})) == []


def test_lost_after_a_while_only() -> None:
    """One lost packet that costs an upstream its keys."""
    fleet = started(A, B)
    fleet.ownership.silent(fleet.now, A)
    assert not fleet.ownership.is_lost(fleet.now + LOST_AFTER_S / 2, A)
    assert fleet.ownership.is_lost(fleet.now + LOST_AFTER_S * 1.1, A)
