"""The store comes back from an earlier copy; the leader is restarted later."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'standins-2'))

import rig as r  # noqa: E402

COPY_AGE_S = 3.0  # "some seconds old"
AWAY_S = 1.0  # "for a moment"


async def play(rig):
    check = await rig.start_keyed(2, 1)
    await asyncio.sleep(5)
    copy = rig.store.copy()
    await asyncio.sleep(1)
    rig.record.note('the operator evacuates z1')
    rig.store.put('op', 'evacuate/z1', {})
    await asyncio.sleep(COPY_AGE_S - 1)
    if r.trouble():
        await rig.store.drill(copy, AWAY_S)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(0.5)
    await rig.leader().terminate()
    await asyncio.sleep(4)
    return check.finish()


r.main(play, ('z1', 'z2', 'z3'), (2, 2, 1))
