"""The command that finds a request in logs."""

import json
from pathlib import Path

import cappa
import pytest

from oriolearch.cli import main
from oriolearch.explaining import explain, read_lines

REQUEST = '9c41d07be2a35f68'


def line(second: float, event: str, **fields: object) -> str:
    time = f'2026-12-04T12:00:{second:06.3f}+00:00'
    return json.dumps({'event': event, 'time': time, 'number': 1, **fields})


LOG_A = [
    line(1, 'store_lost', table='op'),
    line(5, 'upstream_changed', upstream='i-1@7', state='ready'),
    line(5.1, 'upstream_changed', upstream='i-2@7', state='ready'),
    line(6, 'coordinator_lost', reason='silent'),
    line(7, 'send_failed', request=REQUEST, upstream='i-1@7', reason='reset'),
    line(7.1, 'host_refused', request=REQUEST, status=502, pool='p', key=44),
    line(7.2, 'host_refused', request='another', status=502),
    line(8, 'coordinator_lost', reason='silent'),
    'not a line of ours',
    '{"event": 3}',
]
LOG_B = [
    line(6.5, 'keys_moved', owner='i-1@7', first=0, last=9),
    line(6.6, 'coordinator_lost', reason='of a host without the request'),
    line(6.7, 'keys_moved', pool='p', owner='i-5@7', first=40, last=49),
    line(6.8, 'keys_moved', pool='p', owner='i-5@7', first=50, last=59),
]


def found_events() -> list[str]:
    lines = [*read_lines('a', LOG_A), *read_lines('b', LOG_B)]
    return [
        f'{log_line.source} {log_line.fields["event"]}'
        for log_line in explain(lines, REQUEST)
    ]


def test_lines_of_a_request_come_with_their_context() -> None:
    """The cause may be logged by another host or without a request id."""
    assert found_events() == [
        'a upstream_changed',
        'a coordinator_lost',
        'b keys_moved',
        'b keys_moved',
        'a send_failed',
        'a host_refused',
    ]


def test_unknown_request_has_no_lines() -> None:
    """Context without a line of the request explains nothing."""
    assert explain(read_lines('a', LOG_A), 'unknown') == []


def test_line_behind_a_prefix_is_read() -> None:
    """A log collector may put time and host before each line."""
    text = f' 12.5 host-1 {LOG_A[4]}'
    assert [log_line.source for log_line in read_lines('all', [text])] == [
        'all host-1',
    ]


def test_command_shows_the_lines(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """The documented command must print the lines."""
    path = tmp_path / 'host-1.log'
    path.write_text('\n'.join(LOG_A), 'utf-8')
    main(['explain', REQUEST, str(path)])
    shown = capsys.readouterr().out.splitlines()
    assert '12:00:07.000 host-1 send_failed:' in shown[2]
    assert 'reason=reset' in shown[2]
    with pytest.raises(cappa.Exit):
        main(['explain', 'unknown', str(path)])


@pytest.mark.parametrize(
    ('text', 'problem'),
    [
        ('node = 3', 'node'),
        ('no toml', 'Expected'),
    ],
)
def test_check_names_the_field_of_a_platform_file(
    text: str,
    problem: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """An invalid settings file must be found before a host starts."""
    path = tmp_path / 'node.toml'
    path.write_text(text, 'utf-8')
    with pytest.raises(cappa.Exit) as caught:
        main(['check', '--platform', str(path)])
    assert caught.value.code == 2
    assert problem in capsys.readouterr().err
