"""Draw a day that the users' bench has played, from its report.

Run with ``make plot DAY=report.json OUT=day.svg``, where the report is written
by the bench's option ``--report``. The picture shows what became of the
requests over the day with the disruptions, and the worth by zone and by kind.
"""

import argparse
from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
from matplotlib.figure import Figure

from oriolearch.platform.reports import DayReport, Outcomes, load_report

FIGURE_INCHES = (11, 8)
HEIGHT_RATIOS = (3, 2, 1.2)
DISRUPTION_COLORS = {True: 'tab:blue', False: 'tab:red'}
OUTCOME_COLORS = {
    'timely': 'tab:green',
    'late': 'gold',
    'refused': 'tab:orange',
    'failed': 'tab:red',
}


def period_starts(report: DayReport) -> list[float]:
    """Return the start of each period, and the end of the last, in seconds."""
    starts = [float(period.name) for period in report.periods]
    length_s = starts[1] - starts[0] if len(starts) > 1 else 1.0
    return [*starts, starts[-1] + length_s] if starts else [0.0, 1.0]


def draw_outcomes(axes: Any, report: DayReport) -> None:
    """Draw the requests a second by outcome, stacked."""
    edges = period_starts(report)
    length_s = edges[1] - edges[0]
    series = [
        [getattr(period, name) / length_s for period in report.periods]
        for name in OUTCOME_COLORS
    ]
    axes.stackplot(
        edges,
        [[*values, values[-1] if values else 0] for values in series],
        labels=list(OUTCOME_COLORS),
        colors=list(OUTCOME_COLORS.values()),
        step='post',
    )
    axes.set_ylabel('requests/s')
    axes.legend(loc='upper right', ncols=len(OUTCOME_COLORS), fontsize=8)
    axes.set_title(f'worth {report.worth:.3f}')


def draw_disruptions(axes: Any, report: DayReport) -> None:
    """Draw a bar with its name for each disruption."""
    for row, disruption in enumerate(report.disruptions):
        length_s = max(disruption.ends_at_s - disruption.starts_at_s, 0.2)
        axes.barh(
            row,
            length_s,
            left=disruption.starts_at_s,
            color=DISRUPTION_COLORS[disruption.is_planned],
            alpha=0.5,
        )
        axes.text(
            disruption.starts_at_s,
            row,
            disruption.name,
            va='center',
            fontsize=7,
        )
    axes.invert_yaxis()
    axes.set_yticks([])
    axes.set_ylabel('faults red,\nplanned work blue', fontsize=8)
    axes.set_xlabel('seconds of the day')


def draw_worth(axes: Any, outcomes: Sequence[Outcomes]) -> None:
    """Draw the worth of each zone and kind."""
    axes.bar(
        [outcome.name for outcome in outcomes],
        [outcome.worth for outcome in outcomes],
        color='tab:gray',
    )
    axes.set_ylim(0, 1)
    axes.set_ylabel('worth')
    axes.tick_params(axis='x', labelsize=7)


def draw(report: DayReport) -> Figure:
    """Return the picture of a day."""
    figure = Figure(figsize=FIGURE_INCHES, layout='constrained')
    top, middle, bottom = figure.subplots(
        3, 1, height_ratios=list(HEIGHT_RATIOS)
    )
    middle.sharex(top)
    draw_outcomes(top, report)
    draw_disruptions(middle, report)
    draw_worth(bottom, [*report.zones, *report.kinds])
    return figure


def main() -> None:
    """Draw the report that is named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('report', type=Path)
    parser.add_argument('out', type=Path, help='.svg or .png')
    arguments = parser.parse_args()
    # Text in SVG files stays text, so that it can be searched.
    mpl.rcParams['svg.fonttype'] = 'none'
    draw(load_report(arguments.report)).savefig(arguments.out)


if __name__ == '__main__':
    main()
