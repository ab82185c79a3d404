"""A store that comes back from an earlier copy, seen by its client."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from oriolearch.core.errors import (
    EraChangedError,
    HistoryLostError,
    OutcomeUnknownError,
)
from oriolearch.core.versions import ABSENT, StoreVersion
from oriolearch.platform.store import StoreClient
from oriolearch.ports import RowName
from tests.platform_standin import Headers, Request, Store

ROW = RowName('own', 'a')
Scenario = Callable[[Store, StoreClient], Awaitable[None]]


def run_scenario(scenario: Scenario, era: int | None = 1) -> None:
    async def run() -> None:
        store = Store()
        store.era = era
        await store.listen()
        try:
            await scenario(store, StoreClient(store.address))
        finally:
            store.stop()

    asyncio.run(run())


async def write(client: StoreClient, version: StoreVersion) -> StoreVersion:
    return await client.commit({ROW: version}, {ROW: b'x'})


@pytest.mark.parametrize('era', [None, 1, 7])
def test_versions_carry_the_era(era: int | None) -> None:
    """Fails if versions of two eras look alike, or need the header."""

    async def scenario(store: Store, client: StoreClient) -> None:
        version = await write(client, ABSENT)
        assert version == StoreVersion(era or 0, store.version)
        state = await client.read('own')
        assert [row.version for row in state.rows] == [version]
        assert state.version == version

    run_scenario(scenario, era)


def test_condition_of_an_earlier_era_is_not_sent() -> None:
    """Guard against a write whose condition holds for a row of the copy."""

    async def scenario(store: Store, client: StoreClient) -> None:
        version = await write(client, ABSENT)
        store.restore(store.copy())
        await client.read('own')
        with pytest.raises(EraChangedError):
            await write(client, version)
        assert store.version == version.number

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('is_lost', 'error'),
    [(False, OutcomeUnknownError), (True, EraChangedError)],
    ids=['condition holds by its number', 'condition fails'],
)
def test_write_that_shows_a_new_era(
    is_lost: bool, error: type[Exception]
) -> None:
    """Guard against a coordinator that takes 412 for its replacement."""

    async def scenario(store: Store, client: StoreClient) -> None:
        copy = store.copy()
        version = await write(client, ABSENT)
        store.restore(copy if is_lost else store.copy())
        with pytest.raises(error):
            await write(client, version)

    run_scenario(scenario)


@pytest.mark.parametrize('has_noticed', [True, False])
def test_changes_after_a_version_of_an_earlier_era(has_noticed: bool) -> None:
    """Guard against changes that are missed since their numbers are lower."""

    async def scenario(store: Store, client: StoreClient) -> None:
        copy = store.copy()
        version = await write(client, ABSENT)
        store.restore(copy)
        for _ in range(3):
            store.put('own', 'a', {})
        if has_noticed:
            await client.read('other')
        with pytest.raises(HistoryLostError):
            await client.follow('own', version, 0.1)
        state = await client.follow('own', StoreVersion(2, 0), 0.1)
        assert [row.version for row in state.rows] == [
            StoreVersion(2, store.version)
        ]

    run_scenario(scenario)


def test_late_answer_of_an_earlier_era() -> None:
    """Guard against a write that counts as stored though the copy lacks it."""

    async def scenario(store: Store, client: StoreClient) -> None:
        answer = store.answer

        async def answer_late(request: Request) -> tuple[int, Headers, bytes]:
            answered = await answer(request)
            client.ledger.record_era(2)  # as another host tells it
            return answered

        store.answer = answer_late  # type: ignore[method-assign]
        with pytest.raises(OutcomeUnknownError):
            await write(client, ABSENT)
        assert client.ledger.era == 2

    run_scenario(scenario)


def test_table_that_is_read_in_two_eras() -> None:
    """Guard against a table with pages of before and after the copy."""

    async def scenario(store: Store, client: StoreClient) -> None:
        for number in range(501):
            store.put('own', f'{number:03}', {})
        answer = store.answer

        async def answer_and_restore(
            request: Request,
        ) -> tuple[int, Headers, bytes]:
            if 'from=' in request.target:
                store.era = 2
            return await answer(request)

        store.answer = answer_and_restore  # type: ignore[method-assign]
        with pytest.raises(EraChangedError):
            await client.read('own')
        assert len((await client.read('own')).rows) == 501

    run_scenario(scenario)
