"""Plays seeds: ``python -m tests.faultsoak --seeds 1-50 --jobs 3``."""

import argparse
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from tempfile import mkdtemp

from tests.faultsoak.report import plot, table
from tests.faultsoak.run import play

FRESH_SEEDS = 10**9
SHOWN = 5  # broken promises of a seed


def read_seeds(text: str) -> list[int]:
    """Read ``3``, ``1-50``, ``3,7,9`` or ``fresh:8``."""
    if text.startswith('fresh:'):
        return [
            random.SystemRandom().randrange(FRESH_SEEDS)
            for _ in range(int(text.removeprefix('fresh:')))
        ]
    seeds: list[int] = []
    for part in text.split(','):
        first, _, last = part.partition('-')
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def main() -> int:
    """Play the seeds; give 1 when a promise was broken."""
    parser = argparse.ArgumentParser(prog='python -m tests.faultsoak')
    parser.add_argument('--seeds', default='1')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument('--plot', type=Path, help='SVG of the last seed')
    parser.add_argument('--faults', action='store_true', help='print them')
    found = parser.parse_args()
    folder = Path(mkdtemp(prefix='faultsoak-'))
    seeds = read_seeds(found.seeds)
    with ProcessPoolExecutor(found.jobs, max_tasks_per_child=1) as pool:
        runs = [
            pool.submit(play, seed, found.seconds, folder) for seed in seeds
        ]
        results = [run.result() for run in runs]
    print(table(results), end='')
    if found.faults:
        print(
            *(fault for result in results for fault in result.faults), sep='\n'
        )
    for result in results:
        for line in result.broken[:SHOWN]:
            print(f'seed {result.seed}: {line}')
    print(f'logs of the hosts: {folder}')
    if found.plot:
        last = results[-1]
        start_s = min(last.seconds, default=0)
        found.plot.write_text(plot(last, start_s), 'utf-8')
    return 1 if any(result.broken for result in results) else 0


if __name__ == '__main__':
    sys.exit(main())
