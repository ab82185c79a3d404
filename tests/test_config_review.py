"""Review of a configuration before it is sent."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import cappa
import pytest

from oriolearch.cli import main
from oriolearch.core.config_review import review
from oriolearch.platform.documents import decode_directory
from tests.platform_standin import make_document, make_rule

Change = Callable[[dict[str, Any]], object]


def make(change: Change = dict, version: int = 7) -> dict[str, Any]:
    rules = [make_rule('lookup', 'safe', 2.0), make_rule('order', 'unsafe', 2)]
    document = make_document(version, rules)
    change(document)
    return document


def rules_of(document: dict[str, Any]) -> list[dict[str, Any]]:
    rules: list[dict[str, Any]] = document['listeners'][0]['rules']
    return rules


def findings(document: dict[str, Any], **in_force: Any) -> list[str]:
    directory = decode_directory(json.dumps(document).encode())
    before = in_force.get('before')
    known = decode_directory(json.dumps(before).encode()) if before else None
    return [str(finding) for finding in review(directory, known)]


def change_rule(number: int, **values: Any) -> Change:
    return lambda document: rules_of(document)[number].update(values)


def change_action(number: int, **values: Any) -> Change:
    return lambda document: rules_of(document)[number]['action'].update(values)


@pytest.mark.parametrize(
    ('change', 'finding'),
    [
        (
            change_action(0, service='gone'),
            'error: route lookup: pool gone does not exist',
        ),
        (
            change_rule(1, name='lookup'),
            'error: route lookup: another route has this name',
        ),
        (
            change_rule(1, match={'prefix': '/order'}),
            "error: route order: prefix '/order' has to begin and end with a "
            'slash',
        ),
        (
            change_rule(1, match={'prefix': '/lookup/'}),
            'never matches: route order: route lookup of shop.example has the '
            "prefix '/lookup/'",
        ),
        (
            change_action(0, max_attempts=0),
            'error: route lookup: no attempt is allowed',
        ),
        (
            change_action(1, max_attempts=3),
            'contradiction: route order: 3 attempts of requests that run once '
            'at most',
        ),
        (
            change_rule(0, target_latency_s=2.5),
            'contradiction: route lookup: latency objective of 2.5 s is beyond '
            'the timeout of 2.0 s',
        ),
        (
            change_action(
                0,
                backends=[
                    {'service': 'orders', 'weight': 1},
                    {'service': 'orders', 'weight': 0},
                ],
            ),
            'never matches: route lookup: pool orders has no weight',
        ),
        (
            lambda document: document['clusters'].append({'name': 'spare'}),
            'never matches: pool spare: no route sends requests to it',
        ),
        (
            lambda document: document['clusters'][0].update(warmup_per_s=0),
            'contradiction: pool orders: takes no request in its cold start',
        ),
        (
            lambda document: document['clusters'][0].update(max_conns=0),
            'error: pool orders: takes no connection',
        ),
        (
            lambda document: document['limits'].update(header_timeout_s=20),
            'contradiction: limits: a head may take 20.0 s, but a connection '
            'may be idle for 15.0 s',
        ),
    ],
)
def test_finding(change: Change, finding: str) -> None:
    """An operator must learn of a mistake before all hosts apply it."""
    assert findings(make(change)) == [finding]


def test_sound_configuration_has_no_findings() -> None:
    """A finding on a sound configuration would hide the others."""
    assert not findings(make())
    assert not findings(make(version=8), before=make())


@pytest.mark.parametrize(
    ('change', 'version', 'difference'),
    [
        (dict, 7, 'error: version: 7 is not above 7, in force'),
        (
            change_action(0, timeout_s=1.5),
            8,
            'difference: route lookup: timeout_s 2.0 -> 1.5',
        ),
        (
            lambda document: rules_of(document).pop(),
            8,
            'difference: route order: removed',
        ),
        (
            lambda document: rules_of(document).append(
                make_rule('new', 'safe', 1)
            ),
            8,
            'difference: route new: added',
        ),
        (
            change_action(
                1,
                backends=[
                    {'service': 'orders', 'weight': 90},
                ],
            ),
            8,
            'difference: route order: destinations orders 1 -> orders 90',
        ),
        (
            lambda document: document['limits'].update(max_body_bytes=5),
            8,
            'difference: limits: body_bytes 100000 -> 5',
        ),
    ],
)
def test_difference_from_the_version_in_force(
    change: Change, version: int, difference: str
) -> None:
    """An operator must see what a version changes, and nothing else."""
    assert findings(make(change, version), before=make()) == [difference]


@pytest.mark.parametrize(
    ('change', 'status', 'printed'),
    [
        (change_action(0, timeout_s=1.5), None, 'timeout_s 2.0 -> 1.5'),
        (change_action(0, service='gone'), 2, 'pool gone does not exist'),
    ],
)
def test_command(
    change: Change,
    status: int | None,
    printed: str,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Only errors may speak against sending a configuration."""
    new, old = tmp_path / 'new.json', tmp_path / 'old.json'
    new.write_text(json.dumps(make(change, 8)), 'utf-8')
    old.write_text(json.dumps(make()), 'utf-8')
    arguments = ['check', '--document', '--in-force', str(old), str(new)]
    if status is None:
        main(arguments)
    else:
        with pytest.raises(cappa.Exit) as caught:
            main(arguments)
        assert caught.value.code == status
    assert printed in capsys.readouterr().out
