"""What a host shows to operators, computed from its view."""

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
from oriolearch.core.splitting import HotKeyWatch
from oriolearch.core.view import View

HOT_KEYS_SHOWN = 10  # of each pool, and those that are hot


def keyed_pools(document: Document) -> Iterator[Pool]:
    """Yield the pools whose servers own keys."""
    for pool in document.pools.values():
        if pool.kind is PoolKind.KEYED:
            yield pool


def owners(view: View, pool: Pool) -> Counter[str | None]:
    """Count the shards of each owner; ``None`` counts those without one."""
    counts: Counter[str | None] = Counter()
    for index in range(pool.shard_count // SHARDS_PER_SEGMENT):
        segment = view.segments.get((pool.name, index))
        if segment is None:
            counts[None] += SHARDS_PER_SEGMENT
        else:
            counts.update(one.owner for one in segment.shards)
    return counts


def is_served(view: View) -> bool:
    """Tell whether every shard has an owner in a configured view."""
    pools = list(keyed_pools(view.document))
    return bool(pools) and not any(owners(view, pool)[None] for pool in pools)


def effects_of(
    view: View,
    before: Document,
    after: Document,
) -> dict[str, Any]:
    """Tell what an edit moves.

    :returns: by name, the shards that change their owner in each keyed pool
        and the plain upstreams that get no new work.
    """
    effects: dict[str, Any] = {}
    for pool in keyed_pools(before):
        held = owners(view, pool)
        staying = _in_service(after, pool.name)
        moving = sum(
            count for name, count in held.items() if name not in staying
        )
        effects[f'shards moving in {pool.name}'] = moving - held[None]
    for name, pool in before.pools.items():
        if pool.kind is PoolKind.PLAIN:
            gone = _in_service(before, name) - _in_service(after, name)
            effects[f'upstreams leaving in {name}'] = len(gone)
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
    """Give a row for each live host."""
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
    """Give a row for each upstream of each pool."""
    rows: list[dict[str, Any]] = []
    for pool in view.document.pools.values():
        is_keyed = pool.kind is PoolKind.KEYED
        held = owners(view, pool) if is_keyed else Counter[str | None]()
        serving = _in_service(view.document, pool.name)
        rows.extend(
            {
                'pool': pool.name,
                'upstream': upstream.name,
                'zone': upstream.zone,
                'address': upstream.address,
                'out': upstream.name not in serving,
                'shards': held[upstream.name] if is_keyed else '',
                'running': outstanding.get(f'{pool.name}/{upstream.name}', 0),
            }
            for upstream in pool.upstreams
        )
    return rows


def pool_rows(view: View) -> list[dict[str, Any]]:
    """Give a row for each keyed pool; imbalance is largest over mean."""
    rows: list[dict[str, Any]] = []
    for pool in keyed_pools(view.document):
        held = owners(view, pool)
        unowned = held.pop(None, 0)
        mean = sum(held.values()) / len(held) if held else 0
        rows.append(
            {
                'pool': pool.name,
                'shards': pool.shard_count,
                'unowned': unowned,
                'servers': len(held),
                'imbalance': round(max(held.values()) / mean, 3)
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
    """Give a row for each authority; ``left_s`` is that of its permits."""
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


def hot_key_rows(view: View, watch: HotKeyWatch) -> list[dict[str, Any]]:
    """Give a row for each of the hottest keys that this host hears of.

    The coordinator of a zone hears of all that enter in the zone.
    """
    rows: list[dict[str, Any]] = []
    for found in watch.hottest(HOT_KEYS_SHOWN):
        pool = view.document.pools.get(found.pool)
        owner = view.owner(pool, found.key) if pool else None
        rows.append(
            {
                'pool': found.pool,
                'key': found.key,
                'rate': round(found.rate, 1),
                'share': round(found.share, 4),
                'hot': found.is_hot,
                'shard': owner.shard if owner else '',
                'owner': (owner.assignment.owner or '') if owner else '',
            },
        )
    return rows
