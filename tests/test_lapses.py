"""Tests of the detection of lapsed leases."""

import pytest

from oriolearch.core.directory import Incarnation
from oriolearch.core.lapses import (
    MAX_RETRY_AFTER_S,
    MIN_REFUSING_OWNERS,
    TRIAL_PERIOD_S,
    LapsedLeases,
)

POOL = 'orders'
OWNERS = [Incarnation(f'i-{number}') for number in range(5)]


@pytest.mark.parametrize(
    ('events', 'is_refused'),
    [
        pytest.param('', False, id='no request yet'),
        pytest.param('00000', False, id='one owner lost its keys'),
        pytest.param('01', False, id='two owners lost their keys'),
        pytest.param('012', True, id='leases lapsed'),
        pytest.param('012r', False, id='an upstream ran a request again'),
        pytest.param('01r2', False, id='an upstream ran a request meanwhile'),
        pytest.param('012c', False, id='contact with a coordinator'),
        pytest.param('012r012', True, id='leases lapsed twice'),
    ],
)
def test_refusals_that_prove_lapsed_leases(
    events: str, is_refused: bool
) -> None:
    """Guard against requests for keys that nobody owns, and the reverse.

    A digit is a refusal by that owner, ``r`` a request that was run, ``c``
    contact with a coordinator.
    """
    leases = LapsedLeases()
    for event in events:
        if event == 'r':
            leases.record_run(POOL)
        elif event == 'c':
            leases.clear()
        else:
            leases.record_refusal(1.0, POOL, OWNERS[int(event)])
    assert (leases.find_retry_after(1.1, POOL) is not None) == is_refused
    assert leases.find_retry_after(1.1, 'other') is None


def test_lapse_is_found_once() -> None:
    """Guard against a log line for each further refusal."""
    leases = LapsedLeases()
    found = [
        leases.record_refusal(1.0, POOL, owner) for owner in OWNERS + OWNERS
    ]
    assert found == [number == 2 for number in range(len(found))]


def test_load_during_an_outage_that_loses_the_coordinator() -> None:
    """Guard against sends to upstreams that hold no key any more.

    On a day that lost the coordinator inside an outage of the store, a fourth
    of all sends reached an upstream that did not hold the key.
    """
    leases = LapsedLeases()
    sent = 0
    waits = []
    for number in range(800):
        now = number * 0.01
        wait_s = leases.find_retry_after(now, POOL)
        if wait_s is None:
            sent += 1
            leases.record_refusal(now, POOL, OWNERS[number % 5])
        else:
            waits.append(wait_s)
    assert sent <= MIN_REFUSING_OWNERS + 8 / TRIAL_PERIOD_S + 1
    assert max(waits) <= MAX_RETRY_AFTER_S
    leases.record_run(POOL)
    assert leases.find_retry_after(8.0, POOL) is None
