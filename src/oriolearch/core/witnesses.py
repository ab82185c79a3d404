"""How long a coordinator may act, and when a successor knows that it ended.

The store confirms a coordinator only now and then, and may be away for many
seconds. Three other hosts, its witnesses, therefore acknowledge it as well. A
successor has a majority of them promise to stop that, so that it
need not wait as long as an outage of the store may last.

Which hosts are the witnesses stands in the store, under the condition that
the coordinator still leads; a successor reads it once it has taken over. While
a change of the witnesses may or may not be stored, the coordinator needs the
acknowledgements of both groups.
"""

import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

WITNESSES = 3  # one may be lost without a gap, and one promise withheld
# Covers the outages of the store that are usual.
LONG_AUTHORITY_S = 12.0
# Covers a read of the store each half second, at 50 times the usual 4 ms.
SHORT_AUTHORITY_S = 2.5
# Covers four acknowledgements of a witness, each quarter of a second.
WITNESSED_S = 1.5


@dataclass(frozen=True, slots=True)
class Witness:
    """One run of a host that acknowledges a coordinator.

    :param run: unique to the run; a host that starts again knows nothing of
        its promises and acknowledges no earlier coordinator.
    """

    address: str
    run: str


@dataclass(frozen=True, slots=True)
class WitnessRow:
    """The row that names the witnesses of a coordinator's term."""

    term: int
    witnesses: tuple[Witness, ...]

    def encode(self) -> bytes:
        """Give the row's value."""
        found = [[witness.address, witness.run] for witness in self.witnesses]
        return json.dumps({'term': self.term, 'witnesses': found}).encode()


def decode_witnesses(value: bytes | None, term: int) -> tuple[Witness, ...]:
    """Read the witnesses of a term; none for an unreadable or other row.

    A successor that finds none waits for the end of the long authority, so
    an unreadable row costs time and is safe.
    """
    try:
        fields = json.loads(value or b'')
        if int(fields['term']) != term:
            return ()
        return tuple(
            Witness(str(address), str(run))
            for address, run in fields['witnesses']
        )
    except (ValueError, KeyError, TypeError):
        return ()


class Authority:
    """Until when a coordinator may act; times count suspended time.

    :param confirmed_at: when the store was asked the last time it confirmed
        the coordinator.
    :ivar groups: the groups of witnesses that the store may name.
    """

    def __init__(self, confirmed_at: float) -> None:
        self.confirmed_at = confirmed_at
        self.groups: list[tuple[Witness, ...]] = [()]
        self.acknowledged_at: dict[str, float] = {}

    def confirm(self, asked_at: float) -> None:
        """Take the store's answer that the coordinator's row is unchanged."""
        self.confirmed_at = max(self.confirmed_at, asked_at)

    def acknowledged(self, run: str, asked_at: float) -> None:
        """Take an acknowledgement of a witness, asked for at a time."""
        known = self.acknowledged_at.get(run, asked_at)
        self.acknowledged_at[run] = max(known, asked_at)

    def propose(self, group: Iterable[Witness]) -> None:
        """Take that a group may be stored from now on."""
        self.groups.append(tuple(group))

    def adopt(self, group: Iterable[Witness]) -> None:
        """Take that a group is stored."""
        self.groups = [tuple(group)]
        runs = {witness.run for witness in self.groups[0]}
        self.acknowledged_at = {
            run: at for run, at in self.acknowledged_at.items() if run in runs
        }

    def witnessed_until(self, group: tuple[Witness, ...]) -> float:
        """Give until when a majority of a group acknowledges it."""
        times = sorted(
            (
                self.acknowledged_at.get(witness.run, float('-inf'))
                for witness in group
            ),
            reverse=True,
        )
        return times[len(group) // 2] + WITNESSED_S

    def until(self) -> float:
        """Give when the authority ends without further acknowledgements."""
        return min(self._until(group) for group in self.groups)

    def needs_store(self, now: float) -> bool:
        """Tell whether the store has to confirm the coordinator soon."""
        return self.until() - now < WITNESSED_S / 2

    def _until(self, group: tuple[Witness, ...]) -> float:
        longest = self.confirmed_at + LONG_AUTHORITY_S
        if not group:
            return longest
        return max(
            self.confirmed_at + SHORT_AUTHORITY_S,
            min(self.witnessed_until(group), longest),
        )


class Promise:
    """What one host has promised as a witness."""

    def __init__(self) -> None:
        self.term = 0

    def may_acknowledge(self, term: int) -> bool:
        """Tell whether the host may acknowledge a coordinator's term."""
        return term > self.term

    def withhold(self, term: int) -> None:
        """Promise not to acknowledge a term, or those before, any more."""
        self.term = max(self.term, term)


class PredecessorEnd:
    """Finds when a predecessor's authority is surely over.

    :param witnesses: those that the store named when the successor had taken
        over; empty if it named none for the predecessor's term.
    :param taken_at: when the successor knew that it had taken over; the store
        confirms no predecessor after that.
    """

    def __init__(
        self,
        witnesses: tuple[Witness, ...],
        taken_at: float,
    ) -> None:
        self.witnesses = witnesses
        self.taken_at = taken_at
        self.promised: set[str] = set()
        self.over_at = taken_at + LONG_AUTHORITY_S

    def answered(
        self,
        now: float,
        witness: Witness,
        run: str,
        promised_term: int,
        term: int,
    ) -> bool:
        """Take a witness's answer; tell whether the end is known by now.

        A witness that runs anew acknowledges the term as little as one that
        promised.
        """
        if run != witness.run or promised_term >= term:
            self.promised.add(witness.run)
        needed = len(self.witnesses) - len(self.witnesses) // 2
        if len(self.promised) < needed:
            return False
        self.over_at = min(
            self.over_at,
            max(now + WITNESSED_S, self.taken_at + SHORT_AUTHORITY_S),
        )
        return True

    def proven(self, now: float) -> None:
        """Take the answer of the predecessor's host that it does not lead."""
        self.over_at = min(self.over_at, now)


def choose_witnesses(
    hosts: Mapping[Witness, str],
    kept: Iterable[Witness],
    own_zone: str,
) -> tuple[Witness, ...]:
    """Choose hosts of different zones, and keep those that still serve.

    :param hosts: the hosts that can be witnesses, with their zones.
    """
    chosen = [witness for witness in kept if witness in hosts][:WITNESSES]
    zones = {own_zone, *(hosts[witness] for witness in chosen)}
    while len(chosen) < min(WITNESSES, len(hosts)):
        others = {
            witness: zone in zones
            for witness, zone in hosts.items()
            if witness not in chosen
        }
        best = min(others, key=others.__getitem__)
        chosen.append(best)
        zones.add(hosts[best])
    return tuple(chosen)
