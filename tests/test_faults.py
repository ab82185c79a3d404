"""Faults, deadlines and cancellation in both upstream stand-ins."""

from collections.abc import Callable
from typing import Any

import pytest

from oriolearch.clock import ManualClock
from oriolearch.core.model import Fencing
from oriolearch.standins.keyed import KeyedStandin
from oriolearch.standins.plain import PlainStandin
from oriolearch.standins.upstream import Limits, UpstreamStandin, answer_body
from tests.conftest import Client, eventually

Connect = Callable[[Any], Client]
Make = Callable[..., UpstreamStandin]


def keyed(clock: ManualClock, **limits: Any) -> KeyedStandin:
    return KeyedStandin(clock, 0, Limits(**limits), Fencing.NONE)


def plain(clock: ManualClock, **limits: Any) -> PlainStandin:
    return PlainStandin(clock, 0, Limits(**limits))


both = pytest.mark.parametrize('make', [keyed, plain])


@both
@pytest.mark.parametrize(
    ('fault', 'status', 'runs', 'attempt'),
    [
        ('reset_before', 0, 0, None),
        ('reset_after_run', 0, 1, None),
        ('cut_answer', 0, 1, None),
        ('wrong_attempt', 200, 1, 'a1-other'),
    ],
)
def test_faults_apply_to_counted_requests(
    connect: Connect,
    make: Make,
    fault: str,
    status: int,
    runs: int,
    attempt: str | None,
) -> None:
    """A fault must affect exactly the counted requests, as tests rely on it."""
    http = connect(make(ManualClock()))
    http.call('POST', '/faults', {fault: 2})
    for number in (1, 2):
        seen = http.call('POST', '/k', b'body', attempt='a1', request='r1')
        assert seen[0] == status
        assert seen[1].get('oriolearch-attempt') == attempt
        ledger = http.json('GET', '/ledger')
        assert sum(map(len, ledger.values())) == runs * number
    seen = http.call('POST', '/k', b'body', attempt='a2', request='r2')
    assert (seen[0], seen[2]) == (200, b'body')
    assert seen[1]['oriolearch-attempt'] == 'a2'
    assert seen[1]['oriolearch-request'] == 'r2'


@both
@pytest.mark.parametrize(
    'fault',
    ['reset_before', 'reset_after_run', 'cut_answer'],
)
def test_faults_of_the_protocol_need_a_path(
    connect: Connect,
    make: Make,
    fault: str,
) -> None:
    """Tests must be able to lose a cancellation without losing orders."""
    http = connect(make(ManualClock()))
    http.call('POST', '/faults', {fault: {'path': '/cancel', 'count': 1}})
    assert http.call('GET', '/k')[0] == 200
    statuses = [http.call('POST', '/cancel/a1')[0] for _ in range(2)]
    assert statuses == [0, 200]


@both
@pytest.mark.parametrize(
    ('fault', 'duration_s'),
    [
        ({'slow_ms': 500}, 0.5),
        ({'slow_ms': {'ms': 300, 'count': 1}}, 0.3),
        ({'slow_for_ms': {'ms': 200, 'for_ms': 50}}, 0.2),
    ],
)
@pytest.mark.parametrize(('share', 'status'), [(0.9, 504), (1.1, 200)])
def test_slow_runs_take_longer(
    connect: Connect,
    make: Make,
    fault: dict[str, Any],
    duration_s: float,
    share: float,
    status: int,
) -> None:
    """A slow fault must add its duration to the service time.

    Tests of hedging and ejection rely on slow servers.
    """
    clock = ManualClock()
    standin = make(clock, service_s=1)
    http = connect(standin)
    http.call('POST', '/faults', fault)
    limit_s = 1 + duration_s * share
    answer = http.call_in_thread('GET', '/k', deadline_ms=limit_s * 1000)
    eventually(lambda: standin.queue.running)
    clock.advance(1 + duration_s * (share + 0.05))
    assert answer()[0] == status


@both
def test_slow_fault_ends_after_its_time(connect: Connect, make: Make) -> None:
    """A slow fault must end at its limit, or it looks like a slow server."""
    clock = ManualClock()
    http = connect(make(clock))
    http.call('POST', '/faults', {'slow_for_ms': 50})
    clock.advance(0.06)
    assert http.call('GET', '/k')[0] == 200


@both
def test_frozen_server_runs_nothing_and_drops_old_orders(
    connect: Connect,
    make: Make,
) -> None:
    """An order sent before a freeze must not run after its deadline."""
    clock = ManualClock()
    standin = make(clock)
    http = connect(standin)
    http.call('POST', '/faults', {'freeze': True})
    deadline = clock.monotonic() + 1
    absolute = http.call_in_thread('GET', '/k', deadline_clock=deadline)
    # A relative deadline is read only after the freeze.
    relative = http.call_in_thread('GET', '/k', deadline_ms=1000)
    cancel = http.call_in_thread('POST', '/cancel/a1')
    eventually(lambda: standin.counts['held'] == 3)
    clock.advance(2)
    assert not standin.ledger
    http.call('POST', '/faults', {'resume': True})
    status, headers, _ = absolute()
    assert (status, headers['oriolearch-not-run']) == (503, '1')
    assert headers['oriolearch-reason'] == 'deadline'
    assert (relative()[0], cancel()[0]) == (200, 200)
    assert standin.counts['runs'] == 1


@both
def test_freeze_delays_running_orders(connect: Connect, make: Make) -> None:
    """An order that runs when a freeze begins must end after it."""
    clock = ManualClock()
    standin = make(clock, service_s=1)
    http = connect(standin)
    answer = http.call_in_thread('GET', '/k')
    eventually(lambda: standin.counts['runs'])
    http.call('POST', '/faults', {'freeze': True})
    clock.advance(5)
    assert http.call('GET', '/k', timeout_s=0.05)[0] == 0
    clock.advance(1)
    resumed_at = clock.monotonic()
    standin.set_faults({'resume': True})
    status, headers, _ = answer()
    assert status == 200
    assert float(headers['oriolearch-clock']) == resumed_at


@both
def test_freeze_with_a_count_blocks_that_many(
    connect: Connect, make: Make
) -> None:
    """A freeze with a count must not block later requests."""
    standin = make(ManualClock())
    http = connect(standin)
    http.call('POST', '/faults', {'freeze': 1})
    frozen = http.call_in_thread('GET', '/k')
    eventually(lambda: standin.counts['held'])
    assert http.call('GET', '/k')[0] == 200
    assert len(standin.ledger['k' if make is keyed else '/k']) == 1
    standin.set_faults({'resume': True})
    assert frozen()[0] == 200


@both
@pytest.mark.parametrize(
    ('limits', 'header', 'status', 'not_run', 'runs'),
    [
        ({}, {'deadline_ms': 0}, 503, '1', 0),
        ({}, {'deadline_clock': 999}, 503, '1', 0),
        ({}, {'deadline_ms': 'soon'}, 400, None, 0),
        ({}, {'deadline_ms': 'nan'}, 400, None, 0),
        ({'service_s': 1}, {'deadline_ms': 500}, 504, None, 1),
        ({'slots': 0}, {'deadline_ms': 500}, 503, '1', 0),
    ],
)
def test_deadlines(
    connect: Connect,
    make: Make,
    limits: dict[str, Any],
    header: dict[str, Any],
    status: int,
    not_run: str | None,
    runs: int,
) -> None:
    """A refusal must carry "not run" exactly when nothing ran."""
    clock = ManualClock()
    standin = make(clock, **limits)
    answer = connect(standin).call_in_thread('GET', '/k', attempt='a', **header)
    eventually(lambda: standin.counts['received'] or status == 400)
    clock.advance(0.6)
    seen = answer()
    assert (seen[0], seen[1].get('oriolearch-not-run')) == (status, not_run)
    assert seen[1]['oriolearch-attempt'] == 'a', (
        'the router drops answers without the id'
    )
    assert standin.counts['runs'] == runs


@both
@pytest.mark.parametrize(
    ('slots', 'cancel_first', 'state', 'status', 'runs'),
    [
        (1, False, 'running', 504, 1),
        (0, False, 'queued', 503, 0),
        (1, True, 'unknown', 503, 0),
    ],
)
def test_cancellation(
    connect: Connect,
    make: Make,
    slots: int,
    cancel_first: bool,
    state: str,
    status: int,
    runs: int,
) -> None:
    """A cancelled attempt must free its slot."""
    standin = make(ManualClock(), slots=slots, service_s=1)
    http = connect(standin)
    if cancel_first:
        assert http.json('POST', '/cancel/a1')['state'] == state
    answer = http.call_in_thread('GET', '/k', attempt='a1')
    eventually(lambda: standin.counts['received'])
    if not cancel_first:
        assert http.json('POST', '/cancel/a1')['state'] == state
    assert answer()[0] == status
    assert standin.counts['runs'] == runs
    assert not standin.queue.running and not standin.queue.waiting


@both
def test_limits(connect: Connect, make: Make) -> None:
    """The limits must refuse excess orders, to show a router that overloads."""
    clock = ManualClock()
    standin = make(clock, slots=2, queue_limit=1, connections=5, service_s=1)
    http = connect(standin)
    accepted = [http.call_in_thread('GET', '/k') for _ in range(3)]
    eventually(lambda: standin.counts['received'] == 3)
    assert http.call('GET', '/k')[1]['oriolearch-reason'] == 'shed'
    extra = [connect(standin) for _ in range(2)]
    assert extra[0].call('GET', '/k')[1]['oriolearch-reason'] == 'shed'
    refused = extra[1].call('GET', '/k')[1]
    assert refused['oriolearch-reason'] == 'connections'
    assert refused['oriolearch-not-run'] == '1'
    clock.advance(1)
    eventually(lambda: standin.counts['runs'] == 3)
    clock.advance(1)
    assert {answer()[0] for answer in accepted} == {200}
    assert standin.counts['peak_running'] == 2


@both
@pytest.mark.parametrize('size', [0, 1, 65535, 65536, 65537, 3_000_000])
def test_large_answers_contain_the_request_id(
    connect: Connect,
    make: Make,
    size: int,
) -> None:
    """The body must identify the caller, to detect a misrouted answer."""
    http = connect(make(ManualClock()))
    status, headers, body = http.call('GET', f'/k?bytes={size}', request='r7')
    assert status == 200
    assert body == b''.join(answer_body('r7', size)) and len(body) == size
    assert body == (b'r7\n' * size)[:size]
    assert http.call('HEAD', f'/k?bytes={size}')[2] == b''
    body = bytes(size)
    assert http.call('POST', '/k', body)[2] == body


@both
@pytest.mark.parametrize(
    'body',
    [{'burn': 1}, {'freeze': {'times': 1}}, [1], {'slow_ms': -1}],
)
def test_unknown_faults_are_refused(
    connect: Connect,
    make: Make,
    body: Any,
) -> None:
    """An invalid fault must be refused, or tests would run without it."""
    http = connect(make(ManualClock()))
    assert http.call('POST', '/faults', body)[0] == 400
    assert http.call('GET', '/k?bytes=many')[0] == 400
    assert not http.json('GET', '/ledger')
    assert not http.json('GET', '/faults')
