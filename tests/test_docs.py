"""Runs the commands that the documentation shows."""

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
    """Yield each command of a page with the line shown below it."""
    for block in BLOCK.findall((ROOT / page).read_text('utf-8')):
        lines = block.splitlines()
        for command, shown in zip(lines, lines[1:], strict=False):
            if command.startswith(PROMPT):
                yield command.removeprefix(PROMPT), shown


def status_of(words: list[str]) -> int:
    try:
        cli.main(words)
    except cappa.Exit as end:
        return int(end.code or 0)
    except SystemExit as end:
        return int(end.code or 0)
    return 0


def wait_for_version(cluster: Cluster, version: int) -> None:
    published = cluster.hosts['a1'].published
    cluster.wait_until(
        f'version {version}',
        lambda: published.view.document.version >= version,
    )


def test_commands_of_the_pages(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """A page that shows a command that fails or answers otherwise."""
    monkeypatch.chdir(ROOT)
    ran = 0
    with Cluster(log=lambda _: None) as cluster:
        cluster.configure()
        cluster.wait_until('served', cluster.is_served)
        url = f'http://{cluster.places["a1"].admin}'
        monkeypatch.setenv(cli.URL_VARIABLE, url)
        monkeypatch.setenv(cli.TOKEN_VARIABLE, cluster.token)
        pairs = [pair for page in PAGES for pair in commands(page)]
        for command, shown in pairs:
            program, *words = shlex.split(command)
            assert program == 'oriolearch'
            wanted = 1 if shown.startswith('error:') else 0
            capsys.readouterr()
            assert status_of(words) == wanted, command
            said = capsys.readouterr()
            assert shown in said.out + said.err, command
            made = VERSION.match(said.out)
            if made:  # the next command is for this version
                wait_for_version(cluster, int(made.group(1)))
            ran += 1
    text = ''.join((ROOT / page).read_text('utf-8') for page in PAGES)
    assert ran, 'no command was found'
    assert ran == text.count('\n$ oriolearch')


def test_option_goes_before_the_environment(
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """An edit that reaches another installation than the one named."""
    monkeypatch.setenv(cli.URL_VARIABLE, 'http://127.0.0.1:1')
    assert status_of(['show']) == 1
    assert '127.0.0.1:1 did not' in capsys.readouterr().err
    assert status_of(['show', '--url', 'http://127.0.0.1:2']) == 1
    assert '127.0.0.1:2 did not' in capsys.readouterr().err


def test_example_for_embedders(capsys: pytest.CaptureFixture[str]) -> None:
    """An example that no longer runs sends embedders away."""
    page = (ROOT / 'docs' / 'embedding.md').read_text('utf-8')
    code = page.partition('```python\n')[2].partition('```')[0]
    exec(code, {})  # noqa: S102, WPS421
    assert capsys.readouterr().out == 'unknown\n'
