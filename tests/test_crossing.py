"""Each caller receives the answer to its own request or no answer."""

import random
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.conftest import StartedEntry
from tests.entries import WAIT_S, Result, call, make_view, wait_until
from tests.upstreams import FakeUpstream, ReceivedRequest

# Requests before a hedge is expected: hedges are limited to a share of all
# requests so far.
WARM_UP_REQUESTS = 150


def body_for(call: ReceivedRequest) -> bytes:
    """Return the answer body that only this request may receive."""
    return f'{call.method} {call.target}'.encode()


@pytest.mark.parametrize('is_first_slow', [True, False])
def test_cancelled_hedge_gives_no_answer_to_others(
    upstream: Callable[..., FakeUpstream],
    start: Callable[..., StartedEntry],
    is_first_slow: bool,
) -> None:
    """The late answer of a cancelled attempt must reach no caller.

    This holds on every connection.
    """
    release = threading.Event()
    lock = threading.Lock()
    slow: list[ReceivedRequest] = []

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        if call.target == '/files/slow':
            with lock:
                slow.append(call)
                waits_for_release = (len(slow) == 1) == is_first_slow
            if waits_for_release or not is_first_slow:
                release.wait(WAIT_S if waits_for_release else 0.1)
        call.answer(body_for(call))

    fakes = [upstream(script) for _ in range(3)]
    entry, address = start(make_view(tuple(fake.address for fake in fakes)))
    for number in range(WARM_UP_REQUESTS):
        call(address, 'GET', f'/files/{number}')
    assert call(address, 'GET', '/files/slow').body == b'GET /files/slow'
    assert len(slow) == 2
    cancelled = slow[0 if is_first_slow else 1].headers['oriolearch-attempt']
    wait_until(lambda: any(cancelled in fake.cancelled for fake in fakes))
    release.set()
    for number in range(30):
        after = call(address, 'GET', f'/files/after/{number}')
        assert after.body == f'GET /files/after/{number}'.encode()
    wait_until(lambda: not any(entry.outstanding().values()))


def unreliable_script(seed: int) -> Callable[[ReceivedRequest], None]:
    """Return a script that answers late, twice, in part or not at all."""
    rng = random.Random(seed)
    lock = threading.Lock()
    pause = threading.Event()

    def script(call: ReceivedRequest) -> None:
        call.read_body()
        with lock:
            kind = rng.choice(('good',) * 8 + ('late', 'twice', 'cut', 'none'))
            delay = rng.random() * 0.05
        if kind == 'late':
            pause.wait(delay)
        if kind == 'none':
            call.close()
        elif kind == 'cut':
            call.answer(body_for(call), cut=3)
            call.close()
        else:
            call.answer(body_for(call))
        if kind == 'twice':
            call.answer(body_for(call))

    return script


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_answers_never_cross(
    upstream: Callable[..., FakeUpstream],
    start: Callable[..., StartedEntry],
    seed: int,
) -> None:
    """Upstream faults must not send an answer to the wrong caller."""
    fakes = [
        upstream(unreliable_script(seed * 10 + number)) for number in range(3)
    ]
    entry, address = start(make_view(tuple(fake.address for fake in fakes)))

    def send_request(number: int) -> tuple[str, str, Result]:
        method = 'POST' if number % 3 else 'GET'
        path = f'/files/{number}'
        headers = {'oriolearch-timeout-ms': str(20 + number % 7 * 100)}
        return method, path, call(address, method, path, b'', headers)

    with ThreadPoolExecutor(8) as executor:
        results = list(executor.map(send_request, range(400)))
    served = [part for part in results if part[2].status == 200]
    assert len(served) > 200
    for method, path, result in served:
        assert result.body == f'{method} {path}'.encode()
    executed = [request for fake in fakes for request in fake.requests]
    posted_paths = [
        request.target for request in executed if request.method == 'POST'
    ]
    assert len(posted_paths) == len(set(posted_paths))
    not_run_paths = {
        path for _, path, part in results if part.outcome == 'not-run'
    }
    assert not_run_paths.isdisjoint(request.target for request in executed)
    wait_until(lambda: not any(entry.outstanding().values()))
