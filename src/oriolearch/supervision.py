"""Errors of the control tasks and of the tasks that they start."""

import asyncio
from collections.abc import Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, NoReturn

from oriolearch.eventlog import Event, EventLog
from oriolearch.core.errors import (
    InvariantError,
    OriolearchError,
    StaleError,
    ValidationError,
)

ERROR_CHARACTERS = 1000  # of one error in the log


class Supervisor:
    """Logs errors that nothing waits for; a broken invariant ends the host.

    :ivar tasks: the background tasks that run.
    """

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self.tasks: set[asyncio.Task[None]] = set()
        self.broken: asyncio.Queue[InvariantError] = asyncio.Queue()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a background task."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._ended)

    def failed(self, error: BaseException) -> None:
        """Log an error; called on the event loop."""
        if isinstance(error, InvariantError):
            self.events.emit(
                Event.INVARIANT_BROKEN,
                invariant=error.invariant,
                detail=error.detail,
            )
            self.broken.put_nowait(error)
            return
        is_known = isinstance(error, OriolearchError)
        text = str(error) if is_known else repr(error)
        self.events.emit(Event.CONTROL_FAILED, error=text[:ERROR_CHARACTERS])

    @contextmanager
    def watched(self) -> Iterator[None]:
        """Log errors of an answer to a peer other than refusals."""
        try:
            yield
        except (StaleError, ValidationError):
            raise
        except Exception as error:
            self.failed(error)
            raise

    async def wait_broken(self) -> NoReturn:
        """Wait for a broken invariant.

        :raises InvariantError: the first one.
        """
        raise await self.broken.get()

    def close(self) -> None:
        """End all background tasks."""
        for task in self.tasks:
            task.cancel()

    def _ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.failed(error)
