"""What a new coordinator finds out about the end of its predecessor."""

import asyncio

from oriolearch.adapters.host_links import Message, connect
from oriolearch.clock import lease_clock
from oriolearch.coordinator_rows import LeaderRow
from oriolearch.core.errors import PeerError
from oriolearch.core.witnesses import (
    PredecessorEnd,
    Witness,
    decode_witnesses,
)
from oriolearch.eventlog import Event, EventLog
from oriolearch.leadership import Leadership

ANSWER_TIMEOUT_S = 0.4  # another host answers at once or not at all
ASK_PERIOD_S = 0.3  # hosts that gave no proof are asked this often


class Succession:
    """Ends the doubt about the grants of a coordinator's predecessor.

    :param predecessor: ``None`` when there is none that may still act.
    """

    def __init__(
        self,
        leadership: Leadership,
        predecessor: LeaderRow | None,
        log: EventLog,
    ) -> None:
        self.leadership = leadership
        self.predecessor = predecessor
        self.log = log
        self.taken_at = lease_clock()

    async def run(self) -> None:
        """Learn who acknowledges the predecessor, and have them stop."""
        row = await self.leadership.read_witnesses()
        predecessor = self.predecessor
        if predecessor is None:
            return
        value = row.value if row else None
        witnesses = decode_witnesses(value, predecessor.term)
        end = PredecessorEnd(witnesses, self.taken_at)
        while not self.leadership.is_over and lease_clock() < end.over_at:
            known_at = end.over_at
            await asyncio.gather(
                self._ask_predecessor(predecessor, end),
                *(
                    self._ask_witness(witness, predecessor.term, end)
                    for witness in witnesses
                    if witness.run not in end.promised
                ),
            )
            if end.over_at < known_at:
                self._limit(predecessor, end)
            await asyncio.sleep(ASK_PERIOD_S)

    def _limit(self, predecessor: LeaderRow, end: PredecessorEnd) -> None:
        self.leadership.limit_predecessor(end.over_at)
        self.log.emit(
            Event.PREDECESSOR_OVER,
            coordinator=predecessor.host,
            term=predecessor.term,
            promises=len(end.promised),
            witnesses=len(end.witnesses),
            in_s=round(end.over_at - lease_clock(), 3),
        )

    async def _ask_predecessor(
        self,
        predecessor: LeaderRow,
        end: PredecessorEnd,
    ) -> None:
        """Take its host's answer that it runs anew or leads no more."""
        try:
            answer = await ask(predecessor.address, {'kind': 'ask'})
        except PeerError:
            # It may be cut off and still lead: no proof.
            return
        is_same_run = answer.get('nonce') == predecessor.nonce
        if not is_same_run or answer.get('leads') != predecessor.term:
            end.proven(lease_clock())

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
            # It may be cut off and still acknowledge it: no proof.
            return
        promised = answer.get('promised')
        end.answered(
            lease_clock(),
            witness,
            str(answer.get('nonce')),
            promised if isinstance(promised, int) else 0,
            term,
        )


async def ask(address: str, question: Message) -> Message:
    """Ask another host something that it answers at once.

    :raises PeerError: when it does not answer.
    """
    link = await connect(address)
    try:
        link.send(question)
        return await link.receive(ANSWER_TIMEOUT_S)
    finally:
        link.close()
