"""Measure requests while a zone is taken out and put back.

Run with ``make bench-zones``. A whole cluster runs in one process on
loopback, and four callers send requests to all of its hosts. The table has a
line for each second; a request counts in the second in which it was sent.
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
from oriolearch.cluster import Cluster
from oriolearch.eventlog import configure_logging

RESULT_PATH = Path(__file__).parent / 'results' / 'zones.json'
EDITED_ZONE = 'b'
SEED = 1
CALLER_PAUSE_S = 0.02  # keeps the load within what one process can serve
ON_TIME_LIMIT_S = 1.0
EDITS_BY_SECOND = {5: 'zone-out', 20: 'zone-back'}
DURATION_S = 45


def count_owned_shards(cluster: Cluster) -> dict[str, int]:
    """Count the shards that each zone owns, by the view of host a1."""
    view = cluster.hosts['a1'].published.view
    shards_by_server: Counter[str | None] = Counter()
    for pool in overview.keyed_pools(view.document):
        shards_by_server.update(overview.count_owners(view, pool))
    shards_by_zone = dict.fromkeys((*cluster.layout.zones, 'none'), 0)
    for name, count in shards_by_server.items():
        zone = 'none' if name is None else cluster.servers[name].zone
        shards_by_zone[zone] += count
    return shards_by_zone


def measure(cluster: Cluster) -> list[dict[str, Any]]:
    """Run the load and the zone edits and return a row for each second."""
    load = demo.LoadGenerator(cluster, SEED, pause_s=CALLER_PAUSE_S)
    operator = cluster.admin_client('a1')
    timer = threading.Event()
    started_at = time.monotonic()
    load.start()
    rows: list[dict[str, Any]] = []
    for second in range(DURATION_S):
        edit = EDITS_BY_SECOND.get(second, '')
        if edit:
            version = operator.get('/v1/configuration')['version']
            operator.edit(version, [{'kind': edit, 'name': EDITED_ZONE}])
        timer.wait(max(started_at + second + 1 - time.monotonic(), 0))
        rows.append(
            {
                'second': second,
                'edit': edit,
                'shards': count_owned_shards(cluster),
            }
        )
    load.stop()
    for row in rows:
        start = started_at + row['second']
        calls = [
            call for call in load.calls if start <= call.started < start + 1
        ]
        row['asked'] = len(calls)
        row['on_time'] = sum(
            call.outcome == 'ok' and call.seconds <= ON_TIME_LIMIT_S
            for call in calls
        )
        row['outcomes'] = dict(Counter(call.outcome for call in calls))
    for fault in demo.find_violations(cluster, load.calls):
        print('FAULT', fault)
        rows[-1].setdefault('faults', []).append(fault)
    return rows


def show(rows: list[dict[str, Any]]) -> None:
    """Print a line for each second and the totals."""
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
    """Run the measurement, print the table and write the results."""
    sys.setswitchinterval(demo.THREAD_SWITCH_INTERVAL_S)
    configure_logging(logging.CRITICAL)
    with Cluster(seed=SEED, log=lambda _: None) as cluster:
        cluster.configure()
        cluster.wait_until('every shard has an owner', cluster.is_served)
        rows = measure(cluster)
    show(rows)
    RESULT_PATH.write_text(json.dumps(rows, indent=1) + '\n')


if __name__ == '__main__':
    main()
