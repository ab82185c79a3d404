"""Deliberately faulty state machines, to test that the driver detects them.

Only the soak driver and the tests import this module.
"""

import math
from dataclasses import dataclass, replace
from typing import Any

from oriolearch.core.authority import (
    LEASE_S,
    Authority,
    AuthorityHolder,
    AuthoritySuccessor,
    Effects,
    PromiseReceived,
    Rows,
    StoreEvent,
)
from oriolearch.core.coordinator import Coordinator
from oriolearch.core.grants import (
    Granter,
    Renewer,
    RenewerEffect,
    SendGrant,
    ServerKey,
)
from oriolearch.core.messages import Mandate
from oriolearch.core.rows import Unresolved
from oriolearch.simulated import StateMachines
from oriolearch.simulated_servers import KeyedServer, Reply


class _PromisesWhileUnresolved(AuthoritySuccessor):
    """Promises while a takeover attempt may still take effect (A2, A4)."""

    def _may_have_taken_over(self) -> bool:
        row = self.rows.authority
        return row is not None and row.holder == self.ref


@dataclass(slots=True)
class _ForgetsAttempts(AuthoritySuccessor):
    """Counts an attempt as failed once a read shows the old version.

    Rule A4 of the first design page allowed this.
    """

    forgotten: frozenset[str] = frozenset()

    def apply_rows(self, rows: Rows, now: float) -> None:
        AuthoritySuccessor.apply_rows(self, rows, now)
        self.forgotten = frozenset(self.attempts)

    def _may_have_taken_over(self) -> bool:
        row = self.rows.authority
        is_holder = row is not None and row.holder == self.ref
        return is_holder or bool(self.attempts.keys() - self.forgotten)


class _IgnoresPromises(AuthoritySuccessor):
    """Attempts a takeover before the end of its promises (A3)."""

    def may_attempt(self, now: float) -> bool:
        self.promised_until = 0
        return super().may_attempt(now)


class _WatchesTooBriefly(AuthoritySuccessor):
    """Watches the rows without a margin for clock rates (A3)."""

    def watch_duration_s(self) -> float:
        return LEASE_S


class _HoldsTooLong(AuthorityHolder):
    """Holds the lease without a margin for clock rates (A1)."""

    def lease_s(self) -> float:
        return LEASE_S


class _CountsFromAnswer(AuthorityHolder):
    """Counts a promise from its answer instead of its request (A1)."""

    def receive_promise(self, event: PromiseReceived) -> None:
        super().receive_promise(replace(event, requested_at=event.received_at))


class _TrustsLostAnswers(Authority):
    """Counts a renewal whose answer was lost as effective."""

    def handle(self, event: StoreEvent, now: float) -> Effects:
        if isinstance(event, Unresolved) and self.holder is not None:
            renewal = self.holder.renewals.get(event.nonce)
            if renewal is not None:
                self.holder.extend_lease(renewal.issued)
        return super().handle(event, now)


class _SkipsTakeoverWait(Granter):
    """Moves shards while grants of the last term may be valid (G3)."""

    def takeover_wait_s(self) -> float:
        return 0


class _ForgetsMandates(Granter):
    """Moves a shard before the end of earlier grants (G2)."""

    def is_over(self, server: ServerKey, version: int, now: float) -> bool:
        return now >= self.started_at + self.takeover_wait_s()


class _IgnoresPermits(Granter):
    """Publishes a new owner while permits for the old one are valid (G4)."""

    def is_drained(self, withdrawn: float, limit_s: float, now: float) -> bool:
        return True


class _RenewsForever(Renewer):
    """Renews grants after the end of the mandate."""

    def record_mandate(self, mandate: Mandate, requested_at: float) -> None:
        super().record_mandate(mandate, requested_at)
        self.mandate_end = math.inf


class _IgnoresIncarnation(KeyedServer):
    """Accepts a grant for an earlier incarnation of the server.

    The server protocol of the first design page had no incarnation.
    """

    def receive(
        self,
        effect: RenewerEffect,
        sent_at: float,
        reply: Reply,
    ) -> None:
        if isinstance(effect, SendGrant):
            effect = replace(effect, incarnation=self.incarnation)
        super().receive(effect, sent_at, reply)


def _with_granter(granter: type[Granter]) -> StateMachines:
    faulty = type(
        'FaultyCoordinator',
        (Coordinator,),
        {'granter_type': granter},
    )
    return StateMachines(coordinator=faulty)


def _with_authority(
    successor: type[AuthoritySuccessor] = AuthoritySuccessor,
    holder: type[AuthorityHolder] = AuthorityHolder,
) -> StateMachines:
    faulty = type(
        'FaultyAuthority',
        (Authority,),
        {'taker_type': successor, 'holder_type': holder},
    )
    return StateMachines(authority=faulty)


class _MovesKeysAtOnce(Coordinator):
    """Moves a split key while its old owner may still own it."""

    def _free_keys(self, *args: Any, **kwargs: Any) -> set[str]:
        term, pool, segment, _ = args
        names = {
            key
            for pool_name, key in term.key_releases
            if pool_name == pool.name
        }
        return names.intersection(segment.keys)


class _KeepsKeysOfShards(KeyedServer):
    """Runs orders for every key of its shards, also for split keys."""

    def receive(
        self,
        effect: RenewerEffect,
        sent_at: float,
        reply: Reply,
    ) -> None:
        if isinstance(effect, SendGrant):
            keys = tuple(entry for entry in effect.keys if entry[1])
            effect = replace(effect, keys=keys)
        super().receive(effect, sent_at, reply)


STATE_MACHINES = {
    'none': StateMachines(),
    'promise-while-unresolved': _with_authority(_PromisesWhileUnresolved),
    'forget-attempts': _with_authority(_ForgetsAttempts),
    'ignore-promises': _with_authority(_IgnoresPromises),
    'ignore-margin': _with_authority(_WatchesTooBriefly, _HoldsTooLong),
    'count-from-answer': _with_authority(holder=_CountsFromAnswer),
    'trust-lost-answer': StateMachines(authority=_TrustsLostAnswers),
    'skip-takeover-wait': _with_granter(_SkipsTakeoverWait),
    'forget-mandates': _with_granter(_ForgetsMandates),
    'ignore-permits': _with_granter(_IgnoresPermits),
    'renew-forever': StateMachines(renewer=_RenewsForever),
    'move-keys-at-once': StateMachines(coordinator=_MovesKeysAtOnce),
    'keep-keys-of-shards': StateMachines(server=_KeepsKeysOfShards),
    'ignore-incarnation': StateMachines(server=_IgnoresIncarnation),
}
