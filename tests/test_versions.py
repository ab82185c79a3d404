"""Tests of the accounting for the versions of a store."""

from collections.abc import Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oriolearch.core.versions import StoreVersion, VersionLedger

Step = Callable[[VersionLedger], None]


def at(number: int, era: int = 0) -> StoreVersion:
    return StoreVersion(era, number)


def changes(*numbers: int, era: int = 0) -> Step:
    return lambda ledger: ledger.record_changes(at(n, era) for n in numbers)


def newest(number: int, era: int = 0) -> Step:
    return lambda ledger: ledger.record_newest(0.0, at(number, era))


def settle(number: int, era: int = 0) -> Step:
    return lambda ledger: ledger.settle(at(number, era))


def era(number: int) -> Step:
    return lambda ledger: ledger.record_era(number)


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
        pytest.param(
            [era(1), settle(9, 1), era(2), newest(7, 2)],
            True,
            id='number of a new era',
        ),
        pytest.param(
            [era(1), settle(9, 1), era(2), newest(7, 2), changes(7)],
            True,
            id='number of an old era',
        ),
        pytest.param(
            [era(2), settle(7, 2), newest(9, 1)], False, id='late old answer'
        ),
        pytest.param(
            [era(1), changes(8, 9, era=1), era(2), settle(7, 2), newest(8, 2)],
            True,
            id='numbers are given out again',
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
    ledger.record_newest(0.0, at(30))
    ledger.settle(at(settled))
    for version in shuffled:
        ledger.record_changes((at(version),))
    missing = set(range(settled + 1, 31)) - known
    assert ledger.has_unknown() == bool(missing)
    assert len(ledger.known) <= len(known)


@pytest.mark.parametrize(
    ('eras', 'calls'),
    [
        ((1,), [False]),
        ((1, 1, 2), [False, True]),
        ((0, 1), [False, True]),
        ((2, 1), [False]),
    ],
    ids=['first', 'raised', 'from zero', 'late answer'],
)
def test_era_is_announced_once(
    eras: tuple[int, ...], calls: list[bool]
) -> None:
    """Fails if a first answer or a late one looks like a restored store."""
    ledger = VersionLedger()
    announced: list[bool] = []
    ledger.on_era = announced.append
    for number in eras:
        ledger.record_era(number)
    assert announced == calls
    assert ledger.era == max(eras)
