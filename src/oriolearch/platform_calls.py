"""Calls of the platform from the event loop, run on a thread pool."""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

from oriolearch.core.errors import PlatformError, PlatformRefusedError
from oriolearch.core.rows import (
    Commit,
    Committed,
    Refused,
    StoredRow,
    Unresolved,
)
from oriolearch.ports import Condition, TableService, Write

THREADS = 4

_Result = TypeVar('_Result')


class PlatformCalls:
    """Runs blocking calls of a table service on threads."""

    def __init__(self, tables: TableService) -> None:
        self.tables = tables
        self.threads = ThreadPoolExecutor(THREADS, 'platform')

    async def run(self, call: Callable[[], _Result]) -> _Result:
        """Run a blocking call; return its result or raise its error."""
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self.threads, call)

    async def read(self, table: str, key: str) -> StoredRow | None:
        """Read one row; return ``None`` when the call fails."""
        try:
            row = await self.run(lambda: self.tables.read(table, key))
        except PlatformError:
            return None
        return StoredRow(row.version, row.row)

    async def scan(self, table: str) -> dict[str, StoredRow] | None:
        """Read all rows of a table; return ``None`` when the call fails."""
        try:
            rows = await self.run(lambda: self.tables.scan(table))
        except PlatformError:
            return None
        return {row.key: StoredRow(row.version, row.row) for row in rows}

    async def commit(self, commit: Commit) -> Committed | Refused | Unresolved:
        """Run a transaction and return its outcome."""
        conditions = [
            Condition(condition.table, condition.key, condition.version)
            for condition in commit.conditions
        ]
        writes = [
            Write(write.table, write.key, write.row) for write in commit.writes
        ]
        try:
            versions = await self.run(
                lambda: self.tables.commit(conditions, writes),
            )
        except PlatformRefusedError:
            return Refused(commit.nonce)
        except PlatformError:
            return Unresolved(commit.nonce)
        return Committed(commit.nonce, tuple(versions))

    def close(self) -> None:
        """Accept no further calls; running calls end on their own."""
        self.threads.shutdown(wait=False, cancel_futures=True)
