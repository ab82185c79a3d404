"""An entry of another writer holds a number of 400 digits; all hosts restart."""

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins'))
import rig  # noqa: E402

RECOVER_S = 15.0
LOAD_PER_S = 12.0
DOWN_S = 0.5
AFTER_S = 35.0


def make_entry():
    """Return an entry with one field that cannot be read."""
    info = {'service': 'pares', 'version': 'v1', 'zone': 'sul', 'slots': 2}
    status = {'state': 'ready', 'seq': 1, 'warmup_left_s': 10**400}
    entry = {'address': '127.0.0.1:9', 'born': 1, 'info': info}
    return json.dumps({**entry, 'status': status}).encode()


async def case(installation, has_trouble):
    record, client = installation.record, installation.client
    installation.work_s = lambda: installation.rng.uniform(0.05, 0.15)
    await installation.open(hosts=3, servers=6)
    began_at = record.now()
    load = installation.spawn(installation.load(LOAD_PER_S, 10 + AFTER_S))
    await asyncio.sleep(5.0)
    if has_trouble:
        installation.store.put('servers', 'x-1', make_entry())
        record.write('another writer writes servers/x-1')
    await asyncio.sleep(5.0)
    killed_at = record.now()
    for host in installation.hosts:
        host.send(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for host in installation.hosts:
        host.kill()
        host.is_first = False
        host.start()
    back_at = record.now()
    await load
    await asyncio.sleep(2.5)
    before = client.served_share(began_at, killed_at)
    after = client.served_share(back_at + RECOVER_S, record.now())
    print(f'served before {before:.3f}, {RECOVER_S:.0f} s later {after:.3f}')
    record.write(f'served: {before:.3f} before, {after:.3f} after')
    if before >= 0.25 > after:
        record.breach(
            f'RECOVER: {after:.3f} of the requests sent later than '
            f'{RECOVER_S:.0f} s after the machines are back are served, '
            f'{before:.3f} were before the final fault'
        )


rig.run(case, Path(__file__).parent)
