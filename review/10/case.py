"""A configuration is sent after the store came back from an earlier copy."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins-2'))

import rig as r  # noqa: E402

ZONES = ('z1', 'z2', 'z3')
SERVICES = {'stock': False, 'archive': False}
COPY_AGE_S = 5.0  # "some seconds old"
AWAY_S = 1.0  # "for a moment"
# The store was away, so the bound of the configuration may be stretched.
OUTER_S = 5.0


def config(version, timeout_s, service, *, has_new):
    rules = [
        r.make_rule('look', 'safe', service, timeout_s),
        r.make_rule('order', 'unsafe', service, timeout_s),
        r.make_rule('read', 'safe', 'archive', timeout_s),
    ]
    if has_new:
        rules.append(r.make_rule('new', 'safe', 'archive', timeout_s))
    return r.make_config(version, rules, SERVICES)


async def play(rig):
    rig.store.put('op', 'config', config(7, 1.5, 'stock', has_new=False))
    for index in range(12):
        service = 'stock' if index % 2 else 'archive'
        await rig.add_server(
            f'i-{index}', service, ZONES[index // 2 % 3], is_keyed=False
        )
    await rig.start_hosts()
    await rig.until_serving('/look/', range(4))
    rig.spawn(rig.run_caller('/look/', 'GET', 15, keys=False))
    rig.spawn(rig.run_caller('/order/', 'POST', 10, keys=False))
    rig.spawn(rig.run_caller('/read/', 'GET', 20, keys=False))
    await asyncio.sleep(5)
    copy = rig.store.copy()
    await asyncio.sleep(COPY_AGE_S - 1)
    version = rig.store.put(
        'op', 'config', config(9, 1.2, 'stock', has_new=False)
    )
    rig.record.note(f'the operator sends r9, row version {version}')
    await asyncio.sleep(1)
    if r.trouble():
        await rig.store.drill(copy, AWAY_S)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(1)
    version = rig.store.put(
        'op', 'config', config(12, 1.2, 'archive', has_new=True)
    )
    acknowledged_at = rig.record.now()
    rig.record.note(
        f'the operator sends r12 (look and order move, new comes), row version {version}'
    )
    await asyncio.sleep(r.CONFIG_S + OUTER_S + 1)
    rig.spawn(rig.run_caller('/new/', 'GET', 20, keys=False))
    await asyncio.sleep(12)
    bound = acknowledged_at + r.CONFIG_S + OUTER_S
    late = {
        attempt: sent_at
        for sent_at, _, _, _, _, attempt in rig.answers
        if sent_at > bound
    }
    moved = {
        attempt: path
        for sent_at, _, path, _, _, attempt in rig.answers
        if path.startswith(('/look/', '/order/')) and sent_at > bound
    }
    breaches = [
        f'CONFIG: a request of {moved[attempt]} sent '
        f'{late[attempt] - acknowledged_at:.1f} s after the acknowledgement '
        f'was run by {server.name} of stock'
        for server in rig.servers
        if server.service == 'stock'
        for _, _, attempt in server.runs
        if attempt in moved
    ]
    breaches.extend(
        f'CONFIG: a request of /new/ sent {sent_at - acknowledged_at:.1f} s'
        f' after the acknowledgement got 404 from {host}'
        for sent_at, host, path, status, _, _ in rig.answers
        if sent_at > bound and path.startswith('/new/') and status == 404
    )
    rig.record.note(
        f'{len(late)} requests were sent later than {bound:.1f} s; '
        f'the store is at version {rig.store.version}'
    )
    return breaches


r.main(play, ZONES, (2, 2, 1))
