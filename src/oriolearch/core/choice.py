"""Choice of an upstream by two random choices."""

import math
import random
from collections.abc import Sequence, Set

from oriolearch.core.hedging import Norm
from oriolearch.core.targets import Target

STUCK_FACTOR = 2  # a score above this many p95 means a stuck upstream
CROSSING_S = 0.001  # zones are about 1 ms apart


def choose(
    targets: Sequence[Target],
    tried: Set[str],
    now: float,
    norm: Norm,
    rng: random.Random,
) -> tuple[Target | None, float]:
    """Take the better of two random targets with room, with its score.

    All are compared when both are full or look stuck.
    """
    count = len(targets)
    if count > 2:
        first = int(rng.random() * count)
        second = int(rng.random() * (count - 1))
        pair = (targets[first], targets[second + (second >= first)])
        found = best_of(pair, tried, now, norm)
        if found[1] < STUCK_FACTOR * norm.tail.level:
            return found
    return best_of(targets, tried, now, norm)


def best_of(
    targets: Sequence[Target],
    tried: Set[str],
    now: float,
    norm: Norm,
) -> tuple[Target | None, float]:
    """Take the target with room that has the least score."""
    median = norm.median.level
    tail = norm.tail.level
    best: Target | None = None
    best_score = math.inf
    for target in targets:
        if target.own >= target.capacity or target.upstream.name in tried:
            continue
        score = target.score(now, median, tail)
        if score < best_score:
            best = target
            best_score = score
    return best, best_score


def choose_zone(
    near: Sequence[Target],
    far: Sequence[Target],
    tried: Set[str],
    now: float,
    norm: Norm,
    rng: random.Random,
) -> tuple[Target | None, float]:
    """Prefer the own zone until its score is worse than crossing."""
    best, score = choose(near, tried, now, norm, rng)
    if far and score > norm.median.level:
        other, other_score = choose(far, tried, now, norm, rng)
        if other_score + CROSSING_S < score:
            return other, other_score
    return best, score
