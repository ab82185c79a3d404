"""A host is stopped while requests wait for busy servers."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))
import rig  # noqa: E402

TIMEOUT_S = 6.0  # of the route, as the site file iped-pares-grown has it
OBJECTIVE_S = 1.575
CLIENT_TIMEOUT_MS = 12000
GRACE_S = 6.0
LOSS_SLACK_S = 0.2
LOAD_PER_S = 54.0  # sixteen slots serve 31 a second
HOSTS = 3
STOPPED = 1  # one after the other, if more
GAP_S = 1.3


def check(installation, stopped_at):
    """Find requests that a stopped host has read and not answered."""
    record = installation.record
    lost = []
    for attempt, host, sent_at, ended_at, status, text in (
        installation.client.ended
    ):
        since = stopped_at.get(host)
        if status or since is None or not since <= ended_at <= since + 7.0:
            continue
        waited_s = ended_at - sent_at
        record.write(f'{attempt} ends unanswered after {waited_s:.2f} s: {text}')
        is_due = waited_s >= TIMEOUT_S
        # Counted only where no server was ever at work on the request.
        has_run = attempt in installation.has_run
        if waited_s > LOSS_SLACK_S and not is_due and not has_run:
            lost.append((attempt, sent_at - since, waited_s))
    if lost:
        attempt, after_s, waited_s = lost[0]
        record.breach(
            f'LOST: {len(lost)} requests end with a closed connection; the '
            f'first, {attempt}, was sent {after_s:.2f} s after the SIGTERM and '
            f'waited {waited_s:.2f} s, no server was at work on it'
        )


async def case(installation, has_trouble):
    record = installation.record
    installation.work_s = lambda: installation.rng.uniform(0.35, 0.69)
    installation.routes['arquivo'] = ('ensaios', 'safe', TIMEOUT_S, OBJECTIVE_S)
    await installation.open(hosts=HOSTS, servers=3, plain=8)
    load = installation.spawn(
        installation.load(LOAD_PER_S, 38.0, 'arquivo', CLIENT_TIMEOUT_MS)
    )
    await asyncio.sleep(22.0)
    stopped_at = {}
    for host in installation.hosts[:STOPPED]:
        stopped_at[host] = record.now()
        if has_trouble:
            host.send(signal.SIGTERM)
        await asyncio.sleep(GAP_S)
    await load
    await asyncio.sleep(7.0)
    check(installation, stopped_at)


rig.run(case, Path(__file__).parent)
