"""Find out when the predecessor of a new coordinator stopped acting."""

import asyncio

from oriolearch.adapters.host_links import Message, connect
from oriolearch.clock import lease_clock
from oriolearch.coordinator_rows import CoordinatorRow
from oriolearch.core.errors import PeerError
from oriolearch.core.witnesses import (
    PredecessorEnd,
    Witness,
    decode_witnesses,
)
from oriolearch.eventlog import Event, EventLog
from oriolearch.leadership import Leadership

ANSWER_TIMEOUT_S = 0.4  # a reachable host answers without delay
ASK_PERIOD_S = 0.3  # between questions to hosts that gave no proof


class Succession:
    """Proves that a coordinator's predecessor sends no more grants.

    The proof allows keys to be granted before the predecessor's longest
    possible authority has run out.

    :param predecessor: ``None`` when there is none that may still act.
    """

    def __init__(
        self,
        leadership: Leadership,
        predecessor: CoordinatorRow | None,
        log: EventLog,
    ) -> None:
        self.leadership = leadership
        self.predecessor = predecessor
        self.log = log
        self.took_over_at = lease_clock()

    async def run(self) -> None:
        """Ask the predecessor and its witnesses for proof until it is over.

        A witness that promises no longer acknowledges the predecessor.
        """
        row = await self.leadership.read_witnesses()
        predecessor = self.predecessor
        if predecessor is None:
            return
        value = row.value if row else None
        witnesses = decode_witnesses(value, predecessor.term)
        end = PredecessorEnd(witnesses, self.took_over_at)
        while not self.leadership.is_over and lease_clock() < end.over_at:
            previous_over_at = end.over_at
            await asyncio.gather(
                self._ask_predecessor(predecessor, end),
                *(
                    self._ask_witness(witness, predecessor.term, end)
                    for witness in witnesses
                    if witness.run not in end.promised_runs
                ),
            )
            if end.over_at < previous_over_at:
                self._record_end(predecessor, end)
            await asyncio.sleep(ASK_PERIOD_S)

    def _record_end(
        self, predecessor: CoordinatorRow, end: PredecessorEnd
    ) -> None:
        self.leadership.limit_predecessor(end.over_at)
        self.log.emit(
            Event.PREDECESSOR_OVER,
            coordinator=predecessor.host,
            term=predecessor.term,
            promises=len(end.promised_runs),
            witnesses=len(end.witnesses),
            in_s=round(end.over_at - lease_clock(), 3),
        )

    async def _ask_predecessor(
        self,
        predecessor: CoordinatorRow,
        end: PredecessorEnd,
    ) -> None:
        """Record proof if its host has restarted or ended the term."""
        try:
            answer = await ask(predecessor.address, {'kind': 'ask'})
        except PeerError:
            # The predecessor may be partitioned and still act: no proof.
            return
        is_same_run = answer.get('nonce') == predecessor.nonce
        if not is_same_run or answer.get('leads') != predecessor.term:
            end.record_proven_end(lease_clock())

    async def _ask_witness(
        self,
        witness: Witness,
        term: int,
        end: PredecessorEnd,
    ) -> None:
        try:
            answer = await ask(
                witness.address,
                {'kind': 'promise', 'term': term},
            )
        except PeerError:
            # The witness may be partitioned and still acknowledge the
            # predecessor: no proof.
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
