"""Error handling for control tasks and the background tasks they start."""

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

MAX_ERROR_CHARACTERS = 1000  # of the text of one error in the log


class Supervisor:
    """Logs errors of tasks that nothing awaits.

    A violated invariant stops the host.

    :ivar tasks: running background tasks.
    """

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self.tasks: set[asyncio.Task[None]] = set()
        self.violations: asyncio.Queue[InvariantError] = asyncio.Queue()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._finish)

    def report_error(self, error: BaseException) -> None:
        """Log an error; must be called on the event loop."""
        if isinstance(error, InvariantError):
            self.events.emit(
                Event.INVARIANT_BROKEN,
                invariant=error.invariant,
                detail=error.detail,
            )
            self.violations.put_nowait(error)
            return
        is_known = isinstance(error, OriolearchError)
        text = str(error) if is_known else repr(error)
        self.events.emit(
            Event.CONTROL_FAILED, error=text[:MAX_ERROR_CHARACTERS]
        )

    @contextmanager
    def log_unexpected_errors(self) -> Iterator[None]:
        """Log unexpected errors while a peer's request is answered.

        Refusals are raised to the peer without a log entry.
        """
        try:
            yield
        except (StaleError, ValidationError):
            raise
        except Exception as error:
            self.report_error(error)
            raise

    async def wait_for_violation(self) -> NoReturn:
        """Wait until an invariant is violated.

        :raises InvariantError: for the first violation.
        """
        raise await self.violations.get()

    def close(self) -> None:
        """Cancel all background tasks."""
        for task in self.tasks:
            task.cancel()

    def _finish(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.report_error(error)
