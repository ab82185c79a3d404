"""Stand-in for a keyed server: grants, epochs and a ledger per key."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from typing import Any

from pydantic import BaseModel, FiniteFloat

from oriolearch.core.errors import StaleError
from oriolearch.core.model import FIXED_MARGIN_S, Fencing, KeySource
from oriolearch.ports import Clock
from oriolearch.standins.server import Request, Response
from oriolearch.standins.upstream import (
    Limits,
    Order,
    Reason,
    RefusedError,
    Run,
    UpstreamStandin,
)

SHARD = 'oriolearch-shard'
EPOCH = 'oriolearch-epoch'
KEY = 'oriolearch-key'


class GrantBody(BaseModel):
    """Body of ``POST /grants``.

    :param expires_at: seconds of the server's monotonic clock.
    :param shards: ``(shard, epoch)`` of the whole list; ``None`` renews the
        current list.
    :param incarnation: incarnation whose clock was read; checked if set.
    :param authority: granting authority; each counts its own terms and
        versions.
    """

    term: int
    version: int
    expires_at: FiniteFloat
    shards: list[tuple[int, int]] | None
    keys: list[tuple[str, int]] = []
    incarnation: int | None = None
    authority: str = ''


class RevokeBody(BaseModel):
    """Body of ``POST /grants/revoke``.

    :param version: lists before this version are rejected, if set.
    """

    term: int
    shards: list[int] = []
    keys: list[str] = []
    version: int | None = None
    authority: str = ''


@dataclass(frozen=True, slots=True)
class GrantList:
    """The grants of one authority; replaced as a whole.

    :param shards: epoch of each shard.
    :param keys: epoch of each split key.
    """

    term: int = 0
    version: int = 0
    expires_at: float = 0
    shards: dict[int, int] = field(default_factory=dict)
    keys: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Revoked:
    """Revocations, kept so that a delayed message can't undo them.

    :param shards: highest epoch at which each shard was revoked.
    :param keys: highest epoch at which each split key was revoked.
    :param key_shards: for each revoked key, the shards granted at that time;
        the key stays revoked in each until the shard has another epoch or the
        key is granted again.
    """

    shards: dict[int, int] = field(default_factory=dict)
    keys: dict[str, int] = field(default_factory=dict)
    key_shards: dict[str, dict[int, int]] = field(default_factory=dict)


class KeyedStandin(UpstreamStandin):
    """A keyed server on a loopback port.

    :param fencing: whether orders are checked against grants.
    :param key_source: source of the key of an order without an
        ``oriolearch-key`` header; by default the last path segment.
    """

    def __init__(
        self,
        clock: Clock | None = None,
        port: int = 0,
        limits: Limits | None = None,
        fencing: Fencing = Fencing.CHECKED,
        key_source: KeySource | None = None,
    ) -> None:
        super().__init__(clock, port, limits)
        self.fencing = fencing
        self.key_source = key_source or KeySource(path_segment=-1)
        self.incarnation = 0
        self.epoch_floor = 0
        self.grants: dict[str, GrantList] = {}
        self.revoked = _Revoked()

    def reset(self) -> None:
        """Start a new incarnation without grants."""
        self.incarnation += 1
        self.epoch_floor = 0
        self.grants = {}
        self.revoked = _Revoked()

    def protocol_handler(
        self, request: Request
    ) -> Callable[[], Response] | None:
        """Return the handler of a call of the keyed server protocol."""
        match request.method, request.segments:
            case 'GET', ('grants',):
                return self._show_grants
            case 'POST', ('grants',):
                body = GrantBody.model_validate(request.json())
                return lambda: self._answer_or_conflict(
                    lambda: self._accept(body),
                )
            case 'POST', ('grants', 'revoke'):
                revoke = RevokeBody.model_validate(request.json())
                return lambda: self._answer_or_conflict(
                    lambda: self._revoke(revoke),
                )
        return super().protocol_handler(request)

    def check_start(self, order: Order) -> None:
        """Refuse an order that no valid grant covers."""
        if self.fencing is Fencing.NONE:
            return
        if not self.has_valid_grant(
            *_shard_and_epoch(order.request), self.key_of(order.request)
        ):
            raise RefusedError(
                Reason.NOT_OWNER,
                HTTPStatus.MISDIRECTED_REQUEST,
            )

    def has_valid_grant(
        self, shard: int | None, epoch: int | None, key: str
    ) -> bool:
        """Return whether a valid grant covers the shard, epoch and key."""
        if epoch is None or shard is None:
            return False
        now = self.clock.monotonic()
        return any(
            now < grants.expires_at - FIXED_MARGIN_S
            and self._covers(grants, shard, epoch, key)
            for grants in self.grants.values()
        )

    def _covers(
        self,
        grants: GrantList,
        shard: int,
        epoch: int,
        key: str,
    ) -> bool:
        if key in grants.keys:
            # Epoch 0 marks a key that another server owns.
            return epoch > 0 and grants.keys[key] == epoch
        if grants.shards.get(shard) != epoch:
            return False
        return self.revoked.key_shards.get(key, {}).get(shard) != epoch

    def execute(self, order: Order) -> Run:
        """Return the ledger entry of an order, with shard and epoch."""
        shard, epoch = _shard_and_epoch(order.request)
        return Run(
            order.attempt,
            order.request_id,
            self.clock.monotonic(),
            shard,
            epoch,
        )

    def key_of(self, request: Request) -> str:
        """Return the key of an order; empty when it has none."""
        key = request.headers.get(KEY)
        if key is not None:
            return key
        if self.key_source.header is not None:
            return request.headers.get(self.key_source.header.lower(), '')
        index = self.key_source.path_segment or 0
        try:
            return request.segments[index]
        except IndexError:
            return ''

    def _answer_or_conflict(
        self,
        answer: Callable[[], dict[str, Any]],
    ) -> Response:
        try:
            return Response.from_json(answer())
        except StaleError as stale:
            self.counts['grants_refused'] += 1
            problem = {
                'error': stale.kind,
                'given': stale.given,
                'known': stale.known,
            }
            return Response.from_json(problem, HTTPStatus.CONFLICT)

    def _show_grants(self) -> Response:
        return Response.from_json(
            {
                'clock': self.clock.monotonic(),
                'incarnation': self.incarnation,
                'epoch_floor': self.epoch_floor,
            },
        )

    def _accept(self, body: GrantBody) -> dict[str, Any]:
        if body.incarnation not in {None, self.incarnation}:
            raise StaleError(
                'incarnation',
                body.incarnation or 0,
                self.incarnation,
            )
        current = self._current_list(body)
        if body.shards is None:
            self.grants[body.authority] = _renewed(current, body)
        else:
            self._replace(current, body, dict(body.shards))
        is_settled = all(map(self._is_granted, self.queue.running))
        return {'clock': self.clock.monotonic(), 'settled': is_settled}

    def _is_granted(self, order: Order) -> bool:
        """Return whether a grant list covers the shard or key of an order."""
        shard, _ = _shard_and_epoch(order.request)
        key = self.key_of(order.request)
        return any(
            grants.keys.get(key, 1) > 0
            and (shard in grants.shards or key in grants.keys)
            for grants in self.grants.values()
        )

    def _current_list(self, body: GrantBody | RevokeBody) -> GrantList:
        """Return the current list of a message's authority.

        :raises StaleError: when the message is of an earlier term.
        """
        current = self.grants.get(body.authority, GrantList())
        if body.term < current.term:
            raise StaleError('term', body.term, current.term)
        return current

    def _replace(
        self,
        current: GrantList,
        body: GrantBody,
        shards: dict[int, int],
    ) -> None:
        keys = dict(body.keys)
        if (body.term, body.version) < (current.term, current.version):
            raise StaleError('version', body.version, current.version)
        for shard, epoch in shards.items():
            if epoch <= self.revoked.shards.get(shard, -1):
                raise StaleError(
                    'epoch',
                    epoch,
                    self.revoked.shards[shard],
                )
        for key, epoch in keys.items():
            if epoch == 0:
                continue
            if epoch <= self.revoked.keys.get(key, -1):
                raise StaleError('epoch', epoch, self.revoked.keys[key])
            self.revoked.key_shards.pop(key, None)
        self.grants[body.authority] = GrantList(
            body.term,
            body.version,
            body.expires_at,
            shards,
            keys,
        )
        self.epoch_floor = max(
            self.epoch_floor,
            *shards.values(),
            *keys.values(),
            0,
        )

    def _revoke(self, body: RevokeBody) -> dict[str, Any]:
        """Revoke shards and keys, then wait until no order for them runs."""
        current = self._current_list(body)
        for shard in body.shards:
            if shard in current.shards:
                self.revoked.shards[shard] = current.shards[shard]
        for key in body.keys:
            if key in current.keys:
                self.revoked.keys[key] = current.keys[key]
            self.revoked.key_shards[key] = current.shards
        version = current.version if body.term == current.term else 0
        self.grants[body.authority] = GrantList(
            body.term,
            max(version, body.version or 0),
            current.expires_at,
            _without(current.shards, body.shards),
            _without(current.keys, body.keys),
        )
        while any(self._affects(order, body) for order in self.queue.running):
            self.wait(self.changed)
        return {'clock': self.clock.monotonic()}

    def _affects(self, order: Order, body: RevokeBody) -> bool:
        shard, _ = _shard_and_epoch(order.request)
        return shard in body.shards or self.key_of(order.request) in body.keys


def _renewed(current: GrantList, body: GrantBody) -> GrantList:
    """Return the current list with a later expiry.

    Coordinators of different terms count versions independently, so that a
    renewal must match the term of the list as well as its version.
    """
    if body.term != current.term:
        raise StaleError('list term', body.term, current.term)
    if body.version != current.version:
        raise StaleError('version', body.version, current.version)
    expires_at = max(current.expires_at, body.expires_at)
    return replace(current, expires_at=expires_at)


def _shard_and_epoch(request: Request) -> tuple[int | None, int | None]:
    """Return shard and epoch of an order, as far as it has them."""
    shard = request.headers.get(SHARD)
    epoch = request.headers.get(EPOCH)
    return (
        None if shard is None else int(shard),
        None if epoch is None else int(epoch),
    )


def _without(epochs: dict[Any, int], names: list[Any]) -> dict[Any, int]:
    revoked = set(names)
    return {
        name: epoch for name, epoch in epochs.items() if name not in revoked
    }
