"""Determines how long a coordinator may act, and when its authority ends.

The store confirms a coordinator only at intervals, and may be unavailable for
many seconds. Three other hosts, its witnesses, therefore acknowledge it too. A
successor asks them to promise that they will no longer acknowledge the
predecessor. Once a majority has promised, the successor need not wait for the
longest outage of the store.

A row of the store names the witnesses. It is written only while the coordinator
is current, and a successor reads it after its takeover. While it is unknown
whether a change of the witnesses has been stored, the coordinator needs the
acknowledgements of both groups.

That a predecessor has ended proves nothing about the coordinators before it,
which may be cut off and still act. The row therefore says which earlier terms
are over, and names the witnesses of those that may not be.

A store that comes back from an earlier copy may have lost a takeover. The
predecessor stays coordinator if a majority of its witnesses acknowledges it in
the new era of the store. These learn the era with the request, and from then on
promise nothing to a successor that took over in an earlier one.
"""

import json
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from oriolearch.core.errors import MALFORMED_ERRORS

FIRST_TERM = 1
LONG_AGO = float('-inf')  # a time before any other
# Two of three acknowledge a coordinator or promise a successor, so that one
# may fail.
WITNESS_COUNT = 3
# Covers the usual outages of the store.
LONG_AUTHORITY_S = 12.0
# Covers reads of the store every 0.5 s, also at 50 times the usual 4 ms.
SHORT_AUTHORITY_S = 2.5
# Covers four acknowledgements of a witness, which come every 0.25 s.
ACKNOWLEDGED_S = 1.5


@dataclass(frozen=True, slots=True)
class Witness:
    """One process of a host that acknowledges a coordinator.

    :param run: ID of the process. A restarted host has lost its promises and
        acknowledges no earlier coordinator.
    """

    address: str
    run: str


@dataclass(frozen=True, slots=True)
class WitnessRow:
    """The row that names the witnesses of a coordinator's term.

    :param term: 0 when there is no readable row.
    :param over_before: all terms before this one are known to be over.
    :param earlier: witnesses of earlier terms that may not be over, by term.
    :param era: era of the store in which the row was written.
    """

    term: int
    witnesses: tuple[Witness, ...] = ()
    over_before: int = FIRST_TERM
    earlier: Mapping[int, tuple[Witness, ...]] = field(default_factory=dict)
    era: int = 0

    def in_era(self, era: int) -> 'WitnessRow':
        """Return what the row proves when it is read in an era of the store.

        A store that came back from a copy may have lost later witnesses. The
        terms that were over stay over.
        """
        if self.era >= era:
            return self
        return WitnessRow(self.term, over_before=self.over_before)

    def of_term(self, term: int) -> tuple[Witness, ...]:
        """Return the witnesses of a term, or none if the row names none.

        A successor without witnesses waits for the end of the longest
        authority, which causes a delay but is safe.
        """
        if term == self.term:
            return self.witnesses
        return self.earlier.get(term, ())

    def encode(self) -> bytes:
        """Return the value of the row."""
        fields = {
            'term': self.term,
            'witnesses': _encode_group(self.witnesses),
            'over_before': self.over_before,
            'era': self.era,
            'earlier': {
                str(term): _encode_group(group)
                for term, group in self.earlier.items()
            },
        }
        return json.dumps(fields).encode()


def decode_witnesses(value: bytes | None, era: int = 0) -> WitnessRow:
    """Decode the row; an unreadable one has term 0 and names no witnesses.

    Nothing is known of the terms before a row without ``over_before``, which
    an older version wrote.

    :param era: era of a row that names none.
    """
    try:
        fields = json.loads(value or b'')
        return WitnessRow(
            int(fields['term']),
            _decode_group(fields['witnesses']),
            int(fields.get('over_before', FIRST_TERM)),
            {
                int(term): _decode_group(group)
                for term, group in dict(fields.get('earlier', {})).items()
            },
            int(fields.get('era', era)),
        )
    except MALFORMED_ERRORS:
        return WitnessRow(0)


def _encode_group(group: Iterable[Witness]) -> list[list[str]]:
    return [[witness.address, witness.run] for witness in group]


def _decode_group(pairs: Any) -> tuple[Witness, ...]:
    return tuple(Witness(str(address), str(run)) for address, run in pairs)


class Authority:
    """Tracks until when a coordinator may act.

    Times come from a clock that also counts suspended time.

    :param confirmed_at: start of the latest store request that confirmed the
        coordinator.
    :ivar groups: groups of witnesses that the store may name.
    :ivar acknowledged_at: start of the latest acknowledged request by process
        ID of the witness.
    """

    def __init__(self, confirmed_at: float) -> None:
        self.confirmed_at = confirmed_at
        self.groups: list[tuple[Witness, ...]] = [()]
        self.acknowledged_at: dict[str, float] = {}

    def is_acknowledged_since(self, asked_at: float) -> bool:
        """Return whether all groups acknowledged a request since a time.

        Without witnesses, a successor has to wait for the longest authority.
        """
        return all(
            self.acknowledged_until(group) >= asked_at + ACKNOWLEDGED_S
            for group in self.groups
            if group
        )

    def record_confirmation(self, asked_at: float) -> None:
        """Record that the coordinator's row was unchanged in the store."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def record_acknowledgement(self, run: str, asked_at: float) -> None:
        """Record an acknowledgement of a witness.

        :param asked_at: time at which the request was sent.
        """
        previous = self.acknowledged_at.get(run, asked_at)
        self.acknowledged_at[run] = max(previous, asked_at)

    def record_proposed_group(self, group: Iterable[Witness]) -> None:
        """Record that a group may be stored from now on."""
        self.groups.append(tuple(group))

    def record_stored_group(self, group: Iterable[Witness]) -> None:
        """Record that a group is stored."""
        self.groups = [tuple(group)]
        runs = {witness.run for witness in self.groups[0]}
        self.acknowledged_at = {
            run: at for run, at in self.acknowledged_at.items() if run in runs
        }

    def acknowledged_until(self, group: tuple[Witness, ...]) -> float:
        """Return until when a majority of a group acknowledges it."""
        times = sorted(
            (
                self.acknowledged_at.get(witness.run, float('-inf'))
                for witness in group
            ),
            reverse=True,
        )
        return times[len(group) // 2] + ACKNOWLEDGED_S

    def ends_at(self) -> float:
        """Return when the authority ends unless it is extended."""
        return min(self._until(group) for group in self.groups)

    def needs_store(self, now: float) -> bool:
        """Check whether the store must confirm the coordinator soon."""
        return self.ends_at() - now < ACKNOWLEDGED_S / 2

    def _until(self, group: tuple[Witness, ...]) -> float:
        longest = self.confirmed_at + LONG_AUTHORITY_S
        if not group:
            return longest
        return max(
            self.confirmed_at + SHORT_AUTHORITY_S,
            min(self.acknowledged_until(group), longest),
        )


class Promise:
    """Promise of a witness not to acknowledge old coordinators."""

    def __init__(self) -> None:
        self.term = 0

    def may_acknowledge(self, term: int) -> bool:
        """Check whether the host may acknowledge a coordinator's term."""
        return term > self.term

    def refuse_up_to(self, term: int) -> None:
        """Promise not to acknowledge a term or earlier ones any more."""
        self.term = max(self.term, term)


class PredecessorEnd:
    """Determines by when the authority of a predecessor is over.

    :param witnesses: the witnesses of the predecessor's term that the store
        named after the takeover; empty if it named none.
    :param took_over_at: time at which the successor received the confirmation
        of its takeover. The store confirms no predecessor after that.
    :ivar over_at: time by which the predecessor's authority has ended.
    """

    def __init__(
        self,
        witnesses: tuple[Witness, ...],
        took_over_at: float,
    ) -> None:
        self.witnesses = witnesses
        self.took_over_at = took_over_at
        self.promised_runs: set[str] = set()
        self.over_at = took_over_at + LONG_AUTHORITY_S

    def record_answer(
        self,
        now: float,
        witness: Witness,
        run: str,
        promised_term: int,
        term: int,
    ) -> bool:
        """Record the answer of a witness.

        A witness that was restarted does not acknowledge the predecessor's
        term either.

        :return: whether enough witnesses have answered.
        """
        if run != witness.run or promised_term >= term:
            self.promised_runs.add(witness.run)
        needed = len(self.witnesses) - len(self.witnesses) // 2
        if len(self.promised_runs) < needed:
            return False
        self.over_at = min(
            self.over_at,
            max(now + ACKNOWLEDGED_S, self.took_over_at + SHORT_AUTHORITY_S),
        )
        return True

    def record_proven_end(self, now: float) -> None:
        """Record that the predecessor's host no longer coordinates."""
        self.over_at = min(self.over_at, now)


class EarlierTerms:
    """Determines by when all terms before a takeover are over.

    :param terms: the terms that the successor knows of: the latest ones of the
        store's history. There is a gap where the store has lost terms.
    :param row: the row that it read after its takeover.
    :param lost_over_at: time by which terms are over whose takeovers the store
        may have lost when it came back from an earlier copy.
    :param gaps_over_at: time by which the terms in such gaps are over. The
        store has confirmed none of them since its present era was seen.
    :ivar ends: the end of each known term that may not be over.
    """

    def __init__(
        self,
        terms: Sequence[int],
        row: WitnessRow,
        took_over_at: float,
        lost_over_at: float = LONG_AGO,
        gaps_over_at: float = math.inf,
    ) -> None:
        self.over_before = row.over_before
        self.ends = {
            term: PredecessorEnd(row.of_term(term), took_over_at)
            for term in terms
            if term >= row.over_before
        }
        # Terms that it does not know of may not be over either.
        longest = took_over_at + LONG_AUTHORITY_S
        unknown_over_at = took_over_at
        if min(terms) > row.over_before:
            unknown_over_at = longest
        elif len(self.ends) < max(terms) + 1 - row.over_before:
            unknown_over_at = min(gaps_over_at, longest)
        self.others_over_at = max(lost_over_at, unknown_over_at)

    @property
    def over_at(self) -> float:
        """Return the time by which all terms are over."""
        times = [end.over_at for end in self.ends.values()]
        return max([self.others_over_at, *times])

    def witnesses(self) -> dict[int, tuple[Witness, ...]]:
        """Return the witnesses of the terms that may not be over."""
        return {
            term: end.witnesses
            for term, end in self.ends.items()
            if end.witnesses
        }


def choose_witnesses(
    hosts: Mapping[Witness, str],
    kept: Iterable[Witness],
    own_zone: str,
) -> tuple[Witness, ...]:
    """Choose witnesses in different zones, and keep those still available.

    :param hosts: hosts that can be witnesses, with their zones.
    :param kept: present witnesses, which stay if they are among the hosts.
    """
    chosen = [witness for witness in kept if witness in hosts][:WITNESS_COUNT]
    zones = {own_zone, *(hosts[witness] for witness in chosen)}
    while len(chosen) < min(WITNESS_COUNT, len(hosts)):
        others = {
            witness: zone in zones
            for witness, zone in hosts.items()
            if witness not in chosen
        }
        best = min(others, key=others.__getitem__)
        chosen.append(best)
        zones.add(hosts[best])
    return tuple(chosen)
