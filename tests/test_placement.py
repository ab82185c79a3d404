"""Tests which shards move, and where to."""

import random
from collections import Counter

import pytest

from oriolearch.core import placement
from oriolearch.core.placement import plan

Owners = dict[int, str | None]
EQUAL_WEIGHTS = {f's{number:02}': 1.0 for number in range(17)}
WEIGHTS_BY_ZONE = {f's{number:02}': 1.0 + number % 3 for number in range(18)}
ONE_MORE = {**EQUAL_WEIGHTS, 's99': 1.0}


def apply_plans(
    shards: Owners,
    servers: dict[str, float],
    limit: int = 9999,
    loads: dict[int, float] | None = None,
) -> int:
    """Apply plans until nothing moves; return the moves of owned shards."""
    moved = 0
    for _ in range(1000):
        moves = plan(shards, servers, limit, loads)
        owned = [move for move in moves if move.source is not None]
        assert len(owned) <= limit
        if not moves:
            return moved
        moved += len(owned)
        for move in moves:
            assert shards[move.shard] == move.source
            shards[move.shard] = move.target
    raise AssertionError('plans still contain moves after 1000 rounds')


def least_moves(before: Owners, servers: dict[str, float]) -> int:
    """Return the fewest moves that reach targets within one of the share."""
    counts = Counter(owner for owner in before.values() if owner in servers)
    total = sum(servers.values())
    floors = {name: int(len(before) * w / total) for name, w in servers.items()}
    spare = len(before) - sum(floors.values())
    excess = [counts[name] - floors[name] for name in servers if servers[name]]
    over = [surplus for surplus in excess if surplus > 0]
    kept = {name for name in servers if servers[name]}
    lost = sum(owner not in kept for owner in before.values())
    return lost + sum(over) - min(spare, len(over))


@pytest.mark.parametrize('limit', [3, 9999], ids=['limited', 'at once'])
@pytest.mark.parametrize(
    ('first', 'then'),
    [
        (EQUAL_WEIGHTS, ONE_MORE),
        (ONE_MORE, EQUAL_WEIGHTS),
        (
            WEIGHTS_BY_ZONE,
            {n: w for n, w in WEIGHTS_BY_ZONE.items() if int(n[1:]) % 3},
        ),
        (
            {n: w for n, w in WEIGHTS_BY_ZONE.items() if int(n[1:]) % 3},
            WEIGHTS_BY_ZONE,
        ),
        (WEIGHTS_BY_ZONE, {**WEIGHTS_BY_ZONE, 's01': 0.0}),
        (EQUAL_WEIGHTS, {**EQUAL_WEIGHTS, 's01': 2.5}),
        (EQUAL_WEIGHTS, {'x': 1.0}),
    ],
    ids=['join', 'leave', 'zone out', 'zone back', 'drain', 'weight', 'all'],
)
def test_change_moves_the_least(
    first: dict[str, float], then: dict[str, float], limit: int
) -> None:
    """Fails if a change moves more shards than needed.

    A move makes the keys of a shard unavailable for a second.
    """
    shards: Owners = dict.fromkeys(range(1024))
    assert apply_plans(shards, first) == 0
    least = least_moves(shards, then)
    assert apply_plans(shards, then, limit) == least
    counts = Counter(shards.values())
    total = sum(then.values())
    for name, weight in then.items():
        assert abs(counts[name] - 1024 * weight / total) < 1


def test_plan_does_not_depend_on_the_order_of_its_input() -> None:
    """Fails if successive coordinators undo each other's plans."""
    rng = random.Random(3)
    shards: Owners = {
        number: f's{rng.randrange(20):02}' for number in range(999)
    }
    loads = {number: rng.random() for number in shards}
    shuffled = sorted(shards, key=lambda _: rng.random())
    expected = plan(shards, EQUAL_WEIGHTS, 50, loads)
    backwards = dict(reversed(EQUAL_WEIGHTS.items()))
    assert (
        plan({n: shards[n] for n in shuffled}, backwards, 50, loads) == expected
    )


def test_shards_without_owner_are_assigned_despite_the_limit() -> None:
    """Fails if keys of a lost server wait for the limit on other moves."""
    shards: Owners = dict.fromkeys(range(0, 100), None)
    shards.update(dict.fromkeys(range(100, 200), 's01'))
    moves = plan(shards, EQUAL_WEIGHTS, 0)
    assert [move.shard for move in moves] == list(range(100))
    assert all(move.source is None for move in moves)
    assert plan(shards, {}, 5) == plan(shards, {'s01': 0.0}, 5) == ()


def skewed_loads(seed: int) -> dict[int, float]:
    rng = random.Random(seed)
    return {shard: rng.paretovariate(1.5) for shard in range(1024)}


def imbalance(shards: Owners, loads: dict[int, float]) -> float:
    totals: Counter[str | None] = Counter()
    for shard, owner in shards.items():
        totals[owner] += loads[shard]  # type: ignore[assignment]
    return max(totals.values()) / (sum(loads.values()) / len(EQUAL_WEIGHTS))


def test_load_is_balanced_and_then_stays() -> None:
    """Fails if shards keep moving with every small change of the load."""
    loads = skewed_loads(1)
    shards: Owners = dict.fromkeys(range(1024))
    apply_plans(shards, EQUAL_WEIGHTS)
    assert imbalance(shards, loads) > placement.IMBALANCE_HIGH
    moved = [apply_plans(shards, EQUAL_WEIGHTS, 10, loads)]
    assert imbalance(shards, loads) <= placement.IMBALANCE_HIGH
    rng = random.Random(2)
    for _ in range(30):
        noisy = {n: load * rng.uniform(0.85, 1.15) for n, load in loads.items()}
        moved.append(apply_plans(shards, EQUAL_WEIGHTS, 10, noisy))
    assert not any(moved[5:])


def test_shard_too_hot_to_move_stays() -> None:
    """Fails if a single hot shard moves from server to server endlessly."""
    shards: Owners = dict.fromkeys(range(1024))
    loads = {**dict.fromkeys(shards, 1.0), 7: 1000.0}
    apply_plans(shards, EQUAL_WEIGHTS)
    owner = shards[7]
    apply_plans(shards, EQUAL_WEIGHTS, 10, loads)
    assert shards[7] == owner


def test_hot_key_goes_to_the_least_loaded_server() -> None:
    """Fails if a hot key is moved to a server with little capacity."""
    loads = {'a': 4.0, 'b': 3.0, 'c': 0.0}
    weights = {'a': 4.0, 'b': 1.0, 'c': 0.0}
    assert placement.least_loaded(weights, loads) == 'a'
    assert placement.least_loaded({}, loads) is None
