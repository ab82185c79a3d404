"""Simulated time, network, tables and processes for the decision core.

All random numbers come from the generator of the current step, so that
removing a step from a trace leaves the random numbers of the others the same.
"""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from oriolearch.core.errors import InvariantError
from oriolearch.core.model import HostRef
from oriolearch.core.rows import (
    Commit,
    Committed,
    Refused,
    StoredRow,
    Unresolved,
)

CLOCK_RATE_SPREAD = 0.0045  # keeps two clock rates within RATE_MARGIN
CLIENT_TIMEOUT_S = 0.6
TICK_S = 0.05
MAX_DELAY_S = 6.0

Action = Callable[[], None]
CommitEvent = Committed | Refused | Unresolved


@dataclass(slots=True)
class ActiveFaults:
    """The network and table faults in force.

    :param loss: share of messages that are lost.
    :param late: share of messages that are delayed by up to ``MAX_DELAY_S``.
    :param double: share of messages that are delivered twice.
    :param table_slow_s: largest delay added to a call or answer of the table.
    :param answer_loss: share of the table's answers that are lost.
    :param write_delay: share of writes that are delayed by up to
        ``MAX_DELAY_S``.
    :param cuts: pairs of zones without a connection.
    :param table_cuts: zones without a connection to the table.
    """

    loss: float = 0.0
    late: float = 0.0
    double: float = 0.0
    table_down: float = 0.0  # above 0 the table refuses every call with 503
    table_slow_s: float = 0.0
    answer_loss: float = 0.0
    write_delay: float = 0.0
    cuts: set[frozenset[str]] = field(default_factory=set)
    table_cuts: set[str] = field(default_factory=set)

    def is_cut(self, zone: str, other: str) -> bool:
        """Return whether two zones are cut off from each other."""
        return zone != other and frozenset((zone, other)) in self.cuts


class Simulation:
    """True time and the scheduled actions."""

    def __init__(self) -> None:
        self.now = 0.0
        self.rng = random.Random(0)
        self.faults = ActiveFaults()
        # The process in which the current action ran.
        self.current_process: Process | None = None
        self._queue: list[tuple[float, int, Action]] = []
        self._order = itertools.count()

    def after(self, delay: float, action: Action) -> None:
        """Schedule an action after a delay in true time."""
        entry = (self.now + delay, next(self._order), action)
        heapq.heappush(self._queue, entry)

    def run(self, until: float, check: Action) -> None:
        """Run all actions up to a time.

        :param check: called after each action that ran in a process.
        """
        while self._queue and self._queue[0][0] <= until:
            entry = heapq.heappop(self._queue)
            self.now = entry[0]
            self.current_process = None
            entry[2]()
            if self.current_process is not None:
                check()
        self.now = until

    def delay(self) -> float:
        """Return a random delay for one message."""
        if self.rng.random() < self.faults.late:
            return self.rng.uniform(0.05, MAX_DELAY_S)
        return self.rng.uniform(0.0005, 0.005)

    def transmit(
        self, sender_zone: str, target_zone: str, action: Action
    ) -> None:
        """Deliver a message between zones.

        It may be lost, delayed, duplicated or reordered.
        """
        copies = 1 + (self.rng.random() < self.faults.double)
        for _ in range(copies):
            if self.faults.is_cut(sender_zone, target_zone):
                continue
            if self.rng.random() >= self.faults.loss:
                self.after(self.delay(), action)


class TableModel:
    """The platform's transactional tables, which check row invariants."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], StoredRow] = {}
        self.write_counts: Counter[str] = Counter()

    def read(self, table: str, key: str) -> StoredRow:
        """Read one row."""
        return self.rows.get((table, key), StoredRow(0, None))

    def scan(self, table: str) -> dict[str, StoredRow]:
        """Read all rows of a table."""
        return {
            key: row for (name, key), row in self.rows.items() if name == table
        }

    def commit(self, commit: Commit) -> tuple[int, ...] | None:
        """Apply all writes and return the new versions.

        Return ``None``, without a write, when a condition fails.
        """
        for condition in commit.conditions:
            current = self.read(condition.table, condition.key)
            if current.version != condition.version:
                return None
        versions = []
        for write in commit.writes:
            self.write_counts[write.table] += 1
            old = self.read(write.table, write.key)
            self._check(old, write.row)
            self.rows[write.table, write.key] = StoredRow(
                old.version + 1,
                write.row,
            )
            versions.append(old.version + 1)
        return tuple(versions)

    def _check(self, old: StoredRow, new: Mapping[str, Any]) -> None:
        if old.row is None:
            return
        if new.get('term', 0) < old.row.get('term', 0):
            raise InvariantError('term-grows', f'{old.row} to {new}')
        if 'epochs' in new:
            self._check_epochs(old.row, new)

    def _check_epochs(
        self,
        old: Mapping[str, Any],
        new: Mapping[str, Any],
    ) -> None:
        for number, epoch in enumerate(new['epochs']):
            old_epoch = old['epochs'][number]
            is_moved = _owner(old, number) != _owner(new, number)
            if epoch < old_epoch + is_moved:
                detail = f'shard {number}: epoch {old_epoch} to {epoch}'
                raise InvariantError('epoch-grows', detail)


def _owner(row: Mapping[str, Any], number: int) -> str | None:
    index = row['shards'][number]
    return row['owners'][index] if index >= 0 else None


class Process:
    """A process with its clock, pauses and event delivery."""

    def __init__(
        self,
        simulation: Simulation,
        table: TableModel,
        ref: HostRef,
        zone: str,
    ) -> None:
        self.simulation = simulation
        self.table = table
        self.ref = ref
        self.zone = zone
        self.is_alive = True
        self.is_paused = False
        self.rate = 1 + simulation.rng.uniform(
            -CLOCK_RATE_SPREAD, CLOCK_RATE_SPREAD
        )
        self.offset = simulation.rng.uniform(0, 1000)
        self.waiting: list[Action] = []
        self.open_commits: set[str] = set()

    def clock(self) -> float:
        """Read the monotonic clock of this process."""
        return self.offset + self.rate * self.simulation.now

    def deliver(self, action: Action) -> None:
        """Run an action in the process, after its pause if there is one."""
        if not self.is_alive:
            return
        if self.is_paused:
            self.waiting.append(action)
        else:
            self.simulation.current_process = self
            action()

    def resume(self) -> None:
        """End a pause and run the actions that arrived during it."""
        self.is_paused = False
        waiting = self.waiting
        self.waiting = []
        for action in waiting:
            self.deliver(action)

    def read(
        self,
        row_names: Iterable[tuple[str, str]],
        done: Callable[[list[StoredRow]], None],
    ) -> None:
        """Read rows one after the other; ``done`` isn't called on a failure.

        :param row_names: table and key of each row.
        """
        self._read_next(list(row_names), [], done)

    def scan(
        self,
        table: str,
        done: Callable[[dict[str, StoredRow]], None],
    ) -> None:
        """Read a whole table; ``done`` isn't called when the read fails."""

        def arrive() -> None:
            if not self.simulation.faults.table_down:
                rows = self.table.scan(table)
                self._from_table(lambda: done(rows))

        self._to_table(arrive)

    def commit(
        self,
        commit: Commit,
        done: Callable[[CommitEvent], None],
    ) -> None:
        """Issue a transaction and call ``done`` with its first outcome only.

        An outcome that arrives after the client's timeout is dropped.
        """
        self.open_commits.add(commit.nonce)
        self.simulation.after(
            CLIENT_TIMEOUT_S,
            lambda: self.deliver(
                lambda: self._close(Unresolved(commit.nonce), done),
            ),
        )
        delay = 0.0
        if self.simulation.rng.random() < self.simulation.faults.write_delay:
            delay = self.simulation.rng.uniform(0, MAX_DELAY_S)
        self._to_table(lambda: self._apply(commit, done), delay)

    def _apply(
        self,
        commit: Commit,
        done: Callable[[CommitEvent], None],
    ) -> None:
        event: CommitEvent = Refused(commit.nonce)
        if not self.simulation.faults.table_down:
            versions = self.table.commit(commit)
            event = Unresolved(commit.nonce)
            if versions is not None:
                event = Committed(commit.nonce, versions)
        self._from_table(lambda: self._close(event, done))

    def _close(
        self,
        event: CommitEvent,
        done: Callable[[CommitEvent], None],
    ) -> None:
        if event.nonce in self.open_commits:
            self.open_commits.remove(event.nonce)
            done(event)

    def _read_next(
        self,
        row_names: list[tuple[str, str]],
        rows: list[StoredRow],
        done: Callable[[list[StoredRow]], None],
    ) -> None:
        if not row_names:
            done(rows)
            return

        def arrive() -> None:
            if not self.simulation.faults.table_down:
                row = self.table.read(*row_names[0])
                self._from_table(
                    lambda: self._read_next(row_names[1:], [*rows, row], done),
                )

        self._to_table(arrive)

    def _to_table(self, action: Action, delay: float = 0.0) -> None:
        faults = self.simulation.faults
        if self.zone not in faults.table_cuts:
            slow = self.simulation.rng.uniform(0, faults.table_slow_s)
            self.simulation.after(
                delay + slow + self.simulation.delay() / 2, action
            )

    def _from_table(self, action: Action) -> None:
        faults = self.simulation.faults
        is_lost = self.simulation.rng.random() < faults.answer_loss
        if self.zone not in faults.table_cuts and not is_lost:
            slow = self.simulation.rng.uniform(0, faults.table_slow_s)
            self.simulation.after(
                slow + self.simulation.delay() / 2,
                lambda: self.deliver(action),
            )
