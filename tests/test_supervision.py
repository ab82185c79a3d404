"""Tests of errors in tasks that no caller awaits."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import pytest

from oriolearch.eventlog import EventLog
from oriolearch.cluster import free_addresses
from oriolearch.core.errors import InvariantError, StaleError, ValidationError
from oriolearch.host import Host
from oriolearch.settings import Settings
from oriolearch.supervision import Supervisor, keep_running

WAIT_S = 20


def make_host() -> Host:
    """Return a host whose platform does not answer."""
    names = ('entry', 'peers', 'admin', 'platform')
    fields: dict[str, Any] = {
        name: {'address': address}
        for name, address in zip(names, free_addresses(4), strict=True)
    }
    fields['admin'] |= {'tokens': [{'name': 'ann', 'sha256': '0' * 64}]}
    zones = [{'name': 'a', 'region': 'r'}]
    host = {'name': 'h', 'zone': 'a'}
    return Host(
        Settings.model_validate({**fields, 'host': host, 'zones': zones}),
    )


def numbers(caplog: pytest.LogCaptureFixture) -> list[int]:
    """Return the numbers of the events in the log."""
    return [getattr(record, 'number', 0) for record in caplog.records]


@pytest.mark.parametrize(
    ('error', 'number', 'is_fatal'),
    [
        (KeyError('holder'), 304, False),
        (ValidationError('row', 'term', 'x', 'no number'), 304, False),
        (InvariantError('promise-kept', 'x'), 114, True),
    ],
    ids=['unexpected error', 'invalid row', 'invariant'],
)
def test_error_of_a_background_task_is_logged(
    caplog: pytest.LogCaptureFixture,
    error: Exception,
    number: int,
    is_fatal: bool,
) -> None:
    """Errors of tasks that nothing awaits were lost without an event."""

    async def work() -> None:
        raise error

    async def run() -> None:
        supervisor = Supervisor(EventLog())
        supervisor.start(work())
        while supervisor.tasks:
            await asyncio.sleep(0)
        assert supervisor.violations.empty() is not is_fatal

    with caplog.at_level(logging.INFO):
        asyncio.run(run())
    assert numbers(caplog) == [number]


def test_only_refusals_of_a_peer_are_not_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The process went on after a violation while it answered a peer."""
    supervisor = Supervisor(EventLog())
    for error in (StaleError('term', 1, 2), InvariantError('i', 'd')):
        with pytest.raises(type(error)), supervisor.log_unexpected_errors():
            raise error
    assert numbers(caplog) == [114]
    assert not supervisor.violations.empty()


def _report_in_entry(host: Host) -> None:
    error = InvariantError('at-most-once', 'detail')
    host.entry._report_error(error)


def _report_in_task(host: Host) -> None:
    async def work() -> None:
        raise InvariantError('single-owner', 'detail')

    host.supervisor.start(work())


@pytest.mark.parametrize('report', [_report_in_entry, _report_in_task])
def test_broken_invariant_ends_the_host(report: Callable[[Host], None]) -> None:
    """The control tasks ended, but the process still waited for a signal."""

    async def run() -> None:
        host = make_host()
        await host.start()
        report(host)
        async with asyncio.timeout(WAIT_S):
            with pytest.raises(ExceptionGroup) as caught:
                await host.wait_for_failure()
        assert caught.group_contains(InvariantError)
        await host.kill()

    asyncio.run(run())


def test_unexpected_error_does_not_end_the_tasks(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """A KeyError in one task stopped all control tasks of the host."""

    async def run() -> None:
        host = make_host()
        done = asyncio.Event()

        async def work() -> None:
            if 304 in numbers(caplog):
                done.set()
            raise KeyError('x')

        task = asyncio.create_task(host.control._run_periodically(0, work))
        async with asyncio.timeout(WAIT_S):
            await done.wait()
        assert not task.done()
        task.cancel()

    with caplog.at_level(logging.INFO):
        asyncio.run(run())


def test_invalid_address_of_a_peer_is_skipped(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """One invalid address in the host list stopped syncs with all zones."""

    async def run() -> None:
        host = make_host()
        for address in ('nonsense', '127.0.0.1:99999', 'a..b:1', '127.0.0.1:²'):
            await host.control._sync_with_peer(address, [])

    with caplog.at_level(logging.INFO):
        asyncio.run(run())
    assert numbers(caplog) == [303, 303, 303, 303]


def test_failed_task_runs_again(caplog: pytest.LogCaptureFixture) -> None:
    """Guard against a task that ends unseen while the host lives on."""
    caplog.set_level(logging.INFO)
    starts: list[int] = []

    async def fail_twice() -> None:
        starts.append(len(starts))
        if len(starts) < 3:
            raise OverflowError(f'start {starts[-1]}')

    asyncio.run(keep_running('watch', fail_twice, EventLog()))
    assert starts == [0, 1, 2]
    failures = [
        record
        for record in caplog.records
        if getattr(record, 'event', '') == 'task_failed'
    ]
    assert [record.__dict__['error'] for record in failures] == [
        "OverflowError('start 0')",
        "OverflowError('start 1')",
    ]
    assert 'fail_twice' in failures[0].__dict__['trace'][-1]
