"""A short soak of host processes, and the guard of its checks."""

from pathlib import Path

import pytest

from tests.faultsoak.__main__ import read_seeds
from tests.faultsoak.faults import draw_faults
from tests.faultsoak.promises import Hold, Promises
from tests.faultsoak.report import plot, table
from tests.faultsoak.run import Result, play

SHORT_S = 6.0
ORDER = '0d0e000000000001'
LOOK = '5afe000000000001'


@pytest.mark.parametrize('seed', [6])
def test_short_soak_keeps_all_promises(seed: int, tmp_path: Path) -> None:
    """A promise that only holds while nothing fails."""
    result = play(seed, SHORT_S, tmp_path)
    assert result.broken == []
    assert sum(counts['served'] for counts in result.seconds.values()) > 100


def test_same_seed_gives_the_same_faults() -> None:
    """A failure that cannot be repeated cannot be understood."""
    assert draw_faults(7, 20) == draw_faults(7, 20)
    assert draw_faults(7, 20) != draw_faults(8, 20)


def hold(owner: str, fence: int, *, is_excused: bool = False) -> Hold:
    return Hold(owner, 0, 9, fence, 5.0, is_excused)


def run_twice(promises: Promises, attempt: str) -> None:
    promises.asked(attempt, b'')
    for server in ('a', 'b'):
        promises.began(1.0, server, attempt, 3, b'')


def test_order_that_runs_twice_is_found() -> None:
    """A soak that passes over what it is there to find."""
    promises = Promises()
    run_twice(promises, ORDER)
    assert 'TWICE' in promises.broken[0]


def test_look_may_run_twice() -> None:
    """A soak that reports what is allowed."""
    promises = Promises()
    run_twice(promises, LOOK)
    assert promises.broken == []


@pytest.mark.parametrize('is_excused', [False, True])
def test_two_owners_are_found(*, is_excused: bool) -> None:
    """Two owners, unless a grant came late by a fault."""
    promises = Promises()
    promises.holds = {
        'a': [hold('a', 1)],
        'b': [hold('b', 2, is_excused=is_excused)],
    }
    promises.asked(ORDER, b'')
    promises.began(1.0, 'a', ORDER, 3, b'')
    assert bool(promises.broken) is not is_excused


def test_fence_that_is_not_above_another_owners_is_found() -> None:
    """Keys that move with an old fence."""
    promises = Promises()
    promises.granted(1.0, hold('a', 2))
    promises.granted(2.0, hold('a', 2))
    assert promises.broken == []
    promises.granted(3.0, hold('b', 2))
    assert 'fence' in promises.broken[0]


@pytest.mark.parametrize(
    ('status', 'signature', 'body', 'problem'),
    [
        (200, ORDER.encode(), b'ran:x', None),
        (200, ORDER.encode(), b'ran:', 'MIXED'),
        (200, None, b'ran:x', 'MIXED'),
        (502, ORDER.encode(), b'', 'MIXED'),
        (404, None, b'', 'DENIED'),
        (503, None, b'', 'REFUSED'),
        (504, None, b'', None),
    ],
)
def test_false_answer_is_found(
    status: int,
    signature: bytes | None,
    body: bytes,
    problem: str | None,
) -> None:
    """An answer that is cut, of another request, or not true."""
    promises = Promises()
    promises.asked(ORDER, b'x')
    promises.began(1.0, 'a', ORDER, 3, b'x')
    promises.answered(1.1, ORDER, status, signature, body)
    if problem is None:
        assert promises.broken == []
    else:
        assert problem in promises.broken[0]


def test_order_that_runs_after_its_refusal_is_found() -> None:
    """A refusal that says not run, and a run after it."""
    promises = Promises()
    promises.asked(ORDER, b'')
    promises.answered(1.0, ORDER, 503, None, b'')
    promises.began(2.0, 'a', ORDER, 3, b'')
    assert 'REFUSED' in promises.broken[0]


@pytest.mark.parametrize(
    ('text', 'seeds'),
    [('3', [3]), ('1-3,7', [1, 2, 3, 7])],
)
def test_seeds_of_the_command_line(text: str, seeds: list[int]) -> None:
    """A regression seed that is not played."""
    assert read_seeds(text) == seeds
    assert len(read_seeds('fresh:4')) == 4


def test_report_names_seed_and_problem() -> None:
    """A finding that is lost between run and report."""
    faults = draw_faults(3, 5)
    result = Result(3, ['1.0 TWICE x'], {0: {'served': 2}}, faults)
    assert '| 3 |' in table([result])
    assert 'TWICE' in table([result])
    assert faults[0].kind in plot(result, 0)
