"""Exceptions of the package.

All of them derive from :class:`OriolearchError` and have the values at fault
as attributes.
"""

from reprlib import Repr

_REPR = Repr()
_REPR.maxstring = 200
_REPR.maxother = 200
_REPR.maxlist = _REPR.maxtuple = _REPR.maxdict = 20


# What reading a document of unexpected shape raises: missing or nested parts,
# values of other types, numbers out of range.
MALFORMED_ERRORS = (
    ArithmeticError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


def _format_value(value: object) -> str:
    """Return a text of limited length for a value of any size."""
    try:
        return _REPR.repr(value)
    except ValueError:  # an integer with more than 4300 digits
        return f'a value of type {type(value).__name__}'


class OriolearchError(Exception):
    """Base of all errors of the package."""


class ValidationError(OriolearchError):
    """An external value is invalid.

    :param source: file, table or endpoint that the value came from.
    :param field: dotted path of the field.
    :param value: the value as received.
    :param reason: what is wrong with it.
    """

    def __init__(
        self,
        source: str,
        field: str,
        value: object,
        reason: str,
    ) -> None:
        super().__init__(
            f'{source}: {field}: {reason}, got {_format_value(value)}'
        )
        self.source = source
        self.field = field
        self.value = value
        self.reason = reason


class StaleError(OriolearchError):
    """A message carries an older incarnation, term, epoch or version.

    :param kind: what is outdated, for example ``'term'``.
    :param given: the value in the message.
    :param known: the latest value that the receiver has.
    """

    def __init__(self, kind: str, given: int, known: int) -> None:
        super().__init__(f'stale {kind}: got {given}, known {known}')
        self.kind = kind
        self.given = given
        self.known = known


class InvariantError(OriolearchError):
    """An invariant of the system is violated; the process must stop.

    :param invariant: name of the invariant, for example ``'single-owner'``.
    :param detail: the state that violates it.
    """

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(f'invariant {invariant} broken: {detail}')
        self.invariant = invariant
        self.detail = detail


class ConflictError(OriolearchError):
    """An edit is based on a version that is no longer current.

    :param given: version that the edit is based on.
    :param current: current version.
    :param changes: one line for each change between the two.
    """

    def __init__(
        self,
        given: int,
        current: int,
        changes: tuple[str, ...] = (),
    ) -> None:
        super().__init__(f'edit of version {given}, current is {current}')
        self.given = given
        self.current = current
        self.changes = changes


class PeerError(OriolearchError):
    """A call to another host was not answered; it may have been received.

    :param address: ``host:port`` of the other host.
    :param reason: what went wrong.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f'peer {address}: {reason}')
        self.address = address
        self.reason = reason


class PeerRefusedError(PeerError):
    """The other host refused the connection, so its process does not run."""


class PlatformError(OriolearchError):
    """A call to the platform did not succeed."""


class PlatformRefusedError(PlatformError):
    """The platform refused the call before it had any effect."""


class OutcomeUnknownError(PlatformError):
    """The answer to a call was lost; the call may have taken effect."""


class EraChangedError(PlatformRefusedError):
    """The store came back from an earlier copy; read again before a write."""


class HistoryLostError(PlatformError):
    """The changes since a version are gone; read the whole table."""


class GrantRefusedError(OriolearchError):
    """An upstream refused a grant or a release.

    :param address: ``host:port`` of the upstream.
    :param status: HTTP status; 409 if it has seen a higher fencing token.
    """

    def __init__(self, address: str, status: int) -> None:
        super().__init__(
            f'upstream {address} refused the call with status {status}'
        )
        self.address = address
        self.status = status

    @property
    def is_fenced(self) -> bool:
        """Return whether the upstream has seen a higher fencing token."""
        return self.status == 409

    @property
    def is_replaced(self) -> bool:
        """Return whether another upstream answers at the address."""
        return self.status == 421


class ConditionFailedError(PlatformError):
    """A transaction was refused because a row had another version.

    :param failed: ``(table, key, number of the current version)`` of each
        such row.
    """

    def __init__(self, failed: tuple[tuple[str, str, int], ...]) -> None:
        super().__init__(f'conditions failed: {failed}')
        self.failed = failed


class RoutingError(OriolearchError):
    """A request matches no pool; it was not run."""


class NoRouteError(RoutingError):
    """No route matches a request.

    :param allowed: methods of the routes for this host and path; empty if
        there is no such route.
    """

    def __init__(
        self,
        host: str,
        method: str,
        path: str,
        allowed: tuple[str, ...] = (),
    ) -> None:
        super().__init__(f'no route for {method} {path} on host {host!r}')
        self.host = host
        self.method = method
        self.path = path
        self.allowed = allowed


class MissingKeyError(RoutingError):
    """A request for a keyed pool has no usable key.

    :param route: name of the matched route.
    :param where: the part of the request that should have the key.
    """

    def __init__(self, route: str, where: str) -> None:
        super().__init__(f'route {route}: no key in {where}')
        self.route = route
        self.where = where


class BadPathError(RoutingError):
    """A path is ambiguous or cannot be decoded."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f'path {path!r}: {reason}')
        self.path = path
        self.reason = reason
