"""Deliberately faulty state machines, to show that the driver catches them.

Nothing but the soak driver and the tests imports this module.
"""

from dataclasses import replace

from oriolearch.core.authority import (
    LEASE_S,
    Authority,
    AuthorityHolder,
    AuthorityTaker,
    Effects,
    Promised,
    Rows,
    StoreEvent,
)
from oriolearch.core.rows import Unresolved
from oriolearch.simulated import Strategy


class _PromisesWhileUnresolved(AuthorityTaker):
    """Promises although an attempt may still take effect (A2, A4)."""

    def _may_have_taken_over(self) -> bool:
        row = self.rows.authority
        return row is not None and row.holder == self.ref


class _ForgetsAttempts(AuthorityTaker):
    """Takes an attempt as failed once a read shows the old version.

    Rule A4 of the first design page allowed this.
    """

    def see(self, rows: Rows, now: float) -> None:
        super().see(rows, now)
        self.attempts.clear()


class _IgnoresPromises(AuthorityTaker):
    """Attempts a takeover although its promises have not ended (A3)."""

    def may_attempt(self, now: float) -> bool:
        self.promised_until = 0
        return super().may_attempt(now)


class _WatchesTooBriefly(AuthorityTaker):
    """Counts no margin for the rates of clocks (A3)."""

    def watch_s(self) -> float:
        return LEASE_S


class _HoldsTooLong(AuthorityHolder):
    """Counts no margin for the rates of clocks (A1)."""

    def lease_s(self) -> float:
        return LEASE_S


class _CountsFromAnswer(AuthorityHolder):
    """Counts a promise from its answer and not from before asking (A1)."""

    def promised(self, event: Promised) -> None:
        super().promised(replace(event, asked=event.answered))


class _TrustsLostAnswers(Authority):
    """Takes a renewal whose answer was lost as one that took effect."""

    def handle(self, event: StoreEvent, now: float) -> Effects:
        if isinstance(event, Unresolved) and self.holder is not None:
            renewal = self.holder.renewals.get(event.nonce)
            if renewal is not None:
                self.holder.count_lease(renewal.issued)
        return super().handle(event, now)


def _authority(
    taker: type[AuthorityTaker] = AuthorityTaker,
    holder: type[AuthorityHolder] = AuthorityHolder,
) -> Strategy:
    faulty = type(
        'FaultyAuthority',
        (Authority,),
        {'taker_type': taker, 'holder_type': holder},
    )
    return Strategy(authority=faulty)


STRATEGIES = {
    'none': Strategy(),
    'promise-while-unresolved': _authority(_PromisesWhileUnresolved),
    'forget-attempts': _authority(_ForgetsAttempts),
    'ignore-promises': _authority(_IgnoresPromises),
    'ignore-margin': _authority(_WatchesTooBriefly, _HoldsTooLong),
    'count-from-answer': _authority(holder=_CountsFromAnswer),
    'trust-lost-answer': Strategy(authority=_TrustsLostAnswers),
}
