"""Chooses which keys go to another upstream."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from oriolearch.core.directory import Incarnation
from oriolearch.core.ownership import KeyRange

# A move interrupts a key for about one request, so small differences stay.
OVERLOAD = 1.25  # of the mean load, from which an upstream gives keys away
LEAST_GAIN = 0.1  # of the mean load, that a move must bring
MOVES_AT_ONCE = 4  # of one plan; the next plan sees their effect
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


def plan_rescue(
    ranges: Iterable[KeyRange],
    seats: Sequence[Seat],
    rates: Mapping[int, float],
) -> list[Move]:
    """Move all keys of upstreams that may not own any.

    :param rates: requests per second of single keys.
    """
    if not seats:
        return []
    allowed = {seat.ref for seat in seats}
    found = list(ranges)
    loads = _loads(found, seats, rates)
    moves = []
    for keys in found:
        if keys.owner in allowed:
            continue
        ratios = {seat.ref: loads[seat.ref] / seat.weight for seat in seats}
        ref = min(ratios, key=ratios.__getitem__)
        loads[ref] += _load(keys, rates)
        moves.append(Move(keys.first, keys.last, ref))
    return moves


def plan_balance(
    ranges: Iterable[KeyRange],
    seats: Sequence[Seat],
    rates: Mapping[int, float],
) -> list[Move]:
    """Move keys from the busiest upstreams to those with the most room."""
    found = list(ranges)
    if len(seats) < 2:
        return []
    loads = _loads(found, seats, rates)
    weights = {seat.ref: seat.weight for seat in seats}
    mean = sum(loads.values()) / sum(weights.values())
    moves: list[Move] = []
    while len(moves) < MOVES_AT_ONCE:
        ratios = {ref: loads[ref] / weights[ref] for ref in weights}
        busiest = max(ratios, key=ratios.__getitem__)
        idlest = min(ratios, key=ratios.__getitem__)
        if ratios[busiest] < OVERLOAD * mean:
            break
        excess = (ratios[busiest] - mean) * weights[busiest]
        room = (mean - ratios[idlest]) * weights[idlest]
        part = _part_of(found, busiest, min(excess, room), rates, moves)
        if part is None or part[2] < LEAST_GAIN * mean * weights[idlest]:
            break
        first, last, load = part
        if load > excess + room:
            break
        moves.append(Move(first, last, idlest))
        loads[busiest] -= load
        loads[idlest] += load
    return moves


def _part_of(
    ranges: Iterable[KeyRange],
    owner: Incarnation,
    wanted: float,
    rates: Mapping[int, float],
    moves: Sequence[Move],
) -> tuple[int, int, float] | None:
    """Find neighbouring keys of an owner with about a wanted load."""
    taken = {move.first for move in moves}
    best: tuple[int, int, float] | None = None
    for keys in ranges:
        is_free = keys.owner == owner and keys.is_held and not keys.call
        if not is_free or any(
            keys.first <= first <= keys.last for first in taken
        ):
            continue
        part = _cut(keys, wanted, rates)
        if best is None or abs(part[2] - wanted) < abs(best[2] - wanted):
            best = part
    return best


def _cut(
    keys: KeyRange,
    wanted: float,
    rates: Mapping[int, float],
) -> tuple[int, int, float]:
    """Cut keys with at most a wanted load from the end of a range."""
    spread = _BASE_RATE
    load = 0.0
    first = keys.last + 1
    while first > keys.first:
        step = rates.get(first - 1, 0.0) + spread
        if load and load + step > wanted:
            break
        load += step
        first -= 1
    return first, keys.last, load


# Rate assumed of a key without recent requests, so that ranges without any
# are divided by size.
_BASE_RATE = 0.0005


def _load(keys: KeyRange, rates: Mapping[int, float]) -> float:
    busy = sum(
        rate for key, rate in rates.items() if keys.first <= key <= keys.last
    )
    return busy + keys.size * _BASE_RATE


def _loads(
    ranges: Iterable[KeyRange],
    seats: Iterable[Seat],
    rates: Mapping[int, float],
) -> dict[Incarnation, float]:
    loads = {seat.ref: 0.0 for seat in seats}
    for keys in ranges:
        if keys.owner in loads:
            loads[keys.owner] += _load(keys, rates)
    return loads
