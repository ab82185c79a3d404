"""When the keys of a new pool are divided among its upstreams."""

from collections.abc import Sequence

import pytest

from oriolearch.core.directory import KEY_COUNT, Incarnation
from oriolearch.core.opening import MAX_WAIT_S, SETTLED_AFTER_S, PoolOpening
from oriolearch.core.ownership import make_even_ranges

CHECK_PERIOD_S = 0.1


def opened_at(
    registered_at: Sequence[float], requests_from: float = 1e9
) -> tuple[float, list[Incarnation]]:
    """Return when a pool opens, and the upstreams that it opens with."""
    opening = PoolOpening()
    now = 0.0
    while True:
        present = [
            Incarnation(f'i-{number}', 1)
            for number, at in enumerate(registered_at)
            if at <= now
        ]
        if opening.is_due(now, present, has_requests=now >= requests_from):
            return now, present
        now += CHECK_PERIOD_S


@pytest.mark.parametrize(
    ('upstreams', 'over_s'), [(1, 0.0), (23, 3.2), (93, 3.3), (233, 3.3)]
)
def test_upstreams_that_register_in_turn_share_all_keys(
    upstreams: int, over_s: float
) -> None:
    """Guard against a day that begins with all keys at a few upstreams.

    The load pattern is the start of an installation: upstreams register over
    three seconds, callers come some seconds later. One of 93 upstreams owned a
    third of the keys when the first requests came; half of the requests of the
    first two seconds were refused.
    """
    registered_at = [over_s * n / upstreams for n in range(upstreams)]
    at, present = opened_at(registered_at)
    assert len(present) == upstreams
    assert at <= over_s + SETTLED_AFTER_S + 2 * CHECK_PERIOD_S
    largest = max(keys.size for keys in make_even_ranges(present))
    assert largest <= KEY_COUNT / upstreams + 1


@pytest.mark.parametrize(
    ('registered_at', 'requests_from', 'opens_at'),
    [
        ([0.0], 0.3, 0.3),
        ([0.0, 0.5, 1.0, 1.5], 0.7, 0.7),
        ([2.0], 0.0, 2.0),
    ],
)
def test_requests_do_not_wait_for_more_upstreams(
    registered_at: list[float], requests_from: float, opens_at: float
) -> None:
    """Guard against refusals while usable upstreams own no keys."""
    at, _ = opened_at(registered_at, requests_from)
    assert at == pytest.approx(opens_at, abs=2 * CHECK_PERIOD_S)


def test_upstreams_that_keep_registering_delay_a_pool_for_a_bounded_time() -> (
    None
):
    """Guard against a pool that never opens while upstreams come and go."""
    at, _ = opened_at([number * 0.5 for number in range(100)])
    assert at <= MAX_WAIT_S + 2 * CHECK_PERIOD_S
