"""Measure the service while a zone leaves and returns.

Run with ``make bench-zones``. A whole installation runs in one process on
loopback, and four callers send to all of its hosts. The table has a line for
each second; a request counts in the second in which it was asked.
"""

import json
import logging
import sys
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from oriolearch import demo, overview
from oriolearch.eventlog import configure_logging
from oriolearch.cluster import Cluster

RESULT = Path(__file__).parent / 'results' / 'zones.json'
ZONE = 'b'
SEED = 1
PAUSE_S = 0.02  # of each caller, so that one process bears the load
ON_TIME_S = 1.0
EDITS = {5: 'zone-out', 20: 'zone-back'}  # by second
DURATION_S = 45


def owned(cluster: Cluster) -> dict[str, int]:
    """Count the shards of each zone, by the view of host a1."""
    view = cluster.hosts['a1'].published.view
    held: Counter[str | None] = Counter()
    for pool in overview.keyed_pools(view.document):
        held.update(overview.owners(view, pool))
    counts = dict.fromkeys((*cluster.shape.zones, 'none'), 0)
    for name, count in held.items():
        zone = 'none' if name is None else cluster.servers[name].zone
        counts[zone] += count
    return counts


def measure(cluster: Cluster) -> list[dict[str, Any]]:
    """Give a row for each second."""
    load = demo.Load(cluster, SEED, pause_s=PAUSE_S)
    operator = cluster.operator('a1')
    pause = threading.Event()
    began = time.monotonic()
    load.start()
    rows: list[dict[str, Any]] = []
    for second in range(DURATION_S):
        kind = EDITS.get(second, '')
        if kind:
            version = operator.get('/v1/configuration')['version']
            operator.edit(version, [{'kind': kind, 'name': ZONE}])
        pause.wait(max(began + second + 1 - time.monotonic(), 0))
        rows.append({'second': second, 'edit': kind, 'shards': owned(cluster)})
    load.stop()
    for row in rows:
        start = began + row['second']
        calls = [one for one in load.calls if start <= one.started < start + 1]
        row['asked'] = len(calls)
        row['on_time'] = sum(
            one.outcome == 'ok' and one.seconds <= ON_TIME_S for one in calls
        )
        row['outcomes'] = dict(Counter(one.outcome for one in calls))
    for fault in demo.faults(cluster, load.calls):
        print('FAULT', fault)
        rows[-1].setdefault('faults', []).append(fault)
    return rows


def show(rows: list[dict[str, Any]]) -> None:
    """Print a line for each second."""
    zones = list(rows[0]['shards'])
    print('second  asked  on time  ' + '  '.join(f'{z:>5}' for z in zones))
    for row in rows:
        shards = '  '.join(f'{row["shards"][zone]:>5}' for zone in zones)
        print(
            f'{row["second"]:>6}  {row["asked"]:>5}  {row["on_time"]:>7}  '
            f'{shards}  {row["edit"]}',
        )
    asked = sum(row['asked'] for row in rows)
    on_time = sum(row['on_time'] for row in rows)
    print(f'asked {asked}, on time {on_time} ({on_time / asked:.2%})')


def main() -> None:
    """Measure, print and record."""
    sys.setswitchinterval(demo.SWITCH_INTERVAL_S)
    configure_logging(logging.CRITICAL)
    with Cluster(seed=SEED, log=lambda _: None) as cluster:
        cluster.configure()
        cluster.wait_until('all shards served', cluster.is_served)
        rows = measure(cluster)
    show(rows)
    RESULT.write_text(json.dumps(rows, indent=1) + '\n')


if __name__ == '__main__':
    main()
