"""Chooses what a host drops when it holds too many bytes for others.

All that waits for a slow caller or upstream counts in one account: request
bodies that are being received, answers that are being received, and answers
that callers have not read yet. When it exceeds its limit, what is least likely
to be of use goes first, and what is nearly done goes last. Requests that were
received completely are never dropped, since they may run.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum

# A caller that has read nothing for this long counts as stalled.
STALLED_S = 1.0


class HeldKind(IntEnum):
    """What bytes are held for, in the order in which they are dropped.

    A request that is not complete has not run, and its caller is told so. An
    answer stands for work that an upstream has done.
    """

    STALLED_REPLY = 0
    INCOMING_BODY = 1
    INCOMING_ANSWER = 2
    SLOW_REPLY = 3
    COMPLETE_REQUEST = 4


@dataclass(frozen=True, slots=True)
class Holding:
    """Bytes that a host holds for one connection.

    :param left_bytes: bytes until it is done, as far as they are known.
    :param stalled_s: time without any progress.
    :param drop: drops it; called with the reason.
    """

    kind: HeldKind
    held_bytes: int
    left_bytes: int
    stalled_s: float
    drop: Callable[[str], None]


def reply_kind(stalled_s: float) -> HeldKind:
    """Return the kind of a reply that its caller has not read."""
    if stalled_s >= STALLED_S:
        return HeldKind.STALLED_REPLY
    return HeldKind.SLOW_REPLY


def _drop_order(holding: Holding) -> tuple[int, float, int]:
    """Return the sort key: the longest stalled and least done goes first."""
    is_stalled = holding.kind is HeldKind.STALLED_REPLY
    return (
        holding.kind,
        -holding.stalled_s if is_stalled else 0.0,
        -holding.left_bytes,
    )


def choose_dropped(
    holdings: Iterable[Holding], limit_bytes: int
) -> Iterator[Holding]:
    """Yield what to drop so that the rest is within the limit."""
    held = list(holdings)
    excess = sum(holding.held_bytes for holding in held) - limit_bytes
    for holding in sorted(held, key=_drop_order):
        if excess <= 0 or holding.kind is HeldKind.COMPLETE_REQUEST:
            return
        excess -= holding.held_bytes
        yield holding
