"""Chooses which keys go to another upstream.

Rates of keys are estimated from few requests, so an upstream counts as busy
only when its load is above what chance explains. A key that becomes hot
stands out within a second; ordinary fluctuations move nothing.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate

from oriolearch.core.directory import KEY_COUNT, Incarnation
from oriolearch.core.ownership import KeyRange

# A move interrupts a key for about one request, so small differences stay.
OVERLOAD = 1.25  # of the mean load, from which an upstream gives keys away
SIGNIFICANT = 2.5  # standard deviations of the estimate that chance explains
LEAST_GAIN = 0.08  # of the mean load, that a move must bring
RATE_TOLERANCE = 0.2  # of a wanted rate, within which parts count as equal
MOVES_AT_ONCE = 24  # of one plan; the next plan sees their effect
# Each range is granted and renewed on its own, and all are written in one row.
RANGES_PER_SEAT = 3
MERGES_AT_ONCE = 8  # of one plan, beside the moves for balance
COLD_SHARE = 0.3  # of its weight, that a cold upstream is given


@dataclass(frozen=True, slots=True)
class Seat:
    """An upstream that may own keys.

    :param weight: work that it can do, relative to the others.
    """

    ref: Incarnation
    weight: float


@dataclass(frozen=True, slots=True)
class Move:
    """Neighbouring keys of one range that go to another upstream."""

    first: int
    last: int
    owner: Incarnation


@dataclass(frozen=True, slots=True)
class Span:
    """Neighbouring keys; the last one belongs to them."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class Part:
    """One end of a range, with the requests per second of its keys."""

    whole: Span
    span: Span
    rate: float

    def rank(self, wanted: float) -> tuple[int, int]:
        """Give the order in which parts are preferred.

        Among parts with about the wanted rate the one with the fewest keys
        comes first: keys that nobody asks for are not to change hands.
        """
        missed = abs(self.rate - wanted) / wanted
        return int(missed / RATE_TOLERANCE), self.span.last - self.span.first

    def rest(self) -> Span | None:
        """Give what is left of the range."""
        if self.span == self.whole:
            return None
        if self.span.first > self.whole.first:
            return Span(self.whole.first, self.span.first - 1)
        return Span(self.span.last + 1, self.whole.last)


class KeyRates:
    """Requests per second of keys, summed over ranges of keys.

    :param rates: of keys with recent requests.
    :param variance: of an estimated rate, as a share of the rate.
    """

    def __init__(
        self,
        rates: Mapping[int, float],
        variance: float = 0.0,
    ) -> None:
        self.keys = sorted(rates)
        self.sums = [0.0, *accumulate(rates[key] for key in self.keys)]
        self.variance = variance
        # Keys without a recent request share what a second of it would be.
        self.base = max(self.sums[-1], 1.0) / 10 / KEY_COUNT

    def between(self, first: int, last: int) -> float:
        """Give the rate of neighbouring keys."""
        start = bisect_left(self.keys, first)
        end = bisect_right(self.keys, last)
        busy = self.sums[end] - self.sums[start]
        return busy + (last - first + 1) * self.base

    def cut(self, keys: Span, wanted: float) -> list[Part]:
        """Find parts at both ends of a range with about a wanted rate."""
        rest = self.between(keys.first, keys.last) - wanted
        lower = self._reach(keys, wanted)
        upper = self._reach(keys, rest)
        spans = (
            Span(keys.first, lower - 1),
            Span(keys.first, lower),
            Span(upper, keys.last),
            Span(upper + 1, keys.last),
        )
        return [
            Part(keys, span, self.between(span.first, span.last))
            for span in spans
            if span.first <= span.last
            and span.first >= keys.first
            and span.last <= keys.last
        ]

    def _reach(self, keys: Span, wanted: float) -> int:
        """Find the key at which the rate from the start is a wanted one."""
        return keys.first + bisect_left(
            range(keys.first, keys.last),
            wanted,
            key=lambda key: self.between(keys.first, key),
        )


def plan_rescue(
    ranges: Iterable[KeyRange],
    seats: Sequence[Seat],
    rates: KeyRates,
) -> list[Move]:
    """Move all keys of upstreams that may not own any."""
    if not seats:
        return []
    found = list(ranges)
    shares = _Shares(found, seats, rates)
    moves = []
    for keys in found:
        if keys.owner in shares.weights:
            continue
        ref = shares.idlest()
        shares.loads[ref] += rates.between(keys.first, keys.last)
        moves.append(Move(keys.first, keys.last, ref))
    return moves


def plan_balance(
    ranges: Iterable[KeyRange],
    seats: Sequence[Seat],
    rates: KeyRates,
) -> list[Move]:
    """Move keys from the busiest upstreams to those with the most room."""
    if len(seats) < 2:
        return []
    found = list(ranges)
    return _Plan(found, _Shares(found, seats, rates), rates).make()


def plan_merge(
    ranges: Sequence[KeyRange],
    seats: Sequence[Seat],
    rates: KeyRates,
) -> list[Move]:
    """Give small parts that nobody asks for to the owner of their neighbours.

    Parts that were hot stay apart otherwise, and their number only grows.
    """
    if not seats or len(ranges) <= RANGES_PER_SEAT * len(seats):
        return []
    return _Merge(ranges, _Shares(ranges, seats, rates), rates).make()


class _Shares:
    """Loads of upstreams against what each should have.

    :ivar mean: load for each unit of weight.
    """

    def __init__(
        self,
        ranges: Iterable[KeyRange],
        seats: Iterable[Seat],
        rates: KeyRates,
    ) -> None:
        self.weights = {seat.ref: seat.weight for seat in seats}
        self.loads = dict.fromkeys(self.weights, 0.0)
        for keys in ranges:
            if keys.owner in self.loads:
                rate = rates.between(keys.first, keys.last)
                self.loads[keys.owner] += rate
        self.mean = sum(self.loads.values()) / sum(self.weights.values())

    def ratio(self, ref: Incarnation) -> float:
        return self.loads[ref] / self.weights[ref]

    def idlest(self) -> Incarnation:
        return min(self.weights, key=self.ratio)

    def usual(self, ref: Incarnation) -> float:
        return self.mean * self.weights[ref]


class _Merge:
    def __init__(
        self,
        ranges: Sequence[KeyRange],
        shares: _Shares,
        rates: KeyRates,
    ) -> None:
        self.ranges = ranges
        self.rates = [rates.between(keys.first, keys.last) for keys in ranges]
        self.mean = shares.mean
        self.has_room = {
            ref
            for ref in shares.weights
            if shares.loads[ref] < shares.usual(ref)
        }
        self.touched: set[int] = set()

    def make(self) -> list[Move]:
        moves: list[Move] = []
        places = range(len(self.ranges))
        for place in sorted(places, key=self.rates.__getitem__):
            is_busy = self.rates[place] > LEAST_GAIN * self.mean
            if is_busy or len(moves) >= MERGES_AT_ONCE:
                break
            owner = self._owner_beside(place)
            if owner is not None:
                keys = self.ranges[place]
                moves.append(Move(keys.first, keys.last, owner))
        return moves

    def _owner_beside(self, place: int) -> Incarnation | None:
        """Find a neighbour with room, and keep both out of other moves."""
        keys = self.ranges[place]
        if place in self.touched or not keys.is_settled:
            return None
        for beside in (place - 1, place + 1):
            if beside in self.touched or not 0 <= beside < len(self.ranges):
                continue
            other = self.ranges[beside]
            is_usable = other.is_settled and other.owner in self.has_room
            if is_usable and other.owner != keys.owner:
                self.touched.update((place, beside))
                return other.owner
        return None


class _Plan:
    def __init__(
        self,
        ranges: Sequence[KeyRange],
        shares: _Shares,
        rates: KeyRates,
    ) -> None:
        self.rates = rates
        self.shares = shares
        self.movable: dict[Incarnation, list[Span]] = {}
        for keys in ranges:
            if keys.owner in shares.weights and keys.is_held and not keys.call:
                span = Span(keys.first, keys.last)
                self.movable.setdefault(keys.owner, []).append(span)
        self.moves: list[Move] = []

    def make(self) -> list[Move]:
        exhausted: set[Incarnation] = set()
        while len(self.moves) < MOVES_AT_ONCE:
            busiest = self._busiest(exhausted)
            if busiest is None:
                break
            if not self._relieve(busiest):
                exhausted.add(busiest)
        return self.moves

    def _busiest(self, exhausted: set[Incarnation]) -> Incarnation | None:
        busy = (
            ref
            for ref in self.shares.weights
            if ref not in exhausted and self._is_busy(ref)
        )
        return max(busy, key=self.shares.ratio, default=None)

    def _is_busy(self, ref: Incarnation) -> bool:
        usual = self.shares.usual(ref)
        by_chance = math.sqrt(usual * self.rates.variance)
        limit = max(usual * OVERLOAD, usual + SIGNIFICANT * by_chance)
        return self.shares.loads[ref] > limit

    def _relieve(self, busiest: Incarnation) -> bool:
        """Move one part of an upstream's keys; tell whether it helps."""
        shares = self.shares
        idlest = shares.idlest()
        excess = shares.loads[busiest] - shares.usual(busiest)
        room = shares.usual(idlest) - shares.loads[idlest]
        part = self._part_of(busiest, min(excess, room))
        if part is None:
            return False
        rate = part.rate
        is_small = rate < LEAST_GAIN * shares.usual(idlest)
        if is_small or rate > excess + room:
            return False
        self.movable[busiest].remove(part.whole)
        rest = part.rest()
        if rest is not None:
            # What is left can be cut again, so that keys that are hot side by
            # side go to several upstreams at once.
            self.movable[busiest].append(rest)
        self.moves.append(Move(part.span.first, part.span.last, idlest))
        shares.loads[busiest] -= rate
        shares.loads[idlest] += rate
        return True

    def _part_of(self, owner: Incarnation, wanted: float) -> Part | None:
        """Find neighbouring keys of an owner with about a wanted rate."""
        if wanted <= 0:
            return None
        parts = (
            part
            for keys in self.movable.get(owner, ())
            for part in self.rates.cut(keys, wanted)
        )
        return min(parts, key=lambda part: part.rank(wanted), default=None)
