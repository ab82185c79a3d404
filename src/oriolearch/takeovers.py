"""Try to make a host the coordinator."""

import asyncio
import random
from dataclasses import dataclass, replace
from typing import Protocol

from oriolearch.clock import lease_clock
from oriolearch.coordinator_rows import (
    COORDINATOR_ROW,
    MAX_EARLIER_TERMS,
    WITNESS_ROW,
    CoordinatorRow,
)
from oriolearch.core.errors import (
    ConditionFailedError,
    OutcomeUnknownError,
    PlatformError,
)
from oriolearch.core.versions import StoreVersion
from oriolearch.core.witnesses import LONG_AGO, decode_witnesses
from oriolearch.eventlog import Event, EventLog
from oriolearch.leadership import Leadership
from oriolearch.members import HostIdentity
from oriolearch.ports import SharedStore
from oriolearch.succession import ask_term

# Mean delay before a takeover. It is random, so that hosts try in turn.
TAKEOVER_DELAY_S = 0.15
MAX_TAKEOVER_DELAY_S = 0.8  # for the hosts with the least capacity
STORE_RETRY_S = 0.25  # after a failed call of the store
# Between takeover attempts while the store does not answer.
MAX_STORE_BACKOFF_S = 1.5
# A coordinator whose row the store has lost notices that, and writes it again,
# within this time.
RESTORE_TIME_S = 2.0


@dataclass(frozen=True, slots=True)
class Takeover:
    """An attempt to become the coordinator.

    :param began_at: when the row was sent to the store, in seconds.
    :param lost_over_at: by then, earlier terms are over whose rows the store
        may have lost.
    """

    row: CoordinatorRow
    predecessor: CoordinatorRow | None
    began_at: float
    lost_over_at: float


class Successor(Protocol):
    """The host that tries, and what it knows of the coordinator.

    :ivar row: the coordinator row that the host follows.
    :ivar stored_row: the coordinator row of the store.
    :ivar row_version: version of that row in the store.
    :ivar leadership: the host's own term, if it is the coordinator.
    :ivar peers: addresses of some of the other hosts.
    :ivar is_store_restored: whether the store came back from an earlier copy
        since the host started.
    :ivar era_seen_at: by then, the present era of the store had begun.
    """

    row: CoordinatorRow | None
    stored_row: CoordinatorRow | None
    row_version: StoreVersion
    leadership: Leadership | None
    peers: list[str]
    is_store_restored: bool
    era_seen_at: float

    def store_era(self) -> int:
        """Return the present era of the store."""

    def earlier_eras_over_at(self) -> float:
        """Return by when terms are over that earlier eras confirmed last."""

    def is_row_restored(self) -> bool:
        """Return whether the store may have lost the row of a later term."""

    def hears_coordinator(self) -> bool:
        """Return whether a coordinator that can renew leases is in contact."""

    async def read_coordinator_row(self) -> None:
        """Read the coordinator row.

        :raises PlatformError: when it cannot be read.
        """

    def begin_term(self, attempt: Takeover, version: StoreVersion) -> None:
        """Begin the term of a row that the store has accepted."""


class Takeovers:
    """Attempts of one host to become the coordinator.

    :ivar open_count: number of attempts whose outcome is not known yet.
    """

    def __init__(
        self,
        identity: HostIdentity,
        successor: Successor,
        store: SharedStore,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self.identity = identity
        self.successor = successor
        self.store = store
        self.log = log
        self.rng = rng
        self.open_count = 0
        self.store_backoff_s = STORE_RETRY_S

    async def attempt(self, reason: str, *, is_requested: bool) -> None:
        """Try once, unless another host takes over before.

        :param is_requested: the present coordinator wants to be replaced.
        """
        successor = self.successor
        seen_version = successor.row_version
        predecessor = self._predecessor()
        # Hosts with more capacity try first: a coordinator sends all changes
        # to every other host.
        delay_s = TAKEOVER_DELAY_S * (0.5 + self.rng.random())
        delay_s /= self.identity.capacity
        await asyncio.sleep(min(delay_s, MAX_TAKEOVER_DELAY_S))
        if successor.row_version != seen_version:
            return
        if successor.is_row_restored():
            delay_reason = (
                self._requested_delay_reason()
                if is_requested
                else await self._delay_reason()
            )
            if successor.row_version != seen_version:
                return
            if delay_reason:
                self._log_delay(delay_reason)
                await asyncio.sleep(STORE_RETRY_S)
                return
        self.open_count += 1
        try:
            await self._take_over(reason, predecessor)
        finally:
            self.open_count -= 1

    def _predecessor(self) -> CoordinatorRow | None:
        """Return the row of the followed term, as it was last written."""
        row, stored = self.successor.row, self.successor.stored_row
        if row is None or stored is None or not stored.is_same_term(row):
            return row
        return stored

    def _log_delay(self, reason: str) -> None:
        self.log.emit(
            Event.TAKEOVER_DELAYED,
            reason=reason,
            row_version=self.successor.row_version,
            era=self.successor.store_era(),
        )

    def _requested_delay_reason(self) -> str:
        """Return why a coordinator keeps its term for now, or nothing.

        It serves all keys while its witnesses acknowledge it, also if it cannot
        write its rows again. A successor would serve none of them before lost
        terms are over.
        """
        is_early = lease_clock() < self._lost_over_at()
        if is_early and self.successor.hears_coordinator():
            return 'a coordinator may write its row again'
        return ''

    async def _delay_reason(self) -> str:
        """Return why this host has to wait for a coordinator, or nothing.

        The store may have lost the row of a later coordinator. While other
        hosts follow one, it writes its row again.
        """
        try:
            await self.successor.read_coordinator_row()
            witnesses = await self.store.read(WITNESS_ROW.table)
        except PlatformError:
            return 'the store does not answer'
        if lease_clock() < self.successor.era_seen_at + RESTORE_TIME_S:
            return 'a coordinator may write its row again'
        addresses = {
            *self.successor.peers,
            *(
                witness.address
                for row in witnesses.rows
                for witness in decode_witnesses(row.value).witnesses
            ),
        }
        others = addresses - {self.identity.address}
        terms = await asyncio.gather(*map(ask_term, others))
        return 'other hosts follow a coordinator' if any(terms) else ''

    def _lost_over_at(self) -> float:
        """Return by when terms are over whose rows the store may have lost."""
        if self.successor.is_row_restored():
            return self.successor.earlier_eras_over_at()
        return LONG_AGO

    def _next_term(self) -> int:
        """Return a term above all earlier ones, also those that are lost."""
        successor = self.successor
        nobody = CoordinatorRow('', '', 0, '')
        known = [row or nobody for row in (successor.row, successor.stored_row)]
        if successor.is_row_restored():
            era = successor.store_era()
            return max(row.next_term_in(era) for row in known)
        return max(row.next_term_in(row.era) for row in known)

    async def _take_over(
        self, reason: str, predecessor: CoordinatorRow | None
    ) -> None:
        term = self._next_term()
        earlier = predecessor.known_terms() if predecessor else ()
        row = CoordinatorRow(
            self.identity.host,
            self.identity.address,
            term,
            self.identity.nonce,
            earlier=earlier[:MAX_EARLIER_TERMS],
            era=self.successor.store_era(),
        )
        attempt = Takeover(
            row, predecessor, lease_clock(), self._lost_over_at()
        )
        outcome = 'won'
        try:
            version = await self.store.commit(
                {COORDINATOR_ROW: self.successor.row_version},
                {COORDINATOR_ROW: row.encode()},
            )
        except ConditionFailedError:
            outcome = 'lost to another host'
        except OutcomeUnknownError:
            outcome = 'unknown'
        except PlatformError as error:
            outcome = str(error)
        self.log.emit(
            Event.TAKEOVER,
            term=term,
            outcome=outcome,
            reason=reason,
        )
        if outcome == 'won':
            self.store_backoff_s = STORE_RETRY_S
            self.successor.begin_term(attempt, version)
        else:
            await self._resolve(attempt)

    async def _resolve(self, attempt: Takeover) -> None:
        """Read the coordinator row after an attempt that may have failed."""
        successor = self.successor
        await asyncio.sleep(STORE_RETRY_S)
        try:
            await successor.read_coordinator_row()
        except PlatformError:
            await asyncio.sleep(self.store_backoff_s)
            self.store_backoff_s = min(
                self.store_backoff_s * 2, MAX_STORE_BACKOFF_S
            )
            return
        self.store_backoff_s = STORE_RETRY_S
        if successor.stored_row != attempt.row:
            return
        if successor.leadership is not None:
            return
        if successor.is_store_restored:
            # The era may have changed after the attempt began.
            lost_over_at = max(attempt.lost_over_at, self._lost_over_at())
            attempt = replace(attempt, lost_over_at=lost_over_at)
        successor.begin_term(attempt, successor.row_version)
