"""Reports of played days, and the picture of one."""

import json
from pathlib import Path
from typing import Any

import pytest

from bench.plot import draw, period_starts
from oriolearch.core.errors import ValidationError
from oriolearch.platform.reports import decode_report, load_report


def outcomes(name: str, **fields: object) -> dict[str, Any]:
    return {
        'name': name,
        'in_aim': 80,
        'late': 10,
        'refused': 8,
        'failed': 2,
        'worth': 0.82,
        **fields,
    }


def report(**fields: object) -> dict[str, Any]:
    return {
        'G': 0.71,
        'windows': [outcomes('0'), outcomes('2', refused=50)],
        'zones': [outcomes('north')],
        'classes': [outcomes('orders', worth=0)],
        'events': [
            {'at_s': 1, 'to_s': 2.5, 'kind': 'zone_cut', 'planned': False},
        ],
        **fields,
    }


def test_report_is_decoded() -> None:
    """Guard against outcomes that end up under another name."""
    decoded = decode_report('day', report())
    assert decoded.worth == pytest.approx(0.71)
    assert [period.refused for period in decoded.periods] == [8, 50]
    assert decoded.periods[0].timely == 80
    assert decoded.zones[0].name == 'north'
    assert decoded.kinds[0].worth == 0
    assert decoded.disruptions[0].ends_at_s == pytest.approx(2.5)


@pytest.mark.parametrize(
    ('fields', 'field'),
    [
        ([], ''),
        (report(G='high'), 'G'),
        (report(G=True), 'G'),
        (report(windows=None), 'windows'),
        (report(windows=['0']), 'windows[0]'),
        (report(zones=[outcomes('north', late='many')]), 'late'),
        (report(events=[{'at_s': 1, 'to_s': 2, 'kind': 'x'}]), 'planned'),
    ],
)
def test_invalid_report_names_the_field(fields: Any, field: str) -> None:
    """Guard against a picture of something else than the day."""
    with pytest.raises(ValidationError) as caught:
        decode_report('day', fields)
    assert caught.value.field == field


@pytest.mark.parametrize('text', [None, 'no json'])
def test_unreadable_report_is_an_error(
    text: str | None, tmp_path: Path
) -> None:
    """Guard against a traceback in place of the name of the file."""
    path = tmp_path / 'day.json'
    if text is not None:
        path.write_text(text)
    with pytest.raises(ValidationError):
        load_report(path)


@pytest.mark.parametrize('periods', [0, 1, 2])
def test_picture_shows_outcomes_and_disruptions(
    periods: int, tmp_path: Path
) -> None:
    """Guard against a picture without the disruptions that explain it."""
    path = tmp_path / 'day.json'
    windows = [outcomes('0'), outcomes('2')][:periods]
    path.write_text(json.dumps(report(windows=windows)))
    decoded = load_report(path)
    assert len(period_starts(decoded)) == max(periods, 1) + 1
    picture = draw(decoded)
    texts = {text.get_text() for axes in picture.axes for text in axes.texts}
    assert texts == {'zone_cut'}
    legend = picture.axes[0].get_legend()
    assert legend is not None
    assert [text.get_text() for text in legend.get_texts()] == [
        'timely',
        'late',
        'refused',
        'failed',
    ]
    picture.savefig(tmp_path / 'day.svg')
