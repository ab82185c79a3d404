"""Error handling for control tasks and the background tasks they start."""

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Iterator
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
MAX_LOGGED_FRAMES = 5  # of a traceback, nearest to the error
FIRST_RESTART_DELAY_S = 0.1  # doubles with each failure
MAX_RESTART_DELAY_S = 2.0
# A task that ran for this long starts again after the first delay.
STABLE_RUN_S = 10.0


async def keep_running(
    name: str,
    start: Callable[[], Coroutine[Any, Any, None]],
    log: EventLog,
) -> None:
    """Run a task, and start it again whenever it fails.

    :param start: returns a new coroutine of the task, which may also end
        without an error.
    """
    loop = asyncio.get_running_loop()
    delay_s = FIRST_RESTART_DELAY_S
    while True:
        began_at = loop.time()
        try:
            return await start()
        except Exception as error:
            if loop.time() - began_at >= STABLE_RUN_S:
                delay_s = FIRST_RESTART_DELAY_S
            log_task_failure(log, name, error, delay_s)
        await asyncio.sleep(delay_s)
        delay_s = min(delay_s * 2, MAX_RESTART_DELAY_S)


def log_task_failure(
    log: EventLog,
    name: str,
    error: BaseException,
    restart_in_s: float | None = None,
) -> None:
    """Log an unexpected error that ended a task.

    :param restart_in_s: delay until the task starts again, if it does.
    """
    log.emit(
        Event.TASK_FAILED,
        task=name,
        error=repr(error)[:MAX_ERROR_CHARACTERS],
        trace=_format_frames(error),
        restart_in_s=restart_in_s,
    )


def _format_frames(error: BaseException) -> list[str]:
    frames = traceback.extract_tb(error.__traceback__)
    return [
        f'{frame.filename.rpartition("/")[2]}:{frame.lineno} {frame.name}'
        for frame in frames[-MAX_LOGGED_FRAMES:]
    ]


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
