"""Command line: ``python -m tests.faultsoak --seeds 1-50 --jobs 3``."""

import argparse
import random
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from tempfile import mkdtemp

from tests.faultsoak.report import plot, table
from tests.faultsoak.run import run_seed

MAX_RANDOM_SEED = 10**9
MAX_PRINTED = 5  # broken promises per seed


def read_seeds(text: str) -> list[int]:
    """Parse ``3``, ``1-50``, ``3,7,9``, or ``fresh:8`` for 8 random seeds."""
    if text.startswith('fresh:'):
        return [
            random.SystemRandom().randrange(MAX_RANDOM_SEED)
            for _ in range(int(text.removeprefix('fresh:')))
        ]
    seeds: list[int] = []
    for part in text.split(','):
        first, _, last = part.partition('-')
        seeds.extend(range(int(first), int(last or first) + 1))
    return seeds


def main() -> int:
    """Run the seeds and return exit status 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog='python -m tests.faultsoak')
    parser.add_argument('--seeds', default='1')
    parser.add_argument('--seconds', type=float, default=20.0)
    parser.add_argument('--jobs', type=int, default=2)
    parser.add_argument(
        '--plot', type=Path, help='write an SVG of the last seed to this file'
    )
    parser.add_argument(
        '--faults', action='store_true', help='print the faults'
    )
    arguments = parser.parse_args()
    folder = Path(mkdtemp(prefix='faultsoak-'))
    seeds = read_seeds(arguments.seeds)
    with ProcessPoolExecutor(arguments.jobs, max_tasks_per_child=1) as pool:
        runs = [
            pool.submit(run_seed, seed, arguments.seconds, folder)
            for seed in seeds
        ]
        results = [run.result() for run in runs]
    print(table(results), end='')
    if arguments.faults:
        print(
            *(fault for result in results for fault in result.faults), sep='\n'
        )
    for result in results:
        for problem in result.broken[:MAX_PRINTED]:
            print(f'seed {result.seed}: {problem}')
    print(f'host logs: {folder}')
    if arguments.plot:
        last_result = results[-1]
        start_s = min(last_result.seconds, default=0)
        arguments.plot.write_text(plot(last_result, start_s), 'utf-8')
    return 1 if any(result.broken for result in results) else 0


if __name__ == '__main__':
    sys.exit(main())
