"""A short fault soak of host processes, and tests of its checker."""

from pathlib import Path

import pytest

from tests.faultsoak.__main__ import read_seeds
from tests.faultsoak.faults import draw_faults
from tests.faultsoak.notices import Arrival, NoticeRecord
from tests.faultsoak.promises import Lease, PromiseChecker
from tests.faultsoak.report import plot, table
from tests.faultsoak.run import Result, run_seed

UNSAFE_ATTEMPT = '0d0e000000000001'
SAFE_ATTEMPT = '5afe000000000001'


@pytest.mark.parametrize(('seed', 'length_s'), [(6, 6.0), (4, 15.0), (6, 20.0)])
def test_short_soak_keeps_all_promises(
    seed: int, length_s: float, tmp_path: Path
) -> None:
    """All promises must be kept while faults are injected.

    The longer runs are long enough for the bounds on limits and on upstreams
    that leave.
    """
    result = run_seed(seed, length_s, tmp_path)
    assert result.broken == []
    served = sum(counts.get('served', 0) for counts in result.seconds.values())
    assert served > 100


def test_same_seed_gives_the_same_faults() -> None:
    """A seed determines its faults, so that a failure can be reproduced."""
    assert draw_faults(7, 20) == draw_faults(7, 20)
    assert draw_faults(7, 20) != draw_faults(8, 20)


def make_lease(owner: str, token: int, *, is_excused: bool = False) -> Lease:
    return Lease(owner, 0, 9, token, 5.0, is_excused)


def record_two_runs(checker: PromiseChecker, attempt: str) -> None:
    checker.record_request(attempt, b'')
    for server in ('a', 'b'):
        checker.record_run_start(1.0, server, attempt, 3, b'')


def test_unsafe_request_that_runs_twice_is_reported() -> None:
    """A non-idempotent request that runs twice breaks a promise."""
    checker = PromiseChecker()
    record_two_runs(checker, UNSAFE_ATTEMPT)
    assert 'TWICE' in checker.broken[0]


def test_safe_request_may_run_twice() -> None:
    """An idempotent request may run twice."""
    checker = PromiseChecker()
    record_two_runs(checker, SAFE_ATTEMPT)
    assert checker.broken == []


@pytest.mark.parametrize('is_excused', [False, True])
def test_two_owners_are_reported(*, is_excused: bool) -> None:
    """Two owners of a key break a promise, unless a fault delayed a grant."""
    checker = PromiseChecker()
    checker.leases = {
        'a': [make_lease('a', 1)],
        'b': [make_lease('b', 2, is_excused=is_excused)],
    }
    checker.record_request(UNSAFE_ATTEMPT, b'')
    checker.record_run_start(1.0, 'a', UNSAFE_ATTEMPT, 3, b'')
    assert bool(checker.broken) is not is_excused


def test_token_not_above_that_of_another_owner_is_reported() -> None:
    """A new owner must get a higher fencing token than the previous one."""
    checker = PromiseChecker()
    checker.record_grant(1.0, make_lease('a', 2))
    checker.record_grant(2.0, make_lease('a', 2))
    assert checker.broken == []
    checker.record_grant(3.0, make_lease('b', 2))
    assert 'fence' in checker.broken[0]


@pytest.mark.parametrize(
    ('status', 'signature', 'body', 'problem'),
    [
        (200, UNSAFE_ATTEMPT.encode(), b'ran:x', None),
        (200, UNSAFE_ATTEMPT.encode(), b'ran:', 'MIXED'),
        (200, None, b'ran:x', 'MIXED'),
        (502, UNSAFE_ATTEMPT.encode(), b'', 'MIXED'),
        (404, None, b'', 'DENIED'),
        (503, None, b'', 'REFUSED'),
        (504, None, b'', None),
    ],
)
def test_false_answer_is_reported(
    status: int,
    signature: bytes | None,
    body: bytes,
    problem: str | None,
) -> None:
    """The checker finds truncated and false answers, and those of other
    requests.
    """
    checker = PromiseChecker()
    checker.record_request(UNSAFE_ATTEMPT, b'x')
    checker.record_run_start(1.0, 'a', UNSAFE_ATTEMPT, 3, b'x')
    checker.record_answer(1.1, UNSAFE_ATTEMPT, status, signature, body)
    if problem is None:
        assert checker.broken == []
    else:
        assert problem in checker.broken[0]


def test_unsafe_request_that_runs_after_refusal_is_reported() -> None:
    """A request must not run after an answer that promised "not run"."""
    checker = PromiseChecker()
    checker.record_request(UNSAFE_ATTEMPT, b'')
    checker.record_answer(1.0, UNSAFE_ATTEMPT, 503, None, b'')
    checker.record_run_start(2.0, 'a', UNSAFE_ATTEMPT, 3, b'')
    assert 'REFUSED' in checker.broken[0]


@pytest.mark.parametrize(
    ('text', 'seeds'),
    [('3', [3]), ('1-3,7', [1, 2, 3, 7])],
)
def test_seeds_option(text: str, seeds: list[int]) -> None:
    """The option accepts numbers, ranges, lists and a count of random seeds."""
    assert read_seeds(text) == seeds
    assert len(read_seeds('fresh:4')) == 4


def test_report_names_seed_and_problem() -> None:
    """The report contains the seed, its broken promises and its faults."""
    faults = draw_faults(3, 5)
    result = Result(3, ['1.0 TWICE x'], {0: {'served': 2}}, faults)
    assert '| 3 |' in table([result])
    assert 'TWICE' in table([result])
    assert faults[0].kind in plot(result, 0)


@pytest.mark.parametrize(
    ('told_at', 'has_fault', 'is_broken'),
    [(0.5, False, True), (0.5, True, False), (6.0, False, False)],
)
def test_more_than_the_limit_is_reported(
    told_at: float, has_fault: bool, is_broken: bool
) -> None:
    """Requests of hosts that were told, and had no fault, count."""
    record = NoticeRecord(0.0)
    record.record_answer(told_at, 'h', float('-inf'))
    for number in range(45):
        record.arrivals.append(Arrival(3 + number / 20, 'h', 2.9))
    problems = list(record.broken_limits(6.0, lambda host: has_fault))
    assert bool(problems) is (is_broken)


@pytest.mark.parametrize(
    ('sent_at', 'forgot_at', 'is_broken'),
    [(2.9, 0.0, False), (3.1, 0.0, True), (3.1, 2.0, False)],
)
def test_request_after_the_leaving_is_reported(
    sent_at: float, forgot_at: float, is_broken: bool
) -> None:
    """A restart or a freeze since the answer excuses a host."""
    record = NoticeRecord(0.0)
    record.record_answer(1.0, 'h', float('-inf'))
    record.arrivals.append(Arrival(3.2, 'h', sent_at))
    problems = list(record.late_requests(lambda host: forgot_at))
    assert bool(problems) is is_broken
