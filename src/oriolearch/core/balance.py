"""Plans which keys move to another upstream.

The request rates of keys are estimated from few requests, so an upstream
counts as overloaded only when its load is significantly above the mean. A key
that becomes hot is detected within a second, and random fluctuations cause no
moves.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from itertools import accumulate
from statistics import fmean

from oriolearch.core.directory import KEY_COUNT, Incarnation
from oriolearch.core.ownership import KeyRange

# A move interrupts a key for about one request, so that small differences in
# load are not worth one. An upstream above this multiple of its fair share is
# overloaded.
OVERLOAD_RATIO = 1.25
# Part of the mean load by which an upstream has to exceed its share. Otherwise
# slow upstreams, whose shares are small, would lose keys again and again.
MIN_EXCESS = 0.25
# Up to this many standard deviations, a difference may be random.
SIGNIFICANT_DEVIATIONS = 2.5
MIN_GAIN_RATIO = 0.08  # of the mean load; a smaller part is not moved
RATE_TOLERANCE = 0.2  # of the target rate; parts within it count as equal
MAX_MOVES_PER_PLAN = 24  # the next plan sees the effect of these moves
# Ranges above this number are merged, since each range has its own lease and
# renewals, and one row holds all ranges.
RANGES_PER_UPSTREAM = 3
# A key with this share of its owner's capacity is moved to a faster upstream.
HOT_KEY_SHARE = 0.8
MIN_SPEED_GAIN = 1.6  # ratio of capacities that is worth such a move
MAX_MERGES_PER_PLAN = 8  # in addition to the moves for balance
REPORT_WEIGHT = 0.1  # of a new report in a smoothed estimate
STEADY_RATIO = 2.0  # an estimate that changes by more has really changed


@dataclass(frozen=True, slots=True)
class OwnerCandidate:
    """An upstream that may own keys.

    :param weight: share of the load relative to the other upstreams.
    :param rate: requests per second that it can serve.
    """

    ref: Incarnation
    weight: float
    rate: float = math.inf


@dataclass(frozen=True, slots=True)
class Move:
    """Consecutive keys of one range that move to another upstream."""

    first: int
    last: int
    owner: Incarnation


@dataclass(frozen=True, slots=True)
class Span:
    """Consecutive keys, including the last one."""

    first: int
    last: int


@dataclass(frozen=True, slots=True)
class Part:
    """Keys at one end of a range.

    :param whole: all keys of the range.
    :param rate: requests per second of the keys of the part.
    """

    whole: Span
    span: Span
    rate: float

    def preference(self, target_rate: float) -> tuple[int, int]:
        """Return the sort key of a part; the lowest is preferred.

        Among parts with about the target rate, the one with the fewest keys
        is preferred, so that keys without requests keep their owner.
        """
        deviation = abs(self.rate - target_rate) / target_rate
        return int(deviation / RATE_TOLERANCE), self.span.last - self.span.first

    def remainder(self) -> Span | None:
        """Return the keys of the range outside the part."""
        if self.span == self.whole:
            return None
        if self.span.first > self.whole.first:
            return Span(self.whole.first, self.span.first - 1)
        return Span(self.span.last + 1, self.whole.last)


class KeyRates:
    """Requests per second of keys, summed by range of keys.

    :param rates: rates of the keys with recent requests.
    :param variance: ratio of the variance of an estimated rate to the rate.
    """

    def __init__(
        self,
        rates: Mapping[int, float],
        variance: float = 0.0,
    ) -> None:
        self.rates = rates
        self.keys = sorted(rates)
        self.sums = [0.0, *accumulate(rates[key] for key in self.keys)]
        self.variance = variance
        # A tenth of the total rate is spread over all keys, so that keys
        # without a recent request have a rate too.
        self.base_rate = max(self.sums[-1], 1.0) / 10 / KEY_COUNT

    def rate_of(self, first: int, last: int) -> float:
        """Return the rate of consecutive keys."""
        start = bisect_left(self.keys, first)
        end = bisect_right(self.keys, last)
        busy = self.sums[end] - self.sums[start]
        return busy + (last - first + 1) * self.base_rate

    def find_parts(self, keys: Span, target_rate: float) -> list[Part]:
        """Return parts at both ends of a range with about a target rate."""
        rest = self.rate_of(keys.first, keys.last) - target_rate
        lower = self._find_boundary(keys, target_rate)
        upper = self._find_boundary(keys, rest)
        spans = (
            Span(keys.first, lower - 1),
            Span(keys.first, lower),
            Span(upper, keys.last),
            Span(upper + 1, keys.last),
        )
        return [
            Part(keys, span, self.rate_of(span.first, span.last))
            for span in spans
            if span.first <= span.last
            and span.first >= keys.first
            and span.last <= keys.last
        ]

    def _find_boundary(self, keys: Span, target_rate: float) -> int:
        """Return the key up to which the range has the target rate."""
        return keys.first + bisect_left(
            range(keys.first, keys.last),
            target_rate,
            key=lambda key: self.rate_of(keys.first, key),
        )


def is_steady(previous: float, reported: float) -> bool:
    """Return whether an estimate has changed by no more than chance may."""
    return 1 / STEADY_RATIO < reported / previous < STEADY_RATIO


def smooth(previous: float | None, reported: float) -> float:
    """Return an estimate, such as a service time, after a report.

    Most differences between two reports are random. One that is not, as of an
    upstream that has become slow, counts at once.
    """
    if not previous or not is_steady(previous, reported):
        return reported
    return previous + (reported - previous) * REPORT_WEIGHT


def plan_evacuation(
    ranges: Iterable[KeyRange],
    candidates: Sequence[OwnerCandidate],
    rates: KeyRates,
) -> list[Move]:
    """Plan to move the keys of upstreams that may not own any."""
    if not candidates:
        return []
    range_list = list(ranges)
    load_shares = _LoadShares(range_list, candidates, rates)
    moves = []
    for keys in range_list:
        if keys.owner in load_shares.weights:
            continue
        ref = load_shares.least_loaded()
        load_shares.loads[ref] += rates.rate_of(keys.first, keys.last)
        moves.append(Move(keys.first, keys.last, ref))
    return moves


def plan_hot_keys(
    ranges: Sequence[KeyRange],
    candidates: Sequence[OwnerCandidate],
    rates: KeyRates,
) -> list[Move]:
    """Plan to move keys that alone exceed their owners to the fastest ones.

    A key cannot be divided, so that the speed of its owner decides how many of
    its requests are served.
    """
    capacities = {candidate.ref: candidate.rate for candidate in candidates}
    free = sorted(candidates, key=lambda candidate: -candidate.rate)
    moves = []
    for key, owner in _keys_beyond_owners(ranges, capacities, rates):
        fastest = free[0] if free else None
        min_capacity = MIN_SPEED_GAIN * capacities[owner]
        next_owner = owner
        if fastest is not None and fastest.rate >= min_capacity:
            next_owner = fastest.ref
            moves.append(Move(key, key, next_owner))
        free = [candidate for candidate in free if candidate.ref != next_owner]
    return moves


def _keys_beyond_owners(
    ranges: Sequence[KeyRange],
    capacities: Mapping[Incarnation, float],
    rates: KeyRates,
) -> Iterator[tuple[int, Incarnation]]:
    """Yield the keys that alone exceed their owners, the busiest first."""
    min_rate = HOT_KEY_SHARE * min(capacities.values(), default=math.inf)
    hot = [key for key, rate in rates.rates.items() if rate >= min_rate]
    hot.sort(key=rates.rates.__getitem__, reverse=True)
    for key in hot[:MAX_MOVES_PER_PLAN]:
        owner = _settled_owner(ranges, key)
        limit = HOT_KEY_SHARE * capacities.get(owner, math.inf) if owner else 0
        if owner is not None and rates.rates[key] >= limit:
            yield key, owner


def _settled_owner(ranges: Sequence[KeyRange], key: int) -> Incarnation | None:
    """Return the owner of a key unless it is being moved."""
    index = bisect_left(ranges, key, key=lambda keys: keys.last)
    keys = ranges[index]
    is_settled = keys.is_held and keys.planned is None
    return keys.owner if is_settled else None


def plan_balance(
    ranges: Iterable[KeyRange],
    candidates: Sequence[OwnerCandidate],
    rates: KeyRates,
) -> list[Move]:
    """Plan to move keys from the most to the least loaded upstreams."""
    if len(candidates) < 2:
        return []
    range_list = list(ranges)
    return _BalancePlan(
        range_list, _LoadShares(range_list, candidates, rates), rates
    ).build()


def plan_merge(
    ranges: Sequence[KeyRange],
    candidates: Sequence[OwnerCandidate],
    rates: KeyRates,
) -> list[Move]:
    """Plan to move small ranges with few requests to a neighbour's owner.

    Otherwise ranges that were split off while they were hot would remain
    separate, and the number of ranges would only grow.
    """
    if not candidates or len(ranges) <= RANGES_PER_UPSTREAM * len(candidates):
        return []
    return _MergePlan(
        ranges, _LoadShares(ranges, candidates, rates), rates
    ).build()


class _LoadShares:
    """Loads of the upstreams and their fair shares of the total.

    :ivar mean_load: load per unit of weight.
    """

    def __init__(
        self,
        ranges: Iterable[KeyRange],
        candidates: Iterable[OwnerCandidate],
        rates: KeyRates,
    ) -> None:
        self.weights = {
            candidate.ref: candidate.weight for candidate in candidates
        }
        self.loads = dict.fromkeys(self.weights, 0.0)
        for keys in ranges:
            if keys.owner in self.loads:
                rate = rates.rate_of(keys.first, keys.last)
                self.loads[keys.owner] += rate
        self.mean_load = sum(self.loads.values()) / sum(self.weights.values())

    def load_ratio(self, ref: Incarnation) -> float:
        return self.loads[ref] / self.weights[ref]

    def least_loaded(self) -> Incarnation:
        """Return the upstream with the lowest load for its share.

        One whose share is below the smallest part that is moved gets none.
        """
        min_weight = MIN_GAIN_RATIO * fmean(self.weights.values())
        receivers = [
            ref for ref, weight in self.weights.items() if weight >= min_weight
        ]
        return min(receivers, key=self.load_ratio)

    def fair_share(self, ref: Incarnation) -> float:
        return self.mean_load * self.weights[ref]


class _MergePlan:
    def __init__(
        self,
        ranges: Sequence[KeyRange],
        load_shares: _LoadShares,
        rates: KeyRates,
    ) -> None:
        self.ranges = ranges
        self.rates = [rates.rate_of(keys.first, keys.last) for keys in ranges]
        self.mean_load = load_shares.mean_load
        self.underloaded = {
            ref
            for ref in load_shares.weights
            if load_shares.loads[ref] < load_shares.fair_share(ref)
        }
        self.changed_indexes: set[int] = set()

    def build(self) -> list[Move]:
        moves: list[Move] = []
        indexes = range(len(self.ranges))
        for index in sorted(indexes, key=self.rates.__getitem__):
            is_busy = self.rates[index] > MIN_GAIN_RATIO * self.mean_load
            if is_busy or len(moves) >= MAX_MERGES_PER_PLAN:
                break
            owner = self._neighbour_with_capacity(index)
            if owner is not None:
                keys = self.ranges[index]
                moves.append(Move(keys.first, keys.last, owner))
        return moves

    def _neighbour_with_capacity(self, index: int) -> Incarnation | None:
        """Return a neighbour's owner with spare capacity.

        Neither range is used in another move of the same plan.
        """
        keys = self.ranges[index]
        if index in self.changed_indexes or not keys.is_settled:
            return None
        for neighbour in (index - 1, index + 1):
            if neighbour in self.changed_indexes or not 0 <= neighbour < len(
                self.ranges
            ):
                continue
            other = self.ranges[neighbour]
            is_usable = other.is_settled and other.owner in self.underloaded
            if is_usable and other.owner != keys.owner:
                self.changed_indexes.update((index, neighbour))
                return other.owner
        return None


class _BalancePlan:
    def __init__(
        self,
        ranges: Sequence[KeyRange],
        load_shares: _LoadShares,
        rates: KeyRates,
    ) -> None:
        self.rates = rates
        self.load_shares = load_shares
        self.movable: dict[Incarnation, list[Span]] = {}
        for keys in ranges:
            if (
                keys.owner in load_shares.weights
                and keys.is_held
                and keys.planned is None
            ):
                span = Span(keys.first, keys.last)
                self.movable.setdefault(keys.owner, []).append(span)
        self.moves: list[Move] = []

    def build(self) -> list[Move]:
        exhausted: set[Incarnation] = set()
        while len(self.moves) < MAX_MOVES_PER_PLAN:
            busiest = self._find_busiest(exhausted)
            if busiest is None:
                break
            if not self._offload(busiest):
                exhausted.add(busiest)
        return self.moves

    def _find_busiest(self, exhausted: set[Incarnation]) -> Incarnation | None:
        busy = (
            ref
            for ref in self.load_shares.weights
            if ref not in exhausted and self._is_overloaded(ref)
        )
        return max(busy, key=self.load_shares.load_ratio, default=None)

    def _is_overloaded(self, ref: Incarnation) -> bool:
        fair_share = self.load_shares.fair_share(ref)
        deviation = math.sqrt(fair_share * self.rates.variance)
        limit = max(
            fair_share * OVERLOAD_RATIO,
            fair_share + SIGNIFICANT_DEVIATIONS * deviation,
            fair_share + MIN_EXCESS * self.load_shares.mean_load,
        )
        return self.load_shares.loads[ref] > limit

    def _offload(self, busiest: Incarnation) -> bool:
        """Plan to move a part of an upstream's keys.

        :return: whether a move was found that helps.
        """
        load_shares = self.load_shares
        least_loaded = load_shares.least_loaded()
        excess = load_shares.loads[busiest] - load_shares.fair_share(busiest)
        capacity = (
            load_shares.fair_share(least_loaded)
            - load_shares.loads[least_loaded]
        )
        part = self._find_part(busiest, min(excess, capacity))
        if part is None:
            return False
        rate = part.rate
        is_small = rate < MIN_GAIN_RATIO * load_shares.fair_share(least_loaded)
        if is_small or rate > excess + capacity:
            return False
        self.movable[busiest].remove(part.whole)
        rest = part.remainder()
        if rest is not None:
            # The remainder can be split again, so that consecutive hot keys
            # move to several upstreams in one plan.
            self.movable[busiest].append(rest)
        self.moves.append(Move(part.span.first, part.span.last, least_loaded))
        load_shares.loads[busiest] -= rate
        load_shares.loads[least_loaded] += rate
        return True

    def _find_part(self, owner: Incarnation, target_rate: float) -> Part | None:
        """Return consecutive keys of an owner with about a target rate."""
        if target_rate <= 0:
            return None
        parts = (
            part
            for keys in self.movable.get(owner, ())
            for part in self.rates.find_parts(keys, target_rate)
        )
        return min(
            parts, key=lambda part: part.preference(target_rate), default=None
        )
