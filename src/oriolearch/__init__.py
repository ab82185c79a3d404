"""A router for servers that own keys exclusively.

The routing core can be embedded in another program: the caller passes it the
current time and random numbers, and it does no I/O. See docs/embedding.md.
Names are imported lazily, on first access, so that a process loads only the
modules that it uses.
"""

from importlib import import_module
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from oriolearch.core.authority import Authority
    from oriolearch.core.configuration import apply_operations, validate
    from oriolearch.core.coordinator import Coordinator
    from oriolearch.core.errors import (
        ConflictError,
        InvariantError,
        OriolearchError,
        StaleError,
        ValidationError,
    )
    from oriolearch.core.grants import Renewer
    from oriolearch.core.model import (
        Document,
        KeySource,
        Pool,
        PoolKind,
        RequestClass,
        Route,
        Upstream,
    )
    from oriolearch.core.placement import plan
    from oriolearch.core.policy import PoolPolicy, RequestFacts, Send
    from oriolearch.core.routing import Router
    from oriolearch.core.view import View

__all__ = (
    'Authority',
    'ConflictError',
    'Coordinator',
    'Document',
    'InvariantError',
    'KeySource',
    'OriolearchError',
    'Pool',
    'PoolKind',
    'PoolPolicy',
    'Renewer',
    'RequestClass',
    'RequestFacts',
    'Route',
    'Router',
    'Send',
    'StaleError',
    'Upstream',
    'ValidationError',
    'View',
    'apply_operations',
    'plan',
    'validate',
)

_EXPORT_MODULES = {
    'Authority': 'oriolearch.core.authority',
    'ConflictError': 'oriolearch.core.errors',
    'Coordinator': 'oriolearch.core.coordinator',
    'Document': 'oriolearch.core.model',
    'InvariantError': 'oriolearch.core.errors',
    'KeySource': 'oriolearch.core.model',
    'OriolearchError': 'oriolearch.core.errors',
    'Pool': 'oriolearch.core.model',
    'PoolKind': 'oriolearch.core.model',
    'PoolPolicy': 'oriolearch.core.policy',
    'Renewer': 'oriolearch.core.grants',
    'RequestClass': 'oriolearch.core.model',
    'RequestFacts': 'oriolearch.core.policy',
    'Route': 'oriolearch.core.model',
    'Router': 'oriolearch.core.routing',
    'Send': 'oriolearch.core.policy',
    'StaleError': 'oriolearch.core.errors',
    'Upstream': 'oriolearch.core.model',
    'ValidationError': 'oriolearch.core.errors',
    'View': 'oriolearch.core.view',
    'apply_operations': 'oriolearch.core.configuration',
    'plan': 'oriolearch.core.placement',
    'validate': 'oriolearch.core.configuration',
}


def __getattr__(name: str) -> object:  # noqa: WPS413
    module = _EXPORT_MODULES.get(name)
    if module is None:
        raise AttributeError(f'module {__name__!r} has no attribute {name!r}')
    return getattr(import_module(module), name)
