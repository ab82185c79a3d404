"""Random faults of a seed: overlapping series of faults."""

import random
from collections.abc import Iterable
from dataclasses import dataclass

HOST_FAULTS = ('pause', 'kill', 'stop', 'reload', 'store_cut', 'peers_cut')
SERVER_FAULTS = ('crash', 'dark', 'drain', 'rebirth', 'links')
STORE_FAULTS = ('down', 'slow', 'lost', 'late', 'forget')
OTHER_FAULTS = ('config', 'entry', 'all_killed')
WEIGHTS = {
    **dict.fromkeys(HOST_FAULTS, 4),
    **dict.fromkeys(SERVER_FAULTS, 3),
    **dict.fromkeys(STORE_FAULTS, 2),
    **dict.fromkeys(OTHER_FAULTS, 1),
}
# Upstreams that name a rate limit, or leave without telling the store.
NOTICE_FAULTS = ('limit', 'leave')
RESTORE_FAULT = 'restore'  # the store comes back from an earlier copy
RESTORES_SHARE = 0.5  # fraction of the seeds with such faults
MAX_COPY_AGE_S = 5.0
NOTICE_S = 10.0  # the bound on limits needs 7 s
MAX_SERIES_FAULTS = 3  # consecutive faults of one kind
MAX_FAULT_S = 4.0
CONNECTION_MODES = ('delay', 'reset', 'up', 'down', 'silent')


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault to inject during a run.

    :param start_s: seconds after the first request of the callers.
    :param mode: the effect on connections, if the fault affects them.
    :param choice: number from 0 to 1 that selects the affected host or
        upstream.
    """

    start_s: float
    duration_s: float
    kind: str
    mode: str
    choice: float

    def __str__(self) -> str:
        """Return the line of the fault in a trace."""
        return (
            f'{self.start_s:.2f} +{self.duration_s:.2f} {self.kind} {self.mode}'
        )


def draw_faults(seed: int, length_s: float) -> list[Fault]:
    """Return the faults of a seed, ordered by time."""
    rng = random.Random(seed)
    kinds = list(WEIGHTS)
    faults: list[Fault] = []
    series_start_s = 0.0
    while series_start_s < length_s:
        kind = rng.choices(kinds, [WEIGHTS[kind] for kind in kinds])[0]
        start_s = series_start_s
        for _ in range(rng.randint(1, MAX_SERIES_FAULTS)):
            duration_s = rng.uniform(0.1, MAX_FAULT_S)
            mode = rng.choice(CONNECTION_MODES)
            if start_s + duration_s < length_s:
                fault = Fault(start_s, duration_s, kind, mode, rng.random())
                faults.append(fault)
            start_s += duration_s * rng.uniform(0.3, 1.5)
        series_start_s += rng.uniform(0.5, 3.0)
    faults += _draw_notice_faults(seed, length_s)
    faults += _draw_restore_faults(seed, length_s)
    return sorted(faults, key=lambda fault: fault.start_s)


def has_restores(faults: Iterable[Fault]) -> bool:
    """Return whether the store comes back from a copy in a run."""
    return any(fault.kind == RESTORE_FAULT for fault in faults)


def _draw_restore_faults(seed: int, length_s: float) -> list[Fault]:
    """Return faults that are drawn apart, so that the others stay.

    The store is away in the last second of each.
    """
    rng = random.Random(f'restores of {seed}')
    if rng.random() >= RESTORES_SHARE:
        return []
    ages_s = [
        rng.uniform(1.0, min(MAX_COPY_AGE_S, length_s - 1))
        for _ in range(rng.randint(1, 2))
    ]
    return [
        Fault(rng.uniform(0, length_s - age_s), age_s, RESTORE_FAULT, '', 0.0)
        for age_s in ages_s
    ]


def _draw_notice_faults(seed: int, length_s: float) -> list[Fault]:
    """Return faults that are drawn apart, so that the others stay."""
    rng = random.Random(f'notices of {seed}')
    duration_s = min(NOTICE_S, length_s - 1)
    last_start_s = length_s - 1 - duration_s
    return [
        Fault(rng.uniform(0, last_start_s), duration_s, kind, '', rng.random())
        for kind in NOTICE_FAULTS
        if rng.randrange(10) < 7
    ]
