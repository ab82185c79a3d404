"""Names of the users' platform stay in its adapter."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / 'src' / 'oriolearch'
ADAPTER = SOURCE / 'platform'
WIRE_NAMES = (
    'rows-tx',
    'rows-get',
    'rows-feed',
    'attempt-id',
    'timeout-ms',
    'server-signature',
    'server-load',
    'target-instance',
    'not-executed',
    'shard-key',
    'warmup-ms',
    'instance-id',
    'expected_revision',
    'warmup_left_s',
    'warmup_per_s',
    'target_latency_s',
    'max_conns',
    'health_path',
    'evacuate/',
    'hold_max_s',
    'grace_s',
)


def outside() -> Iterator[Path]:
    for path in sorted(SOURCE.rglob('*.py')):
        if ADAPTER not in path.parents:
            yield path


def texts(path: Path) -> Iterator[str]:
    """Yield the texts of a module that are not documentation."""
    tree = ast.parse(path.read_text('utf-8'))
    documented = (ast.Module, ast.ClassDef, ast.FunctionDef)
    pages = {
        ast.get_docstring(node, clean=False)
        for node in ast.walk(tree)
        if isinstance(node, (*documented, ast.AsyncFunctionDef))
    }
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or node.value in pages:
            continue
        if isinstance(node.value, str):
            yield node.value.lower()
        elif isinstance(node.value, bytes):
            yield node.value.decode('latin-1').lower()


@pytest.mark.parametrize('name', WIRE_NAMES)
def test_wire_names_stay_in_the_adapter(name: str) -> None:
    """A change of the platform's protocol that touches the whole product."""
    is_name = re.compile(rf'(^|[^a-z_-]){re.escape(name)}($|[^a-z_-])')
    found = [
        path.name
        for path in outside()
        if any(is_name.search(text) for text in texts(path))
    ]
    assert found == []


def test_wire_names_are_those_of_the_adapter() -> None:
    """A list of names that the adapter no longer uses."""
    code = ' '.join(
        path.read_text('utf-8').lower() for path in ADAPTER.glob('*.py')
    )
    unused = [name for name in WIRE_NAMES if name not in code]
    assert unused == []
