"""A router for servers that own keys exclusively.

The decisions can be embedded: they take the current time and random numbers
from their caller and do no input or output. See docs/embedding.md.
"""

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
