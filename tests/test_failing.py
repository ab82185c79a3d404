"""Upstreams that own keys and fail the requests for them."""

import random

import pytest

from oriolearch.core.directory import Incarnation, PoolPlan, UpstreamEntry
from oriolearch.core.dispatching import Dispatcher
from oriolearch.core.failing import (
    EXCLUSION_S,
    MIN_FAILURES,
    FailingUpstreams,
)
from oriolearch.core.upstream_state import QueuedRequest

REFS = [Incarnation(f'u{number}', 1) for number in range(20)]


def make_dispatcher() -> Dispatcher:
    plan = PoolPlan('pool', True, 100, 3.0, 4.0, 2.0, '/health')
    dispatcher = Dispatcher(plan, random.Random(1))
    entry = UpstreamEntry(REFS[0], 'pool', 'u:1', 'z', 2, False, 0.0)
    dispatcher.set_upstreams(0.0, [entry], REFS[:1], {})
    return dispatcher


def run_requests(dispatcher: Dispatcher, count: int, share: float) -> list[int]:
    """Run ten requests a second, of which a share fails.

    :returns: how many upstreams were reported after each.
    """
    rng = random.Random(3)
    upstream = dispatcher.upstreams[REFS[0]]
    reported = []
    for number in range(count):
        now = number / 10
        request = QueuedRequest('z', 1, now + 1, now + 2, owner=REFS[0])
        dispatcher.submit(now, request)
        if rng.random() < share:
            dispatcher.record_failure(now, upstream, is_alive=True)
        else:
            dispatcher.record_answer(now, upstream, 0.1)
        dispatcher.release(request)
        reported.append(len(dispatcher.failing_refs(now)))
    return reported


@pytest.mark.parametrize(
    ('share', 'min_reported', 'max_reported'),
    [(0.0, 0, 0), (0.3, 0, 0), (0.5, 0, 4), (1.0, 190, 191)],
)
def test_upstream_that_fails_all_requests(
    share: float, min_reported: int, max_reported: int
) -> None:
    """Fails if keys stay where all requests fail, or leave for some errors.

    Load pattern: `srv_lying_health`, where a tenth of the servers answer
    health checks and reset all requests; `srv_grey` and `answer_lost`, where
    a third of the requests fail. With a mean of the latest requests, keys left
    upstreams that failed a third of them.
    """
    reported = run_requests(make_dispatcher(), 200, share)
    assert not any(reported[: MIN_FAILURES - 1])
    assert min_reported <= sum(reported) <= max_reported


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
    dispatcher = make_dispatcher()
    run_requests(dispatcher, 2 * MIN_FAILURES, 1.0)
    now = 2 * MIN_FAILURES / 10
    assert dispatcher.failing_refs(now) == REFS[:1]
    assert not dispatcher.failing_refs(now + 2)
