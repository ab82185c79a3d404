"""Find out when the predecessors of a new coordinator stopped acting."""

import asyncio
import math

from oriolearch.adapters.host_links import Message, connect
from oriolearch.clock import lease_clock
from oriolearch.coordinator_rows import CoordinatorRow
from oriolearch.core.errors import PeerError, PeerRefusedError
from oriolearch.core.witnesses import (
    LONG_AGO,
    EarlierTerms,
    PredecessorEnd,
    Witness,
    WitnessRow,
)
from oriolearch.eventlog import Event, EventLog
from oriolearch.leadership import Leadership

ANSWER_TIMEOUT_S = 0.4  # a reachable host answers without delay
ASK_PERIOD_S = 0.3  # between questions to hosts that gave no proof


class Succession:
    """Proves that earlier coordinators send no more grants.

    The proof allows keys to be granted before their longest possible authority
    has run out. The earlier terms that the predecessor's row names count too:
    the predecessor may have ended before they were known to be over.

    :param predecessor: ``None`` when there is none that may still act.
    :param lost_over_at: by then, terms that the store lost are over.
    :param gaps_over_at: by then, terms are over that the store lost before the
        predecessor's, or between earlier ones.
    """

    def __init__(
        self,
        leadership: Leadership,
        predecessor: CoordinatorRow | None,
        log: EventLog,
        lost_over_at: float = LONG_AGO,
        gaps_over_at: float = math.inf,
    ) -> None:
        self.lost_over_at = lost_over_at
        self.gaps_over_at = gaps_over_at
        self.leadership = leadership
        self.predecessor = predecessor
        self.log = log
        self.took_over_at = lease_clock()

    async def run(self) -> None:
        """Ask the coordinators and their witnesses for proof until it is over.

        A witness that promises no longer acknowledges the coordinator.
        """
        row = await self.leadership.read_witnesses()
        if self.predecessor is None:
            return
        rows = {term.term: term for term in self.predecessor.known_terms()}
        earlier = EarlierTerms(
            tuple(rows),
            row,
            self.took_over_at,
            self._lost_over_at(self.predecessor, row),
            self.gaps_over_at,
        )
        self.leadership.record_earlier_terms(earlier)
        while not self.leadership.is_over and lease_clock() < earlier.over_at:
            await asyncio.gather(
                *(
                    self._prove_end(rows[term], end)
                    for term, end in earlier.ends.items()
                    if lease_clock() < end.over_at
                )
            )
            self.leadership.limit_predecessor(earlier.over_at)
            await asyncio.sleep(ASK_PERIOD_S)

    def _lost_over_at(
        self, predecessor: CoordinatorRow, row: WitnessRow
    ) -> float:
        """Return by when terms are over that the store lost.

        A predecessor whose earlier terms were not over may still have waited
        for lost ones, even if its row is of the present era.
        """
        has_waited = row.over_before >= predecessor.term
        if has_waited or not predecessor.min_next_term:
            return self.lost_over_at
        return max(self.lost_over_at, self.gaps_over_at)

    async def _prove_end(
        self, row: CoordinatorRow, end: PredecessorEnd
    ) -> None:
        """Ask one coordinator and its witnesses."""
        previous_over_at = end.over_at
        await asyncio.gather(
            self._ask_coordinator(row, end),
            *(
                self._ask_witness(witness, row.term, end)
                for witness in end.witnesses
                if witness.run not in end.promised_runs
            ),
        )
        if end.over_at < previous_over_at:
            self.log.emit(
                Event.PREDECESSOR_OVER,
                coordinator=row.host,
                term=row.term,
                promises=len(end.promised_runs),
                witnesses=len(end.witnesses),
                in_s=round(end.over_at - lease_clock(), 3),
            )

    def _question(self, term: int) -> Message:
        """Return the request not to act for a term any more.

        Hosts that know of a later era of the store do not answer it, since the
        store may have lost this takeover.
        """
        return {
            'kind': 'promise',
            'term': term,
            'era': self.leadership.row.era,
        }

    async def _ask_coordinator(
        self,
        row: CoordinatorRow,
        end: PredecessorEnd,
    ) -> None:
        """Record proof if its host has restarted or ended the term.

        A host whose takeover is not answered yet promises not to begin it.
        """
        try:
            answer = await ask(row.address, self._question(row.term))
        except PeerError:
            # The coordinator may be partitioned and still act: no proof.
            return
        is_same_run = answer.get('nonce') == row.nonce
        if not is_same_run or answer.get('leads') != row.term:
            end.record_proven_end(lease_clock())

    async def _ask_witness(
        self,
        witness: Witness,
        term: int,
        end: PredecessorEnd,
    ) -> None:
        try:
            answer = await ask(witness.address, self._question(term))
        except PeerError:
            # The witness may be partitioned and still acknowledge the
            # coordinator: no proof.
            return
        promised = answer.get('promised')
        end.record_answer(
            lease_clock(),
            witness,
            str(answer.get('nonce')),
            promised if isinstance(promised, int) else 0,
            term,
        )


async def ask(address: str, question: Message) -> Message:
    """Send a question to another host and return its answer.

    :raises PeerError: when the host does not answer in time.
    """
    link = await connect(address)
    try:
        link.send(question)
        return await link.receive(ANSWER_TIMEOUT_S)
    finally:
        link.close()


async def ask_term(address: str) -> int | None:
    """Ask another host for the term of the coordinator that it hears.

    :returns: 0 when it hears none, or does not run; ``None`` when it cannot be
        reached.
    """
    try:
        answer = await ask(address, {'kind': 'ask'})
    except PeerRefusedError:
        return 0
    except PeerError:
        return None
    term = answer.get('hears')
    return term if isinstance(term, int) else 0
