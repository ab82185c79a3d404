"""Upstreams that own keys and fail the requests for them."""

import random

import pytest

from oriolearch.core.directory import Incarnation, PoolPlan, UpstreamEntry
from oriolearch.core.dispatching import Dispatcher
from oriolearch.core.failing import (
    EXCLUSION_S,
    MIN_REQUESTS,
    FailingUpstreams,
    FailureShare,
)
from oriolearch.core.upstream_state import QueuedRequest

REFS = [Incarnation(f'u{number}', 1) for number in range(20)]


@pytest.mark.parametrize(
    ('failure_share', 'min_failing', 'max_failing'),
    [(0.0, 0, 0), (0.3, 0, 5), (0.5, 0, 5), (1.0, 40, 60)],
)
def test_upstream_that_fails_nearly_all_requests(
    failure_share: float, min_failing: int, max_failing: int
) -> None:
    """Fails if keys stay where all requests fail, or leave for a few errors.

    Load pattern: `srv_lying_health`, where a tenth of the servers answer
    health checks and reset all requests, and `srv_grey`, where some fail.
    """
    rng = random.Random(3)
    share = FailureShare()
    seen = []
    for _ in range(60):
        share.record(has_failed=rng.random() < failure_share)
        seen.append(share.is_failing)
    assert not any(seen[: MIN_REQUESTS - 1])
    assert min_failing <= sum(seen) <= max_failing


@pytest.mark.parametrize(
    ('failing', 'excluded'),
    [(0, 0), (1, 1), (5, 5), (6, 0), (20, 0)],
)
def test_most_upstreams_keep_their_keys(failing: int, excluded: int) -> None:
    """Fails if a fault of the whole pool takes all keys from everyone."""
    upstreams = FailingUpstreams()
    for ref in REFS[:failing]:
        assert upstreams.record(0.0, ref)
        assert not upstreams.record(0.1, ref)
    assert len(upstreams.find_excluded(1.0, REFS)) == excluded
    assert not upstreams.find_excluded(0.1 + EXCLUSION_S, REFS)
    assert not upstreams.excluded_until


def test_only_recent_failures_are_reported() -> None:
    """Fails if an upstream that lost its keys is reported for good."""
    plan = PoolPlan('pool', True, 100, 3.0, 4.0, 2.0, '/health')
    dispatcher = Dispatcher(plan, random.Random(1))
    entry = UpstreamEntry(REFS[0], 'pool', 'u:1', 'z', 2, False, 0.0)
    dispatcher.set_upstreams(0.0, [entry], REFS[:1], {})
    upstream = dispatcher.upstreams[REFS[0]]
    for number in range(3 * MIN_REQUESTS):
        now = number / 10
        request = QueuedRequest('z', 1, now + 1, now + 2, owner=REFS[0])
        dispatcher.submit(now, request)
        upstream.avoided_until = 0.0
        dispatcher.record_failure(now, upstream, is_alive=True)
        dispatcher.release(request)
    assert dispatcher.failing_refs(now) == REFS[:1]
    assert not dispatcher.failing_refs(now + 2)
