"""Tests of settings files: their syntax and error messages."""

from pathlib import Path

import pytest

from oriolearch.core.errors import ValidationError
from oriolearch.settings import read_settings

VALID_SETTINGS = """
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
    """A settings file may have comments and trailing commas, as documented."""
    path = tmp_path / 'host.json'
    path.write_text(VALID_SETTINGS)
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
        (VALID_SETTINGS, '\x00', '(file)', 'line 1'),
    ],
)
def test_error_names_field_and_value(
    tmp_path: Path,
    old: str,
    new: str,
    field: str,
    shown: str,
) -> None:
    """An error contains the file, the field and the invalid value, so that an
    operator can correct the file from the message alone.
    """
    path = tmp_path / 'host.json'
    path.write_text(VALID_SETTINGS.replace(old, new))
    with pytest.raises(ValidationError) as caught:
        read_settings(path)
    assert caught.value.field == field
    assert shown in str(caught.value)
    assert str(path) in str(caught.value)


def test_error_names_missing_file(tmp_path: Path) -> None:
    """The error for a missing file contains its path."""
    with pytest.raises(ValidationError, match=r'gone\.json'):
        read_settings(tmp_path / 'gone.json')
