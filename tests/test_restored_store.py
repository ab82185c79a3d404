"""Hosts whose store comes back from an earlier copy."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager

import pytest

from oriolearch.clock import lease_clock
from oriolearch.coordinator_rows import (
    COORDINATOR_ROW,
    OWNER_TABLE,
    decode_coordinator,
)
from oriolearch.core.errors import PeerError
from oriolearch.core.versions import StoreVersion
from oriolearch.core.witnesses import LONG_AUTHORITY_S
from oriolearch.leadership import Leadership
from oriolearch.platform.daemon import HostDaemon
from oriolearch.ports import StoredRow
from oriolearch.succession import ask
from tests.platform_standin import StoreCopy, make_document, make_rule
from tests.test_platform_host import (
    KEYS,
    Installation,
    coordinator_host,
    refuse_commit,
    run_scenario,
    wait_for_coordinator,
    wait_for_witnesses,
    wait_until_stuck,
)

CONFIG_S = 2.0  # bound of the platform for a new configuration
RECOVER_S = 20.0  # the longest authority and lease of a lost coordinator
SERVED_S = 2.0  # until keys are served again after a planned change
RESTORED_S = 2.0  # until a coordinator has written its rows again
ERA_AGE_ERROR_S = 0.5  # includes the time between two hosts' polls
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
        while set(map(config_version, installation.hosts)) != {version}:
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
        copy = store.copy()
        for _ in range(writes):
            store.put('own', 'unrelated', {})
        store.put('op', 'config', make_document(9, ROUTES))
        await wait_for_config(installation, 9)
        store.restore(copy)
        store.refill()
        store.put('op', 'config', make_document(12, ROUTES))
        await wait_for_config(installation, 12)

    run_scenario(scenario, hosts=4, era=1)


def test_configuration_does_not_revert_with_the_store() -> None:
    """Guard against an older configuration while the copy is filled again."""

    async def scenario(installation: Installation) -> None:
        store = installation.store
        copy = store.copy()
        store.put('op', 'config', make_document(9, ROUTES))
        await wait_for_config(installation, 9)
        store.restore(copy)
        for _ in range(20):
            await asyncio.sleep(0.02)
            assert {config_version(host) for host in installation.hosts} == {9}
        store.refill()

    run_scenario(scenario, hosts=4, era=1)


def test_zone_stays_out_until_the_operator_has_written_again() -> None:
    """Guard against requests to a zone that is out of service (EVAC).

    The copy lacks the operator's row, which comes back within moments.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
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

    run_scenario(scenario, hosts=3, era=1)


def stored_term(installation: Installation) -> int:
    """Return the term that the store names."""
    value, number = installation.store.rows[
        COORDINATOR_ROW.table, COORDINATOR_ROW.key
    ]
    row = StoredRow(
        COORDINATOR_ROW.table,
        COORDINATOR_ROW.key,
        value,
        StoreVersion(0, number),
    )
    decoded = decode_coordinator(row)
    assert decoded is not None
    return decoded.term


def acting_terms(installation: Installation) -> list[int]:
    """Return the terms whose coordinators may grant keys."""
    leaderships = (host.coordination.leadership for host in installation.hosts)
    return [
        leadership.row.term
        for leadership in leaderships
        if leadership is not None and leadership.has_authority()
    ]


def leadership_of(host: HostDaemon) -> Leadership:
    leadership = host.coordination.leadership
    assert leadership is not None
    return leadership


async def wait_until_restored(installation: Installation) -> None:
    """Wait until the coordinator has written its rows in the present era."""
    async with asyncio.timeout(RESTORED_S):
        while not is_restored(installation):
            await asyncio.sleep(0.02)


def is_restored(installation: Installation) -> bool:
    terms = acting_terms(installation)
    if terms != [stored_term(installation)]:
        return False
    leadership = leadership_of(coordinator_host(installation))
    is_current = leadership.row.era == installation.store.era
    return is_current and not leadership.is_restoring


async def replace_coordinator(installation: Installation) -> HostDaemon:
    """Stop the coordinator; return its host once another one coordinates."""
    coordinator = coordinator_host(installation)
    installation.kill(coordinator)
    await wait_for_coordinator(installation)
    await wait_for_witnesses(installation)
    return coordinator


@pytest.mark.parametrize('restarts', [False, True])
def test_coordinator_whose_takeover_the_store_lost(restarts: bool) -> None:
    """Guard against two coordinators (OWNER), and against none (RECOVER).

    The restarted host of the predecessor found its own row in the store and
    took over at once. Without it, no host could coordinate any more: each
    ignored the row, and made its takeover conditional on the lost version.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        copy = store.copy()
        predecessor = await replace_coordinator(installation)
        term = leadership_of(coordinator_host(installation)).row.term
        store.restore(copy)
        if restarts:
            again = HostDaemon(predecessor.settings)
            await again.start()
            installation.hosts.append(again)
        ends_at = asyncio.get_running_loop().time() + 3
        while asyncio.get_running_loop().time() < ends_at:
            assert acting_terms(installation) == [term]
            await asyncio.sleep(0.02)
        assert stored_term(installation) == term
        await installation.wait_until_all_served()

    run_scenario(scenario, hosts=4, era=1)


def test_coordinator_that_cannot_write_after_the_return() -> None:
    """Guard against a needless takeover that leaves all keys unserved.

    A host replaced the coordinator, which was cut off from the store only. No
    key was served until the terms were over that the store may have lost.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        coordinator = coordinator_host(installation)
        leadership = leadership_of(coordinator)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(
                coordinator.coordination.store, 'commit', refuse_commit
            )
            store.restore(store.copy())
            await wait_until_stuck(leadership)
            ends_at = asyncio.get_running_loop().time() + 3
            while asyncio.get_running_loop().time() < ends_at:
                assert set(await installation.send_orders()) == {200}
                await asyncio.sleep(0.1)
        await wait_until_restored(installation)
        assert not leadership.is_over

    run_scenario(scenario, hosts=4, era=1)


def test_coordinator_that_is_lost_with_its_row() -> None:
    """Guard against a term that is given twice, and against a long gap.

    The store lost the takeover of a coordinator that then ended: nobody writes
    its row again.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        copy = store.copy()
        await replace_coordinator(installation)
        lost = coordinator_host(installation)
        term = leadership_of(lost).row.term
        installation.kill(lost)
        store.restore(copy)
        successor = await wait_for_coordinator(installation)
        assert leadership_of(successor).row.term > term + 1
        async with asyncio.timeout(RECOVER_S):
            while set(await installation.send_orders()) != {200}:
                await asyncio.sleep(0.2)

    run_scenario(scenario, hosts=4, era=1)


@pytest.mark.parametrize('is_coordinator', [False, True])
def test_hosts_tell_each_other_when_the_era_began(is_coordinator: bool) -> None:
    """Guard against a long gap after takeovers in turn (RECOVER).

    A host that started after the return waited for the end of lost terms from
    its own start.

    :param is_coordinator: the host that learned of the era first.
    """

    async def scenario(installation: Installation) -> None:
        await wait_until_restored(installation)
        installation.store.restore(installation.store.copy())
        await wait_until_restored(installation)
        coordinator = coordinator_host(installation)
        other = next(
            host for host in installation.hosts if host is not coordinator
        )
        first = coordinator if is_coordinator else other
        for host in installation.hosts:
            if host is not first:
                host.coordination.era_seen_at += 1000
        began_at = first.coordination.era_seen_at
        link = other.coordination.coordinator_link
        assert link is not None
        link.close()
        await installation.add_host('h9')
        async with asyncio.timeout(RESTORED_S):
            while any(
                abs(host.coordination.era_seen_at - began_at) > ERA_AGE_ERROR_S
                for host in installation.hosts
            ):
                await asyncio.sleep(0.02)

    run_scenario(scenario, hosts=3, era=1)


def test_term_after_a_return_is_above_all_lost_ones() -> None:
    """Guard against a term that is given out again.

    The coordinator wrote its row again, but others may have taken over in the
    part that the store lost.
    """

    async def scenario(installation: Installation) -> None:
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        coordinator = coordinator_host(installation)
        term = leadership_of(coordinator).row.term
        installation.store.restore(installation.store.copy())
        await wait_until_restored(installation)
        assert stored_term(installation) == term
        installation.kill(coordinator)
        successor = await wait_for_coordinator(installation)
        assert leadership_of(successor).row.term > term + 1
        await installation.wait_until_all_served()

    run_scenario(scenario, hosts=4, era=1)


@pytest.mark.parametrize('era', [1, 2, 3])
def test_witness_promises_nothing_for_a_takeover_that_may_be_lost(
    era: int,
) -> None:
    """Guard against two coordinators that the same witnesses follow (OWNER).

    The predecessor has written its rows again when a successor, whose takeover
    the store lost, asks its witnesses.
    """

    async def scenario(installation: Installation) -> None:
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        installation.store.restore(installation.store.copy())
        await wait_until_restored(installation)
        leadership = leadership_of(coordinator_host(installation))
        question = {'kind': 'promise', 'term': 99, 'era': era}
        for witness in leadership.witnesses:
            if era >= leadership.row.era:
                answer = await ask(witness.address, question)
                assert answer['promised'] == 99
                continue
            with pytest.raises(PeerError):
                await ask(witness.address, question)

    run_scenario(scenario, hosts=4, era=1)


def test_store_that_comes_back_twice() -> None:
    """Guard against a row that is written for an era that is over."""

    async def scenario(installation: Installation) -> None:
        store = installation.store
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        term = leadership_of(coordinator_host(installation)).row.term
        copy = store.copy()
        for _ in range(2):
            store.restore(copy)
            await asyncio.sleep(0.3)
        await wait_until_restored(installation)
        assert stored_term(installation) == term
        await installation.wait_until_all_served()

    run_scenario(scenario, hosts=4, era=1)


class HolderCheck:
    """Watches which servers hold each key, and with which tokens.

    :ivar shared: keys that two servers held at once.
    """

    def __init__(self, installation: Installation) -> None:
        self.installation = installation
        self.shared: set[int] = set()

    async def watch(self) -> None:
        while True:
            for key in KEYS:
                holders = [
                    server.name
                    for server in self.installation.servers
                    if server.holds(key)
                ]
                if len(holders) > 1:
                    self.shared.add(key)
            await asyncio.sleep(0.01)

    def falling_tokens(self) -> list[tuple[str, int]]:
        """Return servers and keys that got a lower token than before."""
        return [
            (server.name, key)
            for server in self.installation.servers
            for key in KEYS
            if _has_fall(
                fence
                for first, last, fence in server.fences
                if first <= key <= last
            )
        ]


def _has_fall(fences: Iterable[int]) -> bool:
    granted = list(fences)
    return granted != sorted(granted)


@contextmanager
def checked_holders(installation: Installation) -> Iterator[None]:
    """Check that no two servers hold a key at once."""
    check = HolderCheck(installation)
    task = asyncio.get_running_loop().create_task(check.watch())
    try:
        yield
    finally:
        task.cancel()
    assert not check.shared
    assert not check.falling_tokens()


async def move_keys(installation: Installation) -> StoreCopy:
    """Move keys to another server; return a copy of the store before that."""
    leadership = leadership_of(coordinator_host(installation))
    balancer = leadership.balancer_of('orders')
    balancer.plan = lambda ownership: iter(())  # type: ignore[method-assign]
    ownership = leadership.pools['orders']
    async with asyncio.timeout(5):
        while ownership.has_open_moves():
            await asyncio.sleep(0.02)
    copy = installation.store.copy()
    keys = ownership.ranges[0]
    target = next(ref for ref in ownership.upstreams if ref != keys.owner)
    assert ownership.plan_move(lease_clock(), keys.first, keys.last, target)
    server = next(
        server for server in installation.servers if server.name == target.name
    )
    async with asyncio.timeout(5):
        while ownership.has_open_moves() or not server.holds(0):
            await asyncio.sleep(0.02)
    return copy


async def stop_coordinator(installation: Installation) -> None:
    host = coordinator_host(installation)
    await host.coordination.stop()
    installation.kill(host)


async def stop_later(installation: Installation) -> None:
    await asyncio.sleep(0.5)
    await stop_coordinator(installation)


async def kill_at_once(installation: Installation) -> None:
    installation.kill(coordinator_host(installation))


async def kill_later(installation: Installation) -> None:
    await asyncio.sleep(0.8)
    await kill_at_once(installation)


async def kill_all(installation: Installation) -> None:
    for host in list(installation.hosts):
        installation.kill(host)
    await installation.add_host('h9')


async def restore_again(installation: Installation) -> None:
    store = installation.store
    await asyncio.sleep(0.1)
    store.restore(store.copy())
    await stop_later(installation)


async def leave_coordinator(installation: Installation) -> None:
    await asyncio.sleep(1.0)


@pytest.mark.parametrize(
    'event',
    [
        leave_coordinator,
        stop_coordinator,
        stop_later,
        kill_at_once,
        kill_later,
        kill_all,
        restore_again,
    ],
)
def test_owners_that_the_store_lost(
    event: Callable[[Installation], Awaitable[None]],
) -> None:
    """Guard against two servers that hold the same keys (OWNER).

    The store lost a move of keys. The coordinator did not write the owners
    again, and its successor moved the same keys once more, from the owners of
    before to other servers than those that held them.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        await installation.wait_until_all_served()
        copy = await move_keys(installation)
        with checked_holders(installation):
            store.restore(copy)
            await event(installation)
            async with asyncio.timeout(RECOVER_S):
                while set(await installation.send_orders()) != {200}:
                    await asyncio.sleep(0.2)
            await asyncio.sleep(1.0)

    run_scenario(scenario, servers=5, hosts=4, era=1)


def count_grants(installation: Installation) -> int:
    return sum(len(server.fences) for server in installation.servers)


async def end_term(installation: Installation) -> None:
    """End the term; unlike a lost host, this one proves it to a successor."""
    coordinator_host(installation).coordination.end_term('test')


@pytest.mark.parametrize('end', [kill_at_once, end_term])
def test_successor_in_turn_does_not_trust_outdated_owners(
    end: Callable[[Installation], Awaitable[None]],
) -> None:
    """Guard against two servers that hold the same keys (OWNER).

    A successor stored outdated owners in the new era, while a lost coordinator
    might still act. The next successor granted them their keys at once.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        copy = await move_keys(installation)
        await end(installation)
        restored_at = lease_clock()
        store.restore(copy)
        lost = copy.rows[OWNER_TABLE, 'orders']
        await wait_for_coordinator(installation)
        async with asyncio.timeout(RESTORED_S):
            while store.rows[OWNER_TABLE, 'orders'] == lost:
                await asyncio.sleep(0.02)
        await end(installation)
        granted = count_grants(installation)
        await wait_for_coordinator(installation)
        async with asyncio.timeout(RECOVER_S):
            while count_grants(installation) == granted:
                await asyncio.sleep(0.02)
        assert lease_clock() >= restored_at + LONG_AUTHORITY_S
        await installation.wait_until_all_served()

    run_scenario(scenario, servers=5, hosts=4, era=1)


def test_owners_are_written_again_before_a_planned_stop() -> None:
    """Guard against keys without service while a coordinator stops.

    Its successor trusts no owners of an earlier era, and waits for the end of
    the longest lease.
    """

    async def scenario(installation: Installation) -> None:
        store = installation.store
        await wait_for_witnesses(installation)
        await wait_until_restored(installation)
        copy = await move_keys(installation)
        store.restore(copy)
        lost = store.rows[OWNER_TABLE, 'orders']
        await stop_later(installation)
        await wait_for_coordinator(installation)
        assert store.rows[OWNER_TABLE, 'orders'] != lost
        async with asyncio.timeout(SERVED_S):
            while set(await installation.send_orders()) != {200}:
                await asyncio.sleep(0.02)

    run_scenario(scenario, servers=5, hosts=4, era=1)


def test_coordinator_row_of_an_older_version_is_of_the_present_era() -> None:
    """Guard against a gap at the first takeover after an update."""
    fields = {
        'host': 'h',
        'address': 'h:1',
        'term': 3,
        'nonce': 'n',
        'leaving': True,
    }
    value = json.dumps(fields).encode()
    name = COORDINATOR_ROW
    row = StoredRow(name.table, name.key, value, StoreVersion(5, 1))
    decoded = decode_coordinator(row)
    assert decoded is not None
    assert (decoded.era, decoded.next_term_in(5)) == (5, 4)
