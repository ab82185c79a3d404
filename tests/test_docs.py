"""Tests that run the commands and examples of the documentation."""

import re
import shlex
from collections.abc import Iterator
from pathlib import Path

import cappa
import pytest

from oriolearch import cli
from oriolearch.cluster import Cluster

ROOT = Path(__file__).parent.parent
PAGES = ('README.md', 'docs/operators.md')
BLOCK = re.compile('```console\n(.*?)```', re.DOTALL)
PROMPT = '$ '
VERSION = re.compile(r'made version (\d+)')


def commands(page: str) -> Iterator[tuple[str, str]]:
    """Yield each command of a page with the first line of its output."""
    for block in BLOCK.findall((ROOT / page).read_text('utf-8')):
        lines = block.splitlines()
        for command, expected_line in zip(lines, lines[1:], strict=False):
            if command.startswith(PROMPT):
                yield command.removeprefix(PROMPT), expected_line


def exit_status_of(arguments: list[str]) -> int:
    try:
        cli.main(arguments)
    except cappa.Exit as error:
        return int(error.code or 0)
    except SystemExit as error:
        return int(error.code or 0)
    return 0


def wait_for_version(cluster: Cluster, version: int) -> None:
    published = cluster.hosts['a1'].published
    cluster.wait_until(
        f'version {version}',
        lambda: published.view.document.version >= version,
    )


def test_documented_commands(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Every documented command must print the output that its page shows."""
    monkeypatch.chdir(ROOT)
    command_count = 0
    with Cluster(log=lambda _: None) as cluster:
        cluster.configure()
        cluster.wait_until('served', cluster.is_served)
        url = f'http://{cluster.host_addresses["a1"].admin}'
        monkeypatch.setenv(cli.URL_VARIABLE, url)
        monkeypatch.setenv(cli.TOKEN_VARIABLE, cluster.token)
        pairs = [pair for page in PAGES for pair in commands(page)]
        for command, expected_line in pairs:
            program, *arguments = shlex.split(command)
            assert program == 'oriolearch'
            expected_status = 1 if expected_line.startswith('error:') else 0
            capsys.readouterr()
            assert exit_status_of(arguments) == expected_status, command
            output = capsys.readouterr()
            assert expected_line in output.out + output.err, command
            edit_match = VERSION.match(output.out)
            if edit_match:  # the next command edits this version
                wait_for_version(cluster, int(edit_match.group(1)))
            command_count += 1
    text = ''.join((ROOT / page).read_text('utf-8') for page in PAGES)
    assert command_count, 'no command was found'
    assert command_count == text.count('\n$ oriolearch')


def test_option_overrides_environment(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """``--url`` overrides the environment; otherwise an edit would reach
    another cluster than the one that was given.
    """
    monkeypatch.setenv(cli.URL_VARIABLE, 'http://127.0.0.1:1')
    assert exit_status_of(['show']) == 1
    assert '127.0.0.1:1 did not' in capsys.readouterr().err
    assert exit_status_of(['show', '--url', 'http://127.0.0.1:2']) == 1
    assert '127.0.0.1:2 did not' in capsys.readouterr().err


def test_embedding_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    """The example on the embedding page must run."""
    page = (ROOT / 'docs' / 'embedding.md').read_text('utf-8')
    code = page.partition('```python\n')[2].partition('```')[0]
    exec(code, {})  # noqa: S102, WPS421
    assert capsys.readouterr().out == 'unknown\n'
