"""Checks that only the adapter uses wire names of the platform."""

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


def modules_outside_adapter() -> Iterator[Path]:
    for path in sorted(SOURCE.rglob('*.py')):
        if ADAPTER not in path.parents:
            yield path


def string_literals(path: Path) -> Iterator[str]:
    """Yield the string and bytes literals of a module but no docstrings."""
    tree = ast.parse(path.read_text('utf-8'))
    documented_nodes = (ast.Module, ast.ClassDef, ast.FunctionDef)
    docstrings = {
        ast.get_docstring(node, clean=False)
        for node in ast.walk(tree)
        if isinstance(node, (*documented_nodes, ast.AsyncFunctionDef))
    }
    for node in ast.walk(tree):
        if not isinstance(node, ast.Constant) or node.value in docstrings:
            continue
        if isinstance(node.value, str):
            yield node.value.lower()
        elif isinstance(node.value, bytes):
            yield node.value.decode('latin-1').lower()


@pytest.mark.parametrize('name', WIRE_NAMES)
def test_wire_names_stay_in_the_adapter(name: str) -> None:
    """Guard against protocol changes that touch more than the adapter."""
    is_name = re.compile(rf'(^|[^a-z_-]){re.escape(name)}($|[^a-z_-])')
    modules = [
        path.name
        for path in modules_outside_adapter()
        if any(is_name.search(text) for text in string_literals(path))
    ]
    assert modules == []


def test_wire_names_are_those_of_the_adapter() -> None:
    """Guard against outdated entries in the list of wire names."""
    code = ' '.join(
        path.read_text('utf-8').lower() for path in ADAPTER.glob('*.py')
    )
    unused = [name for name in WIRE_NAMES if name not in code]
    assert unused == []
