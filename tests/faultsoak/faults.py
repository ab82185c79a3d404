"""Faults drawn from a seed: series that overlap."""

import random
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
LONGEST_SERIES = 3  # faults of one kind, one after the other
LONGEST_FAULT_S = 4.0
LINK_MODES = ('delay', 'reset', 'up', 'down', 'silent')


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault at a time of the run, in seconds.

    :param mode: how links are harmed, where the fault is one of links.
    :param draw: picks the host or upstream that it strikes.
    """

    at: float
    for_s: float
    kind: str
    mode: str
    draw: float

    def __str__(self) -> str:
        """Give one line of a trace."""
        return f'{self.at:.2f} +{self.for_s:.2f} {self.kind} {self.mode}'


def draw_faults(seed: int, length_s: float) -> list[Fault]:
    """Give the faults of a seed, in order of time."""
    rng = random.Random(seed)
    kinds = list(WEIGHTS)
    faults: list[Fault] = []
    series_at = 0.0
    while series_at < length_s:
        kind = rng.choices(kinds, [WEIGHTS[kind] for kind in kinds])[0]
        at = series_at
        for _ in range(rng.randint(1, LONGEST_SERIES)):
            for_s = rng.uniform(0.1, LONGEST_FAULT_S)
            mode = rng.choice(LINK_MODES)
            if at + for_s < length_s:
                fault = Fault(at, for_s, kind, mode, rng.random())
                faults.append(fault)
            at += for_s * rng.uniform(0.3, 1.5)
        series_at += rng.uniform(0.5, 3.0)
    return sorted(faults, key=lambda fault: fault.at)
