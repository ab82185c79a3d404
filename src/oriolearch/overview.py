"""Status tables for operators, computed from the view of a host."""

from collections import Counter
from collections.abc import Iterator, Mapping
from typing import Any

from oriolearch.core.messages import AuthorityKey, Revision
from oriolearch.core.model import (
    SHARDS_PER_SEGMENT,
    Document,
    HostRef,
    Pool,
    PoolKind,
)
from oriolearch.core.splitting import HotKeyDetector
from oriolearch.core.view import View

HOT_KEYS_SHOWN = 10  # per pool; keys rated as hot are shown in addition


def keyed_pools(document: Document) -> Iterator[Pool]:
    """Yield the pools whose servers own keys."""
    for pool in document.pools.values():
        if pool.kind is PoolKind.KEYED:
            yield pool


def count_owners(view: View, pool: Pool) -> Counter[str | None]:
    """Return the number of shards by owner; ``None`` for those without one."""
    counts: Counter[str | None] = Counter()
    for index in range(pool.shard_count // SHARDS_PER_SEGMENT):
        segment = view.segments.get((pool.name, index))
        if segment is None:
            counts[None] += SHARDS_PER_SEGMENT
        else:
            counts.update(entry.owner for entry in segment.shards)
    return counts


def is_served(view: View) -> bool:
    """Return whether keyed pools are configured and each shard has an owner."""
    pools = list(keyed_pools(view.document))
    return bool(pools) and not any(
        count_owners(view, pool)[None] for pool in pools
    )


def compute_edit_effects(
    view: View,
    before: Document,
    after: Document,
) -> dict[str, Any]:
    """Return what an edit of the configuration moves.

    :returns: counts by description: shards that change their owner in each
        keyed pool, and upstreams of each plain pool that get no new requests.
    """
    effects: dict[str, Any] = {}
    for pool in keyed_pools(before):
        counts = count_owners(view, pool)
        remaining = _in_service(after, pool.name)
        moving = sum(
            count for name, count in counts.items() if name not in remaining
        )
        effects[f'shards moving in {pool.name}'] = moving - counts[None]
    for name, pool in before.pools.items():
        if pool.kind is PoolKind.PLAIN:
            removed = _in_service(before, name) - _in_service(after, name)
            effects[f'upstreams leaving in {name}'] = len(removed)
    return effects


def _in_service(document: Document, name: str) -> set[str]:
    pool = document.pools.get(name)
    if pool is None:
        return set()
    return {
        upstream.name
        for upstream in pool.upstreams
        if upstream.zone not in document.zones_out
        and upstream.name not in document.hosts_out
    }


def host_rows(view: View, own: HostRef) -> list[dict[str, Any]]:
    """Return a row for each live host."""
    document = view.document
    return [
        {
            'host': member.ref.host,
            'zone': member.zone,
            'incarnation': member.ref.incarnation,
            'address': member.address,
            'out': member.ref.host in document.hosts_out
            or member.zone in document.zones_out,
            'this': member.ref == own,
        }
        for member in view.members
    ]


def upstream_rows(
    view: View,
    outstanding: Mapping[str, int],
) -> list[dict[str, Any]]:
    """Return a row for each upstream of each pool."""
    rows: list[dict[str, Any]] = []
    for pool in view.document.pools.values():
        is_keyed = pool.kind is PoolKind.KEYED
        counts = count_owners(view, pool) if is_keyed else Counter[str | None]()
        in_service = _in_service(view.document, pool.name)
        rows.extend(
            {
                'pool': pool.name,
                'upstream': upstream.name,
                'zone': upstream.zone,
                'address': upstream.address,
                'out': upstream.name not in in_service,
                'shards': counts[upstream.name] if is_keyed else '',
                'running': outstanding.get(f'{pool.name}/{upstream.name}', 0),
            }
            for upstream in pool.upstreams
        )
    return rows


def pool_rows(view: View) -> list[dict[str, Any]]:
    """Return a row for each keyed pool.

    The imbalance is the largest number of shards of a server, divided by the
    mean.
    """
    rows: list[dict[str, Any]] = []
    for pool in keyed_pools(view.document):
        counts = count_owners(view, pool)
        unowned = counts.pop(None, 0)
        mean = sum(counts.values()) / len(counts) if counts else 0
        rows.append(
            {
                'pool': pool.name,
                'shards': pool.shard_count,
                'unowned': unowned,
                'servers': len(counts),
                'imbalance': round(max(counts.values()) / mean, 3)
                if mean
                else '',
            },
        )
    return rows


def lease_rows(
    view: View,
    coordinators: Mapping[AuthorityKey, HostRef],
    revisions: Mapping[AuthorityKey, Revision],
    now: float,
) -> list[dict[str, Any]]:
    """Return a row for each authority.

    The value of ``left_s`` is the remaining duration of its permits.
    """
    rows: list[dict[str, Any]] = []
    for key, revision in sorted(revisions.items()):
        holder = coordinators.get(key)
        left_s = view.permit_ends.get(key, 0) - now
        rows.append(
            {
                'zone': key.zone,
                'mobility': key.mobility.value,
                'coordinator': holder.host if holder else '',
                'term': revision.term,
                'revision': revision.number,
                'left_s': round(max(left_s, 0), 3),
            },
        )
    return rows


def hot_key_rows(view: View, detector: HotKeyDetector) -> list[dict[str, Any]]:
    """Return a row for each of the hottest keys reported to this host.

    The coordinator of a zone receives reports on all requests that enter the
    installation in the zone.
    """
    rows: list[dict[str, Any]] = []
    for hot_key in detector.hottest(HOT_KEYS_SHOWN):
        pool = view.document.pools.get(hot_key.pool)
        owner = view.owner(pool, hot_key.key) if pool else None
        rows.append(
            {
                'pool': hot_key.pool,
                'key': hot_key.key,
                'rate': round(hot_key.rate, 1),
                'share': round(hot_key.share, 4),
                'hot': hot_key.is_hot,
                'shard': owner.shard if owner else '',
                'owner': (owner.assignment.owner or '') if owner else '',
            },
        )
    return rows
