"""Tests of the accounting for the versions of a store."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oriolearch.core.versions import VersionLedger

Step = Callable[[VersionLedger], None]


def changes(*versions: int) -> Step:
    return lambda ledger: ledger.record_changes(versions)


def newest(version: int) -> Step:
    return lambda ledger: ledger.record_newest(0.0, version)


def settle(version: int) -> Step:
    return lambda ledger: ledger.settle(version)


@pytest.mark.parametrize(
    ('steps', 'has_unknown'),
    [
        pytest.param([], False, id='nothing was read'),
        pytest.param([settle(7), newest(7)], False, id='tables were read'),
        pytest.param([settle(7), newest(8)], True, id='a missed change'),
        pytest.param(
            [settle(7), newest(9), changes(8, 9)], False, id='own writes'
        ),
        pytest.param(
            [settle(7), changes(9), newest(9)], True, id='one is missing'
        ),
        pytest.param(
            [settle(7), changes(9), newest(9), changes(8)],
            False,
            id='delivered late',
        ),
        pytest.param(
            [changes(3, 9), newest(9), settle(8)], False, id='read since'
        ),
        pytest.param(
            [settle(9), settle(4), newest(9)], False, id='an older answer'
        ),
    ],
)
def test_unknown_changes(steps: list[Step], has_unknown: bool) -> None:
    """Guard against missed changes, and against needless polls."""
    ledger = VersionLedger()
    for step in steps:
        step(ledger)
    assert ledger.has_unknown() is has_unknown


@given(
    st.sets(st.integers(1, 30)),
    st.integers(0, 30),
    st.randoms(use_true_random=False),
)
def test_order_of_the_answers_does_not_matter(
    known: set[int], settled: int, rng: object
) -> None:
    """Guard against answers of several connections that arrive in any order."""
    shuffled = list(known)
    rng.shuffle(shuffled)  # type: ignore[attr-defined]
    ledger = VersionLedger()
    ledger.record_newest(0.0, 30)
    ledger.settle(settled)
    for version in shuffled:
        ledger.record_changes((version,))
    missing = set(range(settled + 1, 31)) - known
    assert ledger.has_unknown() == bool(missing)
    assert len(ledger.known) <= len(known)
