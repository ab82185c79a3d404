"""A table of seeds, and a plot of one run by second."""

from html import escape

from tests.faultsoak.run import Result

WIDTH = 14  # pixels of a second
HEIGHT = 160  # pixels of the busiest second
LANE = 11  # pixels of a line of faults
COLOURS = {'served': '#4a8', 'refused': '#e9b44c', 'failed': '#c44'}


def table(results: list[Result]) -> str:
    """Give a line for each seed."""
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
    """Give the outcomes by second, with the faults below, as SVG.

    :param start_s: second of the run at which the faults began.
    """
    seconds = result.seconds
    last = max(seconds, default=0) + 1
    most = max((sum(counts.values()) for counts in seconds.values()), default=1)
    parts = []
    for second, counts in seconds.items():
        top = float(HEIGHT)
        for name, colour in COLOURS.items():
            size = counts.get(name, 0) * HEIGHT / most
            top -= size
            parts.append(
                f'<rect x="{second * WIDTH}" y="{top:.1f}" '
                f'width="{WIDTH - 1}" height="{size:.1f}" fill="{colour}"/>',
            )
    for row, fault in enumerate(result.faults):
        left = (start_s + fault.at) * WIDTH
        y = HEIGHT + (row + 1) * LANE
        label = escape(f'{fault.kind} {fault.mode}')
        parts.append(
            f'<rect x="{left:.0f}" y="{y - 7}" height="7" '
            f'width="{fault.for_s * WIDTH:.0f}" fill="#888"/>'
            f'<text x="{left + fault.for_s * WIDTH + 3:.0f}" y="{y}" '
            f'font-size="9">{label}</text>',
        )
    height = HEIGHT + (len(result.faults) + 2) * LANE
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{last * WIDTH + 120}" '
        f'height="{height}" font-family="sans-serif">{"".join(parts)}</svg>\n'
    )
