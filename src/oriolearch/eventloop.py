"""The event loop of a host, with fewer calls of the kernel."""

import asyncio
import selectors

# Iterations with ready callbacks between two checks for input. A request takes
# some ten iterations, most of which only continue a task.
MAX_SKIPPED_POLLS = 3

_Ready = list[tuple[selectors.SelectorKey, int]]


class SparingSelector(selectors.EpollSelector):
    """A selector that does not poll in each iteration of a busy loop.

    asyncio polls with a timeout of zero while callbacks are ready. Input that
    arrives meanwhile is seen at most ``MAX_SKIPPED_POLLS`` iterations later.

    :ivar skipped: polls skipped since the last one.
    """

    def __init__(self) -> None:
        super().__init__()
        self.skipped = 0

    def select(self, timeout: float | None = None) -> _Ready:
        """Return the ready files; an idle loop always polls."""
        is_busy = timeout is not None and timeout <= 0
        if is_busy and self.skipped < MAX_SKIPPED_POLLS:
            self.skipped += 1
            return []
        self.skipped = 0
        return super().select(timeout)


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop for a host."""
    return asyncio.SelectorEventLoop(SparingSelector())
