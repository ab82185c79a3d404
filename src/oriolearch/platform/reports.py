"""Reports of days that the users' bench has played."""

import json
from dataclasses import dataclass
from pathlib import Path

from oriolearch.core.errors import ValidationError
from oriolearch.platform.fields import Fields


@dataclass(frozen=True, slots=True)
class Outcomes:
    """What became of the requests of a period, a zone or a kind.

    :ivar name: of the zone or the kind; start of a period in seconds.
    :ivar timely: answered within the latency objective.
    :ivar late: answered after it.
    :ivar worth: share of the possible worth, 0 to 1.
    """

    name: str
    timely: int
    late: int
    refused: int
    failed: int
    worth: float


@dataclass(frozen=True, slots=True)
class Disruption:
    """A fault or planned work; times in seconds of the day."""

    name: str
    starts_at_s: float
    ends_at_s: float
    is_planned: bool


@dataclass(frozen=True, slots=True)
class DayReport:
    """A day that was played.

    :ivar worth: share of the possible worth less the prices.
    """

    worth: float
    periods: tuple[Outcomes, ...]
    zones: tuple[Outcomes, ...]
    kinds: tuple[Outcomes, ...]
    disruptions: tuple[Disruption, ...]


def load_report(path: Path) -> DayReport:
    """Read a report that the bench wrote with ``--report``.

    :raises ValidationError: when the file cannot be read or a field is
        missing or of the wrong type.
    """
    try:
        fields = json.loads(path.read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise ValidationError(str(path), '', str(path), str(error)) from error
    return decode_report(str(path), fields)


def decode_report(source: str, fields: object) -> DayReport:
    """Decode the fields of a report.

    :raises ValidationError: when a field is missing or of the wrong type.
    """
    if not isinstance(fields, dict):
        raise ValidationError(source, '', fields, 'must be an object')
    report = Fields(source, fields)
    return DayReport(
        worth=report.number('G'),
        periods=tuple(map(_decode_outcomes, report.objects('windows'))),
        zones=tuple(map(_decode_outcomes, report.objects('zones'))),
        kinds=tuple(map(_decode_outcomes, report.objects('classes'))),
        disruptions=tuple(
            Disruption(
                name=event.text('kind'),
                starts_at_s=event.number('at_s'),
                ends_at_s=event.number('to_s'),
                is_planned=event.flag('planned'),
            )
            for event in report.objects('events')
        ),
    )


def _decode_outcomes(fields: Fields) -> Outcomes:
    return Outcomes(
        name=fields.text('name'),
        timely=fields.integer('in_aim', None),
        late=fields.integer('late', None),
        refused=fields.integer('refused', None),
        failed=fields.integer('failed', None),
        worth=fields.number('worth'),
    )
