"""Reports of runs: a table of seeds, and a plot of one run."""

from html import escape

from tests.faultsoak.run import Result

SECOND_WIDTH_PX = 14
MAX_BAR_HEIGHT_PX = 160  # of the second with the most requests
FAULT_HEIGHT_PX = 11
COLOURS = {'served': '#4a8', 'refused': '#e9b44c', 'failed': '#c44'}


def table(results: list[Result]) -> str:
    """Return a Markdown table with a line for each seed."""
    lines = [
        '| seed | faults | served | refused | failed | broken |',
        '|---|---|---|---|---|---|',
    ]
    for result in results:
        totals = [
            sum(counts.get(name, 0) for counts in result.seconds.values())
            for name in COLOURS
        ]
        broken = '; '.join(result.broken[:3]) or 'none'
        cells = [result.seed, len(result.faults), *totals, broken]
        lines.append(f'| {" | ".join(str(cell) for cell in cells)} |')
    return '\n'.join((*lines, ''))


def plot(result: Result, start_s: float) -> str:
    """Return an SVG of the outcomes by second, with the faults below.

    :param start_s: second of the run to which the times of the faults relate.
    """
    seconds = result.seconds
    last = max(seconds, default=0) + 1
    max_count = max(
        (sum(counts.values()) for counts in seconds.values()), default=1
    )
    parts = []
    for second, counts in seconds.items():
        top = float(MAX_BAR_HEIGHT_PX)
        for name, colour in COLOURS.items():
            size = counts.get(name, 0) * MAX_BAR_HEIGHT_PX / max_count
            top -= size
            parts.append(
                f'<rect x="{second * SECOND_WIDTH_PX}" y="{top:.1f}" '
                f'width="{SECOND_WIDTH_PX - 1}" height="{size:.1f}" '
                f'fill="{colour}"/>',
            )
    for row, fault in enumerate(result.faults):
        left = (start_s + fault.start_s) * SECOND_WIDTH_PX
        y = MAX_BAR_HEIGHT_PX + (row + 1) * FAULT_HEIGHT_PX
        label = escape(f'{fault.kind} {fault.mode}')
        parts.append(
            f'<rect x="{left:.0f}" y="{y - 7}" height="7" '
            f'width="{fault.duration_s * SECOND_WIDTH_PX:.0f}" fill="#888"/>'
            f'<text x="{left + fault.duration_s * SECOND_WIDTH_PX + 3:.0f}" '
            f'y="{y}" '
            f'font-size="9">{label}</text>',
        )
    height = MAX_BAR_HEIGHT_PX + (len(result.faults) + 2) * FAULT_HEIGHT_PX
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" '
        f'width="{last * SECOND_WIDTH_PX + 120}" '
        f'height="{height}" font-family="sans-serif">{"".join(parts)}</svg>\n'
    )
