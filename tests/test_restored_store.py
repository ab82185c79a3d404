"""Hosts whose store comes back from an earlier copy."""

import asyncio

import pytest

from oriolearch.platform.daemon import HostDaemon
from tests.platform_standin import make_document, make_rule
from tests.test_platform_host import Installation, run_scenario

CONFIG_S = 2.0  # bound of the platform for a new configuration
REFILL_S = 0.15  # until the operator has written again
ROUTES = [make_rule('order', 'unsafe', 1.2)]


def is_zone_out(host: HostDaemon) -> bool:
    return 'z1' in host.registry.zones_out


def config_version(host: HostDaemon) -> int:
    directory = host.registry.directory
    assert directory is not None
    return directory.version


async def wait_for_config(installation: Installation, version: int) -> None:
    async with asyncio.timeout(CONFIG_S):
        while {config_version(host) for host in installation.hosts} != {
            version
        }:
            await asyncio.sleep(0.02)


@pytest.mark.parametrize('writes', [0, 3, 20], ids='{}-writes'.format)
def test_configuration_after_the_return(writes: int) -> None:
    """Guard against a configuration that is ignored for good (CONFIG).

    The store had given the number of its row to an earlier configuration
    before it came back from a copy of before that one.

    :param writes: transactions between the copy and the loss.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
        store.era = 1
        store.put('op', 'other', {})  # names the era to all hosts
        copy = store.copy()
        for _ in range(writes):
            store.put('own', 'unrelated', {})
        store.put('op', 'config', make_document(9, ROUTES))
        await wait_for_config(installation, 9)
        store.restore(copy)
        store.refill()
        store.put('op', 'config', make_document(12, ROUTES))
        await wait_for_config(installation, 12)

    run_scenario(scenario, hosts=4)


def test_configuration_does_not_revert_with_the_store() -> None:
    """Guard against an older configuration while the copy is filled again."""

    async def scenario(installation: Installation) -> None:
        store = installation.store
        store.era = 1
        copy = store.copy()
        store.put('op', 'config', make_document(9, ROUTES))
        await wait_for_config(installation, 9)
        store.restore(copy)
        for _ in range(20):
            await asyncio.sleep(0.02)
            assert {config_version(host) for host in installation.hosts} == {9}
        store.refill()

    run_scenario(scenario, hosts=4)


def test_zone_stays_out_until_the_operator_has_written_again() -> None:
    """Guard against requests to a zone that is out of service (EVAC).

    The copy lacks the operator's row, which comes back within moments.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
        store.era = 1
        copy = store.copy()
        store.put('op', 'evacuate/z1', {})
        async with asyncio.timeout(CONFIG_S):
            while not all(map(is_zone_out, installation.hosts)):
                await asyncio.sleep(0.02)
        store.restore(copy)
        ends_at = asyncio.get_running_loop().time() + REFILL_S
        while asyncio.get_running_loop().time() < ends_at:
            assert all(map(is_zone_out, installation.hosts))
            await asyncio.sleep(0.01)
        store.refill()
        await asyncio.sleep(0.3)
        assert all(map(is_zone_out, installation.hosts))
        store.remove('op', 'evacuate/z1')
        async with asyncio.timeout(CONFIG_S):
            while any(map(is_zone_out, installation.hosts)):
                await asyncio.sleep(0.02)

    run_scenario(scenario, hosts=3)
