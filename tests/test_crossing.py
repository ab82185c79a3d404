"""Every caller gets the answer to its own request, or none."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.conftest import Started
from tests.entries import WAIT_S, Result, call, make_view, wait_until
from tests.upstreams import Call, FakeUpstream

WARM_UP = 150  # requests; hedges are a share of the requests so far


def named(call: Call) -> bytes:
    """Give an answer that only this request may get."""
    return f'{call.method} {call.target}'.encode()


@pytest.mark.parametrize('is_first_slow', [True, False])
def test_cancelled_hedge_gives_no_answer_to_others(
    upstream: Callable[..., FakeUpstream],
    start: Callable[..., Started],
    is_first_slow: bool,
) -> None:
    """The late answer of a loser must reach nobody, on any connection."""
    release = threading.Event()
    lock = threading.Lock()
    slow: list[Call] = []

    def script(call: Call) -> None:
        call.read_body()
        if call.target == '/files/slow':
            with lock:
                slow.append(call)
                is_late = (len(slow) == 1) == is_first_slow
            if is_late or not is_first_slow:
                release.wait(WAIT_S if is_late else 0.1)
        call.answer(named(call))

    fakes = [upstream(script) for _ in range(3)]
    entry, address = start(make_view(tuple(fake.address for fake in fakes)))
    for number in range(WARM_UP):
        call(address, 'GET', f'/files/{number}')
    assert call(address, 'GET', '/files/slow').body == b'GET /files/slow'
    assert len(slow) == 2
    loser = slow[0 if is_first_slow else 1].headers['oriolearch-attempt']
    wait_until(
        lambda: any(loser in fake.cancelled for fake in fakes),
    )
    release.set()
    for number in range(30):
        found = call(address, 'GET', f'/files/after/{number}')
        assert found.body == f'GET /files/after/{number}'.encode()
    wait_until(lambda: not any(entry.outstanding().values()))


def unreliable(seed: int) -> Callable[[Call], None]:
    """Give a script that answers late, twice, partly, wrongly or not."""
    rng = random.Random(seed)
    lock = threading.Lock()
    pause = threading.Event()

    def script(call: Call) -> None:
        call.read_body()
        with lock:
            kind = rng.choice(('good',) * 8 + ('late', 'twice', 'cut', 'none'))
            delay = rng.random() * 0.05
        if kind == 'late':
            pause.wait(delay)
        if kind == 'none':
            call.close()
        elif kind == 'cut':
            call.answer(named(call), cut=3)
            call.close()
        else:
            call.answer(named(call))
        if kind == 'twice':
            call.answer(named(call))

    return script


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_answers_never_cross(
    upstream: Callable[..., FakeUpstream],
    start: Callable[..., Started],
    seed: int,
) -> None:
    """No fault of an upstream may give a caller another's answer."""
    fakes = [upstream(unreliable(seed * 10 + number)) for number in range(3)]
    entry, address = start(make_view(tuple(fake.address for fake in fakes)))

    def one(number: int) -> tuple[str, str, Result]:
        method = 'POST' if number % 3 else 'GET'
        path = f'/files/{number}'
        headers = {'oriolearch-timeout-ms': str(20 + number % 7 * 100)}
        return method, path, call(address, method, path, b'', headers)

    with ThreadPoolExecutor(8) as executor:
        found = list(executor.map(one, range(400)))
    served = [part for part in found if part[2].status == 200]
    assert len(served) > 200
    for method, path, result in served:
        assert result.body == f'{method} {path}'.encode()
    ran = [request for fake in fakes for request in fake.requests]
    posted = [request.target for request in ran if request.method == 'POST']
    assert len(posted) == len(set(posted))
    refused = {path for _, path, part in found if part.outcome == 'not-run'}
    assert refused.isdisjoint(request.target for request in ran)
    wait_until(lambda: not any(entry.outstanding().values()))
