"""Tests of rate limits that upstreams name, with several hosts.

The stand-ins implement the platform's protocol on the loopback interface.
"""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import count

import pytest

from oriolearch.adapters.upstream_links import LinkError
from tests.test_platform_host import (
    KEYS,
    Installation,
    coordinator_host,
    run_scenario,
)

RATE_LIMIT = 4.0
# The platform's bounds: from CONTACT_S after a limit was first named, WINDOW_S
# bring at most SHARE of what it allows, and SLACK requests.
CONTACT_S = 3.0
WINDOW_S = 4.0
SHARE = 1.5
SLACK = 5
ORDERS_PER_S = 40.0

Fault = Callable[[Installation], Awaitable[None]]


async def leave_alone(installation: Installation) -> None:
    """Leave the hosts as they are."""


async def restart_host(installation: Installation) -> None:
    """Kill a host that doesn't coordinate, and start another one."""
    coordinator = coordinator_host(installation)
    installation.kill(
        next(host for host in installation.hosts if host is not coordinator)
    )
    await installation.add_host('later')


async def kill_coordinator(installation: Installation) -> None:
    installation.kill(coordinator_host(installation))


async def send_load(installation: Installation) -> None:
    """Send orders to all hosts in turn until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        for number in count():
            tasks.create_task(send_order(installation, number))
            await asyncio.sleep(1 / ORDERS_PER_S)


async def send_order(installation: Installation, number: int) -> None:
    """Send an order to one of the hosts that there are when it starts."""
    key = KEYS[number % len(KEYS)]
    # A host that is killed answers nothing.
    with suppress(LinkError):
        await installation.send_order(key, number % len(installation.hosts))


async def stop_load(load: asyncio.Task[None]) -> None:
    """Stop sending orders; raise what ended the load before."""
    load.cancel()
    with suppress(asyncio.CancelledError):
        await load


def busiest_window(arrivals: list[float], begins_at: float) -> int:
    """Return the most arrivals within the platform's window."""
    counted = [at for at in arrivals if at >= begins_at]
    return max(
        (
            sum(first <= at < first + WINDOW_S for at in counted)
            for first in counted
        ),
        default=0,
    )


def test_load_goes_on_when_a_host_is_killed() -> None:
    """Guard against a load that ends unnoticed at the loss of a host.

    An order was meant for the last of three hosts. When one of them was killed
    before the order began, all later orders were missing as well.
    """

    async def scenario(installation: Installation) -> None:
        last = len(installation.hosts) - 1
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(send_order(installation, last))
            installation.kill(installation.hosts[last])

    run_scenario(scenario, hosts=3)


@pytest.mark.parametrize('fault', [leave_alone, restart_host, kill_coordinator])
def test_all_hosts_together_keep_to_the_limit_of_an_upstream(
    fault: Fault,
) -> None:
    """Guard against a limit that no host, or only each alone, keeps to.

    An upstream names its limit to whichever host it answers. A host that it
    has not answered yet, or that has just started, sends requests to it too.
    """

    async def scenario(installation: Installation) -> None:
        loop = asyncio.get_running_loop()
        limited = installation.servers[0]
        load = loop.create_task(send_load(installation))
        await asyncio.sleep(1.0)
        limited.rate_limit = str(RATE_LIMIT)
        named_at = loop.time()
        await asyncio.sleep(CONTACT_S)
        await fault(installation)
        await asyncio.sleep(WINDOW_S + 1)
        await stop_load(load)
        allowed = SHARE * RATE_LIMIT * WINDOW_S + SLACK
        counted = busiest_window(limited.arrivals, named_at + CONTACT_S)
        assert 0 < counted <= allowed

    run_scenario(scenario, hosts=3)
