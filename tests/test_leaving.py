"""Tests of upstreams that leave, or ask for a pause, in their answers.

The stand-ins implement the platform's protocol on the loopback interface.
"""

import asyncio

import pytest

from oriolearch.registry import LEAVING_LIMIT_S
from tests.platform_standin import KeyedServer
from tests.test_platform_host import KEYS, Installation, run_scenario

LEAVING_S = 2.0  # the platform's bound from the first answer that says so
MOVED_S = 4.0  # by then other upstreams own the keys
PAUSE_S = 3.0
# Requests that were sent before their answer arrived.
PAUSE_GRACE_S = 0.5
MAX_REQUESTS_IN_PAUSE = 2


async def send_from_all(installation: Installation) -> list[int]:
    """Send an order for each key through each host; return the statuses."""
    answers = await asyncio.gather(
        *(
            installation.send_order(key, host)
            for host in range(len(installation.hosts))
            for key in KEYS
        )
    )
    return [answer.status for answer in answers]


async def send_for(installation: Installation, for_s: float) -> None:
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + for_s
    while loop.time() < ends_at:
        await send_from_all(installation)
        await asyncio.sleep(0.05)


def arrivals_after(server: KeyedServer, at: float) -> int:
    return sum(arrival > at for arrival in server.arrivals)


@pytest.mark.parametrize('is_store_down', [False, True])
def test_upstream_that_leaves_gets_nothing_more(is_store_down: bool) -> None:
    """Guard against requests to an upstream that said that it leaves.

    Its entry in the store may not tell, or not in time.
    """

    async def scenario(installation: Installation) -> None:
        leaving = installation.servers[0]
        installation.store.is_down = is_store_down
        leaving.is_leaving = True
        told_at = asyncio.get_running_loop().time()
        await send_for(installation, MOVED_S)
        assert not arrivals_after(leaving, told_at + LEAVING_S)
        if not is_store_down:
            assert set(await send_from_all(installation)) == {200}

    run_scenario(scenario, hosts=3)


def test_upstream_that_stays_gets_requests_again() -> None:
    """Guard against an upstream that is lost for good to its own answer."""

    async def scenario(installation: Installation) -> None:
        registry = installation.hosts[0].registry
        entry = next(iter(registry.entries.values()))
        registry.record_leaving(1.0, entry.ref)
        assert not registry.is_usable(entry)
        registry.apply_due_removals(1.0 + LEAVING_LIMIT_S)
        assert registry.is_usable(entry)

    run_scenario(scenario)


def test_upstream_gets_no_requests_in_the_pause_that_it_asks_for() -> None:
    """Guard against requests to an upstream that asked for a pause.

    They are refused at once, with the time that is left, and the upstream
    gets requests again when it is over.
    """

    async def scenario(installation: Installation) -> None:
        loop = asyncio.get_running_loop()
        paused = installation.servers[0]
        paused.retry_after = str(PAUSE_S)
        await send_from_all(installation)
        begun_at = max(paused.arrivals)
        paused.retry_after = ''
        await asyncio.sleep(PAUSE_GRACE_S)
        answers = [await installation.send_order(key) for key in KEYS]
        refusals = [answer for answer in answers if answer.status == 503]
        assert refusals
        for refusal in refusals:
            after_s = float(refusal.header(b'retry-after') or 0)
            assert PAUSE_S / 2 < after_s < PAUSE_S * 2
        await asyncio.sleep(begun_at + PAUSE_S - loop.time() - 0.2)
        await send_from_all(installation)
        in_pause = arrivals_after(paused, begun_at + PAUSE_GRACE_S)
        assert in_pause <= MAX_REQUESTS_IN_PAUSE
        await asyncio.sleep(0.5)
        await installation.wait_until_all_served()

    run_scenario(scenario)
