"""The exception tree.

Each error carries the data that makes its message useful; every error of the
package derives from :class:`OriolearchError`.
"""

from reprlib import Repr


_SHOWN = Repr()
_SHOWN.maxstring = 200
_SHOWN.maxother = 200
_SHOWN.maxlist = _SHOWN.maxtuple = _SHOWN.maxdict = 20


def _shown(given: object) -> str:
    """Give a bounded text of a value; it may be deep or have many digits."""
    try:
        return _SHOWN.repr(given)
    except ValueError:  # an integer with more than 4300 digits
        return f'a value of type {type(given).__name__}'


class OriolearchError(Exception):
    """Base of all errors of the package."""


class ValidationError(OriolearchError):
    """A value from outside is not acceptable.

    :param source: file, table or endpoint that the value came from.
    :param field: dotted path of the field.
    :param value: the value as it was given.
    :param reason: what is wrong with it.
    """

    def __init__(
        self,
        source: str,
        field: str,
        value: object,
        reason: str,
    ) -> None:
        super().__init__(f'{source}: {field}: {reason}, got {_shown(value)}')
        self.source = source
        self.field = field
        self.value = value
        self.reason = reason


class StaleError(OriolearchError):
    """A message carries an older incarnation, term, epoch or version.

    :param kind: which of them, for example ``'term'``.
    :param given: the value in the message.
    :param known: the value that the receiver knows.
    """

    def __init__(self, kind: str, given: int, known: int) -> None:
        super().__init__(f'stale {kind}: got {given}, known {known}')
        self.kind = kind
        self.given = given
        self.known = known


class InvariantError(OriolearchError):
    """A promise of the system is broken; the process must not go on.

    :param invariant: its name, for example ``'single-owner'``.
    :param detail: the state that breaks it.
    """

    def __init__(self, invariant: str, detail: str) -> None:
        super().__init__(f'invariant {invariant} broken: {detail}')
        self.invariant = invariant
        self.detail = detail


class ConflictError(OriolearchError):
    """A conditional edit lost against a newer version.

    :param given: version that the editor saw.
    :param current: version in force.
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
    """A call to another host gave no answer; it may have been received.

    :param address: ``host:port`` of the other host.
    :param reason: what went wrong.
    """

    def __init__(self, address: str, reason: str) -> None:
        super().__init__(f'peer {address}: {reason}')
        self.address = address
        self.reason = reason


class PeerRefusedError(PeerError):
    """The other host's process does not run."""


class PlatformError(OriolearchError):
    """A call to the platform did not succeed."""


class PlatformRefusedError(PlatformError):
    """The platform refused the call before it had any effect."""


class OutcomeUnknownError(PlatformError):
    """The answer was lost; the call may have taken effect."""


class HistoryLostError(PlatformError):
    """The changes since a version are no longer kept; read the table anew."""


class GrantRefusedError(OriolearchError):
    """An upstream refused a grant or a release.

    :param address: ``host:port`` of the upstream.
    :param status: its answer; 409 when it has seen a higher fence.
    """

    def __init__(self, address: str, status: int) -> None:
        super().__init__(f'upstream {address} answered {status}')
        self.address = address
        self.status = status

    @property
    def is_fenced(self) -> bool:
        """Tell whether the upstream has seen a higher fence."""
        return self.status == 409

    @property
    def is_replaced(self) -> bool:
        """Tell whether another upstream answers at the address."""
        return self.status == 421


class ConditionFailedError(PlatformError):
    """A transaction was refused because a row had another version.

    :param failed: ``(table, key, current version)`` of each such row.
    """

    def __init__(self, failed: tuple[tuple[str, str, int], ...]) -> None:
        super().__init__(f'conditions failed: {failed}')
        self.failed = failed


class RoutingError(OriolearchError):
    """A request cannot be joined to a pool; it was not run."""


class NoRouteError(RoutingError):
    """No route answers to a request.

    :param allowed: methods that routes for this host and path answer to;
        empty when there is no such route.
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
    """A request for a keyed pool carries no usable key.

    :param route: name of the matched route.
    :param where: the place in which the key was looked for.
    """

    def __init__(self, route: str, where: str) -> None:
        super().__init__(f'route {route}: no key in {where}')
        self.route = route
        self.where = where


class BadPathError(RoutingError):
    """A path can be read in more than one way."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f'path {path!r}: {reason}')
        self.path = path
        self.reason = reason
