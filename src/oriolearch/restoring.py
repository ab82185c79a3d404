"""Write the rows of a coordinator again when the store has lost some.

A store that came back from an earlier copy names an earlier coordinator, or
lacks what the present one has written since. The coordinator knows more than
the copy: it writes its rows again, under conditions that it reads anew.

The store may have lost the takeover of a successor, too. If that one may act,
a majority of the coordinator's witnesses has promised it not to acknowledge the
coordinator any more. So the coordinator writes nothing before a majority has
acknowledged it in the new era. From then on these witnesses promise nothing to
a successor of an earlier era.
"""

import asyncio
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace
from itertools import chain
from typing import Protocol

from oriolearch.clock import lease_clock
from oriolearch.coordinator_rows import (
    COORDINATOR_ROW,
    COORDINATOR_TABLE,
    OWNER_TABLE,
    WITNESS_ROW,
    CoordinatorRow,
)
from oriolearch.core.errors import PlatformError
from oriolearch.core.versions import ABSENT, StoreVersion, VersionLedger
from oriolearch.eventlog import Event, EventLog
from oriolearch.leadership import Leadership
from oriolearch.ports import RowName, SharedStore, StoredRow

# Rows and bytes of a transaction; the store takes 100 and, encoded, 1 MB.
MAX_ROWS = 90
MAX_BYTES = 600_000
RETRY_S = 0.25  # after a failed call of the store
# A coordinator that a majority does not acknowledge for so long gives up.
ACKNOWLEDGEMENT_WAIT_S = 2.0
ACKNOWLEDGEMENT_POLL_S = 0.05  # witnesses acknowledge every 0.25 s


class CoordinatorHost(Protocol):
    """The host of the coordinator, as far as its row is concerned.

    :ivar row_version: version of the coordinator row in the store.
    :ivar is_store_restored: whether the store came back from a copy since this
        host started.
    """

    row_version: StoreVersion
    is_store_restored: bool

    async def read_coordinator_row(self) -> None:
        """Read the coordinator row; end the term if another host took over."""

    def record_own_row(
        self, row: CoordinatorRow, version: StoreVersion
    ) -> None:
        """Record that the row of this host's term was written."""

    def end_term(self, reason: str) -> None:
        """End the term."""


class Restoration:
    """Writes the rows of one term again."""

    def __init__(
        self,
        leadership: Leadership,
        host: CoordinatorHost,
        store: SharedStore,
        ledger: VersionLedger,
        log: EventLog,
    ) -> None:
        self.leadership = leadership
        self.host = host
        self.store = store
        self.ledger = ledger
        self.log = log

    async def run(self) -> None:
        """Try until the rows are written in the present era, or it is over."""
        while not self.leadership.is_over and self.leadership.is_restoring:
            try:
                await self._try_once()
            except PlatformError as error:
                self.log.emit(
                    Event.STORE_LOST,
                    table=COORDINATOR_TABLE,
                    error=str(error),
                )
                await asyncio.sleep(RETRY_S)

    async def _try_once(self) -> None:
        leadership = self.leadership
        await self.host.read_coordinator_row()
        if leadership.is_over:
            return
        since = leadership.restoring_since or lease_clock()
        if leadership.authority.is_acknowledged_since(since):
            await self._write()
        elif lease_clock() < since + ACKNOWLEDGEMENT_WAIT_S:
            await asyncio.sleep(ACKNOWLEDGEMENT_POLL_S)
        elif leadership.has_authority():
            await asyncio.sleep(RETRY_S)
        else:
            self.host.end_term('too few witnesses follow it in the new era')

    async def _write(self) -> None:
        """Write all rows; the coordinator row last.

        A successor that finds it in the present era trusts the others, but for
        owners whose row names an earlier era.
        """
        leadership = self.leadership
        era = self.ledger.era
        stored = await self._read_rows()
        sent_at = lease_clock()
        row = self._make_row(era)
        witnesses = replace(
            leadership.make_witness_row(leadership.witnesses), era=era
        )
        stores = leadership.begin_storing_pools(sent_at)
        writes = {
            RowName(OWNER_TABLE, pool): leadership.encode_owners(
                pool, store, era
            )
            for pool, store in stores.items()
        }
        if witnesses.witnesses:
            # Otherwise this term has not replaced the row of another one.
            writes[WITNESS_ROW] = witnesses.encode()
        writes[COORDINATOR_ROW] = row.encode()
        try:
            version = await self._commit(writes, _versions(stored))
        except PlatformError:
            leadership.end_storing_pools(lease_clock())
            raise
        self._log_written(row, len(writes), sent_at)
        self.host.record_own_row(row, version)
        leadership.record_restored(row, version, sent_at)
        leadership.record_stored_pools(stores, version, stored)
        if witnesses.witnesses:
            leadership.record_witnesses(witnesses, version)
        elif leadership.witness_version is not None:
            leadership.witness_version = _versions(stored).get(
                WITNESS_ROW, ABSENT
            )

    def _make_row(self, era: int) -> CoordinatorRow:
        """Return the coordinator row of this term for an era."""
        row = self.leadership.row
        return replace(
            row,
            era=era,
            is_leaving=self.leadership.is_leaving,
            min_next_term=(
                row.next_term_in(era) if self.host.is_store_restored else 0
            ),
        )

    def _log_written(
        self, row: CoordinatorRow, count: int, sent_at: float
    ) -> None:
        waited_s = sent_at - (self.leadership.restoring_since or sent_at)
        self.log.emit(
            Event.ROWS_RESTORED,
            term=row.term,
            era=row.era,
            rows=count,
            waited_s=round(waited_s, 3),
        )

    async def _read_rows(self) -> tuple[StoredRow, ...]:
        """Return the witnesses and the owners as the store has them now."""
        states = await asyncio.gather(
            self.store.read(WITNESS_ROW.table), self.store.read(OWNER_TABLE)
        )
        return tuple(chain.from_iterable(state.rows for state in states))

    async def _commit(
        self,
        writes: Mapping[RowName, bytes],
        versions: Mapping[RowName, StoreVersion],
    ) -> StoreVersion:
        """Write rows in as few transactions as the store's limits allow.

        :param versions: of the rows that exist, but for the coordinator row.
        """
        known = {COORDINATOR_ROW: self.host.row_version, **versions}
        version = ABSENT
        for batch in _batches(writes):
            names = {COORDINATOR_ROW, *batch}
            version = await self.store.commit(
                {name: known.get(name, ABSENT) for name in names}, batch
            )
        return version


def _versions(rows: Iterable[StoredRow]) -> dict[RowName, StoreVersion]:
    return {RowName(row.table, row.key): row.version for row in rows}


def _batches(
    writes: Mapping[RowName, bytes],
) -> Iterator[dict[RowName, bytes]]:
    batch: dict[RowName, bytes] = {}
    for name, value in writes.items():
        size = sum(map(len, batch.values())) + len(value)
        if batch and (len(batch) >= MAX_ROWS or size > MAX_BYTES):
            yield batch
            batch = {}
        batch[name] = value
    yield batch
