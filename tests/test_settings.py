"""Settings files: comments, and errors that name what is wrong."""

from pathlib import Path

import pytest

from oriolearch.core.errors import ValidationError
from oriolearch.settings import read_settings

GOOD = """
{
  // one host of zone a
  "host": {"name": "a1", "zone": "a"},
  "entry": {"address": "127.0.0.1:8080"},
  "peers": {"address": "127.0.0.1:8081", "seeds": ["127.0.0.1:8082"]},
  "admin": {
    "address": "127.0.0.1:8083",
    "tokens": [{"name": "ann", "sha256": "%s"}],
  },
  "platform": {"address": "127.0.0.1:9000"},
  /* zones in order */
  "zones": [{"name": "a", "region": "r1", "adopter": "a"}],
}
""" % ('0' * 64)


def test_comments_and_trailing_commas_are_read(tmp_path: Path) -> None:
    """The documented form must be accepted."""
    path = tmp_path / 'host.json'
    path.write_text(GOOD)
    settings = read_settings(path)
    assert settings.host.zone == 'a'
    assert settings.adopters() == {'a': 'a'}


@pytest.mark.parametrize(
    ('old', 'new', 'field', 'shown'),
    [
        ('"zone": "a"}', '"zone": "q"}', '(whole)', "'q'"),
        ('"zone": "a"}', '"zone": 5}', 'host.zone', '5'),
        (
            '127.0.0.1:8080',
            'entry.example:80',
            'entry.address',
            'entry.example:80',
        ),
        (
            '"address": "127.0.0.1:8083"',
            '"address": "10.0.0.1:8083"',
            'admin',
            'tls',
        ),
        ('0' * 64, 'secret', 'admin.tokens.0.sha256', '(hidden)'),
        ('"entry":', '"entrance":', 'entry', 'required'),
        ('"platform":', '"host": {}, "platform":', '(file)', 'Duplicate'),
        ('"zone": "a"}', '"zone" "a"}', '(file)', 'line 4'),
        (GOOD, '\x00', '(file)', 'line 1'),
    ],
)
def test_fault_is_named(
    tmp_path: Path,
    old: str,
    new: str,
    field: str,
    shown: str,
) -> None:
    """An operator finds the fault from the message alone."""
    path = tmp_path / 'host.json'
    path.write_text(GOOD.replace(old, new))
    with pytest.raises(ValidationError) as caught:
        read_settings(path)
    assert caught.value.field == field
    assert shown in str(caught.value)
    assert str(path) in str(caught.value)


def test_missing_file_is_named(tmp_path: Path) -> None:
    """A wrong path is the most common mistake."""
    with pytest.raises(ValidationError, match=r'gone\.json'):
        read_settings(tmp_path / 'gone.json')
