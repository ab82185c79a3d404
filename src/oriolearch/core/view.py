"""Immutable snapshot of the state that request threads use."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from oriolearch.core.messages import AuthorityKey, Segment
from oriolearch.core.model import (
    SHARDS_PER_SEGMENT,
    Assignment,
    Document,
    Fencing,
    Member,
    Pool,
    segment_of,
    shard_of,
)

SegmentKey = tuple[str, int]  # pool and segment index


@dataclass(frozen=True, slots=True)
class Owner:
    """Owner and epoch of a key.

    :param home: authority key of the segment.
    :param permit_end: monotonic time until which orders for the key may be
        sent to a server of a pool without fencing.
    """

    shard: int
    assignment: Assignment
    home: AuthorityKey
    permit_end: float


@dataclass(frozen=True, slots=True)
class View:
    """Snapshot for request threads, replaced as a whole.

    :param refreshed: monotonic time before the last answered sync request was
        sent.
    """

    document: Document = field(default_factory=Document)
    segments: Mapping[SegmentKey, Segment] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    permit_ends: Mapping[AuthorityKey, float] = field(
        default_factory=lambda: MappingProxyType({}),
    )
    members: tuple[Member, ...] = ()
    refreshed: float = 0.0

    def owner(self, pool: Pool, key: str) -> Owner | None:
        """Return the owner of a key, or ``None`` without its segment."""
        shard = shard_of(key, pool.shard_count)
        segment = self.segments.get((pool.name, segment_of(shard)))
        if segment is None:
            return None
        assignment = segment.keys.get(key)
        if assignment is None:
            assignment = segment.shards[shard % SHARDS_PER_SEGMENT]
        permit_end = self.permit_ends.get(segment.home, 0)
        return Owner(shard, assignment, segment.home, permit_end)

    def may_send(self, pool: Pool, owner: Owner, now: float) -> bool:
        """Check whether an order may be sent to the owner now (rule G4)."""
        if owner.assignment.owner is None:
            return False
        return pool.fencing is Fencing.CHECKED or now < owner.permit_end
