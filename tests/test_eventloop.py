"""Tests of the event loop of a host."""

import asyncio
import socket

import pytest

from oriolearch.eventloop import (
    MAX_SKIPPED_POLLS,
    SparingSelector,
    new_event_loop,
)


@pytest.mark.parametrize(
    ('timeouts', 'polls'),
    [
        pytest.param((0.0,) * 8, 2, id='busy loop'),
        pytest.param((0.001,) * 3, 3, id='idle loop'),
        pytest.param((0.0, 0.001, 0.0, 0.0, 0.0, 0.0), 2, id='busy and idle'),
    ],
)
def test_polls_of_the_kernel(
    timeouts: tuple[float, ...],
    polls: int,
) -> None:
    """Guard against a poll in each iteration, and against none at all."""
    left, right = socket.socketpair()
    selector = SparingSelector()
    selector.register(left, 1)
    right.send(b'x')
    seen = sum(bool(selector.select(timeout)) for timeout in timeouts)
    selector.close()
    left.close()
    right.close()
    assert seen == polls


def test_input_is_seen_while_callbacks_are_always_ready() -> None:
    """Guard against a busy host that reads nothing more."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        left, right = socket.socketpair()
        left.setblocking(False)
        received = loop.create_task(loop.sock_recv(left, 1))
        await asyncio.sleep(0)
        right.send(b'x')
        for _ in range(2 * (MAX_SKIPPED_POLLS + 2)):
            await asyncio.sleep(0)
        assert received.done()
        left.close()
        right.close()

    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(scenario())
